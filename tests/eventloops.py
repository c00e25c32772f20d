"""Event loops of the tests, which abort connections that a test leaves open."""

import asyncio
import math
import weakref

import async_solipsism


class _AbortsConnections:
    """Aborts all open connections before the loop is closed.

    A stream writer that outlives its loop raises an error when it is collected.
    Pytest formats that error with `ast.parse`; while another traceback is being
    parsed, Python 3.11 then fails with a SystemError, which ends the whole run.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self._open_transports = weakref.WeakSet()

    def _track(self, protocol_factory):
        def make_protocol():
            protocol = protocol_factory()
            connection_made = protocol.connection_made

            def connection_made_and_tracked(transport):
                self._open_transports.add(transport)
                connection_made(transport)

            protocol.connection_made = connection_made_and_tracked
            return protocol

        return make_protocol

    async def create_connection(self, protocol_factory, *args, **kwargs):
        """See base class."""
        tracked = self._track(protocol_factory)
        return await super().create_connection(tracked, *args, **kwargs)

    async def create_server(self, protocol_factory, *args, **kwargs):
        """See base class."""
        tracked = self._track(protocol_factory)
        return await super().create_server(tracked, *args, **kwargs)

    def close(self):
        """See base class."""
        if not self.is_closed():
            for transport in list(self._open_transports):
                if not transport.is_closing():
                    transport.abort()
            # Lets the transports close their sockets.
            self.run_until_complete(asyncio.sleep(0))
        super().close()


class SocketLoop(_AbortsConnections, asyncio.SelectorEventLoop):
    """A loop with the sockets and the clock of the system."""


class MemoryLoop(_AbortsConnections, async_solipsism.EventLoop):
    """A loop with an in-memory network and virtual time."""

    def call_at(self, when, callback, *args, context=None):
        """See base class.

        The clock advances in ticks. A timer between two ticks would fire at the
        one before, and code that waits for that time would wait again without
        end.
        """
        tick_s = self._clock_resolution
        when = math.ceil(when / tick_s) * tick_s
        return super().call_at(when, callback, *args, context=context)
