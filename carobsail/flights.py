"""Attempts under way at one target, and which of them make no progress."""

import asyncio
import dataclasses

from carobsail import messages

WATCH_INTERVAL_S = 0.5
# An engine that sends nothing for this long is taken as frozen: the 95th
# percentile between tokens is 41 ms, and the first token is due in 0.63 s.
STALL_S = 5.0
# A request that must not be sent again is given this long, because giving up
# on it leaves its outcome unknown.
STALL_NON_IDEMPOTENT_S = 60.0


@dataclasses.dataclass(slots=True)
class Flight:
    """An attempt sent to a target.

    Attributes:
      request: The request.
      task: Task that relays the answer.
      crashes_at_start: Crashes known of the request when it was sent.
      started_at: Loop time of sending, in seconds.
      progress_at: Loop time of the last byte, in seconds.
      stalled: Whether it was cancelled because nothing came.
    """

    request: messages.Dispatch
    task: asyncio.Task[object]
    crashes_at_start: int
    started_at: float
    progress_at: float
    stalled: bool = False

    def limit_s(self) -> float:
        """Returns how long the attempt may make no progress, in seconds."""
        return STALL_S if self.request.idempotent else STALL_NON_IDEMPOTENT_S


class Flights:
    """Attempts under way at one target."""

    __slots__ = ("_by_attempt",)

    def __init__(self) -> None:
        self._by_attempt: dict[str, Flight] = {}

    def __len__(self) -> int:
        return len(self._by_attempt)

    def add(self, flight: Flight) -> None:
        """Adds an attempt that is being sent."""
        self._by_attempt[flight.request.attempt] = flight

    def remove(self, attempt: str) -> None:
        """Removes an attempt that ended."""
        self._by_attempt.pop(attempt, None)

    def runs(self) -> list[tuple[str, int]]:
        """Returns fingerprint and crashes at start of each attempt."""
        flights = self._by_attempt.values()
        return [(f.request.fingerprint, f.crashes_at_start) for f in flights]

    def uses(self, model: str, started_before: float) -> bool:
        """Tells whether an attempt of a model was sent before a time."""
        return any(
            flight.request.model == model
            and flight.started_at <= started_before
            for flight in self._by_attempt.values()
        )

    def cancel_stalled(self, now: float) -> int:
        """Cancels the attempts without progress and returns their number."""
        stalled = [
            flight
            for flight in self._by_attempt.values()
            if now - flight.progress_at > flight.limit_s()
        ]
        for flight in stalled:
            flight.stalled = True
            flight.task.cancel()
        return len(stalled)
