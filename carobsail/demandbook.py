"""Demand for models and load of targets, as all instances tell them."""

import dataclasses
import math

from carobsail import copyplan, summaries

# Time constants of the smoothed demand. The users' demand moves in 4 to 6 s,
# and jumps within one: the fast one shows a rise before the slow one does.
DEMAND_SMOOTHING_S = 3.0
FAST_SMOOTHING_S = 1.0
# A rising demand is planned for as it will be this much later: a copy takes up
# to 9 s, and demand that moves to a model rises for 7 to 8 s.
TREND_S = 4.0
# A rise is carried on by this part of what is seen at most: callers who are
# refused ask again, and a crash moves them all at once.
MAX_RISE = 0.5
# Before demand was seen for this long, every model looks idle.
SETTLE_S = 2.0
# What an instance said counts for this long after its last summary.
SUMMARY_VALID_S = 3.0


@dataclasses.dataclass(slots=True)
class _Instance:
    """What one instance said last, and its count of requests by model."""

    summary: summaries.Summary
    at: float
    arrivals: dict[tuple[str, str], int]
    loads: list[summaries.EngineLoad]


@dataclasses.dataclass(slots=True)
class _Demand:
    per_s: float = 0.0
    fast_per_s: float = 0.0
    asked_at: float = float("-inf")
    fresh: int = 0
    objective_s: float = float("inf")


class DemandBook:
    """Demand for models and load of targets, from all instances' summaries."""

    __slots__ = ("_demand", "_first_at", "_instances", "_rated_at")

    def __init__(self) -> None:
        self._instances: dict[str, _Instance] = {}
        self._demand: dict[tuple[str, str], _Demand] = {}
        self._rated_at: float | None = None
        self._first_at: float | None = None

    def settled(self, now: float) -> bool:
        """Whether demand was seen for long enough to compare models."""
        return self._first_at is not None and now - self._first_at >= SETTLE_S

    def take(self, summary: summaries.Summary, now: float) -> None:
        """Takes over a summary; an older one is ignored."""
        known = self._instances.get(summary.instance)
        same = (
            known is not None
            and known.summary.incarnation == summary.incarnation
        )
        before: dict[tuple[str, str], int] = {}
        if known is not None and same:
            if summary.number <= known.summary.number:
                return
            before = known.arrivals
        for entry in summary.demand:
            key = (entry.service, entry.model)
            demand = self._demand.setdefault(key, _Demand())
            demand.objective_s = min(demand.objective_s, entry.objective_s)
            # What an instance had received before it was first heard, or
            # before it first named a model, is not recent demand.
            told = before.get(key, entry.arrivals - 1)
            fresh = entry.arrivals - told if same else 0
            if fresh > 0:
                demand.fresh += fresh
                demand.asked_at = now
                if self._first_at is None:
                    self._first_at = now
            before[key] = entry.arrivals
        loads = summary.loads
        if loads is None:
            loads = known.loads if known is not None and same else []
        self._instances[summary.instance] = _Instance(
            summary, now, before, loads
        )

    def rate(self, now: float) -> None:
        """Smooths the demand that came since the last call."""
        if self._rated_at is None:
            self._rated_at = now
            return
        elapsed_s = now - self._rated_at
        if elapsed_s <= 0.0:
            return
        self._rated_at = now
        keep = math.exp(-elapsed_s / DEMAND_SMOOTHING_S)
        keep_fast = math.exp(-elapsed_s / FAST_SMOOTHING_S)
        for demand in self._demand.values():
            rate = demand.fresh / elapsed_s
            demand.per_s = keep * demand.per_s + (1.0 - keep) * rate
            demand.fast_per_s *= keep_fast
            demand.fast_per_s += (1.0 - keep_fast) * rate
            demand.fresh = 0

    def _live(self, now: float) -> list[_Instance]:
        """Returns the instances whose last summary still counts."""
        return [
            i for i in self._instances.values() if now - i.at < SUMMARY_VALID_S
        ]

    def needs(self, now: float) -> dict[tuple[str, str, str], int]:
        """Returns the requests that wait, by service, model and adapter."""
        found: dict[tuple[str, str, str], int] = {}
        for instance in self._live(now):
            for need in instance.summary.needs:
                key = (need.service, need.model, need.adapter)
                found[key] = found.get(key, 0) + need.waiting
        return found

    def of_service(
        self, service: str, now: float
    ) -> dict[str, copyplan.ModelDemand]:
        """Returns the demand for the models of a service."""
        waiting: dict[str, int] = {}
        for (name, model, _), count in self.needs(now).items():
            if name == service:
                waiting[model] = waiting.get(model, 0) + count
        # Smoothing starts from zero; without this the first seconds would look
        # calmer than they are.
        seen_s = now - (self._first_at if self._first_at else now)
        part = 1.0 - math.exp(-max(seen_s, 0.5) / DEMAND_SMOOTHING_S)
        found = {
            model: copyplan.ModelDemand(
                _expected(demand.per_s / part, demand.fast_per_s),
                demand.asked_at,
                waiting.pop(model, 0),
                demand.objective_s,
            )
            for (name, model), demand in self._demand.items()
            if name == service
        }
        for model, count in waiting.items():
            found[model] = copyplan.ModelDemand(0.0, now, count)
        return found

    def rates(self, least_per_s: float) -> list[summaries.Rate]:
        """Returns the demand for models that is not less than a rate."""
        return [
            summaries.Rate(service, model, round(demand.fast_per_s, 1))
            for (service, model), demand in self._demand.items()
            if demand.fast_per_s >= least_per_s
        ]

    def loads(self, now: float) -> dict[str, summaries.EngineLoad]:
        """Returns the requests under way at each target."""
        totals: dict[str, summaries.EngineLoad] = {}
        for instance in self._live(now):
            for load in instance.loads:
                known = totals.get(load.target)
                totals[load.target] = summaries.EngineLoad(
                    load.target,
                    load.in_flight + (known.in_flight if known else 0),
                    load.prompt_tokens + (known.prompt_tokens if known else 0),
                    load.late_tokens + (known.late_tokens if known else 0),
                )
        return totals


def _expected(per_s: float, fast_per_s: float) -> float:
    """Returns the requests a second that a new copy will meet.

    While demand rises evenly, a smoothed rate is behind by its time constant,
    so the difference of the two tells the slope.

    Args:
      per_s: Rate smoothed over `DEMAND_SMOOTHING_S`.
      fast_per_s: Rate smoothed over `FAST_SMOOTHING_S`.
    """
    certain = _certain(fast_per_s)
    lag_s = DEMAND_SMOOTHING_S - FAST_SMOOTHING_S
    slope = max(0.0, certain - per_s) / lag_s
    seen = max(per_s, certain)
    return seen + min(MAX_RISE * seen, TREND_S * slope)


def _certain(per_s: float) -> float:
    """Returns the part of a fast rate that chance does not explain.

    A smoothed Poisson rate deviates by the root of half of it.
    """
    return max(0.0, per_s - math.sqrt(per_s / (2.0 * FAST_SMOOTHING_S)))
