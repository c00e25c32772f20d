"""Callers: send requests over kept connections and record what they get."""

import asyncio
import random

import h11

from soak.records import HOST, PATIENCE_S, Asked, Kind, Record

_READ_BYTES = 65_536
_CONNECT_S = 1.0
_ANSWER_SLACK_S = 0.6
# Parts of the traffic.
_WEIGHTS = {
    Kind.SAFE: 3,
    Kind.UNSAFE: 3,
    Kind.STREAM: 6,
    Kind.CONFIG: 2,
    Kind.ADDED: 4,
}
# Part of the callers that leave early, and of those that use a connection
# which was used before.
_LEAVE_SHARE = 0.06
_REUSE_SHARE = 0.7
_ADAPTER_SHARE = 0.3
# Part of the safe requests that go to any instance, ready or not: one that has
# just started knows no configuration yet.
_PROBE_SHARE = 0.15
# Part of the requests of `Kind.ADDED` that no version ever allowed, and of the
# others those on a route of one of the newest versions but the newest.
_NEVER_SHARE = 0.25
_OLDER_SHARE = 0.5
_OLDER_VERSIONS = 4
# Hosts and paths that no version has; the last path lacks a prefix's slash.
_NEVER = (("never.example", "/safe/"), (HOST, "/never/"), (HOST, "/safe"))
# Part of the requests that have a query, a body, a body in chunks, a port after
# the host, or a host in capitals, and of the safe ones that have no body at
# all. All are proper.
_FORM_SHARE = 0.15
_BODY_BYTES = 3000


class _Connection:
    """A caller's connection to an instance."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.machine = h11.Connection(h11.CLIENT)


class Callers:
    """Sends requests at a rate to instances that are ready.

    Attributes:
      models: Models that are asked for, most wanted first.
      ready: Ports of the links to ready instances and the starts of their
        processes, by name.
      every: The same of all instances.
    """

    def __init__(self, record: Record, rng: random.Random) -> None:
        """Creates callers that know no instance."""
        self.models: list[str] = []
        self.ready: dict[str, tuple[int, int]] = {}
        self.every: dict[str, tuple[int, int]] = {}
        self._record = record
        self._rng = rng
        self._idle: dict[tuple[str, int], list[_Connection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0

    async def run(self, per_s: float, end: asyncio.Event) -> None:
        """Sends until the end, then waits for the last answers."""
        while not end.is_set():
            await asyncio.sleep(self._rng.expovariate(per_s))
            if self.ready:
                task = asyncio.create_task(self._ask())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks)

    def find(self, instance: str, port: int, incarnation: int) -> None:
        """Notes a new process of an instance."""
        self.every[instance] = port, incarnation
        if instance in self.ready:
            self.ready[instance] = port, incarnation

    def forget(self, instance: str) -> None:
        """Takes an instance out; its open connections stay in use."""
        self.ready.pop(instance, None)

    async def _ask(self) -> None:
        """Sends one request of the traffic."""
        kinds = list(_WEIGHTS)
        kind = self._rng.choices(kinds, [_WEIGHTS[k] for k in kinds])[0]
        probe = kind in (Kind.SAFE, Kind.ADDED) and (
            self._rng.random() < _PROBE_SHARE
        )
        places = self.every if probe else self.ready
        instance = self._rng.choice(sorted(places))
        route = HOST, f"/{kind}/"
        if kind is Kind.ADDED:
            route = self._draw_route()
        await self._send(kind, instance, *places[instance], route)

    async def probe(self, changed: list[tuple[str, str]]) -> None:
        """Asks each ready instance for one of the routes that changed."""
        asks = []
        for instance, place in self.ready.items():
            route = self._rng.choice(changed)
            kind = Kind.ADDED
            if route == (HOST, f"/{Kind.CONFIG}/"):
                kind = Kind.CONFIG
            asks.append(self._send(kind, instance, *place, route))
        await asyncio.gather(*asks)

    async def _send(
        self,
        kind: Kind,
        instance: str,
        port: int,
        incarnation: int,
        route: tuple[str, str],
    ) -> None:
        """Sends a request to an instance and records its answer."""
        loop = asyncio.get_running_loop()
        self._count += 1
        request = f"q{self._count:06d}{self._rng.getrandbits(24):06x}"
        host, prefix = route
        asked = Asked(
            request,
            kind,
            instance,
            incarnation,
            loop.time(),
            PATIENCE_S[kind],
            host=host,
            path=prefix + request if prefix.endswith("/") else prefix,
        )
        self._record.asked[asked.request] = asked
        # A request has a final answer a little after its time at the latest.
        patience_s = asked.patience_s + _ANSWER_SLACK_S
        if self._rng.random() < _LEAVE_SHARE:
            patience_s = self._rng.uniform(0.05, 0.4)
        connection: _Connection | None = None
        try:
            connection = await self._connect(instance, port, kind)
            async with asyncio.timeout(patience_s):
                await self._exchange(connection, asked)
        except TimeoutError:
            asked.left = connection is not None
        except (OSError, h11.RemoteProtocolError):
            pass  # Recorded as an answer that is not complete.
        asked.ended_at = loop.time()
        if connection is not None:
            self._keep(connection, asked, port)

    def _draw_route(self) -> tuple[str, str]:
        """Draws a route that was added or removed lately, or never existed."""
        rng = self._rng
        versions = self._record.versions
        version = versions[-1]
        if rng.random() < _OLDER_SHARE:
            version = rng.choice(versions[-_OLDER_VERSIONS:])
        standing = versions[0].routes
        added = [key for key in version.routes if key not in standing]
        if not added or rng.random() < _NEVER_SHARE:
            return rng.choice(_NEVER)
        return rng.choice(added)

    async def _connect(
        self, instance: str, port: int, kind: Kind
    ) -> _Connection:
        idle = self._idle.setdefault((instance, port), [])
        reuse = kind is not Kind.UNSAFE and self._rng.random() < _REUSE_SHARE
        while idle and reuse:
            connection = idle.pop()
            if not connection.reader.at_eof():
                return connection
            connection.writer.close()
        async with asyncio.timeout(_CONNECT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        return _Connection(reader, writer)

    def _keep(self, connection: _Connection, asked: Asked, port: int) -> None:
        machine = connection.machine
        whole = machine.our_state is h11.DONE and (
            machine.their_state is h11.DONE
        )
        if asked.complete and whole:
            machine.start_next_cycle()
            self._idle[asked.instance, port].append(connection)
        else:
            connection.writer.transport.abort()

    async def _exchange(self, connection: _Connection, asked: Asked) -> None:
        connection.writer.write(self._form(connection.machine, asked))
        machine = connection.machine
        while True:
            event = machine.next_event()
            if event is h11.NEED_DATA:
                machine.receive_data(await connection.reader.read(_READ_BYTES))
            elif isinstance(event, h11.Response):
                asked.status = event.status_code
                found = dict(event.headers)
                asked.seal = found.get(b"carobsail-server-seal", b"").decode()
            elif isinstance(event, h11.Data):
                asked.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                asked.complete = True
                return
            else:
                return

    def _form(self, machine: h11.Connection, asked: Asked) -> bytes:
        """Returns the bytes of a request in one of its proper forms."""
        query, body, chunked, port, capitals, bare = (
            self._rng.random() < _FORM_SHARE for _ in range(6)
        )
        host = asked.host.title() if capitals else asked.host
        headers = [
            ("host", f"{host}:80" if port else host),
            ("carobsail-request-id", asked.request),
            ("carobsail-deadline-ms", str(int(asked.patience_s * 1000))),
        ]
        safe = asked.kind not in (Kind.UNSAFE, Kind.STREAM)
        content = bytes(_BODY_BYTES) if body or chunked else b""
        if chunked:
            headers.append(("transfer-encoding", "chunked"))
        elif content or not (bare and safe):
            headers.append(("content-length", str(len(content))))
        if asked.kind is Kind.STREAM:
            headers += self._generation()
        request = h11.Request(
            method="GET" if bare and safe else "POST",
            target=asked.path + ("?of=soak" if query else ""),
            headers=headers,  # type: ignore[arg-type]
        )
        data = machine.send(request) or b""
        if content:
            data += machine.send(h11.Data(data=content)) or b""
        return data + (machine.send(h11.EndOfMessage()) or b"")

    def _generation(self) -> list[tuple[str, str]]:
        # Few models get most of the requests.
        rank = min(len(self.models) - 1, int(self._rng.expovariate(0.7)))
        model = self.models[rank]
        if self._rng.random() < _ADAPTER_SHARE:
            model += f"/a{self._rng.randint(1, 3)}"
        prompt = self._rng.randint(200, 2000)
        return [
            ("carobsail-model", model),
            ("carobsail-token-count", f"{prompt},60"),
            (
                "carobsail-prompt-prefix",
                f"{self._rng.randint(1, 5):x}:{prompt}",
            ),
        ]
