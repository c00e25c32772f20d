"""Guards the choice among targets by load figures that are a second old."""

import random

import builders_serving
import pytest
from hypothesis import given
from hypothesis import strategies as st

from carobsail import loadinterpretation
from carobsail.requestrates import REPORT_VALID_S, RequestRates
from carobsail.targetchoice import choose_target
from carobsail.targetregistry import Target

POOL = builders_serving.engine_pool(builders_serving.model("m1"))
LOCATION = builders_serving.LOCATION
WORK_S = 0.11


def shares(costs, others_work_s, count=2000):
    """Returns the share of choices of each target."""
    rng = random.Random(1)
    counts = [0] * len(costs)
    for _ in range(count):
        counts[
            loadinterpretation.pick_target(costs, others_work_s, rng.random())
        ] += 1
    return [n / count for n in counts]


def test_alone_the_cheapest_is_chosen():
    """Without load from other instances the figures are exact."""
    assert shares([0.3, 0.1, 0.2], 0.0) == [0.0, 1.0, 0.0]


def test_what_others_send_is_spread():
    """The cheapest target is chosen most, one above the common level never."""
    first, second, third = shares([0.1, 0.3, 2.0], 0.6)
    assert first == pytest.approx(2 / 3, abs=0.04)
    assert second == pytest.approx(1 / 3, abs=0.04)
    assert third == 0.0


@given(
    st.lists(st.floats(0.0, 50.0), min_size=1, max_size=20),
    st.floats(0.0, 100.0),
    st.floats(0.0, 0.999),
)
def test_a_target_is_always_found(costs, others_work_s, draw):
    """Rounding must not leave a request without a target."""
    assert (
        0
        <= loadinterpretation.pick_target(costs, others_work_s, draw)
        < len(costs)
    )


def engines(count):
    targets = [
        Target(builders_serving.engine_entry(f"e{n}")) for n in range(count)
    ]
    for engine in targets:
        engine.held = {"m1": frozenset()}
    return targets


def worst_queue_s(spread_out):
    """Simulates a second in which 61 instances send 40 requests.

    Four engines hold the model. All instances use the same stale figures, by
    which one of the four is slightly cheaper.
    """
    rng = random.Random(7)
    sent = [0] * 4
    for _ in range(40):
        known = engines(4)
        for engine in known[1:]:
            engine.others_in_flight = 3
        requirements = builders_serving.generation_request()
        if spread_out:
            requirements.expected_remote_requests, requirements.random_draw = (
                40.0,
                rng.random(),
            )
        choice = choose_target(requirements, known, POOL, LOCATION, 0.0)
        sent[known.index(choice.target)] += 1
    return WORK_S * max(sent)


def test_burst_is_not_sent_to_one_engine():
    """All instances chose the same engine until its load was reported."""
    assert worst_queue_s(spread_out=False) == pytest.approx(40 * WORK_S)
    assert worst_queue_s(spread_out=True) < 16 * WORK_S


def test_only_targets_that_can_be_on_time_are_chosen():
    """Spreading must not send a request where it would be late."""
    known = engines(2)
    known[1].others_prompt_tokens = 30_000
    requirements = builders_serving.generation_request(
        expected_remote_requests=500.0
    )
    for random_draw in (0.0, 0.5, 0.99):
        requirements.random_draw = random_draw
        assert (
            choose_target(requirements, known, POOL, LOCATION, 0.0).target
            is known[0]
        )


def test_rates_of_others():
    """The other 3 of 4 instances send three quarters of the demand."""
    rates = RequestRates()
    assert rates.others_per_s("llm", "m1", 4, 0.0) == 0.0
    rates.set_reported({("llm", "m1"): 20.0}, 0.0)
    assert rates.others_per_s("llm", "m1", 4, 1.0) == 15.0
    assert rates.others_per_s("llm", "m1", 4, REPORT_VALID_S + 0.1) == 0.0
    for _ in range(100):
        rates.count("plain", 1.0)
    assert rates.others_per_s("plain", "", 4, 1.0) == pytest.approx(150.0)
    assert rates.others_per_s("plain", "", 4, 60.0) < 0.1
