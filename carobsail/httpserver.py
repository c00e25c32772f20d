"""HTTP/1.1 server: bounds, graceful stop and immediate stop."""

import asyncio
import logging

from carobsail import httpconnection
from carobsail.httpconnection import Bounds, Handler, Request, Responder

__all__ = ["Bounds", "Handler", "Request", "Responder", "Server", "serve"]

# Idle connections stay open this long after `drain`, so that a request that
# was on its way is still answered.
_DRAIN_IDLE_S = 0.5

_log = logging.getLogger(__name__)


class Server:
    """A listening server; create it with `serve`."""

    def __init__(self, handler: Handler, bounds: Bounds, name: str) -> None:
        self.name = name
        self._settings = httpconnection.Settings(handler, bounds)
        self.port = 0
        self._listener: asyncio.Server | None = None
        self._connections: dict[
            httpconnection.Connection, asyncio.Task[None]
        ] = {}
        self._refused: dict[httpconnection.Connection, asyncio.Task[None]] = {}

    @property
    def draining(self) -> bool:
        """Whether the server stops."""
        return self._settings.draining

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def _listen(self, host: str, port: int) -> None:
        self._listener = await asyncio.start_server(self._accept, host, port)
        self.port = self._listener.sockets[0].getsockname()[1]

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = httpconnection.Connection(self._settings, reader, writer)
        full = len(self._connections) >= self._settings.bounds.connections
        task = asyncio.create_task(
            connection.turn_away() if full else connection.run()
        )
        tasks = self._refused if full else self._connections
        tasks[connection] = task
        task.add_done_callback(lambda _: self._ended(tasks, connection))

    def _ended(
        self,
        tasks: dict[httpconnection.Connection, asyncio.Task[None]],
        connection: httpconnection.Connection,
    ) -> None:
        task = tasks.pop(connection)
        error = None if task.cancelled() else task.exception()
        if error:
            _log.error(
                "connection failed",
                exc_info=error,
                extra={"server": self.name},
            )

    @property
    def bounds(self) -> Bounds:
        """Bounds of the server; a change holds for further requests."""
        return self._settings.bounds

    @bounds.setter
    def bounds(self, bounds: Bounds) -> None:
        self._settings.bounds = bounds

    def announce_drain(self) -> None:
        """Closes each connection with its next answer; still accepts."""
        self._settings.draining = True

    async def drain(self) -> None:
        """Stops accepting and waits for the requests in flight.

        Answers that start from now on close their connection.
        """
        self._settings.draining = True
        if self._listener:
            self._listener.close()
        while self._connections:
            await asyncio.wait(
                self._connections.values(), timeout=_DRAIN_IDLE_S
            )
            # An answer that had started before did not announce the end of
            # its connection, which is idle afterwards.
            for connection in list(self._connections):
                connection.close_idle()

    async def close(self) -> int:
        """Cuts everything at once; returns the number of requests cut."""
        self._settings.draining = True
        if self._listener:
            self._listener.close()
        tasks = [*self._connections.values(), *self._refused.values()]
        cut = sum(connection.kill() for connection in list(self._connections))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return cut


async def serve(
    host: str, port: int, handler: Handler, bounds: Bounds, name: str
) -> Server:
    """Starts a server.

    Args:
      host: Address to listen on.
      port: Port to listen on; 0 picks a free one.
      handler: Answers each request.
      bounds: Bounds of the server.
      name: Name of the server in logs.

    Returns:
      The listening server.
    """
    server = Server(handler, bounds, name)
    await server._listen(host, port)
    return server
