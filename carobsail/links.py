"""Ordered links that carry messages between two processes."""

import abc
import asyncio
import collections
from collections.abc import AsyncIterator, Awaitable, Callable

from carobsail import errors, messages


class Link(abc.ABC):
    """A connection to another process that keeps messages in order.

    Iteration yields received messages and ends when the link is closed.

    Attributes:
      peer: The Hello of the other process.
      closed: Whether the link has ended.
    """

    __slots__ = ("closed", "peer")

    def __init__(self, peer: messages.Hello) -> None:
        self.peer = peer
        self.closed = False

    @abc.abstractmethod
    async def send(self, message: messages.Message) -> None | errors.Failure:
        """Queues a message, and waits while the send queue is full.

        Returns:
          None, or a Failure (not run) when the link is closed.
        """

    @abc.abstractmethod
    def try_send(self, message: messages.Message) -> bool:
        """Queues a message unless the queue is full or the link closed.

        Returns:
          Whether the message was queued.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Sends the queued messages, within a second, and closes the link."""

    @abc.abstractmethod
    def __aiter__(self) -> AsyncIterator[messages.Message]:
        """Yields received messages until the link is closed."""

    def _closed_failure(self) -> errors.Failure:
        return errors.Failure(
            errors.Reason.CONNECTION_LOST,
            errors.Step.FORWARD,
            self.peer.instance,
            errors.Outcome.NOT_RUN,
            "link closed",
        )


OnLink = Callable[[Link], Awaitable[None]]
Connect = Callable[[str], Awaitable[Link | errors.Failure]]


class MemoryLink(Link):
    """One end of an in-memory link, for tests and benchmarks.

    Attributes:
      latency_s: One-way delay of the messages that this end sends.
      drop: While True, messages that this end sends are lost.
      sent_messages: Number of messages sent, including lost ones.
      sent_bytes: Encoded size of the messages sent while `metered` is True.
      metered: Whether `sent_bytes` is counted.
    """

    __slots__ = (
        "_arrived",
        "_in_flight",
        "_max_unread",
        "_other",
        "_queue_has_room",
        "_received",
        "drop",
        "latency_s",
        "metered",
        "sent_bytes",
        "sent_messages",
    )

    def __init__(
        self, peer: messages.Hello, latency_s: float, limit: int
    ) -> None:
        super().__init__(peer)
        self.latency_s = latency_s
        self.drop = False
        self.metered = False
        self.sent_messages = 0
        self.sent_bytes = 0
        self._max_unread = limit
        self._other: MemoryLink = self
        self._in_flight: collections.deque[messages.Message] = (
            collections.deque()
        )
        self._received: collections.deque[messages.Message] = (
            collections.deque()
        )
        self._arrived = asyncio.Event()
        self._queue_has_room = asyncio.Event()

    @classmethod
    def pair(
        cls,
        first: messages.Hello,
        second: messages.Hello,
        latency_s: float = 0.0,
        limit: int = 1024,
    ) -> tuple["MemoryLink", "MemoryLink"]:
        """Creates a link and returns both of its ends.

        Args:
          first: Hello of the process that uses the first end.
          second: Hello of the process that uses the second end.
          latency_s: One-way delay in seconds.
          limit: Maximum number of unread messages in one direction.

        Returns:
          The end for `first` and the end for `second`.
        """
        first_end = cls(second, latency_s, limit)
        second_end = cls(first, latency_s, limit)
        first_end._other, second_end._other = second_end, first_end
        return first_end, second_end

    def _full(self) -> bool:
        return (
            len(self._in_flight) + len(self._other._received)
            >= self._max_unread
        )

    async def send(self, message: messages.Message) -> None | errors.Failure:
        """See base class."""
        while not self.closed and self._full():
            self._queue_has_room.clear()
            await self._queue_has_room.wait()
        if not self.try_send(message):
            return self._closed_failure()
        return None

    def try_send(self, message: messages.Message) -> bool:
        """See base class."""
        if self.closed or self._full():
            return False
        self.sent_messages += 1
        if self.metered:
            self.sent_bytes += len(messages.encode(message))
        if self.drop:
            return True
        self._in_flight.append(message)
        loop = asyncio.get_running_loop()
        if self.latency_s > 0:
            loop.call_later(self.latency_s, self._deliver)
        else:
            loop.call_soon(self._deliver)
        return True

    def _deliver(self) -> None:
        # Delivers the oldest message: timers that are due together run in any
        # order, but messages must stay in order.
        if not self._in_flight:
            return  # `close` has delivered the message already.
        message = self._in_flight.popleft()
        if not self._other.closed:
            self._other._received.append(message)
            self._other._arrived.set()

    def cut(self) -> None:
        """Breaks the connection; both ends see it closed."""
        for end in (self, self._other):
            end.closed = True
            end._arrived.set()
            end._queue_has_room.set()

    async def close(self) -> None:
        """See base class."""
        while self._in_flight:
            self._deliver()
        self.cut()

    async def __aiter__(self) -> AsyncIterator[messages.Message]:
        """See base class."""
        while True:
            while self._received:
                message = self._received.popleft()
                self._other._queue_has_room.set()
                yield message
            if self.closed:
                return
            self._arrived.clear()
            await self._arrived.wait()
