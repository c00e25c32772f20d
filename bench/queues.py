"""Fake engine queues on an event heap, for the routing benchmark."""

import collections
import dataclasses
import heapq
import itertools
import math
from collections.abc import Callable

from carobsail import admission, engines, estimation, inventory

ADAPTERS_PER_ENGINE = 10
PREFIXES_PER_ENGINE = 16


class Clock:
    """Virtual time in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Runs an action at a time."""
        heapq.heappush(self._heap, (when, next(self._order), action))

    def run(self) -> None:
        """Runs all actions in order of time."""
        while self._heap:
            self.now, _, action = heapq.heappop(self._heap)
            action()


@dataclasses.dataclass(slots=True)
class Job:
    """One request of the benchmark; times in seconds."""

    number: int
    account: str
    path: str
    model: str
    adapter: str
    prefix: int
    prompt_tokens: int
    prefix_tokens: int
    output_tokens: int
    arrived_at: float
    first_due_at: float
    due_at: float
    predicted_late: bool = False
    expected: estimation.Work = estimation.Work(0, 0.0)
    adapter_ready_at: float = 0.0
    prefilled_at: float = 0.0
    prefill_from: float = 0.0
    finished_at: float = math.inf  # Refused, unless it was run.
    first_token_at: float = math.inf

    @property
    def attempt(self) -> str:
        """Identifier of the only attempt."""
        return str(self.number)


class Link:
    """One direction of the link between regions."""

    def __init__(self, bytes_per_s: float):
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0
        self.total_bytes = 0

    def transfer(self, size: int, now: float) -> float:
        """Sends bytes behind earlier ones and returns when they are sent."""
        self.total_bytes += size
        self._free_at = max(now, self._free_at) + size / self._bytes_per_s
        return self._free_at

    def queued_bytes(self, now: float) -> int:
        """Returns the bytes waiting for the link."""
        return int(max(0.0, self._free_at - now) * self._bytes_per_s)


class Engine:
    """A fake engine: slots, serial prompt processing, adapter and prefix LRU.

    Its exact work (`work`) is what the owner of a real engine would know: it
    holds expected lengths, while the jobs run for their real ones.
    """

    def __init__(
        self,
        target: inventory.Target,
        models: frozenset[str],
        clock: Clock,
        adapter_load_s: float,
        done: Callable[[Job], None],
    ):
        self.target = target
        self.models = models
        self.work = estimation.InFlightWork(target)
        self.adapters: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self.adapter_loads = 0
        self.events: list[engines.CacheEvent] = []
        self._prefixes: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._clock = clock
        self._adapter_load_s = adapter_load_s
        self._done = done
        self._queue = admission.TargetQueue(target.name, target.slots)
        self._waiting: dict[str, Job] = {}
        self._prefill_free_at = 0.0

    def arrive(self, job: Job) -> None:
        """Queues a job and loads its adapter meanwhile."""
        if job.adapter:
            job.adapter_ready_at = self._load(job.adapter)
        alone = estimation.predict(
            self.target, estimation.Backlog(0, 0.0), job.expected
        )
        entry = admission.QueueEntry(
            job.attempt,
            job.account,
            job.due_at,
            alone.finish_s,
            first_token_s=alone.first_token_s,
            first_token_due_at=job.first_due_at,
        )
        if self._queue.push(entry) is not None:
            self._done(job)
            return
        self._waiting[job.attempt] = job
        latest = job.first_due_at + alone.finish_s - alone.first_token_s
        due_at = min(job.due_at, latest)
        self.work.add(job.attempt, job.expected, due_at=due_at)
        self._start()

    def _load(self, adapter: str) -> float:
        if adapter not in self.adapters:
            self.adapter_loads += 1
            self.adapters[adapter] = self._clock.now + self._adapter_load_s
            if len(self.adapters) > ADAPTERS_PER_ENGINE:
                self.adapters.popitem(last=False)
        self.adapters.move_to_end(adapter)
        return self.adapters[adapter]

    def _start(self) -> None:
        while entry := self._queue.start_next(self._clock.now):
            job = self._waiting.pop(entry.attempt)
            self.work.started(job.attempt, self._clock.now)
            self._process(job)

    def _process(self, job: Job) -> None:
        tokens = job.prompt_tokens - self._use_prefix(job)
        ready_at = max(self._clock.now, job.adapter_ready_at)
        job.prefill_from = max(ready_at, self._prefill_free_at)
        job.prefilled_at = (
            job.prefill_from + tokens / self.target.prefill_tokens_per_s
        )
        self._prefill_free_at = job.prefilled_at
        token_s = self.target.slots / self.target.decode_tokens_per_s
        job.first_token_at = job.prefilled_at + token_s
        job.finished_at = job.prefilled_at + token_s * job.output_tokens
        self._clock.at(
            job.first_token_at,
            lambda: self.work.first_token_received(job.attempt),
        )
        self._clock.at(job.finished_at, lambda: self._finish(job))

    def _use_prefix(self, job: Job) -> int:
        held = job.prefix in self._prefixes
        self._prefixes[job.prefix] = None
        self._prefixes.move_to_end(job.prefix)
        if not held:
            self._publish("stored", job.prefix)
        if len(self._prefixes) > PREFIXES_PER_ENGINE:
            dropped, _ = self._prefixes.popitem(last=False)
            self._publish("removed", dropped)
        return job.prefix_tokens if held else 0

    def _publish(self, kind: str, prefix: int) -> None:
        number = len(self.events) + 1
        self.events.append(engines.CacheEvent(number, 1, kind, (prefix,)))

    def _finish(self, job: Job) -> None:
        self._queue.finish(job.attempt)
        self.work.ended(job.attempt)
        self._done(job)
        self._start()
