"""Log lines to a descriptor that never block the process.

Lines are collected for a moment and written together. When the reader does
not keep up, lines are dropped and counted, and the count is written with the
next line that fits.
"""

import asyncio
import logging
import os

FLUSH_S = 0.1
MAX_PENDING_BYTES = 262_144


class LogSink(logging.Handler):
    """Writes to a non-blocking descriptor.

    Attributes:
      dropped: Lines dropped since the start.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._unreported = 0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Collects a line."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:  # A line that cannot be formatted must not stop us.
            self.handleError(record)
            return
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            self._unreported += 1
            return
        self._pending += line
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        if self._timer is None:
            self._timer = loop.call_later(FLUSH_S, self._flush_later)

    def _flush_later(self) -> None:
        self._timer = None
        self.flush()
        if self._pending:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FLUSH_S, self._flush_later)

    def flush(self) -> None:
        """Writes what the descriptor takes."""
        if self._unreported and len(self._pending) < MAX_PENDING_BYTES // 2:
            line = f"event=log_lines_dropped count={self._unreported}\n"
            self._pending += line.encode()
            self._unreported = 0
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
