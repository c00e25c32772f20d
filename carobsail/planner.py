"""Plans the engines of one data centre and paces their model loads."""

import dataclasses
from collections.abc import Mapping

import msgspec

from carobsail import (
    demand,
    errors,
    homes,
    inventory,
    messages,
    placement,
    planning,
    policies,
    weightstore,
)

# A round weighs demand that changes over minutes.
ROUND_INTERVAL_S = 3.0
# An engine that does not answer is planned around after this time: most
# restarts are shorter, and its models come back with it.
UNHEALTHY_S = 10.0
# Models that are not at home here are planned above this demand.
VISITING_TOKENS_PER_S = 5.0
# A second copy keeps a model reachable while an engine restarts.
DEFAULT_COPIES = 2


@dataclasses.dataclass(slots=True)
class Situation:
    """What the leader knows of its data centre.

    Attributes:
      listed: The whole inventory.
      progress: Latest progress of each engine.
      policies: Policies of all client accounts.
      demand: Requests and tokens a second of each model, as reported last.
    """

    listed: inventory.Inventory
    progress: Mapping[str, messages.TargetProgress]
    policies: list[policies.Policy]
    demand: Mapping[str, tuple[float, float]]


class DataCentrePlanner:
    """Plans of one data centre's engines.

    Attributes:
      refusal: Why the last round could not place all models, if so.
      moves: Moves of the last round, with their reasons.
    """

    __slots__ = (
        "_averages",
        "_copies",
        "_data_centre",
        "_loading",
        "_permits",
        "_placement",
        "_planned_at",
        "_policy",
        "_unhealthy_since",
        "_weights",
        "_wanted",
        "moves",
        "refusal",
    )

    def __init__(
        self,
        data_centre: str,
        weights: planning.Weights,
        policy: str = "demand_aware",
        copies: int = DEFAULT_COPIES,
    ) -> None:
        """Creates a planner without a plan.

        Args:
          data_centre: Data centre whose engines it plans.
          weights: Weights of attainment and moves.
          policy: Name of the placement policy.
          copies: Copies of each model in use, where memory allows.
        """
        self.refusal: errors.Failure | None = None
        self.moves: list[planning.Move] = []
        self._data_centre = data_centre
        self._weights = weights
        self._policy = policy
        self._copies = copies
        self._averages: dict[str, demand.DemandAverage] = {}
        self._placement: planning.Placement | None = None
        self._planned_at = float("-inf")
        self._wanted: dict[str, list[str]] = {}
        self._unhealthy_since: dict[str, float] = {}
        self._loading: set[tuple[str, str]] = set()
        self._permits: weightstore.LoadPermits | None = None

    def use_share(self, book: weightstore.ShareBook) -> None:
        """Sets the data centre's share of the weight store."""
        self._permits = weightstore.LoadPermits(book)

    @property
    def loads_wanted(self) -> int:
        """Loads that this data centre would like to have under way."""
        return sum(len(models) for models in self._wanted.values())

    @property
    def loads_in_flight(self) -> int:
        """Loads permitted and not confirmed."""
        return len(self._loading)

    def plan(
        self, situation: Situation, now: float
    ) -> list[messages.TargetPlan]:
        """Returns the plans to send: what may be resident or load now.

        Args:
          situation: What is known of the data centre.
          now: Loop time in seconds.
        """
        if now - self._planned_at >= ROUND_INTERVAL_S:
            self._planned_at = now
            self._run_round(situation, now)
        if self._placement is None:
            return []
        return self._pace(situation, now)

    def _run_round(self, situation: Situation, now: float) -> None:
        self._observe(situation.demand, now)
        local = self._local(situation, now)
        at_home = self._start_from_homes(situation, local)
        residency = self._residency(situation)
        averages = {m: a.demand() for m, a in self._averages.items()}
        visiting = [
            model
            for model, average in averages.items()
            if model not in at_home
            and average.tokens_per_s >= VISITING_TOKENS_PER_S
        ]
        visiting.sort(key=lambda m: -averages[m].tokens_per_s)
        while True:
            found = placement.plan(
                local,
                residency,
                averages,
                at_home | set(visiting),
                self._weights,
                self._placement,
                now,
                self._policy,
            )
            if isinstance(found, planning.Placement):
                self._placement = found
                self.moves = found.moves
                self.refusal = None
                return
            if not visiting:
                # The last plan that fits stays in force.
                self.refusal = found
                return
            visiting = visiting[: len(visiting) // 2]

    def _observe(
        self, reported: Mapping[str, tuple[float, float]], now: float
    ) -> None:
        for model, (requests_per_s, tokens_per_s) in reported.items():
            average = self._averages.setdefault(model, demand.DemandAverage())
            average.observe(requests_per_s, tokens_per_s, now)
        for model, average in self._averages.items():
            if model not in reported:
                average.observe(0.0, 0.0, now)

    def _local(self, situation: Situation, now: float) -> inventory.Inventory:
        """Returns the inventory with the engines to plan for."""
        engines = []
        for target in situation.listed.in_data_centre(self._data_centre):
            entry = situation.progress.get(target.name)
            if entry is not None and not entry.healthy:
                since = self._unhealthy_since.setdefault(target.name, now)
                if now - since >= UNHEALTHY_S:
                    continue
            else:
                self._unhealthy_since.pop(target.name, None)
            engines.append(target)
        return msgspec.structs.replace(situation.listed, targets=engines)

    def _start_from_homes(
        self, situation: Situation, local: inventory.Inventory
    ) -> set[str]:
        """Returns the models at home here; their engines start the plan."""
        copies = homes.count_copies(situation.policies, self._copies)
        assigned = homes.assign_homes(situation.listed, copies)
        by_engine: dict[str, list[str]] = {}
        at_home = set()
        for model, engines in assigned.items():
            for target in engines:
                if target.data_centre == self._data_centre:
                    at_home.add(model)
                    by_engine.setdefault(target.name, []).append(model)
        if self._placement is None:
            self._placement = planning.Placement(
                [
                    messages.TargetPlan(
                        target.name,
                        sorted(
                            {
                                *by_engine.get(target.name, ()),
                                *self._resident(situation, target.name),
                            }
                        ),
                        planning.MIXED_ROLE,
                    )
                    for target in local.targets
                    if target.kind is inventory.Kind.ENGINE
                ],
                [],
            )
        return at_home

    def _resident(self, situation: Situation, target: str) -> list[str]:
        entry = situation.progress.get(target)
        return entry.resident if entry else []

    def _residency(self, situation: Situation) -> dict[str, dict[str, int]]:
        sizes = {
            planning.model_id(m): m.weights_mb for m in situation.listed.models
        }
        return {
            name: {model: sizes.get(model, 0) for model in entry.resident}
            for name, entry in situation.progress.items()
        }

    def _pace(
        self, situation: Situation, now: float
    ) -> list[messages.TargetPlan]:
        """Lets models load as the weight store's share allows."""
        assert self._placement is not None
        resident_anywhere = {
            model
            for entry in situation.progress.values()
            for model in entry.resident
        }
        plans = []
        self._wanted = {}
        still_loading = set()
        for plan in self._placement.plans:
            entry = situation.progress.get(plan.target)
            if entry is None:
                continue
            models = []
            for model in plan.models:
                key = (plan.target, model)
                if model in entry.resident:
                    models.append(model)
                    continue
                recovery = model not in resident_anywhere
                if key in self._loading or self._permit(recovery, now):
                    still_loading.add(key)
                    models.append(model)
                self._wanted.setdefault(plan.target, []).append(model)
            plans.append(msgspec.structs.replace(plan, models=models))
        for _ in self._loading - still_loading:
            if self._permits is not None:
                self._permits.release()
        self._loading = still_loading
        return plans

    def _permit(self, recovery: bool, now: float) -> bool:
        return self._permits is not None and self._permits.try_acquire(
            now, recovery
        )

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        return {
            "refusal": str(self.refusal) if self.refusal else "",
            "loads_wanted": self.loads_wanted,
            "loads_in_flight": self.loads_in_flight,
            "plans": {
                p.target: p.models
                for p in (self._placement.plans if self._placement else [])
            },
            "moves": [dataclasses.asdict(move) for move in self.moves],
        }
