"""Builders for tests of HTTP clients, HTTP servers and engine clients."""

import asyncio

import msgspec

from carobsail import errors, httpclient, httpserver, inventory, messages
from carobsail.enginehttp import HttpEngine
from carobsail.standin_engine import EngineStandin
from carobsail.standin_platform import WeightStoreStandin


async def echo(
    request: httpserver.Request, responder: httpserver.Responder
) -> None:
    """Responds with the body of the request, or "empty"."""
    await responder.send(200, [], request.body or b"empty")


async def start_server(handler=echo, **limits) -> httpserver.Server:
    """Starts a server on a free port."""
    return await httpserver.serve(
        "127.0.0.1", 0, handler, httpserver.ServerLimits(**limits), "test"
    )


def pool(port: int, limit: int = 4) -> httpclient.ConnectionPool:
    """Returns a client pool for a server on a local port."""
    return httpclient.ConnectionPool(f"127.0.0.1:{port}", limit, 1.0)


async def scripted_server(*answers: bytes | None) -> asyncio.Server:
    """Starts a server that responds to each read with the next scripted bytes.

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


class EndlessServer:
    """A server that reads one request, then sends until the client closes.

    Attributes:
      requests: Requests received.
      sent: Bytes sent in total, without `first`.
      closed: Connections that the client closed.
      port: Port of the server.
    """

    def __init__(self, first: bytes, piece: bytes, pause_s: float = 0.01):
        """Creates a server that does not listen yet.

        Args:
          first: Bytes sent once on each connection.
          piece: Bytes sent repeatedly after them.
          pause_s: Seconds before each piece.
        """
        self.requests = 0
        self.sent = 0
        self.closed = 0
        self.port = 0
        self._first = first
        self._piece = piece
        self._pause_s = pause_s

    async def start(self) -> "EndlessServer":
        """Listens on a free port."""
        listener = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = port_of(listener)
        return self

    async def _accept(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(self._first)
            while not reader.at_eof():
                await asyncio.sleep(self._pause_s)
                writer.write(self._piece)
                await writer.drain()
                self.sent += len(self._piece)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # The client closed.
        self.closed += 1
        writer.close()


def port_of(listener: asyncio.Server) -> int:
    """Returns the port of a listening server."""
    return listener.sockets[0].getsockname()[1]


async def send_raw(port: int, data: bytes, eof: bool = False) -> bytes:
    """Sends raw bytes; returns all that the server sends until it closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if eof:
        writer.write_eof()
    received = await reader.read()
    writer.close()
    return received


def dispatch_message(body: bytes | dict, **changes) -> messages.Dispatch:
    """Returns a request to an engine."""
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    request = messages.Dispatch(
        attempt="a1",
        target="e1",
        account="valtellina",
        model="base",
        adapter="",
        method="POST",
        path="/v1/chat/completions",
        headers=[("content-type", "application/json")],
        body=data,
        response_due_in_s=30.0,
        prompt_tokens=10,
        output_tokens=8,
        priority=5,
        idempotent=True,
        fingerprint="f",
    )
    return msgspec.structs.replace(request, **changes)


def chat_body(text: str = "hello", tokens: int = 8, **fields) -> dict:
    """Returns the body of a streamed chat request."""
    chat_messages = [{"role": "user", "content": text}]
    fields = {"model": "base", "stream": True} | fields
    return fields | {"messages": chat_messages, "max_tokens": tokens}


async def start_engine(**fields) -> tuple[EngineStandin, HttpEngine]:
    """Starts an engine with the model `base` loaded.

    Returns:
      The engine and a client of it.
    """
    target = inventory.Target(
        **{
            "name": "e1",
            "kind": inventory.Kind.ENGINE,
            "data_centre": "dc",
            "address": "",
            "pool": "p",
            "capacity_mb": 30_000,
            "adapter_pool_mb": 100,
            "cache_floor_mb": 1_000,
            "slots": 2,
        }
        | fields
    )
    models = [
        inventory.Model(name, "p", 10_000) for name in ("base", "b", "c", "d")
    ]
    adapters = [
        inventory.Adapter(name, "base", 60) for name in ("tone", "style")
    ]
    store = WeightStoreStandin(inventory.WeightStore("r"))
    standin = EngineStandin(target, models, adapters, store)
    await standin.start("127.0.0.1")
    standin.memory.make_resident("base")
    return standin, HttpEngine("e1", standin.address)


async def read_stream(response) -> tuple[bytes, errors.Failure | None]:
    """Returns the bytes of a response and the failure that ended it, if any."""
    if isinstance(response, errors.Failure):
        return b"", response
    data = b""
    async for chunk in response.chunks():
        if isinstance(chunk, errors.Failure):
            return data, chunk
        data += chunk
    return data, None


def events(data: bytes) -> list[tuple[int, str]]:
    """Returns the number and data of each complete event of a stream."""
    numbered = []
    for block in data.decode().split("\n\n")[:-1]:
        first, second = block.split("\n")
        number = int(first.removeprefix("id: "))
        numbered.append((number, second.removeprefix("data: ")))
    return numbered


def text_of(data: bytes) -> str:
    """Returns the text of a streamed chat response."""
    text = ""
    for _, event in events(data):
        if event != "[DONE]":
            for choice in msgspec.json.decode(event)["choices"]:
                text += choice["delta"]["content"]
    return text
