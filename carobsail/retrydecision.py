"""Decides what follows a send that ended without a usable response.

The decision handles these load patterns: a target crashes with a batch of
requests in flight; a target fails a share of its requests; a target is full.
Retries are limited by the budget that all instances share, by the route's
maximum number of targets, and by what is known of the request's execution.
"""

import dataclasses
import enum

from carobsail import routetable

# Maximum number of sends that may have reached a target. It also covers sends
# that targets provably did not execute, since each retry of a send that reached
# a target uses the shared budget.
MAX_DELIVERIES = 4
# Maximum number of sends, including those for which no connection opened: new
# connections are billed, and each attempt may take 0.4 s.
MAX_SENDS = 8
# With less time left than this, no target can be reached and respond.
MIN_LEFT_S = 0.05


class NextAction(enum.StrEnum):
    """What follows a failed send."""

    SEND_AGAIN = "send_again"
    RESUME = "resume"
    REFUSE = "refuse"
    FAIL = "fail"


@dataclasses.dataclass(slots=True)
class Progress:
    """What is known of the sends of one request.

    Attributes:
      route: Route of the request.
      sends: Number of sends so far.
      connect_failures: Number of sends of which no byte was written because no
        connection to the target opened.
      may_have_run: Number of sends, including the current one, whose target
        may have executed the request.
      head_delivered: Whether the caller has received a response head.
      last_event: Identifier of the last complete event that the caller has
        received, or empty.
    """

    route: routetable.Route
    sends: int = 0
    connect_failures: int = 0
    may_have_run: int = 0
    head_delivered: bool = False
    last_event: str = ""

    @property
    def deliveries(self) -> int:
        """Number of sends that may have reached a target."""
        return self.sends - self.connect_failures


def next_action(
    progress: Progress, left_s: float, budget_left: bool
) -> NextAction:
    """Decides what follows a failed send.

    Args:
      progress: What is known of the request, including the failed send.
      left_s: Seconds until the deadline of the request.
      budget_left: Whether the shared budget allows a retry. A send after others
        none of which reached a target does not count as a retry.
    """
    route = progress.route
    give_up = NextAction.FAIL if progress.may_have_run else NextAction.REFUSE
    if progress.may_have_run >= route.max_targets:
        return give_up
    if progress.deliveries >= MAX_DELIVERIES or progress.sends >= MAX_SENDS:
        return give_up
    if left_s < MIN_LEFT_S or (progress.deliveries and not budget_left):
        return give_up
    if not progress.may_have_run:
        return NextAction.SEND_AGAIN
    if route.retry_safety is routetable.RetrySafety.SAFE:
        return give_up if progress.head_delivered else NextAction.SEND_AGAIN
    if route.retry_safety is routetable.RetrySafety.STREAM and route.resumable:
        if not progress.head_delivered:
            return NextAction.SEND_AGAIN
        return NextAction.RESUME
    return give_up
