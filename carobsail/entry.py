"""Entry process, which serves callers over HTTP and routes their requests."""

import asyncio
import logging
import os
import random
import time
from collections.abc import Callable
from typing import Annotated

import fire
import msgspec

from carobsail import (
    calllimiter,
    entryinstance,
    entryparts,
    errors,
    httpserver,
    keyvalue,
    messages,
    operatorport,
    peers,
    program,
    programsettings,
    routing,
    settings,
    targetclients,
    telemetry,
)

DEFAULT_CALLS_PER_S = 10.0


PositiveInt = Annotated[int, msgspec.Meta(ge=1)]


class CallerBounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the callers' port.

    Attributes:
      header_bytes: Maximum size of the request line and headers of a request.
      body_bytes: Maximum size of the body of a request.
      connections: Maximum number of open connections.
    """

    header_bytes: PositiveInt = 32_768
    body_bytes: PositiveInt = 4_194_304
    connections: PositiveInt = 4096


class EntrySettings(programsettings.ProcessSettings, frozen=True):
    """Settings of `carobsail-entry`, besides those of every process.

    Attributes:
      caller_listen: `host:port` of the callers' port.
      routing_policy: Name of the routing policy.
      stop_notice_s: Seconds between announcing a planned stop and closing the
        callers' port, so that the load balancer can notice.
      bounds: Limits of the callers' port.
    """

    caller_listen: str
    routing_policy: str = "due_time"
    stop_notice_s: Annotated[float, msgspec.Meta(ge=0, le=60)] = 1.0
    bounds: CallerBounds = CallerBounds()

    def __post_init__(self) -> None:
        """See base class."""
        programsettings.ProcessSettings.__post_init__(self)
        programsettings.require_nonempty(self, ["caller_listen"])
        programsettings.check_fields(
            self, settings.parse_address, ["caller_listen"]
        )
        programsettings.check_fields(
            self,
            programsettings.check_one_of(routing.policy_names()),
            ["routing_policy"],
        )


LinkWrapper = Callable[[peers.Link], peers.Link]


def _unchanged(link: peers.Link) -> peers.Link:
    return link


def build_instance(
    entry_settings: EntrySettings,
    key_value: keyvalue.KeyValueClient,
    wrap_link: LinkWrapper = _unchanged,
) -> entryinstance.EntryInstance:
    """Builds an instance from the settings.

    Args:
      entry_settings: Settings of the process.
      key_value: Client of the key-value service.
      wrap_link: Wraps each link, for example to delay it.
    """
    hello = messages.Hello(
        messages.PROTOCOL_VERSION,
        messages.PROTOCOL_VERSION,
        entry_settings.instance,
        entry_settings.data_centre,
        time.time_ns(),
        entryinstance.ENTRY_ROLE,
    )
    secrets = [secret.encode() for secret in entry_settings.peer_secrets]

    async def connect(address: str) -> peers.Link | errors.Failure:
        link = await peers.connect_peer(address, hello, secrets)
        return link if isinstance(link, errors.Failure) else wrap_link(link)

    limiter = calllimiter.CallLimiter(key_value, DEFAULT_CALLS_PER_S)
    return entryinstance.EntryInstance(
        entryparts.Dependencies(
            hello=hello,
            key_value=limiter,
            connect=connect,
            clients=targetclients.HttpTargetClients(),
            secrets=secrets,
            rng=random.Random(os.urandom(16)),
            wall_clock=time.time,
            metrics=telemetry.Metrics(entry_settings.statsd),
            log=logging.getLogger(telemetry.LOGGER_NAME),
            routing_policy=entry_settings.routing_policy,
            set_call_rate=limiter.set_rate,
        )
    )


class EntryServers:
    """An entry instance with its servers for callers, operators and peers.

    Attributes:
      instance: The instance.
      callers: Server on the callers' port.
      operators: Server on the operator port.
    """

    def __init__(
        self,
        instance: entryinstance.EntryInstance,
        callers: httpserver.Server,
        operators: httpserver.Server,
        peer_server: peers.PeerServer,
        stop_notice_s: float,
    ) -> None:
        """Takes servers that are listening already."""
        self._stop_notice_s = stop_notice_s
        self.instance = instance
        self.callers = callers
        self.operators = operators
        self._peers = peer_server

    @property
    def failed(self) -> asyncio.Event:
        """Set when a background task of the instance failed."""
        return self.instance.failed

    async def stop(self) -> None:
        """Stops gracefully, after the requests in flight have ended."""
        await self.instance.announce_stop()
        # The load balancer needs time to see that the instance is not ready.
        await asyncio.sleep(self._stop_notice_s)
        await self.callers.drain()
        await self.instance.stop()
        self._peers.close()
        await self.operators.close()

    async def kill(self) -> int:
        """Stops at once; returns the number of callers' requests aborted."""
        cut = await self.callers.close()
        await self.instance.kill()
        self._peers.close()
        await self.operators.close()
        return cut


async def start(
    entry_settings: EntrySettings,
    key_value: keyvalue.KeyValueClient,
    wrap_link: LinkWrapper = _unchanged,
) -> EntryServers:
    """Starts an entry instance with its servers.

    Args:
      entry_settings: Settings of the process.
      key_value: Client of the key-value service.
      wrap_link: Wraps each link, for example to delay it.
    """
    instance = build_instance(entry_settings, key_value, wrap_link)

    async def on_link(link: peers.Link) -> None:
        await instance.on_link(wrap_link(link))

    secrets = [secret.encode() for secret in entry_settings.peer_secrets]
    host, port = settings.parse_address(entry_settings.peer_listen)
    peer_server = await peers.serve_peers(
        host, port, instance.hello, secrets, on_link
    )
    host, port = settings.parse_address(entry_settings.operator_listen)
    operators = await httpserver.serve(
        host,
        port,
        operatorport.OperatorPort(
            dump=instance.dump,
            healthy=lambda: not instance.failed.is_set(),
            ready=lambda: instance.ready,
        ).handle,
        httpserver.ServerLimits(),
        "operators",
    )
    host, port = settings.parse_address(entry_settings.caller_listen)
    limits = httpserver.ServerLimits(
        header_bytes=entry_settings.bounds.header_bytes,
        body_bytes=entry_settings.bounds.body_bytes,
        connections=entry_settings.bounds.connections,
    )
    callers = await httpserver.serve(
        host, port, instance.gateway.handle, limits, "callers"
    )
    instance.start()
    return EntryServers(
        instance, callers, operators, peer_server, entry_settings.stop_notice_s
    )


def run(path: str) -> None:
    """Runs an entry instance with the settings file at `path`."""
    program.run(path, EntrySettings, start)


def main() -> None:
    """Entry point of `carobsail-entry`."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
