"""Links over websockets, and the servers and clients that open them.

A frame is a CBOR array of encoded messages, so that the messages of one
event loop iteration share a frame and a write.
"""

import asyncio
import collections
import logging
from collections.abc import AsyncIterator, Sequence

import cbor2
import websockets
from websockets.asyncio import client as websocket_client
from websockets.asyncio import connection as websocket_connection
from websockets.asyncio import server as websocket_server

from carobsail import errors, handshake, messages, telemetry
from carobsail.links import Connect, Link, MemoryLink, OnLink
from carobsail.peerset import MemoryNetwork, PeerSet

__all__ = [
    "Connect",
    "Link",
    "MemoryLink",
    "MemoryNetwork",
    "OnLink",
    "PeerServer",
    "PeerSet",
    "WebsocketLink",
    "connect_peer",
    "serve_peers",
]

PeerServer = websocket_server.Server

HANDSHAKE_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0
# Limits a handshake frame, so that an unauthenticated peer uses little memory.
MAX_HANDSHAKE_FRAME_BYTES = 4096
# A snapshot of the whole configuration is the largest message.
MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_QUEUE_BYTES = 1024 * 1024
# Limits the messages in a frame, so that it does not delay later frames.
MAX_BATCH_BYTES = 128 * 1024


class WebsocketLink(Link):
    """A link over a websocket whose handshake has been completed.

    Attributes:
      undecodable_messages: Number of received messages that could not be
        decoded and were dropped, for example of a type that only newer
        versions know.
    """

    __slots__ = (
        "_connection",
        "_flushed",
        "_queue",
        "_queue_has_messages",
        "_queue_has_room",
        "_queued_bytes",
        "_write_task",
        "undecodable_messages",
    )

    def __init__(
        self,
        peer: messages.Hello,
        connection: websocket_connection.Connection,
    ) -> None:
        super().__init__(peer)
        self.undecodable_messages = 0
        self._connection = connection
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._queue_has_room = asyncio.Event()
        self._queue_has_messages = asyncio.Event()
        self._flushed: asyncio.Event | None = None
        self._write_task = asyncio.create_task(self._write_batches())

    async def send(self, message: messages.Message) -> None | errors.Failure:
        """See base class."""
        while not self.closed and self._queued_bytes >= MAX_QUEUE_BYTES:
            self._queue_has_room.clear()
            await self._queue_has_room.wait()
        if not self.try_send(message):
            return self._closed_failure()
        return None

    def try_send(self, message: messages.Message) -> bool:
        """See base class."""
        if self.closed or self._queued_bytes >= MAX_QUEUE_BYTES:
            return False
        data = messages.encode(message)
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._queue_has_messages.set()
        return True

    async def _write_batches(self) -> None:
        try:
            while True:
                await self._queue_has_messages.wait()
                self._queue_has_messages.clear()
                while self._queue:
                    await self._connection.send(cbor2.dumps(self._next_batch()))
                    self._queue_has_room.set()
                if self._flushed is not None:
                    return
        except websockets.ConnectionClosed:
            self._mark_closed()
        finally:
            if self._flushed is not None:
                self._flushed.set()

    def _next_batch(self) -> list[bytes]:
        batch: list[bytes] = []
        size = 0
        while self._queue and (
            not batch or size + len(self._queue[0]) <= MAX_BATCH_BYTES
        ):
            batch.append(self._queue.popleft())
            size += len(batch[-1])
        self._queued_bytes -= size
        return batch

    def _mark_closed(self) -> None:
        self.closed = True
        self._queue.clear()
        self._queued_bytes = 0
        self._queue_has_room.set()

    async def close(self) -> None:
        """See base class."""
        self.closed = True
        self._queue_has_room.set()
        if self._queue and not self._write_task.done():
            self._flushed = asyncio.Event()
            try:
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await self._flushed.wait()
            except TimeoutError:
                pass
        self._mark_closed()
        self._write_task.cancel()
        await self._connection.close()

    async def __aiter__(self) -> AsyncIterator[messages.Message]:
        """See base class."""
        try:
            async for frame in self._connection:
                for item in handshake.read_items(frame):
                    try:
                        message = messages.decode(item)
                    except ValueError:
                        self.undecodable_messages += 1
                        continue
                    yield message
        except websockets.ConnectionClosed:
            pass
        finally:
            self._mark_closed()
            self._write_task.cancel()


_log = logging.getLogger(__name__)
# The library logs exceptions of a link's handler. With its own logger, it
# would write tracebacks of several lines to stderr.
_websockets_log = logging.getLogger(f"{telemetry.LOGGER_NAME}.websockets")
_websockets_log.setLevel(logging.ERROR)


def _allow_large_frames(connection: websocket_connection.Connection) -> None:
    connection.protocol.max_message_size = MAX_FRAME_BYTES


async def serve_peers(
    host: str,
    port: int,
    hello: messages.Hello,
    secrets: Sequence[bytes],
    on_link: OnLink,
) -> websocket_server.Server:
    """Listens for peers.

    Args:
      host: Address to listen on.
      port: Port to listen on; 0 picks one.
      hello: Hello of this process.
      secrets: Shared secrets. This process authenticates itself with the
        first; peers may use any of them.
      on_link: Called with each authenticated link, which is closed when the
        call returns.

    Returns:
      The server; `close()` ends it.
    """

    async def handle(connection: websocket_server.ServerConnection) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                peer = await handshake.accept(connection, hello, secrets)
        except (TimeoutError, websockets.ConnectionClosed):
            return
        if isinstance(peer, errors.Failure):
            telemetry.log(
                _log,
                "peer_refused",
                level=logging.WARNING,
                reason=str(peer.reason),
                step=str(peer.step),
                peer=peer.peer,
                address=str(connection.remote_address),
                detail=peer.detail,
            )
            return
        _allow_large_frames(connection)
        link = WebsocketLink(peer, connection)
        try:
            await on_link(link)
        finally:
            await link.close()

    return await websocket_server.serve(
        handle,
        host,
        port,
        compression=None,
        max_size=MAX_HANDSHAKE_FRAME_BYTES,
        open_timeout=HANDSHAKE_TIMEOUT_S,
        close_timeout=CLOSE_TIMEOUT_S,
        logger=_websockets_log,
    )


async def connect_peer(
    address: str, hello: messages.Hello, secrets: Sequence[bytes]
) -> WebsocketLink | errors.Failure:
    """Opens a link to the peer port at `address` (`host:port`)."""
    connection = None
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            connection = await websocket_client.connect(
                f"ws://{address}",
                compression=None,
                max_size=MAX_HANDSHAKE_FRAME_BYTES,
                open_timeout=HANDSHAKE_TIMEOUT_S,
                close_timeout=CLOSE_TIMEOUT_S,
                proxy=None,
            )
            peer = await handshake.initiate(connection, hello, secrets, address)
    except (OSError, TimeoutError, websockets.WebSocketException) as error:
        peer = handshake.connect_failure(
            errors.Reason.CONNECT_FAILED,
            address,
            str(error) or type(error).__name__,
            errors.Step.CONNECT,
        )
    if isinstance(peer, errors.Failure):
        if connection is not None:
            await connection.close()
        return peer
    assert connection is not None
    _allow_large_frames(connection)
    return WebsocketLink(peer, connection)
