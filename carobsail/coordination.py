"""How the instances act together: the order lease, summaries and boards.

All of it is an aid: an instance that hears from no other one serves on with
what it knows itself.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine

from carobsail import (
    changerelay,
    crashes,
    datagrams,
    demandbook,
    engineorders,
    keyvalue,
    leasekeeper,
    members,
    ordergiver,
    orderlease,
    serving,
    storemirror,
    summaries,
    targetbook,
    targetchoice,
    telemetry,
    unreachable,
)

# Accuracy of the load that instances see of each other, against the bytes
# between regions, which are billed.
SUMMARY_S = 0.5
# A need is repeated, because a datagram may be lost.
NEED_REPEAT_S = 0.3
# A new need is sent with others that arise within this time.
NEED_DELAY_S = 0.01
# A target that was not reached is reported for this long.
UNREACHABLE_TOLD_S = 1.0
# Load that the order giver told counts for this long at least, and until the
# second telling after it is overdue: one datagram may be lost.
LOAD_TOLD_VALID_S = 2.0
LOAD_TELLINGS_VALID = 2.2
# Summaries in which a changed count is sent.
DEMAND_REPEATS = 3
# Engines whose holdings are told again with each board, in turn.
REPEATED_HOLDINGS = 4
# Seconds between the loads of all targets, for each instance that gets them:
# the holder's own link may take 5 Mbit/s.
LOADS_S_PER_PEER = 0.015
# The same for an order giver with a wide link: engines fill within a second,
# and requests that go by old figures are late.
STRONG_LOADS_S_PER_PEER = 0.005
# Demand from which on instances get in each other's way within the time between
# two boards.
LEAST_RATE_PER_S = 1.0
# Holdings that change within this time are told together: each message goes to
# all instances, and adapters come and go 20 times a second.
HOLDINGS_DELAY_S = 0.03
MAX_HOLDINGS = 10
# From this number of targets on, an instance hears only of those of its region:
# 12,000 rows for 330 instances would take 27 MB/s of the order giver's link.
MAX_SHARED_LOADS = 200
# Rows of one datagram, which keeps it below 1,400 bytes.
MAX_ROWS = 40
# Time between two log lines of what was learned of the speed of engines.
PACE_LOG_S = 5.0
# A loop that is this late has no processor time, or the machine was stopped;
# what callers do is then noticed late as well.
LATE_LOG_S = 0.25

_NO_LOAD = summaries.EngineLoad("", 0, 0, 0)

_log = logging.getLogger(__name__)


def _relayed(change: summaries.Change) -> storemirror.RelayedChange:
    event = keyvalue.WatchEvent(change.key, change.value, change.revision)
    return storemirror.RelayedChange(event, change.omitted)


class Coordination:
    """The part of one instance in what all do together.

    Attributes:
      lease: The order lease as this instance knows it.
      keeper: Takes and renews the lease.
    """

    def __init__(
        self,
        me: orderlease.Holder,
        strong: bool,
        place: targetchoice.Place,
        port: int,
        operator_port: int,
        turn_s: float,
        load_window_s: float,
        store: keyvalue.KeyValueClient,
        book: targetbook.TargetBook,
        served: serving.Serving,
        mirror: storemirror.StoreMirror,
        orders: engineorders.OrderPort,
        boot_clock: Callable[[], float],
        metrics: telemetry.Metrics,
        rng: random.Random,
    ) -> None:
        """Creates the part without its socket.

        Args:
          me: This instance.
          strong: Whether it has the link and processor of an order giver.
          place: Where it runs.
          port: Port of the datagrams, the same on all instances.
          operator_port: Port of operators and peers, the same on all.
          turn_s: Seconds between the orders of two instances.
          load_window_s: Window in which loads from the store are counted.
          store: Client of the store.
          book: Targets.
          served: Request path of this instance.
          mirror: Copy of the store.
          orders: Sends orders to engines.
          boot_clock: Clock that includes the time of a suspended machine.
          metrics: Counters.
          rng: Source of jitter.
        """
        self._members = members.Members(port)
        self.keeper = leasekeeper.LeaseKeeper(
            me,
            strong,
            turn_s,
            store,
            self._members,
            boot_clock,
            rng,
            self._turn_changed,
        )
        self.lease = self.keeper.lease
        self._relay = changerelay.ChangeRelay(
            me.address, place.data_centre, operator_port, self._members
        )
        self._me = me
        self._strong = strong
        self._place = place
        self._port = port
        self._operator_port = operator_port
        self._book = book
        self._serving = served
        self._mirror = mirror
        self._rng = rng
        self._giver = ordergiver.OrderGiver(
            self.lease,
            book,
            orders,
            boot_clock,
            self._holdings_changed,
            self._plan_changed,
            load_window_s,
            metrics,
        )
        self._unreachable = unreachable.UnreachableTargets(place)
        self._lost_runs = crashes.LostRuns()
        self._incarnation = rng.getrandbits(48)
        self._number = 0
        self._reported: dict[str, summaries.EngineLoad] = {}
        self._board_fence = 0
        self._board_number = 0
        self._told_loads: dict[str, float] = {}
        self._loads_valid_s = LOAD_TOLD_VALID_S
        self._listed_loads: set[str] = set()
        self._turn = 0
        self._loads_sent_at = float("-inf")
        self._pace_logged_at = float("-inf")
        self._ending = False
        self._told_holdings: dict[str, dict[str, list[str]]] = {}
        self._changed_holdings: dict[str, summaries.Holding] = {}
        self._plan_news = False
        self._holdings_timer: asyncio.TimerHandle | None = None
        self._need_timer: asyncio.TimerHandle | None = None
        self._told_demand: dict[tuple[str, str], tuple[int, int]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Opens the socket."""
        loop = asyncio.get_running_loop()
        _, self._members.datagrams = await loop.create_datagram_endpoint(
            lambda: datagrams.Datagrams(self._received),
            local_addr=(self._me.address, self._port),
        )

    def close(self) -> None:
        """Closes the socket."""
        if self._members.datagrams is not None:
            self._members.datagrams.close()

    def observe(self, event: keyvalue.WatchEvent) -> None:
        """Takes over a change of the order lease's key."""
        self.keeper.observe(event)
        holder = self.lease.holder
        self._mirror.relay_address = (
            f"{holder.address}:{self._operator_port}" if holder else ""
        )

    def _turn_changed(self, held: bool) -> None:
        self._mirror.relays = held

    def take_no_lease(self) -> None:
        """Takes no order lease any more; one that is held is kept.

        Load pattern: instances are restarted one after the other, 2 s apart.
        Each successor waits for the turn before it orders; with a lease that
        was given back at the first signal, engines got no order for 9 s.
        """
        self.keeper.stopping = True

    async def hand_over(self) -> None:
        """Gives the order lease back just before the process ends."""
        self.take_no_lease()
        self._ending = True
        if self.lease.fence:
            # From now on the others follow the store themselves.
            self._broadcast([], [], numbered=True)
        await self.keeper.give_back()

    # Orders and boards.

    async def run_rounds(self) -> None:
        """Plans and orders while the lease is held, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + ordergiver.ROUND_S
            await asyncio.sleep(ordergiver.ROUND_S)
            late_s = loop.time() - due_at
            if late_s > LATE_LOG_S:
                telemetry.log(
                    _log,
                    "event_loop_late",
                    late_s=late_s,
                    in_flight=self._serving.in_flight,
                )
            if self._serving.table is not None:
                self._giver.round(self._serving.table)

    async def run_summaries(self) -> None:
        """Sends summaries and boards until cancelled."""
        while True:
            await asyncio.sleep(SUMMARY_S * self._rng.uniform(0.9, 1.1))
            self._send_summary()
            self._expire_loads()
            if self.lease.fence:
                self._send_board()

    def need(self, service: str, model: str, adapter: str) -> None:
        """Tells the order giver soon that requests wait."""
        del service, model, adapter  # The summary holds all that waits.
        self.report_soon()

    def report_soon(self) -> None:
        """Sends a summary soon, with what else arises until then."""
        if self._need_timer is None:
            loop = asyncio.get_running_loop()
            self._need_timer = loop.call_later(NEED_DELAY_S, self._send_need)

    def _send_need(self) -> None:
        self._need_timer = None
        self._send_summary(urgent=True)
        if self._serving.waiting:
            loop = asyncio.get_running_loop()
            self._need_timer = loop.call_later(NEED_REPEAT_S, self._send_need)

    def _send_summary(self, urgent: bool = False) -> None:
        """Sends a summary; an urgent one without load and demand."""
        now = asyncio.get_running_loop().time()
        self._number += 1
        loads = None if urgent else self._own_loads()
        summary = summaries.Summary(
            instance=self._me.instance,
            data_centre=self._place.data_centre,
            incarnation=self._incarnation,
            number=self._number,
            loads=loads,
            demand=[] if urgent else self._changed_demand(),
            needs=[
                summaries.Need(*key, count)
                for key, count in self._serving.waiting.items()
            ],
            uses=[
                summaries.AdapterUse(*key) for key in self._serving.take_uses()
            ],
            unreachable=[
                t.entry.identity
                for t in self._book.all()
                if now - t.unreachable_at < UNREACHABLE_TOLD_S
            ],
            lost_runs=self._serving.lost_runs.fresh(now),
            samples=[] if urgent else self._serving.paces.take_samples(),
        )
        holder = self.lease.holder
        if self.lease.fence:
            self._take_summary(summary, now)
        elif holder is not None:
            self._members.send(summary, holder.address)

    def _own_loads(self) -> list[summaries.EngineLoad]:
        loads = [
            summaries.EngineLoad(
                t.entry.identity,
                t.in_flight,
                int(t.prompt_tokens),
                int(t.late_tokens),
            )
            for t in self._book.all()
            if t.in_flight
        ]
        self._reported = {load.target: load for load in loads}
        return loads

    def _changed_demand(self) -> list[summaries.Demand]:
        """Returns the counts that changed in the last few summaries.

        Counts are cumulative and each is sent several times, because a
        datagram may be lost; all 305 models of a large fleet would take 4 KB.
        """
        rows = []
        for key, arrived in self._serving.arrivals.items():
            told, times = self._told_demand.get(key, (0, 0))
            if told != arrived.count:
                times = 0
            if times < DEMAND_REPEATS:
                self._told_demand[key] = (arrived.count, times + 1)
                rows.append(
                    summaries.Demand(*key, arrived.count, arrived.objective_s)
                )
        return rows

    def _received(self, data: bytes, address: tuple[str, int]) -> None:
        message = summaries.decode(data)
        now = asyncio.get_running_loop().time()
        if isinstance(message, summaries.Summary):
            if self.lease.fence:
                self._members.heard(
                    message.instance, address[0], message.data_centre, now
                )
                self._take_summary(message, now)
        elif isinstance(message, summaries.Board):
            self._take_board(message, now)
        elif isinstance(message, summaries.StoreChanges):
            if message.fence >= self._board_fence:
                if message.deputies is not None and not self.lease.fence:
                    self._mirror.deputies.change(
                        message.deputies, message.leads
                    )
                self._mirror.relayed_changes(
                    [_relayed(change) for change in message.changes],
                    message.before,
                    message.after,
                    message.source,
                    message.parts,
                    message.part,
                )
        elif isinstance(message, summaries.RenewalRequest):
            self._start(
                self.keeper.renew_for(
                    message, address[0], self._mirror.copy.complete_revision
                )
            )
        elif isinstance(message, summaries.RenewalAnswer):
            if message.store_revision > self._mirror.revision:
                source = f"{address[0]}:{self._operator_port}"
                self._start(self._mirror.catch_up(source))
            self.keeper.take_answer(message)
        else:
            telemetry.log(
                _log,
                "datagram_malformed",
                level=logging.WARNING,
                peer=address[0],
            )

    def _take_summary(self, summary: summaries.Summary, now: float) -> None:
        self._giver.take(summary, now)
        if summary.instance != self._me.instance:
            for sample in summary.samples:
                self._serving.paces.of_service(sample.service).learn(sample)
        news = self._unreachable.take(summary, now)
        if news:
            self._avoid(self._unreachable.judged(now), now)
        for row in summary.lost_runs:
            news |= self._lost_runs.lost(row.request, row.target, now)
        if news:
            self._serving.lost_runs.refuse(self._lost_runs.refused(now), now)
            self._broadcast([], [], numbered=False)

    def _avoid(self, rows: list[summaries.Unreachable], now: float) -> None:
        """Takes over which targets are to be avoided."""
        region = self._place.region_of(self._place.data_centre)
        for row in rows:
            target = self._book.get(row.target)
            here = region in row.regions
            if target is None or not here or target.avoided_until > now:
                continue
            target.avoided_until = now + row.left_s
            telemetry.log(
                _log, "target_avoided", target=row.target, left_s=row.left_s
            )

    def _start(self, call: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _take_board(self, board: summaries.Board, now: float) -> None:
        if board.fence < self._board_fence:
            return
        if board.fence > self._board_fence:
            self._board_fence, self._board_number = board.fence, 0
            # What an earlier holder told need not hold any more.
            self._told_holdings.clear()
        self._take_holdings(board.holdings, now)
        self._avoid(board.unreachable, now)
        self._serving.lost_runs.refuse(board.refused, now)
        if board.coming is not None:
            self._take_coming(board.coming, now)
        if board.number <= self._board_number:
            return
        self._board_number = board.number
        if board.store_age_s < 0.0:
            self._mirror.relay_ended()
        elif not self.lease.fence:
            self._mirror.relayed(board.store_revision, board.store_age_s)
        self._serving.members = board.members
        if not self.lease.fence:
            for service, figures in board.paces.items():
                self._serving.paces.of_service(service).adopt(figures)
        if board.rates:
            self._serving.rates.told(
                {(r.service, r.model): r.per_s for r in board.rates}, now
            )
        self._loads_valid_s = max(
            LOAD_TOLD_VALID_S, LOAD_TELLINGS_VALID * board.loads_every_s
        )
        for load in board.loads:
            target = self._book.get(load.target)
            if target is None:
                continue
            own = self._reported.get(load.target, _NO_LOAD)
            target.others_in_flight = max(0, load.in_flight - own.in_flight)
            target.others_prompt_tokens = max(
                0, load.prompt_tokens - own.prompt_tokens
            )
            target.others_late_tokens = max(
                0, load.late_tokens - own.late_tokens
            )
            target.others_at = self._told_loads[load.target] = now

    def _take_holdings(
        self, holdings: list[summaries.Holding], now: float
    ) -> None:
        changed = False
        for holding in holdings:
            held = {m: frozenset(a) for m, a in holding.models.items()}
            changed |= self._book.tell(holding.target, held, now)
        if changed:
            self._serving.changed()

    def _expire_loads(self) -> None:
        now = asyncio.get_running_loop().time()
        for name, at in list(self._told_loads.items()):
            if now - at > self._loads_valid_s:
                del self._told_loads[name]
                target = self._book.get(name)
                if target is not None:
                    target.others_in_flight = 0
                    target.others_prompt_tokens = 0
                    target.others_late_tokens = 0

    def _holdings_changed(self, holdings: list[summaries.Holding]) -> None:
        """Tells all instances soon, with what else changes until then."""
        loop = asyncio.get_running_loop()
        self._take_holdings(holdings, loop.time())
        for holding in holdings:
            if self._told_holdings.get(holding.target) != holding.models:
                self._told_holdings[holding.target] = holding.models
                self._changed_holdings[holding.target] = holding
        if self._changed_holdings:
            self._tell_soon()

    def _plan_changed(self) -> None:
        """Tells all instances soon which models are coming.

        Load pattern: callers of a model that no engine holds wait for word
        whether it is loaded in time; the next board comes up to 0.5 s later.
        """
        self._plan_news = True
        self._tell_soon()

    def _tell_soon(self) -> None:
        if self._holdings_timer is None:
            loop = asyncio.get_running_loop()
            self._holdings_timer = loop.call_later(
                HOLDINGS_DELAY_S, self._send_holdings
            )

    def _send_holdings(self) -> None:
        self._holdings_timer = None
        rows = list(self._changed_holdings.values())
        self._changed_holdings.clear()
        now = asyncio.get_running_loop().time()
        coming = self._giver.coming(now) if self._plan_news else None
        self._plan_news = False
        if coming is not None:
            self._take_coming(coming, now)
        for first in range(0, max(1, len(rows)), MAX_HOLDINGS):
            told = coming if first == 0 else None
            self._broadcast(
                rows[first : first + MAX_HOLDINGS],
                [],
                numbered=False,
                coming=told,
            )

    def _take_coming(self, coming: list[summaries.Coming], now: float) -> None:
        changed = {(c.service, c.model): now + c.left_s for c in coming}
        news = changed.keys() - self._serving.coming.keys()
        self._serving.coming = changed
        if news:
            # Those that wait for a model learn when it will be usable.
            self._serving.changed()

    def _send_board(self) -> None:
        now = asyncio.get_running_loop().time()
        self._members.expire(now - demandbook.SUMMARY_VALID_S)
        self._mirror.deputies.change(self._relay.deputies(), True)
        known = self._giver.holdings()
        start = self._turn % max(1, len(known))
        repeated = (known + known)[start : start + REPEATED_HOLDINGS]
        self._turn += REPEATED_HOLDINGS
        due = now - self._loads_sent_at >= self._loads_every_s()
        loads = self._loads(now) if due else []
        rates = self._giver.demand.rates(LEAST_RATE_PER_S) if due else []
        if now - self._pace_logged_at >= PACE_LOG_S:
            self._pace_logged_at = now
            self._log_pace()
        own = self._board(repeated[: len(known)], loads, True, rates)
        self._take_board(own, now)
        self._members.send_all(
            self._board(repeated[: len(known)], loads[:MAX_ROWS], True, rates)
        )
        if len(loads) <= MAX_SHARED_LOADS:
            self._send_loads(loads[MAX_ROWS:], None)
            return
        by_region: dict[str, list[summaries.EngineLoad]] = {}
        for load in loads[MAX_ROWS:]:
            target = self._book.get(load.target)
            if target is not None:
                region = self._place.region_of(target.entry.data_centre)
                by_region.setdefault(region, []).append(load)
        for region, rows in by_region.items():
            self._send_loads(rows, region)

    def _loads_every_s(self) -> float:
        """Returns the seconds between two boards with loads."""
        per_peer_s = LOADS_S_PER_PEER
        if self._strong:
            per_peer_s = STRONG_LOADS_S_PER_PEER
        return per_peer_s * len(self._members)

    def _log_pace(self) -> None:
        for service in self._serving.engine_services():
            pace = self._serving.paces.of_service(service)
            telemetry.log(
                _log,
                "engine_pace",
                service=service,
                idle_s=pace.first_event_s(0.0, 0.0),
                prompt_tokens_per_s=1.0 / pace.prompt_s(1.0),
                running_s=pace.request_s(0.0),
                answer_token_s=pace.rest_s(1, 0.0),
                request_tokens=pace.new_tokens,
                caution=pace.caution,
            )

    def _loads(self, now: float) -> list[summaries.EngineLoad]:
        """Returns the load of all targets that changed or have some."""
        self._loads_sent_at = now
        totals = self._giver.demand.loads(now)
        # A target that became idle is listed once more, with zeros.
        idle = self._listed_loads - totals.keys()
        self._listed_loads = set(totals)
        return [
            *totals.values(),
            *(summaries.EngineLoad(name, 0, 0, 0) for name in idle),
        ]

    def _send_loads(
        self, loads: list[summaries.EngineLoad], region: str | None
    ) -> None:
        """Sends loads to the instances of a region, or to all."""
        for first in range(0, len(loads), MAX_ROWS):
            rows = loads[first : first + MAX_ROWS]
            self._members.send_all(
                self._board([], rows, True, []),
                lambda p: (
                    region in (None, self._place.region_of(p.data_centre))
                ),
            )

    def _board(
        self,
        holdings: list[summaries.Holding],
        loads: list[summaries.EngineLoad],
        numbered: bool,
        rates: list[summaries.Rate],
        coming: list[summaries.Coming] | None = None,
    ) -> summaries.Board:
        self._number += numbered
        now = asyncio.get_running_loop().time()
        age_s = now - self._mirror.contact_at
        paces = self._serving.paces.figures(self._serving.engine_services())
        return summaries.Board(
            fence=self.lease.fence,
            number=self._number if numbered else 0,
            holdings=holdings,
            loads=loads,
            coming=self._giver.coming(now) if numbered else coming,
            members=len(self._members) + 1,
            store_revision=self._mirror.revision,
            store_age_s=-1.0 if self._ending else age_s,
            unreachable=self._unreachable.judged(now),
            refused=self._lost_runs.refused(now),
            rates=rates,
            paces=paces if rates else {},
            loads_every_s=self._loads_every_s() if numbered else 0.0,
        )

    def relay(
        self, changes: storemirror.Changes, before: int, after: int
    ) -> None:
        """Tells all instances what changed in the store.

        Args:
          changes: The changes that are news to others.
          before: Revision before them.
          after: Revision up to which this instance's copy is complete.
        """
        if self.lease.fence:
            complete = self._mirror.copy.knows_removals_since(before)
            self._relay.send(self.lease.fence, changes, before, after, complete)

    def _broadcast(
        self,
        holdings: list[summaries.Holding],
        loads: list[summaries.EngineLoad],
        numbered: bool,
        coming: list[summaries.Coming] | None = None,
    ) -> None:
        board = self._board(holdings, loads, numbered, [], coming)
        self._members.send_all(board)
