"""Simulates engines, instances and callers on virtual time.

Instances choose engines with the real `targetchoice` and learn the load that
other instances cause up to `LOAD_REPORT_INTERVAL_S` late; one planner places
models with the real `copyplan`. An engine prefills one prompt at a time, the
most urgent first, and decodes all running requests at once, slower the more
there are. Adapters, prefix caching and preemption are not simulated.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterator, Sequence

from carobsail import (
    copyplan,
    latencymodel,
    modelvalue,
    routetable,
    targetregistry,
)

# Interval at which each instance learns the load caused by the others.
LOAD_REPORT_INTERVAL_S = 0.5
# Interval between two rounds of the planner.
PLAN_INTERVAL_S = 0.1
# Time constant of the smoothed request rate that the planner sees.
DEMAND_TIME_CONSTANT_S = 3.0
# Sliding window for the rate limit on loads from the weight store.
LOAD_WINDOW_S = 5.0
INSTANCES = 20
SERVICE = "llm"


@dataclasses.dataclass(slots=True, frozen=True)
class RequestKind:
    """A kind of request.

    Attributes:
      name: Name of the kind.
      prompt_tokens: Tokens of the prompt.
      answer_tokens: Tokens of the answer.
      objective_s: Time to the first token within which it counts as in time.
      timeout_s: Time after which its caller leaves in any case.
      first_token_timeout_s: Time without a first token after which its caller
        leaves.
      rank: Priority; 0 is served first.
    """

    name: str
    prompt_tokens: int
    answer_tokens: int
    objective_s: float
    timeout_s: float
    first_token_timeout_s: float
    rank: int


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A caller's request, over all of its attempts.

    Attributes:
      kind: What is asked for.
      model: Requested model.
      arrived_at: When its caller first sent it.
      retries_left: How often its caller still retries after a refusal.
      retries_at_once: Whether its caller retries after 0.05 s and not after
        the suggested time.
      urgency: Scheduling priority at its engine; 0 is first.
      dispatched_at: When it was last sent to an engine.
      forecast_tokens: Prompt tokens ahead of it at its engine, as forecast.
      forecast_in_flight: Requests in flight at its engine, as far as known.
      late: Whether it is queued behind requests that can still be in time.
      instance: Index of the instance that handles it.
      first_token_at: When its last engine generated the first token.
      outcome: `in_time`, `late`, `refused` or `left`; empty while undecided.
    """

    kind: RequestKind
    model: str
    arrived_at: float
    retries_left: int = 1
    retries_at_once: bool = False
    urgency: int = 0
    dispatched_at: float = 0.0
    forecast_tokens: float = 0.0
    forecast_in_flight: int = 0
    late: bool = False
    instance: int = 0
    first_token_at: float | None = None
    outcome: str = ""


@dataclasses.dataclass(slots=True, eq=False)
class Engine:
    """The actual state of an engine.

    Attributes:
      identity: Unique name.
      models: Models that it holds or loads.
      prefill_tokens_per_s: Prompt tokens that it reads a second.
      base_token_s: Seconds per generated token, running requests aside.
      token_s_per_running: Additional seconds per token for each running
        request.
      slots: Requests that may run at once.
      waiting: Heap of urgency, sequence number and request.
      prefilling: Request whose prompt it reads.
      running: Requests that it generates answers for.
      loading: Model that it loads; empty without one.
      on_disk: Models whose weights are on its disk.
      removed: Whether it has left the simulation.
    """

    identity: str
    models: set[str]
    prefill_tokens_per_s: float
    base_token_s: float
    token_s_per_running: float
    slots: int
    waiting: list[tuple[int, int, Request]] = dataclasses.field(
        default_factory=list
    )
    prefilling: Request | None = None
    running: set[Request] = dataclasses.field(default_factory=set)
    loading: str = ""
    on_disk: set[str] = dataclasses.field(default_factory=set)
    removed: bool = False


class Policy:
    """Chooses engines for the requests of the instances."""

    name = ""

    def choose(
        self, fleet: "Simulation", request: Request, remaining_s: float
    ) -> Engine | float | None:
        """Returns an engine, or the seconds after which to retry a refusal.

        None keeps the request waiting until a model is loaded or a plan made.
        """
        raise NotImplementedError

    def learn(
        self, fleet: "Simulation", request: Request, decode_s: float
    ) -> None:
        """Learns from a finished answer."""


class Simulation:
    """Discrete-event simulation of requests at a set of engines."""

    def __init__(
        self,
        engines: Sequence[Engine],
        pool: routetable.EnginePool,
        policy: Policy,
        seed: int,
    ) -> None:
        self.engines = {e.identity: e for e in engines}
        self.pool = pool
        self.rng = random.Random(seed)
        self.now = 0.0
        self.requests: list[Request] = []
        self.latency_models = [
            latencymodel.LatencyModel() for _ in range(INSTANCES)
        ]
        # Each instance's view of each engine, by identity.
        self.views: list[dict[str, targetregistry.Target]] = [
            {} for _ in range(INSTANCES)
        ]
        self._policy = policy
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._waiting: list[Request] = []
        self._demand: dict[str, tuple[float, float]] = {}
        self._objectives: dict[str, float] = {}
        self._load_started_at: list[float] = []
        self._ready_at: dict[str, float] = {}

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedules an action at a time."""
        heapq.heappush(self._events, (when, next(self._sequence), action))

    def run(self, arrivals: Sequence[Request], until: float) -> None:
        """Simulates the arrivals until a time; the rest counts as `left`."""
        self.requests = list(arrivals)
        for request in arrivals:
            self.schedule(request.arrived_at, lambda r=request: self._arrive(r))
        self.schedule(0.0, self._report_loads)
        self.schedule(0.0, self._plan)
        while self._events and self.now < until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        for request in arrivals:
            request.outcome = request.outcome or "left"

    def engines_serving(self, model: str) -> list[Engine]:
        """Returns the engines that can serve a model now."""
        return [
            e
            for e in self.engines.values()
            if model in e.models and e.loading != model and not e.removed
        ]

    def load_remaining_s(self, model: str) -> float | None:
        """Returns the seconds until a load of a model ends; None without."""
        ready_at = self._ready_at.get(model)
        return None if ready_at is None else max(0.0, ready_at - self.now)

    def view(self, instance: int, engine: Engine) -> targetregistry.Target:
        """Returns an instance's view of an engine."""
        views = self.views[instance]
        if engine.identity not in views:
            entry = targetregistry.TargetEntry(
                engine.identity, SERVICE, "", "a", engine.slots, False, 1, (),
                frozenset(), frozenset(), 1,
            )  # fmt: skip
            views[engine.identity] = targetregistry.Target(entry)
        target = views[engine.identity]
        usable = engine.models - {engine.loading}
        target.held = {m: frozenset() for m in usable}
        return target

    def request_rate(self, model: str) -> float:
        """Returns the smoothed request rate of a model per second."""
        per_s, at = self._demand.get(model, (0.0, self.now))
        return per_s * max(
            0.0, 1.0 - (self.now - at) / (2.0 * DEMAND_TIME_CONSTANT_S)
        )

    def remove_engines(self, identities: Sequence[str]) -> None:
        """Removes engines and routes their unfinished requests again."""
        for identity in identities:
            engine = self.engines[identity]
            engine.removed = True
            lost = [r for _, _, r in engine.waiting] + list(engine.running)
            if engine.prefilling:
                lost.append(engine.prefilling)
            engine.waiting, engine.running, engine.prefilling = [], set(), None
            for request in lost:
                self._drop_from_view(engine, request)
                self._route(request)

    def add_engine(self, engine: Engine) -> None:
        """Adds an engine."""
        self.engines[engine.identity] = engine

    def _arrive(self, request: Request) -> None:
        request.instance = self.rng.randrange(INSTANCES)
        per_s = self.request_rate(request.model) + 1.0 / DEMAND_TIME_CONSTANT_S
        self._demand[request.model] = (per_s, self.now)
        objective_s = self._objectives.get(request.model, float("inf"))
        self._objectives[request.model] = min(
            objective_s, request.kind.objective_s
        )
        times_out_at = request.arrived_at + request.kind.timeout_s
        first_token_due_at = self.now + request.kind.first_token_timeout_s
        self.schedule(
            min(times_out_at, first_token_due_at),
            lambda: self._abandon(request, False),
        )
        self.schedule(times_out_at, lambda: self._abandon(request, True))
        self._route(request)

    def _abandon(self, request: Request, even_if_started: bool) -> None:
        if request.outcome or (
            request.first_token_at is not None and not even_if_started
        ):
            return
        request.outcome = "left"

    def _route(self, request: Request) -> None:
        if request.outcome:
            return
        remaining_s = request.arrived_at + request.kind.timeout_s - self.now
        choice = self._policy.choose(self, request, remaining_s)
        if choice is None:
            self._waiting.append(request)
        elif isinstance(choice, Engine):
            self._dispatch(request, choice)
        elif request.retries_left and remaining_s > 0.1:
            request.retries_left -= 1
            wait_s = (
                0.05
                if request.retries_at_once
                else min(choice, remaining_s / 3.0)
            )
            self.schedule(self.now + wait_s, lambda: self._retry(request))
        else:
            request.outcome = "refused"

    def _retry(self, request: Request) -> None:
        if not request.outcome:
            request.instance = self.rng.randrange(INSTANCES)
            self._route(request)

    def _route_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            self._route(request)

    def _dispatch(self, request: Request, engine: Engine) -> None:
        target = self.view(request.instance, engine)
        target.in_flight += 1
        if request.late:
            target.late_tokens += request.kind.prompt_tokens
        else:
            target.prompt_tokens += request.kind.prompt_tokens
        request.dispatched_at, request.first_token_at = self.now, None
        heapq.heappush(
            engine.waiting, (request.urgency, next(self._sequence), request)
        )
        self._start_prefill(engine)

    def _start_prefill(self, engine: Engine) -> None:
        while engine.waiting and engine.prefilling is None:
            if len(engine.running) >= engine.slots:
                return
            _, _, request = heapq.heappop(engine.waiting)
            if request.outcome:
                self._drop_from_view(engine, request)
                continue
            engine.prefilling = request
            took_s = request.kind.prompt_tokens / engine.prefill_tokens_per_s
            took_s += engine.base_token_s + engine.token_s_per_running * len(
                engine.running
            )
            self.schedule(
                self.now + took_s,
                lambda r=request: self._finish_prefill(engine, r),
            )

    def _finish_prefill(self, engine: Engine, request: Request) -> None:
        if engine.prefilling is not request:
            return  # The engine was lost.
        engine.prefilling = None
        target = self.view(request.instance, engine)
        if request.late:
            target.late_tokens -= request.kind.prompt_tokens
        else:
            target.prompt_tokens -= request.kind.prompt_tokens
        if request.outcome:
            target.in_flight -= 1
        else:
            request.first_token_at = self.now
            engine.running.add(request)
            token_s = engine.base_token_s + engine.token_s_per_running * len(
                engine.running
            )
            decode_s = request.kind.answer_tokens * token_s
            self.schedule(
                self.now + decode_s,
                lambda: self._finish(engine, request, decode_s),
            )
        self._start_prefill(engine)

    def _finish(
        self, engine: Engine, request: Request, decode_s: float
    ) -> None:
        if request not in engine.running:
            return  # The engine was lost.
        engine.running.discard(request)
        self.view(request.instance, engine).in_flight -= 1
        if not request.outcome and request.first_token_at is not None:
            first_token_s = request.first_token_at - request.arrived_at
            in_time = first_token_s <= request.kind.objective_s
            request.outcome = "in_time" if in_time else "late"
            self._policy.learn(self, request, decode_s)
        self._start_prefill(engine)

    def _drop_from_view(self, engine: Engine, request: Request) -> None:
        """Removes a request that left its engine from the instance's view."""
        target = self.view(request.instance, engine)
        target.in_flight -= 1
        if request.first_token_at is None:
            if request.late:
                target.late_tokens -= request.kind.prompt_tokens
            else:
                target.prompt_tokens -= request.kind.prompt_tokens

    def _report_loads(self) -> None:
        """Tells each instance the load that the other instances cause."""
        for engine in self.engines.values():
            seen = [self.view(i, engine) for i in range(INSTANCES)]
            in_flight = sum(t.in_flight for t in seen)
            tokens = sum(t.prompt_tokens for t in seen)
            late = sum(t.late_tokens for t in seen)
            for target in seen:
                target.others_in_flight = in_flight - target.in_flight
                target.others_prompt_tokens = tokens - target.prompt_tokens
                target.others_late_tokens = late - target.late_tokens
        if self._events:
            self.schedule(self.now + LOAD_REPORT_INTERVAL_S, self._report_loads)

    def _plan(self) -> None:
        """Plans model loads and starts them."""
        waiting: dict[str, int] = {}
        for request in self._waiting:
            waiting[request.model] = waiting.get(request.model, 0) + 1
        demand = {
            model: modelvalue.ModelDemand(
                self.request_rate(model),
                at,
                waiting.get(model, 0),
                self._objectives.get(model, float("inf")),
            )
            for model, (_, at) in self._demand.items()
        }
        states = [
            copyplan.EngineState(
                e.identity,
                "a",
                frozenset(e.models),
                not e.loading,
                on_disk=frozenset(e.on_disk),
                in_flight=len(e.running) + len(e.waiting),
                loading=e.loading,
            )
            for e in self.engines.values()
            if not e.removed
        ]
        self._load_started_at = [
            t for t in self._load_started_at if self.now - t < LOAD_WINDOW_S
        ]
        allowed = int(self.pool.loads_per_s * LOAD_WINDOW_S) - len(
            self._load_started_at
        )
        moves = copyplan.plan(self.pool, states, demand, allowed, self.now)
        for move in moves:
            self._start_load(move)
        self._route_waiting()
        if self._events:
            self.schedule(self.now + PLAN_INTERVAL_S, self._plan)

    def _start_load(self, move: copyplan.Move) -> None:
        engine = self.engines[move.engine]
        engine.models -= set(move.unload)
        engine.models.add(move.load)
        engine.loading = move.load
        model = self.pool.models[move.load]
        took_s = model.disk_load_s
        if move.from_store:
            self._load_started_at.append(self.now)
            took_s = model.store_load_s
        ready_at = self.now + took_s
        self._ready_at[move.load] = min(
            ready_at, self._ready_at.get(move.load, ready_at)
        )
        self.schedule(ready_at, lambda: self._finish_load(engine, move.load))

    def _finish_load(self, engine: Engine, model: str) -> None:
        engine.loading = ""
        engine.on_disk.add(model)
        self._ready_at.pop(model, None)
        self._route_waiting()


def bound_in_time(
    engines: Sequence[Engine], requests: Sequence[Request]
) -> float:
    """Returns the share in time that no policy exceeds by much.

    Models a single engine that is as fast as all engines together and holds
    all models. It serves the earliest deadline first and drops prompts that
    cannot be in time. Prompts are read token by token, so that preemption
    costs nothing.
    """
    per_s = sum(e.prefill_tokens_per_s for e in engines)
    waiting: list[tuple[float, int, float]] = []
    now, done = 0.0, 0
    ordered = sorted(requests, key=lambda r: r.arrived_at)
    index = 0
    while index < len(ordered) or waiting:
        if not waiting:
            now = max(now, ordered[index].arrived_at)
        while index < len(ordered) and ordered[index].arrived_at <= now:
            found = ordered[index]
            due_at = found.arrived_at + found.kind.objective_s
            tokens = float(found.kind.prompt_tokens)
            heapq.heappush(waiting, (due_at, index, tokens))
            index += 1
        due_at, number, tokens = heapq.heappop(waiting)
        if now + tokens / per_s > due_at:
            continue
        next_arrival_at = float("inf")
        if index < len(ordered):
            next_arrival_at = ordered[index].arrived_at
        ends_at = now + tokens / per_s
        if ends_at <= next_arrival_at:
            now, done = ends_at, done + 1
        else:
            left = tokens - (next_arrival_at - now) * per_s
            heapq.heappush(waiting, (due_at, number, left))
            now = next_arrival_at
    return done / max(1, len(requests))


def poisson(rng: random.Random, per_s: float, span: float) -> Iterator[float]:
    """Yields the arrival times of a Poisson process."""
    now = rng.expovariate(per_s)
    while now < span:
        yield now
        now += rng.expovariate(per_s)
