"""Writes idempotency claims of a data centre to the key-value service."""

import asyncio
import collections
from collections.abc import Callable
from typing import Any

import msgspec

from carobsail import claimlease, errors, keyvalue, messages
from carobsail.claimrecords import PREFIX, PendingWrite, Record, is_storable

# Account names start with a letter or digit, so no claim has this prefix.
_GUARDS_PREFIX = PREFIX + ".guards/"
MAX_BATCH = 64
# The documented request limit of etcd is 1.5 MB, in base64 (4/3 of the bytes).
MAX_BATCH_BYTES = 512 * 1024
MAX_PENDING = 4096
MIN_BATCH_INTERVAL_S = 0.1
MAX_BATCH_INTERVAL_S = 1.0
_MAX_HELD_CLAIMS = 4096


class ClaimWriter:
    """Batches claims and settlements into few transactions.

    Every transaction also compares the revision of this writer's guard key.
    After a response was lost, the writer deletes its guard: from then on the
    transaction without a response can no longer take effect, so the values
    read afterwards are final and decide each write. Without the guard, a claim
    that was read as absent and reported as not run might still appear later.

    A requester that stops waiting for a claim settles it as released; the
    writer processes the calls for one key in order.

    A requester that sends the same token to a second writer must treat
    `unavailable` as unknown and must not release the claim, because the guard
    covers the transactions of one writer only.
    """

    __slots__ = (
        "_batch",
        "_client",
        "_closing",
        "_guard_key",
        "_guard_revision",
        "_held_claims",
        "_interval_s",
        "_lease",
        "_queue",
        "_retries",
        "_wake",
        "counts",
    )

    def __init__(
        self,
        client: keyvalue.KeyValueClient,
        data_centre: str,
        writer: str,
        wall_clock: Callable[[], float],
    ) -> None:
        """Creates the writer; `run` does the work.

        Args:
          client: The key-value service.
          data_centre: Data centre whose claims it writes.
          writer: Name unique to this process and incarnation.
          wall_clock: Returns seconds since the epoch; selects the hourly lease.
        """
        self._client = client
        self._guard_key = f"{_GUARDS_PREFIX}{data_centre}/{writer}"
        self._guard_revision = 0
        self._interval_s = MIN_BATCH_INTERVAL_S
        self._lease = claimlease.HourlyLease(client, data_centre, wall_clock)
        self._queue: collections.deque[PendingWrite] = collections.deque()
        self._retries: list[PendingWrite] = []
        self._batch: list[PendingWrite] = []
        self._held_claims: collections.OrderedDict[str, tuple[int, int]] = (
            collections.OrderedDict()
        )
        self._wake = asyncio.Event()
        self._closing = False
        self.counts: collections.Counter[str] = collections.Counter()

    def set_calls_per_s(self, calls_per_s: float) -> None:
        """Adapts the interval between batches, within limits, to a budget."""
        wanted = 1 / calls_per_s if calls_per_s > 0 else MAX_BATCH_INTERVAL_S
        self._interval_s = min(
            max(wanted, MIN_BATCH_INTERVAL_S), MAX_BATCH_INTERVAL_S
        )

    async def claim(self, claim: messages.Claim) -> messages.ClaimResult:
        """Claims an idempotency key.

        Returns:
          The result. `unavailable` means that the key is not held by this
          token and will not be.
        """
        if self._closing or len(self._queue) >= MAX_PENDING:
            return messages.ClaimResult(claim.token, "unavailable")
        pending = self._enqueue(claim)
        pending.timer = asyncio.get_running_loop().call_at(
            pending.deadline, self._give_up, pending
        )
        return await pending.future

    async def settle(self, settle: messages.Settle) -> messages.Settled:
        """Records the result of a claimed operation, or releases the claim."""
        if settle.response is not None and not is_storable(settle.response):
            settle = msgspec.structs.replace(
                settle,
                state="unknown",
                response=messages.StoredResponse(
                    settle.response.status, [], b""
                ),
            )
        if len(self._queue) >= 2 * MAX_PENDING:
            return messages.Settled(settle.token, False)
        pending = self._enqueue(settle)
        pending.held = self._held_claims.get(settle.token)
        return await pending.future

    def _enqueue(
        self, message: messages.Claim | messages.Settle
    ) -> PendingWrite:
        now = asyncio.get_running_loop().time()
        pending = PendingWrite(message, now)
        self._queue.append(pending)
        self._wake.set()
        return pending

    async def run(self) -> None:
        """Writes batches until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                await self._wake.wait()
                self._expire(loop.time())
                self._batch = self._take_batch()
                if not self._batch:
                    self._wake.clear()
                    continue
                started = loop.time()
                await self._write_batch()
                self._batch = []
                remaining_s = started + self._interval_s - loop.time()
                await asyncio.sleep(max(0.0, remaining_s))
        finally:
            self._give_up_all()

    async def drain(self, timeout_s: float) -> bool:
        """Refuses new claims and waits until all writes are answered."""
        self._closing = True
        futures = [pending.future for pending in self._unanswered()]
        if not futures:
            return True
        _, unanswered = await asyncio.wait(futures, timeout=timeout_s)
        return not unanswered

    def dump(self) -> dict[str, Any]:
        """Returns the writer's state."""
        return {
            "pending": len(self._queue),
            "retries": len(self._retries),
            "interval_s": self._interval_s,
            "counts": dict(self.counts),
        }

    def _unanswered(self) -> list[PendingWrite]:
        found = [*self._batch, *self._retries, *self._queue]
        return [pending for pending in found if not pending.answered]

    def _expire(self, now: float) -> None:
        """Gives up overdue writes, and unsent claims that nobody waits for."""
        for pending in self._unanswered():
            abandoned = pending.is_claim and pending.future.cancelled()
            if pending.deadline <= now or (
                abandoned and not pending.may_take_effect
            ):
                self._give_up(pending)
        self._retries = [
            pending for pending in self._retries if not pending.answered
        ]
        self._queue = collections.deque(
            pending for pending in self._queue if not pending.answered
        )

    def _give_up_all(self) -> None:
        for pending in self._unanswered():
            self._give_up(pending)

    def _take_batch(self) -> list[PendingWrite]:
        """Removes and returns the next batch, with one write for each key.

        Retries are not batched with new writes, because a new write could fail
        the whole transaction again, any number of times.
        """
        source = self._retries or list(self._queue)
        batch: dict[str, PendingWrite] = {}
        size = 0
        for pending in source:
            response = getattr(pending.message, "response", None)
            size += 256 + (len(response.body) if response else 0)
            if len(batch) == MAX_BATCH or (batch and size > MAX_BATCH_BYTES):
                break
            batch.setdefault(pending.key, pending)
        taken = {id(pending) for pending in batch.values()}
        remaining = [pending for pending in source if id(pending) not in taken]
        if self._retries:
            self._retries = remaining
        else:
            self._queue = collections.deque(remaining)
        return list(batch.values())

    async def _write_batch(self) -> None:
        """Writes the batch, after reading claims whose revision is unknown."""
        batch = self._batch
        lease = await self._lease.current()
        if not lease or not await self._ensure_guard(lease):
            self._handle_not_written(batch)
            return
        settlements = [
            pending
            for pending in batch
            if not pending.is_claim and not pending.held
        ]
        if settlements:
            values = await self._read(settlements)
            if values is None:
                self._handle_not_written(settlements)
            else:
                self._apply_values(settlements, values)
                self._retries = [
                    pending
                    for pending in self._retries
                    if pending not in settlements
                ]
            batch = [
                pending for pending in batch if pending.is_claim or pending.held
            ]
        batch = [pending for pending in batch if not pending.answered]
        if not batch:
            return
        for pending in batch:
            pending.may_take_effect = True
        result = await claimlease.transact(
            self._client,
            [self._guard_compare(), *(pending.compare() for pending in batch)],
            [pending.write(lease) for pending in batch],
        )
        self.counts["transactions"] += 1
        if isinstance(result, errors.Failure):
            if result.outcome is errors.Outcome.NOT_RUN:
                self._lease.invalidate()
                self._handle_not_written(batch)
            else:
                await self._resolve(batch)
        elif result.succeeded:
            for pending in batch:
                if pending.is_claim:
                    pending.held = (result.revision, lease)
                self._finish(
                    pending, "granted" if pending.is_claim else "recorded"
                )
        else:
            values = {value.key: value for value in result.current}
            guard = values.get(self._guard_key)
            self._guard_revision = guard.mod_revision if guard else 0
            self._apply_values(batch, values)

    def _guard_compare(self) -> keyvalue.Compare:
        return keyvalue.Compare(self._guard_key, self._guard_revision)

    async def _read(
        self, batch: list[PendingWrite]
    ) -> dict[str, keyvalue.KeyValue] | None:
        """Reads the guard and the keys of a batch at one revision."""
        keys = [self._guard_key, *(pending.key for pending in batch)]
        result = await claimlease.transact(
            self._client, [keyvalue.Compare(key, 0) for key in keys], []
        )
        if isinstance(result, errors.Failure):
            return None
        return {value.key: value for value in result.current}

    async def _ensure_guard(self, lease: int) -> bool:
        if not self._guard_revision:
            # If this write takes effect late or again, only the guard's
            # revision changes: the next comparison fails, and the guard is
            # then read again.
            result = await claimlease.transact(
                self._client, [], [keyvalue.Put(self._guard_key, b"", lease)]
            )
            if not isinstance(result, errors.Failure):
                self._guard_revision = result.revision
            else:
                self._lease.invalidate()
        return bool(self._guard_revision)

    async def _resolve(self, batch: list[PendingWrite]) -> None:
        """Decides a batch whose transaction may still take effect.

        Deletes the guard until its revision has changed, then decides each
        write by its stored value.
        """
        loop = asyncio.get_running_loop()
        lost_revision = self._guard_revision
        self.counts["lost_responses"] += 1
        while True:
            await claimlease.transact(
                self._client,
                [keyvalue.Compare(self._guard_key, lost_revision)],
                [keyvalue.Delete(self._guard_key)],
            )
            values = await self._read(batch)
            if values is not None:
                guard = values.get(self._guard_key)
                self._guard_revision = guard.mod_revision if guard else 0
                if self._guard_revision != lost_revision:
                    self._apply_values(batch, values)
                    return
            else:
                self._handle_not_written(
                    [pending for pending in self._queue if pending.is_claim]
                )
            self._expire(loop.time())
            # Continues even when no write is left to decide: a release must
            # not be recorded while the lost transaction may still take effect.
            batch = [pending for pending in batch if not pending.answered]
            await asyncio.sleep(self._interval_s)

    def _apply_values(
        self, batch: list[PendingWrite], values: dict[str, keyvalue.KeyValue]
    ) -> None:
        """Answers the writes that the stored values decide; retries others."""
        for pending in batch:
            pending.may_take_effect = False
            decision = pending.decide(values.get(pending.key))
            if decision is None:
                self._retries.append(pending)
            else:
                self._finish(pending, decision)

    def _handle_not_written(self, batch: list[PendingWrite]) -> None:
        """Gives up claims, and queues settlements, that were not written."""
        for pending in batch:
            pending.may_take_effect = False
            if pending.is_claim:
                self._give_up(pending)
            else:
                # Not added to the retries, which would delay new claims for
                # as long as the service is unavailable.
                self._queue.appendleft(pending)

    def _give_up(self, pending: PendingWrite) -> None:
        unknown = pending.may_take_effect or not pending.is_claim
        self._finish(pending, "unknown" if unknown else "unavailable")

    def _finish(self, pending: PendingWrite, decision: str | Record) -> None:
        if pending.answered:
            return
        if pending.timer is not None:
            pending.timer.cancel()
        message, future = pending.message, pending.future
        state = decision if isinstance(decision, str) else decision.state
        self.counts[state] += 1
        pending.answered = True
        if isinstance(message, messages.Settle):
            self._held_claims.pop(message.token, None)
            if not future.done():
                future.set_result(
                    messages.Settled(message.token, state == "recorded")
                )
            return
        response = None
        if isinstance(decision, Record):
            if decision.fingerprint != message.fingerprint:
                state = "mismatch"
            elif state == "taken":
                state = "unknown"
            else:
                response = decision.answer
        if state == "granted" and pending.held:
            self._held_claims[message.token] = pending.held
            if len(self._held_claims) > _MAX_HELD_CLAIMS:
                self._held_claims.popitem(last=False)
        if not future.done():
            future.set_result(
                messages.ClaimResult(message.token, state, response)
            )
