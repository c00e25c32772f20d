"""Fake targets that count executions, and callers that check responses."""

import asyncio
import collections
import contextvars
import dataclasses
import json

import fake_engine

from carobsail import engines, errors, httpserver, targetrelay

MODELS = ["m1", "m2", "m3", "m4"]
OTHER_MODELS = ["x1", "x2", "x3", "x4"]
CHAT_PATH, BOOKING_PATH = "/v1/chat/completions", "/services/desk/bookings"
EVENTS, EVENT_INTERVAL_S = 10, 0.2


def expected_response(body, run=1):
    """Returns the only correct response to a request."""
    request = json.loads(body)
    if "booking" in request:
        return json.dumps({"booked": request["booking"], "run": run}).encode()
    if not request.get("stream"):
        return json.dumps({"answer": request["id"]}).encode()
    return b"".join(build_event(request["id"], n) for n in range(1, EVENTS + 1))


def build_event(name, number):
    return b"id: %d\ndata: %s-%d\n\n" % (number, name.encode(), number)


def build_failure(reason, outcome):
    return errors.Failure(reason, errors.Step.SEND, "fake", outcome)


class Stream(engines.ResponseStream):
    """Response that is truncated when its target or connection fails."""

    def __init__(self, target, body, after=0):
        self.target, self.body, self.after = target, body, after
        self.streamed = json.loads(body).get("stream", False)
        kind = "text/event-stream" if self.streamed else "application/json"
        self.status = 201 if b"booking" in body else 200
        self.headers = [("content-type", kind)]
        self.start = target.start
        self.cut_after = (
            target.break_streams_after.pop(0)
            if target.break_streams_after
            else EVENTS
        )

    async def chunks(self):
        target, name = self.target, json.loads(self.body).get("id")
        for number in range(self.after, EVENTS):
            broken = number - self.after >= self.cut_after
            if target.start != self.start or not target.alive or broken:
                yield build_failure(
                    errors.Reason.ANSWER_CUT, errors.Outcome.UNKNOWN
                )
                return
            if self.streamed:
                yield build_event(name, number + 1)
            await asyncio.sleep(EVENT_INTERVAL_S)
            await target.awake.wait()
        if not self.streamed:
            yield expected_response(self.body, target.executions[self.body])

    async def close(self):
        pass


class Target(fake_engine.FakeEngine, targetrelay.TargetClient):
    """Fake engine or service that counts executions and can fail."""

    def __init__(self, listed, cluster):
        sizes = dict.fromkeys(MODELS + OTHER_MODELS, 1000)
        super().__init__(listed, sizes, cluster.models_in_use, cluster.engines)
        self.executions = cluster.executions
        self.attempts = collections.Counter()
        self.streams, self.break_streams_after, self.received = {}, [], []
        self.start, self.crashes, self.listed = 1, [], True
        self.awake = asyncio.Event()
        self.awake.set()

    def freeze(self):
        self.awake.clear()

    def thaw(self):
        self.awake.set()

    def die(self):
        super().die()
        self.streams = {}

    def restart(self):
        self.alive, self.start = True, self.start + 1

    def _execute_later(self, delay_s, execute, model, fence):
        # The order is in flight and outlives the process that sent it.
        async def arrive():
            await asyncio.sleep(delay_s)
            await execute(model, fence)

        self.task = asyncio.create_task(arrive(), context=contextvars.Context())

    async def _order(self, kind, model, fence):
        await self.awake.wait()
        return await super()._order(kind, model, fence)

    async def send(self, request):
        await asyncio.sleep(0.001)
        await self.awake.wait()
        if not self.alive:
            return build_failure(
                errors.Reason.CONNECT_FAILED, errors.Outcome.NOT_RUN
            )
        if request.model and request.model not in self.models:
            return build_failure(
                errors.Reason.TARGET_REFUSED, errors.Outcome.NOT_RUN
            )
        self.executions[request.body] += 1
        self.attempts[request.attempt] += 1
        self.received.append(asyncio.get_running_loop().time())
        if b"poison" in request.body:
            self.die()
            self.crashes.append(self.received[-1])
            asyncio.get_running_loop().call_later(3.0, self.restart)
            return build_failure(
                errors.Reason.CONNECTION_LOST, errors.Outcome.UNKNOWN
            )
        self.streams[request.attempt] = request.body
        return Stream(self, request.body)

    async def resume(self, request, last_event):
        await self.awake.wait()
        body = self.streams.get(request.attempt)
        if body is None or not self.alive:
            return build_failure(
                errors.Reason.TARGET_REFUSED, errors.Outcome.FAILED
            )
        return Stream(self, body, int(last_event))

    async def cancel(self, attempt):
        self.streams.pop(attempt, None)

    async def cache_events(self, after):
        return []

    async def report(self):
        await self.awake.wait()
        report = await super().report()
        if isinstance(report, errors.Failure):
            return report
        return dataclasses.replace(report, incarnation=self.start)

    async def incarnation(self):
        report = await self.report()
        failed = isinstance(report, errors.Failure)
        return report if failed else report.incarnation


class CallerConnection(httpserver.Responder):
    """A caller's request and the response on its connection."""

    started = False

    def __init__(self, instance, body, key):
        self.instance, self.body, self.key = instance, body, key
        self.disconnected = asyncio.Event()
        self.done = asyncio.Event()
        self.status, self.headers, self.response_body = 0, {}, b""
        self.complete = self.aborted = False

    async def start(self, status, headers):
        self.started, self.status = True, status
        self.headers = dict(headers)

    async def write(self, data):
        self.response_body += data

    async def finish(self):
        self.complete = True
        self.done.set()

    async def send(self, status, headers, body):
        await self.start(status, headers)
        await self.write(body)
        await self.finish()

    def abort(self):
        self.aborted = True
        self.done.set()

    @property
    def outcome(self):
        if self.complete and self.status < 300:
            return "answered"
        return self.headers.get("x-outcome", "cut")

    def check(self):
        """Each caller gets its own complete response or a clear error (R3)."""
        correct = expected_response(self.body)
        if self.outcome == "answered":
            assert self.response_body == correct, (self.response_body, correct)
        elif self.outcome == "cut":
            received_body = self.response_body.partition(b'data: {"error"')[0]
            assert self.aborted and correct.startswith(received_body), (
                received_body
            )
        else:
            assert json.loads(self.response_body)["error"]["outcome"]
