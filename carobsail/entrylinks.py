"""Links of an entry instance to other entry instances.

Sends attempts to the owners of targets, and runs the attempts that other
instances send to this one.
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

ENTRY_ROLE = "entry"
# Three heartbeats to other data centres, which are sent every 2 s.
GATEWAY_SILENCE_TIMEOUT_S = 6.0
# Covers the attempts of more than ten minutes at 7,100 requests/s over 330
# nodes.
MAX_REMEMBERED_ATTEMPTS = 16_384


_UNSENT_DETAILS = {
    errors.Reason.CONNECT_FAILED: "no link to the owner",
    errors.Reason.OVERLOADED: "the link to the owner is full",
    errors.Reason.NO_TARGET: "no target of this data centre serves it now",
}


class _LinkSink(attempts.ResponseSink):
    """Sends a response to the instance that sent the attempt."""

    __slots__ = ("_link",)

    def __init__(self, link: links.Link) -> None:
        self._link = link

    async def put(self, message: attempts.ResponseMessage) -> bool:
        """See base class."""
        return await self._link.send(message) is None


class EntryLinks(forwarder.Transport):
    """Links to entry instances of this and other data centres.

    Attributes:
      peers: Links to instances of the own data centre, by instance.
      gateways: Links to other data centres, by data centre.
      remote_bytes: Bytes of requests and responses exchanged with other data
        centres, by data centre.
    """

    __slots__ = (
        "_current_owners",
        "_directory",
        "_dispatcher",
        "_in_flight",
        "_last_message_at",
        "_metrics",
        "_policy",
        "_received_attempts",
        "_receivers",
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
        """Creates an object without links.

        Args:
          targets: Known targets.
          owned: Runs attempts at the targets owned by this instance.
          receivers: Receivers of the attempts sent from here.
          owners: Returns the owner of each target according to the latest
            grant.
          policy: Chooses targets for requests of other data centres.
          metrics: Receives counts.
        """
        self.peers: dict[str, links.Link] = {}
        self.gateways: dict[str, links.Link] = {}
        self.remote_bytes: dict[str, int] = {}
        self._directory = targets
        self._dispatcher = owned
        self._receivers = receivers
        self._current_owners = owners
        self._policy = policy
        self._metrics = metrics
        self._last_message_at: dict[links.Link, float] = {}
        # Identifiers of received attempts, oldest first.
        self._received_attempts: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        # Receivers of the attempts in flight over each link.
        self._in_flight: dict[links.Link, dict[str, attempts.Receiver]] = {}

    def send(
        self,
        request: messages.Dispatch,
        destination: str,
        receiver: attempts.Receiver,
    ) -> errors.Failure | None:
        """See base class."""
        if request.target in self._dispatcher.runners:
            self._dispatcher.dispatch(request, receiver)
            return None
        link = self._link_to(request, destination)
        if link is None:
            return self._unsent_failure(
                errors.Reason.CONNECT_FAILED, destination
            )
        if not link.try_send(request):
            return self._unsent_failure(errors.Reason.OVERLOADED, destination)
        self._in_flight.setdefault(link, {})[request.attempt] = receiver
        self._count_remote_bytes(link, len(request.body))
        return None

    def _link_to(
        self, request: messages.Dispatch, destination: str
    ) -> links.Link | None:
        if not request.target:
            return self.gateways.get(destination)
        owner = self._current_owners().get(request.target)
        owner = owner or self._directory.remote_owner_of(request.target)
        return self.peers.get(owner) if owner else None

    def _unsent_failure(
        self, reason: errors.Reason, destination: str
    ) -> errors.Failure:
        return errors.Failure(
            reason,
            errors.Step.FORWARD,
            destination,
            detail=_UNSENT_DETAILS[reason],
        )

    def _count_remote_bytes(self, link: links.Link, size: int) -> None:
        centre = link.peer.data_centre
        if centre != self._directory.data_centre:
            total = self.remote_bytes.get(centre, 0) + size
            self.remote_bytes[centre] = total

    def cancel(self, destination: str, attempt: str) -> None:
        """See base class."""
        self._dispatcher.cancel(attempt)
        for link, in_flight in self._in_flight.items():
            if in_flight.pop(attempt, None) is not None:
                link.try_send(messages.Cancel(attempt))

    def send_to(self, instance: str, message: messages.Message) -> bool:
        """Sends a message to an instance; returns False without a link.

        It also returns False if the link does not take the message.
        """
        link = self.peers.get(instance)
        return link is not None and link.try_send(message)

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message to all linked instances of the data centre."""
        for link in self.peers.values():
            link.try_send(message)

    def add_link(self, link: links.Link) -> None:
        """Adds a new link."""
        if link.peer.data_centre == self._directory.data_centre:
            self.peers[link.peer.instance] = link
        else:
            self.gateways[link.peer.data_centre] = link

    def record_message(self, link: links.Link, now: float) -> None:
        """Records that a message arrived over a link."""
        self._last_message_at[link] = now

    def silent_gateways(self, now: float) -> list[links.Link]:
        """Returns the links to other data centres without recent messages."""
        return [
            link
            for link in self.gateways.values()
            if now - self._last_message_at.get(link, now)
            > GATEWAY_SILENCE_TIMEOUT_S
        ]

    def remove_link(self, link: links.Link) -> None:
        """Removes a broken link and ends the attempts in flight over it."""
        self._last_message_at.pop(link, None)
        table = self.gateways
        name = link.peer.data_centre
        if name == self._directory.data_centre:
            table, name = self.peers, link.peer.instance
        if table.get(name) is link:
            del table[name]
            self._directory.remove_loads_of(name)
        for receiver in self._in_flight.pop(link, {}).values():
            # The exchange decides whether the request may be sent again.
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
        self, link: links.Link, message: attempts.ResponseMessage
    ) -> None:
        """Handles a response message of an attempt sent by this instance."""
        self._receivers.deliver(message)
        if isinstance(message, messages.Chunk):
            self._count_remote_bytes(link, len(message.data))
        elif not isinstance(message, messages.Head):
            self._in_flight.get(link, {}).pop(message.attempt, None)
        if isinstance(message, messages.Failed):
            self._record_rejection(link, message)

    def _record_rejection(
        self, link: links.Link, message: messages.Failed
    ) -> None:
        centre = link.peer.data_centre
        if centre != self._directory.data_centre:
            wait_s = message.retry_after_s or 0.0
            self._directory.record_rejection(centre, wait_s, _now())

    def receive_dispatch(
        self, link: links.Link, request: messages.Dispatch
    ) -> None:
        """Runs an attempt sent by another instance.

        A duplicate message is ignored, even after the attempt has ended: it
        would run a non-idempotent operation twice, or be routed to another
        target than the first message and take over its response.
        """
        if request.attempt in self._received_attempts:
            self._metrics.count("repeated_dispatches")
            return
        self._received_attempts[request.attempt] = None
        if len(self._received_attempts) > MAX_REMEMBERED_ATTEMPTS:
            self._received_attempts.popitem(last=False)
        if not request.target:
            request = self._route_here(link, request)
            if request.target not in self._dispatcher.runners:
                self._forward_to_owner(link, request)
                return
        self._dispatcher.dispatch(request, _LinkSink(link))

    def _route_here(
        self, link: links.Link, request: messages.Dispatch
    ) -> messages.Dispatch:
        """Chooses a local target for a request of another data centre."""
        now = _now()
        demand = directory.RequestDemand.of_dispatch(request)
        views = self._directory.target_views(demand, now, remote=False)
        due_at = now + request.response_due_in_s
        route = routing.RouteRequest(
            model=demand.served, due_at=due_at, adapter=request.adapter
        )
        chosen = self._policy.choose(route, views, now)
        self._metrics.count("remote_dispatches")
        if isinstance(chosen, errors.Failure):
            return request
        return messages.replace_target(request, chosen.name)

    def _forward_to_owner(
        self, link: links.Link, request: messages.Dispatch
    ) -> None:
        """Sends a request of another data centre to the owner of its target."""
        if not request.target:
            failure = self._unsent_failure(
                errors.Reason.NO_TARGET, request.service or request.model
            )
            link.try_send(
                messages.Failed.from_failure(request.attempt, failure)
            )
            return
        receiver = self._receivers.open(request.attempt)
        send_failure = self.send(request, request.target, receiver)
        if send_failure is not None:
            receiver.fail(send_failure)
        task = asyncio.create_task(
            self._relay_response(link, receiver, request.target)
        )
        task.add_done_callback(lambda _: self._receivers.close(request.attempt))

    async def _relay_response(
        self, link: links.Link, receiver: attempts.Receiver, destination: str
    ) -> None:
        attempt = receiver.attempt
        head = await receiver.head()
        if isinstance(head, errors.Failure):
            await link.send(messages.Failed.from_failure(attempt, head))
            return
        await link.send(head)
        while True:
            part = await receiver.next_data()
            if isinstance(part, errors.Failure):
                await link.send(messages.Failed.from_failure(attempt, part))
                return
            if isinstance(part, messages.End):
                await link.send(part)
                return
            if await link.send(messages.Chunk(attempt, part)) is not None:
                self.cancel(destination, attempt)
                return


def choose_addresses(
    current_inventory: inventory.Inventory, instance: str, data_centre: str
) -> list[str]:
    """Returns the addresses of entry processes to which an instance connects.

    In each pair of instances of a data centre, one connects to the other. Each
    instance also connects to one instance, its gateway, in each other data
    centre.

    Args:
      current_inventory: The inventory.
      instance: Name of the instance.
      data_centre: Data centre of the instance.
    """
    addresses = []
    others: dict[str, list[inventory.Instance]] = {}
    for listed_instance in current_inventory.instances:
        if listed_instance.data_centre == data_centre:
            if listed_instance.name > instance:
                addresses.append(listed_instance.entry_peer)
        elif listed_instance.state is inventory.State.LIVE:
            centre = others.setdefault(listed_instance.data_centre, [])
            centre.append(listed_instance)
    for candidates in others.values():
        gateway = max(
            candidates,
            key=lambda i: ownership.rendezvous_score(instance, i.name),
        )
        addresses.append(gateway.entry_peer)
    return addresses


def _now() -> float:
    return asyncio.get_running_loop().time()
