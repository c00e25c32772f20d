"""Decides which models the engines load and unload.

All gains and losses are counted in requests over
`modelvalue.PLANNING_HORIZON_S`, so that they can be compared. Loading a copy
gains the requests that wait for the model and those that its present copies
cannot serve. Unloading a copy loses the requests that the remaining copies
cannot serve, or that will have to wait for a new load.

Load patterns that the planner handles:

- Demand moves to another model within seconds: the number of copies follows
  the measured demand, so that a model gets its next copy before requests queue
  at its engines.
- More rarely used models are requested at once than the engines can hold: a
  model with waiting callers first replaces a copy that is not needed, then the
  model whose callers can best tolerate the wait for a reload.
- More models are requested throughout than the engines can hold, and the
  engines are loading all the time: the value of a model grows with the wait of
  its callers, so that each model gets its turn. A model whose weights are on a
  busy engine waits for it if a load from the weight store would take longer.
- Traffic jumps beyond the capacity of all engines: the model with the largest
  shortage gets copies before a rarely used model with one caller.
- An engine accepts no order for an adapter while it loads a model, which takes
  9 s from the weight store: loads are distributed so that each model whose
  adapters are requested keeps an engine that accepts orders.
- Engines crash with the only copy of a model: the next copy is loaded where
  the weights are cached in host memory or on disk.
"""

import dataclasses
import heapq
import math
from collections.abc import Iterable, Iterator, Mapping

from carobsail import modelvalue, routetable

# Demand in requests per second from which a model should have a second copy in
# case an engine is lost, and the value of that copy in requests.
REDUNDANCY_MIN_PER_S = 0.7
REDUNDANCY_GAIN = 0.5
# A model whose last request was `age` seconds ago is expected to get requests
# at a rate of 1 / (age + IDLE_AGE_OFFSET_S); `age` is limited to
# MAX_IDLE_AGE_S.
IDLE_AGE_OFFSET_S = 15.0
MAX_IDLE_AGE_S = 30.0
# Minimum loss for unloading the last copy of a model that has had no requests
# yet or whose latency objective is shorter than a load. Such a model may become
# busy within seconds: in the users' traffic 2 of 12 do within half a minute,
# and each loses 20 to 40 requests until it is loaded again. Below 1, so that a
# caller that waits for another model takes precedence.
BURST_RISK_LOSS = 0.8
# Added to that minimum for a model with adapters, which has more users.
BURST_RISK_ADAPTER_EXTRA_LOSS = 0.1
# A model that was requested within this time would often have to be reloaded
# immediately; unloading its last copy costs this many more requests.
RECENT_USE_S = 3.0
RECENT_USE_LOSS = 2.0
# Fraction of a model's requests that name an adapter which no engine holds yet.
# In the workload kagsa-mirrors-grown, a fifth of the requests named an adapter
# and a third of those were refused, mostly while their engines were loading.
ADAPTER_MISS_RATIO = 0.05
# Cost in requests of each second of a load.
LOAD_COST_PER_S = 0.03
# Additional cost of each second when all other engines are loading; it falls
# with the share of free engines. An engine loads one model at a time, so when
# demand moves meanwhile, no engine may be left to load the next model.
CONTENTION_COST_PER_S = 0.15
# Demand is multiplied by this when an unload is considered: demand fluctuates,
# and reloading a copy that was unloaded too early takes 9 s.
UNLOAD_DEMAND_FACTOR = 1.3
# Cost in requests of a load from the weight store, which is billed.
STORE_LOAD_COST = 0.3
# Cost in requests of a further copy in a data centre that already has one.
SAME_DATA_CENTRE_COST = 0.05
# Minimum net gain of a load in requests; prevents models from being loaded and
# unloaded repeatedly.
MIN_GAIN = 0.2


@dataclasses.dataclass(slots=True, frozen=True)
class EngineState:
    """State of an engine, as input to the planner.

    Attributes:
      identity: Identity of the engine.
      data_centre: Data centre of the engine.
      models: Models that are loaded or being loaded.
      accepts_orders: Whether the engine accepts an order now.
      in_memory: Models whose weights are cached in its host memory.
      on_disk: Models whose weights are cached on its disk.
      in_flight: Requests in flight at the engine.
      loading: The one of `models` that is not usable yet, or empty.
      free_in_s: Expected seconds until an engine that is busy with orders
        accepts another one; infinite if unknown.
    """

    identity: str
    data_centre: str
    models: frozenset[str]
    accepts_orders: bool
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    in_flight: int = 0
    loading: str = ""
    free_in_s: float = math.inf


@dataclasses.dataclass(slots=True, frozen=True)
class Move:
    """Loads a model after unloading others at the same engine.

    Attributes:
      engine: Identity of the engine.
      load: Model to load.
      unload: Models to unload first to free memory.
      from_store: Whether the weights come from the weight store.
      net_gain: Expected gain less loss and cost, in requests.
    """

    engine: str
    load: str
    unload: tuple[str, ...]
    from_store: bool
    net_gain: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class DeclinedLoad:
    """A requested model without a copy for which no move was planned.

    Attributes:
      model: The model.
      reason: `no_free_engine` if all engines that may be sent an order were
        used for other moves, `engine_awaited` if its best move is at an engine
        that accepts an order soon, else `not_worthwhile`.
      gain: Gain of its first copy, in requests.
      net_gain: Expected gain less loss and cost of its best move; -inf if
        there was none.
      engines_with_weights: Engines that have its weights in host memory or on
        disk, also those that accept no order now.
    """

    model: str
    reason: str
    gain: float
    net_gain: float = -math.inf
    engines_with_weights: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class _Eviction:
    """The unloads that free memory for a model at an engine.

    Attributes:
      unload: Models to unload.
      loss: Requests that are lost by unloading them.
      blocked_demand: Demand for models whose adapter orders no other free
        engine can accept during the load.
    """

    unload: tuple[str, ...]
    loss: float
    blocked_demand: float


class _PlanningRound:
    """The state of one planning round.

    The cost of a load at an engine depends only on the engine and on the size
    and load time of the model. It is computed once and then recomputed only
    for the engines that a move affects, so that the time of a round grows with
    the number of engines and moves, not with engines times models.
    """

    def __init__(
        self,
        pool: routetable.EnginePool,
        states: list[EngineState],
        demand: Mapping[str, modelvalue.ModelDemand],
        now: float,
    ) -> None:
        self.pool = pool
        self.states = states
        self.demand = demand
        self.now = now
        self.free_engines = {s.identity: s for s in states if s.accepts_orders}
        self.copies: dict[str, int] = {}
        # Number of copies by model, without those still being loaded.
        self.usable_copies: dict[str, int] = {}
        self.data_centres: dict[str, set[str]] = {}
        # Free engines by model that they hold; they accept orders for its
        # adapters.
        self.adapter_holders: dict[str, set[str]] = {}
        # Engines by model whose weights they have in host memory or on disk.
        self._engines_with_weights: dict[str, list[EngineState]] = {}
        for state in states:
            for model in state.models:
                self.copies[model] = self.copies.get(model, 0) + 1
                if model != state.loading:
                    self.usable_copies[model] = (
                        self.usable_copies.get(model, 0) + 1
                    )
                self.data_centres.setdefault(model, set()).add(
                    state.data_centre
                )
                if state.accepts_orders:
                    self.adapter_holders.setdefault(model, set()).add(
                        state.identity
                    )
            for model in state.in_memory | state.on_disk:
                self._engines_with_weights.setdefault(model, []).append(state)
        self._memory_mb = pool.model_memory_mb
        self._sizes = {m.size_mb for m in pool.models.values()}
        self._data_centre_count = len({s.data_centre for s in states})
        # Loss per second of each absent model, divided among the engines that
        # have its weights; and its sum by engine.
        self._reload_values: dict[str, float] = {}
        self._blocked_reloads: dict[str, float] = {}
        for name in demand:
            engines = self._engines_with_weights.get(name)
            if engines and name in pool.models and name not in self.copies:
                value = self.gain(name) / modelvalue.PLANNING_HORIZON_S
                self._add_reload_value(name, value / len(engines))
        self._losses: dict[str, float] = {}
        self._evictions: dict[tuple[str, float], _Eviction | None] = {}
        # Engines in ascending order of the cost of a load from the weight
        # store, by size and load time of the model.
        self._engines_by_cost: dict[
            tuple[float, float], list[tuple[float, str]]
        ] = {}

    def gain(self, name: str) -> float:
        """Returns the requests gained by one more copy of a model."""
        model_demand = self.demand.get(name, modelvalue.NO_DEMAND)
        copies = self.copies.get(name, 0)
        if copies == 0:
            return model_demand.waiting_requests + model_demand.absence_loss(
                self.pool.models[name]
            )
        gain = modelvalue.PLANNING_HORIZON_S * (
            model_demand.unserved_per_s(copies)
            - model_demand.unserved_per_s(copies + 1)
        )
        if copies == 1 and model_demand.per_s >= REDUNDANCY_MIN_PER_S:
            gain += REDUNDANCY_GAIN
        return gain

    def loss(self, name: str) -> float:
        """Returns the requests lost by one copy less of a model."""
        loss = self._losses.get(name)
        if loss is None:
            loss = self._losses[name] = self._loss(name)
        return loss

    def _loss(self, name: str) -> float:
        model_demand = self.demand.get(name, modelvalue.NO_DEMAND)
        copies = self.usable_copies.get(name, 0)
        if copies > 1:
            loss = modelvalue.PLANNING_HORIZON_S * (
                model_demand.unserved_per_s(copies - 1, UNLOAD_DEMAND_FACTOR)
                - model_demand.unserved_per_s(copies, UNLOAD_DEMAND_FACTOR)
            )
            if copies == 2 and model_demand.per_s >= REDUNDANCY_MIN_PER_S:
                loss += REDUNDANCY_GAIN
            return loss + 0.05 * model_demand.per_s
        age_s = min(MAX_IDLE_AGE_S, self.now - model_demand.last_requested_at)
        expected = max(model_demand.per_s, 1.0 / (IDLE_AGE_OFFSET_S + age_s))
        model = self.pool.models[name]
        loss = max(
            modelvalue.PLANNING_HORIZON_S
            * expected
            * model_demand.delay_loss(model),
            model_demand.absence_loss(model),
        )
        if age_s < RECENT_USE_S:
            loss += RECENT_USE_LOSS
        if model_demand.may_become_busy(model):
            adapters = model.adapters > 0
            loss = max(
                loss, BURST_RISK_LOSS + BURST_RISK_ADAPTER_EXTRA_LOSS * adapters
            )
        return model_demand.waiting_requests + loss

    def best_move(self, name: str, store_allowed: bool) -> Move | None:
        """Returns the best move that loads one more copy of a model.

        Its net gain may be too small, or negative. For a model without a copy,
        its engine may be a busy one that is worth waiting for.
        """
        model = self.pool.models[name]
        gain = self.gain(name)
        contention = (
            1.0 - (len(self.free_engines) - 1) / len(self.states)
        ) ** 2
        load_cost_per_s = LOAD_COST_PER_S + CONTENTION_COST_PER_S * contention
        best: Move | None = None
        absent = not self.copies.get(name, 0)
        for state in self._engines_with_weights.get(name, ()):
            if name in state.models:
                continue
            load_s = model.disk_load_s
            if name in state.in_memory:
                load_s = model.memory_load_s
            if state.identity not in self.free_engines:
                load_s += state.free_in_s
                if not absent or load_s >= model.store_load_s:
                    continue
            base_cost = self._base_cost(state, model.size_mb, load_s, name)
            move = self._evaluate_move(
                name, state, gain, base_cost, load_s, load_cost_per_s, False
            )
            if move is not None and (
                best is None or move.net_gain > best.net_gain
            ):
                best = move
        if not store_allowed:
            return best
        load_s = model.store_load_s
        for state, base_cost in self._candidates(name, model):
            move = self._evaluate_move(
                name, state, gain, base_cost, load_s, load_cost_per_s, True
            )
            if move is not None and (
                best is None or move.net_gain > best.net_gain
            ):
                best = move
        return best

    def _candidates(
        self, name: str, model: routetable.Model
    ) -> Iterator[tuple[EngineState, float]]:
        """Yields the engines at which a load from the weight store is cheapest.

        These are the cheapest engine in a data centre that already has a copy
        and the cheapest in one that has none; the former costs a fixed amount
        more.
        """
        key = (model.size_mb, model.store_load_s)
        ranked = self._engines_by_cost.get(key)
        if ranked is None:
            ranked = self._engines_by_cost[key] = []
            for state in self.free_engines.values():
                cost = self._base_cost(state, *key)
                if cost is not None:
                    ranked.append((cost, state.identity))
            ranked.sort()
        data_centres = self.data_centres.get(name, ())
        in_all_data_centres = len(data_centres) == self._data_centre_count
        seen: set[bool] = set()
        for cost, identity in ranked:
            if identity not in self.free_engines:
                continue
            state = self.free_engines[identity]
            if name in state.models:
                continue
            if name in state.in_memory or name in state.on_disk:
                continue
            same_data_centre = state.data_centre in data_centres
            if same_data_centre not in seen:
                seen.add(same_data_centre)
                yield state, cost
            if not same_data_centre or len(seen) == 2 or in_all_data_centres:
                return  # All remaining engines cost more.

    def _base_cost(
        self,
        state: EngineState,
        size_mb: float,
        load_s: float,
        reloaded: str = "",
    ) -> float | None:
        """Returns the cost of freeing memory, or None if that is impossible.

        Args:
          state: The engine.
          size_mb: Size of the model to be loaded.
          load_s: Seconds for which the engine accepts no other order.
          reloaded: The model, if the engine has its weights.
        """
        eviction = self._eviction(state, size_mb)
        if eviction is None:
            return None
        cost = eviction.loss + 0.002 * state.in_flight
        blocked_per_s = ADAPTER_MISS_RATIO * eviction.blocked_demand
        blocked_per_s += self._blocked_reloads.get(state.identity, 0.0)
        blocked_per_s -= self._reload_values.get(reloaded, 0.0)
        return cost + load_s * blocked_per_s

    def _evaluate_move(
        self,
        name: str,
        state: EngineState,
        gain: float,
        base_cost: float | None,
        load_s: float,
        load_cost_per_s: float,
        from_store: bool,
    ) -> Move | None:
        if base_cost is None:
            return None
        cost = (
            base_cost + load_s * load_cost_per_s + STORE_LOAD_COST * from_store
        )
        if state.data_centre in self.data_centres.get(name, ()):
            cost += SAME_DATA_CENTRE_COST
        model = self.pool.models[name]
        model_demand = self.demand.get(name, modelvalue.NO_DEMAND)
        net_gain = gain * model_demand.fraction_after_load(model, load_s) - cost
        eviction = self._eviction(state, model.size_mb)
        if eviction is None:
            return None
        return Move(state.identity, name, eviction.unload, from_store, net_gain)

    def _eviction(self, state: EngineState, size_mb: float) -> _Eviction | None:
        """Returns the unloads that make a model of a size fit, or None."""
        key = (state.identity, size_mb)
        if key not in self._evictions:
            self._evictions[key] = self._find_eviction(state, size_mb)
        return self._evictions[key]

    def _find_eviction(
        self, state: EngineState, size_mb: float
    ) -> _Eviction | None:
        models = self.pool.models
        if any(name not in models for name in state.models):
            return None  # The engine holds a model of unknown size.
        used_mb = sum(models[name].size_mb for name in state.models)
        excess_mb = used_mb + size_mb - self._memory_mb
        unload: list[str] = []
        loss = 0.0
        if excess_mb > 0:
            for model_loss, name in sorted(
                (self.loss(n), n) for n in state.models
            ):
                unload.append(name)
                loss += model_loss
                excess_mb -= models[name].size_mb
                if excess_mb <= 0:
                    break
        if excess_mb > 0:
            return None
        return _Eviction(
            tuple(unload), loss, self._blocked_demand(state, unload)
        )

    def _add_reload_value(self, name: str, value: float) -> None:
        """Counts a possible reload of a model at the engines with its weights.

        A model whose weights are on the disk of an engine that is loading
        another one has to wait, or occupies a further engine with a load from
        the weight store.
        """
        self._reload_values[name] = value
        for state in self._engines_with_weights[name]:
            blocked = self._blocked_reloads.get(state.identity, 0.0)
            self._blocked_reloads[state.identity] = blocked + value

    def _blocked_demand(self, state: EngineState, unload: list[str]) -> float:
        """Returns the demand whose adapters no other free engine can load."""
        blocked_demand = 0.0
        for name in state.models:
            if name in unload or not self.pool.models[name].adapters:
                continue
            if len(self.adapter_holders.get(name, ())) <= 1:
                model_demand = self.demand.get(name, modelvalue.NO_DEMAND)
                blocked_demand += (
                    model_demand.per_s + model_demand.waiting_requests
                )
        return blocked_demand

    def declined_loads(
        self, net_gains: Mapping[str, float]
    ) -> Iterator[DeclinedLoad]:
        """Yields the models with a gain that are left without a copy.

        Args:
          net_gains: Net gains of the best moves that were not made, by model.
        """
        for name in self.demand:
            if name not in self.pool.models or self.copies.get(name, 0):
                continue
            gain = self.gain(name)
            if gain < MIN_GAIN:
                continue
            net_gain = net_gains.get(name, -math.inf)
            reason = "no_free_engine"
            if net_gain >= MIN_GAIN:
                reason = "engine_awaited"
            elif name in net_gains:
                reason = "not_worthwhile"
            yield DeclinedLoad(
                name,
                reason,
                gain,
                net_gain,
                len(self._engines_with_weights.get(name, ())),
            )

    def apply(self, move: Move) -> None:
        """Updates the state by a move, before the next one is chosen."""
        state = self.free_engines.pop(move.engine)
        affected: set[str] = set()
        for name in state.models:
            self.adapter_holders[name].discard(move.engine)
            if len(self.adapter_holders[name]) <= 1:
                affected |= self.adapter_holders[name]
        for name in move.unload:
            self.copies[name] -= 1
            self.usable_copies[name] -= 1
            self._losses.pop(name, None)
            affected |= self.adapter_holders[name]
        self.copies[move.load] = self.copies.get(move.load, 0) + 1
        if move.load in self._reload_values:
            self._add_reload_value(move.load, -self._reload_values[move.load])
            del self._reload_values[move.load]
        self.data_centres.setdefault(move.load, set()).add(state.data_centre)
        self._recompute_costs(affected)

    def _recompute_costs(self, affected: set[str]) -> None:
        """Recomputes the costs of loads at some engines."""
        if not affected:
            return
        for size_mb in self._sizes:
            for identity in affected:
                self._evictions.pop((identity, size_mb), None)
        for key, ranked in self._engines_by_cost.items():
            kept = [row for row in ranked if row[1] not in affected]
            for identity in affected:
                cost = self._base_cost(self.free_engines[identity], *key)
                if cost is not None:
                    kept.append((cost, identity))
            kept.sort()
            self._engines_by_cost[key] = kept


def plan(
    pool: routetable.EnginePool,
    engines: Iterable[EngineState],
    demand: Mapping[str, modelvalue.ModelDemand],
    store_loads_left: int,
    now: float,
    declined: list[DeclinedLoad] | None = None,
) -> list[Move]:
    """Plans the next moves, at most one for each engine.

    Args:
      pool: Properties that the engines have in common.
      engines: All engines of the service.
      demand: Demand by model.
      store_loads_left: Loads from the weight store that may start now.
      now: Time of the loop's clock in seconds.
      declined: Receives the requested models that stay without a copy.

    Returns:
      The moves as chosen, the model with the largest gain first.
    """
    planning_round = _PlanningRound(pool, list(engines), demand, now)
    moves: list[Move] = []
    # Only requested models can have a gain. A model without a worthwhile move
    # is left out for the rest of the round.
    gains = {
        name: planning_round.gain(name)
        for name in demand
        if name in pool.models
    }
    net_gains: dict[str, float] = {}
    ranked = [(-gain, name) for name, gain in gains.items()]
    heapq.heapify(ranked)
    while planning_round.free_engines and ranked:
        gain, name = heapq.heappop(ranked)
        if -gain < MIN_GAIN:
            break
        if gains.get(name) != -gain:
            continue  # Outdated heap entry of a model whose gain changed.
        move = planning_round.best_move(name, store_loads_left > 0)
        if (
            move is None
            or move.net_gain < MIN_GAIN
            # The best move is to wait for a busy engine.
            or move.engine not in planning_round.free_engines
        ):
            net_gains[name] = move.net_gain if move else -math.inf
            del gains[name]
            continue
        moves.append(move)
        store_loads_left -= move.from_store
        planning_round.apply(move)
        for changed in (name, *move.unload):
            if changed in gains:
                gains[changed] = planning_round.gain(changed)
                heapq.heappush(ranked, (-gains[changed], changed))
    if declined is not None:
        declined.extend(planning_round.declined_loads(net_gains))
    return moves
