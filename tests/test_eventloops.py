"""Tests of eventloops: no connection of a test outlives its loop."""

import asyncio
import gc
import sys

import eventloops
import pytest


@pytest.mark.parametrize(
    "make_loop", [eventloops.SocketLoop, eventloops.MemoryLoop]
)
def test_open_connections_end_with_their_loop(make_loop, monkeypatch):
    """Writers collected later raised errors in other tests, ending the run."""
    unraisable = []
    monkeypatch.setattr(sys, "unraisablehook", unraisable.append)
    writers = []

    async def leave_connections_open():
        accepted = asyncio.Event()

        def accept(_, writer):
            writers.append(writer)
            accepted.set()

        listener = await asyncio.start_server(accept, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writers.append(writer)
        await accepted.wait()

    loop = make_loop()
    loop.run_until_complete(leave_connections_open())
    loop.close()
    assert all(writer.is_closing() for writer in writers)
    writers.clear()
    gc.collect()
    assert unraisable == []
