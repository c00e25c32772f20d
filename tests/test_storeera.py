"""Guards the order of revisions when the store comes back from a copy."""

import pytest

from carobsail import storeera
from carobsail.storeera import LATE_RESPONSES_S, MAX_ERA, ObservedEra


def test_later_era_is_higher_whatever_its_revisions():
    """Revisions that are given out again were taken for old ones."""
    assert storeera.combine(2, 1) > storeera.combine(1, 10**9)
    assert storeera.combine(1, 0) == 0
    combined = storeera.combine(3, 17)
    assert storeera.era_of(combined) == 3
    assert storeera.revision_of(combined) == 17
    assert storeera.describe(combined) == "3:17"
    assert storeera.describe(17) == "17"


def test_response_of_an_earlier_era_is_refused():
    """A response that is late must not undo what is known since."""
    era = ObservedEra()
    assert era.observe("1", 0.0) and era.observe("2", 1.0)
    assert not era.observe("1", 1.1)
    assert era.current == 2


@pytest.mark.parametrize("text", ["", "x", "-1", "1.5", "²", str(MAX_ERA + 1)])
def test_malformed_era_counts_as_none(text):
    """A malformed header must neither raise nor replace what is known."""
    era = ObservedEra()
    era.observe("4", 0.0)
    assert era.observe(text, 1.0)
    assert (era.current, era.ignored) == (4, 1)
    assert era.observe("9" * 5000, 1.0)


def test_missing_header_is_no_statement():
    """A store that does not send the header is served as before."""
    era = ObservedEra()
    assert era.observe(None, 0.0)
    assert (era.current, era.ignored) == (0, 0)


def test_jump_counts_once_it_is_stated_twice():
    """One wrong number made all later responses look late."""
    era = ObservedEra()
    era.observe("1", 0.0)
    assert not era.observe("700", 1.0)
    assert era.observe("1", 1.1) and era.current == 1
    assert not era.observe("3", 2.0)
    assert era.observe("3", 2.1) and era.current == 3


def test_lower_era_alone_does_not_stop_the_copy_for_good():
    """Every response was refused after the header had gone down."""
    era = ObservedEra()
    era.observe("5", 0.0)
    assert not era.observe("2", 1.0)
    assert era.observe("2", LATE_RESPONSES_S + 0.1)
    assert era.current == 5
