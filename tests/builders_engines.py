"""Engines in memory that crash when they answer some prompts."""

import asyncio

import builders_io
from builders_serving import engine_entry

STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nCarobsail-Server-Seal: s\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
WHOLE_STREAM = STREAM_HEAD + b"f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n"


class CrashingEngine:
    """An engine that crashes once it begins to answer a deadly prompt.

    Attributes:
      identity: Identity of the engine.
      deadly: Part of a prompt that crashes it.
      received: Heads of the requests that reached it.
      crashed: Whether it has crashed; it then refuses connections.
      delay_s: Seconds from a request to its response.
    """

    def __init__(self, identity: str, deadly: str, delay_s: float = 0.05):
        self.identity = identity
        self.deadly = f":1,{deadly}:".encode()
        self.received = []
        self.crashed = False
        self.delay_s = delay_s
        self._port = 0
        self._writers = []

    async def start(self) -> "CrashingEngine":
        """Listens on a free port."""
        self._listener = await asyncio.start_server(
            self._accept, "127.0.0.1", self._port
        )
        self._port = builders_io.port_of(self._listener)
        return self

    def crash(self) -> None:
        """Closes all connections and the port."""
        self.crashed = True
        self._listener.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self._writers.append(writer)
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            self.received.append(head)
            await asyncio.sleep(self.delay_s)
            if self.deadly in head:
                writer.write(STREAM_HEAD)
                await asyncio.sleep(self.delay_s)
                self.crash()
                return
            writer.write(WHOLE_STREAM)
        writer.close()

    def entry(self, **changes):
        """Returns the entry of the engine, which holds model m1."""
        address = f"127.0.0.1:{self._port}"
        return engine_entry(self.identity, address=address, **changes)


async def start_engines(count: int, deadly: str) -> list[CrashingEngine]:
    """Starts engines that crash on a part of a prompt."""
    return [
        await CrashingEngine(f"e{number}", deadly).start()
        for number in range(1, count + 1)
    ]
