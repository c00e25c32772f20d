"""Tests what callers get when targets break off or misplace their responses."""

import asyncio

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

from carobsail import httpserver
from carobsail.routetable import RetrySafety

pytestmark = pytest.mark.memory_network

SEAL = b"Carobsail-Server-Seal: s\r\n"
STREAM = (
    b"HTTP/1.1 200 OK\r\n"
    + SEAL
    + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
UNFRAMED = (
    b"HTTP/1.1 200 OK\r\n" + SEAL + b"Content-Type: text/event-stream\r\n\r\n"
)
END = b"0\r\n\r\n"
REFUSED = (
    b"HTTP/1.1 503 x\r\nCarobsail-Not-Executed: 1\r\nContent-Length: 0\r\n"
)


def event(number):
    return b"id: %d\ndata: x\n\n" % number


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def whole(identifier):
    """Returns a complete plain response."""
    return (
        b"HTTP/1.1 200 OK\r\nCarobsail-Request-Id: %b\r\n" % identifier
        + SEAL
        + b"Content-Length: 2\r\n\r\nok"
    )


def refusal(identifier):
    """Returns a refusal that states which request it belongs to, if any."""
    line = b"Carobsail-Request-Id: %b\r\n" % identifier if identifier else b""
    return REFUSED + line + b"\r\n"


async def start(*answers):
    """Starts a server that answers each request; None closes.

    Returns:
      Its `host:port`.
    """
    listener = await builders_io.scripted_server(*answers)
    return f"127.0.0.1:{builders_io.port_of(listener)}"


async def closing(answer):
    """Starts a server that answers one request and closes the connection."""

    async def accept(reader, writer):
        if await reader.read(65_536):
            writer.write(answer)
        writer.close()

    listener = await asyncio.start_server(accept, "127.0.0.1", 0)
    return f"127.0.0.1:{builders_io.port_of(listener)}"


async def ask(handler, identifier="q1", path="/a/x", version="1.1"):
    """Sends a request; returns all that its caller receives."""
    server = await httpserver.serve(
        "127.0.0.1", 0, handler.handle, httpserver.ServerLimits(), "callers"
    )
    received = await builders_io.send_raw(
        server.port,
        f"POST {path} HTTP/{version}\r\nHost: host.example\r\n"
        f"Carobsail-Request-Id: {identifier}\r\nCarobsail-Model: m1\r\n"
        "Carobsail-Token-Count: 100,20\r\nCarobsail-Deadline-Ms: 2000\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n".encode(),
    )
    await server.close()
    return received


def status(received):
    return int(received.split(b" ", 2)[1])


def body(received):
    return received.split(b"\r\n\r\n", 1)[1]


def streams(*addresses, **changes):
    """Returns a handler of streams; the first engine is the nearest."""
    return request_path(
        route_table(stream_route(**changes)),
        *(
            engine_entry(
                f"e{number}",
                address=address,
                data_centre="dc-a" if number == 0 else "dc-c",
            )
            for number, address in enumerate(addresses)
        ),
    )


async def test_earlier_refusal_that_comes_again_is_skipped():
    """An engine wrote the refusal of an earlier request once more."""
    address = await start(refusal(b"q1"), refusal(b"q1") + whole(b"q2"))
    handler = request_path(
        route_table(route(max_targets=1)), entry(address=address)
    )
    assert status(await ask(handler, "q1")) == 503
    await asyncio.sleep(1.0)
    received = await ask(handler, "q2")
    assert status(received) == 200 and body(received) == b"ok"


async def test_refusal_without_an_identifier_may_be_an_earlier_one():
    """Callers were told 'not executed' of a request that an engine ran."""
    address = await start(whole(b"q1"), refusal(b""))
    handler = request_path(
        route_table(route(max_targets=1)), entry(address=address)
    )
    assert status(await ask(handler, "q1")) == 200
    assert status(await ask(handler, "q2")) == 502


async def test_refusal_without_an_identifier_counts_on_a_new_connection():
    """No earlier response can come again on a new connection."""
    address = await start(refusal(b""))
    handler = request_path(
        route_table(route(max_targets=1)), entry(address=address)
    )
    assert status(await ask(handler, "q1")) == 503


@pytest.mark.parametrize("code", [b"404 x", b"500 x", b"503 x"])
async def test_error_of_the_second_engine_stays_out_of_a_stream(code):
    """The error of the engine that resumed it stood within the stream."""
    error = (
        b"HTTP/1.1 "
        + code
        + b"\r\n"
        + SEAL
        + b"Content-Length: 9\r\n\r\nno such x"
    )
    broken = await closing(STREAM + chunk(event(1)) + b"2")
    handler = streams(broken, await start(error))
    received = body(await ask(handler))
    assert received == chunk(event(1))


@pytest.mark.parametrize("keeps_framing", [True, False])
async def test_stream_that_ends_within_an_event_is_resumed(keeps_framing):
    """Its bytes were passed on and the stream ended as complete."""
    part = event(1) + b"id: 2\nda"
    broken = STREAM + chunk(part) + END if keeps_framing else UNFRAMED + part
    first = await closing(broken)
    second = await start(STREAM + chunk(event(2)) + END)
    received = body(await ask(streams(first, second)))
    assert received == chunk(event(1)) + chunk(event(2)) + END


@pytest.mark.parametrize("keeps_framing", [True, False])
async def test_stream_that_ends_within_an_event_is_not_complete(keeps_framing):
    """A stream that cannot be resumed ends without its last chunk."""
    part = event(1) + b"id: 2\nda"
    broken = STREAM + chunk(part) + END if keeps_framing else UNFRAMED + part
    handler = streams(await closing(broken), resumable=False, max_targets=1)
    assert body(await ask(handler)) == chunk(event(1))


async def test_stream_without_an_event_is_not_complete():
    """An engine ended after the head; the caller got an empty stream."""
    second = await start(STREAM + chunk(event(1)) + END)
    received = await ask(streams(await closing(UNFRAMED), second))
    assert body(received) == chunk(event(1)) + END
    alone = streams(await closing(UNFRAMED), resumable=False, max_targets=1)
    assert status(await ask(alone)) == 502


HEAD = (
    b"HTTP/1.1 200 OK\r\nCarobsail-Request-Id: q1\r\n"
    + SEAL
    + b"Content-Length: 80\r\n\r\n"
)


@pytest.mark.parametrize("length", range(1, len(HEAD) + 1, 3))
@pytest.mark.parametrize("kind", ["plain", "stream"])
async def test_head_cut_in_the_middle_is_no_response(length, kind):
    """Callers got status 200 with an empty or short body, framed as whole."""
    address = await closing(HEAD[:length])
    if kind == "stream":
        handler = streams(address, resumable=False, max_targets=1)
    else:
        handler = request_path(
            route_table(route(retry_safety=RetrySafety.UNSAFE, max_targets=1)),
            entry(address=address),
        )
    assert status(await ask(handler)) == 502
