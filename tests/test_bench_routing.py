"""Tests of bench.routing."""

import dataclasses

import pytest

from bench import routing as bench
from bench import workload
from carobsail import routing

SMALL = dataclasses.replace(workload.KAGSA, requests_per_s=2.0)


@pytest.mark.parametrize("policy", routing.policy_names())
def test_every_request_is_counted_and_a_seed_repeats(policy):
    """Guards R9: lost requests or randomness could flatter a policy."""
    run = bench.Run(SMALL, policy, seed=1)
    row = run.row(policy)
    assert row["requests"] > 200
    assert not run.assignments
    assert 0.9 < row["on_time_share"] <= 1.0  # Hardly any load.
    assert row == bench.Run(SMALL, policy, seed=1).row(policy)
    assert (
        row["requests"] == bench.Run(SMALL, "due_time", 1).row("")["requests"]
    )
