"""Guards how instances read the copies of others."""

import asyncio
import zlib

import builders_io
import pytest
from builders_copies import mirror_of, serve_copy

from carobsail import (
    errors,
    keyvalue,
    peersnapshot,
    storecopy,
    summaries,
)

pytestmark = pytest.mark.memory_network


async def test_copy_of_a_seed_is_adopted():
    """An instance that starts without the store has no configuration."""
    known = mirror_of()
    known.copy.apply([keyvalue.WatchEvent("op/config", b"{}", 7)], 7)
    server = await serve_copy(known)
    seen = []
    mirror = mirror_of(seen)
    task = asyncio.create_task(
        peersnapshot.adopt_from_seeds(
            mirror, ["127.0.0.1:9", f"127.0.0.1:{server.port}"]
        )
    )
    await asyncio.sleep(3.0)
    assert [(e.key, e.mod_revision) for e in seen] == [("op/config", 7)]
    task.cancel()
    await server.close()


def test_malformed_snapshot_is_a_failure():
    """Arbitrary bytes must not become a configuration."""
    assert isinstance(peersnapshot.decode(b"\xc1"), errors.Failure)
    assert isinstance(peersnapshot.decode(b"\x01"), errors.Failure)


def copy_of(size):
    """Returns a copy with one value of `size` bytes."""
    known = (keyvalue.KeyValue("op/config", b"x" * size, 7),)
    return storecopy.CopyChanges(7, 0.0, True, known)


def test_deeply_nested_messages_of_instances_are_malformed():
    """A message with a deeply nested field raised RecursionError."""
    nested = b"\x91" * 5000 + b"\xc0"
    snapshot = b"\x96\x01\xcb" + bytes(8) + b"\xc2\x90\x90" + nested
    failure = peersnapshot.decode(zlib.compress(snapshot))
    assert failure.reason is errors.Reason.INVALID
    summary = b"\x9e\xa7summary\xa1n\xa1d\x01\x01\xc0" + b"\x90" * 4
    assert summaries.decode(b"\0" + summary + b"\x91" + nested) is None
    assert summaries.decode(b"\0" + nested) is None


def test_snapshot_that_unpacks_without_an_end_is_a_failure(monkeypatch):
    """A small snapshot must not fill memory when it is decompressed."""
    monkeypatch.setattr(peersnapshot, "_MAX_SNAPSHOT_BYTES", 100_000)
    data = peersnapshot.encode(copy_of(90_000))
    assert peersnapshot.decode(data) == copy_of(90_000)
    assert isinstance(peersnapshot.decode(data[:-1]), errors.Failure)
    long = peersnapshot.decode(peersnapshot.encode(copy_of(110_000)))
    assert isinstance(long, errors.Failure)


async def test_snapshot_without_an_end_is_a_failure():
    """An endless response must end, so that the next peer can be asked."""
    for first, piece in (
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 16_384),
        (b"", b"HTTP/1.1 200 OK"),
        (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
    ):
        server = builders_io.EndlessServer(first, piece)
        await server.start()
        peer_reader = peersnapshot.HttpPeerReader()
        address = f"127.0.0.1:{server.port}"
        async with asyncio.timeout(peersnapshot.BODY_TIMEOUT_S + 0.5):
            found = await peer_reader.read_changes(address, 0, 0.0)
        assert isinstance(found, errors.Failure)
        await asyncio.sleep(0.1)
        assert server.closed == 1


async def test_value_and_changes_of_another_instance():
    """Long values are read within the data centre."""
    mirror = mirror_of()
    value = b"x" * 9000
    mirror.copy.apply([keyvalue.WatchEvent("op/config", value, 7)], 9)
    server = await serve_copy(mirror)
    peer_reader = peersnapshot.HttpPeerReader()
    address = f"127.0.0.1:{server.port}"
    found = await peer_reader.read_value(address, "op/config", 7)
    assert found == keyvalue.KeyValue("op/config", value, 7)
    assert await peer_reader.read_value(address, "op/config", 8) is None
    assert await peer_reader.read_value(address, "other", 1) is None
    changes = await peer_reader.read_changes(address, 0, 0.0)
    assert changes.revision == 9 and changes.values == (found,)
    assert not (await peer_reader.read_changes(address, 9, 0.2)).values
    await server.close()


async def test_malformed_call_of_another_instance_is_refused():
    """An instance of another release may send other parameters."""
    server = await serve_copy(mirror_of())
    found = await builders_io.send_raw(
        server.port,
        b"GET /changes?after=x HTTP/1.1\r\nHost: h\r\n"
        b"Connection: close\r\n\r\n",
    )
    assert found.startswith(b"HTTP/1.1 400")
    await server.close()
