"""Demand for models and load of targets, as reported by all instances."""

import dataclasses
import math
import types
from collections.abc import Mapping

from carobsail import modelvalue, summaries

# Time constants of the exponentially smoothed demand. The users' demand moves
# in 4 to 6 s and jumps within 1 s; the fast average shows a rise before the
# slow one does.
DEMAND_SMOOTHING_S = 3.0
FAST_SMOOTHING_S = 1.0
# Rising demand is extrapolated by this time: loading a copy takes up to 9 s,
# and demand that moves to a model rises for 7 to 8 s.
EXTRAPOLATION_S = 4.0
# Limit of the extrapolation as a fraction of the present demand: a crash moves
# all callers at once, and refused callers retry, which looks like a rise.
MAX_EXTRAPOLATED_FRACTION = 0.5
# Demand must be observed for this long before models are compared; until then
# every model looks idle.
WARM_UP_S = 2.0
# An instance's report of its load and waiting requests expires this long after
# its last summary.
SUMMARY_VALID_S = 3.0


@dataclasses.dataclass(slots=True)
class _InstanceState:
    """The last summary of an instance and its request counts by model."""

    summary: summaries.Summary
    received_at: float
    request_counts: dict[tuple[str, str], int]
    loads: list[summaries.TargetUsage]


@dataclasses.dataclass(slots=True)
class _Demand:
    """Smoothed demand for a model, and requests not included in it yet."""

    per_s: float = 0.0
    fast_per_s: float = 0.0
    last_requested_at: float = float("-inf")
    new_requests: int = 0
    objective_s: float = float("inf")


class DemandTracker:
    """Aggregates demand and load from the summaries of all instances."""

    __slots__ = (
        "_demand",
        "_first_request_at",
        "_instances",
        "_rates_updated_at",
    )

    def __init__(self) -> None:
        self._instances: dict[str, _InstanceState] = {}
        self._demand: dict[tuple[str, str], _Demand] = {}
        self._rates_updated_at: float | None = None
        self._first_request_at: float | None = None

    def warmed_up(self, now: float) -> bool:
        """Whether demand was observed for long enough to compare models."""
        return (
            self._first_request_at is not None
            and now - self._first_request_at >= WARM_UP_S
        )

    def add_summary(self, summary: summaries.Summary, now: float) -> None:
        """Adds a summary; one older than the last of its sender is ignored."""
        known = self._instances.get(summary.instance)
        same_process = (
            known is not None
            and known.summary.incarnation == summary.incarnation
        )
        counts_by_model: dict[tuple[str, str], int] = {}
        if known is not None and same_process:
            if summary.number <= known.summary.number:
                return
            counts_by_model = known.request_counts
        for entry in summary.demand:
            key = (entry.service, entry.model)
            demand = self._demand.setdefault(key, _Demand())
            demand.objective_s = min(demand.objective_s, entry.objective_s)
            # Counts are cumulative: requests that an instance received before
            # its first summary are not recent demand. Of a model that it names
            # for the first time, one request counts.
            previous = counts_by_model.get(key, entry.count - 1)
            new_requests = entry.count - previous if same_process else 0
            if new_requests > 0:
                demand.new_requests += new_requests
                demand.last_requested_at = now
                if self._first_request_at is None:
                    self._first_request_at = now
            counts_by_model[key] = entry.count
        loads = summary.loads
        if loads is None:
            loads = known.loads if known is not None and same_process else []
        self._instances[summary.instance] = _InstanceState(
            summary, now, counts_by_model, loads
        )

    def update_rates(self, now: float) -> None:
        """Updates the smoothed rates by the requests since the last call."""
        if self._rates_updated_at is None:
            self._rates_updated_at = now
            return
        elapsed_s = now - self._rates_updated_at
        if elapsed_s <= 0.0:
            return
        self._rates_updated_at = now
        decay = math.exp(-elapsed_s / DEMAND_SMOOTHING_S)
        fast_decay = math.exp(-elapsed_s / FAST_SMOOTHING_S)
        for demand in self._demand.values():
            rate = demand.new_requests / elapsed_s
            demand.per_s = decay * demand.per_s + (1.0 - decay) * rate
            demand.fast_per_s *= fast_decay
            demand.fast_per_s += (1.0 - fast_decay) * rate
            demand.new_requests = 0

    def _live_instances(self, now: float) -> list[_InstanceState]:
        """Returns the instances whose last summary has not expired."""
        return [
            i
            for i in self._instances.values()
            if now - i.received_at < SUMMARY_VALID_S
        ]

    def waiting_requests(self, now: float) -> dict[tuple[str, str, str], int]:
        """Returns the number waiting, by service, model and adapter."""
        found: dict[tuple[str, str, str], int] = {}
        for instance in self._live_instances(now):
            for row in instance.summary.waiting:
                key = (row.service, row.model, row.adapter)
                found[key] = found.get(key, 0) + row.count
        return found

    def demand_by_model(
        self,
        service: str,
        now: float,
        speedups: Mapping[str, float] = types.MappingProxyType({}),
        unserved_s: Mapping[str, float] = types.MappingProxyType({}),
    ) -> dict[str, modelvalue.ModelDemand]:
        """Returns the demand for the models of a service, by model.

        Args:
          service: The service.
          now: Time of the event loop's clock in seconds.
          speedups: See `modelspeed.ModelSpeeds.speedups`.
          unserved_s: See `starvation.UnservedModels.unserved_s`.
        """
        waiting: dict[str, int] = {}
        for (name, model, _), count in self.waiting_requests(now).items():
            if name == service:
                waiting[model] = waiting.get(model, 0) + count
        # Corrects the bias of an average that starts from zero, which would
        # understate demand in the first seconds.
        seen_s = now - (
            self._first_request_at if self._first_request_at else now
        )
        fraction = 1.0 - math.exp(-max(seen_s, 0.5) / DEMAND_SMOOTHING_S)
        found = {
            model: modelvalue.ModelDemand(
                _extrapolated_per_s(demand.per_s / fraction, demand.fast_per_s),
                demand.last_requested_at,
                waiting.pop(model, 0),
                demand.objective_s,
                speedups.get(model, 1.0),
                unserved_s.get(model, 0.0),
            )
            for (name, model), demand in self._demand.items()
            if name == service
        }
        for model, count in waiting.items():
            found[model] = modelvalue.ModelDemand(0.0, now, count)
        return found

    def last_requested_at(self, service: str) -> dict[str, float]:
        """Returns when each model of a service was last requested."""
        return {
            model: demand.last_requested_at
            for (name, model), demand in self._demand.items()
            if name == service
        }

    def rates_above(self, min_per_s: float) -> list[summaries.ModelRate]:
        """Returns the models with at least a given fast-smoothed rate."""
        return [
            summaries.ModelRate(service, model, round(demand.fast_per_s, 1))
            for (service, model), demand in self._demand.items()
            if demand.fast_per_s >= min_per_s
        ]

    def load_by_target(self, now: float) -> dict[str, summaries.TargetUsage]:
        """Returns the load of each target, summed over all instances."""
        totals: dict[str, summaries.TargetUsage] = {}
        for instance in self._live_instances(now):
            for load in instance.loads:
                known = totals.get(load.target)
                totals[load.target] = summaries.TargetUsage(
                    load.target,
                    load.in_flight + (known.in_flight if known else 0),
                    load.prompt_tokens + (known.prompt_tokens if known else 0),
                    load.late_tokens + (known.late_tokens if known else 0),
                    load.held_tokens + (known.held_tokens if known else 0),
                )
        return totals


def _extrapolated_per_s(per_s: float, fast_per_s: float) -> float:
    """Returns the requests per second expected when a new copy is loaded.

    While demand rises linearly, a smoothed rate lags by its time constant, so
    the difference of the two rates gives the slope.

    Args:
      per_s: Rate smoothed over `DEMAND_SMOOTHING_S`.
      fast_per_s: Rate smoothed over `FAST_SMOOTHING_S`.
    """
    significant = _significant_per_s(fast_per_s)
    lag_s = DEMAND_SMOOTHING_S - FAST_SMOOTHING_S
    slope = max(0.0, significant - per_s) / lag_s
    current = max(per_s, significant)
    return current + min(
        MAX_EXTRAPOLATED_FRACTION * current, EXTRAPOLATION_S * slope
    )


def _significant_per_s(per_s: float) -> float:
    """Returns a fast rate less one standard deviation of its noise.

    The standard deviation of an exponentially smoothed Poisson rate is the root
    of the rate over twice the time constant.
    """
    return max(0.0, per_s - math.sqrt(per_s / (2.0 * FAST_SMOOTHING_S)))
