"""Tests of carobsail.admission and carobsail.tokenbucket."""

import builders_requests as build
import hypothesis
import pytest
from hypothesis import strategies as st

from carobsail import admission, configuration, errors

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
LIMITS = configuration.Limits(requests_per_s=10.0, burst=4, concurrency=8)


def test_rate_limit_is_the_instances_share_and_gives_a_retry_time():
    """Guards against every instance allowing an account's whole rate (R13)."""
    gate = admission.Admission("i1", share=0.5)
    assert [gate.admit("a", str(n), LIMITS, 0.0) for n in range(2)] == [
        None
    ] * 2
    refused = gate.admit("a", "x", LIMITS, 0.0)
    assert refused.reason is errors.Reason.RATE_LIMITED
    assert refused.outcome is errors.Outcome.NOT_RUN
    assert gate.admit("a", "x", LIMITS, refused.retry_after_s) is None
    assert gate.admit("b", "y", LIMITS, 0.0) is None


def test_idle_time_allows_at_most_one_burst():
    """Guards against a burst of an hour's requests after an idle hour (R13)."""
    gate = admission.Admission("i1")
    gate.admit("a", "first", LIMITS, 0.0)
    admitted = [gate.admit("a", str(n), LIMITS, 3600.0) for n in range(9)]
    assert admitted.count(None) == LIMITS.burst


def test_concurrency_is_freed_by_release_once():
    """Guards against repeated releases that free more than one place (R13)."""
    limits = configuration.Limits(burst=100, concurrency=2)
    gate = admission.Admission("i1")
    for attempt in ("x", "y"):
        assert gate.admit("a", attempt, limits, 0.0) is None
    refused = gate.admit("a", "z", limits, 0.0)
    assert refused.reason is errors.Reason.CONCURRENCY_LIMITED
    gate.release("a", "x")
    gate.release("a", "x")
    assert gate.admit("a", "z", limits, 0.0) is None
    assert gate.admit("a", "q", limits, 0.0) is not None
    gate.set_shares(1.0, concurrency={"a": 1})
    gate.release("a", "y")
    assert gate.admit("a", "q", limits, 0.0) is not None
    assert gate.in_flight("a") == 1


def test_too_long_wait_is_refused_early_and_takes_no_token():
    """Guards against callers learning of overload only after the deadline.

    Requirement R9.
    """
    gate = admission.Admission("i1", share=0.25)
    refused = gate.admit("a", "x", LIMITS, 0.0, wait_s=21.0, due_in_s=10.0)
    assert refused.reason is errors.Reason.OVERLOADED
    assert refused.outcome is errors.Outcome.NOT_RUN
    assert refused.retry_after_s == pytest.approx(11.0)
    late = gate.admit("a", "x", LIMITS, 0.0, wait_s=15.0, due_in_s=10.0)
    assert late is None  # A late request is still run.


def test_accounts_are_bounded_and_busy_ones_kept(monkeypatch):
    """Guards against dropping the counts of accounts with running requests.

    Requirement R17.
    """
    monkeypatch.setattr(admission, "MAX_ACCOUNTS", 2)
    gate = admission.Admission("i1")
    gate.admit("busy", "x", LIMITS, 0.0)
    gate.admit("idle", "y", LIMITS, 0.0)
    gate.release("idle", "y")
    assert gate.admit("third", "z", LIMITS, 0.0) is None
    assert gate.in_flight("busy") == 1
    refused = gate.admit("fourth", "z", LIMITS, 0.0)
    assert refused.reason is errors.Reason.OVERLOADED


@SETTINGS
@hypothesis.given(
    st.integers(0, 1000),
    st.dictionaries(st.text(max_size=3), st.floats(0, 1e6), min_size=1),
)
def test_parts_add_up_to_the_limit(limit, demand):
    """Guards against rounded parts that together exceed the limit (R13)."""
    parts = admission.divide_limit(limit, demand)
    assert sum(parts.values()) == limit
    assert min(parts.values()) >= limit // (2 * len(demand)) - 1
    assert parts == admission.divide_limit(limit, dict(sorted(demand.items())))


def started(queue, count, now=0.0):
    names = []
    for _ in range(count):
        entry = queue.start_next(now)
        names.append(entry.attempt)
        queue.finish(entry.attempt)
    return names


def test_burst_of_one_account_does_not_delay_another():
    """Guards against one account's 100 queued requests blocking another's.

    Requirement R13.
    """
    queue = admission.TargetQueue("e1", 1)
    for number in range(100):
        queue.push(build.queue_entry(f"a{number}", "a", due_at=1000.0))
    started(queue, 10)
    for number in range(3):
        queue.push(build.queue_entry(f"b{number}", "b", due_at=1000.0))
    order = started(queue, 6)
    assert [name[0] for name in order].count("b") == 3
    assert order[0] == "b0"


def test_idle_account_accumulates_no_credit():
    """Guards against a target taken over by an account that had been idle.

    Requirement R13.
    """
    queue = admission.TargetQueue("e1", 1)
    for number in range(60):
        queue.push(build.queue_entry(f"a{number}", "a", due_at=1000.0))
    started(queue, 30)
    for number in range(30):
        queue.push(build.queue_entry(f"b{number}", "b", due_at=1000.0))
    order = [name[0] for name in started(queue, 20)]
    assert order.count("b") == pytest.approx(10, abs=1)


def test_weight_and_cost_set_the_shares():
    """Guards against fairness by count, which favours long requests (R13)."""
    queue = admission.TargetQueue("e1", 1)
    for n in range(60):
        queue.push(
            build.queue_entry(f"a{n}", "a", 1e6, service_s=4.0, weight=2.0)
        )
        queue.push(build.queue_entry(f"b{n}", "b", 1e6, service_s=1.0))
    order = [name[0] for name in started(queue, 30)]
    assert order.count("b") == pytest.approx(2 * order.count("a"), abs=2)


def test_late_requests_start_after_others_but_do_start():
    """Guards against preferring late requests, and against starving them.

    Requirements R3 and R9.
    """
    queue = admission.TargetQueue("e1", 1)
    queue.push(build.queue_entry("late", "a", due_at=0.5))
    for number in range(20):
        queue.push(build.queue_entry(f"ok{number}", "b", due_at=1000.0))
    order = started(queue, 21, now=1.0)
    assert order.index("late") == admission.LATE_START_INTERVAL - 1


def test_missed_first_token_makes_a_request_late():
    """Guards against ignoring the first-token deadline in the queue order.

    Requirement R17.
    """
    queue = admission.TargetQueue("e1", 1)
    queue.push(
        build.queue_entry(
            "late", due_at=9, first_token_s=1, first_token_due_at=1.5
        )
    )
    queue.push(build.queue_entry("ok", due_at=50.0))
    assert started(queue, 2, now=1.0) == ["ok", "late"]


def test_earliest_due_time_first_within_an_account():
    """Guards against arrival order, which misses short deadlines (R9)."""
    queue = admission.TargetQueue("e1", 1)
    queue.push(build.queue_entry("later", due_at=50.0))
    queue.push(build.queue_entry("sooner", due_at=5.0))
    assert started(queue, 2) == ["sooner", "later"]


def test_crash_suspect_runs_without_other_requests():
    """Guards against a crashing request that makes others fail with it.

    Requirement R13.
    """
    queue = admission.TargetQueue("e1", 4)
    queue.push(build.queue_entry("normal", due_at=5.0))
    assert queue.start_next(0.0).attempt == "normal"
    queue.push(build.queue_entry("suspect", due_at=1.0, exclusive=True))
    queue.push(build.queue_entry("next", due_at=50.0))
    assert queue.start_next(0.0) is None
    queue.finish("normal")
    assert queue.start_next(0.0).attempt == "suspect"
    assert queue.start_next(0.0) is None
    queue.finish("suspect")
    assert queue.start_next(0.0).attempt == "next"


def test_queue_and_its_finish_tags_are_bounded():
    """Guards against tags of one-time accounts that use up memory (R17)."""
    queue = admission.TargetQueue("e1", 2)
    assert queue.push(build.queue_entry("first")) is None
    queue.start_next(0.0)
    for number in range(3 * admission.MAX_WAITING):
        queue.push(build.queue_entry(str(number), account=str(number)))
        queue.finish(queue.start_next(0.0).attempt)
    assert len(queue._finish_tags) <= admission.MAX_WAITING + 1
    for number in range(admission.MAX_WAITING):
        assert queue.push(build.queue_entry(f"w{number}")) is None
    refused = queue.push(build.queue_entry("more"))
    assert refused.reason is errors.Reason.QUEUE_FULL
    assert refused.outcome is errors.Outcome.NOT_RUN


@SETTINGS
@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(["push", "start", "cancel", "finish", "drain"]),
            st.integers(0, 5),
            st.floats(0, 10),
        ),
        max_size=40,
    )
)
def test_cancelled_or_refused_entries_never_start(steps):
    """Guards against starting an attempt that was reported as not run.

    Requirements R4 and R5.
    """
    queue, ended, live = admission.TargetQueue("e1", 2), set(), set()
    for step, number, now in steps:
        attempt = str(number)
        if step == "push":
            entry = build.queue_entry(attempt, str(number % 2), due_at=5.0)
            if attempt in ended:
                assert queue.push(entry) is not None
            else:
                queue.push(entry)
        elif step == "start" and (entry := queue.start_next(now)):
            assert entry.attempt not in ended | live
            live.add(entry.attempt)
        elif step == "cancel":
            assert queue.cancel(attempt) == (attempt in live)
            ended.add(attempt)
            live.discard(attempt)
        elif step == "finish" and attempt in live:
            queue.finish(attempt)
            ended.add(attempt)
            live.discard(attempt)
        elif step == "drain":
            ended.update(entry.attempt for entry in queue.drain())
        assert queue.running == len(live) <= 2
