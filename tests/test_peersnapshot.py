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
