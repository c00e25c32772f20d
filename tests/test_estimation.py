"""Tests of carobsail.estimation."""

import builders_requests as build
import pytest

from carobsail import errors, estimation


def test_prediction_adds_wait_cold_prompt_and_output():
    """Guards against a prediction that leaves out a part of the time (R9)."""
    got = estimation.predict(
        build.target(),
        estimation.Backlog(4, slot_wait_s=2.0, prefill_wait_s=0.5),
        build.work(1000, 10.0, cached_share=0.75, adapter_load_s=3.0),
        slowdown=2.0,
    )
    assert got.start_s == 3.0  # The adapter loads while the request waits.
    assert got.first_token_s == pytest.approx(3.0 + 0.5 + 0.5 + 0.2)
    assert got.finish_s == pytest.approx(3.0 + 0.5 + 0.5 + 2.0)


def test_exact_work_waits_for_the_earliest_free_slot():
    """Guards against counting requests instead of their remaining time (R9)."""
    work = estimation.InFlightWork(build.target(slots=2, decode=20.0))
    for name, output, start in (("a", 10, 0.0), ("b", 30, 0.0)):
        work.add(name, build.work(0, output))
        work.started(name, start)
        work.first_token_received(name)
    work.add("waiting", build.work(0, 10))
    assert work.backlog(0.5).slot_wait_s == pytest.approx(1.5)
    work.ended("waiting")
    assert work.backlog(0.5).slot_wait_s == pytest.approx(0.5)
    work.ended("b")
    assert work.backlog(0.5).slot_wait_s == 0.0


def test_exact_work_is_bounded():
    """Guards against a table that grows without bound at a stuck target.

    Requirement R17.
    """
    work = estimation.InFlightWork(build.target())
    for number in range(estimation.MAX_ATTEMPTS):
        assert work.add(str(number), build.work()) is None
    refused = work.add("more", build.work())
    assert isinstance(refused, errors.Failure)
    assert refused.outcome is errors.Outcome.NOT_RUN


def test_old_report_is_not_used():
    """Guards against a stale report of an idle target attracting requests.

    Requirement R11.
    """
    target, reported = build.target(), estimation.ReportedWork()
    reported.report("e1", 0, 0, now=0.0)
    assert reported.backlog(target, 1.0).slot_wait_s == 0.0
    old = reported.backlog(target, estimation.REPORT_MAX_AGE_S + 0.1)
    assert old.slot_wait_s == estimation.UNKNOWN_WAIT_S


def test_requests_sent_since_the_report_count_for_all_senders():
    """Guards against all instances choosing the same idle target (R9).

    Without the factor, the requests of all instances between two reports went
    to one target.
    """
    target = build.target()
    alone = estimation.ReportedWork()
    shared = estimation.ReportedWork(senders=3)
    for reported in (alone, shared):
        reported.report("e1", 3, 30, now=0.0)
        assert reported.backlog(target, 0.0).slot_wait_s == 0.0
        reported.record_sent("e1", "x", 10.0)
        assert reported.backlog(target, 0.0).in_flight == 4
    assert alone.backlog(target, 0.0).slot_wait_s == pytest.approx(0.25)
    assert shared.backlog(target, 0.0).slot_wait_s == pytest.approx(0.75)
    aged = alone.backlog(target, estimation.REPORT_MAX_AGE_S)
    assert aged.slot_wait_s == pytest.approx(0.5)
    alone.ended("e1", "x")
    assert alone.backlog(target, 0.0).slot_wait_s == 0.0


def test_late_waiting_requests_are_not_ahead_of_new_ones():
    """Guards against counting late requests, which new ones overtake (R9)."""
    work = estimation.InFlightWork(build.target(slots=1, decode=10.0))
    work.add("running", build.work(0, 10))
    work.started("running", 0.0)
    work.add("waiting", build.work(0, 10), due_at=2.0)
    assert work.backlog(0.5).slot_wait_s == pytest.approx(1.5)
    assert work.reported_load(0.5) == (2, 15)
    assert work.backlog(1.5).slot_wait_s == pytest.approx(0.25)  # Overrun.
    assert work.reported_load(1.5)[0] == 1


def test_slowdown_is_learned_within_bounds():
    """Guards against an outlier that excludes or prefers a target for good.

    Requirement R13.
    """
    slowdowns = estimation.Slowdowns()
    for _ in range(50):
        slowdowns.observe("e1", "m", 1.0, 1e9)
        slowdowns.observe("e2", "m", 1.0, 0.0)
    assert slowdowns.is_slow("e1", "m")
    assert slowdowns.factor("e1", "m") <= estimation.MAX_SLOWDOWN
    assert slowdowns.factor("e2", "m") >= estimation.MIN_SLOWDOWN
    assert not slowdowns.is_slow("e1", "other")


def test_learned_tables_are_bounded():
    """Guards against unbounded tables when callers invent names (R17)."""
    slowdowns, lengths = estimation.Slowdowns(), estimation.OutputLengths()
    for number in range(estimation.MAX_SLOWDOWN_ENTRIES + 1):
        slowdowns.observe(f"e{number}", "m", 1.0, 4.0)
        lengths.observe("a", str(number), "m", 7)
    assert slowdowns.factor("e0", "m") == 1.0
    expected = lengths.expect("a", "0", "m")
    assert expected == estimation.DEFAULT_OUTPUT_TOKENS


def test_output_length_follows_the_operation():
    """Guards against one common output length for all operations (R9)."""
    lengths = estimation.OutputLengths()
    for _ in range(20):
        lengths.observe("a", "/draft", "m", 400)
        lengths.observe("a", "/lookup", "m", 20)
    assert lengths.expect("a", "/draft", "m") == pytest.approx(400)
    assert lengths.expect("a", "/draft", "m", limit=50) == 50
    assert lengths.expect("a", "/lookup", "m") == pytest.approx(20)
    assert lengths.expect("new", "/draft", "m") == pytest.approx(400)
    assert lengths.expect("new", "/draft", "n") == pytest.approx(400)
