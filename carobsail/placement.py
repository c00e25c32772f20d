"""Placement of models on engines: a registry of policies.

A policy returns the wanted models of every engine and explains each move, or
refuses before anything moves when the models in use cannot all fit.
"""

import itertools
from collections.abc import Callable, Collection, Mapping

from carobsail import errors, inventory
from carobsail.demand import Demand
from carobsail.planning import (
    GROW_ABOVE,
    MOST_COMPARED,
    NO_DEMAND,
    EngineState,
    Placement,
    Round,
    Weights,
)

SHRINK_BELOW = 0.4  # Far below GROW_ABOVE, so that placement does not flap.
# A release that waits for more than this on the region link frees nothing.
MOST_RELEASE_TRANSFER_S = 600.0
SHRINK_INTERVAL_S = 120.0  # An engine is released at most this often.
LEAST_GAP = 0.15  # Smaller differences in load do not pay a copy.
MOST_FUTILE = 16  # Overloaded engines tried in vain before a round ends.
MOST_GROWTH = 16  # Copies added a round; the store starts about 1 load/s.

Policy = Callable[[Round], Placement | errors.Failure]
POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Registers a placement policy."""

    def register(function: Policy) -> Policy:
        POLICIES[name] = function
        return function

    return register


def plan(
    listed: inventory.Inventory,
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
      listed: The platform's inventory.
      residency: Confirmed models of each engine with their memory in MB.
      demand: Demand of each model.
      used_models: Models that client accounts use.
      weights: Weights of attainment and moves.
      previous: The previous placement, if any.
      now: Seconds of the loop's clock.
      policy_name: Name of a registered policy.

    Returns:
      The placement, or the reason why the models in use cannot all fit.
    """
    inputs = (residency, demand, used_models, weights, previous, now)
    return POLICIES[policy_name](Round(listed, *inputs))


@policy("demand_aware")
def place_by_demand(state: Round) -> Placement | errors.Failure:
    """Recovers lost models, adds copies that pay, releases idle engines."""
    state.assign()
    refused = state.recover()
    if refused is not None:
        return refused
    state.assign()
    grown = _grow(state)
    calm = state.now >= state.shrunk_at + SHRINK_INTERVAL_S
    if not grown and not state.moves and calm:
        _shrink(state)
    return state.placement()


def _grow(state: Round) -> bool:
    """Adds copies of the models that overload their engines."""
    idle = {
        name: sorted(
            pool,
            key=lambda e: (
                e.share >= GROW_ABOVE,
                not e.want,
                e.far,
                e.share,
                e.target.name,
            ),
        )
        for name, pool in state.pools.items()
    }
    over = [e for e in state.engines if e.share > GROW_ABOVE]
    over.sort(key=lambda e: (-e.share, e.target.name))
    added = futile = 0
    for engine in over:
        if futile >= MOST_FUTILE:
            break
        while engine.share > GROW_ABOVE and added < MOST_GROWTH:
            model = _relieve(state, engine, idle[engine.target.pool])
            if model is None:
                futile += 1
                break
            state.spread(model)
            added += 1
    return added > 0


def _relieve(
    state: Round, engine: EngineState, idle: list[EngineState]
) -> str | None:
    """Adds the copy that pays most for one overloaded engine."""
    best: tuple[float, str, EngineState, float] | None = None
    excess = engine.load - GROW_ABOVE * engine.rate
    for model in engine.want:
        tokens = state.tokens[model] / len(state.copies[model])
        if tokens <= 0:
            continue
        found = itertools.islice(
            (
                e
                for e in state.candidates(model, idle)
                if e.share + LEAST_GAP < engine.share
            ),
            MOST_COMPARED,
        )
        other = min(found, key=lambda e: state.rank(e, model), default=None)
        if other is None:
            continue
        # Above the threshold everywhere, an evener spread still saves some.
        moved = min(tokens / 2, excess, (engine.load - other.load) / 2)
        known = state.demand.get(model, NO_DEMAND)
        per_token = known.requests_per_s / max(known.tokens_per_s, 1e-9)
        useful_s = state.weights.horizon_s - state.transfer_s(other, model)
        saved = moved * per_token * max(0.0, useful_s) * state.weights.late
        gain = saved - state.load_cost(other, model)
        if gain > 0 and (best is None or gain > best[0]):
            best = gain, model, other, saved
    if best is None:
        return None
    _, model, other, saved = best
    state.add(other, model, f"overload of {engine.target.name}", saved)
    return model


def _shrink(state: Round) -> None:
    """Releases the least loaded engine whose load fits on the others."""
    for pool in state.pools.values():
        used = [e for e in pool if e.want]
        spare = sum(SHRINK_BELOW * e.rate - e.load for e in used)
        for engine in sorted(used, key=lambda e: (e.load, e.target.name))[:3]:
            rest = spare - (SHRINK_BELOW * engine.rate - engine.load)
            if rest < engine.load or len(used) == 1:
                continue
            if _release(state, engine):
                state.shrunk_at = state.now
                break


def _release(state: Round, engine: EngineState) -> bool:
    """Moves an engine's last copies to engines in use, or changes nothing."""
    planned: list[tuple[str, EngineState]] = []
    taken: dict[str, int] = {}
    added: dict[str, float] = {}
    for model in sorted(engine.want, key=lambda m: -engine.want[m]):
        tokens = state.tokens[model] / len(state.copies[model])
        others = [e for e in state.copies[model] if e is not engine]
        if not others:
            mb = engine.want[model]
            others = [
                e
                for e in state.candidates(model)
                if e.want
                and e is not engine
                and state.transfer_s(e, model) <= MOST_RELEASE_TRANSFER_S
                and e.free_mb - state.held_mb(e) - taken.get(e.target.name, 0)
                >= mb
            ]
        names = {e.target.name: e for e in others}
        name = min(
            names,
            key=lambda n: ((names[n].load + added.get(n, 0.0)), n),
            default=None,
        )
        if name is None:
            return False
        load = names[name].load + added.get(name, 0.0) + tokens
        if load > GROW_ABOVE * names[name].rate:
            return False
        added[name] = added.get(name, 0.0) + tokens
        if model not in names[name].want:
            taken[name] = taken.get(name, 0) + engine.want[model]
            planned.append((model, names[name]))
    reason = f"release of {engine.target.name}"
    cost = sum(state.load_cost(other, model) for model, other in planned)
    if cost > state.weights.engine:
        return False
    for model, other in planned:
        state.add(other, model, reason)
    for model in sorted(engine.want):
        state.drop(engine, model, reason)
    state.assign()
    return True


@policy("static")
def place_static(state: Round) -> Placement | errors.Failure:
    """Spreads the models once and only replaces lost copies."""
    refused = _spread_missing(state)
    return refused or state.placement()


@policy("least_recently_used")
def place_least_recently_used(state: Round) -> Placement | errors.Failure:
    """Loads asked models everywhere; drops idle redundant copies for room."""
    refused = _spread_missing(state)
    if refused is not None:
        return refused
    hot = sorted(state.used, key=lambda m: (-state.tokens[m], m))
    added = 0
    for model in hot:
        for engine in state.pools[state.models[model].pool]:
            if added >= MOST_GROWTH or not state.tokens[model]:
                break
            if model in engine.want:
                continue
            if not state.fits(engine, model):
                _drop_idle(state, engine, model)
            if state.fits(engine, model):
                state.add(engine, model, "asked for")
                added += 1
    return state.placement()


def _drop_idle(state: Round, engine: EngineState, model: str) -> None:
    for other in sorted(engine.want, key=lambda m: (state.tokens[m], m)):
        if state.tokens[other] >= state.tokens[model]:
            return
        if len(state.copies[other]) > 1 and not state.is_last(engine, other):
            state.drop(engine, other, f"idle longer than {model}")
        if state.fits(engine, model):
            return


@policy("proportional")
def place_proportionally(state: Round) -> Placement | errors.Failure:
    """Gives each model copies in proportion to its tokens."""
    refused = _spread_missing(state)
    if refused is not None:
        return refused
    added = 0
    for pool_name, pool in sorted(state.pools.items()):
        models = [m for m in state.used if state.models[m].pool == pool_name]
        total = sum(state.tokens[m] for m in models)
        for model in models:
            share = state.tokens[model] / total if total else 0.0
            goal = max(1, min(len(pool), round(share * len(pool))))
            copies = state.copies[model]
            while len(copies) > goal and not state.is_last(copies[-1], model):
                state.drop(copies[-1], model, "above its share")
            while len(copies) < goal and added < MOST_GROWTH:
                found = list(state.candidates(model))
                if not found:
                    break
                best = min(found, key=lambda e: (len(e.want), e.target.name))
                state.add(best, model, "below its share")
                added += 1
    return state.placement()


def _spread_missing(state: Round) -> None | errors.Failure:
    """Places lost models on the engines with the most free memory."""
    lost = [m for m in state.used if not state.copies[m]]
    known = [m for m in lost if m in state.models]
    for model in sorted(known, key=lambda m: (-state.models[m].weights_mb, m)):
        found = list(state.candidates(model))
        if found:
            best = min(found, key=lambda e: (-e.free_mb, e.target.name))
            state.add(best, model, "no copy of a model in use")
    return state.recover()
