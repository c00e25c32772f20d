"""Engine client over HTTP: OpenAI-compatible requests and admin calls."""

import asyncio
import dataclasses
from typing import Any, TypeVar

import msgspec

from carobsail import engines, errors, httpclient, messages, services

# A load waits for the weight store, which starts about one load per second.
MODEL_ORDER_TIMEOUT_S = 120.0
ADAPTER_ORDER_TIMEOUT_S = 10.0
READ_TIMEOUT_S = 2.0
_ADMIN_CONNECTIONS = 64
_MAX_ADMIN_RESPONSE_BYTES = 1_048_576
_JSON_HEADER = ("content-type", "application/json")
# `reason` that an engine gives for rejecting an order, which had no effect.
_REASON_BY_CODE = {
    "fenced": errors.Reason.FENCED,
    "no_memory": errors.Reason.NO_MEMORY,
    "unknown_model": errors.Reason.UNKNOWN_MODEL,
    "unknown_adapter": errors.Reason.UNKNOWN_ADAPTER,
}

_Value = TypeVar("_Value")


class HttpEngine(engines.EngineClient):
    """Client of one engine: inference requests, orders and status reports.

    Orders are the admin commands: load, unload and cancel. Orders and reports
    use a separate connection pool, so that they never wait behind requests.
    """

    __slots__ = ("_admin", "_name", "_requests")

    def __init__(self, name: str, address: str) -> None:
        """Creates a client without connections.

        Args:
          name: Target name.
          address: `host:port` of the engine.
        """
        self._name = name
        self._requests = services.HttpService(name, address)
        self._admin = httpclient.ConnectionPool(
            address, _ADMIN_CONNECTIONS, services.CONNECT_TIMEOUT_S, name
        )

    def close(self) -> None:
        """Closes idle connections."""
        self._requests.close()
        self._admin.close()

    async def send(
        self, request: messages.Dispatch
    ) -> engines.ResponseStream | errors.Failure:
        """See base class."""
        return await self._requests.send(request)

    async def resume(
        self, request: messages.Dispatch, last_event: str
    ) -> engines.ResponseStream | errors.Failure:
        """See base class.

        Part of the request has already run, so a failure is never NOT_RUN.
        """
        headers = [
            _JSON_HEADER,
            ("x-request-id", request.attempt),
            ("last-event-id", last_event),
        ]
        body = msgspec.json.encode({"request_id": request.attempt})
        outcome_if_run = (
            errors.Outcome.FAILED
            if request.idempotent
            else errors.Outcome.UNKNOWN
        )
        response = await self._requests.call(
            msgspec.structs.replace(request, method="POST"),
            "/v1/resume",
            headers,
            body,
        )
        if isinstance(response, errors.Failure):
            return dataclasses.replace(response, outcome=outcome_if_run)
        if response.status == 200:
            return response
        await response.close()
        return self._admin.failure(
            errors.Reason.TARGET_REFUSED,
            f"status {response.status}",
            outcome_if_run,
        )

    async def cancel(self, attempt: str) -> None | errors.Failure:
        """See base class."""
        body = {"request_id": attempt}
        return await self._send_order("cancel", body, READ_TIMEOUT_S)

    async def load_model(
        self, model: str, version: str, fencing_token: int
    ) -> None | errors.Failure:
        """See base class."""
        body = {"model": model, "version": version, "fence": fencing_token}
        return await self._send_order("load_model", body, MODEL_ORDER_TIMEOUT_S)

    async def unload_model(
        self, model: str, fencing_token: int
    ) -> None | errors.Failure:
        """See base class."""
        body = {"model": model, "fence": fencing_token}
        return await self._send_order(
            "unload_model", body, MODEL_ORDER_TIMEOUT_S
        )

    async def load_adapter(
        self, adapter: str, model: str, fencing_token: int
    ) -> None | errors.Failure:
        """See base class."""
        body = {"lora_name": adapter, "model": model, "fence": fencing_token}
        return await self._send_order(
            "load_lora_adapter", body, ADAPTER_ORDER_TIMEOUT_S
        )

    async def unload_adapter(
        self, adapter: str, fencing_token: int
    ) -> None | errors.Failure:
        """See base class."""
        body = {"lora_name": adapter, "fence": fencing_token}
        return await self._send_order(
            "unload_lora_adapter", body, ADAPTER_ORDER_TIMEOUT_S
        )

    async def report(self) -> engines.EngineReport | errors.Failure:
        """See base class."""
        return await self._read("/v1/report", engines.EngineReport)

    async def cache_events(
        self, after: int
    ) -> list[engines.CacheEvent] | errors.Failure:
        """See base class."""
        path = f"/v1/cache_events?after={after}"
        return await self._read(path, list[engines.CacheEvent])

    async def _send_order(
        self, name: str, body: dict[str, Any], timeout_s: float
    ) -> None | errors.Failure:
        data = msgspec.json.encode(body)
        result = await self._call("POST", f"/v1/{name}", data, timeout_s)
        if isinstance(result, errors.Failure):
            return dataclasses.replace(result, step=errors.Step.ORDER)
        response, content = result
        if response.status == 200:
            return None
        if response.status == 503 and response.header("x-not-started") == "1":
            return services.not_started_failure(self._admin, response)
        reason = _REASON_BY_CODE.get(_reason_code(content))
        if reason:
            return self._failure(reason, errors.Outcome.NOT_RUN)
        return self._failure(
            errors.Reason.TARGET_ERROR,
            errors.Outcome.UNKNOWN,
            f"status {response.status}",
        )

    async def _read(
        self, path: str, response_type: type[_Value]
    ) -> _Value | errors.Failure:
        result = await self._call("GET", path, b"", READ_TIMEOUT_S)
        if isinstance(result, errors.Failure):
            return dataclasses.replace(result, outcome=errors.Outcome.FAILED)
        response, content = result
        try:
            if response.status == 200:
                return msgspec.json.decode(content, type=response_type)
            detail = f"status {response.status}"
        except msgspec.DecodeError as error:
            detail = f"malformed answer: {error}"
        return self._failure(
            errors.Reason.TARGET_ERROR, errors.Outcome.FAILED, detail
        )

    async def _call(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[httpclient.Response, bytes] | errors.Failure:
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._admin.request(
                    method, path, [_JSON_HEADER], body
                )
                if isinstance(response, errors.Failure):
                    return response
                content = await response.read_body(_MAX_ADMIN_RESPONSE_BYTES)
        except TimeoutError:
            return self._failure(errors.Reason.TIMEOUT, errors.Outcome.UNKNOWN)
        if isinstance(content, errors.Failure):
            return content
        return response, content

    def _failure(
        self, reason: errors.Reason, outcome: errors.Outcome, detail: str = ""
    ) -> errors.Failure:
        step = errors.Step.ORDER
        return errors.Failure(reason, step, self._name, outcome, detail)


def _reason_code(content: bytes) -> str:
    try:
        reason = msgspec.json.decode(content, type=dict[str, Any]).get("reason")
    except msgspec.DecodeError:
        return ""
    return reason if isinstance(reason, str) else ""
