"""Writes idempotency claims of a data centre to the key-value service."""

import asyncio
import collections
from collections.abc import Callable
from typing import Any

import msgspec

from carobsail import claimlease, errors, keyvalue, messages
from carobsail.claimrecords import PREFIX, Operation, Record, fits

# Account names start with a letter or digit, so these keys are no claims.
_GUARDS = PREFIX + ".guards/"
MAX_BATCH = 64
# The published etcd limit is 1.5 MB a request, in base64 (4/3 of the bytes).
MAX_BATCH_BYTES = 512 * 1024
MAX_PENDING = 4096
INTERVAL_S = 0.1
MAX_INTERVAL_S = 1.0
_REMEMBERED_CLAIMS = 4096


class ClaimWriter:
    """Batches claims and settlements into few transactions.

    Every transaction also compares a guard key of this writer. After a
    response was lost, the writer deletes its guard: from then on the lost
    transaction can no longer take effect, so the values read afterwards are
    final and decide each operation. Without the guard, a claim that was read
    as absent and reported as not run might still appear later.

    A requester that stops waiting for a claim settles it as released; the
    writer works on one key in the order of the calls.

    A requester that asks a second writer about the same token must treat
    `unavailable` as unknown and must not release the claim, because the guard
    covers the transactions of one writer only.
    """

    __slots__ = (
        "_batch",
        "_client",
        "_closing",
        "_guard",
        "_guard_key",
        "_held",
        "_interval_s",
        "_lease",
        "_pending",
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
          wall_clock: Returns seconds since the epoch, to name the hour.
        """
        self._client = client
        self._guard_key = f"{_GUARDS}{data_centre}/{writer}"
        self._guard = 0
        self._interval_s = INTERVAL_S
        self._lease = claimlease.HourlyLease(client, data_centre, wall_clock)
        self._pending: collections.deque[Operation] = collections.deque()
        self._retries: list[Operation] = []
        self._batch: list[Operation] = []
        self._held: collections.OrderedDict[str, tuple[int, int]] = (
            collections.OrderedDict()
        )
        self._wake = asyncio.Event()
        self._closing = False
        self.counts: collections.Counter[str] = collections.Counter()

    def set_calls_per_s(self, calls_per_s: float) -> None:
        """Lengthens the interval between batches to keep a call budget."""
        wanted = 1 / calls_per_s if calls_per_s > 0 else MAX_INTERVAL_S
        self._interval_s = min(max(wanted, INTERVAL_S), MAX_INTERVAL_S)

    async def claim(self, claim: messages.Claim) -> messages.ClaimResult:
        """Claims an idempotency key.

        Returns:
          The result. `unavailable` means that the key is not held by this
          token and will not be.
        """
        if self._closing or len(self._pending) >= MAX_PENDING:
            return messages.ClaimResult(claim.token, "unavailable")
        operation = self._enqueue(claim)
        operation.timer = asyncio.get_running_loop().call_at(
            operation.deadline, self._give_up, operation
        )
        return await operation.future

    async def settle(self, settle: messages.Settle) -> messages.Settled:
        """Records the result of a claimed operation, or releases the claim."""
        if settle.answer is not None and not fits(settle.answer):
            settle = msgspec.structs.replace(
                settle,
                state="unknown",
                answer=messages.StoredAnswer(settle.answer.status, [], b""),
            )
        if len(self._pending) >= 2 * MAX_PENDING:
            return messages.Settled(settle.token, False)
        operation = self._enqueue(settle)
        operation.held = self._held.get(settle.token)
        return await operation.future

    def _enqueue(self, message: messages.Claim | messages.Settle) -> Operation:
        now = asyncio.get_running_loop().time()
        operation = Operation(message, now)
        self._pending.append(operation)
        self._wake.set()
        return operation

    async def run(self) -> None:
        """Writes batches until cancelled."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                await self._wake.wait()
                self._expire(loop.time())
                self._batch = self._take()
                if not self._batch:
                    self._wake.clear()
                    continue
                started = loop.time()
                await self._flush()
                self._batch = []
                left = started + self._interval_s - loop.time()
                await asyncio.sleep(max(0.0, left))
        finally:
            self._abandon()

    async def drain(self, timeout_s: float) -> bool:
        """Refuses new claims and waits until all operations are answered."""
        self._closing = True
        futures = [op.future for op in self._operations()]
        if not futures:
            return True
        _, left = await asyncio.wait(futures, timeout=timeout_s)
        return not left

    def dump(self) -> dict[str, Any]:
        """Returns the writer's state."""
        return {
            "pending": len(self._pending),
            "retries": len(self._retries),
            "interval_s": self._interval_s,
            "counts": dict(self.counts),
        }

    def _operations(self) -> list[Operation]:
        found = [*self._batch, *self._retries, *self._pending]
        return [op for op in found if not op.answered]

    def _expire(self, now: float) -> None:
        """Gives up what is overdue, and unsent claims nobody waits for."""
        for operation in self._operations():
            left = operation.is_claim and operation.future.cancelled()
            if operation.deadline <= now or (left and not operation.sent):
                self._give_up(operation)
        self._retries = [op for op in self._retries if not op.answered]
        self._pending = collections.deque(
            op for op in self._pending if not op.answered
        )

    def _abandon(self) -> None:
        for operation in self._operations():
            self._give_up(operation)

    def _take(self) -> list[Operation]:
        """Takes a batch of distinct keys.

        Operations tried again go alone, because a new one among them could
        fail the whole transaction again, any number of times.
        """
        source = self._retries or list(self._pending)
        batch: dict[str, Operation] = {}
        size = 0
        for operation in source:
            answer = getattr(operation.message, "answer", None)
            size += 256 + (len(answer.body) if answer else 0)
            if len(batch) == MAX_BATCH or (batch and size > MAX_BATCH_BYTES):
                break
            batch.setdefault(operation.key, operation)
        taken = {id(operation) for operation in batch.values()}
        left = [op for op in source if id(op) not in taken]
        if self._retries:
            self._retries = left
        else:
            self._pending = collections.deque(left)
        return list(batch.values())

    async def _flush(self) -> None:
        batch = self._batch
        lease = await self._lease.current()
        if not lease or not await self._create_guard(lease):
            self._refuse(batch)
            return
        settles = [op for op in batch if not op.is_claim and not op.held]
        if settles:
            values = await self._read(settles)
            if values is None:
                self._refuse(settles)
            else:
                self._sort_out(settles, values)
                self._retries = [
                    op for op in self._retries if op not in settles
                ]
            batch = [op for op in batch if op.is_claim or op.held]
        batch = [op for op in batch if not op.answered]
        if not batch:
            return
        for operation in batch:
            operation.sent = True
        result = await claimlease.transact(
            self._client,
            [self._guard_compare(), *(op.compare() for op in batch)],
            [op.write(lease) for op in batch],
        )
        self.counts["transactions"] += 1
        if isinstance(result, errors.Failure):
            if result.outcome is errors.Outcome.NOT_RUN:
                self._lease.forget()
                self._refuse(batch)
            else:
                await self._resolve(batch)
        elif result.succeeded:
            for operation in batch:
                if operation.is_claim:
                    operation.held = (result.revision, lease)
                self._finish(
                    operation, "granted" if operation.is_claim else "recorded"
                )
        else:
            values = {value.key: value for value in result.current}
            guard = values.get(self._guard_key)
            self._guard = guard.mod_revision if guard else 0
            self._sort_out(batch, values)

    def _guard_compare(self) -> keyvalue.Compare:
        return keyvalue.Compare(self._guard_key, self._guard)

    async def _read(
        self, batch: list[Operation]
    ) -> dict[str, keyvalue.KeyValue] | None:
        """Reads the guard and the keys of a batch at one revision."""
        keys = [self._guard_key, *(op.key for op in batch)]
        result = await claimlease.transact(
            self._client, [keyvalue.Compare(key, 0) for key in keys], []
        )
        if isinstance(result, errors.Failure):
            return None
        return {value.key: value for value in result.current}

    async def _create_guard(self, lease: int) -> bool:
        if not self._guard:
            # A late response or repetition only changes the revision, which
            # fails later comparisons and is then read again.
            result = await claimlease.transact(
                self._client, [], [keyvalue.Put(self._guard_key, b"", lease)]
            )
            if not isinstance(result, errors.Failure):
                self._guard = result.revision
            else:
                self._lease.forget()
        return bool(self._guard)

    async def _resolve(self, batch: list[Operation]) -> None:
        """Decides a batch whose transaction may or may not take effect."""
        loop = asyncio.get_running_loop()
        lost = self._guard
        self.counts["lost_responses"] += 1
        while True:
            await claimlease.transact(
                self._client,
                [keyvalue.Compare(self._guard_key, lost)],
                [keyvalue.Delete(self._guard_key)],
            )
            values = await self._read(batch)
            if values is not None:
                guard = values.get(self._guard_key)
                self._guard = guard.mod_revision if guard else 0
                if self._guard != lost:
                    self._sort_out(batch, values)
                    return
            else:
                self._refuse([op for op in self._pending if op.is_claim])
            self._expire(loop.time())
            # Goes on without operations to decide: a release must not be
            # recorded while the lost transaction may still take effect.
            batch = [op for op in batch if not op.answered]
            await asyncio.sleep(self._interval_s)

    def _sort_out(
        self, batch: list[Operation], values: dict[str, keyvalue.KeyValue]
    ) -> None:
        """Answers what the stored values decide; the rest is tried again."""
        for operation in batch:
            operation.sent = False
            verdict = operation.judge(values.get(operation.key))
            if verdict is None:
                self._retries.append(operation)
            else:
                self._finish(operation, verdict)

    def _refuse(self, batch: list[Operation]) -> None:
        """Handles operations that were certainly not written."""
        for operation in batch:
            operation.sent = False
            if operation.is_claim:
                self._give_up(operation)
            else:
                # Not among the retries, which would go before new claims
                # for as long as the service is unavailable.
                self._pending.appendleft(operation)

    def _give_up(self, operation: Operation) -> None:
        unknown = operation.sent or not operation.is_claim
        self._finish(operation, "unknown" if unknown else "unavailable")

    def _finish(self, operation: Operation, verdict: str | Record) -> None:
        if operation.answered:
            return
        if operation.timer is not None:
            operation.timer.cancel()
        message, future = operation.message, operation.future
        state = verdict if isinstance(verdict, str) else verdict.state
        self.counts[state] += 1
        operation.answered = True
        if isinstance(message, messages.Settle):
            self._held.pop(message.token, None)
            if not future.done():
                future.set_result(
                    messages.Settled(message.token, state == "recorded")
                )
            return
        answer = None
        if isinstance(verdict, Record):
            if verdict.fingerprint != message.fingerprint:
                state = "mismatch"
            elif state == "taken":
                state = "unknown"
            else:
                answer = verdict.answer
        if state == "granted" and operation.held:
            self._held[message.token] = operation.held
            if len(self._held) > _REMEMBERED_CLAIMS:
                self._held.popitem(last=False)
        if not future.done():
            future.set_result(
                messages.ClaimResult(message.token, state, answer)
            )
