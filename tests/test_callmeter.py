"""Guards the call budget at the key-value service (R12)."""

import asyncio

import pytest

from carobsail import callmeter, errors, keyvalue
from carobsail.callmeter import Importance

pytestmark = pytest.mark.memory_network


async def test_rate_holds_over_time():
    """R12: more calls than the budget must not reach the service."""
    store = keyvalue.MemoryKeyValue()
    meter = callmeter.CallMeter(store, 10.0)
    loop = asyncio.get_running_loop()

    async def caller():
        while loop.time() < 20.0:
            await meter.range("/x")

    await asyncio.gather(*(caller() for _ in range(30)))
    assert 180 <= store.calls["range"] <= 20 * 10 + 10 + 30
    assert sum(meter.sent.values()) == store.calls["range"]


async def test_important_calls_go_first():
    """R13: leases must be renewed while configuration reads wait."""
    meter = callmeter.CallMeter(keyvalue.MemoryKeyValue(), 1.25)
    order = []

    async def call(name, awaitable):
        result = await awaitable
        if not isinstance(result, errors.Failure):
            order.append(name)

    await meter.range("/x")
    put = keyvalue.Put
    intent = put("/carobsail/dc/a/intents/e1", b"")
    claim = put("/carobsail-claims/k", b"")
    await asyncio.gather(
        call("other", meter.range("/carobsail/config/")),
        call("intent", meter.transact([], [intent])),
        call("claim", meter.transact([], [claim])),
        call("lease", meter.keep_lease(1)),
    )
    assert order == ["lease", "claim"]
    assert meter.refused[Importance.OTHER] == 1


async def test_refusal_is_bounded_and_not_run():
    """R4: a call refused by the budget was certainly not made."""
    store = keyvalue.MemoryKeyValue()
    meter = callmeter.CallMeter(store, 0.1)
    await meter.range("/x")
    failure = await meter.transact([], [keyvalue.Put("/x", b"")])
    assert failure.reason is errors.Reason.BUDGET_EXCEEDED
    assert failure.outcome is errors.Outcome.NOT_RUN
    assert asyncio.get_running_loop().time() == pytest.approx(2.0, abs=0.1)
    assert "transact" not in store.calls
    assert meter.dump()["waiting"] == 0


async def test_waiting_watch_uses_the_budget():
    """R12: the service counts a waiting watch as a call each second."""
    store = keyvalue.MemoryKeyValue()
    meter = callmeter.CallMeter(store, 4.0)

    async def watch():
        async for _ in meter.watch("/x", 1):
            pass

    task = asyncio.create_task(watch())
    loop = asyncio.get_running_loop()
    while loop.time() < 20.0:
        await meter.range("/x")
    assert meter.watches == 1
    assert 55 <= store.calls["range"] <= 20 * 3 + 4
    task.cancel()
    await asyncio.wait([task])
    assert meter.watches == 0
