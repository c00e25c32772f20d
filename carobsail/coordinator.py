"""The coordinator: reads engines' reports, plans model moves and sends orders.

The coordinator is the instance that holds the order lease; log events and the
store key call it `order giver`. It also collects the summaries of all instances
and relays the store's changes to them; see `coordination`. `Coordinator` runs
on every instance and acts only while the instance holds the lease. A period in
which it does is called a term.
"""

import asyncio
import logging
import math
from collections.abc import Callable, Coroutine

from carobsail import (
    copyplan,
    demandtracker,
    engineorders,
    errors,
    modelspeed,
    modelvalue,
    orderlease,
    routetable,
    starvation,
    storeera,
    summaries,
    targetregistry,
    telemetry,
)
from carobsail.engineorders import EngineRecord, Order, Verb

# Time between two rounds of planning.
ROUND_INTERVAL_S = 0.1
# Fraction of CPU time that planning may use: the coordinator serves callers as
# well, and a plan for thousands of engines takes 0.1 s.
PLANNING_CPU_SHARE = 0.1
# Time between the announcement of an unload and its order, in which the other
# instances learn that they must send no new requests for the model.
UNLOAD_NOTICE_S = 0.15
# Time between two log lines about the same model that stays without a copy.
DECLINED_LOG_INTERVAL_S = 2.0
# Fraction of the weight store's rate limit that is used: loads started by the
# previous lease holder may fall into the same window.
STORE_RATE_UTILISATION = 0.95

_log = logging.getLogger(__name__)


class Coordinator:
    """Plans model moves and gives orders while this instance holds the lease.

    Attributes:
      demand: Demand and load reported by all instances.
      model_speeds: How fast engines serve each model.
    """

    def __init__(
        self,
        lease: orderlease.OrderLease,
        targets: targetregistry.TargetRegistry,
        order_client: engineorders.EngineOrderClient,
        boot_clock: Callable[[], float],
        on_holdings_changed: Callable[[list[summaries.Holding]], None],
        on_plan_changed: Callable[[], None],
        load_window_s: float,
        metrics: telemetry.Metrics,
    ) -> None:
        """Creates a coordinator that is not in a term.

        Args:
          lease: The order lease as this instance knows it.
          targets: All known targets.
          order_client: Sends orders to engines.
          boot_clock: Clock that includes time for which the machine was
            suspended.
          on_holdings_changed: Called with the holdings that changed.
          on_plan_changed: Called when the models planned to be loaded changed.
          load_window_s: Window of the weight store's rate limit, in seconds.
          metrics: Receives counters and timings.
        """
        self.demand = demandtracker.DemandTracker()
        self.model_speeds = modelspeed.ModelSpeeds()
        self._lease = lease
        self._targets = targets
        self._order_client = order_client
        order_client.on_leaving = self._record_leaving
        self._boot_clock = boot_clock
        self._on_holdings_changed = on_holdings_changed
        self._on_plan_changed = on_plan_changed
        self._load_window_s = load_window_s
        self._metrics = metrics
        self._records: dict[str, EngineRecord] = {}
        self._store_load_times: list[float] = []
        self._unserved_models = starvation.UnservedModels(
            modelvalue.PLANNING_HORIZON_S
        )
        # When each model that stays without a copy was last logged, by service
        # and model.
        self._declined_logged_at: dict[tuple[str, str], float] = {}
        self._next_plan_at = float("-inf")
        self._term = 0
        self._term_fence = 0
        self._engine_pools: dict[str, routetable.EnginePool] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def add_summary(self, summary: summaries.Summary, now: float) -> None:
        """Adds an instance's summary."""
        self.demand.add_summary(summary, now)
        for use in summary.adapter_uses:
            record = self._records.get(use.target)
            if record is not None:
                record.last_used_at[use.model, use.adapter] = now

    def holdings(self) -> list[summaries.Holding]:
        """Returns the usable models of each engine that is in sync."""
        return [
            _holding(record)
            for record in self._records.values()
            if record.in_sync
        ]

    def incoming_models(self, now: float) -> list[summaries.IncomingModel]:
        """Returns the models being loaded or planned to be, with their times.

        Of several copies of a model, the one that is usable first counts.
        """
        soonest: dict[tuple[str, str], float] = {}
        for record in self._records.values():
            target = self._targets.get(record.identity)
            if target is None:
                continue
            left_by_model: dict[str, float] = {}
            if record.loading:
                left_by_model[record.loading] = max(
                    0.0, record.busy_until - now
                )
            for order in record.pending:
                if order.verb is Verb.LOAD:
                    left_by_model[order.model] = self._order_duration_s(
                        record, order
                    )
            for model, left_s in left_by_model.items():
                key = (target.entry.service, model)
                soonest[key] = min(left_s, soonest.get(key, left_s))
        return [summaries.IncomingModel(*key, s) for key, s in soonest.items()]

    def run_round(self, table: routetable.RouteTable) -> None:
        """Does the work that is due; starts calls without waiting for them."""
        now = asyncio.get_running_loop().time()
        services = table.services.values()
        if not self._lease.fence:
            self._end_term()
            return
        if self._term != self._lease.term:
            self._end_term()
            self._term = self._lease.term
            # The previous holder may have started loads in the window until
            # now.
            half_window_s = self._load_window_s / 2.0
            rates = [s.pool.loads_per_s for s in services if s.pool]
            self._store_load_times = [
                now - half_window_s
            ] * self._store_loads_per_window(0.5 * sum(rates))
        self._term_fence = self._lease.fence
        self._engine_pools = {s.name: s.pool for s in services if s.pool}
        self.demand.update_rates(now)
        self._sync_records(table)
        # Reports may be requested before the first order is allowed.
        self._read_engines(now)
        if not self._lease.may_send_orders(self._boot_clock()):
            return
        self._send_pending_orders(now)
        for name, pool in self._engine_pools.items():
            self._load_missing_adapters(name, pool, now)
        if now < self._next_plan_at:
            return
        for name, pool in self._engine_pools.items():
            self._plan_models(name, pool, now)
        planning_s = asyncio.get_running_loop().time() - now
        self._metrics.record_duration_ms("plan", 1000.0 * planning_s)
        self._next_plan_at = now + planning_s / PLANNING_CPU_SHARE

    def _end_term(self) -> None:
        if self._term:
            telemetry.log(
                _log,
                "order_term_ended",
                fence=storeera.describe(self._term_fence),
            )
        self._term = 0
        self._records.clear()
        self._unserved_models.clear()
        self._declined_logged_at.clear()

    def _store_loads_per_window(self, per_s: float) -> int:
        """Returns the loads that the weight store's rate allows in a window."""
        return int(per_s * self._load_window_s * STORE_RATE_UTILISATION)

    def _sync_records(self, table: routetable.RouteTable) -> None:
        """Adds and removes records as engines are listed, restart or leave."""
        present = {}
        for target in self._targets.all():
            service = table.services.get(target.entry.service)
            if service and service.pool and not target.leaving:
                present[target.entry.identity] = target
        for identity in [i for i in self._records if i not in present]:
            del self._records[identity]
        for identity, target in present.items():
            record = self._records.get(identity)
            entry = target.entry
            if (
                record is None
                or record.address != entry.address
                or (
                    record.start_time_ms
                    and entry.start_time_ms > record.start_time_ms
                )
            ):
                self._records[identity] = EngineRecord(identity, entry.address)

    def _record_leaving(self, identity: str) -> None:
        """Gives no further orders to an engine that says it is leaving."""
        target = self._targets.get(identity)
        if target is not None and self._targets.record_leaving(target.entry):
            telemetry.log(
                _log,
                "target_says_leaving",
                target=identity,
                entry_revision=storeera.describe(target.entry.revision),
                entry_leaving=target.entry.leaving,
            )

    def _read_engines(self, now: float) -> None:
        for record in self._records.values():
            overdue = (
                bool(record.loading or record.unloading)
                and now >= record.busy_until
            )
            stale = (
                not record.in_sync or overdue or record.has_unconfirmed_adapters
            )
            if (
                stale
                and not record.call_in_flight
                and now >= record.next_read_at
            ):
                self._start_call(record, self._read_engine(record))

    def _start_call(
        self, record: EngineRecord, call: Coroutine[None, None, None]
    ) -> None:
        record.call_in_flight = True
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: self._call_ended(record))

    def _call_ended(self, record: EngineRecord) -> None:
        record.call_in_flight = False
        if self._term:
            self._send_next_adapter_order(record)

    async def _read_engine(self, record: EngineRecord) -> None:
        report = await self._order_client.report(
            record.identity, record.address
        )
        now = asyncio.get_running_loop().time()
        record.next_read_at = now + engineorders.UNANSWERED_RETRY_S
        if isinstance(report, errors.Failure):
            telemetry.log(
                _log,
                "engine_not_read",
                target=record.identity,
                reason=str(report.reason),
                detail=report.detail,
            )
            return
        if record.is_stale(report):
            # A report may be some 100 ms old; the next one is newer.
            return
        if record.apply_report(report):
            self._publish_holdings(record)

    def _publish_holdings(self, record: EngineRecord) -> None:
        if record.in_sync and self._lease.fence:
            self._on_holdings_changed([_holding(record)])

    def _send_pending_orders(self, now: float) -> None:
        for record in self._records.values():
            if record.complete_adapter_loads(now):
                self._publish_holdings(record)
            if not record.pending or not record.accepts_orders(now):
                continue
            order = record.pending[0]
            if order.verb is Verb.LOAD and not self._model_fits(
                record, order.model
            ):
                telemetry.log(
                    _log,
                    "model_move_dropped",
                    target=record.identity,
                    load=order.model,
                    held=",".join(sorted(record.holdings)),
                )
                record.pending.clear()
                continue
            self._start_call(record, self._send_order(record, order))

    def _model_fits(self, record: EngineRecord, name: str) -> bool:
        """Whether one more model fits into an engine's memory now."""
        pool = self._engine_pool(record)
        if pool is None:
            return False
        names = {*record.holdings, name}
        if any(n not in pool.models for n in names):
            return False
        size_mb = sum(pool.models[n].size_mb for n in names)
        return size_mb <= pool.model_memory_mb

    def _engine_pool(
        self, record: EngineRecord
    ) -> routetable.EnginePool | None:
        """Returns the properties shared by the engines of a service."""
        target = self._targets.get(record.identity)
        return self._engine_pools.get(target.entry.service) if target else None

    async def _send_order(self, record: EngineRecord, order: Order) -> None:
        """Sends one order, if the lease still allows it."""
        loop = asyncio.get_running_loop()
        if not self._lease.may_send_orders(self._boot_clock()):
            return
        fence = self._lease.fence
        verdict = await self._order_client.order(
            record.identity,
            record.address,
            order,
            record.accepted_orders,
            self._lease.me.instance,
            fence,
        )
        now = loop.time()
        failed = isinstance(verdict, errors.Failure)
        telemetry.log(
            _log,
            "order_given",
            target=record.identity,
            verb=str(order.verb),
            model=order.model,
            adapter=order.adapter,
            orders_before=record.accepted_orders,
            fence=storeera.describe(fence),
            verdict=str(verdict),
        )
        if failed or verdict in (
            engineorders.Verdict.CONFLICT,
            engineorders.Verdict.FENCED,
        ):
            self._metrics.count("orders_failed")
            # The same order may be repeated: because of the order count in it,
            # only one takes effect.
            record.in_sync = False
            record.next_order_at = now + engineorders.UNANSWERED_RETRY_S / 2.0
            record.next_read_at = record.next_order_at
            return
        assert isinstance(verdict, engineorders.Verdict)
        self._metrics.count("orders_accepted")
        if record.pending and record.pending[0] == order:
            record.pending.pop(0)
        record.order_accepted(order, verdict, now)
        if not order.adapter:
            record.busy_until = now + self._order_duration_s(record, order)
        self._publish_holdings(record)

    def _order_duration_s(self, record: EngineRecord, order: Order) -> float:
        """Returns the expected duration of a model order."""
        if order.verb is Verb.UNLOAD:
            return engineorders.DEFAULT_ORDER_DURATION_S
        pool = self._engine_pool(record)
        model = pool.models.get(order.model) if pool else None
        if model is None:
            return engineorders.DEFAULT_ORDER_DURATION_S
        if order.model in record.in_memory:
            return model.memory_load_s
        if order.model in record.on_disk:
            return model.disk_load_s
        return model.store_load_s

    def _free_in_s(self, record: EngineRecord, now: float) -> float:
        """Returns the seconds until the engine's model orders should end.

        Infinite if that is unknown: a report is missing or an order overdue.
        """
        left_s = sum(
            self._order_duration_s(record, order) for order in record.pending
        )
        if record.loading or record.unloading:
            left_s += record.busy_until - now
        return left_s if record.in_sync and left_s > 0.0 else math.inf

    def _load_missing_adapters(
        self, service: str, pool: routetable.EnginePool, now: float
    ) -> None:
        """Loads each adapter that requests wait for at one engine."""
        loads = self.demand.load_by_target(now)
        records = self._records_of_service(service)
        for model, adapter in self._missing_adapters(service, records, now):
            free = [
                e
                for e in records
                if e.accepts_orders(now) and model in e.usable_models()
            ]
            if not free:
                continue
            # Prefers an engine with a place for an adapter, then the one with
            # the fewest requests in flight.
            best = min(
                free,
                key=lambda e: (
                    len(e.occupying_adapters()) >= pool.adapter_slots,
                    loads[e.identity].in_flight if e.identity in loads else 0,
                    e.identity,
                ),
            )
            order = engineorders.plan_adapter_order(
                best, model, adapter, pool.adapter_slots, now
            )
            if order is not None:
                self._start_call(best, self._send_order(best, order))

    def _missing_adapters(
        self, service: str, records: list[EngineRecord], now: float
    ) -> list[tuple[str, str]]:
        """Returns adapters that requests wait for and that no engine holds."""
        held = {
            key for record in records for key in record.occupying_adapters()
        }
        return [
            (model, adapter)
            for name, model, adapter in self.demand.waiting_requests(now)
            if name == service and adapter and (model, adapter) not in held
        ]

    def _send_next_adapter_order(self, record: EngineRecord) -> None:
        """Sends an engine its next adapter order once a call has ended.

        Load pattern: only one engine accepts orders for the adapters of a busy
        model. With one order per round, and two orders to replace an adapter,
        it loaded only five adapters per second.
        """
        now = asyncio.get_running_loop().time()
        target = self._targets.get(record.identity)
        if target is None or not record.accepts_orders(now):
            return
        if not self._lease.may_send_orders(self._boot_clock()):
            return
        service = target.entry.service
        pool = self._engine_pools.get(service)
        if pool is None or self._records.get(record.identity) is not record:
            return
        usable = record.usable_models()
        records = self._records_of_service(service)
        for model, adapter in self._missing_adapters(service, records, now):
            if model not in usable:
                continue
            order = engineorders.plan_adapter_order(
                record, model, adapter, pool.adapter_slots, now
            )
            if order is not None:
                self._start_call(record, self._send_order(record, order))
                return

    def _records_of_service(self, service: str) -> list[EngineRecord]:
        found = []
        for record in self._records.values():
            target = self._targets.get(record.identity)
            if target is not None and target.entry.service == service:
                found.append(record)
        return found

    def _plan_models(
        self, service: str, pool: routetable.EnginePool, now: float
    ) -> None:
        """Plans model moves for the engines that accept orders."""
        if not self.demand.warmed_up(now):
            return
        loads = self.demand.load_by_target(now)
        states = []
        for record in self._records_of_service(service):
            target = self._targets.get(record.identity)
            assert target is not None
            states.append(
                engine_state(
                    record,
                    target,
                    loads.get(record.identity),
                    self._free_in_s(record, now),
                )
            )
        self._store_load_times = [
            at
            for at in self._store_load_times
            if now - at < self._load_window_s
        ]
        allowed = self._store_loads_per_window(pool.loads_per_s) - len(
            self._store_load_times
        )
        self._unserved_models.update(
            service,
            self.demand.last_requested_at(service),
            {m for s in states for m in s.models if m != s.loading},
            now,
        )
        demand = self.demand.demand_by_model(
            service,
            now,
            self.model_speeds.speedups(service),
            self._unserved_models.unserved_s(service, now),
        )
        declined: list[copyplan.DeclinedLoad] = []
        moves = copyplan.plan(pool, states, demand, allowed, now, declined)
        self._log_declined_loads(service, declined, demand, states, now)
        for move in moves:
            record = self._records[move.engine]
            record.pending = [
                *(Order(Verb.UNLOAD, name) for name in move.unload),
                Order(Verb.LOAD, move.load),
            ]
            if move.unload:
                record.next_order_at = now + UNLOAD_NOTICE_S
            if move.from_store:
                self._store_load_times.append(now)
            model_demand = demand.get(move.load, modelvalue.ModelDemand())
            telemetry.log(
                _log,
                "model_move_planned",
                target=move.engine,
                load=move.load,
                unload=",".join(move.unload),
                from_store=move.from_store,
                net=move.net_gain,
                per_s=model_demand.per_s,
                speedup=model_demand.speedup,
                waiting=model_demand.waiting_requests,
                unserved_s=model_demand.unserved_s,
            )
            self._publish_holdings(record)
            self._on_plan_changed()

    def _log_declined_loads(
        self,
        service: str,
        declined: list[copyplan.DeclinedLoad],
        demand: dict[str, modelvalue.ModelDemand],
        states: list[copyplan.EngineState],
        now: float,
    ) -> None:
        """Logs why requested models stay without a copy."""
        for load in declined:
            key = (service, load.model)
            logged_at = self._declined_logged_at.get(key, float("-inf"))
            if now - logged_at < DECLINED_LOG_INTERVAL_S:
                continue
            self._declined_logged_at[key] = now
            telemetry.log(
                _log,
                "model_load_declined",
                service=service,
                model=load.model,
                reason=load.reason,
                gain=load.gain,
                net=load.net_gain,
                per_s=demand[load.model].per_s,
                waiting=demand[load.model].waiting_requests,
                unserved_s=demand[load.model].unserved_s,
                engines_with_weights=load.engines_with_weights,
                free_engines=sum(s.accepts_orders for s in states),
                engines=len(states),
            )


def engine_state(
    record: EngineRecord,
    target: targetregistry.Target,
    load: summaries.TargetUsage | None,
    free_in_s: float = math.inf,
) -> copyplan.EngineState:
    """Returns the state of an engine as input to the planner.

    A model with a planned unload is left out; otherwise the next round would
    count its copy and unload another one.
    """
    incoming_model = record.incoming_model()
    models = set(record.usable_models())
    if incoming_model:
        models.add(incoming_model)
    return copyplan.EngineState(
        record.identity,
        target.entry.data_centre,
        frozenset(models),
        record.in_sync and not record.busy and not record.call_in_flight,
        record.in_memory,
        record.on_disk,
        load.in_flight if load else 0,
        incoming_model,
        free_in_s,
    )


def _holding(record: EngineRecord) -> summaries.Holding:
    usable = record.usable_models()
    return summaries.Holding(
        record.identity, {m: sorted(a) for m, a in usable.items()}
    )
