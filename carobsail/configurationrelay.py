"""Distributes the configuration to the processes of a data centre.

`ConfigurationRelay` is the side of the leader, `ConfigurationState` that of a
receiver. Revisions are those of the key-value service: the configuration at a
revision is what is stored under the prefix at that revision, the same for every
reader.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

import msgspec

from carobsail import errors, keyvalue, messages
from carobsail.membership import Process

CONFIGURATION_PREFIX = "/carobsail/config/"
# Each process gets at most ten messages per second, however many changes there
# are.
MESSAGE_INTERVAL_S = 0.1
RESEND_AFTER_S = 3.0
APPLIED_INTERVAL_S = 1.0
# Number of changed keys kept for Delta messages; a receiver that needs older
# changes gets a Snapshot.
MAX_RECORDED_CHANGES = 4096


class ConfigurationState:
    """The configuration of one process; its revision never decreases.

    Attributes:
      revision: Applied revision; 0 before the first one.
      documents: Documents by key.
      confirmed: Whether the leader has confirmed the configuration since the
        start or the last `require_confirmation`; a process without that
        confirmation is not ready.
    """

    __slots__ = ("confirmed", "documents", "revision")

    def __init__(self) -> None:
        self.revision = 0
        self.documents: dict[str, bytes] = {}
        self.confirmed = False

    def receive(
        self, message: messages.Snapshot | messages.Delta
    ) -> messages.Applied | messages.Resync | None:
        """Applies a message unless it is outdated.

        Returns:
          The message to reply with, or None if `message` was outdated.
        """
        if message.revision < self.revision:
            return None
        if isinstance(message, messages.Delta):
            if message.previous > self.revision:
                return self.resync()
        if message.revision > self.revision:
            self._apply(message)
        self.confirmed = True
        return messages.Applied(self.revision)

    def _apply(self, message: messages.Snapshot | messages.Delta) -> None:
        if isinstance(message, messages.Snapshot):
            self.documents = dict(message.documents)
        else:
            # Correct for any state between `previous` and `revision`.
            for key, document in message.documents.items():
                if document is None:
                    self.documents.pop(key, None)
                else:
                    self.documents[key] = document
        self.revision = message.revision

    def require_confirmation(self) -> messages.Resync:
        """Requires a new confirmation, for example after a grant expired.

        Returns:
          The message that asks for it.
        """
        self.confirmed = False
        return self.resync()

    def resync(self) -> messages.Resync:
        """Returns a request for the changes since the applied revision."""
        return messages.Resync(self.revision)

    def snapshot(self) -> messages.Snapshot:
        """Returns the whole state, for a leader that is behind."""
        return messages.Snapshot(self.revision, dict(self.documents))


@dataclasses.dataclass(slots=True)
class _Receiver:
    applied: int = 0
    sent: int = -1
    sent_at: float = float("-inf")
    resync_requested: bool = False


class ConfigurationRelay:
    """The leader's copy of the configuration, and the state of its receivers.

    Attributes:
      revision: Latest revision read.
      documents: Documents by key.
    """

    __slots__ = (
        "_changes",
        "_history_start",
        "_receivers",
        "documents",
        "revision",
    )

    def __init__(self, state: ConfigurationState) -> None:
        """Starts with the configuration applied before the process led."""
        self.revision = state.revision
        self.documents = dict(state.documents)
        # Revision of the last change by key, oldest first, with deletions.
        self._changes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # `_changes` has all keys changed after this revision.
        self._history_start = state.revision
        self._receivers: dict[Process, _Receiver] = {}

    def replace(self, revision: int, documents: Mapping[str, bytes]) -> None:
        """Replaces the configuration by what was read at a revision."""
        if revision < self.revision:
            return
        if self.revision == 0:
            # Deletions before this read are unknown.
            self._history_start = revision
        changed = [
            key
            for key in self.documents.keys() | documents.keys()
            if self.documents.get(key) != documents.get(key)
        ]
        self.documents = dict(documents)
        for key in changed:
            self._record_change(key, revision)
        self.revision = revision

    def apply_events(self, events: Iterable[keyvalue.WatchEvent]) -> None:
        """Applies watch events of keys under the prefix."""
        for event in events:
            if event.mod_revision <= self.revision and (
                self._changes.get(event.key, self._history_start)
                >= event.mod_revision
            ):
                continue
            if event.value is None:
                self.documents.pop(event.key, None)
            else:
                self.documents[event.key] = event.value
            self._record_change(event.key, event.mod_revision)
            self.revision = max(self.revision, event.mod_revision)

    def _record_change(self, key: str, revision: int) -> None:
        self._changes[key] = revision
        self._changes.move_to_end(key)
        while len(self._changes) > MAX_RECORDED_CHANGES:
            _, self._history_start = self._changes.popitem(last=False)

    def record_applied(self, process: Process, revision: int) -> None:
        """Records the revision that a process reports as applied."""
        receiver = self._receivers.setdefault(process, _Receiver())
        if receiver.sent < 0 or revision < receiver.applied:
            # New or restarted: what was sent before is lost.
            receiver.sent = revision
            receiver.resync_requested = revision < self.revision
        receiver.applied = revision

    def resync(self, process: Process, revision: int) -> None:
        """Handles a resync request of a process that is at `revision`."""
        receiver = self._receivers.setdefault(process, _Receiver())
        receiver.sent = revision
        receiver.applied = revision
        receiver.resync_requested = True

    def remove_receiver(self, process: Process) -> None:
        """Removes a process whose link has closed."""
        self._receivers.pop(process, None)

    def next_message(
        self, process: Process, now: float
    ) -> messages.Snapshot | messages.Delta | None:
        """Returns the message to send to a process now, if any.

        Once the message is queued, `mark_sent` has to be called.

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
        base = receiver.sent
        if receiver.applied < base and waited_s > RESEND_AFTER_S:
            base = receiver.applied
        if base >= self.revision and not receiver.resync_requested:
            return None
        if base > self.revision:
            return None
        if base < self._history_start:
            return messages.Snapshot(self.revision, dict(self.documents))
        return messages.Delta(base, self.revision, self._changes_since(base))

    def _changes_since(self, revision: int) -> dict[str, bytes | None]:
        documents: dict[str, bytes | None] = {}
        for key in reversed(self._changes):
            if self._changes[key] <= revision:
                break
            documents[key] = self.documents.get(key)
        return documents

    def mark_sent(self, process: Process, now: float) -> None:
        """Records that the message of `next_message` was queued."""
        receiver = self._receivers[process]
        receiver.sent = self.revision
        receiver.sent_at = now
        receiver.resync_requested = False

    def confirmed_revision(self, required: Iterable[Process]) -> int:
        """Returns the highest revision applied by all required processes."""
        revision = self.revision
        for process in required:
            receiver = self._receivers.get(process)
            revision = min(revision, receiver.applied if receiver else 0)
        return revision


class AppliedRecord(msgspec.Struct, frozen=True):
    """Stored value of the key `applied` of a data centre."""

    revision: int


class AppliedWriter:
    """Stores the confirmed revision of a data centre; it never decreases."""

    __slots__ = ("_key", "_key_value", "_written", "_written_at")

    def __init__(
        self, data_centre: str, key_value: keyvalue.KeyValueClient
    ) -> None:
        self._key = f"/carobsail/dc/{data_centre}/applied"
        self._key_value = key_value
        # None until `load`; nothing is written before that.
        self._written: int | None = None
        self._written_at = float("-inf")

    async def load(self) -> None | errors.Failure:
        """Reads the stored revision; no lower one is written."""
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
        """Writes a revision if it is higher and the last write is 1 s ago.

        Args:
          revision: Revision confirmed by all required processes.
          leader: Comparison of the leader key, which fences out a deposed
            leader.
          now: Loop time in seconds.

        Returns:
          None, or the failure of the write; the next call tries again.
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
