"""The form in which callers and targets exchange requests.

The code that serves requests sees `Terms`, `SendPlan` and `AnswerHead` only;
a `CallerWire` knows the headers of one deployment.
"""

import abc
import dataclasses

from carobsail import errors, httpclient, httpserver

Headers = list[tuple[str, str]]


@dataclasses.dataclass(slots=True, frozen=True)
class Terms:
    """What a caller states about its request.

    Attributes:
      request: Identifier of this attempt of the caller.
      host: Host that the caller names.
      patience_s: Seconds that the caller waits, or None.
      model: Model, or empty.
      adapter: Adapter of the model, or empty.
      prompt_tokens: Tokens of the prompt.
      answer_tokens: Largest number of tokens of the answer.
      prompt_parts: Identity and tokens of the parts of the prompt, in order.
      last_event: Last event that the caller has of a broken stream, or empty.
    """

    request: str
    host: str
    patience_s: float | None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    prompt_parts: tuple[tuple[str, int], ...] = ()
    last_event: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class SendPlan:
    """How a request is sent to a target.

    Attributes:
      identity: Identity of the target; any other one must not run it.
      left_s: Seconds that the caller still waits, or None.
      urgency: Urgency at an engine from 0 (first) to 9, or None.
      last_event: Event after which a stream goes on, or empty.
    """

    identity: str
    left_s: float | None
    urgency: int | None = None
    last_event: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerHead:
    """What a target's answer says of itself.

    Attributes:
      request: Identifier of the request that it answers, or None.
      sealed: Whether it bears the target's signature.
      not_run: Whether the target states that it did not run the request.
      misdirected: Whether another target has the address, or the target does
        not hold the model.
      retry_after_s: Seconds after which to come back, or None.
      load: Running requests, waiting requests and slots, or None.
      encoded: Whether the body has a coding that the caller did not ask for.
    """

    request: str | None
    sealed: bool
    not_run: bool
    misdirected: bool
    retry_after_s: float | None
    load: tuple[int, int, int] | None
    encoded: bool


class CallerWire(abc.ABC):
    """Reads and writes the headers of one deployment."""

    @abc.abstractmethod
    def read_terms(self, request: httpserver.Request) -> Terms | errors.Failure:
        """Reads what a caller states; a failure if it is malformed."""

    @abc.abstractmethod
    def target_headers(
        self, request: httpserver.Request, plan: SendPlan
    ) -> Headers:
        """Returns the headers with which a request goes to a target."""

    @abc.abstractmethod
    def read_answer(self, answer: httpclient.Answer) -> AnswerHead:
        """Reads what a target's answer says of itself."""

    @abc.abstractmethod
    def caller_headers(self, answer: httpclient.Answer) -> Headers:
        """Returns the headers with which an answer goes to its caller."""

    @abc.abstractmethod
    def own_headers(self, request: str, failure: errors.Failure) -> Headers:
        """Returns the headers of an answer that carobsail makes itself."""
