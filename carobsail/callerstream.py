"""Input and output of one connection of a server, counted as held bytes."""

import asyncio
from collections.abc import Callable

from carobsail import bufferlimit, sockets

# A client that has sent more bytes that were not used is not read from; until
# then its disconnect is not noticed.
MAX_INPUT_BYTES = 65_536
# A client progresses when it has sent this many bytes, or this share of what is
# held for it, since its last progress. A client that sends single bytes does
# not.
_MIN_PROGRESS_BYTES = 1024
_PROGRESS_SHARE = 64
# Copies of a response that its caller has not read: one in the transport and
# one in the code that wrote it.
_WRITE_COPIES = 2


def _ignore() -> None:
    """Does nothing."""


class CallerStream(asyncio.Protocol):
    """One connection; received bytes wait in `input` until they are used.

    Attributes:
      buffer: Counts the bytes held for the connection.
      closed: Done when the connection is closed.
      ended: Whether the client has sent its last byte.
      held_bytes: Bytes held for its request outside of this stream.
      input: Received bytes that were not used.
      last_input_at: Time at which bytes arrived last.
      on_end: Called when the client disconnects.
      on_given_up: Called when the bytes held for it must be freed.
      transport: The connection.
    """

    def __init__(
        self,
        on_connected: Callable[["CallerStream"], None],
        buffers: bufferlimit.BufferLimit,
    ) -> None:
        """Creates a stream that is not connected.

        Args:
          on_connected: Called when it is connected.
          buffers: Limit of the held bytes.
        """
        self._loop = asyncio.get_running_loop()
        self._on_connected = on_connected
        self._discards = self._read_paused = self._write_paused = False
        self._since_progress = 0
        self._waiter: asyncio.Future[None] | None = None
        self._drained: list[asyncio.Future[None]] = []
        self._failure: Exception | None = None
        self.buffers = buffers
        self.buffer = buffers.add(lambda: self.on_given_up())
        self.buffer.running = False
        self.closed: asyncio.Future[None] = self._loop.create_future()
        self.ended = False
        self.held_bytes = 0
        self.input = bytearray()
        self.last_input_at = self._loop.time()
        self.on_end: Callable[[], None] = _ignore
        self.on_given_up: Callable[[], None] = _ignore
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See base class."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sockets.limit_reads(transport)
        self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """See base class."""
        now = self.last_input_at = self._loop.time()
        if self._discards:
            return
        if not self.buffer.size:
            self.buffer.progressed_at = now
            self._since_progress = 0
        self.input += data
        self._since_progress += len(data)
        if self._since_progress >= max(
            _MIN_PROGRESS_BYTES, self.buffer.size // _PROGRESS_SHARE
        ):
            self.buffer.progressed_at = now
            self._since_progress = 0
        self.count(now)
        if len(self.input) >= MAX_INPUT_BYTES and not self._read_paused:
            self._read_paused = True
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """See base class; the response can still be sent."""
        self._end()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """See base class."""
        self.buffers.remove(self.buffer)
        if exc is not None and self._failure is None:
            self._failure = exc
        self._end()
        if not self.closed.done():
            self.closed.set_result(None)
        self._set_drained()

    def _end(self) -> None:
        self.ended = True
        self._wake()
        self.on_end()

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def receive(self) -> bool:
        """Waits for more bytes; returns False at the end of the input.

        Raises:
          Exception: The connection failed, or `fail` was called.
        """
        self.raise_failure()
        if self.ended:
            return False
        self.resume()
        before = len(self.input)
        self._waiter = self._loop.create_future()
        await self._waiter
        self.raise_failure()
        return len(self.input) > before

    def resume(self) -> None:
        """Receives again after a pause, if there is room for input."""
        if self._read_paused and len(self.input) < MAX_INPUT_BYTES:
            self._read_paused = False
            self.transport.resume_reading()

    def count(self, now: float) -> None:
        """Counts the bytes that are held at present."""
        size = len(self.input) + self.held_bytes
        size += _WRITE_COPIES * self.transport.get_write_buffer_size()
        if size != self.buffer.size:
            self.buffer.resize(size, now)

    def fail(self, failure: Exception) -> None:
        """Frees the input; the task that receives gets `failure`."""
        self._failure = failure
        self.input = bytearray()
        self._wake()

    def raise_failure(self) -> None:
        """Raises the failure of the connection, or of `fail`, if any."""
        if self._failure is not None:
            raise self._failure

    def discard(self) -> None:
        """Drops all bytes that are received from now on."""
        self._discards = True
        if not self.ended:
            self._failure = None
        self.input = bytearray()
        self.held_bytes = 0
        self.resume()

    def pause_writing(self) -> None:
        """See base class."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """See base class."""
        self._write_paused = False
        self._set_drained()

    def _set_drained(self) -> None:
        waiters, self._drained = self._drained, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def drain(self) -> None:
        """Waits until the transport accepts more.

        Raises:
          ConnectionError: The connection is closed.
        """
        if self.closed.done():
            raise ConnectionResetError("connection lost")
        if self.transport.is_closing():
            await asyncio.sleep(0)
        if self._write_paused:
            waiter = self._loop.create_future()
            self._drained.append(waiter)
            await waiter
        if self.closed.done():
            raise ConnectionResetError("connection lost")
