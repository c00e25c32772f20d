"""Predicts when a target would start, stream and finish a request.

For its own targets an instance knows the work exactly, by attempt. The work at
targets of other owners is known only from load reports, which become stale and
expire.
"""

import collections
import dataclasses
import heapq
import math

import msgspec

from carobsail import errors, inventory

# Load reports arrive once a second; three missing ones make a target unknown.
REPORT_MAX_AGE_S = 3.0
UNKNOWN_WAIT_S = 1.0  # Assumed wait at a target without a current report.
SLOWDOWN_WEIGHT = 0.2  # Of a new observation in the moving average.
# Bounds of an observation: a single outlier must not attract all requests to a
# target, nor exclude the target permanently.
MIN_SLOWDOWN = 0.25
MAX_SLOWDOWN = 8.0
DEMOTION_SLOWDOWN = 3.0
MIN_DEMOTION_OBSERVATIONS = 5
MAX_SLOWDOWN_ENTRIES = 8192
MAX_LENGTHS = 4096
MAX_TARGETS = 4096
MAX_ATTEMPTS = 4096  # Per target.
LENGTH_WEIGHT = 0.1  # Of a new observation in the moving average.
# Remaining share of the service time that is assumed for a request that runs
# longer than predicted, as it still holds its slot. With 0 the mean share of
# requests on time in bench.routing was lower by 0.002 (seeds 1 to 6).
OVERRUN_REMAINING_SHARE = 0.25
DEFAULT_OUTPUT_TOKENS = 128.0
MAX_OUTPUT_TOKENS = 65_536.0


class Work(msgspec.Struct, frozen=True, gc=False):
    """Work that a request causes at a target.

    Attributes:
      prompt_tokens: Prompt length in tokens.
      output_tokens: Expected output length in tokens.
      cached_share: Share of the prompt that the target has cached, 0 to 1.
      adapter_load_s: Seconds to load its adapter; 0 if it is resident.
    """

    prompt_tokens: int
    output_tokens: float
    cached_share: float = 0.0
    adapter_load_s: float = 0.0


class Backlog(msgspec.Struct, frozen=True, gc=False):
    """Work ahead of a new request at a target.

    Attributes:
      in_flight: Requests waiting or running.
      slot_wait_s: Seconds until a slot is free for the new request.
      prefill_wait_s: Seconds of prompt processing before its own prompt.
    """

    in_flight: int
    slot_wait_s: float
    prefill_wait_s: float = 0.0


class Prediction(msgspec.Struct, frozen=True, gc=False):
    """Predicted seconds from now to start, first token and finish."""

    start_s: float
    first_token_s: float
    finish_s: float


def predict(
    target: inventory.Target,
    backlog: Backlog,
    work: Work,
    slowdown: float = 1.0,
) -> Prediction:
    """Predicts the times of one request at one target.

    Args:
      target: The target with its slots and rates.
      backlog: Work ahead of the request.
      work: Work that the request causes.
      slowdown: Learned ratio of real to listed service time; above 1 the target
        is slower than listed.

    Returns:
      The prediction, in seconds from now.
    """
    cold_tokens = work.prompt_tokens * (1.0 - work.cached_share)
    prefill_s = cold_tokens / target.prefill_tokens_per_s * slowdown
    start_s = max(backlog.slot_wait_s, work.adapter_load_s)
    prefilled_s = start_s + backlog.prefill_wait_s + prefill_s
    token_s = max(1, target.slots) / target.decode_tokens_per_s * slowdown
    return Prediction(
        start_s,
        prefilled_s + token_s,
        prefilled_s + token_s * work.output_tokens,
    )


@dataclasses.dataclass(slots=True)
class _Attempt:
    """An attempt that waits or runs at a target, with predicted times."""

    prefill_s: float
    service_s: float
    due_at: float
    started_at: float | None = None
    first_token: bool = False

    def is_ahead(self, now: float) -> bool:
        """Tells whether a new request has to wait for this one."""
        return self.started_at is not None or (
            now + self.service_s <= self.due_at
        )


class InFlightWork:
    """Exact work in flight at one target, as its owner knows it."""

    __slots__ = ("_attempts", "_target")

    def __init__(self, target: inventory.Target):
        self._target = target
        self._attempts: dict[str, _Attempt] = {}

    def __len__(self) -> int:
        return len(self._attempts)

    def add(
        self,
        attempt: str,
        work: Work,
        slowdown: float = 1.0,
        due_at: float = math.inf,
    ) -> None | errors.Failure:
        """Adds a waiting attempt, unless too many are in flight."""
        if len(self._attempts) >= MAX_ATTEMPTS:
            return errors.Failure(
                errors.Reason.QUEUE_FULL,
                errors.Step.ADMIT,
                self._target.name,
                detail=f"{MAX_ATTEMPTS} attempts in flight",
                retry_after_s=1.0,
            )
        idle = predict(self._target, Backlog(0, 0.0), work, slowdown)
        prefill_s = idle.first_token_s - idle.start_s
        self._attempts[attempt] = _Attempt(prefill_s, idle.finish_s, due_at)
        return None

    def started(self, attempt: str, now: float) -> None:
        """Records that the attempt was sent to the target."""
        if (entry := self._attempts.get(attempt)) is not None:
            entry.started_at = now

    def first_token_received(self, attempt: str) -> None:
        """Records that the attempt's first token has arrived."""
        if (entry := self._attempts.get(attempt)) is not None:
            entry.first_token = True

    def ended(self, attempt: str) -> None:
        """Removes an attempt that finished, failed or was cancelled."""
        self._attempts.pop(attempt, None)

    def reported_load(self, now: float) -> tuple[int, int]:
        """Returns the load to report: requests, and tokens left to process.

        Waiting requests that will be late are left out, because requests
        that can be on time start before them. The remaining work is converted
        to the number of decode tokens that take the same time.
        """
        ahead = [r for r in self._attempts.values() if r.is_ahead(now)]
        rate = self._target.decode_tokens_per_s / max(1, self._target.slots)
        return len(ahead), int(sum(_remaining_s(r, now) for r in ahead) * rate)

    def backlog(self, now: float) -> Backlog:
        """Computes when a slot will be free for another request."""
        slots = max(1, self._target.slots)
        ahead = [r for r in self._attempts.values() if r.is_ahead(now)]
        started = [r for r in ahead if r.started_at is not None]
        free_at = sorted(_remaining_s(r, now) for r in started)[-slots:]
        free_at = [0.0] * (slots - len(free_at)) + free_at  # Sorted: a heap.
        for entry in ahead:
            if entry.started_at is None:
                heapq.heapreplace(free_at, free_at[0] + entry.service_s)
        prefill_s = sum(
            max(0.0, r.prefill_s - (now - (r.started_at or 0.0)))
            for r in started
            if not r.first_token
        )
        return Backlog(len(ahead), free_at[0], prefill_s)


def _remaining_s(entry: _Attempt, now: float) -> float:
    if entry.started_at is None:
        return entry.service_s
    remaining_s = entry.service_s - (now - entry.started_at)
    return max(OVERRUN_REMAINING_SHARE * entry.service_s, remaining_s)


@dataclasses.dataclass(slots=True)
class _Report:
    """The last load report of a target, and what was sent to it since.

    Attributes:
      at: Time of the report, in seconds of the event loop's clock.
      in_flight: Requests waiting or running.
      queued_tokens: Work left, in decode tokens that take the same time.
      sent_since: Tokens of each attempt sent since.
    """

    at: float
    in_flight: int
    queued_tokens: int
    sent_since: dict[str, float]


class ReportedWork:
    """Work at targets of other owners: reports plus requests sent since.

    Instances that see the same report choose the same target. So each request
    that this instance has sent since the report counts once for each of the
    `senders`: when it counted only once, one target got the requests of all
    instances until the next report. The estimated wait also grows with the
    report's age.
    """

    __slots__ = ("_reports", "_senders")

    def __init__(self, senders: int = 1):
        """Creates it without reports.

        Args:
          senders: Number of instances that route requests.
        """
        self._senders = senders
        self._reports: collections.OrderedDict[str, _Report] = (
            collections.OrderedDict()
        )

    def set_senders(self, senders: int) -> None:
        """Sets the number of instances that route requests."""
        self._senders = max(1, senders)

    def report(
        self, target: str, in_flight: int, queued_tokens: int, now: float
    ) -> None:
        """Records a report, which replaces all earlier data on the target."""
        self._reports[target] = _Report(now, in_flight, queued_tokens, {})
        self._reports.move_to_end(target)
        if len(self._reports) > MAX_TARGETS:
            self._reports.popitem(last=False)

    def record_sent(self, target: str, attempt: str, tokens: float) -> None:
        """Counts an attempt sent since the last report."""
        report = self._reports.get(target)
        if report is not None and len(report.sent_since) < MAX_ATTEMPTS:
            report.sent_since[attempt] = tokens

    def ended(self, target: str, attempt: str) -> None:
        """Removes an attempt that was sent since the last report."""
        if (report := self._reports.get(target)) is not None:
            report.sent_since.pop(attempt, None)

    def backlog(self, target: inventory.Target, now: float) -> Backlog:
        """Estimates the backlog, a high one if the report is missing or old."""
        report = self._reports.get(target.name)
        if report is None or now - report.at > REPORT_MAX_AGE_S:
            return Backlog(target.slots, UNKNOWN_WAIT_S)
        in_flight = report.in_flight + len(report.sent_since)
        expected = report.in_flight + self._senders * len(report.sent_since)
        excess = expected - target.slots + 1
        if excess <= 0:
            return Backlog(in_flight, 0.0)
        sent = self._senders * sum(report.sent_since.values())
        tokens = report.queued_tokens + sent
        drain_s = tokens / target.decode_tokens_per_s
        staleness = 1.0 + (now - report.at) / REPORT_MAX_AGE_S
        return Backlog(in_flight, drain_s * excess / expected * staleness)


@dataclasses.dataclass(slots=True)
class _Slowdown:
    """Moving average of the slowdown, and number of its observations."""

    factor: float = 1.0
    observations: int = 0


class Slowdowns:
    """Learned ratio of real to listed service time, per target and model.

    A ratio above 1 means that the target is slower than listed.
    """

    __slots__ = ("_slowdowns",)

    def __init__(self) -> None:
        self._slowdowns: collections.OrderedDict[tuple[str, str], _Slowdown] = (
            collections.OrderedDict()
        )

    def observe(
        self, target: str, model: str, expected_s: float, actual_s: float
    ) -> None:
        """Updates the ratio with one completed request.

        Args:
          target: Target that ran the request.
          model: Model that the request used.
          expected_s: Service time without waiting, by the listed rates.
          actual_s: Measured service time.
        """
        if expected_s <= 0.0 or actual_s < 0.0:
            return
        seen = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, actual_s / expected_s))
        slowdown = self._slowdowns.setdefault((target, model), _Slowdown())
        slowdown.factor += SLOWDOWN_WEIGHT * (seen - slowdown.factor)
        slowdown.observations += 1
        self._slowdowns.move_to_end((target, model))
        if len(self._slowdowns) > MAX_SLOWDOWN_ENTRIES:
            self._slowdowns.popitem(last=False)

    def factor(self, target: str, model: str) -> float:
        """Returns the learned ratio, 1 without observations."""
        slowdown = self._slowdowns.get((target, model))
        return 1.0 if slowdown is None else slowdown.factor

    def is_slow(self, target: str, model: str) -> bool:
        """Tells whether the target should be demoted for this model."""
        slowdown = self._slowdowns.get((target, model))
        return (
            slowdown is not None
            and slowdown.observations >= MIN_DEMOTION_OBSERVATIONS
            and slowdown.factor >= DEMOTION_SLOWDOWN
        )


class OutputLengths:
    """Learned output lengths per client account, operation path and model.

    Without an observation for the account, the mean length of the path and
    model over all accounts is used, and without that the one of the path.
    """

    __slots__ = ("_means",)

    def __init__(self) -> None:
        self._means: collections.OrderedDict[tuple[str, str, str], float] = (
            collections.OrderedDict()
        )

    def observe(self, account: str, path: str, model: str, tokens: int) -> None:
        """Updates the means with the length of one complete response."""
        seen = min(MAX_OUTPUT_TOKENS, max(1.0, float(tokens)))
        for key in _length_keys(account, path, model):
            mean = self._means.get(key, seen)
            self._means[key] = mean + LENGTH_WEIGHT * (seen - mean)
            self._means.move_to_end(key)
        while len(self._means) > MAX_LENGTHS:
            self._means.popitem(last=False)

    def expect(
        self, account: str, path: str, model: str, limit: int | None = None
    ) -> float:
        """Returns the expected output tokens, at most the request's limit."""
        keys = _length_keys(account, path, model)
        known = (self._means[key] for key in keys if key in self._means)
        mean = next(known, DEFAULT_OUTPUT_TOKENS)
        return mean if limit is None else min(mean, float(max(1, limit)))


def _length_keys(
    account: str, path: str, model: str
) -> tuple[tuple[str, str, str], ...]:
    return (account, path, model), ("", path, model), ("", path, "")
