"""Chooses the target of a request.

Policies are registered by name. They see each target as a `TargetView`,
built by the caller from estimates, prefix index and membership.
"""

import abc
import collections
import dataclasses
import itertools
import math
import random
from collections.abc import Callable, Sequence

from carobsail import errors, estimation

NO_TARGET_RETRY_S = 1.0
# Costs are in seconds of engine time that a choice takes from others. Without
# the cost of an adapter load, bench.routing made a third to two thirds more
# loads at the same on-time share (seeds 1 to 6).
ADAPTER_LOAD_COST_S = 0.3
SPREAD_COST_S = 0.5  # Of a target that is full, by its share of used slots.
# Predictions made from old reports are often too short. With 1 in place of 3,
# the mean on-time share in bench.routing fell from 0.880 to 0.874 and from
# 0.833 to 0.829 (seeds 1 to 6).
SAFETY = 3.0
SLACK_COST_S = 0.2  # Of a target that is predicted to finish just on time.
BYTES_PER_SAVED_DEADLINE = 256 * 1024  # Of a billed link, for one request.
DEMOTED_COST_S = 10.0
LATE_PRIORITY = 1000
SLACK_STEPS_PER_S = 10
MAX_SLACK_STEP = 99
MAX_BASE_PRIORITY = 9


@dataclasses.dataclass(slots=True, frozen=True)
class RouteRequest:
    """What routing needs to know of a request.

    Attributes:
      model: Model that it asks for; the service name for plain services.
      due_at: Time at which the whole answer is due, in loop seconds.
      first_token_due_at: Time at which the first token is due.
      adapter: Adapter name or empty.
      body_bytes: Size of the request.
      answer_bytes: Expected size of the answer.
      excluded: Targets that already failed this request.
    """

    model: str
    due_at: float
    first_token_due_at: float = math.inf
    adapter: str = ""
    body_bytes: int = 0
    answer_bytes: int = 0
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class Path:
    """The link to a target's data centre.

    Attributes:
      latency_s: One-way latency in seconds.
      bytes_per_s: Bandwidth each way.
      billed: Whether its bytes are billed (another region).
      queued_bytes: Bytes known to wait for the link.
    """

    latency_s: float
    bytes_per_s: float
    billed: bool = True
    queued_bytes: int = 0

    def to_target_s(self, size: int) -> float:
        """Returns the seconds that `size` bytes take to the target."""
        return self.latency_s + (self.queued_bytes + size) / self.bytes_per_s

    def from_target_s(self, size: int) -> float:
        """Returns the seconds that `size` bytes take from the target."""
        return self.latency_s + size / self.bytes_per_s


@dataclasses.dataclass(slots=True, frozen=True)
class TargetView:
    """A target as the router sees it.

    Attributes:
      name: Target name, or name of the data centre for a gateway.
      models: Models (or the service) that it serves now.
      prediction: Prediction for this request, without the path.
      adapters: Adapters resident now.
      cold_prompt_s: Seconds to process the part of the prompt not cached.
      in_flight: Requests waiting or running.
      slots: Requests that it runs at once.
      serving: Whether it takes new work.
      leaving: Whether it is being stopped.
      demoted: Whether it is much slower than listed.
      quarantined: Whether it is reserved for a crash suspect.
      path: Link to its data centre; None in the own data centre.
    """

    name: str
    models: frozenset[str]
    prediction: estimation.Prediction
    adapters: frozenset[str] = frozenset()
    cold_prompt_s: float = 0.0
    in_flight: int = 0
    slots: int = 16
    serving: bool = True
    leaving: bool = False
    demoted: bool = False
    quarantined: bool = False
    path: Path | None = None

    def can_run(self, request: RouteRequest) -> bool:
        """Tells whether the request may be sent here."""
        return (
            self.serving
            and not self.leaving
            and not self.quarantined
            and request.model in self.models
            and self.name not in request.excluded
        )

    @property
    def billed(self) -> bool:
        """Whether reaching it uses a link that is billed by volume."""
        return self.path is not None and self.path.billed

    def first_token_in_s(self, request: RouteRequest) -> float:
        """Returns seconds until the first token is back."""
        if self.path is None:
            return self.prediction.first_token_s
        way_s = self.path.to_target_s(request.body_bytes)
        return way_s + self.prediction.first_token_s + self.path.latency_s

    def finish_in_s(self, request: RouteRequest) -> float:
        """Returns seconds until the whole answer is back."""
        if self.path is None:
            return self.prediction.finish_s
        there_s = self.path.to_target_s(request.body_bytes)
        back_s = self.path.from_target_s(request.answer_bytes)
        return there_s + self.prediction.finish_s + back_s

    def on_time(
        self, request: RouteRequest, now: float, safety: float = 1.0
    ) -> bool:
        """Tells whether first token and whole answer come by their times.

        Args:
          request: The request.
          now: Time of the loop's clock in seconds.
          safety: Factor on the predicted times.
        """
        first_at = now + safety * self.first_token_in_s(request)
        finish_at = now + safety * self.finish_in_s(request)
        return (
            first_at <= request.first_token_due_at
            and finish_at <= request.due_at
        )


class RoutingPolicy(abc.ABC):
    """Chooses among targets that can run a request."""

    def __init__(self, rng: random.Random):
        self._rng = rng

    def choose(
        self, request: RouteRequest, views: Sequence[TargetView], now: float
    ) -> TargetView | errors.Failure:
        """Chooses a target.

        Args:
          request: The request.
          views: All targets known, and gateways to other data centres.
          now: Time of the loop's clock in seconds.

        Returns:
          The view chosen, or a failure when none can run the request.
        """
        usable = [view for view in views if view.can_run(request)]
        if not usable:
            return errors.Failure(
                errors.Reason.NO_TARGET,
                errors.Step.ROUTE,
                request.model,
                detail=f"none of {len(views)} targets serves the model now",
                retry_after_s=NO_TARGET_RETRY_S,
            )
        return self._choose(request, usable, now)

    @abc.abstractmethod
    def _choose(
        self, request: RouteRequest, usable: Sequence[TargetView], now: float
    ) -> TargetView:
        """Chooses one of at least one usable target."""


_POLICIES: dict[str, Callable[[random.Random], RoutingPolicy]] = {}


def register(
    name: str,
) -> Callable[[type[RoutingPolicy]], type[RoutingPolicy]]:
    """Registers a policy class under a name."""

    def add(policy: type[RoutingPolicy]) -> type[RoutingPolicy]:
        if name in _POLICIES:
            raise ValueError(f"routing policy {name!r} is registered twice")
        _POLICIES[name] = policy
        return policy

    return add


def policy_names() -> list[str]:
    """Returns the names of the registered policies."""
    return sorted(_POLICIES)


def create(name: str, rng: random.Random) -> RoutingPolicy:
    """Creates a policy.

    Raises:
      KeyError: No policy has this name.
    """
    return _POLICIES[name](rng)


@register("due_time")
class DueTime(RoutingPolicy):
    """The cheapest target on time; if none is, the earliest finish.

    Targets that would be on time even if the prediction were short by the
    factor `SAFETY` go first. A billed link is used only if nothing nearer is
    equally safe, the target behind it is, and the answer is worth its bytes;
    or if no nearer target can run the request at all.
    """

    def _choose(
        self, request: RouteRequest, usable: Sequence[TargetView], now: float
    ) -> TargetView:
        near = [view for view in usable if not view.billed]
        far = [view for view in usable if view.billed and not view.demoted]
        size = request.body_bytes + request.answer_bytes
        if near and size > BYTES_PER_SAVED_DEADLINE:
            far = []
        healthy = [view for view in near if not view.demoted]
        for safety in (SAFETY, 1.0):
            for views in (healthy, far):
                on_time = [v for v in views if v.on_time(request, now, safety)]
                if on_time:
                    return self._cheapest(request, on_time, now)
        return min(near or usable, key=lambda v: _late_rank(request, v))

    def _cheapest(
        self, request: RouteRequest, views: Sequence[TargetView], now: float
    ) -> TargetView:
        ranked = [
            (cost_s(request, view, now), self._rng.random(), index)
            for index, view in enumerate(views)
        ]
        return views[min(ranked)[2]]


def cost_s(request: RouteRequest, view: TargetView, now: float) -> float:
    """Returns the cost of a choice in seconds of engine time."""
    cost = view.cold_prompt_s
    cost += SPREAD_COST_S * view.in_flight / max(1, view.slots)
    if request.adapter and request.adapter not in view.adapters:
        cost += ADAPTER_LOAD_COST_S
    if view.path is not None:
        size = request.body_bytes + request.answer_bytes
        cost += view.path.latency_s + size / view.path.bytes_per_s
    return cost + SLACK_COST_S * _used_share(request, view, now)


def _used_share(request: RouteRequest, view: TargetView, now: float) -> float:
    """Returns how much of the time to the nearest due time is used."""
    first_s = max(1e-3, request.first_token_due_at - now)
    whole_s = max(1e-3, request.due_at - now)
    return max(
        view.first_token_in_s(request) / first_s,
        view.finish_in_s(request) / whole_s,
    )


def _late_rank(request: RouteRequest, view: TargetView) -> tuple[float, str]:
    penalty_s = DEMOTED_COST_S if view.demoted else 0.0
    return view.finish_in_s(request) + penalty_s, view.name


@register("round_robin")
class RoundRobin(RoutingPolicy):
    """Baseline: takes turns among the targets that can run a request."""

    def __init__(self, rng: random.Random):
        super().__init__(rng)
        self._turns: collections.OrderedDict[str, itertools.count[int]] = (
            collections.OrderedDict()
        )

    def _choose(
        self, request: RouteRequest, usable: Sequence[TargetView], now: float
    ) -> TargetView:
        del now  # Unused.
        turn = self._turns.setdefault(request.model, itertools.count())
        if len(self._turns) > _MAX_TURNS:
            self._turns.popitem(last=False)
        return usable[next(turn) % len(usable)]


_MAX_TURNS = 1024


@register("least_outstanding")
class LeastOutstanding(RoutingPolicy):
    """Baseline: takes the target with the fewest requests in flight."""

    def _choose(
        self, request: RouteRequest, usable: Sequence[TargetView], now: float
    ) -> TargetView:
        del request, now  # Unused.
        fewest = min(view.in_flight for view in usable)
        tied = [view for view in usable if view.in_flight == fewest]
        return self._rng.choice(tied)


def engine_priority(base: int, slack_s: float) -> int:
    """Returns the engine priority; lower is more urgent.

    Requests that can still be on time go first, the least slack foremost,
    and those that will be late come behind all of them.

    Args:
      base: Priority of the client account, 0 to 9.
      slack_s: Seconds between the predicted finish and the due time.
    """
    base = min(MAX_BASE_PRIORITY, max(0, base))
    if slack_s < 0.0:
        return LATE_PRIORITY + base
    step = min(MAX_SLACK_STEP, int(slack_s * SLACK_STEPS_PER_S))
    return step * (MAX_BASE_PRIORITY + 1) + base
