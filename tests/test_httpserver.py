"""Guards the limits, the drain and the responses of the HTTP server (R3, R7).

Numbers such as R3 refer to the requirements in docs/design.md.
"""

import asyncio

import h11
import pytest

from carobsail import httpserver
from tests import builders_io as build

GET = b"GET /a?q=1 HTTP/1.1\r\nHost: h\r\n\r\n"
LAST = b"GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


pytestmark = pytest.mark.memory_network


async def test_pipelined_requests_get_their_own_responses_in_order():
    """R3: pipelined requests must not get each other's responses."""

    async def handler(request, responder):
        await asyncio.sleep(1.0 if request.path == "/a" else 0.0)
        await responder.send(200, [], request.path.encode())

    server = await build.start_server(handler)
    received = await build.send_raw(server.port, GET + LAST)
    assert received.index(b"/a") < received.index(b"/b")
    assert received.count(b"HTTP/1.1 200") == 2


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (GET[:-2] + b"X: " + b"x" * 600 + b"\r\n\r\n", b"431"),
        (GET[:-2] + b"X: " + b"x" * 70_000, b"431"),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n", b"413"),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"40\r\n" + b"x" * 64 + b"\r\n0\r\n\r\n",
            b"413",
        ),
        (GET[:10], b"408"),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx", b"408"),
    ],
)
async def test_exceeded_limits_get_an_error_response(data, status):
    """An unbounded or stalled request must not hold memory.

    See docs/design.md, section 12.
    """
    server = await build.start_server(header_bytes=512, body_bytes=32)
    received = await build.send_raw(server.port, data)
    assert received.startswith(b"HTTP/1.1 " + status)
    await asyncio.sleep(1.1)
    assert server.connections == 0


@pytest.mark.parametrize(
    "request_",
    [
        GET[:-2] + b"X: " + b"x" * 600 + b"\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n" + b"x" * 99,
    ],
    ids=["header", "body"],
)
async def test_raised_limits_apply_to_the_next_request(request_):
    """A raised limit must not wait for a new connection."""
    server = await build.start_server(
        header_bytes=512, body_bytes=32, idle_timeout_s=3.0
    )
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    await asyncio.sleep(1.0)
    server.limits = httpserver.ServerLimits(idle_timeout_s=6.0)
    await asyncio.sleep(1.0)
    writer.write(request_)
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    writer.close()


async def test_raised_limit_applies_to_a_head_in_pieces():
    """The limit must not be fixed when the connection is opened."""
    server = await build.start_server(header_bytes=512)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    await asyncio.sleep(1.0)
    server.limits = httpserver.ServerLimits(header_bytes=1024)
    for piece in (GET[:-2] + b"X: " + b"x" * 600, b"\r\n\r\n"):
        writer.write(piece)
        await asyncio.sleep(0.1)
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    writer.close()


async def test_lowered_limit_applies_to_a_head_in_pieces():
    """After a change too, an endless head must not fill memory."""
    server = await build.start_server(header_bytes=1024)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    await asyncio.sleep(1.0)
    server.limits = httpserver.ServerLimits(header_bytes=512)
    writer.write(GET[:-2] + b"X: " + b"x" * 600)
    assert (await reader.readline()).startswith(b"HTTP/1.1 431")
    writer.close()


@pytest.mark.parametrize("part", [b"5;" + b"x" * 600, b"0\r\nX: " + b"x" * 600])
async def test_chunk_size_line_and_trailer_are_limited(part):
    """They must not fill memory; the body limit does not count them."""
    server = await build.start_server(header_bytes=512)
    head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    received = await build.send_raw(server.port, head + part)
    assert received.startswith(b"HTTP/1.1 431")


@pytest.mark.parametrize("cuts", [[], [400, 511]])
async def test_head_of_exactly_the_maximum_size(cuts):
    """Headers without a space after the colon must not count as longer."""
    lines = b"".join(b"x%d:v\r\n" % number for number in range(60))
    head = GET[:-2] + lines
    head += b"y:" + b"v" * (512 - len(head) - 6) + b"\r\n\r\n"
    assert len(head) == 512
    server = await build.start_server(header_bytes=512)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    for start, end in zip([0, *cuts], [*cuts, 512], strict=True):
        writer.write(head[start:end])
        await asyncio.sleep(0.1)
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    writer.close()


async def test_raised_idle_timeout_applies_at_once():
    """A connection must not be closed within the idle timeout in force."""
    server = await build.start_server(idle_timeout_s=3.0)
    task = asyncio.create_task(build.send_raw(server.port, b""))
    await asyncio.sleep(1.0)
    server.limits = httpserver.ServerLimits(idle_timeout_s=6.0)
    await task
    now = asyncio.get_running_loop().time()
    assert now == pytest.approx(6.0, abs=0.1)


async def test_too_many_connections_are_refused():
    """Connections are limited, and the client can read the refusal."""
    server = await build.start_server(connections=1)
    _, first = await asyncio.open_connection("127.0.0.1", server.port)
    await asyncio.sleep(0.1)
    received = await build.send_raw(server.port, GET)
    assert received.startswith(b"HTTP/1.1 503")
    first.close()


async def test_idle_connection_is_closed():
    """Idle connections must not accumulate."""
    server = await build.start_server(idle_timeout_s=5.0)
    assert await build.send_raw(server.port, GET) != b""
    assert asyncio.get_running_loop().time() == pytest.approx(5.0, abs=0.1)


async def test_drain_interrupts_no_request():
    """R7: a planned stop serves requests in flight and just arriving."""

    async def handler(request, responder):
        await responder.start(200, [])
        await asyncio.sleep(9.0)
        await responder.write(b"whole")
        await responder.finish()

    server = await build.start_server(handler)
    first = asyncio.create_task(build.send_raw(server.port, GET))
    _, late = await asyncio.open_connection("127.0.0.1", server.port)
    await asyncio.sleep(1.0)
    late.write(GET)
    await server.drain()
    assert b"whole" in await first
    assert server.connections == 0
    with pytest.raises(ConnectionError):
        await build.send_raw(server.port, GET)
    late.close()


async def test_drain_answers_late_requests_and_closes_their_connections():
    """R7: a request on its way when the stop begins gets a response."""

    async def handler(request, responder):
        await asyncio.sleep(5.0)
        await responder.send(200, [], request.path.encode())

    server = await build.start_server(handler)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    await asyncio.sleep(1.0)
    drain = asyncio.create_task(server.drain())
    await asyncio.sleep(0.2)
    writer.write(GET)
    received = await reader.read()
    assert received.endswith(b"/a")
    assert b"connection: close" in received.lower()
    await drain


async def test_drain_closes_idle_connections():
    """R7: an idle keep-alive connection must not delay a planned stop."""
    server = await build.start_server()
    idle = asyncio.create_task(build.send_raw(server.port, GET))
    await asyncio.sleep(1.0)
    await server.drain()
    assert b"200" in await idle
    assert asyncio.get_running_loop().time() < 5.0


async def test_drain_closes_connections_whose_response_had_started():
    """R7: such a connection must not delay a stop by its idle timeout."""

    async def handler(request, responder):
        await responder.start(200, [])
        await asyncio.sleep(3.0)
        await responder.finish()

    server = await build.start_server(handler)
    kept = asyncio.create_task(build.send_raw(server.port, GET))
    await asyncio.sleep(1.0)
    await server.drain()
    assert (await kept).endswith(b"0\r\n\r\n")
    assert asyncio.get_running_loop().time() < 5.0


async def test_close_counts_interrupted_requests():
    """R7: a forced stop must report the requests that it interrupted."""

    async def handler(request, responder):
        await asyncio.sleep(100.0)

    server = await build.start_server(handler)
    call = asyncio.create_task(build.send_raw(server.port, GET))
    await asyncio.open_connection("127.0.0.1", server.port)
    await asyncio.sleep(1.0)
    assert await server.close() == 1
    assert await call == b""


async def test_client_disconnect_is_detected():
    """The handler must learn of it, so that useless work is cancelled."""
    seen = []

    async def handler(request, responder):
        await responder.disconnected.wait()
        seen.append(request.path)

    server = await build.start_server(handler)
    await build.send_raw(server.port, GET, eof=True)
    await asyncio.sleep(0.1)
    assert seen == ["/a"]


async def test_stalled_client_is_disconnected():
    """A client that does not read must not keep its response in memory."""
    left = asyncio.Event()

    async def handler(request, responder):
        await responder.start(200, [])
        while not responder.disconnected.is_set():
            await responder.write(b"x" * 65_536)
        left.set()

    server = await build.start_server(handler, write_timeout_s=3.0)
    _, writer = await asyncio.open_connection(
        "127.0.0.1", server.port, limit=1024
    )
    writer.write(GET)
    await asyncio.wait_for(left.wait(), 10.0)
    writer.close()


@pytest.mark.parametrize("started", [False, True])
async def test_failing_handler_never_sends_a_whole_response(started):
    """R3: an incomplete response must not end like a whole one."""

    async def handler(request, responder):
        if started:
            await responder.start(200, [])
            await responder.write(b"part")
        raise ValueError("fault in the handler")

    server = await build.start_server(handler)
    received = await build.send_raw(server.port, LAST)
    assert received.startswith(b"HTTP/1.1 200" if started else b"HTTP/1.1 500")
    assert not received.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize(
    ("target", "host", "path", "query"),
    [
        ("http://Host.example:80/a/b?c=/d", "Host.example:80", "/a/b", "c=/d"),
        ("HTTPS://host.example", "host.example", "/", ""),
        ("http://user@host.example?q", "host.example", "/", "q"),
        ("/a?u=http://other/b", "h", "/a", "u=http://other/b"),
    ],
)
async def test_absolute_target(target, host, path, query):
    """A target in absolute form, as sent to proxies, must reach its path."""
    seen = []

    async def handler(request, responder):
        seen.append(request)
        await responder.send(200, [], b"")

    server = await build.start_server(handler)
    line = f"GET {target} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    await build.send_raw(server.port, line.encode())
    [request] = seen
    assert (request.path, request.query) == (path, query)
    assert [v for k, v in request.headers if k == "host"] == [host]
    assert request.request_target == path + ("?" + query if query else "")


async def test_expect_continue_and_head():
    """Clients that wait for 100 must not hang; HEAD has no body."""
    server = await build.start_server()
    received = await build.send_raw(
        server.port,
        b"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
        b"Content-Length: 2\r\nConnection: close\r\n\r\n",
        eof=False,
    )
    assert received.startswith(b"HTTP/1.1 100")
    received = await build.send_raw(server.port, LAST.replace(b"GET", b"HEAD"))
    assert received.endswith(b"\r\n\r\n")


async def test_connection_is_reused_after_a_slow_response():
    """The task that detects disconnects must not block the next read."""

    async def handler(request, responder):
        await asyncio.sleep(1.0)
        await responder.send(200, [], request.body)

    server = await build.start_server(handler)
    pool = build.pool(server.port)
    for body in (b"1", b"2", b"3"):
        response = await pool.request("POST", "/", [], body)
        assert await response.read_body(10) == body
    assert pool.connections_opened == 1
    assert server.connections == 1


@pytest.mark.parametrize(
    ("version", "headers", "body"),
    [
        ("1.1", [], b"1\r\na\r\n2\r\nbc\r\n1\r\nd\r\n0\r\n\r\n"),
        ("1.1", [("content-length", "4")], b"abcd"),
        ("1.0", [], b"abcd"),
    ],
)
async def test_all_writes_use_the_same_framing(version, headers, body):
    """R3: chunks framed without h11 must not enter an unchunked response."""
    refused = []

    async def handler(request, responder):
        await responder.start(200, headers)
        for data in (b"a", b"bc", b"d"):
            await responder.write(data)
        await responder.finish()
        try:
            await responder.write(b"late")
        except h11.LocalProtocolError as error:
            refused.append(error)

    server = await build.start_server(handler)
    request = f"GET / HTTP/{version}\r\nhost: h\r\nconnection: close\r\n\r\n"
    answer = await build.send_raw(server.port, request.encode())
    assert answer.partition(b"\r\n\r\n")[2] == body
    assert len(refused) == 1
