"""Admission control per client account, and the request queue of a target.

`Admission` runs on the instance that received a request, `TargetQueue` on the
instance that owns the target. A request that either of them refuses has not
run.
"""

import collections
import dataclasses
import math
from collections.abc import Mapping

from carobsail import configuration, errors, tokenbucket

MAX_ACCOUNTS = 8192
RETRY_AFTER_S = 0.5
MIN_RETRY_AFTER_S = 0.05
# Late requests are still run. But if the expected wait is more than twice the
# time left until the deadline, an early refusal with a time to retry serves
# the caller better.
MAX_WAIT_FACTOR = 2.0
# Half of a limit is divided evenly, so that an instance without recent demand
# can admit a burst before the next rebalance.
EVEN_SHARE = 0.5
MAX_WAITING = 512  # Per target; each choice scans all waiting requests.
# Ended attempts that are remembered, to refuse one that arrives after its
# cancellation.
MAX_ENDED = 1024
# Every eighth start goes to a late request if one is waiting.
LATE_START_INTERVAL = 8


def divide_limit(limit: int, demand: Mapping[str, float]) -> dict[str, int]:
    """Divides a limit among instances; the parts add up to it exactly.

    Args:
      limit: Limit over all the instances.
      demand: Recent demand of each ready instance, all in the same unit.

    Returns:
      Each instance's part. Instances with the same input compute the same
      parts.
    """
    if not demand:
        return {}
    total = sum(demand.values())
    even = 1.0 / len(demand)
    parts = {
        name: limit
        * (
            EVEN_SHARE * even + (1.0 - EVEN_SHARE) * (wanted / total)
            if total > 0.0
            else even
        )
        for name, wanted in demand.items()
    }
    # The 1e-9 keeps rounding errors from adding up to more than the limit.
    floors = {name: int(max(0.0, part - 1e-9)) for name, part in parts.items()}
    by_remainder = sorted(parts, key=lambda n: (floors[n] - parts[n], n))
    for name in by_remainder[: limit - sum(floors.values())]:
        floors[name] += 1
    return floors


class _Account:
    """This instance's share of one client account's limits, and its use."""

    __slots__ = ("bucket", "concurrency", "in_flight", "limits", "share")

    def __init__(self, limits: configuration.Limits, share: float, now: float):
        self.limits = limits
        self.share = share
        self.concurrency = max(1, int(limits.concurrency * share))
        self.bucket = tokenbucket.TokenBucket(
            limits.requests_per_s * share, max(1.0, limits.burst * share), now
        )
        self.in_flight: set[str] = set()

    def resize(
        self, limits: configuration.Limits, share: float, now: float
    ) -> None:
        if limits == self.limits and share == self.share:
            return
        self.limits = limits
        self.share = share
        self.concurrency = max(1, int(limits.concurrency * share))
        self.bucket.resize(
            limits.requests_per_s * share, max(1.0, limits.burst * share), now
        )


class Admission:
    """Enforces one instance's share of the limits of client accounts."""

    __slots__ = ("_accounts", "_concurrency", "_instance", "_share", "_shares")

    def __init__(self, instance: str, share: float = 1.0):
        """Creates the admission control of an instance.

        Args:
          instance: Name of this instance.
          share: Part of each limit that this instance enforces, 0 to 1.
        """
        self._instance = instance
        self._share = share
        self._shares: dict[str, float] = {}
        self._concurrency: dict[str, int] = {}
        self._accounts: collections.OrderedDict[str, _Account] = (
            collections.OrderedDict()
        )

    def set_shares(
        self,
        share: float,
        shares: Mapping[str, float] | None = None,
        concurrency: Mapping[str, int] | None = None,
    ) -> None:
        """Sets this instance's part of the limits.

        When a part gets smaller, requests in flight above it may finish.

        Args:
          share: Part of each limit, 0 to 1.
          shares: Parts for accounts that have their own.
          concurrency: Concurrency limits for accounts that have their own,
            as computed by `divide_limit`.
        """
        self._share = share
        self._shares = dict(shares or {})
        self._concurrency = dict(concurrency or {})

    def admit(
        self,
        account: str,
        attempt: str,
        limits: configuration.Limits,
        now: float,
        wait_s: float = 0.0,
        due_in_s: float = math.inf,
    ) -> None | errors.Failure:
        """Admits a request, or refuses it before it runs.

        Args:
          account: Client account.
          attempt: Identifier that is passed to `release` later.
          limits: The account's limits over all instances.
          now: Time of the event loop's clock in seconds.
          wait_s: Shortest predicted wait for a slot at any target.
          due_in_s: Seconds until the complete response is due.

        Returns:
          None, or the refusal with the seconds to wait before a retry.
        """
        state = self._account(account, limits, now)
        if state is None:
            return self._refuse(
                errors.Reason.OVERLOADED, 1.0, "too many accounts"
            )
        allowed = self._concurrency.get(account, state.concurrency)
        if len(state.in_flight) >= allowed:
            detail = f"{allowed} requests of {account} in flight"
            reason = errors.Reason.CONCURRENCY_LIMITED
            return self._refuse(reason, RETRY_AFTER_S, detail)
        if wait_s > MAX_WAIT_FACTOR * due_in_s:
            detail = f"expected wait {wait_s:.1f} s, due in {due_in_s:.1f} s"
            return self._refuse(
                errors.Reason.OVERLOADED, wait_s - due_in_s, detail
            )
        if not state.bucket.take(now):
            return self._refuse(
                errors.Reason.RATE_LIMITED,
                state.bucket.wait_s(now),
                f"rate of {account} exceeded",
            )
        state.in_flight.add(attempt)
        return None

    def release(self, account: str, attempt: str) -> None:
        """Ends an admitted request; repeated calls have no effect."""
        if (state := self._accounts.get(account)) is not None:
            state.in_flight.discard(attempt)

    def in_flight(self, account: str) -> int:
        """Returns the number of the account's requests in flight."""
        state = self._accounts.get(account)
        return 0 if state is None else len(state.in_flight)

    def _account(
        self, account: str, limits: configuration.Limits, now: float
    ) -> _Account | None:
        share = self._shares.get(account, self._share)
        state = self._accounts.get(account)
        if state is not None:
            state.resize(limits, share, now)
            self._accounts.move_to_end(account)
            return state
        if (
            len(self._accounts) >= MAX_ACCOUNTS
            and not self._drop_idle_account()
        ):
            return None
        state = self._accounts[account] = _Account(limits, share, now)
        return state

    def _drop_idle_account(self) -> bool:
        # Dropping an account with requests in flight would lose their count,
        # so that its limit could be exceeded.
        for name, state in self._accounts.items():
            if not state.in_flight:
                del self._accounts[name]
                return True
        return False

    def _refuse(
        self, reason: errors.Reason, retry_after_s: float, detail: str
    ) -> errors.Failure:
        return errors.Failure(
            reason,
            errors.Step.ADMIT,
            self._instance,
            errors.Outcome.NOT_RUN,
            detail,
            max(MIN_RETRY_AFTER_S, retry_after_s),
        )


@dataclasses.dataclass(slots=True, frozen=True)
class QueueEntry:
    """A request waiting at a target.

    Attributes:
      attempt: Identifier of the attempt.
      account: Client account.
      due_at: Deadline of the complete response, in seconds of the event
        loop's clock.
      service_s: Predicted seconds from start to finish; the cost of the
        request in fair queueing.
      weight: Weight of the client account in fair queueing.
      first_token_s: Predicted seconds from start to first token.
      first_token_due_at: Deadline of the first token.
      exclusive: Whether the target must run no other request at the same time,
        because this one is suspected of crashing targets.
    """

    attempt: str
    account: str
    due_at: float
    service_s: float
    weight: float = 1.0
    first_token_s: float = 0.0
    first_token_due_at: float = math.inf
    exclusive: bool = False

    def can_be_on_time(self, now: float) -> bool:
        """Tells whether it would be on time if it started now."""
        return (
            now + self.service_s <= self.due_at
            and now + self.first_token_s <= self.first_token_due_at
        )


class TargetQueue:
    """Queue of one target with slots, fair queueing and deadline classes.

    Requests that can still be on time start before late ones, except that
    every `LATE_START_INTERVAL`-th start goes to a late one. Within each of
    these two classes the client account with the smallest virtual start time
    comes first (start-time fair queueing), and within an account the earliest
    deadline. A request that was cancelled or refused never starts.
    """

    __slots__ = (
        "_ended",
        "_finish_tags",
        "_running",
        "_slots",
        "_starts",
        "_target",
        "_virtual_time",
        "_waiting",
    )

    def __init__(self, target: str, slots: int):
        self._target = target
        self._slots = slots
        self._waiting: dict[str, QueueEntry] = {}
        self._running: dict[str, QueueEntry] = {}
        self._ended: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = {}
        self._starts = 0

    @property
    def waiting(self) -> int:
        """Number of requests waiting."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Number of requests that have started and not ended."""
        return len(self._running)

    def resize(self, slots: int) -> None:
        """Changes the number of slots; running requests go on."""
        self._slots = slots

    def push(self, entry: QueueEntry) -> None | errors.Failure:
        """Adds a request.

        Returns:
          None, or a refusal: the attempt has already ended (for instance was
          cancelled before it arrived), it is a duplicate, or the queue is
          full.
        """
        if entry.attempt in self._ended:
            return self._refuse(errors.Reason.CANCELLED, "cancelled earlier")
        if entry.attempt in self._waiting or entry.attempt in self._running:
            return self._refuse(errors.Reason.CONFLICT, "attempt is here")
        if len(self._waiting) >= MAX_WAITING:
            self._record_ended(entry.attempt)
            detail = f"{MAX_WAITING} requests waiting"
            return self._refuse(errors.Reason.QUEUE_FULL, detail)
        self._waiting[entry.attempt] = entry
        return None

    def start_next(self, now: float) -> QueueEntry | None:
        """Starts the next request and returns it, if a slot is free for it."""
        if not self._waiting or len(self._running) >= self._slots:
            return None
        if any(entry.exclusive for entry in self._running.values()):
            return None
        entry, min_tag = self._select(now)
        if entry.exclusive and self._running:
            return None  # Nothing starts until the running requests end.
        self._charge(entry, min_tag)
        del self._waiting[entry.attempt]
        self._running[entry.attempt] = entry
        return entry

    def cancel(self, attempt: str) -> bool:
        """Cancels an attempt, which need not have arrived yet.

        Returns:
          Whether the attempt was running, so that it has to be cancelled at
          the target too.
        """
        self._record_ended(attempt)
        self._waiting.pop(attempt, None)
        if self._running.pop(attempt, None) is None:
            return False
        self._prune_finish_tags()
        return True

    def finish(self, attempt: str) -> None:
        """Frees the slot of a running attempt; repeated calls do nothing."""
        if self._running.pop(attempt, None) is not None:
            self._record_ended(attempt)
            self._prune_finish_tags()

    def drain(self) -> list[QueueEntry]:
        """Removes and returns all waiting requests.

        The calling code has to refuse them or move them to another target.
        """
        entries = list(self._waiting.values())
        self._waiting.clear()
        for entry in entries:
            self._record_ended(entry.attempt)
        return entries

    def _select(self, now: float) -> tuple[QueueEntry, float]:
        """Returns the next entry and the smallest start tag of all entries."""
        # The best entry of each deadline class; the key tells if it is late.
        best: dict[bool, tuple[float, float, QueueEntry]] = {}
        for entry in self._waiting.values():
            tag, late = self._start_tag(entry), not entry.can_be_on_time(now)
            least = best.get(late)
            if least is None or (tag, entry.due_at) < least[:2]:
                best[late] = tag, entry.due_at, entry
        prefer_late = (
            self._starts % LATE_START_INTERVAL == LATE_START_INTERVAL - 1
        )
        chosen = best[True in best and (prefer_late or False not in best)]
        return chosen[2], min(tag for tag, _, _ in best.values())

    def _start_tag(self, entry: QueueEntry) -> float:
        tag = self._finish_tags.get(entry.account, 0.0)
        return tag if tag > self._virtual_time else self._virtual_time

    def _charge(self, entry: QueueEntry, min_tag: float) -> None:
        cost = entry.service_s / max(1e-6, entry.weight)
        self._finish_tags[entry.account] = self._start_tag(entry) + cost
        self._virtual_time = min_tag
        self._starts += 1

    def _prune_finish_tags(self) -> None:
        if not self._running and not self._waiting:
            self._finish_tags.clear()
            self._virtual_time = 0.0
        elif len(self._finish_tags) > MAX_WAITING:
            # Accounts that send only one request do not advance the virtual
            # time, so their tags would accumulate. Advancing it to the median
            # tag drops at least half of them.
            tags = sorted(self._finish_tags.values())
            self._virtual_time = max(self._virtual_time, tags[len(tags) // 2])
            self._finish_tags = {
                account: tag
                for account, tag in self._finish_tags.items()
                if tag > self._virtual_time
            }

    def _record_ended(self, attempt: str) -> None:
        self._ended[attempt] = None
        self._ended.move_to_end(attempt)
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

    def _refuse(self, reason: errors.Reason, detail: str) -> errors.Failure:
        return errors.Failure(
            reason,
            errors.Step.ADMIT,
            self._target,
            errors.Outcome.NOT_RUN,
            detail,
            retry_after_s=RETRY_AFTER_S,
        )
