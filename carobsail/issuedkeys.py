"""Idempotency keys issued by an entry instance.

Only the issuer grants such a key, from a table in its memory, so the key needs
no record in the key-value service.
"""

import collections
import hashlib
import hmac
import random
from typing import Any

import msgspec

from carobsail import errors, messages
from carobsail.claimrecords import (
    claim_failure,
    key_reused,
    operation_in_progress,
    outcome_unknown,
    settlement_state,
)

_PREFIX = "ck1"
_MAC_HEX_DIGITS = 32
# A key that is not used within this time is removed and is never granted.
KEY_TTL_S = 3600.0
MAX_KEYS = 10_000
# Responses kept for repeats; 2 MB of the 32 MB of requirement R17.
MAX_RESULT_BYTES = 2_000_000


class IssuedKeyId(msgspec.Struct, frozen=True):
    """Contents of an issued key whose signature was verified.

    Attributes:
      issuer: Name of the instance that issued it.
      incarnation: Incarnation of the issuer's process.
      serial: Random part, unique to the key.
    """

    issuer: str
    incarnation: int
    serial: str


class CallerKey(msgspec.Struct, frozen=True):
    """The key was made by the caller, not issued by an instance."""


class _IssuedKey:
    """State of an issued key and of its operation."""

    __slots__ = ("account", "answer", "expires", "fingerprint", "state")

    def __init__(self, account: str, expires: float) -> None:
        self.account = account
        self.expires = expires
        self.state = "issued"
        self.fingerprint = ""
        self.answer: messages.StoredResponse | None = None


class IssuedKeyTable:
    """Keys issued by this incarnation of an entry instance.

    A key is granted only while its entry is in state `issued`, and the state
    changes before the operation starts, so the operation runs at most once. A
    key without an entry is never granted.
    """

    __slots__ = (
        "_incarnation",
        "_issuer",
        "_keys",
        "_result_bytes",
        "_rng",
        "_secrets",
        "_signing_secret",
    )

    def __init__(
        self,
        issuer: str,
        incarnation: int,
        secrets: list[bytes],
        generator: random.Random,
    ) -> None:
        """Creates the table.

        Args:
          issuer: Name of this instance; must not contain dots.
          incarnation: Number that differs at each start of the process.
          secrets: Secrets shared with peers; the first one signs, all are
            accepted, so that secrets can be rotated.
          generator: Makes the random parts of keys.
        """
        self._issuer = issuer
        self._incarnation = incarnation
        self._signing_secret = secrets[0]
        self._secrets = secrets
        self._rng = generator
        self._keys: collections.OrderedDict[str, _IssuedKey] = (
            collections.OrderedDict()
        )
        self._result_bytes = 0

    def issue(self, account: str, now: float) -> str | errors.Failure:
        """Issues a key to a client account."""
        self._expire(now)
        if len(self._keys) >= MAX_KEYS:
            return claim_failure(
                errors.Reason.OVERLOADED,
                errors.Outcome.NOT_RUN,
                f"{MAX_KEYS} issued keys are open",
                next(iter(self._keys.values())).expires - now,
            )
        serial = f"{self._rng.getrandbits(128):032x}"
        text = f"{_PREFIX}.{self._issuer}.{self._incarnation}.{serial}"
        self._keys[serial] = _IssuedKey(account, now + KEY_TTL_S)
        return f"{text}.{_sign(self._signing_secret, text)}"

    def check(self, key: str) -> IssuedKeyId | CallerKey | errors.Failure:
        """Verifies and parses a key; a forged one is a BAD_REQUEST."""
        if not key.startswith(f"{_PREFIX}."):
            return CallerKey()
        text, _, mac = key.rpartition(".")
        parts = text.split(".")
        given = mac.encode("utf-8", "replace")
        genuine = [
            hmac.compare_digest(given, _sign(secret, text).encode())
            for secret in self._secrets
        ]
        if not any(genuine) or len(parts) != 4:
            return claim_failure(
                errors.Reason.BAD_REQUEST,
                errors.Outcome.NOT_RUN,
                "the idempotency key was not issued here",
            )
        return IssuedKeyId(parts[1], int(parts[2]), parts[3])

    def is_own(self, key_id: IssuedKeyId) -> bool:
        """Returns whether this incarnation issued the key.

        Otherwise the request goes to the issuer; when that incarnation has
        ended, the result is OUTCOME_UNKNOWN (see `issued_key_unknown`).
        """
        return (key_id.issuer, key_id.incarnation) == (
            self._issuer,
            self._incarnation,
        )

    def begin(
        self, key_id: IssuedKeyId, account: str, fingerprint: str, now: float
    ) -> None | messages.StoredResponse | errors.Failure:
        """Claims a key; None means that the operation may run now."""
        self._expire(now)
        key = self._keys.get(key_id.serial) if self.is_own(key_id) else None
        if key is None or key.account != account:
            return issued_key_unknown()
        if key.state == "issued":
            key.state = "taken"
            key.fingerprint = fingerprint
            return None
        if key.fingerprint != fingerprint:
            return key_reused()
        if key.state == "taken":
            return operation_in_progress()
        if key.state == "done" and key.answer is not None:
            return key.answer
        return outcome_unknown(key.answer)

    def finish(
        self,
        key_id: IssuedKeyId,
        result: messages.StoredResponse | errors.Outcome,
    ) -> None:
        """Ends an operation; NOT_RUN makes the key usable again."""
        key = self._keys.get(key_id.serial) if self.is_own(key_id) else None
        if key is None or key.state != "taken":
            return
        key.state, key.answer = settlement_state(result, releasable=True)
        if key.state == "released":
            key.state = "issued"
        elif key.answer is not None:
            self._result_bytes += len(key.answer.body)
            if self._result_bytes > MAX_RESULT_BYTES:
                # Keeps only the status of the response.
                self._result_bytes -= len(key.answer.body)
                key.state = "unknown"
                key.answer = messages.StoredResponse(key.answer.status, [], b"")

    def dump(self) -> dict[str, Any]:
        """Returns the number of keys and the size of their responses."""
        return {"issued": len(self._keys), "result_bytes": self._result_bytes}

    def _expire(self, now: float) -> None:
        # Keys are in the order of their expiry. One whose operation still runs
        # is kept, so that its result can be recorded, and is checked again
        # after another `KEY_TTL_S`.
        while self._keys:
            serial, key = next(iter(self._keys.items()))
            if key.expires > now:
                return
            if key.state == "taken":
                key.expires = now + KEY_TTL_S
                self._keys.move_to_end(serial)
                continue
            del self._keys[serial]
            self._result_bytes -= len(key.answer.body) if key.answer else 0


def issued_key_unknown() -> errors.Failure:
    """Returns the failure of a key of which the issuer has no entry."""
    return claim_failure(
        errors.Reason.OUTCOME_UNKNOWN,
        errors.Outcome.UNKNOWN,
        "the issuer of the key is gone or has forgotten it",
    )


def _sign(secret: bytes, text: str) -> str:
    digest = hmac.new(secret, text.encode("utf-8", "replace"), hashlib.sha256)
    return digest.hexdigest()[:_MAC_HEX_DIGITS]
