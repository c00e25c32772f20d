"""Keeps the key-value calls of a data centre within a budget."""

import asyncio
import enum
import heapq
import itertools
from collections.abc import AsyncIterator

from carobsail import errors
from carobsail.keyvalue import (
    Compare,
    Delete,
    KeyValueClient,
    Put,
    RangeResult,
    TransactionResult,
    WatchEvent,
)

MAX_WAIT_S = 2.0
_MAX_WAITING = 1024
# Open watches may use up the budget; lease renewals (one every 2 s) must still
# get through.
_MIN_CALLS_PER_S = 0.5


class CallPriority(enum.IntEnum):
    """Priority class of a call; waiting calls of lower values go first."""

    LEASE = 0
    CLAIM = 1
    INTENT = 2
    OTHER = 3


def priority_of_keys(keys: list[str]) -> CallPriority:
    """Returns the most urgent priority class of the keys of a call."""
    return min(
        (_priority_of_key(key) for key in keys), default=CallPriority.OTHER
    )


def _priority_of_key(key: str) -> CallPriority:
    if key.startswith("/carobsail-claims/"):
        return CallPriority.CLAIM
    if key.startswith("/carobsail/dc/"):
        if key.endswith("/leader"):
            return CallPriority.LEASE
        if "/intents/" in key:
            return CallPriority.INTENT
    return CallPriority.OTHER


class CallLimiter(KeyValueClient):
    """Forwards calls to another client, with a token-bucket rate limit.

    A call above the rate waits, in the order of priority, and is refused as
    not run after `MAX_WAIT_S`. An open watch uses one call per second.

    Attributes:
      sent: Calls forwarded, by priority class.
      delayed: Calls that had to wait, by priority class.
      refused: Calls refused, by priority class.
      watches: Number of open watches.
    """

    __slots__ = (
        "_calls_per_s",
        "_client",
        "_sequence",
        "_timer",
        "_tokens",
        "_updated_s",
        "_waiting",
        "delayed",
        "refused",
        "sent",
        "watches",
    )

    def __init__(self, client: KeyValueClient, calls_per_s: float) -> None:
        self._client = client
        self._calls_per_s = calls_per_s
        self._tokens = max(calls_per_s, 1.0)
        self._updated_s: float | None = None
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._sequence = itertools.count()
        self._timer: asyncio.TimerHandle | None = None
        self.sent = dict.fromkeys(CallPriority, 0)
        self.delayed = dict.fromkeys(CallPriority, 0)
        self.refused = dict.fromkeys(CallPriority, 0)
        self.watches = 0

    def set_rate(self, calls_per_s: float) -> None:
        """Changes the budget, in calls per second."""
        self._refill()
        self._calls_per_s = calls_per_s
        self._admit_waiting()

    def dump(self) -> dict[str, object]:
        """Returns the counters for the state dump."""
        return {
            "calls_per_s": self._calls_per_s,
            "watches": self.watches,
            "waiting": len(self._waiting),
            "sent": {c.name.lower(): n for c, n in self.sent.items()},
            "delayed": {c.name.lower(): n for c, n in self.delayed.items()},
            "refused": {c.name.lower(): n for c, n in self.refused.items()},
        }

    async def range(self, prefix: str) -> RangeResult | errors.Failure:
        """See base class."""
        refusal = await self._acquire(priority_of_keys([prefix]))
        return refusal or await self._client.range(prefix)

    async def transact(
        self, compares: list[Compare], writes: list[Put | Delete]
    ) -> TransactionResult | errors.Failure:
        """See base class."""
        items = writes or compares
        refusal = await self._acquire(
            priority_of_keys([item.key for item in items])
        )
        return refusal or await self._client.transact(compares, writes)

    async def grant_lease(self, ttl_s: float) -> int | errors.Failure:
        """See base class."""
        refusal = await self._acquire(CallPriority.LEASE)
        return refusal or await self._client.grant_lease(ttl_s)

    async def keep_lease(self, lease: int) -> float | errors.Failure:
        """See base class."""
        refusal = await self._acquire(CallPriority.LEASE)
        return refusal or await self._client.keep_lease(lease)

    async def revoke_lease(self, lease: int) -> None | errors.Failure:
        """See base class."""
        refusal = await self._acquire(CallPriority.LEASE)
        return refusal or await self._client.revoke_lease(lease)

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[list[WatchEvent] | errors.Failure]:
        """See base class."""
        refusal = await self._acquire(priority_of_keys([prefix]))
        if refusal:
            yield refusal
            return
        self._refill()
        self.watches += 1
        try:
            async for item in self._client.watch(prefix, start_revision):
                yield item
        finally:
            self._refill()
            self.watches -= 1

    def _effective_rate(self) -> float:
        return max(self._calls_per_s - self.watches, _MIN_CALLS_PER_S)

    def _refill(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._updated_s is not None:
            rate = self._effective_rate()
            added = (now - self._updated_s) * rate
            self._tokens = min(self._tokens + added, max(rate, 1.0))
        self._updated_s = now

    async def _acquire(self, priority: CallPriority) -> errors.Failure | None:
        """Takes a token for one call; refuses the call after `MAX_WAIT_S`."""
        self._refill()
        if self._tokens >= 1.0 and not self._waiting:
            self._tokens -= 1.0
            self.sent[priority] += 1
            return None
        if len(self._waiting) >= _MAX_WAITING:
            return self._refuse(priority)
        self.delayed[priority] += 1
        permit = asyncio.get_running_loop().create_future()
        entry = (int(priority), next(self._sequence), permit)
        heapq.heappush(self._waiting, entry)
        self._admit_waiting()
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await permit
        except TimeoutError:
            return self._refuse(priority)
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
        self.sent[priority] += 1
        return None

    def _refuse(self, priority: CallPriority) -> errors.Failure:
        self.refused[priority] += 1
        return errors.Failure(
            errors.Reason.BUDGET_EXCEEDED,
            errors.Step.KEY_VALUE,
            "key-value",
            errors.Outcome.NOT_RUN,
            f"more than {self._calls_per_s:g} calls/s",
            1.0 / self._effective_rate(),
        )

    def _admit_waiting(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        self._refill()
        while self._waiting and self._tokens >= 1.0:
            permit = heapq.heappop(self._waiting)[2]
            if not permit.done():
                self._tokens -= 1.0
                permit.set_result(None)
        if self._waiting:
            # 1 us more than needed, so that rounding leaves a whole token.
            delay_s = (1.0 - self._tokens) / self._effective_rate() + 1e-6
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._admit_waiting)
