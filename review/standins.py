"""Stand-ins of the platform for the scripts of the review.

They follow the users' pages: the store, engines and plain servers that register
in it, callers, and the program's own instances as separate processes. Only the
standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import dataclasses
import gc
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "desk.example"
HEARTBEAT_S = 1.2
# An entry is removed after three heartbeats of silence.
LAPSE_S = 3 * HEARTBEAT_S
CONTACT_S = 4.0
DRAIN_S = 2.5
# Callers reuse connections for up to four fifths of the idle limit of 20 s.
MAX_IDLE_S = 15.0
# Another one in each run, so that no other run takes a server's port.
SERVERS_ADDRESS = f"127.78.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"

_serial = itertools.count(1)
# Ports of servers; they lie below those of outgoing connections.
_used: set[int] = set()


def trouble() -> bool:
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def now() -> float:
    """Returns the time of the steady clock in seconds."""
    return time.monotonic()


class Journal:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Opens the file anew."""
        self._file = (folder / "record.txt").open("w")
        self.started = now()

    def write(self, event: str, **fields: object) -> None:
        """Writes one line with the time since the start."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{now() - self.started:8.3f} {event} {text}\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


@dataclasses.dataclass
class Message:
    """A request or an answer; names of headers in lower case."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def path(self) -> str:
        """Path of a request, with the query."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a first line with headers; None at the end of the input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = [line.split(":", 1) for line in lines[1:] if line]
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    return Message(lines[0], headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Reads a request with its body, which has a length."""
    message = await read_head(reader)
    if message is not None:
        length = int(message.headers.get("content-length", 0))
        message.body = await reader.readexactly(length)
    return message


def answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Store:
    """The platform's store.

    Attributes:
      silent: Whether calls get no answer.
    """

    def __init__(self) -> None:
        """Creates an empty store."""
        self.silent = False
        self.port = 0
        self._revision = 10
        self._items: dict[str, dict[str, object]] = {}
        self._history: list[dict[str, object]] = []
        # Lifetime and end of each lease.
        self._leases: dict[int, list[float]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Opens a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Closes the port."""
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes an item."""
        self._apply([(key, value, lease)], [])

    def remove(self, key: str) -> None:
        """Removes an item."""
        self._apply([], [key])

    def _apply(
        self, puts: list[tuple[str, bytes, int]], removals: list[str]
    ) -> None:
        self._revision += 1
        for key, value, lease in puts:
            known = self._items.get(key)
            item: dict[str, object] = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self._revision,
                "createRev": known["createRev"] if known else self._revision,
                "lease": lease,
            }
            self._items[key] = item
            self._history.append(item)
        for key in removals:
            if self._items.pop(key, None) is not None:
                self._history.append(
                    {"key": key, "revision": self._revision, "deleted": True}
                )
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        for lease, (_, end) in list(self._leases.items()):
            if end <= now():
                self._end(lease)

    def _end(self, lease: int) -> None:
        del self._leases[lease]
        keys = [k for k, i in self._items.items() if i["lease"] == lease]
        if keys:
            self._apply([], keys)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await read_request(reader):
                if not self.silent:
                    status, body = await self._call(request)
                if self.silent:
                    await reader.read()
                    break
                kind = {"Content-Type": "application/json"}
                writer.write(answer(status, kind, json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass  # The caller has gone.
        finally:
            writer.close()

    async def _call(self, request: Message) -> tuple[int, dict[str, object]]:
        self._expire()
        path, _, query_text = request.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, True))
        body = json.loads(request.body) if request.body else {}
        name = path.split("/")[2]
        if name == "kv-range":
            items = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(query["prefix"])
                and key > query.get("after", "")
            ]
            return 200, {
                "items": items[:500],
                "hasMore": len(items) > 500,
                "currentRev": self._revision,
            }
        if name == "kv-watch":
            return 200, await self._watch(query)
        if name == "kv-txn":
            return self._transact(body)
        if name == "kv-lease":
            lease = 1000 + next(_serial)
            ttl_s = body["ttlMs"] / 1000.0
            self._leases[lease] = [ttl_s, now() + ttl_s]
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        lease = int(path.split("/")[3])
        if lease not in self._leases:
            return 404, {}
        if name == "kv-lease-end":
            self._end(lease)
            return 200, {}
        self._leases[lease][1] = now() + self._leases[lease][0]
        return 200, {"ttlMs": self._leases[lease][0] * 1000.0}

    async def _watch(self, query: dict[str, str]) -> dict[str, object]:
        after, end = int(query["after"]), now() + int(query["waitMs"]) / 1e3
        while True:
            self._expire()
            events = [
                e
                for e in self._history
                if int(str(e["revision"])) > after
                and str(e["key"]).startswith(query["prefix"])
            ]
            left_s = end - now()
            if events or left_s <= 0.0 or self.silent:
                return {"events": events, "currentRev": self._revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, 0.1)):
                    await changed.wait()

    def _transact(self, body: dict) -> tuple[int, dict[str, object]]:
        for row in body["expected"]:
            known = self._items.get(row["key"])
            if (known["revision"] if known else 0) != row["revision"]:
                keys = [r["key"] for r in body["expected"]]
                items = [self._items[k] for k in keys if k in self._items]
                return 412, {"items": items}
        puts = [
            (p["key"], base64.b64decode(p["value"]), p.get("lease", 0))
            for p in body["puts"]
        ]
        if any(lease and lease not in self._leases for _, _, lease in puts):
            return 404, {}
        self._apply(puts, body["remove"])
        return 200, {"revision": self._revision}


class Server:
    """A server of a plain service, which registers in the store.

    Attributes:
      identity: New at each start.
      runs: Time, identity and request of each request that began to run.
      arrivals: The same for each request that arrived.
      leaving: Whether it says in its answers that it leaves.
    """

    slots = 6

    def __init__(
        self, name: str, service: str, zone: str, store: Store, log: Journal
    ) -> None:
        """Creates a server that is not started."""
        self.name = name
        self.service = service
        self.zone = zone
        self.identity = ""
        self.leaving = False
        self.running = 0
        self.runs: list[tuple[float, str, Message]] = []
        self.arrivals: list[tuple[float, str, Message]] = []
        self._store = store
        self._log = log
        self._port = 0
        self._born = 0
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def alive(self) -> bool:
        """Whether it runs."""
        return self._server is not None

    def entry(self) -> dict[str, object]:
        """Returns what it says of itself in the store."""
        return {
            "service": self.service,
            "addr": f"{SERVERS_ADDRESS}:{self._port}",
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": "in_service",
            "coldLeftMs": 0,
            "seqNo": next(_serial),
            "born": self._born,
        }

    async def start(self) -> None:
        """Starts under a new identity, at the address that it had."""
        self.identity = f"i-{self.name}-{next(_serial)}"
        self._born = time.time_ns() // 1_000_000
        self.running = 0
        if not self._port:
            kind = socket.SOCK_STREAM
            self._port = _free_port([SERVERS_ADDRESS], kind, _used)
        self._server = await asyncio.start_server(
            self._serve, SERVERS_ADDRESS, self._port, reuse_address=True
        )
        self._heartbeats = asyncio.create_task(self._send_heartbeats())
        self._log.write("server_starts", server=self.identity)

    async def _send_heartbeats(self) -> None:
        while True:
            self._store.put(
                f"servers/{self.identity}", json.dumps(self.entry()).encode()
            )
            await asyncio.sleep(HEARTBEAT_S)

    def stop_heartbeats(self) -> None:
        """Sends no more heartbeats."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()

    def remove_entry(self) -> None:
        """Removes its entry from the store."""
        self._store.remove(f"servers/{self.identity}")

    def end(self) -> None:
        """Ends at once: the port and all connections are closed."""
        server, self._server = self._server, None
        if server is None:
            return
        self._log.write(
            "server_ends", server=self.identity, running=self.running
        )
        self.stop_heartbeats()
        server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def crash(self, down_s: float) -> None:
        """Ends at once and starts again; its old entry lapses."""
        identity = self.identity
        if not self.alive:
            return
        self.end()
        asyncio.get_running_loop().call_later(
            LAPSE_S, self._store.remove, f"servers/{identity}"
        )
        await asyncio.sleep(down_s)
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while request := await read_request(reader):
                    if not await self._handle(request, writer):
                        break
        except asyncio.CancelledError:
            pass  # The server has ended.
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers a request; returns whether another one may follow."""
        asked = request.headers.get("carobsail-target-instance")
        if asked not in (None, self.identity):
            headers = {"Carobsail-Instance-Id": self.identity}
            writer.write(answer(421, headers, b""))
            return True
        if request.path.startswith("/v1/"):
            writer.write(self.control(request))
            return self.keeps_control_connection()
        if request.path == "/health":
            headers = {"Carobsail-Instance-Id": self.identity}
            writer.write(answer(200, headers, b""))
            return True
        identity = request.headers.get("carobsail-request-id", "")
        self.arrivals.append((now(), self.identity, request))
        if self.running >= self.slots or not self.can_serve(request):
            headers = {"Carobsail-Not-Executed": "1"}
            status = 503 if self.can_serve(request) else 421
            writer.write(answer(status, headers, b""))
            return True
        self._log.write("runs", request=identity, server=self.identity)
        self.runs.append((now(), self.identity, request))
        self.running += 1
        try:
            more = await self.run(request, writer)
            await writer.drain()
        finally:
            self.running -= 1
        self._log.write("run_ends", request=identity, server=self.identity)
        return more

    def control(self, request: Message) -> bytes:
        """Answers a call that is not a client's request."""
        return answer(404, {}, b"")

    def keeps_control_connection(self) -> bool:
        """Whether a connection is kept after a call of the system's own."""
        return True

    def can_serve(self, request: Message) -> bool:
        """Whether it holds what a request needs."""
        return True

    def headers(self, request: Message) -> dict[str, str]:
        """Returns the headers of the answer to a request."""
        identity = request.headers.get("carobsail-request-id", "")
        headers = {
            "Carobsail-Request-Id": identity,
            "Carobsail-Server-Seal": f"seal.{self.identity}.{identity}",
            "Carobsail-Server-Load": f"{self.running},0,{self.slots}",
        }
        if self.leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Runs a request and answers it."""
        await asyncio.sleep(random.uniform(0.01, 0.04))
        identity = request.headers.get("carobsail-request-id", "")
        body = f"done {identity} ".encode() * 20
        writer.write(answer(200, self.headers(request), body))
        return True


class Engine(Server):
    """A model engine that holds one model from its start.

    Attributes:
      head_first: Whether the head of an answer is written before the first
        event; otherwise both are written together.
    """

    slots = 64
    model = "m0"
    events = 11
    event_s = 0.02
    head_first = False

    def entry(self) -> dict[str, object]:
        """See base class."""
        return super().entry() | {
            "stage": "both",
            "models": [{"name": self.model, "version": 1, "adapters": []}],
        }

    def control(self, request: Message) -> bytes:
        """Answers reports; takes no orders, since it holds all that exists."""
        if request.path != "/v1/report":
            return answer(409, {}, b"")
        report = {
            "stage": "both",
            "models": [{"name": self.model, "version": 1, "adapters": []}],
            "busy": False,
            "seqNo": 0,
            "waiting": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 121436,
            "handles": 0,
            "born": self._born,
        }
        kind = {"Content-Type": "application/json"}
        return answer(200, kind, json.dumps(report).encode())

    async def before_event(self, request: Message, number: int) -> None:
        """Called when an event is due; the first one has number 1."""

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """See base class; the answer is a stream of events."""
        await asyncio.sleep(random.uniform(0.05, 0.1))
        headers = self.headers(request) | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = [f"{name}: {value}" for name, value in headers.items()]
        data = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()
        if self.head_first:
            writer.write(data)
            data = b""
            await asyncio.sleep(0.005)
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            await self.before_event(request, number)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(data + b"%x\r\n%b\r\n" % (len(event), event))
            data = b""
            await asyncio.sleep(self.event_s)
        writer.write(data + b"0\r\n\r\n")
        return True


def configuration(routes: list[dict], services: list[dict]) -> bytes:
    """Returns a configuration as the operator writes it."""
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 5000,
        "idleTimeoutMs": 20000,
    }
    return json.dumps(
        {
            "version": 3,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
    ).encode()


def route(name: str, kind: str, service: str, timeout_ms: int, **more) -> dict:
    """Returns a route below `/NAME/`."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "routeType": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 225,
        "maxAttempts": 2,
        "priority": 1,
    } | more


ENGINE_SERVICE = {
    "name": "llm",
    "maxConns": 360,
    "engine": {
        "slots": 64,
        "kvCapacity": 121436,
        "weightsMb": 220000,
        "adapterSlots": 5,
        "loadsPerS": 1.1,
        "models": [
            {
                "name": "m0",
                "weightsMb": 65100,
                "loadTimeS": 7.8,
                "adapters": 0,
                "adapterMb": 12,
            }
        ],
    },
}


def stream_route(name: str, **more) -> dict:
    """Returns a route of streams from engines."""
    fields = {"gapAimMs": 400, "targetLatencyMs": 1000, "sticky": True}
    return route(name, "streaming", "llm", 5000, **(fields | more))


def prompt_headers(middle: str, own: str) -> dict[str, str]:
    """Returns the headers of a request to a model engine.

    Args:
      middle: Second part of the prompt; the first one is always the same.
      own: Last part of the prompt.
    """
    parts = f"aa11aa11:341,{middle}:227,{own}:1232"
    return {
        "Carobsail-Model": "m0",
        "Carobsail-Token-Count": "1800,22",
        "Carobsail-Prompt-Prefix": parts,
    }


def _free_port(addresses: list[str], kind: int, used: set[int]) -> int:
    """Returns a port that is free at all addresses."""
    while True:
        port = random.randint(20_000, 30_000)
        if port in used:
            continue
        try:
            for address in addresses:
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        used.add(port)
        return port


def _fill(template: str, fields: dict) -> str:
    """Fills in the settings' template as the platform does."""

    def value(match: re.Match[str]) -> str:
        found: object = fields
        for name in match[1].split("."):
            found = found[int(name) if isinstance(found, list) else name]
        return json.dumps(found) if match[2] else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class Fleet:
    """The program's instances, one process each.

    Attributes:
      fronts: Address and port for callers of each instance.
    """

    def __init__(self, count: int, store: Store, log: Journal) -> None:
        """Prepares the settings of the instances."""
        net = f"127.{100 + os.getpid() // 250 % 100}.{os.getpid() % 250 + 1}"
        self.addresses = [f"{net}.{n + 1}" for n in range(count)]
        used: set[int] = set()
        tcp = [
            _free_port(self.addresses, socket.SOCK_STREAM, used)
            for _ in range(3)
        ]
        udp = _free_port(self.addresses, socket.SOCK_DGRAM, used)
        self.fronts = [(address, tcp[0]) for address in self.addresses]
        self._ready_port = tcp[1]
        self._store = store
        self._log = log
        self._folder = tempfile.TemporaryDirectory()
        self.processes: list[asyncio.subprocess.Process] = []
        zones = ["zone-a", "zone-b", "zone-c"]
        self._fields = [
            {
                "nodeName": f"edge-{n + 1}",
                "ip": address,
                "zone": zones[n % 3],
                "zones": {"zone-a": "r1", "zone-b": "r1", "zone-c": "r2"},
                "listen": {
                    "front": f"{address}:{tcp[0]}",
                    "ready": f"{address}:{tcp[1]}",
                    "control": f"{address}:{tcp[2]}",
                },
                "portRange": [udp, udp + 15],
                "seeds": [f"{a}:{tcp[2]}" for a in self.addresses[:3]],
                "platform": {"addr": f"127.0.0.1:{store.port}"},
                "limits": {"linkMbps": 1000.0},
                "bounds": {
                    "graceS": 8,
                    "leaseMs": 3000,
                    "budgetRatio": 0.2,
                    "budgetSlack": 52,
                    "budgetWindowS": 10,
                    "ceilingWindowS": 5,
                },
            }
            for n, address in enumerate(self.addresses)
        ]

    async def start(self) -> None:
        """Starts the processes with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["node"]
        template = (ROOT / role["template"]).read_text()
        for number, fields in enumerate(self._fields):
            path = pathlib.Path(self._folder.name) / f"{number}.json"
            path.write_text(_fill(template, fields))
            output = (path.parent / f"{number}.log").open("wb")
            environment = {
                "PATH": os.environ["PATH"],
                "HOME": self._folder.name,
                "PYTHONPATH": str(ROOT / "target/deps"),
                "CAROBSAIL_CONFIG": str(path),
            }
            process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
            output.close()
            self.processes.append(process)
        end = now() + 15.0
        for address in self.addresses:
            while not await self._is_ready(address):
                if now() > end:
                    raise RuntimeError(f"{address} is not ready")
                await asyncio.sleep(0.1)
        self._log.write("instances_ready", count=len(self.addresses))

    async def _is_ready(self, address: str) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                address, self._ready_port
            )
        except OSError:
            return False
        writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await read_head(reader)
        writer.close()
        return head is not None and head.status == 200

    def log_lines(self, pattern: str) -> int:
        """Returns how many lines of the instances' logs match."""
        logs = pathlib.Path(self._folder.name).glob("*.log")
        return sum(len(re.findall(pattern, p.read_text())) for p in logs)

    async def stop(self) -> None:
        """Ends all processes."""
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            await process.wait()
        # The transports of ended processes close before the event loop does.
        await asyncio.sleep(0.1)
        self._folder.cleanup()


@dataclasses.dataclass
class Sent:
    """A request as its caller saw it.

    Attributes:
      status: Status of the answer; 0 without one.
      whole: Whether the answer came to its end.
      events: Events of a stream that came.
      ended: When the answer ended.
      headers: Headers of the answer.
    """

    identity: str
    instance: str
    at: float
    status: int = 0
    whole: bool = False
    events: int = 0
    ended: float = 0.0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class Caller:
    """Sends requests over kept connections and records the answers."""

    def __init__(self, log: Journal) -> None:
        """Creates a caller without connections."""
        self.sent: list[Sent] = []
        self._log = log
        self._idle: dict[tuple[str, int], list] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def send(
        self,
        front: tuple[str, int],
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Sent:
        """Sends a request in the background."""
        sent = Sent(f"{random.getrandbits(64):016x}", front[0], now())
        self.sent.append(sent)
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Carobsail-Request-Id: {sent.identity}",
            f"Carobsail-Deadline-Ms: {round(timeout_s * 1000)}",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        data = "\r\n".join([*lines, "", ""]).encode() + body
        self._log.write("sent", request=sent.identity, to=front[0], path=path)
        task = asyncio.create_task(self._exchange(sent, front, data, timeout_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return sent

    async def finish(self) -> None:
        """Waits for the answers that are due and closes the connections."""
        if self._tasks:
            await asyncio.wait(self._tasks)
        for idle in self._idle.values():
            for _, writer, _ in idle:
                writer.close()

    async def _exchange(
        self, sent: Sent, front: tuple[str, int], data: bytes, timeout_s: float
    ) -> None:
        writer = None
        try:
            async with asyncio.timeout(timeout_s + 0.6):
                idle = self._idle.setdefault(front, [])
                while idle and idle[0][2] < now() - MAX_IDLE_S:
                    idle.pop(0)[1].close()
                reader, writer = (
                    idle.pop()[:2]
                    if idle
                    else await asyncio.open_connection(*front)
                )
                writer.write(data)
                if await self._read(sent, reader):
                    idle.append((reader, writer, now()))
                    writer = None
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        sent.ended = now()
        self._log.write(
            "answered",
            request=sent.identity,
            status=sent.status,
            whole=sent.whole,
            events=sent.events,
        )

    async def _read(self, sent: Sent, reader: asyncio.StreamReader) -> bool:
        """Reads an answer; returns whether the connection may be kept."""
        head = await read_head(reader)
        if head is None:
            return False
        sent.status, sent.headers = head.status, head.headers
        if "content-length" in head.headers:
            await reader.readexactly(int(head.headers["content-length"]))
        elif "chunked" in head.headers.get("transfer-encoding", ""):
            while (line := await reader.readline()) != b"0\r\n":
                if not line:
                    return False
                size = int(line, 16)
                chunk = await reader.readexactly(size + 2)
                sent.events += chunk.count(b"\n\n")
            await reader.readline()
        else:
            return False
        sent.whole = True
        return head.headers.get("connection", "").lower() != "close"


def main(case: Callable[[Journal], Awaitable[bool]], file: str) -> None:
    """Runs a case and exits with 1 if the rule was broken, 0 if it held.

    Args:
      case: Plays the case and returns whether the rule was broken.
      file: Path of the case's script, in the case's folder.
    """
    log = Journal(pathlib.Path(file).resolve().parent)

    async def limited() -> bool:
        async with asyncio.timeout(115.0):
            broken = await case(log)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0.1)
        # Transports that are collected after the loop's end print errors.
        gc.collect()
        await asyncio.sleep(0.1)
        return broken

    try:
        broken = asyncio.run(limited())
    except Exception as error:  # The case could not run.
        log.write("not_run", error=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(2)
    finally:
        log.close()
    sys.exit(1 if broken else 0)
