"""Links to a changing set of peers, and an in-memory network."""

import asyncio
import contextvars
import dataclasses
import random
from collections.abc import Iterable

from carobsail import errors, messages
from carobsail import links as peer_links

FIRST_BACKOFF_S = 0.1
# Less than the 3 s for which a grant is valid, so that links are open again
# soon after a partition has ended.
MAX_BACKOFF_S = 2.0


class PeerSet:
    """Keeps one link to each of a changing set of addresses.

    Attributes:
      links: Open links by address.
      failures: Failure of the last attempt to connect, by address.
    """

    __slots__ = ("_connect", "_on_link", "_rng", "_tasks", "failures", "links")

    def __init__(
        self,
        connect: peer_links.Connect,
        on_link: peer_links.OnLink,
        rng: random.Random,
    ) -> None:
        """Creates an empty set.

        Args:
          connect: Connects to an address.
          on_link: Called with each new link; the link is closed and replaced
            when the call returns.
          rng: Source of the jitter.
        """
        self.links: dict[str, peer_links.Link] = {}
        self.failures: dict[str, errors.Failure] = {}
        self._connect = connect
        self._on_link = on_link
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def set_addresses(self, addresses: Iterable[str]) -> None:
        """Connects to new addresses and closes links to removed ones."""
        wanted = set(addresses)
        for address in self._tasks.keys() - wanted:
            self._tasks.pop(address).cancel()
            self.failures.pop(address, None)
        for address in sorted(wanted - self._tasks.keys()):
            self._tasks[address] = asyncio.create_task(
                self._keep_connected(address)
            )

    async def close(self) -> None:
        """Closes all links."""
        tasks = list(self._tasks.values())
        self.set_addresses(())
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep_connected(self, address: str) -> None:
        loop = asyncio.get_running_loop()
        backoff_s = FIRST_BACKOFF_S
        while True:
            link = await self._connect(address)
            if isinstance(link, errors.Failure):
                self.failures[address] = link
            else:
                self.failures.pop(address, None)
                started = loop.time()
                await self._serve_link(address, link)
                if loop.time() - started > MAX_BACKOFF_S:
                    backoff_s = FIRST_BACKOFF_S
            await asyncio.sleep(backoff_s * self._rng.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _serve_link(self, address: str, link: peer_links.Link) -> None:
        self.links[address] = link
        try:
            await self._on_link(link)
        finally:
            if self.links.get(address) is link:
                del self.links[address]
            await link.close()


@dataclasses.dataclass(slots=True, frozen=True)
class _Server:
    hello: messages.Hello
    on_link: peer_links.OnLink
    # Handlers of accepted links run in the context of the listening process.
    context: contextvars.Context


class MemoryNetwork:
    """Connects simulated processes by address, with in-memory links.

    Attributes:
      latency_s: One-way delay of new links in seconds.
      links: Both ends of the open links; closed ones are removed when a link
        is created.
      metered: Whether new links count the bytes sent.
    """

    __slots__ = ("_isolated", "_servers", "_tasks", "latency_s", "links",
                 "metered")  # fmt: skip

    def __init__(self, latency_s: float = 0.0005) -> None:
        self.latency_s = latency_s
        self.links: list[peer_links.MemoryLink] = []
        self.metered = False
        self._isolated: set[str] = set()
        self._servers: dict[str, _Server] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def serve(
        self, address: str, hello: messages.Hello, on_link: peer_links.OnLink
    ) -> None:
        """Listens on an address."""
        context = contextvars.copy_context()
        self._servers[address] = _Server(hello, on_link, context)

    def stop(self, address: str) -> None:
        """Stops listening on an address; open links remain."""
        self._servers.pop(address, None)

    def connector(self, hello: messages.Hello) -> peer_links.Connect:
        """Returns the function with which a process connects to others."""

        async def connect(address: str) -> peer_links.Link | errors.Failure:
            await asyncio.sleep(self.latency_s)
            names = {hello.instance}
            if address in self._servers:
                names.add(self._servers[address].hello.instance)
            if address not in self._servers or names & self._isolated:
                return errors.Failure(
                    errors.Reason.CONNECT_FAILED, errors.Step.CONNECT, address
                )
            server = self._servers[address]
            client_end, server_end = peer_links.MemoryLink.pair(
                hello, server.hello, self.latency_s
            )
            client_end.metered = server_end.metered = self.metered
            self.links = [x for x in self.links if not x.closed] + [
                client_end,
                server_end,
            ]
            task = asyncio.create_task(
                self._run(server_end, server.on_link), context=server.context
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return client_end

        return connect

    async def _run(
        self, link: peer_links.Link, on_link: peer_links.OnLink
    ) -> None:
        try:
            await on_link(link)
        finally:
            await link.close()

    def isolate(self, instance: str) -> None:
        """Silently drops all traffic of an instance (a partition)."""
        self._isolated.add(instance)
        self._update_links()

    def heal(self, instance: str) -> None:
        """Ends `isolate`."""
        self._isolated.discard(instance)
        self._update_links()

    def _update_links(self) -> None:
        for link in self.links:
            link.drop = bool(
                {link.peer.instance, link._other.peer.instance} & self._isolated
            )

    def cut(self, instance: str) -> None:
        """Breaks all open links of an instance."""
        for link in self.links:
            if link.peer.instance == instance:
                link.cut()
