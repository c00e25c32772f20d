"""How much other instances send, as far as this one knows."""

import math

# Time constant of this instance's own rates.
SMOOTHING_S = 2.0
# What the order giver told counts for this long.
TOLD_VALID_S = 4.0


class SendRates:
    """Requests a second by service and model, over all instances."""

    __slots__ = ("_own", "_told", "_told_at")

    def __init__(self) -> None:
        # Smoothed requests a second and the time of the last one.
        self._own: dict[str, tuple[float, float]] = {}
        self._told: dict[tuple[str, str], float] = {}
        self._told_at = float("-inf")

    def count(self, service: str, now: float) -> None:
        """Counts one of this instance's requests for a service."""
        per_s, at = self._own.get(service, (0.0, now))
        per_s *= math.exp((at - now) / SMOOTHING_S)
        self._own[service] = (per_s + 1.0 / SMOOTHING_S, now)

    def told(self, rates: dict[tuple[str, str], float], now: float) -> None:
        """Takes over the demand for models as the order giver knows it."""
        self._told = rates
        self._told_at = now

    def others(
        self, service: str, model: str, members: int, now: float
    ) -> float:
        """Returns the requests a second of the other instances.

        Args:
          service: Service.
          model: Model, or empty for a plain service.
          members: Instances known, this one included.
          now: Time of the loop's clock in seconds.
        """
        others = max(0, members - 1)
        if model:
            if now - self._told_at > TOLD_VALID_S:
                return 0.0
            told = self._told.get((service, model), 0.0)
            return told * others / max(1, members)
        per_s, at = self._own.get(service, (0.0, now))
        return others * per_s * math.exp((at - now) / SMOOTHING_S)
