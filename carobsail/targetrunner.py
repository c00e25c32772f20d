"""Owner's side of one target: queue, adapter, sending, crashes."""

import abc
import asyncio
import dataclasses
from collections.abc import Callable

from carobsail import (
    admission,
    answers,
    attempts,
    errors,
    estimation,
    flights,
    inventory,
    messages,
    suspects,
    telemetry,
)

# After this long without a report, a lost connection counts as a crash.
PROBE_TIMEOUT_S = 1.0
_LOST = (errors.Reason.CONNECTION_LOST, errors.Reason.ANSWER_CUT)


class AdapterGate(abc.ABC):
    """Makes adapters resident for the time of a request."""

    @abc.abstractmethod
    async def acquire(self, adapter: str) -> None | errors.Failure:
        """Loads the adapter if needed and keeps it until `release`."""

    @abc.abstractmethod
    def release(self, adapter: str) -> None:
        """Allows the adapter to be evicted."""

    @abc.abstractmethod
    def load_s(self, adapter: str) -> float:
        """Returns seconds until the adapter is resident; 0 when it is."""

    @abc.abstractmethod
    def resident(self) -> list[str]:
        """Returns the resident adapters."""


@dataclasses.dataclass(slots=True)
class Shared:
    """What the runners of one instance share."""

    instance: str
    suspects: suspects.SuspectBook
    speeds: estimation.Speeds
    metrics: telemetry.Metrics
    on_crash: Callable[[str], None]


class TargetRunner:
    """Runs the requests of one owned target.

    Attributes:
      target: The target as listed.
      owned: Whether this instance owns the target now.
      healthy: False after a crash until the target answers again.
      flights: Attempts sent and not ended.
      work: Exact work in flight, for predictions.
      adapters: Adapter pool; None for services.
    """

    __slots__ = (
        "_incarnation",
        "_probe",
        "_queue",
        "_sender",
        "_serves",
        "_shared",
        "_starts",
        "adapters",
        "flights",
        "healthy",
        "owned",
        "target",
        "work",
    )

    def __init__(
        self,
        target: inventory.Target,
        sender: answers.Sender,
        serves: Callable[[str], bool],
        shared: Shared,
    ) -> None:
        """Creates the runner.

        Args:
          target: The target.
          sender: Its client.
          serves: Tells whether a model can be sent here now.
          shared: What the runners of this instance share.
        """
        self.target = target
        self.owned = True
        self.healthy = True
        self.flights = flights.Flights()
        self.work = estimation.TargetWork(target)
        self._sender = sender
        self.adapters: AdapterGate | None = None
        self._serves = serves
        self._shared = shared
        self._queue = admission.TargetQueue(target.name, target.slots)
        self._starts: dict[str, asyncio.Future[None]] = {}
        self._incarnation = 0
        self._probe: asyncio.Task[bool] | None = None

    @property
    def in_flight(self) -> int:
        """Number of attempts waiting or running."""
        return self._queue.waiting + self._queue.running

    @property
    def serving(self) -> bool:
        """Whether the target takes new work."""
        leaving = self.target.state is inventory.State.LEAVING
        return self.owned and self.healthy and not leaving

    def resident_adapters(self) -> list[str]:
        """Returns the adapters that are resident."""
        return self.adapters.resident() if self.adapters else []

    def adapter_load_s(self, adapter: str) -> float:
        """Returns seconds until an adapter is resident."""
        if not adapter or self.adapters is None:
            return 0.0
        return self.adapters.load_s(adapter)

    async def run(
        self, request: messages.Dispatch, sink: attempts.Sink
    ) -> None:
        """Runs a request and passes its answer to `sink`.

        Cancelling the call gives up the request and tells the target.
        """
        failure = self._check(request)
        if failure is None:
            failure = await self._run_queued(request, sink)
        if failure is not None:
            await sink.put(
                messages.Failed.from_failure(request.attempt, failure)
            )

    def _check(self, request: messages.Dispatch) -> errors.Failure | None:
        """Refuses a request that arrives where it cannot be run."""
        if not self.owned:
            return self._refuse(errors.Reason.NOT_OWNER)
        return self._check_admitted(request)

    def _check_admitted(
        self, request: messages.Dispatch
    ) -> errors.Failure | None:
        """Refuses a request that waited, if its target cannot run it now.

        One that was admitted before the target moved to another owner still
        runs here, so that a planned stop sends nobody away.
        """
        if self.target.state is inventory.State.LEAVING:
            return self._refuse(errors.Reason.LEAVING)
        if not self.healthy:
            return self._refuse(errors.Reason.NOT_READY)
        if self.owned and request.model and not self._serves(request.model):
            return self._refuse(errors.Reason.NO_TARGET)
        return None

    def _refuse(
        self, reason: errors.Reason, detail: str = ""
    ) -> errors.Failure:
        return errors.Failure(
            reason, errors.Step.ADMIT, self.target.name, detail=detail
        )

    async def _run_queued(
        self, request: messages.Dispatch, sink: attempts.Sink
    ) -> errors.Failure | None:
        now = _now()
        book = self._shared.suspects
        verdict = book.verdict(request.fingerprint, now)
        if isinstance(verdict, errors.Failure):
            return verdict
        alone = verdict is suspects.Verdict.ALONE
        if alone:
            refused = book.begin_alone(
                request.fingerprint, request.attempt, now
            )
            if refused is not None:
                return refused
        loading = self._start_adapter_load(request)
        try:
            refused = self._enqueue(request, alone, now)
            if refused is not None:
                return refused
            return await self._run_admitted(request, sink, loading)
        finally:
            self.work.ended(request.attempt)
            self._starts.pop(request.attempt, None)
            self._release_adapter(request, loading)
            self._queue.finish(request.attempt)
            self._queue.cancel(request.attempt)
            if alone:
                book.end_alone(request.fingerprint, request.attempt)
            self._start_waiting()

    def _start_adapter_load(
        self, request: messages.Dispatch
    ) -> asyncio.Task[None | errors.Failure] | None:
        """Starts the load before the request gets its slot."""
        if not request.adapter or self.adapters is None:
            return None
        return asyncio.create_task(self.adapters.acquire(request.adapter))

    def _release_adapter(
        self,
        request: messages.Dispatch,
        loading: asyncio.Task[None | errors.Failure] | None,
    ) -> None:
        if loading is None or self.adapters is None:
            return
        gate = self.adapters

        def release(task: asyncio.Task[None | errors.Failure]) -> None:
            if not task.cancelled() and task.exception() is None:
                if task.result() is None:
                    gate.release(request.adapter)

        loading.add_done_callback(release)

    def _enqueue(
        self, request: messages.Dispatch, alone: bool, now: float
    ) -> errors.Failure | None:
        speed = self._shared.speeds.factor(self.target.name, request.model)
        work = estimation.Work(request.prompt_tokens, request.output_tokens)
        due_at = now + request.due_in_s
        full = self.work.add(request.attempt, work, speed, due_at)
        if full is not None:
            return full
        alone_here = estimation.predict(
            self.target, estimation.Backlog(0, 0.0), work, speed
        )
        entry = admission.QueueEntry(
            attempt=request.attempt,
            account=request.account,
            due_at=due_at,
            service_s=alone_here.finish_s,
            first_token_s=alone_here.first_token_s,
            first_token_due_at=now + request.first_token_in_s,
            alone=alone,
        )
        refused = self._queue.push(entry)
        if refused is None:
            self._starts[request.attempt] = (
                asyncio.get_running_loop().create_future()
            )
            self._start_waiting()
        return refused

    def _start_waiting(self) -> None:
        """Starts the waiting attempts for which a slot is free."""
        now = _now()
        while (entry := self._queue.start_next(now)) is not None:
            start = self._starts.get(entry.attempt)
            if start is None or start.done():
                self._queue.finish(entry.attempt)
                continue
            start.set_result(None)

    async def _run_admitted(
        self,
        request: messages.Dispatch,
        sink: attempts.Sink,
        loading: asyncio.Task[None | errors.Failure] | None,
    ) -> errors.Failure | None:
        await self._starts[request.attempt]
        if loading is not None:
            failure = await asyncio.shield(loading)
            if failure is not None:
                return failure
        refused = self._check_admitted(request)
        if refused is not None:
            return refused
        return await self._send(request, sink)

    async def _send(
        self, request: messages.Dispatch, sink: attempts.Sink
    ) -> errors.Failure | None:
        now = _now()
        self.work.started(request.attempt, now)
        task = asyncio.current_task()
        assert task is not None
        crashes = self._shared.suspects.crashes(request.fingerprint, now)
        flight = flights.Flight(request, task, crashes, now, now)
        self.flights.add(flight)
        try:
            failure = await self._relay(flight, sink)
            if failure is not None and failure.reason in _LOST:
                await self._examine_loss()
        finally:
            self.flights.remove(request.attempt)
        if failure is None:
            self._observe(request, now)
            self._shared.suspects.finished(request.fingerprint, _now())
        return failure

    async def _relay(
        self, flight: flights.Flight, sink: attempts.Sink
    ) -> errors.Failure | None:
        request = flight.request
        try:
            return await answers.relay(
                self._sender,
                flight,
                sink,
                self.target.name,
                self._shared.metrics,
            )
        except asyncio.CancelledError:
            await self._sender.cancel(request.resume_of or request.attempt)
            if not flight.stalled:
                raise
            flight.task.uncancel()
        stalled = errors.Failure(
            errors.Reason.TIMEOUT,
            errors.Step.ANSWER,
            self.target.name,
            detail="the target made no progress",
        )
        return answers.after_start(request, stalled)

    def _observe(self, request: messages.Dispatch, started: float) -> None:
        work = estimation.Work(request.prompt_tokens, request.output_tokens)
        expected = estimation.predict(
            self.target, estimation.Backlog(0, 0.0), work
        )
        self._shared.speeds.observe(
            self.target.name,
            request.model,
            expected.finish_s,
            _now() - started,
        )

    async def _examine_loss(self) -> None:
        """Finds out whether a lost connection was a crash of the target.

        Attempts that lost their connections together wait for one probe, so
        that all of them are known as suspects of the same crash.
        """
        if self._probe is None:
            self._probe = asyncio.create_task(self._probe_target())
            self._probe.add_done_callback(self._end_probe)
        await asyncio.shield(self._probe)

    def _end_probe(self, probe: asyncio.Task[bool]) -> None:
        self._probe = None

    async def _probe_target(self) -> bool:
        """Returns whether the target crashed, and records its suspects."""
        # Connections of the same crash break within one loop turn or two.
        await asyncio.sleep(0)
        seen = await self._read_incarnation()
        known = self._incarnation
        crashed = isinstance(seen, errors.Failure) or known not in (0, seen)
        if crashed:
            self._shared.suspects.crashed(self.flights.runs(), _now())
            self._shared.metrics.count("target_crashes")
            self._shared.on_crash(self.target.name)
        self.note_incarnation(seen)
        return crashed

    async def _read_incarnation(self) -> int | errors.Failure:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                return await self._sender.incarnation()
        except TimeoutError:
            return errors.Failure(
                errors.Reason.TIMEOUT,
                errors.Step.CONNECT,
                self.target.name,
                errors.Outcome.FAILED,
            )

    def note_incarnation(self, seen: int | errors.Failure) -> None:
        """Takes what the latest contact with the target showed."""
        if isinstance(seen, errors.Failure):
            self.healthy = False
            return
        self.healthy = True
        self._incarnation = seen

    def load(self, models: list[str]) -> messages.TargetLoad:
        """Returns the target's load for the other instances."""
        in_flight, queued_tokens = self.work.load(_now())
        return messages.TargetLoad(
            self.target.name,
            in_flight,
            queued_tokens,
            models,
            self.resident_adapters(),
            self.serving,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
