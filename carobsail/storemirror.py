"""Keeps a local copy of the keys of the key-value store up to date.

The copy only moves forward: each change is applied once, in the order of its
revision, and an outage of the store leaves the copy as it is. If the store
comes back from an older copy, its era rises; instances serve from their copy
until they have read the store as a whole.

If every instance watched the store itself, the number of calls would grow with
instances times changes. So one instance, the coordinator, watches the store and
sends the changes to all others; in this role it is called the relay. An
instance that missed a change, or that has not heard within `RELAY_VALID_S` from
a relay that reaches the store, reads the changes from a deputy: the first or
second instance of its data centre. Only the deputies, and an instance that gets
no response from a deputy, read the store themselves; otherwise each change of
the configuration would be sent to every instance over the link between regions.
"""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable

from carobsail import (
    deputies,
    errors,
    keyvalue,
    storecopy,
    storeera,
    telemetry,
    valuereader,
)

# Longest wait of one watch call. Instances must learn that a target leaves
# within 2.5 s of the store's acknowledgement, even if a connection stalls or
# the relay loses the store in between.
WATCH_WAIT_S = 2.0
RELAY_WATCH_WAIT_S = 0.5
# How long instances rely on the relay after the store last answered it. A
# store that drops its history leaves the relay without a response for a second,
# on top of the 0.75 s between two calls. If all instances then read the store
# themselves, a change of the configuration crosses the link between regions
# once for each: 175 KB to 44 instances saturate it for 2 s.
RELAY_VALID_S = 1.8
# Pause between two watch calls, so that one call returns several changes. A
# watch call returns at the first change, the 76 targets of a large fleet renew
# their entries some 20 times a second, and calls are billed. The pause is far
# below the 2.5 s in which changes must be known.
BATCH_PAUSE_S = 0.6
RELAY_BATCH_PAUSE_S = 0.25
# Short first watch call after the relay timed out; shows quickly whether the
# store answers.
FIRST_WATCH_WAIT_S = 0.05
# The relay sends its status every 0.5 s, as part of the coordinator's updates.
# After this silence an instance checks whether its deputy answers, to lose no
# time if relay and deputy both failed.
RELAY_SUSPECT_S = 0.7
# The same check if the relay's status arrives but the store's last response to
# it is this old. The relay calls the store every 0.75 s, and its next status
# may be in flight.
RELAY_STALE_S = 1.3
# Longest wait of a deputy's response when it has nothing new. In that time the
# deputy may still be reading a large value from the store: 550 KB in each data
# centre.
DEPUTY_WAIT_S = 0.5
# Delay after which the other deputy is asked in parallel, so that a deputy
# that is frozen or has lost the store does not hold up the response.
DEPUTY_HEDGE_S = 0.2
# A deputy whose copy is older than this has lost the store as well.
MAX_DEPUTY_AGE_S = 1.5

_log = logging.getLogger(__name__)

Changes = list[keyvalue.WatchEvent]


@dataclasses.dataclass(slots=True)
class _PartialListing:
    """The relay's differences after a full read, while parts are missing.

    Attributes:
      base: Revision of the copy to which the differences apply.
      revision: Revision at which the relay read the store.
      missing_parts: Numbers of the messages that have not arrived.
    """

    base: int
    revision: int
    missing_parts: set[int]


@dataclasses.dataclass(slots=True, frozen=True)
class RelayedChange:
    """A change from the relay; without its value if `omitted`."""

    event: keyvalue.WatchEvent
    omitted: bool = False


class StoreMirror:
    """Mirrors all keys with a prefix.

    Attributes:
      copy: The local copy.
      store_reachable: Whether the store answered the last call.
      store_answered_at: When the store last answered.
      relay_address: `host:port` at which the relay's copy is read; empty if
        not known.
      is_relay: Whether this instance is the relay.
      deputies: Instances that read the store while the relay is not heard.
      source: Where the last changes came from, for the log: `relay`, `store`
        or the `host:port` of another instance.
    """

    __slots__ = (
        "_client",
        "_followed_source",
        "_verified_at",
        "_partial_listing",
        "_on_changes",
        "_on_contact",
        "_prefix",
        "_rng",
        "_has_gap",
        "_check_deputy_at",
        "_relay_heard",
        "_peer_reader",
        "_relay_valid_until",
        "_advanced",
        "_announced",
        "_value_reader",
        "store_answered_at",
        "copy",
        "deputies",
        "store_reachable",
        "relay_address",
        "is_relay",
        "source",
    )

    def __init__(
        self,
        client: keyvalue.KeyValueClient,
        prefix: str,
        on_changes: Callable[[Changes, int, int], None],
        on_contact: Callable[[bool], None],
        rng: random.Random,
        peer_reader: storecopy.PeerReader,
    ) -> None:
        """Creates an empty copy.

        Args:
          client: Client of the store.
          prefix: Start of the keys; empty for all.
          on_changes: Receives changes in order, and the revisions before and
            after them; after a full read, keys that no longer exist are
            reported as deleted.
          on_contact: Receives True after each response of the store, and False
            if neither the store nor a deputy that reaches it answers.
          rng: Source of the jitter.
          peer_reader: Reads the copies of other instances.
        """
        self._client = client
        self._prefix = prefix
        self._on_changes = on_changes
        self._on_contact = on_contact
        self._rng = rng
        self._peer_reader = peer_reader
        self.relay_address = ""
        self.copy = storecopy.StoreCopy()
        self._value_reader = valuereader.ValueReader(
            client,
            peer_reader,
            self.copy,
            lambda value, source: self._apply(
                storecopy.put_events([value]), 0, source
            ),
        )
        self.source = ""
        self.store_reachable = False
        self.store_answered_at = float("-inf")
        self.is_relay = False
        self.deputies = deputies.Deputies(rng)
        self._verified_at = float("-inf")
        # The source that is followed: `relay`, `store` or a deputy's address.
        self._followed_source = ""
        self._relay_valid_until = float("-inf")
        # When to check the deputy; None once it was checked.
        self._check_deputy_at: float | None = None
        self._has_gap = False
        # Highest revision that the relay has announced.
        self._announced = 0
        self._partial_listing = _PartialListing(0, 0, set())
        self._relay_heard = asyncio.Event()
        # Set, and replaced by a new event, each time the copy moves forward.
        self._advanced = asyncio.Event()

    @property
    def revision(self) -> int:
        """Revision up to which changes are known; 0 before the first read.

        Values that the relay omitted may still be missing.
        """
        return self.copy.revision

    @property
    def age_s(self) -> float:
        """Seconds since the store was known to be at the copy's revision."""
        return asyncio.get_running_loop().time() - self._verified_at

    @property
    def _era_passed(self) -> bool:
        """Whether the store has stated a later era than that of the copy."""
        return storeera.era_of(self.revision) < self._client.era

    async def run(self) -> None:
        """Follows the store until cancelled."""
        retry_s = valuereader.FIRST_RETRY_S
        complete = False
        while True:
            failure = None
            if not complete:
                failure = await self._read_all()
                complete = failure is None
            elif self._relay_usable():
                self._set_followed_source("relay")
                await self._await_relay()
                continue
            elif not self.deputies.store_first and await self._ask_deputies():
                await self._pause()
                continue
            else:
                failure = await self._read_store_changes()
                if failure is None:
                    self._set_followed_source("store")
                    retry_s = valuereader.FIRST_RETRY_S
            if failure is None:
                await self._pause()
                continue
            if failure.reason is errors.Reason.STALE_REVISION:
                # The store answered, but no longer has the changes.
                complete = False
                telemetry.log(
                    _log,
                    "history_lost",
                    revision=storeera.describe(self.revision),
                    detail=failure.detail,
                )
            elif await self._handle_store_failure(failure, complete):
                await self._pause()
                continue
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(valuereader.MAX_RETRY_S, retry_s * 2.0)

    async def _handle_store_failure(
        self, failure: errors.Failure, may_ask_deputies: bool
    ) -> bool:
        """Records a failed call; returns whether a deputy was read instead.

        Load pattern: the store refuses only the coordinator, which is the
        relay. Targets that vanish without deregistering must then leave its
        list, as the deputies report. In an outage of the whole store, however,
        entries that expire have to be kept.
        """
        if self.store_reachable:
            telemetry.log(
                _log,
                "store_lost",
                revision=storeera.describe(self.revision),
                reason=str(failure.reason),
                detail=failure.detail,
            )
        self.store_reachable = False
        if (
            may_ask_deputies
            and self.deputies.store_first
            and await self._ask_deputies()
        ):
            return True
        self._on_contact(False)
        return False

    async def _pause(self) -> None:
        """Lets changes accumulate; ends early if the relay is heard."""
        pause_s = RELAY_BATCH_PAUSE_S if self.is_relay else BATCH_PAUSE_S
        self._relay_heard.clear()
        try:
            async with asyncio.timeout(pause_s * self._rng.uniform(0.5, 1.0)):
                await self._relay_heard.wait()
        except TimeoutError:
            pass  # The next call is due.

    def _set_followed_source(self, source: str) -> None:
        """Records from where the changes are read."""
        if source != self._followed_source:
            telemetry.log(
                _log,
                "changes_followed",
                source=source,
                source_before=self._followed_source,
                revision=storeera.describe(self.revision),
                age_s=self.age_s,
            )
            self._followed_source = source

    async def _ask_deputies(self) -> bool:
        """Reads changes from the first deputy that reaches the store.

        Load pattern: the relay is cut off from the store while a configuration
        with 1,400 added routes changes. When 33 instances read it from the
        store, it took 18 s until they had it.

        Returns:
          Whether a deputy that reaches the store has answered.
        """
        now = asyncio.get_running_loop().time()
        remaining = [
            address
            for address in self.deputies.addresses
            if self.deputies.can_ask(address, now)
        ]
        calls: set[asyncio.Task[bool]] = set()
        try:
            while remaining or calls:
                if remaining:
                    call = self._ask_deputy(remaining.pop(0))
                    calls.add(asyncio.create_task(call))
                done, calls = await asyncio.wait(
                    calls,
                    timeout=DEPUTY_HEDGE_S if remaining else None,
                    return_when="FIRST_COMPLETED",
                )
                if any([task.result() for task in done]):
                    return True
        finally:
            for task in calls:
                task.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
        return False

    async def _check_deputy(self) -> None:
        """Checks whether the next deputy in turn answers at all.

        Load pattern: the relay and the first deputy freeze just before a new
        version of the configuration. With one timeout after the other, the
        other instances had it after 3 s.
        """
        now = asyncio.get_running_loop().time()
        for address in self.deputies.addresses:
            if self.deputies.can_ask(address, now):
                await self._read_deputy(address, 0.0)
                return

    async def _read_deputy(
        self, address: str, wait_s: float
    ) -> storecopy.CopyChanges | None:
        """Applies a deputy's changes; returns None if it did not answer."""
        result = await self._peer_reader.read_changes(
            address, self.copy.complete_revision, wait_s
        )
        if isinstance(result, errors.Failure):
            now = asyncio.get_running_loop().time()
            self.deputies.mark_failed(address, now)
            telemetry.log(
                _log,
                "deputy_not_read",
                peer=address,
                reason=str(result.reason),
                detail=result.detail,
            )
            return None
        self._take_changes(result, address)
        return result

    async def _ask_deputy(self, address: str) -> bool:
        """Reads a deputy's changes; returns whether it reaches the store."""
        result = await self._read_deputy(address, DEPUTY_WAIT_S)
        if result is None:
            return False
        if storeera.era_of(result.revision) < self._client.era:
            return False
        now = asyncio.get_running_loop().time()
        if result.age_s > MAX_DEPUTY_AGE_S:
            self.deputies.mark_failed(address, now)
            telemetry.log(
                _log,
                "deputy_behind",
                peer=address,
                age_s=result.age_s,
                revision=storeera.describe(result.revision),
            )
            return False
        # The relay may have announced changes that the deputy does not have.
        self._has_gap = result.revision < self.revision or (
            storeera.era_of(result.revision) < storeera.era_of(self._announced)
        )
        self._set_followed_source(address)
        return True

    def _take_changes(
        self, changes: storecopy.CopyChanges, address: str
    ) -> None:
        """Applies changes from another instance's copy."""
        before = self.revision
        new_changes = self.copy.merge(changes)
        if changes.revision >= before:
            now = asyncio.get_running_loop().time()
            self._verified_at = max(self._verified_at, now - changes.age_s)
        self._notify(new_changes, before, address)

    async def changes_after(
        self, revision: int, wait_s: float
    ) -> storecopy.CopyChanges:
        """Returns what another instance's copy lacks (a long poll).

        Args:
          revision: Revision up to which that instance's copy is complete.
          wait_s: Longest time in seconds to wait for a newer revision.
        """
        deadline = asyncio.get_running_loop().time() + wait_s
        while self.copy.complete_revision <= revision:
            if not await self._wait_for_advance(deadline):
                break
        return self.copy.changes_after(revision, self.age_s)

    async def value_from(
        self, key: str, revision: int, wait_s: float
    ) -> keyvalue.KeyValue | None:
        """Returns a value of at least a revision, once it is known.

        Returns None if it is still missing after `wait_s` seconds, or if the
        key was removed.
        """
        deadline = asyncio.get_running_loop().time() + wait_s
        while self.copy.is_missing(key, revision):
            if not await self._wait_for_advance(deadline):
                return None
        return self.copy.value(key)

    async def _wait_for_advance(self, deadline: float) -> bool:
        advanced = self._advanced
        try:
            async with asyncio.timeout_at(deadline):
                await advanced.wait()
        except TimeoutError:
            return False
        return True

    def _relay_usable(self) -> bool:
        now = asyncio.get_running_loop().time()
        return (
            not self.is_relay
            and not self._has_gap
            and not self._era_passed
            and now < self._relay_valid_until
        )

    async def _await_relay(self) -> None:
        """Waits for the relay; checks a deputy when the relay is suspected."""
        self._relay_heard.clear()
        deadline = self._relay_valid_until
        if self._check_deputy_at is not None:
            deadline = min(deadline, self._check_deputy_at)
        try:
            async with asyncio.timeout_at(deadline):
                await self._relay_heard.wait()
        except TimeoutError:
            suspected, self._check_deputy_at = (
                self._check_deputy_at is not None,
                None,
            )
            if deadline == self._relay_valid_until:
                # The timer may fire slightly before the deadline.
                self._relay_valid_until = float("-inf")
            if suspected and not self.deputies.store_first:
                await self._check_deputy()

    async def _read_store_changes(self) -> errors.Failure | None:
        wait_s = RELAY_WATCH_WAIT_S if self.is_relay else WATCH_WAIT_S
        if self._followed_source != "store":
            wait_s = FIRST_WATCH_WAIT_S
        events = await self._client.changes(self._prefix, self.revision, wait_s)
        if isinstance(events, errors.Failure):
            return events
        self._has_gap = False
        self._record_contact()
        self._verified_at = self.store_answered_at
        if events:
            revision = max(e.mod_revision for e in events)
            self._apply(events, revision, "store")
        return None

    def handle_relay_status(self, revision: int, age_s: float) -> None:
        """Takes note of the relay's status in an update of the coordinator.

        Args:
          revision: Revision up to which the relay's copy is complete.
          age_s: Seconds since the store last answered the relay.
        """
        if storeera.era_of(revision) < storeera.era_of(self.revision):
            # The relay does not know what the store has lost.
            self.handle_relay_stop()
            return
        now = asyncio.get_running_loop().time()
        self._check_deputy_at = now + min(
            RELAY_SUSPECT_S, RELAY_STALE_S - age_s
        )
        self._relay_valid_until = (
            now - age_s + RELAY_VALID_S + self.deputies.extra_wait_s
        )
        if revision > self.revision:
            self._note_gap(revision)  # A message with changes has been lost.
        elif revision == self.revision:
            self._verified_at = max(self._verified_at, now - age_s)
        self._relay_heard.set()

    def handle_relay_stop(self) -> None:
        """Stops relying on the relay, which is shutting down."""
        self._relay_valid_until = float("-inf")
        self._relay_heard.set()

    def handle_relay_changes(
        self,
        changes: list[RelayedChange],
        before: int,
        after: int,
        source: str,
        parts: int = 0,
        part: int = 0,
    ) -> None:
        """Applies changes from the relay.

        Args:
          changes: The changes, in order; changes that have no effect on the
            mirror, such as renewals of targets, are left out.
          before: Revision up to which the copy must be complete.
          after: Revision up to which the copy is complete afterwards.
          source: `host:port` of an instance that has the omitted values;
            empty for the store.
          parts: Number of messages if the relay has read all keys again and
            sends the differences from its copy at `before`; keys that were
            added and removed in between are not among them. 0 if the changes
            are all that were made since `before`.
          part: Number of this message among `parts`, from 0.
        """
        if not self.revision:
            return
        fits = before == self.revision if parts else before <= self.revision
        fits = fits and self.copy.is_of_era(after)
        if not fits:
            if after > self.revision:
                self._note_gap(after)
            self._relay_heard.set()
        elif after > self.revision:
            omitted = [c.event for c in changes if c.omitted]
            for event in omitted:
                self.copy.expect_value(event.key, event.mod_revision)
            included = [c.event for c in changes if not c.omitted]
            if parts and not self._completes_listing(
                before, after, parts, part
            ):
                after = 0
            elif parts:
                self.copy.mark_removals_unknown(after)
            self._apply(included, after, "relay")
            # A deputy does not ask the other one: they would wait for each
            # other.
            store_first = self.deputies.store_first
            others = () if store_first else self.deputies.addresses
            sources = dict.fromkeys(p for p in (source, *others) if p)
            relay = self.relay_address if store_first else ""
            for event in omitted:
                self._value_reader.start(
                    event.key, event.mod_revision, sources, relay
                )

    def _completes_listing(
        self, before: int, after: int, parts: int, part: int
    ) -> bool:
        """Whether this part was the last one missing of a full read.

        Removals have the revision of the full read, so a copy that lacks a
        part would claim that revision without having all removals before it.
        """
        listing = self._partial_listing
        if (listing.base, listing.revision) != (before, after):
            listing = self._partial_listing = _PartialListing(
                before, after, set(range(parts))
            )
        listing.missing_parts.discard(part)
        return not listing.missing_parts

    def _note_gap(self, announced: int) -> None:
        """Records that changes up to an announced revision are missing."""
        if not self._has_gap:
            telemetry.log(
                _log,
                "changes_missed",
                revision=storeera.describe(self.revision),
                announced_revision=storeera.describe(announced),
                age_s=self.age_s,
            )
        self._has_gap = True
        self._announced = max(self._announced, announced)

    async def _read_all(self) -> errors.Failure | None:
        result = await self._read_relay_copy()
        source = self.relay_address if result else "store"
        if result is None:
            read = await self._client.range(self._prefix)
            if isinstance(read, errors.Failure):
                return read
            result = read
            self._record_contact()
            self._verified_at = self.store_answered_at
        if result.revision < self.revision:
            return errors.Failure(
                errors.Reason.STALE_REVISION,
                errors.Step.KEY_VALUE,
                "store",
                detail="read revision "
                f"{storeera.describe(result.revision)}, older than the copy's "
                f"revision {storeera.describe(self.revision)}",
            )
        telemetry.log(
            _log,
            "copy_read",
            source=source,
            items=len(result.values),
            revision=storeera.describe(result.revision),
            revision_before=storeera.describe(self.revision),
        )
        before = self.revision
        self._has_gap = False
        self._notify(self.copy.apply_listing(result), before, source)
        return None

    async def catch_up(self, address: str) -> None:
        """Reads and applies what another instance's copy has in addition.

        Load pattern: only the coordinator is cut off from the store. Other
        instances renew its lease for it, so its list of targets has to be kept
        up to date as well.
        """
        if not self.revision:
            return
        before = self.revision
        result = await self._peer_reader.read_changes(
            address, self.copy.complete_revision, 0.0
        )
        if isinstance(result, errors.Failure):
            telemetry.log(
                _log, "peer_not_read", peer=address, reason=str(result.reason)
            )
            return
        self._take_changes(result, address)
        if self.revision > before:
            telemetry.log(
                _log,
                "peer_copy_taken",
                peer=address,
                before=storeera.describe(before),
                revision=storeera.describe(result.revision),
            )

    async def _read_relay_copy(self) -> keyvalue.RangeResult | None:
        """Reads the relay's copy; returns it if it brings this one up to date.

        A copy at the same revision counts only while the relay reaches the
        store; otherwise the store itself is read.

        Load pattern: the store has dropped its history and all instances need
        a full read at once, over one link between regions.
        """
        if self.is_relay or not self.revision or not self.relay_address:
            return None
        result = await self._peer_reader.read_changes(
            self.relay_address, 0, 0.0
        )
        if isinstance(result, errors.Failure):
            telemetry.log(
                _log,
                "relay_not_read",
                peer=self.relay_address,
                reason=str(result.reason),
                detail=result.detail,
            )
            return None
        if storeera.era_of(result.revision) < self._client.era:
            return None
        relay_valid = (
            asyncio.get_running_loop().time() < self._relay_valid_until
        )
        if result.revision > self.revision or (
            relay_valid and result.revision == self.revision
        ):
            return keyvalue.RangeResult(result.revision, result.values)
        return None

    def _apply(self, events: Changes, revision: int, source: str) -> None:
        before = self.revision
        self._notify(self.copy.apply(events, revision), before, source)

    def _notify(self, new_changes: Changes, before: int, source: str) -> None:
        """Reports new changes here and wakes the calls that wait for them."""
        if new_changes or self.revision > before:
            self.source = source
            self._advanced.set()
            self._advanced = asyncio.Event()
            self._on_changes(new_changes, before, self.revision)

    def adopt(
        self, values: tuple[keyvalue.KeyValue, ...], address: str
    ) -> None:
        """Applies another instance's copy before the first read of the store.

        The mirror's revision stays 0, so all keys are read again later.
        """
        if not self.revision:
            self._apply(storecopy.put_events(values), 0, address)

    def _record_contact(self) -> None:
        """Records that the store answered."""
        if not self.store_reachable:
            telemetry.log(
                _log,
                "store_regained",
                revision=storeera.describe(self.revision),
            )
        self.store_reachable = True
        self.store_answered_at = asyncio.get_running_loop().time()
        self._on_contact(True)
