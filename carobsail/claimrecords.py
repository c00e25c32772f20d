"""Stored idempotency claims, and how a stored value decides a pending write."""

import asyncio
import hashlib
from typing import Any

import msgspec

from carobsail import errors, keyvalue, messages

PREFIX = "/carobsail-claims/"
MAX_ANSWER_BYTES = 16 * 1024
# Below the 6 s for which requesters wait for the claim writer.
CLAIM_WRITE_TIMEOUT_S = 5.0
# Without a recorded result, repeats are answered with `unknown`, so writes of
# results are retried for longer than claims.
SETTLE_WRITE_TIMEOUT_S = 60.0
RETRY_AFTER_S = 1.0


class Record(msgspec.Struct, frozen=True, omit_defaults=True):
    """A stored claim.

    Attributes:
      token: Identifies the operation that holds the key.
      fingerprint: Hash of the request.
      state: `taken`, `done` or `unknown`.
      answer: The whole response (`done`), or only its status (`unknown`).
    """

    token: str
    fingerprint: str
    state: str = "taken"
    answer: messages.StoredResponse | None = None


def claim_key(account: str, key: str) -> str:
    """Returns the key under which the claim of an idempotency key is stored."""
    return f"{PREFIX}{account}/{hashlib.sha256(key.encode()).hexdigest()}"


def is_storable(response: messages.StoredResponse) -> bool:
    """Returns whether a response is small enough to be stored."""
    return len(msgspec.msgpack.encode(response)) <= MAX_ANSWER_BYTES


def claim_failure(
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


def outcome_unknown(response: messages.StoredResponse | None) -> errors.Failure:
    """Returns an OUTCOME_UNKNOWN failure.

    Args:
      response: Status of a response that was too large to record; None when no
        result is recorded.
    """
    detail = "the key is taken and no result is recorded"
    if response is not None:
        detail = f"answered with status {response.status}, body not recorded"
    return claim_failure(
        errors.Reason.OUTCOME_UNKNOWN, errors.Outcome.UNKNOWN, detail
    )


def key_reused() -> errors.Failure:
    """Returns the failure of a key that another request already used."""
    return claim_failure(
        errors.Reason.KEY_REUSED,
        errors.Outcome.NOT_RUN,
        "the key belongs to another request",
    )


def operation_in_progress() -> errors.Failure:
    """Returns the failure of a repeat that arrives before the response."""
    return claim_failure(
        errors.Reason.IN_PROGRESS,
        errors.Outcome.UNKNOWN,
        "an operation with this key is in progress",
        RETRY_AFTER_S,
    )


def settlement_state(
    result: messages.StoredResponse | errors.Outcome, releasable: bool
) -> tuple[str, messages.StoredResponse | None]:
    """Returns the state to record for a finished operation.

    Args:
      result: The target's response; without one, what is known about the
        execution.
      releasable: Whether no other transaction can still store the claim.

    Returns:
      The state and the response of a `Settle` message.
    """
    if isinstance(result, messages.StoredResponse):
        if is_storable(result):
            return "done", result
        return "unknown", messages.StoredResponse(result.status, [], b"")
    if result is errors.Outcome.NOT_RUN and releasable:
        return "released", None
    return "unknown", None


class PendingWrite:
    """A claim or settlement that the claim writer has not answered yet.

    Attributes:
      key: Key under which the claim is stored.
      message: The message that asks for the write.
      deadline: Time on the loop's clock, in seconds, at which it is given up.
      future: Receives the `ClaimResult` or `Settled`.
      held: Revision and lease of the stored claim that a settlement replaces.
      may_take_effect: Whether a transaction with this write may still take
        effect.
      answered: Whether it was answered, even if the requester stopped waiting.
      timer: Answers a claim at its deadline, even while a call is in flight.
    """

    __slots__ = (
        "answered",
        "deadline",
        "future",
        "held",
        "key",
        "may_take_effect",
        "message",
        "timer",
    )

    def __init__(
        self, message: messages.Claim | messages.Settle, now: float
    ) -> None:
        self.key = claim_key(message.account, message.key)
        self.message = message
        is_claim = isinstance(message, messages.Claim)
        self.deadline = now + (
            CLAIM_WRITE_TIMEOUT_S if is_claim else SETTLE_WRITE_TIMEOUT_S
        )
        self.future: asyncio.Future[Any] = (
            asyncio.get_running_loop().create_future()
        )
        self.held: tuple[int, int] | None = None
        self.may_take_effect = False
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def is_claim(self) -> bool:
        """Whether this is a claim rather than a settlement."""
        return isinstance(self.message, messages.Claim)

    def compare(self) -> keyvalue.Compare:
        """Returns the write's condition: the claim is unchanged or absent."""
        return keyvalue.Compare(self.key, self.held[0] if self.held else 0)

    def write(self, lease: int) -> keyvalue.Put | keyvalue.Delete:
        """Returns the write.

        Args:
          lease: Lease of a new claim; a settlement keeps the claim's lease.
        """
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
                message.response,
            )
        return keyvalue.Put(self.key, msgspec.msgpack.encode(record), lease)

    def decide(self, value: keyvalue.KeyValue | None) -> str | Record | None:
        """Decides the write by the stored value.

        The value must have been read when no transaction with this write could
        still take effect.

        Returns:
          `granted`, `recorded` or `refused`; the record that answers a claim;
          None when the write has to be retried.
        """
        if value is None:
            if isinstance(self.message, messages.Claim):
                return None
            released = self.message.state == "released"
            return "recorded" if released else "refused"
        try:
            record = msgspec.msgpack.decode(value.value, type=Record)
        except msgspec.MsgspecError:
            # The key is taken by an unreadable record; it must not run again.
            record = Record("", self.message.fingerprint, "unknown")
        own_token = record.token == self.message.token
        if isinstance(self.message, messages.Claim):
            if not own_token or record.state != "taken":
                return record
            self.held = (value.mod_revision, value.lease)
            return "granted"
        if own_token and record.state == "taken":
            self.held = (value.mod_revision, value.lease)
            return None
        already_recorded = own_token and record.state == self.message.state
        return "recorded" if already_recorded else "refused"
