"""Serves callers' requests: decides, sends, relays, repeats, resumes.

The decisions are those of `targetchoice`, `followup` and `repeatbudget`; this
module carries them out and tells each caller the truth about its request:
429 and 503 say that it has not run and never will, 502 and 504 say nothing.
"""

import asyncio
import collections
import dataclasses
import json
import logging
import math
import random
from collections.abc import Callable
from typing import Any

from carobsail import (
    answerrelay,
    callerwire,
    calls,
    crashes,
    errors,
    eventstream,
    followup,
    httpserver,
    promptmemory,
    refusals,
    repeatbudget,
    routetable,
    sendrates,
    targetbook,
    targetchoice,
    targetpace,
    targetpools,
    telemetry,
)

# Time that an answer needs to reach its caller.
ANSWER_MARGIN_S = 0.02
# Assumed before the order giver has told how many instances there are.
UNKNOWN_MEMBERS = 16
# A request that still waits this long before the process ends is refused; one
# that was sent may need as long for its answer.
STOP_WAIT_MARGIN_S = 2.0
RETRY_SPREAD = 1.3
# What others send is known this much later on average: boards come twice a
# second, with what summaries told up to 0.5 s before.
LOAD_AGE_S = 0.5
# A refused caller comes back within this time, a third of 5 s and the way.
RETURN_S = 2.5
# A need of a refused caller counts on for this long, while it may come back.
REFUSED_NEED_S = 4.0
# A load that should have ended this long ago is not counted on any more.
LOAD_OVERDUE_S = 1.0
# An instance that has just started reads the store within this time.
START_RETRY_S = 0.4
# Patience that is assumed of a caller that states none.
DEFAULT_PATIENCE_S = 30.0
# Ends of a send after which its target may have crashed.
LOST_REASONS = (errors.Reason.CONNECTION_LOST, errors.Reason.ANSWER_CUT)
# Classes by which a request that cannot be on time goes behind the others: the
# ranks of streams on the users' sheets are 0 and 1, two classes apart.
LATE_URGENCY = 3
# Objective from which on a stream yields to those with a shorter one.
PATIENT_OBJECTIVE_S = 5.0

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class BudgetTerms:
    """Bound on repeats over all instances, see `RepeatBudget`."""

    ratio: float
    allowance: float
    window_s: float


@dataclasses.dataclass(slots=True)
class Arrivals:
    """Requests for a model since the start, without those that came back.

    Load pattern: callers of a model with too few copies are refused and ask
    again at any instance, so demand looks twice as high as it is: 28 copies
    were loaded where 12 were needed, at engines that others had lost.

    Attributes:
      count: Requests.
      objective_s: Shortest objective of them.
      returning: Until when each refused caller is expected back, here or, as
        likely, another one's caller in its place.
    """

    count: int = 0
    objective_s: float = 3600.0
    returning: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )

    def add(self, objective_s: float, now: float) -> bool:
        """Counts a request, unless a refused caller is expected.

        Returns:
          Whether it was counted.
        """
        self.objective_s = min(self.objective_s, objective_s)
        while self.returning and self.returning[0] <= now:
            self.returning.popleft()
        if self.returning:
            self.returning.popleft()
            return False
        self.count += 1
        return True


class Serving:
    """The request path of one instance.

    Attributes:
      table: Configuration in force, or None before the first one.
      table_since: Loop time at which it came into force.
      book: Targets.
      members: Number of instances known, this one included.
      waiting: Requests that wait for a model or adapter, by name.
      arrivals: Requests by service and model since the start.
      coming: When models that are being loaded will be usable, by service
        and model.
      stops_at: When the instance ends, or None while it does not stop.
      draining: Whether it takes no more requests that may outlast it.
      rates: How much the other instances send.
      lost_runs: Targets that were lost while they ran a request.
      paces: How fast targets answer.
    """

    def __init__(
        self,
        wire: callerwire.CallerWire,
        book: targetbook.TargetBook,
        place: targetchoice.Place,
        budget: BudgetTerms,
        metrics: telemetry.Metrics,
        rng: random.Random,
    ) -> None:
        """Creates the request path.

        Args:
          wire: Headers of the deployment.
          book: Targets.
          place: Where this instance runs.
          budget: Bound on repeats.
          metrics: Counters and timings.
          rng: Source of random choices.
        """
        self.table: routetable.RouteTable | None = None
        self.table_since = 0.0
        self.book = book
        self.members = UNKNOWN_MEMBERS
        self.in_flight = 0
        self.waiting: dict[tuple[str, str, str], int] = {}
        self.arrivals: dict[tuple[str, str], Arrivals] = {}
        self.coming: dict[tuple[str, str], float] = {}
        self.stops_at: float | None = None
        self.draining = False
        self.rates = sendrates.SendRates()
        self.lost_runs = crashes.LostRuns()
        self.paces = targetpace.PaceBook()
        self._uses: set[tuple[str, str, str]] = set()
        self._wire = wire
        self._place = place
        self._budget_terms = budget
        self._budgets: dict[str, repeatbudget.RepeatBudget] = {}
        self._metrics = metrics
        self._rng = rng
        # Set by what tells the order giver that requests wait.
        self.on_need: Callable[[str, str, str], None] = lambda *_: None
        # Set by what tells the order giver that a target was not reached.
        self.on_unreachable: Callable[[], None] = lambda: None
        # Set by what knows how old the list of targets is, for the log.
        self.copy_age_s: Callable[[], float] = lambda: 0.0
        self._pools = targetpools.Pools()
        self._memory = promptmemory.PromptMemory()
        self._answers = answerrelay.AnswerRelay(wire, self._memory, metrics)
        self._changed = asyncio.Event()

    def set_budget(self, terms: BudgetTerms) -> None:
        """Changes the bound on repeats; what was counted is kept."""
        self._budget_terms = terms
        for budget in self._budgets.values():
            budget.change(terms.ratio, terms.allowance, terms.window_s)

    def engine_services(self) -> list[str]:
        """Returns the names of the services whose targets are engines."""
        services = self.table.services if self.table else {}
        return [name for name, service in services.items() if service.pool]

    def _learn(self, call: calls.Call, served: bool) -> None:
        """Learns from the last send how fast its target answers."""
        expected, now = call.forecast, asyncio.get_running_loop().time()
        if expected is None:
            return
        service, took_s = call.want.service, now - call.sent_at
        if not call.want.model:
            if served:
                self.paces.of_service(service).learn_plain(
                    expected.rounds, expected.in_flight, took_s
                )
            return
        first_s = call.first_event_s
        if first_s is None or call.late:
            return  # A late request waits for those that came after it.
        self.paces.answered(
            targetpace.Sample(
                service,
                round(expected.prompt_tokens),
                round(expected.new_tokens),
                expected.in_flight,
                first_s,
                call.terms.answer_tokens if served else 0,
                took_s - first_s,
            )
        )

    def take_uses(self) -> set[tuple[str, str, str]]:
        """Returns target, model and adapter of sends since the last call."""
        uses, self._uses = self._uses, set()
        return uses

    def changed(self) -> None:
        """Wakes the requests that wait, after a change of targets."""
        identities = {t.entry.identity for t in self.book.all()}
        self._pools.keep_only(identities)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        """Serves one request; see `httpserver.Handler`."""
        now = asyncio.get_running_loop().time()
        terms = self._wire.read_terms(request)
        if isinstance(terms, errors.Failure):
            await self._refuse_unadmitted(request, responder, None, terms, now)
            return
        call = self._admit(request, responder, terms, now)
        if isinstance(call, errors.Failure):
            await self._refuse_unadmitted(request, responder, terms, call, now)
            return
        self.in_flight += 1
        work = asyncio.create_task(self._serve(call))
        left = asyncio.create_task(responder.disconnected.wait())
        try:
            await asyncio.wait({work, left}, return_when="FIRST_COMPLETED")
        finally:
            self.in_flight -= 1
            left.cancel()
            if not work.done():
                # Closes the connection to the target, which stops its work.
                work.cancel()
            await asyncio.wait({work})
        gone = responder.disconnected.is_set() and not responder.finished
        self._report(call, gone)
        if not work.cancelled() and (error := work.exception()):
            raise error

    async def _refuse_unadmitted(
        self,
        request: httpserver.Request,
        responder: httpserver.Responder,
        terms: callerwire.Terms | None,
        failure: errors.Failure,
        now: float,
    ) -> None:
        """Refuses a request before it has a route, and logs what decided."""
        await self._answer_failure(
            responder,
            terms.request if terms else "",
            failure,
            None,
            method=request.method,
            host=terms.host if terms else request.header("host"),
            path=request.path[: refusals.MAX_LOGGED_PATH],
            table_revision=self.table.revision if self.table else 0,
            table_age_s=now - self.table_since,
        )

    def _admit(
        self,
        request: httpserver.Request,
        responder: httpserver.Responder,
        terms: callerwire.Terms,
        now: float,
    ) -> calls.Call | errors.Failure:
        """Finds the route of a request."""
        if self.table is None:
            return _failure(
                errors.Reason.NOT_READY,
                "no configuration is known",
                START_RETRY_S,
            )
        route = self.table.match(terms.host, request.path)
        if route is None:
            return _failure(
                errors.Reason.UNKNOWN_PATH,
                f"no route in version {self.table.version}",
            )
        if self.draining and self.stops_at is not None:
            longest_s = min(route.timeout_s, terms.patience_s or math.inf)
            if now + longest_s > self.stops_at:
                # Kept connections may bring requests until the end; this one
                # could be cut, and another instance serves it whole.
                return _failure(
                    errors.Reason.LEAVING,
                    "the instance stops",
                    targetchoice.MIN_RETRY_S,
                )
        identity = crashes.fingerprint(request)
        if identity and self.lost_runs.refuses(identity, now):
            return _failure(
                errors.Reason.SUSPECT_REFUSED,
                "targets were lost each time while they ran it",
                targetchoice.MAX_RETRY_S,
            )
        patience_s = terms.patience_s
        if patience_s is None:
            patience_s = DEFAULT_PATIENCE_S
        leaves_at = now + patience_s
        service = route.pick_service(self._rng)
        want = targetchoice.Want(
            service,
            terms.model,
            terms.adapter,
            terms.prompt_tokens,
            min(leaves_at, now + route.timeout_s) - ANSWER_MARGIN_S,
            now + route.objective_s,
            now + route.silence_s - ANSWER_MARGIN_S,
            0 if terms.last_event else terms.answer_tokens,
        )
        self._budget(service).count_request(now)
        self.rates.count(service, now)
        counted = False
        if terms.model:
            arrived = self.arrivals.setdefault(
                (service, terms.model), Arrivals()
            )
            counted = arrived.add(route.objective_s, now)
        return calls.Call(
            request,
            responder,
            terms,
            followup.Progress(route, last_event=terms.last_event),
            want,
            now,
            leaves_at,
            eventstream.EventCursor(),
            identity,
            counted,
        )

    def _budget(self, service: str) -> repeatbudget.RepeatBudget:
        budget = self._budgets.get(service)
        if budget is None:
            terms = self._budget_terms
            budget = self._budgets[service] = repeatbudget.RepeatBudget(
                terms.ratio, terms.allowance, terms.window_s
            )
        return budget

    async def _serve(self, call: calls.Call) -> None:
        try:
            async with asyncio.timeout_at(call.want.due_at):
                await self._try_targets(call)
        except TimeoutError:
            self._note_silence(call)
            call.failure = errors.Failure(
                errors.Reason.TIMEOUT,
                errors.Step.ANSWER,
                call.targets[-1] if call.targets else "",
                errors.Outcome.UNKNOWN
                if call.progress.may_have_run
                else errors.Outcome.NOT_RUN,
                "the caller's time or the route's time-out is used up",
            )
        finally:
            self._stop_waiting(call)
        if call.failure is not None:
            await self._end_failed(call, call.failure)

    def _note_silence(self, call: calls.Call) -> None:
        """Records that a target left a request without any answer.

        Load pattern: a target accepts requests and answers nothing, while its
        health check is good; only the time-outs of callers show it.
        """
        if call.targets and not call.progress.head_delivered:
            target = self.book.get(call.targets[-1])
            if target is not None:
                target.answered_badly()

    async def _try_targets(self, call: calls.Call) -> None:
        """Sends until an answer was delivered or nothing more may be done."""
        loop = asyncio.get_running_loop()
        while True:
            target = await self._choose(call)
            if isinstance(target, errors.Failure):
                call.failure = call.failure or target
                return
            if call.progress.arrivals:
                budget = self._budget(call.want.service)
                if not budget.take(self.members, loop.time()):
                    self._metrics.count("repeat_budget_used_up")
                    return
            call.failure = await self._send(call, target)
            if call.failure is None:
                return
            left_s = call.want.due_at - loop.time()
            budget = self._budget(call.want.service)
            budget_left = budget.left(self.members, loop.time())
            after = followup.decide(call.progress, left_s, budget_left)
            telemetry.log(
                _log,
                "send_failed",
                request=call.terms.request,
                target=target.entry.identity,
                entry_revision=target.entry.revision,
                send=call.progress.sends,
                reason=str(call.failure.reason),
                outcome=str(call.failure.outcome),
                detail=call.failure.detail,
                left_s=left_s,
                next=str(after),
            )
            if after in (followup.Next.FAIL, followup.Next.REFUSE):
                return
            if after is followup.Next.RESUME:
                call.want.answer_tokens = 0
            if self.lost_runs.refuses(call.identity, loop.time()):
                return

    async def _choose(
        self, call: calls.Call
    ) -> targetbook.Target | errors.Failure:
        """Decides until the request has a target or is refused."""
        loop = asyncio.get_running_loop()
        want = call.want
        while True:
            now = loop.time()
            targets = self.book.of_service(want.service, now)
            service = self.table.services.get(want.service)  # type: ignore[union-attr]
            pool = service.pool if service else None
            if want.model:
                want.cached_tokens = {
                    t.entry.identity: self._memory.cached_tokens(
                        t.entry.identity,
                        f"{want.model}/{want.adapter}",
                        call.terms.prompt_parts,
                    )
                    for t in targets
                    if want.model in t.held
                }
            others_per_s = self.rates.others(
                want.service, want.model, self.members, now
            )
            want.rivals = LOAD_AGE_S * others_per_s
            want.draw = self._rng.random()
            want.load_left_s = self._load_left_s(want, now)
            if call.awaiting:
                want.waited_s = now - call.awaiting_since
            left_s = max(0.0, call.leaves_at - now)
            choice = targetchoice.decide(
                want,
                targets,
                pool,
                self._place,
                now,
                self.paces.of_service(want.service),
            )
            if isinstance(choice, targetchoice.Wait) and self.stops_at:
                # What waits at the end of the process would get no answer.
                if now > self.stops_at - STOP_WAIT_MARGIN_S:
                    choice = targetchoice.Refuse(
                        "instance_stops", targetchoice.MIN_RETRY_S
                    )
            if isinstance(choice, targetchoice.Send):
                self._stop_waiting(call)
                call.predicted_s = choice.cost_s
                call.forecast = choice.forecast
                call.late = choice.late
                return choice.target
            if isinstance(choice, targetchoice.Refuse):
                self._stop_waiting(call, min(left_s, REFUSED_NEED_S))
                key = (want.service, want.model)
                if call.counted and key in self.arrivals:
                    self.arrivals[key].returning.append(now + RETURN_S)
                # Callers that are refused together come back one by one.
                spread = self._rng.uniform(1.0, RETRY_SPREAD)
                return _failure(
                    errors.Reason.NO_TARGET,
                    choice.reason,
                    choice.retry_after_s * spread,
                )
            self._start_waiting(call, choice.reason)
            changed = self._changed
            try:
                async with asyncio.timeout_at(choice.until):
                    await changed.wait()
            except TimeoutError:
                pass  # The time of the next decision has come.

    def _log_refused(self, call: calls.Call) -> None:
        telemetry.log(
            _log,
            "request_ends_targets",
            level=logging.WARNING,
            request=call.terms.request,
            path=call.request.path,
            targets=",".join(call.targets),
        )

    def _load_left_s(self, want: targetchoice.Want, now: float) -> float | None:
        """Returns the seconds until a model that is loaded can be used."""
        usable_at = self.coming.get((want.service, want.model))
        if usable_at is None or now - usable_at > LOAD_OVERDUE_S:
            return None
        return max(0.0, usable_at - now)

    def _start_waiting(self, call: calls.Call, reason: str) -> None:
        want = call.want
        if not call.awaiting and reason in ("model", "adapter"):
            key = (want.service, want.model, want.adapter)
            self.waiting[key] = self.waiting.get(key, 0) + 1
            call.awaiting = reason
            call.awaiting_since = asyncio.get_running_loop().time()
            telemetry.log(
                _log,
                "request_waits",
                request=call.terms.request,
                reason=reason,
                model=want.model,
                adapter=want.adapter,
                left_s=want.due_at - asyncio.get_running_loop().time(),
            )
        if reason in ("model", "adapter"):
            self.on_need(want.service, want.model, want.adapter)

    def _stop_waiting(self, call: calls.Call, still_s: float = 0.0) -> None:
        """Ends a wait; what is needed counts on for a while after a refusal.

        Load pattern: callers of a model that nobody holds are refused after
        0.5 s and come back within their 5 s. While they are away nobody seems
        to need the model, so it is never loaded.
        """
        if not call.awaiting:
            return
        call.awaiting = ""
        want = call.want
        key = (want.service, want.model, want.adapter)
        if still_s > 0.0:
            loop = asyncio.get_running_loop()
            loop.call_later(still_s, self._end_need, key)
        else:
            self._end_need(key)

    def _end_need(self, key: tuple[str, str, str]) -> None:
        self.waiting[key] -= 1
        if not self.waiting[key]:
            del self.waiting[key]

    async def _send(
        self, call: calls.Call, target: targetbook.Target
    ) -> errors.Failure | None:
        """Sends to one target and relays; returns why it did not succeed."""
        loop = asyncio.get_running_loop()
        progress = call.progress
        progress.sends += 1
        call.sent_at = loop.time()
        call.first_event_s = None
        call.targets.append(target.entry.identity)
        if call.want.adapter:
            self._uses.add(
                (target.entry.identity, call.want.model, call.want.adapter)
            )
        left_s = call.leaves_at - loop.time()
        plan = callerwire.SendPlan(
            target.entry.identity,
            None if call.terms.patience_s is None else left_s,
            _urgency(progress.route, call.late) if call.terms.model else None,
            progress.last_event,
        )
        service = self.table.services.get(call.want.service)  # type: ignore[union-attr]
        pool = self._pools.get(
            target.entry, service.connections if service else 64
        )
        telemetry.log(
            _log,
            "request_sent",
            request=call.terms.request,
            target=target.entry.identity,
            data_centre=target.entry.data_centre,
            entry_revision=target.entry.revision,
            lapsed=target.lapsed_at is not None,
            table_version=self.table.version,  # type: ignore[union-attr]
            copy_age_s=self.copy_age_s(),
            send=progress.sends,
            late=call.late,
            predicted_s=call.predicted_s,
            predicted_end_s=call.forecast.end_s if call.forecast else 0.0,
            in_flight=target.in_flight,
            prompt_tokens=target.prompt_tokens,
            others_in_flight=target.others_in_flight,
            others_prompt_tokens=target.others_prompt_tokens,
            others_age_s=loop.time() - target.others_at,
            failure_share=target.failure_share,
            resumes_after=progress.last_event,
        )
        load = targetpools.TargetLoad(target, call.want, call.late)
        # Before the first byte is written: if this task is cancelled from now
        # on, the request may have run.
        progress.may_have_run += 1
        resumes, ended = bool(progress.last_event), False
        result: errors.Failure | None = None
        try:
            answer = await pool.request(
                call.request.method,
                call.request.target,
                self._wire.target_headers(call.request, plan),
                call.request.body,
                reuse=progress.route.idempotent or progress.route.resumable,
            )
            result = await self._answers.take(call, target, pool, answer, load)
            ended = True
        finally:
            load.end()
            if result is None and not resumes:
                self._learn(call, ended)
        if result is None:
            target.succeeded()
            self.lost_runs.finished(call.identity)
            return None
        call.want.excluded.add(target.entry.identity)
        if result.outcome is errors.Outcome.NOT_RUN:
            progress.may_have_run -= 1
        if result.step is errors.Step.CONNECT:
            progress.unsent += 1
        elif result.reason in LOST_REASONS:
            name = target.entry.identity
            if self.lost_runs.lost(call.identity, name, loop.time()):
                self._log_refused(call)
            self.on_unreachable()
        if result.reason is errors.Reason.TARGET_ERROR:
            target.answered_badly()
        elif result.reason is errors.Reason.CONNECT_FAILED:
            target.failed(loop.time(), unreachable=True)
            self.on_unreachable()
        elif result.reason is not errors.Reason.TARGET_REFUSED:
            target.failed(loop.time())
        return result

    async def _end_failed(
        self, call: calls.Call, failure: errors.Failure
    ) -> None:
        """Gives a request its final answer without a success."""
        if call.progress.head_delivered:
            call.responder.abort()
        elif call.responder.started:
            call.responder.abort()
        elif call.verdict is not None:
            await call.responder.send(*call.verdict)
        else:
            outcome = (
                errors.Outcome.UNKNOWN
                if call.progress.may_have_run
                else errors.Outcome.NOT_RUN
            )
            failure = dataclasses.replace(failure, outcome=outcome)
            await self._answer_failure(
                call.responder, call.terms.request, failure, call.want
            )

    async def _answer_failure(
        self,
        responder: httpserver.Responder,
        request: str,
        failure: errors.Failure,
        want: targetchoice.Want | None,
        **inputs: Any,
    ) -> None:
        """Answers with a failure of carobsail's own.

        Args:
          responder: Takes the answer.
          request: Identifier of the request; empty if it has none.
          failure: Why the request fails.
          want: What the request asks of a target, if it was admitted.
          inputs: What else decided the failure, for its log line.
        """
        status = _status(failure)
        if status == 503 and failure.retry_after_s is None:
            failure = dataclasses.replace(
                failure, retry_after_s=targetchoice.MIN_RETRY_S
            )
        telemetry.log(
            _log,
            "request_refused",
            request=request,
            status=status,
            reason=str(failure.reason),
            outcome=str(failure.outcome),
            detail=failure.detail,
            retry_after_s=failure.retry_after_s,
            table_version=self.table.version if self.table else 0,
            model=want.model if want else "",
            **inputs,
        )
        self._metrics.count(f"refused_{failure.reason}")
        await responder.send(
            status,
            self._wire.own_headers(request, failure),
            json.dumps(failure.describe(status)).encode(),
        )

    def _report(self, call: calls.Call, gone: bool) -> None:
        """Logs the end of a request."""
        elapsed_s = asyncio.get_running_loop().time() - call.arrived_at
        outcome = "served"
        if gone:
            outcome = "caller_left"
        elif call.failure is not None:
            outcome = "failed"
        self._metrics.count(f"request_{outcome}")
        self._metrics.time_ms("request", 1000.0 * elapsed_s)
        telemetry.log(
            _log,
            "request_ended",
            request=call.terms.request,
            route=call.route.name,
            model=call.want.model,
            adapter=call.want.adapter,
            outcome=outcome,
            targets=",".join(call.targets),
            sends=call.progress.sends,
            sent_after_s=call.sent_at - call.arrived_at if call.targets else 0,
            predicted_s=call.predicted_s,
            first_event_s=call.first_event_s,
            longest_pause_s=call.longest_pause_s,
            last_event_after_s=call.event_at - call.arrived_at
            if call.event_at
            else 0,
            elapsed_s=elapsed_s,
            objective_s=call.route.objective_s,
            table_version=self.table.version if self.table else 0,
        )


def _urgency(route: routetable.Route, late: bool) -> int:
    """Returns the urgency class of a generation, 0 (first) to 9.

    Load pattern: when an engine's queue grows past the objectives, a request
    that cannot be on time loses less by waiting than one that still can.
    """
    urgency = 2 + 2 * min(2, max(0, route.rank))
    if route.objective_s >= PATIENT_OBJECTIVE_S:
        urgency += 1
    if late:
        urgency += LATE_URGENCY
    return min(9, urgency)


def _failure(
    reason: errors.Reason, detail: str, retry_after_s: float | None = None
) -> errors.Failure:
    return errors.Failure(
        reason,
        errors.Step.ROUTE,
        "",
        errors.Outcome.NOT_RUN,
        detail,
        retry_after_s,
    )


def _status(failure: errors.Failure) -> int:
    """Returns the status that says no more than is known."""
    if failure.reason is errors.Reason.BAD_REQUEST:
        return 400
    if failure.reason is errors.Reason.UNKNOWN_PATH:
        return 404
    if failure.outcome is errors.Outcome.NOT_RUN:
        return 503
    return 504 if failure.reason is errors.Reason.TIMEOUT else 502
