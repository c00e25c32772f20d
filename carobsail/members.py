"""The known other instances, and datagrams to them."""

import dataclasses
from collections.abc import Callable

from carobsail import datagrams, summaries, wirerevisions


@dataclasses.dataclass(slots=True, frozen=True)
class Peer:
    """An instance that sent a summary.

    Attributes:
      name: Name of the instance.
      address: IP address.
      data_centre: Data centre of the instance.
      heard_at: When its last summary was received.
    """

    name: str
    address: str
    data_centre: str
    heard_at: float


class KnownPeers:
    """The other instances that recently sent summaries to this one.

    Attributes:
      datagrams: Datagram endpoint; None before it is open.
    """

    __slots__ = ("_peers", "_port", "datagrams")

    def __init__(self, port: int) -> None:
        """Creates an empty list.

        Args:
          port: Port of the datagrams, the same on all instances.
        """
        self.datagrams: datagrams.Datagrams | None = None
        self._port = port
        self._peers: dict[str, Peer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    def summary_received(
        self, name: str, address: str, data_centre: str, now: float
    ) -> None:
        """Records that a summary of an instance was received."""
        self._peers[name] = Peer(name, address, data_centre, now)

    def expire(self, before: float) -> None:
        """Removes the instances whose last summary came before a time."""
        self._peers = {
            name: peer
            for name, peer in self._peers.items()
            if peer.heard_at >= before
        }

    def peers(self) -> list[Peer]:
        """Returns the instances, sorted by name."""
        return [peer for _, peer in sorted(self._peers.items())]

    def by_data_centre(self) -> dict[str, list[Peer]]:
        """Returns the instances of each data centre, sorted by name."""
        found: dict[str, list[Peer]] = {}
        for peer in self.peers():
            found.setdefault(peer.data_centre, []).append(peer)
        return found

    def send(self, message: summaries.Message, address: str) -> None:
        """Sends a message to one instance."""
        if self.datagrams is not None:
            self.datagrams.send(
                wirerevisions.encode(message), (address, self._port)
            )

    def send_all(
        self,
        message: summaries.Message,
        selects: Callable[[Peer], bool] = lambda peer: True,
    ) -> None:
        """Sends a message to all instances, or to those that a filter selects.

        Args:
          message: The message.
          selects: Returns whether an instance is to receive the message.
        """
        if self.datagrams is None:
            return
        data = wirerevisions.encode(message)
        for peer in self._peers.values():
            if selects(peer):
                self.datagrams.send(data, (peer.address, self._port))
