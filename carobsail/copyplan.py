"""Decides which models the engines load and unload.

Load patterns that the decision answers:

- Demand moves to another model within seconds: copies follow the measured
  demand, so that a model gets its next copy before its engines queue.
- Many rare models are asked for at once, more than the engines hold: the model
  with callers waiting takes the place of a surplus copy first, then of the
  model that was not asked for longest.
- An engine takes no order for an adapter while it loads a model, for 9 s from
  the store: the loads spread so that each model whose adapters are asked for
  keeps an engine that takes orders.
- Engines end with the only copy of a model: its next copy goes where its
  weights are at hand.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from carobsail import routetable

# Seconds of an engine that a request takes: 2,400 prompt tokens at 16 to 20 a
# ms, and its part of the steps.
REQUEST_WORK_S = 0.17
# Part of an engine's time that one model's requests may take at one copy.
TARGET_USE = 0.5
# A model that was not asked for this long is wanted by nobody.
IDLE_S = 15.0
# A last copy that was asked for within this time is not given up.
RECENT_S = 3.0
# Demand in requests a second from which a model has two copies, so that the
# loss of an engine leaves one.
SPARE_COPY_PER_S = 0.7
# Seconds of waiting that a load before the next request saves.
EARLY_LOAD_GAIN_S = 10.0
# A model is not expected to be asked for by callers in a hurry unless it was,
# or has adapters; its last copy then counts this much more than one that
# callers can wait for.
HURRY_WEIGHT = 5.0
# Cost of leaving a model at its target use with one copy less, against that of
# a last copy of a model that callers can wait for, 4 and more.
OVERLOAD_COST = 12.0
# Cost of taking the last engine from a model's adapters, for each second of
# the load and each request a second.
ADAPTER_BLOCK_COST = 2.0
# A model keeps a copy beyond its wanted ones while its demand lies above this
# part of what the copy is for, so that copies do not come and go.
KEEP_USE = 0.2


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
    """

    identity: str
    data_centre: str
    models: frozenset[str]
    free: bool
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    in_flight: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Move:
    """Load a model after unloading others at the same engine.

    Attributes:
      engine: Identity of the engine.
      load: Model to load.
      unload: Models that make room, to be unloaded first.
      from_store: Whether the weights come from the weight store.
    """

    engine: str
    load: str
    unload: tuple[str, ...]
    from_store: bool


def wanted_copies(demand: ModelDemand, engines: int, now: float) -> int:
    """Returns how many copies of a model are wanted."""
    if demand.waiting == 0 and now - demand.asked_at > IDLE_S:
        return 0
    copies = math.ceil(demand.per_s * REQUEST_WORK_S / TARGET_USE)
    if demand.per_s >= SPARE_COPY_PER_S:
        copies = max(2, copies)
    return min(engines, max(1, copies))


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
      The moves, the most urgent first.
    """
    states = list(engines)
    copies: dict[str, int] = {}
    for state in states:
        for model in state.models:
            copies[model] = copies.get(model, 0) + 1
    wanted = {
        name: wanted_copies(demand.get(name, ModelDemand()), len(states), now)
        for name in pool.models
    }
    missing = [n for n in pool.models if copies.get(n, 0) < wanted[n]]
    missing.sort(key=lambda n: _urgency(n, copies, wanted, demand))
    moves: list[Move] = []
    free = {state.identity: state for state in states if state.free}
    for name in missing:
        move = _place(
            name, pool, free, states, copies, wanted, demand, now,
            store_loads_left > 0,
        )  # fmt: skip
        if move is None:
            continue
        moves.append(move)
        del free[move.engine]
        store_loads_left -= move.from_store
        copies[name] = copies.get(name, 0) + 1
        for victim in move.unload:
            copies[victim] -= 1
    return moves


def _urgency(
    name: str,
    copies: Mapping[str, int],
    wanted: Mapping[str, int],
    demand: Mapping[str, ModelDemand],
) -> tuple[bool, float]:
    """Orders missing models: those without a copy first, then by shortage."""
    present = copies.get(name, 0)
    known = demand.get(name, ModelDemand())
    short = known.per_s / max(1, present) + known.waiting
    return present > 0, -short


def _place(
    name: str,
    pool: routetable.EnginePool,
    free: Mapping[str, EngineState],
    states: list[EngineState],
    copies: Mapping[str, int],
    wanted: Mapping[str, int],
    demand: Mapping[str, ModelDemand],
    now: float,
    store_allowed: bool,
) -> Move | None:
    """Chooses the engine with the cheapest load and the least loss."""
    model = pool.models[name]
    first_copy = copies.get(name, 0) == 0
    served_there = {s.data_centre for s in states if name in s.models}
    best: tuple[float, str, Move] | None = None
    for state in free.values():
        if name in state.models:
            continue
        if name in state.in_memory:
            load_s, from_store = model.memory_load_s, False
        elif name in state.on_disk:
            load_s, from_store = model.disk_load_s, False
        else:
            load_s, from_store = model.store_load_s, True
        if from_store and not store_allowed:
            continue
        room = _make_room(
            state, model, pool, copies, wanted, demand, first_copy, now
        )
        if room is None:
            continue
        unload, loss_s = room
        known = demand.get(name, ModelDemand())
        if not known.waiting and loss_s > EARLY_LOAD_GAIN_S * known.per_s:
            continue
        cost = load_s + loss_s + 0.02 * state.in_flight
        blocked = _blocked_per_s(state, unload, pool, states, demand)
        if blocked and not first_copy:
            continue
        cost += ADAPTER_BLOCK_COST * load_s * blocked
        if state.data_centre in served_there:
            cost += 1.0
        move = Move(state.identity, name, unload, from_store)
        if best is None or (cost, state.identity) < best[:2]:
            best = (cost, state.identity, move)
    return None if best is None else best[2]


def _blocked_per_s(
    state: EngineState,
    unload: tuple[str, ...],
    pool: routetable.EnginePool,
    states: list[EngineState],
    demand: Mapping[str, ModelDemand],
) -> float:
    """Returns the demand whose adapters no other free engine can take."""
    blocked = 0.0
    for name in state.models:
        if name in unload or not pool.models[name].adapters:
            continue
        known = demand.get(name)
        if known is None or not (known.per_s > 0.1 or known.waiting):
            continue
        others = (
            s for s in states if s.free and s is not state and name in s.models
        )
        if not any(others):
            blocked += known.per_s + known.waiting
    return blocked


def _make_room(
    state: EngineState,
    model: routetable.Model,
    pool: routetable.EnginePool,
    copies: Mapping[str, int],
    wanted: Mapping[str, int],
    demand: Mapping[str, ModelDemand],
    first_copy: bool,
    now: float,
) -> tuple[tuple[str, ...], float] | None:
    """Returns the models to unload and what that costs, or None."""
    if any(name not in pool.models for name in state.models):
        return None  # The size of what it holds is not known.
    used = sum(pool.models[name].size_mb for name in state.models)
    excess = used + model.size_mb - pool.memory_mb
    unload: list[str] = []
    loss_s = 0.0
    victims = sorted(
        (
            _loss_s(pool.models[name], copies, wanted, demand, first_copy, now),
            name,
        )
        for name in state.models
    )
    for loss, name in victims:
        if excess <= 0:
            break
        if not math.isfinite(loss):
            return None
        unload.append(name)
        loss_s += loss
        excess -= pool.models[name].size_mb
    return (tuple(unload), loss_s) if excess <= 0 else None


def _loss_s(
    model: routetable.Model,
    copies: Mapping[str, int],
    wanted: Mapping[str, int],
    demand: Mapping[str, ModelDemand],
    first_copy: bool,
    now: float,
) -> float:
    """Returns what unloading a copy costs; infinite if it must stay."""
    known = demand.get(model.name, ModelDemand())
    present = copies.get(model.name, 0)
    if present > 1:
        use = known.per_s * REQUEST_WORK_S / (present - 1) / TARGET_USE
        if use > 1.0 - KEEP_USE:
            # Copies would come and go if the last one left just below.
            return OVERLOAD_COST * use if first_copy else math.inf
        if present > wanted[model.name] or first_copy:
            return known.per_s
        return math.inf
    if not first_copy:
        return math.inf
    if known.waiting or now - known.asked_at < RECENT_S:
        return math.inf
    hurried = known.objective_s < model.disk_load_s or (
        model.adapters > 0 and math.isinf(known.objective_s)
    )
    loss = 4.0 + 10.0 / (1.0 + now - known.asked_at)
    return loss * (HURRY_WEIGHT if hurried else 1.0)
