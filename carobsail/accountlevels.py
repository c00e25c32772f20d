"""Levels of the limits of client accounts, as the coordinator knows them.

They hold uses and allocations over all instances and at each; `accountusage`
maintains them.
"""

import collections
import dataclasses
import math

from carobsail import summaries


@dataclasses.dataclass(slots=True)
class Share:
    """What is known of an account at one instance.

    Attributes:
      count: Its last report.
      granted: Sum of the grants to it in this term.
      sent: Last row that was sent to it.
      unconfirmed: Allocations sent since the instance last confirmed one.
      demand_per_s: Smoothed demand.
      demanded_at: When its demand last changed.
      assumed: What it is assumed to use of its allocation without being heard.
      assumed_at: Time up to which that is counted.
      alone: Whether it was found alone since its last report.
      counted: What the sums in `Usage` contain of it: outstanding amount,
        reserved allocation and demand.
    """

    count: summaries.AccountCount
    granted: float = 0.0
    sent: summaries.AccountGrant | None = None
    unconfirmed: list[float] = dataclasses.field(default_factory=list)
    demand_per_s: float = 0.0
    demanded_at: float = float("-inf")
    assumed: float = 0.0
    assumed_at: float = float("-inf")
    alone: bool = False
    counted: tuple[float, float, float] = (0.0, 0.0, 0.0)

    @property
    def outstanding(self) -> float:
        """What it may admit without being heard; negative for a debt."""
        return self.count.balance + self.granted - self.count.granted

    @property
    def reserved(self) -> float:
        """The largest allocation that it may be using."""
        return max(self.count.allocation, *self.unconfirmed, 0.0)


@dataclasses.dataclass(slots=True)
class Instance:
    """An instance that sent a summary in this term.

    Attributes:
      incarnation: Incarnation of its process.
      number: Number of its last summary.
      heard_at: When that was received.
      confirmed_at: When the last message was sent that it confirmed.
      shares: What is known of each account at it.
    """

    incarnation: int
    number: int
    heard_at: float
    confirmed_at: float = float("-inf")
    shares: dict[str, Share] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Usage:
    """Usage of an account over all instances.

    Attributes:
      limit_per_s: Its limit.
      size: Size of its bucket.
      level: What may still be admitted, including what is granted already.
      updated_at: Time of the level.
      unknown: Allocations of instances that were not heard in this term.
      overdraft: See `summaries.AccountGrant`.
      saved: Allocations of instances that may be alone, which may have saved
        their parts of the bucket.
      outstanding: Sum over all instances of what they may admit.
      reserved: Sum of the allocations that they may be using.
      demand_per_s: Sum of their smoothed demand.
      window_s: Window over which the limit is judged.
      uses: Reports of admitted amounts in the last window.
      used: Sum of these amounts.
      counted_since: Begin of the term, in which they are counted.
    """

    limit_per_s: float
    size: float
    level: float
    updated_at: float
    unknown: float = 0.0
    overdraft: bool = False
    saved: float = 0.0
    outstanding: float = 0.0
    reserved: float = 0.0
    demand_per_s: float = 0.0
    window_s: float = 8.0
    uses: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )
    used: float = 0.0
    counted_since: float = float("-inf")

    def used_before(self, now: float) -> float:
        """Returns an upper bound of what was admitted in the last window."""
        if now - self.counted_since < self.window_s:
            # What was admitted before the term is not known.
            return self.limit_per_s * self.window_s + self.size
        return self.used

    def record_use(self, amount: float, now: float) -> None:
        """Counts an amount that was admitted until now."""
        if amount:
            self.uses.append((now, amount))
            self.used += amount
        # Reports are up to half a second old.
        while self.uses and self.uses[0][0] < now - self.window_s - 0.5:
            self.used -= self.uses.popleft()[1]

    @property
    def free(self) -> float:
        """What can still be granted."""
        return self.level - self.outstanding

    def recount(self, share: Share) -> None:
        """Updates the sums after a change of an instance's share."""
        outstanding, reserved, demand = share.counted
        share.counted = (
            max(0.0, share.outstanding),
            share.reserved,
            share.demand_per_s,
        )
        self.outstanding += share.counted[0] - outstanding
        self.reserved += share.counted[1] - reserved
        self.demand_per_s += share.counted[2] - demand

    def refill(self, now: float) -> None:
        """Refills the bucket up to a time."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.level += self.limit_per_s * (1.0 - self.unknown) * elapsed_s
        self.cap()

    def cap(self) -> None:
        """Limits the level to the part of the bucket that nobody saves."""
        left = 1.0 - self.unknown - self.saved
        self.level = min(self.level, self.size * max(0.0, left))


def bounds_of(
    usage: Usage, sent: summaries.AccountGrant | None, now: float
) -> tuple[float, float]:
    """Returns bounds of level and use that seldom change; see `AccountGrant`.

    They are rounded, and kept while they hold and are not far off, so that they
    need not be sent to all instances with each request.
    """
    used = usage.used_before(now)
    level_step, used_step = 0.1 * usage.size, 0.5 * usage.limit_per_s
    if sent is not None and (
        sent.level <= usage.level < sent.level + 3.0 * level_step
        and sent.used - 3.0 * used_step < used <= sent.used
    ):
        return sent.level, sent.used
    level = max(-usage.size, usage.level)
    return (
        level_step * math.floor(level / level_step),
        used_step * math.ceil(max(0.0, used) / used_step),
    )
