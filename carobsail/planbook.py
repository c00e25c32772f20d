"""Calls the placement policy and decides which plans to send."""

import logging
from collections.abc import Callable, Mapping
from typing import Protocol

from carobsail import inventory, messages, policies, telemetry

PLAN_INTERVAL_S = 3.0

Render = Callable[[dict[str, bytes]], list[policies.Policy]]


class Planner(Protocol):
    """Decides what each engine of a data centre should hold."""

    def __call__(
        self,
        inventory: inventory.Inventory,
        progress: dict[str, messages.TargetProgress],
        policies: list[policies.Policy],
        now: float,
    ) -> list[messages.TargetPlan]:
        """Returns the wanted state of engines."""


class PlanBook:
    """Plans of one term.

    Attributes:
      progress: Latest progress by engine.
    """

    __slots__ = (
        "_planned_at",
        "_planned_for",
        "_planner",
        "_policies",
        "_render",
        "_rendered_for",
        "_sent",
        "progress",
    )

    def __init__(self, planner: Planner | None, render: Render) -> None:
        self.progress: dict[str, messages.TargetProgress] = {}
        self._planner = planner
        self._render = render
        self._planned_at = float("-inf")
        self._planned_for: object = None
        self._policies: list[policies.Policy] = []
        self._rendered_for = -1
        self._sent: dict[str, messages.Plan] = {}

    def take(self, message: messages.Progress) -> None:
        """Records the progress of engines."""
        for entry in message.targets:
            self.progress[entry.target] = entry

    def due(self, situation: tuple[int, int, int], now: float) -> bool:
        """Tells whether to plan: on a change, or every 3 s.

        Args:
          situation: Inventory version, configuration revision and epoch.
          now: Loop time in seconds.
        """
        if self._planner is None:
            return False
        waited_s = now - self._planned_at
        return waited_s >= PLAN_INTERVAL_S or situation != self._planned_for

    def plan(
        self,
        situation: tuple[int, int, int],
        listed: inventory.Inventory,
        documents: dict[str, bytes],
        owners: Mapping[str, str],
        now: float,
    ) -> dict[str, messages.Plan]:
        """Runs the planner; returns the plans that have changed, by owner."""
        self._planned_at, self._planned_for = now, situation
        _, revision, epoch = situation
        if self._planner is None:
            return {}
        try:
            if revision != self._rendered_for:
                self._policies = self._render(documents)
                self._rendered_for = revision
            wanted = self._planner(
                listed, dict(self.progress), self._policies, now
            )
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

    def sent(self, owner: str, plan: messages.Plan) -> None:
        """Records that a plan was queued on the owner's link."""
        self._sent[owner] = plan

    def forget(self, owner: str) -> None:
        """Plans again for an owner whose link is new."""
        if self._sent.pop(owner, None) is not None:
            self._planned_for = None
