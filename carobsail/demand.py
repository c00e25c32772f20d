"""Demand for models: moving averages with a trend."""

import dataclasses
import math


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """Demand for one model.

    Attributes:
      requests_per_s: Average number of requests per second.
      tokens_per_s: Average number of output tokens per second.
      trend_per_s: Change of `tokens_per_s` per second.
    """

    requests_per_s: float
    tokens_per_s: float
    trend_per_s: float = 0.0

    def forecast_tokens_per_s(self, ahead_s: float) -> float:
        """Returns the forecast tokens per second; assumes no decrease."""
        return self.tokens_per_s + max(0.0, self.trend_per_s) * ahead_s


class DemandAverage:
    """Exponentially weighted averages of one model's demand and its trend."""

    __slots__ = (
        "_observed_at",
        "_requests",
        "_time_constant_s",
        "_tokens",
        "_trend",
    )

    def __init__(self, time_constant_s: float = 60.0) -> None:
        self._time_constant_s = time_constant_s
        self._observed_at: float | None = None
        self._requests = self._tokens = self._trend = 0.0

    def observe(
        self, requests_per_s: float, tokens_per_s: float, now: float
    ) -> None:
        """Adds a measurement of the time since the last call."""
        if self._observed_at is None:
            self._requests, self._tokens = requests_per_s, tokens_per_s
            self._observed_at = now
            return
        elapsed_s = now - self._observed_at
        if elapsed_s <= 0:
            return
        weight = 1.0 - math.exp(-elapsed_s / self._time_constant_s)
        before = self._tokens
        self._requests += weight * (requests_per_s - self._requests)
        self._tokens += weight * (tokens_per_s - self._tokens)
        slope = (self._tokens - before) / elapsed_s
        self._trend += weight * (slope - self._trend)
        self._observed_at = now

    def demand(self) -> Demand:
        """Returns the current averages."""
        return Demand(self._requests, self._tokens, self._trend)


class DemandCounter:
    """Counts the requests for each model at one instance between reports."""

    __slots__ = ("_counts", "_since")

    def __init__(self, now: float) -> None:
        self._counts: dict[str, tuple[int, float]] = {}
        self._since = now

    def count(self, model: str, tokens: float) -> None:
        """Counts one request with its expected output tokens."""
        requests, total = self._counts.get(model, (0, 0.0))
        self._counts[model] = (requests + 1, total + tokens)

    def take_rates(self, now: float) -> dict[str, tuple[float, float]]:
        """Returns requests and tokens per second since the last call."""
        elapsed_s = max(1e-3, now - self._since)
        counts, self._counts, self._since = self._counts, {}, now
        return {
            model: (requests / elapsed_s, tokens / elapsed_s)
            for model, (requests, tokens) in counts.items()
        }
