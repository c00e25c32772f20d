"""Reads the requests of one connection of a server.

h11 receives the bytes of one part of a request at a time (head, body, last
chunk and trailers), so that what follows stays in the stream, where it counts.
"""

import asyncio
import dataclasses
import enum
import functools
import re
from typing import Protocol

import h11

from carobsail import callerstream, chunkedbody, errors
from carobsail.httprequest import Request, ServerLimits
from carobsail.refusals import RefusalError

# Bytes of a body that are passed to h11 at once; it copies them twice.
_BODY_PIECE_BYTES = 65_536
# Heads longer than the limit by this factor and number of bytes, which leave
# room for spaces that the limit does not count, are refused unparsed.
_MAX_HEAD_FACTOR = 2
_MAX_HEAD_EXTRA_BYTES = 4096
# Ends a head, and a chunked body after its last chunk.
_BLANK_LINE = re.compile(rb"\n\r?\n")
# Absolute form of a request target: the authority and the rest.
_ABSOLUTE_FORM = re.compile(r"https?://([^/?#]+)(.*)", re.IGNORECASE)


class Owner(Protocol):
    """The connection of a reader.

    Attributes:
      idle: Whether no request is in flight.
    """

    idle: bool

    @property
    def limits(self) -> ServerLimits:
        """Limits in force."""

    def send(self, event: h11.Event) -> list[bytes]:
        """Writes one event."""

    async def refused_by_head(self, request: Request) -> bool:
        """Answers a request that its head alone shows must be refused."""


class _BodyState(enum.Enum):
    """What a body that is being read lacks."""

    COMPLETE = enum.auto()
    NEEDS_BYTES = enum.auto()
    # Received bytes are left that can be decoded now.
    HAS_MORE = enum.auto()


class RequestReader:
    """Reads requests from a stream.

    Attributes:
      body: Body that is being read.
      request_target: Path and query of the request being read, for the log
        line of its refusal.
    """

    __slots__ = (
        "_client_address",
        "_h11_connection",
        "_input_ended",
        "_line_end",
        "_owner",
        "_stream",
        "body",
        "request_target",
    )

    def __init__(
        self,
        owner: Owner,
        stream: callerstream.CallerStream,
        h11_connection: h11.Connection,
        client_address: str,
    ) -> None:
        """Creates a reader.

        Args:
          owner: The connection.
          stream: Received bytes.
          h11_connection: Protocol state.
          client_address: `host:port` of the client.
        """
        self.body = bytearray()
        self.request_target = ""
        self._owner = owner
        self._stream = stream
        self._h11_connection = h11_connection
        self._client_address = client_address
        # Last bytes passed to h11, which may be the start of a blank line.
        self._line_end = b""
        self._input_ended = False

    async def read(self) -> Request | None:
        """Reads the next request.

        Returns:
          The request; None if the client sends no further one, or its head was
          answered.

        Raises:
          RefusalError: The request must be refused.
          h11.RemoteProtocolError: The request is malformed.
          OSError: The connection failed.
        """
        self.request_target = ""
        event = self._next_event_of_lines(self._owner.limits)
        if event is h11.NEED_DATA and not self._h11_connection.trailing_data[0]:
            if not await self._await_first_bytes():
                return None
            event = self._next_event_of_lines(self._owner.limits)
        self._owner.idle = False
        # The limits in force when the request starts, which may differ from
        # those when the connection became idle.
        limits = self._owner.limits
        if event is h11.NEED_DATA:
            event = await self._read_head(limits)
        if not isinstance(event, h11.Request):
            return None
        target = self.request_target = event.target.decode("latin-1")
        # `_receive_more` does not limit headers that arrive in one read. Adds 3
        # bytes for the colon and the line end of each header; the optional
        # space after the colon is not counted.
        size = sum(len(k) + len(v) + 3 for k, v in event.headers)
        size += len(event.target)
        if size > limits.header_bytes:
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
        length = 0
        if "content-length" in names:
            length = int(next(v for k, v in headers if k == "content-length"))
            if length > limits.body_bytes:
                raise _too_large(limits)
        if absolute := _ABSOLUTE_FORM.fullmatch(target):
            # The host in the request target overrides the Host header (RFC
            # 9112, 3.2.2).
            host = absolute[1].rpartition("@")[2]
            headers = [("host", host), *(h for h in headers if h[0] != "host")]
            target = absolute[2]
            if not target.startswith("/"):
                target = "/" + target
        path, _, query = target.partition("?")
        request = Request(
            event.method.decode(),
            path,
            query,
            headers,
            b"",
            self._client_address,
            target,
        )
        chunked = "transfer-encoding" in names
        if chunked or length > len(self._stream.input):
            if await self._owner.refused_by_head(request):
                return None
        body = await self._read_body(length, chunked, size, limits)
        return dataclasses.replace(request, body=body) if body else request

    async def _read_head(self, limits: ServerLimits) -> object:
        event: object = h11.NEED_DATA
        try:
            async with asyncio.timeout(limits.header_timeout_s):
                while event is h11.NEED_DATA:
                    await self._receive_more(limits)
                    event = self._next_event_of_lines(limits)
        except TimeoutError:
            raise RefusalError(
                408, "request headers took too long", errors.Reason.TIMEOUT
            ) from None
        return event

    def _next_event_of_lines(self, limits: ServerLimits) -> object:
        """Passes the input up to the next blank line to h11.

        Returns:
          The next event of h11.

        Raises:
          RefusalError: The lines exceed the limit on headers by far.
        """
        data = self._stream.input
        if data:
            joined = self._line_end + data if self._line_end else data
            blank = _BLANK_LINE.search(joined)
            if blank is None:
                end = len(data)
                self._line_end = bytes(joined[-2:])
            else:
                end = blank.end() - len(self._line_end)
                self._line_end = b""
            longest = _MAX_HEAD_FACTOR * limits.header_bytes
            if end > longest + _MAX_HEAD_EXTRA_BYTES:
                raise RefusalError(
                    431, f"headers exceed {limits.header_bytes} bytes"
                )
            self._h11_connection.receive_data(bytes(data[:end]))
            del data[:end]
            if blank is None:
                self._stream.held_bytes += end
        return self._h11_connection.next_event()

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
            idle_s = self._owner.limits.idle_timeout_s
            try:
                async with asyncio.timeout_at(idle_since + idle_s):
                    await self._receive()
                return True
            except TimeoutError:
                if self._owner.limits.idle_timeout_s <= idle_s:
                    return False

    async def _read_body(
        self,
        length: int,
        chunked: bool,
        head_bytes: int,
        limits: ServerLimits,
    ) -> bytes:
        """Receives the body; its bytes are held until the request has ended."""
        if self._h11_connection.they_are_waiting_for_100_continue:
            self._owner.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        self.body = bytearray()
        self._stream.held_bytes = head_bytes
        if chunked:
            read = functools.partial(
                self._read_chunks, chunkedbody.ChunkedBody(), limits
            )
        else:
            read = functools.partial(self._read_plain, length, limits)
        state = read()
        loop = asyncio.get_running_loop()
        due_at = loop.time() + limits.body_timeout_s
        try:
            async with asyncio.timeout_at(due_at) as timeout:
                while state is not _BodyState.COMPLETE:
                    self._stream.held_bytes = head_bytes + len(self.body)
                    if state is _BodyState.HAS_MORE:
                        await asyncio.sleep(0)
                    else:
                        idle_at = loop.time() + limits.body_idle_timeout_s
                        timeout.reschedule(min(due_at, idle_at))
                        await self._receive_more(limits)
                    state = read()
        except TimeoutError:
            raise RefusalError(
                408, "request body took too long", errors.Reason.TIMEOUT
            ) from None
        body, self.body = bytes(self.body), bytearray()
        # The second copy is the one that is written to the target.
        self._stream.held_bytes = head_bytes + 2 * len(body)
        self._stream.buffer.running = True
        self._stream.count(loop.time())
        if self._stream.buffer.given_up:
            # Its own bytes were given up just now; it has not been run.
            self._stream.raise_failure()
        return body

    def _read_plain(self, length: int, limits: ServerLimits) -> _BodyState:
        """Moves received bytes of a body without a coding."""
        data = self._stream.input
        while True:
            event = self._h11_connection.next_event()
            if isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > limits.body_bytes:
                    raise _too_large(limits)
            elif isinstance(event, h11.EndOfMessage):
                return _BodyState.COMPLETE
            elif event is not h11.NEED_DATA:
                raise ConnectionResetError("request ended early")
            elif data:
                size = min(_BODY_PIECE_BYTES, length - len(self.body))
                self._h11_connection.receive_data(bytes(data[:size]))
                del data[:size]
            else:
                return _BodyState.NEEDS_BYTES

    def _read_chunks(
        self, chunks: chunkedbody.ChunkedBody, limits: ServerLimits
    ) -> _BodyState:
        """Moves received chunks to the body; h11 reads the last one."""
        if not chunks.ended:
            try:
                more = chunks.decode(
                    self._stream.input,
                    self.body,
                    limits.body_bytes,
                    limits.header_bytes,
                )
            except OverflowError:
                raise _too_large(limits) from None
            if more:
                return _BodyState.HAS_MORE
        event: object = h11.NEED_DATA
        if chunks.ended:
            event = self._next_event_of_lines(limits)
        elif self._input_ended:
            event = self._h11_connection.next_event()
        if event is h11.NEED_DATA:
            return _BodyState.NEEDS_BYTES
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionResetError("request ended early")
        return _BodyState.COMPLETE

    async def _receive_more(self, limits: ServerLimits) -> None:
        """Receives more of an incomplete head, body or trailer.

        Raises:
          RefusalError: The incomplete head or trailer exceeds its limit.
        """
        if len(self._h11_connection.trailing_data[0]) > limits.header_bytes:
            raise RefusalError(
                431, f"headers exceed {limits.header_bytes} bytes"
            )
        await self._receive()

    async def _receive(self) -> None:
        if not await self._stream.receive():
            self._input_ended = True
            self._h11_connection.receive_data(b"")


def _too_large(limits: ServerLimits) -> RefusalError:
    return RefusalError(
        413,
        f"body exceeds {limits.body_bytes} bytes",
        errors.Reason.BODY_TOO_LARGE,
    )
