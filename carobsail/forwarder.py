"""Runs one caller request: route, send, deliver, and retry or resume."""

import abc
import asyncio
import dataclasses
import itertools
import random

import msgspec

from carobsail import (
    attempts,
    directory,
    errors,
    estimation,
    exchange,
    messages,
    reporting,
    requests,
    retries,
    routing,
    suspects,
    telemetry,
)
from carobsail.delivery import Delivery, Streamed, receive_answer

__all__ = ["Delivery", "Forwarder", "Streamed", "Transport"]

# Ownership moves within 6 s of an owner's death. When the leader ran on the
# same instance, a successor takes up to 8 s, and then waits out the grants
# of unknown age for 4 s.
RESUME_WAIT_S = 13.0
RESUME_INTERVAL_S = 0.5


class Transport(abc.ABC):
    """Sends attempts to the owners of targets."""

    @abc.abstractmethod
    def send(
        self,
        request: messages.Dispatch,
        place: str,
        receiver: attempts.Receiver,
    ) -> errors.Failure | None:
        """Sends an attempt; a failure proves that it was not sent.

        Args:
          request: The attempt.
          place: Target, or data centre when `request.target` is empty.
          receiver: Takes the answer.
        """

    @abc.abstractmethod
    def cancel(self, place: str, attempt: str) -> None:
        """Gives up an attempt."""


class Forwarder:
    """Runs the requests of one instance's callers.

    Attributes:
      receivers: Receivers of the attempts under way.
    """

    __slots__ = (
        "_budget",
        "_directory",
        "_lengths",
        "_metrics",
        "_numbers",
        "_policy",
        "_prefix",
        "_reporter",
        "_rng",
        "_suspects",
        "_transport",
        "receivers",
    )

    def __init__(
        self,
        prefix: str,
        targets: directory.TargetDirectory,
        policy: routing.RoutingPolicy,
        transport: Transport,
        receivers: attempts.Receivers,
        reporter: reporting.Reporter,
        book: suspects.SuspectBook,
        metrics: telemetry.Metrics,
        rng: random.Random,
    ) -> None:
        """Creates a forwarder.

        Args:
          prefix: Start of attempt identifiers, unique to this process.
          targets: Known targets.
          policy: Routing policy.
          transport: Sends attempts.
          receivers: Receives their answers.
          reporter: Counts the demand for models and by accounts.
          book: Crash suspicions.
          metrics: Counts and timings.
          rng: Source of the backoff's jitter.
        """
        self.receivers = receivers
        self._reporter = reporter
        self._suspects = book
        self._prefix = prefix
        self._directory = targets
        self._policy = policy
        self._transport = transport
        self._metrics = metrics
        self._rng = rng
        self._numbers = itertools.count(1)
        self._budget = retries.RetryBudget()
        self._lengths = estimation.OutputLengths()

    def expected_wait_s(
        self, request: requests.CallerRequest, now: float
    ) -> float:
        """Returns the least predicted wait at any target, in seconds."""
        views = self._directory.views(self._demand(request), now, remote=False)
        waits = [v.prediction.start_s for v in views if v.serving]
        return min(waits, default=0.0)

    async def run(
        self, subject: exchange.Exchange, delivery: Delivery
    ) -> messages.StoredAnswer | Streamed | errors.Failure:
        """Runs a request to its end.

        Args:
          subject: The exchange, without attempts.
          delivery: Takes the answer if the caller asked for a stream.

        Returns:
          The whole answer, `Streamed` when it was delivered already, or the
          failure that the caller sees.
        """
        account = subject.request.policy.account
        self._budget.count_request(account)
        request = subject.request
        if request.model:
            self._reporter.asked.count(request.model, self._expect(request))
        self._reporter.accounts.count(account, 0.0)
        excluded: set[str] = set()
        while True:
            result = await self._attempt(subject, frozenset(excluded), delivery)
            if not isinstance(result, errors.Failure):
                self._learn(subject, result)
                return result
            failed_target = subject.target
            action = subject.fail_attempt(result)
            if action is exchange.Action.RESUME:
                resumed = await self._resume(subject, failed_target, delivery)
                if not isinstance(resumed, errors.Failure):
                    return resumed
                return subject.conclude(resumed)
            if action is exchange.Action.GIVE_UP:
                return subject.conclude(result)
            delay_s = self._delay_s(subject, result)
            if delay_s is None:
                return subject.conclude(result)
            excluded.add(failed_target)
            self._metrics.count("retries")
            await asyncio.sleep(delay_s)

    def _delay_s(
        self, subject: exchange.Exchange, failure: errors.Failure
    ) -> float | None:
        """Returns seconds before the next attempt, or None to give up."""
        attempted = retries.Attempted(
            failure=failure,
            account=subject.request.policy.account,
            idempotent=subject.idempotent,
            delivered=subject.delivered > 0,
            attempts=subject.attempts,
            time_left_s=subject.due - _now(),
        )
        decision = retries.decide(attempted, self._budget, self._rng)
        if isinstance(decision, retries.Retry):
            return decision.delay_s
        self._metrics.count(f"retry_refused.{decision}")
        return None

    async def _attempt(
        self,
        subject: exchange.Exchange,
        excluded: frozenset[str],
        delivery: Delivery,
    ) -> messages.StoredAnswer | Streamed | errors.Failure:
        view = self._choose(subject, excluded)
        if isinstance(view, errors.Failure):
            subject.target = ""
            return view
        attempt = self._next_attempt()
        subject.begin(attempt, view.name)
        target = "" if view.path is not None else view.name
        finish_s = view.prediction.finish_s
        dispatch = self._describe(subject, attempt, target, finish_s)
        return await self._exchange(subject, dispatch, view.name, delivery)

    def _next_attempt(self) -> str:
        return f"{self._prefix}-{next(self._numbers)}"

    def _choose(
        self, subject: exchange.Exchange, excluded: frozenset[str]
    ) -> routing.TargetView | errors.Failure:
        now = _now()
        request = subject.request
        tokens = self._expect(request)
        demand = self._demand(request)
        views = self._directory.views(demand, now, remote=subject.idempotent)
        if not subject.idempotent and not any(v.serving for v in views):
            # It leaves its data centre only if it must: a link that breaks
            # would leave its outcome unknown.
            views = self._directory.views(demand, now, remote=True)
        route = routing.RouteRequest(
            model=request.operation.service or request.model,
            due_at=subject.due,
            first_token_due_at=subject.arrival
            + request.operation.first_token_ms / 1000,
            adapter=request.adapter,
            body_bytes=len(request.body),
            answer_bytes=int(tokens * directory.BYTES_PER_TOKEN),
            excluded=excluded,
        )
        verdict = self._suspects.verdict(request.fingerprint, now)
        if isinstance(verdict, errors.Failure):
            return verdict
        if verdict is suspects.Verdict.ALONE:
            views = self._quarantine(request, views)
        chosen = self._policy.choose(route, views, now)
        if isinstance(chosen, errors.Failure) and excluded:
            route = dataclasses.replace(route, excluded=frozenset())
            chosen = self._policy.choose(route, views, now)
        if not isinstance(chosen, errors.Failure) and chosen.path is None:
            self._directory.assume_cached(chosen.name, demand)
        return chosen

    def _quarantine(
        self, request: requests.CallerRequest, views: list[routing.TargetView]
    ) -> list[routing.TargetView]:
        """Returns the one target that reruns a crash suspect."""
        near = {v.name: v for v in views if v.path is None and v.serving}
        name = suspects.quarantine_target(request.fingerprint, sorted(near))
        return [near[name]] if name is not None else views

    def _expect(self, request: requests.CallerRequest) -> float:
        return self._lengths.expect(
            request.policy.account,
            request.operation.path,
            request.model,
            request.output_tokens,
        )

    def _demand(self, request: requests.CallerRequest) -> directory.Demand:
        return directory.Demand.of_request(request, self._expect(request))

    def _describe(
        self,
        subject: exchange.Exchange,
        attempt: str,
        target: str,
        finish_s: float,
    ) -> messages.Dispatch:
        """Returns the message of an attempt predicted to take `finish_s`."""
        request = subject.request
        due_in_s = subject.due - _now()
        slack_s = due_in_s - finish_s
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
            due_in_s=due_in_s,
            prompt_tokens=request.prompt_tokens,
            output_tokens=int(self._expect(request)),
            priority=routing.engine_priority(request.policy.priority, slack_s),
            idempotent=subject.idempotent,
            fingerprint=request.fingerprint,
            service=request.operation.service,
            first_token_in_s=due_in_s
            - request.due_s
            + request.operation.first_token_ms / 1000,
        )

    async def _exchange(
        self,
        subject: exchange.Exchange,
        dispatch: messages.Dispatch,
        target: str,
        delivery: Delivery,
    ) -> messages.StoredAnswer | Streamed | errors.Failure:
        attempt = dispatch.attempt
        receiver = self.receivers.open(attempt)
        tokens = dispatch.prompt_tokens + dispatch.output_tokens
        self._directory.sent(target, attempt, tokens)
        finished = False
        try:
            unsent = self._transport.send(dispatch, target, receiver)
            if unsent is not None:
                finished = True
                return unsent
            result = await receive_answer(subject, receiver, delivery)
            # A caller that reads too slowly ends the attempt on this side
            # only; its owner must be told.
            finished = not isinstance(result, errors.Failure) or (
                result.reason is not errors.Reason.CANCELLED
            )
            return result
        finally:
            self._directory.ended(target, attempt)
            self.receivers.close(attempt)
            if not finished:
                self._transport.cancel(target, attempt)

    async def _resume(
        self, subject: exchange.Exchange, target: str, delivery: Delivery
    ) -> Streamed | errors.Failure:
        """Continues a stream through the target's present owner.

        The owner resumes broken engine connections itself; this is for an
        owner that was lost. Another one takes over the target within
        seconds, and the engine still holds the stream.
        """
        wait_until = _now() + RESUME_WAIT_S
        while True:
            attempt = self._next_attempt()
            subject.resume(attempt, target)
            dispatch = msgspec.structs.replace(
                self._describe(subject, attempt, target, 0.0),
                resume_of=subject.streamed_by,
                resume_after=subject.cursor.last_event(),
            )
            result = await self._exchange(subject, dispatch, target, delivery)
            if isinstance(result, Streamed):
                self._metrics.count("owner_resumes")
                self._learn(subject, result)
                return result
            assert isinstance(result, errors.Failure)
            action = subject.fail_attempt(result)
            if action is not exchange.Action.RESUME or _now() > wait_until:
                return result
            await asyncio.sleep(RESUME_INTERVAL_S)

    def _learn(
        self,
        subject: exchange.Exchange,
        result: messages.StoredAnswer | Streamed,
    ) -> None:
        request = subject.request
        now = _now()
        late_s = now - subject.due
        self._metrics.count("late" if late_s > 0 else "on_time")
        self._metrics.time_ms("answer", (now - subject.arrival) * 1000)
        if subject.first_byte_at is not None:
            first_s = subject.first_byte_at - subject.arrival
            self._metrics.time_ms("first_token", first_s * 1000)
        tokens = subject.events
        if isinstance(result, messages.StoredAnswer):
            tokens = requests.completion_tokens(result.body)
        if request.model and tokens:
            self._lengths.observe(
                request.policy.account,
                request.operation.path,
                request.model,
                tokens,
            )


def _now() -> float:
    return asyncio.get_running_loop().time()
