"""Simulates latency and bandwidth of links between data centres.

Used by the demo and by tests.
"""

import asyncio
import collections
from collections.abc import AsyncIterator

from carobsail import errors, links, messages

MAX_QUEUED_MESSAGES = 4096


class RegionLink:
    """The link between two regions, shared by all traffic in one direction.

    Attributes:
      latency_s: One-way latency in seconds.
      bytes_per_s: Bandwidth in bytes per second.
      sent_bytes: Number of bytes sent.
    """

    __slots__ = ("_free_at", "bytes_per_s", "latency_s", "sent_bytes")

    def __init__(self, latency_s: float, bytes_per_s: float) -> None:
        self.latency_s = latency_s
        self.bytes_per_s = bytes_per_s
        self.sent_bytes = 0
        self._free_at = 0.0

    def arrival_time(self, size: int) -> float:
        """Returns the loop time at which `size` bytes sent now arrive."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self.bytes_per_s
        self.sent_bytes += size
        return self._free_at + self.latency_s


class DelayedLink(links.Link):
    """Delays the messages sent by this end of a link."""

    __slots__ = ("_has_space", "_inner", "_region_link", "_waiting")

    def __init__(self, inner: links.Link, region_link: RegionLink) -> None:
        super().__init__(inner.peer)
        self._inner = inner
        self._region_link = region_link
        self._has_space = asyncio.Event()
        self._waiting: collections.deque[messages.Message] = collections.deque()

    async def send(self, message: messages.Message) -> None | errors.Failure:
        """See base class."""
        while len(self._waiting) >= MAX_QUEUED_MESSAGES and not self.closed:
            self._has_space.clear()
            await self._has_space.wait()
        return None if self.try_send(message) else self._closed_failure()

    def try_send(self, message: messages.Message) -> bool:
        """See base class."""
        self.closed = self.closed or self._inner.closed
        if self.closed or len(self._waiting) >= MAX_QUEUED_MESSAGES:
            return False
        self._waiting.append(message)
        due = self._region_link.arrival_time(len(messages.encode(message)))
        asyncio.get_running_loop().call_at(due, self._deliver)
        return True

    def _deliver(self) -> None:
        # The oldest message goes first, so that messages stay in order.
        self._inner.try_send(self._waiting.popleft())
        self._has_space.set()

    async def close(self) -> None:
        """See base class."""
        self.closed = True
        self._has_space.set()
        await self._inner.close()

    async def __aiter__(self) -> AsyncIterator[messages.Message]:
        """See base class."""
        async for message in self._inner:
            yield message
        self.closed = True
