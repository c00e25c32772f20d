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
    orders,
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
# While a model in use has no copy in any data centre, other loads wait this
# long: the weight store starts about one load a second over all of them.
HOLD_BACK_S = 60.0
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
      elsewhere: Models resident in other data centres.
    """

    listed: inventory.Inventory
    progress: Mapping[str, messages.TargetProgress]
    policies: list[policies.Policy]
    demand: Mapping[str, tuple[float, float]]
    elsewhere: frozenset[str] = frozenset()


class DataCentrePlanner:
    """Plans of one data centre's engines.

    Attributes:
      refusal: Why the last round could not place all models, if so.
      moves: Moves of the last round, with their reasons.
    """

    __slots__ = (
        "_averages",
        "_copies",
        "_first_homes",
        "_data_centre",
        "_loading",
        "_permits",
        "_placement",
        "_planned_at",
        "_policy",
        "_unhealthy_since",
        "_unreachable_since",
        "_used",
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
        self._first_homes: set[str] = set()
        self._used: set[str] = set()
        self._unreachable_since: float | None = None
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
        """Loads that this data centre would like to have under way.

        An owner loads one model at a time into each engine.
        """
        return len(self._wanted)

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
        if not situation.policies:
            # Without any client account nothing is known to be unused.
            return []
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
        local = self._with_old_versions(situation, local)
        names = {planning.model_id(m): m.name for m in local.models}
        averages = {
            model: self._averages[name].demand()
            for model, name in names.items()
            if name in self._averages
        }
        old = names.keys() - {
            planning.model_id(m) for m in situation.listed.models
        }
        at_home |= old
        visiting = [
            model
            for model, average in averages.items()
            if model not in at_home
            and average.tokens_per_s >= VISITING_TOKENS_PER_S
        ]
        visiting.sort(key=lambda m: -averages[m].tokens_per_s)
        inputs = (local, residency, averages)
        refused = self._place(*inputs, at_home | set(visiting), now)
        while refused and visiting:
            visiting = visiting[: len(visiting) // 2]
            refused = self._place(*inputs, at_home | set(visiting), now)
        self.refusal = refused
        if refused:
            self._place_some(*inputs, at_home, now)

    def _place(
        self,
        local: inventory.Inventory,
        residency: Mapping[str, Mapping[str, int]],
        averages: Mapping[str, demand.Demand],
        models: set[str],
        now: float,
    ) -> errors.Failure | None:
        """Adopts a placement of the models, or returns why there is none."""
        found = placement.plan(
            local,
            residency,
            averages,
            models,
            self._weights,
            self._placement,
            now,
            self._policy,
        )
        if isinstance(found, errors.Failure):
            return found
        self._placement = found
        self.moves = found.moves
        return None

    def _place_some(
        self,
        local: inventory.Inventory,
        residency: Mapping[str, Mapping[str, int]],
        averages: Mapping[str, demand.Demand],
        models: set[str],
        now: float,
    ) -> None:
        """Places what fits when not all lost models do, the busiest first.

        Without it, one model too many would keep all lost ones away. The
        last plan that fits stays in force if nothing can be added.
        """
        resident = {model for held in residency.values() for model in held}
        kept = models & resident
        lost = sorted(
            models - kept,
            key=lambda m: (
                -averages.get(m, planning.NO_DEMAND).tokens_per_s,
                m,
            ),
        )
        while lost:
            lost = lost[: len(lost) // 2]
            if self._place(local, residency, averages, kept | set(lost), now):
                continue
            return

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
        self._used = set(copies)
        assigned = homes.assign_homes(situation.listed, copies)
        by_engine: dict[str, list[str]] = {}
        at_home = set()
        self._first_homes = {
            model
            for model, engines in assigned.items()
            if engines and engines[0].data_centre == self._data_centre
        }
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

    def _with_old_versions(
        self, situation: Situation, local: inventory.Inventory
    ) -> inventory.Inventory:
        """Adds resident versions whose successors are not resident yet."""
        resident = {
            model
            for entry in situation.progress.values()
            for model in entry.resident
        }
        present = {m.name: m for m in local.models}
        old = []
        for model in sorted(resident):
            name, version = orders.split_version(model)
            listed = present.get(name)
            if listed is None or planning.model_id(listed) in resident:
                continue
            old.append(msgspec.structs.replace(listed, version=version))
        return msgspec.structs.replace(local, models=[*local.models, *old])

    def _resident(self, situation: Situation, target: str) -> list[str]:
        entry = situation.progress.get(target)
        return entry.resident if entry else []

    def _residency(self, situation: Situation) -> dict[str, dict[str, int]]:
        sizes = {m.name: m.weights_mb for m in situation.listed.models}
        return {
            name: {
                model: sizes.get(orders.split_version(model)[0], 0)
                for model in entry.resident
            }
            for name, entry in situation.progress.items()
        }

    def _pace(
        self, situation: Situation, now: float
    ) -> list[messages.TargetPlan]:
        """Lets models load as the weight store's share allows."""
        assert self._placement is not None
        resident = self._reachable(situation)
        plans = []
        self._wanted = {}
        loading = set()
        candidates = []
        for plan in self._placement.plans:
            entry = situation.progress.get(plan.target)
            if entry is None:
                continue
            missing = [m for m in plan.models if m not in entry.resident]
            if missing:
                self._wanted[plan.target] = missing
            under_way = {
                (plan.target, m)
                for m in missing
                if (plan.target, m) in self._loading
            }
            loading |= under_way
            # An owner loads one model at a time, so a second permit of an
            # engine would only be kept from the others.
            if not under_way and entry.healthy:
                candidates += [(plan.target, m) for m in missing]
            plans.append(plan)
        self._give_back(len(self._loading - loading))
        self._loading = loading
        candidates.sort(
            key=lambda c: (
                orders.split_version(c[1])[0] in resident,
                c[1],
                c[0],
            )
        )
        unreachable = self._used - resident
        if not unreachable:
            self._unreachable_since = None
        elif self._unreachable_since is None:
            self._unreachable_since = now
        self._start_loads(candidates, resident, now)
        return [self._allowed(plan, situation) for plan in plans]

    def _reachable(self, situation: Situation) -> set[str]:
        """Returns the names of models with a copy of any version."""
        found = set(situation.elsewhere)
        for entry in situation.progress.values():
            found.update(orders.split_version(m)[0] for m in entry.resident)
        return found

    def _start_loads(
        self,
        candidates: list[tuple[str, str]],
        resident: set[str],
        now: float,
    ) -> None:
        since = self._unreachable_since
        hold_back = since is not None and now - since < HOLD_BACK_S
        busy = set()
        for target, model in candidates:
            # Two data centres may be home of a model that neither has yet:
            # the first home recovers it.
            lost = orders.split_version(model)[0] not in resident
            recovery = lost and model in self._first_homes
            if hold_back and not recovery:
                continue
            if target in busy or not self._permit(recovery, now):
                continue
            busy.add(target)
            self._loading.add((target, model))

    def _allowed(
        self, plan: messages.TargetPlan, situation: Situation
    ) -> messages.TargetPlan:
        """Returns the plan with the models that are resident or may load."""
        entry = situation.progress[plan.target]
        models = [
            model
            for model in plan.models
            if model in entry.resident or (plan.target, model) in self._loading
        ]
        return msgspec.structs.replace(plan, models=models)

    def _give_back(self, permits: int) -> None:
        for _ in range(permits):
            if self._permits is not None:
                self._permits.release()

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
