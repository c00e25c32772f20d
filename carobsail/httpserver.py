"""HTTP/1.1 server with limits, graceful drain and immediate close."""

import asyncio
import logging

from carobsail import bufferlimit, callerstream, httpconnection, loglimit
from carobsail.httpconnection import Handler, HeadCheck, Responder
from carobsail.httprequest import Request, ServerLimits

__all__ = [
    "Handler",
    "HeadCheck",
    "Request",
    "Responder",
    "Server",
    "ServerLimits",
    "serve",
]

# `drain` keeps idle connections open this long, so that a request that was
# already on its way still gets a response.
_DRAIN_IDLE_S = 0.5

_log = logging.getLogger(__name__)


class Server:
    """A listening server; create it with `serve`.

    Attributes:
      name: Name of the server in logs.
      port: Port on which it listens.
      silent_closed: Number of silent connections closed for new ones.
    """

    def __init__(
        self, context: httpconnection.ServerContext, name: str
    ) -> None:
        self.name = name
        self._context = context
        self.port = 0
        self.silent_closed = 0
        self._listener: asyncio.Server | None = None
        self._connections: dict[
            httpconnection.Connection, asyncio.Task[None]
        ] = {}
        self._rejected: dict[httpconnection.Connection, asyncio.Task[None]] = {}

    @property
    def draining(self) -> bool:
        """Whether the server is draining or closed."""
        return self._context.draining

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def refused(self) -> int:
        """Number of requests and connections refused without the handler."""
        return self._context.refused

    async def _listen(self, host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: callerstream.CallerStream(
                self._accept, self._context.buffers
            ),
            host,
            port,
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    def _accept(self, stream: callerstream.CallerStream) -> None:
        connection = httpconnection.Connection(self._context, stream)
        limits = self._context.limits
        at_limit = len(self._connections) >= limits.connections
        if at_limit and limits.closes_silent:
            at_limit = not self._close_silent()
        task = asyncio.create_task(
            connection.reject() if at_limit else connection.run()
        )
        tasks = self._rejected if at_limit else self._connections
        tasks[connection] = task
        task.add_done_callback(
            lambda _: self._connection_ended(tasks, connection)
        )

    def _close_silent(self) -> bool:
        """Closes the connection that has been silent longest, if any is."""
        silent = [
            (since, number)
            for number, c in enumerate(self._connections)
            if (since := c.silent_since) is not None
        ]
        if not silent:
            return False
        longest = list(self._connections)[min(silent)[1]]
        longest.close_silent()
        self.silent_closed += 1
        return True

    def _connection_ended(
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
    def limits(self) -> ServerLimits:
        """Limits of the server; a change applies to later requests."""
        return self._context.limits

    @limits.setter
    def limits(self, limits: ServerLimits) -> None:
        self._context.limits = limits

    def start_draining(self) -> None:
        """Closes each connection after its next response; still accepts."""
        self._context.draining = True

    async def drain(self) -> None:
        """Stops accepting and waits for the requests in flight.

        Responses that start from now on close their connection.
        """
        self._context.draining = True
        if self._listener:
            self._listener.close()
        while self._connections:
            await asyncio.wait(
                self._connections.values(), timeout=_DRAIN_IDLE_S
            )
            # A response that had started before the drain lacks `Connection:
            # close`, so its connection stays open and idle afterwards.
            for connection in list(self._connections):
                connection.close_idle()

    async def close(self) -> int:
        """Aborts all connections; returns the number of requests cut off."""
        self._context.draining = True
        if self._listener:
            self._listener.close()
        tasks = [*self._connections.values(), *self._rejected.values()]
        requests_cut = sum(
            connection.kill() for connection in list(self._connections)
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return requests_cut


async def serve(
    host: str,
    port: int,
    handler: Handler,
    limits: ServerLimits,
    name: str,
    *,
    buffers: bufferlimit.BufferLimit | None = None,
    check_head: HeadCheck | None = None,
    log_interval_s: float = 0.0,
) -> Server:
    """Starts a server.

    Args:
      host: Address to listen on.
      port: Port to listen on; 0 picks a free one.
      handler: Responds to each request.
      limits: Limits of the server.
      name: Name of the server in logs.
      buffers: Limit of the bytes held for clients; none by default.
      check_head: Refuses requests before their body is received.
      log_interval_s: Seconds between two lines about the same client and
        reason; 0 logs all.

    Returns:
      The listening server.
    """
    context = httpconnection.ServerContext(
        handler,
        limits,
        check_head=check_head,
        log_limit=loglimit.LogLimit(log_interval_s),
    )
    if buffers is not None:
        context.buffers = buffers
    server = Server(context, name)
    await server._listen(host, port)
    return server
