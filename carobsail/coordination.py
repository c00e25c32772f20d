"""Coordination between instances: the order lease, summaries and updates.

Each instance sends summaries to the coordinator, which sends updates
(`summaries.FleetUpdate`) to all instances. None of this is required for
serving: an instance that receives nothing continues with what it knows itself.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine

from carobsail import (
    accountcoordination,
    changerelay,
    coordinator,
    datagrams,
    demandtracker,
    engineorders,
    keyvalue,
    leasekeeper,
    members,
    orderlease,
    remoteloads,
    serving,
    storeera,
    storemirror,
    summaries,
    targetchoice,
    targetregistry,
    telemetry,
    tokenbucket,
    unreachable,
    wirerevisions,
)

# Interval of summaries: trades the accuracy of the load that instances know of
# each other against traffic between regions, which is billed.
SUMMARY_INTERVAL_S = 0.5
# Interval of urgent summaries while requests wait, as a datagram may be lost.
WAITING_REPEAT_S = 0.3
# Delay before an urgent summary, to send events of this time together.
URGENT_SUMMARY_DELAY_S = 0.01
# How long an unreachable target is reported after a failed connection.
UNREACHABLE_REPORT_S = 1.0
# The known crashes are repeated at the first interval for this long after the
# last news, and then at the second one: they are kept for ten minutes, and an
# instance that starts must learn of them before it is expected to know them.
CRASH_NEWS_S = 5.0
CRASH_NEWS_INTERVAL_S = 0.5
CRASH_REPEAT_S = 1.0
# News of many instances at once, each sent to all, saturated the link between
# regions. Some follow each other at once: a crash, then answers of others.
CRASH_NEWS_PER_S = 2.0
CRASH_NEWS_BURST = 4.0
# A coordinator that repeats no crashes for this long does not know them, for
# example because its process was restarted; the instances then report all that
# they know.
CRASHES_UNKNOWN_S = 2.2
# Number of summaries in which a changed request count is sent.
DEMAND_SENDS = 3
# Number of engines whose unchanged holdings each periodic update repeats, in
# rotation.
REPEATED_HOLDINGS_PER_UPDATE = 4
# Interval between updates with the loads of all targets, in seconds per
# receiving instance: the coordinator's link may have only 5 Mbit/s.
LOAD_INTERVAL_PER_PEER_S = 0.015
# The same for a coordinator with a fast link: engines fill up within a second,
# and requests that are routed by stale loads are late.
FAST_LINK_LOAD_INTERVAL_PER_PEER_S = 0.005
# Request rate of a model above which instances affect each other's choice of
# targets between two updates.
MIN_REPORTED_RATE_PER_S = 1.0
# Holdings that change within this time are sent together: each message goes to
# all instances, and adapters are loaded or unloaded 20 times a second.
BROADCAST_DELAY_S = 0.03
MAX_HOLDINGS_PER_MESSAGE = 10
# With more targets than this, an instance gets only the loads of its own
# region, apart from the first message: 12,000 rows for 330 instances would use
# 27 MB/s of the coordinator's link.
MAX_LOADS_FOR_ALL_REGIONS = 200
# Maximum rows per datagram, which keeps it below 1,400 bytes.
MAX_ROWS_PER_DATAGRAM = 40
# Interval between log lines with the estimated speed of engines.
LATENCY_MODEL_LOG_INTERVAL_S = 5.0
# An event loop that is late by this time is logged: it got no CPU time or the
# machine was suspended, and callers' requests are handled late as well.
LOOP_DELAY_LOG_S = 0.25

_log = logging.getLogger(__name__)


class Coordination:
    """Coordinates this instance with the others.

    Attributes:
      lease: The order lease as this instance knows it.
      keeper: Acquires and renews the lease.
    """

    def __init__(
        self,
        me: orderlease.Holder,
        fast_link: bool,
        location: targetchoice.Location,
        port: int,
        operator_port: int,
        handover_delay_s: float,
        load_window_s: float,
        store: keyvalue.KeyValueClient,
        registry: targetregistry.TargetRegistry,
        request_handler: serving.RequestHandler,
        mirror: storemirror.StoreMirror,
        order_client: engineorders.EngineOrderClient,
        boot_clock: Callable[[], float],
        metrics: telemetry.Metrics,
        rng: random.Random,
    ) -> None:
        """Creates the coordination without opening its socket.

        Args:
          me: This instance.
          fast_link: Whether it has the network link that suits a coordinator.
          location: Data centre of this instance, and the regions of all.
          port: Port of the datagrams, the same on all instances.
          operator_port: Port for operators and peers, the same on all
            instances.
          handover_delay_s: Required seconds between the orders of two
            instances.
          load_window_s: Window of the weight store's rate limit, in seconds.
          store: Client of the key-value store.
          registry: All known targets.
          request_handler: Request path of this instance.
          mirror: This instance's copy of the store.
          order_client: Sends orders to engines.
          boot_clock: Clock that includes time for which the machine was
            suspended.
          metrics: Receives counters and timings.
          rng: Source of jitter.
        """
        self._known_peers = members.KnownPeers(port)
        self.keeper = leasekeeper.LeaseKeeper(
            me,
            fast_link,
            handover_delay_s,
            store,
            self._known_peers,
            boot_clock,
            rng,
            self._on_lease_held,
        )
        self.lease = self.keeper.lease
        self._change_relay = changerelay.ChangeRelay(
            me.address, location.data_centre, operator_port, self._known_peers
        )
        self._me = me
        self._fast_link = fast_link
        self._location = location
        self._port = port
        self._operator_port = operator_port
        self._registry = registry
        self._request_handler = request_handler
        self._mirror = mirror
        self._rng = rng
        self._coordinator = coordinator.Coordinator(
            self.lease,
            registry,
            order_client,
            boot_clock,
            self._holdings_changed,
            self._plan_changed,
            load_window_s,
            metrics,
        )
        self._unreachable = unreachable.UnreachableTargets(location)
        self._incarnation = rng.getrandbits(48)
        self._remote_loads = remoteloads.RemoteLoads(registry)
        self._accounts = accountcoordination.AccountCoordination(
            me,
            self._incarnation,
            self.lease,
            request_handler.accounts,
            store,
            self._known_peers.send,
            lambda: self._send_summary(urgent=True),
        )
        self._message_number = 0
        self._update_fence = 0
        self._update_number = 0
        self._last_listed_targets: set[str] = set()
        self._next_repeated_holding = 0
        self._loads_sent_at = float("-inf")
        self._latency_model_logged_at = float("-inf")
        self._crash_news_at = float("-inf")
        self._crashes_sent_at = float("-inf")
        self._crashes_heard_at = float("-inf")
        self._releasing_lease = False
        self._sent_holdings: dict[str, dict[str, list[str]]] = {}
        self._unsent_holdings: dict[str, summaries.Holding] = {}
        self._incoming_models_unsent = False
        self._broadcast_timer: asyncio.TimerHandle | None = None
        self._crash_news_timer: asyncio.TimerHandle | None = None
        self._crash_news_bucket = tokenbucket.TokenBucket(
            CRASH_NEWS_PER_S, CRASH_NEWS_BURST, 0.0
        )
        self._summary_timer: asyncio.TimerHandle | None = None
        self._sent_demand: dict[tuple[str, str], tuple[int, int]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Opens the socket."""
        loop = asyncio.get_running_loop()
        _, self._known_peers.datagrams = await loop.create_datagram_endpoint(
            lambda: datagrams.Datagrams(self._handle_datagram),
            local_addr=(self._me.address, self._port),
        )

    def close(self) -> None:
        """Closes the socket."""
        if self._known_peers.datagrams is not None:
            self._known_peers.datagrams.close()

    def observe(self, event: keyvalue.WatchEvent) -> None:
        """Applies a change of the order lease's key."""
        self.keeper.observe(event)
        self._accounts.observe(event)
        holder = self.lease.holder
        self._mirror.relay_address = (
            f"{holder.address}:{self._operator_port}" if holder else ""
        )

    def _on_lease_held(self, held: bool) -> None:
        self._mirror.is_relay = held

    def stop_acquiring_lease(self) -> None:
        """Stops acquiring the order lease; a lease that is held is kept.

        Load pattern: instances are restarted one after the other, 2 s apart.
        Each new holder waits for the handover delay before its first order.
        When the lease was released at the first stop signal, engines got no
        order for 9 s.
        """
        self.keeper.stopping = True

    async def release_lease(self) -> None:
        """Releases the order lease just before the process ends."""
        self.stop_acquiring_lease()
        self._releasing_lease = True
        if self.lease.fence:
            # Tells the others to follow the store themselves from now on.
            self._broadcast_update([], [], numbered=True)
        await self.keeper.release()

    # Orders, summaries and updates.

    async def run_rounds(self) -> None:
        """Runs the coordinator's rounds until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + coordinator.ROUND_INTERVAL_S
            await asyncio.sleep(coordinator.ROUND_INTERVAL_S)
            late_s = loop.time() - due_at
            if late_s > LOOP_DELAY_LOG_S:
                telemetry.log(
                    _log,
                    "event_loop_late",
                    late_s=late_s,
                    in_flight=self._request_handler.in_flight,
                )
            if self._request_handler.route_table is not None:
                self._coordinator.run_round(self._request_handler.route_table)

    async def run_summaries(self) -> None:
        """Sends summaries and, as the coordinator, updates until cancelled."""
        while True:
            await asyncio.sleep(
                SUMMARY_INTERVAL_S * self._rng.uniform(0.9, 1.1)
            )
            self._send_summary()
            self._remote_loads.expire(asyncio.get_running_loop().time())
            self._accounts.run_round()
            if self.lease.fence:
                self._send_update()

    def report_waiting(self, service: str, model: str, adapter: str) -> None:
        """Schedules a report to the coordinator that requests wait."""
        del service, model, adapter  # The summary lists all waiting requests.
        self.schedule_urgent_summary()

    def report_crash(self) -> None:
        """Schedules a report that a request may have crashed its target."""
        if self.lease.fence:
            self._schedule_crash_news()
        else:
            self.schedule_urgent_summary()

    def schedule_urgent_summary(self) -> None:
        """Schedules an urgent summary, unless one is scheduled already."""
        if self._summary_timer is None:
            loop = asyncio.get_running_loop()
            self._summary_timer = loop.call_later(
                URGENT_SUMMARY_DELAY_S, self._send_urgent_summary
            )

    def _send_urgent_summary(self) -> None:
        self._summary_timer = None
        self._send_summary(urgent=True)
        if self._request_handler.model_demand.waiting_counts:
            loop = asyncio.get_running_loop()
            self._summary_timer = loop.call_later(
                WAITING_REPEAT_S, self._send_urgent_summary
            )

    def _send_summary(self, urgent: bool = False) -> None:
        """Sends a summary; an urgent one omits load, demand and samples."""
        now = asyncio.get_running_loop().time()
        self._message_number += 1
        loads = None if urgent else self._remote_loads.report_own()
        crashes, answered = self._request_handler.crash_guard.reports(
            own_only=now - self._crashes_heard_at < CRASHES_UNKNOWN_S
        )
        waiting = self._request_handler.model_demand.waiting_counts
        summary = summaries.Summary(
            instance=self._me.instance,
            data_centre=self._location.data_centre,
            incarnation=self._incarnation,
            number=self._message_number,
            loads=loads,
            demand=[] if urgent else self._changed_demand(),
            waiting=[
                summaries.WaitingRequests(*key, count)
                for key, count in waiting.items()
            ],
            adapter_uses=[
                summaries.AdapterUse(*key)
                for key in self._request_handler.take_adapter_uses()
            ],
            unreachable=[
                t.entry.identity
                for t in self._registry.all()
                if now - t.unreachable_at < UNREACHABLE_REPORT_S
            ],
            samples=[]
            if urgent
            else self._request_handler.latency_models.take_samples(),
            crashes=crashes,
            answered=answered,
        )
        summary = self._accounts.add_counts(summary)
        holder = self.lease.holder
        if self.lease.fence:
            self._accounts.handle(summary, self._me.address)
            self._apply_summary(summary, now)
        elif holder is not None:
            self._known_peers.send(summary, holder.address)

    def _changed_demand(self) -> list[summaries.RequestCount]:
        """Returns the request counts that changed recently.

        Counts are cumulative, and each is sent several times because a datagram
        may be lost. The counts of all 305 models of a large fleet would take
        4 KB.
        """
        rows = []
        for key, counter in self._request_handler.model_demand.counters.items():
            sent, send_count = self._sent_demand.get(key, (0, 0))
            if sent != counter.count:
                send_count = 0
            if send_count < DEMAND_SENDS:
                self._sent_demand[key] = (counter.count, send_count + 1)
                rows.append(
                    summaries.RequestCount(
                        *key, counter.count, counter.objective_s
                    )
                )
        return rows

    def _handle_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        own_era = storeera.era_of(self._mirror.revision)
        message = wirerevisions.decode(data, own_era)
        now = asyncio.get_running_loop().time()
        if message is not None:
            self._accounts.handle(message, address[0])
        if isinstance(message, summaries.Summary):
            if self.lease.fence:
                self._known_peers.summary_received(
                    message.instance, address[0], message.data_centre, now
                )
                self._apply_summary(message, now)
        elif isinstance(message, summaries.FleetUpdate):
            self._apply_update(message, now)
        elif isinstance(message, summaries.StoreChanges):
            if message.fence >= self._update_fence:
                if message.deputies is not None and not self.lease.fence:
                    self._mirror.deputies.update(
                        message.deputies, message.is_deputy
                    )
                changerelay.apply(message, self._mirror)
        elif isinstance(message, summaries.RenewalRequest):
            self._start_task(
                self.keeper.renew_for_peer(
                    message, address[0], self._mirror.copy.complete_revision
                )
            )
        elif isinstance(message, summaries.RenewalAnswer):
            if message.store_revision > self._mirror.revision:
                source = f"{address[0]}:{self._operator_port}"
                self._start_task(self._mirror.catch_up(source))
            self.keeper.receive_answer(message)
        elif message is None:
            telemetry.log(
                _log,
                "datagram_malformed",
                level=logging.WARNING,
                peer=address[0],
            )

    def _apply_summary(self, summary: summaries.Summary, now: float) -> None:
        self._coordinator.add_summary(summary, now)
        for sample in summary.samples:
            latency_model = self._request_handler.latency_models.of_service(
                sample.service
            )
            if summary.instance != self._me.instance:
                latency_model.learn(sample)
            self._coordinator.model_speeds.learn(sample, latency_model)
        changed = self._unreachable.record_reports(summary, now)
        if changed:
            self._avoid_targets(self._unreachable.targets_to_avoid(now), now)
        # The coordinator has recorded its own observations already.
        if summary.instance != self._me.instance:
            if self._request_handler.crash_guard.merge(
                summary.crashes, summary.answered
            ):
                self._schedule_crash_news()
        if changed:
            self._broadcast_update([], [], numbered=False)

    def _avoid_targets(
        self, rows: list[summaries.AvoidedTarget], now: float
    ) -> None:
        """Marks the targets that this instance's region is to avoid."""
        region = self._location.region_of(self._location.data_centre)
        for row in rows:
            target = self._registry.get(row.target)
            concerns_region = region in row.regions
            if (
                target is None
                or not concerns_region
                or target.avoided_until > now
            ):
                continue
            target.avoided_until = now + row.left_s
            telemetry.log(
                _log, "target_avoided", target=row.target, left_s=row.left_s
            )

    def _start_task(self, call: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _apply_update(self, update: summaries.FleetUpdate, now: float) -> None:
        if update.fence < self._update_fence:
            return
        if update.fence > self._update_fence:
            self._update_fence, self._update_number = update.fence, 0
            # Holdings sent by an earlier coordinator may be outdated.
            self._sent_holdings.clear()
        self._apply_holdings(update.holdings, now)
        self._avoid_targets(update.unreachable, now)
        if update.crashes:
            self._crashes_heard_at = now
        self._request_handler.crash_guard.merge(update.crashes, update.answered)
        if update.incoming_models is not None:
            self._apply_incoming_models(update.incoming_models, now)
        if update.number <= self._update_number:
            return
        self._update_number = update.number
        if update.store_age_s < 0.0:
            self._mirror.handle_relay_stop()
        elif not self.lease.fence:
            self._mirror.handle_relay_status(
                update.store_revision, update.store_age_s
            )
        self._request_handler.instance_count = update.members
        if not self.lease.fence:
            for service, parameters in update.latency_parameters.items():
                self._request_handler.latency_models.of_service(
                    service
                ).set_parameters(parameters)
        if update.rates:
            self._request_handler.request_rates.set_reported(
                {(r.service, r.model): r.per_s for r in update.rates}, now
            )
        self._remote_loads.apply(update.loads, update.load_interval_s, now)

    def _apply_holdings(
        self, holdings: list[summaries.Holding], now: float
    ) -> None:
        changed = False
        for holding in holdings:
            held = {m: frozenset(a) for m, a in holding.models.items()}
            changed |= self._registry.set_held(holding.target, held, now)
        if changed:
            self._request_handler.wake_waiting()

    def _holdings_changed(self, holdings: list[summaries.Holding]) -> None:
        """Applies changed holdings and schedules a broadcast of them."""
        loop = asyncio.get_running_loop()
        self._apply_holdings(holdings, loop.time())
        for holding in holdings:
            if self._sent_holdings.get(holding.target) != holding.models:
                self._sent_holdings[holding.target] = holding.models
                self._unsent_holdings[holding.target] = holding
        if self._unsent_holdings:
            self._schedule_broadcast()

    def _plan_changed(self) -> None:
        """Schedules a broadcast of the models that are being loaded.

        Load pattern: requests for a model that no engine holds wait to learn
        whether it is loaded in time; the next periodic update may be 0.5 s
        away.
        """
        self._incoming_models_unsent = True
        self._schedule_broadcast()

    def _schedule_crash_news(self) -> None:
        """Sends the known crashes to all, together with further news."""
        loop = asyncio.get_running_loop()
        self._crash_news_at = loop.time()
        if self._crash_news_timer is None:
            wait_s = self._crash_news_bucket.wait_s(loop.time())
            self._crash_news_timer = loop.call_later(
                max(wait_s, BROADCAST_DELAY_S), self._send_crash_news
            )

    def _send_crash_news(self) -> None:
        self._crash_news_timer = None
        now = asyncio.get_running_loop().time()
        if self.lease.fence and self._crash_news_bucket.take(now):
            self._crashes_sent_at = now
            self._known_peers.send_all(
                self._make_update([], [], False, [], with_crashes=True)
            )

    def _schedule_broadcast(self) -> None:
        if self._broadcast_timer is None:
            loop = asyncio.get_running_loop()
            self._broadcast_timer = loop.call_later(
                BROADCAST_DELAY_S, self._broadcast_changes
            )

    def _broadcast_changes(self) -> None:
        self._broadcast_timer = None
        rows = list(self._unsent_holdings.values())
        self._unsent_holdings.clear()
        now = asyncio.get_running_loop().time()
        incoming_models = (
            self._coordinator.incoming_models(now)
            if self._incoming_models_unsent
            else None
        )
        self._incoming_models_unsent = False
        if incoming_models is not None:
            self._apply_incoming_models(incoming_models, now)
        for first in range(0, max(1, len(rows)), MAX_HOLDINGS_PER_MESSAGE):
            sent = incoming_models if first == 0 else None
            self._broadcast_update(
                rows[first : first + MAX_HOLDINGS_PER_MESSAGE],
                [],
                numbered=False,
                incoming_models=sent,
            )

    def _apply_incoming_models(
        self, incoming_models: list[summaries.IncomingModel], now: float
    ) -> None:
        usable_at = {
            (c.service, c.model): now + c.left_s for c in incoming_models
        }
        added = (
            usable_at.keys()
            - self._request_handler.model_demand.ready_at.keys()
        )
        self._request_handler.model_demand.ready_at = usable_at
        if added:
            # Requests that wait for a model learn when it will be usable.
            self._request_handler.wake_waiting()

    def _send_update(self) -> None:
        now = asyncio.get_running_loop().time()
        self._known_peers.expire(now - demandtracker.SUMMARY_VALID_S)
        self._mirror.deputies.update(self._change_relay.own_deputies(), True)
        holdings = self._coordinator.holdings()
        start = self._next_repeated_holding % max(1, len(holdings))
        repeated = (holdings + holdings)[
            start : start + REPEATED_HOLDINGS_PER_UPDATE
        ]
        self._next_repeated_holding += REPEATED_HOLDINGS_PER_UPDATE
        loads_due = now - self._loads_sent_at >= self._load_interval_s()
        loads = self._changed_loads(now) if loads_due else []
        rates = (
            self._coordinator.demand.rates_above(MIN_REPORTED_RATE_PER_S)
            if loads_due
            else []
        )
        if now - self._latency_model_logged_at >= LATENCY_MODEL_LOG_INTERVAL_S:
            self._latency_model_logged_at = now
            self._log_latency_models()
        recent_news = now - self._crash_news_at < CRASH_NEWS_S
        with_crashes = now - self._crashes_sent_at >= (
            CRASH_NEWS_INTERVAL_S if recent_news else CRASH_REPEAT_S
        )
        if with_crashes:
            self._crashes_sent_at = now
        own_update = self._make_update(
            repeated[: len(holdings)], loads, True, rates
        )
        self._apply_update(own_update, now)
        self._known_peers.send_all(
            self._make_update(
                repeated[: len(holdings)],
                loads[:MAX_ROWS_PER_DATAGRAM],
                True,
                rates,
                with_crashes=with_crashes,
            )
        )
        if len(loads) <= MAX_LOADS_FOR_ALL_REGIONS:
            self._send_loads(loads[MAX_ROWS_PER_DATAGRAM:], None)
            return
        by_region: dict[str, list[summaries.TargetUsage]] = {}
        for load in loads[MAX_ROWS_PER_DATAGRAM:]:
            target = self._registry.get(load.target)
            if target is not None:
                region = self._location.region_of(target.entry.data_centre)
                by_region.setdefault(region, []).append(load)
        for region, rows in by_region.items():
            self._send_loads(rows, region)

    def _load_interval_s(self) -> float:
        """Returns the seconds between two updates with loads."""
        per_peer_s = LOAD_INTERVAL_PER_PEER_S
        if self._fast_link:
            per_peer_s = FAST_LINK_LOAD_INTERVAL_PER_PEER_S
        return per_peer_s * len(self._known_peers)

    def _log_latency_models(self) -> None:
        for service in self._request_handler.engine_services():
            latency_model = self._request_handler.latency_models.of_service(
                service
            )
            telemetry.log(
                _log,
                "engine_pace",
                service=service,
                idle_s=latency_model.first_event_s(0.0, 0.0),
                prompt_tokens_per_s=1.0 / latency_model.prompt_s(1.0),
                running_s=latency_model.occupancy_s(0.0),
                answer_token_s=latency_model.generation_s(1, 0.0),
                request_tokens=latency_model.mean_uncached_tokens,
                caution=latency_model.safety_factor,
            )

    def _changed_loads(self, now: float) -> list[summaries.TargetUsage]:
        """Returns the loads of targets that have any, or just became idle."""
        self._loads_sent_at = now
        totals = self._coordinator.demand.load_by_target(now)
        # A target that became idle is sent once more, with zeros.
        idle = self._last_listed_targets - totals.keys()
        self._last_listed_targets = set(totals)
        return [
            *totals.values(),
            *(summaries.TargetUsage(name, 0, 0, 0) for name in idle),
        ]

    def _send_loads(
        self, loads: list[summaries.TargetUsage], region: str | None
    ) -> None:
        """Sends loads to the instances of a region, or to all instances."""
        for first in range(0, len(loads), MAX_ROWS_PER_DATAGRAM):
            rows = loads[first : first + MAX_ROWS_PER_DATAGRAM]
            self._known_peers.send_all(
                self._make_update([], rows, True, []),
                lambda p: (
                    region in (None, self._location.region_of(p.data_centre))
                ),
            )

    def _make_update(
        self,
        holdings: list[summaries.Holding],
        loads: list[summaries.TargetUsage],
        numbered: bool,
        rates: list[summaries.ModelRate],
        incoming_models: list[summaries.IncomingModel] | None = None,
        with_crashes: bool = False,
    ) -> summaries.FleetUpdate:
        self._message_number += numbered
        now = asyncio.get_running_loop().time()
        age_s = now - self._mirror.store_answered_at
        latency_parameters = self._request_handler.latency_models.parameters(
            self._request_handler.engine_services()
        )
        crashes: list[summaries.CrashReport] = []
        answered: list[summaries.AnsweredTrait] = []
        if with_crashes:
            crashes, answered = self._request_handler.crash_guard.reports(
                own_only=False
            )
        return summaries.FleetUpdate(
            fence=self.lease.fence,
            number=self._message_number if numbered else 0,
            holdings=holdings,
            loads=loads,
            incoming_models=self._coordinator.incoming_models(now)
            if numbered
            else incoming_models,
            members=len(self._known_peers) + 1,
            store_revision=self._mirror.revision,
            store_age_s=-1.0 if self._releasing_lease else age_s,
            unreachable=self._unreachable.targets_to_avoid(now),
            rates=rates,
            latency_parameters=latency_parameters if rates else {},
            load_interval_s=self._load_interval_s() if numbered else 0.0,
            crashes=crashes,
            answered=answered,
            account_number=self._accounts.round_number if numbered else 0,
        )

    def relay(
        self, changes: storemirror.Changes, before: int, after: int
    ) -> None:
        """Relays changes of the store to all instances, as the coordinator.

        Args:
          changes: The changes that other instances need.
          before: Revision before the changes.
          after: Revision up to which this instance's copy is complete.
        """
        if self.lease.fence:
            complete = self._mirror.copy.knows_removals_since(before)
            if not self._change_relay.send(
                self.lease.fence, changes, before, after, complete
            ):
                # States the new revision, so that the others read a copy.
                self._broadcast_update([], [], numbered=True)

    def _broadcast_update(
        self,
        holdings: list[summaries.Holding],
        loads: list[summaries.TargetUsage],
        numbered: bool,
        incoming_models: list[summaries.IncomingModel] | None = None,
    ) -> None:
        update = self._make_update(
            holdings, loads, numbered, [], incoming_models
        )
        self._known_peers.send_all(update)
