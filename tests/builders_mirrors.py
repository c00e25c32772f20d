"""Builders of a fleet whose instances follow one store over slow links.

Calls go through the real clients and servers on an in-memory network.
"""

import asyncio
import functools
import random
from collections.abc import Callable

from carobsail import (
    changerelay,
    httpserver,
    keyvalue,
    members,
    operatorport,
    peersnapshot,
    storemirror,
)
from carobsail.platform import store as platformstore
from soak import storestandin

CONFIGURATION = "op/config"
# Links of the users' grown deployment.
REGION_BITS_PER_S = 30e6
INSTANCE_BITS_PER_S = 10e6
RELAY_BITS_PER_S = 100e6
# What a transfer sends before others have their turn.
PIECE_BYTES = 16_384
BOARD_S = 0.5
PORT = 8144
STORE_PORT = 8142


class Link:
    """A link whose transfers take turns."""

    def __init__(self, bits_per_s: float) -> None:
        self._bits_per_s = bits_per_s
        self._turn = asyncio.Lock()

    async def carry(self, size: int) -> None:
        """Returns when `size` bytes have crossed the link."""
        async with self._turn:
            await asyncio.sleep(size * 8 / self._bits_per_s)


class LinkResponder:
    """Sends answers over links, piece by piece."""

    def __init__(self, inner: httpserver.Responder, *links: Link) -> None:
        self._inner = inner
        self._links = links
        self.disconnected = inner.disconnected
        self.abort = inner.abort

    async def send(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Sends an answer; stops when its receiver has left."""
        await self._inner.start(
            status, [*headers, ("content-length", str(len(body)))]
        )
        for first in range(0, len(body), PIECE_BYTES):
            piece = body[first : first + PIECE_BYTES]
            for link in self._links:
                await link.carry(len(piece))
            if self.disconnected.is_set():
                return
            await self._inner.write(piece)
        await self._inner.finish()


class Instance:
    """An instance that follows the store.

    Attributes:
      mirror: Its copy of the store.
      cut: Whether it does not reach the store.
      down: Whether it answers nobody.
      seen: When each version of the configuration came.
      known: Revision of each change that came, and when, by key.
    """

    def __init__(self, fleet: "Fleet", number: int, place: str) -> None:
        self.place = place
        self.name = f"{place}-{number}"
        self.address = f"10.{fleet.places.index(place)}.0.{number}"
        self.cut = False
        self.down = False
        self.seen: dict[int, float] = {}
        self.known: dict[str, list[tuple[int, float]]] = {}
        self.uplink = Link(INSTANCE_BITS_PER_S)
        self._fleet = fleet
        store_address = f"{self.address.replace('10.', '11.', 1)}"
        self.store_address = f"{store_address}:{STORE_PORT}"
        self.mirror = storemirror.StoreMirror(
            platformstore.PlatformStore(self.store_address),
            "",
            self._changed,
            lambda reachable: None,
            random.Random(number + 100 * fleet.places.index(place)),
            peersnapshot.SnapshotPeers(),
        )

    def _changed(
        self, changes: storemirror.Changes, before: int, after: int
    ) -> None:
        now = asyncio.get_running_loop().time()
        for change in changes:
            came = self.known.setdefault(change.key, [])
            came.append((change.mod_revision, now))
            if change.key == CONFIGURATION and change.value is not None:
                self.seen.setdefault(int(change.value[:8]), now)
        if self._fleet.relay is self:
            complete = self.mirror.copy.knows_removals_since(before)
            self._fleet.changes.send(1, changes, before, after, complete)

    async def open(self) -> None:
        """Opens the ports of the instance and of its way to the store."""
        port = operatorport.OperatorPort(
            dict,
            lambda: True,
            lambda: True,
            answer_peer=functools.partial(peersnapshot.answer, self.mirror),
        )

        async def answer_peer(request, responder):
            if self.down:
                await responder.disconnected.wait()
                return
            await port.handle(request, LinkResponder(responder, self.uplink))

        async def answer_store(request, responder):
            if self.cut:
                await responder.disconnected.wait()
                return
            links = [] if self.place == "near" else [self._fleet.region]
            await self._fleet.store.handle(
                request, LinkResponder(responder, *links)
            )

        bounds = httpserver.Bounds()
        await httpserver.serve(self.address, PORT, answer_peer, bounds, "peer")
        host, _ = self.store_address.split(":")
        await httpserver.serve(host, STORE_PORT, answer_store, bounds, "store")


class Sent(members.Members):
    """Records messages by the address of their receiver."""

    def __init__(self, *peers):
        super().__init__(8144)
        self.messages = {}
        for name, address, place in peers:
            self.heard(name, address, place, 0.0)

    def send(self, message, address):
        """See base class."""
        self.messages.setdefault(address, []).append(message)


class Delivery(members.Members):
    """Delivers the relay's messages after a millisecond.

    Attributes:
      is_lost: Whether the next message is lost.
      delay_s: Time that the next message takes.
    """

    def __init__(self, fleet: "Fleet") -> None:
        super().__init__(PORT)
        self._fleet = fleet
        self.is_lost: Callable[[], bool] = lambda: False
        self.delay_s: Callable[[], float] = lambda: 0.001

    def send(self, message, address):
        """See base class."""
        receiver = self._fleet.at(address)
        if not (receiver.down or self._fleet.relay.down or self.is_lost()):
            asyncio.get_running_loop().call_later(
                self.delay_s(), functools.partial(deliver, receiver, message)
            )


def deliver(receiver: Instance, message) -> None:
    """Hands the relay's message to an instance."""
    if message.deputies is not None:
        receiver.mirror.deputies.change(message.deputies, message.leads)
    receiver.mirror.relayed_changes(
        [
            storemirror.RelayedChange(
                keyvalue.WatchEvent(c.key, c.value, c.revision), c.omitted
            )
            for c in message.changes
        ],
        message.before,
        message.after,
        message.source,
        message.parts,
        message.part,
    )


class Fleet:
    """Instances in the store's region (`near`) and in another one."""

    def __init__(self, near: int, far: int, far_places: int) -> None:
        self.places = ["near", *(f"far{n}" for n in range(far_places))]
        self.store = storestandin.StoreStandin(page_items=500)
        self.region = Link(REGION_BITS_PER_S)
        self.relay: Instance | None = None
        counts = [near] + [far // far_places] * far_places
        self.instances = [
            Instance(self, number, place)
            for place, count in zip(self.places, counts, strict=True)
            for number in range(1, count + 1)
        ]
        self._by_address = {i.address: i for i in self.instances}
        first = self.instances[0]
        self.delivery = Delivery(self)
        self.changes = changerelay.ChangeRelay(
            first.address, "near", PORT, self.delivery
        )
        self._tasks: list[asyncio.Task[None]] = []

    def at(self, address: str) -> Instance:
        """Returns the instance with an address."""
        return self._by_address[address]

    async def put(self, key: str, value: bytes) -> int:
        """Writes to the store; returns the revision."""
        return await self._write(keyvalue.Put(key, value))

    async def remove(self, key: str) -> int:
        """Removes a key from the store; returns the revision."""
        return await self._write(keyvalue.Delete(key))

    async def _write(self, write: keyvalue.Put | keyvalue.Delete) -> int:
        return (await self.store.data.transact([], [write])).revision

    async def start(self) -> None:
        """Starts all instances; the first one becomes the relay."""
        for instance in self.instances:
            await instance.open()
            self._start(instance.mirror.run())
        self.relay = self.instances[0]
        self.relay.uplink = Link(RELAY_BITS_PER_S)
        self.relay.mirror.relays = True
        for instance in self.instances[1:]:
            instance.mirror.relay_address = f"{self.relay.address}:{PORT}"
            self.delivery.heard(
                instance.name, instance.address, instance.place, 0.0
            )
        self._start(self._beat())
        self._start(self._tell())

    def _start(self, duty) -> None:
        self._tasks.append(asyncio.create_task(duty))

    async def _beat(self) -> None:
        """Renews the entries of targets, as these do."""
        number = 0
        while True:
            await asyncio.sleep(0.1)
            number += 1
            await self.put(f"servers/{number % 40}", b"%d" % number * 40)

    async def _tell(self) -> None:
        """Tells how far the relay is, as its boards do."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(BOARD_S)
            relay = self.relay
            if relay is None or relay.down:
                continue
            relay.mirror.deputies.change(self.changes.deputies(), True)
            age_s = loop.time() - relay.mirror.contact_at
            for instance in self.instances:
                if instance is not relay and not instance.down:
                    instance.mirror.relayed(relay.mirror.revision, age_s)

    async def change(self, version: int, size: int) -> float:
        """Writes a configuration; returns when it was acknowledged."""
        await self.put(CONFIGURATION, configuration(version, size))
        return asyncio.get_running_loop().time()

    def late(self, version: int, since: float, bound_s: float) -> list[str]:
        """Returns the instances that had no such or newer version in time."""
        return [
            i.name
            for i in self.instances
            if not (i.cut or i.down)
            and min(
                (at for seen, at in i.seen.items() if seen >= version),
                default=float("inf"),
            )
            > since + bound_s
        ]

    async def stop(self) -> None:
        """Ends all duties."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def configuration(version: int, size: int) -> bytes:
    """Returns a configuration that begins with its version.

    It shrinks to a fifth when it is compressed, as a real one does.
    """
    rng = random.Random(version)
    return b"%08d" % version + rng.randbytes(size // 8) + bytes(size * 7 // 8)
