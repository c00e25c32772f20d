"""Links of an entry instance to the other entry instances.

Sends attempts to the owners of targets, here or elsewhere, and runs those
that other instances send here.
"""

import asyncio
import collections
from collections.abc import Callable

from carobsail import (
    attempts,
    directory,
    dispatcher,
    errors,
    forwarder,
    inventory,
    links,
    messages,
    ownership,
    routing,
    telemetry,
)

ENTRY = "entry"
# Three heartbeats to other data centres, which are sent every 2 s.
GATEWAY_SILENCE_S = 6.0
# At 7,100 requests/s over 330 nodes, attempts of more than ten minutes.
MAX_SEEN = 16_384


_UNSENT_DETAILS = {
    errors.Reason.CONNECT_FAILED: "no link to the owner",
    errors.Reason.OVERLOADED: "the link to the owner is full",
    errors.Reason.NO_TARGET: "no target of this data centre serves it now",
}


class _LinkSink(attempts.Sink):
    """Passes an answer to the instance that sent the attempt."""

    __slots__ = ("_link",)

    def __init__(self, link: links.Link) -> None:
        self._link = link

    async def put(self, message: attempts.Answer) -> bool:
        """See base class."""
        return await self._link.send(message) is None


class EntryLinks(forwarder.Transport):
    """Links to entry instances of this and other data centres.

    Attributes:
      peers: Link by instance of the own data centre.
      gateways: Link by other data centre.
      remote_bytes: Bytes of requests and answers exchanged with other data
        centres, by data centre.
    """

    __slots__ = (
        "_directory",
        "_dispatcher",
        "_heard_at",
        "_metrics",
        "_owners",
        "_receivers",
        "_route",
        "_seen",
        "_under_way",
        "gateways",
        "peers",
        "remote_bytes",
    )

    def __init__(
        self,
        targets: directory.TargetDirectory,
        owned: dispatcher.Dispatcher,
        receivers: attempts.Receivers,
        owners: Callable[[], dict[str, str]],
        policy: routing.RoutingPolicy,
        metrics: telemetry.Metrics,
    ) -> None:
        """Creates the table without links.

        Args:
          targets: Known targets.
          owned: Runs attempts at owned targets.
          receivers: Receivers of the attempts sent from here.
          owners: Returns the owner of each target by the last grant.
          policy: Chooses targets for requests of other data centres.
          metrics: Counts.
        """
        self.peers: dict[str, links.Link] = {}
        self.gateways: dict[str, links.Link] = {}
        self.remote_bytes: dict[str, int] = {}
        self._directory = targets
        self._dispatcher = owned
        self._receivers = receivers
        self._owners = owners
        self._route = policy
        self._metrics = metrics
        self._heard_at: dict[links.Link, float] = {}
        # Attempts received here, oldest first.
        self._seen: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        # Attempts sent over each link that have not ended.
        self._under_way: dict[links.Link, dict[str, attempts.Receiver]] = {}

    def send(
        self,
        request: messages.Dispatch,
        place: str,
        receiver: attempts.Receiver,
    ) -> errors.Failure | None:
        """See base class."""
        if request.target in self._dispatcher.runners:
            self._dispatcher.dispatch(request, receiver)
            return None
        link = self._link_to(request, place)
        if link is None:
            return self._unsent(errors.Reason.CONNECT_FAILED, place)
        if not link.offer(request):
            return self._unsent(errors.Reason.OVERLOADED, place)
        self._under_way.setdefault(link, {})[request.attempt] = receiver
        self._count_remote(link, len(request.body))
        return None

    def _link_to(
        self, request: messages.Dispatch, place: str
    ) -> links.Link | None:
        if not request.target:
            return self.gateways.get(place)
        owner = self._owners().get(request.target)
        owner = owner or self._directory.owner_of(request.target)
        return self.peers.get(owner) if owner else None

    def _unsent(self, reason: errors.Reason, place: str) -> errors.Failure:
        return errors.Failure(
            reason,
            errors.Step.FORWARD,
            place,
            detail=_UNSENT_DETAILS[reason],
        )

    def _count_remote(self, link: links.Link, size: int) -> None:
        centre = link.peer.data_centre
        if centre != self._directory.data_centre:
            total = self.remote_bytes.get(centre, 0) + size
            self.remote_bytes[centre] = total

    def cancel(self, place: str, attempt: str) -> None:
        """See base class."""
        self._dispatcher.cancel(attempt)
        for link, under_way in self._under_way.items():
            if under_way.pop(attempt, None) is not None:
                link.offer(messages.Cancel(attempt))

    def tell(self, instance: str, message: messages.Message) -> bool:
        """Sends a message to an instance; False when there is no link."""
        link = self.peers.get(instance)
        return link is not None and link.offer(message)

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message to all instances of the data centre."""
        for link in self.peers.values():
            link.offer(message)

    def opened(self, link: links.Link) -> None:
        """Takes a new link into use."""
        if link.peer.data_centre == self._directory.data_centre:
            self.peers[link.peer.instance] = link
        else:
            self.gateways[link.peer.data_centre] = link

    def heard(self, link: links.Link, now: float) -> None:
        """Notes that a message came over a link."""
        self._heard_at[link] = now

    def silent_gateways(self, now: float) -> list[links.Link]:
        """Returns the links to other data centres that went silent."""
        return [
            link
            for link in self.gateways.values()
            if now - self._heard_at.get(link, now) > GATEWAY_SILENCE_S
        ]

    def lost(self, link: links.Link) -> None:
        """Ends the attempts under way over a link that broke."""
        self._heard_at.pop(link, None)
        table = self.gateways
        name = link.peer.data_centre
        if name == self._directory.data_centre:
            table, name = self.peers, link.peer.instance
        if table.get(name) is link:
            del table[name]
            self._directory.forget(name)
        for receiver in self._under_way.pop(link, {}).values():
            # The exchange knows whether the request may run again.
            receiver.fail(
                errors.Failure(
                    errors.Reason.CONNECTION_LOST,
                    errors.Step.FORWARD,
                    link.peer.instance,
                    errors.Outcome.UNKNOWN,
                    "the link broke before the answer was whole",
                )
            )

    def receive_answer(
        self, link: links.Link, message: attempts.Answer
    ) -> None:
        """Takes a message of an attempt sent from here."""
        self._receivers.deliver(message)
        if isinstance(message, messages.Chunk):
            self._count_remote(link, len(message.data))
        elif not isinstance(message, messages.Head):
            self._under_way.get(link, {}).pop(message.attempt, None)
        if isinstance(message, messages.Failed):
            self._note_rejection(link, message)

    def _note_rejection(
        self, link: links.Link, message: messages.Failed
    ) -> None:
        centre = link.peer.data_centre
        if centre != self._directory.data_centre:
            wait_s = message.retry_after_s or 0.0
            self._directory.rejected(centre, wait_s, _now())

    def receive_dispatch(
        self, link: links.Link, request: messages.Dispatch
    ) -> None:
        """Runs an attempt that another instance sent.

        A repeated message is ignored, even after the attempt has ended: it
        would run a non-idempotent operation twice, or be routed to another
        target than the first and take over the first's answer.
        """
        if request.attempt in self._seen:
            self._metrics.count("repeated_dispatches")
            return
        self._seen[request.attempt] = None
        if len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)
        if not request.target:
            request = self._route_here(link, request)
            if request.target not in self._dispatcher.runners:
                self._pass_on(link, request)
                return
        self._dispatcher.dispatch(request, _LinkSink(link))

    def _route_here(
        self, link: links.Link, request: messages.Dispatch
    ) -> messages.Dispatch:
        """Chooses a target of this data centre for another one's request."""
        now = _now()
        demand = directory.Demand.of_dispatch(request)
        views = self._directory.views(demand, now, remote=False)
        due_at = now + request.due_in_s
        route = routing.RouteRequest(
            model=demand.served, due_at=due_at, adapter=request.adapter
        )
        chosen = self._route.choose(route, views, now)
        self._metrics.count("remote_dispatches")
        if isinstance(chosen, errors.Failure):
            return request
        return messages.with_target(request, chosen.name)

    def _pass_on(self, link: links.Link, request: messages.Dispatch) -> None:
        """Sends another data centre's request to the owner of its target."""
        if not request.target:
            failure = self._unsent(
                errors.Reason.NO_TARGET, request.service or request.model
            )
            link.offer(messages.Failed.from_failure(request.attempt, failure))
            return
        receiver = self._receivers.open(request.attempt)
        unsent = self.send(request, request.target, receiver)
        if unsent is not None:
            receiver.fail(unsent)
        task = asyncio.create_task(self._relay(link, receiver, request.target))
        task.add_done_callback(lambda _: self._receivers.close(request.attempt))

    async def _relay(
        self, link: links.Link, receiver: attempts.Receiver, place: str
    ) -> None:
        attempt = receiver.attempt
        head = await receiver.head()
        if isinstance(head, errors.Failure):
            await link.send(messages.Failed.from_failure(attempt, head))
            return
        await link.send(head)
        while True:
            part = await receiver.next()
            if isinstance(part, errors.Failure):
                await link.send(messages.Failed.from_failure(attempt, part))
                return
            if isinstance(part, messages.End):
                await link.send(part)
                return
            if await link.send(messages.Chunk(attempt, part)) is not None:
                self.cancel(place, attempt)
                return


def choose_addresses(
    listed: inventory.Inventory, instance: str, data_centre: str
) -> list[str]:
    """Returns the entry processes to which an instance connects.

    One of each pair of instances in a data centre connects to the other, and
    each instance connects to one gateway in each other data centre.

    Args:
      listed: The inventory.
      instance: The instance.
      data_centre: Its data centre.
    """
    addresses = []
    others: dict[str, list[inventory.Instance]] = {}
    for listed_instance in listed.instances:
        if listed_instance.data_centre == data_centre:
            if listed_instance.name > instance:
                addresses.append(listed_instance.entry_peer)
        elif listed_instance.state is inventory.State.LIVE:
            centre = others.setdefault(listed_instance.data_centre, [])
            centre.append(listed_instance)
    for candidates in others.values():
        gateway = max(
            candidates, key=lambda i: ownership.score(instance, i.name)
        )
        addresses.append(gateway.entry_peer)
    return addresses


def _now() -> float:
    return asyncio.get_running_loop().time()
