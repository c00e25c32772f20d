"""Policies of client accounts: permitted requests, models and limits."""

from typing import Annotated

import msgspec

DueMs = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
Size = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class Operation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of request that a client account may send.

    Attributes:
      path: HTTP path; a trailing `*` matches any suffix.
      method: HTTP method.
      service: Service that runs it; empty for model requests.
      idempotent: Whether it may run more than once.
      key_required: Whether a request without `Idempotency-Key` is refused.
      due_ms: Milliseconds from arrival until the complete response is due.
      first_token_ms: Milliseconds from arrival until the first token is due.
    """

    path: str
    method: str = "POST"
    service: str = ""
    idempotent: bool = True
    key_required: bool = False
    due_ms: DueMs = 30_000
    first_token_ms: DueMs = 630


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a client account over all instances."""

    requests_per_s: Rate = 100.0
    burst: Size = 200
    concurrency: Size = 200


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a client account may do, rendered from its template.

    Attributes:
      account: Name of the client account.
      models: Models that it may use.
      adapters: Adapters that it may use.
      operations: Requests that it may send.
      limits: Rate and concurrency limits.
      priority: Engine priority; lower is more urgent.
      key_hashes: SHA-256 hashes (hexadecimal) of its access keys.
      copies: Copies of each of its models, if memory allows, preferably in
        different data centres. Inside a data centre that has a copy, the
        placement policy adds more by demand.
    """

    account: str
    models: list[str]
    adapters: list[str]
    operations: list[Operation]
    limits: Limits = Limits()
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    key_hashes: list[str] = []
    copies: Annotated[int, msgspec.Meta(ge=1, le=8)] = 1

    def operation(self, method: str, path: str) -> Operation | None:
        """Returns the first operation that matches a request."""
        for operation in self.operations:
            if operation.method == method and matches(operation.path, path):
                return operation
        return None


def matches(pattern: str, path: str) -> bool:
    """Tells whether a path matches; a trailing `*` matches any suffix."""
    if pattern.endswith("*"):
        return path.startswith(pattern[:-1])
    return path == pattern
