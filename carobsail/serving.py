"""Serves callers' requests: routes, forwards, relays, retries and resumes them.

`targetchoice`, `retrydecision` and `retrybudget` make the decisions; this
module carries them out. The status tells a caller what is known about its
request: 429 and 503 guarantee that it has not been executed and never will be,
502 and 504 leave the outcome open.
"""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable

from carobsail import (
    accountadmission,
    bufferlimit,
    calls,
    clientaccounts,
    crashes,
    crashguard,
    errors,
    eventstream,
    failureresponses,
    headercodec,
    httpserver,
    latencymodel,
    modeldemand,
    promptcache,
    refusals,
    requestrates,
    responserelay,
    retrybudget,
    retrydecision,
    routetable,
    storeera,
    targetchoice,
    targetpools,
    targetregistry,
    targetselection,
    telemetry,
)

# Assumed until the coordinator has reported the number of instances.
DEFAULT_INSTANCE_COUNT = 16
# Retry-After is multiplied by a random factor between 1 and this.
MAX_RETRY_JITTER = 1.3
# A newly started instance has read its configuration from the store by then.
STARTUP_RETRY_S = 0.4
# Added to the urgency class of a request that cannot meet its objective, so
# that it runs after the others: the route ranks of streams in use are 0 and 1,
# which are two classes apart.
LATE_URGENCY_OFFSET = 3

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, frozen=True)
class RetryBudgetSettings:
    """Limit on retries over all instances; see `SharedRetryBudget`."""

    ratio: float
    allowance: float
    window_s: float


class RequestHandler:
    """Handles the callers' requests of one instance.

    Attributes:
      route_table: Active configuration, or None before the first one.
      route_table_since: Event loop time at which it became active.
      registry: Known targets.
      instance_count: Number of known instances, including this one.
      in_flight: Requests in progress at this instance.
      model_demand: Demand for models and adapters.
      stops_at: Time at which requests in flight end, or None unless the
        process is stopping.
      draining: Whether requests that could last beyond `stops_at` are refused.
      request_rates: Request rates of the other instances.
      accounts: Limits of client accounts.
      crash_guard: Keeps requests that crash targets away from them.
      latency_models: Learned response times of the targets, by service.
      selector: Chooses the targets of requests.
      on_unreachable: Called when the connection to a target failed.
      target_list_age_s: Returns the age of the list of targets, for the log.
      failures: Sends the error responses.
    """

    def __init__(
        self,
        header_codec: headercodec.HeaderCodec,
        registry: targetregistry.TargetRegistry,
        location: targetchoice.Location,
        budget: RetryBudgetSettings,
        metrics: telemetry.Metrics,
        rng: random.Random,
        buffers: bufferlimit.BufferLimit | None = None,
    ) -> None:
        """Creates the handler.

        Args:
          header_codec: Reads and writes the headers of the deployment.
          registry: Known targets.
          location: Location of this instance.
          budget: Limit on retries.
          metrics: Counters and timings.
          rng: Random number generator.
          buffers: Limit of the bytes received from targets, if shared.
        """
        self.route_table: routetable.RouteTable | None = None
        self.route_table_since = 0.0
        self.registry = registry
        self.instance_count = DEFAULT_INSTANCE_COUNT
        self.in_flight = 0
        self.model_demand = modeldemand.ModelDemand()
        self.stops_at: float | None = None
        self.draining = False
        self.request_rates = requestrates.RequestRates()
        self.accounts = accountadmission.AccountAdmission(metrics, rng)
        self.crash_guard = crashguard.CrashGuard(metrics, self.wake_waiting)
        self.latency_models = latencymodel.LatencyModels()
        self._adapter_uses: set[tuple[str, str, str]] = set()
        self._header_codec = header_codec
        self._budget_settings = budget
        self._budgets: dict[str, retrybudget.SharedRetryBudget] = {}
        self.failures = failureresponses.FailureResponses(header_codec, metrics)
        self._metrics = metrics
        self._rng = rng
        # Replaced by the code that reports unreachable targets to the
        # coordinator.
        self.on_unreachable: Callable[[], None] = lambda: None
        # Replaced by the owner of the list of targets.
        self.target_list_age_s: Callable[[], float] = lambda: 0.0
        self._pools = targetpools.TargetPools(buffers)
        prompt_cache = promptcache.PromptCacheIndex()
        self.selector = targetselection.TargetSelector(
            registry,
            location,
            prompt_cache,
            self.request_rates,
            self.model_demand,
            self.latency_models,
        )
        self._relay = responserelay.ResponseRelay(
            header_codec, prompt_cache, metrics, self._record_leaving
        )
        self._changed = asyncio.Event()
        # Time-outs of the requests in progress.
        self._timeouts: set[asyncio.Timeout] = set()
        self._requests_ended = False

    def set_retry_budget(self, settings: RetryBudgetSettings) -> None:
        """Changes the limit on retries; earlier retries still count."""
        self._budget_settings = settings
        for budget in self._budgets.values():
            budget.change(settings.ratio, settings.allowance, settings.window_s)

    def limit_engine_memory(self, fill_share: float) -> None:
        """Sets `TargetSelector.memory_fill_share`."""
        self.selector = dataclasses.replace(
            self.selector, memory_fill_share=fill_share
        )

    def end_requests(self) -> None:
        """Ends all requests in progress with a final response."""
        self._requests_ended = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now)

    def close(self) -> None:
        """Closes the idle connections to targets."""
        self._pools.close()

    def engine_services(self) -> list[str]:
        """Returns the names of the services whose targets are engines."""
        services = self.route_table.services if self.route_table else {}
        return [name for name, service in services.items() if service.pool]

    def _record_latency(self, call: calls.Call, served: bool) -> None:
        """Updates the latency model of a service from the last send."""
        expected, now = call.forecast, asyncio.get_running_loop().time()
        if expected is None:
            return
        service = call.requirements.service
        if not call.requirements.model:
            if served:
                self.latency_models.of_service(service).record_plain(
                    expected.rounds,
                    expected.in_flight,
                    expected.usual_s(now - call.sent_at),
                )
            return
        sample = call.latency_sample(now, served)
        if sample is not None:
            self.latency_models.record(sample)

    def _record_leaving(
        self, call: calls.Call, target: targetregistry.Target
    ) -> None:
        """Sends no further requests to a target that says it is leaving."""
        if not self.registry.record_leaving(target.entry):
            return
        self._metrics.count("targets_leaving_by_response")
        telemetry.log(
            _log,
            "target_says_leaving",
            request=call.metadata.request_id,
            target=target.entry.identity,
            entry_revision=storeera.describe(target.entry.revision),
            entry_leaving=target.entry.leaving,
            copy_age_s=self.target_list_age_s(),
        )
        self.wake_waiting()

    def take_adapter_uses(self) -> set[tuple[str, str, str]]:
        """Returns (target, model, adapter) of sends since the last call."""
        uses, self._adapter_uses = self._adapter_uses, set()
        return uses

    def wake_waiting(self) -> None:
        """Wakes waiting requests after the targets or their models changed."""
        identities = {t.entry.identity for t in self.registry.all()}
        self._pools.close_others(identities)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        """Serves one request; see `httpserver.Handler`."""
        now = asyncio.get_running_loop().time()
        metadata = self._header_codec.parse_request(request)
        call = (
            metadata
            if isinstance(metadata, errors.Failure)
            else await self._admit(request, responder, metadata, now)
        )
        if isinstance(call, errors.Failure):
            await self._refuse_unadmitted(request, responder, metadata, call)
            return
        self.in_flight += 1
        work = asyncio.create_task(self._serve(call))
        disconnect = asyncio.create_task(responder.disconnected.wait())
        try:
            await asyncio.wait(
                {work, disconnect}, return_when="FIRST_COMPLETED"
            )
        finally:
            self.in_flight -= 1
            disconnect.cancel()
            if not work.done():
                # Closes the connection to the target, which aborts the request.
                work.cancel()
            await asyncio.wait({work})
        caller_left = responder.disconnected.is_set() and not responder.finished
        self._report(call, caller_left)
        if not work.cancelled() and (error := work.exception()):
            raise error

    async def check_head(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> bool:
        """Refuses a request by its head alone; see `httpserver.HeadCheck`."""
        metadata = self._header_codec.parse_request(request)
        if isinstance(metadata, errors.Failure):
            found: object = metadata
        else:
            found = self._find_route(metadata, request.path)
        if not isinstance(found, errors.Failure):
            return False
        await self._refuse_unadmitted(request, responder, metadata, found)
        return True

    async def _refuse_unadmitted(
        self,
        request: httpserver.Request,
        responder: httpserver.Responder,
        metadata: headercodec.RequestMetadata | errors.Failure,
        failure: errors.Failure,
    ) -> None:
        now = asyncio.get_running_loop().time()
        age_s = now - self.route_table_since
        await self.failures.send_unadmitted(
            request, responder, metadata, failure, self.route_table, age_s, now
        )

    async def _admit(
        self,
        request: httpserver.Request,
        responder: httpserver.Responder,
        metadata: headercodec.RequestMetadata,
        now: float,
    ) -> calls.Call | errors.Failure:
        """Finds the route of a request, or returns why it is refused."""
        found = self._find_route(metadata, request.path)
        if isinstance(found, errors.Failure):
            return found
        route, account, identified = found
        if self.draining and targetselection.may_outlast(
            self.stops_at, metadata, route, now
        ):
            # Requests may arrive on keep-alive connections until the end; this
            # one could be cut off, while another instance can finish it.
            return refusals.not_run(
                errors.Reason.LEAVING,
                "the instance stops",
                targetchoice.MIN_RETRY_S,
            )
        traits = crashes.request_traits(request, metadata)
        refusal = self.crash_guard.refusal(traits)
        if refusal is not None:
            return refusal
        charge = await self.accounts.admit(account, metadata)
        if isinstance(charge, errors.Failure):
            return charge
        service = route.pick_service(self._rng)
        requirements = targetselection.make_requirements(
            metadata, route, service, now
        )
        self._budget(service).count_request(now)
        self.request_rates.count(service, now)
        counts_as_demand = False
        if metadata.model:
            counts_as_demand = self.model_demand.count(
                service, metadata.model, route.latency_objective_s, now
            )
        return calls.Call(
            request,
            responder,
            metadata,
            retrydecision.Progress(route, last_event=metadata.last_event),
            requirements,
            now,
            now + targetselection.caller_timeout_s(metadata),
            eventstream.EventCursor(),
            traits,
            account,
            identified,
            counts_as_demand,
            charge,
        )

    def _find_route(
        self, metadata: headercodec.RequestMetadata, path: str
    ) -> (
        tuple[routetable.Route, clientaccounts.ClientAccount | None, bool]
        | errors.Failure
    ):
        """Returns route and account, and whether callers need one."""
        if self.route_table is None:
            return refusals.not_run(
                errors.Reason.NOT_READY,
                "no configuration is known",
                STARTUP_RETRY_S,
            )
        route = self.route_table.match(metadata.host, path)
        if route is None:
            return refusals.not_run(
                errors.Reason.UNKNOWN_PATH,
                f"no route in version {self.route_table.version}",
            )
        accounts, account = self.route_table.accounts, None
        if accounts is not None and not route.anonymous:
            found = accounts.authenticate(metadata.credentials)
            if isinstance(found, errors.Failure):
                return found
            account = found
        return route, account, accounts is not None

    def _budget(self, service: str) -> retrybudget.SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._budget_settings
            budget = self._budgets[service] = retrybudget.SharedRetryBudget(
                settings.ratio, settings.allowance, settings.window_s
            )
        return budget

    async def _serve(self, call: calls.Call) -> None:
        """Runs a request until its final response or its deadline."""
        timeout = asyncio.timeout_at(call.requirements.due_at)
        self._timeouts.add(timeout)
        try:
            async with timeout:
                await self._try_targets(call)
        except TimeoutError:
            ended_by_stop = self._requests_ended
            if not ended_by_stop:
                self._record_unanswered(call)
            call.failure = errors.Failure(
                errors.Reason.LEAVING
                if ended_by_stop
                else errors.Reason.TIMEOUT,
                errors.Step.ANSWER,
                call.targets[-1] if call.targets else "",
                errors.Outcome.UNKNOWN
                if call.progress.may_have_run
                else errors.Outcome.NOT_RUN,
                "the instance stops"
                if ended_by_stop
                else "the caller's time or the route's time-out is used up",
            )
        finally:
            self._timeouts.discard(timeout)
            self.model_demand.end_wait(call)
        if call.failure is not None:
            await self._finish_failed(call, call.failure)

    def _record_unanswered(self, call: calls.Call) -> None:
        """Counts a request that timed out without a response as an error.

        Load pattern: a target accepts requests and never responds although its
        health check passes; only the timeouts of requests reveal it.
        """
        if call.targets and not call.progress.head_delivered:
            target = self.registry.get(call.targets[-1])
            if target is not None:
                target.record_error()

    async def _try_targets(self, call: calls.Call) -> None:
        """Sends until a response was delivered or no retry is allowed."""
        loop = asyncio.get_running_loop()
        while True:
            target = await self._choose(call)
            if isinstance(target, errors.Failure):
                call.failure = call.final_failure(target)
                return
            if call.progress.deliveries:
                budget = self._budget(call.requirements.service)
                if not budget.take_retry(self.instance_count, loop.time()):
                    self._metrics.count("repeat_budget_used_up")
                    return
            call.failure = await self._send(call, target)
            if call.failure is None:
                return
            left_s = call.requirements.due_at - loop.time()
            budget = self._budget(call.requirements.service)
            budget_left = budget.allows_retry(self.instance_count, loop.time())
            action = retrydecision.next_action(
                call.progress, left_s, budget_left
            )
            telemetry.log(
                _log,
                "send_failed",
                request=call.metadata.request_id,
                path=call.request.path[: refusals.MAX_LOGGED_PATH],
                fingerprint=f"{call.traits.fingerprint:016x}",
                target=target.entry.identity,
                entry_revision=storeera.describe(target.entry.revision),
                send=call.progress.sends,
                reason=str(call.failure.reason),
                outcome=str(call.failure.outcome),
                detail=call.failure.detail,
                left_s=left_s,
                after_s=loop.time() - call.sent_at,
                head_received=call.head_received,
                first_event_s=call.first_event_s,
                prompt_parts=",".join(
                    name for name, _ in call.metadata.prompt_parts
                ),
                next=str(action),
            )
            if action in (
                retrydecision.NextAction.FAIL,
                retrydecision.NextAction.REFUSE,
            ):
                return
            if action is retrydecision.NextAction.RESUME:
                call.requirements.answer_tokens = 0
            if not await self.crash_guard.may_send_again(call):
                return

    async def _choose(
        self, call: calls.Call
    ) -> targetregistry.Target | errors.Failure:
        """Returns a target as soon as one is available, or a refusal."""
        loop = asyncio.get_running_loop()
        requirements = call.requirements
        while True:
            refusal = self.crash_guard.refusal(call.traits)
            if refusal is not None:
                self.model_demand.end_wait(call)
                return refusal
            now = loop.time()
            call.complete_requirements(self.instance_count)
            if call.waiting_for:
                requirements.waited_s = now - call.waiting_since
            choice = self.selector.choose(
                requirements,
                call.metadata.prompt_parts,
                self.route_table,  # type: ignore[arg-type]
                self.instance_count,
                self.stops_at,
                self._rng.random(),
                now,
                self.target_list_age_s(),
            )
            if isinstance(choice, targetchoice.Send):
                self.model_demand.end_wait(call)
                call.predicted_s = choice.cost_s
                call.forecast = choice.forecast
                call.late = choice.late
                return choice.target
            if isinstance(choice, targetchoice.Refuse):
                self.model_demand.record_refusal(call, now)
                # Jitter keeps callers refused together from retrying together.
                spread = self._rng.uniform(1.0, MAX_RETRY_JITTER)
                return refusals.not_run(
                    errors.Reason.NO_TARGET,
                    choice.reason,
                    choice.retry_after_s * spread,
                )
            self.model_demand.start_wait(call, choice.reason, now)
            changed = self._changed
            try:
                async with asyncio.timeout_at(choice.until):
                    await changed.wait()
            except TimeoutError:
                pass  # Decide again at the latest at this time.

    async def _send(
        self, call: calls.Call, target: targetregistry.Target
    ) -> errors.Failure | None:
        """Sends to one target and relays its response.

        Returns:
          Why the request did not succeed, or None.
        """
        loop = asyncio.get_running_loop()
        progress = call.progress
        progress.sends += 1
        call.sent_at = loop.time()
        call.begun_at_crash = call.head_received = False
        call.lost_at_crash = False
        call.first_event_s = None
        call.targets.append(target.entry.identity)
        if call.requirements.adapter:
            self._adapter_uses.add(
                (
                    target.entry.identity,
                    call.requirements.model,
                    call.requirements.adapter,
                )
            )
        left_s = call.caller_deadline_at - loop.time()
        target_headers = headercodec.TargetHeaders(
            target.entry.identity,
            None if call.metadata.caller_timeout_s is None else left_s,
            _urgency_class(call) if call.metadata.model else None,
            progress.last_event,
            call.account_header,
        )
        service = self.route_table.services.get(call.requirements.service)  # type: ignore[union-attr]
        pool = self._pools.get(
            target.entry, service.max_connections if service else 64
        )
        telemetry.log(
            _log,
            "request_sent",
            request=call.metadata.request_id,
            target=target.entry.identity,
            data_centre=target.entry.data_centre,
            entry_revision=storeera.describe(target.entry.revision),
            lapsed=target.expired_at is not None,
            table_version=self.route_table.version,  # type: ignore[union-attr]
            copy_age_s=self.target_list_age_s(),
            send=progress.sends,
            late=call.late,
            predicted_s=call.predicted_s,
            **(call.forecast.log_fields() if call.forecast else {}),
            in_flight=target.in_flight,
            prompt_tokens=target.prompt_tokens,
            others_in_flight=target.others_in_flight,
            others_prompt_tokens=target.others_prompt_tokens,
            others_age_s=loop.time() - target.others_reported_at,
            failure_share=target.failure_share,
            resumes_after=progress.last_event,
        )
        load = targetpools.TargetLoad(
            target, call.requirements, call.late, call.held_tokens, call.sent_at
        )
        # Counted before the first byte is written: if this task is cancelled
        # from now on, the target may have executed the request.
        progress.may_have_run += 1
        resumes, ended = bool(progress.last_event), False
        result: errors.Failure | None = None
        try:
            async with asyncio.timeout(None) as send_timeout:
                with self.crash_guard.ending_if_refused(call, send_timeout):
                    response = await pool.request(
                        call.request.method,
                        call.request.request_target,
                        self._header_codec.target_headers(
                            call.request, target_headers
                        ),
                        call.request.body,
                        reuse=progress.route.idempotent
                        or progress.route.resumable,
                    )
                    result = await self._relay.relay(
                        call, target, pool, response, load
                    )
                    ended = True
        except TimeoutError:
            if not send_timeout.expired():
                raise
            result = pool.failure(
                errors.Reason.SUSPECT_REFUSED,
                "targets crashed while they ran requests like this one",
            )
        finally:
            load.end()
            if result is None and not resumes:
                self._record_latency(call, ended)
        if result is None:
            target.record_success()
            if not resumes or call.first_event_s is not None:
                # A resumed stream may have had nothing left to be generated.
                self.crash_guard.record_answer(call)
            return None
        call.requirements.excluded.add(target.entry.identity)
        if result.outcome is errors.Outcome.NOT_RUN:
            progress.may_have_run -= 1
        if result.step is errors.Step.CONNECT:
            progress.connect_failures += 1
        elif result.reason in crashguard.TARGET_LOST_REASONS:
            self.on_unreachable()
        if result.reason is errors.Reason.TARGET_ERROR:
            target.record_error()
        elif result.reason is errors.Reason.CONNECT_FAILED:
            target.record_failure(loop.time(), unreachable=True)
            self.on_unreachable()
        elif result.reason not in (
            errors.Reason.TARGET_REFUSED,
            errors.Reason.SUSPECT_REFUSED,
        ):
            target.record_failure(loop.time())
        if result.reason in crashguard.TARGET_LOST_REASONS:
            await self.crash_guard.examine_loss(call, target, pool)
        return result

    async def _finish_failed(
        self, call: calls.Call, failure: errors.Failure
    ) -> None:
        """Sends the final response to a request that failed."""
        if call.progress.head_delivered:
            call.responder.abort()
        elif call.responder.started:
            call.responder.abort()
        elif call.failure_response is not None:
            await call.responder.send(*call.failure_response)
        else:
            outcome = (
                errors.Outcome.UNKNOWN
                if call.progress.may_have_run
                else errors.Outcome.NOT_RUN
            )
            failure = dataclasses.replace(failure, outcome=outcome)
            await self.failures.send(
                call.responder,
                call.metadata.request_id,
                failure,
                self.route_table,
                call.requirements.model,
            )

    def _report(self, call: calls.Call, caller_left: bool) -> None:
        """Logs the end of a request."""
        self.accounts.settle(call)
        elapsed_s = asyncio.get_running_loop().time() - call.arrived_at
        outcome = "served"
        if caller_left:
            outcome = "caller_left"
        elif call.failure is not None:
            outcome = "failed"
        self._metrics.count(f"request_{outcome}")
        self._metrics.record_duration_ms("request", 1000.0 * elapsed_s)
        telemetry.log(
            _log,
            "request_ended",
            request=call.metadata.request_id,
            route=call.route.name,
            account=call.account.name if call.account else "",
            model=call.requirements.model,
            adapter=call.requirements.adapter,
            outcome=outcome,
            targets=",".join(call.targets),
            sends=call.progress.sends,
            sent_after_s=call.sent_at - call.arrived_at if call.targets else 0,
            predicted_s=call.predicted_s,
            **(call.forecast.log_fields() if call.forecast else {}),
            first_event_s=call.first_event_s,
            longest_pause_s=call.longest_pause_s,
            last_event_after_s=call.last_event_at - call.arrived_at
            if call.last_event_at
            else 0,
            elapsed_s=elapsed_s,
            objective_s=call.route.latency_objective_s,
            table_version=self.route_table.version if self.route_table else 0,
        )


def _urgency_class(call: calls.Call) -> int:
    """Returns the urgency class of a generation, 0 (most urgent) to 9.

    Load pattern: when an engine's queue exceeds the objectives, a request that
    cannot meet its objective any more loses less by waiting than one that can.
    """
    urgency = 2 + 2 * min(2, max(0, call.rank))
    if call.route.latency_objective_s >= latencymodel.RELAXED_OBJECTIVE_S:
        urgency += 1
    if call.late:
        urgency += LATE_URGENCY_OFFSET
    return min(9, urgency)
