"""Idempotency keys whose operations run at one entry instance.

The claim writer is in `claimwriter.py`, keys issued by an instance itself are
in `issuedkeys.py`; both are exported here.
"""

import collections
import random
from typing import Any

from carobsail import errors, messages
from carobsail.claimrecords import (
    MAX_ANSWER_BYTES,
    RETRY_AFTER_S,
    claim_failure,
    claim_key,
    is_storable,
    key_reused,
    operation_in_progress,
    outcome_unknown,
    settlement_state,
)
from carobsail.claimwriter import ClaimWriter
from carobsail.issuedkeys import CallerKey, IssuedKeyId, IssuedKeyTable

__all__ = [
    "MAX_ANSWER_BYTES",
    "CallerKey",
    "ClaimTracker",
    "ClaimWriter",
    "IssuedKeyId",
    "IssuedKeyTable",
    "claim_key",
    "is_storable",
    "settlement_state",
]

MAX_IN_PROGRESS = 10_000
# Cached results save calls to the key-value service; they take up to 2 MB of
# the 32 MB of requirement R17.
MAX_RESULTS = 4096
MAX_RESULT_BYTES = 2_000_000


class _InProgress:
    """A key whose operation runs at this instance."""

    __slots__ = (
        "account",
        "fingerprint",
        "granted",
        "key",
        "settling",
        "token",
        "writers_asked",
    )

    def __init__(
        self, account: str, key: str, token: str, fingerprint: str
    ) -> None:
        self.account = account
        self.key = key
        self.token = token
        self.fingerprint = fingerprint
        self.writers_asked = 1
        self.granted = False
        self.settling = False


class ClaimTracker:
    """Keys in progress at one entry instance, and a cache of recent results.

    The steps of one operation: `begin`, send the claim, `receive` its result,
    run the operation if allowed, `finish`, send the settlement,
    `end_settlement`.
    """

    __slots__ = (
        "_by_token",
        "_in_progress",
        "_result_bytes",
        "_results",
        "_rng",
    )

    def __init__(self, generator: random.Random) -> None:
        """Creates an empty table; `generator` makes the claims' tokens."""
        self._rng = generator
        self._in_progress: dict[str, _InProgress] = {}
        self._by_token: dict[str, _InProgress] = {}
        self._results: collections.OrderedDict[
            str, tuple[str, messages.StoredResponse | None, str]
        ] = collections.OrderedDict()
        self._result_bytes = 0

    def begin(
        self, account: str, key: str, fingerprint: str
    ) -> messages.Claim | messages.StoredResponse | errors.Failure:
        """Starts an operation.

        Args:
          account: Client account.
          key: The caller's idempotency key.
          fingerprint: Hash of the request.

        Returns:
          The claim to send, the recorded response to replay, or a failure.
        """
        record_key = claim_key(account, key)
        running = self._in_progress.get(record_key)
        if running is not None:
            if running.fingerprint != fingerprint:
                return key_reused()
            return operation_in_progress()
        recent = self._results.get(record_key)
        if recent is not None:
            self._results.move_to_end(record_key)
            if recent[2] != fingerprint:
                return key_reused()
            if recent[0] == "done" and recent[1] is not None:
                return recent[1]
            return outcome_unknown(recent[1])
        if len(self._in_progress) >= MAX_IN_PROGRESS:
            return claim_failure(
                errors.Reason.OVERLOADED,
                errors.Outcome.NOT_RUN,
                f"{MAX_IN_PROGRESS} keys are in progress",
                RETRY_AFTER_S,
            )
        token = f"{self._rng.getrandbits(128):032x}"
        running = _InProgress(account, key, token, fingerprint)
        self._in_progress[record_key] = running
        self._by_token[token] = running
        return messages.Claim(account, key, token, fingerprint)

    def claim_again(self, token: str) -> messages.Claim | None:
        """Returns the claim to send to a second writer, None when it ended.

        From then on the claim is never released, because a transaction of
        the first writer may still take effect.
        """
        running = self._by_token.get(token)
        if running is None or running.settling:
            return None
        running.writers_asked += 1
        return messages.Claim(
            running.account, running.key, token, running.fingerprint
        )

    def receive(
        self, result: messages.ClaimResult
    ) -> None | messages.StoredResponse | errors.Failure:
        """Processes the claim writer's result.

        Returns:
          None when the operation may run now; otherwise the response or
          failure for the caller, and the key is no longer in progress here.
        """
        running = self._by_token.get(result.token)
        if running is None or running.settling or running.granted:
            # A duplicate result must not run the operation again.
            return outcome_unknown(None)
        if result.state == "granted":
            running.granted = True
            return None
        self._remove(running)
        if result.state == "done" and result.response is not None:
            self._cache_result(running, "done", result.response)
            return result.response
        if result.state == "mismatch":
            return key_reused()
        if result.state == "unavailable" and running.writers_asked == 1:
            return claim_failure(
                errors.Reason.CLAIMS_UNAVAILABLE,
                errors.Outcome.NOT_RUN,
                "the key-value service is unavailable",
                RETRY_AFTER_S,
            )
        return outcome_unknown(result.response)

    def finish(
        self, token: str, result: messages.StoredResponse | errors.Outcome
    ) -> messages.Settle | None:
        """Ends an operation.

        Args:
          token: Token of the claim.
          result: The target's response; without one, what is known about the
            execution. NOT_RUN also ends an operation whose requester stopped
            waiting for the claim.

        Returns:
          The settlement to send, None when the operation already ended.
        """
        running = self._by_token.get(token)
        if running is None or running.settling:
            return None
        releasable = running.writers_asked == 1
        state, response = settlement_state(result, releasable)
        running.settling = True
        if state != "released":
            self._remove(running)
            self._cache_result(running, state, response)
        return messages.Settle(
            running.account,
            running.key,
            token,
            running.fingerprint,
            state,
            response,
        )

    def end_settlement(self, settled: messages.Settled) -> None:
        """Ends a settlement; a released key may then be claimed again."""
        running = self._by_token.get(settled.token)
        if running is not None and running.settling:
            self._remove(running)

    def dump(self) -> dict[str, Any]:
        """Returns the numbers of keys and cached results, and their size."""
        return {
            "in_progress": len(self._in_progress),
            "results": len(self._results),
            "result_bytes": self._result_bytes,
        }

    def _remove(self, running: _InProgress) -> None:
        self._by_token.pop(running.token, None)
        self._in_progress.pop(claim_key(running.account, running.key), None)

    def _cache_result(
        self,
        running: _InProgress,
        state: str,
        response: messages.StoredResponse | None,
    ) -> None:
        record_key = claim_key(running.account, running.key)
        self._results[record_key] = (state, response, running.fingerprint)
        self._result_bytes += len(response.body) if response else 0
        while (
            len(self._results) > MAX_RESULTS
            or self._result_bytes > MAX_RESULT_BYTES
        ):
            _, oldest, _ = self._results.popitem(last=False)[1]
            self._result_bytes -= len(oldest.body) if oldest else 0
