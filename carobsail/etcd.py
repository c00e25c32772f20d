"""Key-value client for the JSON gateway of the etcd v3 API.

In its JSON, keys and values are base64, 64-bit integers are strings, and fields
with their default value may be absent.
"""

import asyncio
import base64
import math
from collections.abc import AsyncIterator, Callable
from typing import Any, TypeVar

import msgspec

from carobsail import errors, httpclient
from carobsail.keyvalue import (
    Compare,
    Delete,
    KeyValue,
    KeyValueClient,
    Put,
    RangeResult,
    TransactionResult,
    WatchEvent,
)

CALL_TIMEOUT_S = 2.0
# Below the timeout of a call, so that an unreachable service is reported with
# outcome NOT_RUN instead of UNKNOWN.
_CONNECT_TIMEOUT_S = 0.9
_MAX_CONNECTIONS = 32
_MAX_RESPONSE_BYTES = 67_108_864
# A watch without events is reopened after this time: a half-open connection
# would otherwise hide changes for as long as it lasts.
_WATCH_IDLE_TIMEOUT_S = 5.0
# gRPC codes of calls that the service refuses before any effect: invalid
# argument, lease not found, permission denied, unauthenticated.
_CODES_NOT_RUN = frozenset({3, 5, 7, 16})
_CODE_NOT_FOUND = 5

_Result = TypeVar("_Result")

_HEADERS = [("content-type", "application/json")]


class EtcdClient(KeyValueClient):
    """Client of the JSON gateway at one `host:port`."""

    __slots__ = ("_address", "_pool", "_timeout_s", "_watch_pool")

    def __init__(self, address: str, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._pool = httpclient.ConnectionPool(
            address, _MAX_CONNECTIONS, _CONNECT_TIMEOUT_S
        )
        self._watch_pool = httpclient.ConnectionPool(
            address, _MAX_CONNECTIONS, _CONNECT_TIMEOUT_S
        )

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()
        self._watch_pool.close()

    async def range(self, prefix: str) -> RangeResult | errors.Failure:
        """See base class."""
        return await self._call(
            "/v3/kv/range", _key_range(prefix), False, _decode_range_result
        )

    async def transact(
        self, compares: list[Compare], writes: list[Put | Delete]
    ) -> TransactionResult | errors.Failure:
        """See base class."""
        body = {
            "compare": [
                {
                    "key": _encode_key(compare.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "modRevision": str(compare.mod_revision),
                }
                for compare in compares
            ],
            "success": [_encode_write(write) for write in writes],
            "failure": [
                {"requestRange": {"key": _encode_key(compare.key)}}
                for compare in compares
            ],
        }
        return await self._call(
            "/v3/kv/txn", body, bool(writes), _decode_transaction_result
        )

    async def grant_lease(self, ttl_s: float) -> int | errors.Failure:
        """See base class."""
        body = {"TTL": str(math.ceil(ttl_s)), "ID": "0"}
        return await self._call(
            "/v3/lease/grant", body, True, lambda result: int(result["ID"])
        )

    async def keep_lease(self, lease: int) -> float | errors.Failure:
        """See base class."""
        return await self._call(
            "/v3/lease/keepalive",
            {"ID": str(lease)},
            True,
            lambda result: float(result["result"].get("TTL", 0)),
        )

    async def revoke_lease(self, lease: int) -> None | errors.Failure:
        """See base class; a lease that no longer exists is not a failure."""
        result = await self._call(
            "/v3/lease/revoke", {"ID": str(lease)}, True, lambda _: None
        )
        if result and result.detail.startswith(f"code {_CODE_NOT_FOUND}:"):
            return None
        return result

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[list[WatchEvent] | errors.Failure]:
        """See base class; reopens an idle watch where it stopped."""
        while True:
            create = _key_range(prefix) | {
                "start_revision": str(start_revision)
            }
            response = await self._open_watch({"create_request": create})
            if isinstance(response, errors.Failure):
                yield response
                return
            try:
                async for line in self._read_lines(response):
                    if line is None:
                        break
                    events = self._parse_events(line)
                    if isinstance(events, errors.Failure):
                        yield events
                        return
                    if events:
                        start_revision = events[-1].mod_revision + 1
                        yield events
            finally:
                await response.close()

    async def _open_watch(
        self, body: dict[str, Any]
    ) -> httpclient.Response | errors.Failure:
        try:
            async with asyncio.timeout(self._timeout_s):
                response = await self._watch_pool.request(
                    "POST", "/v3/watch", _HEADERS, msgspec.json.encode(body)
                )
        except TimeoutError:
            return self._failure(errors.Outcome.FAILED, errors.Reason.TIMEOUT)
        if isinstance(response, errors.Failure):
            return self._failure(errors.Outcome.FAILED, detail=response.detail)
        if response.status != 200:
            await response.close()
            detail = f"status {response.status}"
            return self._failure(errors.Outcome.FAILED, detail=detail)
        return response

    async def _read_lines(
        self, response: httpclient.Response
    ) -> AsyncIterator[bytes | errors.Failure | None]:
        """Yields the lines of a watch, then None if it became idle."""
        chunks = aiter(response.chunks())
        partial_line = b""
        while True:
            try:
                async with asyncio.timeout(_WATCH_IDLE_TIMEOUT_S):
                    chunk = await anext(chunks)
            except TimeoutError:
                yield None
                return
            except StopAsyncIteration:
                yield self._failure(errors.Outcome.FAILED, detail="watch ended")
                return
            if isinstance(chunk, errors.Failure):
                yield self._failure(errors.Outcome.FAILED, detail=chunk.detail)
                return
            *lines, partial_line = (partial_line + chunk).split(b"\n")
            for line in lines:
                if line:
                    yield line
            if len(partial_line) > _MAX_RESPONSE_BYTES:
                yield self._failure(
                    errors.Outcome.FAILED, detail="event too long"
                )
                return

    def _parse_events(
        self, line: bytes | errors.Failure
    ) -> list[WatchEvent] | errors.Failure:
        if isinstance(line, errors.Failure):
            return line
        return self._parse(line, errors.Outcome.FAILED, _decode_watch_events)

    async def _call(
        self,
        path: str,
        body: dict[str, Any],
        writes: bool,
        parse: Callable[[Any], _Result],
    ) -> _Result | errors.Failure:
        outcome_if_sent = (
            errors.Outcome.UNKNOWN if writes else errors.Outcome.FAILED
        )
        data = msgspec.json.encode(body)
        try:
            async with asyncio.timeout(self._timeout_s):
                response = await self._pool.request(
                    "POST", path, _HEADERS, data
                )
                if isinstance(response, errors.Failure):
                    not_run = response.outcome is errors.Outcome.NOT_RUN
                    return self._failure(
                        response.outcome if not_run else outcome_if_sent,
                        detail=response.detail,
                    )
                content = await response.read_body(_MAX_RESPONSE_BYTES)
        except TimeoutError:
            return self._failure(outcome_if_sent, errors.Reason.TIMEOUT)
        if isinstance(content, errors.Failure):
            return self._failure(outcome_if_sent, detail=content.detail)
        if response.status == 200:
            return self._parse(content, outcome_if_sent, parse)
        code = self._parse(
            content, outcome_if_sent, lambda result: result["code"]
        )
        detail = f"code {code}: status {response.status}"
        if code in _CODES_NOT_RUN:
            return self._failure(
                errors.Outcome.NOT_RUN, errors.Reason.INVALID, detail
            )
        return self._failure(outcome_if_sent, detail=detail)

    def _parse(
        self,
        content: bytes,
        outcome: errors.Outcome,
        parse: Callable[[Any], _Result],
    ) -> _Result | errors.Failure:
        try:
            return parse(msgspec.json.decode(content))
        except (LookupError, TypeError, ValueError, AttributeError) as error:
            return self._failure(
                outcome, detail=f"malformed response: {error!r}"
            )

    def _failure(
        self,
        outcome: errors.Outcome,
        reason: errors.Reason = errors.Reason.UNAVAILABLE,
        detail: str = "",
    ) -> errors.Failure:
        step = errors.Step.KEY_VALUE
        return errors.Failure(reason, step, self._address, outcome, detail)


def _encode_key(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _key_range(prefix: str) -> dict[str, str]:
    """Returns `key` and `range_end` of all keys with the prefix."""
    key = prefix.encode() or b"\0"
    # UTF-8 never contains 0xff, so the last byte can always be incremented.
    end = key[:-1] + bytes([key[-1] + 1]) if prefix else b"\0"
    return {
        "key": base64.b64encode(key).decode(),
        "range_end": base64.b64encode(end).decode(),
    }


def _encode_write(write: Put | Delete) -> dict[str, Any]:
    if isinstance(write, Delete):
        return {"requestDeleteRange": {"key": _encode_key(write.key)}}
    put = {
        "key": _encode_key(write.key),
        "value": base64.b64encode(write.value).decode(),
    }
    if write.lease:
        put["lease"] = str(write.lease)
    return {"requestPut": put}


def _decode_range_result(result: dict[str, Any]) -> RangeResult:
    values = tuple(_decode_key_value(kv) for kv in result.get("kvs", ()))
    return RangeResult(int(result["header"]["revision"]), values)


def _decode_transaction_result(result: dict[str, Any]) -> TransactionResult:
    succeeded = result.get("succeeded", False)
    current: tuple[KeyValue, ...] = ()
    if not succeeded:
        current = tuple(
            _decode_key_value(kv)
            for response in result.get("responses", ())
            for kv in response.get("response_range", {}).get("kvs", ())
        )
    revision = int(result["header"]["revision"])
    return TransactionResult(succeeded, revision, current)


def _decode_key_value(kv: dict[str, Any]) -> KeyValue:
    return KeyValue(
        base64.b64decode(kv["key"]).decode(),
        base64.b64decode(kv.get("value", "")),
        int(kv["mod_revision"]),
        int(kv.get("lease", 0)),
    )


def _decode_watch_events(message: dict[str, Any]) -> list[WatchEvent]:
    result = message["result"]
    if result.get("canceled"):
        raise ValueError(f"watch cancelled: {result.get('cancel_reason')}")
    return [_decode_event(item) for item in result.get("events", ())]


def _decode_event(item: dict[str, Any]) -> WatchEvent:
    kv = _decode_key_value(item["kv"])
    value = None if item.get("type") == "DELETE" else kv.value
    return WatchEvent(kv.key, value, kv.mod_revision)
