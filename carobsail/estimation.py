"""Predicts when a target would start, first answer and finish a request.

Work that this instance knows exactly is kept per attempt; work that other
instances sent is known only from reports, which age and expire.
"""

import collections
import dataclasses
import heapq
import math

import msgspec

from carobsail import errors, inventory

REPORT_MAX_AGE_S = 3.0  # Loads come once a second; three lost ones are silence.
UNKNOWN_WAIT_S = 1.0  # Assumed wait at a target without a usable report.
SPEED_WEIGHT = 0.2
SPEED_MIN = 0.25  # One odd observation must not make a target irresistible,
SPEED_MAX = 8.0  # nor rule it out for good.
SLOW_FACTOR = 3.0
SLOW_OBSERVATIONS = 5
MAX_SPEEDS = 8192
MAX_LENGTHS = 4096
MAX_TARGETS = 4096
MAX_ATTEMPTS = 4096  # Of one target.
LENGTH_WEIGHT = 0.1
# An answer longer than expected still holds its slot; counted as free (0), the
# mean on-time share in bench.routing was lower by 0.002 (seeds 1 to 6).
OVERRUN_SHARE = 0.25
DEFAULT_OUTPUT_TOKENS = 128.0
MAX_OUTPUT_TOKENS = 65_536.0


class Work(msgspec.Struct, frozen=True, gc=False):
    """What a request asks of a target.

    Attributes:
      prompt_tokens: Prompt length in tokens.
      output_tokens: Expected output length in tokens.
      cached_share: Share of the prompt that the target has cached, 0 to 1.
      adapter_load_s: Seconds to load its adapter, 0 when resident.
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
      prefill_wait_s: Seconds of prompt processing ahead of its prompt.
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
    target: inventory.Target, backlog: Backlog, work: Work, speed: float = 1.0
) -> Prediction:
    """Predicts one request at one target.

    Args:
      target: The target with its slots and rates.
      backlog: Work ahead of the request.
      work: What the request asks.
      speed: Learned ratio of real to listed service time.

    Returns:
      The prediction, in seconds from now.
    """
    cold_tokens = work.prompt_tokens * (1.0 - work.cached_share)
    prefill_s = cold_tokens / target.prefill_tokens_per_s * speed
    start_s = max(backlog.slot_wait_s, work.adapter_load_s)
    first_s = start_s + backlog.prefill_wait_s + prefill_s
    token_s = max(1, target.slots) / target.decode_tokens_per_s * speed
    return Prediction(
        start_s, first_s + token_s, first_s + token_s * work.output_tokens
    )


@dataclasses.dataclass(slots=True)
class _Running:
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


class TargetWork:
    """The owner's exact in-flight work at one target."""

    __slots__ = ("_attempts", "_target")

    def __init__(self, target: inventory.Target):
        self._target = target
        self._attempts: dict[str, _Running] = {}

    def __len__(self) -> int:
        return len(self._attempts)

    def add(
        self,
        attempt: str,
        work: Work,
        speed: float = 1.0,
        due_at: float = math.inf,
    ) -> None | errors.Failure:
        """Adds a waiting attempt; refused when too many are in flight."""
        if len(self._attempts) >= MAX_ATTEMPTS:
            return errors.Failure(
                errors.Reason.QUEUE_FULL,
                errors.Step.ADMIT,
                self._target.name,
                detail=f"{MAX_ATTEMPTS} attempts in flight",
                retry_after_s=1.0,
            )
        alone = predict(self._target, Backlog(0, 0.0), work, speed)
        prefill_s = alone.first_token_s - alone.start_s
        self._attempts[attempt] = _Running(prefill_s, alone.finish_s, due_at)
        return None

    def started(self, attempt: str, now: float) -> None:
        """Records that the attempt was sent to the target."""
        if (running := self._attempts.get(attempt)) is not None:
            running.started_at = now

    def answered(self, attempt: str) -> None:
        """Records the attempt's first token."""
        if (running := self._attempts.get(attempt)) is not None:
            running.first_token = True

    def ended(self, attempt: str) -> None:
        """Removes an attempt that finished, failed or was cancelled."""
        self._attempts.pop(attempt, None)

    def load(self, now: float) -> tuple[int, int]:
        """Returns the load to report: requests, and tokens not yet done.

        Waiting requests that will be late are left out, because requests
        that can be on time go before them. Tokens are decode tokens that
        take as long as the work.
        """
        ahead = [r for r in self._attempts.values() if r.is_ahead(now)]
        rate = self._target.decode_tokens_per_s / max(1, self._target.slots)
        return len(ahead), int(sum(_left_s(r, now) for r in ahead) * rate)

    def backlog(self, now: float) -> Backlog:
        """Computes when a slot would be free for a further request."""
        slots = max(1, self._target.slots)
        ahead = [r for r in self._attempts.values() if r.is_ahead(now)]
        started = [r for r in ahead if r.started_at is not None]
        free_at = sorted(_left_s(r, now) for r in started)[-slots:]
        free_at = [0.0] * (slots - len(free_at)) + free_at  # A heap.
        for running in ahead:
            if running.started_at is None:
                heapq.heapreplace(free_at, free_at[0] + running.service_s)
        prefill_s = sum(
            max(0.0, r.prefill_s - (now - (r.started_at or 0.0)))
            for r in started
            if not r.first_token
        )
        return Backlog(len(ahead), free_at[0], prefill_s)


def _left_s(running: _Running, now: float) -> float:
    if running.started_at is None:
        return running.service_s
    left_s = running.service_s - (now - running.started_at)
    return max(OVERRUN_SHARE * running.service_s, left_s)


@dataclasses.dataclass(slots=True)
class _Report:
    at: float
    in_flight: int
    queued_tokens: int
    sent_since: dict[str, float]


class ReportedWork:
    """Work at targets of other owners: reports plus later sendings.

    Instances that see the same report choose alike. So each own sending since
    the report counts for all `senders`: with own sendings alone, one target
    got the requests of all instances until the next report. The wait also
    grows with the report's age.
    """

    __slots__ = ("_reports", "_senders")

    def __init__(self, senders: int = 1):
        """Creates it; `senders` is the number of instances that route."""
        self._senders = senders
        self._reports: collections.OrderedDict[str, _Report] = (
            collections.OrderedDict()
        )

    def set_senders(self, senders: int) -> None:
        """Sets the number of instances that route."""
        self._senders = max(1, senders)

    def report(
        self, target: str, in_flight: int, queued_tokens: int, now: float
    ) -> None:
        """Takes a report that replaces what was known of the target."""
        self._reports[target] = _Report(now, in_flight, queued_tokens, {})
        self._reports.move_to_end(target)
        if len(self._reports) > MAX_TARGETS:
            self._reports.popitem(last=False)

    def sent(self, target: str, attempt: str, tokens: float) -> None:
        """Counts an attempt sent since the last report."""
        report = self._reports.get(target)
        if report is not None and len(report.sent_since) < MAX_ATTEMPTS:
            report.sent_since[attempt] = tokens

    def ended(self, target: str, attempt: str) -> None:
        """Forgets an attempt sent since the last report."""
        if (report := self._reports.get(target)) is not None:
            report.sent_since.pop(attempt, None)

    def backlog(self, target: inventory.Target, now: float) -> Backlog:
        """Estimates the backlog; a missing or old report gives a high one."""
        report = self._reports.get(target.name)
        if report is None or now - report.at > REPORT_MAX_AGE_S:
            return Backlog(target.slots, UNKNOWN_WAIT_S)
        known = report.in_flight + len(report.sent_since)
        expected = report.in_flight + self._senders * len(report.sent_since)
        excess = expected - target.slots + 1
        if excess <= 0:
            return Backlog(known, 0.0)
        sent = self._senders * sum(report.sent_since.values())
        tokens = report.queued_tokens + sent
        drain_s = tokens / target.decode_tokens_per_s
        doubt = 1.0 + (now - report.at) / REPORT_MAX_AGE_S
        return Backlog(known, drain_s * excess / expected * doubt)


@dataclasses.dataclass(slots=True)
class _Speed:
    factor: float = 1.0
    observations: int = 0


class Speeds:
    """Learned ratio of real to listed service time, per target and model."""

    __slots__ = ("_speeds",)

    def __init__(self) -> None:
        self._speeds: collections.OrderedDict[tuple[str, str], _Speed] = (
            collections.OrderedDict()
        )

    def observe(
        self, target: str, model: str, expected_s: float, actual_s: float
    ) -> None:
        """Learns from one answer.

        Args:
          target: Target that answered.
          model: Model that answered.
          expected_s: Service time, without waiting, by the listed rates.
          actual_s: Service time seen.
        """
        if expected_s <= 0.0 or actual_s < 0.0:
            return
        seen = min(SPEED_MAX, max(SPEED_MIN, actual_s / expected_s))
        speed = self._speeds.setdefault((target, model), _Speed())
        speed.factor += SPEED_WEIGHT * (seen - speed.factor)
        speed.observations += 1
        self._speeds.move_to_end((target, model))
        if len(self._speeds) > MAX_SPEEDS:
            self._speeds.popitem(last=False)

    def factor(self, target: str, model: str) -> float:
        """Returns the learned factor, 1 when nothing was seen."""
        speed = self._speeds.get((target, model))
        return 1.0 if speed is None else speed.factor

    def is_slow(self, target: str, model: str) -> bool:
        """Tells whether the target should be demoted for this model."""
        speed = self._speeds.get((target, model))
        return (
            speed is not None
            and speed.observations >= SLOW_OBSERVATIONS
            and speed.factor >= SLOW_FACTOR
        )


class OutputLengths:
    """Learned output lengths per client account, operation path and model.

    For an account not seen before, the length of the path and model over all
    accounts is used, then that of the path.
    """

    __slots__ = ("_means",)

    def __init__(self) -> None:
        self._means: collections.OrderedDict[tuple[str, str, str], float] = (
            collections.OrderedDict()
        )

    def observe(self, account: str, path: str, model: str, tokens: int) -> None:
        """Learns from the length of one complete answer."""
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
        """Returns the expected tokens, at most the request's own limit."""
        keys = _length_keys(account, path, model)
        known = (self._means[key] for key in keys if key in self._means)
        mean = next(known, DEFAULT_OUTPUT_TOKENS)
        return mean if limit is None else min(mean, float(max(1, limit)))


def _length_keys(
    account: str, path: str, model: str
) -> tuple[tuple[str, str, str], ...]:
    return (account, path, model), ("", path, model), ("", path, "")
