"""Guards the etcd client against lost responses and lost events.

Numbers such as R8 refer to the requirements in docs/design.md.
"""

import asyncio

import pytest

from carobsail import errors, etcd, standin_keyvalue
from carobsail.keyvalue import Compare, Delete, Put, WatchEvent
from tests import builders_io as build

pytestmark = pytest.mark.memory_network


async def start():
    """Returns a started stand-in for etcd and a client of it."""
    standin = standin_keyvalue.KeyValueStandin()
    await standin.start("127.0.0.1")
    return standin, etcd.EtcdClient(standin.address)


async def test_compare_and_swap():
    """R8: the second of two writers must fail and get the present value."""
    _, client = await start()
    created = await client.transact([Compare("/a", 0)], [Put("/a", b"\xff1")])
    refused = await client.transact([Compare("/a", 0)], [Put("/a", b"2")])
    assert created.succeeded
    assert not refused.succeeded
    assert [v.value for v in refused.current] == [b"\xff1"]
    swap = [Compare("/a", created.revision)]
    assert (await client.transact(swap, [Delete("/a")])).succeeded
    assert (await client.range("/")).values == ()


async def test_range_reads_only_the_prefix():
    """A wrong range end would mix the keys of two data centres."""
    _, client = await start()
    puts = [Put(key, b"") for key in ("/a/1", "/a/2", "/b", "/a0")]
    await client.transact([], puts)
    assert [v.key for v in (await client.range("/a/")).values] == [
        "/a/1",
        "/a/2",
    ]
    assert len((await client.range("")).values) == 4


async def test_lost_response_is_unknown_and_took_effect():
    """R13: a write whose response is lost must not be reported as not run."""
    standin, client = await start()
    standin.lose_answers = 1
    failure = await client.transact([], [Put("/a", b"1")])
    assert failure.outcome is errors.Outcome.UNKNOWN
    assert (await client.range("/a")).values[0].value == b"1"


async def test_slow_service_times_out_as_unknown():
    """R13: a slow service must not delay its caller beyond the timeout."""
    standin, client = await start()
    standin.delay_s = 10.0
    loop = asyncio.get_running_loop()
    failure = await client.transact([], [Put("/a", b"1")])
    assert failure.reason is errors.Reason.TIMEOUT
    assert failure.outcome is errors.Outcome.UNKNOWN
    assert loop.time() == pytest.approx(2.0, abs=0.1)
    read = await client.range("/a")
    assert read.outcome is errors.Outcome.FAILED


async def test_stopped_service_is_not_run():
    """R4: a refused connection proves that nothing was written."""
    standin, client = await start()
    await standin.stop()
    failure = await client.transact([], [Put("/a", b"1")])
    assert failure.outcome is errors.Outcome.NOT_RUN


async def test_lease_expiry_deletes_its_keys():
    """R13: the lease of a paused holder must expire and not be renewable."""
    _, client = await start()
    lease = await client.grant_lease(6)
    await client.transact([], [Put("/leader", b"me", lease)])
    await asyncio.sleep(5.0)
    assert await client.keep_lease(lease) == 6.0
    assert (await client.range("/leader")).values[0].lease == lease
    await asyncio.sleep(6.5)
    assert await client.keep_lease(lease) == 0.0
    assert (await client.range("/leader")).values == ()
    late = await client.transact([], [Put("/leader", b"me", lease)])
    assert late.outcome is errors.Outcome.NOT_RUN
    assert await client.revoke_lease(lease) is None


async def test_watch_delivers_each_change_once_across_idle_periods():
    """R8: a reopened watch must neither miss nor repeat a change."""
    standin, client = await start()
    seen: list[WatchEvent] = []

    async def watch():
        async for events in client.watch("/a/", 1):
            seen.extend(events)

    task = asyncio.create_task(watch())
    for number in range(6):
        await asyncio.sleep(7.0)
        await client.transact([], [Put("/a/1", b"%d" % number), Put("/b", b"")])
    await client.transact([], [Delete("/a/1")])
    await asyncio.sleep(1.0)
    assert [event.value for event in seen] == [
        *(b"%d" % number for number in range(6)),
        None,
    ]
    assert standin.calls["/v3/watch"] > 5
    task.cancel()


async def test_watch_reports_an_outage():
    """R8: a watch that ended must not look like one without changes."""
    standin, client = await start()
    items = []

    async def watch():
        async for item in client.watch("/", 1):
            items.append(item)

    task = asyncio.create_task(watch())
    await asyncio.sleep(1.0)
    standin.available = False
    await asyncio.wait_for(task, 10.0)
    assert items[-1].reason is errors.Reason.UNAVAILABLE


@pytest.mark.parametrize("body", [b"[]", b"{}", b"no JSON", b'{"header":1}'])
async def test_malformed_response_is_a_failure(body):
    """A malformed response must be returned as a failure, not raised."""

    async def handler(request, responder):
        await responder.send(200, [], body)

    server = await build.start_server(handler)
    client = etcd.EtcdClient(f"127.0.0.1:{server.port}")
    failure = await client.transact([], [Put("/a", b"")])
    assert failure.outcome is errors.Outcome.UNKNOWN
    watched = [item async for item in client.watch("/", 1)]
    assert isinstance(watched[-1], errors.Failure)
