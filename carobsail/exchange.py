"""State of one caller request from arrival to the end of its response.

An `Exchange` enforces that the caller gets one complete response: it decides
which attempt may deliver, whether the request may be sent again, and what is
known about its execution.
"""

import dataclasses
import enum

from carobsail import callerrequests, errors, eventstream


class State(enum.Enum):
    """State of an exchange."""

    WAITING = enum.auto()  # No attempt is in flight.
    SENT = enum.auto()  # An attempt is in flight, nothing is delivered.
    ANSWERING = enum.auto()  # Part of the response is delivered.
    DONE = enum.auto()
    FAILED = enum.auto()


class Action(enum.Enum):
    """What may follow a failed attempt."""

    SEND_AGAIN = enum.auto()
    RESUME = enum.auto()
    GIVE_UP = enum.auto()


@dataclasses.dataclass(slots=True)
class Exchange:
    """State of one caller request and its attempts.

    Attributes:
      request: The checked request.
      arrived_at: Loop time of arrival in seconds.
      state: Current state.
      attempt: Identifier of the attempt that may deliver, or empty.
      target: Target of that attempt.
      attempt_ids: Identifiers of all attempts begun.
      dropped_messages: Number of messages of other attempts that were dropped.
      delivered_bytes: Number of response bytes passed to the caller.
      stream_attempt: Identifier of the attempt that began the stream.
      delivered_events: Number of events of a streamed response passed to the
        caller.
      first_byte_at: Loop time of the first byte of a streamed response, or of
        the end of another one, in seconds; None before.
      cursor: Position in a streamed response.
    """

    request: callerrequests.CallerRequest
    arrived_at: float
    state: State = State.WAITING
    attempt: str = ""
    target: str = ""
    attempt_ids: list[str] = dataclasses.field(default_factory=list)
    dropped_messages: int = 0
    delivered_bytes: int = 0
    stream_attempt: str = ""
    delivered_events: int = 0
    first_byte_at: float | None = None
    cursor: eventstream.EventCursor = dataclasses.field(
        default_factory=eventstream.EventCursor
    )
    _received_bytes: int = 0
    _may_have_run: bool = False

    @property
    def due_at(self) -> float:
        """Loop time at which the complete response is due, in seconds."""
        return self.arrived_at + self.request.due_s

    @property
    def attempts(self) -> int:
        """Number of attempts begun."""
        return len(self.attempt_ids)

    @property
    def idempotent(self) -> bool:
        """Whether the operation may run more than once."""
        return self.request.operation.idempotent

    def may_send(self) -> bool:
        """Tells whether a new attempt may begin.

        A non-idempotent operation is not sent again once an attempt of it may
        have run.
        """
        if self.state is not State.WAITING:
            return False
        return self.idempotent or not self._may_have_run

    def begin_attempt(self, attempt: str, target: str) -> None:
        """Begins an attempt.

        Raises:
          RuntimeError: The request may not be sent again.
        """
        if not self.may_send():
            raise RuntimeError(f"{attempt}: the request may not be sent again")
        self._start_attempt(attempt, target)
        self.state = State.SENT

    def begin_resume_attempt(self, attempt: str, target: str) -> None:
        """Begins an attempt that continues a delivered stream.

        Raises:
          RuntimeError: There is no stream to continue.
        """
        if self.state is not State.ANSWERING or not self.cursor.last_event():
            raise RuntimeError(f"{attempt}: there is no stream to continue")
        self.cursor.discard_partial()
        self._start_attempt(attempt, target)

    def _start_attempt(self, attempt: str, target: str) -> None:
        self.attempt = attempt
        self.target = target
        self.attempt_ids.append(attempt)
        self._received_bytes = 0

    def accepts(self, attempt: str) -> bool:
        """Tells whether a message of `attempt` belongs to this exchange.

        Messages of other attempts, which come late or out of order, are counted
        as dropped.
        """
        in_flight = self.state in (State.SENT, State.ANSWERING)
        if in_flight and attempt == self.attempt:
            return True
        self.dropped_messages += 1
        return False

    def receive_stream_data(self, data: bytes, now: float) -> bytes:
        """Takes bytes of a streamed response.

        Args:
          data: Bytes as received.
          now: Loop time in seconds.

        Returns:
          The bytes to deliver, which end with a complete event.
        """
        self._received_bytes += len(data)
        ready = self.cursor.feed(data)
        if ready:
            self.state = State.ANSWERING
            self.delivered_bytes += len(ready)
            self.delivered_events += ready.count(b"\n\n")
            if self.first_byte_at is None:
                self.first_byte_at = now
                self.stream_attempt = self.attempt
        return ready

    def count_buffered_data(self, data: bytes) -> None:
        """Counts bytes of a response that is delivered only once complete."""
        self._received_bytes += len(data)

    def finish(self, body_bytes: int) -> errors.Failure | None:
        """Ends the current attempt.

        Args:
          body_bytes: Number of response bytes that the owner passed on.

        Returns:
          None if the response is complete, else a failure with reason
          ANSWER_CUT.
        """
        if self._received_bytes != body_bytes:
            detail = f"received {self._received_bytes} of {body_bytes} bytes"
            return self._truncation_failure(detail)
        self.state = State.DONE
        return None

    def _truncation_failure(self, detail: str) -> errors.Failure:
        return errors.Failure(
            errors.Reason.ANSWER_CUT,
            errors.Step.ANSWER,
            self.target,
            errors.Outcome.FAILED,
            detail,
        )

    def fail_attempt(self, failure: errors.Failure) -> Action:
        """Ends the current attempt with a failure; returns what may follow."""
        self.attempt = ""
        if failure.outcome is not errors.Outcome.NOT_RUN:
            self._may_have_run = True
        if self.state is State.ANSWERING:
            resumable = self.cursor.last_event()
            return Action.RESUME if resumable else Action.GIVE_UP
        self.state = State.WAITING
        return Action.SEND_AGAIN if self.may_send() else Action.GIVE_UP

    def conclude(self, failure: errors.Failure) -> errors.Failure:
        """Ends the exchange and returns the failure to report to the caller.

        Its outcome is NOT_RUN only if no attempt may have run.
        """
        if self.state in (State.SENT, State.ANSWERING):
            self._may_have_run = True
        self.state = State.FAILED
        if not self._may_have_run:
            return dataclasses.replace(failure, outcome=errors.Outcome.NOT_RUN)
        repeatable = self.idempotent
        outcome = (
            errors.Outcome.FAILED if repeatable else errors.Outcome.UNKNOWN
        )
        return dataclasses.replace(failure, outcome=outcome)
