"""Tests that a response whose head is not valid HTTP counts as none.

A target in trouble may send any bytes. Status codes go from 100 to 599, an
HTTP/1 connection carries no other major version, and a response with both a
length and a transfer coding may be framed by someone else.
"""

import random

import pytest
from builders_serving import entry, request_path, route, route_table
from test_broken_answers import (
    ask,
    body,
    closing,
    start,
    status,
    streams,
    whole,
)

from carobsail import errors, peersnapshot, storecopy
from carobsail.engineorders import Order, Verb
from carobsail.platform import engines as platform_engines
from carobsail.platform import store as platform_store
from carobsail.routetable import RetrySafety

pytestmark = pytest.mark.memory_network
SEEDS = range(8)
STATUS_LINES = (
    "HTTP/1.1 000 x", "HTTP/1.1 000", "HTTP/1.1 099 x", "HTTP/1.1 600 x",
    "HTTP/1.1 999 x", "HTTP/1.1 20 x", "HTTP/1.1 2000 x", "HTTP/1.1 -20 x",
    "HTTP/1.1 2x0 x", "HTTP/1.1  200 x", "HTTP/2.0 200 x", "HTTP/0.9 200 x",
    "HTTP/1.1 101 x", "ICY 200 OK", "http/1.1 200 OK", "HTTP/1.1",
)  # fmt: skip


def malformed(seed, line, content=b"ok"):
    """Returns a signed response; the seed draws its framing."""
    rng = random.Random(f"{seed} {line}")
    framed = rng.choice(
        [
            (b"Content-Length: %d\r\n\r\n" % len(content)) + content,
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
            % (len(content), content),
            b"\r\n" + content,
        ]
    )
    names = [b"Carobsail-Server-Seal: s", b"Carobsail-Server-Load: 1,0,8"]
    if rng.random() < 0.5:
        names.append(b"Carobsail-Not-Executed: 1")
    if rng.random() < 0.5:
        names.append(b"Carobsail-Request-Id: q1")
    rng.shuffle(names)
    head = b"".join(name + b"\r\n" for name in names)
    return line.encode() + b"\r\n" + head + framed


def drawn_lines(seed):
    """Returns the known status lines and some with drawn codes."""
    rng = random.Random(seed)
    codes = [rng.randrange(600, 1000) for _ in range(3)]
    codes += [rng.randrange(0, 100) for _ in range(3)]
    return [*STATUS_LINES, *(f"HTTP/1.1 {code:03d} drawn" for code in codes)]


@pytest.mark.parametrize("seed", SEEDS)
async def test_caller_gets_no_response_with_an_invalid_status(seed):
    """Callers got a status from 600 to 999 as the response of a target."""
    for line in drawn_lines(seed):
        address = await closing(malformed(seed, line))
        unsafe = request_path(
            route_table(route(retry_safety=RetrySafety.UNSAFE, max_targets=1)),
            entry(address=address),
        )
        # The request may have run: neither a refusal nor a made-up status.
        assert status(await ask(unsafe)) == 502, line
        stream = streams(address, resumable=False, max_targets=1)
        assert status(await ask(stream)) == 502, line


@pytest.mark.parametrize("seed", SEEDS)
async def test_another_target_answers_after_an_invalid_status(seed):
    """A request that may be repeated ended with the broken response."""
    for line in drawn_lines(seed):
        broken = await start(malformed(seed, line), None)
        sound = await start(whole(b"q1"))
        handler = request_path(
            route_table(route(max_targets=2)),
            entry("t1", address=broken),
            entry("t2", address=sound, data_centre="dc-c"),
        )
        received = await ask(handler)
        assert (status(received), body(received)) == (200, b"ok"), line


async def test_two_framings_of_one_response_are_refused():
    """Where the body ends is a matter of opinion; the caller got one half."""
    chunked = b"5\r\nhello\r\n0\r\n\r\n"
    address = await closing(
        b"HTTP/1.1 200 OK\r\nCarobsail-Server-Seal: s\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n" + chunked
    )
    handler = request_path(
        route_table(route(retry_safety=RetrySafety.UNSAFE, max_targets=1)),
        entry(address=address),
    )
    assert status(await ask(handler)) == 502


@pytest.mark.parametrize("line", ["HTTP/1.1 200 OK", "HTTP/1.0 200 OK"])
async def test_success_that_claims_not_to_have_run_is_no_refusal(line):
    """Callers were told that a request had not run which may have."""
    address = await closing(
        line.encode() + b"\r\nCarobsail-Not-Executed: 1\r\n"
        b"Carobsail-Request-Id: q1\r\nContent-Length: 2\r\n\r\nok"
    )
    handler = request_path(
        route_table(route(retry_safety=RetrySafety.UNSAFE, max_targets=1)),
        entry(address=address),
    )
    assert status(await ask(handler)) == 502


@pytest.mark.parametrize("code", [b"404", b"418", b"500", b"599"])
async def test_failure_of_a_target_is_passed_on(code):
    """A strict check must let every status through that HTTP knows."""
    address = await closing(
        b"HTTP/1.1 %b x\r\nCarobsail-Server-Seal: s\r\n"
        b"Content-Length: 2\r\n\r\nno" % code
    )
    handler = request_path(
        route_table(route(max_targets=1)), entry(address=address)
    )
    received = await ask(handler)
    assert (status(received), body(received)) == (int(code), b"no")


@pytest.mark.parametrize("seed", SEEDS)
async def test_orders_and_reports_are_unknown_after_an_invalid_status(seed):
    """An order whose response is invalid may have been accepted."""
    for line in drawn_lines(seed):
        address = await closing(malformed(seed, line, b"{}"))
        client = platform_engines.HttpEngineOrderClient()
        order = Order(Verb.LOAD, "m1")
        for result in (
            await client.order("e1", address, order, 0, "i1", 1),
            await client.report("e1", address),
        ):
            assert isinstance(result, errors.Failure), line
            assert result.outcome is errors.Outcome.UNKNOWN, line


async def test_order_that_ends_with_a_server_error_is_unknown():
    """Only a refusal of the order shows that it has no effect."""
    client = platform_engines.HttpEngineOrderClient()
    order = Order(Verb.LOAD, "m1")
    outcomes = {}
    for code in (400, 421, 500, 502):
        address = await closing(
            b"HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n" % code
        )
        result = await client.order("e1", address, order, 0, "i1", 1)
        outcomes[code] = str(result.outcome)
    assert outcomes == {
        400: "not_run",
        421: "not_run",
        500: "unknown",
        502: "unknown",
    }


async def store_failure(response):
    """Returns the failure of a write at a store that responds like this."""
    address = await closing(response)
    client = platform_store.PlatformStore(address)
    result = await client.transact([], [])
    client.close()
    assert isinstance(result, errors.Failure)
    return result


@pytest.mark.parametrize("seed", SEEDS)
async def test_write_is_unknown_after_an_invalid_status_of_the_store(seed):
    """A write whose response is invalid may have taken effect."""
    for line in drawn_lines(seed):
        failure = await store_failure(malformed(seed, line, b"{}"))
        assert failure.outcome is errors.Outcome.UNKNOWN, line


@pytest.mark.parametrize(
    ("code", "outcome"), [(503, "not_run"), (429, "not_run"), (500, "unknown")]
)
async def test_only_a_refusal_of_the_store_shows_that_nothing_was_done(
    code, outcome
):
    """A server error in the middle of a write proves nothing."""
    failure = await store_failure(
        b"HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n" % code
    )
    assert str(failure.outcome) == outcome


@pytest.mark.parametrize("code", [200, 404, 503, 599])
async def test_snapshot_is_read_only_from_a_success(code):
    """The body of a peer's failure was taken for a copy of the store."""
    content = peersnapshot.encode(storecopy.CopyChanges(7, 0.1, True, (), ()))
    address = await closing(
        b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (code, len(content))
        + content
    )
    result = await peersnapshot._read(address, "/", 1.0)
    assert isinstance(result, errors.Failure) == (code != 200)
