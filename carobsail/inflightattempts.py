"""Attempts in flight at one target; finds those that make no progress."""

import asyncio
import dataclasses

from carobsail import messages

STALL_CHECK_INTERVAL_S = 0.5
# An engine that sends nothing for this long is considered frozen: the 95th
# percentile of the time between tokens is 41 ms, and the first token is due in
# 0.63 s.
STALL_TIMEOUT_S = 5.0
# Longer for a non-idempotent request, because cancelling it leaves its outcome
# unknown.
NON_IDEMPOTENT_STALL_TIMEOUT_S = 60.0


@dataclasses.dataclass(slots=True)
class InFlightAttempt:
    """An attempt sent to a target.

    Attributes:
      request: The request.
      task: Task that relays the response.
      crashes_at_start: Number of target crashes attributed to the request when
        it was sent.
      started_at: Loop time at which it was sent, in seconds.
      progress_at: Loop time of the last progress, in seconds.
      stalled: Whether it was cancelled for making no progress.
    """

    request: messages.Dispatch
    task: asyncio.Task[object]
    crashes_at_start: int
    started_at: float
    progress_at: float
    stalled: bool = False

    def stall_timeout_s(self) -> float:
        """Returns for how long the attempt may make no progress."""
        return (
            STALL_TIMEOUT_S
            if self.request.idempotent
            else NON_IDEMPOTENT_STALL_TIMEOUT_S
        )


class InFlightAttempts:
    """Attempts in flight at one target."""

    __slots__ = ("_by_attempt",)

    def __init__(self) -> None:
        self._by_attempt: dict[str, InFlightAttempt] = {}

    def __len__(self) -> int:
        return len(self._by_attempt)

    def add(self, in_flight_attempt: InFlightAttempt) -> None:
        """Adds an attempt that is being sent."""
        self._by_attempt[in_flight_attempt.request.attempt] = in_flight_attempt

    def remove(self, attempt: str) -> None:
        """Removes an attempt that ended."""
        self._by_attempt.pop(attempt, None)

    def fingerprints(self) -> list[tuple[str, int]]:
        """Returns fingerprint and `crashes_at_start` of each attempt."""
        in_flight_attempts = self._by_attempt.values()
        return [
            (f.request.fingerprint, f.crashes_at_start)
            for f in in_flight_attempts
        ]

    def has_attempt_for(self, model: str, started_before: float) -> bool:
        """Tells whether an attempt for a model, sent by a time, is in flight.

        Args:
          model: Model name.
          started_before: Latest loop time of sending, in seconds.
        """
        return any(
            in_flight_attempt.request.model == model
            and in_flight_attempt.started_at <= started_before
            for in_flight_attempt in self._by_attempt.values()
        )

    def cancel_stalled(self, now: float) -> int:
        """Cancels the stalled attempts and returns their number."""
        stalled = [
            in_flight_attempt
            for in_flight_attempt in self._by_attempt.values()
            if now - in_flight_attempt.progress_at
            > in_flight_attempt.stall_timeout_s()
        ]
        for in_flight_attempt in stalled:
            in_flight_attempt.stalled = True
            in_flight_attempt.task.cancel()
        return len(stalled)
