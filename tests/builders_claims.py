"""A key-value service with scripted faults, and writers that can crash."""

import asyncio
import contextlib

import async_solipsism

from carobsail import claimwriter, errors, keyvalue, messages

RESPONSE = messages.StoredResponse(201, [("x", "y")], b"booked")
LATE_S = 3.0


def run_on_virtual_time(coroutine):
    """Runs a coroutine on virtual time; a deadlock raises an exception."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(coroutine)


def claim(token="t1", key="k", fingerprint="f"):
    return messages.Claim("acme", key, token, fingerprint)


def settle(state, token="t1", key="k", response=None):
    return messages.Settle("acme", key, token, "f", state, response)


class FaultyKeyValue(keyvalue.MemoryKeyValue):
    """Applies the next fault of `faults` to each write transaction.

    `ok`: no fault; `refused`: certainly not sent; `lost`: applied, response
    lost; `dropped`: not applied, response lost; `late`: response lost, applied
    after `LATE_S`; `hang`: applied, no response; `slow`: applied after
    `LATE_S`, then answered.
    """

    def __init__(self, faults=()):
        super().__init__()
        self.faults = list(faults)
        self.crash_at = None  # (call number, whether after the effect)
        self.crash = None
        self.transactions_seen = 0
        self.sizes = []

    async def transact(self, compares, writes):
        self.transactions_seen += 1
        if self.crash_at == (self.transactions_seen, False):
            self.crash()
            await asyncio.sleep(0)
        fault = self.faults.pop(0) if writes and self.faults else "ok"
        if writes:
            self.sizes.append(len(writes))
        lost = self._failure(errors.Outcome.UNKNOWN)
        if fault == "refused":
            return self._failure(errors.Outcome.NOT_RUN)
        if fault == "dropped":
            return lost
        if fault == "late":
            loop = asyncio.get_running_loop()
            apply = super().transact
            loop.call_later(
                LATE_S, lambda: loop.create_task(apply(compares, writes))
            )
            return lost
        if fault == "slow":
            await asyncio.sleep(LATE_S)
        result = await super().transact(compares, writes)
        if fault == "hang":
            await asyncio.sleep(1000)
        if self.crash_at == (self.transactions_seen, True):
            self.crash()
            await asyncio.sleep(0)
        return lost if fault == "lost" else result

    def stored_record(self, claim_key):
        """Returns the record stored at a claim's key."""
        value = self._values.get(claim_key)
        if value is None:
            return None
        return claimwriter.msgspec.msgpack.decode(
            value.value, type=claimwriter.Record
        )


class CrashableWriter:
    """A claim writer whose process can crash; its replies are then lost."""

    def __init__(self, client, name="w1"):
        self.writer = claimwriter.ClaimWriter(client, "dc", name, lambda: 0.0)
        self.crashed = asyncio.Event()
        self.task = asyncio.create_task(self.writer.run())

    def crash(self):
        self.crashed.set()
        self.task.cancel()

    async def call_unless_crashed(self, call):
        """Returns the reply, or None when the writer crashed before it."""
        reply = asyncio.create_task(call)
        crashed = asyncio.create_task(self.crashed.wait())
        await asyncio.wait((reply, crashed), return_when="FIRST_COMPLETED")
        answered = not self.crashed.is_set()
        for task in (reply, crashed):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        return reply.result() if answered else None

    async def stop(self):
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task
