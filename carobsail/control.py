"""The control process, a candidate for the leadership of its data centre."""

import asyncio
import os
import random
import time
from typing import Annotated

import fire
import msgspec

from carobsail import (
    calllimiter,
    configuration,
    controller,
    errors,
    httpserver,
    inventorysource,
    keyvalue,
    messages,
    operatorport,
    peers,
    placement,
    planner,
    planninground,
    policies,
    program,
    programsettings,
    settings,
    telemetry,
)
from carobsail.controller import Controller

__all__ = [
    "RunningControlProcess",
    "ControlSettings",
    "Controller",
    "main",
    "start",
]


Cost = Annotated[float, msgspec.Meta(ge=0)]


class PlacementWeights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Costs that the placement weighs; only their ratio matters.

    Attributes:
      late: Cost of one late response.
      load: Cost of one model load.
    """

    late: Cost = 1.0
    load: Cost = 10.0


METRICS_INTERVAL_S = 1.0


class ControlSettings(programsettings.ProcessSettings, frozen=True):
    """Settings of `carobsail-control`, besides those of every process.

    Attributes:
      inventory_url: URL of the platform's inventory document.
      calls_per_s: Key-value call budget of the data centre.
      placement_policy: Name of the placement policy.
      copies: Copies of each model in use, like `copies` of a policy.
      weights: Costs of late responses and of model loads.
    """

    inventory_url: str
    calls_per_s: Annotated[float, msgspec.Meta(gt=0)] = (
        controller.DEFAULT_CALLS_PER_S
    )
    placement_policy: str = "demand_aware"
    copies: Annotated[int, msgspec.Meta(ge=1, le=8)] = planner.DEFAULT_COPIES
    weights: PlacementWeights = PlacementWeights()

    def __post_init__(self) -> None:
        """See base class."""
        programsettings.ProcessSettings.__post_init__(self)
        programsettings.require_nonempty(self, ["inventory_url"])
        programsettings.check_fields(
            self, settings.parse_url, ["inventory_url"]
        )
        programsettings.check_fields(
            self,
            programsettings.check_one_of(placement.POLICIES),
            ["placement_policy"],
        )


class _PolicyRenderer:
    """Renders policies incrementally: only the accounts that changed."""

    __slots__ = ("_set",)

    def __init__(self) -> None:
        self._set = configuration.ConfigurationSet()

    def __call__(self, documents: dict[str, bytes]) -> list[policies.Policy]:
        new = self._set.with_snapshot(self._set.revision + 1, documents)
        if not isinstance(new, errors.Failure):
            self._set = new
        return list(self._set.policies.values())


class RunningControlProcess:
    """A control process with its servers.

    Attributes:
      controller: The controller that the servers serve.
    """

    __slots__ = (
        "_metrics",
        "_operators",
        "_peers",
        "_reporting",
        "_source",
        "controller",
    )

    def __init__(
        self,
        control: controller.Controller,
        peer_server: peers.PeerServer,
        operators: httpserver.Server,
        source: inventorysource.InventorySource,
        metrics: telemetry.Metrics,
    ) -> None:
        """Creates the object for servers that already listen."""
        self._metrics = metrics
        self._reporting = asyncio.create_task(self._report())
        self.controller = control
        self._peers = peer_server
        self._operators = operators
        self._source = source

    @property
    def failed(self) -> asyncio.Event:
        """Set when a background task has failed."""
        return self.controller.failed

    async def stop(self) -> None:
        """Releases the leader lease and closes all ports."""
        await self.controller.stop()
        await self._close()

    async def kill(self) -> int:
        """Stops at once, without releasing the leader lease.

        Returns:
          The number of requests that were cut: 0 for a control process.
        """
        await self.controller.kill()
        await self._close()
        return 0

    async def _report(self) -> None:
        """Sends gauges to statsd."""
        control = self.controller
        while True:
            leading = float(control.term is not None)
            self._metrics.gauge("control.leading", leading)
            members = len(control.members.members())
            self._metrics.gauge("control.members", members)
            self._metrics.gauge("control.revision", control.state.revision)
            await asyncio.sleep(METRICS_INTERVAL_S)

    async def _close(self) -> None:
        self._reporting.cancel()
        self._metrics.close()
        self._peers.close()
        await self._operators.close()
        self._source.close()


async def start(
    loaded: ControlSettings, service: keyvalue.KeyValueClient
) -> RunningControlProcess:
    """Starts a control process with its servers.

    Args:
      loaded: Settings of the process.
      service: Client of the key-value service.
    """
    hello = messages.Hello(
        messages.PROTOCOL_VERSION,
        messages.PROTOCOL_VERSION,
        loaded.instance,
        loaded.data_centre,
        time.time_ns(),
        controller.ROLE,
    )
    secrets = [secret.encode() for secret in loaded.peer_secrets]

    async def connect(address: str) -> peers.Link | errors.Failure:
        return await peers.connect_peer(address, hello, secrets)

    source = inventorysource.InventorySource(loaded.inventory_url)
    control = Controller(
        hello,
        calllimiter.CallLimiter(service, loaded.calls_per_s),
        source.fetch,
        connect,
        random.Random(os.urandom(16)),
        placing=planner.DataCentrePlanner(
            loaded.data_centre,
            planninground.Weights(
                late_response_cost=loaded.weights.late,
                load_cost=loaded.weights.load,
            ),
            loaded.placement_policy,
            loaded.copies,
        ),
        render=_PolicyRenderer(),
        calls_per_s=loaded.calls_per_s,
    )
    host, port = settings.parse_address(loaded.peer_listen)
    peer_server = await peers.serve_peers(
        host, port, hello, secrets, control.on_link
    )
    host, port = settings.parse_address(loaded.operator_listen)
    operators = await httpserver.serve(
        host,
        port,
        operatorport.OperatorPort(
            dump=control.dump,
            healthy=lambda: not control.failed.is_set(),
            ready=lambda: control.ready,
        ).handle,
        httpserver.ServerLimits(),
        "operators",
    )
    metrics = telemetry.Metrics(loaded.statsd)
    control.start()
    return RunningControlProcess(
        control, peer_server, operators, source, metrics
    )


def run(path: str) -> None:
    """Runs the control process with the settings file at `path`."""
    program.run(path, ControlSettings, start)


def main() -> None:
    """Entry point of `carobsail-control`."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
