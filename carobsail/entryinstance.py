"""Background tasks and message handling of an entry instance."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

import msgspec

from carobsail import (
    adapters,
    entrylinks,
    entryparts,
    errors,
    inventory,
    links,
    membership,
    messages,
    peerset,
    reporting,
    telemetry,
)

CACHE_EVENTS_INTERVAL_S = 1.0
# Heartbeats to other data centres are less frequent, because their links are
# billed.
HEARTBEATS_PER_GATEWAY_HEARTBEAT = 4
REPORTS_PER_REMOTE_REPORT = 4
CONTROL_ROLE = "control"
ENTRY_ROLE = entrylinks.ENTRY_ROLE


class EntryInstance(entryparts.EntryParts):
    """An entry instance, without the servers for callers and operators.

    Handles its links, heartbeats and reports.

    Attributes:
      failed: Set when a background task failed.
      members: Tracks which processes of the data centre are alive.
    """

    def __init__(self, dependencies: entryparts.Dependencies) -> None:
        """Creates an instance that is not started."""
        super().__init__(dependencies)
        self.failed = asyncio.Event()
        self.members = membership.Membership()
        self._peer_set = peerset.PeerSet(
            dependencies.connect, self.on_link, dependencies.rng
        )
        self._control_links: dict[str, links.Link] = {}
        self._open_links: set[links.Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._heartbeat_sequence = 0
        self._report_count = 0
        self._apply_lock = asyncio.Lock()

    def start(self) -> None:
        """Starts the background tasks of the instance."""
        self._spawn(self._run_heartbeat())
        self._spawn(self._run_reports())
        self._spawn(self._read_cache_events())
        self._spawn(self.dispatcher.cancel_stalled_attempts())
        self._spawn(self.claim_writer.run())

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            telemetry.log(
                self._dependencies.log,
                "task_failed",
                level=logging.CRITICAL,
                error=repr(error),
            )
            self.failed.set()

    async def announce_stop(self) -> None:
        """Announces a planned stop and hands targets back; keeps serving."""
        self.leaving = True
        self._send_heartbeat()
        self.owned.stop_orders()
        for link in self._control_links.values():
            link.try_send(self.grants.give_up())

    async def stop(self) -> None:
        """Finishes requests in flight, records their results, closes links.

        The server of the callers' port has to be drained before.
        """
        await self.gateway.drain()
        # Other instances send attempts here until they learn of the new owners.
        await asyncio.sleep(2 * membership.HEARTBEAT_INTERVAL_S)
        for runner in self.dispatcher.runners.values():
            runner.owned = False
        await self.dispatcher.drain()
        await self.claim_writer.drain(timeout_s=5.0)
        await self.kill()

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send callers' requests here."""
        return self.gateway.ready and not self.leaving

    async def kill(self) -> None:
        """Stops at once."""
        self.owned.stop_orders()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._peer_set.close()
        for link in list(self._open_links):
            await link.close()
        self._dependencies.clients.close()

    async def on_link(self, link: links.Link) -> None:
        """Serves an accepted or opened link until it closes."""
        self._open_links.add(link)
        is_entry = link.peer.role == ENTRY_ROLE
        if is_entry:
            self.links.add_link(link)
            if link.peer.data_centre == self.hello.data_centre:
                link.try_send(self.reporter.full_loads())
            link.try_send(self.suspects.entries_for_peers(_now()))
        else:
            self._control_links[link.peer.instance] = link
            self.reporter.reset_progress()
        try:
            async for message in link:
                self.links.record_message(link, _now())
                await self._receive(link, message)
        finally:
            self._open_links.discard(link)
            if is_entry:
                self.links.remove_link(link)
                self.claims.fail_waits(link.peer.instance)
            elif self._control_links.get(link.peer.instance) is link:
                del self._control_links[link.peer.instance]

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
                    self.reporter.model_demand.count(
                        message.model, message.output_tokens
                    )
                self.links.receive_dispatch(link, message)
            case messages.Cancel():
                self.dispatcher.cancel(message.attempt)
            case messages.Heartbeat():
                process = membership.Process(link.peer.instance, link.peer.role)
                self.members.record_heartbeat(
                    process, link.peer.incarnation, message, _now()
                )
            case messages.Loads():
                now, sender = _now(), link.peer.instance
                self.directory.record_loads(sender, message, now)
                if link.peer.data_centre == self.hello.data_centre:
                    self.shares.report_instance(sender, message.accounts, now)
                else:
                    self.shares.report_data_centre(
                        link.peer.data_centre, message.accounts, now
                    )
            case messages.Suspects():
                self._merge_suspects(link, message)
            case messages.Claim():
                self._spawn(self._answer_claim(link, message))
            case messages.Settle():
                self._spawn(self._answer_settle(link, message))
            case messages.ClaimResult() | messages.Settled():
                self.claims.receive_reply(link.peer.instance, message)
            case _:
                self._receive_control(link, message)

    def _merge_suspects(
        self, link: links.Link, message: messages.Suspects
    ) -> None:
        """Merges crash suspicions; passes on those of other data centres.

        They have to be passed on, because only one instance here is linked to
        the sending instance there.
        """
        now = _now()
        new_entries = [
            entry
            for entry in message.entries
            if entry.crashes > self.suspects.crash_count(entry.fingerprint, now)
        ]
        self.suspects.merge(message, now)
        if new_entries and link.peer.data_centre != self.hello.data_centre:
            self.links.broadcast(messages.Suspects(new_entries))

    def _receive_control(
        self, link: links.Link, message: messages.Message
    ) -> None:
        if link.peer.role != CONTROL_ROLE:
            return
        match message:
            case messages.Grant() | messages.Renewal():
                epoch = self.grants.epoch
                if self.grants.receive(message):
                    if self.grants.epoch != epoch:
                        self._log_event(
                            "ownership_changed", epoch=self.grants.epoch
                        )
                    self._dependencies.set_call_rate(self.grants.calls_per_s)
                    self.claim_writer.set_calls_per_s(self.grants.calls_per_s)
                    self.owned.apply_grant()
            case messages.Snapshot() | messages.Delta():
                reply = self.state.receive(message)
                self._spawn(self._apply_configuration(link, reply))
            case messages.Resync():
                link.try_send(self.state.snapshot())
            case messages.InventoryUpdate():
                self._apply_inventory(message)
            case messages.Residency():
                self.directory.record_residency(message)
            case messages.Plan():
                self.owned.apply_plan(message)

    async def _answer_claim(
        self, link: links.Link, message: messages.Claim
    ) -> None:
        await link.send(await self.claims.handle_claim(message))

    async def _answer_settle(
        self, link: links.Link, message: messages.Settle
    ) -> None:
        await link.send(await self.claims.handle_settle(message))

    async def _apply_configuration(
        self, link: links.Link, reply: messages.Message | None
    ) -> None:
        """Puts the latest documents into force, then replies to the sender.

        The reply tells the leader that a revision is in force here, so it must
        not be sent before.
        """
        async with self._apply_lock:
            revision = self.state.revision
            if revision > self.current.revision:
                new = await self.current.with_snapshot_in_slices(
                    revision, dict(self.state.documents)
                )
                if not isinstance(new, errors.Failure):
                    self.current = new
                    self._log_event(
                        "configuration_applied",
                        revision=new.revision,
                        invalid_documents=len(new.failures),
                    )
            self.gateway.ready = self.state.confirmed
        if reply is not None:
            link.try_send(reply)

    def _apply_inventory(self, message: messages.InventoryUpdate) -> None:
        new_inventory = inventory.parse(message.document)
        if message.version < self.directory.version:
            return
        self.directory.update_inventory(new_inventory, message.version)
        owned = len(self.owned.engines)
        self.adapter_loads.set_limit(
            adapters.adapter_load_limit(new_inventory, owned)
        )
        self.owned.set_targets(new_inventory.targets_in(self.hello.data_centre))
        self._peer_set.set_addresses(
            entrylinks.choose_addresses(
                new_inventory, self.hello.instance, self.hello.data_centre
            )
        )

    async def _run_heartbeat(self) -> None:
        while True:
            self._send_heartbeat()
            self._close_silent_links()
            self._check_grant()
            await asyncio.sleep(membership.HEARTBEAT_INTERVAL_S)

    def _send_heartbeat(self) -> None:
        now = _now()
        self._heartbeat_sequence += 1
        heartbeat = messages.Heartbeat(
            self._heartbeat_sequence,
            self.ready,
            self.leaving,
            self.current.revision,
            epoch=self.grants.epoch,
            grant_version=self.grants.version,
        )
        self.grants.record_heartbeat_sent(self._heartbeat_sequence, now)
        to_gateways = (
            self._heartbeat_sequence % HEARTBEATS_PER_GATEWAY_HEARTBEAT == 0
        )
        for link in self._open_links:
            local = link.peer.data_centre == self.hello.data_centre
            if local or to_gateways:
                link.try_send(heartbeat)

    def _close_silent_links(self) -> None:
        """Closes links to instances that are dead or unreachable.

        This ends the attempts that wait for them.
        """
        now = _now()
        silent_links = self.links.silent_gateways(now)
        for change in self.members.tick(now):
            if change.event is membership.MemberEvent.DIED:
                link = self.links.peers.get(change.process.instance)
                if link is not None and change.process.role == ENTRY_ROLE:
                    silent_links.append(link)
        for link in silent_links:
            self._log_event("peer_silent", peer=link.peer.instance)
            self._spawn(link.close())

    def _check_grant(self) -> None:
        """Asks for the configuration again after the grant expired.

        The instance is not ready until a control process has replied. While no
        control process is linked, it serves with the revision that it has.
        """
        expired = self.grants.epoch and not self.grants.valid(_now())
        if expired and self.state.confirmed and self._control_links:
            resync = self.state.require_confirmation()
            self.gateway.ready = False
            for link in self._control_links.values():
                link.try_send(resync)
        elif expired and not self._control_links and self.state.revision:
            self.gateway.ready = True

    async def _run_reports(self) -> None:
        await reporting.report(
            self.reporter,
            self.links.broadcast,
            self._send_progress,
            lambda: self.grants.epoch,
            self._rebalance_accounts,
        )

    def _send_progress(self, progress: messages.Progress) -> None:
        for link in self._control_links.values():
            link.try_send(progress)

    def _rebalance_accounts(self, accounts: dict[str, float]) -> None:
        now, own = _now(), self.hello.instance
        current_inventory = self.directory.inventory
        self.shares.report_instance(own, accounts, now)
        ready = sorted({own, *self.members.usable(ENTRY_ROLE, now)})
        centres = len(current_inventory.regions) if current_inventory else 1
        self.shares.rebalance(ready, max(1, centres), now)
        self._report_count += 1
        if self._report_count % REPORTS_PER_REMOTE_REPORT == 0:
            busiest = self.shares.busiest_accounts(ready, now)
            if busiest:
                self._send_to_other_centres(
                    messages.Loads(self._heartbeat_sequence, False, [], busiest)
                )

    def _send_to_other_centres(self, message: messages.Message) -> None:
        for link in self._open_links:
            if link.peer.data_centre != self.hello.data_centre:
                link.try_send(message)

    async def _read_cache_events(self) -> None:
        while True:
            await asyncio.sleep(CACHE_EVENTS_INTERVAL_S)
            for name in list(self.owned.engines):
                runner = self.dispatcher.runners.get(name)
                if runner is None or not runner.healthy:
                    continue
                client = self._dependencies.clients.engine(runner.target)
                found = await client.cache_events(
                    self.prefixes.last_sequence(name)
                )
                if not isinstance(found, errors.Failure):
                    for event in found:
                        self.prefixes.apply(name, event)

    def _log_event(self, event: str, **fields: Any) -> None:
        name = self.hello.instance
        telemetry.log(self._dependencies.log, event, instance=name, **fields)

    def dump(self) -> dict[str, object]:
        """Returns the state of the instance for operators."""
        return {
            "instance": self.hello.instance,
            "data_centre": self.hello.data_centre,
            "leaving": self.leaving,
            "revision": self.current.revision,
            "fresh": self.state.confirmed,
            "epoch": self.grants.epoch,
            "grant_valid": self.grants.valid(_now()),
            "gateway": self.gateway.dump(),
            "targets": [
                msgspec.to_builtins(load)
                for load in self.dispatcher.target_loads(self.owned.models_of)
            ],
            "peers": sorted(self.links.peers),
            "gateways": sorted(self.links.gateways),
            "remote_bytes": self.links.remote_bytes,
            "suspects": len(self.suspects),
            "claims": self.claim_writer.dump(),
            "metrics": self._dependencies.metrics.dump(),
            "configuration_failures": {
                key: str(failure)
                for key, failure in self.current.failures.items()
            },
        }


def _now() -> float:
    return asyncio.get_running_loop().time()
