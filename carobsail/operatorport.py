"""Operator port of a process: health, readiness and state dump."""

import dataclasses
import urllib.parse
from collections.abc import Callable

import msgspec

from carobsail import httpserver, telemetry

_TEXT = [("content-type", "text/plain")]
_BINARY = [("content-type", "application/octet-stream")]
_JSON = [("content-type", "application/json")]


@dataclasses.dataclass(slots=True, frozen=True)
class OperatorPort:
    """Answers operators.

    Attributes:
      dump: Returns the state as plain data.
      healthy: Tells whether all duties of the process run.
      ready: Tells whether the process takes work.
      metrics: Returns counters and histograms as text.
      snapshot: Returns what is known of the store, or of one key, for an
        instance that cannot or should not ask the store itself.
    """

    dump: Callable[[], dict[str, object]]
    healthy: Callable[[], bool]
    ready: Callable[[], bool]
    metrics: Callable[[], str] = str
    snapshot: Callable[[str | None], bytes] = lambda key: b""

    async def handle(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        """Answers `/healthz`, `/readyz`, `/dump`, `/metrics`, `/snapshot`."""
        match request.path:
            case "/healthz":
                await _answer(responder, self.healthy(), "healthy")
            case "/readyz":
                await _answer(responder, self.ready(), "ready")
            case "/dump":
                plain = msgspec.to_builtins(self.dump(), str_keys=True)
                body = msgspec.json.encode(telemetry.redact(plain))
                await responder.send(200, _JSON, body)
            case "/metrics":
                await responder.send(200, _TEXT, self.metrics().encode())
            case "/snapshot":
                query = urllib.parse.parse_qs(request.query)
                key = query.get("key", [None])[0]
                await responder.send(200, _BINARY, self.snapshot(key))
            case _:
                await responder.send(404, _TEXT, b"not found\n")


async def _answer(
    responder: httpserver.Responder, holds: bool, word: str
) -> None:
    text = word if holds else f"not {word}"
    await responder.send(200 if holds else 503, _TEXT, f"{text}\n".encode())
