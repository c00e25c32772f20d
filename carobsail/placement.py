"""Placement of models on engines: a registry of policies.

A policy returns the models that every engine should hold and gives a reason
for each change. If the models in use cannot all fit, it fails before anything
is loaded or unloaded.
"""

import itertools
from collections.abc import Callable, Collection, Mapping

from carobsail import errors, inventory
from carobsail.demand import Demand
from carobsail.planninground import (
    MAX_COMPARED_ENGINES,
    NO_DEMAND,
    OVERLOAD_UTILISATION,
    EngineState,
    Placement,
    PlanningRound,
    Weights,
)

# Far below OVERLOAD_UTILISATION, so that engines are not taken into use and
# released in turn.
RELEASE_BELOW_UTILISATION = 0.4
# A copy is not moved to release an engine if its transfer between regions takes
# longer than this, since the engine would stay in use meanwhile.
MAX_RELEASE_TRANSFER_S = 600.0
RELEASE_INTERVAL_S = 120.0  # Between two releases of engines.
# A copy is added only on an engine whose utilisation is lower by this much; for
# a smaller difference the load costs more than it gains.
MIN_UTILISATION_GAP = 0.15
# A round stops after this many overloaded engines for which no further copy was
# worth its cost.
MAX_UNRELIEVED_ENGINES = 16
# Copies added per round; the weight store starts about 1 load/s.
MAX_ADDED_COPIES = 16

Policy = Callable[[PlanningRound], Placement | errors.Failure]
POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Registers a placement policy."""

    def register(function: Policy) -> Policy:
        POLICIES[name] = function
        return function

    return register


def plan(
    platform_inventory: inventory.Inventory,
    residency: Mapping[str, Mapping[str, int]],
    demand: Mapping[str, Demand],
    used_models: Collection[str],
    weights: Weights,
    previous: Placement | None,
    now: float,
    policy_name: str = "demand_aware",
) -> Placement | errors.Failure:
    """Plans the wanted state of all engines; deterministic.

    Args:
      platform_inventory: The platform's inventory.
      residency: Models confirmed to be resident on each engine, with their
        memory in MB.
      demand: Demand for each model.
      used_models: Models that client accounts use.
      weights: Weights of late responses, loads and engines in use.
      previous: The previous placement, if any.
      now: Time of the event loop's clock in seconds.
      policy_name: Name of a registered policy.

    Returns:
      The placement, or the reason why the models in use cannot all fit.
    """
    inputs = (residency, demand, used_models, weights, previous, now)
    return POLICIES[policy_name](PlanningRound(platform_inventory, *inputs))


@policy("demand_aware")
def place_by_demand(state: PlanningRound) -> Placement | errors.Failure:
    """Places models without a copy, adds copies, releases idle engines.

    Copies are added where they save more than they cost. An engine is
    released only in a round that has changed nothing else.
    """
    state.assign_demand()
    refused = state.place_missing()
    if refused is not None:
        return refused
    state.assign_demand()
    grown = _add_copies(state)
    may_release = state.now >= state.last_release_at + RELEASE_INTERVAL_S
    if not grown and not state.moves and may_release:
        _release_engines(state)
    return state.placement()


def _add_copies(state: PlanningRound) -> bool:
    """Adds copies of the models that overload their engines.

    Returns:
      Whether a copy was added.
    """
    receivers = {
        name: sorted(
            pool,
            key=lambda e: (
                e.utilisation >= OVERLOAD_UTILISATION,
                not e.wanted_mb,
                e.in_other_region,
                e.utilisation,
                e.target.name,
            ),
        )
        for name, pool in state.pools.items()
    }
    overloaded = [
        e for e in state.engines if e.utilisation > OVERLOAD_UTILISATION
    ]
    overloaded.sort(key=lambda e: (-e.utilisation, e.target.name))
    added = unrelieved = 0
    for engine in overloaded:
        if unrelieved >= MAX_UNRELIEVED_ENGINES:
            break
        while (
            engine.utilisation > OVERLOAD_UTILISATION
            and added < MAX_ADDED_COPIES
        ):
            model = _add_best_copy(state, engine, receivers[engine.target.pool])
            if model is None:
                unrelieved += 1
                break
            state.assign_model(model)
            added += 1
    return added > 0


def _add_best_copy(
    state: PlanningRound, engine: EngineState, receivers: list[EngineState]
) -> str | None:
    """Adds the copy that gains most for one overloaded engine.

    Args:
      state: The planning round.
      engine: The overloaded engine.
      receivers: Engines of the same pool, the preferred ones first.

    Returns:
      The model that was copied, or None if no copy gains more than it costs.
    """
    best: tuple[float, str, EngineState, float] | None = None
    excess = (
        engine.assigned_tokens_per_s
        - OVERLOAD_UTILISATION * engine.decode_tokens_per_s
    )
    for model in engine.wanted_mb:
        tokens = state.tokens[model] / len(state.copies[model])
        if tokens <= 0:
            continue
        found = itertools.islice(
            (
                e
                for e in state.candidates(model, receivers)
                if e.utilisation + MIN_UTILISATION_GAP < engine.utilisation
            ),
            MAX_COMPARED_ENGINES,
        )
        other = min(found, key=lambda e: state.rank(e, model), default=None)
        if other is None:
            continue
        # If all engines are above the threshold, balancing still helps.
        moved = min(
            tokens / 2,
            excess,
            (engine.assigned_tokens_per_s - other.assigned_tokens_per_s) / 2,
        )
        demand = state.demand.get(model, NO_DEMAND)
        per_token = demand.requests_per_s / max(demand.tokens_per_s, 1e-9)
        useful_s = state.weights.horizon_s - state.transfer_s(other, model)
        saved = (
            moved
            * per_token
            * max(0.0, useful_s)
            * state.weights.late_response_cost
        )
        gain = saved - state.load_cost(other, model)
        if gain > 0 and (best is None or gain > best[0]):
            best = gain, model, other, saved
    if best is None:
        return None
    _, model, other, saved = best
    state.add(other, model, f"overload of {engine.target.name}", saved)
    return model


def _release_engines(state: PlanningRound) -> None:
    """Releases one little used engine per pool if its load fits elsewhere.

    Only the three least loaded engines of a pool are tried.
    """
    for pool in state.pools.values():
        used = [e for e in pool if e.wanted_mb]
        spare = sum(
            RELEASE_BELOW_UTILISATION * e.decode_tokens_per_s
            - e.assigned_tokens_per_s
            for e in used
        )
        for engine in sorted(
            used, key=lambda e: (e.assigned_tokens_per_s, e.target.name)
        )[:3]:
            remaining = spare - (
                RELEASE_BELOW_UTILISATION * engine.decode_tokens_per_s
                - engine.assigned_tokens_per_s
            )
            if remaining < engine.assigned_tokens_per_s or len(used) == 1:
                continue
            if _release_engine(state, engine):
                state.last_release_at = state.now
                break


def _release_engine(state: PlanningRound, engine: EngineState) -> bool:
    """Moves an engine's only copies to engines in use and empties it.

    Returns:
      Whether it was released; if not, nothing has changed.
    """
    planned: list[tuple[str, EngineState]] = []
    taken_mb: dict[str, int] = {}
    added_load: dict[str, float] = {}
    for model in sorted(engine.wanted_mb, key=lambda m: -engine.wanted_mb[m]):
        tokens = state.tokens[model] / len(state.copies[model])
        others = [e for e in state.copies[model] if e is not engine]
        if not others:
            mb = engine.wanted_mb[model]
            others = [
                e
                for e in state.candidates(model)
                if e.wanted_mb
                and e is not engine
                and state.transfer_s(e, model) <= MAX_RELEASE_TRANSFER_S
                and e.free_mb
                - state.retained_mb(e)
                - taken_mb.get(e.target.name, 0)
                >= mb
            ]
        names = {e.target.name: e for e in others}
        name = min(
            names,
            key=lambda n: (
                (names[n].assigned_tokens_per_s + added_load.get(n, 0.0)),
                n,
            ),
            default=None,
        )
        if name is None:
            return False
        load = (
            names[name].assigned_tokens_per_s
            + added_load.get(name, 0.0)
            + tokens
        )
        if load > OVERLOAD_UTILISATION * names[name].decode_tokens_per_s:
            return False
        added_load[name] = added_load.get(name, 0.0) + tokens
        if model not in names[name].wanted_mb:
            taken_mb[name] = taken_mb.get(name, 0) + engine.wanted_mb[model]
            planned.append((model, names[name]))
    reason = f"release of {engine.target.name}"
    cost = sum(state.load_cost(other, model) for model, other in planned)
    if cost > state.weights.engine_release_value:
        return False
    for model, other in planned:
        state.add(other, model, reason)
    for model in sorted(engine.wanted_mb):
        state.drop(engine, model, reason)
    state.assign_demand()
    return True


@policy("static")
def place_static(state: PlanningRound) -> Placement | errors.Failure:
    """Distributes the models once; later only places models that were lost."""
    refused = _place_by_free_memory(state)
    return refused or state.placement()


@policy("least_recently_used")
def place_least_recently_used(
    state: PlanningRound,
) -> Placement | errors.Failure:
    """Loads requested models on every engine of their pool.

    Makes room by dropping redundant copies of models with less demand.
    """
    refused = _place_by_free_memory(state)
    if refused is not None:
        return refused
    by_demand = sorted(state.models_in_use, key=lambda m: (-state.tokens[m], m))
    added = 0
    for model in by_demand:
        for engine in state.pools[state.models[model].pool]:
            if added >= MAX_ADDED_COPIES or not state.tokens[model]:
                break
            if model in engine.wanted_mb:
                continue
            if not state.fits(engine, model):
                _drop_less_used(state, engine, model)
            if state.fits(engine, model):
                state.add(engine, model, "asked for")
                added += 1
    return state.placement()


def _drop_less_used(
    state: PlanningRound, engine: EngineState, model: str
) -> None:
    for other in sorted(engine.wanted_mb, key=lambda m: (state.tokens[m], m)):
        if state.tokens[other] >= state.tokens[model]:
            return
        if len(state.copies[other]) > 1 and not state.is_last_copy(
            engine, other
        ):
            state.drop(engine, other, f"idle longer than {model}")
        if state.fits(engine, model):
            return


@policy("proportional")
def place_proportionally(state: PlanningRound) -> Placement | errors.Failure:
    """Gives each model copies in proportion to its token demand."""
    refused = _place_by_free_memory(state)
    if refused is not None:
        return refused
    added = 0
    for pool_name, pool in sorted(state.pools.items()):
        models = [
            m for m in state.models_in_use if state.models[m].pool == pool_name
        ]
        total = sum(state.tokens[m] for m in models)
        for model in models:
            share = state.tokens[model] / total if total else 0.0
            goal = max(1, min(len(pool), round(share * len(pool))))
            copies = state.copies[model]
            while len(copies) > goal and not state.is_last_copy(
                copies[-1], model
            ):
                state.drop(copies[-1], model, "above its share")
            while len(copies) < goal and added < MAX_ADDED_COPIES:
                found = list(state.candidates(model))
                if not found:
                    break
                best = min(
                    found, key=lambda e: (len(e.wanted_mb), e.target.name)
                )
                state.add(best, model, "below its share")
                added += 1
    return state.placement()


def _place_by_free_memory(state: PlanningRound) -> None | errors.Failure:
    """Places models without a copy where most memory is free."""
    missing = [m for m in state.models_in_use if not state.copies[m]]
    known = [m for m in missing if m in state.models]
    for model in sorted(known, key=lambda m: (-state.models[m].weights_mb, m)):
        found = list(state.candidates(model))
        if found:
            best = min(found, key=lambda e: (-e.free_mb, e.target.name))
            state.add(best, model, "no copy of a model in use")
    return state.place_missing()
