"""Runs a caller's request.

Routes the request to a target, sends it, delivers the response, and retries
or resumes after a failure.
"""

import abc
import asyncio
import dataclasses
import itertools
import random

import msgspec

from carobsail import (
    attempts,
    callerrequests,
    directory,
    errors,
    estimation,
    exchange,
    messages,
    reporting,
    retries,
    routing,
    suspects,
    telemetry,
)
from carobsail.delivery import Delivery, Streamed, receive_response

__all__ = ["Delivery", "Forwarder", "Streamed", "Transport"]

# Ownership of a target moves within 6 s after its owner died. If the leader ran
# on the same instance, a new one leads after up to 8 s, and then waits 4 s for
# grants of unknown age to expire.
RESUME_TIMEOUT_S = 13.0
RESUME_INTERVAL_S = 0.5


class Transport(abc.ABC):
    """Sends attempts to the instances that own the targets."""

    @abc.abstractmethod
    def send(
        self,
        request: messages.Dispatch,
        destination: str,
        receiver: attempts.Receiver,
    ) -> errors.Failure | None:
        """Sends an attempt; a returned failure proves that it was not sent.

        Args:
          request: The attempt.
          destination: Name of the target, or of the data centre if
            `request.target` is empty.
          receiver: Receives the response.
        """

    @abc.abstractmethod
    def cancel(self, destination: str, attempt: str) -> None:
        """Cancels an attempt.

        Args:
          destination: The destination to which the attempt was sent.
          attempt: Identifier of the attempt.
        """


class Forwarder:
    """Runs the requests of callers of one instance.

    Attributes:
      receivers: Receivers of the attempts in flight.
    """

    __slots__ = (
        "_attempt_numbers",
        "_attempt_prefix",
        "_budget",
        "_directory",
        "_metrics",
        "_output_lengths",
        "_policy",
        "_reporter",
        "_rng",
        "_suspects",
        "_transport",
        "receivers",
    )

    def __init__(
        self,
        attempt_prefix: str,
        targets: directory.TargetDirectory,
        policy: routing.RoutingPolicy,
        transport: Transport,
        receivers: attempts.Receivers,
        reporter: reporting.Reporter,
        crash_suspects: suspects.CrashSuspects,
        metrics: telemetry.Metrics,
        rng: random.Random,
    ) -> None:
        """Creates a forwarder.

        Args:
          attempt_prefix: Prefix of attempt identifiers, unique to this process.
          targets: Known targets.
          policy: Routing policy.
          transport: Sends attempts.
          receivers: Receivers of the responses.
          reporter: Counts the demand for models and by accounts.
          crash_suspects: Requests suspected of crashing targets.
          metrics: Receives counts and durations.
          rng: Source of randomness for the backoff's jitter.
        """
        self.receivers = receivers
        self._reporter = reporter
        self._suspects = crash_suspects
        self._attempt_prefix = attempt_prefix
        self._directory = targets
        self._policy = policy
        self._transport = transport
        self._metrics = metrics
        self._rng = rng
        self._attempt_numbers = itertools.count(1)
        self._budget = retries.RetryBudget()
        self._output_lengths = estimation.OutputLengths()

    def expected_wait_s(
        self, request: callerrequests.CallerRequest, now: float
    ) -> float:
        """Returns the shortest predicted wait at a local target, in seconds."""
        views = self._directory.target_views(
            self._demand(request), now, remote=False
        )
        waits = [v.prediction.start_s for v in views if v.serving]
        return min(waits, default=0.0)

    async def run(
        self, caller_exchange: exchange.Exchange, delivery: Delivery
    ) -> messages.StoredResponse | Streamed | errors.Failure:
        """Runs a request to its end.

        Args:
          caller_exchange: The exchange, without attempts.
          delivery: Writes the response to the caller if it asked for a stream.

        Returns:
          The complete response, `Streamed` if it was delivered already, or the
          failure to report to the caller.
        """
        account = caller_exchange.request.policy.account
        self._budget.add_request(account)
        request = caller_exchange.request
        if request.model:
            self._reporter.model_demand.count(
                request.model, self._expected_output_tokens(request)
            )
        self._reporter.account_demand.count(account, 0.0)
        excluded: set[str] = set()
        while True:
            result = await self._attempt(
                caller_exchange, frozenset(excluded), delivery
            )
            if not isinstance(result, errors.Failure):
                self._record_response(caller_exchange, result)
                return result
            failed_target = caller_exchange.target
            action = caller_exchange.fail_attempt(result)
            if action is exchange.Action.RESUME:
                resumed = await self._resume(
                    caller_exchange, failed_target, delivery
                )
                if not isinstance(resumed, errors.Failure):
                    return resumed
                return caller_exchange.conclude(resumed)
            if action is exchange.Action.GIVE_UP:
                return caller_exchange.conclude(result)
            delay_s = self._retry_delay_s(caller_exchange, result)
            if delay_s is None:
                return caller_exchange.conclude(result)
            excluded.add(failed_target)
            self._metrics.count("retries")
            await asyncio.sleep(delay_s)

    def _retry_delay_s(
        self, caller_exchange: exchange.Exchange, failure: errors.Failure
    ) -> float | None:
        """Returns the delay before the next attempt, or None to give up."""
        failed_attempt = retries.FailedAttempt(
            failure=failure,
            account=caller_exchange.request.policy.account,
            idempotent=caller_exchange.idempotent,
            delivered=caller_exchange.delivered_bytes > 0,
            attempts=caller_exchange.attempts,
            time_left_s=caller_exchange.due_at - _now(),
        )
        decision = retries.decide(failed_attempt, self._budget, self._rng)
        if isinstance(decision, retries.Retry):
            return decision.delay_s
        self._metrics.count(f"retry_refused.{decision}")
        return None

    async def _attempt(
        self,
        caller_exchange: exchange.Exchange,
        excluded: frozenset[str],
        delivery: Delivery,
    ) -> messages.StoredResponse | Streamed | errors.Failure:
        view = self._choose_target(caller_exchange, excluded)
        if isinstance(view, errors.Failure):
            caller_exchange.target = ""
            return view
        attempt = self._next_attempt()
        caller_exchange.begin_attempt(attempt, view.name)
        target = "" if view.link is not None else view.name
        finish_s = view.prediction.finish_s
        dispatch = self._build_dispatch(
            caller_exchange, attempt, target, finish_s
        )
        return await self._send_and_receive(
            caller_exchange, dispatch, view.name, delivery
        )

    def _next_attempt(self) -> str:
        return f"{self._attempt_prefix}-{next(self._attempt_numbers)}"

    def _choose_target(
        self, caller_exchange: exchange.Exchange, excluded: frozenset[str]
    ) -> routing.TargetView | errors.Failure:
        now = _now()
        request = caller_exchange.request
        tokens = self._expected_output_tokens(request)
        demand = self._demand(request)
        views = self._directory.target_views(
            demand, now, remote=caller_exchange.idempotent
        )
        if not caller_exchange.idempotent and not any(v.serving for v in views):
            # A non-idempotent request is sent to another data centre only if no
            # local target serves it: a broken link would leave its outcome
            # unknown.
            views = self._directory.target_views(demand, now, remote=True)
        route = routing.RouteRequest(
            model=request.operation.service or request.model,
            due_at=caller_exchange.due_at,
            first_token_due_at=caller_exchange.arrived_at
            + request.operation.first_token_ms / 1000,
            adapter=request.adapter,
            body_bytes=len(request.body),
            response_bytes=int(tokens * directory.BYTES_PER_TOKEN),
            excluded=excluded,
        )
        verdict = self._suspects.verdict(request.fingerprint, now)
        if isinstance(verdict, errors.Failure):
            return verdict
        if verdict is suspects.Verdict.ALONE:
            views = self._quarantine_views(request, views)
        chosen = self._policy.choose(route, views, now)
        if isinstance(chosen, errors.Failure) and excluded:
            route = dataclasses.replace(route, excluded=frozenset())
            chosen = self._policy.choose(route, views, now)
        if not isinstance(chosen, errors.Failure) and chosen.link is None:
            self._directory.assume_cached(chosen.name, demand)
        return chosen

    def _quarantine_views(
        self,
        request: callerrequests.CallerRequest,
        views: list[routing.TargetView],
    ) -> list[routing.TargetView]:
        """Returns only the target where a crash suspect may run.

        Returns all views if there is no such target.
        """
        local = {v.name: v for v in views if v.link is None and v.serving}
        name = suspects.quarantine_target(request.fingerprint, sorted(local))
        return [local[name]] if name is not None else views

    def _expected_output_tokens(
        self, request: callerrequests.CallerRequest
    ) -> float:
        return self._output_lengths.expect(
            request.policy.account,
            request.operation.path,
            request.model,
            request.output_tokens,
        )

    def _demand(
        self, request: callerrequests.CallerRequest
    ) -> directory.RequestDemand:
        return directory.RequestDemand.of_request(
            request, self._expected_output_tokens(request)
        )

    def _build_dispatch(
        self,
        caller_exchange: exchange.Exchange,
        attempt: str,
        target: str,
        finish_s: float,
    ) -> messages.Dispatch:
        """Returns the message that sends an attempt.

        Args:
          caller_exchange: The exchange.
          attempt: Identifier of the attempt.
          target: The target, or empty if another data centre chooses it.
          finish_s: Predicted seconds until the response is complete.
        """
        request = caller_exchange.request
        response_due_in_s = caller_exchange.due_at - _now()
        slack_s = response_due_in_s - finish_s
        return messages.Dispatch(
            attempt=attempt,
            target=target,
            account=request.policy.account,
            model=request.model,
            adapter=request.adapter,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            response_due_in_s=response_due_in_s,
            prompt_tokens=request.prompt_tokens,
            output_tokens=int(self._expected_output_tokens(request)),
            priority=routing.engine_priority(request.policy.priority, slack_s),
            idempotent=caller_exchange.idempotent,
            fingerprint=request.fingerprint,
            service=request.operation.service,
            first_token_in_s=response_due_in_s
            - request.due_s
            + request.operation.first_token_ms / 1000,
        )

    async def _send_and_receive(
        self,
        caller_exchange: exchange.Exchange,
        dispatch: messages.Dispatch,
        target: str,
        delivery: Delivery,
    ) -> messages.StoredResponse | Streamed | errors.Failure:
        attempt = dispatch.attempt
        receiver = self.receivers.open(attempt)
        tokens = dispatch.prompt_tokens + dispatch.output_tokens
        self._directory.record_sent_attempt(target, attempt, tokens)
        finished = False
        try:
            send_failure = self._transport.send(dispatch, target, receiver)
            if send_failure is not None:
                finished = True
                return send_failure
            result = await receive_response(caller_exchange, receiver, delivery)
            # When the buffer of a slow caller overflows, the attempt has failed
            # only here; the owner has to be asked to cancel it.
            finished = not isinstance(result, errors.Failure) or (
                result.reason is not errors.Reason.CANCELLED
            )
            return result
        finally:
            self._directory.record_ended_attempt(target, attempt)
            self.receivers.close(attempt)
            if not finished:
                self._transport.cancel(target, attempt)

    async def _resume(
        self,
        caller_exchange: exchange.Exchange,
        target: str,
        delivery: Delivery,
    ) -> Streamed | errors.Failure:
        """Continues a stream through the current owner of the target.

        The owner itself resumes after a broken connection to the engine; this
        handles the loss of the owner. Another instance takes over the target
        within seconds, and the engine still holds the stream.
        """
        give_up_at = _now() + RESUME_TIMEOUT_S
        while True:
            attempt = self._next_attempt()
            caller_exchange.begin_resume_attempt(attempt, target)
            dispatch = msgspec.structs.replace(
                self._build_dispatch(caller_exchange, attempt, target, 0.0),
                resumed_attempt=caller_exchange.stream_attempt,
                last_event_id=caller_exchange.cursor.last_event(),
            )
            result = await self._send_and_receive(
                caller_exchange, dispatch, target, delivery
            )
            if isinstance(result, Streamed):
                self._metrics.count("owner_resumes")
                self._record_response(caller_exchange, result)
                return result
            assert isinstance(result, errors.Failure)
            action = caller_exchange.fail_attempt(result)
            if action is not exchange.Action.RESUME or _now() > give_up_at:
                return result
            await asyncio.sleep(RESUME_INTERVAL_S)

    def _record_response(
        self,
        caller_exchange: exchange.Exchange,
        result: messages.StoredResponse | Streamed,
    ) -> None:
        request = caller_exchange.request
        now = _now()
        late_s = now - caller_exchange.due_at
        self._metrics.count("late" if late_s > 0 else "on_time")
        self._metrics.record_duration_ms(
            "answer", (now - caller_exchange.arrived_at) * 1000
        )
        if caller_exchange.first_byte_at is not None:
            first_s = caller_exchange.first_byte_at - caller_exchange.arrived_at
            self._metrics.record_duration_ms("first_token", first_s * 1000)
        tokens = caller_exchange.delivered_events
        if isinstance(result, messages.StoredResponse):
            tokens = callerrequests.completion_tokens(result.body)
        if request.model and tokens:
            self._output_lengths.observe(
                request.policy.account,
                request.operation.path,
                request.model,
                tokens,
            )


def _now() -> float:
    return asyncio.get_running_loop().time()
