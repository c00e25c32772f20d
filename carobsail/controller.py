"""The logic of a control process, without its servers and settings."""

import asyncio
import logging
import random
from collections.abc import Coroutine

from carobsail import (
    configurationrelay,
    keyvalue,
    leadership,
    membership,
    messages,
    peers,
    planscheduler,
    telemetry,
    term,
)

DEFAULT_CALLS_PER_S = 50.0
ROLE = "control"
TICKS_PER_HEARTBEAT = round(membership.HEARTBEAT_INTERVAL_S / membership.TICK_S)


class Controller:
    """Candidate for the leadership of a data centre, or its leader.

    Attributes:
      hello: Hello of this process.
      leadership: Leader election and lease of this process.
      members: Processes of the data centre, as seen by this process.
      state: Configuration applied by this process.
      term: Tasks of the leader, or None while this process does not lead.
      links: Current link by process.
      failed: Set when a background task has failed; the process must then
        stop.
    """

    __slots__ = (
        "_context",
        "_leaving",
        "_open_links",
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
        fetch_inventory: term.FetchInventory,
        connect: peers.Connect,
        rng: random.Random,
        placing: planscheduler.Planner | None = None,
        render: planscheduler.RenderPolicies = lambda documents: [],
        calls_per_s: float = DEFAULT_CALLS_PER_S,
    ) -> None:
        """Creates a stopped controller.

        Args:
          hello: Hello of this process, with role `control`.
          key_value: Client of the key-value service.
          fetch_inventory: Fetches the platform's inventory document.
          connect: Connects to a peer's address.
          rng: Source of jitter and tokens.
          placing: Decides which models engines hold; None sends no plans.
          render: Renders policies from configuration documents.
          calls_per_s: Key-value call budget of the data centre.
        """
        self.hello = hello
        self.failed = asyncio.Event()
        self.members = membership.Membership()
        self.state = configurationrelay.ConfigurationState()
        self.links: dict[membership.Process, peers.Link] = {}
        self.term: term.Term | None = None
        self.leadership = leadership.Leadership(
            hello.data_centre, hello.instance, key_value, rng, self._on_role
        )
        self._open_links: set[peers.Link] = set()
        self._peer_set = peers.PeerSet(connect, self.on_link, rng)
        self._leaving = False
        self._seq = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._term_task: asyncio.Task[None] | None = None
        self._context = term.Context(
            hello.data_centre,
            key_value,
            fetch_inventory,
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
        """Starts to campaign for the lease and to send heartbeats."""
        self._tasks = [
            self._spawn(self.leadership.run()),
            self._spawn(self._tick()),
        ]

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """Logs the failure of a background task and sets `failed`.

        A process must not lead when one of its tasks has ended.
        """
        if not task.cancelled() and (error := task.exception()) is not None:
            telemetry.log(
                logging.getLogger(telemetry.LOGGER_NAME),
                "task_failed",
                level=logging.CRITICAL,
                error=repr(error),
            )
            self.failed.set()

    async def stop(self) -> None:
        """Releases the leader lease and closes all links."""
        self._leaving = True
        was_leader = self.leadership.role == leadership.Role.LEADER
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.leadership.resign()
        self._send_heartbeats(releasing_lease=was_leader)
        await self._peer_set.close()
        for link in list(self._open_links):
            await link.close()

    async def kill(self) -> None:
        """Ends at once, without releasing the lease."""
        self._end_term()
        for task in self._tasks:
            task.cancel()
        await self._peer_set.close()
        for link in list(self._open_links):
            await link.close()

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        current_term = self.term
        return {
            "instance": self.hello.instance,
            "role": str(self.leadership.role),
            "revision": self.state.revision,
            "fresh": self.state.confirmed,
            "members": [
                f"{m.role} {m.instance}" for m in self.members.members()
            ],
            "epoch": current_term.ownership.epoch if current_term else 0,
            "owners": current_term.ownership.owners if current_term else {},
            "placement": current_term.dump() if current_term else {},
        }

    @property
    def ready(self) -> bool:
        """Whether the configuration is known to be current."""
        return self.state.confirmed and not self._leaving

    def _on_role(self, role: leadership.Role) -> None:
        telemetry.log(
            logging.getLogger(telemetry.LOGGER_NAME),
            "role_changed",
            instance=self.hello.instance,
            role=str(role),
        )
        if role == leadership.Role.FROZEN:
            return  # The term continues with the current assignment.
        previous = self.term
        self._end_term()
        if role == leadership.Role.LEADER:
            self.term = term.Term(self._context, previous)
            self._term_task = self._spawn(self.term.run())
            for link in self.links.values():
                self.term.link_opened(link)
        elif not self._leaving:  # Else the links stay to announce it.
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
            if ticks % TICKS_PER_HEARTBEAT == 0:
                self._send_heartbeats()
            ticks += 1
            await asyncio.sleep(membership.TICK_S)

    def _send_heartbeats(self, releasing_lease: bool = False) -> None:
        now = asyncio.get_running_loop().time()
        others = len(self.members.members(ROLE))
        leads = self.leadership.leads(now)
        if leads:
            self.leadership.candidates = others + 1
        self._seq += 1
        heartbeat = messages.Heartbeat(
            self._seq,
            self.ready,
            self._leaving,
            self.state.revision,
            leads or releasing_lease,
            self.leadership.candidates,
        )
        for link in self._open_links:
            link.try_send(heartbeat)

    async def on_link(self, link: peers.Link) -> None:
        """Serves a link, accepted or opened here, until it ends."""
        process = membership.Process(link.peer.instance, link.peer.role)
        if link.peer.data_centre != self.hello.data_centre:
            return
        self._open_links.add(link)
        self.links[process] = link
        if self.term is not None:
            self.term.link_opened(link)
        try:
            async for message in link:
                response = self._receive(process, link.peer, message)
                if response is not None:
                    link.try_send(response)
        finally:
            self._open_links.discard(link)
            if self.links.get(process) is link:
                self._on_link_closed(process)

    def _on_link_closed(self, process: membership.Process) -> None:
        """Replaces a closed link by another one of the process, if any.

        Two control processes that lead one after the other each open a link to
        the other.
        """
        del self.links[process]
        if self.term is not None:
            self.term.link_closed(process)
        for link in self._open_links:
            peer = membership.Process(link.peer.instance, link.peer.role)
            if peer == process and not link.closed:
                self.links[process] = link
                if self.term is not None:
                    self.term.link_opened(link)

    def _receive(
        self,
        process: membership.Process,
        peer: messages.Hello,
        message: messages.Message,
    ) -> messages.Message | None:
        now = asyncio.get_running_loop().time()
        if isinstance(message, messages.Heartbeat):
            self.members.record_heartbeat(
                process, peer.incarnation, message, now
            )
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
