"""Simulates engine queues on virtual time for the routing benchmark."""

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
    """Virtual time in seconds, with the actions scheduled on it."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedules an action at a time."""
        heapq.heappush(self._heap, (when, next(self._sequence), action))

    def run(self) -> None:
        """Runs all scheduled actions in order of time."""
        while self._heap:
            self.now, _, action = heapq.heappop(self._heap)
            action()


@dataclasses.dataclass(slots=True)
class Job:
    """One request of the benchmark; times are in seconds."""

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
    first_token_due_at: float
    due_at: float
    predicted_late: bool = False
    expected: estimation.Work = estimation.Work(0, 0.0)
    adapter_ready_at: float = 0.0
    prefill_finished_at: float = 0.0
    prefill_started_at: float = 0.0
    finished_at: float = math.inf  # Infinite if the request was refused.
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
        """Sends bytes after the earlier ones; returns when they are sent."""
        self.total_bytes += size
        self._free_at = max(now, self._free_at) + size / self._bytes_per_s
        return self._free_at

    def queued_bytes(self, now: float) -> int:
        """Returns the bytes waiting for the link."""
        return int(max(0.0, self._free_at - now) * self._bytes_per_s)


class Engine:
    """A simulated engine with slots and LRU caches of adapters and prefixes.

    It prefills one prompt at a time. `work` is what the owner of a real engine
    would know: it holds the expected answer lengths, while the jobs run for
    their actual lengths.
    """

    def __init__(
        self,
        target: inventory.Target,
        models: frozenset[str],
        clock: Clock,
        adapter_load_s: float,
        on_finished: Callable[[Job], None],
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
        self._on_finished = on_finished
        self._queue = admission.TargetQueue(target.name, target.slots)
        self._waiting: dict[str, Job] = {}
        self._prefill_free_at = 0.0

    def arrive(self, job: Job) -> None:
        """Queues a job and starts to load its adapter."""
        if job.adapter:
            job.adapter_ready_at = self._load_adapter(job.adapter)
        unloaded = estimation.predict(
            self.target, estimation.Backlog(0, 0.0), job.expected
        )
        entry = admission.QueueEntry(
            job.attempt,
            job.account,
            job.due_at,
            unloaded.finish_s,
            first_token_s=unloaded.first_token_s,
            first_token_due_at=job.first_token_due_at,
        )
        if self._queue.push(entry) is not None:
            self._on_finished(job)
            return
        self._waiting[job.attempt] = job
        finish_due_at = (
            job.first_token_due_at + unloaded.finish_s - unloaded.first_token_s
        )
        due_at = min(job.due_at, finish_due_at)
        self.work.add(job.attempt, job.expected, due_at=due_at)
        self._start_waiting()

    def _load_adapter(self, adapter: str) -> float:
        if adapter not in self.adapters:
            self.adapter_loads += 1
            self.adapters[adapter] = self._clock.now + self._adapter_load_s
            if len(self.adapters) > ADAPTERS_PER_ENGINE:
                self.adapters.popitem(last=False)
        self.adapters.move_to_end(adapter)
        return self.adapters[adapter]

    def _start_waiting(self) -> None:
        while entry := self._queue.start_next(self._clock.now):
            job = self._waiting.pop(entry.attempt)
            self.work.started(job.attempt, self._clock.now)
            self._process(job)

    def _process(self, job: Job) -> None:
        tokens = job.prompt_tokens - self._use_prefix(job)
        ready_at = max(self._clock.now, job.adapter_ready_at)
        job.prefill_started_at = max(ready_at, self._prefill_free_at)
        job.prefill_finished_at = (
            job.prefill_started_at + tokens / self.target.prefill_tokens_per_s
        )
        self._prefill_free_at = job.prefill_finished_at
        token_s = self.target.slots / self.target.decode_tokens_per_s
        job.first_token_at = job.prefill_finished_at + token_s
        job.finished_at = job.prefill_finished_at + token_s * job.output_tokens
        self._clock.at(
            job.first_token_at,
            lambda: self.work.first_token_received(job.attempt),
        )
        self._clock.at(job.finished_at, lambda: self._finish(job))

    def _use_prefix(self, job: Job) -> int:
        cached = job.prefix in self._prefixes
        self._prefixes[job.prefix] = None
        self._prefixes.move_to_end(job.prefix)
        if not cached:
            self._publish("stored", job.prefix)
        if len(self._prefixes) > PREFIXES_PER_ENGINE:
            evicted, _ = self._prefixes.popitem(last=False)
            self._publish("removed", evicted)
        return job.prefix_tokens if cached else 0

    def _publish(self, kind: str, prefix: int) -> None:
        number = len(self.events) + 1
        self.events.append(engines.CacheEvent(number, 1, kind, (prefix,)))

    def _finish(self, job: Job) -> None:
        self._queue.finish(job.attempt)
        self.work.ended(job.attempt)
        self._on_finished(job)
        self._start_waiting()
