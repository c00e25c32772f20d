"""Limits of client accounts over all instances: the decision of one instance.

Load pattern: the callers of an account are unevenly spread over 63 instances,
move between them within a second, or send four times the limit from one moment
to the next, while any number of instances may be cut off.

Each instance holds a balance for each account, which the coordinator grants
from one token bucket for all instances (`accountusage`). The sum of all
balances never exceeds that bucket, so neither a lost message nor a cut-off
instance can exceed the limit. An instance without a sufficient balance asks
the coordinator while the request waits. While an account is far below its
limit, an instance admits a request before the grant instead.

An instance that hears nothing uses its allocation: the same fraction of the
level that it knows, of the refill since, and of the bound of each window. The
coordinator leaves out that fraction meanwhile.

All times are of the boot clock: a machine that was suspended must not treat an
old update as recent.
"""

import collections
import dataclasses
import enum

import msgspec

from carobsail import clientaccounts, limitbounds, summaries, tokenbucket

# An instance that has heard nothing for this long uses its own allocation.
# Updates and summaries are sent every 0.45 to 0.55 s; the coordinator knows
# after 1.14 s at the latest that an update was received.
ALONE_AFTER_S = 1.2
# The same for a request that has asked and got no answer: at least one update
# was missed as well.
UNANSWERED_AFTER_S = 0.6
# Share of the level that instances which hear nothing count on: until the
# coordinator notices, others may use the rest.
ALONE_LEVEL_SHARE = 0.25
# An instance that has heard nothing for this long admits nothing, and the
# coordinator gives its allocation to others from then on.
ALLOCATION_VALID_S = 60.0
# Share of a limit that instances use together which have never heard a
# coordinator, divided by their last known number: that number may have doubled.
FRESH_SHARE = 0.5
# A request is admitted before its grant only this long after an update: with a
# sudden demand of four times the limit, all instances together then admit no
# more than the bucket holds.
OVERDRAFT_VALID_S = 0.75
# Fraction of the instance's part of the level up to which it may be in debt
# when it admits a request before its grant.
OVERDRAFT_LEVEL_SHARE = 0.25
# Whether the coordinator has enough left is known for this long.
FREE_VALID_S = 0.5
# Limit on urgent requests for grants, for each instance and over all accounts.
ASKS_PER_S = 20.0
ASKS_BURST = 20.0
# Callers refused within this time are expected to return, and a caller refused
# after them is told the time that the limit takes to admit them first.
RETURN_WINDOW_S = 1.0
# Upper bound of the time that a refused caller is told.
MAX_RETRY_S = 30.0
# Lower bound of that time, in which a request for a grant is answered.
MIN_RETRY_S = 0.05
# Number of summaries in which a changed count is sent, as one may be lost.
COUNT_SENDS = 3
# A fraction of the bucket is reported this often before it is forgotten.
MIN_LEFT_SENDS = 2
# Accounts per message, which keeps a datagram below 1,400 bytes.
MAX_ACCOUNT_ROWS = 20
# Weight of the last request in the mean amount of a request.
SIZE_WEIGHT = 0.1


class Verdict(enum.StrEnum):
    """What happens to a request."""

    ADMIT = "admit"
    ASK = "ask"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """A decision with its inputs.

    Attributes:
      verdict: The decision.
      balance: Balance of the account before the decision.
      free: What the coordinator could still grant, when last heard.
      allocation: Fraction of the limit that the instance uses alone.
      age_s: Seconds since the instance last heard the coordinator.
      retry_after_s: Seconds until the limit leaves room for the request.
    """

    verdict: Verdict
    balance: float
    free: float
    allocation: float
    age_s: float
    retry_after_s: float = 0.0


@dataclasses.dataclass(slots=True)
class AccountState:
    """State of an account at one instance.

    The attributes are those of `summaries.AccountCount` and
    `summaries.AccountGrant`, and these:

    Attributes:
      size: Size of its bucket.
      left: Its fraction of the bucket, kept from the time when it is alone,
        or of a new coordinator, until it has reported this.
      left_at: When that was refilled.
      left_sends: Number of times that it was reported.
      free_at: When `free` was received.
      sent: The count that was sent last.
      send_count: Number of summaries in which it was sent.
      recent: Time and amount of the requests admitted in the last window.
      refused: The same of those refused within `RETURN_WINDOW_S`.
    """

    limit_per_s: float
    size: float
    admitted: float = 0.0
    demanded: float = 0.0
    balance: float = 0.0
    granted: float = 0.0
    allocation: float = 0.0
    wanted: float = 0.0
    mean_amount: float = 0.0
    left: float | None = None
    left_at: float = float("-inf")
    left_sends: int = 0
    free: float = 0.0
    free_at: float = float("-inf")
    level: float = 0.0
    used: float = 0.0
    overdraft: bool = False
    sent: summaries.AccountCount | None = None
    send_count: int = 0
    recent: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )
    refused: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )


class AccountLimits:
    """Limits of client accounts at one instance.

    Attributes:
      states: State of each account; kept when an account is removed, so that
        it gets no new balance when it is added again.
      fence: Fencing number of the coordinator that was heard last.
      update_number: Highest number that was heard from it.
      members: Number of instances that it stated.
      heard_at: When it was last heard.
    """

    def __init__(self, bounds: limitbounds.LimitBounds) -> None:
        """Creates limits without accounts."""
        self.states: dict[str, AccountState] = {}
        self.fence = 0
        self.update_number = 0
        self.members = 0
        self.heard_at = float("-inf")
        self._bounds = bounds
        self._rows_number = 0
        self._fresh_allocation = 0.0
        self._asks = tokenbucket.TokenBucket(ASKS_PER_S, ASKS_BURST, 0.0)

    def configure(
        self,
        accounts: dict[str, clientaccounts.ClientAccount],
        bounds: limitbounds.LimitBounds,
        now: float,
    ) -> None:
        """Applies the limits of a new configuration to the present state."""
        self._bounds = bounds
        for account in accounts.values():
            if account.limit_per_s <= 0.0:
                continue
            state = self.state_of(account)
            size = bounds.bucket_size(account)
            if size < state.size:
                ratio = size / state.size
                state.balance = min(state.balance, state.balance * ratio)
                state.level = min(state.level, state.level * ratio)
                state.overdraft = False
            state.limit_per_s, state.size = account.limit_per_s, size

    def state_of(self, account: clientaccounts.ClientAccount) -> AccountState:
        """Returns the state of an account, which is created if necessary."""
        state = self.states.get(account.name)
        if state is None:
            state = self.states[account.name] = AccountState(
                account.limit_per_s,
                self._bounds.bucket_size(account),
            )
            if self._fresh_allocation:
                self._set_fresh(state)
        return state

    def start_alone(self, instances: int, now: float) -> None:
        """Allows an even allocation until a coordinator is heard.

        Load pattern: all instances are killed at once, and the next coordinator
        grants nothing for up to 6 s. The buckets start empty, as if all that
        the limits allow had been used just before.

        Args:
          instances: Number of instances that the last coordinator knew.
          now: Time of the boot clock in seconds.
        """
        if self.heard_at != float("-inf") or instances < 1:
            return
        self.heard_at = now
        self._fresh_allocation = FRESH_SHARE / instances
        for state in self.states.values():
            self._set_fresh(state)

    def _set_fresh(self, state: "AccountState") -> None:
        state.allocation = self._fresh_allocation
        state.used = state.size + state.limit_per_s * self._bounds.window_s

    def decide(
        self,
        account: clientaccounts.ClientAccount,
        amount: float,
        now: float,
        may_ask: bool,
        unanswered: bool = False,
    ) -> Decision:
        """Decides on a request and charges it if it is admitted.

        Args:
          account: Client account with a limit.
          amount: Amount that the request is charged.
          now: Time of the boot clock in seconds.
          may_ask: Whether the request may wait for a grant; False if it has
            waited already.
          unanswered: Whether it has waited as long as a request may wait.
        """
        state = self.state_of(account)
        if may_ask:
            state.demanded += amount
            if not state.mean_amount:
                state.mean_amount = amount
            state.mean_amount += SIZE_WEIGHT * (amount - state.mean_amount)
        age_s = now - self.heard_at
        alone = age_s > (UNANSWERED_AFTER_S if unanswered else ALONE_AFTER_S)
        if alone:
            self._track(state, now)
            fits = amount <= self._alone_left(state, now)
        else:
            fits = amount <= state.balance + 1e-9 or (
                state.overdraft
                and state.balance
                >= -OVERDRAFT_LEVEL_SHARE * state.allocation * state.level
                and age_s < OVERDRAFT_VALID_S
            )
            if state.left is not None and state.sent is None:
                # A new coordinator has no report of this instance yet.
                fits |= amount <= state.left
        balance = state.balance
        verdict, retry_s = Verdict.REFUSE, 0.0
        if fits:
            verdict = Verdict.ADMIT
            state.admitted += amount
            state.balance -= amount
            if state.left is not None:
                state.left -= amount
            self._forget_old(state, now)
            state.recent.append((now, amount))
        elif may_ask and not alone and self._may_ask(state, amount, now):
            verdict = Verdict.ASK
        else:
            retry_s = self._retry_after_s(state, amount, alone, now)
            state.refused.append((now, amount))
        return Decision(
            verdict, balance, state.free, state.allocation, age_s, retry_s
        )

    def give_back(self, name: str, amount: float) -> None:
        """Returns the charge of a request that was not run."""
        state = self.states.get(name)
        if state is not None:
            state.admitted -= amount
            state.balance += amount

    def _may_ask(self, state: AccountState, amount: float, now: float) -> bool:
        return not self.is_used_up(state, amount, now) and self._asks.take(now)

    def is_used_up(
        self, state: AccountState, amount: float, now: float
    ) -> bool:
        """Whether the coordinator is known to have too little to grant."""
        age_s = now - state.free_at
        if age_s >= FREE_VALID_S:
            return False
        free = state.free + state.limit_per_s * age_s
        return free + max(0.0, state.balance) < amount

    def _retry_after_s(
        self, state: AccountState, amount: float, alone: bool, now: float
    ) -> float:
        """Returns the seconds until the limit leaves room for a request."""
        rate = state.limit_per_s
        while state.refused and state.refused[0][0] < now - RETURN_WINDOW_S:
            state.refused.popleft()
        if alone:
            rate *= state.allocation
            missing = amount - self._alone_left(state, now)
        else:
            refill = rate * min(now - state.free_at, ALONE_AFTER_S)
            missing = amount - max(0.0, state.balance) - state.free - refill
        if rate <= 0.0:
            return MAX_RETRY_S
        own_rate = rate if alone else rate * max(state.allocation, 1e-3)
        before = sum(refused for _, refused in state.refused)
        wait_s = missing / rate + before / own_rate
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))

    def _alone_left(self, state: AccountState, now: float) -> float:
        """Returns what the instance may admit while it hears nothing.

        In each window that ends now, it leaves out its fraction of what all
        instances may have admitted before it was alone.
        """
        alone_s = now - self.heard_at
        if alone_s > ALLOCATION_VALID_S:
            return 0.0
        window_s, rate = self._bounds.window_s, state.limit_per_s
        before_s = max(0.0, window_s - alone_s)
        before = 0.0
        if before_s > 0.0:
            level = ALONE_LEVEL_SHARE * max(0.0, state.level)
            before = state.size - level + rate * before_s
            before = min(before, state.used + state.level - level)
        total = rate * window_s + state.size - before
        used = self._recent_sum(state, max(self.heard_at, now - window_s), now)
        return state.allocation * total - used

    def _track(self, state: AccountState, now: float) -> None:
        """Keeps the instance's fraction of the bucket, which it uses alone."""
        rate, size = state.limit_per_s, state.size
        if state.left is None or state.left_sends:
            alone_s = now - self.heard_at
            used = self._recent_sum(state, self.heard_at, now)
            level = min(size, state.level + rate * alone_s)
            state.left, state.left_sends = state.allocation * level - used, 0
        else:
            refill = rate * max(0.0, now - max(state.left_at, self.heard_at))
            state.left = min(
                state.allocation * size, state.left + state.allocation * refill
            )
        state.left_at = now
        if now - self.heard_at > ALLOCATION_VALID_S:
            state.left = min(0.0, state.left)

    def _recent_sum(
        self, state: AccountState, since: float, now: float
    ) -> float:
        self._forget_old(state, now)
        return sum(amount for at, amount in state.recent if at >= since)

    def _forget_old(self, state: AccountState, now: float) -> None:
        """Drops what was admitted before the window, which bounds memory."""
        while state.recent and (
            state.recent[0][0] < now - self._bounds.window_s
        ):
            state.recent.popleft()

    # Messages.

    def heard(self, fence: int, number: int, members: int, now: float) -> bool:
        """Records a message of a coordinator; returns whether it is current."""
        if fence < self.fence or not number:
            return False
        alone_s = now - self.heard_at
        if self._fresh_allocation and alone_s <= ALONE_AFTER_S:
            # The coordinator has given all allocations to others.
            for state in self.states.values():
                state.allocation = 0.0
        self._fresh_allocation = 0.0
        for state in self.states.values():
            if alone_s > ALONE_AFTER_S or fence > self.fence:
                self._track(state, now)
            if alone_s > ALLOCATION_VALID_S:
                state.balance = min(0.0, state.balance)
        if fence > self.fence:
            self.fence, self.update_number, self._rows_number = fence, 0, 0
            for state in self.states.values():
                # The new coordinator must learn all states, and its sums of
                # grants begin at 0.
                state.sent, state.granted = None, 0.0
        self.update_number = max(self.update_number, number)
        self.heard_at = now
        self.members = members
        return True

    def apply(
        self,
        update: summaries.AccountUpdate,
        accounts: dict[str, clientaccounts.ClientAccount],
        now: float,
    ) -> bool:
        """Applies an update; returns whether it was accepted."""
        if not self.heard(update.fence, update.number, update.members, now):
            return False
        if update.number < self._rows_number:
            return False
        self._rows_number = update.number
        for row in update.rows:
            account = accounts.get(row.account)
            state = self.states.get(row.account)
            if state is None:
                if account is None or account.limit_per_s <= 0.0:
                    continue
                state = self.state_of(account)
            state.balance += max(0.0, row.granted - state.granted)
            state.granted = max(state.granted, row.granted)
            state.balance = min(state.balance, max(row.hold, state.wanted))
            state.allocation = row.allocation
            state.free, state.free_at = row.free, now
            state.level, state.used = row.level, row.used
            if state.left_sends >= MIN_LEFT_SENDS:
                state.left, state.left_sends = None, 0
            state.overdraft = row.overdraft
        return True

    def changed_counts(self, now: float) -> list[summaries.AccountCount]:
        """Returns the counts to send with the next summary."""
        rows = []
        for name, state in self.states.items():
            row = summaries.AccountCount(
                name,
                state.admitted,
                state.demanded,
                state.balance,
                state.granted,
                state.allocation,
                0.0,
                state.left is not None,
                state.wanted,
                state.mean_amount,
            )
            if row != state.sent:
                state.sent, state.send_count = row, 0
            if state.send_count < COUNT_SENDS:
                rows.append((state.send_count, state, row))
        rows.sort(key=lambda item: item[0])
        for _, state, _ in rows[:MAX_ACCOUNT_ROWS]:
            state.send_count += 1
        return [
            msgspec.structs.replace(row, left=self._report_left(state, now))
            for _, state, row in rows[:MAX_ACCOUNT_ROWS]
        ]

    def _report_left(self, state: AccountState, now: float) -> float:
        alone_s = now - self.heard_at
        if state.left is None:
            level = min(state.size, state.level + state.limit_per_s * alone_s)
            used = self._recent_sum(state, self.heard_at, now)
            return state.allocation * level - used
        if alone_s <= ALONE_AFTER_S:
            state.left_sends += 1
        return state.left
