"""The targets that this instance owns.

Each owned target has a runner, which runs its requests. An owned engine is
also polled for its report and gets orders, which load and unload models.
"""

import abc
import asyncio
from collections.abc import Callable

from carobsail import (
    dispatcher,
    engines,
    errors,
    grants,
    inventory,
    messages,
    services,
    targetrelay,
    targetrunner,
)

# Shortest interval between two reads of an engine's report.
REPORT_INTERVAL_S = 1.0
# Reads of all owned engines together. An owner of many engines reads each
# less often, so that control stays within 1.1% of a core (requirement
# R17).
REPORTS_PER_S = 10.0


class OwnedEngine(abc.ABC):
    """Models and adapters of one owned engine.

    Attributes:
      adapter_loader: Loads and evicts the engine's adapters.
    """

    adapter_loader: targetrunner.AdapterProvider

    @abc.abstractmethod
    def models(self) -> list[str]:
        """Returns the models for which requests may be sent."""

    @abc.abstractmethod
    def progress(self) -> messages.TargetProgress:
        """Returns the progress of this engine, to be sent to the leader."""

    @abc.abstractmethod
    def set_plan(self, plan: messages.TargetPlan) -> None:
        """Sets the models that the engine is to hold."""

    @abc.abstractmethod
    async def poll(self) -> engines.EngineReport | errors.Failure:
        """Reads the engine's report and sends at most one model order."""

    @abc.abstractmethod
    def end_ownership(self) -> None:
        """Ends the ownership; no order may be sent after this call."""


class EngineTargetClient(targetrelay.TargetClient):
    """Sends requests to an engine."""

    __slots__ = ("client",)

    def __init__(self, client: engines.EngineClient) -> None:
        self.client = client

    async def send(
        self, request: messages.Dispatch
    ) -> engines.ResponseStream | errors.Failure:
        """See base class."""
        return await self.client.send(request)

    async def resume(
        self, request: messages.Dispatch, last_event: str
    ) -> engines.ResponseStream | errors.Failure:
        """See base class."""
        return await self.client.resume(request, last_event)

    async def cancel(self, attempt: str) -> errors.Failure | None:
        """See base class."""
        return await self.client.cancel(attempt)

    async def incarnation(self) -> int | errors.Failure:
        """See base class."""
        report = await self.client.report()
        if isinstance(report, errors.Failure):
            return report
        return report.incarnation


class ServiceTargetClient(targetrelay.TargetClient):
    """Sends requests to a plain service, which has no streams to resume."""

    __slots__ = ("_client", "_name")

    def __init__(self, client: services.HttpService, name: str) -> None:
        self._client = client
        self._name = name

    async def send(
        self, request: messages.Dispatch
    ) -> engines.ResponseStream | errors.Failure:
        """See base class."""
        return await self._client.send(request)

    async def resume(
        self, request: messages.Dispatch, last_event: str
    ) -> engines.ResponseStream | errors.Failure:
        """See base class."""
        del request, last_event  # Unused.
        return errors.Failure(
            errors.Reason.TARGET_REFUSED, errors.Step.SEND, self._name
        )

    async def cancel(self, attempt: str) -> errors.Failure | None:
        """See base class."""
        del attempt  # A service only notices that the connection is closed.
        return None

    async def incarnation(self) -> int | errors.Failure:
        """See base class; always 1, since services don't report a restart."""
        return 1


NewEngine = Callable[[inventory.Target, targetrunner.TargetRunner], OwnedEngine]
NewRunner = Callable[[inventory.Target], targetrunner.TargetRunner]


class OwnedTargets:
    """Keeps the owned targets in line with the grants and the inventory.

    Attributes:
      engines: Owned engines by name.
    """

    __slots__ = (
        "_dispatcher",
        "_grants",
        "_new_engine",
        "_new_runner",
        "_plans",
        "_targets",
        "_tasks",
        "engines",
    )

    def __init__(
        self,
        owned: dispatcher.Dispatcher,
        holder: grants.GrantHolder,
        new_runner: NewRunner,
        new_engine: NewEngine,
    ) -> None:
        """Creates an object that owns no targets yet.

        Args:
          owned: Dispatcher to which the runners are added.
          holder: Grant of this instance.
          new_runner: Creates the runner of a target.
          new_engine: Creates the object that manages an engine's memory.
        """
        self.engines: dict[str, OwnedEngine] = {}
        self._dispatcher = owned
        self._grants = holder
        self._new_runner = new_runner
        self._new_engine = new_engine
        self._targets: dict[str, inventory.Target] = {}
        self._plans: dict[str, messages.TargetPlan] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def set_targets(self, listed: list[inventory.Target]) -> None:
        """Replaces the list of the data centre's targets."""
        self._targets = {target.name: target for target in listed}
        for name, runner in self._dispatcher.runners.items():
            if name in self._targets:
                runner.target = self._targets[name]
        self.apply_grant()

    def apply_grant(self) -> None:
        """Starts to use newly owned targets and gives up the other ones."""
        for name, target in self._targets.items():
            if not self._grants.contains_target(name):
                continue
            runner = self._dispatcher.runners.get(name)
            if runner is None:
                runner = self._new_runner(target)
                self._dispatcher.runners[name] = runner
            runner.owned = True
            is_engine = target.kind is inventory.Kind.ENGINE
            if is_engine and name not in self.engines:
                self._add_engine(target, runner)
        for name in list(self._dispatcher.runners):
            if (
                not self._grants.contains_target(name)
                or name not in self._targets
            ):
                self._release_target(name)

    def _add_engine(
        self, target: inventory.Target, runner: targetrunner.TargetRunner
    ) -> None:
        engine = self._new_engine(target, runner)
        self.engines[target.name] = engine
        plan = self._plans.get(target.name)
        if plan is not None:
            engine.set_plan(plan)
        self._tasks[target.name] = asyncio.create_task(
            self._poll_engine(target.name, engine, runner)
        )

    def _release_target(self, name: str) -> None:
        """Stops new requests and orders; requests in flight finish."""
        runner = self._dispatcher.runners[name]
        runner.owned = False
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()
        engine = self.engines.pop(name, None)
        if engine is not None:
            engine.end_ownership()
        if runner.in_flight == 0:
            del self._dispatcher.runners[name]

    async def _poll_engine(
        self,
        name: str,
        engine: OwnedEngine,
        runner: targetrunner.TargetRunner,
    ) -> None:
        while True:
            report = await engine.poll()
            if isinstance(report, errors.Failure):
                if report.step is not errors.Step.ORDER:
                    runner.note_incarnation(report)
            else:
                runner.note_incarnation(report.incarnation)
            interval_s = len(self.engines) / REPORTS_PER_S
            await asyncio.sleep(max(REPORT_INTERVAL_S, interval_s))

    def apply_plan(self, plan: messages.Plan) -> None:
        """Applies the leader's plan, unless its epoch is another one."""
        if plan.epoch != self._grants.epoch:
            return
        for wanted in plan.targets:
            self._plans[wanted.target] = wanted
            engine = self.engines.get(wanted.target)
            if engine is not None:
                engine.set_plan(wanted)

    def models_of(self, target: str) -> list[str]:
        """Returns the models that an owned target serves now."""
        engine = self.engines.get(target)
        return engine.models() if engine else []

    def stop_orders(self) -> None:
        """Stops sending orders; requests in flight are not affected."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        for engine in self.engines.values():
            engine.end_ownership()
