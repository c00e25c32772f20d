"""Targets that have left, remembered for when the store forgets it.

The store may come back from an older copy, with the entries of targets that
have left since. A departure that was known before holds on in the new era:

* A target that said it was leaving stays so in the incarnation concerned, which
  its start time names.
* Any other entry that comes back after its removal was known, or that states no
  start time, is withheld until it is written anew in the new era, or for
  `MAX_WITHHELD_S`. What is written after the first listing of the era has a
  higher revision than it; up to there, old and new entries look alike.

The limit is needed because the coordinator relays no heartbeats of targets that
it does not withhold itself: an instance that follows it would wait in vain for
a target to write its entry. Relaying the first heartbeat of every target would
need no limit, but double what is sent after each break. An entry that is still
listed at the limit has been renewed, so its target is alive. While this
instance gets no changes at all, that is unknown, and nothing is released.
"""

import collections
import dataclasses
import logging

from carobsail import storeera, telemetry
from carobsail.targetentry import TargetEntry

# The store removes an entry after three heartbeat intervals without one. An
# interval is 1.2 s on all deployments.
ENTRY_LAPSE_S = 3.6
# Within this time, instances must know what the store has acknowledged.
CHANGE_KNOWN_S = 2.5
# Longest time for which entries are withheld, from when this instance learns of
# the new era: by then it knows of all entries that nobody has renewed.
MAX_WITHHELD_S = ENTRY_LAPSE_S + CHANGE_KNOWN_S
# Limit of the departures that are remembered. In a fleet of 12,000 engines some
# 10 a minute leave, and the store goes back by seconds.
MAX_DEPARTURES = 4096

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Departure:
    """The end of an incarnation of a target.

    Attributes:
      revision: Revision at which the target said first that it is leaving, or
        else that of the last removal of its entry.
      said_leaving: Whether its entry said so.
      logged_era: Last era for which it is logged that it has not come back.
    """

    revision: int
    said_leaving: bool
    logged_era: int = 0


class DepartedTargets:
    """Departures by incarnation, and the entries that are withheld.

    Attributes:
      withheld_until: When withheld entries may be used; minus infinity before
        the first break.
    """

    __slots__ = ("_departures", "_era", "_first_listing", "_withheld",
                 "withheld_until")  # fmt: skip

    def __init__(self) -> None:
        self.withheld_until = float("-inf")
        # By identity and start time, the oldest in front.
        self._departures: collections.OrderedDict[
            tuple[str, int], _Departure
        ] = collections.OrderedDict()
        # Entries as they were written, by identity.
        self._withheld: dict[str, TargetEntry] = {}
        self._era: int | None = None
        # Revision of the first listing of the era; None before it.
        self._first_listing: int | None = None

    def learn_era(self, newest: int, listed: int, now: float) -> bool:
        """Takes note of the era of changes before they are applied.

        Args:
          newest: Highest revision among the changes.
          listed: Revision up to which all changes are known with them.
          now: Time of the event loop's clock in seconds.

        Returns:
          Whether the store has come back from an older copy.
        """
        era = storeera.era_of(max(newest, listed))
        went_back = self._era is not None and era > self._era
        if self._era is None or went_back:
            self._era = era
            self._first_listing = None
        if went_back:
            self.withheld_until = now + MAX_WITHHELD_S
        if self._first_listing is None and storeera.era_of(listed) == self._era:
            self._first_listing = listed
        return went_back

    def names_earlier_process(
        self, entry: TargetEntry, known: TargetEntry
    ) -> bool:
        """Whether an older copy's entry is from before a known restart.

        Args:
          entry: The entry that was read.
          known: The known entry of this target.
        """
        if (
            entry.start_time_ms == known.start_time_ms
            or storeera.era_of(entry.revision)
            <= storeera.era_of(known.revision)
            or self._is_written_anew(entry)
        ):
            return False
        incarnation = (entry.identity, entry.start_time_ms)
        return (
            0 < entry.start_time_ms < known.start_time_ms
            or incarnation in self._departures
        )

    def _is_written_anew(self, entry: TargetEntry) -> bool:
        """Whether an entry was certainly written in the present era."""
        return (
            self._first_listing is not None
            and entry.revision > self._first_listing
        )

    def record_removal(self, entry: TargetEntry, revision: int) -> None:
        """Records that a target has left, or is replaced by a new process.

        Args:
          entry: Its last entry.
          revision: Revision of the removal or of the new entry.
        """
        self._withheld.pop(entry.identity, None)
        self._record(entry, revision, said_leaving=False)

    def _record(
        self, entry: TargetEntry, revision: int, said_leaving: bool
    ) -> None:
        incarnation = (entry.identity, entry.start_time_ms)
        before = self._departures.pop(incarnation, None)
        if before is None or not before.said_leaving:
            before = _Departure(revision, said_leaving)
        self._departures[incarnation] = before
        if len(self._departures) > MAX_DEPARTURES:
            self._departures.popitem(last=False)

    def forget(self, entry: TargetEntry) -> None:
        """Forgets the departure of a target that is alive after all."""
        self._departures.pop((entry.identity, entry.start_time_ms), None)

    def judge(self, entry: TargetEntry, now: float) -> TargetEntry:
        """Returns an entry as it is to be used.

        Args:
          entry: The entry as it was written.
          now: Time of the event loop's clock in seconds.

        Returns:
          The entry, or one that says that the target is leaving.
        """
        self._withheld.pop(entry.identity, None)
        if entry.leaving:
            self._record(entry, entry.revision, said_leaving=True)
            return entry
        incarnation = (entry.identity, entry.start_time_ms)
        departure = self._departures.get(incarnation)
        if departure is None:
            return entry
        if storeera.era_of(entry.revision) <= storeera.era_of(
            departure.revision
        ):
            # The store has lost nothing since, so the newer word holds.
            if entry.revision > departure.revision:
                self.forget(entry)
            return entry
        for_good = departure.said_leaving and entry.start_time_ms > 0
        if not for_good:
            if now >= self.withheld_until or self._is_written_anew(entry):
                self.forget(entry)
                self._log_decision("target_released", entry, departure)
                return entry
            self._withheld[entry.identity] = entry
        if departure.logged_era != self._era:
            departure.logged_era = self._era or 0
            self._log_decision("target_withheld", entry, departure)
        return dataclasses.replace(entry, leaving=True)

    def release(self, now: float) -> list[TargetEntry]:
        """Returns the entries to be used from now on; see `withheld_until`."""
        if now < self.withheld_until:
            return []
        released = list(self._withheld.values())
        self._withheld.clear()
        for entry in released:
            incarnation = (entry.identity, entry.start_time_ms)
            departure = self._departures.pop(incarnation, None)
            self._log_decision("target_released", entry, departure)
        return released

    def _log_decision(
        self, event: str, entry: TargetEntry, departure: _Departure | None
    ) -> None:
        telemetry.log(
            _log,
            event,
            target=entry.identity,
            start_time_ms=entry.start_time_ms,
            revision=storeera.describe(entry.revision),
            era=self._era,
            first_listing=storeera.describe(self._first_listing or 0),
            departed_revision=storeera.describe(
                departure.revision if departure else 0
            ),
            said_leaving=departure is not None and departure.said_leaving,
        )

    def log_kept(self, entry: TargetEntry, revision: int) -> None:
        """Logs that a target whose entry is missing is still used.

        Args:
          entry: Its last entry.
          revision: Revision at which its entry is missing.
        """
        if storeera.era_of(revision) > storeera.era_of(entry.revision):
            telemetry.log(
                _log,
                "target_kept",
                target=entry.identity,
                start_time_ms=entry.start_time_ms,
                revision=storeera.describe(entry.revision),
                missing_revision=storeera.describe(revision),
                era=self._era,
            )
