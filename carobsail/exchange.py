"""One caller request from arrival to the end of its answer.

The aggregate holds the rules that keep a request to one whole answer: which
attempt may still deliver, whether the request may be sent again, and what is
known about its execution.
"""

import dataclasses
import enum

from carobsail import errors, eventstream, requests


class State(enum.Enum):
    """State of an exchange."""

    WAITING = enum.auto()  # No attempt is under way.
    SENT = enum.auto()  # An attempt is under way, nothing is delivered.
    ANSWERING = enum.auto()  # Part of the answer is delivered.
    DONE = enum.auto()
    FAILED = enum.auto()


class Action(enum.Enum):
    """What may follow a failed attempt."""

    SEND_AGAIN = enum.auto()
    RESUME = enum.auto()
    GIVE_UP = enum.auto()


@dataclasses.dataclass(slots=True)
class Exchange:
    """Aggregate of one caller request.

    Attributes:
      request: The checked request.
      arrival: Loop time of arrival in seconds.
      state: Present state.
      attempt: Identifier of the attempt that may deliver, or empty.
      target: Target of that attempt.
      attempts: Number of attempts begun.
      dropped: Messages of other attempts that were dropped.
      delivered: Answer bytes passed to the caller.
      first_byte_at: Loop time of the first answer byte, if any.
      cursor: Position in a streamed answer.
    """

    request: requests.CallerRequest
    arrival: float
    state: State = State.WAITING
    attempt: str = ""
    target: str = ""
    attempts: int = 0
    dropped: int = 0
    delivered: int = 0
    first_byte_at: float | None = None
    cursor: eventstream.EventCursor = dataclasses.field(
        default_factory=eventstream.EventCursor
    )
    _received: int = 0
    _may_have_run: bool = False

    @property
    def due(self) -> float:
        """Loop time at which the whole answer is due, in seconds."""
        return self.arrival + self.request.due_s

    @property
    def idempotent(self) -> bool:
        """Whether the operation may run more than once."""
        return self.request.operation.idempotent

    def may_send(self) -> bool:
        """Tells whether a new attempt may begin.

        A non-idempotent operation may not once an attempt of it may have run.
        """
        if self.state is not State.WAITING:
            return False
        return self.idempotent or not self._may_have_run

    def begin(self, attempt: str, target: str) -> None:
        """Begins an attempt.

        Raises:
          RuntimeError: The request may not be sent again.
        """
        if not self.may_send():
            raise RuntimeError(f"{attempt}: the request may not be sent again")
        self._begin(attempt, target)
        self.state = State.SENT

    def resume(self, attempt: str, target: str) -> None:
        """Begins an attempt that continues a delivered stream.

        Raises:
          RuntimeError: There is no stream to continue.
        """
        if self.state is not State.ANSWERING or not self.cursor.last_event():
            raise RuntimeError(f"{attempt}: there is no stream to continue")
        self.cursor.restart()
        self._begin(attempt, target)

    def _begin(self, attempt: str, target: str) -> None:
        self.attempt = attempt
        self.target = target
        self.attempts += 1
        self._received = 0

    def accepts(self, attempt: str) -> bool:
        """Tells whether a message of `attempt` belongs to this exchange.

        Messages of earlier attempts are late or crossed; they are counted.
        """
        live = self.state in (State.SENT, State.ANSWERING)
        if live and attempt == self.attempt:
            return True
        self.dropped += 1
        return False

    def receive(self, data: bytes, now: float) -> bytes:
        """Takes answer bytes of the current attempt.

        Args:
          data: Bytes as received.
          now: Loop time in seconds.

        Returns:
          The bytes to deliver: whole events of a streamed answer, all bytes
          of another one.
        """
        self._received += len(data)
        ready = self.cursor.feed(data) if self.request.stream else data
        if ready:
            self.state = State.ANSWERING
            self.delivered += len(ready)
            if self.first_byte_at is None:
                self.first_byte_at = now
        return ready

    def finish(self, length: int) -> errors.Failure | None:
        """Ends the current attempt.

        Args:
          length: Number of answer bytes that the owner passed on.

        Returns:
          None when the answer is whole, else a failure with reason ANSWER_CUT.
        """
        if self._received != length:
            detail = f"received {self._received} of {length} bytes"
            return self._cut(detail)
        self.state = State.DONE
        return None

    def _cut(self, detail: str) -> errors.Failure:
        return errors.Failure(
            errors.Reason.ANSWER_CUT,
            errors.Step.ANSWER,
            self.target,
            errors.Outcome.FAILED,
            detail,
        )

    def fail_attempt(self, failure: errors.Failure) -> Action:
        """Ends the current attempt with a failure and says what may follow."""
        self.attempt = ""
        if failure.outcome is not errors.Outcome.NOT_RUN:
            self._may_have_run = True
        if self.state is State.ANSWERING:
            can_resume = self.request.stream and self.cursor.last_event()
            return Action.RESUME if can_resume else Action.GIVE_UP
        self.state = State.WAITING
        return Action.SEND_AGAIN if self.may_send() else Action.GIVE_UP

    def conclude(self, failure: errors.Failure) -> errors.Failure:
        """Ends the exchange and returns the failure that the caller sees.

        An outcome NOT_RUN is only kept when no attempt may have run.
        """
        if self.state in (State.SENT, State.ANSWERING):
            self._may_have_run = True
        self.state = State.FAILED
        if not self._may_have_run:
            return dataclasses.replace(failure, outcome=errors.Outcome.NOT_RUN)
        known = self.idempotent
        outcome = errors.Outcome.FAILED if known else errors.Outcome.UNKNOWN
        return dataclasses.replace(failure, outcome=outcome)
