"""Limits the bytes that a process holds for its callers and from its targets.

Load pattern: clients send large bodies without completing them, or leave large
responses unread, and faulty servers send bytes without end in each of their
responses. Each one stays within the limit of a single request or response, and
many at once exceed the memory of the process, which ends with the requests of
all other callers. When all buffers together exceed the limit, the one that
holds most with the least progress is given up; ordinary requests and responses
have some kilobytes and are not chosen while others are left.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

# Buffers below this size are given up last while they progress.
SMALL_BYTES = 65_536
# A buffer of at least the second size without progress for this long is no
# longer spared for its size; ordinary heads are smaller.
STALLED_S = 1.0
STALLED_BYTES = 4096
# Added to the time since the last progress, so that size counts for buffers
# that progress.
_MIN_STALL_S = 0.25


class Buffer:
    """Bytes held for one request or response.

    Attributes:
      abort: Aborts the request or response if the buffer is given up.
      given_up: Whether it was chosen when the limit was exceeded.
      progressed_at: Time of the last progress.
      running: Whether a target may be executing the request.
      size: Number of bytes.
    """

    __slots__ = (
        "_limit",
        "abort",
        "given_up",
        "progressed_at",
        "running",
        "size",
    )

    def __init__(self, limit: "BufferLimit", abort: Callable[[], None]) -> None:
        """Creates an empty buffer; see `BufferLimit.buffer`."""
        self.abort = abort
        self.given_up = False
        self.progressed_at = 0.0
        self.running = True
        self.size = 0
        self._limit = limit

    def resize(self, size: int, now: float = 0.0) -> None:
        """Sets the number of held bytes."""
        self._limit.resize(self, size, now)

    def rank(self, now: float) -> tuple[int, float]:
        """Returns the order in which buffers are given up, highest first.

        1. Requests that are being read and responses that were written, if they
           are large, or smaller and without progress.
        2. Requests that may run at a target and responses of targets, unless
           they are small.
        3. The small ones.

        Among these, the largest product of size and time without progress.
        """
        stall_s = max(0.0, now - self.progressed_at)
        large = self.size >= SMALL_BYTES
        stalled = stall_s >= STALLED_S and self.size >= STALLED_BYTES
        if self.running:
            return (1 if large else 0), self.size * _MIN_STALL_S
        order = 2 if large or stalled else 0
        return order, self.size * (stall_s + _MIN_STALL_S)


class BufferLimit:
    """Limit of all buffers of some connections.

    Attributes:
      given_up: Number of buffers that were given up.
      on_given_up: Called with the size of each buffer that was given up.
      total_bytes: Size of all buffers that were not given up.
    """

    __slots__ = (
        "_buffers",
        "_limit_bytes",
        "given_up",
        "on_given_up",
        "total_bytes",
    )

    def __init__(self, limit_bytes: float) -> None:
        """Creates a limit; it may be infinite."""
        self.given_up = 0
        self.on_given_up: Callable[[int], None] = lambda size: None
        self.total_bytes = 0
        self._limit_bytes = limit_bytes
        self._buffers: set[Buffer] = set()

    def add(self, abort: Callable[[], None]) -> Buffer:
        """Returns a new buffer; `remove` must be called at its end.

        Args:
          abort: Aborts the request or response if the buffer is given up.
        """
        buffer = Buffer(self, abort)
        self._buffers.add(buffer)
        return buffer

    @contextmanager
    def buffer(self, abort: Callable[[], None]) -> Iterator[Buffer]:
        """Counts the buffer of one response while it is being received.

        Args:
          abort: Aborts the response if the buffer is given up.
        """
        buffer = self.add(abort)
        try:
            yield buffer
        finally:
            self.remove(buffer)

    def resize(self, buffer: Buffer, size: int, now: float = 0.0) -> None:
        """Sets the size of a buffer; gives up others or itself if need be.

        Their bytes are freed when the tasks that receive them go on.
        """
        if buffer.given_up or buffer not in self._buffers:
            return
        self.total_bytes += size - buffer.size
        buffer.size = size
        while self.total_bytes > self._limit_bytes:
            chosen = max(self._buffers, key=lambda b: b.rank(now))
            self.remove(chosen)
            self.given_up += 1
            chosen.given_up = True
            chosen.abort()
            self.on_given_up(chosen.size)

    def remove(self, buffer: Buffer) -> None:
        """Stops counting a buffer."""
        if buffer in self._buffers:
            self._buffers.remove(buffer)
            self.total_bytes -= buffer.size
