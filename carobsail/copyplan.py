"""Decides which models the engines load and unload.

All gains and losses are counted in requests, over `HORIZON_S`, so that they
can be compared: a load gains the requests that wait for the model and those
that its present copies cannot take; an unload loses the requests that the
remaining copies cannot take, or that will have to wait for a new load.

Load patterns that the decision answers:

- Demand moves to another model within seconds: copies follow the measured
  demand, so that a model gets its next copy before its engines queue.
- Many rare models are asked for at once, more than the engines hold: the model
  with callers waiting takes the place of a copy that nobody needs first, then
  of the model whose callers can best wait for it.
- The traffic jumps past what all engines can take: copies of the model with
  the largest shortage go before a rare model with one caller.
- An engine takes no order for an adapter while it loads a model, for 9 s from
  the store: the loads spread so that each model whose adapters are asked for
  keeps an engine that takes orders.
- Engines end with the only copy of a model: its next copy goes where its
  weights are at hand.
"""

import dataclasses
import heapq
import math
from collections.abc import Iterable, Iterator, Mapping

from carobsail import routetable

# Time over which gains and losses are counted: a load from the store and the
# time until demand has moved on again.
HORIZON_S = 10.0
# Requests a second that one copy takes: a request takes 0.11 s of an engine
# (1,900 prompt tokens that are not kept, at 19 to 20 a ms, and its part of the
# steps), and an engine used beyond 0.55 queues for longer than the objectives
# allow.
COPY_PER_S = 5.0
# Demand in requests a second from which a second copy guards against the loss
# of an engine, and what that is worth in requests.
SPARE_FROM_PER_S = 0.7
SPARE_GAIN = 0.5
# Part of a request's worth that is lost when it waits for a load: all of it if
# its objective is shorter than a load, little otherwise.
HURRIED_DAMAGE = 1.0
PATIENT_DAMAGE = 0.15
# Nobody asked for the model yet, so it is not known who will.
UNKNOWN_DAMAGE = 0.4
# A model whose last request is `age` seconds old is expected to be asked for
# again at a rate of 1 / (age + this).
UNKNOWN_AGE_S = 15.0
MAX_AGE_S = 30.0
# A model that nobody asked for yet, or that callers in a hurry used, may become
# busy within seconds: on the users' days 2 of 12 do in half a minute, and each
# loses 20 to 40 requests until it is loaded again. Below 1, so that a caller
# that waits for another model still goes first.
BUSY_AGAIN_LOSS = 0.8
# A model with adapters has the more users.
ADAPTERS_LOSS = 0.1
# A copy that has just served would often be loaded again at once.
RECENT_S = 3.0
RECENT_LOSS = 2.0
# Requests for one of a model's adapters that no engine holds yet, as a part of
# its requests: on kagsa-mirrors-grown a fifth of the requests named an adapter
# and a third of those were refused, mostly while their engines were loading.
ADAPTER_MISSES = 0.05
# Cost in requests of each second of a load, of a load from the weight store,
# which is billed, and of a second copy in the same data centre.
LOAD_COST_PER_S = 0.03
# Further cost of each second when all engines are loading, less when some are
# free: an engine loads one model at a time, and demand that moves meanwhile
# finds none that can take the next one.
CROWDED_COST_PER_S = 0.15
# Demand is taken for this much higher when a copy is to be given up: it comes
# in waves, and a copy given up too early is back after 9 s.
KEEP_MARGIN = 1.3
STORE_LOAD_COST = 0.3
SAME_PLACE_COST = 0.05
# Callers in a hurry leave while a load goes on, and demand moves on after it: a
# load of half the horizon is worth half.
LOAD_DELAY_WEIGHT = 2.0
# The same for callers with time who wait for the load: late answers earn 0.3 of
# the worth, and one who is refused and comes back in vain costs as much again.
PATIENT_LATE_PART = 0.6
# What a load must gain at least, so that copies do not come and go.
MIN_GAIN = 0.2


@dataclasses.dataclass(slots=True, frozen=True)
class ModelDemand:
    """Demand for a model.

    Attributes:
      per_s: Requests a second, smoothed.
      asked_at: When it was last asked for.
      waiting: Requests that wait for a copy or an adapter.
      objective_s: Shortest objective of its requests so far.
    """

    per_s: float = 0.0
    asked_at: float = float("-inf")
    waiting: int = 0
    objective_s: float = float("inf")


_NO_DEMAND = ModelDemand()


@dataclasses.dataclass(slots=True, frozen=True)
class EngineState:
    """An engine as the plan sees it.

    Attributes:
      identity: Identity.
      data_centre: Data centre.
      models: Models held or being loaded.
      free: Whether it takes an order now.
      in_memory: Models with a copy in its host memory.
      on_disk: Models with a copy on its disk.
      in_flight: Requests under way.
      loading: Model of `models` that is not usable yet, or empty.
    """

    identity: str
    data_centre: str
    models: frozenset[str]
    free: bool
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    in_flight: int = 0
    loading: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Move:
    """Load a model after unloading others at the same engine.

    Attributes:
      engine: Identity of the engine.
      load: Model to load.
      unload: Models that make room, to be unloaded first.
      from_store: Whether the weights come from the weight store.
      net: Requests that the move gains, by the plan.
    """

    engine: str
    load: str
    unload: tuple[str, ...]
    from_store: bool
    net: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class _Room:
    """What makes room for a model at an engine.

    Attributes:
      unload: Models that go.
      loss: Requests that they lose.
      blocked: Demand whose adapters no other free engine takes meanwhile.
    """

    unload: tuple[str, ...]
    loss: float
    blocked: float


class _Plan:
    """The state of one planning round.

    What a load costs at an engine depends on the engine and on the size and
    load time of the model only, so it is computed once and again for the
    engines that a move concerns: a round takes time for the engines and moves,
    not for engines times models.
    """

    def __init__(
        self,
        pool: routetable.EnginePool,
        states: list[EngineState],
        demand: Mapping[str, ModelDemand],
        now: float,
    ) -> None:
        self.pool = pool
        self.states = states
        self.demand = demand
        self.now = now
        self.free = {s.identity: s for s in states if s.free}
        self.copies: dict[str, int] = {}
        # Copies that requests can use now.
        self.usable: dict[str, int] = {}
        self.places: dict[str, set[str]] = {}
        # Free engines by model, which take orders for its adapters.
        self.open: dict[str, set[str]] = {}
        # Free engines by model of which they keep a copy at hand.
        self._at_hand: dict[str, list[EngineState]] = {}
        for state in states:
            for model in state.models:
                self.copies[model] = self.copies.get(model, 0) + 1
                if model != state.loading:
                    self.usable[model] = self.usable.get(model, 0) + 1
                self.places.setdefault(model, set()).add(state.data_centre)
                if state.free:
                    self.open.setdefault(model, set()).add(state.identity)
            if state.free:
                for model in state.in_memory | state.on_disk:
                    self._at_hand.setdefault(model, []).append(state)
        self._memory_mb = pool.model_memory_mb
        self._sizes = {m.size_mb for m in pool.models.values()}
        self._place_count = len({s.data_centre for s in states})
        self._losses: dict[str, float] = {}
        self._rooms: dict[tuple[str, float], _Room | None] = {}
        # By size and load time of a model: engines by the cost of a load from
        # the weight store, cheapest first.
        self._cheapest: dict[tuple[float, float], list[tuple[float, str]]] = {}

    def gain(self, name: str) -> float:
        """Returns the requests that one more copy of a model gains."""
        known = self.demand.get(name, _NO_DEMAND)
        copies = self.copies.get(name, 0)
        if copies == 0:
            gain = HORIZON_S * min(known.per_s, COPY_PER_S)
            return known.waiting + gain * self._damage(name)
        gain = HORIZON_S * (
            _unserved(known.per_s, copies) - _unserved(known.per_s, copies + 1)
        )
        if copies == 1 and known.per_s >= SPARE_FROM_PER_S:
            gain += SPARE_GAIN
        return gain

    def loss(self, name: str) -> float:
        """Returns the requests that one copy less of a model loses."""
        loss = self._losses.get(name)
        if loss is None:
            loss = self._losses[name] = self._loss(name)
        return loss

    def _loss(self, name: str) -> float:
        known = self.demand.get(name, _NO_DEMAND)
        copies = self.usable.get(name, 0)
        if copies > 1:
            loss = HORIZON_S * (
                _unserved(KEEP_MARGIN * known.per_s, copies - 1)
                - _unserved(KEEP_MARGIN * known.per_s, copies)
            )
            if copies == 2 and known.per_s >= SPARE_FROM_PER_S:
                loss += SPARE_GAIN
            return loss + 0.05 * known.per_s
        age_s = min(MAX_AGE_S, self.now - known.asked_at)
        expected = max(known.per_s, 1.0 / (UNKNOWN_AGE_S + age_s))
        loss = HORIZON_S * expected * self._damage(name)
        if age_s < RECENT_S:
            loss += RECENT_LOSS
        if self._may_become_busy(name):
            adapters = self.pool.models[name].adapters > 0
            loss = max(loss, BUSY_AGAIN_LOSS + ADAPTERS_LOSS * adapters)
        return known.waiting + loss

    def _may_become_busy(self, name: str) -> bool:
        """Whether many callers in a hurry may ask for the model at once."""
        known = self.demand.get(name, _NO_DEMAND)
        disk_load_s = self.pool.models[name].disk_load_s
        return math.isinf(known.objective_s) or known.objective_s < disk_load_s

    def _damage(self, name: str) -> float:
        model = self.pool.models[name]
        objective_s = self.demand.get(name, _NO_DEMAND).objective_s
        if not math.isinf(objective_s):
            hurried = objective_s < model.disk_load_s
            return HURRIED_DAMAGE if hurried else PATIENT_DAMAGE
        # The models with adapters have the many users, who mostly wait for a
        # draft on the screen.
        return HURRIED_DAMAGE if model.adapters else UNKNOWN_DAMAGE

    def _in_time(self, name: str, load_s: float) -> float:
        """Returns the part of a gain that is left after a load."""
        known = self.demand.get(name, _NO_DEMAND)
        if load_s < known.objective_s < math.inf:
            return 1.0
        part = HORIZON_S / (HORIZON_S + LOAD_DELAY_WEIGHT * load_s)
        if self._damage(name) == PATIENT_DAMAGE:
            part = max(part, PATIENT_LATE_PART)
        return part

    def best_move(self, name: str, store_allowed: bool) -> Move | None:
        """Returns the best move that brings one more copy of a model."""
        model = self.pool.models[name]
        gain = self.gain(name)
        crowded = (1.0 - (len(self.free) - 1) / len(self.states)) ** 2
        per_s = LOAD_COST_PER_S + CROWDED_COST_PER_S * crowded
        best: Move | None = None
        for state in self._at_hand.get(name, ()):
            if state.identity not in self.free or name in state.models:
                continue
            load_s = model.disk_load_s
            if name in state.in_memory:
                load_s = model.memory_load_s
            base = self._base_cost(state, model.size_mb, load_s)
            move = self._move(name, state, gain, base, load_s, per_s, False)
            if move is not None and (best is None or move.net > best.net):
                best = move
        if not store_allowed:
            return best
        load_s = model.store_load_s
        for state, base in self._candidates(name, model):
            move = self._move(name, state, gain, base, load_s, per_s, True)
            if move is not None and (best is None or move.net > best.net):
                best = move
        return best

    def _candidates(
        self, name: str, model: routetable.Model
    ) -> Iterator[tuple[EngineState, float]]:
        """Yields the engines at which a load from the store is cheapest.

        They are the cheapest in a data centre that has a copy and the cheapest
        in one that has none, which differ by a fixed cost.
        """
        key = (model.size_mb, model.store_load_s)
        ranked = self._cheapest.get(key)
        if ranked is None:
            ranked = self._cheapest[key] = []
            for state in self.free.values():
                cost = self._base_cost(state, *key)
                if cost is not None:
                    ranked.append((cost, state.identity))
            ranked.sort()
        places = self.places.get(name, ())
        everywhere = len(places) == self._place_count
        seen: set[bool] = set()
        for cost, identity in ranked:
            if identity not in self.free:
                continue
            state = self.free[identity]
            if name in state.models:
                continue
            if name in state.in_memory or name in state.on_disk:
                continue
            same_place = state.data_centre in places
            if same_place not in seen:
                seen.add(same_place)
                yield state, cost
            if not same_place or len(seen) == 2 or everywhere:
                return  # All that follow cost more.

    def _base_cost(
        self, state: EngineState, size_mb: float, load_s: float
    ) -> float | None:
        """Returns the cost of room at an engine, or None without room."""
        room = self._room(state, size_mb)
        if room is None:
            return None
        cost = room.loss + 0.002 * state.in_flight
        return cost + load_s * ADAPTER_MISSES * room.blocked

    def _move(
        self,
        name: str,
        state: EngineState,
        gain: float,
        base: float | None,
        load_s: float,
        per_s: float,
        from_store: bool,
    ) -> Move | None:
        if base is None:
            return None
        cost = base + load_s * per_s + STORE_LOAD_COST * from_store
        if state.data_centre in self.places.get(name, ()):
            cost += SAME_PLACE_COST
        net = gain * self._in_time(name, load_s) - cost
        room = self._room(state, self.pool.models[name].size_mb)
        if net < MIN_GAIN or room is None:
            return None
        return Move(state.identity, name, room.unload, from_store, net)

    def _room(self, state: EngineState, size_mb: float) -> _Room | None:
        """Returns what must go for a model of a size, or None."""
        key = (state.identity, size_mb)
        if key not in self._rooms:
            self._rooms[key] = self._find_room(state, size_mb)
        return self._rooms[key]

    def _find_room(self, state: EngineState, size_mb: float) -> _Room | None:
        models = self.pool.models
        if any(name not in models for name in state.models):
            return None  # The size of what it holds is not known.
        used = sum(models[name].size_mb for name in state.models)
        excess = used + size_mb - self._memory_mb
        unload: list[str] = []
        loss = 0.0
        if excess > 0:
            for lost, name in sorted((self.loss(n), n) for n in state.models):
                unload.append(name)
                loss += lost
                excess -= models[name].size_mb
                if excess <= 0:
                    break
        if excess > 0:
            return None
        return _Room(tuple(unload), loss, self._blocked(state, unload))

    def _blocked(self, state: EngineState, unload: list[str]) -> float:
        """Returns the demand whose adapters no other free engine takes."""
        blocked = 0.0
        for name in state.models:
            if name in unload or not self.pool.models[name].adapters:
                continue
            if len(self.open.get(name, ())) <= 1:
                known = self.demand.get(name, _NO_DEMAND)
                blocked += known.per_s + known.waiting
        return blocked

    def apply(self, move: Move) -> None:
        """Takes a move into account for the next ones."""
        state = self.free.pop(move.engine)
        concerned: set[str] = set()
        for name in state.models:
            self.open[name].discard(move.engine)
            if len(self.open[name]) <= 1:
                concerned |= self.open[name]
        for name in move.unload:
            self.copies[name] -= 1
            self.usable[name] -= 1
            self._losses.pop(name, None)
            concerned |= self.open[name]
        self.copies[move.load] = self.copies.get(move.load, 0) + 1
        self.places.setdefault(move.load, set()).add(state.data_centre)
        self._reconsider(concerned)

    def _reconsider(self, concerned: set[str]) -> None:
        """Computes the costs of some engines anew."""
        if not concerned:
            return
        for size_mb in self._sizes:
            for identity in concerned:
                self._rooms.pop((identity, size_mb), None)
        for key, ranked in self._cheapest.items():
            kept = [row for row in ranked if row[1] not in concerned]
            for identity in concerned:
                cost = self._base_cost(self.free[identity], *key)
                if cost is not None:
                    kept.append((cost, identity))
            kept.sort()
            self._cheapest[key] = kept


def _unserved(per_s: float, copies: int) -> float:
    return max(0.0, per_s - copies * COPY_PER_S)


def plan(
    pool: routetable.EnginePool,
    engines: Iterable[EngineState],
    demand: Mapping[str, ModelDemand],
    store_loads_left: int,
    now: float,
) -> list[Move]:
    """Plans the next moves, at most one for each engine.

    Args:
      pool: What the engines have in common.
      engines: All engines of the service.
      demand: Demand by model.
      store_loads_left: Loads from the weight store that may begin now.
      now: Time of the loop's clock in seconds.

    Returns:
      The moves, the one with the largest gain first.
    """
    state = _Plan(pool, list(engines), demand, now)
    moves: list[Move] = []
    # Only models that are asked for can gain. A model whose best move does not
    # pay is left out for the rest of the round.
    gains = {name: state.gain(name) for name in demand if name in pool.models}
    ranked = [(-gain, name) for name, gain in gains.items()]
    heapq.heapify(ranked)
    while state.free and ranked:
        gain, name = heapq.heappop(ranked)
        if -gain < MIN_GAIN:
            break
        if gains.get(name) != -gain:
            continue  # An older figure of a model that was ranked anew.
        move = state.best_move(name, store_loads_left > 0)
        if move is None:
            del gains[name]
            continue
        moves.append(move)
        store_loads_left -= move.from_store
        state.apply(move)
        for changed in (name, *move.unload):
            if changed in gains:
                gains[changed] = state.gain(changed)
                heapq.heappush(ranked, (-gains[changed], changed))
    return moves
