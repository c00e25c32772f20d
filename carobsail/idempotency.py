"""Idempotency keys in use at one entry instance.

The claim writer is in `claimwriter.py`, keys issued by an instance itself in
`issuedkeys.py`; both are exported here.
"""

import collections
import random
from typing import Any

from carobsail import errors, messages
from carobsail.claimrecords import (
    MAX_ANSWER_BYTES,
    RETRY_AFTER_S,
    claim_key,
    fail,
    fits,
    in_progress,
    reused,
    settle_result,
    unknown,
)
from carobsail.claimwriter import ClaimWriter
from carobsail.issuedkeys import IssuedKeys, KeyName, Unissued

__all__ = [
    "MAX_ANSWER_BYTES",
    "ClaimBook",
    "ClaimWriter",
    "IssuedKeys",
    "KeyName",
    "Unissued",
    "claim_key",
    "fits",
    "settle_result",
]

MAX_IN_PROGRESS = 10_000
# Recent results spare the key-value service; 2 MB of the 32 MB (R17).
MAX_RESULTS = 4096
MAX_RESULT_BYTES = 2_000_000


class _InProgress:
    """A key whose operation runs here."""

    __slots__ = (
        "account",
        "asked",
        "fingerprint",
        "granted",
        "key",
        "settling",
        "token",
    )

    def __init__(
        self, account: str, key: str, token: str, fingerprint: str
    ) -> None:
        self.account = account
        self.key = key
        self.token = token
        self.fingerprint = fingerprint
        self.asked = 1
        self.granted = False
        self.settling = False


class ClaimBook:
    """Keys in progress at one entry instance, and its recent results.

    The flow of one operation: `begin`, send the claim, `receive` its result,
    run the operation when told so, `finish`, send the settlement, `settled`.
    """

    __slots__ = (
        "_by_token",
        "_in_progress",
        "_random",
        "_result_bytes",
        "_results",
    )

    def __init__(self, generator: random.Random) -> None:
        """Creates the book; `generator` makes the tokens."""
        self._random = generator
        self._in_progress: dict[str, _InProgress] = {}
        self._by_token: dict[str, _InProgress] = {}
        self._results: collections.OrderedDict[
            str, tuple[str, messages.StoredAnswer | None, str]
        ] = collections.OrderedDict()
        self._result_bytes = 0

    def begin(
        self, account: str, key: str, fingerprint: str
    ) -> messages.Claim | messages.StoredAnswer | errors.Failure:
        """Starts an operation.

        Args:
          account: Client account.
          key: The caller's idempotency key.
          fingerprint: Hash of the request.

        Returns:
          The claim to send, the recorded answer to replay, or a failure.
        """
        place = claim_key(account, key)
        running = self._in_progress.get(place)
        if running is not None:
            if running.fingerprint != fingerprint:
                return reused()
            return in_progress()
        recent = self._results.get(place)
        if recent is not None:
            self._results.move_to_end(place)
            if recent[2] != fingerprint:
                return reused()
            if recent[0] == "done" and recent[1] is not None:
                return recent[1]
            return unknown(recent[1])
        if len(self._in_progress) >= MAX_IN_PROGRESS:
            return fail(
                errors.Reason.OVERLOADED,
                errors.Outcome.NOT_RUN,
                f"{MAX_IN_PROGRESS} keys are in progress",
                RETRY_AFTER_S,
            )
        token = f"{self._random.getrandbits(128):032x}"
        running = _InProgress(account, key, token, fingerprint)
        self._in_progress[place] = running
        self._by_token[token] = running
        return messages.Claim(account, key, token, fingerprint)

    def ask_again(self, token: str) -> messages.Claim | None:
        """Returns the claim to send to another writer, None when it ended.

        From then on the claim is never released, because a transaction of
        the first writer may take effect late.
        """
        running = self._by_token.get(token)
        if running is None or running.settling:
            return None
        running.asked += 1
        return messages.Claim(
            running.account, running.key, token, running.fingerprint
        )

    def receive(
        self, result: messages.ClaimResult
    ) -> None | messages.StoredAnswer | errors.Failure:
        """Takes the claim writer's result.

        Returns:
          None when the operation may run now; otherwise the answer or
          failure for the caller, and the key is no longer in progress here.
        """
        running = self._by_token.get(result.token)
        if running is None or running.settling or running.granted:
            return unknown(None)  # A second result must not run it again.
        if result.state == "granted":
            running.granted = True
            return None
        self._drop(running)
        if result.state == "done" and result.answer is not None:
            self._remember(running, "done", result.answer)
            return result.answer
        if result.state == "mismatch":
            return reused()
        if result.state == "unavailable" and running.asked == 1:
            return fail(
                errors.Reason.CLAIMS_UNAVAILABLE,
                errors.Outcome.NOT_RUN,
                "the key-value service is unavailable",
                RETRY_AFTER_S,
            )
        return unknown(result.answer)

    def finish(
        self, token: str, result: messages.StoredAnswer | errors.Outcome
    ) -> messages.Settle | None:
        """Ends an operation.

        Args:
          token: Token of the claim.
          result: The target's answer; without one, what is known. NOT_RUN
            also ends an operation whose claim is no longer waited for.

        Returns:
          The settlement to send, None when the operation already ended.
        """
        running = self._by_token.get(token)
        if running is None or running.settling:
            return None
        releasable = running.asked == 1
        state, answer = settle_result(result, releasable)
        running.settling = True
        if state != "released":
            self._drop(running)
            self._remember(running, state, answer)
        return messages.Settle(
            running.account,
            running.key,
            token,
            running.fingerprint,
            state,
            answer,
        )

    def settled(self, settled: messages.Settled) -> None:
        """Takes the writer's confirmation; a released key is free again."""
        running = self._by_token.get(settled.token)
        if running is not None and running.settling:
            self._drop(running)

    def dump(self) -> dict[str, Any]:
        """Returns the sizes of the book."""
        return {
            "in_progress": len(self._in_progress),
            "results": len(self._results),
            "result_bytes": self._result_bytes,
        }

    def _drop(self, running: _InProgress) -> None:
        self._by_token.pop(running.token, None)
        self._in_progress.pop(claim_key(running.account, running.key), None)

    def _remember(
        self,
        running: _InProgress,
        state: str,
        answer: messages.StoredAnswer | None,
    ) -> None:
        place = claim_key(running.account, running.key)
        self._results[place] = (state, answer, running.fingerprint)
        self._result_bytes += len(answer.body) if answer else 0
        while (
            len(self._results) > MAX_RESULTS
            or self._result_bytes > MAX_RESULT_BYTES
        ):
            _, oldest, _ = self._results.popitem(last=False)[1]
            self._result_bytes -= len(oldest.body) if oldest else 0
