"""Chooses the target of a request, or decides that it waits or is refused.

The decision handles these load patterns:

- A sudden rise of one kind of request: the target with the shortest predicted
  time is preferred. Beyond the capacity of the engines, a first-come
  first-served queue would make all requests late. A request that can no longer
  meet its objective is therefore queued behind those that can, and one whose
  predicted first event comes after its caller's deadline is refused at once.
- A model that no engine holds: the request waits only while a load can end
  before its caller's deadline. Callers of rare models with long deadlines share
  loads: an engine that loads for 9 s then serves all requests that have arrived
  meanwhile, and the engines together start 8 loads a second for 25 requests.
- Equivalent remote targets: a link between regions is slow and its traffic is
  billed, so the local data centre is preferred until its predicted time is
  worse by more than the cost of the link.
"""

import dataclasses
import functools
import math
from collections.abc import Sequence
from typing import Any

from carobsail import (
    decisiontrace,
    enginecapacity,
    latencymodel,
    levelchoice,
    loadinterpretation,
    routetable,
)
from carobsail.targetregistry import Target

# Cost in seconds of a target in another data centre of the region and in
# another region: the links take 0.5 and 20 ms one way, and traffic is billed.
OTHER_DATA_CENTRE_COST_S = 0.004
OTHER_REGION_COST_S = 0.08
# Even an idle target cannot respond to a caller with less time left than this.
MIN_RESPONSE_S = 0.05
# Cost in seconds of a target all of whose requests fail; scaled by the share.
FAILURE_COST_S = 0.4
# Share of a caller's time that its request waits for the coordinator to plan a
# load, if only a copy in host memory or on disk could be loaded in time. After
# that the caller is asked to retry later.
UNPLANNED_LOAD_WAIT_SHARE = 0.1
# Share of a caller's time that its request waits for an adapter: an engine that
# loads a model loads no adapter meanwhile.
ADAPTER_WAIT_SHARE = 0.5
# Share of the requests that are sent although their streams are predicted to
# end too late: only further streams show that they no longer do.
END_EXPLORATION_SHARE = 0.05
# Longest time that a request waits for the replacement of its service's last
# target. More is not worth it: the replacement may come late or not at all.
MAX_REPLACEMENT_WAIT_S = 0.5
# Retry-After time in seconds once the replacement is overdue, and as a share of
# the time since then, which grows if it does not come at all.
OVERDUE_RETRY_S = 1.0
OVERDUE_RETRY_SHARE = 0.5
# Bounds of the Retry-After time in seconds. A load from the weight store takes
# 9 s; beyond that the state cannot be predicted.
MAX_RETRY_S = 10.0
MIN_RETRY_S = 0.2
# A model load that blocks the loading of adapters ends within this time.
ADAPTER_RETRY_S = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Location:
    """Location of this instance.

    Attributes:
      data_centre: Its data centre.
      regions: Regions by data centre.
    """

    data_centre: str
    regions: dict[str, str]

    def region_of(self, data_centre: str) -> str:
        """Returns the region of a data centre, by default its own name."""
        return self.regions.get(data_centre, data_centre)

    def network_cost_s(self, data_centre: str) -> float:
        """Returns the cost in seconds of the link to a data centre."""
        if data_centre == self.data_centre:
            return 0.0
        if self.region_of(self.data_centre) == self.region_of(data_centre):
            return OTHER_DATA_CENTRE_COST_S
        return OTHER_REGION_COST_S


@dataclasses.dataclass(slots=True)
class TargetRequirements:
    """What a request requires of a target.

    Attributes:
      service: Service of the request.
      model: Model, or empty for a plain service.
      adapter: Adapter, or empty.
      prompt_tokens: Tokens of its prompt.
      due_at: Deadline: when its caller gives up or the route's timeout expires.
      objective_due_at: Time until which the response meets the objective.
      next_event_due_at: When its caller gives up unless it has received an
        event.
      answer_tokens: Maximum number of tokens that are still to be generated; 0
        if not known.
      excluded: Identities of targets to which it is not sent again.
      cached_tokens: Prompt tokens in the cache of a target, by its identity.
      model_ready_in_s: Seconds until the model is loaded according to the
        coordinator; None if no load is planned.
      waited_s: Seconds that it has waited for the model or adapter.
      expected_remote_requests: Expected number of requests of other instances
        for the same model or plain service that the known load of the targets
        does not include.
      replacement_due_at: When a target should have registered, if all targets
        of the service are known to be leaving or gone; else None.
      memory_tokens: Tokens that it holds in an engine's memory at its end.
      memory_fill_share: Share of an engine's memory that may be filled; 0 if
        memory is left to the engines.
      stream_kind: Kind of its stream; see `latencymodel.stream_kind`.
      instance_count: Number of instances that send to the targets.
      remote_requests_per_s: Requests per second that the other instances send
        for the same model or plain service.
      random_draw: Random number in [0, 1), so that instances choose different
        targets.
    """

    service: str
    model: str
    adapter: str
    prompt_tokens: int
    due_at: float
    objective_due_at: float
    next_event_due_at: float = math.inf
    answer_tokens: int = 0
    excluded: set[str] = dataclasses.field(default_factory=set)
    cached_tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    model_ready_in_s: float | None = None
    waited_s: float = 0.0
    expected_remote_requests: float = 0.0
    replacement_due_at: float | None = None
    memory_tokens: int = 0
    memory_fill_share: float = 0.0
    stream_kind: int = 0
    instance_count: int = 1
    remote_requests_per_s: float = 0.0
    random_draw: float = 0.0

    def shortfall_s(
        self, expected: "Forecast", safety_factor: float, now: float
    ) -> float:
        """Returns by how many seconds a response misses its deadlines.

        Args:
          expected: Predicted response time.
          safety_factor: Safety factor of the latency model; the end of a
            response is predicted with less caution than its first event.
          now: Time of the event loop's clock in seconds.
        """
        left_s = min(self.due_at, self.next_event_due_at) - now
        end_s = expected.end_s / safety_factor
        if expected.generation_s:
            end_s = expected.end_s
            if self.random_draw < END_EXPLORATION_SHARE:
                end_s = min(end_s, expected.first_s + expected.generation_s)
        return max(expected.first_s - left_s, end_s - (self.due_at - now))


@dataclasses.dataclass(slots=True, frozen=True)
class Forecast:
    """Predicted response time of a target for one request.

    Attributes:
      first_s: Seconds to the first event, or for a plain service to the whole
        response.
      end_s: Seconds to the end of the response.
      prompt_tokens: Prompt tokens that the target has to process before the
        first event, other requests included.
      uncached_tokens: Uncached prompt tokens of the request itself.
      in_flight: Requests in flight at the target.
      rounds: For a plain target, 1 plus the queue ahead in units of its slots.
      pace: Pace of the target by which the times are multiplied.
      stated_pace: Part of the pace that the target has stated; the rest is
        learned from measured times.
      pace_age_s: Age of the last stated pace; infinite if there is none.
      generation_s: Predicted seconds from the first event to the end without
        the correction that `end_s` contains; 0 unless the target states a pace.
      held_tokens: Predicted tokens in the memory of the target, without the
        request's; None if no target of its service states a pace.
    """

    first_s: float
    end_s: float
    prompt_tokens: float = 0.0
    uncached_tokens: float = 0.0
    in_flight: int = 0
    rounds: float = 0.0
    pace: float = 1.0
    stated_pace: float = 1.0
    pace_age_s: float = math.inf
    generation_s: float = 0.0
    held_tokens: float | None = None

    @property
    def idle(self) -> bool:
        """Whether the target has no other work."""
        return not self.in_flight and self.prompt_tokens <= self.uncached_tokens

    def log_fields(self) -> dict[str, Any]:
        """Returns the fields of log lines that show the prediction."""
        fields: dict[str, Any] = {"predicted_end_s": self.end_s}
        if self.pace_age_s < math.inf:
            fields |= {"pace": self.pace, "pace_age_s": self.pace_age_s}
        if self.held_tokens is not None:
            fields["held_tokens"] = round(self.held_tokens)
        return fields

    def usual_s(self, measured_s: float) -> float:
        """Returns a measured time as it would be at the stated usual pace.

        The learned part of the pace stays in: it is relative to the latency
        model, which is the mean over the targets.
        """
        return measured_s / self.stated_pace

    @property
    def queued(self) -> bool:
        """Whether the target begins other requests before this one."""
        return self.rounds > 1.0 or self.prompt_tokens > self.uncached_tokens


@dataclasses.dataclass(slots=True, frozen=True)
class Send:
    """The request is sent to this target.

    Attributes:
      target: The target.
      cost_s: Conservative estimate of the seconds to the first event, with the
        costs of the network link and of past failures added.
      forecast: Predicted response time.
      late: Whether it is queued behind requests that can meet their objective.
    """

    target: Target
    cost_s: float
    forecast: Forecast
    late: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """The request waits until something changes, at the latest until `until`.

    Attributes:
      reason: What is missing: `model`, `adapter`, `target` or `memory`.
      until: Latest time of the next decision.
    """

    reason: str
    until: float


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """The request is refused without being executed.

    Attributes:
      reason: Why it is refused.
      retry_after_s: Seconds after which the caller may retry.
    """

    reason: str
    retry_after_s: float


Choice = Send | Wait | Refuse


def choose_target(
    requirements: TargetRequirements,
    targets: Sequence[Target],
    pool: routetable.EnginePool | None,
    location: Location,
    now: float,
    latency_model: latencymodel.LatencyModel = latencymodel.INITIAL_MODEL,
    trace: decisiontrace.DecisionTrace = decisiontrace.NO_TRACE,
) -> Choice:
    """Decides whether and where a request is sent.

    Args:
      requirements: The request.
      targets: Targets of its service that are not leaving.
      pool: Common properties of the engines of the service; None for a plain
        service.
      location: Location of this instance.
      now: Time of the event loop's clock in seconds.
      latency_model: Latency model of the targets of the service.
      trace: Records what the decision considered.
    """
    left_s = min(requirements.due_at, requirements.next_event_due_at) - now
    candidates = [
        t for t in targets if t.entry.identity not in requirements.excluded
    ]
    trace.keep("was sent to before", targets, candidates)
    if pool is not None:
        if requirements.model and requirements.model not in pool.models:
            return Refuse("unknown_model", MAX_RETRY_S)
    if not targets and requirements.replacement_due_at is not None:
        return _decide_on_replacement(
            requirements, requirements.replacement_due_at, left_s, now
        )
    if pool is not None:
        holders = [t for t in candidates if requirements.model in t.held]
        if requirements.model:
            trace.keep("does not hold the model", candidates, holders)
        if not holders and requirements.model:
            return _decide_without_model(requirements, pool, left_s, now)
        candidates = holders or candidates
        if requirements.adapter:
            holders = candidates
            candidates = [
                t
                for t in holders
                if requirements.adapter in t.held[requirements.model]
            ]
            trace.keep("does not hold the adapter", holders, candidates)
            if not candidates:
                return _decide_without_adapter(requirements, left_s, now)
    available = [t for t in candidates if t.available_at <= now]
    trace.keep("pauses", candidates, available)
    if not available:
        return _decide_without_target(requirements, candidates, left_s, now)
    reachable = [t for t in available if t.avoided_until <= now] or available
    trace.keep("not reached by several instances", available, reachable)
    available = reachable
    engine = pool is not None
    room = _find_room(requirements, available, pool, latency_model, now)
    if room is not None:
        if not room.shares:
            return _decide_without_room(requirements, room, left_s, now)
        with_room = [t for t in available if t.entry.identity in room.shares]
        trace.keep("has no memory", available, with_room)
        available = with_room
    pick = functools.partial(
        _pick_target,
        requirements,
        available,
        location,
        engine,
        now=now,
        latency_model=latency_model,
        room=room,
        trace=trace,
    )
    best = pick(late=False)
    if engine and now + best.cost_s > requirements.objective_due_at:
        best = pick(late=True)
    if room is not None:
        held_tokens = room.held_tokens[best.target.entry.identity]
        best = dataclasses.replace(
            best,
            forecast=dataclasses.replace(
                best.forecast, held_tokens=held_tokens
            ),
        )
    expected = best.forecast
    shortfall_s = requirements.shortfall_s(
        expected, latency_model.safety_factor, now
    )
    if expected.idle and left_s > MIN_RESPONSE_S:
        # An idle target is always tried: if the latency model has become too
        # pessimistic, only further responses correct it.
        return best
    if shortfall_s > 0.0:
        return Refuse("hopeless", _retry_s(shortfall_s))
    return best


def _find_room(
    requirements: TargetRequirements,
    targets: Sequence[Target],
    pool: routetable.EnginePool | None,
    latency_model: latencymodel.LatencyModel,
    now: float,
) -> enginecapacity.Room | None:
    """Returns the engines with memory; None if it is not looked at."""
    fill_share = requirements.memory_fill_share
    if pool is None or not enginecapacity.applies(fill_share, targets):
        return None
    need = enginecapacity.MemoryNeed(
        requirements.prompt_tokens,
        requirements.memory_tokens
        or requirements.prompt_tokens + requirements.answer_tokens,
        pool.kv_cache_tokens,
        fill_share,
        requirements.instance_count,
        latency_model.residence_s,
        requirements.random_draw,
    )
    return enginecapacity.find_room(need, targets, now)


def _decide_without_room(
    requirements: TargetRequirements,
    room: enginecapacity.Room,
    left_s: float,
    now: float,
) -> Choice:
    """Decides on a request for which no engine has memory."""
    if room.free_in_s == math.inf:
        return Refuse("exceeds_engine_memory", MAX_RETRY_S)
    waitable_s = min(requirements.objective_due_at - now, left_s / 2)
    if room.free_in_s > waitable_s:
        return Refuse("engines_full", _retry_s(room.free_in_s))
    interval_s = enginecapacity.DECISION_INTERVAL_S
    return Wait("memory", now + min(room.free_in_s, interval_s))


def _pick_target(
    requirements: TargetRequirements,
    targets: Sequence[Target],
    location: Location,
    engine: bool,
    late: bool,
    now: float,
    latency_model: latencymodel.LatencyModel,
    room: enginecapacity.Room | None,
    trace: decisiontrace.DecisionTrace,
) -> Send:
    """Picks a target with a low cost in seconds.

    Among the targets that can meet the objective the choice is random, weighted
    by the requests that other instances are expected to send; see
    `loadinterpretation`. With `room`, it is among all, within their shares.
    """
    options = []
    for target in targets:
        expected = forecast(
            requirements, target, engine, late, now, latency_model
        )
        network_s = location.network_cost_s(target.entry.data_centre)
        cost_s = expected.first_s * (
            latency_model.safety_factor if engine else 1.0
        )
        cost_s += network_s + FAILURE_COST_S * target.failure_share
        options.append(Send(target, cost_s, expected, late))
    if room is None and any(target.pace.known for target in targets):
        return levelchoice.pick_target(
            requirements,
            options,
            location,
            OTHER_REGION_COST_S,
            engine,
            now,
            latency_model,
            trace,
        )
    objective_s = requirements.objective_due_at - now
    ranked = sorted(options, key=lambda s: (s.cost_s, s.target.entry.identity))
    candidates = [
        send for send in ranked if send.cost_s <= objective_s
    ] or ranked[:1]
    trace.consider(ranked, candidates)
    work_s = latency_model.plain_per_request_s
    if engine:
        work_s = latency_model.occupancy_s(requirements.prompt_tokens)
    others_work_s = requirements.expected_remote_requests * work_s
    if room is not None:
        shares = room.shares
        candidates = [
            send
            for send in ranked
            if requirements.shortfall_s(
                send.forecast, latency_model.safety_factor, now
            )
            <= 0.0
        ]
        # All instances prefer the same few engines, whose memory must suffice.
        if sum(shares[s.target.entry.identity] for s in candidates) < 1.0:
            candidates = ranked
        index = enginecapacity.pick_engine(
            [send.cost_s for send in candidates],
            [shares[send.target.entry.identity] for send in candidates],
            others_work_s,
            requirements.random_draw,
        )
        return candidates[index]
    index = loadinterpretation.pick_target(
        [send.cost_s for send in candidates],
        others_work_s,
        requirements.random_draw,
    )
    return candidates[index]


def forecast(
    requirements: TargetRequirements,
    target: Target,
    engine: bool,
    late: bool,
    now: float,
    latency_model: latencymodel.LatencyModel,
) -> Forecast:
    """Predicts the response time of a target.

    Args:
      requirements: The request.
      target: The target.
      engine: Whether the target is a model engine.
      late: Whether the request is queued behind those that can meet their
        objective.
      now: Time of the event loop's clock in seconds.
      latency_model: Latency model of the targets of the service.
    """
    in_flight = target.known_in_flight(now)
    slots = max(1, target.entry.slots)
    waiting = max(0, in_flight + 1 - slots)
    pace = target.pace.at(now)
    stated_pace = target.pace.stated_part(now)
    pace_age_s = now - target.pace.stated_at
    if not engine:
        rounds = 1.0 + waiting / slots
        duration_s = pace * latency_model.plain_s(rounds, in_flight)
        return Forecast(
            duration_s,
            duration_s,
            in_flight=in_flight,
            rounds=rounds,
            pace=pace,
            stated_pace=stated_pace,
            pace_age_s=pace_age_s,
        )
    cached = requirements.cached_tokens.get(target.entry.identity, 0)
    uncached_tokens = float(max(0, requirements.prompt_tokens - cached))
    tokens = (
        uncached_tokens + target.prompt_tokens + target.others_prompt_tokens
    )
    if late:
        tokens += target.late_tokens + target.others_late_tokens
    generation_s = pace * latency_model.generation_s(
        requirements.answer_tokens, in_flight
    )
    first_s = pace * latency_model.first_event_s(tokens, in_flight)
    first_s += waiting / slots * generation_s
    end_s = first_s + generation_s
    stream_s = 0.0
    if target.pace.known and requirements.answer_tokens:
        behind = target.late_tokens + target.others_late_tokens
        prompt_s = latency_model.prompt_s(latency_model.mean_uncached_tokens)
        stream_s = enginecapacity.stream_s(
            generation_s,
            0.0 if late else pace * latency_model.prompt_s(behind),
            in_flight / latency_model.residence_s,
            pace * prompt_s,
        )
        ratio = latency_model.end_ratios[requirements.stream_kind]
        end_s = first_s + ratio * stream_s
    return Forecast(
        first_s,
        end_s,
        tokens,
        uncached_tokens,
        in_flight,
        pace=pace,
        stated_pace=stated_pace,
        pace_age_s=pace_age_s,
        generation_s=stream_s,
    )


def _decide_on_replacement(
    requirements: TargetRequirements,
    due_at: float,
    left_s: float,
    now: float,
) -> Choice:
    """Decides on a request of a service that has lost its last target.

    Load pattern: the last target of a service leaves, and all its callers wait
    for another one, most of them in vain. Only a replacement that is due
    shortly, and within the objective, is waited for.

    Args:
      requirements: The request.
      due_at: When the replacement should have registered.
      left_s: Seconds until the deadline of the request.
      now: Time of the event loop's clock in seconds.
    """
    ready_s = due_at - now
    if ready_s <= 0.0:
        overdue_s = OVERDUE_RETRY_S - OVERDUE_RETRY_SHARE * ready_s
        return Refuse("no_target_left", _retry_s(overdue_s))
    objective_s = requirements.objective_due_at - now
    if ready_s < min(MAX_REPLACEMENT_WAIT_S, objective_s, left_s):
        return Wait("target", due_at)
    return Refuse("no_target_left", _retry_s(ready_s))


def _decide_without_model(
    requirements: TargetRequirements,
    pool: routetable.EnginePool,
    left_s: float,
    now: float,
) -> Choice:
    """Decides on a request whose model is held by no target."""
    model = pool.models[requirements.model]
    first_s = latencymodel.FIRST_EVENT_S
    if requirements.model_ready_in_s is not None:
        if requirements.model_ready_in_s + first_s > left_s:
            return Refuse(
                "model_loads_too_late", _retry_s(requirements.model_ready_in_s)
            )
        return Wait("model", now + min(left_s, 0.5))
    if left_s < model.store_load_s + first_s:
        # Only a copy in host memory or on disk could be loaded in time, and the
        # coordinator plans such a load immediately.
        waited_too_long = requirements.waited_s > UNPLANNED_LOAD_WAIT_SHARE * (
            requirements.waited_s + left_s
        )
        if left_s < model.memory_load_s or waited_too_long:
            return Refuse("model_absent", _retry_s(model.disk_load_s))
    return Wait("model", now + min(left_s, 0.5))


def _decide_without_adapter(
    requirements: TargetRequirements, left_s: float, now: float
) -> Choice:
    """Decides on a request whose adapter is held by no target."""
    # An adapter loads in some 10 ms once the engine accepts commands again.
    if requirements.waited_s > ADAPTER_WAIT_SHARE * (
        requirements.waited_s + left_s
    ):
        return Refuse("adapter_absent", _retry_s(ADAPTER_RETRY_S))
    return Wait("adapter", now + min(left_s, 0.5))


def _decide_without_target(
    requirements: TargetRequirements,
    candidates: Sequence[Target],
    left_s: float,
    now: float,
) -> Choice:
    """Decides on a request none of whose targets is available now.

    Load pattern: full targets ask an instance for a pause. It concerns this
    instance only, so a caller that cannot be served within its objective is
    told at once when to come back, and may reach another instance meanwhile.
    """
    if not candidates:
        if left_s < 0.5:
            return Refuse("no_target", _retry_s(1.0))
        return Wait("target", now + 0.25)
    first = min(candidates, key=lambda t: t.available_at)
    ready_s = first.available_at - now
    requested = first.requested_pause_until > now
    if requested and now + ready_s > requirements.objective_due_at:
        return Refuse("targets_request_pause", _retry_s(ready_s))
    if ready_s > left_s / 2:
        return Refuse("targets_paused", _retry_s(ready_s))
    return Wait("target", now + ready_s)


def _retry_s(capacity_in_s: float) -> float:
    """Returns the Retry-After time if capacity is expected by then."""
    return max(MIN_RETRY_S, min(capacity_in_s, MAX_RETRY_S))
