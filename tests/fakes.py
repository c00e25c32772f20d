"""Fake targets and sinks for tests of the request path."""

import asyncio

from carobsail import (
    attempts,
    engines,
    errors,
    inventory,
    messages,
    suspects,
    targetrelay,
    targetrunner,
    telemetry,
)
from carobsail import estimation as estimating

EVENTS = [b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 11)]
STREAM = b"".join(EVENTS)
EVENT_STREAM_HEADERS = [("content-type", "text/event-stream")]


class FakeStream(engines.ResponseStream):
    """Response that yields parts; a number is a delay in seconds."""

    def __init__(self, parts, status=200, headers=None):
        self.status = status
        self.headers = EVENT_STREAM_HEADERS if headers is None else headers
        self.closed = False
        self._parts = parts

    async def chunks(self):
        for part in self._parts:
            if isinstance(part, int | float):
                await asyncio.sleep(part)
            else:
                yield part

    async def close(self):
        self.closed = True


class FakeTarget(targetrelay.TargetClient):
    """A target that follows a script and counts executions.

    Attributes:
      script: Result of each next request: a stream, a failure, or a coroutine
        function that returns one of them.
      resumes: Result of each next resume.
      executions: Attempts that reached the target.
      resumed_after: Attempt and last event of each resume.
      cancelled: Attempts that were cancelled at the target.
      target_incarnation: Incarnation of the target.
    """

    def __init__(self, script=(), resumes=()):
        self.script = list(script)
        self.resumes = list(resumes)
        self.executions = []
        self.resumed_after = []
        self.cancelled = []
        self.target_incarnation = 1

    async def send(self, request):
        step = self.script.pop(0) if self.script else FakeStream(EVENTS)
        if callable(step):
            step = await step(request)
        not_run = errors.Outcome.NOT_RUN
        if not isinstance(step, errors.Failure) or step.outcome is not not_run:
            self.executions.append(request.attempt)
        return step

    async def resume(self, request, last_event):
        self.resumed_after.append((request.attempt, last_event))
        return self.resumes.pop(0)

    async def cancel(self, attempt):
        self.cancelled.append(attempt)

    async def incarnation(self):
        return self.target_incarnation


class MessageCollector(attempts.ResponseSink):
    """Sink that records the messages of an attempt.

    Attributes:
      messages: Messages received.
      wanted: What `put` returns.
    """

    def __init__(self):
        self.messages = []
        self.wanted = True

    async def put(self, message):
        self.messages.append(message)
        return self.wanted

    @property
    def body(self):
        chunks = [m for m in self.messages if isinstance(m, messages.Chunk)]
        return b"".join(chunk.data for chunk in chunks)

    @property
    def failure(self):
        last = self.messages[-1]
        is_failure = isinstance(last, messages.Failed)
        return last.failure() if is_failure else None


def build_dispatch(attempt="a1", **changes) -> messages.Dispatch:
    """Returns an idempotent streamed model request."""
    fields = {
        "attempt": attempt,
        "target": "engine-1",
        "account": "counter",
        "model": "draft",
        "adapter": "",
        "method": "POST",
        "path": "/v1/chat/completions",
        "headers": [],
        "body": b"{}",
        "response_due_in_s": 2.0,
        "prompt_tokens": 10,
        "output_tokens": 10,
        "priority": 5,
        "idempotent": True,
        "fingerprint": attempt,
    }
    return messages.Dispatch(**(fields | changes))


def build_target(**changes) -> inventory.Target:
    """Returns an engine with two slots."""
    fields = {
        "name": "engine-1",
        "kind": inventory.Kind.ENGINE,
        "data_centre": "dc-1",
        "address": "127.0.0.1:1",
        "pool": "pool-1",
        "slots": 2,
    }
    return inventory.Target(**(fields | changes))


def build_runner(client, target=None, crash_suspects=None):
    """Returns the runner of a target that serves the model `draft`."""
    shared = targetrunner.SharedDependencies(
        "entry-1",
        suspects.CrashSuspects("entry-1")
        if crash_suspects is None
        else crash_suspects,
        estimating.Slowdowns(),
        telemetry.Metrics(),
        lambda target: None,
    )
    return targetrunner.TargetRunner(
        target or build_target(),
        client,
        lambda model: model in ("", "draft"),
        shared,
    )


def build_truncation(outcome=errors.Outcome.UNKNOWN) -> errors.Failure:
    """Returns the failure of a response whose connection broke."""
    return errors.Failure(
        errors.Reason.ANSWER_CUT, errors.Step.ANSWER, "engine-1", outcome
    )
