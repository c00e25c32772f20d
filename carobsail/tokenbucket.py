"""A token bucket on the event loop's clock."""

import math


class TokenBucket:
    """A bucket that refills at a constant rate up to its size."""

    __slots__ = ("_refilled_at", "_rate", "_size", "_tokens")

    def __init__(self, rate: float, size: float, now: float):
        self._rate = rate
        self._size = size
        self._tokens = size
        self._refilled_at = now

    def resize(self, rate: float, size: float, now: float) -> None:
        """Changes rate (tokens per second) and size; keeps the tokens held."""
        self._refill(now)
        self._rate = rate
        self._size = size
        self._tokens = min(self._tokens, size)

    def take(self, now: float, tokens: float = 1.0) -> bool:
        """Takes tokens and returns True if there are enough."""
        self._refill(now)
        if self._tokens + 1e-9 < tokens:
            return False
        self._tokens -= tokens
        return True

    def add(self, tokens: float) -> None:
        """Adds tokens, up to the size."""
        self._tokens = min(self._size, self._tokens + tokens)

    def wait_s(self, now: float, tokens: float = 1.0) -> float:
        """Returns the seconds until `tokens` can be taken."""
        self._refill(now)
        missing = tokens - self._tokens
        if missing <= 0.0:
            return 0.0
        return missing / self._rate if self._rate > 0.0 else math.inf

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        self._tokens = min(self._size, self._tokens + elapsed * self._rate)
