"""Idempotency keys that an entry instance issues and runs itself.

Only the issuer runs such a key, from its own memory, so the key needs no
record in the key-value service.
"""

import collections
import hashlib
import hmac
import random
from typing import Any

import msgspec

from carobsail import errors, messages
from carobsail.claimrecords import (
    fail,
    in_progress,
    reused,
    settle_result,
    unknown,
)

_PREFIX = "ck1"
_MAC_CHARACTERS = 32
# A key that was not used in this time is forgotten and never runs.
KEY_LIFE_S = 3600.0
MAX_KEYS = 10_000
# Answers kept for repeats; 2 MB of the 32 MB (R17).
MAX_RESULT_BYTES = 2_000_000


class KeyName(msgspec.Struct, frozen=True):
    """What a genuine issued key says.

    Attributes:
      issuer: Instance that issued it.
      incarnation: Incarnation of the issuer's process.
      serial: Random part.
    """

    issuer: str
    incarnation: int
    serial: str


class Unissued(msgspec.Struct, frozen=True):
    """The key was made by the caller, not issued."""


class _Key:
    __slots__ = ("account", "answer", "expires", "fingerprint", "state")

    def __init__(self, account: str, expires: float) -> None:
        self.account = account
        self.expires = expires
        self.state = "issued"
        self.fingerprint = ""
        self.answer: messages.StoredAnswer | None = None


class IssuedKeys:
    """Keys issued by this incarnation of an entry instance.

    A key runs only while its entry says `issued`, and the entry changes
    before the operation starts, so it runs at most once. A key without an
    entry is never run.
    """

    __slots__ = (
        "_bytes",
        "_incarnation",
        "_issuer",
        "_keys",
        "_random",
        "_secret",
        "_secrets",
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
          issuer: This instance; without dots.
          incarnation: Number that differs at each start of the process.
          secrets: Secrets shared with peers; the first one signs, all are
            accepted, so that a secret can be replaced.
          generator: Makes the random parts.
        """
        self._issuer = issuer
        self._incarnation = incarnation
        self._secret = secrets[0]
        self._secrets = secrets
        self._random = generator
        self._keys: collections.OrderedDict[str, _Key] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def issue(self, account: str, now: float) -> str | errors.Failure:
        """Issues a key to a client account."""
        self._expire(now)
        if len(self._keys) >= MAX_KEYS:
            return fail(
                errors.Reason.OVERLOADED,
                errors.Outcome.NOT_RUN,
                f"{MAX_KEYS} issued keys are open",
                next(iter(self._keys.values())).expires - now,
            )
        serial = f"{self._random.getrandbits(128):032x}"
        text = f"{_PREFIX}.{self._issuer}.{self._incarnation}.{serial}"
        self._keys[serial] = _Key(account, now + KEY_LIFE_S)
        return f"{text}.{_sign(self._secret, text)}"

    def check(self, key: str) -> KeyName | Unissued | errors.Failure:
        """Reads a key; a forged one is a BAD_REQUEST."""
        if not key.startswith(f"{_PREFIX}."):
            return Unissued()
        text, _, mac = key.rpartition(".")
        parts = text.split(".")
        given = mac.encode("utf-8", "replace")
        genuine = [
            hmac.compare_digest(given, _sign(secret, text).encode())
            for secret in self._secrets
        ]
        if not any(genuine) or len(parts) != 4:
            return fail(
                errors.Reason.BAD_REQUEST,
                errors.Outcome.NOT_RUN,
                "the idempotency key was not issued here",
            )
        return KeyName(parts[1], int(parts[2]), parts[3])

    def is_own(self, name: KeyName) -> bool:
        """Tells whether this incarnation issued the key.

        Otherwise the request goes to the issuer; when that incarnation is
        gone, the answer is OUTCOME_UNKNOWN (see `gone`).
        """
        return (name.issuer, name.incarnation) == (
            self._issuer,
            self._incarnation,
        )

    def begin(
        self, name: KeyName, account: str, fingerprint: str, now: float
    ) -> None | messages.StoredAnswer | errors.Failure:
        """Takes a key; None means that the operation may run now."""
        self._expire(now)
        key = self._keys.get(name.serial) if self.is_own(name) else None
        if key is None or key.account != account:
            return gone()
        if key.state == "issued":
            key.state = "taken"
            key.fingerprint = fingerprint
            return None
        if key.fingerprint != fingerprint:
            return reused()
        if key.state == "taken":
            return in_progress()
        if key.state == "done" and key.answer is not None:
            return key.answer
        return unknown(key.answer)

    def finish(
        self, name: KeyName, result: messages.StoredAnswer | errors.Outcome
    ) -> None:
        """Ends an operation; NOT_RUN makes the key usable again."""
        key = self._keys.get(name.serial) if self.is_own(name) else None
        if key is None or key.state != "taken":
            return
        key.state, key.answer = settle_result(result, releasable=True)
        if key.state == "released":
            key.state = "issued"
        elif key.answer is not None:
            self._bytes += len(key.answer.body)
            if self._bytes > MAX_RESULT_BYTES:
                # The status is kept, the body is given up.
                self._bytes -= len(key.answer.body)
                key.state = "unknown"
                key.answer = messages.StoredAnswer(key.answer.status, [], b"")

    def dump(self) -> dict[str, Any]:
        """Returns the sizes of the table."""
        return {"issued": len(self._keys), "result_bytes": self._bytes}

    def _expire(self, now: float) -> None:
        # Keys stand in the order of their expiry. One that still runs is
        # kept, so that its result is recorded, and checked again later.
        while self._keys:
            serial, key = next(iter(self._keys.items()))
            if key.expires > now:
                return
            if key.state == "taken":
                key.expires = now + KEY_LIFE_S
                self._keys.move_to_end(serial)
                continue
            del self._keys[serial]
            self._bytes -= len(key.answer.body) if key.answer else 0


def gone() -> errors.Failure:
    """Returns the failure of a key whose issuer cannot be asked."""
    return fail(
        errors.Reason.OUTCOME_UNKNOWN,
        errors.Outcome.UNKNOWN,
        "the issuer of the key is gone or has forgotten it",
    )


def _sign(secret: bytes, text: str) -> str:
    digest = hmac.new(secret, text.encode("utf-8", "replace"), hashlib.sha256)
    return digest.hexdigest()[:_MAC_CHARACTERS]
