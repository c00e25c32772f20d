"""Callers: send requests over persistent connections and record the answers."""

import asyncio
import random

import h11

from soak.records import (
    DEADLY_PART,
    DEADLY_PATH,
    HOST,
    REQUEST_TIMEOUT_S,
    CallerRequest,
    Kind,
    Record,
)

_READ_BYTES = 65_536
_CONNECT_TIMEOUT_S = 1.0
_TIMEOUT_SLACK_S = 0.6
# Weights of the kinds of requests in the traffic.
_WEIGHTS = {
    Kind.SAFE: 3,
    Kind.UNSAFE: 3,
    Kind.STREAM: 6,
    Kind.CONFIG: 2,
    Kind.ADDED: 4,
}
# Share of the requests whose caller disconnects early, and share of those that
# reuse a connection if one is idle.
_ABANDON_SHARE = 0.06
_REUSE_SHARE = 0.7
_ADAPTER_SHARE = 0.3
# Share of the requests of `Kind.SAFE` and `Kind.ADDED` that go to any instance,
# ready or not: one that has just started knows no configuration yet.
_ANY_INSTANCE_SHARE = 0.15
# Share of the requests of `Kind.ADDED` that no version ever allowed, and share
# whose route is drawn from one of the last `_RECENT_VERSIONS` versions instead
# of the newest one.
_UNKNOWN_ROUTE_SHARE = 0.25
_RECENT_SHARE = 0.5
_RECENT_VERSIONS = 4
# Hosts and paths that no version has a route for; the last path lacks the slash
# at the end of a prefix.
_UNKNOWN_ROUTES = (
    ("never.example", "/safe/"),
    (HOST, "/never/"),
    (HOST, "/safe"),
)
# Share of the requests that have a query, a body, a chunked body, a port after
# the host, or a host in title case, and share of the safe ones sent as a GET
# without a body. All these forms are valid.
_VARIANT_SHARE = 0.15
_PAYLOAD_BYTES = 3000


class _Connection:
    """A caller's connection to an instance."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.CLIENT)


class Callers:
    """Sends requests at a mean rate to instances that are ready.

    Attributes:
      models: Models that are requested, in the order of their demand.
      ready: Port of the link and incarnation of each ready instance, by name.
      all_instances: The same for all instances.
      deadly_share: Share of the streams with a part in their prompt that
        crashes engines.
      deadly_lookup_share: Share of the requests that may be repeated that are
        one lookup without a body, which crashes targets.
    """

    def __init__(self, record: Record, rng: random.Random) -> None:
        """Creates callers without instances."""
        self.models: list[str] = []
        self.ready: dict[str, tuple[int, int]] = {}
        self.all_instances: dict[str, tuple[int, int]] = {}
        self.deadly_share = 0.0
        self.deadly_lookup_share = 0.0
        self._record = record
        self._rng = rng
        self._idle: dict[tuple[str, int], list[_Connection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0

    async def run(self, per_s: float, end: asyncio.Event) -> None:
        """Sends requests until `end` is set and waits for the last answers."""
        while not end.is_set():
            await asyncio.sleep(self._rng.expovariate(per_s))
            if self.ready:
                task = asyncio.create_task(self._send_random())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks)

    def add_process(self, instance: str, port: int, incarnation: int) -> None:
        """Records a new process of an instance."""
        self.all_instances[instance] = port, incarnation
        if instance in self.ready:
            self.ready[instance] = port, incarnation

    def remove(self, instance: str) -> None:
        """Removes an instance from the ready ones; connections stay open."""
        self.ready.pop(instance, None)

    async def _send_random(self) -> None:
        """Sends one request of a random kind."""
        kinds = list(_WEIGHTS)
        kind = self._rng.choices(kinds, [_WEIGHTS[k] for k in kinds])[0]
        any_instance = kind in (Kind.SAFE, Kind.ADDED) and (
            self._rng.random() < _ANY_INSTANCE_SHARE
        )
        endpoints = self.all_instances if any_instance else self.ready
        instance = self._rng.choice(sorted(endpoints))
        route = HOST, f"/{kind}/"
        if kind is Kind.ADDED:
            route = self._draw_route()
        await self._send(kind, instance, *endpoints[instance], route)

    async def probe(self, changed: list[tuple[str, str]]) -> None:
        """Sends each ready instance a request on one of the changed routes."""
        sends = []
        for instance, endpoint in self.ready.items():
            route = self._rng.choice(changed)
            kind = Kind.ADDED
            if route == (HOST, f"/{Kind.CONFIG}/"):
                kind = Kind.CONFIG
            sends.append(self._send(kind, instance, *endpoint, route))
        await asyncio.gather(*sends)

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
        request_id = f"q{self._count:06d}{self._rng.getrandbits(24):06x}"
        host, prefix = route
        request = CallerRequest(
            request_id,
            kind,
            instance,
            incarnation,
            loop.time(),
            REQUEST_TIMEOUT_S[kind],
            host=host,
            path=prefix + request_id if prefix.endswith("/") else prefix,
        )
        # No draw without such lookups, so that seeds keep their requests.
        if (
            kind is Kind.SAFE
            and self.deadly_lookup_share
            and self._rng.random() < self.deadly_lookup_share
        ):
            request.deadly = True
            request.path = prefix + DEADLY_PATH
        self._record.requests[request.request_id] = request
        # The final answer comes shortly after the time-out at the latest.
        timeout_s = request.timeout_s + _TIMEOUT_SLACK_S
        if self._rng.random() < _ABANDON_SHARE:
            timeout_s = self._rng.uniform(0.05, 0.4)
        connection: _Connection | None = None
        try:
            connection = await self._connect(instance, port, kind)
            async with asyncio.timeout(timeout_s):
                await self._exchange(connection, request)
        except TimeoutError:
            request.abandoned = connection is not None
        except (OSError, h11.RemoteProtocolError):
            pass  # Recorded as an incomplete answer.
        request.ended_at = loop.time()
        if connection is not None:
            self._release(connection, request, port)

    def _draw_route(self) -> tuple[str, str]:
        """Draws a recently added or removed route, or an unknown one."""
        rng = self._rng
        versions = self._record.versions
        version = versions[-1]
        if rng.random() < _RECENT_SHARE:
            version = rng.choice(versions[-_RECENT_VERSIONS:])
        permanent = versions[0].routes
        added = [key for key in version.routes if key not in permanent]
        if not added or rng.random() < _UNKNOWN_ROUTE_SHARE:
            return rng.choice(_UNKNOWN_ROUTES)
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
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        return _Connection(reader, writer)

    def _release(
        self, connection: _Connection, request: CallerRequest, port: int
    ) -> None:
        protocol = connection.protocol
        cycle_done = protocol.our_state is h11.DONE and (
            protocol.their_state is h11.DONE
        )
        if request.complete and cycle_done:
            protocol.start_next_cycle()
            self._idle[request.instance, port].append(connection)
        else:
            connection.writer.transport.abort()

    async def _exchange(
        self, connection: _Connection, request: CallerRequest
    ) -> None:
        connection.writer.write(
            self._encode_request(connection.protocol, request)
        )
        protocol = connection.protocol
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await connection.reader.read(_READ_BYTES))
            elif isinstance(event, h11.Response):
                request.status = event.status_code
                response_headers = dict(event.headers)
                request.signature = response_headers.get(
                    b"carobsail-server-seal", b""
                ).decode()
            elif isinstance(event, h11.Data):
                request.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                request.complete = True
                return
            else:
                return

    def _encode_request(
        self, protocol: h11.Connection, request: CallerRequest
    ) -> bytes:
        """Returns the bytes of a request in one of the valid forms."""
        query, body, chunked, port, title_case, no_body = (
            self._rng.random() < _VARIANT_SHARE for _ in range(6)
        )
        if request.path.endswith(DEADLY_PATH):
            query = body = chunked = False
            no_body = True
        host = request.host.title() if title_case else request.host
        headers = [
            ("host", f"{host}:80" if port else host),
            ("carobsail-request-id", request.request_id),
            ("carobsail-deadline-ms", str(int(request.timeout_s * 1000))),
        ]
        safe = request.kind not in (Kind.UNSAFE, Kind.STREAM)
        payload = bytes(_PAYLOAD_BYTES) if body or chunked else b""
        if chunked:
            headers.append(("transfer-encoding", "chunked"))
        elif payload or not (no_body and safe):
            headers.append(("content-length", str(len(payload))))
        if request.kind is Kind.STREAM:
            request.deadly = self._rng.random() < self.deadly_share
            headers += self._generation_headers(request.deadly)
        message = h11.Request(
            method="GET" if no_body and safe else "POST",
            target=request.path + ("?of=soak" if query else ""),
            headers=headers,  # type: ignore[arg-type]
        )
        data = protocol.send(message) or b""
        if payload:
            data += protocol.send(h11.Data(data=payload)) or b""
        return data + (protocol.send(h11.EndOfMessage()) or b"")

    def _generation_headers(self, deadly: bool) -> list[tuple[str, str]]:
        # Few models get most of the requests.
        rank = min(len(self.models) - 1, int(self._rng.expovariate(0.7)))
        model = self.models[rank]
        if self._rng.random() < _ADAPTER_SHARE:
            model += f"/a{self._rng.randint(1, 3)}"
        prompt_tokens = self._rng.randint(200, 2000)
        return [
            ("carobsail-model", model),
            ("carobsail-token-count", f"{prompt_tokens},60"),
            (
                "carobsail-prompt-prefix",
                f"aa:100,{DEADLY_PART if deadly else 'bb'}:100,"
                f"{self._rng.randint(1, 5):x}:{prompt_tokens}",
            ),
        ]
