"""Guards the start of an instance while the store is away."""

import asyncio
import random

import builders_io
import pytest

from carobsail import errors, keyvalue, operatorport, peersnapshot
from carobsail.storemirror import StoreMirror

pytestmark = pytest.mark.memory_network


async def test_seed_gives_what_it_knows():
    """An instance without a configuration served nobody."""
    known = [keyvalue.KeyValue("op/config", b"{}", 7)]
    port = operatorport.OperatorPort(
        dict,
        lambda: True,
        lambda: True,
        snapshot=lambda key: peersnapshot.encode(7, known),
    )
    server = await builders_io.server(port.handle)
    seen = []
    store = keyvalue.MemoryKeyValue()
    store.available = False
    mirror = StoreMirror(
        store,
        "",
        lambda events, before, after: seen.extend(events),
        lambda _: None,
        random.Random(1),
        peersnapshot.SnapshotPeers(),
    )
    task = asyncio.create_task(
        peersnapshot.adopt(mirror, ["127.0.0.1:9", f"127.0.0.1:{server.port}"])
    )
    await asyncio.sleep(3.0)
    assert [(e.key, e.mod_revision) for e in seen] == [("op/config", 7)]
    task.cancel()
    await server.close()


def test_malformed_snapshot_is_a_failure():
    """Bytes of something else must not become a configuration."""
    assert isinstance(peersnapshot.decode(b"\xc1"), errors.Failure)
    assert isinstance(peersnapshot.decode(b"\x01"), errors.Failure)


def test_snapshot_that_unpacks_without_an_end_is_a_failure(monkeypatch):
    """Some bytes of something else must not fill memory when unpacked."""
    monkeypatch.setattr(peersnapshot, "_SNAPSHOT_BYTES", 100_000)
    known = [keyvalue.KeyValue("op/config", b"x" * 90_000, 7)]
    data = peersnapshot.encode(7, known)
    assert peersnapshot.decode(data).values == tuple(known)
    assert isinstance(peersnapshot.decode(data[:-1]), errors.Failure)
    known = [keyvalue.KeyValue("op/config", b"x" * 110_000, 7)]
    long = peersnapshot.decode(peersnapshot.encode(7, known))
    assert isinstance(long, errors.Failure)


async def test_snapshot_without_an_end_is_a_failure():
    """An instance that adopts from such a peer must ask the next one."""
    for first, piece in (
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 16_384),
        (b"", b"HTTP/1.1 200 OK"),
        (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
    ):
        server = builders_io.EndlessServer(first, piece)
        await server.start()
        peers = peersnapshot.SnapshotPeers()
        async with asyncio.timeout(1.5):
            found = await peers.read_all(f"127.0.0.1:{server.port}")
        assert isinstance(found, errors.Failure)
        await asyncio.sleep(0.1)
        assert server.closed == 1


async def test_value_and_copy_of_another_instance():
    """A long value is read inside the data centre."""
    known = [keyvalue.KeyValue("op/config", b"x" * 9000, 7)]

    def snapshot(key):
        values = [v for v in known if key in (None, v.key)]
        return peersnapshot.encode(9, values)

    port = operatorport.OperatorPort(
        dict, lambda: True, lambda: True, snapshot=snapshot
    )
    server = await builders_io.server(port.handle)
    peers = peersnapshot.SnapshotPeers()
    address = f"127.0.0.1:{server.port}"
    assert await peers.read_value(address, "op/config") == known[0]
    assert await peers.read_value(address, "other") is None
    assert (await peers.read_all(address)).revision == 9
    await server.close()
