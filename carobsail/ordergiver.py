"""The term of an order giver: reads engines, plans, orders, tells the others.

Runs on every instance and acts only while the instance holds the lease.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine

from carobsail import (
    copyplan,
    demandbook,
    engineorders,
    errors,
    orderlease,
    routetable,
    summaries,
    targetbook,
    telemetry,
)
from carobsail.engineorders import EngineLedger, Order, Verb

# Time between two rounds of planning.
ROUND_S = 0.1
# Part of the processor's time that plans of moves may take: the order giver
# serves callers as well, and a plan for thousands of engines takes 0.1 s.
PLAN_SHARE = 0.1
# A model that is to be unloaded gets no new requests for this long before, so
# that instances have heard of it.
UNLOAD_NOTICE_S = 0.15
# Part of the weight store's rate that is used: loads that the holder before
# began may fall into the same window.
STORE_RATE_USED = 0.95

_log = logging.getLogger(__name__)


class OrderGiver:
    """Plans and orders while this instance holds the lease.

    Attributes:
      demand: Demand and load of all instances.
    """

    def __init__(
        self,
        lease: orderlease.OrderLease,
        book: targetbook.TargetBook,
        port: engineorders.OrderPort,
        boot_clock: Callable[[], float],
        on_holdings: Callable[[list[summaries.Holding]], None],
        on_plan: Callable[[], None],
        load_window_s: float,
        metrics: telemetry.Metrics,
    ) -> None:
        """Creates an order giver without a term.

        Args:
          lease: The lease of this instance.
          book: Targets.
          port: Sends orders.
          boot_clock: Clock that includes the time of a suspended machine.
          on_holdings: Receives holdings that changed.
          on_plan: Called when the models that are coming changed.
          load_window_s: Window in which loads from the store are counted.
          metrics: Counters.
        """
        self.demand = demandbook.DemandBook()
        self._lease = lease
        self._book = book
        self._port = port
        self._boot_clock = boot_clock
        self._on_holdings = on_holdings
        self._on_plan = on_plan
        self._load_window_s = load_window_s
        self._metrics = metrics
        self._ledgers: dict[str, EngineLedger] = {}
        self._store_loads: list[float] = []
        self._plan_at = float("-inf")
        self._term = 0
        self._engine_pools: dict[str, routetable.EnginePool] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def take(self, summary: summaries.Summary, now: float) -> None:
        """Takes over an instance's summary."""
        self.demand.take(summary, now)
        for use in summary.uses:
            ledger = self._ledgers.get(use.target)
            if ledger is not None:
                ledger.used_at[use.model, use.adapter] = now

    def holdings(self) -> list[summaries.Holding]:
        """Returns what each known engine serves."""
        return [
            _holding(ledger)
            for ledger in self._ledgers.values()
            if ledger.known
        ]

    def coming(self, now: float) -> list[summaries.Coming]:
        """Returns the models that are being loaded or planned."""
        soonest: dict[tuple[str, str], float] = {}
        for ledger in self._ledgers.values():
            target = self._book.get(ledger.identity)
            if target is None:
                continue
            left: dict[str, float] = {}
            if ledger.loading:
                left[ledger.loading] = max(0.0, ledger.busy_until - now)
            for order in ledger.pending:
                if order.verb is Verb.LOAD:
                    left[order.model] = self._duration_s(ledger, order)
            for model, left_s in left.items():
                key = (target.entry.service, model)
                soonest[key] = min(left_s, soonest.get(key, left_s))
        return [summaries.Coming(*key, s) for key, s in soonest.items()]

    def round(self, table: routetable.RouteTable) -> None:
        """Does what is due now; starts calls and does not wait for them."""
        now = asyncio.get_running_loop().time()
        services = table.services.values()
        if not self._lease.fence:
            self._end_term()
            return
        if self._term != self._lease.fence:
            self._end_term()
            self._term = self._lease.fence
            # The holder before may have used the window up to now.
            half = self._load_window_s / 2.0
            rates = [s.pool.loads_per_s for s in services if s.pool]
            self._store_loads = [now - half] * self._loads(0.5 * sum(rates))
        self._engine_pools = {s.name: s.pool for s in services if s.pool}
        self.demand.rate(now)
        self._sync_ledgers(table)
        # Reading is allowed before the first order.
        self._read_engines(now)
        if not self._lease.may_order(self._boot_clock()):
            return
        self._continue_orders(now)
        for name, pool in self._engine_pools.items():
            self._order_adapters(name, pool, now)
        if now < self._plan_at:
            return
        for name, pool in self._engine_pools.items():
            self._plan_models(name, pool, now)
        took_s = asyncio.get_running_loop().time() - now
        self._metrics.time_ms("plan", 1000.0 * took_s)
        self._plan_at = now + took_s / PLAN_SHARE

    def _end_term(self) -> None:
        if self._term:
            telemetry.log(_log, "order_term_ended", fence=self._term)
        self._term = 0
        self._ledgers.clear()

    def _loads(self, per_s: float) -> int:
        """Returns the loads in a window at a rate of the weight store."""
        return int(per_s * self._load_window_s * STORE_RATE_USED)

    def _sync_ledgers(self, table: routetable.RouteTable) -> None:
        """Follows the list of engines."""
        present = {}
        for target in self._book.all():
            service = table.services.get(target.entry.service)
            if service and service.pool and not target.entry.leaving:
                present[target.entry.identity] = target
        for identity in [i for i in self._ledgers if i not in present]:
            del self._ledgers[identity]
        for identity, target in present.items():
            ledger = self._ledgers.get(identity)
            entry = target.entry
            if (
                ledger is None
                or ledger.address != entry.address
                or (ledger.born and entry.born > ledger.born)
            ):
                self._ledgers[identity] = EngineLedger(identity, entry.address)

    def _read_engines(self, now: float) -> None:
        for ledger in self._ledgers.values():
            overdue = (
                bool(ledger.loading or ledger.unloading)
                and now >= ledger.busy_until
            )
            stale = not ledger.known or overdue or ledger.unsettled
            if stale and not ledger.in_call and now >= ledger.read_at:
                self._start(ledger, self._read(ledger))

    def _start(
        self, ledger: EngineLedger, call: Coroutine[None, None, None]
    ) -> None:
        ledger.in_call = True
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: self._call_ended(ledger))

    def _call_ended(self, ledger: EngineLedger) -> None:
        ledger.in_call = False
        if self._term:
            self._go_on(ledger)

    async def _read(self, ledger: EngineLedger) -> None:
        report = await self._port.report(ledger.identity, ledger.address)
        now = asyncio.get_running_loop().time()
        ledger.read_at = now + engineorders.UNCERTAIN_RETRY_S
        if isinstance(report, errors.Failure):
            telemetry.log(
                _log,
                "engine_not_read",
                target=ledger.identity,
                reason=str(report.reason),
                detail=report.detail,
            )
            return
        if ledger.outdated(report):
            # A report may be some 100 ms old; the next one will show it.
            return
        if ledger.read(report):
            self._publish(ledger)

    def _publish(self, ledger: EngineLedger) -> None:
        if ledger.known and self._lease.fence:
            self._on_holdings([_holding(ledger)])

    def _continue_orders(self, now: float) -> None:
        for ledger in self._ledgers.values():
            if ledger.settle(now):
                self._publish(ledger)
            if not ledger.pending or not ledger.takes_orders(now):
                continue
            order = ledger.pending[0]
            if order.verb is Verb.LOAD and not self._fits(ledger, order.model):
                telemetry.log(
                    _log,
                    "model_move_dropped",
                    target=ledger.identity,
                    load=order.model,
                    held=",".join(sorted(ledger.holdings)),
                )
                ledger.pending.clear()
                continue
            self._start(ledger, self._order(ledger, order))

    def _fits(self, ledger: EngineLedger, name: str) -> bool:
        """Whether an engine has room for one more model, as it is known now."""
        pool = self._pool_of(ledger)
        if pool is None:
            return False
        names = {*ledger.holdings, name}
        if any(n not in pool.models for n in names):
            return False
        size_mb = sum(pool.models[n].size_mb for n in names)
        return size_mb <= pool.model_memory_mb

    def _pool_of(self, ledger: EngineLedger) -> routetable.EnginePool | None:
        """Returns what an engine has in common with others of its service."""
        target = self._book.get(ledger.identity)
        return self._engine_pools.get(target.entry.service) if target else None

    async def _order(self, ledger: EngineLedger, order: Order) -> None:
        """Gives one order, if the right to do so still holds."""
        loop = asyncio.get_running_loop()
        if not self._lease.may_order(self._boot_clock()):
            return
        fence = self._lease.fence
        verdict = await self._port.order(
            ledger.identity,
            ledger.address,
            order,
            ledger.orders,
            self._lease.me.instance,
            fence,
        )
        now = loop.time()
        failed = isinstance(verdict, errors.Failure)
        telemetry.log(
            _log,
            "order_given",
            target=ledger.identity,
            verb=str(order.verb),
            model=order.model,
            adapter=order.adapter,
            orders_before=ledger.orders,
            fence=fence,
            verdict=str(verdict),
        )
        if failed or verdict in (
            engineorders.Verdict.CONFLICT,
            engineorders.Verdict.FENCED,
        ):
            self._metrics.count("orders_failed")
            # The same order may be given again: its count lets only one act.
            ledger.known = False
            ledger.retry_at = now + engineorders.UNCERTAIN_RETRY_S / 2.0
            ledger.read_at = ledger.retry_at
            return
        assert isinstance(verdict, engineorders.Verdict)
        self._metrics.count("orders_accepted")
        if ledger.pending and ledger.pending[0] == order:
            ledger.pending.pop(0)
        ledger.accepted(order, verdict, now)
        if not order.adapter:
            ledger.busy_until = now + self._duration_s(ledger, order)
        self._publish(ledger)

    def _duration_s(self, ledger: EngineLedger, order: Order) -> float:
        """Returns how long a model order should take."""
        if order.verb is Verb.UNLOAD:
            return engineorders.OVERDUE_S
        pool = self._pool_of(ledger)
        model = pool.models.get(order.model) if pool else None
        if model is None:
            return engineorders.OVERDUE_S
        if order.model in ledger.in_memory:
            return model.memory_load_s
        if order.model in ledger.on_disk:
            return model.disk_load_s
        return model.store_load_s

    def _order_adapters(
        self, service: str, pool: routetable.EnginePool, now: float
    ) -> None:
        """Brings adapters that requests wait for to an engine each."""
        loads = self.demand.loads(now)
        ledgers = self._of_service(service)
        for model, adapter in self._missing_adapters(service, ledgers, now):
            free = [
                e
                for e in ledgers
                if e.takes_orders(now) and model in e.usable()
            ]
            if not free:
                continue
            # The engine with the fewest adapters in use, then requests.
            best = min(
                free,
                key=lambda e: (
                    len(e.adapters()) >= pool.adapter_places,
                    loads[e.identity].in_flight if e.identity in loads else 0,
                    e.identity,
                ),
            )
            order = engineorders.plan_adapter(
                best, model, adapter, pool.adapter_places, now
            )
            if order is not None:
                self._start(best, self._order(best, order))

    def _missing_adapters(
        self, service: str, ledgers: list[EngineLedger], now: float
    ) -> list[tuple[str, str]]:
        """Returns the adapters that are waited for and that no engine has."""
        held = {key for ledger in ledgers for key in ledger.adapters()}
        return [
            (model, adapter)
            for name, model, adapter in self.demand.needs(now)
            if name == service and adapter and (model, adapter) not in held
        ]

    def _go_on(self, ledger: EngineLedger) -> None:
        """Gives an engine its next adapter order after the one before.

        Load pattern: an engine is the only one that takes orders for the
        adapters of a busy model. With one order in each round, and two for an
        adapter that takes the place of another, it brought five a second.
        """
        now = asyncio.get_running_loop().time()
        target = self._book.get(ledger.identity)
        if target is None or not ledger.takes_orders(now):
            return
        if not self._lease.may_order(self._boot_clock()):
            return
        service = target.entry.service
        pool = self._engine_pools.get(service)
        if pool is None or self._ledgers.get(ledger.identity) is not ledger:
            return
        usable = ledger.usable()
        ledgers = self._of_service(service)
        for model, adapter in self._missing_adapters(service, ledgers, now):
            if model not in usable:
                continue
            order = engineorders.plan_adapter(
                ledger, model, adapter, pool.adapter_places, now
            )
            if order is not None:
                self._start(ledger, self._order(ledger, order))
                return

    def _of_service(self, service: str) -> list[EngineLedger]:
        found = []
        for ledger in self._ledgers.values():
            target = self._book.get(ledger.identity)
            if target is not None and target.entry.service == service:
                found.append(ledger)
        return found

    def _plan_models(
        self, service: str, pool: routetable.EnginePool, now: float
    ) -> None:
        """Plans model moves for the engines that are free."""
        if not self.demand.settled(now):
            return
        loads = self.demand.loads(now)
        states = []
        for ledger in self._of_service(service):
            target = self._book.get(ledger.identity)
            assert target is not None
            states.append(
                engine_state(ledger, target, loads.get(ledger.identity))
            )
        self._store_loads = [
            at for at in self._store_loads if now - at < self._load_window_s
        ]
        allowed = self._loads(pool.loads_per_s) - len(self._store_loads)
        demand = self.demand.of_service(service, now)
        for move in copyplan.plan(pool, states, demand, allowed, now):
            ledger = self._ledgers[move.engine]
            ledger.pending = [
                *(Order(Verb.UNLOAD, name) for name in move.unload),
                Order(Verb.LOAD, move.load),
            ]
            if move.unload:
                ledger.retry_at = now + UNLOAD_NOTICE_S
            if move.from_store:
                self._store_loads.append(now)
            known = demand.get(move.load, copyplan.ModelDemand())
            telemetry.log(
                _log,
                "model_move_planned",
                target=move.engine,
                load=move.load,
                unload=",".join(move.unload),
                from_store=move.from_store,
                net=move.net,
                per_s=known.per_s,
                waiting=known.waiting,
            )
            self._publish(ledger)
            self._on_plan()


def engine_state(
    ledger: EngineLedger,
    target: targetbook.Target,
    load: summaries.EngineLoad | None,
) -> copyplan.EngineState:
    """Returns an engine as the plan sees it.

    A model that is about to be unloaded does not count any more: the next
    round would give up another copy of it.
    """
    coming = ledger.coming_model()
    models = set(ledger.usable())
    if coming:
        models.add(coming)
    return copyplan.EngineState(
        ledger.identity,
        target.entry.data_centre,
        frozenset(models),
        ledger.known and not ledger.busy and not ledger.in_call,
        ledger.in_memory,
        ledger.on_disk,
        load.in_flight if load else 0,
        coming,
    )


def _holding(ledger: EngineLedger) -> summaries.Holding:
    usable = ledger.usable()
    return summaries.Holding(
        ledger.identity, {m: sorted(a) for m, a in usable.items()}
    )
