"""Guards against a second run of an operation with the same key (R4, R5).

Covers keys made by callers and keys issued by instances. Numbers such as R4
refer to the requirements in docs/design.md.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carobsail import errors, idempotency, issuedkeys, messages
from tests.builders_claims import RESPONSE

SECRETS = [b"new", b"old"]


def _tracker():
    return idempotency.ClaimTracker(random.Random(1))


def _granted(tracker, key="k"):
    claim = tracker.begin("acme", key, "f")
    granted = messages.ClaimResult(claim.token, "granted")
    assert tracker.receive(granted) is None
    return claim.token


def _keys(incarnation=1, secrets=SECRETS):
    generator = random.Random(incarnation)
    return idempotency.IssuedKeyTable("e1", incarnation, secrets, generator)


def test_repeat_in_progress_is_refused_and_then_replayed():
    """R5: a concurrent repeat must not start a second operation."""
    tracker = _tracker()
    token = _granted(tracker)
    repeat = tracker.begin("acme", "k", "f")
    assert repeat.reason is errors.Reason.IN_PROGRESS
    assert repeat.outcome is errors.Outcome.UNKNOWN
    other = tracker.begin("acme", "k", "g")
    assert other.reason is errors.Reason.KEY_REUSED
    assert tracker.finish(token, RESPONSE).state == "done"
    assert tracker.begin("acme", "k", "f") == RESPONSE
    assert isinstance(tracker.begin("other", "k", "f"), messages.Claim)


def test_second_grant_of_one_token_does_not_run():
    """R5: a duplicate response of the writer must not run it again."""
    tracker = _tracker()
    token = _granted(tracker)
    again = tracker.receive(messages.ClaimResult(token, "granted"))
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
    tracker = _tracker()
    token = tracker.begin("acme", "k", "f").token
    failure = tracker.receive(messages.ClaimResult(token, state))
    assert (failure.reason, failure.outcome) == (reason, outcome)
    assert isinstance(tracker.begin("acme", "k", "f"), messages.Claim)


def test_second_writer_makes_a_claim_unreleasable():
    """R4: the first writer's transaction may take effect late."""
    tracker = _tracker()
    token = tracker.begin("acme", "k", "f").token
    tracker.claim_again(token)
    failure = tracker.receive(messages.ClaimResult(token, "unavailable"))
    assert failure.outcome is errors.Outcome.UNKNOWN
    token = tracker.begin("acme", "k", "f").token
    tracker.claim_again(token)
    tracker.receive(messages.ClaimResult(token, "granted"))
    assert tracker.finish(token, errors.Outcome.NOT_RUN).state == "unknown"


def test_release_keeps_the_key_until_it_is_recorded():
    """R4: a repeat must not run while the claim is about to be released."""
    tracker = _tracker()
    token = _granted(tracker)
    assert tracker.finish(token, errors.Outcome.NOT_RUN).state == "released"
    repeat = tracker.begin("acme", "k", "f")
    assert repeat.reason is errors.Reason.IN_PROGRESS
    assert tracker.finish(token, RESPONSE) is None
    tracker.end_settlement(messages.Settled(token, True))
    assert isinstance(tracker.begin("acme", "k", "f"), messages.Claim)


def test_results_are_bounded():
    """R17: recent results must not outgrow the instance's memory."""
    tracker = _tracker()
    response = messages.StoredResponse(200, [], b"x" * 16_000)
    for i in range(200):
        tracker.finish(_granted(tracker, f"k{i}"), response)
    assert tracker.dump()["result_bytes"] <= 2_000_000
    assert tracker.dump()["in_progress"] == 0
    large = messages.StoredResponse(201, [], b"x" * 16_385)
    settle = tracker.finish(_granted(tracker, "large"), large)
    assert (settle.state, settle.response.body) == ("unknown", b"")
    assert "status 201" in tracker.begin("acme", "large", "f").detail


def test_forged_and_foreign_keys():
    """Only a genuine key of this incarnation may run here.

    See docs/design.md, section 8.
    """
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
    """An account must not see another account's answer.

    See docs/design.md, section 12.
    """
    keys = _keys()
    key_id = keys.check(keys.issue("acme", 0.0))
    assert keys.begin(key_id, "acme", "f", 0.0) is None
    keys.finish(key_id, RESPONSE)
    assert keys.begin(key_id, "acme", "f", 0.0) == RESPONSE
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
            keys.finish(key_ids[i], RESPONSE if step == "answer" else unknown)
