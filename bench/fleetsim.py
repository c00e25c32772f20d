"""Engines, instances and callers on virtual time, around the decision logic.

Engines read prompts one after the other, the most urgent first, and generate
for all streams at once, slower the more there are. Instances decide with
`targetchoice` and see the load of the others `BOARD_S` late; one planner moves
models with `copyplan`. Adapters, kept prompts and preemption are left out.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterator, Sequence

from carobsail import copyplan, latencymodel, routetable, targetregistry

# Times between two reports of the load of others, and between two plans.
BOARD_S = 0.5
PLAN_S = 0.1
# Time constant of the demand that the planner sees.
DEMAND_S = 3.0
# Window in which loads from the weight store are counted.
LOAD_WINDOW_S = 5.0
INSTANCES = 20
SERVICE = "llm"


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """A kind of request; times in seconds."""

    name: str
    prompt_tokens: int
    answer_tokens: int
    objective_s: float
    patience_s: float
    silence_s: float
    rank: int


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A caller's request, over all of its attempts.

    Attributes:
      first_at: When its caller first sent it.
      repeats: How often its caller comes back after a refusal.
      hasty: Whether its caller comes back at once.
      urgency: Urgency at its engine; 0 is first.
      sent_at: When it was last sent to an engine.
      forecast_tokens: Prompt tokens that its engine was to read before.
      forecast_in_flight: Requests that its engine had, as far as known.
      late: Whether it goes behind those that can be in time.
      instance: Number of the instance that has it.
      started_at: When its last engine made the first event.
      outcome: `in_time`, `late`, `refused` or `left`; empty while under way.
    """

    kind: Kind
    model: str
    first_at: float
    repeats: int = 1
    hasty: bool = False
    urgency: int = 0
    sent_at: float = 0.0
    forecast_tokens: float = 0.0
    forecast_in_flight: int = 0
    late: bool = False
    instance: int = 0
    started_at: float | None = None
    outcome: str = ""


@dataclasses.dataclass(slots=True, eq=False)
class Engine:
    """An engine as it really is."""

    identity: str
    models: set[str]
    tokens_per_s: float
    token_s: float
    running_s: float
    slots: int
    waiting: list[tuple[int, int, Request]] = dataclasses.field(
        default_factory=list
    )
    reading: Request | None = None
    running: set[Request] = dataclasses.field(default_factory=set)
    loading: str = ""
    on_disk: set[str] = dataclasses.field(default_factory=set)
    gone: bool = False


class Policy:
    """Chooses engines for the requests of the instances."""

    name = ""

    def choose(
        self, fleet: "Fleet", request: Request, left_s: float
    ) -> Engine | float | None:
        """Returns an engine, or seconds until the caller may come back.

        None lets the request wait for a change.
        """
        raise NotImplementedError

    def learn(self, fleet: "Fleet", request: Request, rest_s: float) -> None:
        """Learns from an answer."""


class Fleet:
    """Plays arrivals against engines."""

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
        # Each instance's view of each engine.
        self.views: list[dict[str, targetregistry.Target]] = [
            {} for _ in range(INSTANCES)
        ]
        self._policy = policy
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._waiting: list[Request] = []
        self._demand: dict[str, tuple[float, float]] = {}
        self._objectives: dict[str, float] = {}
        self._loads: list[float] = []
        self._ready_at: dict[str, float] = {}

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Does something at a time."""
        heapq.heappush(self._events, (when, next(self._order), act))

    def play(self, arrivals: Sequence[Request], until: float) -> None:
        """Plays arrivals in order until all are decided."""
        self.requests = list(arrivals)
        for request in arrivals:
            self.at(request.first_at, lambda r=request: self._arrive(r))
        self.at(0.0, self._board)
        self.at(0.0, self._plan)
        while self._events and self.now < until:
            self.now, _, act = heapq.heappop(self._events)
            act()
        for request in arrivals:
            request.outcome = request.outcome or "left"

    def holding(self, model: str) -> list[Engine]:
        """Returns the engines that serve a model."""
        return [
            e
            for e in self.engines.values()
            if model in e.models and e.loading != model and not e.gone
        ]

    def load_left_s(self, model: str) -> float | None:
        """Returns the seconds until a planned load ends; None without one."""
        ready_at = self._ready_at.get(model)
        return None if ready_at is None else max(0.0, ready_at - self.now)

    def view(self, instance: int, engine: Engine) -> targetregistry.Target:
        """Returns what an instance knows of an engine."""
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

    def rate(self, model: str) -> float:
        """Returns the smoothed requests a second for a model."""
        per_s, at = self._demand.get(model, (0.0, self.now))
        return per_s * max(0.0, 1.0 - (self.now - at) / (2.0 * DEMAND_S))

    def lose(self, identities: Sequence[str]) -> None:
        """Takes engines away with all that they run."""
        for identity in identities:
            engine = self.engines[identity]
            engine.gone = True
            lost = [r for _, _, r in engine.waiting] + list(engine.running)
            if engine.reading:
                lost.append(engine.reading)
            engine.waiting, engine.running, engine.reading = [], set(), None
            for request in lost:
                self._forget(engine, request)
                self._decide(request)

    def add(self, engine: Engine) -> None:
        """Adds an empty engine."""
        self.engines[engine.identity] = engine

    def _arrive(self, request: Request) -> None:
        request.instance = self.rng.randrange(INSTANCES)
        per_s = self.rate(request.model) + 1.0 / DEMAND_S
        self._demand[request.model] = (per_s, self.now)
        objective_s = self._objectives.get(request.model, float("inf"))
        self._objectives[request.model] = min(
            objective_s, request.kind.objective_s
        )
        leaves_at = request.first_at + request.kind.patience_s
        silent_at = self.now + request.kind.silence_s
        self.at(min(leaves_at, silent_at), lambda: self._leave(request, False))
        self.at(leaves_at, lambda: self._leave(request, True))
        self._decide(request)

    def _leave(self, request: Request, always: bool) -> None:
        if request.outcome or (request.started_at is not None and not always):
            return
        request.outcome = "left"

    def _decide(self, request: Request) -> None:
        if request.outcome:
            return
        left_s = request.first_at + request.kind.patience_s - self.now
        choice = self._policy.choose(self, request, left_s)
        if choice is None:
            self._waiting.append(request)
        elif isinstance(choice, Engine):
            self._send(request, choice)
        elif request.repeats and left_s > 0.1:
            request.repeats -= 1
            wait_s = 0.05 if request.hasty else min(choice, left_s / 3.0)
            self.at(self.now + wait_s, lambda: self._arrive_again(request))
        else:
            request.outcome = "refused"

    def _arrive_again(self, request: Request) -> None:
        if not request.outcome:
            request.instance = self.rng.randrange(INSTANCES)
            self._decide(request)

    def _retry_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            self._decide(request)

    def _send(self, request: Request, engine: Engine) -> None:
        target = self.view(request.instance, engine)
        target.in_flight += 1
        if request.late:
            target.late_tokens += request.kind.prompt_tokens
        else:
            target.prompt_tokens += request.kind.prompt_tokens
        request.sent_at, request.started_at = self.now, None
        heapq.heappush(
            engine.waiting, (request.urgency, next(self._order), request)
        )
        self._read_next(engine)

    def _read_next(self, engine: Engine) -> None:
        while engine.waiting and engine.reading is None:
            if len(engine.running) >= engine.slots:
                return
            _, _, request = heapq.heappop(engine.waiting)
            if request.outcome:
                self._forget(engine, request)
                continue
            engine.reading = request
            took_s = request.kind.prompt_tokens / engine.tokens_per_s
            took_s += engine.token_s + engine.running_s * len(engine.running)
            self.at(self.now + took_s, lambda r=request: self._read(engine, r))

    def _read(self, engine: Engine, request: Request) -> None:
        if engine.reading is not request:
            return  # The engine was lost.
        engine.reading = None
        target = self.view(request.instance, engine)
        if request.late:
            target.late_tokens -= request.kind.prompt_tokens
        else:
            target.prompt_tokens -= request.kind.prompt_tokens
        if request.outcome:
            target.in_flight -= 1
        else:
            request.started_at = self.now
            engine.running.add(request)
            token_s = engine.token_s + engine.running_s * len(engine.running)
            rest_s = request.kind.answer_tokens * token_s
            self.at(
                self.now + rest_s,
                lambda: self._end(engine, request, rest_s),
            )
        self._read_next(engine)

    def _end(self, engine: Engine, request: Request, rest_s: float) -> None:
        if request not in engine.running:
            return  # The engine was lost.
        engine.running.discard(request)
        self.view(request.instance, engine).in_flight -= 1
        if not request.outcome and request.started_at is not None:
            late_s = request.started_at - request.first_at
            in_time = late_s <= request.kind.objective_s
            request.outcome = "in_time" if in_time else "late"
            self._policy.learn(self, request, rest_s)
        self._read_next(engine)

    def _forget(self, engine: Engine, request: Request) -> None:
        """Takes a request that did not start off its instance's view."""
        target = self.view(request.instance, engine)
        target.in_flight -= 1
        if request.started_at is None:
            if request.late:
                target.late_tokens -= request.kind.prompt_tokens
            else:
                target.prompt_tokens -= request.kind.prompt_tokens

    def _board(self) -> None:
        """Tells each instance the load that the others cause."""
        for engine in self.engines.values():
            seen = [self.view(i, engine) for i in range(INSTANCES)]
            flights = sum(t.in_flight for t in seen)
            tokens = sum(t.prompt_tokens for t in seen)
            late = sum(t.late_tokens for t in seen)
            for target in seen:
                target.others_in_flight = flights - target.in_flight
                target.others_prompt_tokens = tokens - target.prompt_tokens
                target.others_late_tokens = late - target.late_tokens
        if self._events:
            self.at(self.now + BOARD_S, self._board)

    def _plan(self) -> None:
        """Plans loads and begins them."""
        waiting: dict[str, int] = {}
        for request in self._waiting:
            waiting[request.model] = waiting.get(request.model, 0) + 1
        demand = {
            model: copyplan.ModelDemand(
                self.rate(model),
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
            if not e.gone
        ]
        self._loads = [t for t in self._loads if self.now - t < LOAD_WINDOW_S]
        allowed = int(self.pool.loads_per_s * LOAD_WINDOW_S) - len(self._loads)
        moves = copyplan.plan(self.pool, states, demand, allowed, self.now)
        for move in moves:
            self._move(move)
        self._retry_waiting()
        if self._events:
            self.at(self.now + PLAN_S, self._plan)

    def _move(self, move: copyplan.Move) -> None:
        engine = self.engines[move.engine]
        engine.models -= set(move.unload)
        engine.models.add(move.load)
        engine.loading = move.load
        model = self.pool.models[move.load]
        took_s = model.disk_load_s
        if move.from_store:
            self._loads.append(self.now)
            took_s = model.store_load_s
        ready_at = self.now + took_s
        self._ready_at[move.load] = min(
            ready_at, self._ready_at.get(move.load, ready_at)
        )
        self.at(ready_at, lambda: self._loaded(engine, move.load))

    def _loaded(self, engine: Engine, model: str) -> None:
        engine.loading = ""
        engine.on_disk.add(model)
        self._ready_at.pop(model, None)
        self._retry_waiting()


def bound_in_time(
    engines: Sequence[Engine], requests: Sequence[Request]
) -> float:
    """Returns a part of the requests in time that no policy exceeds by much.

    One engine as fast as all together, which holds all models, reads the
    prompt that is due first and drops what cannot be in time. Prompts that
    are read one token at a time lose nothing by sharing.
    """
    per_s = sum(e.tokens_per_s for e in engines)
    waiting: list[tuple[float, int, float]] = []
    now, done = 0.0, 0
    ordered = sorted(requests, key=lambda r: r.first_at)
    index = 0
    while index < len(ordered) or waiting:
        if not waiting:
            now = max(now, ordered[index].first_at)
        while index < len(ordered) and ordered[index].first_at <= now:
            found = ordered[index]
            due_at = found.first_at + found.kind.objective_s
            tokens = float(found.kind.prompt_tokens)
            heapq.heappush(waiting, (due_at, index, tokens))
            index += 1
        due_at, number, tokens = heapq.heappop(waiting)
        if now + tokens / per_s > due_at:
            continue
        arrives_at = float("inf")
        if index < len(ordered):
            arrives_at = ordered[index].first_at
        ends_at = now + tokens / per_s
        if ends_at <= arrives_at:
            now, done = ends_at, done + 1
        else:
            left = tokens - (arrives_at - now) * per_s
            heapq.heappush(waiting, (due_at, number, left))
            now = arrives_at
    return done / max(1, len(requests))


def poisson(rng: random.Random, per_s: float, span: float) -> Iterator[float]:
    """Yields times of arrivals."""
    now = rng.expovariate(per_s)
    while now < span:
        yield now
        now += rng.expovariate(per_s)
