"""Tests how connections end, with the sockets of the system."""

import asyncio

import builders_io


async def break_off(request, responder):
    """Begins a response and breaks it off."""
    await responder.start(200, [])
    await responder.write(b"id: 1\ndata: x\n\n")
    await asyncio.sleep(0.05)
    responder.abort()


async def ask(port, version):
    """Returns what a caller receives, and whether its connection was reset."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"GET / HTTP/{version}\r\nHost: h\r\n\r\n".encode())
    received = b""
    try:
        while data := await reader.read(100):
            received += data
    except ConnectionResetError:
        return received, True
    finally:
        writer.close()
    return received, False


async def test_broken_off_response_is_reset_for_an_http_1_0_caller():
    """An orderly close ends the body of such a caller as complete."""
    server = await builders_io.start_server(break_off)
    received, was_reset = await ask(server.port, "1.0")
    assert was_reset, received
    await server.close()


async def test_broken_off_response_has_no_last_chunk_for_other_callers():
    """The missing chunk shows that the body is incomplete."""
    server = await builders_io.start_server(break_off)
    received, _ = await ask(server.port, "1.1")
    assert b"data: x" in received and not received.endswith(b"0\r\n\r\n")
    await server.close()


async def test_killed_response_is_reset_for_an_http_1_0_caller():
    """A forced stop of an instance made half a response look complete."""

    async def hang(request, responder):
        await responder.start(200, [])
        await responder.write(b"half")
        await asyncio.Event().wait()

    server = await builders_io.start_server(hang)
    caller = asyncio.create_task(ask(server.port, "1.0"))
    await asyncio.sleep(0.1)
    assert await server.close() == 1
    assert (await caller)[1]


async def test_abandoned_request_does_not_send_what_is_buffered():
    """On a congested link an orderly close arrives after all unsent data."""
    received = asyncio.get_running_loop().create_future()
    may_read = asyncio.Event()

    async def accept(reader, writer):
        await may_read.wait()
        received.set_result(len(await reader.read(-1)))
        writer.close()

    listener = await asyncio.start_server(accept, "127.0.0.1", 0)
    pool = builders_io.pool(builders_io.port_of(listener))
    body = bytes(64_000_000)
    request = asyncio.create_task(pool.request("POST", "/", [], body))
    await asyncio.sleep(0.2)
    request.cancel()
    await asyncio.sleep(0.1)
    may_read.set()
    assert await received < len(body)
    listener.close()
