"""Callers' HTTP interface of an entry instance."""

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

from carobsail import (
    admission,
    claimrouting,
    configuration,
    directory,
    errors,
    exchange,
    forwarder,
    httpserver,
    idempotency,
    messages,
    requests,
    telemetry,
)

MODELS_PATH = "/v1/models"
KEYS_PATH = "/v1/idempotency-keys"
RELEASE_WAIT_S = 1.0
# Two batches of the claim writer, and twice as long for each further try.
CLAIM_REPEATS_S = (0.2, 0.4, 0.8)
_UNDECIDED = (errors.Reason.OUTCOME_UNKNOWN, errors.Reason.IN_PROGRESS)
_JSON = [("content-type", "application/json")]


class _HttpDelivery(forwarder.Delivery):
    """Writes a streamed answer to the caller's connection."""

    __slots__ = ("_responder",)

    def __init__(self, responder: httpserver.Responder) -> None:
        self._responder = responder

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """See base class."""
        await self._responder.start(status, headers)

    async def write(self, data: bytes) -> None:
        """See base class."""
        await self._responder.write(data)


class Gateway:
    """Serves callers: authentication, admission, claims, answers.

    Attributes:
      ready: Whether the instance has a current configuration.
    """

    __slots__ = (
        "_admission",
        "_claims",
        "_configuration",
        "_directory",
        "_forwarder",
        "_instance",
        "_issued",
        "_log",
        "_metrics",
        "_operations",
        "ready",
    )

    def __init__(
        self,
        instance: str,
        current: Callable[[], configuration.ConfigurationSet],
        targets: directory.TargetDirectory,
        limits: admission.Admission,
        forward: forwarder.Forwarder,
        claims: claimrouting.ClaimRouter,
        issued: idempotency.IssuedKeys,
        metrics: telemetry.Metrics,
        log: logging.Logger,
    ) -> None:
        """Creates a gateway.

        Args:
          instance: Name of this instance.
          current: Returns the configuration in force.
          targets: Known targets.
          limits: Limits of client accounts.
          forward: Runs requests.
          claims: Claims idempotency keys.
          issued: Keys issued here.
          metrics: Counts and timings.
          log: Receives one event for each request.
        """
        self.ready = False
        self._instance = instance
        self._configuration = current
        self._directory = targets
        self._admission = limits
        self._forwarder = forward
        self._claims = claims
        self._issued = issued
        self._metrics = metrics
        self._log = log
        self._operations: set[asyncio.Task[None]] = set()

    async def handle(
        self, received: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        """Answers one request of a caller."""
        if not self.ready:
            failure = errors.Failure(
                errors.Reason.NOT_READY,
                errors.Step.READ,
                self._instance,
                detail="the instance has no current configuration",
            )
            await self._refuse(responder, failure)
            return
        policy = self._authenticate(received)
        if isinstance(policy, errors.Failure):
            await self._refuse(responder, policy)
        elif received.path == MODELS_PATH and received.method == "GET":
            await responder.send(200, _JSON, _list_models(policy))
        elif received.path == KEYS_PATH and received.method == "POST":
            await self._issue_key(policy, responder)
        else:
            await self._serve(policy, received, responder)

    def _authenticate(
        self, received: httpserver.Request
    ) -> configuration.Policy | errors.Failure:
        header = received.header("authorization") or ""
        scheme, _, key = header.partition(" ")
        if scheme.lower() != "bearer" or not key:
            return errors.Failure(
                errors.Reason.UNAUTHENTICATED,
                errors.Step.AUTHENTICATE,
                "caller",
                detail="the header Authorization: Bearer KEY is missing",
            )
        return self._configuration().authenticate(key.strip())

    async def _issue_key(
        self, policy: configuration.Policy, responder: httpserver.Responder
    ) -> None:
        key = self._issued.issue(policy.account, _now())
        if isinstance(key, errors.Failure):
            await self._refuse(responder, key)
            return
        body = json.dumps({"idempotency_key": key}).encode()
        await responder.send(201, _JSON, body)

    async def _serve(
        self,
        policy: configuration.Policy,
        received: httpserver.Request,
        responder: httpserver.Responder,
    ) -> None:
        checked = requests.check(
            policy,
            self._directory.adapter_models,
            received.method,
            received.path,
            received.query,
            dict(received.headers),
            received.body,
        )
        if isinstance(checked, errors.Failure):
            await self._refuse(responder, checked)
            return
        now = _now()
        subject = exchange.Exchange(checked, now)
        admitted = f"{id(subject):x}-{now}"
        refused = self._admission.admit(
            policy.account,
            admitted,
            policy.limits,
            now,
            self._forwarder.expected_wait_s(checked, now),
            checked.due_s,
        )
        if refused is not None:
            await self._refuse(responder, refused)
            return
        try:
            await self._run(subject, responder)
        finally:
            self._admission.release(policy.account, admitted)

    async def _run(
        self, subject: exchange.Exchange, responder: httpserver.Responder
    ) -> None:
        """Runs a request, and gives it up when its caller leaves.

        An operation that must not run twice is finished all the same, so
        that its result is recorded for the caller's repeat.
        """
        task = asyncio.create_task(self._answer(subject, responder))
        self._operations.add(task)
        task.add_done_callback(self._operations.discard)
        left = asyncio.create_task(responder.disconnected.wait())
        await asyncio.wait((task, left), return_when=asyncio.FIRST_COMPLETED)
        left.cancel()
        if not task.done():
            self._metrics.count("callers_left")
            if subject.idempotent:
                task.cancel()
        await asyncio.wait((task,))
        if not task.cancelled():
            task.result()

    async def _answer(
        self, subject: exchange.Exchange, responder: httpserver.Responder
    ) -> None:
        request = subject.request
        ticket = None
        if request.key and not subject.idempotent:
            claimed = await self._claim(subject)
            if isinstance(claimed, messages.StoredAnswer):
                headers = [*claimed.headers, ("idempotent-replayed", "true")]
                await responder.send(claimed.status, headers, claimed.body)
                self._record(subject, "replayed")
                return
            if isinstance(claimed, errors.Failure):
                await self._refuse(responder, claimed)
                return
            ticket = claimed
        result = await self._execute(subject, responder, ticket)
        if isinstance(result, errors.Failure):
            await self._fail(subject, responder, result)
        elif isinstance(result, messages.StoredAnswer):
            await responder.send(result.status, result.headers, result.body)
        else:
            await responder.finish()
        if not isinstance(result, errors.Failure):
            self._record(subject, "answered")

    async def _claim(
        self, subject: exchange.Exchange
    ) -> claimrouting.Ticket | messages.StoredAnswer | errors.Failure:
        """Claims the key; a repeat waits a little for the first one's result.

        Results are recorded in batches, so a repeat can arrive between an
        answer and its record.
        """
        request = subject.request
        for delay_s in (*CLAIM_REPEATS_S, None):
            claimed = await self._claims.claim(
                request.policy.account, request.key, request.fingerprint
            )
            undecided = isinstance(claimed, errors.Failure) and (
                claimed.reason in _UNDECIDED
            )
            if delay_s is None or not undecided:
                break
            if _now() + delay_s > subject.due:
                break
            await asyncio.sleep(delay_s)
        return claimed

    async def _execute(
        self,
        subject: exchange.Exchange,
        responder: httpserver.Responder,
        ticket: claimrouting.Ticket | None,
    ) -> messages.StoredAnswer | forwarder.Streamed | errors.Failure:
        """Runs the request and settles its claim.

        A claim is settled even if the run ends by an exception; its outcome
        is unknown then.
        """
        outcome: messages.StoredAnswer | errors.Outcome = errors.Outcome.UNKNOWN
        try:
            result = await self._forwarder.run(
                subject, _HttpDelivery(responder)
            )
            if isinstance(result, messages.StoredAnswer):
                outcome = result
            elif isinstance(result, errors.Failure):
                outcome = result.outcome
            return result
        finally:
            if ticket is not None:
                settling = asyncio.create_task(
                    self._claims.finish(ticket, outcome)
                )
                self._operations.add(settling)
                settling.add_done_callback(self._operations.discard)
                if outcome is errors.Outcome.NOT_RUN:
                    # The caller may repeat at once; the key must be free.
                    await asyncio.wait((settling,), timeout=RELEASE_WAIT_S)

    async def _fail(
        self,
        subject: exchange.Exchange,
        responder: httpserver.Responder,
        failure: errors.Failure,
    ) -> None:
        self._record(subject, "failed", failure)
        if not responder.started:
            status, headers, body = requests.error_answer(failure)
            await responder.send(status, headers, body)
            return
        # The stream ends without its terminator, so that no client takes a
        # part for the whole.
        event = json.dumps(requests.error_body(failure))
        await responder.write(f"data: {event}\n\n".encode())
        responder.abort()

    async def _refuse(
        self, responder: httpserver.Responder, failure: errors.Failure
    ) -> None:
        self._metrics.count(f"refused.{failure.reason}")
        telemetry.log(
            self._log,
            "request_refused",
            reason=str(failure.reason),
            step=str(failure.step),
            peer=failure.peer,
            outcome=str(failure.outcome),
            detail=failure.detail,
        )
        status, headers, body = requests.error_answer(failure)
        await responder.send(status, headers, body)

    def _record(
        self,
        subject: exchange.Exchange,
        result: str,
        failure: errors.Failure | None = None,
    ) -> None:
        now = _now()
        self._metrics.count(f"requests.{result}")
        fields: dict[str, Any] = {
            "account": subject.request.policy.account,
            "model": subject.request.model or subject.request.operation.service,
            "adapter": subject.request.adapter,
            "target": subject.target,
            "attempts": subject.attempts,
            "duration_ms": round((now - subject.arrival) * 1000, 1),
            "late_ms": round(max(0.0, now - subject.due) * 1000, 1),
        }
        if failure is not None:
            fields["reason"] = str(failure.reason)
            fields["step"] = str(failure.step)
            fields["peer"] = failure.peer
            fields["outcome"] = str(failure.outcome)
        telemetry.log(self._log, f"request_{result}", **fields)

    async def drain(self) -> None:
        """Waits until no operation is under way and every result recorded."""
        while self._operations:
            await asyncio.wait(list(self._operations))

    def dump(self) -> dict[str, object]:
        """Returns the state of the gateway."""
        return {
            "ready": self.ready,
            "operations": len(self._operations),
            "dropped_messages": self._forwarder.receivers.dropped,
        }


def _list_models(policy: configuration.Policy) -> bytes:
    names = [*policy.models, *policy.adapters]
    models = [
        {"id": name, "object": "model", "created": 0, "owned_by": "carobsail"}
        for name in names
    ]
    return json.dumps({"object": "list", "data": models}).encode()


def _now() -> float:
    return asyncio.get_running_loop().time()
