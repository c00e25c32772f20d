"""An instance's copy of the store's keys, and what it may pass on of it.

The copy only moves forward. Changes arrive from several sources, in any order
and more than once: from the store, from the coordinator and from other
instances. If the store comes back from an older copy, a full read of the new
era replaces the copy; see `storeera`.
"""

import abc
import dataclasses
from collections.abc import Iterable

from carobsail import errors, keyvalue, storeera

# Removed keys that are remembered (tombstones). In a fleet of 12,000 engines
# targets and instances leave some 10 times a minute.
MAX_REMOVED = 2048


@dataclasses.dataclass(slots=True, frozen=True)
class CopyChanges:
    """What changed in a copy after a revision.

    Attributes:
      revision: Revision up to which nothing is missing.
      age_s: Seconds since the store was known to be at that revision.
      is_full: Whether the values are the whole copy; keys that are not among
        them were removed.
      values: Values that changed.
      removed: Keys that were removed, with the revision of their removal.
    """

    revision: int
    age_s: float
    is_full: bool
    values: tuple[keyvalue.KeyValue, ...]
    removed: tuple[tuple[str, int], ...] = ()


class PeerReader(abc.ABC):
    """Reads the copies of other instances, by `host:port`."""

    @abc.abstractmethod
    async def read_value(
        self, address: str, key: str, revision: int
    ) -> keyvalue.KeyValue | None | errors.Failure:
        """Reads a value; None if the instance has none that is new enough.

        Args:
          address: `host:port` of the instance.
          key: Key of the value.
          revision: Revision that the value must have at least.
        """

    @abc.abstractmethod
    async def read_changes(
        self, address: str, after: int, wait_s: float
    ) -> CopyChanges | errors.Failure:
        """Reads what changed after a revision; the whole copy after 0.

        Args:
          address: `host:port` of the instance.
          after: Revision up to which nothing is missing here.
          wait_s: Longest time in seconds to wait for something new.
        """


def put_events(
    values: Iterable[keyvalue.KeyValue],
) -> list[keyvalue.WatchEvent]:
    """Returns the put events that correspond to values."""
    return [keyvalue.WatchEvent(v.key, v.value, v.mod_revision) for v in values]


class StoreCopy:
    """Values by key, with the revision of each.

    Attributes:
      revision: Revision up to which changes are known, apart from expected
        values that have not been read yet; 0 before the first full read.
    """

    __slots__ = ("_missing", "_removed", "_removals_known_after", "_values",
                 "revision")  # fmt: skip

    def __init__(self) -> None:
        """Creates an empty copy."""
        self.revision = 0
        self._values: dict[str, keyvalue.KeyValue] = {}
        # Revisions of removals by key, the oldest first. A put that was read
        # before the removal may arrive after it.
        self._removed: dict[str, int] = {}
        # Removals up to this revision may be unknown; all later ones are known.
        self._removals_known_after = 0
        # Revisions of values that were announced and have not been read yet.
        self._missing: dict[str, list[int]] = {}

    @property
    def complete_revision(self) -> int:
        """Revision up to which nothing is missing."""
        first = min((min(r) for r in self._missing.values()), default=None)
        return self.revision if first is None else min(self.revision, first - 1)

    def value(self, key: str) -> keyvalue.KeyValue | None:
        """Returns the value of a key."""
        return self._values.get(key)

    def values(self) -> list[keyvalue.KeyValue]:
        """Returns all values."""
        return list(self._values.values())

    def expect_value(self, key: str, revision: int) -> None:
        """Records that a value was announced and still has to be read."""
        if self.is_missing(key, revision):
            self._missing.setdefault(key, []).append(revision)

    def drop_expected(self, key: str, revision: int) -> None:
        """Records that values up to a revision need not be read any more."""
        remaining = [r for r in self._missing.get(key, ()) if r > revision]
        if remaining:
            self._missing[key] = remaining
        else:
            self._missing.pop(key, None)

    def is_missing(self, key: str, revision: int) -> bool:
        """Whether neither this revision of a key nor a newer one is known."""
        current = self._values.get(key)
        if current is not None and current.mod_revision >= revision:
            return False
        return self._removed.get(key, 0) < revision

    def knows_removals_since(self, revision: int) -> bool:
        """Whether all removals after a revision are known.

        A full read does not show keys that were added and removed before it.
        """
        return self._removals_known_after <= revision

    def is_of_era(self, revision: int) -> bool:
        """Whether a revision is of the copy's era; any is before a read."""
        return not self.revision or (
            storeera.era_of(revision) == storeera.era_of(self.revision)
        )

    def apply(
        self, events: list[keyvalue.WatchEvent], revision: int
    ) -> list[keyvalue.WatchEvent]:
        """Applies changes; returns those that were not known, in order.

        Changes of another era than that of the copy are ignored: those of an
        earlier one may be lost, and those of a later one do not complete a copy
        of keys that may be lost.

        Args:
          events: Changes, in any order.
          revision: Revision up to which the copy is complete with them; 0 if
            they do not complete it.
        """
        self.revision = max(self.revision, revision)
        new_changes = []
        for event in sorted(events, key=lambda e: e.mod_revision):
            if not self.is_of_era(event.mod_revision):
                continue
            current = self._values.get(event.key)
            newest = current.mod_revision if current else 0
            if event.mod_revision <= max(
                newest, self._removed.get(event.key, 0)
            ):
                continue
            self.drop_expected(event.key, event.mod_revision)
            if event.value is None:
                self._record_removal(event.key, event.mod_revision)
                if current is None:
                    continue
                del self._values[event.key]
            else:
                self._removed.pop(event.key, None)
                self._values[event.key] = keyvalue.KeyValue(
                    event.key, event.value, event.mod_revision
                )
            new_changes.append(event)
        return new_changes

    def _record_removal(self, key: str, revision: int) -> None:
        self._removed.pop(key, None)
        self._removed[key] = revision
        while len(self._removed) > MAX_REMOVED:
            oldest = next(iter(self._removed))
            self._removals_known_after = max(
                self._removals_known_after, self._removed.pop(oldest)
            )

    def apply_listing(
        self, listing: keyvalue.RangeResult
    ) -> list[keyvalue.WatchEvent]:
        """Applies a full read of the store, which shows removals as well.

        Returns:
          The changes that were not known, in order.
        """
        names = {value.key for value in listing.values}
        events = [
            keyvalue.WatchEvent(key, None, listing.revision)
            for key in self._values
            if key not in names
        ]
        events += put_events(listing.values)
        new_changes = self.apply(events, listing.revision)
        self.mark_removals_unknown(listing.revision)
        for key in list(self._missing):
            self.drop_expected(key, listing.revision)
        return new_changes

    def mark_removals_unknown(self, revision: int) -> None:
        """Records that removals up to a revision may be unknown.

        This is so if a full read is among the changes up to the revision: it
        does not show keys that were added and removed since the change before
        it. An instance that has such a key must not take this copy's changes
        for complete.
        """
        self._removals_known_after = max(self._removals_known_after, revision)

    def merge(self, changes: CopyChanges) -> list[keyvalue.WatchEvent]:
        """Applies another copy's changes; returns the new ones, in order.

        A full copy that is older than this one is ignored: it could only
        remove newer keys.
        """
        if changes.is_full:
            if changes.revision < self.revision:
                return []
            listing = keyvalue.RangeResult(changes.revision, changes.values)
            return self.apply_listing(listing)
        if not self.is_of_era(changes.revision):
            return []
        removals = [
            keyvalue.WatchEvent(key, None, revision)
            for key, revision in changes.removed
        ]
        return self.apply(
            [*put_events(changes.values), *removals], changes.revision
        )

    def changes_after(self, revision: int, age_s: float) -> CopyChanges:
        """Returns what another instance's copy lacks.

        Args:
          revision: Revision up to which that instance's copy is complete.
          age_s: Age of this copy in seconds.
        """
        is_full = not self.knows_removals_since(revision)
        return CopyChanges(
            self.complete_revision,
            age_s,
            is_full,
            tuple(
                v
                for v in self._values.values()
                if is_full or v.mod_revision > revision
            ),
            ()
            if is_full
            else tuple(
                row for row in self._removed.items() if row[1] > revision
            ),
        )
