"""Failure detection: which processes are alive, ready or shutting down.

Combines heartbeats with the instances that the platform's inventory lists.
The inventory lags behind.
"""

import dataclasses
import enum
from collections.abc import Mapping

from carobsail import inventory, messages

HEARTBEAT_INTERVAL_S = 0.5
# Interval at which `Membership.tick` is to be called.
TICK_S = 0.25
# Together with one tick, a dead process is detected within 2 s.
DEAD_AFTER_S = 1.6
# A tick that is later than this means that this process's event loop lags.
LAG_TOLERANCE_S = 0.05
# A process that is not in the platform's list is used for this long, because
# the list lags.
UNLISTED_GRACE_S = 60.0


@dataclasses.dataclass(slots=True, frozen=True, order=True)
class Process:
    """A process: its instance and its role (`entry` or `control`)."""

    instance: str
    role: str


class MemberEvent(enum.StrEnum):
    """What happened to a member."""

    JOINED = "joined"
    READY = "ready"
    LEAVING = "leaving"
    DIED = "died"
    RESTARTED = "restarted"


@dataclasses.dataclass(slots=True, frozen=True)
class MemberChange:
    """An event of one process."""

    process: Process
    event: MemberEvent


@dataclasses.dataclass(slots=True)
class _Member:
    incarnation: int
    heard_at: float
    seq: int
    ready: bool = False
    leaving: bool = False
    alive: bool = True
    unlisted_since: float | None = None


class Membership:
    """The processes of one data centre, as seen by this process."""

    __slots__ = ("_listed", "_members", "_ticked_at")

    def __init__(self) -> None:
        self._members: dict[Process, _Member] = {}
        self._listed: dict[str, inventory.State] | None = None
        self._ticked_at: float | None = None

    def record_heartbeat(
        self,
        process: Process,
        incarnation: int,
        heartbeat: messages.Heartbeat,
        now: float,
    ) -> list[MemberChange]:
        """Records a heartbeat.

        Args:
          process: Sender.
          incarnation: Incarnation in the Hello of the sender's link.
          heartbeat: The heartbeat.
          now: Loop time in seconds.

        Returns:
          The changes of the sender's state.
        """
        changes = []
        member = self._members.get(process)
        if member is None or not member.alive:
            changes.append(MemberChange(process, MemberEvent.JOINED))
            member = None
        elif member.incarnation != incarnation:
            if incarnation < member.incarnation:
                return []  # A delayed message from before the restart.
            changes.append(MemberChange(process, MemberEvent.RESTARTED))
            member = None
        elif heartbeat.seq <= member.seq:
            return []
        if member is None:
            member = _Member(incarnation, now, heartbeat.seq)
            member.unlisted_since = self._unlisted_since(process, now)
            self._members[process] = member
        if heartbeat.ready and not member.ready:
            changes.append(MemberChange(process, MemberEvent.READY))
        if heartbeat.leaving and not member.leaving:
            changes.append(MemberChange(process, MemberEvent.LEAVING))
        member.heard_at = now
        member.seq = heartbeat.seq
        member.ready = heartbeat.ready
        member.leaving = member.leaving or heartbeat.leaving
        return changes

    def _unlisted_since(self, process: Process, now: float) -> float | None:
        if self._listed is None or process.instance in self._listed:
            return None
        return now

    def update_listed(
        self, states: Mapping[str, inventory.State], now: float
    ) -> list[MemberChange]:
        """Replaces the platform's list of the data centre's instances.

        Args:
          states: State by instance name.
          now: Loop time in seconds.

        Returns:
          A LEAVING change for each member newly listed as leaving.
        """
        before = self._listed or {}
        self._listed = dict(states)
        for process, member in self._members.items():
            if process.instance in self._listed:
                member.unlisted_since = None
            elif member.unlisted_since is None:
                member.unlisted_since = now
        leaving = inventory.State.LEAVING
        return [
            MemberChange(process, MemberEvent.LEAVING)
            for process, member in self._members.items()
            if self._listed.get(process.instance) == leaving
            and before.get(process.instance) != leaving
            and not member.leaving
        ]

    def tick(self, now: float) -> list[MemberChange]:
        """Detects dead processes; to be called every `TICK_S` seconds.

        The delay of a late call is not counted against peers, since their
        heartbeats may be waiting unread in the same delayed event loop.

        Args:
          now: Loop time in seconds.

        Returns:
          A DIED change for each process found dead.
        """
        if self._ticked_at is not None:
            late_s = now - self._ticked_at - TICK_S
            if late_s > LAG_TOLERANCE_S:
                for member in self._members.values():
                    member.heard_at = min(now, member.heard_at + late_s)
        self._ticked_at = now
        changes = []
        for process, member in self._members.items():
            if member.alive and now - member.heard_at > DEAD_AFTER_S:
                member.alive = False
                changes.append(MemberChange(process, MemberEvent.DIED))
        for process in self._expired(now):
            del self._members[process]
        return changes

    def _expired(self, now: float) -> list[Process]:
        """Returns the members that have been dead for long."""
        return [
            process
            for process, member in self._members.items()
            if not member.alive and now - member.heard_at > UNLISTED_GRACE_S
        ]

    def is_alive(self, process: Process) -> bool:
        """Tells whether the process is known and not found dead."""
        member = self._members.get(process)
        return member is not None and member.alive

    def is_leaving(self, process: Process) -> bool:
        """Tells whether the process is shutting down.

        The process itself or the platform may have announced it.
        """
        member = self._members.get(process)
        listed = (self._listed or {}).get(process.instance)
        return listed == inventory.State.LEAVING or (
            member is not None and member.leaving
        )

    def members(self, role: str | None = None) -> list[Process]:
        """Returns the live processes, including leaving ones."""
        return sorted(
            process
            for process, member in self._members.items()
            if member.alive and role in (None, process.role)
        )

    def usable(self, role: str, now: float) -> list[str]:
        """Returns the instances whose process may get new work, sorted.

        Args:
          role: Role of the process.
          now: Loop time in seconds.

        Returns:
          Names of instances that are alive, ready, not leaving and listed,
          or not listed for less than `UNLISTED_GRACE_S`.
        """
        return [
            process.instance
            for process in self.members(role)
            if self._members[process].ready
            and not self.is_leaving(process)
            and self._listed_or_in_grace(self._members[process], now)
        ]

    def _listed_or_in_grace(self, member: _Member, now: float) -> bool:
        since = member.unlisted_since
        return since is None or now - since < UNLISTED_GRACE_S

    def required_confirmations(self) -> set[Process]:
        """Returns the processes that must confirm a configuration.

        These are all live members, and all processes that the platform lists
        as live, even those from which no heartbeat arrives here.
        """
        listed = {
            Process(name, role)
            for name, state in (self._listed or {}).items()
            if state == inventory.State.LIVE
            for role in ("entry", "control")
        }
        return listed | set(self.members())
