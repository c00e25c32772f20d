"""Fan-out of the configuration inside a data centre.

`Relay` is the leader's side and `ConfigurationState` the receiver's side. A
revision is one of the key-value service; the state at a revision is the
content of the prefix at that revision, whoever reads it.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

import msgspec

from carobsail import errors, keyvalue, messages
from carobsail.membership import Process

PREFIX = "/carobsail/config/"
# At most ten messages a second to each process, however many changes come.
MESSAGE_INTERVAL_S = 0.1
RESEND_AFTER_S = 3.0
APPLIED_INTERVAL_S = 1.0
# Changed keys remembered for Delta messages; older receivers get a Snapshot.
REMEMBERED_CHANGES = 4096


class ConfigurationState:
    """The configuration at one process; its revision only increases.

    Attributes:
      revision: Revision applied; 0 before the first one.
      documents: Documents by key.
      fresh: Whether the leader has confirmed the revision since the start or
        the last `expire`; a process that is not fresh is not ready.
    """

    __slots__ = ("documents", "fresh", "revision")

    def __init__(self) -> None:
        self.revision = 0
        self.documents: dict[str, bytes] = {}
        self.fresh = False

    def receive(
        self, message: messages.Snapshot | messages.Delta
    ) -> messages.Applied | messages.Resync | None:
        """Applies a message unless it is outdated.

        Returns:
          The message to answer with, or None when `message` was outdated.
        """
        if message.revision < self.revision:
            return None
        if isinstance(message, messages.Delta):
            if message.previous > self.revision:
                return self.resync()
        if message.revision > self.revision:
            self._apply(message)
        self.fresh = True
        return messages.Applied(self.revision)

    def _apply(self, message: messages.Snapshot | messages.Delta) -> None:
        if isinstance(message, messages.Snapshot):
            self.documents = dict(message.documents)
        else:
            # Holds for any state between `previous` and `revision`.
            for key, document in message.documents.items():
                if document is None:
                    self.documents.pop(key, None)
                else:
                    self.documents[key] = document
        self.revision = message.revision

    def expire(self) -> messages.Resync:
        """Requires a confirmation, for example after a grant ran out."""
        self.fresh = False
        return self.resync()

    def resync(self) -> messages.Resync:
        """Returns the request for what changed since the own revision."""
        return messages.Resync(self.revision)

    def snapshot(self) -> messages.Snapshot:
        """Returns the whole state, for a leader that is behind."""
        return messages.Snapshot(self.revision, dict(self.documents))


@dataclasses.dataclass(slots=True)
class _Receiver:
    applied: int = 0
    sent: int = -1
    sent_at: float = float("-inf")
    asked: bool = False


class Relay:
    """The leader's view of the configuration and of its receivers.

    Attributes:
      revision: Latest revision read.
      documents: Documents by key.
    """

    __slots__ = ("_changes", "_floor", "_receivers", "documents", "revision")

    def __init__(self, state: ConfigurationState) -> None:
        """Starts from what the process has applied before it led."""
        self.revision = state.revision
        self.documents = dict(state.documents)
        # Revision of the last change by key, oldest first, deletions too.
        self._changes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # All changes after this revision are remembered.
        self._floor = state.revision
        self._receivers: dict[Process, _Receiver] = {}

    def load(self, revision: int, documents: Mapping[str, bytes]) -> None:
        """Takes over the content read at a revision."""
        if revision < self.revision:
            return
        if self.revision == 0:
            # Deletions before this read are unknown.
            self._floor = revision
        changed = [
            key
            for key in self.documents.keys() | documents.keys()
            if self.documents.get(key) != documents.get(key)
        ]
        self.documents = dict(documents)
        for key in changed:
            self._remember(key, revision)
        self.revision = revision

    def record(self, events: Iterable[keyvalue.WatchEvent]) -> None:
        """Takes over changes under the prefix."""
        for event in events:
            if event.mod_revision <= self.revision and (
                self._changes.get(event.key, self._floor) >= event.mod_revision
            ):
                continue
            if event.value is None:
                self.documents.pop(event.key, None)
            else:
                self.documents[event.key] = event.value
            self._remember(event.key, event.mod_revision)
            self.revision = max(self.revision, event.mod_revision)

    def _remember(self, key: str, revision: int) -> None:
        self._changes[key] = revision
        self._changes.move_to_end(key)
        while len(self._changes) > REMEMBERED_CHANGES:
            _, self._floor = self._changes.popitem(last=False)

    def heard(self, process: Process, revision: int) -> None:
        """Records the revision that a process reports as applied."""
        receiver = self._receivers.setdefault(process, _Receiver())
        if receiver.sent < 0 or revision < receiver.applied:
            # New, or restarted since: what was sent before is lost.
            receiver.sent = revision
            receiver.asked = revision < self.revision
        receiver.applied = revision

    def resync(self, process: Process, revision: int) -> None:
        """Answers the request of a process that is at `revision`."""
        receiver = self._receivers.setdefault(process, _Receiver())
        receiver.sent = revision
        receiver.applied = revision
        receiver.asked = True

    def forget(self, process: Process) -> None:
        """Drops a process whose link has ended."""
        self._receivers.pop(process, None)

    def due(
        self, process: Process, now: float
    ) -> messages.Snapshot | messages.Delta | None:
        """Returns the message that the process needs now, if any.

        The caller calls `sent` once the message is queued.

        Args:
          process: A process with a link.
          now: Loop time in seconds.
        """
        receiver = self._receivers.get(process)
        if receiver is None or self.revision == 0:
            return None
        waited_s = now - receiver.sent_at
        if waited_s < MESSAGE_INTERVAL_S:
            return None
        known = receiver.sent
        if receiver.applied < known and waited_s > RESEND_AFTER_S:
            known = receiver.applied
        if known >= self.revision and not receiver.asked:
            return None
        if known > self.revision:
            return None
        if known < self._floor:
            return messages.Snapshot(self.revision, dict(self.documents))
        return messages.Delta(known, self.revision, self._since(known))

    def _since(self, revision: int) -> dict[str, bytes | None]:
        documents: dict[str, bytes | None] = {}
        for key in reversed(self._changes):
            if self._changes[key] <= revision:
                break
            documents[key] = self.documents.get(key)
        return documents

    def sent(self, process: Process, now: float) -> None:
        """Records that the message returned by `due` was queued."""
        receiver = self._receivers[process]
        receiver.sent = self.revision
        receiver.sent_at = now
        receiver.asked = False

    def confirmed(self, required: Iterable[Process]) -> int:
        """Returns the revision that all required processes have applied."""
        revision = self.revision
        for process in required:
            receiver = self._receivers.get(process)
            revision = min(revision, receiver.applied if receiver else 0)
        return revision


class AppliedRecord(msgspec.Struct, frozen=True):
    """Value of the key `applied` of a data centre."""

    revision: int


class AppliedWriter:
    """Writes the confirmed revision of a data centre; it only increases."""

    __slots__ = ("_key", "_key_value", "_written", "_written_at")

    def __init__(
        self, data_centre: str, key_value: keyvalue.KeyValueClient
    ) -> None:
        self._key = f"/carobsail/dc/{data_centre}/applied"
        self._key_value = key_value
        # Unknown until `load`, and nothing is written before.
        self._written: int | None = None
        self._written_at = float("-inf")

    async def load(self) -> None | errors.Failure:
        """Reads the stored revision, below which nothing is written."""
        result = await self._key_value.range(self._key)
        if isinstance(result, errors.Failure):
            return result
        self._written = 0
        for found in result.values:
            if found.key == self._key:
                record = msgspec.json.decode(found.value, type=AppliedRecord)
                self._written = record.revision
        return None

    async def publish(
        self, revision: int, leader: keyvalue.Compare, now: float
    ) -> None | errors.Failure:
        """Writes a revision if it is new and the last write is 1 s old.

        Args:
          revision: Revision confirmed by all required processes.
          leader: Compare of the leader key, which fences a deposed leader.
          now: Loop time in seconds.

        Returns:
          None, or why it was not written; the next call writes it again.
        """
        if self._written is None or revision <= self._written:
            return None
        if now - self._written_at < APPLIED_INTERVAL_S:
            return None
        self._written_at = now
        value = msgspec.json.encode(AppliedRecord(revision))
        result = await self._key_value.transact(
            [leader], [keyvalue.Put(self._key, value)]
        )
        if isinstance(result, errors.Failure):
            return result
        if not result.succeeded:
            return errors.Failure(
                errors.Reason.NOT_LEADER, errors.Step.CONFIGURE, self._key
            )
        self._written = revision
        return None
