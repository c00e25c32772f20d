"""Loads and unloads the models and adapters of one owned engine."""

import asyncio
import logging
import random
from collections.abc import Callable

from carobsail import (
    adapters,
    directory,
    engines,
    errors,
    grants,
    inventory,
    keyvalue,
    ledger,
    messages,
    orders,
    ownedtargets,
    targetrunner,
    telemetry,
)

AcquirePermit = Callable[[str], Callable[[], None] | None]


class AdapterLoader(targetrunner.AdapterProvider):
    """Loads and unloads adapters as an engine's adapter pool decides.

    Attributes:
      pool: The adapter pool.
    """

    __slots__ = (
        "_client",
        "_directory",
        "_grants",
        "_metrics",
        "_tasks",
        "_waiters",
        "pool",
    )

    def __init__(
        self,
        pool: adapters.AdapterPool,
        client: engines.EngineClient,
        holder: grants.GrantHolder,
        targets: directory.TargetDirectory,
        metrics: telemetry.Metrics,
    ) -> None:
        """Creates the adapter loader of one engine."""
        self._metrics = metrics
        self.pool = pool
        self._client = client
        self._grants = holder
        self._directory = targets
        self._waiters: dict[
            str, list[asyncio.Future[errors.Failure | None]]
        ] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def acquire(self, adapter: str) -> None | errors.Failure:
        """See base class."""
        listed_adapter = self._directory.adapter(adapter)
        if listed_adapter is None:
            return self._refusal(errors.Reason.UNKNOWN_ADAPTER, adapter)
        if not self.pool.is_ready(adapter) and not self._may_send_orders():
            return self._refusal(errors.Reason.NOT_READY, adapter)
        refused = self.pool.acquire(adapter, listed_adapter.size_mb)
        if refused is not None or self.pool.is_ready(adapter):
            return refused
        waiter: asyncio.Future[errors.Failure | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters.setdefault(adapter, []).append(waiter)
        self.send_orders()
        try:
            return await waiter
        except asyncio.CancelledError:
            self.release(adapter)
            raise

    def _may_send_orders(self) -> bool:
        return self._grants.may_send_orders(_now())

    def _refusal(self, reason: errors.Reason, adapter: str) -> errors.Failure:
        return errors.Failure(
            reason,
            errors.Step.LOAD_ADAPTER,
            adapter,
            detail="the adapter is not resident and cannot be loaded now",
        )

    def release(self, adapter: str) -> None:
        """See base class."""
        self.pool.release(adapter)
        self.send_orders()

    def seconds_until_resident(self, adapter: str) -> float:
        """See base class."""
        if self.pool.is_ready(adapter):
            return 0.0
        listed_adapter = self._directory.adapter(adapter)
        return listed_adapter.load_ms / 1000 if listed_adapter else 0.0

    def resident(self) -> list[str]:
        """See base class."""
        return self.pool.resident()

    def send_orders(self) -> None:
        """Sends the load and unload orders that the pool has now."""
        if not self._may_send_orders():
            return
        for order in self.pool.orders(_now()):
            task = asyncio.create_task(self._send_order(order))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_order(self, order: adapters.AdapterOrder) -> None:
        listed_adapter = self._directory.adapter(order.adapter)
        failure: errors.Failure | None
        if listed_adapter is None or not self._may_send_orders():
            failure = self._refusal(errors.Reason.NOT_READY, order.adapter)
        elif order.load:
            failure = await self._client.load_adapter(
                order.adapter, listed_adapter.model, self._grants.epoch
            )
        else:
            failure = await self._client.unload_adapter(
                order.adapter, self._grants.epoch
            )
        self.pool.record_answer(order, failure)
        if failure is None:
            moved = "loaded" if order.load else "unloaded"
            self._metrics.count(f"adapters.{moved}")
        if order.load:
            for waiter in self._waiters.pop(order.adapter, []):
                if not waiter.done():
                    waiter.set_result(failure)
        self.send_orders()


class EngineMemory(ownedtargets.OwnedEngine):
    """Models and adapters of one owned engine.

    Attributes:
      adapter_loader: Loads adapters before the requests that need them.
      orders: Model load and unload orders, and the memory ledger.
    """

    __slots__ = (
        "_taken_over_epoch",
        "_client",
        "_directory",
        "_grants",
        "_in_use",
        "_latest_report",
        "_leaving_since",
        "_log",
        "_metrics",
        "_runner",
        "_stopped",
        "_target",
        "adapter_loader",
        "orders",
    )

    def __init__(
        self,
        target: inventory.Target,
        client: engines.EngineClient,
        store: keyvalue.KeyValueClient,
        holder: grants.GrantHolder,
        targets: directory.TargetDirectory,
        runner: targetrunner.TargetRunner,
        adapter_loads: adapters.LoadLimiter,
        acquire_permit: AcquirePermit,
        rng: random.Random,
        metrics: telemetry.Metrics,
        log: logging.Logger,
        in_use: Callable[[str], bool] = lambda model: True,
    ) -> None:
        """Creates the state of an engine whose ownership was just granted.

        Args:
          target: The engine.
          client: Client of the engine.
          store: Key-value client that stores intents.
          holder: Ownership grants of this instance.
          targets: Known targets.
          runner: Runs requests at the engine.
          adapter_loads: Limit on the adapter loads in flight.
          acquire_permit: Acquires a permit for a model load from the
            weight store.
          rng: Source of randomness for the backoff's jitter.
          metrics: Counts orders.
          log: Receives an event for each order.
          in_use: Tells whether a client account uses a model. The last copy
            of an unused model may be unloaded; otherwise it could occupy the
            memory that a model in use needs indefinitely.
        """
        self._in_use = in_use
        self._metrics = metrics
        self._log = log
        self._target = target
        self._client = client
        self._grants = holder
        self._runner = runner
        self._directory = targets
        self._latest_report: engines.EngineReport | None = None
        self._taken_over_epoch = 0
        self._stopped = False
        self._leaving_since: dict[str, float] = {}
        self.adapter_loader: AdapterLoader = AdapterLoader(
            adapters.AdapterPool(target, adapter_loads),
            client,
            holder,
            targets,
            metrics,
        )
        preconditions = orders.Preconditions(
            may_send_orders=self._may_send_orders,
            may_unload=self._may_unload,
            is_drained=self._requests_ended,
            acquire_permit=acquire_permit,
            size_mb=targets.size_mb,
        )
        self.orders = orders.EngineReconciler(
            target, client, store, preconditions, rng
        )

    def _may_send_orders(self) -> bool:
        now = _now()
        owns = self._grants.owns(self._target.name, now)
        return owns and not self._stopped and self._grants.may_send_orders(now)

    def _may_unload(self, model: str) -> bool:
        """Tells whether the copy of a model on this engine may be unloaded.

        It may if no client account uses the model, or another copy exists.
        """
        name = _model_name(model)
        if not self._in_use(name):
            return True
        others = (m for m in self._resident() if m != model)
        if any(_model_name(other) == name for other in others):
            return True  # Another version of the model is resident here.
        return self._directory.has_other_copy(name, self._target.name)

    def _requests_ended(self, model: str) -> bool:
        """Tells whether requests sent before the model was leaving have ended.

        Later requests run on another version of the model, if there are any.
        """
        since = self._leaving_since.setdefault(model, _now())
        return not self._runner.in_flight_attempts.has_attempt_for(
            _model_name(model), since
        )

    def models(self) -> list[str]:
        """See base class."""
        return sorted({_model_name(model) for model in self._resident()})

    def _resident(self) -> set[str]:
        """Returns the model versions to which requests may be sent.

        They include the models that the latest report lists, so that a new
        owner can send requests before its ledger is settled.
        """
        memory = self.orders.ledger
        found = set(memory.models(ledger.HoldReason.RESIDENT))
        if self._latest_report is not None:
            found.update(
                model
                for model in self._latest_report.models
                if memory.hold_of(model) is not ledger.HoldReason.UNLOADING
            )
        return found - self.orders.leaving

    def progress(self) -> messages.TargetProgress:
        """See base class."""
        memory = self.orders.ledger
        resident = sorted(self._resident())
        held = memory.intents()
        reserved = sorted(set(held) - set(resident))
        return messages.TargetProgress(
            self._target.name, resident, reserved, self._runner.healthy
        )

    def set_plan(self, plan: messages.TargetPlan) -> None:
        """See base class."""
        self.orders.set_plan(plan)

    async def poll(self) -> engines.EngineReport | errors.Failure:
        """See base class."""
        asked_at = _now()
        report = await self._read_report()
        if isinstance(report, errors.Failure):
            return report
        if self._latest_report is None:
            self.adapter_loader.pool.adopt(report)
        restarted = (
            self._latest_report is not None
            and report.incarnation != self._latest_report.incarnation
        )
        self._latest_report = report
        self.adapter_loader.pool.observe(report, asked_at)
        self.orders.apply_report(report, asked_at)
        if restarted:
            self.adapter_loader.pool.observe(report, float("inf"))
        self.adapter_loader.send_orders()
        await self._take_over_and_order()
        return report

    async def _read_report(self) -> engines.EngineReport | errors.Failure:
        try:
            async with asyncio.timeout(orders.REPORT_TIMEOUT_S):
                return await self._client.report()
        except TimeoutError:
            return errors.Failure(
                errors.Reason.TIMEOUT, errors.Step.CONNECT, self._target.name
            )

    async def _take_over_and_order(self) -> None:
        """Takes over the engine if the epoch is new, then sends an order."""
        epoch = self._grants.epoch
        if self._may_send_orders() and self._taken_over_epoch != epoch:
            failure = await self.orders.take_over(epoch, _now())
            if failure is not None:
                return
            self._taken_over_epoch = epoch
        before = set(self.orders.ledger.models(ledger.HoldReason.RESIDENT))
        result = await self.orders.reconcile_once()
        after = set(self.orders.ledger.models(ledger.HoldReason.RESIDENT))
        self._record_order(result, after - before, before - after)
        for model in self._leaving_since.keys() - self.orders.leaving:
            del self._leaving_since[model]

    def _record_order(
        self,
        result: bool | errors.Failure,
        loaded: set[str],
        unloaded: set[str],
    ) -> None:
        """Logs and counts the result of an order."""
        name = self._target.name
        if isinstance(result, errors.Failure):
            self._metrics.count("orders.failed")
            telemetry.log(
                self._log,
                "order_failed",
                level=logging.WARNING,
                target=name,
                reason=str(result.reason),
                outcome=str(result.outcome),
                detail=result.detail,
            )
        if result is not True:
            return
        for event, models in (("loaded", loaded), ("unloaded", unloaded)):
            for model in sorted(models):
                self._metrics.count(f"models.{event}")
                telemetry.log(
                    self._log, f"model_{event}", target=name, model=model
                )

    def end_ownership(self) -> None:
        """See base class."""
        self._stopped = True


def _model_name(model: str) -> str:
    return orders.split_version(model)[0]


def _now() -> float:
    return asyncio.get_running_loop().time()
