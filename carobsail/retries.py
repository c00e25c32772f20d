"""Decides whether a failed attempt is retried, and when.

A non-idempotent operation is retried only if the failed attempt certainly has
not run. Retries are limited to a fraction of the requests, so that they don't
multiply the load on a failing target.
"""

import collections
import dataclasses
import enum
import random

from carobsail import errors, tokenbucket

MAX_ATTEMPTS = 3
# Attempts that certainly have not run put no load on targets, so more of them
# are allowed. While the ownership of a target moves, which takes 4 to 6 s, 3
# attempts were used up within 250 ms.
MAX_NOT_RUN_ATTEMPTS = 12
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 2.0
RETRY_FRACTION = 0.1  # Retries per request, of an instance and of an account.
# Retries that can accumulate while requests succeed.
INSTANCE_RESERVE = 50.0
ACCOUNT_RESERVE = 10.0
MAX_ACCOUNTS = 8192

_RETRIABLE = frozenset(
    {
        errors.Reason.OVERLOADED,
        errors.Reason.QUEUE_FULL,
        errors.Reason.NO_TARGET,
        errors.Reason.NOT_OWNER,
        errors.Reason.NOT_READY,
        errors.Reason.LEAVING,
        errors.Reason.CONNECT_FAILED,
        errors.Reason.CONNECTION_LOST,
        errors.Reason.ANSWER_CUT,
        errors.Reason.TARGET_REFUSED,
        errors.Reason.TARGET_ERROR,
        errors.Reason.TIMEOUT,
        errors.Reason.NO_MEMORY,
        errors.Reason.UNAVAILABLE,
    }
)


class Refusal(enum.StrEnum):
    """Why an attempt is not retried."""

    MAY_HAVE_RUN = "may_have_run"
    BYTES_DELIVERED = "bytes_delivered"
    NOT_RETRIABLE = "not_retriable"
    ATTEMPTS_USED = "attempts_used"
    TOO_LATE = "too_late"
    BUDGET_USED = "budget_used"


@dataclasses.dataclass(slots=True, frozen=True)
class FailedAttempt:
    """A failed attempt and its request.

    Attributes:
      failure: The failure.
      account: Client account.
      idempotent: Whether the operation may run more than once.
      delivered: Whether response bytes were delivered to the caller.
      attempts: Attempts made so far, including this one.
      time_left_s: Seconds until the response is due.
    """

    failure: errors.Failure
    account: str
    idempotent: bool
    delivered: bool
    attempts: int
    time_left_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Retry:
    """Decision to send the request again after `delay_s` seconds."""

    delay_s: float


class RetryBudget:
    """Retries that this instance and each client account may still make."""

    __slots__ = ("_accounts", "_instance")

    def __init__(self) -> None:
        self._instance = _bucket(INSTANCE_RESERVE)
        self._accounts: collections.OrderedDict[
            str, tokenbucket.TokenBucket
        ] = collections.OrderedDict()

    def add_request(self, account: str) -> None:
        """Adds the fraction of a retry that each request allows."""
        self._instance.add(RETRY_FRACTION)
        self._account(account).add(RETRY_FRACTION)

    def take(self, account: str) -> bool:
        """Takes one retry from the account's and the instance's budgets.

        Returns:
          Whether both had a retry left; if not, neither is charged.
        """
        account_bucket = self._account(account)
        if not account_bucket.take(0.0):
            return False
        if not self._instance.take(0.0):
            account_bucket.add(1.0)
            return False
        return True

    def _account(self, account: str) -> tokenbucket.TokenBucket:
        bucket = self._accounts.get(account)
        if bucket is None:
            bucket = self._accounts[account] = _bucket(ACCOUNT_RESERVE)
            if len(self._accounts) > MAX_ACCOUNTS:
                self._accounts.popitem(last=False)
        self._accounts.move_to_end(account)
        return bucket


def _bucket(reserve: float) -> tokenbucket.TokenBucket:
    # Only requests fill the bucket; its rate of refill over time is 0.
    return tokenbucket.TokenBucket(0.0, reserve, 0.0)


def backoff_s(attempts: int, rng: random.Random) -> float:
    """Returns an exponential backoff with full jitter, in seconds."""
    exponent = min(16, max(0, attempts - 1))
    return rng.uniform(0.0, min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2**exponent))


def decide(
    failed_attempt: FailedAttempt, budget: RetryBudget, rng: random.Random
) -> Retry | Refusal:
    """Decides whether a failed attempt is retried.

    A retry is charged to the budget when it is granted.

    Args:
      failed_attempt: The failed attempt and its request.
      budget: The instance's retry budget.
      rng: Source of the jitter.

    Returns:
      The retry with its delay, or the reason not to retry.
    """
    if refusal := _find_refusal(failed_attempt):
        return refusal
    delay_s = backoff_s(failed_attempt.attempts, rng)
    if failed_attempt.failure.retry_after_s is not None:
        delay_s += failed_attempt.failure.retry_after_s
    if delay_s >= failed_attempt.time_left_s:
        return Refusal.TOO_LATE
    if not budget.take(failed_attempt.account):
        return Refusal.BUDGET_USED
    return Retry(delay_s)


def _find_refusal(failed_attempt: FailedAttempt) -> Refusal | None:
    failure = failed_attempt.failure
    not_run = failure.outcome is errors.Outcome.NOT_RUN
    if not failed_attempt.idempotent and not not_run:
        return Refusal.MAY_HAVE_RUN
    if failed_attempt.delivered:
        return Refusal.BYTES_DELIVERED
    if failure.reason not in _RETRIABLE:
        return Refusal.NOT_RETRIABLE
    max_attempts = MAX_NOT_RUN_ATTEMPTS if not_run else MAX_ATTEMPTS
    if failed_attempt.attempts >= max_attempts:
        return Refusal.ATTEMPTS_USED
    return None
