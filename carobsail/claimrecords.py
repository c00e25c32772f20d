"""Stored idempotency claims, and how one value decides one operation."""

import asyncio
import hashlib
from typing import Any

import msgspec

from carobsail import errors, keyvalue, messages

PREFIX = "/carobsail-claims/"
MAX_ANSWER_BYTES = 16 * 1024
# Callers of the writer wait for 6 s.
CLAIM_TRY_S = 5.0
# A lost result turns repeats into `unknown`, so results are tried for longer.
SETTLE_TRY_S = 60.0
RETRY_AFTER_S = 1.0


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """A stored claim.

    Attributes:
      token: Identifies the operation that holds the key.
      fingerprint: Hash of the request.
      state: `taken`, `done` or `unknown`.
      answer: The answer (`done`), or its status alone (`unknown`).
    """

    token: str
    fingerprint: str
    state: str = "taken"
    answer: messages.StoredAnswer | None = None


def claim_key(account: str, key: str) -> str:
    """Returns where the claim of an idempotency key is stored."""
    return f"{PREFIX}{account}/{hashlib.sha256(key.encode()).hexdigest()}"


def fits(answer: messages.StoredAnswer) -> bool:
    """Tells whether an answer is small enough to be stored."""
    return len(msgspec.msgpack.encode(answer)) <= MAX_ANSWER_BYTES


def fail(
    reason: errors.Reason,
    outcome: errors.Outcome,
    detail: str,
    retry_after_s: float | None = None,
) -> errors.Failure:
    """Returns a failure of step `CLAIM`."""
    return errors.Failure(
        reason,
        errors.Step.CLAIM,
        "claims",
        outcome,
        detail,
        retry_after_s,
    )


def unknown(answer: messages.StoredAnswer | None) -> errors.Failure:
    """Returns OUTCOME_UNKNOWN, with the status of an answer too large."""
    detail = "the key is taken and no result is recorded"
    if answer is not None:
        detail = f"answered with status {answer.status}, body not recorded"
    return fail(errors.Reason.OUTCOME_UNKNOWN, errors.Outcome.UNKNOWN, detail)


def reused() -> errors.Failure:
    """Returns the failure of a key that another request already used."""
    return fail(
        errors.Reason.KEY_REUSED,
        errors.Outcome.NOT_RUN,
        "the key belongs to another request",
    )


def in_progress() -> errors.Failure:
    """Returns the failure of a repeat that arrives before the answer."""
    return fail(
        errors.Reason.IN_PROGRESS,
        errors.Outcome.UNKNOWN,
        "an operation with this key is in progress",
        RETRY_AFTER_S,
    )


def settle_result(
    result: messages.StoredAnswer | errors.Outcome, releasable: bool
) -> tuple[str, messages.StoredAnswer | None]:
    """Returns the state to record for a finished operation.

    Args:
      result: The target's answer, or what is known without one.
      releasable: Whether no second record of the claim can exist.

    Returns:
      The state of a `Settle` and its answer.
    """
    if isinstance(result, messages.StoredAnswer):
        if fits(result):
            return "done", result
        return "unknown", messages.StoredAnswer(result.status, [], b"")
    if result is errors.Outcome.NOT_RUN and releasable:
        return "released", None
    return "unknown", None


class Operation:
    """One claim or settlement under way.

    Attributes:
      key: Where the claim is stored.
      message: The request.
      deadline: Time in seconds after which it is given up.
      future: Receives the answer.
      held: Revision and lease of the claim that a settlement replaces.
      sent: Whether a transaction with it may still take effect.
      answered: Whether it was answered, even if nobody waits any more.
      timer: Answers a claim that is overdue, whatever call is under way.
    """

    __slots__ = (
        "answered",
        "deadline",
        "future",
        "held",
        "key",
        "message",
        "sent",
        "timer",
    )

    def __init__(
        self, message: messages.Claim | messages.Settle, now: float
    ) -> None:
        self.key = claim_key(message.account, message.key)
        self.message = message
        is_claim = isinstance(message, messages.Claim)
        self.deadline = now + (CLAIM_TRY_S if is_claim else SETTLE_TRY_S)
        self.future: asyncio.Future[Any] = (
            asyncio.get_running_loop().create_future()
        )
        self.held: tuple[int, int] | None = None
        self.sent = False
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_claim(self) -> bool:
        """Whether this is a claim, not a settlement."""
        return isinstance(self.message, messages.Claim)

    def compare(self) -> keyvalue.Compare:
        """Returns the condition under which the write is right."""
        return keyvalue.Compare(self.key, self.held[0] if self.held else 0)

    def write(self, lease: int) -> keyvalue.Put | keyvalue.Delete:
        """Returns the write; a claim is bound to `lease`."""
        message = self.message
        if isinstance(message, messages.Claim):
            record = Record(message.token, message.fingerprint)
        elif message.state == "released":
            return keyvalue.Delete(self.key)
        else:
            lease = self.held[1] if self.held else 0
            record = Record(
                message.token,
                message.fingerprint,
                message.state,
                message.answer,
            )
        return keyvalue.Put(self.key, msgspec.msgpack.encode(record), lease)

    def judge(self, value: keyvalue.KeyValue | None) -> str | Record | None:
        """Judges by the stored value, which no transaction can change late.

        Returns:
          `granted`, `recorded` or `refused`; the record that answers a claim;
          None when the operation has to be tried again.
        """
        if value is None:
            if isinstance(self.message, messages.Claim):
                return None
            released = self.message.state == "released"
            return "recorded" if released else "refused"
        try:
            record = msgspec.msgpack.decode(value.value, type=Record)
        except msgspec.MsgspecError:
            # Held by something unreadable: not to be run again.
            record = Record("", self.message.fingerprint, "unknown")
        own = record.token == self.message.token
        if isinstance(self.message, messages.Claim):
            if not own or record.state != "taken":
                return record
            self.held = (value.mod_revision, value.lease)
            return "granted"
        if own and record.state == "taken":
            self.held = (value.mod_revision, value.lease)
            return None
        same = own and record.state == self.message.state
        return "recorded" if same else "refused"
