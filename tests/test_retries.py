"""Tests of carobsail.retries."""

import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from carobsail import errors, retries

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)


def failed_attempt(outcome=errors.Outcome.FAILED, **fields):
    failure = errors.Failure(
        fields.pop("reason", errors.Reason.CONNECTION_LOST),
        errors.Step.ANSWER,
        "e1",
        outcome,
        retry_after_s=fields.pop("retry_after_s", None),
    )
    defaults = {
        "account": "a",
        "idempotent": True,
        "delivered": False,
        "attempts": 1,
        "time_left_s": 10.0,
    }
    return retries.FailedAttempt(failure, **(defaults | fields))


def decide(budget=None, **fields):
    return retries.decide(
        failed_attempt(**fields),
        budget or retries.RetryBudget(),
        random.Random(1),
    )


@SETTINGS
@hypothesis.given(
    st.sampled_from(list(errors.Reason)),
    st.sampled_from([errors.Outcome.FAILED, errors.Outcome.UNKNOWN]),
    st.booleans(),
    st.integers(1, 5),
    st.floats(-10, 100),
)
def test_non_idempotent_is_retried_only_if_not_run(
    reason, outcome, delivered, attempts, left
):
    """Guards against running a booking twice when its outcome is unknown.

    Requirement R5.
    """
    got = decide(
        reason=reason,
        outcome=outcome,
        idempotent=False,
        delivered=delivered,
        attempts=attempts,
        time_left_s=left,
    )
    assert got is retries.Refusal.MAY_HAVE_RUN


def test_not_run_attempt_is_retried():
    """Guards against failing a request for a refused connection (R9)."""
    got = decide(outcome=errors.Outcome.NOT_RUN, idempotent=False)
    assert isinstance(got, retries.Retry)


@pytest.mark.parametrize(
    ("fields", "refusal"),
    [
        ({"delivered": True}, retries.Refusal.BYTES_DELIVERED),
        ({"reason": errors.Reason.BAD_REQUEST}, retries.Refusal.NOT_RETRIABLE),
        (
            {"reason": errors.Reason.SUSPECT_REFUSED},
            retries.Refusal.NOT_RETRIABLE,
        ),
        ({"attempts": retries.MAX_ATTEMPTS}, retries.Refusal.ATTEMPTS_USED),
        ({"time_left_s": 0.0}, retries.Refusal.TOO_LATE),
        ({"retry_after_s": 10.0}, retries.Refusal.TOO_LATE),
    ],
)
def test_retries_that_cannot_help_are_refused(fields, refusal):
    """Guards against mixing two responses and against useless load.

    Requirements R3 and R13.
    """
    assert decide(**fields) is refusal


def test_backoff_is_jittered_and_bounded():
    """Guards against simultaneous retries of all senders (R13)."""
    rng = random.Random(2)
    for attempts in (1, 4, 1000):
        top = min(2.0, 0.05 * 2 ** min(16, attempts - 1))
        delays = [retries.backoff_s(attempts, rng) for _ in range(200)]
        assert 0.0 <= min(delays) < 0.1 * top
        assert 0.9 * top < max(delays) <= top


def test_budget_limits_retries_to_a_fraction_of_requests():
    """Guards against retries that multiply the load on a failing target.

    Requirement R13.
    """
    budget, granted = retries.RetryBudget(), 0
    for number in range(5000):
        account = f"a{number % 100}"
        budget.add_request(account)
        granted += isinstance(decide(budget, account=account), retries.Retry)
    assert granted == pytest.approx(
        5000 * retries.RETRY_FRACTION + retries.INSTANCE_RESERVE, abs=2
    )


def test_one_account_cannot_use_the_whole_budget():
    """Guards against one failing account using the retries of the others.

    Requirement R13.
    """
    budget = retries.RetryBudget()
    used = itertools.takewhile(lambda _: budget.take("a"), itertools.count())
    assert len(list(used)) == retries.ACCOUNT_RESERVE
    assert decide(budget) is retries.Refusal.BUDGET_USED
    assert isinstance(decide(budget, account="b"), retries.Retry)


def test_not_run_attempts_suffice_for_an_ownership_move():
    """Guards against failing a request after three refusals within 250 ms (R2).

    Owners refuse requests for the time that the ownership of a target moves.
    """
    failure = errors.Failure(
        errors.Reason.NOT_OWNER,
        errors.Step.ADMIT,
        "engine-1",
        errors.Outcome.NOT_RUN,
    )
    decided = [
        retries.decide(
            retries.FailedAttempt(
                failure, "counter", False, False, number, 30.0
            ),
            retries.RetryBudget(),
            random.Random(1),
        )
        for number in range(1, retries.MAX_NOT_RUN_ATTEMPTS + 1)
    ]
    assert all(isinstance(d, retries.Retry) for d in decided[:-1])
    assert decided[-1] is retries.Refusal.ATTEMPTS_USED
