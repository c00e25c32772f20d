"""The control process: candidate for leader of a data centre."""

import asyncio
import os
import random
import signal
import sys
import time

import fire
import msgspec

from carobsail import (
    callmeter,
    configuration,
    controller,
    errors,
    etcd,
    httpserver,
    inventorysource,
    messages,
    peers,
    policies,
    settings,
    telemetry,
)
from carobsail.controller import Controller

__all__ = ["ControlSettings", "Controller", "main", "serve"]


class ControlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of `carobsail-control`.

    Attributes:
      instance: Name of the instance.
      data_centre: Data centre of the instance.
      peer_listen: `host:port` of the peer port.
      operator_listen: `host:port` of the operator port.
      key_value_url: URL of the key-value service.
      inventory_url: URL of the platform's inventory document.
      peer_secrets: Shared secrets; the first is current, others are accepted.
      statsd: `host:port` of the statsd server; empty for none.
      calls_per_s: Key-value call budget of the data centre.
    """

    instance: str
    data_centre: str
    peer_listen: str
    operator_listen: str
    key_value_url: str
    inventory_url: str
    peer_secrets: list[str]
    statsd: str = ""
    calls_per_s: float = controller.DEFAULT_CALLS_PER_S


class _Rendering:
    """Renders policies, and only the accounts that changed."""

    __slots__ = ("_set",)

    def __init__(self) -> None:
        self._set = configuration.ConfigurationSet()

    def __call__(self, documents: dict[str, bytes]) -> list[policies.Policy]:
        new = self._set.replaced_by(self._set.revision + 1, documents)
        if not isinstance(new, errors.Failure):
            self._set = new
        return list(self._set.policies.values())


async def serve(loaded: ControlSettings) -> int:
    """Runs the process until SIGTERM; a second signal stops at once.

    Args:
      loaded: Settings of the process.

    Returns:
      The exit code: 0 after a planned stop, 1 after a fault.
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

    service = etcd.EtcdGateway(loaded.key_value_url.removeprefix("http://"))
    source = inventorysource.InventorySource(loaded.inventory_url)
    process = Controller(
        hello,
        callmeter.CallMeter(service, loaded.calls_per_s),
        source.fetch,
        connect,
        random.Random(os.urandom(16)),
        render=_Rendering(),
        calls_per_s=loaded.calls_per_s,
    )
    host, port = settings.parse_address(loaded.peer_listen)
    server = await peers.serve_peers(
        host, port, hello, secrets, process.on_link
    )
    host, port = settings.parse_address(loaded.operator_listen)
    operator = await httpserver.serve(
        host,
        port,
        _Operator(process).handle,
        httpserver.Bounds(),
        "operator",
    )
    process.start()
    await _until_signal(process.failed)
    await process.stop()
    server.close()
    await operator.close()
    source.close()
    service.close()
    return 1 if process.failed.is_set() else 0


class _Operator:
    """The operator port."""

    __slots__ = ("_controller",)

    def __init__(self, controller: Controller) -> None:
        self._controller = controller

    async def handle(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        text, body = [("content-type", "text/plain")], b""
        status = 404
        if request.path == "/healthz":
            status = 503 if self._controller.failed.is_set() else 200
        elif request.path == "/readyz":
            status = 200 if self._controller.ready else 503
        elif request.path == "/dump":
            status = 200
            text = [("content-type", "application/json")]
            body = msgspec.json.encode(self._controller.dump())
        await responder.send(status, text, body)


async def _until_signal(failed: asyncio.Event) -> None:
    """Waits for SIGTERM, SIGINT or a fault; a second signal ends at once."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()

    def stop() -> None:
        if stopped.is_set():
            os._exit(1)
        stopped.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    waits = [asyncio.create_task(e.wait()) for e in (failed, stopped)]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


def run(path: str) -> None:
    """Runs the control process with the settings file at `path`."""
    try:
        loaded = settings.load(path, ControlSettings)
    except settings.SettingsError as error:
        raise SystemExit(str(error)) from error
    telemetry.configure_logging("info", sys.stderr)
    raise SystemExit(asyncio.run(serve(loaded)))


def main() -> None:
    """Entry point of `carobsail-control`."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
