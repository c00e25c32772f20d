"""Chooses the target of a request.

Routing policies are registered by name. They see each target as a
`TargetView`, which the calling code builds from latency predictions, the
prefix index and the membership.
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
# Costs are in seconds of engine time that a choice takes from other requests.
# Without the cost of an adapter load, bench.routing made a third to two thirds
# more loads at the same share of requests on time (seeds 1 to 6).
ADAPTER_LOAD_COST_S = 0.3
# Cost of a target whose slots are all used; less in proportion to free slots.
UTILISATION_COST_S = 0.5
# Predictions made from old reports are often too short. With 1 in place of 3,
# the mean share of requests on time in bench.routing fell from 0.880 to 0.874
# and from 0.833 to 0.829 (seeds 1 to 6).
SAFETY_FACTOR = 3.0
# Cost of a target that is predicted to finish exactly at the deadline.
NO_SLACK_COST_S = 0.2
# Bytes over a billed link that meeting one request's deadline is worth.
MAX_BILLED_BYTES_PER_REQUEST = 256 * 1024
DEMOTED_COST_S = 10.0
LATE_PRIORITY = 1000  # Behind every priority of a request with slack left.
SLACK_STEPS_PER_S = 10
MAX_SLACK_STEP = 99
MAX_BASE_PRIORITY = 9


@dataclasses.dataclass(slots=True, frozen=True)
class RouteRequest:
    """What routing needs to know about a request.

    Attributes:
      model: Requested model; the service name for plain HTTP services.
      due_at: Deadline of the complete response, in seconds of the event
        loop's clock.
      first_token_due_at: Deadline of the first token, on the same clock.
      adapter: Name of the requested adapter; empty for none.
      body_bytes: Size of the request body.
      response_bytes: Expected size of the response.
      excluded: Targets on which this request has already failed.
    """

    model: str
    due_at: float
    first_token_due_at: float = math.inf
    adapter: str = ""
    body_bytes: int = 0
    response_bytes: int = 0
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class NetworkLink:
    """The network link to a target's data centre.

    Attributes:
      latency_s: One-way latency in seconds.
      bytes_per_s: Bandwidth in each direction.
      billed: Whether traffic is billed by volume (link to another region).
      queued_bytes: Bytes known to be queued for sending.
    """

    latency_s: float
    bytes_per_s: float
    billed: bool = True
    queued_bytes: int = 0

    def to_target_s(self, size: int) -> float:
        """Returns the seconds to send `size` bytes, after those queued."""
        return self.latency_s + (self.queued_bytes + size) / self.bytes_per_s

    def from_target_s(self, size: int) -> float:
        """Returns the seconds to receive `size` bytes from the target."""
        return self.latency_s + size / self.bytes_per_s


@dataclasses.dataclass(slots=True, frozen=True)
class TargetView:
    """A target as the router sees it.

    Attributes:
      name: Target name, or name of the data centre for a gateway.
      models: Models (or the service) that it serves now.
      prediction: Latency prediction for this request, without the network.
      adapters: Adapters resident now.
      uncached_prefill_s: Seconds to process the uncached part of the prompt.
      in_flight: Requests waiting or running.
      slots: Number of requests that it runs concurrently.
      serving: Whether it takes new work.
      leaving: Whether it is being shut down.
      demoted: Whether it is much slower than its listed rates.
      quarantined: Whether it is reserved for a request that is suspected of
        crashing targets.
      link: Link to its data centre; None for the router's own data centre.
    """

    name: str
    models: frozenset[str]
    prediction: estimation.Prediction
    adapters: frozenset[str] = frozenset()
    uncached_prefill_s: float = 0.0
    in_flight: int = 0
    slots: int = 16
    serving: bool = True
    leaving: bool = False
    demoted: bool = False
    quarantined: bool = False
    link: NetworkLink | None = None

    def can_run(self, request: RouteRequest) -> bool:
        """Tells whether the request may be sent to this target."""
        return (
            self.serving
            and not self.leaving
            and not self.quarantined
            and request.model in self.models
            and self.name not in request.excluded
        )

    @property
    def billed(self) -> bool:
        """Whether the target is reached over a link billed by volume."""
        return self.link is not None and self.link.billed

    def first_token_in_s(self, request: RouteRequest) -> float:
        """Returns the predicted seconds until the first token arrives."""
        if self.link is None:
            return self.prediction.first_token_s
        send_s = self.link.to_target_s(request.body_bytes)
        return send_s + self.prediction.first_token_s + self.link.latency_s

    def finish_in_s(self, request: RouteRequest) -> float:
        """Returns the predicted seconds until the response is complete."""
        if self.link is None:
            return self.prediction.finish_s
        send_s = self.link.to_target_s(request.body_bytes)
        receive_s = self.link.from_target_s(request.response_bytes)
        return send_s + self.prediction.finish_s + receive_s

    def on_time(
        self, request: RouteRequest, now: float, safety_factor: float = 1.0
    ) -> bool:
        """Tells whether both deadlines of the request are predicted to be met.

        Args:
          request: The request.
          now: Time of the event loop's clock in seconds.
          safety_factor: Factor by which the predicted times are multiplied.
        """
        first_token_at = now + safety_factor * self.first_token_in_s(request)
        finish_at = now + safety_factor * self.finish_in_s(request)
        return (
            first_token_at <= request.first_token_due_at
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
          views: All known targets, and gateways to other data centres.
          now: Time of the event loop's clock in seconds.

        Returns:
          The chosen view, or a failure when none can run the request.
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
        """Chooses one of `usable`, which is not empty."""


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
    """Chooses the cheapest target that is predicted to meet the deadlines.

    Targets that would be on time even if the request took `SAFETY_FACTOR`
    times as long as predicted are preferred. A target behind a billed link is
    chosen only if no other target (demoted ones aside) is equally safe and the
    transfer is at most `MAX_BILLED_BYTES_PER_REQUEST`, or if no target without
    a billed link can run the request. If no target is on time, the one with
    the earliest predicted finish is chosen.
    """

    def _choose(
        self, request: RouteRequest, usable: Sequence[TargetView], now: float
    ) -> TargetView:
        unbilled = [view for view in usable if not view.billed]
        billed = [view for view in usable if view.billed and not view.demoted]
        size = request.body_bytes + request.response_bytes
        if unbilled and size > MAX_BILLED_BYTES_PER_REQUEST:
            billed = []
        preferred = [view for view in unbilled if not view.demoted]
        for factor in (SAFETY_FACTOR, 1.0):
            for views in (preferred, billed):
                on_time = [v for v in views if v.on_time(request, now, factor)]
                if on_time:
                    return self._cheapest(request, on_time, now)
        return min(unbilled or usable, key=lambda v: _finish_rank(request, v))

    def _cheapest(
        self, request: RouteRequest, views: Sequence[TargetView], now: float
    ) -> TargetView:
        ranked = [
            (cost_s(request, view, now), self._rng.random(), index)
            for index, view in enumerate(views)
        ]
        return views[min(ranked)[2]]


def cost_s(request: RouteRequest, view: TargetView, now: float) -> float:
    """Returns the cost of choosing a target, in seconds of engine time."""
    cost = view.uncached_prefill_s
    cost += UTILISATION_COST_S * view.in_flight / max(1, view.slots)
    if request.adapter and request.adapter not in view.adapters:
        cost += ADAPTER_LOAD_COST_S
    if view.link is not None:
        size = request.body_bytes + request.response_bytes
        cost += view.link.latency_s + size / view.link.bytes_per_s
    return cost + NO_SLACK_COST_S * _used_time_share(request, view, now)


def _used_time_share(
    request: RouteRequest, view: TargetView, now: float
) -> float:
    """Returns the share used of the time left until the tighter deadline."""
    first_token_due_s = max(1e-3, request.first_token_due_at - now)
    due_s = max(1e-3, request.due_at - now)
    return max(
        view.first_token_in_s(request) / first_token_due_s,
        view.finish_in_s(request) / due_s,
    )


def _finish_rank(request: RouteRequest, view: TargetView) -> tuple[float, str]:
    penalty_s = DEMOTED_COST_S if view.demoted else 0.0
    return view.finish_in_s(request) + penalty_s, view.name


@register("round_robin")
class RoundRobin(RoutingPolicy):
    """Baseline: rotates through the targets that can run a request."""

    def __init__(self, rng: random.Random):
        super().__init__(rng)
        self._counters: collections.OrderedDict[str, itertools.count[int]] = (
            collections.OrderedDict()
        )

    def _choose(
        self, request: RouteRequest, usable: Sequence[TargetView], now: float
    ) -> TargetView:
        del now  # Unused.
        counter = self._counters.setdefault(request.model, itertools.count())
        if len(self._counters) > _MAX_COUNTERS:
            self._counters.popitem(last=False)
        return usable[next(counter) % len(usable)]


_MAX_COUNTERS = 1024  # One counter per model.


@register("least_outstanding")
class LeastOutstanding(RoutingPolicy):
    """Baseline: chooses the target with the fewest requests in flight."""

    def _choose(
        self, request: RouteRequest, usable: Sequence[TargetView], now: float
    ) -> TargetView:
        del request, now  # Unused.
        fewest = min(view.in_flight for view in usable)
        tied = [view for view in usable if view.in_flight == fewest]
        return self._rng.choice(tied)


def engine_priority(base: int, slack_s: float) -> int:
    """Returns the priority that an engine is given; lower is more urgent.

    Requests that can still be on time come first, in order of increasing
    slack. Requests that will be late come after all of them.

    Args:
      base: Priority of the client account, 0 to 9.
      slack_s: Seconds from the predicted finish to the deadline.
    """
    base = min(MAX_BASE_PRIORITY, max(0, base))
    if slack_s < 0.0:
        return LATE_PRIORITY + base
    step = min(MAX_SLACK_STEP, int(slack_s * SLACK_STEPS_PER_S))
    return step * (MAX_BASE_PRIORITY + 1) + base
