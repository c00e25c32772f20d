"""Stand-in for the platform's key-value service: the etcd v3 JSON gateway."""

import asyncio
import base64
from typing import Any

import msgspec

from carobsail import errors, httpserver
from carobsail.keyvalue import (
    Compare,
    Delete,
    KeyValue,
    MemoryKeyValue,
    Put,
    RangeResult,
    WatchEvent,
)

_JSON_HEADERS = [("content-type", "application/json")]


class KeyValueStandin:
    """Serves the gateway's endpoints from a `MemoryKeyValue`.

    Attributes:
      store: The data.
      address: `host:port` once started.
      available: While False, connections are cut and calls have no effect.
      delay_s: Seconds before each call takes effect.
      lose_answers: Number of upcoming calls that take effect but whose
        connection is cut without a response.
      calls: Number of calls by path.
    """

    def __init__(self) -> None:
        self.store = MemoryKeyValue()
        self.address = ""
        self.available = True
        self.delay_s = 0.0
        self.lose_answers = 0
        self.calls: dict[str, int] = {}
        self._server: httpserver.Server | None = None

    async def start(self, host: str, port: int = 0) -> None:
        """Starts listening."""
        limits = httpserver.ServerLimits()
        self._server = await httpserver.serve(
            host, port, self._handle, limits, "keyvalue-standin"
        )
        self.address = f"{host}:{self._server.port}"

    async def stop(self) -> None:
        """Cuts all connections and stops listening."""
        if self._server:
            await self._server.close()

    async def _handle(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        path = request.path
        self.calls[path] = self.calls.get(path, 0) + 1
        await asyncio.sleep(self.delay_s)
        if not self.available:
            responder.abort()
            return
        body = msgspec.json.decode(request.body)
        if path == "/v3/watch":
            await self._watch(body["create_request"], responder)
            return
        handlers = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._transact,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
        }
        if path not in handlers:
            await _refuse(responder, 404, 12, "unknown path")
            return
        result = await handlers[path](body)
        if self.lose_answers:
            self.lose_answers -= 1
            responder.abort()
        elif isinstance(result, errors.Failure):
            await _refuse(responder, 404, 5, "requested lease not found")
        else:
            await responder.send(
                200, _JSON_HEADERS, msgspec.json.encode(result)
            )

    async def _range(self, body: dict[str, Any]) -> object:
        result = await self._read(body)
        return {
            "header": {"revision": str(result.revision)},
            "kvs": [_kv(value) for value in result.values],
            "count": str(len(result.values)),
        }

    async def _read(self, body: dict[str, Any]) -> RangeResult:
        result = await self.store.range("")
        assert isinstance(result, RangeResult)
        found = tuple(v for v in result.values if _in_range(v.key, body))
        return RangeResult(result.revision, found)

    async def _transact(self, body: dict[str, Any]) -> object:
        compares = []
        for item in body.get("compare", ()):
            if (item["target"], item["result"]) != ("MOD", "EQUAL"):
                raise ValueError("only MOD EQUAL is supported")
            revision = int(item.get("modRevision", 0))
            compares.append(Compare(_decode_text(item["key"]), revision))
        writes = [_write(item) for item in body.get("success", ())]
        result = await self.store.transact(compares, writes)
        if isinstance(result, errors.Failure):
            return result
        answer: dict[str, Any] = {
            "header": {"revision": str(result.revision)},
            "responses": [],
        }
        if result.succeeded:
            return answer | {"succeeded": True}
        for item in body.get("failure", ()):
            found = await self._read(item["requestRange"])
            kvs = [_kv(value) for value in found.values]
            answer["responses"].append({"response_range": {"kvs": kvs}})
        return answer

    async def _grant(self, body: dict[str, Any]) -> object:
        lease = await self.store.grant_lease(int(body["TTL"]))
        return {"header": {}, "ID": str(lease), "TTL": body["TTL"]}

    async def _keep_alive(self, body: dict[str, Any]) -> object:
        ttl = await self.store.keep_lease(int(body["ID"]))
        result = {"header": {}, "ID": body["ID"]}
        if isinstance(ttl, float) and ttl:
            result["TTL"] = str(int(ttl))
        return {"result": result}

    async def _revoke(self, body: dict[str, Any]) -> object:
        lease = int(body["ID"])
        # `keep_lease` returns 0 if the lease no longer exists; the service then
        # refuses the call.
        if await self.store.keep_lease(lease) == 0:
            return errors.Failure(
                errors.Reason.INVALID, errors.Step.KEY_VALUE, self.address
            )
        await self.store.revoke_lease(lease)
        return {"header": {}}

    async def _watch(
        self, create: dict[str, Any], responder: httpserver.Responder
    ) -> None:
        changes = aiter(
            self.store.watch("", int(create.get("start_revision", 1)))
        )
        await responder.start(200, _JSON_HEADERS)
        created = {"result": {"header": {}, "created": True}}
        await responder.write(msgspec.json.encode(created) + b"\n")
        disconnected = asyncio.create_task(responder.disconnected.wait())
        try:
            while self.available and not disconnected.done():
                next_events = asyncio.ensure_future(anext(changes))
                while (
                    not next_events.done()
                    and self.available
                    and not disconnected.done()
                ):
                    await asyncio.wait(
                        {next_events, disconnected},
                        timeout=0.1,
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                if not next_events.done():
                    next_events.cancel()
                    break
                events = next_events.result()
                assert not isinstance(events, errors.Failure)
                found = [_event(e) for e in events if _in_range(e.key, create)]
                if not found:
                    continue
                result = {"header": {}, "events": found}
                line = msgspec.json.encode({"result": result}) + b"\n"
                await responder.write(line)
        finally:
            disconnected.cancel()
            responder.abort()


async def _refuse(
    responder: httpserver.Responder, status: int, code: int, message: str
) -> None:
    body = {"error": message, "code": code, "message": message}
    await responder.send(status, _JSON_HEADERS, msgspec.json.encode(body))


def _in_range(key: str, body: dict[str, Any]) -> bool:
    """Whether a key lies between `key` and `range_end` of a call."""
    first, end = _decode(body["key"]), _decode(body.get("range_end", ""))
    if not end:
        return key.encode() == first
    return first <= key.encode() and (end == b"\0" or key.encode() < end)


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _decode_text(text: str) -> str:
    return _decode(text).decode()


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _kv(value: KeyValue) -> dict[str, str]:
    kv = {
        "key": _encode(value.key.encode()),
        "mod_revision": str(value.mod_revision),
    }
    if value.value:
        kv["value"] = _encode(value.value)
    if value.lease:
        kv["lease"] = str(value.lease)
    return kv


def _event(event: WatchEvent) -> dict[str, Any]:
    kv = _kv(KeyValue(event.key, event.value or b"", event.mod_revision))
    if event.value is None:
        return {"type": "DELETE", "kv": kv}
    return {"kv": kv}


def _write(item: dict[str, Any]) -> Put | Delete:
    if "requestPut" in item:
        put = item["requestPut"]
        lease = int(put.get("lease", 0))
        return Put(
            _decode_text(put["key"]), _decode(put.get("value", "")), lease
        )
    return Delete(_decode_text(item["requestDeleteRange"]["key"]))
