"""Runs attempts at the targets that this instance owns."""

import asyncio
from collections.abc import Callable

from carobsail import attempts, errors, inflightattempts, messages, targetrunner


class Dispatcher:
    """Passes attempts to the runners of the owned targets.

    Its length is the number of attempts in flight.

    Attributes:
      runners: Runner by target name.
    """

    __slots__ = ("_tasks", "_watch", "runners")

    def __init__(self) -> None:
        self.runners: dict[str, targetrunner.TargetRunner] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def dispatch(
        self, request: messages.Dispatch, sink: attempts.ResponseSink
    ) -> None:
        """Starts an attempt; its response or failure goes to `sink`.

        A message whose attempt is in flight already is ignored, so that a
        duplicate message does not run the request twice.
        """
        if request.attempt in self._tasks:
            return
        task = asyncio.create_task(self._run(request, sink))
        self._tasks[request.attempt] = task
        task.add_done_callback(lambda _: self._tasks.pop(request.attempt))

    async def _run(
        self, request: messages.Dispatch, sink: attempts.ResponseSink
    ) -> None:
        runner = self.runners.get(request.target)
        if runner is None:
            failure = errors.Failure(
                errors.Reason.NOT_OWNER, errors.Step.ADMIT, request.target
            )
            await sink.put(
                messages.Failed.from_failure(request.attempt, failure)
            )
            return
        try:
            await runner.run(request, sink)
        except Exception as error:
            # The caller gets a response even if the runner has a bug.
            failure = errors.Failure(
                errors.Reason.TARGET_ERROR,
                errors.Step.SEND,
                request.target,
                errors.Outcome.UNKNOWN,
                f"{type(error).__name__}: {error}",
            )
            await sink.put(
                messages.Failed.from_failure(request.attempt, failure)
            )
            raise

    def cancel(self, attempt: str) -> None:
        """Cancels an attempt if it is in flight."""
        task = self._tasks.get(attempt)
        if task is not None:
            task.cancel()

    def target_loads(
        self, models_of: Callable[[str], list[str]]
    ) -> list[messages.TargetLoad]:
        """Returns the loads of the owned targets.

        Args:
          models_of: Returns the models that a target serves now.
        """
        return [
            runner.current_load(models_of(name))
            for name, runner in self.runners.items()
            if runner.owned
        ]

    async def cancel_stalled_attempts(self) -> None:
        """Cancels stalled attempts periodically, until cancelled itself."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(inflightattempts.STALL_CHECK_INTERVAL_S)
            for runner in self.runners.values():
                runner.in_flight_attempts.cancel_stalled(loop.time())

    async def drain(self) -> None:
        """Waits until no attempt is in flight."""
        while self._tasks:
            await asyncio.wait(list(self._tasks.values()))
