"""Stand-in for the platform's store, after its published protocol."""

import asyncio
import base64
import functools
import urllib.parse
from typing import TypeVar

import msgspec

from carobsail import errors, httpserver, keyvalue


class StoreStandin:
    """Serves a `MemoryKeyValue` through the platform's HTTP protocol.

    Attributes:
      data: The stored data.
      compacted: Revision up to which the history is compacted.
      status: If set, every call gets this status as its answer.
      refused: Status with which calls are refused, by the name of the caller.
      silent: Whether calls get no answer.
      delay_s: Delay of each answer.
      lose_writes: Number of upcoming writes that take effect but whose answer
        is lost.
      calls: Paths of the received calls.
      era: Value of the header `Store-Era`, which rises by one each time that
        the store goes back to an older copy; None if it is not sent.
    """

    def __init__(self, page_items: int = 2) -> None:
        """Creates an empty store.

        Args:
          page_items: Number of items in one page of a range read.
        """
        self.data = keyvalue.MemoryKeyValue()
        self.compacted = 0
        self.status = 0
        self.refused: dict[str, int] = {}
        self.silent = False
        self.delay_s = 0.0
        self.lose_writes = 0
        self.calls: list[str] = []
        self.era: int | None = None
        self._restored = asyncio.Event()
        self._page_items = page_items

    @property
    def down(self) -> bool:
        """Whether the store is unavailable to all callers."""
        return self.silent or bool(self.status)

    async def put_entry(self, identity: str, entry: bytes) -> None:
        """Writes the entry of a target."""
        await self.data.transact(
            [], [keyvalue.Put(f"servers/{identity}", entry)]
        )

    async def delete_entry(self, identity: str) -> None:
        """Removes the entry of a target."""
        await self.data.transact([], [keyvalue.Delete(f"servers/{identity}")])

    async def entries(self) -> set[str]:
        """Returns the identities of the targets that have an entry."""
        listing = _expect_success(await self.data.range("servers/"))
        return {v.key.removeprefix("servers/") for v in listing.values}

    async def forget_history(self) -> None:
        """Compacts the history up to the current revision."""
        self.compacted = _expect_success(await self.data.range("")).revision

    def go_back(
        self, older: keyvalue.Checkpoint, leases_paused: bool = True
    ) -> None:
        """Goes back to an older copy of the data; cuts off waiting calls.

        Args:
          older: The older copy, from `data.checkpoint`.
          leases_paused: See `keyvalue.MemoryKeyValue.restore`.
        """
        self.data.restore(older, leases_paused)
        self.compacted = min(self.compacted, older.revision)
        if self.era is not None:
            self.era += 1
        self._restored.set()
        self._restored = asyncio.Event()

    async def handle(self, request, responder, caller: str = "") -> None:
        """Answers one call."""
        self.calls.append(request.path)
        if self.silent:
            await responder.disconnected.wait()
            return
        refused = self.status or self.refused.get(caller, 0)
        restored = self._restored
        status, body = (refused, {}) if refused else await self._answer(request)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if restored.is_set():  # Its data and its era may differ.
            responder.abort()
            return
        if self.lose_writes and request.method == "POST":
            self.lose_writes -= 1
            responder.abort()
            return
        await responder.send(
            status,
            [("content-type", "application/json"), *self._era_header()],
            msgspec.json.encode(body),
        )

    def _era_header(self) -> list[tuple[str, str]]:
        return [] if self.era is None else [("store-era", str(self.era))]

    async def _answer(self, request):
        query = dict(urllib.parse.parse_qsl(request.query, True))
        body = msgspec.json.decode(request.body) if request.body else {}
        match request.method, request.path.split("/")[2:]:
            case "GET", ["kv-range"]:
                return await self._range(query)
            case "GET", ["kv-watch"]:
                return await self._watch(query)
            case "POST", ["kv-txn"]:
                return await self._transact(body)
            case "POST", ["kv-lease"]:
                lease = await self.data.grant_lease(body["ttlMs"] / 1000.0)
                return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
            case "POST", ["kv-keep", lease]:
                ttl_s = _expect_success(await self.data.keep_lease(int(lease)))
                return (200 if ttl_s else 404), {"ttlMs": ttl_s * 1000.0}
            case "DELETE", ["kv-lease-end", lease]:
                await self.data.revoke_lease(int(lease))
                return 200, {}
        return 404, {}

    async def _range(self, query):
        found = _expect_success(await self.data.range(query["prefix"]))
        after = query.get("after", "")
        items = [_item(v) for v in found.values if v.key > after]
        page = items[: self._page_items]
        return 200, {
            "items": page,
            "hasMore": len(items) > len(page),
            "currentRev": found.revision,
        }

    async def _watch(self, query):
        after = int(query["after"])
        revision = _expect_success(await self.data.range("")).revision
        if not self.compacted <= after <= revision:
            return 410, {}
        wait_s = int(query["waitMs"]) / 1000.0
        events: list[keyvalue.WatchEvent] = []
        try:
            async with asyncio.timeout(wait_s):
                async for found in self.data.watch(query["prefix"], after + 1):
                    events = _expect_success(found)
                    break
        except TimeoutError:
            pass
        current = _expect_success(await self.data.range("")).revision
        return 200, {
            "events": [_event(e) for e in events],
            "currentRev": events[-1].mod_revision if events else current,
        }

    async def _transact(self, body):
        compares = [
            keyvalue.Compare(e["key"], e["revision"]) for e in body["expected"]
        ]
        writes = [
            keyvalue.Put(
                p["key"], base64.b64decode(p["value"]), p.get("lease", 0)
            )
            for p in body["puts"]
        ]
        result = await self.data.transact(
            compares, [*writes, *map(keyvalue.Delete, body["remove"])]
        )
        if not isinstance(result, keyvalue.TransactionResult):
            return 404, {}
        if result.succeeded:
            return 200, {"revision": result.revision}
        return 412, {"items": [_item(v) for v in result.current]}


_Result = TypeVar("_Result")


def _expect_success(result: _Result | errors.Failure) -> _Result:
    """Returns the result of a call to the in-memory data, which cannot fail."""
    assert not isinstance(result, errors.Failure)
    return result


def _item(value):
    return {
        "key": value.key,
        "value": base64.b64encode(value.value).decode(),
        "revision": value.mod_revision,
        "createRev": value.mod_revision,
        "lease": value.lease,
    }


def _event(event):
    if event.value is None:
        return {
            "key": event.key,
            "revision": event.mod_revision,
            "deleted": True,
        }
    value = base64.b64encode(event.value).decode()
    return {"key": event.key, "value": value, "revision": event.mod_revision}


async def serve(standin: StoreStandin, caller: str = "") -> httpserver.Server:
    """Starts a server of the stand-in on a free port, for one caller or all."""
    return await httpserver.serve(
        "127.0.0.1",
        0,
        functools.partial(standin.handle, caller=caller),
        httpserver.ServerLimits(),
        "store",
    )
