"""HTTP interface through which callers send requests to an instance."""

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

from carobsail import (
    admission,
    callerrequests,
    claimrouting,
    configuration,
    directory,
    errors,
    exchange,
    forwarder,
    httpserver,
    idempotency,
    messages,
    telemetry,
)

MODELS_PATH = "/v1/models"
KEYS_PATH = "/v1/idempotency-keys"
KEY_RELEASE_TIMEOUT_S = 1.0
# The first delay spans two batches of the claim writer; each further delay is
# twice as long.
CLAIM_RETRY_DELAYS_S = (0.2, 0.4, 0.8)
_UNDECIDED_REASONS = (errors.Reason.OUTCOME_UNKNOWN, errors.Reason.IN_PROGRESS)
_JSON = [("content-type", "application/json")]


class _HttpDelivery(forwarder.Delivery):
    """Writes a streamed response to the caller's connection."""

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
    """Serves callers' HTTP requests.

    Authenticates and admits each request, claims its idempotency key, runs it
    and sends the response.

    Attributes:
      ready: Whether the instance has a current configuration.
    """

    __slots__ = (
        "_admission",
        "_claims",
        "_current_configuration",
        "_directory",
        "_forwarder",
        "_instance",
        "_issued_keys",
        "_log",
        "_metrics",
        "_tasks",
        "ready",
    )

    def __init__(
        self,
        instance: str,
        current_configuration: Callable[[], configuration.ConfigurationSet],
        targets: directory.TargetDirectory,
        limits: admission.Admission,
        request_forwarder: forwarder.Forwarder,
        claims: claimrouting.ClaimRouter,
        issued_keys: idempotency.IssuedKeyTable,
        metrics: telemetry.Metrics,
        log: logging.Logger,
    ) -> None:
        """Creates a gateway.

        Args:
          instance: Name of this instance.
          current_configuration: Returns the configuration in force.
          targets: Known targets.
          limits: Admission control by the limits of client accounts.
          request_forwarder: Runs requests at targets.
          claims: Claims idempotency keys.
          issued_keys: Idempotency keys issued by this instance.
          metrics: Receives counts and durations.
          log: Receives one event for each request.
        """
        self.ready = False
        self._instance = instance
        self._current_configuration = current_configuration
        self._directory = targets
        self._admission = limits
        self._forwarder = request_forwarder
        self._claims = claims
        self._issued_keys = issued_keys
        self._metrics = metrics
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    async def handle(
        self, received: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        """Handles one request of a caller."""
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
        return self._current_configuration().authenticate(key.strip())

    async def _issue_key(
        self, policy: configuration.Policy, responder: httpserver.Responder
    ) -> None:
        key = self._issued_keys.issue(policy.account, _now())
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
        checked = callerrequests.parse_request(
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
        caller_exchange = exchange.Exchange(checked, now)
        admission_id = f"{id(caller_exchange):x}-{now}"
        refused = self._admission.admit(
            policy.account,
            admission_id,
            policy.limits,
            now,
            self._forwarder.expected_wait_s(checked, now),
            checked.due_s,
        )
        if refused is not None:
            await self._refuse(responder, refused)
            return
        try:
            await self._run_until_disconnect(caller_exchange, responder)
        finally:
            self._admission.release(policy.account, admission_id)

    async def _run_until_disconnect(
        self,
        caller_exchange: exchange.Exchange,
        responder: httpserver.Responder,
    ) -> None:
        """Runs a request, and cancels it when its caller disconnects.

        A non-idempotent operation is finished nevertheless, so that its
        result is recorded for a retry by the caller.
        """
        task = asyncio.create_task(self._respond(caller_exchange, responder))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        disconnect = asyncio.create_task(responder.disconnected.wait())
        await asyncio.wait(
            (task, disconnect), return_when=asyncio.FIRST_COMPLETED
        )
        disconnect.cancel()
        if not task.done():
            self._metrics.count("callers_left")
            if caller_exchange.idempotent:
                task.cancel()
        await asyncio.wait((task,))
        if not task.cancelled():
            task.result()

    async def _respond(
        self,
        caller_exchange: exchange.Exchange,
        responder: httpserver.Responder,
    ) -> None:
        request = caller_exchange.request
        claimed_key = None
        if request.key and not caller_exchange.idempotent:
            claimed = await self._claim(caller_exchange)
            if isinstance(claimed, messages.StoredResponse):
                headers = [*claimed.headers, ("idempotent-replayed", "true")]
                await responder.send(claimed.status, headers, claimed.body)
                self._record_result(caller_exchange, "replayed")
                return
            if isinstance(claimed, errors.Failure):
                await self._refuse(responder, claimed)
                return
            claimed_key = claimed
        result = await self._execute(caller_exchange, responder, claimed_key)
        if isinstance(result, errors.Failure):
            await self._send_failure(caller_exchange, responder, result)
        elif isinstance(result, messages.StoredResponse):
            await responder.send(result.status, result.headers, result.body)
        else:
            await responder.finish()
        if not isinstance(result, errors.Failure):
            self._record_result(caller_exchange, "answered")

    async def _claim(
        self, caller_exchange: exchange.Exchange
    ) -> claimrouting.ClaimedKey | messages.StoredResponse | errors.Failure:
        """Claims the idempotency key of a request.

        A retry with the same key waits briefly for the result of the first
        request: results are recorded in batches, so a retry can arrive after
        the response was sent and before its record was written.
        """
        request = caller_exchange.request
        for delay_s in (*CLAIM_RETRY_DELAYS_S, None):
            claimed = await self._claims.claim(
                request.policy.account, request.key, request.fingerprint
            )
            undecided = isinstance(claimed, errors.Failure) and (
                claimed.reason in _UNDECIDED_REASONS
            )
            if delay_s is None or not undecided:
                break
            if _now() + delay_s > caller_exchange.due_at:
                break
            await asyncio.sleep(delay_s)
        return claimed

    async def _execute(
        self,
        caller_exchange: exchange.Exchange,
        responder: httpserver.Responder,
        claimed_key: claimrouting.ClaimedKey | None,
    ) -> messages.StoredResponse | forwarder.Streamed | errors.Failure:
        """Runs the request and records the outcome with its claim.

        The outcome is recorded even if the run raises an exception; it is
        UNKNOWN then.
        """
        outcome: messages.StoredResponse | errors.Outcome = (
            errors.Outcome.UNKNOWN
        )
        try:
            result = await self._forwarder.run(
                caller_exchange, _HttpDelivery(responder)
            )
            if isinstance(result, messages.StoredResponse):
                outcome = result
            elif isinstance(result, errors.Failure):
                outcome = result.outcome
            return result
        finally:
            if claimed_key is not None:
                settle_task = asyncio.create_task(
                    self._claims.finish(claimed_key, outcome)
                )
                self._tasks.add(settle_task)
                settle_task.add_done_callback(self._tasks.discard)
                if outcome is errors.Outcome.NOT_RUN:
                    # The key is released before the caller has the response,
                    # because it may retry at once.
                    await asyncio.wait(
                        (settle_task,), timeout=KEY_RELEASE_TIMEOUT_S
                    )

    async def _send_failure(
        self,
        caller_exchange: exchange.Exchange,
        responder: httpserver.Responder,
        failure: errors.Failure,
    ) -> None:
        self._record_result(caller_exchange, "failed", failure)
        if not responder.started:
            status, headers, body = callerrequests.error_response(failure)
            await responder.send(status, headers, body)
            return
        # The stream ends without its terminator, so that no client takes a
        # partial response for a complete one.
        event = json.dumps(callerrequests.error_body(failure))
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
        status, headers, body = callerrequests.error_response(failure)
        await responder.send(status, headers, body)

    def _record_result(
        self,
        caller_exchange: exchange.Exchange,
        result: str,
        failure: errors.Failure | None = None,
    ) -> None:
        now = _now()
        self._metrics.count(f"requests.{result}")
        fields: dict[str, Any] = {
            "account": caller_exchange.request.policy.account,
            "model": caller_exchange.request.model
            or caller_exchange.request.operation.service,
            "adapter": caller_exchange.request.adapter,
            "target": caller_exchange.target,
            "attempts": caller_exchange.attempts,
            "duration_ms": round((now - caller_exchange.arrived_at) * 1000, 1),
            "late_ms": round(max(0.0, now - caller_exchange.due_at) * 1000, 1),
        }
        if failure is not None:
            fields["reason"] = str(failure.reason)
            fields["step"] = str(failure.step)
            fields["peer"] = failure.peer
            fields["outcome"] = str(failure.outcome)
        telemetry.log(self._log, f"request_{result}", **fields)

    async def drain(self) -> None:
        """Waits until all requests ended and their results are recorded."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    def dump(self) -> dict[str, object]:
        """Returns the state of the gateway for operators."""
        return {
            "ready": self.ready,
            "operations": len(self._tasks),
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
