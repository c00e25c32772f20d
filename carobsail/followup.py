"""Decides what follows a send that ended without a usable answer.

Load patterns that the decision answers: a target crashes with a batch of
requests under way; a target fails a part of its requests; a target is full.
Repeats are bounded by the budget that all instances share, by the route's
number of targets, and by what is known of the request's execution.
"""

import dataclasses
import enum

from carobsail import routetable

# Sends that a target provably did not run are bounded as well: each counts
# in the shared budget.
MAX_SENDS = 4
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
      may_have_run: Sends of which it is not proved that they did not run,
        the one under way included.
      head_delivered: Whether the caller has the head of an answer.
      last_event: Last whole event that the caller has, or empty.
    """

    route: routetable.Route
    sends: int = 0
    may_have_run: int = 0
    head_delivered: bool = False
    last_event: str = ""


def decide(progress: Progress, left_s: float, budget_left: bool) -> Next:
    """Decides what follows a failed send.

    Args:
      progress: What is known of the request; the failed send is recorded.
      left_s: Seconds that the caller still waits.
      budget_left: Whether a repeat may be sent, by the shared budget.
    """
    route = progress.route
    give_up = Next.FAIL if progress.may_have_run else Next.REFUSE
    if progress.may_have_run >= route.max_targets:
        return give_up
    if progress.sends >= MAX_SENDS or left_s < MIN_LEFT_S or not budget_left:
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
