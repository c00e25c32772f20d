"""Accounts for the memory of one engine.

Models count when they are resident, when memory is reserved for loading them,
and when they may be resident because the outcome of an order is unknown.
Orders are the owner's commands to load or unload a model. The sum of the
models, the adapter pool and the minimum size of the cache never exceeds the
engine's capacity (requirement R1).
"""

import abc
import dataclasses
import enum
from collections.abc import Mapping

from carobsail import engines, errors, inventory

# Longest time for which a sent order, or a copy of it, may be in flight before
# the engine executes it.
MAX_ORDER_IN_FLIGHT_S = 30.0


class HoldReason(enum.StrEnum):
    """Why the memory of a model is held.

    RESERVED: a load is about to be ordered or has been ordered.
    RESIDENT: the engine confirmed that the model is resident.
    UNLOADING: an unload has been ordered.
    LATE: the model may be resident, or an order for it may still arrive.
    """

    RESERVED = "reserved"
    RESIDENT = "resident"
    UNLOADING = "unloading"
    LATE = "late"


@dataclasses.dataclass(slots=True)
class MemoryEntry:
    """Memory held for one model.

    Attributes:
      size_mb: Memory in MB.
      hold: Why it is held.
      load_until: Loop time until which a load order may still arrive.
      unload_until: Loop time until which an unload order may still arrive.
      since: Loop time of the last change by this owner.
      inherited: Whether it comes from a previous owner's intent.
    """

    size_mb: int
    hold: HoldReason
    load_until: float = float("-inf")
    unload_until: float = float("-inf")
    since: float = float("-inf")
    inherited: bool = False


class Fencing(abc.ABC):
    """Rules for when orders of earlier owners can no longer take effect."""

    __slots__ = ()

    @abc.abstractmethod
    def earlier_orders_excluded(
        self, fence: int, epoch: int, made_at: float, granted_at: float
    ) -> bool:
        """Tells whether no order of an earlier owner can follow a report.

        Args:
          fence: Highest fencing token that the engine reports.
          epoch: Epoch of the current owner.
          made_at: Time at which the report was made, in seconds.
          granted_at: Time of the owner's grant, in seconds.
        """

    @abc.abstractmethod
    def unloads_allowed_from(self, granted_at: float) -> float:
        """Returns the time from which the owner may unload models."""


class CheckedFencing(Fencing):
    """For an engine that rejects orders with a stale fencing token."""

    __slots__ = ()

    def earlier_orders_excluded(
        self, fence: int, epoch: int, made_at: float, granted_at: float
    ) -> bool:
        """See base class."""
        return fence >= epoch or made_at >= granted_at + MAX_ORDER_IN_FLIGHT_S

    def unloads_allowed_from(self, granted_at: float) -> float:
        """See base class."""
        return granted_at


class IgnoredFencing(Fencing):
    """For an engine that ignores fencing tokens and executes every order."""

    __slots__ = ()

    def earlier_orders_excluded(
        self, fence: int, epoch: int, made_at: float, granted_at: float
    ) -> bool:
        """See base class."""
        return made_at >= granted_at + MAX_ORDER_IN_FLIGHT_S

    def unloads_allowed_from(self, granted_at: float) -> float:
        """See base class."""
        return granted_at + MAX_ORDER_IN_FLIGHT_S


def fencing_of(target: inventory.Target) -> Fencing:
    """Returns the fencing rules that apply to an engine."""
    return CheckedFencing() if target.checks_fencing else IgnoredFencing()


class MemoryLedger:
    """The memory of one engine, as its owner accounts for it.

    Attributes:
      epoch: Epoch of the owner.
    """

    __slots__ = (
        "_entries",
        "_fencing",
        "_granted_at",
        "_last_report_made_at",
        "_reload_allowed_from",
        "_removed_at",
        "_target",
        "epoch",
    )

    def __init__(self, target: inventory.Target) -> None:
        self._target = target
        self._fencing = fencing_of(target)
        self._entries: dict[str, MemoryEntry] = {}
        self._reload_allowed_from: dict[str, float] = {}
        self._removed_at: dict[str, float] = {}
        self._granted_at = float("-inf")
        self._last_report_made_at = float("-inf")
        self.epoch = 0

    def take_over(
        self, epoch: int, intents: Mapping[str, int], granted_at: float
    ) -> None:
        """Replaces the entries by the recorded intent of earlier owners.

        Args:
          epoch: Epoch of the new owner.
          intents: Memory in MB of each model recorded in the intent.
          granted_at: Time of the grant, in seconds.
        """
        self.epoch = epoch
        self._granted_at = granted_at
        self._last_report_made_at = granted_at
        self._reload_allowed_from.clear()
        self._removed_at.clear()
        self._entries = {
            model: MemoryEntry(
                size_mb, HoldReason.LATE, since=granted_at, inherited=True
            )
            for model, size_mb in intents.items()
        }

    @property
    def free_mb(self) -> int:
        """Memory in MB not held by models, adapter pool or minimum cache."""
        held = sum(entry.size_mb for entry in self._entries.values())
        fixed = self._target.adapter_pool_mb + self._target.cache_floor_mb
        return self._target.capacity_mb - fixed - held

    def intents(self) -> dict[str, int]:
        """Returns the memory in MB of every model that may be resident."""
        return {m: e.size_mb for m, e in sorted(self._entries.items())}

    def hold_of(self, model: str) -> HoldReason | None:
        """Returns why the memory of a model is held, or None."""
        entry = self._entries.get(model)
        return entry.hold if entry else None

    def models(self, hold: HoldReason) -> list[str]:
        """Returns the models held for one reason, sorted."""
        return sorted(m for m, e in self._entries.items() if e.hold is hold)

    def is_safe(self, model: str, now: float) -> bool:
        """Tells whether a copy is resident and no unload can still arrive."""
        return self.hold_of(
            model
        ) is HoldReason.RESIDENT and now >= self._fencing.unloads_allowed_from(
            self._granted_at
        )

    def may_unload(self, model: str, now: float) -> bool:
        """Tells whether the unload of a model may be ordered."""
        return self.is_safe(model, now)

    def reload_wait_s(self, model: str, now: float) -> float:
        """Returns the seconds until a model may be loaded again.

        Until then, a delayed copy of its last unload order could remove the
        newly loaded model.
        """
        return max(0.0, self._reload_allowed_from.get(model, now) - now)

    def reserve(
        self, model: str, size_mb: int, now: float
    ) -> None | errors.Failure:
        """Reserves memory before a load order."""
        if model in self._entries:
            hold = self._entries[model].hold
            return self._failure(errors.Reason.CONFLICT, f"{model} is {hold}")
        wait_s = self.reload_wait_s(model, now)
        if wait_s > 0:
            return self._failure(
                errors.Reason.NOT_READY,
                f"an unload of {model} may still arrive",
                wait_s,
            )
        self._reload_allowed_from.pop(model, None)
        if size_mb > self.free_mb:
            detail = f"{model} needs {size_mb} MB, {self.free_mb} MB are free"
            return self._failure(errors.Reason.NO_MEMORY, detail)
        self._entries[model] = MemoryEntry(
            size_mb, HoldReason.RESERVED, since=now
        )
        return None

    def load_sent(self, model: str, now: float) -> None:
        """Records that the load order for a reserved model is being sent."""
        entry = self._entries[model]
        entry.load_until = now + MAX_ORDER_IN_FLIGHT_S
        entry.since = now

    def release(self, model: str) -> None:
        """Releases a reservation whose load order was not executed."""
        entry = self._entries.get(model)
        if entry is not None and entry.hold is HoldReason.RESERVED:
            del self._entries[model]

    def confirm_load(self, model: str, now: float) -> None:
        """Records the engine's confirmation that a model is resident."""
        entry = self._entries.get(model)
        if entry is not None and entry.hold is HoldReason.RESERVED:
            entry.hold = HoldReason.RESIDENT
            entry.since = now

    def record_unknown_outcome(self, model: str, now: float) -> None:
        """Records that the outcome of an order is unknown.

        The order may have taken effect or may still do so.
        """
        entry = self._entries.get(model)
        if entry is not None:
            entry.hold = HoldReason.LATE
            entry.since = now

    def unload_sent(self, model: str, now: float) -> None:
        """Records that the unload order for a resident model is being sent."""
        entry = self._entries[model]
        entry.hold = HoldReason.UNLOADING
        entry.unload_until = now + MAX_ORDER_IN_FLIGHT_S
        entry.since = now

    def unload_refused(self, model: str) -> None:
        """Records that an unload order was not executed."""
        entry = self._entries.get(model)
        if entry is not None and entry.hold is HoldReason.UNLOADING:
            entry.hold = HoldReason.RESIDENT
            entry.unload_until = float("-inf")

    def confirm_unload(self, model: str, now: float) -> None:
        """Records the engine's confirmation that a model was unloaded.

        The memory stays held while a delayed copy of the load order may still
        arrive.
        """
        entry = self._entries.get(model)
        if entry is None or entry.hold is not HoldReason.UNLOADING:
            return
        if now >= entry.load_until:
            self._remove(model, now)
        else:
            entry.hold = HoldReason.LATE
            entry.since = now

    def apply_report(
        self, report: engines.EngineReport, asked_at: float
    ) -> None:
        """Updates the entries from a report.

        Args:
          report: The engine's report.
          asked_at: Time at which the report was requested, in seconds. The
            report was made at this time minus its age, or later.
        """
        made_at = asked_at - report.age_s
        if made_at < self._last_report_made_at:
            return
        self._last_report_made_at = made_at
        earlier_excluded = self._fencing.earlier_orders_excluded(
            report.fence, self.epoch, made_at, self._granted_at
        )
        listed = {**report.loading, **report.models}
        for model, entry in list(self._entries.items()):
            if entry.hold in (HoldReason.RESERVED, HoldReason.UNLOADING):
                continue  # The order's response or its timeout decides.
            if made_at < entry.since:
                continue
            if model in listed:
                entry.size_mb = max(entry.size_mb, listed[model])
            if entry.inherited and not earlier_excluded:
                continue
            if model in report.models:
                if made_at >= entry.unload_until:
                    entry.hold = HoldReason.RESIDENT
            elif model in report.loading or made_at < entry.load_until:
                if entry.hold is HoldReason.RESIDENT:
                    entry.hold = HoldReason.LATE
            else:
                self._remove(model, made_at)
        for model, size_mb in listed.items():
            removed_at = self._removed_at.get(model, self._granted_at)
            if model not in self._entries and made_at > removed_at:
                # Not in the intent: another party has changed the engine.
                self._entries[model] = MemoryEntry(
                    size_mb, HoldReason.LATE, since=made_at
                )

    def _remove(self, model: str, at: float) -> None:
        entry = self._entries.pop(model)
        self._removed_at[model] = at
        if entry.unload_until > self._last_report_made_at:
            self._reload_allowed_from[model] = entry.unload_until

    def _failure(
        self,
        reason: errors.Reason,
        detail: str,
        retry_after_s: float | None = None,
    ) -> errors.Failure:
        return errors.Failure(
            reason,
            errors.Step.ORDER,
            self._target.name,
            detail=detail,
            retry_after_s=retry_after_s,
        )
