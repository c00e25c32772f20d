"""Sends orders to the platform's engines and reads their reports."""

import asyncio
from typing import Any

import msgspec

from carobsail import bufferlimit, engineorders, errors, httpclient
from carobsail.engineorders import EngineReport, Order, Verdict
from carobsail.platform import documents, headers

# An engine accepts an order immediately; only the network takes time.
CALL_TIMEOUT_S = 0.6
_CONNECT_TIMEOUT_S = 0.4
_CONNECTIONS_PER_ENGINE = 4
_IDLE_CONNECTION_S = 3.0
_MAX_RESPONSE_BYTES = 1_048_576
# Limit of all responses that are being received. A report has some kilobytes.
_MAX_BUFFERED_BYTES = 8_388_608
_VERDICT_BY_STATUS = {
    200: Verdict.HOLDS_ALREADY,
    202: Verdict.ACCEPTED,
    409: Verdict.CONFLICT,
    412: Verdict.FENCED,
}


class HttpEngineOrderClient(engineorders.EngineOrderClient):
    """See base class; calls the engines over HTTP."""

    __slots__ = ("_buffers", "_pools")

    def __init__(self) -> None:
        super().__init__()
        self._buffers = bufferlimit.BufferLimit(_MAX_BUFFERED_BYTES)
        self._pools: dict[tuple[str, str], httpclient.ConnectionPool] = {}

    def close(self) -> None:
        """Closes idle connections."""
        for pool in self._pools.values():
            pool.close()

    async def order(
        self,
        identity: str,
        address: str,
        order: Order,
        orders_before: int,
        holder: str,
        fence: int,
    ) -> Verdict | errors.Failure:
        """See base class."""
        body: dict[str, Any] = {
            "opType": str(order.verb),
            "model": order.model,
            "expected": orders_before,
            "holder": holder,
            "fenceToken": fence,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        result = await self._call(
            identity, address, "POST", "/v1/order", msgspec.json.encode(body)
        )
        if isinstance(result, errors.Failure):
            return result
        status, _ = result
        verdict = _VERDICT_BY_STATUS.get(status)
        if verdict is not None:
            return verdict
        outcome = headers.failure_outcome(status)
        return _failure(identity, f"status {status}", outcome)

    async def report(
        self, identity: str, address: str
    ) -> EngineReport | errors.Failure:
        """See base class."""
        result = await self._call(identity, address, "GET", "/v1/report", b"")
        if isinstance(result, errors.Failure):
            return result
        status, content = result
        if status != 200:
            return _failure(identity, f"status {status}", errors.Outcome.FAILED)
        return documents.read_report(identity, content)

    async def _call(
        self, identity: str, address: str, method: str, path: str, body: bytes
    ) -> tuple[int, bytes] | errors.Failure:
        key = (identity, address)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = httpclient.ConnectionPool(
                address,
                _CONNECTIONS_PER_ENGINE,
                _CONNECT_TIMEOUT_S,
                identity,
                _IDLE_CONNECTION_S,
                buffers=self._buffers,
            )
        request_headers = [
            ("content-type", "application/json"),
            (headers.TARGET_INSTANCE, identity),
        ]
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                response = await pool.request(
                    method, path, request_headers, body
                )
                if isinstance(response, errors.Failure):
                    return response
                if headers.says_leaving(response):
                    self.on_leaving(identity)
                content = await response.read_body(_MAX_RESPONSE_BYTES)
        except TimeoutError:
            return _failure(identity, "no answer", errors.Outcome.UNKNOWN)
        if isinstance(content, errors.Failure):
            return content
        return response.status, content


def _failure(
    identity: str, detail: str, outcome: errors.Outcome
) -> errors.Failure:
    return errors.Failure(
        errors.Reason.TARGET_ERROR,
        errors.Step.ORDER,
        identity,
        outcome,
        detail,
    )
