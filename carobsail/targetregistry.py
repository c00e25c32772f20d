"""Targets known to an instance: store entries and its own observations.

The entries in the store say which targets exist and which are leaving. Entries
that expire during an outage of the store are kept until `EXPIRY_GRACE_S` after
its end, because live targets have renewed their entries by then.

A target also states in its responses that it is leaving. The store may report
this seconds later, and not at all while it is away, so the statement holds
whatever the entries say, for as long as the process of that target runs.

If the store has come back from an older copy, entries that were lost with its
newer one are kept for the same time. What the older copy brings back is judged
by `departedtargets`; an entry that is withheld counts as leaving.
"""

import collections
import dataclasses
from collections.abc import Iterable, Sequence

from carobsail import departedtargets, summaries, targetentry, targetpace
from carobsail.targetentry import EntryChange as EntryChange
from carobsail.targetentry import ResidentModel as ResidentModel
from carobsail.targetentry import TargetEntry as TargetEntry

# Targets whose entries expired during an outage of the store register again
# within about two seconds of its end, according to the users. On the smallest
# deployment no request may be sent to a target later than 2.5 s after it left.
EXPIRY_GRACE_S = 2.0
# A load that a target reported itself is used for this long.
LOAD_REPORT_VALID_S = 1.0
# Own sends to a target that are remembered to estimate those of others.
MAX_RECENT_SENDS = 64
# A target that replaces one that left normally registers within this time.
REGISTRATION_S = 2.0
# Age of the list of targets up to which no target that has registered since is
# missing in it: it is normally some 0.1 s old.
MAX_LIST_AGE_S = 1.0
# First backoff of a target that failed, doubled with each further failure.
FIRST_PAUSE_S = 0.25
# First backoff after a failed connection attempt: a process that has ended is
# away for seconds, and each further attempt costs up to 0.4 s.
FIRST_UNREACHABLE_PAUSE_S = 0.8
MAX_PAUSE_S = 4.0
# Longest pause that a target can ask for. A target that is still full after it
# asks again, so a malformed time does not keep it unused.
MAX_REQUESTED_PAUSE_S = 60.0
# Entries show a change of adapters up to one heartbeat late, so what the
# coordinator reported takes precedence over an entry for this long.
HELD_REPORT_VALID_S = 3.0
# Weight of the newest outcome in the moving average of a target's failures.
FAILURE_WEIGHT = 0.1
# Limit of the incarnations of targets that are remembered as leaving.
MAX_LEAVING = 4096


@dataclasses.dataclass(slots=True)
class Target:
    """A registered target with this instance's own observations of it.

    Attributes:
      entry: Its newest entry.
      expired_at: When the entry was removed during an outage, or None.
      paused_until: End of the backoff during which it is not chosen.
      requested_pause_until: Time until which it has asked this instance for no
        requests.
      unreachable_at: When a connection to it last failed to open.
      avoided_until: Time until which it is chosen only as a last resort,
        because several instances cannot reach it.
      failures: Consecutive failures.
      failure_share: Moving average of the share of sends that failed.
      in_flight: Requests of this instance in flight.
      prompt_tokens: Prompt tokens of those that can meet their objective and
        have no first event yet.
      late_tokens: Prompt tokens of those that cannot meet their objective and
        have no first event yet.
      held_tokens: Tokens that the requests of this instance in flight hold in
        its memory at their end; 0 unless targets of its service state a pace.
      recent_sends: Time and tokens of the last of these requests.
      others_in_flight: Requests of other instances in flight, as reported.
      others_prompt_tokens: As `prompt_tokens`, for the other instances.
      others_late_tokens: As `late_tokens`, for the other instances.
      others_held_tokens: As `held_tokens`, for the other instances.
      others_reported_at: When the load of the other instances was last
        reported.
      held: Adapters by model that it holds, as reported by the coordinator or
        its entry.
      held_reported_at: When the coordinator last reported them.
      reported_running: Running requests as last reported by the target.
      reported_waiting: Waiting requests as last reported by the target.
      reported_at: When the target reported them.
      reports: Number of its reports.
      sent_since_report: Requests of this instance in flight that were sent
        after the last report.
      pace: How long work takes there, against the usual time.
      said_leaving: Whether the target has stated in a response that it is
        leaving.
    """

    entry: TargetEntry
    expired_at: float | None = None
    paused_until: float = 0.0
    requested_pause_until: float = 0.0
    unreachable_at: float = float("-inf")
    avoided_until: float = 0.0
    failures: int = 0
    failure_share: float = 0.0
    in_flight: int = 0
    prompt_tokens: float = 0.0
    late_tokens: float = 0.0
    held_tokens: int = 0
    recent_sends: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_RECENT_SENDS)
    )
    others_in_flight: int = 0
    others_prompt_tokens: float = 0.0
    others_late_tokens: float = 0.0
    others_held_tokens: int = 0
    others_reported_at: float = float("-inf")
    held: dict[str, frozenset[str]] = dataclasses.field(default_factory=dict)
    held_reported_at: float = float("-inf")
    reported_running: int = 0
    reported_waiting: int = 0
    reported_at: float = float("-inf")
    reports: int = 0
    sent_since_report: int = 0
    pace: targetpace.TargetPace = dataclasses.field(
        default_factory=targetpace.TargetPace
    )
    said_leaving: bool = False

    @property
    def leaving(self) -> bool:
        """Whether it accepts no new requests."""
        return self.entry.leaving or self.said_leaving

    @property
    def available_at(self) -> float:
        """Time from which it may be chosen."""
        return max(self.paused_until, self.requested_pause_until)

    def own_load(self) -> summaries.TargetUsage:
        """Returns the load by the requests of this instance."""
        return summaries.TargetUsage(
            self.entry.identity,
            self.in_flight,
            int(self.prompt_tokens),
            int(self.late_tokens),
            self.held_tokens,
        )

    def set_others_load(self, load: summaries.TargetUsage) -> None:
        """Replaces the load by the requests of the other instances."""
        self.others_in_flight = load.in_flight
        self.others_prompt_tokens = load.prompt_tokens
        self.others_late_tokens = load.late_tokens
        self.others_held_tokens = load.held_tokens

    def known_in_flight(self, now: float) -> int:
        """Returns the requests known to be in flight there, of all instances.

        Args:
          now: Time of the event loop's clock in seconds.
        """
        in_flight = self.in_flight + self.others_in_flight
        if now - self.reported_at < LOAD_REPORT_VALID_S:
            reported = self.reported_running + self.reported_waiting
            if self.pace.known:
                reported += self.sent_since_report
            in_flight = max(in_flight, reported)
        return in_flight

    def record_load(
        self, running: int, waiting: int, pace: float | None, now: float
    ) -> None:
        """Records the load and the pace that it stated in a response.

        Args:
          running: Running requests.
          waiting: Waiting requests.
          pace: Ratio of the present to the usual time, or None if not stated.
          now: Time of the event loop's clock in seconds.
        """
        self.reported_running, self.reported_waiting = running, waiting
        self.reported_at = now
        self.reports += 1
        self.sent_since_report = 0
        if pace is not None:
            self.pace.record_stated(pace, now)

    def record_requested_pause(self, pause_s: float, now: float) -> None:
        """Records that it refused a request and asked for a pause.

        A success does not end the pause: it may belong to an earlier request.

        Args:
          pause_s: Requested seconds without requests from this instance.
          now: Time of the event loop's clock in seconds.
        """
        until = now + min(max(0.0, pause_s), MAX_REQUESTED_PAUSE_S)
        self.requested_pause_until = max(self.requested_pause_until, until)

    def record_success(self) -> None:
        """Records a response; resets the backoff and ends the avoidance."""
        self.failures = 0
        self.unreachable_at = float("-inf")
        self.avoided_until = 0.0
        self.failure_share *= 1.0 - FAILURE_WEIGHT

    def record_error(self) -> None:
        """Counts a failure in the failure share, without a backoff."""
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share)

    def record_failure(self, now: float, unreachable: bool = False) -> float:
        """Records a failure and starts a backoff.

        Args:
          now: Time of the event loop's clock in seconds.
          unreachable: Whether no connection to the target could be opened.

        Returns:
          The length of the backoff in seconds.
        """
        first_pause_s = (
            FIRST_UNREACHABLE_PAUSE_S if unreachable else FIRST_PAUSE_S
        )
        if unreachable:
            self.unreachable_at = now
        pause_s = min(MAX_PAUSE_S, first_pause_s * 2**self.failures)
        self.failures += 1
        self.record_error()
        self.paused_until = max(self.paused_until, now + pause_s)
        return pause_s


class TargetRegistry:
    """Registry of all targets known to one instance."""

    __slots__ = (
        "_departed",
        "_lapsed_services",
        "_left_at",
        "_outage_until",
        "_said_leaving",
        "_targets",
    )

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._departed = departedtargets.DepartedTargets()
        # Identity and start time of targets, those that said it first in front.
        self._said_leaving: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._outage_until = float("-inf")
        # When the last target that accepted requests left, by service.
        self._left_at: dict[str, float] = {}
        # Services whose targets lapsed in an outage; none has registered since.
        self._lapsed_services: set[str] = set()

    def __len__(self) -> int:
        return len(self._targets)

    def get(self, identity: str) -> Target | None:
        """Returns a target by its identity."""
        return self._targets.get(identity)

    def all(self) -> Iterable[Target]:
        """Returns all targets."""
        return self._targets.values()

    def of_service(self, service: str, now: float) -> list[Target]:
        """Returns the targets of a service that accept new requests."""
        self._drop_expired(now)
        self.release_withheld(now)
        return [
            target
            for target in self._targets.values()
            if target.entry.service == service and not target.leaving
        ]

    def replacement_due_at(
        self,
        service: str,
        accepting: Sequence[Target],
        now: float,
        list_age_s: float,
    ) -> float | None:
        """Returns when a service that has lost its last target may have one.

        Args:
          service: The service.
          accepting: Its targets that accept requests; see `of_service`.
          now: Time of the event loop's clock in seconds.
          list_age_s: Age of the list of targets.

        Returns:
          The time at which a replacement normally has registered; None if a
          target accepts requests, or may do so without being listed, because
          the instance has never seen one, its list is old, or the entries
          lapsed while the store was away.
        """
        if (
            accepting
            or now < self._outage_until
            or list_age_s > MAX_LIST_AGE_S
            or service in self._lapsed_services
        ):
            return None
        left_at = self._left_at.get(service)
        if left_at is None:
            if not any(
                t.entry.service == service for t in self._targets.values()
            ):
                return None
            # The last one said in a response that it is leaving.
            left_at = self._left_at[service] = now
        return left_at + REGISTRATION_S

    def _record_departure(self, service: str, now: float) -> None:
        """Records that a target that accepted requests does so no more."""
        if not any(
            t.entry.service == service and not t.leaving
            for t in self._targets.values()
        ):
            self._left_at[service] = now

    def known_of_service(self, service: str) -> list[Target]:
        """Returns all known targets of a service, without any change.

        They include those that leave, and those that `of_service` would drop.
        """
        return [
            target
            for target in self._targets.values()
            if target.entry.service == service
        ]

    def is_expired(self, target: Target, now: float) -> bool:
        """Whether the entry of a target expired, and its grace period too."""
        return target.expired_at is not None and now >= self._outage_until

    def record_store_contact(self, reachable: bool, now: float) -> None:
        """Records whether the store responded.

        Entries removed during an outage of the store are kept for a grace
        period.
        """
        if not reachable:
            self._outage_until = now + EXPIRY_GRACE_S

    def learn_era(self, newest: int, listed: int, now: float) -> bool:
        """Takes note of the era of changes; see `DepartedTargets.learn_era`.

        Entries that were lost with it are kept for a grace period.
        """
        if not self._departed.learn_era(newest, listed, now):
            return False
        self._drop_expired(now)
        self.record_store_contact(False, now)
        return True

    @property
    def withheld_until(self) -> float:
        """When withheld targets are released, unless an outage goes on."""
        return max(self._departed.withheld_until, self._outage_until)

    def release_withheld(self, now: float) -> None:
        """Lets targets be used that were withheld long enough."""
        if now < self._outage_until:
            return
        for entry in self._departed.release(now):
            self._targets[entry.identity].entry = entry
            self._left_at.pop(entry.service, None)
            self._lapsed_services.discard(entry.service)

    def record_leaving(self, entry: TargetEntry) -> bool:
        """Records that a target stated in a response that it is leaving.

        Args:
          entry: Entry of the target to which the request was sent.

        Returns:
          Whether this was unknown.
        """
        key = (entry.identity, entry.start_time_ms)
        if key in self._said_leaving:
            return False
        self._said_leaving[key] = None
        if len(self._said_leaving) > MAX_LEAVING:
            self._said_leaving.popitem(last=False)
        target = self._targets.get(entry.identity)
        if target and target.entry.start_time_ms == entry.start_time_ms:
            target.said_leaving = True
        return True

    def put(self, entry: TargetEntry, now: float) -> EntryChange:
        """Stores an entry; an older revision is ignored.

        Returns:
          What changed; most updates of an entry are heartbeats only.
        """
        known = self._targets.get(entry.identity)
        if known is not None:
            if entry.revision < known.entry.revision:
                return EntryChange.NONE
            if self._departed.names_earlier_process(entry, known.entry):
                return self.remove(entry.identity, now, entry.revision)
            if known.expired_at is not None:
                self._departed.forget(known.entry)
            if entry.start_time_ms != known.entry.start_time_ms:
                # Restarted under the same identity: the old state is void.
                self._departed.record_removal(known.entry, entry.revision)
                known = None
        entry = self._departed.judge(entry, now)
        if known is None:
            known = self._targets[entry.identity] = Target(entry)
            known.said_leaving = (
                entry.identity,
                entry.start_time_ms,
            ) in self._said_leaving
            change = EntryChange.REGISTRATION
        elif known.expired_at is not None:
            change = EntryChange.REGISTRATION
        else:
            change = targetentry.classify_change(known.entry, entry)
        accepted = not known.leaving
        known.entry = entry
        known.expired_at = None
        if not known.leaving:
            self._left_at.pop(entry.service, None)
            self._lapsed_services.discard(entry.service)
        elif accepted:
            self._record_departure(entry.service, now)
        if now - known.held_reported_at > HELD_REPORT_VALID_S:
            held = {m.name: m.adapters for m in entry.models}
            if held != known.held:
                change = max(change, EntryChange.HOLDINGS)
            known.held = held
        return change

    def set_held(
        self, identity: str, held: dict[str, frozenset[str]], now: float
    ) -> bool:
        """Stores the models and adapters that the coordinator reported.

        Returns:
          Whether they differ from those known before.
        """
        target = self._targets.get(identity)
        if target is None:
            return False
        changed = target.held != held
        target.held = held
        target.held_reported_at = now
        return changed

    def remove(
        self, identity: str, now: float, revision: int = 0
    ) -> EntryChange:
        """Removes an entry; during a store outage only after a grace period.

        Args:
          identity: Identity of the target.
          now: Time of the event loop's clock in seconds.
          revision: Revision of the removal; 0 for that of the entry.

        Returns:
          `REGISTRATION`, also for an unknown target, since another instance may
          know it.
        """
        target = self._targets.get(identity)
        if target is None:
            return EntryChange.REGISTRATION
        revision = revision or target.entry.revision
        if now < self._outage_until and not target.entry.leaving:
            if target.expired_at is None:
                target.expired_at = now
                self._departed.log_kept(target.entry, revision)
        else:
            del self._targets[identity]
            if not target.leaving:
                self._record_departure(target.entry.service, now)
        self._departed.record_removal(target.entry, revision)
        return EntryChange.REGISTRATION

    def _drop_expired(self, now: float) -> None:
        if now < self._outage_until:
            return
        for identity, target in list(self._targets.items()):
            if target.expired_at is not None:
                del self._targets[identity]
                self._lapsed_services.add(target.entry.service)
