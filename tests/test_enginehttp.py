"""Guards failure outcomes, stream resumption and orders of the engine client.

Numbers such as R3 refer to the requirements in docs/design.md.
"""

import asyncio

import pytest

from carobsail import enginehttp, errors
from carobsail.standin_engine import Cut
from carobsail.standin_generation import answer_text
from tests import builders_io as build

pytestmark = pytest.mark.memory_network


async def test_each_request_gets_its_own_whole_response():
    """R3: concurrent responses must not be mixed up or lose bytes."""
    standin, client = await build.start_engine(slots=4)

    async def one(number):
        request = build.dispatch_message(
            build.chat_body(f"question {number}"), attempt=f"a{number}"
        )
        data, failure = await build.read_stream(await client.send(request))
        assert failure is None
        assert build.text_of(data) == answer_text(request.body, 8)
        assert build.events(data)[-1][1] == "[DONE]"
        assert '"completion_tokens":8' in build.events(data)[-2][1]

    await asyncio.gather(*(one(number) for number in range(20)))
    assert set(standin.executions.values()) == {1}
    assert len(standin.bodies) == 20


@pytest.mark.parametrize(
    ("cut", "idempotent", "reason", "outcome"),
    [
        (
            Cut.BEFORE_HEAD,
            True,
            errors.Reason.CONNECTION_LOST,
            errors.Outcome.FAILED,
        ),
        (
            Cut.BEFORE_HEAD,
            False,
            errors.Reason.CONNECTION_LOST,
            errors.Outcome.UNKNOWN,
        ),
        (
            Cut.MID_STREAM,
            True,
            errors.Reason.ANSWER_CUT,
            errors.Outcome.UNKNOWN,
        ),
        (
            Cut.BEFORE_LAST_BYTE,
            True,
            errors.Reason.ANSWER_CUT,
            errors.Outcome.UNKNOWN,
        ),
    ],
)
@pytest.mark.parametrize("stream", [True, False])
async def test_incomplete_response(cut, idempotent, reason, outcome, stream):
    """R3, R5: an incomplete response must be detected, and is never not run."""
    standin, client = await build.start_engine()
    standin.cut_stage, standin.answers_to_cut = cut, 1
    body = build.chat_body(stream=stream)
    request = build.dispatch_message(body, idempotent=idempotent)
    _, failure = await build.read_stream(await client.send(request))
    assert (failure.reason, failure.outcome) == (reason, outcome)
    assert failure.peer == "e1"


async def test_resumed_stream_has_no_gap_and_no_repetition():
    """R3: a resumed stream must equal an uninterrupted one."""
    standin, client = await build.start_engine()
    standin.answers_to_cut = 1
    request = build.dispatch_message(build.chat_body(tokens=20))
    first, failure = await build.read_stream(await client.send(request))
    assert failure is not None
    last = build.events(first)[-1][0]
    rest, failure = await build.read_stream(
        await client.resume(request, str(last))
    )
    assert failure is None
    assert build.text_of(first + rest) == answer_text(request.body, 20)
    assert standin.executions["a1"] == 1
    gone = await client.resume(build.dispatch_message(b"", attempt="a2"), "3")
    assert gone.outcome is errors.Outcome.FAILED
    await standin.stop()
    refused = await client.resume(request, "3")
    assert refused.outcome is errors.Outcome.FAILED


async def test_cancel_frees_the_slot():
    """Cancelled work must not delay other requests."""
    _, client = await build.start_engine(slots=1, decode_tokens_per_s=1.0)
    long = await client.send(
        build.dispatch_message(build.chat_body(tokens=1000))
    )
    await asyncio.sleep(3.0)
    assert await client.cancel("a1") is None
    short = build.dispatch_message(build.chat_body(tokens=1), attempt="a2")
    _, failure = await build.read_stream(await client.send(short))
    assert failure is None
    assert asyncio.get_running_loop().time() < 10.0
    _, cut = await build.read_stream(long)
    assert cut.reason is errors.Reason.ANSWER_CUT


async def test_refused_request_is_not_run():
    """R4: a request that the engine refused may be sent elsewhere."""
    standin, client = await build.start_engine()
    request = build.dispatch_message(
        build.chat_body(model="tone"), idempotent=False
    )
    failure = await client.send(request)
    assert failure.reason is errors.Reason.TARGET_REFUSED
    assert failure.outcome is errors.Outcome.NOT_RUN
    assert failure.retry_after_s == 1.0
    assert not standin.executions
    assert await client.load_adapter("tone", "base", 1) is None
    data, failure = await build.read_stream(await client.send(request))
    assert failure is None
    assert build.text_of(data) == answer_text(request.body, 8)


async def test_refusal_with_an_endless_body_is_a_refusal():
    """R4: an endless body must not hide that the request was not run."""
    server = build.EndlessServer(
        b"HTTP/1.1 503 x\r\nx-not-started: 1\r\n"
        b"transfer-encoding: chunked\r\n\r\n",
        b"1\r\ny\r\n",
    )
    await server.start()
    client = enginehttp.HttpEngine("e1", f"127.0.0.1:{server.port}")
    async with asyncio.timeout(1.0):
        failure = await client.send(build.dispatch_message(build.chat_body()))
    assert failure.outcome is errors.Outcome.NOT_RUN
    await asyncio.sleep(0.1)
    assert server.closed == 1


async def test_orders_and_reports():
    """R1: rejected orders must have a reason, and reports show the memory."""
    standin, client = await build.start_engine(checks_fencing=True)
    assert await client.load_model("b", "1", 5) is None
    fenced = await client.unload_model("b", 4)
    assert fenced.reason is errors.Reason.FENCED
    assert fenced.outcome is errors.Outcome.NOT_RUN
    full = await client.load_model("c", "1", 5)
    assert full.reason is errors.Reason.NO_MEMORY
    unknown = await client.load_model("x", "1", 5)
    assert unknown.reason is errors.Reason.UNKNOWN_MODEL
    assert await client.unload_model("base", 5) is None
    assert await client.load_model("c", "1", 5) is None
    report = await client.report()
    assert sorted(report.models) == ["b", "c"]
    assert (report.fence, report.free_mb) == (5, 8900)
    assert len(standin.memory.violations) == 1


async def test_order_without_a_response_is_unknown():
    """R13: an order that gets no response may still take effect."""
    standin, client = await build.start_engine()
    standin.lose_orders = 1
    failure = await client.load_adapter("tone", "base", 1)
    assert failure.reason is errors.Reason.TIMEOUT
    assert failure.outcome is errors.Outcome.UNKNOWN
    standin.order_delay_s = 12.0
    failure = await client.load_adapter("tone", "base", 1)
    assert failure.outcome is errors.Outcome.UNKNOWN
    await asyncio.sleep(5.0)
    assert "tone" in (await client.report()).adapters


async def test_cache_events_are_late_and_have_gaps():
    """R11: sequence numbers must show that cache events were lost."""
    standin, client = await build.start_engine()
    standin.cache.delay_s = 2.0
    for number in range(3):
        standin.cache.events_to_lose = number == 1
        request = build.dispatch_message(build.chat_body(f"{number}" * 600))
        await build.read_stream(await client.send(request))
    assert await client.cache_events(0) == []
    await asyncio.sleep(3.0)
    found = await client.cache_events(0)
    assert [(e.sequence, e.kind) for e in found] == [
        (1, "stored"),
        (3, "stored"),
    ]
    assert await client.cache_events(3) == []
