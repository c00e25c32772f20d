"""Call budget of a data centre at the key-value service."""

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
# Waiting watches may use up the budget; lease renewals (one each 2 s) must
# still pass.
_LEAST_CALLS_PER_S = 0.5


class Importance(enum.IntEnum):
    """Class of a call; lower ones go first when the budget is short."""

    LEASE = 0
    CLAIM = 1
    INTENT = 2
    OTHER = 3


def classify(keys: list[str]) -> Importance:
    """Returns the most urgent class of the keys of a call."""
    return min((_classify(key) for key in keys), default=Importance.OTHER)


def _classify(key: str) -> Importance:
    if key.startswith("/carobsail-claims/"):
        return Importance.CLAIM
    if key.startswith("/carobsail/dc/"):
        if key.endswith("/leader"):
            return Importance.LEASE
        if "/intents/" in key:
            return Importance.INTENT
    return Importance.OTHER


class CallMeter(KeyValueClient):
    """Passes calls on to another client within a rate.

    A call above the rate waits, most important first, and is refused as not
    run after `MAX_WAIT_S`. A waiting watch uses one call a second.

    Attributes:
      sent: Calls passed on, by class.
      delayed: Calls that had to wait, by class.
      refused: Calls refused, by class.
      watches: Watches that are waiting.
    """

    __slots__ = (
        "_client",
        "_order",
        "_rate",
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
        self._rate = calls_per_s
        self._tokens = max(calls_per_s, 1.0)
        self._updated_s: float | None = None
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._order = itertools.count()
        self._timer: asyncio.TimerHandle | None = None
        self.sent = dict.fromkeys(Importance, 0)
        self.delayed = dict.fromkeys(Importance, 0)
        self.refused = dict.fromkeys(Importance, 0)
        self.watches = 0

    def set_rate(self, calls_per_s: float) -> None:
        """Changes the budget in calls a second."""
        self._refill()
        self._rate = calls_per_s
        self._serve_waiting()

    def dump(self) -> dict[str, object]:
        """Returns the counters for the state dump."""
        return {
            "calls_per_s": self._rate,
            "watches": self.watches,
            "waiting": len(self._waiting),
            "sent": {c.name.lower(): n for c, n in self.sent.items()},
            "delayed": {c.name.lower(): n for c, n in self.delayed.items()},
            "refused": {c.name.lower(): n for c, n in self.refused.items()},
        }

    async def range(self, prefix: str) -> RangeResult | errors.Failure:
        """See base class."""
        refusal = await self._take(classify([prefix]))
        return refusal or await self._client.range(prefix)

    async def transact(
        self, compares: list[Compare], writes: list[Put | Delete]
    ) -> TransactionResult | errors.Failure:
        """See base class."""
        items = writes or compares
        refusal = await self._take(classify([item.key for item in items]))
        return refusal or await self._client.transact(compares, writes)

    async def grant_lease(self, ttl_s: float) -> int | errors.Failure:
        """See base class."""
        refusal = await self._take(Importance.LEASE)
        return refusal or await self._client.grant_lease(ttl_s)

    async def keep_lease(self, lease: int) -> float | errors.Failure:
        """See base class."""
        refusal = await self._take(Importance.LEASE)
        return refusal or await self._client.keep_lease(lease)

    async def revoke_lease(self, lease: int) -> None | errors.Failure:
        """See base class."""
        refusal = await self._take(Importance.LEASE)
        return refusal or await self._client.revoke_lease(lease)

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[list[WatchEvent] | errors.Failure]:
        """See base class."""
        refusal = await self._take(classify([prefix]))
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
        return max(self._rate - self.watches, _LEAST_CALLS_PER_S)

    def _refill(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._updated_s is not None:
            rate = self._effective_rate()
            earned = (now - self._updated_s) * rate
            self._tokens = min(self._tokens + earned, max(rate, 1.0))
        self._updated_s = now

    async def _take(self, importance: Importance) -> errors.Failure | None:
        """Waits for the right to one call; returns a refusal after a bound."""
        self._refill()
        if self._tokens >= 1.0 and not self._waiting:
            self._tokens -= 1.0
            self.sent[importance] += 1
            return None
        if len(self._waiting) >= _MAX_WAITING:
            return self._refuse(importance)
        self.delayed[importance] += 1
        turn = asyncio.get_running_loop().create_future()
        entry = (int(importance), next(self._order), turn)
        heapq.heappush(self._waiting, entry)
        self._serve_waiting()
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await turn
        except TimeoutError:
            return self._refuse(importance)
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
        self.sent[importance] += 1
        return None

    def _refuse(self, importance: Importance) -> errors.Failure:
        self.refused[importance] += 1
        return errors.Failure(
            errors.Reason.BUDGET_EXCEEDED,
            errors.Step.KEY_VALUE,
            "key-value",
            errors.Outcome.NOT_RUN,
            f"more than {self._rate:g} calls/s",
            1.0 / self._effective_rate(),
        )

    def _serve_waiting(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        self._refill()
        while self._waiting and self._tokens >= 1.0:
            turn = heapq.heappop(self._waiting)[2]
            if not turn.done():
                self._tokens -= 1.0
                turn.set_result(None)
        if self._waiting:
            # A little more than needed, so that rounding leaves a whole token.
            delay_s = (1.0 - self._tokens) / self._effective_rate() + 1e-6
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_s, self._serve_waiting)
