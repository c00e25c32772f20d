"""An entry instance without its servers."""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable, Coroutine

import msgspec

from carobsail import (
    adapters,
    admission,
    attempts,
    claimrouting,
    clients,
    configuration,
    demand,
    directory,
    dispatcher,
    enginememory,
    entrylinks,
    errors,
    estimation,
    forwarder,
    gateway,
    grants,
    idempotency,
    inventory,
    keyvalue,
    links,
    membership,
    messages,
    ownedtargets,
    ownership,
    peerset,
    prefixes,
    relay,
    routing,
    suspects,
    targetrunner,
    telemetry,
)

LOADS_INTERVAL_S = 1.0
CACHE_EVENTS_INTERVAL_S = 1.0
# A target's full load is repeated, so that a lost change does not stay lost.
FULL_LOADS_EVERY = 10
CONTROL = "control"
ENTRY = entrylinks.ENTRY


@dataclasses.dataclass(slots=True)
class Surroundings:
    """What an entry instance needs from outside.

    Attributes:
      hello: Own Hello, with role `entry`.
      key_value: Key-value client within the instance's call budget.
      connect: Connects to a peer's address.
      clients: Clients of targets.
      secrets: Secrets shared with peers.
      rng: Source of jitter and tokens.
      wall_clock: Returns seconds since the epoch.
      metrics: Counts and timings.
      log: Receives events.
      routing_policy: Name of the routing policy.
    """

    hello: messages.Hello
    key_value: keyvalue.KeyValueClient
    connect: links.Connect
    clients: clients.Clients
    secrets: list[bytes]
    rng: random.Random
    wall_clock: Callable[[], float]
    metrics: telemetry.Metrics
    log: logging.Logger
    routing_policy: str = "due_time"


class EntryInstance:
    """Callers' gateway, owned targets and links of one instance.

    Attributes:
      gateway: Callers' interface.
      grants: Ownership granted to this instance.
      state: Configuration documents.
      current: Configuration in force.
      links: Links to entry instances.
      directory: Known targets.
      dispatcher: Attempts at owned targets.
      forwarder: Requests of callers.
      failed: Set when a task ended by a fault.
    """

    def __init__(self, around: Surroundings) -> None:
        """Creates a stopped instance."""
        self._around = around
        self.hello = around.hello
        self.failed = asyncio.Event()
        self.grants = grants.GrantHolder()
        self.state = relay.ConfigurationState()
        self.current = configuration.ConfigurationSet()
        self.members = membership.Membership()
        self.speeds = estimation.Speeds()
        self.prefixes = prefixes.PrefixIndex()
        self.suspects = suspects.SuspectBook(around.hello.instance)
        self.dispatcher = dispatcher.Dispatcher()
        self._adapter_loads = adapters.LoadsInFlight(1)
        self.demand = demand.DemandCounter(_now())
        self.owned = ownedtargets.OwnedTargets(
            self.dispatcher, self.grants, self._new_runner, self._new_engine
        )
        self.directory = directory.TargetDirectory(
            around.hello.data_centre,
            self.dispatcher,
            self.owned.models_of,
            self.speeds,
            self.prefixes,
        )
        self.policy = routing.create(around.routing_policy, around.rng)
        self._build_callers_side()
        self._peer_set = peerset.PeerSet(
            around.connect, self.on_link, around.rng
        )
        self._control: dict[str, links.Link] = {}
        self._open: set[links.Link] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._seq = 0
        self._leaving = False
        self._last_loads: dict[str, messages.TargetLoad] = {}
        self._last_progress: dict[str, messages.TargetProgress] = {}
        self._had_demand = False

    def _build_callers_side(self) -> None:
        around, instance = self._around, self.hello.instance
        prefix = f"{instance}-{self.hello.incarnation:x}"
        self.admission = admission.Admission(instance)
        issued = idempotency.IssuedKeys(
            instance, self.hello.incarnation, around.secrets, around.rng
        )
        self.claim_writer = idempotency.ClaimWriter(
            around.key_value,
            self.hello.data_centre,
            prefix,
            around.wall_clock,
        )
        receivers = attempts.Receivers()
        self.links = entrylinks.EntryLinks(
            self.directory,
            self.dispatcher,
            receivers,
            lambda: self.grants.owners,
            self.policy,
            around.metrics,
        )
        self.directory.set_gateways(self.links.gateways.__contains__)
        self.forwarder = forwarder.Forwarder(
            prefix,
            self.directory,
            self.policy,
            self.links,
            receivers,
            self.demand,
            around.metrics,
            around.rng,
        )
        self.claims = claimrouting.ClaimRouter(
            instance,
            idempotency.ClaimBook(around.rng),
            issued,
            self.claim_writer,
            self._claim_writers,
            self.links.tell,
        )
        self.gateway = gateway.Gateway(
            instance,
            lambda: self.current,
            self.directory,
            self.admission,
            self.forwarder,
            self.claims,
            issued,
            around.metrics,
            around.log,
        )

    def _new_runner(
        self, target: inventory.Target
    ) -> targetrunner.TargetRunner:
        around = self._around
        shared = targetrunner.Shared(
            self.hello.instance,
            self.suspects,
            self.speeds,
            around.metrics,
            self._on_crash,
        )
        return targetrunner.TargetRunner(
            target,
            around.clients.sender(target),
            lambda model: model in self.owned.models_of(target.name),
            shared,
        )

    def _new_engine(
        self, target: inventory.Target, runner: targetrunner.TargetRunner
    ) -> ownedtargets.OwnedEngine:
        around = self._around
        engine = enginememory.EngineMemory(
            target,
            around.clients.engine(target),
            around.key_value,
            self.grants,
            self.directory,
            runner,
            self._adapter_loads,
            lambda model: _unlimited,
            around.rng,
            self._in_use,
        )
        runner.adapters = engine.gate
        return engine

    def _in_use(self, model: str) -> bool:
        """Tells whether a client account uses a model; True if unknown."""
        if not self.current.revision:
            return True
        policies = self.current.policies.values()
        return any(model in policy.models for policy in policies)

    def _on_crash(self, target: str) -> None:
        telemetry.log(
            self._around.log,
            "target_crashed",
            level=logging.WARNING,
            target=target,
        )
        self.prefixes.forget(target)
        self.links.broadcast(self.suspects.share(_now()))

    def _claim_writers(self) -> list[str]:
        """Returns the instances that may write claims, best first."""
        names = {self.hello.instance, *self.links.peers}
        if self._leaving and len(names) > 1:
            names.discard(self.hello.instance)
        return sorted(
            names, key=lambda n: ownership.score("claims", n), reverse=True
        )

    def start(self) -> None:
        """Starts the duties of the instance."""
        self._tasks = [
            self._spawn(self._beat()),
            self._spawn(self._share_loads()),
            self._spawn(self._read_cache_events()),
            self._spawn(self.dispatcher.watch()),
            self._spawn(self.claim_writer.run()),
        ]

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            telemetry.log(
                self._around.log,
                "task_failed",
                level=logging.CRITICAL,
                error=repr(error),
            )
            self.failed.set()

    async def leave(self) -> None:
        """Announces the end and hands targets back; serves on meanwhile."""
        self._leaving = True
        self.gateway.ready = False
        self._send_heartbeat()
        self.owned.stop()
        for link in self._control.values():
            link.offer(self.grants.hand_back())

    async def stop(self) -> None:
        """Finishes what is in flight, records results and closes links.

        The caller has drained the callers' server before.
        """
        await self.gateway.drain()
        # Other instances send here until they have heard of the new owners.
        await asyncio.sleep(2 * membership.HEARTBEAT_INTERVAL_S)
        for runner in self.dispatcher.runners.values():
            runner.owned = False
        await self.dispatcher.drain()
        await self.claim_writer.drain(timeout_s=5.0)
        await self.kill()

    async def kill(self) -> None:
        """Ends at once."""
        self.owned.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peer_set.close()
        for link in list(self._open):
            await link.close()

    async def on_link(self, link: links.Link) -> None:
        """Serves a link, accepted or opened, until it ends."""
        self._open.add(link)
        is_entry = link.peer.role == ENTRY
        if is_entry:
            self.links.opened(link)
            link.offer(self._full_loads())
            link.offer(self.suspects.share(_now()))
        else:
            self._control[link.peer.instance] = link
            self._last_progress.clear()
        try:
            async for message in link:
                await self._receive(link, message)
        finally:
            self._open.discard(link)
            if is_entry:
                self.links.lost(link)
                self.claims.lose(link.peer.instance)
            elif self._control.get(link.peer.instance) is link:
                del self._control[link.peer.instance]

    async def _receive(
        self, link: links.Link, message: messages.Message
    ) -> None:
        match message:
            case messages.Chunk() | messages.Head() | messages.End():
                self.links.receive_answer(link, message)
            case messages.Failed():
                self.links.receive_answer(link, message)
            case messages.Dispatch():
                if not message.target and message.model:
                    self.demand.count(message.model, message.output_tokens)
                self.links.receive_dispatch(link, message)
            case messages.Cancel():
                self.dispatcher.cancel(message.attempt)
            case messages.Heartbeat():
                process = membership.Process(link.peer.instance, link.peer.role)
                self.members.heard(
                    process, link.peer.incarnation, message, _now()
                )
            case messages.Loads():
                self.directory.report(link.peer.instance, message, _now())
            case messages.Suspects():
                self.suspects.merge(message, _now())
            case messages.Claim():
                self._spawn(self._answer_claim(link, message))
            case messages.Settle():
                self._spawn(self._answer_settle(link, message))
            case messages.ClaimResult() | messages.Settled():
                self.claims.receive(link.peer.instance, message)
            case _:
                self._receive_control(link, message)

    def _receive_control(
        self, link: links.Link, message: messages.Message
    ) -> None:
        if link.peer.role != CONTROL:
            return
        match message:
            case messages.Grant() | messages.Renewal():
                if self.grants.receive(message):
                    self.claim_writer.set_calls_per_s(self.grants.calls_per_s)
                    self.owned.apply()
            case messages.Snapshot() | messages.Delta():
                answer = self.state.receive(message)
                self._apply_configuration()
                if answer is not None:
                    link.offer(answer)
            case messages.Resync():
                link.offer(self.state.snapshot())
            case messages.InventoryUpdate():
                self._take_inventory(message)
            case messages.Residency():
                self.directory.reside(message)
            case messages.Plan():
                self.owned.plan(message)

    async def _answer_claim(
        self, link: links.Link, message: messages.Claim
    ) -> None:
        await link.send(await self.claims.answer_claim(message))

    async def _answer_settle(
        self, link: links.Link, message: messages.Settle
    ) -> None:
        await link.send(await self.claims.answer_settle(message))

    def _apply_configuration(self) -> None:
        if self.state.revision > self.current.revision:
            new = self.current.replaced_by(
                self.state.revision, self.state.documents
            )
            if not isinstance(new, errors.Failure):
                self.current = new
        self.gateway.ready = self.state.fresh and not self._leaving

    def _take_inventory(self, message: messages.InventoryUpdate) -> None:
        listed = inventory.parse(message.document)
        if message.version < self.directory.version:
            return
        self.directory.update_inventory(listed, message.version)
        owned = len(self.owned.engines)
        self._adapter_loads.set_limit(adapters.share_of_limit(listed, owned))
        self.owned.update(listed.in_data_centre(self.hello.data_centre))
        self._peer_set.set_addresses(self._peer_addresses(listed))

    def _peer_addresses(self, listed: inventory.Inventory) -> list[str]:
        """Returns where to connect: one link for each pair of instances."""
        own = self.hello.data_centre
        name = self.hello.instance
        addresses = [
            i.entry_peer
            for i in listed.instances
            if i.data_centre == own and i.name > name
        ]
        by_centre: dict[str, list[inventory.Instance]] = {}
        for instance in listed.instances:
            live = instance.state is inventory.State.LIVE
            if instance.data_centre != own and live:
                by_centre.setdefault(instance.data_centre, []).append(instance)
        for others in by_centre.values():
            gateway_instance = max(
                others, key=lambda i: ownership.score(name, i.name)
            )
            addresses.append(gateway_instance.entry_peer)
        return addresses

    async def _beat(self) -> None:
        while True:
            self._send_heartbeat()
            self.members.tick(_now())
            self._check_grant()
            await asyncio.sleep(membership.HEARTBEAT_INTERVAL_S)

    def _send_heartbeat(self) -> None:
        now = _now()
        self._seq += 1
        beat = messages.Heartbeat(
            self._seq,
            self.gateway.ready,
            self._leaving,
            self.state.revision,
            epoch=self.grants.epoch,
            grant_version=self.grants.version,
        )
        self.grants.heartbeat_sent(self._seq, now)
        for link in self._open:
            if link.peer.data_centre == self.hello.data_centre:
                link.offer(beat)

    def _check_grant(self) -> None:
        """Asks for the configuration again after the grant has lapsed.

        While no control process answers, the instance serves on with the
        highest revision that it has.
        """
        lapsed = self.grants.epoch and not self.grants.valid(_now())
        if lapsed and self.state.fresh and self._control:
            resync = self.state.expire()
            for link in self._control.values():
                link.offer(resync)

    async def _share_loads(self) -> None:
        rounds = 0
        while True:
            await asyncio.sleep(LOADS_INTERVAL_S)
            rounds += 1
            if rounds % FULL_LOADS_EVERY == 0:
                self.links.broadcast(self._full_loads())
            else:
                self._share_changes()
            self._report_progress()

    def _full_loads(self) -> messages.Loads:
        loads = self.dispatcher.loads(self.owned.models_of)
        self._last_loads = {load.target: load for load in loads}
        return messages.Loads(self._seq, True, loads)

    def _share_changes(self) -> None:
        loads = self.dispatcher.loads(self.owned.models_of)
        known = self._last_loads
        changed = [x for x in loads if x != known.get(x.target)]
        busy = [x for x in loads if x.in_flight and x not in changed]
        self._last_loads = {load.target: load for load in loads}
        if changed or busy:
            # A busy target is reported even if unchanged: reports age.
            update = messages.Loads(self._seq, False, changed + busy)
            self.links.broadcast(update)

    def _report_progress(self) -> None:
        asked = self.demand.take(_now())
        changed = []
        for target, engine in self.owned.engines.items():
            entry = engine.progress()
            if entry != self._last_progress.get(target):
                self._last_progress[target] = entry
                changed.append(entry)
        if changed or asked or self._had_demand:
            report = messages.Progress(self.grants.epoch, changed, asked)
            for link in self._control.values():
                link.offer(report)
        self._had_demand = bool(asked)

    async def _read_cache_events(self) -> None:
        while True:
            await asyncio.sleep(CACHE_EVENTS_INTERVAL_S)
            for name in list(self.owned.engines):
                runner = self.dispatcher.runners.get(name)
                if runner is None or not runner.healthy:
                    continue
                client = self._around.clients.engine(runner.target)
                found = await client.cache_events(
                    self.prefixes.last_sequence(name)
                )
                if not isinstance(found, errors.Failure):
                    for event in found:
                        self.prefixes.apply(name, event)

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        return {
            "instance": self.hello.instance,
            "data_centre": self.hello.data_centre,
            "leaving": self._leaving,
            "revision": self.state.revision,
            "fresh": self.state.fresh,
            "epoch": self.grants.epoch,
            "grant_valid": self.grants.valid(_now()),
            "gateway": self.gateway.dump(),
            "targets": [
                msgspec.to_builtins(load)
                for load in self.dispatcher.loads(self.owned.models_of)
            ],
            "peers": sorted(self.links.peers),
            "gateways": sorted(self.links.gateways),
            "remote_bytes": self.links.remote_bytes,
            "suspects": len(self.suspects),
            "claims": self.claim_writer.dump(),
            "configuration_failures": {
                key: str(failure)
                for key, failure in self.current.failures.items()
            },
        }


def _unlimited() -> None:
    """Gives nothing back."""


def _now() -> float:
    return asyncio.get_running_loop().time()
