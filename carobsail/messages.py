"""Typed messages between the system's processes, and their CBOR codec.

A message is encoded as a CBOR array whose first item is the message's tag.
Fields are only ever appended, with defaults, so that processes of two
successive versions can exchange messages.
"""

import cbor2
import msgspec

from carobsail import errors
from carobsail.controlmessages import (
    Applied,
    Delta,
    Grant,
    HandBack,
    Heartbeat,
    InventoryUpdate,
    Plan,
    Progress,
    Renewal,
    Residency,
    Resync,
    Snapshot,
    TargetPlan,
    TargetProgress,
)
from carobsail.messagebase import Message

__all__ = [
    "Applied",
    "Cancel",
    "Chunk",
    "Claim",
    "ClaimResult",
    "CrashSuspicion",
    "Delta",
    "Dispatch",
    "End",
    "Failed",
    "Grant",
    "HandBack",
    "Head",
    "Heartbeat",
    "Hello",
    "InventoryUpdate",
    "Loads",
    "Message",
    "PROTOCOL_VERSION",
    "PeerMessage",
    "Plan",
    "Progress",
    "Renewal",
    "Residency",
    "Resync",
    "Settle",
    "Settled",
    "Snapshot",
    "StoredResponse",
    "Suspects",
    "TargetCounts",
    "TargetLoad",
    "TargetPlan",
    "TargetProgress",
    "decode",
    "encode",
    "replace_target",
]

PROTOCOL_VERSION = 1


class Hello(Message, tag="hello", frozen=True):
    """First message on each link.

    Attributes:
      version: Protocol version of the sender.
      minimum: Lowest version that the sender accepts.
      instance: Name of the sender's instance.
      data_centre: Data centre of the sender.
      incarnation: Number that differs at each start of the process.
      role: `entry` or `control`.
    """

    version: int
    minimum: int
    instance: str
    data_centre: str
    incarnation: int
    role: str


class Dispatch(Message, tag="dispatch", frozen=True):
    """Asks the owner of a target to run a request.

    Attributes:
      attempt: Identifier of this attempt, unique over all instances.
      target: Target chosen by the sender.
      account: Client account.
      model: Model name, empty for services.
      adapter: Adapter name or empty.
      method: HTTP method.
      path: HTTP path.
      headers: Headers to pass on.
      body: Request body.
      response_due_in_s: Seconds left until the response is due.
      prompt_tokens: Estimated prompt length in tokens.
      output_tokens: Expected output length in tokens.
      priority: Engine priority; lower is more urgent.
      idempotent: Whether the request may be sent again.
      fingerprint: Hash of body, model and adapter.
      resumed_attempt: Attempt whose stream is continued, empty for a new
        request.
      last_event_id: Identifier of the last stream event that was delivered.
      service: Service name, empty for models.
      first_token_in_s: Seconds left until the first token is due.
    """

    attempt: str
    target: str
    account: str
    model: str
    adapter: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    response_due_in_s: float
    prompt_tokens: int
    output_tokens: int
    priority: int
    idempotent: bool
    fingerprint: str
    resumed_attempt: str = ""
    last_event_id: str = ""
    service: str = ""
    first_token_in_s: float = 1e9


def replace_target(request: Dispatch, target: str) -> Dispatch:
    """Returns the request with another target."""
    return msgspec.structs.replace(request, target=target)


class Head(Message, tag="head", frozen=True):
    """Status and headers of the target's response."""

    attempt: str
    status: int
    headers: list[tuple[str, str]]


class Chunk(Message, tag="chunk", frozen=True):
    """Bytes of the response body, passed on unparsed."""

    attempt: str
    data: bytes


class End(Message, tag="end", frozen=True):
    """The response is complete; `body_bytes` is the size of its body."""

    attempt: str
    body_bytes: int


class Failed(Message, tag="failed", frozen=True):
    """The attempt ended without a complete response."""

    attempt: str
    reason: errors.Reason
    step: errors.Step
    peer: str
    outcome: errors.Outcome
    detail: str = ""
    retry_after_s: float | None = None

    @classmethod
    def from_failure(cls, attempt: str, failure: errors.Failure) -> "Failed":
        """Returns the message that reports a failure of an attempt."""
        return cls(
            attempt,
            failure.reason,
            failure.step,
            failure.peer,
            failure.outcome,
            failure.detail,
            failure.retry_after_s,
        )

    def failure(self) -> errors.Failure:
        """Returns the failure that the message carries."""
        return errors.Failure(
            self.reason,
            self.step,
            self.peer,
            self.outcome,
            self.detail,
            self.retry_after_s,
        )


class Cancel(Message, tag="cancel", frozen=True):
    """The attempt's response is no longer wanted, as its caller left."""

    attempt: str


class TargetLoad(Message, frozen=True):
    """Load of one target as its owner sees it.

    Attributes:
      target: Target name.
      in_flight: Requests sent and not answered yet.
      queued_tokens: Prompt and output tokens that are not yet processed.
      models: Models that can serve now.
      adapters: Adapters resident now.
      serving: False while the target is leaving, dead or not trusted.
    """

    target: str
    in_flight: int
    queued_tokens: int
    models: list[str]
    adapters: list[str]
    serving: bool

    def counts(self) -> "TargetCounts":
        """Returns the part of the load that changes with each request."""
        return TargetCounts(self.target, self.in_flight, self.queued_tokens)

    def same_except_counts(self, other: "TargetLoad") -> bool:
        """Returns whether everything except the counts is the same."""
        return (
            self.models == other.models
            and self.adapters == other.adapters
            and self.serving == other.serving
        )


class TargetCounts(Message, frozen=True):
    """Counts of a target whose models and adapters have not changed."""

    target: str
    in_flight: int
    queued_tokens: int


class Loads(Message, tag="loads", frozen=True):
    """Changed loads of the sender's targets, once a second at most.

    Attributes:
      seq: Sequence number of the report.
      full: Whether all targets of the sender are included.
      targets: Loads of targets.
      accounts: Requests per second of each client account at the sender.
      counts: Counts of other targets that are busy or whose counts have
        changed. They leave out the models and adapters, which are most of a
        load and seldom change.
    """

    seq: int
    full: bool
    targets: list[TargetLoad]
    accounts: dict[str, float] = {}
    counts: list[TargetCounts] = []


class CrashSuspicion(Message, frozen=True):
    """Suspicion that requests with a fingerprint crash targets.

    `age_s` is the age of the suspicion in seconds.
    """

    fingerprint: str
    crashes: int
    age_s: float


class Suspects(Message, tag="suspects", frozen=True):
    """Shares suspicions of requests that crash targets with peers."""

    entries: list[CrashSuspicion]


class Claim(Message, tag="claim", frozen=True):
    """Asks the claim writer to claim an idempotency key for an operation."""

    account: str
    key: str
    token: str
    fingerprint: str


class StoredResponse(Message, frozen=True):
    """A recorded response, which repeats of an operation receive."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ClaimResult(Message, tag="claim_result", frozen=True):
    """Reply of the claim writer to a `Claim`.

    `state` is `granted`, `done` (with `response`), `unknown` (taken, no whole
    response recorded), `mismatch` (taken by a request with another
    fingerprint) or `unavailable` (not claimed).
    """

    token: str
    state: str
    response: StoredResponse | None = None


class Settle(Message, tag="settle", frozen=True):
    """Records the result of a claimed operation, or releases the claim.

    `state` is `done` (with `response`), `unknown` or `released`.
    """

    account: str
    key: str
    token: str
    fingerprint: str
    state: str
    response: StoredResponse | None = None


class Settled(Message, tag="settled", frozen=True):
    """Reply of the claim writer to a `Settle`: whether it was recorded."""

    token: str
    recorded: bool


PeerMessage = (
    Hello
    | Dispatch
    | Head
    | Chunk
    | End
    | Failed
    | Cancel
    | Loads
    | Suspects
    | Claim
    | ClaimResult
    | Settle
    | Settled
    | Heartbeat
    | Grant
    | Renewal
    | HandBack
    | Residency
    | Snapshot
    | Delta
    | Resync
    | Applied
    | InventoryUpdate
    | Plan
    | Progress
)


def encode(message: Message) -> bytes:
    """Encodes a message as CBOR."""
    if type(message) is Chunk:  # The hot path skips the generic conversion.
        return cbor2.dumps(("chunk", message.attempt, message.data))
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(data: bytes) -> Message:
    """Decodes a CBOR message.

    Args:
      data: One CBOR item.

    Returns:
      The message.

    Raises:
      ValueError: The bytes are not a message of a known type.
    """
    try:
        fields = cbor2.loads(data)
        if fields[0] == "chunk":
            return Chunk(fields[1], fields[2])
        return msgspec.convert(fields, PeerMessage, builtin_types=(bytes,))
    except (cbor2.CBORError, msgspec.ValidationError, LookupError) as error:
        raise ValueError(f"malformed peer message: {error}") from error
