"""A control process without its transports."""

import asyncio
import logging
import random
from collections.abc import Coroutine

from carobsail import (
    keyvalue,
    leadership,
    membership,
    messages,
    peers,
    planbook,
    relay,
    telemetry,
    term,
)

DEFAULT_CALLS_PER_S = 50.0
ROLE = "control"
HEARTBEAT_TICKS = round(membership.HEARTBEAT_INTERVAL_S / membership.TICK_S)


class Controller:
    """Candidate and, at times, leader of a data centre.

    Attributes:
      leadership: Lease of this process.
      members: Membership view.
      state: Configuration applied here.
      term: Duties of the leader while this process leads.
      links: Present link by process.
      failed: Set when a task ended by a fault; the process must then stop.
    """

    __slots__ = (
        "_context",
        "_leaving",
        "_open",
        "_peer_set",
        "_seq",
        "_tasks",
        "_term_task",
        "failed",
        "hello",
        "leadership",
        "links",
        "members",
        "state",
        "term",
    )

    def __init__(
        self,
        hello: messages.Hello,
        key_value: keyvalue.KeyValueClient,
        inventory_source: term.InventorySource,
        connect: peers.Connect,
        rng: random.Random,
        placing: planbook.Planner | None = None,
        render: planbook.Render = lambda documents: [],
        calls_per_s: float = DEFAULT_CALLS_PER_S,
    ) -> None:
        """Creates a stopped controller.

        Args:
          hello: Own Hello, with role `control`.
          key_value: Client of the key-value service.
          inventory_source: Fetches the platform's inventory document.
          connect: Connects to a peer's address.
          rng: Source of jitter and tokens.
          placing: Placement of engines; None sends no plans.
          render: Renders policies from configuration documents.
          calls_per_s: Key-value call budget of the data centre.
        """
        self.hello = hello
        self.failed = asyncio.Event()
        self.members = membership.Membership()
        self.state = relay.ConfigurationState()
        self.links: dict[membership.Process, peers.Link] = {}
        self.term: term.Term | None = None
        self.leadership = leadership.Leadership(
            hello.data_centre, hello.instance, key_value, rng, self._on_role
        )
        self._open: set[peers.Link] = set()
        self._peer_set = peers.PeerSet(connect, self.on_link, rng)
        self._leaving = False
        self._seq = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._term_task: asyncio.Task[None] | None = None
        self._context = term.Context(
            hello.data_centre,
            key_value,
            inventory_source,
            self.leadership,
            self.members,
            self.state,
            self.links,
            self._peer_set.set_addresses,
            placing,
            render,
            rng,
            calls_per_s,
            hello.instance,
        )

    def start(self) -> None:
        """Starts to campaign and to send heartbeats."""
        self._tasks = [
            self._spawn(self.leadership.run()),
            self._spawn(self._tick()),
        ]

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        """Reports a fault; a process without its duties must not lead."""
        if not task.cancelled() and (error := task.exception()) is not None:
            telemetry.log(
                logging.getLogger(telemetry.LOGGER_NAME),
                "task_failed",
                level=logging.CRITICAL,
                error=repr(error),
            )
            self.failed.set()

    async def stop(self) -> None:
        """Hands the lease over and closes all links."""
        self._leaving = True
        led = self.leadership.role == leadership.Role.LEADER
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.leadership.hand_over()
        self._beat(vacating=led)
        await self._peer_set.close()
        for link in list(self._open):
            await link.close()

    async def kill(self) -> None:
        """Ends at once, without handing over."""
        self._end_term()
        for task in self._tasks:
            task.cancel()
        await self._peer_set.close()
        for link in list(self._open):
            await link.close()

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        leading = self.term
        return {
            "instance": self.hello.instance,
            "role": str(self.leadership.role),
            "revision": self.state.revision,
            "fresh": self.state.fresh,
            "members": [
                f"{m.role} {m.instance}" for m in self.members.members()
            ],
            "epoch": leading.book.epoch if leading else 0,
            "owners": leading.book.owners if leading else {},
            "placement": leading.dump() if leading else {},
        }

    @property
    def ready(self) -> bool:
        """Whether the configuration is known to be current."""
        return self.state.fresh and not self._leaving

    def _on_role(self, role: leadership.Role) -> None:
        telemetry.log(
            logging.getLogger(telemetry.LOGGER_NAME),
            "role_changed",
            instance=self.hello.instance,
            role=str(role),
        )
        if role == leadership.Role.FROZEN:
            return  # The term goes on with what was assigned.
        previous = self.term
        self._end_term()
        if role == leadership.Role.LEADER:
            self.term = term.Term(self._context, previous)
            self._term_task = self._spawn(self.term.run())
            for link in self.links.values():
                self.term.linked(link)
        elif not self._leaving:  # A leaving process still says so to all.
            self._peer_set.set_addresses(())

    def _end_term(self) -> None:
        self.term = None
        if self._term_task is not None:
            self._term_task.cancel()
            self._term_task = None

    async def _tick(self) -> None:
        ticks = 0
        while True:
            now = asyncio.get_running_loop().time()
            self.members.tick(now)
            if ticks % HEARTBEAT_TICKS == 0:
                self._beat()
            ticks += 1
            await asyncio.sleep(membership.TICK_S)

    def _beat(self, vacating: bool = False) -> None:
        now = asyncio.get_running_loop().time()
        rivals = len(self.members.members(ROLE))
        leads = self.leadership.leads(now)
        if leads:
            self.leadership.candidates = rivals + 1
        self._seq += 1
        beat = messages.Heartbeat(
            self._seq,
            self.ready,
            self._leaving,
            self.state.revision,
            leads or vacating,
            self.leadership.candidates,
        )
        for link in self._open:
            link.offer(beat)

    async def on_link(self, link: peers.Link) -> None:
        """Serves a link, accepted or opened, until it ends."""
        process = membership.Process(link.peer.instance, link.peer.role)
        if link.peer.data_centre != self.hello.data_centre:
            return
        self._open.add(link)
        self.links[process] = link
        if self.term is not None:
            self.term.linked(link)
        try:
            async for message in link:
                answer = self._receive(process, link.peer, message)
                if answer is not None:
                    link.offer(answer)
        finally:
            self._open.discard(link)
            if self.links.get(process) is link:
                self._unlink(process)

    def _unlink(self, process: membership.Process) -> None:
        """Falls back to another link of the process, if there is one.

        Two leaders that take turns each open a link to the other.
        """
        del self.links[process]
        if self.term is not None:
            self.term.unlinked(process)
        for link in self._open:
            peer = membership.Process(link.peer.instance, link.peer.role)
            if peer == process and not link.closed:
                self.links[process] = link
                if self.term is not None:
                    self.term.linked(link)

    def _receive(
        self,
        process: membership.Process,
        peer: messages.Hello,
        message: messages.Message,
    ) -> messages.Message | None:
        now = asyncio.get_running_loop().time()
        if isinstance(message, messages.Heartbeat):
            self.members.heard(process, peer.incarnation, message, now)
            if message.leading:
                self.leadership.candidates = message.candidates
                self.leadership.leader_heard(now, message.leaving)
        if self.term is not None:
            return self.term.receive(process, message)
        if isinstance(message, messages.Snapshot | messages.Delta):
            return self.state.receive(message)
        if isinstance(message, messages.Resync):
            return self.state.snapshot()
        return None
