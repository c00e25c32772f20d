"""The tasks of a control process while it leads its data centre."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from carobsail import (
    configurationrelay,
    configurationwatch,
    errors,
    inventory,
    keyvalue,
    leadership,
    membership,
    messages,
    ownership,
    planscheduler,
    residency,
    weightstore,
)
from carobsail import links as peer_links

INVENTORY_INTERVAL_S = 1.0
OWNERSHIP_INTERVAL_S = 0.25
SEND_INTERVAL_S = configurationrelay.MESSAGE_INTERVAL_S
PUBLISH_INTERVAL_S = 1.0
MAX_ASSIGN_RETRY_S = 5.0

FetchInventory = Callable[[], Awaitable[bytes | errors.Failure]]


@dataclasses.dataclass(slots=True, frozen=True)
class Context:
    """Dependencies that a term shares with its process.

    Attributes:
      data_centre: Data centre that the process leads.
      key_value: Client of the key-value service.
      fetch_inventory: Fetches the platform's inventory document.
      leadership: Leader election and lease of the process.
      members: Processes of the data centre, as seen by the process.
      state: Configuration applied by the process.
      links: Current link by process.
      set_peers: Sets the addresses to which links are kept open.
      planner: Decides which models engines hold; None sends no plans.
      render: Renders policies from configuration documents.
      rng: Source of jitter and tokens.
      calls_per_s: Key-value call budget of the data centre.
      instance: Instance of the process.
    """

    data_centre: str
    key_value: keyvalue.KeyValueClient
    fetch_inventory: FetchInventory
    leadership: leadership.Leadership
    members: membership.Membership
    state: configurationrelay.ConfigurationState
    links: dict[membership.Process, peer_links.Link]
    set_peers: Callable[[Sequence[str]], None]
    planner: planscheduler.Planner | None
    render: planscheduler.RenderPolicies
    rng: random.Random
    calls_per_s: float
    instance: str


class Term:
    """One term of a leader.

    The term continues while the leader is frozen, that is, while its lease
    has expired in an outage of the key-value service and no other process
    leads.

    Attributes:
      ownership: Owners of the targets and grants to them.
      relay: Fan-out of the configuration.
      inventory: Last inventory read, or None.
      plans: Progress of engines and plans for them.
    """

    __slots__ = (
        "_applied",
        "_assignment_written",
        "_context",
        "_inventory_document",
        "_inventory_known",
        "_inventory_parser",
        "_map_loaded",
        "_residency",
        "_store",
        "_unchanged_inputs",
        "ownership",
        "inventory",
        "plans",
        "relay",
    )

    def __init__(
        self, context: Context, previous: "Term | None" = None
    ) -> None:
        """Starts a term.

        Args:
          context: Dependencies that the term shares with its process.
          previous: The term before an outage of the key-value service. Its
            assignment is still granted if the service fails again at once.
        """
        self._context = context
        self.ownership = ownership.OwnershipTable()
        self.relay = configurationrelay.ConfigurationRelay(context.state)
        self.inventory: inventory.Inventory | None = None
        self._inventory_parser = inventory.CachingParser()
        self.plans = planscheduler.PlanScheduler(
            context.planner, context.render
        )
        centre, service = context.data_centre, context.key_value
        self._store = ownership.OwnershipStore(centre, service, context.rng)
        self._applied = configurationrelay.AppliedWriter(centre, service)
        self._residency = residency.ResidencyTracker(centre, service)
        self._inventory_known = asyncio.Event()
        self._map_loaded = False
        self._assignment_written = False
        self._inventory_document = b""
        self._unchanged_inputs: object = None
        if previous is not None:
            self.ownership.take_over(
                previous.ownership.epoch, previous.ownership.owners, self._now()
            )
            self.inventory = previous.inventory
            self.plans.progress = previous.plans.progress

    async def run(self) -> None:
        """Runs the leader's tasks until cancelled."""
        async with asyncio.TaskGroup() as group:
            for task in (
                self._follow_inventory,
                self._follow_configuration,
                self._keep_assigning,
                self._send_updates,
                self._publish_status,
                self._keep_weight_store_share,
            ):
                group.create_task(task())

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _leader_condition(self) -> keyvalue.Compare:
        key = leadership.leader_key(self._context.data_centre)
        return keyvalue.Compare(key, self._context.leadership.key_revision)

    def _may_send_orders(self) -> bool:
        return self._context.leadership.may_send_orders(self._now())

    async def _follow_inventory(self) -> None:
        while True:
            document = await self._context.fetch_inventory()
            if not isinstance(document, errors.Failure):
                found = self._inventory_parser.parse(document)
                if found is not None:  # Else the last one stays current.
                    self._apply_inventory(found)
            await asyncio.sleep(INVENTORY_INTERVAL_S)

    def _apply_inventory(self, found: inventory.Inventory) -> None:
        if self.inventory and found.version < self.inventory.version:
            return
        centre = self._context.data_centre
        own = [i for i in found.instances if i.data_centre == centre]
        self._context.members.update_listed(
            {i.name: i.state for i in own}, self._now()
        )
        if found is self.inventory and self._inventory_document:
            return
        self.inventory = found
        self._inventory_known.set()
        addresses = [i.entry_peer for i in own]
        addresses += [
            i.control_peer for i in own if i.name != self._context.instance
        ]
        self._context.set_peers(addresses)
        # Targets of other data centres are left out: 12,000 targets would make
        # up most of an instance's control traffic.
        document = msgspec.json.encode(
            msgspec.structs.replace(
                found,
                version=0,
                targets=found.targets_in(centre),
            )
        )
        if document != self._inventory_document:
            self._inventory_document = document
            self._broadcast(self._inventory_update())

    def _inventory_update(self) -> messages.InventoryUpdate:
        assert self.inventory is not None
        return messages.InventoryUpdate(
            self.inventory.version, self._inventory_document
        )

    def _broadcast(self, message: messages.Message) -> None:
        for process, link in self._context.links.items():
            if process.role == "entry":
                link.try_send(message)

    async def _follow_configuration(self) -> None:
        await configurationwatch.ConfigurationWatch(
            self._context.key_value,
            self.relay,
            self._residency,
            self._context.rng,
            lambda: self.inventory.regions if self.inventory else (),
            self._apply_locally,
            self._broadcast,
        ).run()

    def _apply_locally(self) -> None:
        state = self._context.state
        if self.relay.revision > state.revision or not state.confirmed:
            state.receive(
                messages.Snapshot(self.relay.revision, self.relay.documents)
            )

    async def _send_updates(self) -> None:
        while True:
            now = self._now()
            for process, link in list(self._context.links.items()):
                message = self.relay.next_message(process, now)
                if message is not None and link.try_send(message):
                    self.relay.mark_sent(process, now)
            self._send_plans(now)
            await asyncio.sleep(SEND_INTERVAL_S)

    async def _publish_status(self) -> None:
        while True:
            await asyncio.sleep(PUBLISH_INTERVAL_S)
            if not self._may_send_orders() or self.inventory is None:
                continue
            own = membership.Process(self._context.instance, "control")
            self.relay.record_applied(own, self._context.state.revision)
            required = self._context.members.required_confirmations() | {own}
            confirmed = self.relay.confirmed_revision(required)
            await self._applied.publish(
                confirmed, self._leader_condition(), self._now()
            )
            await self._residency.publish(
                self._serving_engines(self.inventory),
                self._services(self.inventory),
                self._leader_condition(),
                self._now(),
            )

    def _serving_engines(
        self, platform_inventory: inventory.Inventory
    ) -> list[messages.TargetProgress]:
        """Returns the progress of the engines that other data centres may use.

        Progress is kept after its engine is gone. If an engine that is dead,
        leaving or no longer listed counted, other data centres would send
        requests that fail here.
        """
        live = {
            target.name
            for target in platform_inventory.targets_in(
                self._context.data_centre
            )
            if target.state is inventory.State.LIVE
        }
        return [
            entry
            for entry in self.plans.progress.values()
            if entry.healthy and entry.target in live
        ]

    def _services(self, platform_inventory: inventory.Inventory) -> list[str]:
        """Returns the pools of the live services of the data centre."""
        return [
            target.pool
            for target in platform_inventory.targets_in(
                self._context.data_centre
            )
            if target.kind is inventory.Kind.SERVICE
            and target.state is inventory.State.LIVE
        ]

    async def _keep_weight_store_share(self) -> None:
        """Keeps the data centre's share of the weight store's budget."""
        placing = self.plans.planner
        if placing is None:
            return
        await self._inventory_known.wait()
        assert self.inventory is not None
        client = weightstore.ShareClient(
            self._context.data_centre,
            self.inventory.weight_store,
            self._context.key_value,
        )
        placing.set_share_allocator(client.allocator)
        await weightstore.renew_share_periodically(
            client,
            lambda: (placing.loads_wanted, placing.loads_in_flight),
            self._may_send_orders,
        )

    async def _keep_assigning(self) -> None:
        retry_s = OWNERSHIP_INTERVAL_S
        while True:
            if await self._assign_once():
                retry_s = OWNERSHIP_INTERVAL_S
            else:
                retry_s = min(2 * retry_s, MAX_ASSIGN_RETRY_S)
            await asyncio.sleep(retry_s)

    async def _assign_once(self) -> bool:
        """Updates the assignment; returns False when a call failed."""
        usable = self._context.members.usable("entry", self._now())
        if not self._may_send_orders():
            if self._context.leadership.role == leadership.Role.FROZEN:
                self.ownership.assign_substitutes(usable)
            return True
        if not self._map_loaded:
            stored = await self._store.load()
            if isinstance(stored, errors.Failure):
                return False
            if isinstance(await self._applied.load(), errors.Failure):
                return False
            self.ownership.take_over(stored.epoch, stored.owners, self._now())
            self._map_loaded = True
        if self.inventory is None:
            return True
        targets = [
            t.name for t in self.inventory.targets_in(self._context.data_centre)
        ]
        inputs = (usable, targets, self.ownership.epoch)
        if (
            inputs == self._unchanged_inputs
            and not self.ownership.has_pending_moves
        ):
            return True
        owners = self.ownership.compute_assignment(targets, usable, self._now())
        if owners is None and not self._assignment_written:
            owners = self.ownership.owners  # A term starts with a new epoch.
        if owners is None:
            self._unchanged_inputs = inputs
            return True
        return await self._store_assignment(owners)

    async def _store_assignment(self, owners: dict[str, str]) -> bool:
        if not self._may_send_orders():
            return True
        epoch = self.ownership.epoch + 1
        failure = await self._store.store(
            epoch, owners, self._leader_condition()
        )
        if failure is not None:
            if failure.reason == errors.Reason.CONFLICT:
                self._map_loaded = False
            return False
        self.ownership.apply_written(epoch, owners)
        self._assignment_written = True
        return True

    def _grant(
        self, process: membership.Process, heartbeat: messages.Heartbeat
    ) -> messages.Message | None:
        frozen = self._context.leadership.role == leadership.Role.FROZEN
        if process.role != "entry" or not (
            self._assignment_written or (frozen and self.ownership.epoch > 0)
        ):
            return None
        entry_count = max(1, len(self._context.members.members("entry")))
        return self.ownership.respond_to_heartbeat(
            process.instance,
            heartbeat,
            self._now(),
            self._may_send_orders(),
            self._context.calls_per_s / entry_count,
        )

    def _send_plans(self, now: float) -> None:
        if self.inventory is None or not self._assignment_written:
            return
        inputs = (
            self.inventory.version,
            self.relay.revision,
            self.ownership.epoch,
        )
        if not self.plans.is_due(inputs, now) or not self._may_send_orders():
            return
        plans = self.plans.plan(
            inputs,
            self.inventory,
            self.relay.documents,
            self.ownership.owners,
            self._residency.models_elsewhere(),
            now,
        )
        for owner, plan in plans.items():
            link = self._context.links.get(membership.Process(owner, "entry"))
            if link and self._may_send_orders() and link.try_send(plan):
                self.plans.record_sent(owner, plan)

    def link_opened(self, link: peer_links.Link) -> None:
        """Sends the inventory and the other residencies to an entry process."""
        if link.peer.role != "entry" or self.inventory is None:
            return
        self.plans.reset_owner(link.peer.instance)
        if self._inventory_document:
            link.try_send(self._inventory_update())
        for name, models in self._residency.others.items():
            link.try_send(messages.Residency(name, models))

    def link_closed(self, process: membership.Process) -> None:
        """Forgets what was sent over a link that has been closed."""
        self.relay.remove_receiver(process)

    def receive(
        self, process: membership.Process, message: messages.Message
    ) -> messages.Message | None:
        """Handles a message; returns the response to send, if any."""
        match message:
            case messages.Heartbeat():
                self.relay.record_applied(process, message.revision)
                if message.revision > self.relay.revision and self._is_frozen():
                    return messages.Resync(self.relay.revision)
                return self._grant(process, message)
            case messages.Applied():
                self.relay.record_applied(process, message.revision)
            case messages.Resync():
                self.relay.resync(process, message.revision)
            case messages.Snapshot() if self._is_frozen():
                # The member has a later revision than this leader, which is
                # cut off from the key-value service.
                self.relay.replace(message.revision, message.documents)
                self._apply_locally()
            case messages.HandBack():
                self.ownership.record_hand_back(process.instance, message.epoch)
                self._unchanged_inputs = None
            case messages.Progress() if message.epoch <= self.ownership.epoch:
                self.plans.record_progress(process.instance, message)
        return None

    def dump(self) -> dict[str, object]:
        """Returns the state of the placement for operators."""
        return self.plans.planner.dump() if self.plans.planner else {}

    def _is_frozen(self) -> bool:
        return self._context.leadership.role == leadership.Role.FROZEN
