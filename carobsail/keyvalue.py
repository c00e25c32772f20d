"""Clients of a key-value service.

`KeyValueClient` is the interface that the rest of the code uses;
`MemoryKeyValue` holds the data in memory, for tests and the demo. The HTTP
client for the published etcd v3 JSON gateway is in `etcd.py`.
"""

import abc
import asyncio
import dataclasses
from collections.abc import AsyncGenerator, AsyncIterator

from carobsail import errors


@dataclasses.dataclass(slots=True, frozen=True)
class KeyValue:
    """A stored value.

    Attributes:
      key: The key.
      value: The value.
      mod_revision: Revision of the service at which it was last written; the
        service counts one revision for all keys.
      lease: Lease to which the key is bound; 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int
    lease: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Compare:
    """Condition of a transaction: the key's last revision (0: no such key)."""

    key: str
    mod_revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Put:
    """Writes a value, optionally bound to a lease."""

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Delete:
    """Deletes a key."""

    key: str


@dataclasses.dataclass(slots=True, frozen=True)
class TransactionResult:
    """Result of a transaction.

    Attributes:
      succeeded: Whether all conditions held and the writes took effect.
      revision: Revision of the service after the transaction.
      current: If not succeeded, the current values of the compared keys that
        exist.
    """

    succeeded: bool
    revision: int
    current: tuple[KeyValue, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class RangeResult:
    """Values under a prefix, and the service's revision when they were read."""

    revision: int
    values: tuple[KeyValue, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class WatchEvent:
    """A change of a key; `value` is None if the key was deleted."""

    key: str
    value: bytes | None
    mod_revision: int


class KeyValueClient(abc.ABC):
    """Asynchronous key-value operations.

    Each method returns a `Failure` of step `KEY_VALUE` instead of raising.
    A failed write has outcome NOT_RUN when it was certainly not sent and
    UNKNOWN when it may have taken effect.

    Revisions are in order also if the service loses its last changes; see
    `storeera`. A call that states a revision of an earlier era fails with
    reason STALE_REVISION.
    """

    @property
    def era(self) -> int:
        """Highest era of the service that a response has stated.

        It rises before the call that received the response returns. Leases are
        numbered anew in each era, so a result of `grant_lease`, `keep_lease` or
        `transact` is certain only if the era is the same before and after.
        """
        return 0

    @property
    def ignored_eras(self) -> int:
        """Number of responses that stated their era in an unusable way."""
        return 0

    @abc.abstractmethod
    async def range(self, prefix: str) -> RangeResult | errors.Failure:
        """Reads all values whose key starts with `prefix`, sorted by key."""

    @abc.abstractmethod
    async def transact(
        self, compares: list[Compare], writes: list[Put | Delete]
    ) -> TransactionResult | errors.Failure:
        """Writes all of `writes` if every condition holds."""

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> int | errors.Failure:
        """Creates a lease and returns its identifier."""

    @abc.abstractmethod
    async def keep_lease(self, lease: int) -> float | errors.Failure:
        """Renews a lease; returns its remaining seconds (0: it has ended)."""

    @abc.abstractmethod
    async def revoke_lease(self, lease: int) -> None | errors.Failure:
        """Ends a lease and deletes its keys."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[list[WatchEvent] | errors.Failure]:
        """Yields changes from `start_revision` on, in order.

        The iterator ends after a `Failure`; the caller reads the range again
        and starts a new watch.
        """

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> list[WatchEvent] | errors.Failure:
        """Returns the next changes (a long poll).

        Args:
          prefix: Start of the keys.
          after: Revision after which changes are returned.
          wait_s: Seconds after which an empty list is returned.
        """
        watch = self.watch(prefix, after + 1)
        try:
            async with asyncio.timeout(wait_s):
                return await anext(watch)
        except TimeoutError:
            return []
        finally:
            if isinstance(watch, AsyncGenerator):
                await watch.aclose()


@dataclasses.dataclass(slots=True, frozen=True)
class Checkpoint:
    """A copy of the data of a `MemoryKeyValue`.

    Attributes:
      made_at: Time of the event loop's clock at which it was made.
      revision: Revision of the service.
      next_lease: Identifier of the next lease.
      values: Values by key.
      history: All changes up to the revision.
      leases: Expiry and time to live in seconds, by lease.
    """

    made_at: float
    revision: int
    next_lease: int
    values: dict[str, KeyValue]
    history: list[WatchEvent]
    leases: dict[int, tuple[float, float]]


class MemoryKeyValue(KeyValueClient):
    """Key-value service in memory; leases expire by the event loop's clock.

    Attributes:
      available: While False, each call fails without effect.
      lose_answers: Number of subsequent writes that take effect but whose
        response is lost.
      calls: Number of calls by method name.
    """

    __slots__ = (
        "_changed",
        "_leases",
        "_history",
        "_next_lease",
        "_revision",
        "_values",
        "available",
        "calls",
        "lose_answers",
    )

    def __init__(self) -> None:
        self.available = True
        self.lose_answers = 0
        self.calls: dict[str, int] = {}
        self._values: dict[str, KeyValue] = {}
        self._history: list[WatchEvent] = []
        self._revision = 1
        self._next_lease = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()

    def checkpoint(self) -> Checkpoint:
        """Returns a copy of the data, to which `restore` can go back."""
        now = asyncio.get_running_loop().time()
        return Checkpoint(
            now,
            self._revision,
            self._next_lease,
            dict(self._values),
            list(self._history),
            dict(self._leases),
        )

    def restore(self, older: Checkpoint, leases_paused: bool) -> None:
        """Goes back to an older copy; what was written since is lost.

        Args:
          older: The older copy.
          leases_paused: Whether the time since the copy was made does not count
            for the leases in it.
        """
        now = asyncio.get_running_loop().time()
        shift_s = now - older.made_at if leases_paused else 0.0
        self._revision = older.revision
        self._next_lease = older.next_lease
        self._values = dict(older.values)
        self._history = list(older.history)
        self._leases = {
            lease: (expiry + shift_s, ttl_s)
            for lease, (expiry, ttl_s) in older.leases.items()
        }
        self._changed.set()
        self._changed = asyncio.Event()

    def _begin_call(self, method: str) -> None:
        self.calls[method] = self.calls.get(method, 0) + 1
        self._expire()

    def _failure(self, outcome: errors.Outcome) -> errors.Failure:
        return errors.Failure(
            errors.Reason.UNAVAILABLE,
            errors.Step.KEY_VALUE,
            "key-value",
            outcome,
        )

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        for lease, (expiry, _) in list(self._leases.items()):
            if expiry <= now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [v.key for v in self._values.values() if v.lease == lease]
        if keys:
            self._write([Delete(key) for key in keys])

    def _write(self, writes: list[Put | Delete]) -> None:
        self._revision += 1
        for write in writes:
            if isinstance(write, Put):
                self._values[write.key] = KeyValue(
                    write.key, write.value, self._revision, write.lease
                )
                event = WatchEvent(write.key, write.value, self._revision)
            elif self._values.pop(write.key, None) is None:
                continue
            else:
                event = WatchEvent(write.key, None, self._revision)
            self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def range(self, prefix: str) -> RangeResult | errors.Failure:
        """See base class."""
        self._begin_call("range")
        await asyncio.sleep(0)
        if not self.available:
            return self._failure(errors.Outcome.NOT_RUN)
        values = sorted(
            (v for k, v in self._values.items() if k.startswith(prefix)),
            key=lambda value: value.key,
        )
        return RangeResult(self._revision, tuple(values))

    async def transact(
        self, compares: list[Compare], writes: list[Put | Delete]
    ) -> TransactionResult | errors.Failure:
        """See base class."""
        self._begin_call("transact")
        await asyncio.sleep(0)
        if not self.available:
            return self._failure(errors.Outcome.NOT_RUN)
        holds = all(
            self._revision_of(c.key) == c.mod_revision for c in compares
        )
        leases_exist = all(
            not (isinstance(w, Put) and w.lease) or w.lease in self._leases
            for w in writes
        )
        if not leases_exist:
            return self._failure(errors.Outcome.NOT_RUN)
        if holds and writes:
            self._write(writes)
        if writes and self.lose_answers:
            self.lose_answers -= 1
            return self._failure(errors.Outcome.UNKNOWN)
        current = () if holds else self._current(compares)
        return TransactionResult(holds, self._revision, current)

    def _revision_of(self, key: str) -> int:
        value = self._values.get(key)
        return value.mod_revision if value else 0

    def _current(self, compares: list[Compare]) -> tuple[KeyValue, ...]:
        keys = [c.key for c in compares]
        return tuple(self._values[k] for k in keys if k in self._values)

    async def grant_lease(self, ttl_s: float) -> int | errors.Failure:
        """See base class."""
        self._begin_call("grant_lease")
        await asyncio.sleep(0)
        if not self.available:
            return self._failure(errors.Outcome.NOT_RUN)
        lease = self._next_lease
        self._next_lease += 1
        now = asyncio.get_running_loop().time()
        self._leases[lease] = (now + ttl_s, ttl_s)
        return lease

    async def keep_lease(self, lease: int) -> float | errors.Failure:
        """See base class."""
        self._begin_call("keep_lease")
        await asyncio.sleep(0)
        if not self.available:
            return self._failure(errors.Outcome.NOT_RUN)
        if lease not in self._leases:
            return 0.0
        ttl_s = self._leases[lease][1]
        now = asyncio.get_running_loop().time()
        self._leases[lease] = (now + ttl_s, ttl_s)
        return float(ttl_s)

    async def revoke_lease(self, lease: int) -> None | errors.Failure:
        """See base class."""
        self._begin_call("revoke_lease")
        await asyncio.sleep(0)
        if not self.available:
            return self._failure(errors.Outcome.NOT_RUN)
        self._end_lease(lease)
        return None

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[list[WatchEvent] | errors.Failure]:
        """See base class."""
        self._begin_call("watch")
        position = 0
        while True:
            if not self.available:
                yield self._failure(errors.Outcome.FAILED)
                return
            changed = self._changed
            events = [
                event
                for event in self._history[position:]
                if event.key.startswith(prefix)
                and event.mod_revision >= start_revision
            ]
            position = len(self._history)
            if events:
                yield events
            else:
                await self._wait_for_change(changed)

    async def _wait_for_change(self, changed: asyncio.Event) -> None:
        """Waits for a change, an outage or the next lease expiry."""
        try:
            await asyncio.wait_for(changed.wait(), timeout=0.1)
        except TimeoutError:
            self._expire()
