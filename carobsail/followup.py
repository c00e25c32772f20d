"""Decides what follows a send that ended without a usable answer.

Load patterns that the decision answers: a target crashes with a batch of
requests under way; a target fails a part of its requests; a target is full.
Repeats are bounded by the budget that all instances share, by the route's
number of targets, and by what is known of the request's execution.
"""

import dataclasses
import enum

from carobsail import routetable

# Sends that a target provably did not run are bounded as well: each that
# reached one counts in the shared budget.
MAX_SENDS = 4
# Bound on all sends, with those for which no connection opened: new connections
# are billed, and each may cost 0.4 s.
MAX_TRIES = 8
# Less than this is left to neither reach a target nor answer.
MIN_LEFT_S = 0.05


class Next(enum.StrEnum):
    """What follows."""

    SEND_AGAIN = "send_again"
    RESUME = "resume"
    REFUSE = "refuse"
    FAIL = "fail"


@dataclasses.dataclass(slots=True)
class Progress:
    """What is known of one caller's request.

    Attributes:
      route: Its route.
      sends: Sends so far.
      unsent: Sends of which no byte was written, because no connection to the
        target opened.
      may_have_run: Sends of which it is not proved that they did not run,
        the one under way included.
      head_delivered: Whether the caller has the head of an answer.
      last_event: Last whole event that the caller has, or empty.
    """

    route: routetable.Route
    sends: int = 0
    unsent: int = 0
    may_have_run: int = 0
    head_delivered: bool = False
    last_event: str = ""

    @property
    def arrivals(self) -> int:
        """Sends that may have reached a target."""
        return self.sends - self.unsent


def decide(progress: Progress, left_s: float, budget_left: bool) -> Next:
    """Decides what follows a failed send.

    Args:
      progress: What is known of the request; the failed send is recorded.
      left_s: Seconds that the caller still waits.
      budget_left: Whether a repeat may be sent, by the shared budget. A send
        after others that reached no target is no repeat.
    """
    route = progress.route
    give_up = Next.FAIL if progress.may_have_run else Next.REFUSE
    if progress.may_have_run >= route.max_targets:
        return give_up
    if progress.arrivals >= MAX_SENDS or progress.sends >= MAX_TRIES:
        return give_up
    if left_s < MIN_LEFT_S or (progress.arrivals and not budget_left):
        return give_up
    if not progress.may_have_run:
        return Next.SEND_AGAIN
    if route.repeat is routetable.Repeat.SAFE:
        return give_up if progress.head_delivered else Next.SEND_AGAIN
    if route.repeat is routetable.Repeat.STREAM and route.resumable:
        if not progress.head_delivered:
            return Next.SEND_AGAIN
        return Next.RESUME
    return give_up
