"""Stand-in for a model engine with an OpenAI-compatible interface."""

import asyncio
import collections
import enum
import urllib.parse
from typing import Any

import msgspec

from carobsail import (
    engines,
    httpserver,
    inventory,
    orders,
    standin_platform,
)
from carobsail.standin_generation import (
    Answer,
    Generation,
    PrefixCache,
    Scheduler,
)
from carobsail.standin_memory import OK, EngineMemory

_JSON_HEADERS = [("content-type", "application/json")]
_NOT_STARTED_HEADERS = [("x-not-started", "1"), ("retry-after", "1")]
_DEFAULT_MAX_TOKENS = 16
_MAX_REPORTS = 4096
_CACHE_BLOCKS = 2048
# Time for which a stream can still be resumed after its connection has ended.
RESUME_WINDOW_S = 30.0


class Cut(enum.StrEnum):
    """The stage of an answer at which its connection is cut."""

    BEFORE_HEAD = "before_head"
    MID_STREAM = "mid_stream"
    BEFORE_LAST_BYTE = "before_last_byte"


class EngineStandin:
    """One engine, with switches that inject faults.

    Attributes:
      address: `host:port` once started.
      memory: Models, adapters and `violations`.
      cache: Prefix cache; its `delay_s` and `events_to_lose` delay and lose
        events.
      scheduler: Slots; `slowdown`, `freeze` and `thaw` control its progress.
      incarnation: Number of the engine's start, which changes with a crash.
      max_queued: Number of queued requests at which new ones are refused.
      executions: Number of executions begun, by request identifier.
      bodies: Number of executions begun, by request body.
      crash_marker: A request whose body contains it crashes the engine.
      restart_s: Seconds until a crashed engine restarts, None for never.
      crashes: Number of crashes.
      cut_stage: Stage at which the next `answers_to_cut` answers are cut.
      answers_to_cut: Number of upcoming answers to cut.
      lose_orders: Number of upcoming orders without effect and answer.
      double_orders: Number of upcoming orders that are carried out twice.
      order_delay_s: Seconds before an order takes effect.
      report_lag_s: Staleness of the reports that are served.
    """

    def __init__(
        self,
        target: inventory.Target,
        models: list[inventory.Model],
        adapters: list[inventory.Adapter],
        store: standin_platform.WeightStoreStandin,
    ) -> None:
        self.target = target
        self.address = ""
        self.cache = PrefixCache(_CACHE_BLOCKS)
        self.scheduler = Scheduler(target, self.cache)
        self.memory = EngineMemory(
            target, models, adapters, store, self._record_report
        )
        self.incarnation = 1
        self.max_queued = 1024
        self.executions: collections.Counter[str] = collections.Counter()
        self.bodies: collections.Counter[bytes] = collections.Counter()
        self.crash_marker: bytes | None = None
        self.restart_s: float | None = None
        self.crashes = 0
        self.cut_stage = Cut.MID_STREAM
        self.answers_to_cut = 0
        self.lose_orders = 0
        self.double_orders = 0
        self.order_delay_s = 0.0
        self.report_lag_s = 0.0
        self._host = ""
        self._server: httpserver.Server | None = None
        self._generations: dict[str, Generation] = {}
        self._generation_tasks: dict[str, asyncio.Task[None]] = {}
        self._order_tasks: set[asyncio.Task[str]] = set()
        self._crash_tasks: set[asyncio.Task[None]] = set()
        self._reports: collections.deque[tuple[float, engines.EngineReport]] = (
            collections.deque(maxlen=_MAX_REPORTS)
        )

    async def start(self, host: str, port: int = 0) -> None:
        """Starts listening."""
        self._host = host
        self._server = await httpserver.serve(
            host,
            port,
            self._handle,
            httpserver.ServerLimits(),
            self.target.name,
        )
        self.address = f"{host}:{self._server.port}"
        self._record_report()

    async def stop(self) -> None:
        """Cancels all work, cuts all connections and stops listening."""
        for task in self._crash_tasks:
            task.cancel()
        await self._stop_serving()

    async def _stop_serving(self) -> None:
        for task in [*self._generation_tasks.values(), *self._order_tasks]:
            task.cancel()
        if self._server:
            await self._server.close()
            self._server = None

    async def crash(self) -> None:
        """Loses all state and restarts after `restart_s`."""
        self.crashes += 1
        await self._stop_serving()
        self._generations.clear()
        self._generation_tasks.clear()
        self.memory.clear()
        self._reports.clear()
        self.incarnation += 1
        self.cache.clear(self.incarnation)
        self.scheduler = Scheduler(self.target, self.cache)
        if self.restart_s is not None:
            await asyncio.sleep(self.restart_s)
            await self.start(self._host, int(self.address.rpartition(":")[2]))

    def _record_report(self) -> None:
        """Records a report of the current state, for lagging reports."""
        now = asyncio.get_running_loop().time()
        self._reports.append((now, self._report()))

    def _report(self) -> engines.EngineReport:
        memory = self.memory
        return engines.EngineReport(
            self.target.name,
            self.incarnation,
            memory.fence,
            dict(memory.models),
            dict(memory.loading),
            dict(memory.adapters),
            self.scheduler.running + self.scheduler.queued,
            memory.free_mb,
            self.report_lag_s,
        )

    def _lagging_report(self) -> engines.EngineReport:
        if not self.report_lag_s:
            return self._report()
        now = asyncio.get_running_loop().time()
        latest = self._reports[0][1]
        for time, report in self._reports:
            if time > now - self.report_lag_s:
                break
            latest = report
        return latest

    async def _handle(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        await self.scheduler.wait_while_frozen()
        path = request.path
        if path in ("/v1/chat/completions", "/v1/completions"):
            await self._complete(request, responder)
        elif path == "/v1/resume":
            await self._resume(request, responder)
        elif path == "/v1/models":
            names = [*self.memory.models, *self.memory.adapters]
            data = [{"id": name, "object": "model"} for name in names]
            await _send(responder, 200, {"object": "list", "data": data})
        elif path == "/v1/report":
            await _send(responder, 200, self._lagging_report())
        elif path == "/v1/cache_events":
            query = urllib.parse.parse_qs(request.query)
            after = int(query.get("after", ["0"])[0])
            await _send(responder, 200, self.cache.events(after))
        elif path == "/v1/cancel":
            self._discard(msgspec.json.decode(request.body)["request_id"])
            await _send(responder, 200, {})
        else:
            await self._order(request, responder)

    async def _order(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        memory = self.memory
        handlers = {
            "/v1/load_model": (memory.load_model, "model"),
            "/v1/unload_model": (memory.unload_model, "model"),
            "/v1/load_lora_adapter": (memory.load_adapter, "lora_name"),
            "/v1/unload_lora_adapter": (memory.unload_adapter, "lora_name"),
        }
        if request.path not in handlers:
            await _send(responder, 404, {"reason": "unknown_path"})
            return
        if self.lose_orders:
            self.lose_orders -= 1
            await responder.disconnected.wait()
            return
        carry_out, key = handlers[request.path]
        body = msgspec.json.decode(request.body)
        name = orders.join_version(body[key], body.get("version", ""))
        times = 2 if self.double_orders else 1
        self.double_orders -= times - 1
        delay_s = self.order_delay_s

        async def run() -> str:
            result = OK
            for _ in range(times):
                await asyncio.sleep(delay_s)
                if not memory.admit(body.get("fence", 0)):
                    return "fenced"
                result = await carry_out(name)
            return result

        # An order takes effect even if its sender disconnects.
        task = asyncio.create_task(run())
        self._order_tasks.add(task)
        task.add_done_callback(self._order_tasks.discard)
        result = await asyncio.shield(task)
        status = {OK: 200, "fenced": 409, "no_memory": 507}.get(result, 404)
        await _send(responder, status, {"reason": result})

    async def _complete(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        if self.crash_marker and self.crash_marker in request.body:
            self.executions[request.header("x-request-id") or ""] += 1
            self.bodies[request.body] += 1
            # Not awaited, since the crash cuts this request too.
            task = asyncio.create_task(self.crash())
            self._crash_tasks.add(task)
            task.add_done_callback(self._crash_tasks.discard)
            return
        try:
            body = msgspec.json.decode(request.body, type=dict[str, Any])
            name, prompt = body["model"], _prompt(body)
        except (msgspec.DecodeError, LookupError, TypeError):
            await _send(responder, 400, {"error": {"code": "bad_request"}})
            return
        if not self.memory.knows(name):
            await _send(responder, 404, {"error": {"code": "unknown_model"}})
            return
        model = self.memory.model_of(name)
        if model is None or self.scheduler.queued >= self.max_queued:
            await responder.send(503, _NOT_STARTED_HEADERS, b"")
            return
        attempt = request.header("x-request-id") or f"local-{id(request)}"
        count = int(body.get("max_tokens", _DEFAULT_MAX_TOKENS))
        adapter = name if name != model else ""
        generation = Generation(request.body, prompt, count, model, adapter)
        priority = int(request.header("x-priority") or 5)
        self._generations[attempt] = generation
        self._generation_tasks[attempt] = asyncio.create_task(
            self._run(attempt, generation, request.body, priority)
        )
        chat = request.path == "/v1/chat/completions"
        answer = Answer(generation, attempt, name, chat)
        if body.get("stream"):
            await self._stream(answer, 0, responder)
        else:
            await self._send_complete(answer, responder)

    async def _run(
        self, attempt: str, generation: Generation, body: bytes, priority: int
    ) -> None:
        scheduler = self.scheduler
        self.memory.use(generation.model)
        try:
            await scheduler.enter(priority)
            try:
                self.executions[attempt] += 1
                self.bodies[body] += 1
                self._record_report()
                await scheduler.generate(generation, self.incarnation)
            finally:
                scheduler.leave()
        finally:
            self.memory.release(generation.model)
            self._record_report()

    def _discard(self, attempt: str) -> None:
        task = self._generation_tasks.pop(attempt, None)
        if task:
            task.cancel()
        generation = self._generations.pop(attempt, None)
        if generation:
            generation.stop()

    async def _send_complete(
        self, answer: Answer, responder: httpserver.Responder
    ) -> None:
        disconnected = asyncio.create_task(responder.disconnected.wait())
        completed = asyncio.create_task(answer.generation.wait(1 << 30))
        try:
            await asyncio.wait(
                {disconnected, completed}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnected.cancel()
            completed.cancel()
        is_done = answer.generation.done
        self._discard(answer.attempt)
        if not is_done:
            responder.abort()
            return
        body = msgspec.json.encode(answer.complete_body())
        if not self._take_cut():
            await responder.send(200, _JSON_HEADERS, body)
            return
        if self.cut_stage is not Cut.BEFORE_HEAD:
            length = ("content-length", str(len(body)))
            await responder.start(200, [*_JSON_HEADERS, length])
            end = len(body) // 2 if self.cut_stage is Cut.MID_STREAM else -1
            await responder.write(body[:end])
        responder.abort()

    def _take_cut(self) -> bool:
        if self.answers_to_cut:
            self.answers_to_cut -= 1
            return True
        return False

    async def _resume(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        attempt = request.header("x-request-id") or ""
        generation = self._generations.get(attempt)
        last_event = request.header("last-event-id") or ""
        if generation is None or not last_event.isdecimal():
            await _send(responder, 404, {"reason": "unknown_request"})
            return
        answer = Answer(generation, attempt, generation.model, True)
        await self._stream(answer, int(last_event) + 1, responder)

    async def _stream(
        self, answer: Answer, first: int, responder: httpserver.Responder
    ) -> None:
        """Sends the events, starting with number `first`.

        The event after the last token holds the usage, the next one `[DONE]`.
        """
        cut = self.cut_stage if self._take_cut() else None
        if cut is Cut.BEFORE_HEAD:
            responder.abort()
            return
        await responder.start(200, [("content-type", "text/event-stream")])
        last = len(answer.generation.all_tokens) + 1
        middle = last // 2
        for number in range(first, last + 1):
            await answer.generation.wait(number)
            await self.scheduler.wait_while_frozen()
            if answer.generation.stopped:
                break
            event = answer.event(number)
            if cut is Cut.BEFORE_LAST_BYTE and number == last:
                await responder.write(event[:-1])
            if responder.disconnected.is_set() or (
                cut is Cut.MID_STREAM and number >= middle
            ):
                break
            if cut is Cut.BEFORE_LAST_BYTE and number == last:
                break
            await responder.write(event)
        else:
            await responder.finish()
        if not responder.finished:
            responder.abort()
        loop = asyncio.get_running_loop()
        loop.call_later(RESUME_WINDOW_S, self._discard, answer.attempt)


async def _send(
    responder: httpserver.Responder, status: int, body: object
) -> None:
    await responder.send(status, _JSON_HEADERS, msgspec.json.encode(body))


def _prompt(body: dict[str, Any]) -> str:
    if "messages" in body:
        contents = (message["content"] for message in body["messages"])
        return "\n".join(str(content) for content in contents)
    return str(body["prompt"])
