"""Revisions that stay in order when the store loses its last changes.

The store may come back from an older copy. What was written since is lost, and
its revisions are given out again. The number of such losses, the era, is part
of each of its responses. The client of the store combines era and revision into
one number, which is in order over all eras, so that the rest of the code
compares, keeps and passes on revisions as if the store had never gone back.
"""

import dataclasses
import logging
from typing import Annotated

import msgspec

from carobsail import telemetry

# The combined number is exact as a JSON number (2^53) up to the highest era,
# and a store with 30,000 changes a second reaches this many in a year.
REVISIONS_PER_ERA = 2**40
MAX_ERA = 2**13 - 1
# How long after a response of the current era those of a lower one are taken
# for late ones. A call ends within 14 s, and a connection on which a response
# is lost is closed.
LATE_RESPONSES_S = 15.0
# Length of a statement that the log shows.
_MAX_LOGGED_CHARACTERS = 40

# Types of an era and of a revision without it, as other processes send them.
Era = Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)]
Revision = Annotated[int, msgspec.Meta(ge=0, lt=REVISIONS_PER_ERA)]

_log = logging.getLogger(__name__)


def combine(era: int, revision: int) -> int:
    """Returns the combined number of a revision; 0 for revision 0."""
    return era * REVISIONS_PER_ERA + revision if revision else 0


def era_of(combined: int) -> int:
    """Returns the era of a combined number."""
    return combined // REVISIONS_PER_ERA


def revision_of(combined: int) -> int:
    """Returns the revision of the store of a combined number."""
    return combined % REVISIONS_PER_ERA


def describe(combined: int) -> str:
    """Returns a combined number as `ERA:REVISION`; without the era if it is 0.

    For log lines and operators.
    """
    era, revision = divmod(combined, REVISIONS_PER_ERA)
    return f"{era}:{revision}" if era else str(revision)


@dataclasses.dataclass(slots=True)
class ObservedEra:
    """The era of the store according to its responses.

    Attributes:
      current: Highest era stated so far; 0 if none was stated.
      ignored: Number of responses whose statement could not be used.
    """

    current: int = 0
    ignored: int = 0
    _stated: bool = False
    _current_at: float = float("-inf")
    # An era that was stated once and is too high to follow the current one.
    _unconfirmed: int = 0
    _logged: set[str] = dataclasses.field(default_factory=set)

    def observe(self, text: str | None, now: float) -> bool:
        """Takes note of the era that a response states.

        A response without a usable statement counts as one of the current era.
        The same holds for a lower era that is stated alone for longer than
        `LATE_RESPONSES_S`: a header that does not rise tells nothing, and a
        copy that is never read again would be worse.

        Args:
          text: Value of the header; None if it is missing.
          now: Time of the event loop's clock in seconds.

        Returns:
          Whether the response belongs to the era that is then the current one.
        """
        era = _parse(text)
        if era is None:
            if text is not None or self._stated:
                self._ignore("missing" if text is None else "malformed", text)
            return True
        if era < self.current:
            self._ignore("lower", text)
            late = now - self._current_at <= LATE_RESPONSES_S
            return not late
        if self._stated and era > self.current + 1 and era != self._unconfirmed:
            # Several losses in a row, or a wrong number, which would make all
            # later responses look late; the next response tells.
            self._unconfirmed = era
            self._ignore("skipped", text)
            return False
        if era != self.current:
            telemetry.log(
                _log, "store_era_changed", era=era, era_before=self.current
            )
        self.current = era
        self._stated = True
        self._current_at = now
        return True

    def _ignore(self, problem: str, text: str | None) -> None:
        """Counts an unusable statement; logs each kind once."""
        self.ignored += 1
        if problem not in self._logged:
            self._logged.add(problem)
            telemetry.log(
                _log,
                "store_era_ignored",
                level=logging.WARNING,
                problem=problem,
                stated=(text or "")[:_MAX_LOGGED_CHARACTERS],
                era=self.current,
            )


def _parse(text: str | None) -> int | None:
    """Returns the stated era; None if there is none that can be used."""
    if text is None or not text.isascii() or not text.isdigit():
        return None
    era = int(text) if len(text) <= len(str(MAX_ERA)) else MAX_ERA + 1
    return era if era <= MAX_ERA else None
