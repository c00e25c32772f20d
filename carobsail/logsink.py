"""Log handler that writes to a file descriptor without blocking the process.

Lines are buffered and written in batches. When the reader does not keep up,
lines are dropped, and a line with their number is logged once the buffer has
drained far enough.
"""

import asyncio
import logging
import os

FLUSH_INTERVAL_S = 0.1
MAX_PENDING_BYTES = 262_144


class LogSink(logging.Handler):
    """Writes to a non-blocking file descriptor.

    Attributes:
      dropped: Lines dropped since the start.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._unreported_drops = 0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffers a line; drops it if the buffer is full."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:  # A formatting error must not reach the caller.
            self.handleError(record)
            return
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            self._unreported_drops += 1
            return
        self._pending += line
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        if self._timer is None:
            self._timer = loop.call_later(
                FLUSH_INTERVAL_S, self._flush_on_timer
            )

    def _flush_on_timer(self) -> None:
        self._timer = None
        self.flush()
        if self._pending:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                FLUSH_INTERVAL_S, self._flush_on_timer
            )

    def flush(self) -> None:
        """Writes as much of the buffer as the descriptor accepts."""
        if (
            self._unreported_drops
            and len(self._pending) < MAX_PENDING_BYTES // 2
        ):
            line = f"event=log_lines_dropped count={self._unreported_drops}\n"
            self._pending += line.encode()
            self._unreported_drops = 0
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += self._pending.count(b"\n")
                self._pending.clear()
                return
            del self._pending[:written]
