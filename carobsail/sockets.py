"""Options of TCP sockets that asyncio does not set."""

import asyncio
import socket
import struct

READ_BYTES = 65_536
# TCP options that detect a peer that lost power or cannot be reached, within
# about 3 s.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_TCP_USER_TIMEOUT_MS = 3000
# On, with a time of 0 s: closing the socket discards unsent data and resets.
_LINGER_RESET = struct.pack("ii", 1, 0)


def set_keepalive(transport: asyncio.BaseTransport) -> None:
    """Makes the kernel close a connection whose peer does not respond."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        ("TCP_KEEPIDLE", _KEEPALIVE_IDLE_S),
        ("TCP_KEEPINTVL", _KEEPALIVE_INTERVAL_S),
        ("TCP_KEEPCNT", _KEEPALIVE_PROBES),
        ("TCP_USER_TIMEOUT", _TCP_USER_TIMEOUT_MS),
    ):
        if hasattr(socket, option):
            sock.setsockopt(tcp, getattr(socket, option), value)


def limit_reads(transport: asyncio.BaseTransport) -> None:
    """Limits what is read at once, which is not counted as held before.

    Transports of asyncio read up to 256 KiB; many connections that are ready at
    the same time would exceed the memory before any of the bytes is counted.
    """
    if hasattr(transport, "max_size"):
        transport.max_size = READ_BYTES


def reset(transport: asyncio.WriteTransport) -> None:
    """Closes a connection with a reset.

    `transport.abort()` alone closes it in an orderly way if no received data is
    unread; for the peer, the data received before it is then complete.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() != -1:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    transport.abort()
