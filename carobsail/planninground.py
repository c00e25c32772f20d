"""State of one round of placement: its input and the wanted state."""

import dataclasses
import itertools
from collections.abc import Collection, Iterator, Mapping

from carobsail import errors, inventory, messages, orders
from carobsail.demand import Demand

# Utilisation of an engine's token rate above which its queue grows.
OVERLOAD_UTILISATION = 0.6
# Demand is forecast for the time until a load takes effect, including the wait
# in the load queue.
FORECAST_AHEAD_S = 60.0
# Engines compared for one copy; bounds the computing time of a round.
MAX_COMPARED_ENGINES = 16
MIXED_ROLE = "mixed"
NO_DEMAND = Demand(0.0, 0.0)


@dataclasses.dataclass(slots=True, frozen=True)
class Weights:
    """Weights of late responses, loads and engines in use.

    Attributes:
      late_response_cost: Cost of one late response.
      load_cost: Cost of one model load.
      cost_per_link_gb: Cost of one gigabyte over the link between regions.
      engine_release_value: Value of releasing an engine; an engine is not
        released if the loads needed for it cost more.
      horizon_s: Seconds within which a load must pay for itself, including
        its transfer time.
    """

    late_response_cost: float = 1.0
    load_cost: float = 10.0
    cost_per_link_gb: float = 2.0
    engine_release_value: float = 100.0
    horizon_s: float = 1800.0


@dataclasses.dataclass(slots=True, frozen=True)
class Move:
    """One change of the wanted state and its explanation.

    Attributes:
      target: The engine.
      model: The model with its version.
      load: Whether the model is loaded; False for an unload.
      reason: Explanation for operators.
      cost: Cost of the load in the units of `Weights`.
      benefit: Expected saving in the same units.
    """

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
      moves: Changes relative to the previous wanted state.
      last_release_at: Time of the last release of an engine, in seconds of the
        event loop's clock.
    """

    plans: list[messages.TargetPlan]
    moves: list[Move]
    last_release_at: float = float("-inf")


def model_id(model: inventory.Model) -> str:
    """Returns the name of a model's version in plans and reports."""
    return orders.join_version(model.name, model.version)


class EngineState:
    """An engine in one planning round.

    Attributes:
      target: The engine in the inventory.
      resident: Models confirmed to be resident, with their memory in MB.
      in_other_region: Whether it is in another region than the weight store.
      decode_tokens_per_s: Output tokens that it can decode per second.
      wanted_mb: Models that it should hold, with their memory in MB.
      assigned_tokens_per_s: Demand assigned to it, in output tokens per second.
      free_mb: Memory left for further models.
    """

    __slots__ = (
        "in_other_region",
        "free_mb",
        "assigned_tokens_per_s",
        "decode_tokens_per_s",
        "resident",
        "target",
        "wanted_mb",
    )

    def __init__(
        self,
        target: inventory.Target,
        resident: Mapping[str, int],
        in_other_region: bool,
    ) -> None:
        self.target = target
        self.resident = resident
        self.in_other_region = in_other_region
        self.decode_tokens_per_s = target.decode_tokens_per_s
        self.wanted_mb: dict[str, int] = {}
        self.assigned_tokens_per_s = 0.0
        self.free_mb = (
            target.capacity_mb - target.adapter_pool_mb - target.cache_floor_mb
        )

    def add(self, model: str, mb: int) -> None:
        """Adds a model to the wanted state."""
        self.wanted_mb[model] = mb
        self.free_mb -= mb

    def remove(self, model: str) -> None:
        """Removes a model from the wanted state."""
        self.free_mb += self.wanted_mb.pop(model)

    @property
    def utilisation(self) -> float:
        """Assigned demand as a share of the engine's token rate."""
        return self.assigned_tokens_per_s / self.decode_tokens_per_s


class PlanningRound:
    """One planning round: its input and the wanted state being built.

    Attributes:
      models: Models of the inventory by name and version.
      models_in_use: Models that client accounts use, sorted.
      engines: Live engines, sorted by name.
      pools: Engines of each pool.
      copies: Engines that should hold each used model.
      moves: Changes made so far.
      last_release_at: Time of the last release of an engine.
      tokens: Forecast demand for each used model, in output tokens per second.
    """

    def __init__(
        self,
        platform_inventory: inventory.Inventory,
        residency: Mapping[str, Mapping[str, int]],
        demand: Mapping[str, Demand],
        used_models: Collection[str],
        weights: Weights,
        previous: Placement | None,
        now: float,
    ) -> None:
        self.platform_inventory, self.demand = platform_inventory, demand
        self.weights, self.previous, self.now = weights, previous, now
        self.models = {model_id(m): m for m in platform_inventory.models}
        self.models_in_use = sorted(used_models)
        store = platform_inventory.weight_store.region
        self.engines = [
            EngineState(
                target,
                residency.get(target.name, {}),
                platform_inventory.regions.get(target.data_centre) != store,
            )
            for target in sorted(
                platform_inventory.targets, key=lambda t: t.name
            )
            if target.kind is inventory.Kind.ENGINE
            and target.state is inventory.State.LIVE
        ]
        self.pools: dict[str, list[EngineState]] = {}
        for engine in self.engines:
            self.pools.setdefault(engine.target.pool, []).append(engine)
        self.copies: dict[str, list[EngineState]] = {
            m: [] for m in self.models_in_use
        }
        self.moves: list[Move] = []
        self._assigned: dict[str, list[tuple[EngineState, float]]] = {}
        self.last_release_at = (
            previous.last_release_at if previous else float("-inf")
        )
        self.tokens = {
            model: demand.get(model, NO_DEMAND).forecast_tokens_per_s(
                FORECAST_AHEAD_S
            )
            for model in self.models_in_use
        }
        self._init_wanted()

    def _init_wanted(self) -> None:
        """Starts from the previous wanted state, or from the residency.

        A used model that the previous plan places nowhere is kept on one
        engine on which it is resident.
        """
        plans = self.previous.plans if self.previous else []
        wanted = {plan.target: plan.models for plan in plans}
        for engine in self.engines:
            start = wanted.get(engine.target.name, engine.resident)
            for model in sorted(start):
                if model in self.copies and model in self.models:
                    self._place(engine, model)
        for engine in self.engines:
            for model in sorted(engine.resident):
                if model in self.models and not self.copies.get(model, [0]):
                    self._place(engine, model)

    def _place(self, engine: EngineState, model: str) -> None:
        engine.add(model, self.models[model].weights_mb)
        self.copies[model].append(engine)

    def retained_mb(self, engine: EngineState) -> int:
        """Returns the MB of models that stay until another copy is resident."""
        if engine.resident.keys() <= engine.wanted_mb.keys():
            return 0
        return sum(
            mb
            for model, mb in engine.resident.items()
            if model not in engine.wanted_mb
            and self.is_last_copy(engine, model)
        )

    def is_last_copy(self, engine: EngineState, model: str) -> bool:
        """Tells whether no other wanted copy of the used model is resident."""
        copies = self.copies.get(model)
        if copies is None:
            return False
        return not any(model in e.resident for e in copies if e is not engine)

    def fits(self, engine: EngineState, model: str) -> bool:
        """Tells whether a model fits beside the models that have to stay."""
        needed_mb = self.models[model].weights_mb
        if model in engine.wanted_mb or needed_mb > engine.free_mb:
            return False
        return needed_mb <= engine.free_mb - self.retained_mb(engine)

    def load_cost(self, engine: EngineState, model: str) -> float:
        """Returns the cost of a load, including traffic between regions."""
        gigabytes = self.models[model].weights_mb / 1000.0
        link = (
            self.weights.cost_per_link_gb * gigabytes
            if engine.in_other_region
            else 0.0
        )
        return self.weights.load_cost + link

    def transfer_s(self, engine: EngineState, model: str) -> float:
        """Returns the seconds to transfer a model between regions, or 0."""
        megabits = self.models[model].weights_mb * 8
        return (
            megabits
            / self.platform_inventory.region_link_mbit_per_s
            * engine.in_other_region
        )

    def add(
        self, engine: EngineState, model: str, reason: str, benefit: float = 0.0
    ) -> None:
        """Adds a copy of a model to the wanted state."""
        cost = self.load_cost(engine, model)
        self._place(engine, model)
        name = engine.target.name
        self.moves.append(Move(name, model, True, reason, cost, benefit))

    def drop(self, engine: EngineState, model: str, reason: str) -> None:
        """Removes a copy of a model from the wanted state."""
        engine.remove(model)
        self.copies[model].remove(engine)
        name = engine.target.name
        self.moves.append(Move(name, model, False, reason))

    def candidates(
        self, model: str, engines: list[EngineState] | None = None
    ) -> Iterator[EngineState]:
        """Yields the engines that may run a model and have room for it.

        Args:
          model: Model with its version.
          engines: Engines of the model's pool to consider; all by default.
        """
        if engines is None:
            engines = self.pools.get(self.models[model].pool, [])
        needed_mb = self.models[model].weights_mb
        for engine in engines:
            if needed_mb <= engine.free_mb and self.fits(engine, model):
                yield engine

    def assign_demand(self) -> None:
        """Distributes the demand for each model over its copies.

        Models with fewer copies come first; the others use the capacity that
        is left.
        """
        for engine in self.engines:
            engine.assigned_tokens_per_s = 0.0
        self._assigned.clear()
        for model in sorted(
            self.models_in_use, key=lambda m: len(self.copies[m])
        ):
            self.assign_model(model)

    def assign_model(self, model: str) -> None:
        """Distributes the demand for one model over its copies again.

        Each engine gets a part in proportion to its remaining token rate.
        """
        for engine, part in self._assigned.pop(model, ()):
            engine.assigned_tokens_per_s -= part
        copies, tokens = self.copies[model], self.tokens[model]
        if not copies or not tokens:
            return
        room = [
            max(
                1e-6,
                OVERLOAD_UTILISATION * e.decode_tokens_per_s
                - e.assigned_tokens_per_s,
            )
            for e in copies
        ]
        factor = tokens / sum(room)
        parts = [(e, factor * r) for e, r in zip(copies, room, strict=True)]
        for engine, part in parts:
            engine.assigned_tokens_per_s += part
        self._assigned[model] = parts

    def place_missing(self) -> None | errors.Failure:
        """Places each used model that has no copy, the largest first.

        Returns:
          None, or a failure for the first model that cannot be placed.
        """
        missing = [m for m in self.models_in_use if not self.copies[m]]
        unknown = [m for m in missing if m not in self.models]
        if unknown:
            reason = errors.Reason.UNKNOWN_MODEL
            return _refuse(reason, f"not in the inventory: {unknown[0]}")
        missing.sort(key=lambda m: (-self.models[m].weights_mb, m))
        ordered = {
            name: sorted(
                pool,
                key=lambda e: (
                    not e.wanted_mb,
                    e.in_other_region,
                    e.target.name,
                ),
            )
            for name, pool in self.pools.items()
        }
        for model in missing:
            engines = ordered.get(self.models[model].pool, [])
            fitting = self.candidates(model, engines)
            found = list(itertools.islice(fitting, MAX_COMPARED_ENGINES))
            found = found or self._drop_redundant_copies(model)
            if not found:
                mb = self.models[model].weights_mb
                return _refuse(
                    errors.Reason.NO_MEMORY,
                    f"{model} needs {mb} MB and no engine of its pool has "
                    "room beside the last copies of models in use",
                )
            best = min(found, key=lambda e: self.rank(e, model))
            self.add(best, model, "no copy of a model in use")
            best.assigned_tokens_per_s += self.tokens[model]
        return None

    def rank(self, engine: EngineState, model: str):
        """Returns the sort key of an engine for a further copy of a model.

        Engines with enough token rate left come first, then those already in
        use, then those that are cheaper to load.
        """
        share = (
            engine.assigned_tokens_per_s + self.tokens[model]
        ) / engine.decode_tokens_per_s
        over = max(0.0, share - OVERLOAD_UTILISATION)
        cost = self.load_cost(engine, model)
        return over, not engine.wanted_mb, cost, share, engine.target.name

    def _drop_redundant_copies(self, model: str) -> list[EngineState]:
        """Drops redundant copies on one engine to make room for a model.

        Returns:
          That engine, or an empty list if no engine can make enough room.
        """
        for engine in self.pools.get(self.models[model].pool, []):
            redundant = [
                m
                for m in sorted(
                    engine.wanted_mb, key=lambda m: (self.tokens[m], m)
                )
                if not self.is_last_copy(engine, m) and len(self.copies[m]) > 1
            ]
            room_mb = sum(engine.wanted_mb[m] for m in redundant)
            free_mb = engine.free_mb - self.retained_mb(engine)
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
            messages.TargetPlan(e.target.name, sorted(e.wanted_mb), MIXED_ROLE)
            for e in self.engines
        ]
        return Placement(plans, self.moves, self.last_release_at)


def _refuse(reason: errors.Reason, detail: str) -> errors.Failure:
    step = errors.Step.CONFIGURE
    return errors.Failure(reason, step, "placement", detail=detail)
