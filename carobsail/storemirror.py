"""A local copy of the keys of the store.

The copy only moves forward: each change is applied once, in the order of its
revision, and an outage of the store leaves the copy as it is.

One instance, the relay, follows the store closely and tells the others, whose
calls would grow with instances times changes. An instance that has not heard
from a relay in touch with the store within `RELAY_VALID_S`, or that missed a
change, asks a deputy: the first or second instance of its data centre. Only
the deputies, and an instance that no deputy answers, ask the store: a
change of the configuration would otherwise go to each instance over the link
between regions.
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
    telemetry,
    valuereader,
)

# A leaving target must be known within 2.5 s of the store's acknowledgement,
# also when a connection went silent or the relay was cut off in between.
WAIT_S = 2.0
RELAY_WAIT_S = 0.5
# A store that drops its history lets the relay hear nothing for a second,
# beside the 0.75 s between two calls. If all instances ask the store then, a
# change of the configuration goes to each of them over the link between
# regions: 175 KB to 44 instances fill it for 2 s.
RELAY_VALID_S = 1.8
# A call that waits returns at the first change, and the 76 targets of a large
# fleet renew their entries some 20 times a second; calls are billed. Changes of
# this time are read together, far below the 2.5 s in which they must be known.
PAUSE_S = 0.6
RELAY_PAUSE_S = 0.25
# The first call after the relay was given up shows soon whether the store
# answers.
FIRST_WAIT_S = 0.05
# Boards come every 0.5 s. After this silence of the relay an instance finds out
# whether its deputy answers, to lose no time if both are lost.
RELAY_DOUBT_S = 0.7
# The same if the relay is heard and has not heard from the store. Its calls are
# 0.75 s apart, and the next board may be on its way.
RELAY_STALE_S = 1.3
# A deputy that knows nothing new answers after this time; until then it may
# still read a large value, 550 KB in each data centre, from the store.
DEPUTY_WAIT_S = 0.5
# The other deputy is asked as well after this time: one that has lost the
# store, or is frozen, must not delay what the other one knows.
OTHER_DEPUTY_S = 0.2
# A deputy whose copy is older than this has lost the store as well.
DEPUTY_AGE_S = 1.5

_log = logging.getLogger(__name__)

Changes = list[keyvalue.WatchEvent]


@dataclasses.dataclass(slots=True)
class _Listing:
    """What is missing of the differences that a full reading showed.

    Attributes:
      before: Revision of the copy that they build on.
      after: Revision of the reading.
      missing: Numbers of the messages that have not come.
    """

    before: int
    after: int
    missing: set[int]


@dataclasses.dataclass(slots=True, frozen=True)
class RelayedChange:
    """A change from the relay; the value is left out if `omitted`."""

    event: keyvalue.WatchEvent
    omitted: bool = False


class StoreMirror:
    """Follows all keys with a prefix.

    Attributes:
      copy: What is known.
      reachable: Whether the last call of the store was answered.
      contact_at: When the store last answered.
      relay_address: `host:port` of the relay's copy; empty if not known.
      relays: Whether this instance is the relay.
      deputies: Who follows the store without the relay.
      source: Where the last changes came from, for the log: `relay`, `store`
        or the `host:port` of another instance.
    """

    __slots__ = (
        "_client",
        "_followed",
        "_fresh_at",
        "_listing",
        "_on_changes",
        "_on_contact",
        "_prefix",
        "_rng",
        "_gap",
        "_doubt_at",
        "_news",
        "_peers",
        "_relayed_until",
        "_told",
        "_values",
        "contact_at",
        "copy",
        "deputies",
        "reachable",
        "relay_address",
        "relays",
        "source",
    )

    def __init__(
        self,
        client: keyvalue.KeyValueClient,
        prefix: str,
        on_changes: Callable[[Changes, int, int], None],
        on_contact: Callable[[bool], None],
        rng: random.Random,
        peers: storecopy.Peers,
    ) -> None:
        """Creates an empty copy.

        Args:
          client: Client of the store.
          prefix: Start of the keys; empty for all.
          on_changes: Receives changes in order, and the revisions before and
            after them; after a reading of all keys, those that are gone come
            as deleted.
          on_contact: Receives True after each answer of the store, and False
            if neither it nor a deputy in touch with it answers.
          rng: Source of the jitter.
          peers: Reads the copies of other instances.
        """
        self._client = client
        self._prefix = prefix
        self._on_changes = on_changes
        self._on_contact = on_contact
        self._rng = rng
        self._peers = peers
        self.relay_address = ""
        self.copy = storecopy.StoreCopy()
        self._values = valuereader.ValueReader(
            client,
            peers,
            self.copy,
            lambda value, source: self._apply(
                storecopy.puts([value]), 0, source
            ),
        )
        self.source = ""
        self.reachable = False
        self.contact_at = float("-inf")
        self.relays = False
        self.deputies = deputies.Deputies(rng)
        self._fresh_at = float("-inf")
        # From where the last changes came, for the log.
        self._followed = ""
        self._relayed_until = float("-inf")
        # When the deputy is to be checked; None after that was done.
        self._doubt_at: float | None = None
        self._gap = False
        self._listing = _Listing(0, 0, set())
        self._news = asyncio.Event()
        # Set, and replaced, when the copy moves forward.
        self._told = asyncio.Event()

    @property
    def revision(self) -> int:
        """Revision up to which changes were told; 0 before the first one."""
        return self.copy.revision

    @property
    def age_s(self) -> float:
        """Seconds since the store was known to be at the copy's revision."""
        return asyncio.get_running_loop().time() - self._fresh_at

    async def run(self) -> None:
        """Follows the store until cancelled."""
        retry_s = valuereader.FIRST_RETRY_S
        complete = False
        while True:
            failure = None
            if not complete:
                failure = await self._read_all()
                complete = failure is None
            elif self._relay_serves():
                self._follow("relay")
                await self._await_relay()
                continue
            elif not self.deputies.leads and await self._ask_deputies():
                await self._pause()
                continue
            else:
                failure = await self._ask_changes()
                if failure is None:
                    self._follow("store")
                    retry_s = valuereader.FIRST_RETRY_S
            if failure is None:
                await self._pause()
                continue
            if failure.reason is errors.Reason.STALE_REVISION:
                # An answer: the store is there, only the changes are not.
                complete = False
                telemetry.log(_log, "history_lost", revision=self.revision)
            elif await self._lost_store(failure, complete):
                await self._pause()
                continue
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(valuereader.MAX_RETRY_S, retry_s * 2.0)

    async def _lost_store(self, failure: errors.Failure, ask: bool) -> bool:
        """Notes a failed call; tells whether a deputy helps instead.

        Load pattern: the store turns away the order giver alone. Targets that
        leave without a word must go from its list, as the deputies tell it,
        while in an outage of the store entries lapse that are to be kept.
        """
        if self.reachable:
            telemetry.log(
                _log,
                "store_lost",
                revision=self.revision,
                reason=str(failure.reason),
                detail=failure.detail,
            )
        self.reachable = False
        if ask and self.deputies.leads and await self._ask_deputies():
            return True
        self._on_contact(False)
        return False

    async def _pause(self) -> None:
        """Lets changes gather, unless the relay is heard meanwhile."""
        pause_s = RELAY_PAUSE_S if self.relays else PAUSE_S
        self._news.clear()
        try:
            async with asyncio.timeout(pause_s * self._rng.uniform(0.5, 1.0)):
                await self._news.wait()
        except TimeoutError:
            pass  # The time of the next call has come.

    def _follow(self, source: str) -> None:
        """Notes from where the changes come."""
        if source != self._followed:
            telemetry.log(
                _log,
                "changes_followed",
                source=source,
                source_before=self._followed,
                revision=self.revision,
                age_s=self.age_s,
            )
            self._followed = source

    async def _ask_deputies(self) -> bool:
        """Asks deputies for changes until one is in touch; tells whether.

        Load pattern: the relay is cut off from the store while a configuration
        with 1,400 added routes changes. 33 instances that read it from the
        store had it 18 s later.
        """
        now = asyncio.get_running_loop().time()
        left = [
            address
            for address in self.deputies.addresses
            if self.deputies.askable(address, now)
        ]
        asked: set[asyncio.Task[bool]] = set()
        try:
            while left or asked:
                if left:
                    call = self._ask_deputy(left.pop(0))
                    asked.add(asyncio.create_task(call))
                done, asked = await asyncio.wait(
                    asked,
                    timeout=OTHER_DEPUTY_S if left else None,
                    return_when="FIRST_COMPLETED",
                )
                if any([task.result() for task in done]):
                    return True
        finally:
            for task in asked:
                task.cancel()
            await asyncio.gather(*asked, return_exceptions=True)
        return False

    async def _check_deputy(self) -> None:
        """Finds out whether the next deputy to be asked answers at all.

        Load pattern: the relay and the first deputy freeze just before a
        version. Waiting for one after the other, the rest had it after 3 s.
        """
        now = asyncio.get_running_loop().time()
        for address in self.deputies.addresses:
            if self.deputies.askable(address, now):
                await self._read_deputy(address, 0.0)
                return

    async def _read_deputy(
        self, address: str, wait_s: float
    ) -> storecopy.CopyChanges | None:
        """Takes over what a deputy has; returns None if it did not answer."""
        found = await self._peers.read_changes(
            address, self.copy.complete_revision, wait_s
        )
        if isinstance(found, errors.Failure):
            now = asyncio.get_running_loop().time()
            self.deputies.failed(address, now)
            telemetry.log(
                _log,
                "deputy_not_read",
                peer=address,
                reason=str(found.reason),
                detail=found.detail,
            )
            return None
        self._take_changes(found, address)
        return found

    async def _ask_deputy(self, address: str) -> bool:
        """Asks one deputy for changes; tells whether it is in touch."""
        found = await self._read_deputy(address, DEPUTY_WAIT_S)
        if found is None:
            return False
        now = asyncio.get_running_loop().time()
        if found.age_s > DEPUTY_AGE_S:
            self.deputies.failed(address, now)
            telemetry.log(
                _log,
                "deputy_behind",
                peer=address,
                age_s=found.age_s,
                revision=found.revision,
            )
            return False
        # The relay may have told of changes that the deputy has not seen yet.
        self._gap = found.revision < self.revision
        self._follow(address)
        return True

    def _take_changes(self, found: storecopy.CopyChanges, address: str) -> None:
        """Takes over what another instance's copy has more than this one."""
        before = self.revision
        news = self.copy.merge(found)
        if found.revision >= before:
            now = asyncio.get_running_loop().time()
            self._fresh_at = max(self._fresh_at, now - found.age_s)
        self._tell(news, before, address)

    async def changes_after(
        self, revision: int, wait_s: float
    ) -> storecopy.CopyChanges:
        """Returns what another instance lacks, as soon as there is something.

        Args:
          revision: Revision up to which that instance's copy is complete.
          wait_s: Longest wait in seconds.
        """
        until = asyncio.get_running_loop().time() + wait_s
        while self.copy.complete_revision <= revision:
            if not await self._wait_told(until):
                break
        return self.copy.changes_after(revision, self.age_s)

    async def value_from(
        self, key: str, revision: int, wait_s: float
    ) -> keyvalue.KeyValue | None:
        """Returns a value of a revision or newer, as soon as it is known."""
        until = asyncio.get_running_loop().time() + wait_s
        while self.copy.misses(key, revision):
            if not await self._wait_told(until):
                return None
        return self.copy.value(key)

    async def _wait_told(self, until: float) -> bool:
        told = self._told
        try:
            async with asyncio.timeout_at(until):
                await told.wait()
        except TimeoutError:
            return False
        return True

    def _relay_serves(self) -> bool:
        now = asyncio.get_running_loop().time()
        return not self.relays and not self._gap and now < self._relayed_until

    async def _await_relay(self) -> None:
        """Waits while the relay tells what changes."""
        self._news.clear()
        until = self._relayed_until
        if self._doubt_at is not None:
            until = min(until, self._doubt_at)
        try:
            async with asyncio.timeout_at(until):
                await self._news.wait()
        except TimeoutError:
            doubted, self._doubt_at = self._doubt_at is not None, None
            if until == self._relayed_until:
                # A timer may be a little early.
                self._relayed_until = float("-inf")
            if doubted and not self.deputies.leads:
                await self._check_deputy()

    async def _ask_changes(self) -> errors.Failure | None:
        wait_s = RELAY_WAIT_S if self.relays else WAIT_S
        if self._followed != "store":
            wait_s = FIRST_WAIT_S
        events = await self._client.changes(self._prefix, self.revision, wait_s)
        if isinstance(events, errors.Failure):
            return events
        self._gap = False
        self._contact()
        self._fresh_at = self.contact_at
        if events:
            revision = max(e.mod_revision for e in events)
            self._apply(events, revision, "store")
        return None

    def relayed(self, revision: int, age_s: float) -> None:
        """Takes over how far the relay is.

        Args:
          revision: Revision up to which the relay's copy is complete.
          age_s: Seconds since the store last answered the relay.
        """
        now = asyncio.get_running_loop().time()
        self._doubt_at = now + min(RELAY_DOUBT_S, RELAY_STALE_S - age_s)
        self._relayed_until = (
            now - age_s + RELAY_VALID_S + self.deputies.patience_s
        )
        if revision > self.revision:
            self._note_gap(revision)  # A message with changes was lost.
        elif revision == self.revision:
            self._fresh_at = max(self._fresh_at, now - age_s)
        self._news.set()

    def relay_ended(self) -> None:
        """Asks the store again: the relay stops."""
        self._relayed_until = float("-inf")
        self._news.set()

    def relayed_changes(
        self,
        changes: list[RelayedChange],
        before: int,
        after: int,
        source: str,
        parts: int = 0,
        part: int = 0,
    ) -> None:
        """Takes over changes from the relay.

        Args:
          changes: The changes, in order; those without news are left out.
          before: Revision up to which the copy must be complete.
          after: Revision up to which it is complete then.
          source: `host:port` of an instance that has the omitted values;
            empty for the store.
          parts: Number of messages if the relay has read everything anew and
            tells the differences to its copy at `before`: what came and went
            since is not among them. 0 if these are all changes since then.
          part: Number of this message among them, from 0.
        """
        if not self.revision:
            return
        fits = before == self.revision if parts else before <= self.revision
        if not fits:
            if after > self.revision:
                self._note_gap(after)
            self._news.set()
        elif after > self.revision:
            omitted = [c.event for c in changes if c.omitted]
            for event in omitted:
                self.copy.expect(event.key, event.mod_revision)
            told = [c.event for c in changes if not c.omitted]
            if parts and not self._ends_listing(before, after, parts, part):
                after = 0
            elif parts:
                self.copy.forget_removals(after)
            self._apply(told, after, "relay")
            # The deputies must not wait for each other.
            leads = self.deputies.leads
            others = () if leads else self.deputies.addresses
            sources = dict.fromkeys(p for p in (source, *others) if p)
            relay = self.relay_address if leads else ""
            for event in omitted:
                self._values.start(
                    event.key, event.mod_revision, sources, relay
                )

    def _ends_listing(
        self, before: int, after: int, parts: int, part: int
    ) -> bool:
        """Whether all differences of a full reading have come with a part.

        Removals have the revision of the reading, so a copy that lacks a part
        would claim a revision without the removals before it.
        """
        listing = self._listing
        if (listing.before, listing.after) != (before, after):
            listing = self._listing = _Listing(before, after, set(range(parts)))
        listing.missing.discard(part)
        return not listing.missing

    def _note_gap(self, told: int) -> None:
        """Notes that changes up to a revision were not received."""
        if not self._gap:
            telemetry.log(
                _log,
                "changes_missed",
                revision=self.revision,
                told_revision=told,
                age_s=self.age_s,
            )
        self._gap = True

    async def _read_all(self) -> errors.Failure | None:
        result = await self._read_relay()
        source = self.relay_address if result else "store"
        if result is None:
            read = await self._client.range(self._prefix)
            if isinstance(read, errors.Failure):
                return read
            result = read
            self._contact()
            self._fresh_at = self.contact_at
        if result.revision < self.revision:
            return errors.Failure(
                errors.Reason.STALE_REVISION,
                errors.Step.KEY_VALUE,
                "store",
                detail=f"revision {result.revision} is before {self.revision}",
            )
        telemetry.log(
            _log,
            "copy_read",
            source=source,
            keys=len(result.values),
            revision=result.revision,
            revision_before=self.revision,
        )
        before = self.revision
        self._gap = False
        self._tell(self.copy.take_all(result), before, source)
        return None

    async def catch_up(self, address: str) -> None:
        """Takes over what another instance's copy has more than this one.

        Load pattern: the order giver alone is cut off from the store; its
        lease goes on with the help of others, and so must its list of targets.
        """
        if not self.revision:
            return
        before = self.revision
        found = await self._peers.read_changes(
            address, self.copy.complete_revision, 0.0
        )
        if isinstance(found, errors.Failure):
            telemetry.log(
                _log, "peer_not_read", peer=address, reason=str(found.reason)
            )
            return
        self._take_changes(found, address)
        if self.revision > before:
            telemetry.log(
                _log,
                "peer_copy_taken",
                peer=address,
                before=before,
                revision=found.revision,
            )

    async def _read_relay(self) -> keyvalue.RangeResult | None:
        """Reads the relay's copy if that brings this one up to date.

        A copy that is not ahead helps only if the relay is in touch with the
        store; else the store itself is read.

        Load pattern: the store has lost its history and all instances need
        everything at once, over one link between regions.
        """
        if self.relays or not self.revision or not self.relay_address:
            return None
        found = await self._peers.read_changes(self.relay_address, 0, 0.0)
        if isinstance(found, errors.Failure):
            telemetry.log(
                _log,
                "relay_not_read",
                peer=self.relay_address,
                reason=str(found.reason),
                detail=found.detail,
            )
            return None
        in_touch = asyncio.get_running_loop().time() < self._relayed_until
        if found.revision > self.revision or (
            in_touch and found.revision == self.revision
        ):
            return keyvalue.RangeResult(found.revision, found.values)
        return None

    def _apply(self, events: Changes, revision: int, source: str) -> None:
        before = self.revision
        self._tell(self.copy.apply(events, revision), before, source)

    def _tell(self, news: Changes, before: int, source: str) -> None:
        """Passes news on, here and to the instances that wait for them."""
        if news or self.revision > before:
            self.source = source
            self._told.set()
            self._told = asyncio.Event()
            self._on_changes(news, before, self.revision)

    def adopt(
        self, values: tuple[keyvalue.KeyValue, ...], address: str
    ) -> None:
        """Takes over another instance's copy, before the first reading."""
        if not self.revision:
            self._apply(storecopy.puts(values), 0, address)

    def _contact(self) -> None:
        """Notes that the store answered."""
        if not self.reachable:
            telemetry.log(_log, "store_regained", revision=self.revision)
        self.reachable = True
        self.contact_at = asyncio.get_running_loop().time()
        self._on_contact(True)
