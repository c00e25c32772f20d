"""Tests of carobsail.suspects."""

import hypothesis
import pytest
from hypothesis import strategies as st

from carobsail import errors, messages, suspects

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)


def refused(book, fingerprint, now):
    verdict = book.verdict(fingerprint, now)
    return isinstance(verdict, errors.Failure)


def run_and_crash(book, fingerprint, now):
    """Runs a crashing request at an instance; returns the engines lost."""
    if refused(book, fingerprint, now):
        return 0
    book.crashed([(fingerprint, book.crashes(fingerprint, now))], now)
    return 1


def test_two_crashes_are_refused_for_ten_minutes():
    """Guards against a request that crashes each target that runs it."""
    book = suspects.SuspectBook("i1")
    assert book.verdict("x", 0.0) is suspects.Verdict.NORMAL
    run_and_crash(book, "x", 0.0)
    assert book.verdict("x", 1.0) is suspects.Verdict.ALONE
    run_and_crash(book, "x", 2.0)
    refusal = book.verdict("x", 3.0)
    assert refusal.reason is errors.Reason.SUSPECT_REFUSED
    assert refusal.outcome is errors.Outcome.NOT_RUN
    assert refusal.retry_after_s == pytest.approx(599.0)
    assert refused(book, "x", 2.0 + suspects.REFUSED_S - 0.1)
    assert not refused(book, "x", 2.0 + suspects.REFUSED_S)


def test_other_requests_are_never_refused_for_one_crash():
    """Guards against counting a crash for owner, sender and peer each."""
    owner, sender = suspects.SuspectBook("i1"), suspects.SuspectBook("i2")
    runs = [("x", 0), ("neighbour", 0), ("neighbour", 0)]
    owner.crashed(runs, 0.0)
    sender.merge(owner.share(0.0), 0.1)
    sender.crashed(runs, 0.2)
    owner.merge(sender.share(0.2), 0.3)
    for book in (owner, sender):
        book.crashed(
            [("neighbour", 0)], 0.4
        )  # A second target of the rack crashed.
        assert book.verdict("neighbour", 0.5) is suspects.Verdict.ALONE
    sender.finished("neighbour", 1.0)
    shared = sender.share(1.1)
    sender.merge(owner.share(1.1), 1.2)  # A peer still sends the old suspicion.
    owner.merge(shared, 1.2)
    for book in (owner, sender):
        assert book.verdict("neighbour", 1.3) is suspects.Verdict.NORMAL
        assert book.verdict("x", 1.3) is suspects.Verdict.ALONE


def test_late_report_of_an_old_run_does_not_lift_a_refusal():
    """Guards against a run from before the first crash resetting the count."""
    book = suspects.SuspectBook("i1")
    book.crashed([("x", 0)], 0.0)
    book.crashed([("x", 1)], 1.0)
    book.crashed([("x", 0)], 2.0)
    assert refused(book, "x", 3.0)


def test_only_one_rerun_at_a_time():
    """Guards against one suspect crashing several engines concurrently."""
    book = suspects.SuspectBook("i1")
    book.crashed([("x", 0)], 0.0)
    assert book.begin_alone("x", "r1", 1.0) is None
    second = book.begin_alone("x", "r2", 1.0)
    assert second.reason is errors.Reason.OVERLOADED
    assert second.outcome is errors.Outcome.NOT_RUN
    book.end_alone("x", "r2")
    assert book.begin_alone("x", "r3", 1.0) is not None
    book.end_alone("x", "r1")
    assert book.begin_alone("x", "r3", 1.0) is None
    book.crashed([("x", 1)], 2.0)
    book.end_alone("x", "r3")
    last = book.begin_alone("x", "r4", 3.0)
    assert last.reason is errors.Reason.SUSPECT_REFUSED


def test_all_instances_pick_the_same_quarantine_target():
    """Guards against several owners that each rerun the same suspect."""
    names = [f"e{n}" for n in range(8)]
    pick = suspects.quarantine_target("x", names)
    assert pick == suspects.quarantine_target("x", names[::-1])
    others = [n for n in names if n != pick]
    assert suspects.quarantine_target("x", [*others[:3], pick]) == pick
    assert suspects.quarantine_target("x", []) is None


@pytest.mark.parametrize("instances", [1, 2, 7])
def test_worst_number_of_engines_without_any_message(instances):
    """Counts the engines that crash when no suspicion reaches a peer."""
    books = [suspects.SuspectBook(f"i{n}") for n in range(instances)]
    lost = sum(
        run_and_crash(book, "x", float(now))
        for now in range(20)
        for book in books
    )
    assert lost == 2 * instances


@SETTINGS
@hypothesis.given(st.integers(0, 6), st.lists(st.integers(0, 6), max_size=40))
def test_worst_number_of_engines_with_late_instances(late, order):
    """Guards against more than k + 2 crashes with k late instances."""
    books = [suspects.SuspectBook(f"i{n}") for n in range(7)]
    lost = run_and_crash(books[0], "x", 0.0)
    first = books[0].share(0.0)
    for book in books[late + 1 :]:
        book.merge(first, 0.0)
    lost += sum(run_and_crash(b, "x", 0.1) for b in books[1 : late + 1])
    assert lost == late + 1
    for sender in books:
        for receiver in books:
            receiver.merge(sender.share(0.2), 0.2)
    for step, number in enumerate(order):
        now = 1.0 + step
        lost += run_and_crash(books[number], "x", now)
        for receiver in books:
            receiver.merge(books[number].share(now), now)
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
    """Guards against suspicions that grow by being passed between peers."""
    first, second = suspects.SuspectBook("i1"), suspects.SuspectBook("i2")
    first.merge(messages.Suspects(entries), 100.0)
    shuffled = entries * 2
    rng.shuffle(shuffled)
    for entry in shuffled:
        second.merge(messages.Suspects([entry]), 100.0)
    # The same entries again with a network delay of one second.
    second.merge(messages.Suspects(entries), 101.0)
    by_name = [
        sorted(
            (e.fingerprint, e.crashes, e.age_s) for e in b.share(102.0).entries
        )
        for b in (first, second)
    ]
    assert by_name[0] == by_name[1]


def test_number_of_suspicions_is_bounded():
    """Guards against unbounded memory after crashes with many requests."""
    book = suspects.SuspectBook("i1")
    for number in range(suspects.MAX_SUSPECTS + 10):
        book.crashed([(str(number), 0)], 0.0)
    assert len(book) == suspects.MAX_SUSPECTS
    assert len(book.share(0.0).entries) <= suspects.MAX_SHARED_ENTRIES
