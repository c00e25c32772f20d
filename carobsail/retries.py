"""Decides whether a failed attempt is sent again, and when.

A non-idempotent operation is sent again only when the first sending is
proved not to have run. Retries are limited to a fraction of the requests, so
that a failing target is not met with a multiple of its load.
"""

import collections
import dataclasses
import enum
import random

from carobsail import errors, tokenbucket

MAX_ATTEMPTS = 3
# Attempts that were proved not to have run put no load on targets. While
# ownership moves, 3 of them were used up within 250 ms of a 4 to 6 s move.
MAX_UNSENT_ATTEMPTS = 12
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 2.0
RETRY_FRACTION = 0.1  # Retries per request, over an instance and an account.
INSTANCE_RESERVE = 50.0  # Retries saved up while nothing failed.
ACCOUNT_RESERVE = 10.0
MAX_ACCOUNTS = 8192

_RETRIED = frozenset(
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
    """Why an attempt is not repeated."""

    MAY_HAVE_RUN = "may_have_run"
    BYTES_DELIVERED = "bytes_delivered"
    NOT_RETRIABLE = "not_retriable"
    ATTEMPTS_USED = "attempts_used"
    TOO_LATE = "too_late"
    BUDGET_USED = "budget_used"


@dataclasses.dataclass(slots=True, frozen=True)
class Attempted:
    """A failed attempt and its request.

    Attributes:
      failure: The failure.
      account: Client account.
      idempotent: Whether the operation may run more than once.
      delivered: Whether bytes of the answer reached the caller.
      attempts: Attempts made so far, this one included.
      time_left_s: Seconds until the answer is due.
    """

    failure: errors.Failure
    account: str
    idempotent: bool
    delivered: bool
    attempts: int
    time_left_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Retry:
    """Send the request again after `delay_s` seconds."""

    delay_s: float


class RetryBudget:
    """Retries that this instance and each client account may still make."""

    __slots__ = ("_accounts", "_instance")

    def __init__(self) -> None:
        self._instance = _bucket(INSTANCE_RESERVE)
        self._accounts: collections.OrderedDict[
            str, tokenbucket.TokenBucket
        ] = collections.OrderedDict()

    def count_request(self, account: str) -> None:
        """Earns the fraction of a retry that one request allows."""
        self._instance.add(RETRY_FRACTION)
        self._account(account).add(RETRY_FRACTION)

    def take(self, account: str) -> bool:
        """Spends one retry of the account and of the instance."""
        own = self._account(account)
        if not own.take(0.0):
            return False
        if not self._instance.take(0.0):
            own.add(1.0)
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
    # Filled by requests only: time without requests earns no retries.
    return tokenbucket.TokenBucket(0.0, reserve, 0.0)


def backoff_s(attempts: int, rng: random.Random) -> float:
    """Returns an exponential backoff with full jitter, in seconds."""
    exponent = min(16, max(0, attempts - 1))
    return rng.uniform(0.0, min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2**exponent))


def decide(
    attempted: Attempted, budget: RetryBudget, rng: random.Random
) -> Retry | Refusal:
    """Decides what follows a failed attempt.

    A retry is counted in the budget when it is granted.

    Args:
      attempted: The failed attempt and its request.
      budget: The instance's retry budget.
      rng: Source of the jitter.

    Returns:
      The retry with its delay, or the reason not to retry.
    """
    if refusal := _forbidden(attempted):
        return refusal
    delay_s = backoff_s(attempted.attempts, rng)
    if attempted.failure.retry_after_s is not None:
        delay_s += attempted.failure.retry_after_s
    if delay_s >= attempted.time_left_s:
        return Refusal.TOO_LATE
    if not budget.take(attempted.account):
        return Refusal.BUDGET_USED
    return Retry(delay_s)


def _forbidden(attempted: Attempted) -> Refusal | None:
    failure = attempted.failure
    not_run = failure.outcome is errors.Outcome.NOT_RUN
    if not attempted.idempotent and not not_run:
        return Refusal.MAY_HAVE_RUN
    if attempted.delivered:
        return Refusal.BYTES_DELIVERED
    if failure.reason not in _RETRIED:
        return Refusal.NOT_RETRIABLE
    most = MAX_UNSENT_ATTEMPTS if not_run else MAX_ATTEMPTS
    if attempted.attempts >= most:
        return Refusal.ATTEMPTS_USED
    return None
