"""Datagrams between instances: small messages that may be lost."""

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from carobsail import telemetry

_log = logging.getLogger(__name__)


class Datagrams(asyncio.DatagramProtocol):
    """Datagrams between instances."""

    def __init__(
        self, on_message: Callable[[bytes, tuple[str, int]], None]
    ) -> None:
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See base class."""
        # asyncio's own class does not inherit from the abstract one.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """See base class."""
        self._on_message(data, addr)

    def error_received(self, exc: Exception) -> None:
        """See base class; an unreachable peer is seen by its silence."""
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
