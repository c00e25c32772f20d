"""HTTP client of the platform's key-value store."""

import asyncio
import base64
import dataclasses
import urllib.parse
from collections.abc import AsyncIterator
from typing import Any, Generic, TypeVar

import msgspec

from carobsail import errors, httpclient, storeera
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
from carobsail.platform import headers

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
_CONDITION_FAILED_STATUS = 412
# Rises by one each time that the store comes back from an older copy.
_ERA_HEADER = "store-era"


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: bytes | None = None
    lease: int | None = None

    def to_key_value(self, era: int) -> KeyValue:
        revision = storeera.combine(era, self.revision)
        return KeyValue(self.key, self.value or b"", revision, self.lease or 0)


class _Page(msgspec.Struct):
    items: list[_Item]
    currentRev: int  # noqa: N815 - name in the platform's protocol, as below.
    hasMore: bool = False  # noqa: N815


class _Event(msgspec.Struct):
    key: str
    revision: int
    value: bytes | None = None
    deleted: bool = False

    def to_watch_event(self, era: int) -> WatchEvent:
        value = None if self.deleted else self.value or b""
        revision = storeera.combine(era, self.revision)
        return WatchEvent(self.key, value, revision)


class _Events(msgspec.Struct):
    events: list[_Event]


class _Committed(msgspec.Struct):
    revision: int


class _Rejected(msgspec.Struct):
    items: list[_Item] = []


class _Granted(msgspec.Struct):
    lease: int


class _Renewed(msgspec.Struct):
    ttlMs: float  # noqa: N815


class _Ended(msgspec.Struct):
    """The response to the end of a lease states nothing."""


_Result = TypeVar("_Result")


@dataclasses.dataclass(slots=True, frozen=True)
class _Reply(Generic[_Result]):
    """A response of the store.

    Attributes:
      body: The decoded body with status 200; other statuses as such.
      era: Era of the store in which it was given.
      content: The body before it was decoded.
    """

    body: _Result | int
    era: int
    content: bytes


class PlatformStore(KeyValueClient):
    """See base class; calls the store at one `host:port`."""

    __slots__ = ("_address", "_era", "_pool")

    def __init__(self, address: str) -> None:
        self._address = address
        self._era = storeera.ObservedEra()
        self._pool = httpclient.ConnectionPool(
            address, _CONNECTIONS, _CONNECT_TIMEOUT_S
        )

    @property
    def era(self) -> int:
        """See base class."""
        return self._era.current

    @property
    def ignored_eras(self) -> int:
        """See base class."""
        return self._era.ignored

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
            reply = await self._call("GET", "/v1/kv-range", _Page, query)
            if isinstance(reply, errors.Failure):
                return reply
            page = reply.body
            if isinstance(page, int):
                return self._refusal(page)
            if after and reply.era != storeera.era_of(revision):
                # Pages of two eras are not one listing.
                values, revision, after = [], 0, ""
                continue
            values += [item.to_key_value(reply.era) for item in page.items]
            # The result has the revision of the first page: a watch that starts
            # there also returns changes made between two pages.
            revision = revision or storeera.combine(reply.era, page.currentRev)
            if not page.hasMore or not page.items:
                return RangeResult(revision, tuple(values))
            after = page.items[-1].key

    async def transact(
        self, compares: list[Compare], writes: list[Put | Delete]
    ) -> TransactionResult | errors.Failure:
        """See base class."""
        if any(self._has_passed(c.mod_revision) for c in compares):
            return self._era_passed(errors.Outcome.NOT_RUN)
        body = {
            "expected": [
                {
                    "key": c.key,
                    "revision": storeera.revision_of(c.mod_revision),
                }
                for c in compares
            ],
            "puts": [_put(w) for w in writes if isinstance(w, Put)],
            "remove": [w.key for w in writes if isinstance(w, Delete)],
        }
        reply = await self._call("POST", "/v1/kv-txn", _Committed, body=body)
        if isinstance(reply, errors.Failure):
            return reply
        result = reply.body
        if isinstance(result, _Committed):
            revision = storeera.combine(reply.era, result.revision)
            return TransactionResult(True, revision)
        if result != _CONDITION_FAILED_STATUS:
            return self._refusal(result)
        rejected = self._decode(reply.content, _Rejected)
        if isinstance(rejected, errors.Failure):
            return rejected
        present = [
            i.to_key_value(reply.era) for i in rejected.items if i.revision
        ]
        return TransactionResult(False, 0, tuple(present))

    async def grant_lease(self, ttl_s: float) -> int | errors.Failure:
        """See base class."""
        body = {"ttlMs": round(ttl_s * 1000)}
        reply = await self._call("POST", "/v1/kv-lease", _Granted, body=body)
        if isinstance(reply, errors.Failure):
            return reply
        result = reply.body
        if isinstance(result, int):
            return self._refusal(result)
        return result.lease

    async def keep_lease(self, lease: int) -> float | errors.Failure:
        """See base class."""
        reply = await self._call(
            "POST", f"/v1/kv-keep/{lease}", _Renewed, body={}
        )
        if isinstance(reply, errors.Failure):
            return reply
        result = reply.body
        if isinstance(result, int):
            return 0.0 if result == 404 else self._refusal(result)
        return result.ttlMs / 1000.0

    async def revoke_lease(self, lease: int) -> None | errors.Failure:
        """See base class; a lease that has already ended is not a failure."""
        reply = await self._call("DELETE", f"/v1/kv-lease-end/{lease}", _Ended)
        if isinstance(reply, errors.Failure):
            return reply
        result = reply.body
        if isinstance(result, int) and result not in (204, 404):
            return self._refusal(result)
        return None

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
        if self._has_passed(after):
            return self._era_passed(errors.Outcome.NOT_RUN)
        query = {
            "prefix": prefix,
            "after": str(storeera.revision_of(after)),
            "waitMs": str(round(wait_s * 1000)),
        }
        reply = await self._call(
            "GET", "/v1/kv-watch", _Events, query, wait_s=wait_s
        )
        if isinstance(reply, errors.Failure):
            return reply
        result = reply.body
        if isinstance(result, int):
            return self._refusal(result)
        if after and reply.era != storeera.era_of(after):
            # These are changes after a revision that was given out again.
            return self._era_passed(errors.Outcome.FAILED)
        return [event.to_watch_event(reply.era) for event in result.events]

    def _has_passed(self, revision: int) -> bool:
        """Whether a revision is of an earlier era of the store."""
        return bool(revision) and storeera.era_of(revision) < self._era.current

    async def _call(
        self,
        method: str,
        path: str,
        result_type: type[_Result],
        query: dict[str, str] | None = None,
        body: Any = None,
        wait_s: float = 0.0,
    ) -> _Reply[_Result] | errors.Failure:
        """Makes one call.

        Args:
          method: Method of the call.
          path: Path of the call, without the query.
          result_type: Type of the body with status 200.
          query: Parameters of the query.
          body: Body of the call, before it is encoded.
          wait_s: Seconds for which the store may hold the call.

        Returns:
          The response; a response of an earlier era is a failure.
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
                now = asyncio.get_running_loop().time()
                stated = response.header(_ERA_HEADER)
                if not self._era.observe(stated, now):
                    await response.close()
                    return self._era_passed(errors.Outcome.UNKNOWN)
                era = self._era.current
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
        if response.status != 200:
            return _Reply(response.status, era, content)
        decoded = self._decode(content, result_type)
        if isinstance(decoded, errors.Failure):
            return decoded
        return _Reply(decoded, era, content)

    def _decode(
        self, content: bytes, result_type: type[_Result]
    ) -> _Result | errors.Failure:
        try:
            return msgspec.json.decode(content, type=result_type)
        except (msgspec.DecodeError, RecursionError) as error:
            return self._failure(
                errors.Reason.TARGET_ERROR,
                errors.Outcome.UNKNOWN,
                f"malformed response body: {error}",
            )

    def _era_passed(self, outcome: errors.Outcome) -> errors.Failure:
        """Returns the failure of a call whose revision or response is old."""
        return self._failure(
            errors.Reason.STALE_REVISION,
            outcome,
            f"the store is in era {self._era.current}",
        )

    def _refusal(self, status: int) -> errors.Failure:
        reason = (
            errors.Reason.STALE_REVISION
            if status == _COMPACTED_STATUS
            else errors.Reason.UNAVAILABLE
        )
        outcome = headers.failure_outcome(status)
        return self._failure(reason, outcome, f"status {status}")

    def _failure(
        self, reason: errors.Reason, outcome: errors.Outcome, detail: str = ""
    ) -> errors.Failure:
        return errors.Failure(
            reason, errors.Step.KEY_VALUE, self._address, outcome, detail
        )


def _put(put: Put) -> dict[str, Any]:
    document = {"key": put.key, "value": base64.b64encode(put.value).decode()}
    return document | {"lease": put.lease} if put.lease else document
