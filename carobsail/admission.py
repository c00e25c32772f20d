"""Admits requests per client account and orders them at their target.

`Admission` belongs to the instance that received a request, `TargetQueue` to
the owner of a target. A request that either refuses was not run.
"""

import collections
import dataclasses
import math
from collections.abc import Mapping

from carobsail import configuration, errors, tokenbucket

MAX_ACCOUNTS = 8192
CONCURRENCY_RETRY_S = 0.5
MIN_RETRY_S = 0.05
# A late answer is still given, but past twice its time the caller is better
# served by an early refusal that names when to come back.
LATE_FACTOR = 2.0
# Half of a limit is split evenly, so that an instance without recent demand
# admits a burst before the next rebalance.
EVEN_SHARE = 0.5
MAX_WAITING = 512  # Of one target; a choice scans all of them.
MAX_ENDED = 1024  # Cancelled attempts remembered, to refuse a late arrival.
LATE_TURN = 8  # Every eighth start goes to a late request, if one waits.


def divide_limit(limit: int, demand: Mapping[str, float]) -> dict[str, int]:
    """Divides a limit among instances; the parts add up to it exactly.

    Args:
      limit: Limit over all the instances.
      demand: Recent demand of each ready instance, in any one unit.

    Returns:
      Each instance's part. Every instance that is given the same figures
      computes the same parts.
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
    # Rounding errors of the parts must not add up to more than the limit.
    whole = {name: int(max(0.0, part - 1e-9)) for name, part in parts.items()}
    by_rest = sorted(parts, key=lambda n: (whole[n] - parts[n], n))
    for name in by_rest[: limit - sum(whole.values())]:
        whole[name] += 1
    return whole


class _Account:
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
    """Limits of client accounts at one instance."""

    __slots__ = ("_accounts", "_concurrency", "_instance", "_share", "_shares")

    def __init__(self, instance: str, share: float = 1.0):
        """Creates it for an instance that enforces `share` of each limit."""
        self._instance = instance
        self._share = share
        self._shares: dict[str, float] = {}
        self._concurrency: dict[str, int] = {}
        self._accounts: collections.OrderedDict[str, _Account] = (
            collections.OrderedDict()
        )

    def rebalance(
        self,
        share: float,
        shares: Mapping[str, float] | None = None,
        concurrency: Mapping[str, int] | None = None,
    ) -> None:
        """Sets this instance's part of the limits.

        Requests in flight above a smaller part are left to finish.

        Args:
          share: Part of each limit, 0 to 1.
          shares: Parts of single accounts that differ from `share`.
          concurrency: Concurrency of single accounts by `divide_limit`.
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
        """Admits a request, or refuses it as not run.

        Args:
          account: Client account.
          attempt: Identifier to `release` later.
          limits: The account's limits over all instances.
          now: Time of the loop's clock in seconds.
          wait_s: Least predicted wait for a slot at any target.
          due_in_s: Seconds until the whole answer is due.

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
            return self._refuse(reason, CONCURRENCY_RETRY_S, detail)
        if wait_s > LATE_FACTOR * due_in_s:
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
        """Ends a request that was admitted; repeats have no effect."""
        if (state := self._accounts.get(account)) is not None:
            state.in_flight.discard(attempt)

    def in_flight(self, account: str) -> int:
        """Returns the account's admitted requests that have not ended."""
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
        if len(self._accounts) >= MAX_ACCOUNTS and not self._drop_idle():
            return None
        state = self._accounts[account] = _Account(limits, share, now)
        return state

    def _drop_idle(self) -> bool:
        # An account with requests in flight is kept, or its count would be
        # lost and its limit exceeded.
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
            max(MIN_RETRY_S, retry_after_s),
        )


@dataclasses.dataclass(slots=True, frozen=True)
class QueueEntry:
    """A request waiting at a target.

    Attributes:
      attempt: Identifier of the attempt.
      account: Client account.
      due_at: Time at which the whole answer is due, in loop seconds.
      service_s: Predicted seconds from start to finish; its cost in the fair
        order.
      weight: Weight of the client account in the fair order.
      first_token_s: Predicted seconds from start to first token.
      first_token_due_at: Time at which the first token is due.
      alone: Whether it must run with nothing beside it (a crash suspect).
    """

    attempt: str
    account: str
    due_at: float
    service_s: float
    weight: float = 1.0
    first_token_s: float = 0.0
    first_token_due_at: float = math.inf
    alone: bool = False

    def can_be_on_time(self, now: float) -> bool:
        """Tells whether it would be on time if it started now."""
        return (
            now + self.service_s <= self.due_at
            and now + self.first_token_s <= self.first_token_due_at
        )


class TargetQueue:
    """Requests of one target: slots, fair order and deadline classes.

    Requests that can still be on time start before late ones. Within a class
    the client account with the smallest virtual start time comes first
    (start-time fair queueing), and within an account the earliest due time.
    An entry that was cancelled or refused never starts.
    """

    __slots__ = (
        "_ended",
        "_finish_tags",
        "_running",
        "_slots",
        "_starts",
        "_target",
        "_virtual",
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
        self._virtual = 0.0
        self._finish_tags: dict[str, float] = {}
        self._starts = 0

    @property
    def waiting(self) -> int:
        """Number of requests waiting."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Number of requests started and not ended."""
        return len(self._running)

    def resize(self, slots: int) -> None:
        """Changes the number of slots; running requests are not touched."""
        self._slots = slots

    def push(self, entry: QueueEntry) -> None | errors.Failure:
        """Adds a request.

        Returns:
          None, or a refusal: the attempt was cancelled before it arrived, it
          is here already, or the queue is full.
        """
        if entry.attempt in self._ended:
            return self._refuse(errors.Reason.CANCELLED, "cancelled earlier")
        if entry.attempt in self._waiting or entry.attempt in self._running:
            return self._refuse(errors.Reason.CONFLICT, "attempt is here")
        if len(self._waiting) >= MAX_WAITING:
            self._remember(entry.attempt)
            detail = f"{MAX_WAITING} requests waiting"
            return self._refuse(errors.Reason.QUEUE_FULL, detail)
        self._waiting[entry.attempt] = entry
        return None

    def start_next(self, now: float) -> QueueEntry | None:
        """Takes the next request to send, if a slot is free for it."""
        if not self._waiting or len(self._running) >= self._slots:
            return None
        if any(entry.alone for entry in self._running.values()):
            return None
        entry, least_tag = self._pick(now)
        if entry.alone and self._running:
            return None  # Starts wait until the target has drained.
        self._charge(entry, least_tag)
        del self._waiting[entry.attempt]
        self._running[entry.attempt] = entry
        return entry

    def cancel(self, attempt: str) -> bool:
        """Cancels an attempt, also one that has not arrived yet.

        Returns:
          Whether the attempt was running, so that the target must be told.
        """
        self._remember(attempt)
        self._waiting.pop(attempt, None)
        if self._running.pop(attempt, None) is None:
            return False
        self._forget_idle()
        return True

    def finish(self, attempt: str) -> None:
        """Frees the slot of a running attempt; repeats have no effect."""
        if self._running.pop(attempt, None) is not None:
            self._remember(attempt)
            self._forget_idle()

    def drain(self) -> list[QueueEntry]:
        """Takes out all waiting requests; the caller refuses or moves them."""
        entries = list(self._waiting.values())
        self._waiting.clear()
        for entry in entries:
            self._remember(entry.attempt)
        return entries

    def _pick(self, now: float) -> tuple[QueueEntry, float]:
        """Returns the next entry and the least start tag of all entries."""
        best: dict[bool, tuple[float, float, QueueEntry]] = {}
        for entry in self._waiting.values():
            tag, late = self._start_tag(entry), not entry.can_be_on_time(now)
            least = best.get(late)
            if least is None or (tag, entry.due_at) < least[:2]:
                best[late] = tag, entry.due_at, entry
        late_turn = self._starts % LATE_TURN == LATE_TURN - 1
        chosen = best[True in best and (late_turn or False not in best)]
        return chosen[2], min(tag for tag, _, _ in best.values())

    def _start_tag(self, entry: QueueEntry) -> float:
        tag = self._finish_tags.get(entry.account, 0.0)
        return tag if tag > self._virtual else self._virtual

    def _charge(self, entry: QueueEntry, least_tag: float) -> None:
        cost = entry.service_s / max(1e-6, entry.weight)
        self._finish_tags[entry.account] = self._start_tag(entry) + cost
        self._virtual = least_tag
        self._starts += 1

    def _forget_idle(self) -> None:
        if not self._running and not self._waiting:
            self._finish_tags.clear()
            self._virtual = 0.0
        elif len(self._finish_tags) > MAX_WAITING:
            # One-time accounts never advance the virtual time by themselves.
            tags = sorted(self._finish_tags.values())
            self._virtual = max(self._virtual, tags[len(tags) // 2])
            self._finish_tags = {
                account: tag
                for account, tag in self._finish_tags.items()
                if tag > self._virtual
            }

    def _remember(self, attempt: str) -> None:
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
            retry_after_s=CONCURRENCY_RETRY_S,
        )
