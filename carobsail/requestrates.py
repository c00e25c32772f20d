"""Estimates of the request rates of other instances."""

import math

# Time constant of the exponential decay of this instance's own rates.
SMOOTHING_S = 2.0
# Rates reported by the coordinator are used for this long.
REPORT_VALID_S = 4.0


class RequestRates:
    """Request rates per second, by service and by model.

    The rates of models come from the coordinator, over all instances. The rate
    of a plain service is assumed to be the same at each instance.
    """

    __slots__ = ("_own", "_reported", "_reported_at")

    def __init__(self) -> None:
        # By service: smoothed requests per second and time of the last request.
        self._own: dict[str, tuple[float, float]] = {}
        self._reported: dict[tuple[str, str], float] = {}
        self._reported_at = float("-inf")

    def count(self, service: str, now: float) -> None:
        """Counts one of this instance's requests for a service."""
        per_s, at = self._own.get(service, (0.0, now))
        per_s *= math.exp((at - now) / SMOOTHING_S)
        self._own[service] = (per_s + 1.0 / SMOOTHING_S, now)

    def set_reported(
        self, rates: dict[tuple[str, str], float], now: float
    ) -> None:
        """Stores the request rates of models reported by the coordinator."""
        self._reported = rates
        self._reported_at = now

    def others_per_s(
        self, service: str, model: str, members: int, now: float
    ) -> float:
        """Returns the request rate of all other instances together.

        Args:
          service: Service.
          model: Model, or empty for a plain service.
          members: Number of known instances, including this one.
          now: Time of the event loop's clock in seconds.
        """
        others = max(0, members - 1)
        if model:
            if now - self._reported_at > REPORT_VALID_S:
                return 0.0
            per_s = self._reported.get((service, model), 0.0)
            return per_s * others / max(1, members)
        per_s, at = self._own.get(service, (0.0, now))
        return others * per_s * math.exp((at - now) / SMOOTHING_S)

    def assumed_others_per_s(
        self, service: str, model: str, members: int, now: float
    ) -> float:
        """Returns the rate of the others, also while the coordinator is silent.

        Without a recent report, each other instance is assumed to send as much
        to the service as this one; see `others_per_s` for the arguments.
        """
        if now - self._reported_at > REPORT_VALID_S:
            model = ""
        return self.others_per_s(service, model, members, now)
