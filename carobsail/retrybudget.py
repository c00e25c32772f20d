"""Retry budget that all instances share.

Load pattern: a target fails and each instance retries its requests at once;
without a common limit, the healthy targets of the service receive a multiple of
their load. The limit holds for each sliding window over all instances. Each
instance uses an equal share of the fixed allowance without coordination, and
the proportional part for the requests that it received itself.
"""

import collections

# Share of the budget that is used. The rest covers retries that other instances
# counted at other times, and instances that forget their retries in a restart.
USABLE_SHARE = 0.75
# Lower bound of the assumed number of instances, since instances that cannot be
# seen still retry.
MIN_INSTANCES = 3


class SharedRetryBudget:
    """Share of one instance in the retry budget of one service."""

    __slots__ = ("_allowance", "_ratio", "_requests", "_retries", "_window_s")

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        """Creates a budget.

        Args:
          ratio: Retries per request, over all instances.
          allowance: Additional retries per window, over all instances.
          window_s: Length of the sliding window in seconds.
        """
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def change(self, ratio: float, allowance: float, window_s: float) -> None:
        """Changes the limits; earlier requests and retries still count."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s

    def count_request(self, now: float) -> None:
        """Counts a caller's request for the service."""
        self._requests.append(now)
        self._expire(now)

    def allows_retry(self, members: int, now: float) -> bool:
        """Whether the budget allows one more retry.

        Args:
          members: Number of known instances, including this one.
          now: Time of the event loop's clock in seconds.
        """
        self._expire(now)
        allowed = USABLE_SHARE * (
            self._ratio * len(self._requests)
            + self._allowance / max(MIN_INSTANCES, members)
        )
        return len(self._retries) + 1 <= allowed

    def take_retry(self, members: int, now: float) -> bool:
        """Counts one retry if the budget allows it; see `allows_retry`."""
        if not self.allows_retry(members, now):
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
