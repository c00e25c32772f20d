"""Guards claims against double grants and false `not run` results (R4, R5).

Numbers such as R4 refer to the requirements in docs/design.md.
"""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carobsail import (
    claimlease,
    claimwriter,
    errors,
    etcd,
    idempotency,
    messages,
    standin_keyvalue,
)
from tests.builders_claims import (
    LATE_S,
    RESPONSE,
    CrashableWriter,
    FaultyKeyValue,
    claim,
    run_on_virtual_time,
    settle,
)

CLAIM_KEY = idempotency.claim_key("acme", "k")
FAULTS = ["ok", "refused", "lost", "dropped", "late", "hang", "slow"]


def test_life_of_a_claim():
    """R5: repeats must receive the recorded response, never a second grant."""

    async def scenario():
        writer = CrashableWriter(FaultyKeyValue()).writer
        assert (await writer.claim(claim("a"))).state == "granted"
        assert (await writer.claim(claim("b"))).state == "unknown"
        other = await writer.claim(claim("b", fingerprint="g"))
        assert other.state == "mismatch"
        done = settle("done", "a", response=RESPONSE)
        assert (await writer.settle(done)).recorded
        repeat = await writer.claim(claim("b"))
        assert (repeat.state, repeat.response) == ("done", RESPONSE)
        assert not (await writer.settle(settle("released", "a"))).recorded

    run_on_virtual_time(scenario())


def test_release_frees_the_key_only_for_its_holder():
    """R5: another token's release must not free a key in use."""

    async def scenario():
        writer = CrashableWriter(FaultyKeyValue()).writer
        await writer.claim(claim("a"))
        assert not (await writer.settle(settle("released", "b"))).recorded
        assert (await writer.claim(claim("b"))).state == "unknown"
        assert (await writer.settle(settle("released", "a"))).recorded
        assert (await writer.claim(claim("b"))).state == "granted"

    run_on_virtual_time(scenario())


def test_large_answer_is_recorded_by_status():
    """R5: a response beyond 16 KB must not be replayed without its body."""

    async def scenario():
        writer = CrashableWriter(FaultyKeyValue()).writer
        await writer.claim(claim("a"))
        large = messages.StoredResponse(201, [], b"x" * 16_385)
        assert (
            await writer.settle(settle("done", "a", response=large))
        ).recorded
        repeat = await writer.claim(claim("b"))
        assert repeat.state == "unknown"
        assert repeat.response == messages.StoredResponse(201, [], b"")

    run_on_virtual_time(scenario())


def test_claims_share_transactions():
    """R12: the number of writes must not grow with that of requests."""

    async def scenario():
        client = FaultyKeyValue()
        writer = CrashableWriter(client).writer
        claims = [writer.claim(claim(f"t{i}", f"k{i}")) for i in range(200)]
        results = await asyncio.gather(*claims)
        assert {result.state for result in results} == {"granted"}
        assert client.sizes == [1, 1, 64, 64, 64, 8]
        assert asyncio.get_running_loop().time() == pytest.approx(0.3)
        writer.set_calls_per_s(2)
        await writer.claim(claim("x", "x"))
        await writer.claim(claim("y", "y"))
        assert asyncio.get_running_loop().time() == pytest.approx(0.9)

    run_on_virtual_time(scenario())


def test_taken_keys_do_not_hold_up_others():
    """A taken key in a batch must not prevent the grants of the others."""

    async def scenario():
        writer = CrashableWriter(FaultyKeyValue()).writer
        await writer.claim(claim("a", "k0"))
        claims = [writer.claim(claim(f"t{i}", f"k{i}")) for i in range(5)]
        states = [result.state for result in await asyncio.gather(*claims)]
        assert states == ["unknown"] + ["granted"] * 4

    run_on_virtual_time(scenario())


@pytest.mark.parametrize(
    ("fault", "state"),
    [
        ("lost", "granted"),
        ("dropped", "granted"),
        ("late", "granted"),
        ("hang", "granted"),
        ("refused", "unavailable"),
    ],
)
def test_lost_response_is_resolved(fault, state):
    """R4, R5: the outcome of a lost response must be found out, not assumed."""

    async def scenario():
        client = FaultyKeyValue(["ok", "ok", fault])
        writer = CrashableWriter(client).writer
        assert (await writer.claim(claim("a"))).state == state
        assert (await writer.settle(settle("released", "a"))).recorded
        await asyncio.sleep(2 * LATE_S)
        assert client.stored_record(CLAIM_KEY) is None

    run_on_virtual_time(scenario())


def test_outage_after_a_lost_response_is_unknown_not_unavailable():
    """R4: a claim that may be held must not be reported as not run."""

    async def scenario():
        client = FaultyKeyValue(["ok", "ok", "late", "dropped"])
        writer = CrashableWriter(client).writer
        first = asyncio.create_task(writer.claim(claim("a")))
        await asyncio.sleep(0.05)
        client.available = False
        second = await writer.claim(claim("b", "k2"))
        assert second.state == "unavailable"
        assert (await first).state == "unknown"
        release = asyncio.create_task(writer.settle(settle("released", "a")))
        await asyncio.sleep(1)
        assert not release.done()
        client.available = True
        assert (await release).recorded
        await asyncio.sleep(2 * LATE_S)
        assert client.stored_record(CLAIM_KEY) is None

    run_on_virtual_time(scenario())


@pytest.mark.parametrize(
    ("faults", "state"),
    [
        (["hang"] * 5, "unavailable"),
        (["slow"] * 2, "unavailable"),
        (["ok", "ok", "hang", "slow"], "unknown"),
    ],
)
def test_claim_is_answered_in_time_although_calls_hang(faults, state):
    """R13: a caller must not wait for the time limit of each slow call."""

    async def scenario():
        client = FaultyKeyValue(faults)
        writer = CrashableWriter(client).writer
        assert (await writer.claim(claim("a"))).state == state
        assert asyncio.get_running_loop().time() <= 5.0
        client.faults.clear()
        await asyncio.sleep(10)
        assert writer.counts["granted"] == 0
        assert state == "unknown" or client.stored_record(CLAIM_KEY) is None
        assert (await writer.claim(claim("b", "k2"))).state == "granted"

    run_on_virtual_time(scenario())


def test_outage_answers_claims_while_a_result_waits():
    """R4: a result that cannot be stored must not delay claims."""

    async def scenario():
        client = FaultyKeyValue()
        writer = CrashableWriter(client).writer
        await writer.claim(claim("a"))
        client.available = False
        done = settle("done", "a", response=RESPONSE)
        task = asyncio.create_task(writer.settle(done))
        assert (await writer.claim(claim("b", "k2"))).state == "unavailable"
        client.available = True
        assert (await task).recorded

    run_on_virtual_time(scenario())


def test_writers_of_an_hour_share_a_lease():
    """R18: replaced instances must not each leave a lease behind."""

    async def scenario():
        client = FaultyKeyValue()
        for i in range(5):
            await CrashableWriter(client, f"w{i}").writer.claim(
                claim("a", f"k{i}")
            )
        assert client.calls["grant_lease"] == 1
        for _ in range(2):  # The loop cannot sleep for a day at once.
            await asyncio.sleep(claimlease.LEASE_TTL_S / 2 + 1)
        assert not (await client.range(claimwriter.PREFIX)).values

    run_on_virtual_time(scenario())


def test_drain_answers_everything():
    """R7: a planned stop must still record results that are queued."""

    async def scenario():
        process = CrashableWriter(FaultyKeyValue())
        await process.writer.claim(claim("a"))
        done = process.writer.settle(settle("done", "a", response=RESPONSE))
        task = asyncio.create_task(done)
        await asyncio.sleep(0)
        assert await process.writer.drain(5.0)
        assert (await task).recorded
        late = await process.writer.claim(claim("b"))
        assert late.state == "unavailable"

    run_on_virtual_time(scenario())


@pytest.mark.parametrize("after", [False, True])
@pytest.mark.parametrize("call", range(1, 6))
def test_writer_death_at_every_call(call, after):
    """R5: a claim whose writer crashes must be granted to one token only."""

    async def scenario():
        client = FaultyKeyValue()
        client.crash_at = (call, after)
        first = CrashableWriter(client, "w1")
        client.crash = first.crash
        result = await first.call_unless_crashed(first.writer.claim(claim("a")))
        second = CrashableWriter(client, "w2")
        if result is None:
            result = await second.call_unless_crashed(
                second.writer.claim(claim("a"))
            )
        assert result.state == "granted"
        assert (await second.writer.claim(claim("b"))).state == "unknown"

    run_on_virtual_time(scenario())


async def _operate(writers, script, key, sent, not_run, index):
    """Claims, runs and settles one operation as an entry instance does."""
    start_s, first, second, outcome = script
    await asyncio.sleep(start_s)
    tracker = idempotency.ClaimTracker(random.Random(index))
    ask = tracker.begin("acme", key, "f")
    token = ask.token
    result = await writers[first].call_unless_crashed(
        writers[first].writer.claim(ask)
    )
    if result is None:
        ask = tracker.claim_again(token)
        result = await writers[second].call_unless_crashed(
            writers[second].writer.claim(ask)
        )
    if result is None:
        return
    decision = tracker.receive(result)
    if isinstance(decision, errors.Failure):
        if decision.outcome is errors.Outcome.NOT_RUN:
            not_run.add((key, token))
        return
    if decision is not None:
        return
    if outcome != "not_run":
        sent.append(key)
        end = RESPONSE if outcome == "done" else errors.Outcome.UNKNOWN
        message = tracker.finish(token, end)
    else:
        message = tracker.finish(token, errors.Outcome.NOT_RUN)
    settled = await writers[first].call_unless_crashed(
        writers[first].writer.settle(message)
    )
    if settled and settled.recorded and message.state == "released":
        not_run.add((key, token))


SCRIPT = st.tuples(
    st.sampled_from([0.0, 0.05, 1.0, 4.0]),
    st.integers(0, 2),
    st.integers(0, 2),
    st.sampled_from(["done", "unknown", "not_run"]),
)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(
    st.lists(SCRIPT, min_size=2, max_size=8),
    st.lists(st.sampled_from(FAULTS), max_size=16),
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 60)), max_size=2),
    st.lists(st.integers(0, 60), max_size=2),
)
def test_at_most_one_grant_under_faults(scripts, faults, crashes, outages):
    """R4, R5: no key may run twice, and none reported as not run be held."""

    async def scenario():
        client = FaultyKeyValue(faults)
        writers = [CrashableWriter(client, f"w{i}") for i in range(3)]
        loop = asyncio.get_running_loop()
        for index, tenths in crashes:
            loop.call_later(tenths / 10, writers[index].crash)
        for tenths in outages:
            loop.call_later(tenths / 10, setattr, client, "available", False)
            loop.call_later(tenths / 10 + 2, setattr, client, "available", True)
        sent, not_run = [], set()
        await asyncio.gather(
            *(
                _operate(writers, script, f"k{i % 2}", sent, not_run, i)
                for i, script in enumerate(scripts)
            )
        )
        await asyncio.sleep(3 * LATE_S)
        for writer in writers:
            await writer.stop()
        assert len(sent) == len(set(sent))
        for key, token in not_run:
            record = client.stored_record(idempotency.claim_key("acme", key))
            assert record is None or record.token != token

    run_on_virtual_time(scenario())


def test_claims_over_the_published_protocol():
    """R5: the reads that decide a claim must work over the JSON gateway."""

    async def scenario():
        standin = standin_keyvalue.KeyValueStandin()
        await standin.start("127.0.0.1")
        writer = CrashableWriter(etcd.EtcdClient(standin.address)).writer
        assert (await writer.claim(claim("a"))).state == "granted"
        assert (await writer.claim(claim("b"))).state == "unknown"
        other = CrashableWriter(etcd.EtcdClient(standin.address), "w2").writer
        done = settle("done", "a", response=RESPONSE)
        assert (await other.settle(done)).recorded
        repeat = await writer.claim(claim("b"))
        assert (repeat.state, repeat.response) == ("done", RESPONSE)

    run_on_virtual_time(scenario())
