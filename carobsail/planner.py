"""Plans the models of one data centre's engines and rate-limits their loads."""

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
    planninground,
    policies,
    weightstore,
)

# Demand changes over minutes, so placement need not run more often.
ROUND_INTERVAL_S = 3.0
# An unhealthy engine is left out of the plan only after this time: most
# restarts are shorter, and its models come back with it.
UNHEALTHY_GRACE_S = 10.0
# Demand from which models are placed here whose home engines are all in other
# data centres.
MIN_NON_HOME_TOKENS_PER_S = 5.0
# While a model in use has no copy in any data centre, other loads are held back
# for up to this time: the weight store starts only about one load a second over
# all data centres.
RECOVERY_ONLY_S = 60.0
# A second copy keeps a model available while an engine restarts.
DEFAULT_COPIES = 2


@dataclasses.dataclass(slots=True)
class PlanningInput:
    """What the leader of a data centre knows when it plans.

    Attributes:
      platform_inventory: The whole inventory.
      progress: Latest progress report of each engine.
      policies: Policies of all client accounts.
      demand: Requests and tokens per second of each model, as last reported.
      elsewhere: Models resident in other data centres.
    """

    platform_inventory: inventory.Inventory
    progress: Mapping[str, messages.TargetProgress]
    policies: list[policies.Policy]
    demand: Mapping[str, tuple[float, float]]
    elsewhere: frozenset[str] = frozenset()


class DataCentrePlanner:
    """Plans which models each engine of one data centre holds and loads.

    Attributes:
      refusal: Why the last round could not place all models; None if it did.
      moves: Changes made by the last round, with their reasons.
    """

    __slots__ = (
        "_averages",
        "_copies",
        "_data_centre",
        "_first_homes",
        "_loading",
        "_missing",
        "_permits",
        "_placement",
        "_planned_at",
        "_policy",
        "_unavailable_since",
        "_unhealthy_since",
        "_used",
        "_weights",
        "moves",
        "refusal",
    )

    def __init__(
        self,
        data_centre: str,
        weights: planninground.Weights,
        policy: str = "demand_aware",
        copies: int = DEFAULT_COPIES,
    ) -> None:
        """Creates a planner without a plan.

        Args:
          data_centre: Data centre whose engines it plans.
          weights: Weights of late responses, loads and engines in use.
          policy: Name of the placement policy.
          copies: Copies of each model in use, if memory allows.
        """
        self.refusal: errors.Failure | None = None
        self.moves: list[planninground.Move] = []
        self._data_centre = data_centre
        self._weights = weights
        self._policy = policy
        self._copies = copies
        self._first_homes: set[str] = set()
        self._used: set[str] = set()
        self._unavailable_since: float | None = None
        self._averages: dict[str, demand.DemandAverage] = {}
        self._placement: planninground.Placement | None = None
        self._planned_at = float("-inf")
        self._missing: dict[str, list[str]] = {}
        self._unhealthy_since: dict[str, float] = {}
        self._loading: set[tuple[str, str]] = set()
        self._permits: weightstore.LoadPermits | None = None

    def set_share_allocator(
        self, allocator: weightstore.ShareAllocator
    ) -> None:
        """Sets the allocator of the data centre's share of the weight store."""
        self._permits = weightstore.LoadPermits(allocator)

    @property
    def loads_wanted(self) -> int:
        """Number of loads that this data centre would run concurrently.

        This is the number of engines with missing models, because an owner
        loads one model at a time into each engine.
        """
        return len(self._missing)

    @property
    def loads_in_flight(self) -> int:
        """Number of loads that were permitted and are not yet confirmed."""
        return len(self._loading)

    def plan(
        self, planning_input: PlanningInput, now: float
    ) -> list[messages.TargetPlan]:
        """Returns the plans to send: the models to keep or load now.

        Args:
          planning_input: What is known about the data centre.
          now: Time of the event loop's clock in seconds.
        """
        if not planning_input.policies:
            # Without client accounts every model would seem to be unused.
            return []
        if now - self._planned_at >= ROUND_INTERVAL_S:
            self._planned_at = now
            self._run_round(planning_input, now)
        if self._placement is None:
            return []
        return self._pace_loads(planning_input, now)

    def _run_round(self, planning_input: PlanningInput, now: float) -> None:
        self._observe_demand(planning_input.demand, now)
        local = self._local_inventory(planning_input, now)
        at_home = self._find_home_models(planning_input, local)
        residency = self._residency(planning_input)
        local = self._with_old_versions(planning_input, local)
        names = {planninground.model_id(m): m.name for m in local.models}
        averages = {
            model: self._averages[name].demand()
            for model, name in names.items()
            if name in self._averages
        }
        old = names.keys() - {
            planninground.model_id(m)
            for m in planning_input.platform_inventory.models
        }
        at_home |= old
        non_home = [
            model
            for model, average in averages.items()
            if model not in at_home
            and average.tokens_per_s >= MIN_NON_HOME_TOKENS_PER_S
        ]
        non_home.sort(key=lambda m: -averages[m].tokens_per_s)
        inputs = (local, residency, averages)
        refused = self._place(*inputs, at_home | set(non_home), now)
        while refused and non_home:
            non_home = non_home[: len(non_home) // 2]
            refused = self._place(*inputs, at_home | set(non_home), now)
        self.refusal = refused
        if refused:
            self._place_busiest(*inputs, at_home, now)

    def _place(
        self,
        local: inventory.Inventory,
        residency: Mapping[str, Mapping[str, int]],
        averages: Mapping[str, demand.Demand],
        models: set[str],
        now: float,
    ) -> errors.Failure | None:
        """Adopts a placement of the models, or returns why there is none."""
        result = placement.plan(
            local,
            residency,
            averages,
            models,
            self._weights,
            self._placement,
            now,
            self._policy,
        )
        if isinstance(result, errors.Failure):
            return result
        self._placement = result
        self.moves = result.moves
        return None

    def _place_busiest(
        self,
        local: inventory.Inventory,
        residency: Mapping[str, Mapping[str, int]],
        averages: Mapping[str, demand.Demand],
        models: set[str],
        now: float,
    ) -> None:
        """Places some of the lost models if not all fit, the busiest first.

        Lost models are in use but not resident on any engine here. Without
        this, one model too many would keep all of them from being placed. The
        last placement that fits stays in force if none can be added.
        """
        resident = {model for held in residency.values() for model in held}
        kept = models & resident
        lost = sorted(
            models - kept,
            key=lambda m: (
                -averages.get(m, planninground.NO_DEMAND).tokens_per_s,
                m,
            ),
        )
        while lost:
            lost = lost[: len(lost) // 2]
            if self._place(local, residency, averages, kept | set(lost), now):
                continue
            return

    def _observe_demand(
        self, reported: Mapping[str, tuple[float, float]], now: float
    ) -> None:
        for model, (requests_per_s, tokens_per_s) in reported.items():
            average = self._averages.setdefault(model, demand.DemandAverage())
            average.observe(requests_per_s, tokens_per_s, now)
        for model, average in self._averages.items():
            if model not in reported:
                average.observe(0.0, 0.0, now)

    def _local_inventory(
        self, planning_input: PlanningInput, now: float
    ) -> inventory.Inventory:
        """Returns the inventory with only the engines to plan for."""
        engines = []
        for target in planning_input.platform_inventory.targets_in(
            self._data_centre
        ):
            entry = planning_input.progress.get(target.name)
            if entry is not None and not entry.healthy:
                since = self._unhealthy_since.setdefault(target.name, now)
                if now - since >= UNHEALTHY_GRACE_S:
                    continue
            else:
                self._unhealthy_since.pop(target.name, None)
            engines.append(target)
        return msgspec.structs.replace(
            planning_input.platform_inventory, targets=engines
        )

    def _find_home_models(
        self, planning_input: PlanningInput, local: inventory.Inventory
    ) -> set[str]:
        """Returns the models with a home engine in this data centre.

        Also updates the models in use and those whose first home engine is
        here. If there is no placement yet, it creates one from the home engines
        and the resident models.
        """
        copies = homes.count_copies(planning_input.policies, self._copies)
        self._used = set(copies)
        assigned = homes.assign_homes(planning_input.platform_inventory, copies)
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
            self._placement = planninground.Placement(
                [
                    messages.TargetPlan(
                        target.name,
                        sorted(
                            {
                                *by_engine.get(target.name, ()),
                                *self._resident(planning_input, target.name),
                            }
                        ),
                        planninground.MIXED_ROLE,
                    )
                    for target in local.targets
                    if target.kind is inventory.Kind.ENGINE
                ],
                [],
            )
        return at_home

    def _with_old_versions(
        self, planning_input: PlanningInput, local: inventory.Inventory
    ) -> inventory.Inventory:
        """Adds old model versions while the listed one is resident nowhere."""
        resident = {
            model
            for entry in planning_input.progress.values()
            for model in entry.resident
        }
        present = {m.name: m for m in local.models}
        old = []
        for model in sorted(resident):
            name, version = orders.split_version(model)
            listed = present.get(name)
            if listed is None or planninground.model_id(listed) in resident:
                continue
            old.append(msgspec.structs.replace(listed, version=version))
        return msgspec.structs.replace(local, models=[*local.models, *old])

    def _resident(
        self, planning_input: PlanningInput, target: str
    ) -> list[str]:
        entry = planning_input.progress.get(target)
        return entry.resident if entry else []

    def _residency(
        self, planning_input: PlanningInput
    ) -> dict[str, dict[str, int]]:
        sizes = {
            m.name: m.weights_mb
            for m in planning_input.platform_inventory.models
        }
        return {
            name: {
                model: sizes.get(orders.split_version(model)[0], 0)
                for model in entry.resident
            }
            for name, entry in planning_input.progress.items()
        }

    def _pace_loads(
        self, planning_input: PlanningInput, now: float
    ) -> list[messages.TargetPlan]:
        """Permits loads as far as the share of the weight store allows."""
        assert self._placement is not None
        resident = self._available_models(planning_input)
        plans = []
        self._missing = {}
        loading = set()
        candidates = []
        for plan in self._placement.plans:
            entry = planning_input.progress.get(plan.target)
            if entry is None:
                continue
            missing = [m for m in plan.models if m not in entry.resident]
            if missing:
                self._missing[plan.target] = missing
            in_flight = {
                (plan.target, m)
                for m in missing
                if (plan.target, m) in self._loading
            }
            loading |= in_flight
            # An owner loads one model at a time into an engine, so a second
            # permit for it would stay unused while other engines wait.
            if not in_flight and entry.healthy:
                candidates += [(plan.target, m) for m in missing]
            plans.append(plan)
        self._release_permits(len(self._loading - loading))
        self._loading = loading
        candidates.sort(
            key=lambda c: (
                orders.split_version(c[1])[0] in resident,
                c[1],
                c[0],
            )
        )
        unavailable = self._used - resident
        if not unavailable:
            self._unavailable_since = None
        elif self._unavailable_since is None:
            self._unavailable_since = now
        self._start_loads(candidates, resident, now)
        return [self._permitted_plan(plan, planning_input) for plan in plans]

    def _available_models(self, planning_input: PlanningInput) -> set[str]:
        """Returns the names of models with a resident copy of any version."""
        found = set(planning_input.elsewhere)
        for entry in planning_input.progress.values():
            found.update(orders.split_version(m)[0] for m in entry.resident)
        return found

    def _start_loads(
        self,
        candidates: list[tuple[str, str]],
        resident: set[str],
        now: float,
    ) -> None:
        since = self._unavailable_since
        recovery_only = since is not None and now - since < RECOVERY_ONLY_S
        busy = set()
        for target, model in candidates:
            # A lost model may have home engines in two data centres; the one
            # of its first home engine recovers it.
            lost = orders.split_version(model)[0] not in resident
            recovery = lost and model in self._first_homes
            if recovery_only and not recovery:
                continue
            if target in busy or not self._acquire_permit(recovery, now):
                continue
            busy.add(target)
            self._loading.add((target, model))

    def _permitted_plan(
        self, plan: messages.TargetPlan, planning_input: PlanningInput
    ) -> messages.TargetPlan:
        """Returns the plan without the models that may not load yet."""
        entry = planning_input.progress[plan.target]
        models = [
            model
            for model in plan.models
            if model in entry.resident or (plan.target, model) in self._loading
        ]
        return msgspec.structs.replace(plan, models=models)

    def _release_permits(self, permits: int) -> None:
        for _ in range(permits):
            if self._permits is not None:
                self._permits.release()

    def _acquire_permit(self, recovery: bool, now: float) -> bool:
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
