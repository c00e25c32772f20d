"""Builders of instances that compete for the order lease of one store."""

import asyncio
import dataclasses
import random

from carobsail import (
    keyvalue,
    leasekeeper,
    members,
    orderlease,
    peersnapshot,
    storemirror,
    summaries,
    wirerevisions,
)
from carobsail.platform import store as platformstore
from soak import backups, storestandin

# Required seconds between the orders of two instances.
HANDOVER_DELAY_S = 3.0
ORDER_INTERVAL_S = 0.02
# Longest time for which a test waits for an order.
MAX_WITHOUT_ORDER_S = 60.0
PORT = 8144


@dataclasses.dataclass(slots=True, frozen=True)
class GivenOrder:
    """An order that an instance may have given."""

    at: float
    instance: str
    fence: int


class Machine(members.KnownPeers):
    """A machine with at most one process, which may be started again.

    Attributes:
      name: Name of the instance.
      address: Its IP address.
      keeper: Keeps the order lease for the present process.
      store: Client of that process.
      mirror: Its copy of the store.
      running: Whether there is a process.
    """

    def __init__(self, fleet: "LeaseFleet", number: int) -> None:
        super().__init__(PORT)
        self.name = f"i{number}"
        self.address = f"10.0.0.{number}"
        self.running = False
        self._fleet = fleet
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        """Opens this machine's path to the store."""
        self._server = await storestandin.serve(self._fleet.store, self.name)

    def start(self) -> None:
        """Starts a process."""
        loop = asyncio.get_running_loop()
        self.store = platformstore.PlatformStore(
            f"127.0.0.1:{self._server.port}"
        )
        self.keeper = leasekeeper.LeaseKeeper(
            orderlease.Holder(self.name, self.address),
            True,
            HANDOVER_DELAY_S,
            self.store,
            self,
            loop.time,
            self._fleet.rng,
            lambda held: None,
        )
        self.mirror = storemirror.StoreMirror(
            self.store,
            "",
            self._changed,
            lambda reachable: None,
            self._fleet.rng,
            peersnapshot.HttpPeerReader(),
        )
        self.running = True
        self._tasks = [
            asyncio.create_task(work)
            for work in (
                self.mirror.run(),
                self.keeper.run(),
                self._give_orders(),
            )
        ]

    def _changed(
        self, changes: storemirror.Changes, before: int, after: int
    ) -> None:
        for change in changes:
            self.keeper.observe(change)

    async def _give_orders(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if self.keeper.lease.may_send_orders(loop.time()):
                self._fleet.orders.append(
                    GivenOrder(loop.time(), self.name, self.keeper.lease.fence)
                )
            await asyncio.sleep(ORDER_INTERVAL_S)

    def cut_off(self, duration_s: float) -> None:
        """Cuts the machine off from the store and its peers for a time."""
        self._fleet.store.refused[self.name] = 503
        loop = asyncio.get_running_loop()
        loop.call_later(
            duration_s, self._fleet.store.refused.pop, self.name, None
        )

    def kill(self) -> None:
        """Ends the process at once."""
        self.running = False
        for task in self._tasks:
            task.cancel()

    async def stop(self) -> None:
        """Ends the process as planned."""
        await self.keeper.release()
        self.kill()

    def peers(self):
        """See base class."""
        return [
            members.Peer(m.name, m.address, "dc-a", 0.0)
            for m in self._fleet.machines
            if m is not self
        ]

    def send(self, message: summaries.Message, address: str) -> None:
        """Delivers a message about the renewal of a lease."""
        receiver = next(m for m in self._fleet.machines if m.address == address)
        if not receiver.running:
            return
        decoded = wirerevisions.decode(wirerevisions.encode(message), 0)
        if isinstance(decoded, summaries.RenewalAnswer):
            receiver.keeper.receive_answer(decoded)
        elif isinstance(decoded, summaries.RenewalRequest):
            self._fleet.start_task(
                receiver.keeper.renew_for_peer(
                    decoded, self.address, receiver.mirror.revision
                )
            )


class LeaseFleet:
    """Instances of one store, and the orders that they may have given.

    Attributes:
      store: The store.
      backups: Its older copies.
      machines: The instances.
      orders: Orders in the order of time.
    """

    def __init__(self, machines: int, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.store = storestandin.StoreStandin(page_items=500)
        self.store.era = 1
        self.backups = backups.Backups(self.store)
        self.machines = [Machine(self, n) for n in range(machines)]
        self.orders: list[GivenOrder] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def start_task(self, work) -> None:
        """Starts a background task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start(self) -> None:
        """Starts all processes and the traffic of other writers."""
        for machine in self.machines:
            await machine.open()
            machine.start()
        self.start_task(self.backups.run())
        self.start_task(self._write())

    async def _write(self) -> None:
        """Writes other keys and leases, as targets do."""
        while True:
            await asyncio.sleep(0.4)
            if not self.store.down:
                lease = await self.store.data.grant_lease(3.6)
                await self.store.data.transact(
                    [], [keyvalue.Put("servers/x", b"-", lease)]
                )

    async def holder(self, other_than: Machine | None = None) -> Machine:
        """Returns the machine that gives the next order, except for one."""
        count = len(self.orders)
        async with asyncio.timeout(MAX_WITHOUT_ORDER_S):
            while True:
                await asyncio.sleep(ORDER_INTERVAL_S)
                for order in self.orders[count:]:
                    machine = self.named(order.instance)
                    if machine is not other_than:
                        return machine

    def named(self, name: str) -> Machine:
        """Returns a machine by its name."""
        return next(m for m in self.machines if m.name == name)

    def end(self) -> None:
        """Ends all processes."""
        for machine in self.machines:
            machine.kill()
        for task in self._tasks:
            task.cancel()

    def conflicts(self) -> list[str]:
        """Returns orders of two instances that are too close to each other.

        A later instance also needs a higher fencing number.
        """
        found = []
        for before, order in zip(self.orders, self.orders[1:], strict=False):
            if order.instance == before.instance:
                in_order = order.fence >= before.fence
            else:
                in_order = order.fence > before.fence and (
                    order.at - before.at >= HANDOVER_DELAY_S
                )
            if not in_order:
                found.append(f"{order} after {before}")
        return found

    def orders_since(self, at: float) -> list[GivenOrder]:
        """Returns the orders given since a time."""
        return [order for order in self.orders if order.at >= at]
