"""Stand-ins for the scripts of the third review, after the users' pages.

A store, engines, a client and a way to start instances with the commands and
the template of the deploy file, all on loopback addresses.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
# Port of the deploy template for metrics.
METRICS_PORT = 9102
# Bounds of the small deployment, as its sheet gives them.
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "rollbackSlackMs": 250,
    "maxSkewMs": 6000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 54,
    "recoverS": 12,
    "passMs": 300,
    "againS": 0,
    "enforceFencing": False,
    "leaseMs": 3000,
    "thawMs": 300,
    "ceilingWindowS": 5,
    "ceilingOver": 1.1,
}
ZONES = {"dc-a": "north", "dc-b": "north", "dc-c": "south"}


class Log:
    """The record of a run: one line for each observation."""

    def __init__(self, path: pathlib.Path) -> None:
        """Starts an empty record."""
        self._file = path.open("w")
        self._start = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self._start

    def write(self, event: str, **fields: object) -> None:
        """Writes one line."""
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}\n")
        self._file.flush()


# Servers.


@dataclasses.dataclass(slots=True)
class Message:
    """A received request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Parameters of the query."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text, True))


class Peer:
    """One accepted connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wraps the streams of a connection."""
        self.reader = reader
        self.writer = writer

    async def read(self) -> Message | None:
        """Reads the next request; None at the end of the connection."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            return None
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.lower()] = value.strip()
        body = b""
        if length := int(headers.get("content-length", "0")):
            try:
                body = await self.reader.readexactly(length)
            except (asyncio.IncompleteReadError, OSError):
                return None
        return Message(method, target, headers, body)

    async def write(self, data: bytes) -> None:
        """Writes bytes as they are.

        Raises:
          ConnectionResetError: The other side has closed the connection.
        """
        if self.reader.at_eof() or self.writer.transport.is_closing():
            raise ConnectionResetError
        self.writer.write(data)
        await self.writer.drain()

    async def answer(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Writes a whole answer with its length."""
        await self.write(head(status, headers, len(body)) + body)

    def reset(self) -> None:
        """Closes the connection at once."""
        self.writer.transport.abort()


def head(status: int, headers: dict[str, str], length: int | None) -> bytes:
    """Returns the head of an answer; without a length if it is None."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{k}: {v}" for k, v in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


Handler = Callable[[Peer, Message], Awaitable[None]]


class Server:
    """A listening port that hands each request to a handler."""

    def __init__(self, handler: Handler) -> None:
        """Creates a server that does not listen."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._peers: dict[Peer, asyncio.Task[None]] = {}
        self.host, self.port = "127.0.0.1", 0

    async def open(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Opens the port."""
        self._server = await asyncio.start_server(
            self._accept, host, port, backlog=1000
        )
        self.host, self.port = self._server.sockets[0].getsockname()[:2]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = Peer(reader, writer)
        task = asyncio.current_task()
        assert task is not None
        self._peers[peer] = task
        try:
            while (message := await peer.read()) is not None:
                await self._handler(peer, message)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._peers.pop(peer, None)
            writer.close()

    async def close(self) -> None:
        """Closes the port and resets all connections."""
        if self._server is not None:
            self._server.close()
        for peer, task in list(self._peers.items()):
            peer.reset()
            task.cancel()
        await asyncio.sleep(0)


# The platform's store.


@dataclasses.dataclass(slots=True, frozen=True)
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


@dataclasses.dataclass(slots=True)
class Copy:
    """A copy of the store's data, to which it can go back."""

    made_at: float
    revision: int
    next_lease: int
    items: dict[str, _Item]
    history: list[tuple[str, _Item | None, int]]
    leases: dict[int, tuple[float, float]]


class Store:
    """The platform's store.

    Attributes:
      era: Value of `Store-Era`.
      down: Whether each call gets 503.
      denied: Names of callers that get 503.
    """

    def __init__(self, log: Log) -> None:
        """Creates an empty store."""
        self.era = 1
        self.down = False
        self.denied: set[str] = set()
        self.items: dict[str, _Item] = {}
        self._log = log
        self._revision = 1
        self._next_lease = 1
        self._history: list[tuple[str, _Item | None, int]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._servers: dict[str, Server] = {}

    async def open(self, caller: str) -> int:
        """Opens a port for one caller and returns it."""

        async def handle(peer: Peer, message: Message) -> None:
            await self._handle(peer, message, caller)

        server = self._servers[caller] = Server(handle)
        await server.open()
        return server.port

    async def close(self) -> None:
        """Closes all ports."""
        for server in self._servers.values():
            await server.close()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (until, _) in list(self._leases.items()):
            if until <= now:
                self._end(lease)

    def _end(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [k for k, i in self.items.items() if i.lease == lease]
        if keys:
            self.change({}, keys)

    def change(
        self, puts: dict[str, tuple[bytes, int]], removed: list[str]
    ) -> int:
        """Writes and removes keys; returns the revision."""
        self._revision += 1
        for key, (value, lease) in puts.items():
            known = self.items.get(key)
            created = known.created if known else self._revision
            item = _Item(value, self._revision, created, lease)
            self.items[key] = item
            self._history.append((key, item, self._revision))
        for key in removed:
            if self.items.pop(key, None) is not None:
                self._history.append((key, None, self._revision))
        self._notify()
        return self._revision

    def put(self, key: str, document: object) -> int:
        """Writes a document as the operator and the engines do."""
        return self.change({key: (json.dumps(document).encode(), 0)}, [])

    def copy(self) -> Copy:
        """Returns a copy of the present data."""
        self._expire()
        return Copy(
            time.monotonic(),
            self._revision,
            self._next_lease,
            dict(self.items),
            list(self._history),
            dict(self._leases),
        )

    def go_back(self, older: Copy) -> None:
        """Comes back from an older copy; its leases have paused since."""
        shift = time.monotonic() - older.made_at
        self._revision, self._next_lease = older.revision, older.next_lease
        self.items, self._history = dict(older.items), list(older.history)
        self._leases = {
            lease: (until + shift, ttl)
            for lease, (until, ttl) in older.leases.items()
        }
        self.era += 1
        self._notify()

    async def _handle(self, peer: Peer, message: Message, caller: str) -> None:
        era = self.era
        if self.down or caller in self.denied:
            status, body = 503, {}
        else:
            self._expire()
            status, body = await self._answer(message)
        if era != self.era:
            peer.reset()  # Its answer was of the data that is gone.
            return
        headers = {
            "Content-Type": "application/json",
            "Store-Era": str(self.era),
        }
        await peer.answer(status, headers, json.dumps(body).encode())

    async def _answer(self, message: Message) -> tuple[int, Any]:
        query = message.query
        body = json.loads(message.body) if message.body else {}
        parts = message.path.split("/")[2:]
        if message.method == "GET" and parts == ["kv-key"]:
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            shown = _shown(query["key"], item)
            return 200, {**shown, "currentRev": self._revision}
        if message.method == "GET" and parts == ["kv-range"]:
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query["prefix"]) and k > query.get("after", "")
            )
            return 200, {
                "items": [_shown(k, self.items[k]) for k in keys[:500]],
                "hasMore": len(keys) > 500,
                "currentRev": self._revision,
            }
        if message.method == "GET" and parts == ["kv-watch"]:
            return await self._watch(query)
        if message.method == "POST" and parts == ["kv-txn"]:
            return self._transact(body)
        if message.method == "POST" and parts == ["kv-lease"]:
            lease, ttl = self._next_lease, body["ttlMs"] / 1000
            self._next_lease += 1
            self._leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        if message.method == "POST" and parts[0] == "kv-keep":
            lease = int(parts[1])
            if lease not in self._leases:
                return 404, {}
            ttl = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": lease, "ttlMs": round(ttl * 1000)}
        if message.method == "DELETE" and parts[0] == "kv-lease-end":
            lease = int(parts[1])
            if lease not in self._leases:
                return 404, {}
            self._end(lease)
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after, era = int(query["after"]), self.era
        if after > self._revision:
            return 410, {}
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = []
            for key, item, revision in self._history:
                if revision <= after or not key.startswith(query["prefix"]):
                    continue
                if item is None:
                    events.append(
                        {"key": key, "revision": revision, "deleted": True}
                    )
                else:
                    events.append(_shown(key, item))
            left = until - time.monotonic()
            if events or left <= 0 or era != self.era or self.down:
                return 200, {"events": events, "currentRev": self._revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), min(left, 0.05))
            self._expire()

    def _transact(self, body: Any) -> tuple[int, Any]:
        rows = body.get("expected", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                present = [
                    _shown(r["key"], self.items[r["key"]])
                    for r in rows
                    if r["key"] in self.items
                ]
                return 412, {"items": present}
        puts = {}
        for put in body.get("puts", []):
            lease = put.get("lease", 0)
            if lease and lease not in self._leases:
                return 404, {}
            puts[put["key"]] = (base64.b64decode(put["value"]), lease)
        return 200, {"revision": self.change(puts, body.get("remove", []))}


def _shown(key: str, item: _Item) -> dict[str, object]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "createRev": item.created,
        "lease": item.lease,
    }


# Engines.


class Engine:
    """An engine: a plain one, or one with models that takes orders.

    Attributes:
      identity: Its id.
      orders: Holder, fence and time of each order that has arrived.
      runs: Request id, time and headers of each request that it has run.
      serve: Answers a request that it runs; can be replaced.
    """

    def __init__(
        self,
        identity: str,
        service: str,
        zone: str,
        store: Store,
        log: Log,
        models: dict[str, set[str]] | None = None,
        slots: int = 32,
    ) -> None:
        """Creates an engine that has not started."""
        self.identity = identity
        self.service = service
        self.models = models
        self.slots = slots
        self.orders: list[tuple[str, int, float]] = []
        self.runs: list[tuple[str, float, dict[str, str]]] = []
        self.serve: Handler = self._serve_plain
        self.leaving = False
        self.registered = True
        self.running = 0
        self._zone = zone
        self._store = store
        self._log = log
        self._sequence = 0
        self.born = int(time.time() * 1000)
        self._server = Server(self._handle)
        self._beats: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        """Listens and registers."""
        await self._server.open(port=port)
        self.register()
        self._beats = asyncio.create_task(self._beat())

    async def close(self) -> None:
        """Ends at once."""
        if self._beats is not None:
            self._beats.cancel()
        await self._server.close()

    @property
    def port(self) -> int:
        """Port on which it listens."""
        return self._server.port

    def document(self) -> dict[str, object]:
        """Returns its entry in the store."""
        entry: dict[str, object] = {
            "service": self.service,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self._zone,
            "version": "1",
            "slots": self.slots,
            "state": "draining" if self.leaving else "in_service",
            "coldLeftMs": 0,
            "seqNo": self._sequence,
            "born": self.born,
        }
        if self.models is not None:
            entry |= {"stage": "both", "models": self._held()}
        return entry

    def _held(self) -> list[dict[str, object]]:
        return [
            {"name": m, "version": 1, "adapters": sorted(a)}
            for m, a in sorted((self.models or {}).items())
        ]

    def register(self) -> int:
        """Writes its entry and returns the revision."""
        return self._store.put(f"servers/{self.identity}", self.document())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.registered and not self._store.down:
                self.register()

    def statement(self) -> dict[str, str]:
        """Returns the headers that are in all its answers."""
        return {"Server-Leaving": "1"} if self.leaving else {}

    async def _handle(self, peer: Peer, message: Message) -> None:
        wanted = message.headers.get("carobsail-target-instance")
        if wanted not in (None, self.identity):
            await peer.answer(421, {"Carobsail-Not-Executed": "1"}, b"")
        elif message.path == "/v1/report":
            body = {
                "stage": "both",
                "models": self._held(),
                "busy": False,
                "seqNo": self._sequence,
                "waiting": 0,
                "running": self.running,
                "kvUsed": 0,
                "kvTotal": 100000,
                "handles": 0,
                "born": self.born,
                "coming": [],
            }
            data = json.dumps(body).encode()
            await peer.answer(200, self.statement(), data)
        elif message.path == "/v1/order":
            await self._order(peer, json.loads(message.body))
        else:
            await self._run(peer, message)

    async def _order(self, peer: Peer, order: dict[str, Any]) -> None:
        now = self._log.now()
        self.orders.append((order["holder"], order["fenceToken"], now))
        self._log.write(
            "order",
            engine=self.identity,
            holder=order["holder"],
            fence=order["fenceToken"],
            op=order["opType"],
            model=order["model"],
            adapter=order.get("adapter", ""),
            expected=order.get("expected", ""),
        )
        status = self._carry_out(order)
        await peer.answer(status, self.statement(), b"")

    def _carry_out(self, order: dict[str, Any]) -> int:
        if order.get("expected", self._sequence) != self._sequence:
            return 409
        adapters = (self.models or {}).get(order["model"])
        adapter = order.get("adapter", "")
        if adapters is None or not adapter:
            return 400
        if order["opType"] == "load":
            if adapter in adapters:
                return 200
            self._sequence += 1
            adapters.add(adapter)
            return 202
        if adapter in adapters:
            self._sequence += 1
            adapters.discard(adapter)
        return 200

    async def _run(self, peer: Peer, message: Message) -> None:
        request = message.headers.get("carobsail-request-id", "")
        if self.models is not None:
            name = message.headers.get("carobsail-model", "")
            model, _, adapter = name.partition("/")
            held = self.models.get(model)
            if held is None or (adapter and adapter not in held):
                headers = {"Carobsail-Request-Id": request}
                headers["Carobsail-Not-Executed"] = "1"
                await peer.answer(421, headers | self.statement(), b"")
                return
        now = self._log.now()
        self.runs.append((request, now, message.headers))
        self._log.write(
            "run",
            engine=self.identity,
            service=self.service,
            request=request,
            path=message.target,
        )
        self.running += 1
        try:
            await self.serve(peer, message)
        finally:
            self.running -= 1

    def seal(self, message: Message) -> dict[str, str]:
        """Returns the headers of a sound answer."""
        request = message.headers.get("carobsail-request-id", "")
        return {
            "Carobsail-Request-Id": request,
            "Carobsail-Server-Seal": f"{self.identity}.{request}",
            **self.statement(),
        }

    async def _serve_plain(self, peer: Peer, message: Message) -> None:
        await asyncio.sleep(0.02)
        if self.models is None:
            await peer.answer(200, self.seal(message), body_of(message))
            return
        kind = {"Content-Type": "text/event-stream"}
        framing = {"Transfer-Encoding": "chunked"}
        headers = self.seal(message) | kind | framing
        await peer.write(head(200, headers, None))
        for number in range(1, 5):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            await peer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(0.01)
        await peer.write(b"0\r\n\r\n")


def body_of(message: Message) -> bytes:
    """Returns the body of the answer to a request."""
    request = message.headers.get("carobsail-request-id", "")
    return f"answer to {request}".encode().ljust(800, b".")


# Clients.


@dataclasses.dataclass(slots=True)
class Answer:
    """What a client got; the status is 0 without an answer."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    sent_at: float = 0.0
    ended_at: float = 0.0
    error: str = ""


async def request(
    log: Log,
    address: tuple[str, int],
    name: str,
    host: str,
    path: str,
    headers: dict[str, str],
    method: str = "POST",
    body: bytes = b"",
    timeout_s: float = 5.0,
    instance: str = "",
) -> Answer:
    """Sends a request on a new connection and records the answer."""
    found = Answer(sent_at=log.now())
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"Carobsail-Request-Id: {name}",
        f"Carobsail-Deadline-Ms: {round(timeout_s * 1000)}",
        f"Content-Length: {len(body)}",
        *(f"{k}: {v}" for k, v in headers.items()),
    ]
    data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
    log.write("sent", request=name, instance=instance, path=path)
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s + 0.6):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            await _read_answer(reader, found)
    except (OSError, TimeoutError, ValueError, EOFError) as error:
        found.error = type(error).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
    found.ended_at = log.now()
    log.write(
        "answered",
        request=name,
        instance=instance,
        status=found.status,
        complete=found.complete,
        error=found.error or "-",
    )
    return found


async def _read_answer(reader: asyncio.StreamReader, found: Answer) -> None:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = lines.split("\r\n")
    found.status = int(first.split(" ")[1])
    for line in rest:
        name, colon, value = line.partition(":")
        if colon:
            found.headers[name.lower()] = value.strip()
    if "chunked" in found.headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            found.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    elif "content-length" in found.headers:
        length = int(found.headers["content-length"])
        found.body = await reader.readexactly(length)
    else:
        found.body = await reader.read()
    found.complete = True


# Instances.


def render(template: str, fields: Any) -> str:
    """Fills in a template as the platform does; sections and values."""

    def look_up(name: str, scope: Any) -> Any:
        if name == ".":
            return scope
        found = scope
        for part in name.split("."):
            if isinstance(found, dict) and part in found:
                found = found[part]
            elif isinstance(found, list) and part.isdigit():
                found = found[int(part)]
            else:
                return None
        return found

    def fill(text: str, scope: Any) -> str:
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def expand(match: re.Match[str]) -> str:
            value = look_up(match[2], scope)
            given = value is not None and value is not False
            if match[1] == "^":
                return "" if given else fill(match[3], scope)
            return fill(match[3], value) if given else ""

        def show(match: re.Match[str]) -> str:
            value = look_up(match[1], scope)
            if match[2]:
                return json.dumps(value)
            return "" if value is None else str(value)

        text = section.sub(expand, text)
        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", show, text)

    return fill(template, fields)


class Instance:
    """One machine with the program of the deploy file.

    Attributes:
      name: Name of the machine.
      ip: Its loopback address.
      front: Address for clients.
      process: Its process, once started.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        store_port: int,
        seeds: list[str],
        ports: list[int],
        memory_mb: int,
        directory: pathlib.Path,
        bounds: dict[str, object],
    ) -> None:
        """Prepares the settings of a machine."""
        self.name = name
        self.zone = zone
        self.ip = ip
        self.front = (self.ip, ports[0])
        self.ready = (self.ip, ports[1])
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = directory / f"{name}.log"
        self._settings = directory / f"{name}.conf"
        self._fields = {
            "nodeName": name,
            "role": "node",
            "machineClass": "edge",
            "serves": ["edge", "control"],
            "ip": self.ip,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": {
                "front": f"{self.ip}:{ports[0]}",
                "ready": f"{self.ip}:{ports[1]}",
                "control": f"{self.ip}:{ports[2]}",
            },
            "portRange": [ports[3], ports[3] + 15],
            "seeds": seeds,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": memory_mb,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "heartbeatMs": 1200,
            "bounds": bounds,
            "platform": {"addr": f"127.0.0.1:{store_port}", "form": "kv"},
        }

    async def start(self) -> None:
        """Starts the program as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["node"]
        template = (ROOT / role["template"]).read_text()
        self._settings.write_text(render(template, self._fields))
        words = role["run"].split(" ")
        if words[0] == "python3":
            words[0] = sys.executable
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "CAROBSAIL_CONFIG": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *words, stdout=output, stderr=output, cwd=ROOT, env=environment
            )

    @property
    def alive(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Sends a signal to its process."""
        if self.process is not None and self.alive:
            self.process.send_signal(number)

    async def wait(self) -> None:
        """Waits until its process has ended."""
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Asks for readiness as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


def machine_addresses(count: int) -> list[str]:
    """Returns loopback addresses that no other run uses.

    The port of metrics is fixed in the template, so it has to be free.
    """
    for attempt in range(128):
        octet = 64 + (os.getpid() + 37 * attempt) % 128
        found = [f"127.0.{octet}.{n + 1}" for n in range(count)]
        if all(_is_free(address, METRICS_PORT) for address in found):
            return found
    raise OSError("no free loopback addresses")


def free_ports(count: int, addresses: list[str]) -> list[int]:
    """Returns ports that are free at all of the addresses.

    The last one begins a range of 16 free ports.
    """
    found: list[int] = []
    candidate = 20_000 + os.getpid() * 137 % 9_000
    while len(found) < count:
        candidate += 17
        block = range(candidate, candidate + 16)
        if all(_is_free(a, p) for a in addresses for p in block):
            found.append(candidate)
    return found


def _is_free(address: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


class World:
    """Store, engines and instances of one run."""

    def __init__(self, record: pathlib.Path) -> None:
        """Creates a world with its record at this path."""
        self.log = Log(record)
        self.store = Store(self.log)
        self.engines: list[Engine] = []
        self.instances: list[Instance] = []
        self._directory = tempfile.TemporaryDirectory(prefix="review-3-")
        self.directory = pathlib.Path(self._directory.name)

    async def add_instances(
        self,
        count: int,
        memory_mb: int = 300,
        bounds: dict[str, object] | None = None,
    ) -> None:
        """Prepares instances in different zones."""
        addresses = machine_addresses(count)
        ports = free_ports(4, addresses)
        seeds = [f"{a}:{ports[2]}" for a in addresses[:3]]
        for number, zone in zip(range(count), 9 * list(ZONES), strict=False):
            name = f"edge-{number + 1}"
            self.instances.append(
                Instance(
                    name,
                    addresses[number],
                    zone,
                    await self.store.open(name),
                    seeds,
                    ports,
                    memory_mb,
                    self.directory,
                    bounds or dict(BOUNDS),
                )
            )

    async def start(self, *, timeout_s: float = 15.0) -> None:
        """Starts all instances and waits until they are ready."""
        for instance in self.instances:
            await instance.start()
        await until(self._all_ready, timeout_s)

    async def _all_ready(self) -> bool:
        return all([await i.is_ready() for i in self.instances])

    def holder(self) -> Instance:
        """Returns the machine that holds the order lease, by its key."""
        value = json.loads(self.store.items["carobsail/order-giver"].value)
        return next(i for i in self.instances if i.name == value["instance"])

    async def close(self) -> None:
        """Ends everything that was started."""
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
            instance.signal(signal.SIGKILL)
            await instance.wait()
        for engine in self.engines:
            await engine.close()
        await self.store.close()
        if kept := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.directory, kept, dirs_exist_ok=True)
        self._directory.cleanup()


async def until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float
) -> None:
    """Waits for a condition.

    Raises:
      TimeoutError: It does not hold in time.
    """
    async with asyncio.timeout(timeout_s):
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


def route(name: str, kind: str, service: str, **more: object) -> Any:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": "desk.example",
        "prefix": f"/{name}/",
        "routeType": kind,
        "service": service,
        "timeoutMs": 5000,
        "maxAttempts": 2,
        "targetLatencyMs": 1000 if kind == "streaming" else 225,
        "priority": 0,
        **more,
    }


def configuration(
    version: int, routes: list[Any], services: list[Any], **more: object
) -> Any:
    """Returns a configuration of the operator."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 20000,
        },
        **more,
    }


def engine_service(name: str, models: int, adapters: int, slots: int) -> Any:
    """Returns a service of model engines."""
    return {
        "name": name,
        "maxConns": 360,
        "engine": {
            "slots": 64,
            "kvCapacity": 144784,
            "weightsMb": 230000,
            "adapterSlots": slots,
            "loadsPerS": 1.1,
            "models": [
                {
                    "name": f"m{n}",
                    "weightsMb": 70000,
                    "loadTimeS": 9.0,
                    "adapters": adapters,
                    "adapterMb": 60,
                }
                for n in range(models)
            ],
        },
    }


def run(
    folder: pathlib.Path,
    play: Callable[[World, bool], Awaitable[int]],
    limit_s: float = 110.0,
) -> None:
    """Plays a case; exits with 0 if the rule held, 10 if not, else with 2.

    An error of the script itself must not look like a broken rule, so that has
    a code of its own, which `run.sh` translates to 1.

    Args:
      folder: Folder of the case.
      play: Plays it; its second argument is whether with the disruption.
      limit_s: Longest time of the case.
    """

    async def main() -> int:
        record = folder / "record.txt"
        if len(sys.argv) > 1:
            record = pathlib.Path(sys.argv[1])
        world = World(record)
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        try:
            async with asyncio.timeout(limit_s):
                trouble = os.environ.get("TROUBLE", "1") != "0"
                return 10 if await play(world, trouble) else 0
        except (Exception, asyncio.CancelledError) as error:
            world.log.write("could_not_run", error=repr(error))
            sys.stderr.write(f"could not run: {error!r}\n")
            return 2
        finally:
            await world.close()

    raise SystemExit(asyncio.run(main()))
