"""Guards the client of the platform's store, tested against a stand-in."""

import asyncio
import json

import builders_io
import pytest

from carobsail import errors, httpclient, storeera
from carobsail.keyvalue import Compare, Delete, Put
from carobsail.platform.store import (
    BODY_TIMEOUT_S,
    CALL_TIMEOUT_S,
    PlatformStore,
)
from soak.storestandin import StoreStandin, serve

pytestmark = pytest.mark.memory_network


@pytest.fixture
async def store():
    standin = StoreStandin()
    server = await serve(standin)
    client = PlatformStore(f"127.0.0.1:{server.port}")
    yield standin, client
    client.close()
    await server.close()


async def put(client, key, value=b"v", revision=0, lease=0):
    return await client.transact(
        [Compare(key, revision)], [Put(key, value, lease)]
    )


async def test_range_reads_all_pages(store):
    """Only the first page of targets was read."""
    _, client = store
    for number in range(5):
        await put(client, f"servers/{number}")
    result = await client.range("servers/")
    assert [v.key for v in result.values] == [f"servers/{n}" for n in range(5)]
    assert result.values[0].value == b"v"


async def test_transaction_tells_the_present_values(store):
    """A failed condition returns the current value of the key."""
    _, client = store
    first = await put(client, "k")
    assert first.succeeded
    second = await put(client, "k", b"other")
    assert not second.succeeded
    assert second.current[0].value == b"v"
    removal = await client.transact([], [Delete("k")])
    assert removal.succeeded


async def test_lease_ends_with_its_keys(store):
    """A holder that no longer runs must not keep the key forever."""
    _, client = store
    lease = await client.grant_lease(3.0)
    await put(client, "k", lease=lease)
    assert await client.keep_lease(lease) == 3.0
    await client.revoke_lease(lease)
    assert await client.keep_lease(lease) == 0.0
    assert (await client.range("k")).values == ()


async def test_watch_misses_no_change(store):
    """A change between two long polls of a watch was lost."""
    _, client = store
    start = (await client.range("")).revision + 1
    watch = client.watch("", start)
    await put(client, "a")
    assert [e.key for e in await anext(watch)] == ["a"]
    await put(client, "b")
    await client.transact([], [Delete("a")])
    seen = []
    while len(seen) < 2:
        seen += [(e.key, e.value) for e in await anext(watch)]
    assert seen == [("b", b"v"), ("a", None)]
    assert await anext(watch) == []


async def test_lost_history_is_a_stale_revision(store):
    """After a compaction all keys must be read again."""
    standin, client = store
    standin.compacted = 100
    failure = await anext(client.watch("", 2))
    assert failure.reason is errors.Reason.STALE_REVISION


async def test_refused_call_has_not_run(store):
    """A write that the store refuses has had no effect."""
    standin, client = store
    for status in (429, 503):
        standin.status = status
        result = await put(client, "k")
        assert result.outcome is errors.Outcome.NOT_RUN


@pytest.mark.parametrize(
    ("first", "piece"),
    [
        (b"", b"HTTP/1.1 200 OK"),
        (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"1\r\nx\r\n",
        ),
    ],
    ids=["status", "headers", "interim", "body", "chunks"],
)
async def test_answer_without_an_end_may_have_run(first, piece):
    """An endless response must neither fill memory nor block the caller."""
    server = builders_io.EndlessServer(first, piece)
    await server.start()
    client = PlatformStore(f"127.0.0.1:{server.port}")
    async with asyncio.timeout(CALL_TIMEOUT_S + BODY_TIMEOUT_S + 1):
        result = await put(client, "k")
    assert result.outcome is errors.Outcome.UNKNOWN
    await asyncio.sleep(0.1)
    assert server.requests == server.closed == 1
    assert server.sent < 17_000_000
    client.close()


async def test_call_without_an_answer_may_have_run(store):
    """An unknown outcome must not be reported as a refusal."""
    standin, client = store
    standin.silent = True
    result = await put(client, "k")
    assert result.outcome is errors.Outcome.UNKNOWN


ITEM = {"key": "k", "value": "dg==", "revision": 5}


@pytest.mark.parametrize(
    "body",
    [
        b"[]",
        b"null",
        b"{}",
        b'{"items": 5, "currentRev": 1, "events": 5, "revision": []}',
        b'{"items": [5], "currentRev": 1, "events": [5], "revision": "x"}',
        json.dumps(
            {"items": [ITEM | {"value": "?"}], "currentRev": 5}
        ).encode(),
        json.dumps({"events": [ITEM | {"value": "?"}]}).encode(),
        json.dumps({"items": [{"key": "k"}], "currentRev": 5}).encode(),
        json.dumps({"events": [{"key": "k"}]}).encode(),
        b'{"odd":' + b"[" * 5000 + b"]" * 5000 + b"}",
    ],
    ids=range(10),
)
async def test_response_of_another_form_is_a_failure(body):
    """A response without a field ended the process that read it."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def answer(reader, writer):
        while await reader.read(65_536):
            writer.write(head + body)

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    client = PlatformStore(f"127.0.0.1:{builders_io.port_of(server)}")
    for call in (
        client.range("servers/"),
        client.changes("servers/", 1, 0.0),
        client.grant_lease(1.0),
        client.keep_lease(1),
        put(client, "k"),
    ):
        result = await call
        assert isinstance(result, errors.Failure)
        assert result.reason is errors.Reason.TARGET_ERROR
    client.close()
    server.close()


async def fill(standin, client, count):
    """Writes targets in era 1; returns a copy made before the last two."""
    standin.era = 1
    for number in range(count - 2):
        await put(client, f"servers/{number}")
    older = standin.data.checkpoint()
    for number in range(count - 2, count):
        await put(client, f"servers/{number}")
    return older


async def test_revisions_rise_when_the_store_goes_back(store):
    """Revisions that were given out again were refused as old."""
    standin, client = store
    older = await fill(standin, client, 5)
    before = await client.range("")
    standin.go_back(older)
    after = await client.range("")
    assert after.revision > before.revision
    assert len(after.values) == 3
    assert all(v.mod_revision > before.revision for v in after.values)
    assert client.era == 2


async def test_watch_from_an_earlier_era_asks_for_a_whole_read(store):
    """Changes below a revision that is given out again were never read."""
    standin, client = store
    older = await fill(standin, client, 5)
    before = (await client.range("")).revision
    standin.go_back(older)
    for number in range(9):
        await standin.put_entry(f"new-{number}", b"v")
    found = await client.changes("", before, 0.1)
    assert found.reason is errors.Reason.STALE_REVISION
    calls = len(standin.calls)
    found = await client.changes("", before, 0.1)
    assert found.reason is errors.Reason.STALE_REVISION
    assert len(standin.calls) == calls


async def test_condition_of_an_earlier_era_is_not_sent(store):
    """A revision that was given out again passed for the one that was read."""
    standin, client = store
    older = await fill(standin, client, 3)
    value = (await client.range("servers/2")).values[0]
    standin.go_back(older)
    await put(standin.data, "servers/1")
    await standin.put_entry("2", b"another")
    await client.range("")
    result = await put(client, value.key, b"mine", value.mod_revision)
    assert result.reason is errors.Reason.STALE_REVISION
    assert result.outcome is errors.Outcome.NOT_RUN


async def test_pages_of_two_eras_are_not_one_listing(store, monkeypatch):
    """Keys of a lost page stayed in the copy beside those of the next era."""
    standin, client = store
    older = await fill(standin, client, 7)
    calls = []
    send = httpclient.ConnectionPool.request

    async def request(pool, *args):
        calls.append(args)
        if len(calls) == 3:
            standin.go_back(older)
        return await send(pool, *args)

    monkeypatch.setattr(httpclient.ConnectionPool, "request", request)
    listing = await client.range("")
    assert [v.key for v in listing.values] == [
        f"servers/{number}" for number in range(5)
    ]
    assert {storeera.era_of(v.mod_revision) for v in listing.values} == {2}
    assert len(calls) > 3
