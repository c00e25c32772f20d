"""One HTTP/1.1 connection of a server: h11 on asyncio streams.

A handler receives a whole `Request` and answers through a `Responder`.
Requests of one connection are served one after the other; pipelined bytes
wait in the connection's buffer.
"""

import asyncio
import dataclasses
import logging
import re
import sys
from collections.abc import Awaitable, Callable

import h11

from carobsail import errors
from carobsail.refusals import RefusalError

_READ_BYTES = 65_536
# A caller that sent more pipelined bytes than this is not read from, and not
# watched for its departure, until its current answer is finished.
_PIPELINED_BYTES = 65_536
# Lets a caller read an early refusal before unread bytes reset the connection.
_LINGER_S = 1.0
# Absolute form of a request target, with its authority and what follows.
_ABSOLUTE_FORM = re.compile(r"https?://([^/?#]+)(.*)", re.IGNORECASE)


_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds of a server.

    Attributes:
      header_bytes: Request line and headers of one request.
      body_bytes: Body of one request.
      connections: Open connections.
      idle_timeout_s: Seconds that a connection waits for its next request.
      header_timeout_s: Seconds from a request's first byte to its headers.
      body_timeout_s: Seconds from a request's headers to its whole body.
      write_timeout_s: Seconds that a caller may leave its answer unread.
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
      client: `host:port` of the caller.
      target: Path and query as received; of an absolute target, what follows
        its host.
    """

    method: str
    path: str
    query: str
    headers: list[tuple[str, str]]
    body: bytes
    client: str
    target: str = ""

    def header(self, name: str) -> str | None:
        """Returns the first header called `name` (in lower case)."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


Handler = Callable[[Request, "Responder"], Awaitable[None]]


class Responder:
    """Answer to one request.

    Writes after the caller left are dropped; `disconnected` is set then.
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
        return self._connection.machine.our_state is not h11.SEND_RESPONSE

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Sends the head; the body is chunked without a content length."""
        self._start(status, headers)
        await self._connection.flush()

    def _start(self, status: int, headers: list[tuple[str, str]]) -> None:
        if status in (204, 304):
            self._has_body = False
        if self._connection.settings.draining:
            headers = [h for h in headers if h[0].lower() != "connection"]
            headers.append(("connection", "close"))
        encoded = [(k, v.encode("latin-1")) for k, v in headers]
        self._connection.send(
            h11.Response(status_code=status, headers=encoded)  # type: ignore[arg-type]
        )

    async def write(self, data: bytes) -> None:
        """Sends body bytes; waits while the caller reads too slowly."""
        if not data or not self._has_body:
            return
        if self._chunked and not (self.finished or self.disconnected.is_set()):
            # h11 keeps no state for chunks that it sends, and takes longer.
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
        """Sends a whole answer."""
        headers = [h for h in headers if h[0].lower() != "content-length"]
        self._start(status, [*headers, ("content-length", str(len(body)))])
        if body and self._has_body:
            self._connection.send(h11.Data(data=body))
        await self.finish()

    def abort(self) -> None:
        """Closes the connection without the end of the body."""
        self._connection.cut()


@dataclasses.dataclass(slots=True)
class Settings:
    """What the connections of a server share.

    Attributes:
      handler: Answers each request.
      bounds: Bounds of the server.
      draining: Whether each further answer closes its connection.
    """

    handler: Handler
    bounds: Bounds
    draining: bool = False


class Connection:
    """One caller's connection."""

    def __init__(
        self,
        settings: "Settings",
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.settings = settings
        # h11's own bound would hold for the whole connection, while the
        # server's may change; `_receive_more` applies it instead.
        self.machine = h11.Connection(
            h11.SERVER, max_incomplete_event_size=sys.maxsize
        )
        self.idle = True
        self.responder: Responder | None = None
        self._reader = reader
        self._writer = writer
        peer = writer.get_extra_info("peername")
        self._client = f"{peer[0]}:{peer[1]}" if peer else "unknown"
        # Path and query of the request that is being read, for its refusal.
        self._target = ""

    def send(self, event: h11.Event) -> list[bytes]:
        """Passes one event to the transport; returns what h11 made of it."""
        if self.responder and self.responder.disconnected.is_set():
            return []
        parts = self.machine.send_with_data_passthrough(event) or []
        self._writer.write(b"".join(parts))
        return parts

    def write(self, data: bytes) -> None:
        """Passes framed body bytes to the transport."""
        self._writer.write(data)

    async def flush(self) -> None:
        """Waits until the transport accepts more; cuts a stalled caller."""
        if not self._writer.transport.get_write_buffer_size():
            return
        try:
            async with asyncio.timeout(self.settings.bounds.write_timeout_s):
                await self._writer.drain()
        except (TimeoutError, ConnectionError):
            self._leave()
            self._writer.transport.abort()

    def _leave(self) -> None:
        if self.responder:
            self.responder.disconnected.set()

    def cut(self) -> None:
        """Closes the connection so that the caller sees an unfinished body."""
        self._leave()
        if self.machine.their_http_version == b"1.0":
            # Only a reset tells an HTTP/1.0 caller that the body is cut.
            self._writer.transport.abort()
        else:
            self._writer.close()

    async def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            while await self._serve_one():
                self.machine.start_next_cycle()
        except RefusalError as refusal:
            await self._refuse(refusal)
        except h11.RemoteProtocolError as error:
            await self._refuse(
                RefusalError(error.error_status_hint, str(error))
            )
        except ConnectionError:
            pass
        finally:
            await self._close()

    async def turn_away(self) -> None:
        """Refuses a connection above the bound."""
        try:
            await self._refuse(
                RefusalError(
                    503, "too many connections", errors.Reason.OVERLOADED
                )
            )
        finally:
            await self._close()

    async def _serve_one(self) -> bool:
        """Serves one request; tells whether another may follow."""
        self.idle = True
        request = await self._read_request()
        if request is None:
            return False
        responder = Responder(self, request.method != "HEAD")
        self.responder = responder
        watch = asyncio.create_task(self._watch(responder))
        try:
            await self.settings.handler(request, responder)
        except Exception:
            _log.exception("handler failed", extra={"path": request.path})
            if not responder.started:
                await responder.send(500, [], b"")
        finally:
            watch.cancel()
            # A stream has one reader: the watch must be gone before the next
            # request is read.
            await asyncio.wait({watch})
        if not responder.finished or responder.disconnected.is_set():
            self.cut()
            return False
        self.responder = None
        return (
            self.machine.our_state is h11.DONE
            and self.machine.their_state is h11.DONE
        )

    async def _watch(self, responder: Responder) -> None:
        """Notices that the caller left while its answer is under way."""
        while len(self.machine.trailing_data[0]) < _PIPELINED_BYTES:
            try:
                data = await self._reader.read(_READ_BYTES)
            except OSError:
                data = b""
            if not data:
                responder.disconnected.set()
                return
            self.machine.receive_data(data)

    async def _read_request(self) -> Request | None:
        self._target = ""
        event = self.machine.next_event()
        if event is h11.NEED_DATA and not self.machine.trailing_data[0]:
            if not await self._receive_first():
                return None
            event = self.machine.next_event()
        self.idle = False
        # Those in force when the request begins, not when the wait for it did.
        bounds = self.settings.bounds
        try:
            async with asyncio.timeout(bounds.header_timeout_s):
                while event is h11.NEED_DATA:
                    await self._receive_more(bounds)
                    event = self.machine.next_event()
        except TimeoutError:
            raise RefusalError(
                408, "request headers took too long", errors.Reason.TIMEOUT
            ) from None
        if not isinstance(event, h11.Request):
            return None
        target = self._target = event.target.decode("latin-1")
        # Headers that arrive at once are not bounded by `_receive_more`. A line
        # has a colon and a line end besides; the blank after a colon, which is
        # optional, is not counted.
        size = sum(len(k) + len(v) + 3 for k, v in event.headers)
        if size + len(event.target) > bounds.header_bytes:
            raise RefusalError(
                431, f"headers exceed {bounds.header_bytes} bytes"
            )
        headers = [(k.decode(), v.decode("latin-1")) for k, v in event.headers]
        names = {name for name, _ in headers}
        if {"content-length", "transfer-encoding"} <= names:
            # The two may end the body at different places, and what lies
            # between would be read as a request of its own (RFC 9112, 6.1).
            raise RefusalError(400, "both a length and a transfer coding")
        try:
            async with asyncio.timeout(bounds.body_timeout_s):
                body = await self._read_body(headers, bounds)
        except TimeoutError:
            raise RefusalError(
                408, "request body took too long", errors.Reason.TIMEOUT
            ) from None
        if absolute := _ABSOLUTE_FORM.fullmatch(target):
            # The host of the target goes before the header (RFC 9112, 3.2.2).
            host = absolute[1].rpartition("@")[2]
            headers = [("host", host), *(h for h in headers if h[0] != "host")]
            target = absolute[2]
            if not target.startswith("/"):
                target = "/" + target
        path, _, query = target.partition("?")
        method = event.method.decode()
        return Request(method, path, query, headers, body, self._client, target)

    async def _receive_first(self) -> bool:
        """Waits for a request's first bytes; tells whether any came in time.

        The bound may change during the wait; a longer one holds at once.
        """
        loop = asyncio.get_running_loop()
        since = loop.time()
        while True:
            idle_s = self.settings.bounds.idle_timeout_s
            try:
                async with asyncio.timeout_at(since + idle_s):
                    await self._receive()
                return True
            except TimeoutError:
                if self.settings.bounds.idle_timeout_s <= idle_s:
                    return False

    async def _read_body(
        self, headers: list[tuple[str, str]], bounds: Bounds
    ) -> bytes:
        limit = bounds.body_bytes
        refusal = RefusalError(
            413, f"body exceeds {limit} bytes", errors.Reason.BODY_TOO_LARGE
        )
        length = next((v for k, v in headers if k == "content-length"), "0")
        if int(length) > limit:
            raise refusal
        if self.machine.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))
        parts: list[bytes] = []
        size = 0
        while True:
            event = self.machine.next_event()
            if event is h11.NEED_DATA:
                await self._receive_more(bounds)
            elif isinstance(event, h11.Data):
                parts.append(event.data)
                size += len(event.data)
                if size > limit:
                    raise refusal
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise ConnectionResetError("request ended early")

    async def _receive_more(self, bounds: Bounds) -> None:
        """Receives more of what is incomplete: a head, a size line, a trailer.

        Raises:
          RefusalError: It exceeds the bound on headers.
        """
        if len(self.machine.trailing_data[0]) > bounds.header_bytes:
            raise RefusalError(
                431, f"headers exceed {bounds.header_bytes} bytes"
            )
        await self._receive()

    async def _receive(self) -> None:
        self.machine.receive_data(await self._reader.read(_READ_BYTES))

    async def _refuse(self, refusal: RefusalError) -> None:
        """Answers without a handler and closes."""
        if self.machine.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body, headers = refusal.answer(self._client, self._target)
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
            async with asyncio.timeout(self.settings.bounds.write_timeout_s):
                await self._writer.wait_closed()
        except (TimeoutError, OSError):
            self._writer.transport.abort()

    def close_idle(self) -> None:
        """Closes the connection if no request is under way."""
        if self.idle:
            self._writer.close()

    def kill(self) -> bool:
        """Cuts at once; tells whether a request was under way."""
        self._leave()
        self._writer.transport.abort()
        return not self.idle
