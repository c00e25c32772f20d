"""Stand-in for a plain service with bookings and registrations."""

import asyncio
import collections
import enum

import msgspec
import xxhash

from carobsail import httpserver

_JSON_HEADERS = [("content-type", "application/json")]


class ServiceCut(enum.StrEnum):
    """Whether a connection is cut before or after the execution."""

    BEFORE_EXECUTION = "before_execution"
    AFTER_EXECUTION = "after_execution"


class ServiceStandin:
    """Serves `POST /bookings` and `GET /registrations/<id>`.

    Attributes:
      address: `host:port` once started.
      latency_s: Seconds before a call takes effect.
      cut_stage: Whether the next `calls_to_cut` booking calls are cut before or
        after their execution.
      calls_to_cut: Number of upcoming booking calls to cut.
      calls_to_refuse: Number of upcoming calls that are refused as not started.
      executions: Number of bookings made, by request body.
      bookings: Request bodies of the bookings, in order.
    """

    def __init__(self, latency_s: float = 0.0) -> None:
        self.address = ""
        self.latency_s = latency_s
        self.cut_stage = ServiceCut.AFTER_EXECUTION
        self.calls_to_cut = 0
        self.calls_to_refuse = 0
        self.executions: collections.Counter[bytes] = collections.Counter()
        self.bookings: list[bytes] = []
        self._server: httpserver.Server | None = None

    async def start(self, host: str, port: int = 0) -> None:
        """Starts listening."""
        self._server = await httpserver.serve(
            host,
            port,
            self._handle,
            httpserver.ServerLimits(),
            "service-standin",
        )
        self.address = f"{host}:{self._server.port}"

    async def stop(self) -> None:
        """Cuts all connections and stops listening."""
        if self._server:
            await self._server.close()

    async def _handle(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        if self.calls_to_refuse:
            self.calls_to_refuse -= 1
            headers = [("x-not-started", "1"), ("retry-after", "1")]
            await responder.send(503, headers, b"")
            return
        await asyncio.sleep(self.latency_s)
        prefix = "/registrations/"
        if (request.method, request.path) == ("POST", "/bookings"):
            await self._book(request, responder)
        elif request.method == "GET" and request.path.startswith(prefix):
            registration = request.path.removeprefix(prefix)
            vehicle = xxhash.xxh64_hexdigest(registration.encode())
            body = {"registration": registration, "vehicle": vehicle}
            await responder.send(200, _JSON_HEADERS, msgspec.json.encode(body))
        else:
            await responder.send(404, [], b"")

    async def _book(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        cut = self.calls_to_cut > 0
        self.calls_to_cut -= cut
        if cut and self.cut_stage is ServiceCut.BEFORE_EXECUTION:
            responder.abort()
            return
        self.executions[request.body] += 1
        self.bookings.append(request.body)
        if cut:
            responder.abort()
            return
        body = {
            "booking": len(self.bookings),
            "request": xxhash.xxh64_hexdigest(request.body),
        }
        await responder.send(201, _JSON_HEADERS, msgspec.json.encode(body))
