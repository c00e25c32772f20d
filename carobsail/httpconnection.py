"""One HTTP/1.1 connection of a server: h11 on a stream that counts bytes.

A handler receives a `Request` with its whole body and responds through a
`Responder`. Requests on one connection are served one after the other;
pipelined bytes wait in the stream.
"""

import asyncio
import dataclasses
import logging
import math
import sys
from collections.abc import Awaitable, Callable

import h11

from carobsail import (
    bufferlimit,
    callerstream,
    errors,
    loglimit,
    requestreader,
    sockets,
    telemetry,
)
from carobsail.httprequest import Request, ServerLimits
from carobsail.refusals import RefusalError

# Closing with unread input resets the connection, and the client could lose the
# refusal; so input is first read and discarded for up to this long.
_LINGER_S = 1.0
# Connections of a server that linger at the same time; the first of them is
# closed for a further one.
_MAX_LINGERING = 32
# Larger parts of a response are not copied to be written with their framing.
_MAX_JOINED_BYTES = 65_536


_log = logging.getLogger(__name__)


Handler = Callable[[Request, "Responder"], Awaitable[None]]
# Answers a request whose body has not been received if the head shows that it
# must be refused; returns whether it did.
HeadCheck = Callable[[Request, "Responder"], Awaitable[bool]]


class Responder:
    """Response to one request.

    Attributes:
      disconnected: Set when the client has disconnected; writes are then
        dropped.
      finished: Whether the end of the body was written.
    """

    __slots__ = ("_chunked", "_closes", "_connection", "_has_body",
                 "disconnected", "finished")  # fmt: skip

    def __init__(
        self, connection: "Connection", has_body: bool, closes: bool = False
    ) -> None:
        self._connection = connection
        # Whether the connection closes after the response in any case.
        self._closes = closes
        self._has_body = has_body
        # Whether h11 framed the first write as a chunk.
        self._chunked = False
        self.disconnected = asyncio.Event()
        self.finished = False

    @property
    def started(self) -> bool:
        """Whether the head was sent."""
        return (
            self._connection.h11_connection.our_state is not h11.SEND_RESPONSE
        )

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Sends the head; without a content length, the body is chunked."""
        self._start(status, headers)
        await self._connection.flush()

    def _start(self, status: int, headers: list[tuple[str, str]]) -> None:
        if status in (204, 304):
            self._has_body = False
        if self._closes or self._connection.context.draining:
            headers = [h for h in headers if h[0].lower() != "connection"]
            headers.append(("connection", "close"))
        encoded = [(k, v.encode("latin-1")) for k, v in headers]
        self._connection.send(
            h11.Response(status_code=status, headers=encoded)  # type: ignore[arg-type]
        )

    async def write(self, data: bytes) -> None:
        """Sends body bytes; waits while the client reads too slowly."""
        if not data or not self._has_body:
            return
        if self._chunked and not (self.finished or self.disconnected.is_set()):
            # Bypasses h11, which is slower and keeps no state between the
            # chunks that it sends.
            self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            parts = self._connection.send(h11.Data(data=data))
            self._chunked = parts == [b"%x\r\n" % len(data), data, b"\r\n"]
        await self._connection.flush()

    async def finish(self) -> None:
        """Ends the body."""
        self._connection.send(h11.EndOfMessage())
        self.finished = True
        self._connection.end_running()
        await self._connection.flush()

    async def send(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Sends a whole response."""
        headers = [h for h in headers if h[0].lower() != "content-length"]
        self._start(status, [*headers, ("content-length", str(len(body)))])
        if body and self._has_body:
            self._connection.send(h11.Data(data=body))
        await self.finish()

    def abort(self) -> None:
        """Closes the connection without finishing the body."""
        self._connection.abort()


@dataclasses.dataclass(slots=True)
class ServerContext:
    """State that the connections of a server share.

    Attributes:
      handler: Responds to each request.
      limits: Limits of the server.
      draining: Whether every response that starts now closes its connection.
      buffers: Limit of the bytes held for clients.
      check_head: Refuses requests before their body is received.
      log_limit: Limit of the log lines caused by clients.
      lingering: Connections that discard input after a refusal, oldest first.
      refused: Number of requests that were refused without the handler.
    """

    handler: Handler
    limits: ServerLimits
    draining: bool = False
    buffers: bufferlimit.BufferLimit = dataclasses.field(
        default_factory=lambda: bufferlimit.BufferLimit(math.inf)
    )
    check_head: HeadCheck | None = None
    log_limit: loglimit.LogLimit = dataclasses.field(
        default_factory=lambda: loglimit.LogLimit(0.0)
    )
    lingering: dict["Connection", None] = dataclasses.field(
        default_factory=dict
    )
    refused: int = 0


class Connection:
    """One client connection.

    Attributes:
      context: State shared with the other connections of the server.
      h11_connection: Protocol state.
      idle: Whether no request is in flight.
      responder: Response to the request in flight, if any.
    """

    def __init__(
        self, context: "ServerContext", stream: callerstream.CallerStream
    ) -> None:
        self.context = context
        # h11 takes its limit when the connection is created, but the server's
        # may change later; `_receive_more` enforces the current one instead.
        self.h11_connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=sys.maxsize
        )
        self.idle = True
        self.responder: Responder | None = None
        self.stream = stream
        stream.on_end = self._mark_disconnected
        stream.on_given_up = self.give_up
        self._transport = stream.transport
        peer = self._transport.get_extra_info("peername")
        self._client_host = str(peer[0]) if peer else "unknown"
        self._client_address = f"{peer[0]}:{peer[1]}" if peer else "unknown"
        self._reader = requestreader.RequestReader(
            self, stream, self.h11_connection, self._client_address
        )

    @property
    def limits(self) -> ServerLimits:
        """Limits in force."""
        return self.context.limits

    @property
    def silent_since(self) -> float | None:
        """Time since which it was silent; None while a response is due."""
        busy = self.responder is not None or self in self.context.lingering
        if busy or self._transport.is_closing():
            return None
        return self.stream.last_input_at

    def send(self, event: h11.Event) -> list[bytes]:
        """Writes one event to the transport; returns it as h11 encoded it."""
        if self.responder and self.responder.disconnected.is_set():
            return []
        parts = self.h11_connection.send_with_data_passthrough(event) or []
        if isinstance(event, h11.Data) and len(event.data) > _MAX_JOINED_BYTES:
            for part in parts:
                self._transport.write(part)
        else:
            self._transport.write(b"".join(parts))
        return parts

    def write(self, data: bytes) -> None:
        """Writes body bytes that are framed already to the transport."""
        self._transport.write(data)

    async def flush(self) -> None:
        """Waits until the transport accepts more.

        Aborts the connection of a client that stops reading.
        """
        if not self._transport.get_write_buffer_size():
            return
        loop = asyncio.get_running_loop()
        self.stream.count(loop.time())
        try:
            async with asyncio.timeout(self.context.limits.write_timeout_s):
                await self.stream.drain()
        except (TimeoutError, ConnectionError):
            self._mark_disconnected()
            self._transport.abort()
        self.stream.count(loop.time())

    def _mark_disconnected(self) -> None:
        if self.responder:
            self.responder.disconnected.set()

    def abort(self) -> None:
        """Closes the connection so that the client sees an incomplete body."""
        self._mark_disconnected()
        if self.h11_connection.their_http_version == b"1.0":
            # For an HTTP/1.0 client an orderly close ends the body; only a
            # reset shows that it is incomplete.
            sockets.reset(self._transport)
        else:
            self._transport.close()

    def end_running(self) -> None:
        """Counts a response as written: no target runs its request."""
        buffer = self.stream.buffer
        if buffer.running:
            buffer.running = False
            buffer.progressed_at = asyncio.get_running_loop().time()

    def give_up(self) -> None:
        """Frees the bytes held for the connection, as its limit requires."""
        held_bytes = self.stream.buffer.size
        self._reader.body = bytearray()
        loop = asyncio.get_running_loop()
        reading = self.responder is None and self not in self.context.lingering
        left_out = self.context.log_limit.admit(
            self._client_host, "held bytes", loop.time()
        )
        if left_out is not None:
            telemetry.log(
                _log,
                "connection_given_up",
                level=logging.WARNING,
                peer=self._client_address,
                held_bytes=held_bytes,
                reading=reading,
                left_out=left_out,
            )
        if reading:
            self.stream.fail(
                RefusalError(
                    408, "too many bytes are held", errors.Reason.TIMEOUT
                )
            )
        else:
            self._mark_disconnected()
            self._transport.abort()

    async def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            while await self._serve_one():
                self.h11_connection.start_next_cycle()
                if self.stream.input:
                    # Pipelined requests must not keep others waiting.
                    await asyncio.sleep(0)
        except RefusalError as refusal:
            await self._send_refusal(refusal)
        except h11.RemoteProtocolError as error:
            await self._send_refusal(
                RefusalError(error.error_status_hint, str(error))
            )
        except OSError:
            pass
        finally:
            await self._close()

    async def reject(self) -> None:
        """Refuses a connection above the limit on connections."""
        try:
            await self._send_refusal(
                RefusalError(
                    503, "too many connections", errors.Reason.OVERLOADED
                )
            )
        finally:
            await self._close()

    async def _serve_one(self) -> bool:
        """Serves one request; returns whether another may follow."""
        self.idle = True
        request = await self._reader.read()
        if request is None:
            return False
        responder = Responder(self, request.method != "HEAD")
        self.responder = responder
        if self.stream.ended:
            responder.disconnected.set()
        self.stream.resume()
        try:
            await self.context.handler(request, responder)
        except Exception:
            _log.exception("handler failed", extra={"path": request.path})
            if not responder.started:
                await responder.send(500, [], b"")
        if not responder.finished or responder.disconnected.is_set():
            self.abort()
            return False
        self.end_running()
        self.responder = None
        self.stream.held_bytes = 0
        self.stream.count(asyncio.get_running_loop().time())
        return (
            self.h11_connection.our_state is h11.DONE
            and self.h11_connection.their_state is h11.DONE
        )

    async def refused_by_head(self, request: Request) -> bool:
        """Answers a request that its head alone shows must be refused."""
        if self.context.check_head is None:
            return False
        responder = Responder(self, request.method != "HEAD", closes=True)
        try:
            if not await self.context.check_head(request, responder):
                return False
        except Exception:
            _log.exception("head check failed", extra={"path": request.path})
            if not responder.started:
                return False  # The handler decides once the body is there.
        self.context.refused += 1
        await self._linger()
        return True

    async def _send_refusal(self, refusal: RefusalError) -> None:
        """Responds without a handler and stops sending."""
        self.context.refused += 1
        if self.h11_connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            left_out = self.context.log_limit.admit(
                self._client_host,
                f"{refusal.status} {refusal}",
                asyncio.get_running_loop().time(),
            )
            if left_out is not None:
                refusal.log(
                    self._client_address, self._reader.request_target, left_out
                )
            body, headers = refusal.build_response()
            self.send(
                h11.Response(status_code=refusal.status, headers=headers)  # type: ignore[arg-type]
            )
            self.send(h11.Data(data=body))
            self.send(h11.EndOfMessage())
        await self._linger()

    async def _linger(self) -> None:
        """Stops sending, and discards input until the client closes."""
        lingering = self.context.lingering
        if len(lingering) >= _MAX_LINGERING:
            oldest = next(iter(lingering))
            del lingering[oldest]
            oldest.stream.transport.abort()
        lingering[self] = None
        self._reader.body = bytearray()
        self.stream.discard()
        self.stream.count(asyncio.get_running_loop().time())
        try:
            async with asyncio.timeout(_LINGER_S):
                if self._transport.can_write_eof():
                    self._transport.write_eof()
                while await self.stream.receive():
                    pass
        except (TimeoutError, OSError):
            pass
        finally:
            lingering.pop(self, None)

    async def _close(self) -> None:
        self._transport.close()
        try:
            async with asyncio.timeout(self.context.limits.write_timeout_s):
                await asyncio.shield(self.stream.closed)
        except (TimeoutError, OSError):
            self._transport.abort()

    def close_idle(self) -> None:
        """Closes the connection if no request is in flight."""
        if self.idle:
            self._transport.close()

    def close_silent(self) -> None:
        """Closes a connection to which no response is due."""
        self._transport.abort()

    def kill(self) -> bool:
        """Aborts the connection; returns whether a request was in flight."""
        if not self.idle:
            self.abort()
        self._mark_disconnected()
        self._transport.abort()
        return not self.idle
