"""Guards the rate limit of calls to the key-value service (R12).

Numbers such as R12 refer to the requirements in docs/design.md.
"""

import asyncio

import pytest

from carobsail import calllimiter, errors, keyvalue
from carobsail.calllimiter import CallPriority

pytestmark = pytest.mark.memory_network


async def test_rate_holds_over_time():
    """R12: no more calls than the budget allows may reach the service."""
    key_value = keyvalue.MemoryKeyValue()
    limiter = calllimiter.CallLimiter(key_value, 10.0)
    loop = asyncio.get_running_loop()

    async def caller():
        while loop.time() < 20.0:
            await limiter.range("/x")

    await asyncio.gather(*(caller() for _ in range(30)))
    assert 180 <= key_value.calls["range"] <= 20 * 10 + 10 + 30
    assert sum(limiter.sent.values()) == key_value.calls["range"]


async def test_important_calls_go_first():
    """R13: leases must still be renewed while configuration reads wait."""
    limiter = calllimiter.CallLimiter(keyvalue.MemoryKeyValue(), 1.25)
    order = []

    async def call(name, awaitable):
        result = await awaitable
        if not isinstance(result, errors.Failure):
            order.append(name)

    await limiter.range("/x")
    put = keyvalue.Put
    intent = put("/carobsail/dc/a/intents/e1", b"")
    claim = put("/carobsail-claims/k", b"")
    await asyncio.gather(
        call("other", limiter.range("/carobsail/config/")),
        call("intent", limiter.transact([], [intent])),
        call("claim", limiter.transact([], [claim])),
        call("lease", limiter.keep_lease(1)),
    )
    assert order == ["lease", "claim"]
    assert limiter.refused[CallPriority.OTHER] == 1


async def test_refusal_is_bounded_and_not_run():
    """R4: a call refused by the budget was certainly not made."""
    key_value = keyvalue.MemoryKeyValue()
    limiter = calllimiter.CallLimiter(key_value, 0.1)
    await limiter.range("/x")
    failure = await limiter.transact([], [keyvalue.Put("/x", b"")])
    assert failure.reason is errors.Reason.BUDGET_EXCEEDED
    assert failure.outcome is errors.Outcome.NOT_RUN
    assert asyncio.get_running_loop().time() == pytest.approx(2.0, abs=0.1)
    assert "transact" not in key_value.calls
    assert limiter.dump()["waiting"] == 0


async def test_open_watch_uses_the_budget():
    """R12: the service counts an open watch as one call per second."""
    key_value = keyvalue.MemoryKeyValue()
    limiter = calllimiter.CallLimiter(key_value, 4.0)

    async def watch():
        async for _ in limiter.watch("/x", 1):
            pass

    task = asyncio.create_task(watch())
    loop = asyncio.get_running_loop()
    while loop.time() < 20.0:
        await limiter.range("/x")
    assert limiter.watches == 1
    assert 55 <= key_value.calls["range"] <= 20 * 3 + 4
    task.cancel()
    await asyncio.wait([task])
    assert limiter.watches == 0
