"""One instance: its ports, what it knows, and its life.

The instance serves from the moment it knows a configuration. It follows the
store while that is reachable and goes on with what it knows while it is not.
"""

import abc
import asyncio
import dataclasses
import functools
import logging
import random
from collections.abc import Callable, Coroutine

from carobsail import (
    callerwire,
    coordination,
    engineorders,
    httpserver,
    keyvalue,
    operatorport,
    orderlease,
    peersnapshot,
    routetable,
    serving,
    settings,
    storemirror,
    targetbook,
    targetchoice,
    telemetry,
)
from carobsail.instancesettings import InstanceSettings

# The balancer takes an instance out after two missed questions, one a second;
# until then new connections still arrive.
ROTATION_S = 2.3
# An order giver for 100 instances sends and receives some 3 Mbit/s.
STRONG_LINK_MBPS = 50.0
# Time kept back before the end of the grace.
KILL_MARGIN_S = 0.4
# Time for giving the order lease back; it fits into the margin above.
HAND_OVER_S = 0.25

_log = logging.getLogger(__name__)


class Documents(abc.ABC):
    """Reads the documents of one deployment's store."""

    @abc.abstractmethod
    def configuration(
        self, event: keyvalue.WatchEvent
    ) -> routetable.RouteTable | None:
        """Returns the configuration of an event, if it is one."""

    @abc.abstractmethod
    def target(
        self, event: keyvalue.WatchEvent, table: routetable.RouteTable | None
    ) -> targetbook.TargetEntry | str | None:
        """Returns the entry that a target wrote, or its removed identity."""


class ServingInstance:
    """An instance with its ports.

    Attributes:
      failed: Set when a duty ended by a fault.
    """

    def __init__(
        self,
        loaded: InstanceSettings,
        store: keyvalue.KeyValueClient,
        wire: callerwire.CallerWire,
        documents: Documents,
        orders: engineorders.OrderPort,
        boot_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Creates an instance that does not run yet.

        Args:
          loaded: Settings.
          store: Client of the store.
          wire: Headers of the deployment.
          documents: Documents of the deployment.
          orders: Sends orders to engines.
          boot_clock: Clock that includes the time of a suspended machine.
          rng: Source of random choices.
        """
        self.failed = asyncio.Event()
        self._settings = loaded
        self._documents = documents
        self._metrics = telemetry.Metrics()
        self._book = targetbook.TargetBook()
        place = targetchoice.Place(loaded.data_centre, loaded.regions)
        self._serving = serving.Serving(
            wire,
            self._book,
            place,
            _budget_terms(loaded),
            self._metrics,
            rng,
        )
        self._mirror = storemirror.StoreMirror(
            store,
            "",
            self._apply,
            self._store_contact,
            rng,
            peersnapshot.SnapshotPeers(),
        )
        self._coordination = coordination.Coordination(
            orderlease.Holder(loaded.instance, loaded.address),
            loaded.link_mbps >= STRONG_LINK_MBPS,
            place,
            loaded.first_port,
            settings.parse_address(loaded.peers_listen)[1],
            loaded.order_turn_ms / 1000.0,
            loaded.load_window_s,
            store,
            self._book,
            self._serving,
            self._mirror,
            orders,
            boot_clock,
            self._metrics,
            rng,
        )
        self._serving.on_need = self._coordination.need
        self._serving.on_unreachable = self._coordination.report_soon
        self._serving.copy_age_s = lambda: self._mirror.age_s
        self._draining = False
        self._servers: list[httpserver.Server] = []
        self._callers: httpserver.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Opens the ports and starts the duties."""
        host, port = settings.parse_address(self._settings.readiness_listen)
        bounds = httpserver.Bounds()
        self._servers.append(
            await httpserver.serve(
                host, port, self._answer_readiness, bounds, "readiness"
            )
        )
        host, port = settings.parse_address(self._settings.callers_listen)
        self._callers = await httpserver.serve(
            host, port, self._serving.handle, bounds, "callers"
        )
        port_of_operators = operatorport.OperatorPort(
            self._dump,
            lambda: not self.failed.is_set(),
            lambda: self.ready,
            self._metrics.text,
            functools.partial(peersnapshot.answer, self._mirror),
        )
        for name, listen in (
            ("peers", self._settings.peers_listen),
            ("metrics", self._settings.metrics_listen),
        ):
            if listen:
                host, port = settings.parse_address(listen)
                self._servers.append(
                    await httpserver.serve(
                        host, port, port_of_operators.handle, bounds, name
                    )
                )
        await self._coordination.open()
        others = [
            seed
            for seed in self._settings.seeds
            if seed != self._settings.peers_listen
        ]
        self._start_duty(peersnapshot.adopt(self._mirror, others))
        self._start_duty(self._mirror.run())
        self._start_duty(self._coordination.keeper.run())
        self._start_duty(self._coordination.run_rounds())
        self._start_duty(self._coordination.run_summaries())

    def _start_duty(self, duty: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(duty)
        task.add_done_callback(self._duty_ended)
        self._tasks.append(task)

    def _duty_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return  # Stopped, or nothing was left to do.
        error = task.exception()
        _log.error("duty_ended", exc_info=error)
        self.failed.set()

    def _dump(self) -> dict[str, object]:
        """Returns what the instance believes, for operators."""
        table = self._serving.table
        return {
            "store": {
                "reachable": self._mirror.reachable,
                "revision": self._mirror.revision,
            },
            "configuration": {"version": table.version if table else 0},
            "order_giver": {
                "holder": self._coordination.lease.holder,
                "fence": self._coordination.lease.fence,
            },
            "in_flight": self._serving.in_flight,
            "targets": list(self._book.all()),
            "metrics": self._metrics.dump(),
        }

    @property
    def ready(self) -> bool:
        """Whether the instance takes new connections."""
        return not self._draining and self._serving.table is not None

    async def _answer_readiness(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        await responder.send(200 if self.ready else 503, [], b"")

    def _store_contact(self, reachable: bool) -> None:
        now = asyncio.get_running_loop().time()
        self._book.store_contact(reachable, now)

    def _apply(
        self, changes: storemirror.Changes, before: int, after: int
    ) -> None:
        """Takes over changes of the store and passes on what is news."""
        news: storemirror.Changes = []
        now = asyncio.get_running_loop().time()
        changed = False
        # The configuration first: it names the services of the targets.
        for event in changes:
            table = self._documents.configuration(event)
            if table is not None:
                changed |= self._install(table)
        for event in changes:
            self._coordination.observe(event)
            entry = self._documents.target(event, self._serving.table)
            if entry is None:
                news.append(event)
                continue
            if isinstance(entry, str):
                change = self._book.remove(entry, now)
            else:
                change = self._book.put(entry, now)
            if change is targetbook.News.LISTED:
                news.append(event)
            if change is targetbook.News.NONE:
                continue
            changed = True
            telemetry.log(
                _log,
                "target_listed"
                if not isinstance(entry, str)
                else "target_gone",
                target=entry if isinstance(entry, str) else entry.identity,
                leaving=not isinstance(entry, str) and entry.leaving,
                kept=isinstance(entry, str)
                and self._book.get(entry) is not None,
                revision=event.mod_revision,
                source=self._mirror.source,
                copy_age_s=self._mirror.age_s,
            )
        self._coordination.relay(news, before, after)
        if changed:
            self._serving.changed()

    def _install(self, table: routetable.RouteTable) -> bool:
        """Puts a newer configuration in force."""
        if not table.replaces(self._serving.table):
            telemetry.log(
                _log,
                "configuration_ignored",
                level=logging.WARNING,
                version=table.version,
                revision=table.revision,
            )
            return False
        before = self._serving.table
        self._serving.table = table
        self._serving.table_since = asyncio.get_running_loop().time()
        limits = table.limits
        if self._callers is not None:
            self._callers.bounds = dataclasses.replace(
                self._callers.bounds,
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                header_timeout_s=limits.header_timeout_s,
                idle_timeout_s=limits.idle_timeout_s,
            )
        telemetry.log(
            _log,
            "configuration_in_force",
            version=table.version,
            revision=table.revision,
            routes=len(table.routes()),
            version_before=before.version if before else 0,
            added=len(table.places() - (before.places() if before else set())),
            removed=len(before.places() - table.places()) if before else 0,
            source=self._mirror.source,
            copy_age_s=self._mirror.age_s,
        )
        return True

    def reload(self, loaded: InstanceSettings) -> None:
        """Takes over settings that may change while the instance runs.

        Names, addresses and ports hold until the next start.
        """
        fixed = [
            name
            for name in ("instance", "address", "callers_listen", "store")
            if getattr(loaded, name) != getattr(self._settings, name)
        ]
        self._settings = loaded
        self._serving.set_budget(_budget_terms(loaded))
        logging.getLogger(telemetry.LOGGER_NAME).setLevel(
            loaded.log_level.upper()
        )
        telemetry.log(_log, "settings_reloaded", needs_restart=",".join(fixed))

    async def stop(self) -> None:
        """Stops gracefully: out of the rotation, then without new work."""
        self._draining = True
        assert self._callers is not None
        loop = asyncio.get_running_loop()
        end = loop.time() + self._settings.grace_s - KILL_MARGIN_S
        self._callers.announce_drain()
        self._serving.stops_at = end
        self._coordination.take_no_lease()
        await asyncio.sleep(ROTATION_S)
        self._serving.draining = True
        try:
            async with asyncio.timeout_at(end):
                await self._callers.drain()
        except TimeoutError:
            cut = await self._callers.close()
            telemetry.log(_log, "requests_cut_at_stop", count=cut)
        try:
            async with asyncio.timeout(HAND_OVER_S):
                await self._coordination.hand_over()
        except TimeoutError:
            telemetry.log(_log, "lease_not_handed_over", reason="timeout")
        await self.kill()

    async def kill(self) -> int:
        """Stops at once; returns the number of requests cut."""
        for task in self._tasks:
            task.cancel()
        self._coordination.close()
        cut = await self._callers.close() if self._callers else 0
        for server in self._servers:
            await server.close()
        return cut


def _budget_terms(loaded: InstanceSettings) -> serving.BudgetTerms:
    return serving.BudgetTerms(
        loaded.repeat_ratio, loaded.repeat_allowance, loaded.repeat_window_s
    )
