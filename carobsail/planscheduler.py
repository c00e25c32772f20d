"""Runs the planner of a data centre and decides which plans to send."""

import logging
from collections.abc import Callable, Mapping
from typing import Protocol

from carobsail import (
    inventory,
    messages,
    planner,
    policies,
    telemetry,
    weightstore,
)

# The planner permits loads one by one as the weight store allows them, which is
# about 1 a second.
PLAN_INTERVAL_S = 0.5

RenderPolicies = Callable[[dict[str, bytes]], list[policies.Policy]]


class Planner(Protocol):
    """Decides which models each engine of a data centre should hold."""

    @property
    def loads_wanted(self) -> int:
        """Number of loads that the data centre would run concurrently."""

    @property
    def loads_in_flight(self) -> int:
        """Number of loads that it has in flight."""

    def set_share_allocator(
        self, allocator: weightstore.ShareAllocator
    ) -> None:
        """Sets the allocator of the data centre's share of the weight store."""

    def plan(
        self, planning_input: planner.PlanningInput, now: float
    ) -> list[messages.TargetPlan]:
        """Returns the wanted state of engines."""

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""


class PlanScheduler:
    """Plans of one leadership term.

    It plans on a change or at an interval, and remembers which plan each owner
    was sent last, so that only changed plans are sent.

    Attributes:
      planner: Plans the data centre's engines; None sends no plans.
      progress: Latest progress report of each engine.
    """

    __slots__ = (
        "_planned_at",
        "_planned_versions",
        "_demand",
        "_policies",
        "_render",
        "_rendered_revision",
        "_sent",
        "planner",
        "progress",
    )

    def __init__(self, placing: Planner | None, render: RenderPolicies) -> None:
        self.progress: dict[str, messages.TargetProgress] = {}
        self.planner = placing
        self._demand: dict[str, dict[str, tuple[float, float]]] = {}
        self._render = render
        self._planned_at = float("-inf")
        self._planned_versions: object = None
        self._policies: list[policies.Policy] = []
        self._rendered_revision = -1
        self._sent: dict[str, messages.Plan] = {}

    def record_progress(
        self, instance: str, message: messages.Progress
    ) -> None:
        """Records the progress of engines and the demand at an instance."""
        self._demand[instance] = message.demand
        for entry in message.targets:
            self.progress[entry.target] = entry

    def is_due(self, versions: tuple[int, int, int], now: float) -> bool:
        """Tells whether to plan: on a change of `versions`, or every 0.5 s.

        Args:
          versions: Inventory version, configuration revision and epoch.
          now: Time of the event loop's clock in seconds.
        """
        if self.planner is None:
            return False
        waited_s = now - self._planned_at
        return waited_s >= PLAN_INTERVAL_S or versions != self._planned_versions

    def plan(
        self,
        versions: tuple[int, int, int],
        platform_inventory: inventory.Inventory,
        documents: dict[str, bytes],
        owners: Mapping[str, str],
        elsewhere: frozenset[str],
        now: float,
    ) -> dict[str, messages.Plan]:
        """Runs the planner and returns the changed plans by owner.

        Args:
          versions: Inventory version, configuration revision and epoch.
          platform_inventory: The whole inventory.
          documents: Configuration documents by key.
          owners: Owner of each engine.
          elsewhere: Models resident in other data centres.
          now: Time of the event loop's clock in seconds.
        """
        self._planned_at, self._planned_versions = now, versions
        _, revision, epoch = versions
        if self.planner is None:
            return {}
        try:
            if revision != self._rendered_revision:
                self._policies = self._render(documents)
                self._rendered_revision = revision
            known = planner.PlanningInput(
                platform_inventory,
                self.progress,
                self._policies,
                self._total_demand(),
                elsewhere,
            )
            wanted = self.planner.plan(known, now)
        except Exception as error:
            # A bug in the planner must not stop membership and grants.
            logger = logging.getLogger(telemetry.LOGGER_NAME)
            telemetry.log(
                logger, "plan_failed", level=logging.ERROR, error=repr(error)
            )
            return {}
        by_owner: dict[str, list[messages.TargetPlan]] = {}
        for entry in wanted:
            owner = owners.get(entry.target)
            if owner is not None:
                by_owner.setdefault(owner, []).append(entry)
        plans = {o: messages.Plan(epoch, p) for o, p in by_owner.items()}
        return {o: p for o, p in plans.items() if self._sent.get(o) != p}

    def _total_demand(self) -> dict[str, tuple[float, float]]:
        total: dict[str, tuple[float, float]] = {}
        for reported in self._demand.values():
            for model, (requests_per_s, tokens_per_s) in reported.items():
                known = total.get(model, (0.0, 0.0))
                total[model] = (
                    known[0] + requests_per_s,
                    known[1] + tokens_per_s,
                )
        return total

    def record_sent(self, owner: str, plan: messages.Plan) -> None:
        """Records that a plan was queued on the owner's connection."""
        self._sent[owner] = plan

    def reset_owner(self, owner: str) -> None:
        """Discards the state of an owner that reconnected; plans again."""
        self._demand.pop(owner, None)
        if self._sent.pop(owner, None) is not None:
            self._planned_versions = None
