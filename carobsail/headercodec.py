"""Interface to the HTTP headers of a deployment.

The request path only uses `RequestMetadata`, `TargetHeaders` and
`ResponseMetadata`; implementations of `HeaderCodec` translate them from and to
the headers of one deployment.
"""

import abc
import dataclasses

from carobsail import errors, httpclient, httpserver

Headers = list[tuple[str, str]]


@dataclasses.dataclass(slots=True, frozen=True)
class RequestMetadata:
    """What the headers of a caller's request state.

    Attributes:
      request_id: Identifier of this attempt of the caller.
      host: Host that the request is for.
      caller_timeout_s: Seconds after which the caller stops waiting, or None.
      model: Model, or empty.
      adapter: Adapter of the model, or empty.
      prompt_tokens: Number of tokens of the prompt.
      answer_tokens: Maximum number of tokens to be generated.
      prompt_parts: Identifier and number of tokens of each part of the prompt,
        in order.
      last_event: Identifier of the last event that the caller received of a
        broken stream, or empty.
      caller: Credentials of the caller, or empty.
      credentials: The same; empty if the request has more than one.
    """

    request_id: str
    host: str
    caller_timeout_s: float | None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    prompt_parts: tuple[tuple[str, int], ...] = ()
    last_event: str = ""
    caller: str = ""
    credentials: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class TargetHeaders:
    """What the headers of a request to a target state.

    Attributes:
      identity: Identity of the target; a process with another identity must
        not execute the request.
      left_s: Seconds after which the caller stops waiting, or None.
      urgency: Urgency class at an engine, from 0 (most urgent) to 9, or None.
      last_event: Identifier of the event after which a stream is resumed, or
        empty.
      account: Name of the client account; empty if it has none, None if the
        configuration has no accounts: only then may the target receive the
        caller's credentials.
    """

    identity: str
    left_s: float | None
    urgency: int | None = None
    last_event: str = ""
    account: str | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ReportedLoad:
    """Load of a target as stated in a response.

    Attributes:
      running: Running requests.
      waiting: Waiting requests.
      slots: Requests that the target runs at once.
      pace: How long work takes at present, 1 being as usual, or None if not
        stated.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class ResponseMetadata:
    """What the headers of a target's response state.

    Attributes:
      request_id: Identifier of the request that it responds to, or None.
      signed: Whether it has the target's signature.
      not_executed: Whether the target states that it did not execute the
        request.
      misdirected: Whether the address belongs to another target, or the target
        does not hold the model.
      retry_after_s: Seconds after which to retry, or None.
      load: Load of the target, or None if not stated.
      encoded: Whether the body has a content coding that was not requested.
      leaving: Whether the target states that it is leaving.
    """

    request_id: str | None
    signed: bool
    not_executed: bool
    misdirected: bool
    retry_after_s: float | None
    load: ReportedLoad | None
    encoded: bool
    leaving: bool = False


class HeaderCodec(abc.ABC):
    """Reads and writes the headers of one deployment."""

    @abc.abstractmethod
    def parse_request(
        self, request: httpserver.Request
    ) -> RequestMetadata | errors.Failure:
        """Parses the headers of a request; a failure if they are malformed."""

    @abc.abstractmethod
    def target_headers(
        self, request: httpserver.Request, fields: TargetHeaders
    ) -> Headers:
        """Returns the headers with which a request goes to a target."""

    @abc.abstractmethod
    def parse_response(self, response: httpclient.Response) -> ResponseMetadata:
        """Parses the headers of a target's response."""

    @abc.abstractmethod
    def caller_headers(self, response: httpclient.Response) -> Headers:
        """Returns the headers with which a response goes to its caller."""

    @abc.abstractmethod
    def error_headers(
        self, request_id: str, failure: errors.Failure
    ) -> Headers:
        """Returns the headers of an error response of carobsail itself."""
