"""State of one planning round: the inputs and the wanted state."""

import dataclasses
import itertools
from collections.abc import Collection, Iterator, Mapping

from carobsail import errors, inventory, messages, orders
from carobsail.demand import Demand

GROW_ABOVE = 0.6  # Share of an engine's token rate; queues grow above it.
FORECAST_S = 60.0  # Time that a load takes to help, with its queue.
MOST_COMPARED = 16  # Engines compared for one copy; bounds a round's cost.
MIXED_ROLE = "mixed"
NO_DEMAND = Demand(0.0, 0.0)


@dataclasses.dataclass(slots=True, frozen=True)
class Weights:
    """Weights of attainment and moves.

    Attributes:
      late: Cost of one late answer.
      load: Cost of one model load.
      link_gb: Cost of one gigabyte over the link between regions.
      engine: Value of an engine that is released; a release whose moves cost
        more is not made.
      horizon_s: Time in seconds in which a load must pay, transfer included.
    """

    late: float = 1.0
    load: float = 10.0
    link_gb: float = 2.0
    engine: float = 100.0
    horizon_s: float = 1800.0


@dataclasses.dataclass(slots=True, frozen=True)
class Move:
    """One change of the wanted state and its explanation."""

    target: str
    model: str
    load: bool
    reason: str
    cost: float = 0.0
    benefit: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Placement:
    """The wanted state of all engines.

    Attributes:
      plans: One plan per engine; an empty one releases the engine.
      moves: Changes against the previous wanted state.
      shrunk_at: Time of the last release of an engine, in seconds.
    """

    plans: list[messages.TargetPlan]
    moves: list[Move]
    shrunk_at: float = float("-inf")


def model_id(model: inventory.Model) -> str:
    """Returns the name of a model's version in plans and reports."""
    return orders.join_version(model.name, model.version)


class EngineState:
    """An engine in one planning round."""

    __slots__ = ("far", "free_mb", "load", "rate", "resident", "target", "want")

    def __init__(
        self, target: inventory.Target, resident: Mapping[str, int], far: bool
    ) -> None:
        self.target = target
        self.resident = resident
        self.far = far
        self.rate = target.decode_tokens_per_s
        self.want: dict[str, int] = {}
        self.load = 0.0
        self.free_mb = (
            target.capacity_mb - target.adapter_pool_mb - target.cache_floor_mb
        )

    def add(self, model: str, mb: int) -> None:
        """Adds a model to the wanted state."""
        self.want[model] = mb
        self.free_mb -= mb

    def remove(self, model: str) -> None:
        """Removes a model from the wanted state."""
        self.free_mb += self.want.pop(model)

    @property
    def share(self) -> float:
        """Assigned load as a share of the engine's token rate."""
        return self.load / self.rate


class Round:
    """One planning round: the inputs and the wanted state being built."""

    def __init__(
        self,
        listed: inventory.Inventory,
        residency: Mapping[str, Mapping[str, int]],
        demand: Mapping[str, Demand],
        used_models: Collection[str],
        weights: Weights,
        previous: Placement | None,
        now: float,
    ) -> None:
        self.listed, self.demand = listed, demand
        self.weights, self.previous, self.now = weights, previous, now
        self.models = {model_id(m): m for m in listed.models}
        self.used = sorted(used_models)
        store = listed.weight_store.region
        self.engines = [
            EngineState(
                target,
                residency.get(target.name, {}),
                listed.regions.get(target.data_centre) != store,
            )
            for target in sorted(listed.targets, key=lambda t: t.name)
            if target.kind is inventory.Kind.ENGINE
            and target.state is inventory.State.LIVE
        ]
        self.pools: dict[str, list[EngineState]] = {}
        for engine in self.engines:
            self.pools.setdefault(engine.target.pool, []).append(engine)
        self.copies: dict[str, list[EngineState]] = {m: [] for m in self.used}
        self.moves: list[Move] = []
        self._parts: dict[str, list[tuple[EngineState, float]]] = {}
        self.shrunk_at = previous.shrunk_at if previous else float("-inf")
        self.tokens = {
            model: demand.get(model, NO_DEMAND).forecast_tokens_per_s(
                FORECAST_S
            )
            for model in self.used
        }
        self._start()

    def _start(self) -> None:
        """Starts from the previous wanted state, or from the residency.

        A resident last copy stays wanted even if the plan left it out.
        """
        plans = self.previous.plans if self.previous else []
        wanted = {plan.target: plan.models for plan in plans}
        for engine in self.engines:
            start = wanted.get(engine.target.name, engine.resident)
            for model in sorted(start):
                if model in self.copies and model in self.models:
                    self._keep(engine, model)
        for engine in self.engines:
            for model in sorted(engine.resident):
                if model in self.models and not self.copies.get(model, [0]):
                    self._keep(engine, model)

    def _keep(self, engine: EngineState, model: str) -> None:
        engine.add(model, self.models[model].weights_mb)
        self.copies[model].append(engine)

    def held_mb(self, engine: EngineState) -> int:
        """Memory of resident models that must stay until a copy is ready."""
        if engine.resident.keys() <= engine.want.keys():
            return 0
        return sum(
            mb
            for model, mb in engine.resident.items()
            if model not in engine.want and self.is_last(engine, model)
        )

    def is_last(self, engine: EngineState, model: str) -> bool:
        """Tells whether no wanted copy of a used model is resident yet."""
        copies = self.copies.get(model)
        if copies is None:
            return False
        return not any(model in e.resident for e in copies if e is not engine)

    def fits(self, engine: EngineState, model: str) -> bool:
        """Tells whether a model fits beside all that must stay."""
        needed_mb = self.models[model].weights_mb
        if model in engine.want or needed_mb > engine.free_mb:
            return False
        return needed_mb <= engine.free_mb - self.held_mb(engine)

    def load_cost(self, engine: EngineState, model: str) -> float:
        """Cost of loading a model, with the bytes over the region link."""
        gigabytes = self.models[model].weights_mb / 1000.0
        far = self.weights.link_gb * gigabytes if engine.far else 0.0
        return self.weights.load + far

    def transfer_s(self, engine: EngineState, model: str) -> float:
        """Seconds that a model's weights need on the region link, if any."""
        megabits = self.models[model].weights_mb * 8
        return megabits / self.listed.region_link_mbit_per_s * engine.far

    def add(
        self, engine: EngineState, model: str, reason: str, benefit: float = 0.0
    ) -> None:
        """Wants a further copy."""
        cost = self.load_cost(engine, model)
        self._keep(engine, model)
        name = engine.target.name
        self.moves.append(Move(name, model, True, reason, cost, benefit))

    def drop(self, engine: EngineState, model: str, reason: str) -> None:
        """No longer wants a copy."""
        engine.remove(model)
        self.copies[model].remove(engine)
        name = engine.target.name
        self.moves.append(Move(name, model, False, reason))

    def candidates(
        self, model: str, engines: list[EngineState] | None = None
    ) -> Iterator[EngineState]:
        """Engines that may run a model and have room for it.

        Args:
          model: Model name.
          engines: Engines of the model's pool to look at; all by default.
        """
        if engines is None:
            engines = self.pools.get(self.models[model].pool, [])
        needed_mb = self.models[model].weights_mb
        for engine in engines:
            if needed_mb <= engine.free_mb and self.fits(engine, model):
                yield engine

    def assign(self) -> None:
        """Spreads each model's tokens over its copies.

        Models with fewer copies come first, the others fill what is left.
        """
        for engine in self.engines:
            engine.load = 0.0
        self._parts.clear()
        for model in sorted(self.used, key=lambda m: len(self.copies[m])):
            self.spread(model)

    def spread(self, model: str) -> None:
        """Spreads one model's tokens over its copies anew."""
        for engine, part in self._parts.pop(model, ()):
            engine.load -= part
        copies, tokens = self.copies[model], self.tokens[model]
        if not copies or not tokens:
            return
        room = [max(1e-6, GROW_ABOVE * e.rate - e.load) for e in copies]
        factor = tokens / sum(room)
        parts = [(e, factor * r) for e, r in zip(copies, room, strict=True)]
        for engine, part in parts:
            engine.load += part
        self._parts[model] = parts

    def recover(self) -> None | errors.Failure:
        """Places each used model that has no copy; the largest first."""
        lost = [m for m in self.used if not self.copies[m]]
        unknown = [m for m in lost if m not in self.models]
        if unknown:
            reason = errors.Reason.UNKNOWN_MODEL
            return _refuse(reason, f"not in the inventory: {unknown[0]}")
        lost.sort(key=lambda m: (-self.models[m].weights_mb, m))
        ordered = {
            name: sorted(pool, key=lambda e: (not e.want, e.far, e.target.name))
            for name, pool in self.pools.items()
        }
        for model in lost:
            engines = ordered.get(self.models[model].pool, [])
            fitting = self.candidates(model, engines)
            found = list(itertools.islice(fitting, MOST_COMPARED))
            found = found or self._after_drops(model)
            if not found:
                mb = self.models[model].weights_mb
                return _refuse(
                    errors.Reason.NO_MEMORY,
                    f"{model} needs {mb} MB and no engine of its pool has "
                    "room beside the last copies of models in use",
                )
            best = min(found, key=lambda e: self.rank(e, model))
            self.add(best, model, "no copy of a model in use")
            best.load += self.tokens[model]
        return None

    def rank(self, engine: EngineState, model: str):
        """Prefers engines with rate left, then used ones, then near ones."""
        share = (engine.load + self.tokens[model]) / engine.rate
        over = max(0.0, share - GROW_ABOVE)
        cost = self.load_cost(engine, model)
        return over, not engine.want, cost, share, engine.target.name

    def _after_drops(self, model: str) -> list[EngineState]:
        """Drops redundant copies on one engine to make room for a model."""
        for engine in self.pools.get(self.models[model].pool, []):
            redundant = [
                m
                for m in sorted(engine.want, key=lambda m: (self.tokens[m], m))
                if not self.is_last(engine, m) and len(self.copies[m]) > 1
            ]
            room_mb = sum(engine.want[m] for m in redundant)
            free_mb = engine.free_mb - self.held_mb(engine)
            if free_mb + room_mb < self.models[model].weights_mb:
                continue
            for other in redundant:
                if self.fits(engine, model):
                    break
                self.drop(engine, other, f"makes room for {model}")
            return [engine]
        return []

    def placement(self) -> Placement:
        """Returns the wanted state."""
        plans = [
            messages.TargetPlan(e.target.name, sorted(e.want), MIXED_ROLE)
            for e in self.engines
        ]
        return Placement(plans, self.moves, self.shrunk_at)


def _refuse(reason: errors.Reason, detail: str) -> errors.Failure:
    step = errors.Step.CONFIGURE
    return errors.Failure(reason, step, "placement", detail=detail)
