"""Tests that responses without an end neither fill memory nor last."""

import asyncio
import dataclasses
import tracemalloc

import builders_io
import pytest
from builders_serving import (
    engine_entry,
    entry,
    request_path,
    route,
    route_table,
    stream_route,
)
from builders_targets import HEAD, SEAL, ask, chunk, generate, status

from carobsail import errors
from carobsail.platform import engines as platform_engines

OK_HEAD = b"HTTP/1.1 200 OK\r\n" + SEAL
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 x\r\nCarobsail-Not-Executed: 1\r\n"
PIECE = b"x" * 65_536

# What a faulty target sends once, and then without an end.
ENDLESS = {
    "no head": (b"", PIECE),
    "line of a head": (OK_HEAD + b"X-Long: ", PIECE),
    "lines of a head": (OK_HEAD, b"X-More: 1\r\n" * 500),
    "interim responses": (b"", b"HTTP/1.1 100 x\r\n\r\n" * 500),
    "body with a length": (
        OK_HEAD + b"Content-Length: 99999999999\r\n\r\n",
        PIECE,
    ),
    "body without a length": (OK_HEAD + b"\r\n", PIECE),
    "chunks": (OK_HEAD + CHUNKED, chunk(PIECE)),
    "short chunks": (OK_HEAD + CHUNKED, chunk(b"x") * 40),
    "one chunk": (OK_HEAD + CHUNKED + b"fffffff\r\n", PIECE),
    "chunk extension": (OK_HEAD + CHUNKED + b"1;", PIECE),
    "trailers": (OK_HEAD + CHUNKED + b"0\r\n", b"X-More: 1\r\n" * 500),
    "refusal": (REFUSAL + CHUNKED, chunk(PIECE)),
}
# Half of the memory of the smallest machine.
MAX_MEMORY_BYTES = 100_000_000
REQUEST_COUNT, STREAM_COUNT = 30, 300

pytestmark = pytest.mark.memory_network


async def start_endless(first, piece):
    """Starts a server that sends pieces until its client closes."""
    return await builders_io.EndlessServer(first, piece).start()


async def peak_memory(*work):
    """Runs tasks at once; returns their results and the peak of memory."""
    tracemalloc.start()
    try:
        results = await asyncio.gather(*work)
        return results, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("kind", ENDLESS)
async def test_plain_responses_without_an_end(kind):
    """Many at once exceeded the memory, though each was within its limit."""
    server = await start_endless(*ENDLESS[kind])
    handler = request_path(
        route_table(route()), entry(address=f"127.0.0.1:{server.port}")
    )
    received, peak_bytes = await peak_memory(
        *(ask(handler) for _ in range(REQUEST_COUNT))
    )
    assert {status(r) for r in received} <= {502, 503, 504}
    assert peak_bytes < MAX_MEMORY_BYTES


@pytest.mark.parametrize(
    "kind",
    ["one event", "lines of a head", "body without a length", "one chunk"],
)
async def test_streams_without_an_end(kind):
    """Many streams with an event without an end filled the memory."""
    first, piece = {**ENDLESS, "one event": (HEAD, chunk(PIECE))}[kind]
    server = await start_endless(first, piece)
    table = route_table(stream_route(resumable=False))
    table.services["llm"] = dataclasses.replace(
        table.services["llm"], max_connections=STREAM_COUNT
    )
    handler = request_path(
        table, engine_entry(address=f"127.0.0.1:{server.port}")
    )
    received, peak_bytes = await peak_memory(
        *(generate(handler) for _ in range(STREAM_COUNT))
    )
    assert {status(r) for r in received} <= {502, 503, 504}
    assert peak_bytes < MAX_MEMORY_BYTES


@pytest.mark.parametrize("kind", ENDLESS)
async def test_reports_without_an_end(kind):
    """The coordinator asks each engine for a report."""
    servers = [await start_endless(*ENDLESS[kind]) for _ in range(16)]
    client = platform_engines.HttpEngineOrderClient()
    started_at = asyncio.get_running_loop().time()
    reports, peak_bytes = await peak_memory(
        *(
            client.report(f"e{number}", f"127.0.0.1:{server.port}")
            for number, server in enumerate(servers)
        )
    )
    assert all(isinstance(report, errors.Failure) for report in reports)
    elapsed_s = asyncio.get_running_loop().time() - started_at
    assert elapsed_s <= 2 * platform_engines.CALL_TIMEOUT_S
    assert peak_bytes < MAX_MEMORY_BYTES
    client.close()


async def test_sound_request_beside_responses_without_an_end():
    """A sound response was given up, or waited for the others to end."""
    faulty = await start_endless(*ENDLESS["body with a length"])
    body = b"s" * 100_000
    sound = await builders_io.scripted_server(
        OK_HEAD + b"Content-Length: 100000\r\n\r\n" + body
    )
    table = route_table(
        route(), route(name="r2", prefix="/b/", services=(("llm", 1.0),))
    )
    handler = request_path(
        table,
        entry(address=f"127.0.0.1:{faulty.port}"),
        engine_entry(address=f"127.0.0.1:{builders_io.port_of(sound)}"),
    )
    others = [asyncio.create_task(ask(handler)) for _ in range(REQUEST_COUNT)]
    received = await ask(handler, path="/b/x")
    assert status(received) == 200 and received.endswith(body)
    await asyncio.gather(*others)
