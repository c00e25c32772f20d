"""Sends changes of the store from the coordinator to the other instances.

In this role the coordinator is called the relay; see `storemirror`, also for
the deputies.
"""

import asyncio

from carobsail import (
    deputies,
    keyvalue,
    members,
    storeera,
    storemirror,
    summaries,
)

# Messages name the deputies at most this often. It is less than the 1.8 s for
# which instances rely on a relay that they do not hear.
DEPUTY_LIST_INTERVAL_S = 1.0
# Keeps a message within one datagram; a longer value is omitted and read from
# another instance.
MAX_MESSAGE_BYTES = 1200


class ChangeRelay:
    """Sends changes of the store while this instance is the coordinator."""

    __slots__ = (
        "_address",
        "_data_centre",
        "_deputies_sent_at",
        "_known_peers",
        "_operator_port",
    )

    def __init__(
        self,
        address: str,
        data_centre: str,
        operator_port: int,
        peers: members.KnownPeers,
    ) -> None:
        """Creates a relay.

        Args:
          address: IP address of this instance.
          data_centre: Its data centre.
          operator_port: Port for operators and peers, the same on all
            instances.
          peers: The other instances.
        """
        self._address = address
        self._data_centre = data_centre
        self._operator_port = operator_port
        self._known_peers = peers
        self._deputies_sent_at = float("-inf")

    def send(
        self,
        fence: int,
        changes: storemirror.Changes,
        before: int,
        after: int,
        complete: bool = True,
    ) -> bool:
        """Sends changes of the store to all other instances.

        Load pattern: the store has come back in a higher era, in which every
        key has a new revision. As datagrams, the whole store would cross the
        relay's link once for each instance; instances that learn of the new
        revision read the copy of a deputy instead.

        Args:
          fence: Fencing token of the coordinator.
          changes: The changes that matter to other instances.
          before: Revision before them.
          after: Revision up to which this instance's copy is complete.
          complete: Whether all removals between the two revisions are known;
            False after a full read of the store.

        Returns:
          Whether the changes were sent; False if the era of the store has
          risen, and the others have to be told the new revision.
        """
        if before and storeera.era_of(before) < storeera.era_of(after):
            return False
        rows = [_row(change) for change in changes]
        messages = _split(rows, group_by_revision=complete) or [[]]
        if complete:
            for batch in messages[:-1]:
                # A receiver regards a revision as complete after one message.
                self._send(fence, batch, before, batch[-1].revision)
                before = batch[-1].revision
            if messages[-1] or after > before:
                self._send(fence, messages[-1], before, after)
            return True
        # A full read dates all removals to its own revision, so that only all
        # messages together complete a copy.
        for part, batch in enumerate(messages):
            self._send(fence, batch, before, after, len(messages), part)
        return True

    def _send(
        self,
        fence: int,
        rows: list[summaries.KeyChange],
        before: int,
        after: int,
        parts: int = 0,
        part: int = 0,
    ) -> None:
        """Sends one message to all other instances.

        In each other data centre the first instance reads omitted values from
        the store and the others read them from it; in this data centre they
        are read from this instance.
        """
        now = asyncio.get_running_loop().time()
        include_deputies = (
            now - self._deputies_sent_at >= DEPUTY_LIST_INTERVAL_S
        )
        if include_deputies:
            self._deputies_sent_at = now
        for data_centre, peers in self._known_peers.by_data_centre().items():
            first = "" if data_centre == self._data_centre else peers[0].address
            source = self._operator_address(first or self._address)
            for peer in peers:
                message = summaries.StoreChanges(
                    fence=fence,
                    before=before,
                    after=after,
                    changes=rows,
                    source="" if peer.address == first else source,
                    deputies=[
                        self._operator_address(p.address)
                        for p in peers[: deputies.PER_DATA_CENTRE]
                        if p is not peer
                    ]
                    if include_deputies
                    else None,
                    is_deputy=peer in peers[: deputies.PER_DATA_CENTRE],
                    parts=parts,
                    part=part,
                )
                self._known_peers.send(message, peer.address)

    def own_deputies(self) -> list[str]:
        """Returns whom this instance asks when it cannot reach the store."""
        nearest_first = sorted(
            self._known_peers.peers(),
            key=lambda p: p.data_centre != self._data_centre,
        )
        return [
            self._operator_address(p.address)
            for p in nearest_first[: deputies.PER_DATA_CENTRE]
        ]

    def _operator_address(self, address: str) -> str:
        return f"{address}:{self._operator_port}"


def apply(
    message: summaries.StoreChanges, mirror: storemirror.StoreMirror
) -> None:
    """Applies a message of the relay to the mirror of its receiver."""
    mirror.handle_relay_changes(
        [
            storemirror.RelayedChange(
                keyvalue.WatchEvent(c.key, c.value, c.revision), c.omitted
            )
            for c in message.changes
        ],
        message.before,
        message.after,
        message.source,
        message.parts,
        message.part,
    )


def _row(change: keyvalue.WatchEvent) -> summaries.KeyChange:
    omitted = len(change.value or b"") > MAX_MESSAGE_BYTES
    value = None if omitted else change.value
    return summaries.KeyChange(change.key, value, change.mod_revision, omitted)


def _split(
    rows: list[summaries.KeyChange], group_by_revision: bool
) -> list[list[summaries.KeyChange]]:
    """Splits changes into messages.

    Args:
      rows: The changes.
      group_by_revision: Whether changes of one revision stay in one message.
    """
    messages: list[list[summaries.KeyChange]] = []
    size = 0
    for row in rows:
        length = len(row.key) + len(row.value or b"")
        may_split = bool(messages) and not (
            group_by_revision and messages[-1][-1].revision == row.revision
        )
        if not messages or (may_split and size + length > MAX_MESSAGE_BYTES):
            messages.append([])
            size = 0
        messages[-1].append(row)
        size += length
    return messages
