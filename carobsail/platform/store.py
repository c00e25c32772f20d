"""HTTP client of the platform's key-value store."""

import asyncio
import base64
import urllib.parse
from collections.abc import AsyncIterator
from typing import Any

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

# Timeout of the response head. It takes 4 ms, and up to 60 times that when the
# store is slow.
CALL_TIMEOUT_S = 1.0
# A call fails if no bytes of the body arrive for this long. A large
# configuration takes 550 KB, and instances that start together share the link
# between regions; a transfer that is aborted starts again and adds to the load.
READ_IDLE_TIMEOUT_S = 2.0
# Timeout of a whole response body, so that an endless response fails. 44
# instances that start together and share 30 Mbit/s take 7 s for 600 KB each.
BODY_TIMEOUT_S = 12.0
# Bounds how long a stalled connection hides changes: a leaving target has to be
# known within 2.5 s, the bound for draining.
WATCH_WAIT_S = 2.0
_CONNECT_TIMEOUT_S = 0.7
_CONNECTIONS = 8
_MAX_RESPONSE_BYTES = 16_777_216
_HEADERS = [("content-type", "application/json")]
_COMPACTED_STATUS = 410


class PlatformStore(KeyValueClient):
    """See base class; calls the store at one `host:port`."""

    __slots__ = ("_address", "_pool")

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = httpclient.ConnectionPool(
            address, _CONNECTIONS, _CONNECT_TIMEOUT_S
        )

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.close()

    async def range(self, prefix: str) -> RangeResult | errors.Failure:
        """See base class; each page shows the state at the time of its read."""
        values: list[KeyValue] = []
        revision = 0
        after = ""
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            page = await self._call("GET", "/v1/kv-range", query)
            if isinstance(page, errors.Failure):
                return page
            status, body = page
            if status != 200:
                return self._refusal(status)
            items = [_item(item) for item in body["items"]]
            values += items
            # The result has the revision of the first page: a watch that starts
            # there also returns changes made between two pages.
            revision = revision or int(body["currentRev"])
            if not body.get("hasMore") or not items:
                return RangeResult(revision, tuple(values))
            after = items[-1].key

    async def transact(
        self, compares: list[Compare], writes: list[Put | Delete]
    ) -> TransactionResult | errors.Failure:
        """See base class."""
        body = {
            "expected": [
                {"key": c.key, "revision": c.mod_revision} for c in compares
            ],
            "puts": [_put(w) for w in writes if isinstance(w, Put)],
            "remove": [w.key for w in writes if isinstance(w, Delete)],
        }
        result = await self._call("POST", "/v1/kv-txn", None, body)
        if isinstance(result, errors.Failure):
            return result
        status, response = result
        if status == 200:
            return TransactionResult(True, int(response["revision"]))
        if status == 412:
            present = [
                _item(i) for i in response.get("items", ()) if i.get("revision")
            ]
            return TransactionResult(False, 0, tuple(present))
        return self._refusal(status)

    async def grant_lease(self, ttl_s: float) -> int | errors.Failure:
        """See base class."""
        body = {"ttlMs": round(ttl_s * 1000)}
        result = await self._call("POST", "/v1/kv-lease", None, body)
        if isinstance(result, errors.Failure):
            return result
        status, response = result
        return (
            int(response["lease"]) if status == 200 else self._refusal(status)
        )

    async def keep_lease(self, lease: int) -> float | errors.Failure:
        """See base class."""
        result = await self._call("POST", f"/v1/kv-keep/{lease}", None, {})
        if isinstance(result, errors.Failure):
            return result
        status, response = result
        if status == 200:
            return float(response["ttlMs"]) / 1000.0
        return 0.0 if status == 404 else self._refusal(status)

    async def revoke_lease(self, lease: int) -> None | errors.Failure:
        """See base class; a lease that has already ended is not a failure."""
        result = await self._call("DELETE", f"/v1/kv-lease-end/{lease}")
        if isinstance(result, errors.Failure):
            return result
        status, _ = result
        return None if status in (200, 204, 404) else self._refusal(status)

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[list[WatchEvent] | errors.Failure]:
        """See base class; yields an empty list when a call had no changes."""
        after = start_revision - 1
        while True:
            events = await self.changes(prefix, after, WATCH_WAIT_S)
            yield events
            if isinstance(events, errors.Failure):
                return
            after = max([after, *(e.mod_revision for e in events)])

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> list[WatchEvent] | errors.Failure:
        """See base class."""
        query = {
            "prefix": prefix,
            "after": str(after),
            "waitMs": str(round(wait_s * 1000)),
        }
        result = await self._call("GET", "/v1/kv-watch", query, wait_s=wait_s)
        if isinstance(result, errors.Failure):
            return result
        status, body = result
        if status != 200:
            return self._refusal(status)
        return [_event(event) for event in body["events"]]

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: Any = None,
        wait_s: float = 0.0,
    ) -> tuple[int, Any] | errors.Failure:
        """Makes one call; returns status and decoded body.

        The body is decoded only for status 200 and 412.
        """
        if query:
            path += "?" + urllib.parse.urlencode(query, safe="/")
        data = b"" if body is None else msgspec.json.encode(body)
        try:
            async with asyncio.timeout(wait_s + CALL_TIMEOUT_S):
                response = await self._pool.request(
                    method, path, _HEADERS, data
                )
                if isinstance(response, errors.Failure):
                    return self._failure(
                        response.reason, response.outcome, response.detail
                    )
            async with asyncio.timeout(BODY_TIMEOUT_S):
                content = await response.read_body(
                    _MAX_RESPONSE_BYTES, READ_IDLE_TIMEOUT_S
                )
        except TimeoutError:
            return self._failure(errors.Reason.TIMEOUT, errors.Outcome.UNKNOWN)
        if isinstance(content, errors.Failure):
            return self._failure(
                content.reason, errors.Outcome.UNKNOWN, content.detail
            )
        if response.status not in (200, 412):
            return response.status, {}
        try:
            return response.status, msgspec.json.decode(content)
        except msgspec.DecodeError as error:
            return self._failure(
                errors.Reason.TARGET_ERROR,
                errors.Outcome.UNKNOWN,
                f"malformed response body: {error}",
            )

    def _refusal(self, status: int) -> errors.Failure:
        reason = (
            errors.Reason.STALE_REVISION
            if status == _COMPACTED_STATUS
            else errors.Reason.UNAVAILABLE
        )
        return self._failure(reason, errors.Outcome.NOT_RUN, f"status {status}")

    def _failure(
        self, reason: errors.Reason, outcome: errors.Outcome, detail: str = ""
    ) -> errors.Failure:
        return errors.Failure(
            reason, errors.Step.KEY_VALUE, self._address, outcome, detail
        )


def _item(item: dict[str, Any]) -> KeyValue:
    return KeyValue(
        item["key"],
        base64.b64decode(item.get("value", "")),
        int(item["revision"]),
        int(item.get("lease", 0)),
    )


def _event(event: dict[str, Any]) -> WatchEvent:
    deleted = event.get("deleted", False)
    value = None if deleted else base64.b64decode(event.get("value", ""))
    return WatchEvent(event["key"], value, int(event["revision"]))


def _put(put: Put) -> dict[str, Any]:
    document = {"key": put.key, "value": base64.b64encode(put.value).decode()}
    return document | {"lease": put.lease} if put.lease else document
