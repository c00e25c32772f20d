"""UDP datagrams between instances: small messages that may be lost."""

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from carobsail import telemetry

_log = logging.getLogger(__name__)


class Datagrams(asyncio.DatagramProtocol):
    """A datagram endpoint for messages between instances."""

    def __init__(
        self, on_message: Callable[[bytes, tuple[str, int]], None]
    ) -> None:
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See base class."""
        # The transport class of asyncio's selector loop is not a subclass of
        # asyncio.DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """See base class."""
        self._on_message(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Logs an error of the socket; a lost peer is detected by a timeout."""
        telemetry.log(
            _log, "datagram_refused", level=logging.DEBUG, detail=str(exc)
        )

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends one datagram, which may be lost."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
