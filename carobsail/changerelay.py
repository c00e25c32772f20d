"""Passes changes of the store on to the other instances."""

import asyncio

from carobsail import deputies, keyvalue, members, storemirror, summaries

# Who the deputies are is told again after this time; followers follow the
# relay for 1.8 s without hearing from it.
TELL_DEPUTIES_S = 1.0
# Keeps a message in one datagram; a longer value is read from an instance.
MAX_CHANGE_BYTES = 1200


class ChangeRelay:
    """Sends changes of the store as the order giver."""

    __slots__ = (
        "_address",
        "_data_centre",
        "_deputies_told_at",
        "_members",
        "_operator_port",
    )

    def __init__(
        self,
        address: str,
        data_centre: str,
        operator_port: int,
        known: members.Members,
    ) -> None:
        """Creates a relay.

        Args:
          address: IP address of this instance.
          data_centre: Its data centre.
          operator_port: Port of operators and peers, the same on all.
          known: The other instances.
        """
        self._address = address
        self._data_centre = data_centre
        self._operator_port = operator_port
        self._members = known
        self._deputies_told_at = float("-inf")

    def send(
        self,
        fence: int,
        changes: storemirror.Changes,
        before: int,
        after: int,
        complete: bool = True,
    ) -> None:
        """Tells all instances what changed in the store.

        Args:
          fence: Fencing number of the order giver.
          changes: The changes that are news to others.
          before: Revision before them.
          after: Revision up to which this instance's copy is complete.
          complete: Whether nothing that came and went in between is left out.
        """
        rows = [_row(change) for change in changes]
        messages = _split(rows, in_revisions=complete) or [[]]
        if complete:
            for told in messages[:-1]:
                # A receiver takes a revision for complete after one message.
                self._send(fence, told, before, told[-1].revision)
                before = told[-1].revision
            if messages[-1] or after > before:
                self._send(fence, messages[-1], before, after)
            return
        # The removals of a full reading have its revision, whenever they were:
        # only all messages together complete a copy.
        for part, told in enumerate(messages):
            self._send(fence, told, before, after, len(messages), part)

    def _send(
        self,
        fence: int,
        rows: list[summaries.Change],
        before: int,
        after: int,
        parts: int = 0,
        part: int = 0,
    ) -> None:
        """Sends changes; one instance of each data centre asks the store."""
        now = asyncio.get_running_loop().time()
        tell_deputies = now - self._deputies_told_at >= TELL_DEPUTIES_S
        if tell_deputies:
            self._deputies_told_at = now
        for place, peers in self._members.by_data_centre().items():
            first = "" if place == self._data_centre else peers[0].address
            source = self._port_of(first or self._address)
            for peer in peers:
                message = summaries.StoreChanges(
                    fence=fence,
                    before=before,
                    after=after,
                    changes=rows,
                    source="" if peer.address == first else source,
                    deputies=[
                        self._port_of(p.address)
                        for p in peers[: deputies.COUNT]
                        if p is not peer
                    ]
                    if tell_deputies
                    else None,
                    leads=peer in peers[: deputies.COUNT],
                    parts=parts,
                    part=part,
                )
                self._members.send(message, peer.address)

    def deputies(self) -> list[str]:
        """Returns whom this instance asks if it is cut off from the store."""
        near_first = sorted(
            self._members.peers(),
            key=lambda p: p.data_centre != self._data_centre,
        )
        return [self._port_of(p.address) for p in near_first[: deputies.COUNT]]

    def _port_of(self, address: str) -> str:
        return f"{address}:{self._operator_port}"


def _row(change: keyvalue.WatchEvent) -> summaries.Change:
    omitted = len(change.value or b"") > MAX_CHANGE_BYTES
    value = None if omitted else change.value
    return summaries.Change(change.key, value, change.mod_revision, omitted)


def _split(
    rows: list[summaries.Change], in_revisions: bool
) -> list[list[summaries.Change]]:
    """Splits changes into messages.

    Args:
      rows: The changes.
      in_revisions: Whether changes of one revision stay in one message.
    """
    messages: list[list[summaries.Change]] = []
    size = 0
    for row in rows:
        length = len(row.key) + len(row.value or b"")
        ended = bool(messages) and not (
            in_revisions and messages[-1][-1].revision == row.revision
        )
        if not messages or (ended and size + length > MAX_CHANGE_BYTES):
            messages.append([])
            size = 0
        messages[-1].append(row)
        size += length
    return messages
