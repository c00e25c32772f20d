"""Limits log lines of the same kind.

Load pattern: one client causes the same line many times a second.
"""

import math

# Kinds of lines that are remembered; the oldest are forgotten first.
_MAX_KINDS = 1024


class LogLimit:
    """Admits few lines of each kind per interval and counts the others."""

    __slots__ = ("_interval_s", "_kinds", "_lines")

    def __init__(self, interval_s: float, lines: int = 1) -> None:
        """Creates a limit.

        Args:
          interval_s: Length of an interval; 0 admits every line.
          lines: Lines of one kind that are admitted in an interval.
        """
        self._interval_s = interval_s
        self._lines = lines
        # Start of the interval, and number of lines since.
        self._kinds: dict[tuple[str, str], tuple[float, int]] = {}

    def admit(self, client: str, reason: str, now: float) -> int | None:
        """Returns how many lines were left out before this one.

        Returns None if this line must be left out, too.
        """
        if not self._interval_s:
            return 0
        kind = client, reason
        started_at, count = self._kinds.get(kind, (-math.inf, 0))
        if now - started_at < self._interval_s:
            self._kinds[kind] = started_at, count + 1
            return 0 if count < self._lines else None
        self._kinds.pop(kind, None)
        if len(self._kinds) >= _MAX_KINDS:
            del self._kinds[next(iter(self._kinds))]
        self._kinds[kind] = now, 1
        return max(0, count - self._lines)
