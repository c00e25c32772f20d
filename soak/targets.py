"""Stand-ins for targets and engines, after the platform's protocol."""

import asyncio
import itertools
import random

import msgspec

from carobsail import httpserver
from soak import polling
from soak.proxy import Link
from soak.records import (
    DEADLY_PART,
    DEADLY_PATH,
    Disturbance,
    ReceivedOrder,
    Record,
    Run,
    expected_body,
    expected_event,
    expected_event_count,
)
from soak.storestandin import StoreStandin

HEARTBEAT_INTERVAL_S = 1.2
# The entry of a crashed target is removed from the store after this time.
ENTRY_EXPIRY_S = 3 * HEARTBEAT_INTERVAL_S
# A target that leaves still serves for somewhat longer than the drain bound.
DRAIN_PERIOD_S = 4.0
SLOTS = 16
# Shorter than in the users' data sheets, so that a minute has many loads.
STORE_LOAD_S = 1.5
DISK_LOAD_S = 0.3
MODEL_MB = 70_000
ENGINE_MB = 230_000
ADAPTER_SLOTS = 2
ADAPTER_LOAD_S = 0.02
EVENT_INTERVAL_S = 0.04
MEAN_WORK_S = 0.03
# Time from a crash on a prompt to the next start.
CRASHED_PERIOD_S = 1.0
# Time from the arrival of a late order until the engine carries it out.
LATE_ORDER_DELAY_S = 2.0

_serial = itertools.count(1)


class Target:
    """A target with its server and the proxy link to it.

    Attributes:
      identity: Identity, which is new at each start unless it is kept.
      mode: Kind of misbehaviour, or empty: `errors` fails some requests, `cut`
        breaks off answers, `lost` loses answers after execution, `mute` neither
        executes nor answers requests.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        store: StoreStandin,
        record: Record,
        rng: random.Random,
    ) -> None:
        """Creates a target that has not been started."""
        self.name = name
        self.service = service
        self.zone = zone
        self.identity = ""
        self.mode = ""
        self.link = Link(name)
        self._store = store
        self._record = record
        self._rng = rng
        self._server: httpserver.Server | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._leaving = False
        self._running = 0
        self._born = 0
        self.crash_task: asyncio.Task[None] | None = None

    @property
    def alive(self) -> bool:
        """Whether it is running."""
        return self._server is not None

    @property
    def writes_entry(self) -> bool:
        """Whether it renews its entry in the store."""
        task = self._heartbeat_task
        return self.alive and task is not None and not task.done()

    async def start(self, same_identity: bool = False) -> None:
        """Starts without any state of an earlier start.

        Args:
          same_identity: Whether to keep the identity of the earlier start.
        """
        if not (same_identity and self.identity):
            self.identity = f"{self.name}-{next(_serial)}"
        self._record.leaving_since.pop(self.identity, None)
        self._born = max(self._born + 1, 1_000_000 + next(_serial))
        self._leaving = False
        self._running = 0
        await self.link.open()
        self._server = await httpserver.serve(
            "127.0.0.1",
            0,
            self._handle,
            httpserver.ServerLimits(),
            self.identity,
        )
        self.link.set_server(self._server.port)
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def crash(self) -> None:
        """Ends at once; its entry in the store expires later."""
        server, self._server = self._server, None
        if server is None:
            return
        self.link.refuse()
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        await server.close()
        asyncio.get_running_loop().call_later(
            ENTRY_EXPIRY_S, self._expire_entry, self.identity
        )

    async def _crash_and_restart(self) -> None:
        """Crashes and starts again, unless it was started meanwhile."""
        now = asyncio.get_running_loop().time()
        end = now + CRASHED_PERIOD_S
        self._record.disturbances.append(Disturbance(self.identity, now, end))
        await self.crash()
        await asyncio.sleep(CRASHED_PERIOD_S)
        if not self.alive:
            await self.start()

    def _expire_entry(self, identity: str) -> None:
        if not self.alive or self.identity != identity:
            asyncio.ensure_future(self._store.delete_entry(identity))

    async def leave(self, reported: bool = True) -> None:
        """Continues to serve for a while and ends.

        Args:
          reported: Whether its entry reports that it is draining. Otherwise the
            entry is removed at once, without any other notice to instances.
        """
        if not self.alive or self._leaving:
            return
        self._leaving = True
        identity = self.identity
        await polling.until(lambda: not self._store.down)
        if reported:
            await self._write_entry()
        else:
            if self._heartbeat_task is not None:
                self._heartbeat_task.cancel()
            await self._store.delete_entry(identity)
        self._record.leaving_since[identity] = asyncio.get_running_loop().time()
        await asyncio.sleep(DRAIN_PERIOD_S)
        if self.identity == identity:
            await self._store.delete_entry(identity)
            await self.crash()

    async def _send_heartbeats(self) -> None:
        while True:
            if not self._store.down:
                await self._write_entry()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _write_entry(self) -> None:
        entry = {
            "service": self.service,
            "addr": f"127.0.0.1:{self.link.port}",
            "zone": self.zone,
            "version": "1",
            "slots": SLOTS,
            "state": "draining" if self._leaving else "in_service",
            "coldLeftMs": 0,
            "seqNo": next(_serial),
            "born": self._born,
            **self._held_models(),
        }
        await self._store.put_entry(self.identity, msgspec.json.encode(entry))

    def _held_models(self) -> dict[str, object]:
        return {}

    def _statement(self) -> list[tuple[str, str]]:
        """Returns the header with which a leaving target says so."""
        return [("server-leaving", "1")] if self._leaving else []

    async def _handle(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        intended = request.header("carobsail-target-instance")
        if intended not in (None, self.identity):
            headers = [("carobsail-instance-id", self.identity)]
            await responder.send(421, headers, b"")
        elif self.mode == "mute":
            await responder.disconnected.wait()
        elif request.path.startswith("/v1/"):
            await self._control(request, responder)
        else:
            await self._serve(request, responder)

    async def _control(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        await responder.send(404, [], b"")

    async def _serve(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        name = request.header("carobsail-request-id") or ""
        if self._running >= SLOTS or not self._can_serve(request):
            status = 421 if self._can_serve(request) is None else 503
            headers = [("carobsail-not-executed", "1"), *self._statement()]
            await responder.send(status, headers, b"")
            return
        loop = asyncio.get_running_loop()
        signature = f"{self.identity}.{self._rng.getrandbits(32):08x}"
        run = Run(
            name,
            self.identity,
            self.service,
            loop.time(),
            signature=signature,
            born=self._born,
        )
        self._record.add_run(run)
        self._running += 1
        work = asyncio.create_task(self._answer(request, responder, run))
        disconnected = asyncio.create_task(responder.disconnected.wait())
        try:
            await asyncio.wait(
                {work, disconnected}, return_when="FIRST_COMPLETED"
            )
        finally:
            work.cancel()
            disconnected.cancel()
            await asyncio.wait({work, disconnected})
            run.ended_at = loop.time()
            self._running -= 1

    def _can_serve(self, request: httpserver.Request) -> bool | None:
        """Whether it can serve a request; None if it lacks model or adapter."""
        del request
        return True

    async def _answer(
        self,
        request: httpserver.Request,
        responder: httpserver.Responder,
        run: Run,
    ) -> None:
        headers = [
            ("carobsail-request-id", run.request_id),
            ("carobsail-server-seal", run.signature),
            ("carobsail-server-load", f"{self._running},0,{SLOTS}"),
            *self._statement(),
        ]
        run.says_leaving = self._leaving
        if self.mode == "errors" and self._rng.random() < 0.4:
            await responder.send(500, headers, b"failed")
            return
        await self._produce(request, responder, headers, run)

    async def _produce(
        self,
        request: httpserver.Request,
        responder: httpserver.Responder,
        headers: list[tuple[str, str]],
        run: Run,
    ) -> None:
        if request.path.endswith(DEADLY_PATH):
            await asyncio.sleep(MEAN_WORK_S)
            self._record.deadly_lookup_crashes.append(
                asyncio.get_running_loop().time()
            )
            self.crash_task = asyncio.create_task(self._crash_and_restart())
            await asyncio.Event().wait()
        await asyncio.sleep(MEAN_WORK_S * self._rng.uniform(0.5, 2.0))
        body = expected_body(run.request_id)
        if self.mode == "lost":
            responder.abort()
        elif self.mode == "cut":
            length = ("content-length", str(len(body)))
            await responder.start(200, [*headers, length])
            await responder.write(body[: len(body) // 2])
            responder.abort()
        else:
            await responder.send(200, headers, body)


class Engine(Target):
    """A model engine, which holds models and adapters and carries out orders.

    Attributes:
      late_orders: Number of upcoming orders that get no answer and are carried
        out `LATE_ORDER_DELAY_S` later.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        models: list[str],
        store: StoreStandin,
        record: Record,
        rng: random.Random,
    ) -> None:
        """Creates an engine that holds `models` after its first start."""
        super().__init__(name, "llm", zone, store, record, rng)
        self.late_orders = 0
        self._initial_models = models
        self._models: dict[str, set[str]] = {}
        self._loading = ""
        self._loading_adapters: set[tuple[str, str]] = set()
        self._order_count = 0
        self._on_disk: set[str] = set()
        self._in_use: dict[tuple[str, str], int] = {}

    async def start(self, same_identity: bool = False) -> None:
        """See base class; only after the first start it holds models."""
        self._models = {m: set() for m in self._initial_models}
        self._on_disk |= set(self._initial_models)
        self._initial_models = []
        self._loading = ""
        self._loading_adapters.clear()
        self._in_use.clear()
        self._order_count = 0
        await super().start(same_identity)

    def _held_models(self) -> dict[str, object]:
        models = [
            {"name": m, "version": 1, "adapters": sorted(a)}
            for m, a in sorted(self._models.items())
        ]
        at_hand = {"inMemory": [], "onDisk": sorted(self._on_disk)}
        return {"models": models, "atHand": at_hand, "stage": "both"}

    def _can_serve(self, request: httpserver.Request) -> bool | None:
        model, adapter = _requested_model(request)
        if model not in self._models or self._loading == f"-{model}":
            return None
        return True if not adapter or adapter in self._models[model] else None

    async def _control(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        if request.path == "/v1/report":
            body = {
                **self._held_models(),
                "busy": bool(self._loading),
                "seqNo": self._order_count,
                "born": self._born,
                "coming": [
                    f"{m}/{a}@1" for m, a in sorted(self._loading_adapters)
                ],
            }
            await responder.send(200, [], msgspec.json.encode(body))
            return
        order = msgspec.json.decode(request.body)
        now = asyncio.get_running_loop().time()
        received = ReceivedOrder(
            self.identity, order["holder"], order["fenceToken"], now
        )
        self._record.orders.append(received)
        if self.late_orders:
            self.late_orders -= 1
            asyncio.get_running_loop().call_later(
                LATE_ORDER_DELAY_S, self._execute_order, order
            )
            responder.abort()
            return
        await responder.send(self._execute_order(order), [], b"")

    def _execute_order(self, order: dict[str, str]) -> int:
        """Carries out an order and returns the HTTP status."""
        if not self.alive:
            return 503
        expected = order.get("expected", self._order_count)
        if self._loading or int(expected) != self._order_count:
            return 409
        model, adapter = order["model"], order.get("adapter", "")
        load = order["opType"] == "load"
        if adapter:
            return self._execute_adapter_order(model, adapter, load)
        if (model in self._models) == load:
            return 200
        self._order_count += 1
        asyncio.ensure_future(self._change_model(model, load))
        return 202

    def _execute_adapter_order(
        self, model: str, adapter: str, load: bool
    ) -> int:
        adapters = self._models.get(model)
        if adapters is None:
            return 400
        if not load:
            if adapter not in adapters:
                return 200
            self._order_count += 1
            if self._in_use.get((model, adapter)):
                asyncio.ensure_future(self._unload_adapter(model, adapter))
                return 202
            adapters.discard(adapter)
            return 200
        if adapter in adapters or (model, adapter) in self._loading_adapters:
            return 200
        self._order_count += 1
        used_slots = sum(map(len, self._models.values())) + len(
            self._loading_adapters
        )
        if used_slots >= ADAPTER_SLOTS:
            self._record.engine_faults.append(
                f"{self.identity}: adapter {model}/{adapter} beyond the places"
            )
        self._loading_adapters.add((model, adapter))
        asyncio.ensure_future(self._load_adapter(model, adapter))
        return 202

    async def _load_adapter(self, model: str, adapter: str) -> None:
        identity = self.identity
        await asyncio.sleep(ADAPTER_LOAD_S)
        self._loading_adapters.discard((model, adapter))
        if self.identity == identity and model in self._models:
            self._models[model].add(adapter)

    async def _unload_adapter(self, model: str, adapter: str) -> None:
        await polling.until(lambda: not self._in_use.get((model, adapter)))
        self._models.get(model, set()).discard(adapter)

    async def _change_model(self, model: str, load: bool) -> None:
        """Loads or unloads a model."""
        identity, born = self.identity, self._born
        self._loading = model if load else f"-{model}"
        if load:
            used_mb = MODEL_MB * (len(self._models) + 1)
            if used_mb > ENGINE_MB:
                self._record.engine_faults.append(
                    f"{identity}: {used_mb} MB with {model}"
                )
            on_disk = model in self._on_disk
            await asyncio.sleep(DISK_LOAD_S if on_disk else STORE_LOAD_S)
        else:
            await polling.until(
                lambda: (
                    not any(
                        n
                        for (name, _), n in self._in_use.items()
                        if name == model
                    )
                )
            )
        if (self.identity, self._born) != (identity, born) or not self.alive:
            return
        self._loading = ""
        if load:
            self._models[model] = set()
            self._on_disk.add(model)
        else:
            self._models.pop(model, None)

    async def _produce(
        self,
        request: httpserver.Request,
        responder: httpserver.Responder,
        headers: list[tuple[str, str]],
        run: Run,
    ) -> None:
        key = _requested_model(request)
        self._in_use[key] = self._in_use.get(key, 0) + 1
        try:
            await self._stream(request, responder, headers, run)
        finally:
            if key in self._in_use:
                self._in_use[key] -= 1

    async def _stream(
        self,
        request: httpserver.Request,
        responder: httpserver.Responder,
        headers: list[tuple[str, str]],
        run: Run,
    ) -> None:
        run.resumed_after = int(request.header("last-event-id") or 0)
        count = expected_event_count(run.request_id)
        kind = ("content-type", "text/event-stream")
        prompt = request.header("carobsail-prompt-prefix") or ""
        events_before_crash = count
        if f",{DEADLY_PART}:" in prompt:
            # Nothing, the head, or events; drawn anew for each request.
            events_before_crash = random.Random(run.request_id).randrange(-1, 3)
            if events_before_crash < 0:
                await self._crash_on_prompt()
        await responder.start(200, [*headers, kind])
        for number in range(run.resumed_after + 1, count + 1):
            if number > run.resumed_after + events_before_crash:
                await self._crash_on_prompt()
            await asyncio.sleep(EVENT_INTERVAL_S)
            event = expected_event(run.request_id, number)
            if self.mode in ("cut", "lost") and number == count // 2 + 1:
                await responder.write(event[: len(event) // 2])
                responder.abort()
                return
            await responder.write(event)
        await responder.finish()

    async def _crash_on_prompt(self) -> None:
        """Crashes because of the prompt of a request; does not return."""
        self._record.deadly_crashes.append(asyncio.get_running_loop().time())
        self.crash_task = asyncio.create_task(self._crash_and_restart())
        await asyncio.Event().wait()


def _requested_model(request: httpserver.Request) -> tuple[str, str]:
    """Returns the model and the adapter that a request names."""
    model, _, adapter = (request.header("carobsail-model") or "").partition("/")
    return model, adapter
