"""Tests of carobsail.routing."""

import random

import builders_requests as build
import pytest

from carobsail import errors, routing

FAR = routing.Path(latency_s=0.02, bytes_per_s=1_875_000.0)


def choose(views, request=None, policy="due_time", now=0.0):
    chosen = routing.create(policy, random.Random(1)).choose(
        request or build.request(), views, now
    )
    return chosen if isinstance(chosen, errors.Failure) else chosen.name


@pytest.mark.parametrize("policy", routing.policy_names())
@pytest.mark.parametrize(
    "unusable",
    [
        {"leaving": True},
        {"serving": False},
        {"quarantined": True},
        {"models": frozenset({"other"})},
    ],
)
def test_unusable_targets_are_never_chosen(policy, unusable):
    """Guards R6 and R2: new work sent to a leaving or wrong target."""
    bad = build.view("bad", finish=0.1, **unusable)
    good = build.view("good", finish=50.0, in_flight=99)
    assert choose([bad, good, bad], policy=policy) == "good"
    refused = choose([bad], policy=policy)
    assert refused.reason is errors.Reason.NO_TARGET
    assert refused.outcome is errors.Outcome.NOT_RUN
    assert refused.retry_after_s > 0


def test_targets_that_failed_the_request_are_excluded():
    """Guards R13: a retry is sent to the target that just failed it."""
    request = build.request(excluded=frozenset({"e1"}))
    views = [build.view("e1"), build.view("e2", finish=5.0)]
    assert choose(views, request) == "e2"


def test_cheapest_on_time_beats_earliest():
    """Guards R10: an adapter load to be early when nobody gains from it."""
    request = build.request(adapter="x")
    views = [
        build.view("early", finish=1.0),
        build.view("resident", finish=2.0, adapters=frozenset({"x"})),
        build.view("late", finish=11.0, adapters=frozenset({"x"})),
    ]
    assert choose(views, request) == "resident"


def test_cold_prompt_and_load_are_costs():
    """Guards R9: hot targets filled up while equal ones stand idle."""
    assert choose([build.view("a", in_flight=9), build.view("b")]) == "b"
    assert choose([build.view("a", cold_prompt_s=1.0), build.view("b")]) == "b"


def test_first_token_counts_as_deadline():
    """Guards R17: a target that ends in time but starts too late."""
    request = build.request(first_token_due_at=0.5)
    views = [
        build.view("slow start", first=0.6, finish=1.0),
        build.view("fast start", first=0.4, finish=9.0, in_flight=10),
    ]
    assert choose(views, request) == "fast start"


def test_safe_target_beats_one_that_is_just_on_time():
    """Guards R9: predictions from old reports are short, and it is late."""
    views = [
        build.view("just", finish=9.0),
        build.view("safe", finish=3.0, in_flight=30),
    ]
    assert choose(views) == "safe"


def test_late_request_goes_to_the_earliest_finish():
    """Guards R9: a request that will be late is dropped or sent anywhere."""
    views = [build.view("a", finish=30.0), build.view("b", finish=20.0)]
    assert choose(views) == "b"


def test_demoted_target_is_the_last_resort():
    """Guards R13: a slow target attracts work as its queue looks short."""
    slow = build.view("slow", finish=1.0, demoted=True)
    assert choose([slow, build.view("ok", finish=5.0)]) == "ok"
    assert choose([slow, build.view("ok", finish=10.5)]) == "ok"
    assert choose([slow, build.view("ok", finish=30.0)]) == "slow"


@pytest.mark.parametrize(
    ("near_s", "far_s", "size", "chosen"),
    [
        (3.0, 1.0, 1000, "near"),  # Safely on time here: no billed bytes.
        (9.0, 1.0, 1000, "far"),  # Only just on time here.
        (9.0, 9.0, 1000, "near"),  # No safer there.
        (11.0, 1.0, 1000, "far"),  # The far one saves the deadline.
        (11.0, 10.5, 1000, "near"),  # Late there too: no use.
        (11.0, 9.97, 1000, "near"),  # Late once the latency is counted.
        (11.0, 1.0, routing.BYTES_PER_SAVED_DEADLINE, "near"),  # Too many.
    ],
)
def test_spill_only_where_it_saves_the_deadline(near_s, far_s, size, chosen):
    """Guards R10 and R16: billed bytes that save no deadline."""
    views = [
        build.view("near", finish=near_s),
        build.view("far", finish=far_s, path=FAR),
    ]
    assert choose(views, build.request(body_bytes=size)) == chosen


def test_only_reachable_copy_is_used_over_any_link():
    """Guards R2: a model that only another region holds."""
    far = build.view("far", finish=99.0, path=FAR)
    assert choose([far], build.request(body_bytes=10**7)) == "far"


def test_transfer_time_includes_the_link_queue():
    """Guards R16: a full link looks as fast as an empty one."""
    busy = routing.Path(0.02, 1000.0, queued_bytes=20_000)
    views = [
        build.view("near", finish=11.0),
        build.view("far", finish=1.0, path=busy),
    ]
    assert choose(views) == "near"


def test_baselines_do_what_they_are_compared_for():
    """Guards R9 figures: a broken baseline makes any policy look good."""
    policy = routing.create("round_robin", random.Random(1))
    views = [build.view("a"), build.view("b")]
    turns = [policy.choose(build.request(), views, 0.0).name for _ in range(4)]
    assert turns == ["a", "b", "a", "b"]
    views = [build.view("a", in_flight=2), build.view("b", in_flight=1)]
    assert choose(views, policy="least_outstanding") == "b"


def test_policy_names_are_registered_once():
    """Guards against a second policy that silently replaces the first."""
    with pytest.raises(ValueError, match="twice"):
        routing.register("due_time")(routing.RoundRobin)


def test_savable_requests_come_before_late_ones():
    """Guards R9: late requests take the time of those still on time."""
    order = [(9, 0.1), (0, 5.0), (9, 1e6), (0, -0.001), (9, -50.0)]
    priorities = [routing.engine_priority(*pair) for pair in order]
    assert priorities == sorted(priorities)
    assert priorities[2] < priorities[3]
