"""Revisions that stay in order when the store loses its last changes.

The store may come back from an older copy. What was written since is lost, and
its revisions are given out again. The number of such losses, the era, is part
of each of its responses. The client of the store combines era and revision into
one number, which is in order over all eras, so that the rest of the code
compares, keeps and passes on revisions as if the store had never gone back.
"""

from typing import Annotated

import msgspec

# The combined number is exact as a JSON number (2^53) up to era 8,191, and a
# store that writes 30,000 changes a second reaches this many in a year.
REVISIONS_PER_ERA = 2**40
MAX_ERA = 2**13 - 1

# Types of an era and of a revision without it, as other processes send them.
Era = Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)]
Revision = Annotated[int, msgspec.Meta(ge=0, lt=REVISIONS_PER_ERA)]


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
    """Returns a combined number for operators: `ERA:REVISION`, or `REVISION`.

    The era is left out if it is 0.
    """
    era = era_of(combined)
    revision = str(revision_of(combined))
    return f"{era}:{revision}" if era else revision
