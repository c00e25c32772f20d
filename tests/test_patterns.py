"""Tests the routing policies on the load patterns of bench.patterns."""

import pytest

from bench import patterns


@pytest.mark.parametrize("policy", sorted(patterns.POLICIES))
def test_every_request_has_an_outcome_and_a_seed_repeats(policy):
    """Guards against lost requests and randomness that flatter a policy."""
    row, bound = patterns.simulate("jump of one kind", policy, 1)
    assert row.in_time + row.late + row.refused + row.left == pytest.approx(1.0)
    assert 0.0 < row.in_time <= bound <= 1.0
    assert (row, bound) == patterns.simulate("jump of one kind", policy, 1)


@pytest.mark.parametrize(
    "name",
    ["jump of one kind", "a third of the engines gone", "empty engines added"],
)
def test_more_callers_are_served_than_by_least_outstanding(name):
    """Guards against engines busy with requests whose callers have left."""
    baseline, _ = patterns.simulate(name, "least outstanding", 2)
    current, _ = patterns.simulate(name, "present", 2)
    assert current.in_time > baseline.in_time
    assert current.left < baseline.left
