"""Client accounts of a configuration and the keys that identify them."""

import dataclasses
import hashlib
from collections.abc import Iterable

from carobsail import errors

# Longer credentials are refused without being hashed; keys have 20 characters.
MAX_KEY_CHARS = 512

_SCHEME = "bearer"


@dataclasses.dataclass(slots=True, frozen=True)
class ClientAccount:
    """A client account.

    Attributes:
      name: Name, which targets receive with each request of the account.
      rank: Rank of its requests, 0 being the highest; None if the ranks of the
        routes apply.
      limit_per_s: Limit per second over all instances; 0 for none.
      burst: Additional allowance in the unit of the limit.
      counts_tokens: Whether the limit counts tokens instead of requests.
      default_tokens: Tokens of a request that does not state its tokens.
    """

    name: str
    rank: int | None = None
    limit_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 0

    def charge(self, prompt_tokens: int, answer_tokens: int) -> float:
        """Returns what a request counts for in the unit of the limit.

        Args:
          prompt_tokens: Stated tokens of its prompt; 0 if not stated.
          answer_tokens: Stated maximum tokens of its answer.
        """
        if not self.counts_tokens:
            return 1.0
        return float(prompt_tokens + answer_tokens or self.default_tokens)


class AccountDirectory:
    """The client accounts of one configuration, by key.

    It keeps hashes of the keys, so that no dump or log of it shows a key.
    """

    __slots__ = ("_by_digest", "accounts")

    def __init__(
        self, accounts: Iterable[tuple[ClientAccount, Iterable[str]]]
    ) -> None:
        """Creates a directory of accounts, each with its keys."""
        self.accounts: dict[str, ClientAccount] = {}
        self._by_digest: dict[bytes, ClientAccount] = {}
        for account, keys in accounts:
            self.accounts[account.name] = account
            for key in keys:
                self._by_digest[_digest(key.encode())] = account

    def authenticate(self, credentials: str) -> ClientAccount | errors.Failure:
        """Returns the account of a request, or why there is none.

        Args:
          credentials: Value of the request's `Authorization` header; empty if
            there is none, or more than one.
        """
        scheme, _, key = credentials.strip().partition(" ")
        key = key.strip()
        if scheme.lower() != _SCHEME or not key or len(key) > MAX_KEY_CHARS:
            return _failure("no usable credentials")
        try:
            account = self._by_digest.get(_digest(key.encode("latin-1")))
        except UnicodeEncodeError:
            account = None  # Header values are decoded as Latin-1.
        return account or _failure("unknown key")


def _digest(key: bytes) -> bytes:
    return hashlib.sha256(key).digest()


def _failure(detail: str) -> errors.Failure:
    return errors.Failure(
        errors.Reason.UNAUTHENTICATED,
        errors.Step.AUTHENTICATE,
        "caller",
        errors.Outcome.NOT_RUN,
        detail,
    )
