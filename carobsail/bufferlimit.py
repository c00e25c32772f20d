"""Limits the bytes of responses that a process buffers at the same time.

Load pattern: a faulty server sends bytes without end in each of its responses.
Each one stays within the limit of a single response, and many at once exceed
the memory of the process, which ends with the requests of all other callers.
When all buffers together exceed the limit, the largest one is given up: sound
responses have some kilobytes.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager


class Buffer:
    """Bytes of one response that are buffered.

    Attributes:
      abort: Aborts the response if the buffer is given up.
      given_up: Whether it was the largest one when the limit was exceeded.
      size: Number of bytes.
    """

    __slots__ = ("_limit", "abort", "given_up", "size")

    def __init__(self, limit: "BufferLimit", abort: Callable[[], None]) -> None:
        """Creates an empty buffer; see `BufferLimit.buffer`."""
        self.abort = abort
        self.given_up = False
        self.size = 0
        self._limit = limit

    def resize(self, size: int) -> None:
        """Sets the number of buffered bytes."""
        self._limit.resize(self, size)


class BufferLimit:
    """Limit of all buffers of some connections.

    Attributes:
      total_bytes: Size of all buffers that were not given up.
    """

    __slots__ = ("_buffers", "_limit_bytes", "total_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.total_bytes = 0
        self._limit_bytes = limit_bytes
        self._buffers: set[Buffer] = set()

    @contextmanager
    def buffer(self, abort: Callable[[], None]) -> Iterator[Buffer]:
        """Counts the buffer of one response while it is being received.

        Args:
          abort: Aborts the response if the buffer is given up.
        """
        buffer = Buffer(self, abort)
        self._buffers.add(buffer)
        try:
            yield buffer
        finally:
            self._remove(buffer)

    def resize(self, buffer: Buffer, size: int) -> None:
        """Sets the size of a buffer; gives up the largest ones if need be.

        Their bytes are freed when the tasks that receive them go on.
        """
        if buffer not in self._buffers:
            return
        self.total_bytes += size - buffer.size
        buffer.size = size
        while self.total_bytes > self._limit_bytes:
            largest = max(self._buffers, key=lambda b: b.size)
            self._remove(largest)
            largest.given_up = True
            largest.abort()

    def _remove(self, buffer: Buffer) -> None:
        if buffer in self._buffers:
            self._buffers.remove(buffer)
            self.total_bytes -= buffer.size
