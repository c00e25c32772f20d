"""HTTP handler of the operator port.

Serves health, readiness, metrics, a state dump and the answer to where a
request would go.
"""

import dataclasses
import urllib.parse
from collections.abc import Awaitable, Callable, Mapping

import msgspec

from carobsail import errors, httpserver, telemetry

_TEXT = [("content-type", "text/plain")]
_BINARY = [("content-type", "application/octet-stream")]
_JSON = [("content-type", "application/json")]


@dataclasses.dataclass(slots=True, frozen=True)
class OperatorPort:
    """Serves operators and other instances.

    Attributes:
      dump: Returns the state of the process.
      healthy: Returns whether all background tasks of the process run.
      ready: Returns whether the process accepts work.
      metrics: Returns counters and histograms as text.
      answer_peer: Answers `/changes` and `/value` requests of instances that
        cannot or should not read the store, given path and query; None if
        this process has no copy of the store.
      answer_where: Answers `/where` requests of operators, given their query,
        with JSON; None if this process sends no requests to targets.
    """

    dump: Callable[[], dict[str, object]]
    healthy: Callable[[], bool]
    ready: Callable[[], bool]
    metrics: Callable[[], str] = str
    answer_peer: (
        Callable[[str, Mapping[str, str]], Awaitable[bytes | errors.Failure]]
        | None
    ) = None
    answer_where: (
        Callable[[Mapping[str, str]], bytes | errors.Failure] | None
    ) = None

    async def handle(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        """Answers one request of an operator or of another instance."""
        match request.path:
            case "/healthz":
                await _answer(responder, self.healthy(), "healthy")
            case "/readyz":
                await _answer(responder, self.ready(), "ready")
            case "/dump":
                state = msgspec.to_builtins(self.dump(), str_keys=True)
                dump = msgspec.json.encode(telemetry.redact(state))
                await responder.send(200, _JSON, dump)
            case "/metrics":
                await responder.send(200, _TEXT, self.metrics().encode())
            case "/changes" | "/value" if self.answer_peer is not None:
                query = dict(urllib.parse.parse_qsl(request.query))
                body = await self.answer_peer(request.path, query)
                if isinstance(body, errors.Failure):
                    text = f"{body}\n".encode()
                    await responder.send(400, _TEXT, text)
                else:
                    await responder.send(200, _BINARY, body)
            case "/where" if self.answer_where is not None:
                query = dict(
                    urllib.parse.parse_qsl(
                        request.query, keep_blank_values=True
                    )
                )
                report = self.answer_where(query)
                if isinstance(report, errors.Failure):
                    text = f"{report.detail}\n".encode()
                    await responder.send(400, _TEXT, text)
                else:
                    await responder.send(200, _JSON, report)
            case _:
                await responder.send(404, _TEXT, b"not found\n")


async def _answer(
    responder: httpserver.Responder, holds: bool, condition: str
) -> None:
    text = condition if holds else f"not {condition}"
    await responder.send(200 if holds else 503, _TEXT, f"{text}\n".encode())
