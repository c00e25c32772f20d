"""Budget of repeated sends that all instances share.

Load pattern: a target fails and each instance sends its requests again at
once; without a common bound the healthy targets of the service receive a
multiple of their load. The bound holds in each sliding window over all
instances, so that each takes its part of the fixed allowance without asking
the others; the proportional part is earned by its own requests.
"""

import collections

# Kept back for repeats that were counted by others at other moments, and for
# an instance that restarts and has forgotten what it sent.
SHARE_USED = 0.75
# Fewer members than this are not believed: peers that are out of sight still
# send.
MIN_MEMBERS = 3


class RepeatBudget:
    """Repeats of one instance for one service."""

    __slots__ = ("_allowance", "_ratio", "_repeats", "_requests", "_window_s")

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        """Creates a budget.

        Args:
          ratio: Repeats for each request, over all instances.
          allowance: Repeats in a window beyond that, over all instances.
          window_s: Length of the sliding window in seconds.
        """
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def change(self, ratio: float, allowance: float, window_s: float) -> None:
        """Changes the bounds; what was counted is kept."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s

    def count_request(self, now: float) -> None:
        """Counts a caller's request for the service."""
        self._requests.append(now)
        self._expire(now)

    def left(self, members: int, now: float) -> bool:
        """Whether the budget allows one more repeat.

        Args:
          members: Instances that are known, this one included.
          now: Time of the loop's clock in seconds.
        """
        self._expire(now)
        allowed = SHARE_USED * (
            self._ratio * len(self._requests)
            + self._allowance / max(MIN_MEMBERS, members)
        )
        return len(self._repeats) + 1 <= allowed

    def take(self, members: int, now: float) -> bool:
        """Takes one repeat if the budget allows it; see `left`."""
        if not self.left(members, now):
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window_s:
                times.popleft()
