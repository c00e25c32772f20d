"""A local copy of the keys of the store.

The copy only moves forward: each change is applied once, in the order of its
revision, and an outage of the store leaves the copy as it is.

One instance, the relay, follows the store closely and tells the others, whose
calls would grow with instances times changes. An instance that has not heard
from a relay in touch with the store within `RELAY_VALID_S`, or that missed a
change, asks the store itself.
"""

import abc
import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable

from carobsail import errors, keyvalue, telemetry

FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.0
# A leaving target must be known within 2.5 s of the store's acknowledgement,
# also when a connection went silent or the relay was cut off in between.
WAIT_S = 2.0
RELAY_WAIT_S = 0.5
# A store that drops its history lets the relay hear nothing for a second,
# beside the 0.75 s between two calls. If all instances ask the store then, a
# change of the configuration goes to each of them over the link between
# regions: 175 KB to 44 instances fill it for 2 s.
RELAY_VALID_S = 1.8
RELAY_SPREAD_S = 0.3
# A call that waits returns at the first change, and the 76 targets of a large
# fleet renew their entries some 20 times a second; calls are billed. Changes of
# this time are read together, far below the 2.5 s in which they must be known.
PAUSE_S = 0.6
RELAY_PAUSE_S = 0.25
# An omitted value is asked of another instance for this long, then of the
# store.
PEER_VALUE_S = 1.5

_log = logging.getLogger(__name__)

Changes = list[keyvalue.WatchEvent]


@dataclasses.dataclass(slots=True, frozen=True)
class RelayedChange:
    """A change from the relay; the value is left out if `omitted`."""

    event: keyvalue.WatchEvent
    omitted: bool = False


class Peers(abc.ABC):
    """Reads the copies of other instances, by `host:port`."""

    @abc.abstractmethod
    async def read_value(
        self, address: str, key: str
    ) -> keyvalue.KeyValue | None | errors.Failure:
        """Reads one value; None if the instance has none."""

    @abc.abstractmethod
    async def read_all(
        self, address: str
    ) -> keyvalue.RangeResult | errors.Failure:
        """Reads the whole copy."""


class StoreMirror:
    """Follows all keys with a prefix.

    Attributes:
      revision: Revision up to which the copy is complete; 0 before the first
        reading.
      reachable: Whether the last call was answered.
      contact_at: When the store last answered.
      relay_address: `host:port` of the relay's copy; empty if not known.
      relays: Whether this instance is the relay.
    """

    __slots__ = (
        "_client",
        "_fetches",
        "_known",
        "_on_changes",
        "_on_contact",
        "_prefix",
        "_rng",
        "_gap",
        "_news",
        "_peers",
        "_relay_valid_s",
        "_relayed_until",
        "contact_at",
        "reachable",
        "relay_address",
        "relays",
        "revision",
    )

    def __init__(
        self,
        client: keyvalue.KeyValueClient,
        prefix: str,
        on_changes: Callable[[Changes, int, int], None],
        on_contact: Callable[[bool], None],
        rng: random.Random,
        peers: Peers,
    ) -> None:
        """Creates an empty copy.

        Args:
          client: Client of the store.
          prefix: Start of the keys; empty for all.
          on_changes: Receives changes in order, and the revisions before and
            after them; after a reading of all keys, those that are gone come
            as deleted.
          on_contact: Receives whether the store answered, after each call.
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
        self._fetches: set[asyncio.Task[None]] = set()
        self._known: dict[str, keyvalue.KeyValue] = {}
        self.revision = 0
        self.reachable = False
        self.contact_at = float("-inf")
        self.relays = False
        self._relay_valid_s = RELAY_VALID_S + rng.uniform(0.0, RELAY_SPREAD_S)
        self._relayed_until = float("-inf")
        self._gap = False
        self._news = asyncio.Event()

    async def run(self) -> None:
        """Follows the store until cancelled."""
        retry_s = FIRST_RETRY_S
        complete = False
        while True:
            failure = None
            if not complete:
                failure = await self._read_all()
                complete = failure is None
            elif self._relay_serves():
                await self._await_relay()
                continue
            else:
                failure = await self._ask_changes()
                if failure is None:
                    retry_s = FIRST_RETRY_S
                elif failure.reason is errors.Reason.STALE_REVISION:
                    complete = False
            if failure is None:
                await self._pause()
                continue
            self._contact(False, failure)
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(MAX_RETRY_S, retry_s * 2.0)

    async def _pause(self) -> None:
        """Lets changes gather, unless the relay is heard meanwhile."""
        pause_s = RELAY_PAUSE_S if self.relays else PAUSE_S
        self._news.clear()
        try:
            async with asyncio.timeout(pause_s * self._rng.uniform(0.5, 1.0)):
                await self._news.wait()
        except TimeoutError:
            pass  # The time of the next call has come.

    def _relay_serves(self) -> bool:
        now = asyncio.get_running_loop().time()
        return not self.relays and not self._gap and now < self._relayed_until

    async def _await_relay(self) -> None:
        """Waits while the relay tells what changes."""
        self._news.clear()
        try:
            async with asyncio.timeout_at(self._relayed_until):
                await self._news.wait()
        except TimeoutError:
            # The relay was not heard in time; a timer may be a little early.
            self._relayed_until = float("-inf")

    async def _ask_changes(self) -> errors.Failure | None:
        wait_s = RELAY_WAIT_S if self.relays else WAIT_S
        events = await self._client.changes(self._prefix, self.revision, wait_s)
        if isinstance(events, errors.Failure):
            return events
        self._gap = False
        self._contact(True)
        if events:
            before = self.revision
            self.revision = max(before, max(e.mod_revision for e in events))
            self._apply(events, before)
        return None

    def relayed(self, revision: int, age_s: float) -> None:
        """Takes over how far the relay is.

        Args:
          revision: Revision up to which the relay's copy is complete.
          age_s: Seconds since the store last answered the relay.
        """
        now = asyncio.get_running_loop().time()
        self._relayed_until = now - age_s + self._relay_valid_s
        if revision > self.revision:
            self._gap = True  # A message with changes was lost.
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
    ) -> None:
        """Takes over changes from the relay.

        Args:
          changes: The changes, in order; those without news are left out.
          before: Revision up to which the copy must be complete.
          after: Revision up to which it is complete then.
          source: `host:port` of an instance that has the omitted values;
            empty for the store.
        """
        if not self.revision:
            return
        if before > self.revision:
            self._gap = self._gap or after > self.revision
            self._news.set()
        elif after > self.revision:
            own = self.revision
            self.revision = after
            self._apply([c.event for c in changes if not c.omitted], own)
            for change in changes:
                if change.omitted:
                    self._start_fetch(change.event, source)

    def _start_fetch(self, event: keyvalue.WatchEvent, source: str) -> None:
        task = asyncio.create_task(self._fetch(event, source))
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    async def _fetch(self, event: keyvalue.WatchEvent, source: str) -> None:
        """Reads a long value, from another instance or from the store.

        Load pattern: a configuration of 130 KB changes; if all instances read
        it from the store, the link between regions takes seconds.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        peer_until = started_at + PEER_VALUE_S
        while True:
            known = self._known.get(event.key)
            if known is not None and known.mod_revision >= event.mod_revision:
                return
            from_peer = bool(source) and loop.time() < peer_until
            if from_peer:
                value = await self._peers.read_value(source, event.key)
            else:
                value = await self._read_value(event.key)
            if isinstance(value, errors.Failure):
                telemetry.log(
                    _log,
                    "value_not_read",
                    key=event.key,
                    peer=value.peer,
                    reason=str(value.reason),
                    detail=value.detail,
                )
            elif value is None:
                if not from_peer:
                    return  # It was deleted; that change comes by itself.
            elif value.mod_revision >= event.mod_revision:
                telemetry.log(
                    _log,
                    "value_read",
                    key=event.key,
                    peer=source if from_peer else "store",
                    revision=value.mod_revision,
                    told_revision=event.mod_revision,
                    after_s=loop.time() - started_at,
                )
                found = keyvalue.WatchEvent(
                    value.key, value.value, value.mod_revision
                )
                self._apply([found], self.revision)
                return
            await asyncio.sleep(FIRST_RETRY_S)

    async def _read_value(
        self, key: str
    ) -> keyvalue.KeyValue | None | errors.Failure:
        result = await self._client.range(key)
        if isinstance(result, errors.Failure):
            return result
        return next((v for v in result.values if v.key == key), None)

    def value(self, key: str) -> keyvalue.KeyValue | None:
        """Returns a value of the copy."""
        return self._known.get(key)

    async def _read_all(self) -> errors.Failure | None:
        result = await self._read_relay()
        read_store = result is None
        if result is None:
            read = await self._client.range(self._prefix)
            if isinstance(read, errors.Failure):
                return read
            result = read
            self._contact(True)
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
            source="store" if read_store else self.relay_address,
            keys=len(result.values),
            revision=result.revision,
            revision_before=self.revision,
        )
        self._take_all(result)
        return None

    def _take_all(self, result: keyvalue.RangeResult) -> None:
        """Takes over a full listing, which shows what is gone as well."""
        listed = {value.key for value in result.values}
        changes = [
            keyvalue.WatchEvent(key, None, result.revision)
            for key in self._known
            if key not in listed
        ]
        changes += [
            keyvalue.WatchEvent(v.key, v.value, v.mod_revision)
            for v in result.values
        ]
        before, self.revision = self.revision, result.revision
        self._gap = False
        self._apply(changes, before)

    async def catch_up(self, address: str) -> None:
        """Takes over another instance's copy if it is ahead.

        Load pattern: the order giver alone is cut off from the store; its
        lease goes on with the help of others, and so must its list of targets.
        """
        found = await self._peers.read_all(address)
        if isinstance(found, errors.Failure):
            telemetry.log(
                _log, "peer_not_read", peer=address, reason=str(found.reason)
            )
        elif self.revision and found.revision > self.revision:
            telemetry.log(
                _log,
                "peer_copy_taken",
                peer=address,
                before=self.revision,
                revision=found.revision,
            )
            self._take_all(found)

    async def _read_relay(self) -> keyvalue.RangeResult | None:
        """Reads the relay's copy if that brings this one up to date.

        A copy that is not ahead helps only if the relay is in touch with the
        store; else the store itself is read.

        Load pattern: the store has lost its history and all instances need
        everything at once, over one link between regions.
        """
        if self.relays or not self.revision or not self.relay_address:
            return None
        found = await self._peers.read_all(self.relay_address)
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
        if found.revision > self.revision:
            return found
        return found if in_touch and found.revision == self.revision else None

    def _apply(self, events: Changes, before: int) -> None:
        fresh = []
        for event in sorted(events, key=lambda e: e.mod_revision):
            known = self._known.get(event.key)
            if known is not None and event.mod_revision <= known.mod_revision:
                continue
            if event.value is None:
                if self._known.pop(event.key, None) is None:
                    continue
            else:
                self._known[event.key] = keyvalue.KeyValue(
                    event.key, event.value, event.mod_revision
                )
            fresh.append(event)
        if fresh or self.revision > before:
            self._on_changes(fresh, before, self.revision)

    def snapshot(self) -> list[keyvalue.KeyValue]:
        """Returns the copy, for an instance that cannot reach the store."""
        return list(self._known.values())

    def adopt(self, values: list[keyvalue.KeyValue]) -> None:
        """Takes over another instance's copy, before the first reading."""
        if not self.revision:
            self._apply(
                [
                    keyvalue.WatchEvent(v.key, v.value, v.mod_revision)
                    for v in values
                ],
                0,
            )

    def _contact(
        self, reachable: bool, failure: errors.Failure | None = None
    ) -> None:
        if reachable != self.reachable:
            telemetry.log(
                _log,
                "store_regained" if reachable else "store_lost",
                revision=self.revision,
                reason=str(failure.reason) if failure else "",
                detail=failure.detail if failure else "",
            )
        self.reachable = reachable
        if reachable:
            self.contact_at = asyncio.get_running_loop().time()
        self._on_contact(reachable)
