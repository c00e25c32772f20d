"""Loopback proxy that delays, resets, silences and cuts connections one way."""

import asyncio
import contextlib

_READ_BYTES = 65_536


class Link:
    """A way to one server, through a port of its own.

    Attributes:
      port: Port that clients connect to.
      delay_s: Time by which each piece is held up, in either direction.
      distance_s: Time that is added to it at all times.
    """

    def __init__(self, name: str) -> None:
        """Creates a link without a server behind it."""
        self.name = name
        self.port = 0
        self.delay_s = 0.0
        self.distance_s = 0.0
        self._target = ("127.0.0.1", 0)
        self._up = asyncio.Event()
        self._down = asyncio.Event()
        self._up.set()
        self._down.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def open(self, host: str = "127.0.0.1") -> None:
        """Opens the port."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def lead_to(self, port: int, host: str = "127.0.0.1") -> None:
        """Sets the server behind the link; port 0 refuses."""
        self._target = (host, port)

    async def close(self) -> None:
        """Closes the port and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def cut(self, up: bool, down: bool) -> None:
        """Holds back what goes to the server (up) or comes from it (down)."""
        if up:
            self._up.clear()
        if down:
            self._down.clear()

    def heal(self) -> None:
        """Lets everything pass again, as a retransmission would."""
        self.delay_s = 0.0
        self._up.set()
        self._down.set()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        other: asyncio.StreamWriter | None = None
        try:
            await self._up.wait()
            if not self._target[1]:
                return
            back, other = await asyncio.open_connection(*self._target)
            self._writers.add(other)
            pumps = {
                asyncio.create_task(self._pump(reader, other, self._up)),
                asyncio.create_task(self._pump(back, writer, self._down)),
            }
            try:
                await asyncio.wait(pumps, return_when="FIRST_COMPLETED")
            finally:
                for pump in pumps:
                    pump.cancel()
                await asyncio.wait(pumps)
        except OSError:
            pass  # The server refused; the client sees a closed connection.
        finally:
            for end in (writer, other):
                if end is not None:
                    self._writers.discard(end)
                    end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: asyncio.Event,
    ) -> None:
        """Passes bytes on until either side ends."""
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                await gate.wait()
                if self.delay_s or self.distance_s:
                    await asyncio.sleep(self.delay_s + self.distance_s)
                writer.write(data)
                await writer.drain()
            await gate.wait()
            return
        # A reset is passed on as a reset.
        writer.transport.abort()
