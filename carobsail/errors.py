"""Errors as return values: the reason of a failure and where it occurred.

Decisions and calls to peers return a `Failure`. Exceptions are only used for
bugs and at the boundary to libraries.
"""

import dataclasses
import enum
from typing import Any


class Outcome(enum.StrEnum):
    """What is known about the execution of a failed request."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Step(enum.StrEnum):
    """The step of the request path or control loop that failed."""

    READ = "read"
    AUTHENTICATE = "authenticate"
    ADMIT = "admit"
    CLAIM = "claim"
    ROUTE = "route"
    FORWARD = "forward"
    LOAD_ADAPTER = "load_adapter"
    SEND = "send"
    ANSWER = "answer"
    ORDER = "order"
    CONFIGURE = "configure"
    KEY_VALUE = "key_value"
    CONNECT = "connect"


class Reason(enum.StrEnum):
    """Machine-readable reason of a failure."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_PATH = "unknown_path"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue_full"
    NO_TARGET = "no_target"
    NOT_OWNER = "not_owner"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    SUSPECT_REFUSED = "suspect_refused"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    IN_PROGRESS = "in_progress"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    ANSWER_CUT = "answer_cut"
    TARGET_REFUSED = "target_refused"
    TARGET_ERROR = "target_error"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
    NO_MEMORY = "no_memory"
    FENCED = "fenced"
    NOT_LEADER = "not_leader"
    STALE_REVISION = "stale_revision"
    CONFLICT = "conflict"
    BUDGET_EXCEEDED = "budget_exceeded"
    UNAVAILABLE = "unavailable"
    INVALID = "invalid"


@dataclasses.dataclass(slots=True, frozen=True)
class Failure:
    """A failed step.

    Attributes:
      reason: Why the step failed.
      step: The step that failed.
      peer: Name of the process, target or file at which it failed.
      outcome: What is known about the execution of the request.
      detail: Description in one line, for human readers.
      retry_after_s: Seconds after which a retry may succeed, if known.
    """

    reason: Reason
    step: Step
    peer: str
    outcome: Outcome = Outcome.NOT_RUN
    detail: str = ""
    retry_after_s: float | None = None

    def __str__(self) -> str:
        text = f"{self.reason} at {self.step} (peer {self.peer})"
        return f"{text}: {self.detail}" if self.detail else text

    def error_body(self, status: int) -> dict[str, Any]:
        """Returns the body of an HTTP response, in the OpenAI error format."""
        return {
            "error": {
                "message": str(self),
                "type": "invalid_request_error"
                if status < 500
                else "server_error",
                "code": str(self.reason),
                "param": None,
                "step": str(self.step),
                "peer": self.peer,
                "outcome": str(self.outcome),
            }
        }
