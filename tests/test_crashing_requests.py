"""Tests requests that crash each engine that executes them, as a whole."""

import asyncio
import random

import builders_io
import pytest
from builders_engines import start_plain_engines
from builders_serving import request_path, route, route_table

from carobsail import calls, crashguard, httpserver, routetable, telemetry
from carobsail.crashes import CrashObservations, Traits

# A request that has crashed three engines may reach engines in this many
# retries that are sent later than this after the third crash.
MAX_LATE_RETRIES = 3
KNOWN_AFTER_S = 4.0

DEADLY = 7


def late_retries(sent_at, crashed_at):
    """Counts the retries that are sent too late after the third crash."""
    if len(crashed_at) < 3:
        return 0
    return sum(at > crashed_at[2] + KNOWN_AFTER_S for at in sent_at)


def exchange(fleet, now):
    """Reports to the first instance, the coordinator, and back to all."""
    coordinator, *others = fleet
    for instance in others:
        coordinator.merge(*instance.reports(now, own_only=True), now)
    for instance in others:
        instance.merge(*coordinator.reports(now, own_only=False), now)


@pytest.mark.parametrize("gap_s", [0.03, 0.12])
@pytest.mark.parametrize("instance_count", [1, 7])
@pytest.mark.parametrize("other_count", [0, 3, 10, 40, 80])
def test_deadly_request_is_found_among_others(
    other_count, instance_count, gap_s
):
    """Requests that were lost with the same engines displaced its evidence.

    Each repetition arrives at the next instance, which sends it to a second
    engine at once. All engines hold other requests, which are lost with them.
    """
    rng = random.Random(1)
    fleet = [CrashObservations() for _ in range(instance_count)]
    sent_at, crashed_at = [], []
    now = 0.0
    for number in range(20):
        now = 5.0 * number
        instance = fleet[number % instance_count]
        for _ in range(2):
            if instance.refusal_left_s(Traits(fingerprint=DEADLY), now) > 0.0:
                break
            sent_at.append(now)
            now += gap_s
            crashed_at.append(now)
            lost = [rng.getrandbits(60) for _ in range(other_count)]
            lost.insert(rng.randrange(other_count + 1), DEADLY)
            for fingerprint in lost:
                instance.record_crash(
                    (fingerprint,), len(crashed_at), False, now
                )
        exchange(fleet, now + 0.5)
    assert late_retries(sent_at, crashed_at) <= MAX_LATE_RETRIES
    for instance in fleet:
        assert instance.refusal_left_s(Traits(fingerprint=DEADLY), now) > 0.0


async def send(
    handler, method="GET", path="/a/x", body=b"", host="host.example", extra=""
):
    """Sends one request over a connection of its own; returns its status."""
    server = await httpserver.serve(
        "127.0.0.1", 0, handler.handle, httpserver.ServerLimits(), "callers"
    )
    received = await builders_io.send_raw(
        server.port,
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n"
        f"Carobsail-Request-Id: q1\r\nCarobsail-Deadline-Ms: 3000\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body,
    )
    await server.close()
    return int(received.split(b" ", 2)[1])


async def repeat(handler, engines, count, **request):
    """Sends a request every 5 s; returns late retries and the last status."""
    loop = asyncio.get_running_loop()
    sent_at, crashed_at, status = [], [], 0
    for _ in range(count):
        before = sum(len(engine.received) for engine in engines)
        now = loop.time()
        status = await send(handler, **request)
        crashes = sum(engine.crashed for engine in engines)
        crashed_at += [loop.time()] * (crashes - len(crashed_at))
        sends = sum(len(engine.received) for engine in engines) - before
        sent_at += [now] * sends
        await asyncio.sleep(5.0)
    return late_retries(sent_at, crashed_at), status


@pytest.mark.memory_network
@pytest.mark.parametrize("delay_s", [0.03, 0.12])
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_deadly_request_without_a_body_is_refused(method, delay_s):
    """A lookup without a body crashed 14 engines."""
    engines = await start_plain_engines(20, b"/a/deadly", delay_s)
    handler = request_path(
        route_table(route()), *(e.plain_entry() for e in engines)
    )
    late, status = await repeat(
        handler, engines, 8, method=method, path="/a/deadly?page=2"
    )
    assert late <= MAX_LATE_RETRIES
    assert status == 503
    assert await send(handler, path="/a/sound?page=2") == 200


def test_refusal_names_the_traits_that_it_matched():
    """A refused request could not be traced to the crashes before it."""
    observations = CrashObservations()
    for target in range(3):
        observations.record_crash((DEADLY,), target, False, float(target))
        observations.record_crash((1, 2), 10 + target, True, float(target))
    assert observations.refusal(Traits((1, 2, 3), 4), 3.0)[0] == {1, 2}
    assert observations.refusal(Traits((1,), DEADLY), 3.0)[0] == {DEADLY}
    assert observations.refusal(Traits((1, 3), 4), 3.0) == (frozenset(), 0.0)


@pytest.mark.memory_network
async def test_request_that_may_run_once_is_refused_without_a_body():
    """A request that is not sent again crashes one engine each time."""
    engines = await start_plain_engines(12, b"/a/deadly")
    unsafe = route(retry_safety=routetable.RetrySafety.UNSAFE)
    handler = request_path(
        route_table(unsafe), *(e.plain_entry() for e in engines)
    )
    late, status = await repeat(
        handler, engines, 8, method="POST", path="/a/deadly"
    )
    assert late <= MAX_LATE_RETRIES
    assert status == 503
    assert sum(engine.crashed for engine in engines) == 3


@pytest.mark.memory_network
async def test_same_path_of_another_host_or_caller_is_served():
    """Sound requests were refused because they had path and body in common."""
    engines = await start_plain_engines(12, b"Authorization: Bearer deadly")
    # Requests are deadly by their caller, whom the route does not show.
    for engine in engines:
        engine.deadly = b"authorization: Bearer deadly"
    handler = request_path(
        route_table(route(), route(name="r2", host="other.example")),
        *(e.plain_entry() for e in engines),
    )
    deadly = {"method": "POST", "body": b"same"}
    _, status = await repeat(
        handler, engines, 8, extra="Authorization: Bearer deadly\r\n", **deadly
    )
    assert status == 503
    assert await send(handler, host="other.example", **deadly) == 200
    other = {"extra": "Authorization: Bearer sound\r\n"}
    assert await send(handler, **other, **deadly) == 200
    assert await send(handler, **deadly) == 200


@pytest.mark.memory_network
async def test_request_that_two_targets_lost_is_not_sent_again():
    """Each repetition crashed two engines until it was refused."""
    engines = await start_plain_engines(12, b"/a/deadly")
    handler = request_path(
        route_table(route()), *(e.plain_entry() for e in engines)
    )
    for crashed in (2, 3, 4, 4):
        await send(handler, path="/a/deadly")
        await asyncio.sleep(1.0)
        assert sum(engine.crashed for engine in engines) == crashed


async def test_request_that_is_refused_twice_ends_once():
    """A second refusal raised RuntimeError while the send was still ending."""
    guard = crashguard.CrashGuard(telemetry.Metrics(), lambda: None)
    call = calls.Call(
        request=None,
        responder=None,
        metadata=None,
        progress=None,
        requirements=None,
        arrived_at=0.0,
        caller_deadline_at=3.0,
        cursor=None,
        traits=Traits(fingerprint=DEADLY),
    )

    async def lose_with_three_targets(fingerprint):
        for target in range(3):
            now = asyncio.get_running_loop().time()
            guard._observations.record_crash((fingerprint,), target, False, now)
            await asyncio.sleep(0.2)

    failures = []

    def clear_the_other():
        """Changes what is refused while the send is ending."""
        guard._observations.record_answer(
            Traits(fingerprint=DEADLY - 1), asyncio.get_running_loop().time()
        )
        try:
            guard._apply_changes()
        except RuntimeError as error:
            failures.append(error)

    await lose_with_three_targets(DEADLY - 1)
    await lose_with_three_targets(DEADLY)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(None) as timeout:
            with guard.ending_if_refused(call, timeout):
                guard._apply_changes()
                asyncio.get_running_loop().call_soon(clear_the_other)
                await asyncio.sleep(1.0)
    assert not failures


def test_request_that_was_queued_is_refused_after_more_crashes():
    """Requests that only waited at targets were lost three times."""
    observations = CrashObservations()
    traits = Traits(fingerprint=DEADLY)
    for number in range(5):
        assert observations.refusal_left_s(traits, number) == 0.0
        observations.record_crash(
            (DEADLY,), number, False, float(number), weak=number > 0
        )
    assert observations.refusal_left_s(traits, 4.0) > 0.0


@pytest.mark.parametrize("seed", range(20))
def test_plain_crashes_in_a_row_refuse_no_lookup(seed):
    """A lookup without a body, sent alike by many callers, was refused.

    Eight targets crash 0.5 s apart, each with requests for this lookup and
    others. Other targets answer it on some instance in between.
    """
    rng = random.Random(seed)
    lookup = Traits(fingerprint=5)
    fleet = [CrashObservations() for _ in range(7)]
    now = 0.0
    for target in range(8):
        for _ in range(10):
            now += 0.05
            rng.choice(fleet).record_answer(lookup, now)
            exchange(fleet, now)
        for instance in rng.sample(fleet, 4):
            for fingerprint in (5, rng.getrandbits(60)):
                instance.record_crash((fingerprint,), target, False, now)
        for instance in fleet:
            assert instance.refusal_left_s(lookup, now) == 0.0, target


@pytest.mark.parametrize("seed", range(20))
def test_targets_that_crash_together_refuse_no_request_they_held(seed):
    """Waiting requests were lost in three rounds of crashes and refused.

    Each request is sent again to another target, which is lost in the next
    round, 2 s later, before it has answered.
    """
    rng = random.Random(seed)
    fleet = [CrashObservations() for _ in range(7)]
    waiting = [rng.getrandbits(60) for _ in range(60)]
    for round_ in range(4):
        now = 2.0 * round_
        rng.shuffle(waiting)
        for number, fingerprint in enumerate(waiting):
            target = (round_, number % 6)
            instance = rng.choice(fleet)
            instance.record_crash(
                (fingerprint,), hash(target), False, now + rng.random() * 0.01
            )
        exchange(fleet, now + 0.5)
        for instance in fleet:
            for fingerprint in waiting:
                traits = Traits(fingerprint=fingerprint)
                assert instance.refusal_left_s(traits, now) == 0.0, round_
