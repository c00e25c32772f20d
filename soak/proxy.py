"""TCP proxy on loopback that delays, holds back or resets connections."""

import asyncio
import contextlib
import errno
import socket

_READ_BYTES = 65_536


class Link:
    """A proxied path to one server, with its own listening port.

    Attributes:
      port: Port that clients connect to.
      delay_s: Delay of each chunk in either direction, until `heal`.
      base_delay_s: Permanent delay, which is added to it.
    """

    def __init__(self, name: str) -> None:
        """Creates a link without a server behind it."""
        self.name = name
        self.port = 0
        self.delay_s = 0.0
        self.base_delay_s = 0.0
        self._server_address = ("127.0.0.1", 0)
        self._upstream_open = asyncio.Event()
        self._downstream_open = asyncio.Event()
        self._upstream_open.set()
        self._downstream_open.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._reserved: socket.socket | None = None

    async def open(self, host: str = "127.0.0.1") -> None:
        """Opens the port, unless it is open."""
        if self._server is not None:
            return
        self._release_port()
        self._server = await asyncio.start_server(
            self._accept, host, self.port, reuse_port=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Refuses connections until `open`, as a crashed server does.

        The port stays reserved by a socket that does not listen.
        """
        if self._server is None:
            return
        host = self._server.sockets[0].getsockname()[0]
        self._reserved = socket.socket()
        self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Bound before the listener closes, so the port is never free between.
        self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        # An outgoing connection may use the same port; then nothing can listen
        # there, and connections are refused without the reservation.
        try:
            self._reserved.bind((host, self.port))
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
        self._server.close()
        self._server = None
        self._server_address = (host, 0)

    def _release_port(self) -> None:
        if self._reserved is not None:
            self._reserved.close()
            self._reserved = None

    def set_server(self, port: int, host: str = "127.0.0.1") -> None:
        """Sets the server behind the link; port 0 closes new connections."""
        self._server_address = (host, port)

    async def close(self) -> None:
        """Closes the port and all connections."""
        self._release_port()
        if self._server is not None:
            self._server.close()
        self.reset()

    def cut(self, up: bool, down: bool) -> None:
        """Holds back data to the server (up) or from the server (down)."""
        if up:
            self._upstream_open.clear()
        if down:
            self._downstream_open.clear()

    def heal(self) -> None:
        """Delivers what was held back, as a TCP retransmission would."""
        self.delay_s = 0.0
        self._upstream_open.set()
        self._downstream_open.set()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        server_writer: asyncio.StreamWriter | None = None
        try:
            await self._upstream_open.wait()
            if not self._server_address[1]:
                return
            server_reader, server_writer = await asyncio.open_connection(
                *self._server_address
            )
            self._writers.add(server_writer)
            pumps = {
                asyncio.create_task(
                    self._pump(reader, server_writer, self._upstream_open)
                ),
                asyncio.create_task(
                    self._pump(server_reader, writer, self._downstream_open)
                ),
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
            for end in (writer, server_writer):
                if end is not None:
                    self._writers.discard(end)
                    end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_open: asyncio.Event,
    ) -> None:
        """Forwards bytes until either side closes."""
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                await is_open.wait()
                if self.delay_s or self.base_delay_s:
                    await asyncio.sleep(self.delay_s + self.base_delay_s)
                writer.write(data)
                await writer.drain()
            await is_open.wait()
            return
        # Forwards a reset as a reset.
        writer.transport.abort()
