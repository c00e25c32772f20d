"""Builders for tests of the input and output layer."""

import asyncio

import async_solipsism

from carobsail import httpclient, httpserver


async def echo(
    request: httpserver.Request, responder: httpserver.Responder
) -> None:
    """Answers with the request's body."""
    await responder.send(200, [], request.body or b"empty")


async def server(handler=echo, **bounds) -> httpserver.Server:
    """Starts a server on a free port."""
    return await httpserver.serve(
        "127.0.0.1", 0, handler, httpserver.Bounds(**bounds), "test"
    )


def pool(port: int, limit: int = 4) -> httpclient.Pool:
    """Returns a client pool of a local port."""
    return httpclient.Pool(f"127.0.0.1:{port}", limit, 1.0)


async def raw_server(*answers: bytes | None) -> asyncio.Server:
    """Starts a server that answers each read with the next scripted bytes.

    None, or the end of the script, closes the connection.
    """
    script = list(answers)

    async def accept(reader, writer):
        while script and await reader.read(65_536):
            answer = script.pop(0)
            if answer is None:
                break
            writer.write(answer)
        writer.close()

    return await asyncio.start_server(accept, "127.0.0.1", 0)


def port_of(listener: asyncio.Server) -> int:
    """Returns the port of a listening server."""
    return listener.sockets[0].getsockname()[1]


async def exchange(port: int, data: bytes, eof: bool = False) -> bytes:
    """Sends raw bytes and returns all that the server sends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if eof:
        writer.write_eof()
    received = await reader.read()
    writer.close()
    return received


class NetworkPolicy(asyncio.DefaultEventLoopPolicy):
    """Gives each test a loop with virtual time and an in-memory network."""

    def new_event_loop(self):
        return async_solipsism.EventLoop()
