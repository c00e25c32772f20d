"""Stand-ins of plain targets and model engines, by the platform's protocol."""

import asyncio
import itertools
import random

import msgspec

from carobsail import httpserver
from soak import polling
from soak.proxy import Link
from soak.records import OrderSeen, Record, Run, body_of, event_of, events_of
from soak.storestandin import StoreStandin

HEARTBEAT_S = 1.2
# An entry that was not written for this long is removed.
SILENT_S = 3 * HEARTBEAT_S
# A target that leaves serves on for the drain bound and a little longer.
LINGER_S = 4.0
SLOTS = 16
# Shorter than on the users' sheets, so that a minute sees many loads.
STORE_LOAD_S = 1.5
HAND_LOAD_S = 0.3
MODEL_MB = 70_000
ENGINE_MB = 230_000
ADAPTER_PLACES = 2
ADAPTER_S = 0.02
EVENT_S = 0.04
WORK_S = 0.03
# A second answer to an order that an engine carries out late.
LATE_ORDER_S = 2.0

_serial = itertools.count(1)


class Target:
    """A target with its port and its link.

    Attributes:
      identity: Identity of this start.
      mode: How it misbehaves: empty, `errors`, `cut`, `mute` or `lost`.
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
        """Creates a target that does not run yet."""
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
        self._beat: asyncio.Task[None] | None = None
        self._leaving = False
        self._running = 0
        self._born = 0

    @property
    def alive(self) -> bool:
        """Whether it runs."""
        return self._server is not None

    async def start(self, same_identity: bool = False) -> None:
        """Starts anew, with nothing of before."""
        if not (same_identity and self.identity):
            self.identity = f"{self.name}-{next(_serial)}"
        self._record.leaving.pop(self.identity, None)
        self._born = max(self._born + 1, 1_000_000 + next(_serial))
        self._leaving = False
        self._running = 0
        if not self.link.port:
            await self.link.open()
        self._server = await httpserver.serve(
            "127.0.0.1",
            0,
            self._handle,
            httpserver.ServerLimits(),
            self.identity,
        )
        self.link.lead_to(self._server.port)
        self._beat = asyncio.create_task(self._beat_on())

    async def crash(self) -> None:
        """Ends at once and says nothing; the store forgets it later."""
        server, self._server = self._server, None
        if server is None:
            return
        self.link.lead_to(0)
        if self._beat is not None:
            self._beat.cancel()
        await server.close()
        asyncio.get_running_loop().call_later(
            SILENT_S, self._forget, self.identity
        )

    def _forget(self, identity: str) -> None:
        if not self.alive or self.identity != identity:
            asyncio.ensure_future(self._store.delete_entry(identity))

    async def leave(self, reported: bool = True) -> None:
        """Serves on for a while and ends.

        Args:
          reported: Whether it reports that it drains. Otherwise its entry is
            removed at once, which is all that the instances learn.
        """
        if not self.alive or self._leaving:
            return
        self._leaving = True
        identity = self.identity
        await polling.until(lambda: not self._store.down)
        if reported:
            await self._write_entry()
        else:
            if self._beat is not None:
                self._beat.cancel()
            await self._store.delete_entry(identity)
        self._record.leaving[identity] = asyncio.get_running_loop().time()
        await asyncio.sleep(LINGER_S)
        if self.identity == identity:
            await self._store.delete_entry(identity)
            await self.crash()

    async def _beat_on(self) -> None:
        while True:
            if not self._store.down:
                await self._write_entry()
            await asyncio.sleep(HEARTBEAT_S)

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
            **self._holdings(),
        }
        await self._store.put_entry(self.identity, msgspec.json.encode(entry))

    def _holdings(self) -> dict[str, object]:
        return {}

    async def _handle(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        meant = request.header("carobsail-target-instance")
        if meant not in (None, self.identity):
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
        if self._running >= SLOTS or not self._able(request):
            status = 421 if self._able(request) is None else 503
            headers = [("carobsail-not-executed", "1")]
            await responder.send(status, headers, b"")
            return
        loop = asyncio.get_running_loop()
        seal = f"{self.identity}.{self._rng.getrandbits(32):08x}"
        run = Run(name, self.identity, self.service, loop.time(), seal=seal)
        self._record.run(run)
        self._running += 1
        work = asyncio.create_task(self._answer(request, responder, run))
        left = asyncio.create_task(responder.disconnected.wait())
        try:
            await asyncio.wait({work, left}, return_when="FIRST_COMPLETED")
        finally:
            work.cancel()
            left.cancel()
            await asyncio.wait({work, left})
            run.ended_at = loop.time()
            self._running -= 1

    def _able(self, request: httpserver.Request) -> bool | None:
        """Whether it serves what the request names; None if it lacks it."""
        del request
        return True

    async def _answer(
        self,
        request: httpserver.Request,
        responder: httpserver.Responder,
        run: Run,
    ) -> None:
        headers = [
            ("carobsail-request-id", run.request),
            ("carobsail-server-seal", run.seal),
            ("carobsail-server-load", f"{self._running},0,{SLOTS}"),
        ]
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
        del request
        await asyncio.sleep(WORK_S * self._rng.uniform(0.5, 2.0))
        body = body_of(run.request)
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
    """A model engine: holds models and adapters and carries out orders.

    Attributes:
      late_orders: Number of coming orders whose answer is lost and that are
        carried out seconds later.
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
        """Creates an engine that starts with these models."""
        super().__init__(name, "llm", zone, store, record, rng)
        self.late_orders = 0
        self._first = models
        self._models: dict[str, set[str]] = {}
        self._loading = ""
        self._coming: set[tuple[str, str]] = set()
        self._orders = 0
        self._on_disk: set[str] = set()
        self._using: dict[tuple[str, str], int] = {}

    async def start(self, same_identity: bool = False) -> None:
        """See base class; only the first start holds models."""
        self._models = {m: set() for m in self._first}
        self._on_disk |= set(self._first)
        self._first = []
        self._loading = ""
        self._coming.clear()
        self._using.clear()
        self._orders = 0
        await super().start(same_identity)

    def _holdings(self) -> dict[str, object]:
        held = [
            {"name": m, "version": 1, "adapters": sorted(a)}
            for m, a in sorted(self._models.items())
        ]
        at_hand = {"inMemory": [], "onDisk": sorted(self._on_disk)}
        return {"models": held, "atHand": at_hand, "stage": "both"}

    def _able(self, request: httpserver.Request) -> bool | None:
        model, adapter = _named(request)
        if model not in self._models or self._loading == f"-{model}":
            return None
        return True if not adapter or adapter in self._models[model] else None

    async def _control(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        if request.path == "/v1/report":
            body = {
                **self._holdings(),
                "busy": bool(self._loading),
                "seqNo": self._orders,
                "born": self._born,
                "coming": [f"{m}/{a}@1" for m, a in sorted(self._coming)],
            }
            await responder.send(200, [], msgspec.json.encode(body))
            return
        order = msgspec.json.decode(request.body)
        now = asyncio.get_running_loop().time()
        seen = OrderSeen(
            self.identity, order["holder"], order["fenceToken"], now
        )
        self._record.orders.append(seen)
        if self.late_orders:
            self.late_orders -= 1
            asyncio.get_running_loop().call_later(
                LATE_ORDER_S, self._carry_out, order
            )
            responder.abort()
            return
        await responder.send(self._carry_out(order), [], b"")

    def _carry_out(self, order: dict[str, str]) -> int:
        """Carries out an order; returns the status."""
        if not self.alive:
            return 503
        expected = order.get("expected", self._orders)
        if self._loading or int(expected) != self._orders:
            return 409
        model, adapter = order["model"], order.get("adapter", "")
        load = order["opType"] == "load"
        if adapter:
            return self._carry_out_adapter(model, adapter, load)
        if (model in self._models) == load:
            return 200
        self._orders += 1
        asyncio.ensure_future(self._move(model, load))
        return 202

    def _carry_out_adapter(self, model: str, adapter: str, load: bool) -> int:
        held = self._models.get(model)
        if held is None:
            return 400
        if not load:
            if adapter not in held:
                return 200
            self._orders += 1
            if self._using.get((model, adapter)):
                asyncio.ensure_future(self._drop_adapter(model, adapter))
                return 202
            held.discard(adapter)
            return 200
        if adapter in held or (model, adapter) in self._coming:
            return 200
        self._orders += 1
        taken = sum(map(len, self._models.values())) + len(self._coming)
        if taken >= ADAPTER_PLACES:
            self._record.faults.append(
                f"{self.identity}: adapter {model}/{adapter} beyond the places"
            )
        self._coming.add((model, adapter))
        asyncio.ensure_future(self._bring_adapter(model, adapter))
        return 202

    async def _bring_adapter(self, model: str, adapter: str) -> None:
        identity = self.identity
        await asyncio.sleep(ADAPTER_S)
        self._coming.discard((model, adapter))
        if self.identity == identity and model in self._models:
            self._models[model].add(adapter)

    async def _drop_adapter(self, model: str, adapter: str) -> None:
        await polling.until(lambda: not self._using.get((model, adapter)))
        self._models.get(model, set()).discard(adapter)

    async def _move(self, model: str, load: bool) -> None:
        """Loads or unloads a model."""
        identity, born = self.identity, self._born
        self._loading = model if load else f"-{model}"
        if load:
            held = MODEL_MB * (len(self._models) + 1)
            if held > ENGINE_MB:
                self._record.faults.append(
                    f"{identity}: {held} MB with {model}"
                )
            at_hand = model in self._on_disk
            await asyncio.sleep(HAND_LOAD_S if at_hand else STORE_LOAD_S)
        else:
            await polling.until(
                lambda: (
                    not any(
                        n
                        for (name, _), n in self._using.items()
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
        key = _named(request)
        self._using[key] = self._using.get(key, 0) + 1
        try:
            await self._stream(request, responder, headers, run)
        finally:
            if key in self._using:
                self._using[key] -= 1

    async def _stream(
        self,
        request: httpserver.Request,
        responder: httpserver.Responder,
        headers: list[tuple[str, str]],
        run: Run,
    ) -> None:
        run.after = int(request.header("last-event-id") or 0)
        count = events_of(run.request)
        kind = ("content-type", "text/event-stream")
        await responder.start(200, [*headers, kind])
        for number in range(run.after + 1, count + 1):
            await asyncio.sleep(EVENT_S)
            event = event_of(run.request, number)
            if self.mode in ("cut", "lost") and number == count // 2 + 1:
                await responder.write(event[: len(event) // 2])
                responder.abort()
                return
            await responder.write(event)
        await responder.finish()


def _named(request: httpserver.Request) -> tuple[str, str]:
    """Returns the model and the adapter that a request names."""
    model, _, adapter = (request.header("carobsail-model") or "").partition("/")
    return model, adapter
