"""Tests the engine stand-in, which other tests use as an oracle."""

import asyncio

import pytest

from carobsail import errors, inventory, standin, standin_platform
from tests import builders_io as build

pytestmark = pytest.mark.memory_network


async def test_crash_marker_crashes_and_restarts():
    """R13: a crash must cut all requests, lose all state and be counted."""
    standin_, client = await build.start_engine(decode_tokens_per_s=1.0)
    standin_.crash_marker, standin_.restart_s = b"poison", 5.0
    other_request = asyncio.create_task(
        build.read_stream(
            await client.send(build.dispatch_message(build.chat_body()))
        )
    )
    await asyncio.sleep(2.0)
    poison = build.dispatch_message(build.chat_body("poison"), attempt="a2")
    _, failure = await build.read_stream(await client.send(poison))
    assert failure.outcome is errors.Outcome.FAILED
    assert (await other_request)[1].reason is errors.Reason.ANSWER_CUT
    refused = await client.send(poison)
    assert refused.outcome is errors.Outcome.NOT_RUN
    await asyncio.sleep(6.0)
    report = await client.report()
    assert (report.incarnation, report.models) == (2, {})
    assert standin_.bodies[poison.body] == 1


async def test_freeze_stops_progress_until_thaw():
    """R13: a frozen engine keeps its connections but answers nothing."""
    standin_, client = await build.start_engine()
    standin_.scheduler.freeze()
    call = asyncio.create_task(client.report())
    assert (await call).reason is errors.Reason.TIMEOUT
    standin_.scheduler.thaw()
    assert (await client.report()).target == "e1"


async def test_urgent_request_goes_first_and_slots_hold():
    """R9: priorities must matter once the slots are in use."""
    standin_, client = await build.start_engine(slots=1)

    async def send(name, priority):
        request = build.dispatch_message(
            build.chat_body(name), attempt=name, priority=priority
        )
        await build.read_stream(await client.send(request))

    calls = [send("running", 5)]
    calls += [send(f"late{n}", 7) for n in range(3)]
    calls.append(send("urgent", 1))
    await asyncio.gather(*calls)
    assert list(standin_.executions)[:2] == ["running", "urgent"]


async def test_double_and_unfenced_orders_show_in_memory():
    """R1, R11: the oracle must detect an order that a stale owner sent."""
    standin_, client = await build.start_engine()
    standin_.double_orders = 1
    assert await client.load_model("b", "1", 9) is None
    assert standin_.memory.orders["load_model"] == 2
    assert await client.unload_model("b", 1) is None
    assert (await client.report()).fence == 0
    assert await client.load_adapter("tone", "base", 1) is None
    failure = await client.load_adapter("style", "base", 1)
    assert failure.reason is errors.Reason.NO_MEMORY
    assert len(standin_.memory.violations) == 1


async def test_unload_keeps_memory_until_requests_end():
    """R1: the memory of a model in use must not count as free."""
    standin_, client = await build.start_engine(decode_tokens_per_s=1.0)
    call = asyncio.create_task(
        build.read_stream(
            await client.send(build.dispatch_message(build.chat_body()))
        )
    )
    await asyncio.sleep(1.0)
    unload = asyncio.create_task(client.unload_model("base", 1))
    await asyncio.sleep(1.0)
    assert standin_.memory.free_mb == 18_900
    assert not unload.done()
    assert (await call)[1] is None
    assert await unload is None
    assert standin_.memory.free_mb == 28_900


async def test_report_lags():
    """R11: reports are stale, so decisions must not rely on them alone."""
    standin_, client = await build.start_engine()
    standin_.report_lag_s = 3.0
    await asyncio.sleep(10.0)
    await client.load_model("b", "1", 1)
    assert "b" not in (await client.report()).models
    await asyncio.sleep(3.5)
    assert "b" in (await client.report()).models


async def test_weight_store_limits_starts_and_slows_adapters():
    """R14: the store starts about one load a second and slows down."""
    limits = inventory.WeightStore("r", 1.0, 2, 10)
    store = standin_platform.WeightStoreStandin(limits, 1000.0)
    loop = asyncio.get_running_loop()
    await asyncio.gather(*(store.load_model(1000) for _ in range(4)))
    assert loop.time() == pytest.approx(4.0, abs=0.1)
    assert store.peak_loads <= 2
    start_s = loop.time()
    await asyncio.gather(*(store.load_adapter(20.0) for _ in range(40)))
    assert loop.time() - start_s == pytest.approx(0.08, abs=0.01)


async def test_description_starts_all_standins():
    """The demo needs each outside system at its listed address."""
    target = dict(data_centre="dc", pool="p", capacity_mb=20_000)
    platform_inventory = inventory.Inventory(
        1,
        {"dc": "r"},
        [],
        [
            inventory.Target(
                "e1",
                inventory.Kind.ENGINE,
                address="127.0.0.1:7001",
                **target,
            ),
            inventory.Target(
                "s1",
                inventory.Kind.SERVICE,
                address="127.0.0.1:7002",
                **target,
            ),
        ],
        [inventory.Model("base", "p", 10_000)],
        [],
        inventory.WeightStore("r"),
    )
    running = await standin.start(
        standin.Description(platform_inventory, resident={"e1": ["base"]})
    )
    assert running["e1"].address == "127.0.0.1:7001"
    assert set(running) == {"e1", "s1", "key-value", "inventory"}
    for each in running.values():
        await each.stop()
