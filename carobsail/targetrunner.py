"""Runs the requests of one owned target.

Queues them, loads their adapters, sends them, relays the responses and finds
out whether a lost connection was a crash of the target.
"""

import abc
import asyncio
import dataclasses
from collections.abc import Callable

from carobsail import (
    admission,
    attempts,
    errors,
    estimation,
    inflightattempts,
    inventory,
    messages,
    suspects,
    targetrelay,
    telemetry,
)

# If the target doesn't answer a probe within this time after a connection was
# lost, it counts as crashed.
PROBE_TIMEOUT_S = 1.0
_CONNECTION_LOST_REASONS = (
    errors.Reason.CONNECTION_LOST,
    errors.Reason.ANSWER_CUT,
)


class AdapterProvider(abc.ABC):
    """Makes adapters resident while requests use them."""

    @abc.abstractmethod
    async def acquire(self, adapter: str) -> None | errors.Failure:
        """Loads the adapter if needed and pins it until `release`."""

    @abc.abstractmethod
    def release(self, adapter: str) -> None:
        """Unpins the adapter, so that it may be evicted."""

    @abc.abstractmethod
    def seconds_until_resident(self, adapter: str) -> float:
        """Returns the seconds until the adapter is resident, 0 if it is."""

    @abc.abstractmethod
    def resident(self) -> list[str]:
        """Returns the resident adapters."""


@dataclasses.dataclass(slots=True)
class SharedDependencies:
    """Dependencies that all runners of one instance share.

    Attributes:
      instance: Name of the instance.
      suspects: Requests suspected of crashing targets.
      slowdowns: Learned slowdowns of targets.
      metrics: Metrics of the process.
      on_crash: Called with the name of a target that has crashed.
    """

    instance: str
    suspects: suspects.CrashSuspects
    slowdowns: estimation.Slowdowns
    metrics: telemetry.Metrics
    on_crash: Callable[[str], None]


class TargetRunner:
    """Runs the requests of one owned target.

    Attributes:
      target: The target as the inventory lists it.
      owned: Whether this instance owns the target now.
      healthy: False after a crash until the target answers again.
      in_flight_attempts: Attempts that were sent and have not ended.
      work: Exact work of the attempts in flight, for predictions.
      adapters: Loads and evicts adapters; None for services.
    """

    __slots__ = (
        "_incarnation",
        "_probe_task",
        "_queue",
        "_client",
        "_serves_model",
        "_shared",
        "_slot_granted",
        "adapters",
        "in_flight_attempts",
        "healthy",
        "owned",
        "target",
        "work",
    )

    def __init__(
        self,
        target: inventory.Target,
        client: targetrelay.TargetClient,
        serves: Callable[[str], bool],
        shared: SharedDependencies,
    ) -> None:
        """Creates the runner.

        Args:
          target: The target.
          client: Client of the target.
          serves: Tells whether the target serves a model now.
          shared: Dependencies shared by the runners of this instance.
        """
        self.target = target
        self.owned = True
        self.healthy = True
        self.in_flight_attempts = inflightattempts.InFlightAttempts()
        self.work = estimation.InFlightWork(target)
        self._client = client
        self.adapters: AdapterProvider | None = None
        self._serves_model = serves
        self._shared = shared
        self._queue = admission.TargetQueue(target.name, target.slots)
        self._slot_granted: dict[str, asyncio.Future[None]] = {}
        self._incarnation = 0
        self._probe_task: asyncio.Task[bool] | None = None

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
        """Returns the seconds until an adapter is resident."""
        if not adapter or self.adapters is None:
            return 0.0
        return self.adapters.seconds_until_resident(adapter)

    async def run(
        self, request: messages.Dispatch, sink: attempts.ResponseSink
    ) -> None:
        """Runs a request and passes its response to `sink`.

        Cancelling the call cancels the request at the target too.
        """
        failure = self._check_on_arrival(request)
        if failure is None:
            failure = await self._run_queued(request, sink)
        if failure is not None:
            await sink.put(
                messages.Failed.from_failure(request.attempt, failure)
            )

    def _check_on_arrival(
        self, request: messages.Dispatch
    ) -> errors.Failure | None:
        """Returns why a request that has arrived cannot run, or None."""
        if not self.owned:
            return self._refuse(errors.Reason.NOT_OWNER)
        return self._check_before_send(request)

    def _check_before_send(
        self, request: messages.Dispatch
    ) -> errors.Failure | None:
        """Returns why a request that has waited cannot run, or None.

        A request that was queued before the target moved to another owner
        still runs here, so that a planned stop refuses no queued request.
        """
        if self.target.state is inventory.State.LEAVING:
            return self._refuse(errors.Reason.LEAVING)
        if not self.healthy:
            return self._refuse(errors.Reason.NOT_READY)
        if (
            self.owned
            and request.model
            and not self._serves_model(request.model)
        ):
            return self._refuse(errors.Reason.NO_TARGET)
        return None

    def _refuse(
        self, reason: errors.Reason, detail: str = ""
    ) -> errors.Failure:
        return errors.Failure(
            reason, errors.Step.ADMIT, self.target.name, detail=detail
        )

    async def _run_queued(
        self, request: messages.Dispatch, sink: attempts.ResponseSink
    ) -> errors.Failure | None:
        now = _now()
        crash_suspects = self._shared.suspects
        verdict = crash_suspects.verdict(request.fingerprint, now)
        if isinstance(verdict, errors.Failure):
            return verdict
        alone = verdict is suspects.Verdict.ALONE
        if alone:
            refused = crash_suspects.begin_rerun(
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
            self._slot_granted.pop(request.attempt, None)
            self._release_adapter(request, loading)
            self._queue.finish(request.attempt)
            self._queue.cancel(request.attempt)
            if alone:
                crash_suspects.end_rerun(request.fingerprint, request.attempt)
            self._start_waiting()

    def _start_adapter_load(
        self, request: messages.Dispatch
    ) -> asyncio.Task[None | errors.Failure] | None:
        """Starts to load the adapter while the request waits for a slot."""
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
        provider = self.adapters

        def release(task: asyncio.Task[None | errors.Failure]) -> None:
            if not task.cancelled() and task.exception() is None:
                if task.result() is None:
                    provider.release(request.adapter)

        loading.add_done_callback(release)

    def _enqueue(
        self, request: messages.Dispatch, alone: bool, now: float
    ) -> errors.Failure | None:
        slowdown = self._shared.slowdowns.factor(
            self.target.name, request.model
        )
        work = estimation.Work(request.prompt_tokens, request.output_tokens)
        due_at = now + request.response_due_in_s
        overloaded = self.work.add(request.attempt, work, slowdown, due_at)
        if overloaded is not None:
            return overloaded
        unqueued = estimation.predict(
            self.target, estimation.Backlog(0, 0.0), work, slowdown
        )
        entry = admission.QueueEntry(
            attempt=request.attempt,
            account=request.account,
            due_at=due_at,
            service_s=unqueued.finish_s,
            first_token_s=unqueued.first_token_s,
            first_token_due_at=now + request.first_token_in_s,
            exclusive=alone,
        )
        refused = self._queue.push(entry)
        if refused is None:
            self._slot_granted[request.attempt] = (
                asyncio.get_running_loop().create_future()
            )
            self._start_waiting()
        return refused

    def _start_waiting(self) -> None:
        """Starts the waiting attempts for which a slot is free."""
        now = _now()
        while (entry := self._queue.start_next(now)) is not None:
            start = self._slot_granted.get(entry.attempt)
            if start is None or start.done():
                self._queue.finish(entry.attempt)
                continue
            start.set_result(None)

    async def _run_admitted(
        self,
        request: messages.Dispatch,
        sink: attempts.ResponseSink,
        loading: asyncio.Task[None | errors.Failure] | None,
    ) -> errors.Failure | None:
        await self._slot_granted[request.attempt]
        if loading is not None:
            failure = await asyncio.shield(loading)
            if failure is not None:
                return failure
        refused = self._check_before_send(request)
        if refused is not None:
            return refused
        return await self._send(request, sink)

    async def _send(
        self, request: messages.Dispatch, sink: attempts.ResponseSink
    ) -> errors.Failure | None:
        now = _now()
        self.work.started(request.attempt, now)
        task = asyncio.current_task()
        assert task is not None
        crashes = self._shared.suspects.crash_count(request.fingerprint, now)
        in_flight_attempt = inflightattempts.InFlightAttempt(
            request, task, crashes, now, now
        )
        self.in_flight_attempts.add(in_flight_attempt)
        try:
            failure = await self._relay_response(in_flight_attempt, sink)
            if (
                failure is not None
                and failure.reason in _CONNECTION_LOST_REASONS
            ):
                await self._probe_after_loss()
        finally:
            self.in_flight_attempts.remove(request.attempt)
        if failure is None:
            self._record_slowdown(request, now)
            self._shared.suspects.record_success(request.fingerprint, _now())
        return failure

    async def _relay_response(
        self,
        in_flight_attempt: inflightattempts.InFlightAttempt,
        sink: attempts.ResponseSink,
    ) -> errors.Failure | None:
        request = in_flight_attempt.request
        try:
            return await targetrelay.relay_response(
                self._client,
                in_flight_attempt,
                sink,
                self.target.name,
                self._shared.metrics,
            )
        except asyncio.CancelledError:
            await self._client.cancel(
                request.resumed_attempt or request.attempt
            )
            if not in_flight_attempt.stalled:
                raise
            in_flight_attempt.task.uncancel()
        stalled = errors.Failure(
            errors.Reason.TIMEOUT,
            errors.Step.ANSWER,
            self.target.name,
            detail="the target made no progress",
        )
        return targetrelay.failure_after_send(request, stalled)

    def _record_slowdown(
        self, request: messages.Dispatch, started: float
    ) -> None:
        work = estimation.Work(request.prompt_tokens, request.output_tokens)
        expected = estimation.predict(
            self.target, estimation.Backlog(0, 0.0), work
        )
        self._shared.slowdowns.observe(
            self.target.name,
            request.model,
            expected.finish_s,
            _now() - started,
        )

    async def _probe_after_loss(self) -> None:
        """Probes the target to find out whether it crashed.

        Attempts that lost their connections together wait for the same probe,
        so that all of them become suspects of the same crash.
        """
        if self._probe_task is None:
            self._probe_task = asyncio.create_task(self._probe_target())
            self._probe_task.add_done_callback(self._end_probe)
        await asyncio.shield(self._probe_task)

    def _end_probe(self, probe: asyncio.Task[bool]) -> None:
        self._probe_task = None

    async def _probe_target(self) -> bool:
        """Returns whether the target crashed, and records its suspects."""
        # The connections that a crash breaks are seen within one or two
        # iterations of the event loop.
        await asyncio.sleep(0)
        seen = await self._read_incarnation()
        known = self._incarnation
        crashed = isinstance(seen, errors.Failure) or known not in (0, seen)
        if crashed:
            self._shared.suspects.record_crash(
                self.in_flight_attempts.fingerprints(), _now()
            )
            self._shared.metrics.count("target_crashes")
            self._shared.on_crash(self.target.name)
        self.note_incarnation(seen)
        return crashed

    async def _read_incarnation(self) -> int | errors.Failure:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                return await self._client.incarnation()
        except TimeoutError:
            return errors.Failure(
                errors.Reason.TIMEOUT,
                errors.Step.CONNECT,
                self.target.name,
                errors.Outcome.FAILED,
            )

    def note_incarnation(self, seen: int | errors.Failure) -> None:
        """Records the result of the latest contact with the target.

        Args:
          seen: Incarnation that the target reported, or why it did not.
        """
        if isinstance(seen, errors.Failure):
            self.healthy = False
            return
        self.healthy = True
        self._incarnation = seen

    def current_load(self, models: list[str]) -> messages.TargetLoad:
        """Returns the target's load, to be reported to other instances."""
        in_flight, queued_tokens = self.work.reported_load(_now())
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
