"""One HTTP/1.1 connection of a server: h11 on asyncio streams.

A handler receives a `Request` with its whole body and responds through a
`Responder`. Requests on one connection are served one after the other;
pipelined bytes wait in the connection's buffer.
"""

import asyncio
import dataclasses
import logging
import re
import sys
from collections.abc import Awaitable, Callable

import h11

from carobsail import errors, sockets
from carobsail.refusals import RefusalError

_READ_BYTES = 65_536
# A client that has sent more pipelined bytes than this is not read from until
# its current response is finished; until then a disconnect is not noticed.
_MAX_PIPELINED_BYTES = 65_536
# Closing with unread input resets the connection, and the client could lose the
# refusal; so input is first read and discarded for up to this long.
_LINGER_S = 1.0
# Absolute form of a request target: the authority and the rest.
_ABSOLUTE_FORM = re.compile(r"https?://([^/?#]+)(.*)", re.IGNORECASE)


_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class ServerLimits:
    """Limits that a server applies to its clients.

    Attributes:
      header_bytes: Size of the request line and headers of one request.
      body_bytes: Size of the body of one request.
      connections: Number of open connections.
      idle_timeout_s: Seconds that a connection waits for its next request.
      header_timeout_s: Seconds from the first byte of a request to the end of
        its headers.
      body_timeout_s: Seconds from the end of the headers to the end of the
        body.
      write_timeout_s: Seconds that a client may leave its response unread.
    """

    header_bytes: int = 32_768
    body_bytes: int = 4_194_304
    connections: int = 4096
    idle_timeout_s: float = 75.0
    header_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    write_timeout_s: float = 30.0


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """A received request; header names are in lower case.

    Attributes:
      method: HTTP method.
      path: Path without the query.
      query: Query without the question mark.
      headers: Headers in order.
      body: Whole body.
      client_address: `host:port` of the HTTP client.
      request_target: Request target as received: path and query. If it was in
        absolute form, only the part after the host.
    """

    method: str
    path: str
    query: str
    headers: list[tuple[str, str]]
    body: bytes
    client_address: str
    request_target: str = ""

    def header(self, name: str) -> str | None:
        """Returns the first header named `name` (in lower case)."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


Handler = Callable[[Request, "Responder"], Awaitable[None]]


class Responder:
    """Response to one request.

    Attributes:
      disconnected: Set when the client has disconnected; writes are then
        dropped.
      finished: Whether the end of the body was written.
    """

    __slots__ = ("_chunked", "_connection", "_has_body", "disconnected",
                 "finished")  # fmt: skip

    def __init__(self, connection: "Connection", has_body: bool) -> None:
        self._connection = connection
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
        if self._connection.context.draining:
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
    """

    handler: Handler
    limits: ServerLimits
    draining: bool = False


class Connection:
    """One client connection.

    Attributes:
      context: State shared with the other connections of the server.
      h11_connection: Protocol state.
      idle: Whether no request is in flight.
      responder: Response to the request in flight, if any.
    """

    def __init__(
        self,
        context: "ServerContext",
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.context = context
        # h11 takes its limit when the connection is created, but the server's
        # may change later; `_receive_more` enforces the current one instead.
        self.h11_connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=sys.maxsize
        )
        self.idle = True
        self.responder: Responder | None = None
        self._reader = reader
        self._writer = writer
        peer = writer.get_extra_info("peername")
        self._client_address = f"{peer[0]}:{peer[1]}" if peer else "unknown"
        # Path and query of the request being read, for the log line of its
        # refusal.
        self._request_target = ""

    def send(self, event: h11.Event) -> list[bytes]:
        """Writes one event to the transport; returns it as h11 encoded it."""
        if self.responder and self.responder.disconnected.is_set():
            return []
        parts = self.h11_connection.send_with_data_passthrough(event) or []
        self._writer.write(b"".join(parts))
        return parts

    def write(self, data: bytes) -> None:
        """Writes body bytes that are framed already to the transport."""
        self._writer.write(data)

    async def flush(self) -> None:
        """Waits until the transport accepts more.

        Aborts the connection of a client that stops reading.
        """
        if not self._writer.transport.get_write_buffer_size():
            return
        try:
            async with asyncio.timeout(self.context.limits.write_timeout_s):
                await self._writer.drain()
        except (TimeoutError, ConnectionError):
            self._mark_disconnected()
            self._writer.transport.abort()

    def _mark_disconnected(self) -> None:
        if self.responder:
            self.responder.disconnected.set()

    def abort(self) -> None:
        """Closes the connection so that the client sees an incomplete body."""
        self._mark_disconnected()
        if self.h11_connection.their_http_version == b"1.0":
            # For an HTTP/1.0 client an orderly close ends the body; only a
            # reset shows that it is incomplete.
            sockets.reset(self._writer.transport)
        else:
            self._writer.close()

    async def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            while await self._serve_one():
                self.h11_connection.start_next_cycle()
        except RefusalError as refusal:
            await self._send_refusal(refusal)
        except h11.RemoteProtocolError as error:
            await self._send_refusal(
                RefusalError(error.error_status_hint, str(error))
            )
        except ConnectionError:
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
        request = await self._read_request()
        if request is None:
            return False
        responder = Responder(self, request.method != "HEAD")
        self.responder = responder
        watch = asyncio.create_task(self._watch_for_disconnect(responder))
        try:
            await self.context.handler(request, responder)
        except Exception:
            _log.exception("handler failed", extra={"path": request.path})
            if not responder.started:
                await responder.send(500, [], b"")
        finally:
            watch.cancel()
            # A StreamReader allows one reader at a time: the watch must have
            # ended before the next request is read.
            await asyncio.wait({watch})
        if not responder.finished or responder.disconnected.is_set():
            self.abort()
            return False
        self.responder = None
        return (
            self.h11_connection.our_state is h11.DONE
            and self.h11_connection.their_state is h11.DONE
        )

    async def _watch_for_disconnect(self, responder: Responder) -> None:
        """Detects that the client disconnects while it is being served.

        Bytes that arrive meanwhile belong to pipelined requests.
        """
        while len(self.h11_connection.trailing_data[0]) < _MAX_PIPELINED_BYTES:
            try:
                data = await self._reader.read(_READ_BYTES)
            except OSError:
                data = b""
            if not data:
                responder.disconnected.set()
                return
            self.h11_connection.receive_data(data)

    async def _read_request(self) -> Request | None:
        self._request_target = ""
        event = self.h11_connection.next_event()
        if event is h11.NEED_DATA and not self.h11_connection.trailing_data[0]:
            if not await self._await_first_bytes():
                return None
            event = self.h11_connection.next_event()
        self.idle = False
        # The limits in force when the request starts, which may differ from
        # those when the connection became idle.
        limits = self.context.limits
        try:
            async with asyncio.timeout(limits.header_timeout_s):
                while event is h11.NEED_DATA:
                    await self._receive_more(limits)
                    event = self.h11_connection.next_event()
        except TimeoutError:
            raise RefusalError(
                408, "request headers took too long", errors.Reason.TIMEOUT
            ) from None
        if not isinstance(event, h11.Request):
            return None
        target = self._request_target = event.target.decode("latin-1")
        # `_receive_more` does not limit headers that arrive in one read. Adds 3
        # bytes for the colon and the line end of each header; the optional
        # space after the colon is not counted.
        size = sum(len(k) + len(v) + 3 for k, v in event.headers)
        if size + len(event.target) > limits.header_bytes:
            raise RefusalError(
                431, f"headers exceed {limits.header_bytes} bytes"
            )
        headers = [(k.decode(), v.decode("latin-1")) for k, v in event.headers]
        names = {name for name, _ in headers}
        if {"content-length", "transfer-encoding"} <= names:
            # Request smuggling: the two may end the body at different places,
            # and the bytes between would be read as another request (RFC 9112,
            # 6.1).
            raise RefusalError(400, "both a length and a transfer coding")
        try:
            async with asyncio.timeout(limits.body_timeout_s):
                body = await self._read_body(headers, limits)
        except TimeoutError:
            raise RefusalError(
                408, "request body took too long", errors.Reason.TIMEOUT
            ) from None
        if absolute := _ABSOLUTE_FORM.fullmatch(target):
            # The host in the request target overrides the Host header (RFC
            # 9112, 3.2.2).
            host = absolute[1].rpartition("@")[2]
            headers = [("host", host), *(h for h in headers if h[0] != "host")]
            target = absolute[2]
            if not target.startswith("/"):
                target = "/" + target
        path, _, query = target.partition("?")
        method = event.method.decode()
        return Request(
            method, path, query, headers, body, self._client_address, target
        )

    async def _await_first_bytes(self) -> bool:
        """Waits for the first bytes of a request.

        The idle timeout may change during the wait; a longer one applies at
        once.

        Returns:
          Whether any bytes arrived in time.
        """
        loop = asyncio.get_running_loop()
        idle_since = loop.time()
        while True:
            idle_s = self.context.limits.idle_timeout_s
            try:
                async with asyncio.timeout_at(idle_since + idle_s):
                    await self._receive()
                return True
            except TimeoutError:
                if self.context.limits.idle_timeout_s <= idle_s:
                    return False

    async def _read_body(
        self, headers: list[tuple[str, str]], limits: ServerLimits
    ) -> bytes:
        limit = limits.body_bytes
        refusal = RefusalError(
            413, f"body exceeds {limit} bytes", errors.Reason.BODY_TOO_LARGE
        )
        length = next((v for k, v in headers if k == "content-length"), "0")
        if int(length) > limit:
            raise refusal
        if self.h11_connection.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))
        parts: list[bytes] = []
        size = 0
        while True:
            event = self.h11_connection.next_event()
            if event is h11.NEED_DATA:
                await self._receive_more(limits)
            elif isinstance(event, h11.Data):
                parts.append(event.data)
                size += len(event.data)
                if size > limit:
                    raise refusal
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise ConnectionResetError("request ended early")

    async def _receive_more(self, limits: ServerLimits) -> None:
        """Receives more of an incomplete head, chunk size line or trailer.

        Raises:
          RefusalError: The incomplete part exceeds the limit on headers.
        """
        if len(self.h11_connection.trailing_data[0]) > limits.header_bytes:
            raise RefusalError(
                431, f"headers exceed {limits.header_bytes} bytes"
            )
        await self._receive()

    async def _receive(self) -> None:
        self.h11_connection.receive_data(await self._reader.read(_READ_BYTES))

    async def _send_refusal(self, refusal: RefusalError) -> None:
        """Responds without a handler and stops sending."""
        if self.h11_connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body, headers = refusal.build_response(
                self._client_address, self._request_target
            )
            self.send(
                h11.Response(status_code=refusal.status, headers=headers)  # type: ignore[arg-type]
            )
            self.send(h11.Data(data=body))
            self.send(h11.EndOfMessage())
        try:
            async with asyncio.timeout(_LINGER_S):
                if self._writer.can_write_eof():
                    self._writer.write_eof()
                while await self._reader.read(_READ_BYTES):
                    pass
        except (TimeoutError, OSError):
            pass

    async def _close(self) -> None:
        self._writer.close()
        try:
            async with asyncio.timeout(self.context.limits.write_timeout_s):
                await self._writer.wait_closed()
        except (TimeoutError, OSError):
            self._writer.transport.abort()

    def close_idle(self) -> None:
        """Closes the connection if no request is in flight."""
        if self.idle:
            self._writer.close()

    def kill(self) -> bool:
        """Aborts the connection; returns whether a request was in flight."""
        if not self.idle:
            self.abort()
        self._mark_disconnected()
        self._writer.transport.abort()
        return not self.idle
