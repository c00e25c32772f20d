"""Tests of carobsail.routing."""

import random

import builders_requests as build
import pytest

from carobsail import errors, routing

FAR = routing.NetworkLink(latency_s=0.02, bytes_per_s=1_875_000.0)


def choose(views, request=None, policy="due_time", now=0.0):
    chosen = routing.create(policy, random.Random(1)).choose(
        request or build.route_request(), views, now
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
    """Guards against new work for a leaving target or one without the model.

    Requirements R2 and R6.
    """
    bad = build.target_view("bad", finish=0.1, **unusable)
    good = build.target_view("good", finish=50.0, in_flight=99)
    assert choose([bad, good, bad], policy=policy) == "good"
    refused = choose([bad], policy=policy)
    assert refused.reason is errors.Reason.NO_TARGET
    assert refused.outcome is errors.Outcome.NOT_RUN
    assert refused.retry_after_s > 0


def test_targets_that_failed_the_request_are_excluded():
    """Guards against a retry at the target on which the request just failed.

    Requirement R13.
    """
    request = build.route_request(excluded=frozenset({"e1"}))
    views = [build.target_view("e1"), build.target_view("e2", finish=5.0)]
    assert choose(views, request) == "e2"


def test_cheapest_on_time_beats_earliest():
    """Guards against adapter loads for an earlier finish that nobody needs.

    Requirement R10.
    """
    request = build.route_request(adapter="x")
    views = [
        build.target_view("early", finish=1.0),
        build.target_view("resident", finish=2.0, adapters=frozenset({"x"})),
        build.target_view("late", finish=11.0, adapters=frozenset({"x"})),
    ]
    assert choose(views, request) == "resident"


def test_uncached_prompt_and_utilisation_are_costs():
    """Guards against overloading busy targets while equal ones are idle.

    Requirement R9.
    """
    assert (
        choose([build.target_view("a", in_flight=9), build.target_view("b")])
        == "b"
    )
    assert (
        choose(
            [
                build.target_view("a", uncached_prefill_s=1.0),
                build.target_view("b"),
            ]
        )
        == "b"
    )


def test_first_token_counts_as_deadline():
    """Guards against a target that finishes in time but starts too late.

    Requirement R17.
    """
    request = build.route_request(first_token_due_at=0.5)
    views = [
        build.target_view("slow start", first=0.6, finish=1.0),
        build.target_view("fast start", first=0.4, finish=9.0, in_flight=10),
    ]
    assert choose(views, request) == "fast start"


def test_safe_target_beats_one_that_is_just_on_time():
    """Guards against late responses when predictions are too short (R9).

    Predictions made from old load reports often are.
    """
    views = [
        build.target_view("just", finish=9.0),
        build.target_view("safe", finish=3.0, in_flight=30),
    ]
    assert choose(views) == "safe"


def test_late_request_goes_to_the_earliest_finish():
    """Guards against dropping late requests or sending them anywhere (R9)."""
    views = [
        build.target_view("a", finish=30.0),
        build.target_view("b", finish=20.0),
    ]
    assert choose(views) == "b"


def test_demoted_target_is_the_last_resort():
    """Guards against a slow target that attracts work by its short queue.

    Requirement R13.
    """
    slow = build.target_view("slow", finish=1.0, demoted=True)
    assert choose([slow, build.target_view("ok", finish=5.0)]) == "ok"
    assert choose([slow, build.target_view("ok", finish=10.5)]) == "ok"
    assert choose([slow, build.target_view("ok", finish=30.0)]) == "slow"


@pytest.mark.parametrize(
    ("near_s", "far_s", "size", "chosen"),
    [
        (3.0, 1.0, 1000, "near"),  # On time with the safety factor.
        (9.0, 1.0, 1000, "far"),  # Near is on time only without the factor.
        (9.0, 9.0, 1000, "near"),  # Far is no safer.
        (11.0, 1.0, 1000, "far"),  # Only far meets the deadline.
        (11.0, 10.5, 1000, "near"),  # Both are late.
        (11.0, 9.97, 1000, "near"),  # Far is late due to link latency.
        (11.0, 1.0, routing.MAX_BILLED_BYTES_PER_REQUEST, "near"),  # Too large.
    ],
)
def test_billed_link_is_used_only_to_meet_the_deadline(
    near_s, far_s, size, chosen
):
    """Guards against billed traffic that doesn't help to meet a deadline.

    Requirements R10 and R16.
    """
    views = [
        build.target_view("near", finish=near_s),
        build.target_view("far", finish=far_s, link=FAR),
    ]
    assert choose(views, build.route_request(body_bytes=size)) == chosen


def test_only_reachable_copy_is_used_over_any_link():
    """Guards against refusing a model that only another region serves (R2)."""
    far = build.target_view("far", finish=99.0, link=FAR)
    assert choose([far], build.route_request(body_bytes=10**7)) == "far"


def test_transfer_time_includes_the_link_queue():
    """Guards against ignoring the bytes already queued for a link (R16)."""
    busy = routing.NetworkLink(0.02, 1000.0, queued_bytes=20_000)
    views = [
        build.target_view("near", finish=11.0),
        build.target_view("far", finish=1.0, link=busy),
    ]
    assert choose(views) == "near"


def test_baseline_policies():
    """Guards the baselines: a broken one makes any other policy look good.

    Requirement R9.
    """
    policy = routing.create("round_robin", random.Random(1))
    views = [build.target_view("a"), build.target_view("b")]
    turns = [
        policy.choose(build.route_request(), views, 0.0).name for _ in range(4)
    ]
    assert turns == ["a", "b", "a", "b"]
    views = [
        build.target_view("a", in_flight=2),
        build.target_view("b", in_flight=1),
    ]
    assert choose(views, policy="least_outstanding") == "b"


def test_policy_names_are_registered_once():
    """Guards against a policy that silently replaces one of the same name."""
    with pytest.raises(ValueError, match="twice"):
        routing.register("due_time")(routing.RoundRobin)


def test_requests_with_slack_come_before_late_ones():
    """Guards against late requests that delay those still on time (R9)."""
    order = [(9, 0.1), (0, 5.0), (9, 1e6), (0, -0.001), (9, -50.0)]
    priorities = [routing.engine_priority(*pair) for pair in order]
    assert priorities == sorted(priorities)
    assert priorities[2] < priorities[3]
