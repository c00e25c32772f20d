"""Tests of carobsail.suspects."""

import hypothesis
import pytest
from hypothesis import strategies as st

from carobsail import errors, messages, suspects

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)


def refused(crash_suspects, fingerprint, now):
    verdict = crash_suspects.verdict(fingerprint, now)
    return isinstance(verdict, errors.Failure)


def run_and_crash(crash_suspects, fingerprint, now):
    """Runs a crashing request at an instance; returns the engines lost."""
    if refused(crash_suspects, fingerprint, now):
        return 0
    crash_suspects.record_crash(
        [(fingerprint, crash_suspects.crash_count(fingerprint, now))], now
    )
    return 1


def test_two_crashes_are_refused_for_ten_minutes():
    """Guards against a request that crashes each target that runs it (R13)."""
    crash_suspects = suspects.CrashSuspects("i1")
    assert crash_suspects.verdict("x", 0.0) is suspects.Verdict.NORMAL
    run_and_crash(crash_suspects, "x", 0.0)
    assert crash_suspects.verdict("x", 1.0) is suspects.Verdict.ALONE
    run_and_crash(crash_suspects, "x", 2.0)
    refusal = crash_suspects.verdict("x", 3.0)
    assert refusal.reason is errors.Reason.SUSPECT_REFUSED
    assert refusal.outcome is errors.Outcome.NOT_RUN
    assert refusal.retry_after_s == pytest.approx(599.0)
    assert refused(crash_suspects, "x", 2.0 + suspects.REFUSED_S - 0.1)
    assert not refused(crash_suspects, "x", 2.0 + suspects.REFUSED_S)


def test_other_requests_are_never_refused_for_one_crash():
    """Guards against counting a crash for owner, sender and peer each (R13)."""
    owner, sender = suspects.CrashSuspects("i1"), suspects.CrashSuspects("i2")
    runs = [("x", 0), ("neighbour", 0), ("neighbour", 0)]
    owner.record_crash(runs, 0.0)
    sender.merge(owner.entries_for_peers(0.0), 0.1)
    sender.record_crash(runs, 0.2)
    owner.merge(sender.entries_for_peers(0.2), 0.3)
    for crash_suspects in (owner, sender):
        # A second target of the rack crashed.
        crash_suspects.record_crash([("neighbour", 0)], 0.4)
        assert (
            crash_suspects.verdict("neighbour", 0.5) is suspects.Verdict.ALONE
        )
    sender.record_success("neighbour", 1.0)
    shared = sender.entries_for_peers(1.1)
    # A peer still sends the old suspicion.
    sender.merge(owner.entries_for_peers(1.1), 1.2)
    owner.merge(shared, 1.2)
    for crash_suspects in (owner, sender):
        assert (
            crash_suspects.verdict("neighbour", 1.3) is suspects.Verdict.NORMAL
        )
        assert crash_suspects.verdict("x", 1.3) is suspects.Verdict.ALONE


def test_late_report_of_an_old_run_does_not_lift_a_refusal():
    """Guards against a run from before the first crash resetting the count.

    Requirement R13.
    """
    crash_suspects = suspects.CrashSuspects("i1")
    crash_suspects.record_crash([("x", 0)], 0.0)
    crash_suspects.record_crash([("x", 1)], 1.0)
    crash_suspects.record_crash([("x", 0)], 2.0)
    assert refused(crash_suspects, "x", 3.0)


def test_only_one_rerun_at_a_time():
    """Guards against one suspect crashing several engines concurrently.

    Requirement R13.
    """
    crash_suspects = suspects.CrashSuspects("i1")
    crash_suspects.record_crash([("x", 0)], 0.0)
    assert crash_suspects.begin_rerun("x", "r1", 1.0) is None
    second = crash_suspects.begin_rerun("x", "r2", 1.0)
    assert second.reason is errors.Reason.OVERLOADED
    assert second.outcome is errors.Outcome.NOT_RUN
    crash_suspects.end_rerun("x", "r2")
    assert crash_suspects.begin_rerun("x", "r3", 1.0) is not None
    crash_suspects.end_rerun("x", "r1")
    assert crash_suspects.begin_rerun("x", "r3", 1.0) is None
    crash_suspects.record_crash([("x", 1)], 2.0)
    crash_suspects.end_rerun("x", "r3")
    last = crash_suspects.begin_rerun("x", "r4", 3.0)
    assert last.reason is errors.Reason.SUSPECT_REFUSED


def test_all_instances_pick_the_same_quarantine_target():
    """Guards against several owners that each rerun the same suspect (R13)."""
    names = [f"e{n}" for n in range(8)]
    pick = suspects.quarantine_target("x", names)
    assert pick == suspects.quarantine_target("x", names[::-1])
    others = [n for n in names if n != pick]
    assert suspects.quarantine_target("x", [*others[:3], pick]) == pick
    assert suspects.quarantine_target("x", []) is None


@pytest.mark.parametrize("instances", [1, 2, 7])
def test_worst_number_of_engines_without_any_message(instances):
    """Counts the engines that crash when no suspicion reaches a peer (R13)."""
    all_suspects = [suspects.CrashSuspects(f"i{n}") for n in range(instances)]
    lost = sum(
        run_and_crash(crash_suspects, "x", float(now))
        for now in range(20)
        for crash_suspects in all_suspects
    )
    assert lost == 2 * instances


@SETTINGS
@hypothesis.given(st.integers(0, 6), st.lists(st.integers(0, 6), max_size=40))
def test_worst_number_of_engines_with_late_instances(late, order):
    """Guards against more than k + 2 crashes with k late instances (R13)."""
    all_suspects = [suspects.CrashSuspects(f"i{n}") for n in range(7)]
    lost = run_and_crash(all_suspects[0], "x", 0.0)
    first = all_suspects[0].entries_for_peers(0.0)
    for crash_suspects in all_suspects[late + 1 :]:
        crash_suspects.merge(first, 0.0)
    lost += sum(run_and_crash(b, "x", 0.1) for b in all_suspects[1 : late + 1])
    assert lost == late + 1
    for sender in all_suspects:
        for receiver in all_suspects:
            receiver.merge(sender.entries_for_peers(0.2), 0.2)
    for step, number in enumerate(order):
        now = 1.0 + step
        lost += run_and_crash(all_suspects[number], "x", now)
        for receiver in all_suspects:
            receiver.merge(all_suspects[number].entries_for_peers(now), now)
    assert lost <= late + 2


ENTRY = st.builds(
    messages.CrashSuspicion,
    st.sampled_from(["x", "y"]),
    st.integers(1, 3),
    st.floats(0, 50),
)


@SETTINGS
@hypothesis.given(
    st.lists(ENTRY, max_size=6), st.randoms(use_true_random=False)
)
def test_merging_is_idempotent_and_needs_no_order(entries, rng):
    """Guards against suspicions that grow by being passed between peers.

    Requirement R13.
    """
    first, second = suspects.CrashSuspects("i1"), suspects.CrashSuspects("i2")
    first.merge(messages.Suspects(entries), 100.0)
    shuffled = entries * 2
    rng.shuffle(shuffled)
    for entry in shuffled:
        second.merge(messages.Suspects([entry]), 100.0)
    # The same entries again with a network delay of one second.
    second.merge(messages.Suspects(entries), 101.0)
    by_name = [
        sorted(
            (e.fingerprint, e.crashes, e.age_s)
            for e in b.entries_for_peers(102.0).entries
        )
        for b in (first, second)
    ]
    assert by_name[0] == by_name[1]


def test_number_of_suspicions_is_bounded():
    """Guards against unbounded memory after crashes with many requests.

    Requirement R17.
    """
    crash_suspects = suspects.CrashSuspects("i1")
    for number in range(suspects.MAX_SUSPECTS + 10):
        crash_suspects.record_crash([(str(number), 0)], 0.0)
    assert len(crash_suspects) == suspects.MAX_SUSPECTS
    assert (
        len(crash_suspects.entries_for_peers(0.0).entries)
        <= suspects.MAX_SHARED_ENTRIES
    )
