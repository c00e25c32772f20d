"""Tests of the runner of an owned target (R3, R4, R5, R6)."""

import asyncio

import fakes
import pytest

from carobsail import dispatcher, errors, inflightattempts, inventory, suspects

pytestmark = pytest.mark.looptime


async def test_complete_response_is_relayed():
    """Every byte must reach the sink, followed by the length (R3)."""
    fake_target = fakes.FakeTarget()
    sink = fakes.MessageCollector()
    await fakes.build_runner(fake_target).run(fakes.build_dispatch(), sink)
    assert sink.body == fakes.STREAM
    assert sink.messages[-1].body_bytes == len(fakes.STREAM)


async def test_broken_stream_is_resumed_after_the_last_whole_event():
    """A cut inside an event must not lose or repeat a token (R3)."""
    first = fakes.FakeStream([*fakes.EVENTS[:4], b"id: 5\nda", cut()])
    rest = fakes.FakeStream(fakes.EVENTS[4:])
    fake_target = fakes.FakeTarget([first], [rest])
    sink = fakes.MessageCollector()
    await fakes.build_runner(fake_target).run(fakes.build_dispatch(), sink)
    assert sink.body == fakes.STREAM
    assert fake_target.resumed_after == [("a1", "4")]
    assert len(fake_target.executions) == 1


async def test_stream_with_unending_event_is_resumed():
    """An event that never ends must not be buffered without a limit.

    Such a stream was held in memory until it ended.
    """
    first = fakes.FakeStream([*fakes.EVENTS[:4], *[b"x" * 65_536] * 50, cut()])
    rest = fakes.FakeStream(fakes.EVENTS[4:])
    fake_target = fakes.FakeTarget([first], [rest])
    sink = fakes.MessageCollector()
    await fakes.build_runner(fake_target).run(fakes.build_dispatch(), sink)
    assert first.closed
    assert sink.body == fakes.STREAM
    assert fake_target.resumed_after == [("a1", "4")]


async def test_cut_service_request_has_an_unknown_outcome():
    """A service may have run a request before the cut (R4, R5)."""
    stream = fakes.FakeStream([b"{", cut()], headers=[])
    sink = fakes.MessageCollector()
    request = fakes.build_dispatch(model="", idempotent=False)
    await fakes.build_runner(fakes.FakeTarget([stream])).run(request, sink)
    assert sink.failure.outcome is errors.Outcome.UNKNOWN


@pytest.mark.parametrize("state", ["leaving", "not_owned", "unhealthy"])
async def test_target_that_takes_no_work_refuses_as_not_run(state):
    """No request may be sent to a leaving, lost or crashed target (R4, R6)."""
    fake_target = fakes.FakeTarget()
    leaving = inventory.State.LEAVING
    listed = inventory.State.LIVE if state != "leaving" else leaving
    runner = fakes.build_runner(fake_target, fakes.build_target(state=listed))
    runner.owned = state != "not_owned"
    runner.healthy = state != "unhealthy"
    sink = fakes.MessageCollector()
    await runner.run(fakes.build_dispatch(), sink)
    assert sink.failure.outcome is errors.Outcome.NOT_RUN
    assert fake_target.executions == []


async def test_target_that_starts_to_leave_gets_no_queued_request():
    """A queued request must not be sent to a target that leaves (R6)."""
    fake_target = fakes.FakeTarget([fakes.FakeStream([1.0, *fakes.EVENTS])])
    runner = fakes.build_runner(fake_target, fakes.build_target(slots=1))
    sinks = [fakes.MessageCollector(), fakes.MessageCollector()]
    tasks = [
        asyncio.create_task(runner.run(fakes.build_dispatch(name), sink))
        for name, sink in zip(("a1", "a2"), sinks, strict=True)
    ]
    await asyncio.sleep(0.5)
    runner.target = fakes.build_target(state=inventory.State.LEAVING)
    await asyncio.wait(tasks)
    assert sinks[0].body == fakes.STREAM
    assert sinks[1].failure.reason is errors.Reason.LEAVING
    assert fake_target.executions == ["a1"]


async def test_admitted_request_runs_after_its_target_moved():
    """A planned stop must not refuse a request that is queued (R7)."""
    fake_target = fakes.FakeTarget([fakes.FakeStream([1.0, *fakes.EVENTS])])
    runner = fakes.build_runner(fake_target, fakes.build_target(slots=1))
    sinks = [fakes.MessageCollector(), fakes.MessageCollector()]
    tasks = [
        asyncio.create_task(runner.run(fakes.build_dispatch(name), sink))
        for name, sink in zip(("a1", "a2"), sinks, strict=True)
    ]
    await asyncio.sleep(0.5)
    runner.owned = False
    await asyncio.wait(tasks)
    assert [sink.body for sink in sinks] == [fakes.STREAM, fakes.STREAM]


async def test_cancelled_waiting_attempt_never_starts():
    """A request cancelled in the queue must not run later (R4)."""
    fake_target = fakes.FakeTarget([fakes.FakeStream([1.0, *fakes.EVENTS])])
    owned = dispatcher.Dispatcher()
    owned.runners["engine-1"] = fakes.build_runner(
        fake_target, fakes.build_target(slots=1)
    )
    owned.dispatch(fakes.build_dispatch("a1"), fakes.MessageCollector())
    owned.dispatch(fakes.build_dispatch("a2"), fakes.MessageCollector())
    await asyncio.sleep(0.1)
    owned.cancel("a2")
    await owned.drain()
    assert fake_target.executions == ["a1"]


async def test_duplicate_dispatch_runs_once():
    """A dispatch that is delivered twice must run once (R5)."""
    fake_target = fakes.FakeTarget()
    owned = dispatcher.Dispatcher()
    owned.runners["engine-1"] = fakes.build_runner(fake_target)
    request = fakes.build_dispatch(idempotent=False)
    owned.dispatch(request, fakes.MessageCollector())
    owned.dispatch(request, fakes.MessageCollector())
    await owned.drain()
    owned.dispatch(request, fakes.MessageCollector())
    await owned.drain()
    assert fake_target.executions == ["a1"]


async def test_request_to_stalled_engine_is_cancelled():
    """An engine that stops sending must not block a caller forever (R3)."""
    stream = fakes.FakeStream([fakes.EVENTS[0], 3600.0])
    fake_target = fakes.FakeTarget([stream])
    owned = dispatcher.Dispatcher()
    owned.runners["engine-1"] = fakes.build_runner(fake_target)
    watch = asyncio.create_task(owned.cancel_stalled_attempts())
    sink = fakes.MessageCollector()
    owned.dispatch(fakes.build_dispatch(), sink)
    started = asyncio.get_running_loop().time()
    await owned.drain()
    waited = asyncio.get_running_loop().time() - started
    watch.cancel()
    assert (
        waited
        <= inflightattempts.STALL_TIMEOUT_S
        + 2 * inflightattempts.STALL_CHECK_INTERVAL_S
    )
    assert sink.failure.reason is errors.Reason.TIMEOUT
    assert sink.failure.outcome is errors.Outcome.FAILED
    assert fake_target.cancelled == ["a1"]


async def test_crash_makes_all_requests_in_flight_suspects():
    """A request that crashes engines must not rerun next to others."""
    crash_suspects = suspects.CrashSuspects("entry-1")
    fake_target = fakes.FakeTarget()
    runner = fakes.build_runner(fake_target, crash_suspects=crash_suspects)
    runner.note_incarnation(1)

    async def crash(request):
        await asyncio.sleep(0.5)
        fake_target.target_incarnation = 2
        return cut()

    fake_target.script = [crash, crash]
    await asyncio.gather(
        runner.run(fakes.build_dispatch("a1"), fakes.MessageCollector()),
        runner.run(fakes.build_dispatch("a2"), fakes.MessageCollector()),
    )
    now = asyncio.get_running_loop().time()
    assert crash_suspects.verdict("a1", now) is suspects.Verdict.ALONE
    assert crash_suspects.verdict("a2", now) is suspects.Verdict.ALONE


async def test_cut_connection_without_a_crash_makes_no_suspect():
    """A network fault must not make a request a suspect."""
    crash_suspects = suspects.CrashSuspects("entry-1")
    fake_target = fakes.FakeTarget([cut()])
    runner = fakes.build_runner(fake_target, crash_suspects=crash_suspects)
    runner.note_incarnation(1)
    await runner.run(fakes.build_dispatch("a1"), fakes.MessageCollector())
    now = asyncio.get_running_loop().time()
    assert crash_suspects.verdict("a1", now) is suspects.Verdict.NORMAL


async def test_unwanted_response_is_cancelled_at_the_engine():
    """The request of a caller that left must not keep a slot busy."""
    stream = fakes.FakeStream([*fakes.EVENTS[:1], 5.0, *fakes.EVENTS[1:]])
    fake_target = fakes.FakeTarget([stream])
    sink = fakes.MessageCollector()
    sink.wanted = False
    await fakes.build_runner(fake_target).run(fakes.build_dispatch(), sink)
    assert stream.closed
    assert fake_target.cancelled == ["a1"]


def cut():
    """Returns the failure of a connection that was cut."""
    return fakes.build_truncation()
