"""What an instance knows of the store, and what it may pass on of it.

The copy only moves forward. Changes come from several places, in any order
and more than once: from the store, from the relay and from other instances.
"""

import abc
import dataclasses
from collections.abc import Iterable

from carobsail import errors, keyvalue

# Removed keys that are remembered. Targets and instances leave some 10 times
# a minute in a fleet of 12,000 engines.
MAX_REMOVED = 2048


@dataclasses.dataclass(slots=True, frozen=True)
class CopyChanges:
    """What changed in a copy after a revision.

    Attributes:
      revision: Revision up to which nothing is missing.
      age_s: Seconds since the store was known to be at that revision.
      whole: Whether the values are all of the copy; keys that are not among
        them are gone.
      values: Values that changed.
      removed: Keys that are gone, with the revision of their removal.
    """

    revision: int
    age_s: float
    whole: bool
    values: tuple[keyvalue.KeyValue, ...]
    removed: tuple[tuple[str, int], ...] = ()


class Peers(abc.ABC):
    """Reads the copies of other instances, by `host:port`."""

    @abc.abstractmethod
    async def read_value(
        self, address: str, key: str, revision: int
    ) -> keyvalue.KeyValue | None | errors.Failure:
        """Reads one value; None if the instance has none of that revision."""

    @abc.abstractmethod
    async def read_changes(
        self, address: str, after: int, wait_s: float
    ) -> CopyChanges | errors.Failure:
        """Reads what changed after a revision; all of the copy after 0.

        Args:
          address: `host:port` of the instance.
          after: Revision up to which nothing is missing here.
          wait_s: Seconds to wait until there is something new.
        """


def puts(values: Iterable[keyvalue.KeyValue]) -> list[keyvalue.WatchEvent]:
    """Returns values as the changes that wrote them."""
    return [keyvalue.WatchEvent(v.key, v.value, v.mod_revision) for v in values]


class StoreCopy:
    """Values by key, with the revision of each.

    Attributes:
      revision: Revision up to which changes were told; 0 before the first
        reading.
    """

    __slots__ = ("_missing", "_removed", "_removed_since", "_values",
                 "revision")  # fmt: skip

    def __init__(self) -> None:
        """Creates an empty copy."""
        self.revision = 0
        self._values: dict[str, keyvalue.KeyValue] = {}
        # Keys that were removed, the oldest first. A put that was read before
        # the removal may come after it.
        self._removed: dict[str, int] = {}
        # Removals up to this revision may be unknown.
        self._removed_since = 0
        # Revisions of values that were told and have not been read yet.
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

    def expect(self, key: str, revision: int) -> None:
        """Notes that a value was told and is still to be read."""
        if self.misses(key, revision):
            self._missing.setdefault(key, []).append(revision)

    def drop_expected(self, key: str, revision: int) -> None:
        """Notes that values up to a revision need not be read any more."""
        left = [r for r in self._missing.get(key, ()) if r > revision]
        if left:
            self._missing[key] = left
        else:
            self._missing.pop(key, None)

    def misses(self, key: str, revision: int) -> bool:
        """Tells whether a value of a revision, or a newer one, is missing."""
        known = self._values.get(key)
        if known is not None and known.mod_revision >= revision:
            return False
        return self._removed.get(key, 0) < revision

    def knows_removals_since(self, revision: int) -> bool:
        """Whether each key that went after a revision was seen to go.

        After a full listing, keys that came and went before it are not known.
        """
        return self._removed_since <= revision

    def apply(
        self, events: list[keyvalue.WatchEvent], revision: int
    ) -> list[keyvalue.WatchEvent]:
        """Takes over changes; returns those that are news, in order.

        Args:
          events: Changes, in any order.
          revision: Revision up to which they complete the copy; 0 if they do
            not.
        """
        self.revision = max(self.revision, revision)
        news = []
        for event in sorted(events, key=lambda e: e.mod_revision):
            known = self._values.get(event.key)
            newest = known.mod_revision if known else 0
            if event.mod_revision <= max(
                newest, self._removed.get(event.key, 0)
            ):
                continue
            self.drop_expected(event.key, event.mod_revision)
            if event.value is None:
                self._remove(event.key, event.mod_revision)
                if known is None:
                    continue
                del self._values[event.key]
            else:
                self._removed.pop(event.key, None)
                self._values[event.key] = keyvalue.KeyValue(
                    event.key, event.value, event.mod_revision
                )
            news.append(event)
        return news

    def _remove(self, key: str, revision: int) -> None:
        self._removed.pop(key, None)
        self._removed[key] = revision
        while len(self._removed) > MAX_REMOVED:
            oldest = next(iter(self._removed))
            self._removed_since = max(
                self._removed_since, self._removed.pop(oldest)
            )

    def take_all(
        self, listed: keyvalue.RangeResult
    ) -> list[keyvalue.WatchEvent]:
        """Takes over a full listing, which shows what is gone as well.

        Returns:
          The news, in order.
        """
        names = {value.key for value in listed.values}
        events = [
            keyvalue.WatchEvent(key, None, listed.revision)
            for key in self._values
            if key not in names
        ]
        events += puts(listed.values)
        news = self.apply(events, listed.revision)
        self.forget_removals(listed.revision)
        for key in list(self._missing):
            self.drop_expected(key, listed.revision)
        return news

    def forget_removals(self, revision: int) -> None:
        """Notes that a full listing is among the changes up to a revision.

        A key that came and went since the change before it was not told. An
        instance that knows such a key must not take this copy's changes for
        all that there were.
        """
        self._removed_since = max(self._removed_since, revision)

    def merge(self, found: CopyChanges) -> list[keyvalue.WatchEvent]:
        """Takes over what another copy has more; returns the news, in order.

        A whole copy that is behind this one could only remove what is newer.
        """
        if found.whole:
            if found.revision < self.revision:
                return []
            listed = keyvalue.RangeResult(found.revision, found.values)
            return self.take_all(listed)
        removals = [
            keyvalue.WatchEvent(key, None, revision)
            for key, revision in found.removed
        ]
        return self.apply([*puts(found.values), *removals], found.revision)

    def changes_after(self, revision: int, age_s: float) -> CopyChanges:
        """Returns what another instance lacks.

        Args:
          revision: Revision up to which that instance's copy is complete.
          age_s: Age of this copy.
        """
        whole = not self.knows_removals_since(revision)
        return CopyChanges(
            self.complete_revision,
            age_s,
            whole,
            tuple(
                v
                for v in self._values.values()
                if whole or v.mod_revision > revision
            ),
            ()
            if whole
            else tuple(
                row for row in self._removed.items() if row[1] > revision
            ),
        )
