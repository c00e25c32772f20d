"""Calls the placement policy and decides which plans to send."""

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

# The planner paces loads, of which the weight store starts about 1 a second.
PLAN_INTERVAL_S = 0.5

Render = Callable[[dict[str, bytes]], list[policies.Policy]]


class Planner(Protocol):
    """Decides what each engine of a data centre should hold."""

    @property
    def loads_wanted(self) -> int:
        """Loads that the data centre would like to have under way."""

    @property
    def loads_in_flight(self) -> int:
        """Loads that it has under way."""

    def use_share(self, book: weightstore.ShareBook) -> None:
        """Sets the data centre's share of the weight store."""

    def plan(
        self, situation: planner.Situation, now: float
    ) -> list[messages.TargetPlan]:
        """Returns the wanted state of engines."""

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""


class PlanBook:
    """Plans of one term.

    Attributes:
      planner: Placement of the data centre's engines; None sends no plans.
      progress: Latest progress by engine.
    """

    __slots__ = (
        "_planned_at",
        "_planned_for",
        "_demand",
        "_policies",
        "_render",
        "_rendered_for",
        "_sent",
        "planner",
        "progress",
    )

    def __init__(self, placing: Planner | None, render: Render) -> None:
        self.progress: dict[str, messages.TargetProgress] = {}
        self.planner = placing
        self._demand: dict[str, dict[str, tuple[float, float]]] = {}
        self._render = render
        self._planned_at = float("-inf")
        self._planned_for: object = None
        self._policies: list[policies.Policy] = []
        self._rendered_for = -1
        self._sent: dict[str, messages.Plan] = {}

    def take(self, instance: str, message: messages.Progress) -> None:
        """Records the progress of engines and the demand at an instance."""
        self._demand[instance] = message.demand
        for entry in message.targets:
            self.progress[entry.target] = entry

    def due(self, situation: tuple[int, int, int], now: float) -> bool:
        """Tells whether to plan: on a change, or every 0.5 s.

        Args:
          situation: Inventory version, configuration revision and epoch.
          now: Loop time in seconds.
        """
        if self.planner is None:
            return False
        waited_s = now - self._planned_at
        return waited_s >= PLAN_INTERVAL_S or situation != self._planned_for

    def plan(
        self,
        situation: tuple[int, int, int],
        listed: inventory.Inventory,
        documents: dict[str, bytes],
        owners: Mapping[str, str],
        elsewhere: frozenset[str],
        now: float,
    ) -> dict[str, messages.Plan]:
        """Runs the planner; returns the plans that have changed, by owner."""
        self._planned_at, self._planned_for = now, situation
        _, revision, epoch = situation
        if self.planner is None:
            return {}
        try:
            if revision != self._rendered_for:
                self._policies = self._render(documents)
                self._rendered_for = revision
            known = planner.Situation(
                listed,
                self.progress,
                self._policies,
                self._total_demand(),
                elsewhere,
            )
            wanted = self.planner.plan(known, now)
        except Exception as error:
            # Membership and grants must outlive a fault in the planner.
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

    def sent(self, owner: str, plan: messages.Plan) -> None:
        """Records that a plan was queued on the owner's link."""
        self._sent[owner] = plan

    def forget(self, owner: str) -> None:
        """Plans again for an owner whose link is new."""
        self._demand.pop(owner, None)
        if self._sent.pop(owner, None) is not None:
            self._planned_for = None
