"""Guards against a second run of an operation with the same key (R4, R5).

Covers keys made by callers and keys issued by instances. Numbers such as R4
refer to the requirements.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carobsail import errors, idempotency, issuedkeys, messages
from tests.builders_claims import ANSWER

SECRETS = [b"new", b"old"]


def _book():
    return idempotency.ClaimBook(random.Random(1))


def _granted(book, key="k"):
    claim = book.begin("acme", key, "f")
    granted = messages.ClaimResult(claim.token, "granted")
    assert book.receive(granted) is None
    return claim.token


def _keys(incarnation=1, secrets=SECRETS):
    generator = random.Random(incarnation)
    return idempotency.IssuedKeys("e1", incarnation, secrets, generator)


def test_repeat_in_progress_is_refused_and_then_replayed():
    """R5: a concurrent repeat must not start a second operation."""
    book = _book()
    token = _granted(book)
    repeat = book.begin("acme", "k", "f")
    assert repeat.reason is errors.Reason.IN_PROGRESS
    assert repeat.outcome is errors.Outcome.UNKNOWN
    other = book.begin("acme", "k", "g")
    assert other.reason is errors.Reason.KEY_REUSED
    assert book.finish(token, ANSWER).state == "done"
    assert book.begin("acme", "k", "f") == ANSWER
    assert isinstance(book.begin("other", "k", "f"), messages.Claim)


def test_second_grant_of_one_token_does_not_run():
    """R5: a duplicate response of the writer must not run it again."""
    book = _book()
    token = _granted(book)
    again = book.receive(messages.ClaimResult(token, "granted"))
    assert again.reason is errors.Reason.OUTCOME_UNKNOWN


@pytest.mark.parametrize(
    ("state", "reason", "outcome"),
    [
        ("unknown", "outcome_unknown", "unknown"),
        ("mismatch", "key_reused", "not_run"),
        ("unavailable", "claims_unavailable", "not_run"),
    ],
)
def test_refused_claims(state, reason, outcome):
    """R4: only a claim that is certainly not held counts as not run."""
    book = _book()
    token = book.begin("acme", "k", "f").token
    failure = book.receive(messages.ClaimResult(token, state))
    assert (failure.reason, failure.outcome) == (reason, outcome)
    assert isinstance(book.begin("acme", "k", "f"), messages.Claim)


def test_second_writer_makes_a_claim_unreleasable():
    """R4: the first writer's transaction may take effect late."""
    book = _book()
    token = book.begin("acme", "k", "f").token
    book.claim_again(token)
    failure = book.receive(messages.ClaimResult(token, "unavailable"))
    assert failure.outcome is errors.Outcome.UNKNOWN
    token = book.begin("acme", "k", "f").token
    book.claim_again(token)
    book.receive(messages.ClaimResult(token, "granted"))
    assert book.finish(token, errors.Outcome.NOT_RUN).state == "unknown"


def test_release_keeps_the_key_until_it_is_recorded():
    """R4: a repeat must not run while the claim is about to be released."""
    book = _book()
    token = _granted(book)
    assert book.finish(token, errors.Outcome.NOT_RUN).state == "released"
    repeat = book.begin("acme", "k", "f")
    assert repeat.reason is errors.Reason.IN_PROGRESS
    assert book.finish(token, ANSWER) is None
    book.end_settlement(messages.Settled(token, True))
    assert isinstance(book.begin("acme", "k", "f"), messages.Claim)


def test_results_are_bounded():
    """R17: recent results must not outgrow the instance's memory."""
    book = _book()
    answer = messages.StoredAnswer(200, [], b"x" * 16_000)
    for i in range(200):
        book.finish(_granted(book, f"k{i}"), answer)
    assert book.dump()["result_bytes"] <= 2_000_000
    assert book.dump()["in_progress"] == 0
    large = messages.StoredAnswer(201, [], b"x" * 16_385)
    settle = book.finish(_granted(book, "large"), large)
    assert (settle.state, settle.answer.body) == ("unknown", b"")
    assert "status 201" in book.begin("acme", "large", "f").detail


def test_forged_and_foreign_keys():
    """Section 8: only a genuine key of this incarnation may run here."""
    keys = _keys()
    text = keys.issue("acme", 0.0)
    assert isinstance(keys.check("mine"), idempotency.CallerKey)
    for forged in (text[:-1] + "-", text.replace("e1", "e2"), "ck1.é"):
        assert keys.check(forged).reason is errors.Reason.BAD_REQUEST
    rotated = _keys(2, [b"newer", b"new"])
    key_id = rotated.check(text)
    assert key_id.issuer == "e1" and not rotated.is_own(key_id)
    failure = rotated.begin(key_id, "acme", "f", 0.0)
    assert failure.reason is errors.Reason.OUTCOME_UNKNOWN


def test_issued_key_belongs_to_its_account():
    """Section 12: an account must not see another account's answer."""
    keys = _keys()
    key_id = keys.check(keys.issue("acme", 0.0))
    assert keys.begin(key_id, "acme", "f", 0.0) is None
    keys.finish(key_id, ANSWER)
    assert keys.begin(key_id, "acme", "f", 0.0) == ANSWER
    failure = keys.begin(key_id, "other", "f", 0.0)
    assert failure.reason is errors.Reason.OUTCOME_UNKNOWN


def test_issued_keys_are_bounded():
    """R17: open keys must not outgrow the instance's memory."""
    keys = _keys()
    for _ in range(issuedkeys.MAX_KEYS):
        assert isinstance(keys.issue("acme", 0.0), str)
    refused = keys.issue("acme", 1.0)
    assert refused.reason is errors.Reason.OVERLOADED
    assert refused.retry_after_s == issuedkeys.KEY_TTL_S - 1.0
    assert isinstance(keys.issue("acme", issuedkeys.KEY_TTL_S), str)


STEP = st.tuples(
    st.sampled_from(["begin", "answer", "not_run", "unknown", "wait"]),
    st.integers(0, 1),
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(STEP, max_size=30))
def test_issued_key_runs_at_most_once(steps):
    """R5: no sequence of events may run an issued key twice."""
    keys, now = _keys(), 0.0
    key_ids = [keys.check(keys.issue("acme", now)) for _ in range(2)]
    running, ended = set(), set()
    for step, i in steps:
        if step == "wait":
            now += issuedkeys.KEY_TTL_S
        elif step == "begin":
            if keys.begin(key_ids[i], "acme", "f", now) is None:
                assert i not in running | ended
                running.add(i)
        elif i in running:
            running.remove(i)
            if step == "not_run":
                keys.finish(key_ids[i], errors.Outcome.NOT_RUN)
                continue
            ended.add(i)
            unknown = errors.Outcome.UNKNOWN
            keys.finish(key_ids[i], ANSWER if step == "answer" else unknown)
