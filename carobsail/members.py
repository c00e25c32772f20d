"""The other instances that are known, and messages to them."""

import dataclasses
from collections.abc import Callable

from carobsail import datagrams, summaries


@dataclasses.dataclass(slots=True, frozen=True)
class Peer:
    """An instance that sent a summary.

    Attributes:
      name: Name of the instance.
      address: IP address.
      data_centre: Its data centre.
      heard_at: When its last summary came.
    """

    name: str
    address: str
    data_centre: str
    heard_at: float


class Members:
    """Other instances that sent summaries to this one lately.

    Attributes:
      datagrams: The socket; None before it is open.
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

    def heard(self, name: str, address: str, place: str, now: float) -> None:
        """Notes that an instance lives."""
        self._peers[name] = Peer(name, address, place, now)

    def expire(self, before: float) -> None:
        """Forgets the instances that were last heard before a time."""
        self._peers = {
            name: peer
            for name, peer in self._peers.items()
            if peer.heard_at >= before
        }

    def peers(self) -> list[Peer]:
        """Returns the instances by name."""
        return [peer for _, peer in sorted(self._peers.items())]

    def by_data_centre(self) -> dict[str, list[Peer]]:
        """Returns the instances of each data centre, by name."""
        found: dict[str, list[Peer]] = {}
        for peer in self.peers():
            found.setdefault(peer.data_centre, []).append(peer)
        return found

    def send(self, message: summaries.Message, address: str) -> None:
        """Sends a message to one instance."""
        if self.datagrams is not None:
            self.datagrams.send(
                summaries.encode(message), (address, self._port)
            )

    def send_all(
        self,
        message: summaries.Message,
        concerns: Callable[[Peer], bool] = lambda peer: True,
    ) -> None:
        """Sends a message to all that it concerns."""
        if self.datagrams is None:
            return
        data = summaries.encode(message)
        for peer in self._peers.values():
            if concerns(peer):
                self.datagrams.send(data, (peer.address, self._port))
