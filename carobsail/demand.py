"""Demand of a model: moving averages with a trend."""

import dataclasses
import math


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """Demand of one model.

    Attributes:
      requests_per_s: Requests a second, averaged.
      tokens_per_s: Output tokens a second, averaged.
      trend_per_s: Change of `tokens_per_s` a second.
    """

    requests_per_s: float
    tokens_per_s: float
    trend_per_s: float = 0.0

    def forecast_tokens_per_s(self, ahead_s: float) -> float:
        """Returns the expected tokens a second; a fall is not anticipated."""
        return self.tokens_per_s + max(0.0, self.trend_per_s) * ahead_s


class DemandAverage:
    """Exponentially weighted averages of level and trend of one model."""

    __slots__ = ("_at", "_requests", "_time_s", "_tokens", "_trend")

    def __init__(self, time_s: float = 60.0) -> None:
        self._time_s = time_s
        self._at: float | None = None
        self._requests = self._tokens = self._trend = 0.0

    def observe(
        self, requests_per_s: float, tokens_per_s: float, now: float
    ) -> None:
        """Adds a measurement made since the last one."""
        if self._at is None:
            self._requests, self._tokens = requests_per_s, tokens_per_s
            self._at = now
            return
        elapsed_s = now - self._at
        if elapsed_s <= 0:
            return
        weight = 1.0 - math.exp(-elapsed_s / self._time_s)
        before = self._tokens
        self._requests += weight * (requests_per_s - self._requests)
        self._tokens += weight * (tokens_per_s - self._tokens)
        slope = (self._tokens - before) / elapsed_s
        self._trend += weight * (slope - self._trend)
        self._at = now

    def demand(self) -> Demand:
        """Returns the present demand."""
        return Demand(self._requests, self._tokens, self._trend)


class DemandCounter:
    """Counts what was asked of one instance between two reports."""

    __slots__ = ("_asked", "_since")

    def __init__(self, now: float) -> None:
        self._asked: dict[str, tuple[int, float]] = {}
        self._since = now

    def count(self, model: str, tokens: float) -> None:
        """Counts one request with its expected output tokens."""
        requests, total = self._asked.get(model, (0, 0.0))
        self._asked[model] = (requests + 1, total + tokens)

    def take(self, now: float) -> dict[str, tuple[float, float]]:
        """Returns requests and tokens a second since the last call."""
        elapsed_s = max(1e-3, now - self._since)
        asked, self._asked, self._since = self._asked, {}, now
        return {
            model: (requests / elapsed_s, tokens / elapsed_s)
            for model, (requests, tokens) in asked.items()
        }
