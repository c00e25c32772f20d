"""One serving instance: its ports, state and life cycle.

The instance serves as soon as it has a configuration. It follows changes of the
store while the store is reachable and continues with its copy otherwise.
"""

import abc
import asyncio
import dataclasses
import functools
import logging
import random
from collections.abc import Callable, Coroutine, Mapping

import msgspec

from carobsail import (
    bufferlimit,
    coordination,
    engineorders,
    errors,
    headercodec,
    httpserver,
    keyvalue,
    limitbounds,
    loglimit,
    machinelimits,
    operatorport,
    orderlease,
    peersnapshot,
    processmemory,
    routetable,
    serving,
    settings,
    storeera,
    storemirror,
    targetchoice,
    targetlisting,
    targetquery,
    targetregistry,
    telemetry,
)
from carobsail.instancesettings import InstanceSettings

# The load balancer removes an instance after two failed readiness checks, one
# per second; until then new connections still arrive.
BALANCER_REMOVAL_S = 2.3
# Link speed from which an instance is preferred as the coordinator, which sends
# and receives some 3 Mbit/s for 100 instances.
FAST_LINK_MBPS = 50.0
# Time reserved before the end of the grace period.
STOP_MARGIN_S = 0.4
# Time reserved before that for the final responses to requests in flight.
FINAL_RESPONSES_S = 0.1
# Timeout for releasing the order lease; must fit into STOP_MARGIN_S.
LEASE_RELEASE_TIMEOUT_S = 0.25
# Log lines per client and reason on requests without a route or known key, in
# an interval of the limits; `carobsailctl explain` reads them.
MAX_REFUSAL_LINES = 20

_log = logging.getLogger(__name__)


class DocumentDecoder(abc.ABC):
    """Decodes the documents in the store of a deployment."""

    @abc.abstractmethod
    def configuration(
        self, event: keyvalue.WatchEvent
    ) -> routetable.RouteTable | None:
        """Returns the configuration, or None if the event is not one."""

    @abc.abstractmethod
    def target(
        self, event: keyvalue.WatchEvent
    ) -> targetregistry.TargetEntry | str | None:
        """Returns the entry of a target, its identity if removed, or None.

        The service need not be configured yet: engines of a new service may
        register before the configuration that names it is known.
        """


class ServingInstance:
    """A serving instance with its ports.

    Attributes:
      failed: Set when a background task failed with an exception.
    """

    def __init__(
        self,
        loaded: InstanceSettings,
        store: keyvalue.KeyValueClient,
        header_codec: headercodec.HeaderCodec,
        document_decoder: DocumentDecoder,
        order_client: engineorders.EngineOrderClient,
        boot_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Creates an instance that is not started yet.

        Args:
          loaded: Settings.
          store: Client of the key-value store.
          header_codec: Reads and writes the headers of the deployment.
          document_decoder: Decodes the documents of the deployment.
          order_client: Sends orders to engines.
          boot_clock: Clock that includes time for which the machine was
            suspended.
          rng: Source of random choices.
        """
        self.failed = asyncio.Event()
        self._settings = loaded
        self._store = store
        self._document_decoder = document_decoder
        self._metrics = telemetry.Metrics()
        self._registry = targetregistry.TargetRegistry()
        location = targetchoice.Location(loaded.data_centre, loaded.regions)
        self._limits = machinelimits.derive(
            loaded.memory_mb, loaded.max_descriptors
        )
        self._buffers = bufferlimit.BufferLimit(self._limits.held_bytes)
        self._buffers.on_given_up = processmemory.Collector().record_given_up
        self._request_handler = serving.RequestHandler(
            header_codec,
            self._registry,
            location,
            _retry_budget_settings(loaded),
            self._metrics,
            rng,
            # Without a limit for callers, targets have one of their own.
            self._buffers if loaded.memory_mb else None,
        )
        self._request_handler.failures.log_limit = loglimit.LogLimit(
            self._limits.log_interval_s, MAX_REFUSAL_LINES
        )
        self._request_handler.limit_engine_memory(
            loaded.engine_memory_fill_share
        )
        self._request_handler.accounts.boot_clock = boot_clock
        self._request_handler.accounts.bounds = _limit_bounds(loaded)
        self._mirror = storemirror.StoreMirror(
            store,
            "",
            self._apply_changes,
            self._record_store_contact,
            rng,
            peersnapshot.HttpPeerReader(
                lambda: storeera.era_of(self._mirror.revision)
            ),
        )
        self._listing = targetlisting.TargetListing(
            self._registry, self._mirror
        )
        self._coordination = coordination.Coordination(
            orderlease.Holder(loaded.instance, loaded.address),
            loaded.link_mbps >= FAST_LINK_MBPS,
            location,
            loaded.first_port,
            settings.parse_address(loaded.peers_listen)[1],
            loaded.order_turn_ms / 1000.0,
            loaded.load_window_s,
            store,
            self._registry,
            self._request_handler,
            self._mirror,
            order_client,
            boot_clock,
            self._metrics,
            rng,
        )
        self._request_handler.model_demand.on_waiting = (
            self._coordination.report_waiting
        )
        self._request_handler.on_unreachable = (
            self._coordination.schedule_urgent_summary
        )
        self._request_handler.crash_guard.on_crash = (
            self._coordination.report_crash
        )
        self._request_handler.target_list_age_s = lambda: self._mirror.age_s
        self._draining = False
        self._servers: list[httpserver.Server] = []
        self._callers: httpserver.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Opens the ports and starts the background tasks."""
        host, port = settings.parse_address(self._settings.readiness_listen)
        limits = httpserver.ServerLimits()
        self._servers.append(
            await httpserver.serve(
                host, port, self._answer_readiness, limits, "readiness"
            )
        )
        host, port = settings.parse_address(self._settings.callers_listen)
        self._callers = await httpserver.serve(
            host,
            port,
            self._request_handler.handle,
            self._limits.server,
            "callers",
            buffers=self._buffers,
            check_head=self._request_handler.check_head,
            log_interval_s=self._limits.log_interval_s,
        )
        operator_port = operatorport.OperatorPort(
            self._dump,
            lambda: not self.failed.is_set(),
            lambda: self.ready,
            self._metrics_text,
            functools.partial(peersnapshot.answer_peer, self._mirror),
            self._answer_where,
        )
        for name, listen in (
            ("peers", self._settings.peers_listen),
            ("metrics", self._settings.metrics_listen),
        ):
            if listen:
                host, port = settings.parse_address(listen)
                self._servers.append(
                    await httpserver.serve(
                        host, port, operator_port.handle, limits, name
                    )
                )
        await self._coordination.open()
        others = [
            seed
            for seed in self._settings.seeds
            if seed != self._settings.peers_listen
        ]
        self._start_task(peersnapshot.adopt_from_seeds(self._mirror, others))
        self._start_task(self._mirror.run())
        self._start_task(self._coordination.keeper.run())
        self._start_task(self._coordination.run_rounds())
        self._start_task(self._coordination.run_summaries())

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._task_ended)
        self._tasks.append(task)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return  # The instance stopped, or the task was completed.
        error = task.exception()
        _log.error("background_task_failed", exc_info=error)
        self.failed.set()

    def _dump(self) -> dict[str, object]:
        """Returns the state known to the instance, for operators."""
        route_table = self._request_handler.route_table
        return {
            "store": {
                "reachable": self._mirror.store_reachable,
                "revision": storeera.describe(self._mirror.revision),
            },
            "configuration": {
                "version": route_table.version if route_table else 0
            },
            "order_giver": {
                "holder": self._coordination.lease.holder,
                "fence": storeera.describe(self._coordination.lease.fence),
            },
            "account_limits": self._request_handler.accounts.describe(),
            "in_flight": self._request_handler.in_flight,
            "targets": list(self._registry.all()),
            "metrics": self._metrics.dump(),
        }

    def _metrics_text(self) -> str:
        """Returns the metrics as text, with those of the callers' port."""
        assert self._callers is not None
        for name, value in (
            ("callers_connections", self._callers.connections),
            ("callers_refused", self._callers.refused),
            ("callers_silent_closed", self._callers.silent_closed),
            ("held_bytes", self._buffers.total_bytes),
            ("held_bytes_given_up", self._buffers.given_up),
            ("store_era", self._store.era),
            ("store_era_ignored", self._store.ignored_eras),
        ):
            self._metrics.gauge(name, value)
        return self._metrics.to_text()

    def _answer_where(self, query: Mapping[str, str]) -> bytes | errors.Failure:
        """Returns where a described request would go now, as JSON."""
        described = targetquery.parse_query(query)
        if isinstance(described, errors.Failure):
            return described
        handler = self._request_handler
        view = targetquery.InstanceView(
            handler.route_table,
            handler.selector,
            handler.instance_count,
            handler.stops_at,
            handler.draining,
            handler.accounts.limit_left,
        )
        now = asyncio.get_running_loop().time()
        report = targetquery.decide(view, described, now, random.Random())
        return msgspec.json.encode(report)

    @property
    def ready(self) -> bool:
        """Whether the instance accepts new connections."""
        return (
            not self._draining and self._request_handler.route_table is not None
        )

    async def _answer_readiness(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        await responder.send(200 if self.ready else 503, [], b"")

    def _record_store_contact(self, reachable: bool) -> None:
        now = asyncio.get_running_loop().time()
        self._registry.record_store_contact(reachable, now)

    def _apply_changes(
        self, changes: storemirror.Changes, before: int, after: int
    ) -> None:
        """Applies changes of the store and relays those that others need."""
        to_relay: storemirror.Changes = []
        now = asyncio.get_running_loop().time()
        changed = False
        newest = max((event.mod_revision for event in changes), default=0)
        if self._registry.learn_era(newest, after, now):
            self._start_task(self._release_withheld())
        # Configurations come first: they define the services of the targets.
        for event in changes:
            table = self._document_decoder.configuration(event)
            if table is not None:
                changed |= self._activate_configuration(table)
        for event in changes:
            self._coordination.observe(event)
            entry = self._document_decoder.target(event)
            if entry is None:
                to_relay.append(event)
                continue
            change = self._listing.apply(
                entry, event.mod_revision, self._request_handler.route_table
            )
            if change is targetregistry.EntryChange.REGISTRATION:
                to_relay.append(event)
            changed |= change is not targetregistry.EntryChange.NONE
        self._coordination.relay(to_relay, before, after)
        if changed:
            self._request_handler.wake_waiting()

    async def _release_withheld(self) -> None:
        """Releases withheld targets once only live ones are still listed."""
        loop = asyncio.get_running_loop()
        until = self._registry.withheld_until
        while until > loop.time():
            await asyncio.sleep(until - loop.time())
            until = self._registry.withheld_until  # An outage defers it.
        self._registry.release_withheld(until)
        self._request_handler.wake_waiting()

    def _activate_configuration(self, table: routetable.RouteTable) -> bool:
        """Activates a newer configuration; returns whether it did."""
        if not table.replaces(self._request_handler.route_table):
            telemetry.log(
                _log,
                "configuration_ignored",
                version=table.version,
                revision=storeera.describe(table.revision),
            )
            return False
        before = self._request_handler.route_table
        self._request_handler.route_table = table
        self._request_handler.route_table_since = (
            asyncio.get_running_loop().time()
        )
        self._request_handler.accounts.configure(table.accounts)
        limits = table.limits
        if self._callers is not None:
            self._callers.limits = dataclasses.replace(
                self._callers.limits,
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                header_timeout_s=limits.header_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
            )
        telemetry.log(
            _log,
            "configuration_in_force",
            version=table.version,
            revision=storeera.describe(table.revision),
            routes=len(table.routes()),
            version_before=before.version if before else 0,
            added=len(
                table.host_prefixes()
                - (before.host_prefixes() if before else set())
            ),
            removed=len(before.host_prefixes() - table.host_prefixes())
            if before
            else 0,
            source=self._mirror.source,
            copy_age_s=self._mirror.age_s,
        )
        return True

    def reload(self, loaded: InstanceSettings) -> None:
        """Applies the settings that may change while the instance runs.

        Names, addresses and ports change only with a restart.
        """
        needs_restart = [
            name
            for name in ("instance", "address", "callers_listen", "store")
            if getattr(loaded, name) != getattr(self._settings, name)
        ]
        self._settings = loaded
        self._request_handler.set_retry_budget(_retry_budget_settings(loaded))
        self._request_handler.limit_engine_memory(
            loaded.engine_memory_fill_share
        )
        accounts = self._request_handler.accounts
        accounts.bounds = _limit_bounds(loaded)
        if self._request_handler.route_table is not None:
            accounts.configure(self._request_handler.route_table.accounts)
        logging.getLogger(telemetry.LOGGER_NAME).setLevel(
            loaded.log_level.upper()
        )
        telemetry.log(
            _log, "settings_reloaded", needs_restart=",".join(needs_restart)
        )

    async def stop(self) -> None:
        """Stops gracefully.

        The instance first fails readiness checks until the load balancer has
        removed it, or half of a short grace period has passed, then accepts no
        more connections and completes the requests in flight. Those that are
        left shortly before the end get a final response.
        """
        self._draining = True
        assert self._callers is not None
        loop = asyncio.get_running_loop()
        now = loop.time()
        deadline = now + max(0.0, self._settings.grace_s - STOP_MARGIN_S)
        stops_at = max(now, deadline - FINAL_RESPONSES_S)
        self._callers.start_draining()
        self._request_handler.stops_at = stops_at
        self._coordination.stop_acquiring_lease()
        await asyncio.sleep(min(BALANCER_REMOVAL_S, (stops_at - now) / 2.0))
        self._request_handler.draining = True
        drain = asyncio.create_task(self._callers.drain())
        await asyncio.wait({drain}, timeout=stops_at - loop.time())
        self._request_handler.end_requests()
        await asyncio.wait({drain}, timeout=deadline - loop.time())
        if not drain.done():
            drain.cancel()
            aborted = await self._callers.close()
            telemetry.log(_log, "requests_cut_at_stop", count=aborted)
        try:
            async with asyncio.timeout(LEASE_RELEASE_TIMEOUT_S):
                await self._coordination.release_lease()
        except TimeoutError:
            telemetry.log(_log, "lease_not_handed_over", reason="timeout")
        await self.kill()

    async def kill(self) -> int:
        """Stops immediately; returns the number of aborted requests."""
        for task in self._tasks:
            task.cancel()
        self._coordination.close()
        aborted = await self._callers.close() if self._callers else 0
        for server in self._servers:
            await server.close()
        self._request_handler.close()
        return aborted


def _retry_budget_settings(
    loaded: InstanceSettings,
) -> serving.RetryBudgetSettings:
    return serving.RetryBudgetSettings(
        loaded.repeat_ratio, loaded.repeat_allowance, loaded.repeat_window_s
    )


def _limit_bounds(loaded: InstanceSettings) -> limitbounds.LimitBounds:
    return limitbounds.LimitBounds(
        loaded.limit_window_s, loaded.limit_tolerance, loaded.limit_slack
    )
