"""Builders of a fleet of instances that follow one store over slow links.

Calls go through the real clients and servers on an in-memory network. The relay
is the coordinator, which sends the store's changes to the other instances.
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
# Bandwidths of a deployment in two regions.
REGION_BITS_PER_S = 30e6
INSTANCE_BITS_PER_S = 10e6
RELAY_BITS_PER_S = 100e6
# Bytes that a transfer sends over a link before it yields to the others.
CHUNK_BYTES = 16_384
STATUS_INTERVAL_S = 0.5
PORT = 8144
STORE_PORT = 8142


class Link:
    """A link of limited bandwidth that transfers share chunk by chunk."""

    def __init__(self, bits_per_s: float) -> None:
        self._bits_per_s = bits_per_s
        self._turn = asyncio.Lock()

    async def transfer(self, size: int) -> None:
        """Returns when `size` bytes have crossed the link."""
        async with self._turn:
            await asyncio.sleep(size * 8 / self._bits_per_s)


class LinkResponder:
    """Sends responses over simulated links, chunk by chunk."""

    def __init__(self, inner: httpserver.Responder, *links: Link) -> None:
        self._inner = inner
        self._links = links
        self.disconnected = inner.disconnected
        self.abort = inner.abort

    async def send(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Sends a response; stops when its receiver has disconnected."""
        await self._inner.start(
            status, [*headers, ("content-length", str(len(body)))]
        )
        for start in range(0, len(body), CHUNK_BYTES):
            chunk = body[start : start + CHUNK_BYTES]
            for link in self._links:
                await link.transfer(len(chunk))
            if self.disconnected.is_set():
                return
            await self._inner.write(chunk)
        await self._inner.finish()


class Instance:
    """An instance that follows the store.

    Attributes:
      mirror: Its mirror of the store.
      cut_off: Whether it does not reach the store.
      frozen: Whether it does not answer other instances.
      version_times: When each version of the configuration arrived.
      arrivals: Value (None: removed) and arrival time of each change, by key.
    """

    def __init__(self, fleet: "Fleet", number: int, data_centre: str) -> None:
        self.data_centre = data_centre
        self.name = f"{data_centre}-{number}"
        self.address = f"10.{fleet.data_centres.index(data_centre)}.0.{number}"
        self.cut_off = False
        self.frozen = False
        self.version_times: dict[int, float] = {}
        self.arrivals: dict[str, list[tuple[bytes | None, float]]] = {}
        self.uplink = Link(INSTANCE_BITS_PER_S)
        self._fleet = fleet
        store_address = f"{self.address.replace('10.', '11.', 1)}"
        self.store_address = f"{store_address}:{STORE_PORT}"
        self.mirror = storemirror.StoreMirror(
            platformstore.PlatformStore(self.store_address),
            "",
            self._changed,
            lambda reachable: None,
            random.Random(number + 100 * fleet.data_centres.index(data_centre)),
            peersnapshot.HttpPeerReader(),
        )

    def _changed(
        self, changes: storemirror.Changes, before: int, after: int
    ) -> None:
        now = asyncio.get_running_loop().time()
        for change in changes:
            arrivals = self.arrivals.setdefault(change.key, [])
            arrivals.append((change.value, now))
            if change.key == CONFIGURATION and change.value is not None:
                self.version_times.setdefault(int(change.value[:8]), now)
        if self._fleet.relay is self:
            complete = self.mirror.copy.knows_removals_since(before)
            if not self._fleet.changes.send(
                1, changes, before, after, complete
            ):
                self._fleet.send_relay_status()

    async def open(self) -> None:
        """Opens the instance's port and the port of its path to the store."""
        port = operatorport.OperatorPort(
            dict,
            lambda: True,
            lambda: True,
            answer_peer=functools.partial(
                peersnapshot.answer_peer, self.mirror
            ),
        )

        async def answer_peer(request, responder):
            if self.frozen:
                await responder.disconnected.wait()
                return
            await port.handle(request, LinkResponder(responder, self.uplink))

        async def answer_store(request, responder):
            if self.cut_off:
                await responder.disconnected.wait()
                return
            links = (
                [] if self.data_centre == "near" else [self._fleet.region_link]
            )
            await self._fleet.store.handle(
                request, LinkResponder(responder, *links)
            )

        limits = httpserver.ServerLimits()
        await httpserver.serve(self.address, PORT, answer_peer, limits, "peer")
        host, _ = self.store_address.split(":")
        await httpserver.serve(host, STORE_PORT, answer_store, limits, "store")


class RecordingKnownPeers(members.KnownPeers):
    """Records messages by the address of their receiver."""

    def __init__(self, *peers):
        super().__init__(8144)
        self.messages = {}
        for name, address, data_centre in peers:
            self.summary_received(name, address, data_centre, 0.0)

    def send(self, message, address):
        """See base class."""
        self.messages.setdefault(address, []).append(message)


class SimulatedDatagrams(members.KnownPeers):
    """Delivers the relay's messages, by default after a millisecond.

    Attributes:
      is_lost: Returns whether the next message is lost.
      delay_s: Returns the delay of the next message in seconds.
    """

    def __init__(self, fleet: "Fleet") -> None:
        super().__init__(PORT)
        self._fleet = fleet
        self.is_lost: Callable[[], bool] = lambda: False
        self.delay_s: Callable[[], float] = lambda: 0.001

    def send(self, message, address):
        """See base class."""
        receiver = self._fleet.instance_at(address)
        if not (receiver.frozen or self._fleet.relay.frozen or self.is_lost()):
            asyncio.get_running_loop().call_later(
                self.delay_s(), functools.partial(deliver, receiver, message)
            )


def deliver(receiver: Instance, message) -> None:
    """Applies a message of the relay at an instance."""
    if message.deputies is not None:
        receiver.mirror.deputies.update(message.deputies, message.is_deputy)
    receiver.mirror.handle_relay_changes(
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
    """Instances in the store's region (`near`) and in another one.

    Attributes:
      renews_targets: Whether targets renew their entries.
    """

    def __init__(self, near: int, far: int, far_data_centres: int) -> None:
        self.renews_targets = True
        self.data_centres = [
            "near",
            *(f"far{n}" for n in range(far_data_centres)),
        ]
        self.store = storestandin.StoreStandin(page_items=500)
        self.region_link = Link(REGION_BITS_PER_S)
        self.relay: Instance | None = None
        counts = [near] + [far // far_data_centres] * far_data_centres
        self.instances = [
            Instance(self, number, data_centre)
            for data_centre, count in zip(
                self.data_centres, counts, strict=True
            )
            for number in range(1, count + 1)
        ]
        self._by_address = {i.address: i for i in self.instances}
        relay = self.instances[0]
        self.delivery = SimulatedDatagrams(self)
        self.changes = changerelay.ChangeRelay(
            relay.address, "near", PORT, self.delivery
        )
        self._tasks: list[asyncio.Task[None]] = []

    def instance_at(self, address: str) -> Instance:
        """Returns the instance with an address."""
        return self._by_address[address]

    async def write(self, key: str, value: bytes | None) -> None:
        """Writes to the store; removes the key for None."""
        write = (
            keyvalue.Delete(key) if value is None else keyvalue.Put(key, value)
        )
        await self.store.data.transact([], [write])

    async def start(self) -> None:
        """Starts all instances; the first one becomes coordinator and relay."""
        for instance in self.instances:
            await instance.open()
            self._start(instance.mirror.run())
        self.relay = self.instances[0]
        self.relay.uplink = Link(RELAY_BITS_PER_S)
        self.relay.mirror.is_relay = True
        for instance in self.instances[1:]:
            instance.mirror.relay_address = f"{self.relay.address}:{PORT}"
            self.delivery.summary_received(
                instance.name, instance.address, instance.data_centre, 0.0
            )
        self._start(self._renew_targets())
        self._start(self._send_relay_status())

    def _start(self, background) -> None:
        self._tasks.append(asyncio.create_task(background))

    async def _renew_targets(self) -> None:
        """Renews the entries of targets, as the targets themselves do."""
        number = 0
        while True:
            await asyncio.sleep(0.1)
            number += 1
            if self.store.down or not self.renews_targets:
                continue
            await self.write(f"servers/{number % 40}", b"%d" % number * 40)

    async def _send_relay_status(self) -> None:
        """Sends the relay's revision, as its periodic status does."""
        while True:
            await asyncio.sleep(STATUS_INTERVAL_S)
            if self.relay is not None and not self.relay.frozen:
                self.relay.mirror.deputies.update(
                    self.changes.own_deputies(), True
                )
                self.send_relay_status()

    def send_relay_status(self) -> None:
        """Sends the relay's revision to all instances that are not frozen."""
        mirror = self.relay.mirror
        age_s = asyncio.get_running_loop().time() - mirror.store_answered_at
        for instance in self.instances:
            if instance is not self.relay and not instance.frozen:
                instance.mirror.handle_relay_status(mirror.revision, age_s)

    async def change(self, version: int, size: int) -> float:
        """Writes a configuration; returns when it was acknowledged."""
        await self.write(CONFIGURATION, configuration(version, size))
        return asyncio.get_running_loop().time()

    def late_instances(
        self, version: int, since: float, bound_s: float
    ) -> list[str]:
        """Returns the instances that did not have the version in time.

        Instances that are cut off or frozen do not count; a newer version
        counts as well.
        """
        return [
            i.name
            for i in self.instances
            if not (i.cut_off or i.frozen)
            and min(
                (
                    at
                    for arrived, at in i.version_times.items()
                    if arrived >= version
                ),
                default=float("inf"),
            )
            > since + bound_s
        ]

    async def different_copies(self) -> list[str]:
        """Returns where and how copies differ from the data of the store."""
        listing = await self.store.data.range("")
        stored = {v.key: v.value for v in listing.values}
        return [
            f"{instance.name}: {key} is {describe(copied.get(key))} and not "
            f"{describe(stored.get(key))}"
            for instance in self.instances
            for copied in [
                {v.key: v.value for v in instance.mirror.copy.values()}
            ]
            for key in sorted(stored.keys() | copied.keys())
            if copied.get(key) != stored.get(key)
        ]

    async def stop(self) -> None:
        """Cancels all background tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def describe(value: bytes | None) -> str:
    """Returns the start of a value, such as the version of a configuration."""
    return "gone" if value is None else value[:8].decode("ascii", "replace")


def configuration(version: int, size: int) -> bytes:
    """Returns a configuration that begins with its version.

    Like a real one it compresses to a fifth of its size.
    """
    rng = random.Random(version)
    return b"%08d" % version + rng.randbytes(size // 8) + bytes(size * 7 // 8)
