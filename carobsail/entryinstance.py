"""An entry instance without its servers."""

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
# Heartbeats to other data centres are rarer, because their links are billed.
BEATS_PER_GATEWAY_BEAT = 4
REPORTS_PER_CENTRE_REPORT = 4
CONTROL = "control"
ENTRY = entrylinks.ENTRY


class EntryInstance(entryparts.EntryParts):
    """Duties of an entry instance: links, heartbeats and reports.

    Attributes:
      failed: Set when a task ended by a fault.
      members: Which processes of the data centre are alive.
    """

    def __init__(self, around: entryparts.Surroundings) -> None:
        """Creates a stopped instance."""
        super().__init__(around)
        self.failed = asyncio.Event()
        self.members = membership.Membership()
        self._peer_set = peerset.PeerSet(
            around.connect, self.on_link, around.rng
        )
        self._control: dict[str, links.Link] = {}
        self._open: set[links.Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._seq = 0
        self._reports = 0
        self._applying = asyncio.Lock()

    def start(self) -> None:
        """Starts the duties of the instance."""
        self._spawn(self._beat())
        self._spawn(self._report())
        self._spawn(self._read_cache_events())
        self._spawn(self.dispatcher.watch())
        self._spawn(self.claim_writer.run())

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
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
        self.leaving = True
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

    @property
    def ready(self) -> bool:
        """Whether the balancer may send callers here."""
        return self.gateway.ready and not self.leaving

    async def kill(self) -> None:
        """Ends at once."""
        self.owned.stop()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._peer_set.close()
        for link in list(self._open):
            await link.close()

    async def on_link(self, link: links.Link) -> None:
        """Serves a link, accepted or opened, until it ends."""
        self._open.add(link)
        is_entry = link.peer.role == ENTRY
        if is_entry:
            self.links.opened(link)
            if link.peer.data_centre == self.hello.data_centre:
                link.offer(self.reporter.full_loads())
            link.offer(self.suspects.share(_now()))
        else:
            self._control[link.peer.instance] = link
            self.reporter.repeat_progress()
        try:
            async for message in link:
                self.links.heard(link, _now())
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
                    self.reporter.asked.count(
                        message.model, message.output_tokens
                    )
                self.links.receive_dispatch(link, message)
            case messages.Cancel():
                self.dispatcher.cancel(message.attempt)
            case messages.Heartbeat():
                process = membership.Process(link.peer.instance, link.peer.role)
                self.members.heard(
                    process, link.peer.incarnation, message, _now()
                )
            case messages.Loads():
                now, sender = _now(), link.peer.instance
                self.directory.report(sender, message, now)
                if link.peer.data_centre == self.hello.data_centre:
                    self.shares.report(sender, message.accounts, now)
                else:
                    self.shares.report_centre(
                        link.peer.data_centre, message.accounts, now
                    )
            case messages.Suspects():
                self._merge_suspects(link, message)
            case messages.Claim():
                self._spawn(self._answer_claim(link, message))
            case messages.Settle():
                self._spawn(self._answer_settle(link, message))
            case messages.ClaimResult() | messages.Settled():
                self.claims.receive(link.peer.instance, message)
            case _:
                self._receive_control(link, message)

    def _merge_suspects(
        self, link: links.Link, message: messages.Suspects
    ) -> None:
        """Takes over suspicions; passes those of other data centres on.

        Only one instance here is linked to the sender's instance there.
        """
        now = _now()
        news = [
            entry
            for entry in message.entries
            if entry.crashes > self.suspects.crashes(entry.fingerprint, now)
        ]
        self.suspects.merge(message, now)
        if news and link.peer.data_centre != self.hello.data_centre:
            self.links.broadcast(messages.Suspects(news))

    def _receive_control(
        self, link: links.Link, message: messages.Message
    ) -> None:
        if link.peer.role != CONTROL:
            return
        match message:
            case messages.Grant() | messages.Renewal():
                epoch = self.grants.epoch
                if self.grants.receive(message):
                    if self.grants.epoch != epoch:
                        self._log_event(
                            "ownership_changed", epoch=self.grants.epoch
                        )
                    self._around.set_call_rate(self.grants.calls_per_s)
                    self.claim_writer.set_calls_per_s(self.grants.calls_per_s)
                    self.owned.apply()
            case messages.Snapshot() | messages.Delta():
                answer = self.state.receive(message)
                self._spawn(self._apply_configuration(link, answer))
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

    async def _apply_configuration(
        self, link: links.Link, answer: messages.Message | None
    ) -> None:
        """Takes the latest documents into force, then answers the sender.

        The answer tells the leader that a revision is in force here, so it
        must not be sent before.
        """
        async with self._applying:
            revision = self.state.revision
            if revision > self.current.revision:
                new = await self.current.replace_in_slices(
                    revision, dict(self.state.documents)
                )
                if not isinstance(new, errors.Failure):
                    self.current = new
                    self._log_event(
                        "configuration_applied",
                        revision=new.revision,
                        invalid_documents=len(new.failures),
                    )
            self.gateway.ready = self.state.fresh
        if answer is not None:
            link.offer(answer)

    def _take_inventory(self, message: messages.InventoryUpdate) -> None:
        listed = inventory.parse(message.document)
        if message.version < self.directory.version:
            return
        self.directory.update_inventory(listed, message.version)
        owned = len(self.owned.engines)
        self.adapter_loads.set_limit(adapters.share_of_limit(listed, owned))
        self.owned.update(listed.in_data_centre(self.hello.data_centre))
        self._peer_set.set_addresses(
            entrylinks.choose_addresses(
                listed, self.hello.instance, self.hello.data_centre
            )
        )

    async def _beat(self) -> None:
        while True:
            self._send_heartbeat()
            self._close_silent_links()
            self._check_grant()
            await asyncio.sleep(membership.HEARTBEAT_INTERVAL_S)

    def _send_heartbeat(self) -> None:
        now = _now()
        self._seq += 1
        beat = messages.Heartbeat(
            self._seq,
            self.ready,
            self.leaving,
            self.current.revision,
            epoch=self.grants.epoch,
            grant_version=self.grants.version,
        )
        self.grants.heartbeat_sent(self._seq, now)
        to_gateways = self._seq % BEATS_PER_GATEWAY_BEAT == 0
        for link in self._open:
            near = link.peer.data_centre == self.hello.data_centre
            if near or to_gateways:
                link.offer(beat)

    def _close_silent_links(self) -> None:
        """Ends what waits for an instance that is dead or cut off."""
        now = _now()
        silent = self.links.silent_gateways(now)
        for change in self.members.tick(now):
            if change.event is membership.Event.DIED:
                link = self.links.peers.get(change.process.instance)
                if link is not None and change.process.role == ENTRY:
                    silent.append(link)
        for link in silent:
            self._log_event("peer_silent", peer=link.peer.instance)
            self._spawn(link.close())

    def _check_grant(self) -> None:
        """Asks for the configuration again after the grant has lapsed.

        The instance is not ready until a control process has answered. While
        none is linked, it serves on with the highest revision that it has.
        """
        lapsed = self.grants.epoch and not self.grants.valid(_now())
        if lapsed and self.state.fresh and self._control:
            resync = self.state.expire()
            self.gateway.ready = False
            for link in self._control.values():
                link.offer(resync)
        elif lapsed and not self._control and self.state.revision:
            self.gateway.ready = True

    async def _report(self) -> None:
        await reporting.report(
            self.reporter,
            self.links.broadcast,
            self._send_progress,
            lambda: self.grants.epoch,
            self._share_accounts,
        )

    def _send_progress(self, progress: messages.Progress) -> None:
        for link in self._control.values():
            link.offer(progress)

    def _share_accounts(self, accounts: dict[str, float]) -> None:
        now, own = _now(), self.hello.instance
        listed = self.directory.listed
        self.shares.report(own, accounts, now)
        ready = sorted({own, *self.members.usable(ENTRY, now)})
        centres = len(listed.regions) if listed else 1
        self.shares.rebalance(ready, max(1, centres), now)
        self._reports += 1
        if self._reports % REPORTS_PER_CENTRE_REPORT == 0:
            busiest = self.shares.busiest(ready, now)
            if busiest:
                self._tell_other_centres(
                    messages.Loads(self._seq, False, [], busiest)
                )

    def _tell_other_centres(self, message: messages.Message) -> None:
        for link in self._open:
            if link.peer.data_centre != self.hello.data_centre:
                link.offer(message)

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

    def _log_event(self, event: str, **fields: Any) -> None:
        name = self.hello.instance
        telemetry.log(self._around.log, event, instance=name, **fields)

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        return {
            "instance": self.hello.instance,
            "data_centre": self.hello.data_centre,
            "leaving": self.leaving,
            "revision": self.current.revision,
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
            "metrics": self._around.metrics.dump(),
            "configuration_failures": {
                key: str(failure)
                for key, failure in self.current.failures.items()
            },
        }


def _now() -> float:
    return asyncio.get_running_loop().time()
