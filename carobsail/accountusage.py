"""Limits of client accounts over all instances: the coordinator's part.

Load pattern: see `accountlimits`. The coordinator keeps one token bucket for
each account, from which it subtracts what the instances report as admitted. It
grants parts of the bucket's level to the instances: to each a part by its
demand beforehand, and the rest to those that ask. The sum of what instances may
admit without being heard never exceeds the level, because a grant counts until
the instance reports that it has used it or given it up.

An instance that does not confirm that it hears the coordinator may use its
allocation, a fraction of the account's bucket. That fraction of the level, of
the refill and of the bucket's size is left out meanwhile. Allocations sum to at
most 1: one is only raised by what others have confirmed to have given up.
"""

import collections
import math

import msgspec

from carobsail import (
    accountlevels,
    accountlimits,
    clientaccounts,
    limitbounds,
    summaries,
)

# Share of the level that is granted beforehand. The rest serves instances to
# which demand moves, without first taking it from others.
HELD_SHARE = 0.7
# No more is granted beforehand than an instance uses in this time, and this
# number of requests: the rest would only have to be taken back.
HELD_DEMAND_S = 2.0
HELD_REQUESTS = 2.0
# A part smaller than this number of requests is not granted beforehand, as it
# would admit none; the instance asks instead.
MIN_HELD_REQUESTS = 0.5
# An instance gives up what its balance exceeds its part by this factor.
HOLD_FACTOR = 1.5
# Share of the allocations that is divided evenly, for demand that moves while
# instances are cut off.
EVEN_SHARE = 0.1
# Time constant of the demand by which the rest is divided. An instance may
# receive one request of an account in three seconds.
DEMAND_SMOOTHING_S = 30.0
# Allocations are changed when they differ from the target by this factor.
ALLOCATION_CHANGE = 0.15
# Requests are admitted before their grant while the level is at least at the
# first share of the bucket, and no longer when it is below the second one.
OVERDRAFT_ON_SHARE = 0.85
OVERDRAFT_OFF_SHARE = 0.7
# Below this share of the bucket, instances with demand are told the level.
LOW_FREE_SHARE = 0.3
# A new coordinator hears all instances that are not cut off within this time.
SETTLE_S = 1.2
# Numbers of messages whose sending time is kept: two minutes of rounds.
MAX_SENT_NUMBERS = 4096


class AccountUsage:
    """The coordinator's aggregation; times are of the boot clock.

    Attributes:
      number: Number of the last message of this term.
      usages: Usage of each account; kept when an account is removed.
      instances: The instances by name.
    """

    def __init__(self, bounds: limitbounds.LimitBounds) -> None:
        """Creates an aggregation outside of a term."""
        self.number = 0
        self.usages: dict[str, accountlevels.Usage] = {}
        self.instances: dict[str, accountlevels.Instance] = {}
        self._bounds = bounds
        self._accounts: dict[str, clientaccounts.ClientAccount] = {}
        self._began_at = float("-inf")
        self._expected_members = 0
        self._sent_at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._fence = 0

    def start_term(self, fence: int, members: int, now: float) -> None:
        """Begins a term with empty buckets.

        Args:
          fence: Fencing number of the term.
          members: Number of instances known from the previous coordinator.
          now: Time of the boot clock in seconds.
        """
        self._fence, self._began_at = fence, now
        self._expected_members = members
        self.number = 0
        self.instances.clear()
        self.usages.clear()
        self._sent_at.clear()
        self.configure(self._accounts, self._bounds, now)

    def configure(
        self,
        accounts: dict[str, clientaccounts.ClientAccount],
        bounds: limitbounds.LimitBounds,
        now: float,
    ) -> None:
        """Applies the limits of a configuration to the present state."""
        self._accounts, self._bounds = accounts, bounds
        for name, account in accounts.items():
            if account.limit_per_s <= 0.0:
                continue
            size = bounds.bucket_size(account)
            usage = self.usages.get(name)
            if usage is not None:
                usage.refill(now)
                usage.limit_per_s, usage.size = account.limit_per_s, size
                usage.level = min(usage.level, size)
                usage.window_s = bounds.window_s
                continue
            # Nothing of an account that is new in a term was admitted before.
            # The accounts known at the start of a term may have been used.
            is_new = now - self._began_at > bounds.window_s
            self.usages[name] = accountlevels.Usage(
                account.limit_per_s,
                size,
                size if is_new else 0.0,
                now,
                0.0 if is_new else 1.0,
                window_s=bounds.window_s,
                counted_since=self._began_at,
            )

    # Reports of instances.

    def add_summary(self, summary: summaries.Summary, now: float) -> bool:
        """Adds a summary.

        Returns:
          Whether its sender waits for a grant, or was not known.
        """
        instance = self.instances.get(summary.instance)
        if instance is not None and (
            instance.incarnation == summary.incarnation
        ):
            if summary.number <= instance.number:
                return False
            instance.number, instance.heard_at = summary.number, now
        else:
            if instance is not None:
                self._drop(instance, now)
            instance = self.instances[summary.instance] = (
                accountlevels.Instance(summary.incarnation, summary.number, now)
            )
        self._expected_members = max(
            self._expected_members, summary.account_members
        )
        self._assume_refill(instance, now)
        known = len(instance.shares)
        for row in summary.accounts:
            if row.account in self.usages and _is_finite(row):
                self._add_count(instance, summary, row, now)
        if summary.account_fence == self._fence:
            sent_at = self._sent_at.get(summary.account_update, -math.inf)
            instance.confirmed_at = max(instance.confirmed_at, sent_at)
        return len(instance.shares) > known or any(
            row.wanted for row in summary.accounts
        )

    def _add_count(
        self,
        instance: accountlevels.Instance,
        summary: summaries.Summary,
        row: summaries.AccountCount,
        now: float,
    ) -> None:
        usage = self.usages[row.account]
        usage.refill(now)
        same_term = summary.account_fence == self._fence
        if not same_term:
            # Its balance contains only grants of an earlier term.
            row = msgspec.structs.replace(row, granted=0.0)
        share = instance.shares.get(row.account)
        if share is None:
            share = accountlevels.Share(row, row.granted, assumed_at=now)
            instance.shares[row.account] = share
            usage.unknown = max(0.0, usage.unknown - row.allocation)
            # Its fraction of the bucket that an earlier coordinator left.
            usage.level += row.left
        else:
            if row.alone and share.alone:
                # It kept its fraction of the bucket itself. What it saved
                # beyond that size and then used at once must be refilled.
                usage.level += row.left
            else:
                usage.level += share.assumed
                usage.level -= row.admitted - share.count.admitted
            share.assumed, share.alone = 0.0, False
            usage.record_use(row.admitted - share.count.admitted, now)
            demanded = row.demanded - share.count.demanded
            if demanded > 0.0:
                share.demanded_at = now
                share.demand_per_s += demanded / DEMAND_SMOOTHING_S
            share.count = row
            sent = share.sent
            if sent is not None and row.allocation == sent.allocation:
                share.unconfirmed = []
        usage.cap()
        usage.recount(share)

    def _drop(self, instance: accountlevels.Instance, now: float) -> None:
        """Assumes that an ended process has used what it was granted."""
        for name, share in instance.shares.items():
            usage = self.usages[name]
            usage.refill(now)
            usage.level -= max(0.0, share.outstanding)
            usage.outstanding -= share.counted[0]
            usage.reserved -= share.counted[1]
            usage.demand_per_s -= share.counted[2]

    # Time.

    def _assume_refill(
        self, instance: accountlevels.Instance, now: float
    ) -> None:
        """Counts what an instance that may be alone can admit."""
        alone_at = instance.confirmed_at + accountlimits.ALONE_AFTER_S
        if now <= alone_at:
            return
        for name, share in instance.shares.items():
            usage = self.usages[name]
            alone_s = now - max(share.assumed_at, alone_at)
            if alone_s > 0.0:
                added = usage.limit_per_s * share.reserved * alone_s
                if not share.alone:
                    # Its fraction of the level, of which it may hold a part.
                    share.alone = True
                    part = share.reserved * max(0.0, usage.level)
                    added += max(0.0, part - max(0.0, share.outstanding))
                share.assumed += added
                usage.level -= added
            share.assumed_at = now

    def start_round(self, now: float) -> int:
        """Prepares the messages of a round; returns their number."""
        valid_s = accountlimits.ALLOCATION_VALID_S
        for name, instance in list(self.instances.items()):
            last = max(instance.heard_at, instance.confirmed_at)
            if now - last > valid_s:
                del self.instances[name]
        since_s = now - self._began_at
        settled = since_s > SETTLE_S and (
            len(self.instances) >= self._expected_members
        )
        # Rounds are half a second apart.
        decay = math.exp(-0.5 / DEMAND_SMOOTHING_S)
        for usage in self.usages.values():
            usage.refill(now)
            usage.record_use(0.0, now)
            if settled or since_s > valid_s:
                usage.unknown = 0.0
            # Summed again, so that rounding errors do not add up.
            usage.outstanding = usage.reserved = usage.demand_per_s = 0.0
            usage.saved = 0.0
        for instance in self.instances.values():
            self._assume_refill(instance, now)
            alone_at = instance.confirmed_at + accountlimits.ALONE_AFTER_S
            for name, share in instance.shares.items():
                usage = self.usages[name]
                share.demand_per_s *= decay
                share.counted = (0.0, 0.0, 0.0)
                usage.recount(share)
                if now > alone_at:
                    usage.saved += share.reserved
        for usage in self.usages.values():
            usage.cap()
            if usage.level >= OVERDRAFT_ON_SHARE * usage.size:
                usage.overdraft = True
            elif usage.level < OVERDRAFT_OFF_SHARE * usage.size:
                usage.overdraft = False
        return self.next_number(now)

    def next_number(self, now: float) -> int:
        """Returns the number of the next message."""
        self.number += 1
        self._sent_at[self.number] = now
        if len(self._sent_at) > MAX_SENT_NUMBERS:
            self._sent_at.popitem(last=False)
        return self.number

    def end_overdrafts(self) -> bool:
        """Ends overdrafts of accounts whose level fell; whether any did."""
        ended = False
        for usage in self.usages.values():
            if usage.overdraft and (
                usage.level < OVERDRAFT_OFF_SHARE * usage.size
            ):
                usage.overdraft, ended = False, True
        return ended

    # Grants.

    def grants(
        self, name: str, accounts: list[str], now: float
    ) -> list[summaries.AccountGrant]:
        """Returns the rows for an instance that differ from its state.

        Args:
          name: The instance.
          accounts: Accounts to consider, those nearest their limits first.
          now: Time of the boot clock in seconds.
        """
        rows: list[summaries.AccountGrant] = []
        instance = self.instances.get(name)
        if instance is None:
            return rows
        for account in accounts:
            usage, share = self.usages[account], instance.shares.get(account)
            if share is None:
                continue  # Its state is not known yet.
            if len(rows) >= accountlimits.MAX_ACCOUNT_ROWS:
                break
            usage.refill(now)
            row = self._grant(account, usage, share, instance, now)
            if self._must_send(usage, share, row, now):
                share.granted = row.granted
                if share.unconfirmed or (
                    row.allocation != share.count.allocation
                ):
                    share.unconfirmed.append(row.allocation)
                    # Only the largest one counts.
                    share.unconfirmed = [max(share.unconfirmed)]
                share.sent = row
                usage.recount(share)
                rows.append(row)
        return rows

    def accounts_by_urgency(self) -> list[str]:
        """Returns the accounts with limits, nearest their limits first."""
        return sorted(
            (
                name
                for name in self.usages
                if name in self._accounts
                and self._accounts[name].limit_per_s > 0.0
            ),
            key=lambda n: self.usages[n].level / self.usages[n].size,
        )

    def _grant(
        self,
        name: str,
        usage: accountlevels.Usage,
        share: accountlevels.Share,
        instance: accountlevels.Instance,
        now: float,
    ) -> summaries.AccountGrant:
        even = 1.0 / max(1, len(self.instances))
        target = even
        if usage.demand_per_s > 0.0:
            target = EVEN_SHARE * even + (1.0 - EVEN_SHARE) * (
                share.demand_per_s / usage.demand_per_s
            )
        reserved = share.reserved
        allocation = share.sent.allocation if share.sent else reserved
        if abs(target - allocation) > ALLOCATION_CHANGE * max(allocation, even):
            spare = 1.0 - usage.unknown - usage.reserved
            allocation = max(0.0, min(target, reserved + spare))
        size = share.count.size
        held = min(
            HELD_SHARE * max(0.0, usage.level) * target,
            HELD_DEMAND_S * share.demand_per_s + HELD_REQUESTS * size,
        )
        if held < MIN_HELD_REQUESTS * size or not size:
            held = 0.0
        alone_at = instance.confirmed_at + accountlimits.ALONE_AFTER_S
        desired = max(held, share.count.wanted)
        if now > alone_at:
            # What it holds is not known well enough to add to it.
            desired = share.count.wanted
        free = usage.free
        outstanding = share.outstanding
        granted = share.granted
        if free > 0.0 and desired > outstanding:
            charged = min(free, desired - max(0.0, outstanding))
            granted += charged + max(0.0, -outstanding)
            free -= charged
        return summaries.AccountGrant(
            name,
            granted,
            HOLD_FACTOR * held,
            allocation,
            free,
            *accountlevels.bounds_of(usage, share.sent, now),
            usage.overdraft,
        )

    def _must_send(
        self,
        usage: accountlevels.Usage,
        share: accountlevels.Share,
        row: summaries.AccountGrant,
        now: float,
    ) -> bool:
        sent = share.sent
        if sent is None:
            return True
        in_use = now - share.demanded_at < accountlimits.ALONE_AFTER_S
        return (
            row.granted > share.count.granted
            or row.allocation != share.count.allocation
            or row.overdraft != sent.overdraft
            or (row.level, row.used) != (sent.level, sent.used)
            or (
                share.count.balance > row.hold + 1e-6 and not share.count.wanted
            )
            or (in_use and row.free < LOW_FREE_SHARE * usage.size)
        )


def _is_finite(row: summaries.AccountCount) -> bool:
    return all(
        math.isfinite(value)
        for value in (
            row.admitted,
            row.demanded,
            row.balance,
            row.granted,
            row.allocation,
            row.left,
            row.alone,
            row.wanted,
            row.size,
        )
    )
