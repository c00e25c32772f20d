"""Processes around the instances that `bench.relay` measures.

An engine stand-in writes events at a fixed rate, a client reads the answers,
and a leader stand-in sends inventory, configuration and grants to both
instances.
"""

import asyncio
import hashlib
import json
import multiprocessing.connection
import re
import time
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from carobsail import configuration, engines, errors, inventory, messages, peers

HOST = "127.0.0.1"
DATA_CENTRE = "dc"
SECRET = "bench"
KEY = "bench-key"
MODEL = "m"
STREAMS_PER_ENGINE = 16
# At this interval an engine writes one token to each stream of its batch.
INTERVAL_S = 0.030
GRANT_VALID_S = 3.0
# Routing a request costs the entry instance more than 1 ms of its core.
OPEN_INTERVAL_S = 0.003
_ACCOUNT_LIMIT = 100_000
_MAX_LATENCY_US = 10_000_000
# Pads an event to 200 bytes, the size of a chat completion event.
_PADDING = "x" * 108
_EVENT = re.compile(rb'"t":(\d+)')
_DONE = b"data: [DONE]\n\n"


def event(number: int) -> bytes:
    """Returns an event that contains the time at which it was written."""
    data = (
        f'id: {number:06}\ndata: {{"t":{time.monotonic_ns():020},"choices":'
        f'[{{"index":0,"delta":{{"content":"{_PADDING}"}}}}]}}\n\n'
    )
    return data.encode()


class _EngineConnection(asyncio.Protocol):
    """One connection to the engine stand-in."""

    def __init__(self, engine: "EngineStandin") -> None:
        self._engine = engine
        self._received = b""
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self._engine.streams.pop(self, None)

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, found, body = self._received.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: *(\d+)", head)
        if not found or len(body) < int(length[1] if length else 0):
            return
        self._received = b""
        path = head.split(b" ", 2)[1]
        if path.startswith(b"/v1/chat"):
            tokens = json.loads(body)["max_tokens"]
            self.transport.write(
                b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
                b"transfer-encoding: chunked\r\n\r\n"
            )
            self._engine.streams[self] = (0, tokens)
            return
        answer: Any = {}
        if path.startswith(b"/v1/report"):
            answer = engines.EngineReport(
                self._engine.name, 1, 0, {MODEL: 1}, {}, {}, 0, 1000
            )
        elif path.startswith(b"/v1/cache_events"):
            answer = []
        data = msgspec.json.encode(answer)
        self.transport.write(
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(data) + data
        )


class EngineStandin:
    """Writes one event to each of its streams in each interval."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.streams: dict[_EngineConnection, tuple[int, int]] = {}
        self.port = 0
        self.listening = asyncio.Event()

    async def run(self, phase_s: float) -> None:
        """Listens and writes until cancelled."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _EngineConnection(self), HOST, self.port
        )
        self.port = server.sockets[0].getsockname()[1]
        self.listening.set()
        due = loop.time() + phase_s
        while True:
            await asyncio.sleep(max(0.0, due - loop.time()))
            due += INTERVAL_S
            for connection, (number, tokens) in list(self.streams.items()):
                data = event(number) if number < tokens else _DONE
                framed = b"%x\r\n%b\r\n" % (len(data), data)
                if number < tokens:
                    self.streams[connection] = (number + 1, tokens)
                else:
                    del self.streams[connection]
                    framed += b"0\r\n\r\n"
                connection.transport.write(framed)


def run_engines(
    pipe: multiprocessing.connection.Connection, count: int
) -> None:
    """Runs engine stand-ins in one process; sends their ports."""

    async def run() -> None:
        found = [EngineStandin(f"e{n}") for n in range(count)]
        tasks = [
            asyncio.create_task(e.run(INTERVAL_S * n / count))
            for n, e in enumerate(found)
        ]
        await asyncio.gather(*(e.listening.wait() for e in found))
        pipe.send([e.port for e in found])
        await asyncio.to_thread(pipe.recv)
        for task in tasks:
            task.cancel()

    asyncio.run(run())


class _Caller(asyncio.Protocol):
    """Reads one streamed answer."""

    def __init__(self, client: "Client", body: bytes, done: Any) -> None:
        self._client = client
        self._body = body
        self._done = done
        self._buffered_tail = b""
        self.events = 0

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\n"
            f"authorization: Bearer {KEY}\r\nconnection: close\r\n"
            f"content-type: application/json\r\n"
            f"content-length: {len(self._body)}\r\n\r\n"
        )
        transport.write(head.encode() + self._body)

    def data_received(self, data: bytes) -> None:
        now = time.monotonic_ns()
        data = self._buffered_tail + data
        end = 0
        for found in _EVENT.finditer(data):
            self._client.record((now - int(found[1])) // 1000)
            self.events += 1
            end = found.end()
        # A timestamp split between two reads must not be parsed in part.
        tail = max(end, len(data) - len(_DONE) - 40)
        cut = data.rfind(b'"t":', tail)
        self._buffered_tail = data[cut if cut >= 0 else tail :]
        if self._is_complete():
            self._transport.close()

    def _is_complete(self) -> bool:
        return _DONE in self._buffered_tail and self._buffered_tail.endswith(
            b"0\r\n\r\n"
        )

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._done.done():
            self._done.set_result(self.events if self._is_complete() else -1)


class Client:
    """Reads streams, counts their events and records the latencies."""

    def __init__(self) -> None:
        self.event_count = 0
        self.latencies = HdrHistogram(1, _MAX_LATENCY_US, 3)

    def record(self, latency_us: int) -> None:
        """Counts an event and its latency."""
        self.event_count += 1
        self.latencies.record_value(max(1, latency_us))

    async def read(
        self, ports: list[int], streams: int, tokens: int
    ) -> list[int]:
        """Reads streams; returns the events of each, -1 if incomplete."""
        loop = asyncio.get_running_loop()
        body = json.dumps(
            {"model": MODEL, "stream": True, "max_tokens": tokens}
        ).encode()
        answers = []
        for number in range(streams):
            done = loop.create_future()
            answers.append(done)
            await loop.create_connection(
                lambda done=done: _Caller(self, body, done),  # type: ignore[misc]
                HOST,
                ports[number % len(ports)],
            )
            await asyncio.sleep(OPEN_INTERVAL_S)
        return list(await asyncio.gather(*answers))


def run_client(
    pipe: multiprocessing.connection.Connection,
) -> None:
    """Reads streams as commands on the pipe request.

    A command `(ports, streams, tokens, warm_up_s, window_s)` is answered with
    `open` and `close` at the start and end of the measured window, then with
    the result.
    """

    async def measure(
        ports: list[int],
        streams: int,
        tokens: int,
        warm_up_s: float,
        window_s: float,
    ) -> None:
        client = Client()
        reading = asyncio.create_task(client.read(ports, streams, tokens))
        await asyncio.sleep(warm_up_s + streams * OPEN_INTERVAL_S)
        pipe.send("open")
        client.event_count = 0
        client.latencies.reset()
        await asyncio.sleep(window_s)
        pipe.send("close")
        event_count = client.event_count
        found = [
            client.latencies.get_value_at_percentile(p) / 1000 for p in (50, 99)
        ]
        events = await reading
        pipe.send((event_count, found, sum(n != tokens for n in events)))

    while (command := pipe.recv()) is not None:
        asyncio.run(measure(*command))


class Leader:
    """Sends the instances what a leader would send."""

    def __init__(self, addresses: dict[str, str], ports: list[int]) -> None:
        targets = [
            inventory.Target(
                f"e{n}",
                inventory.Kind.ENGINE,
                DATA_CENTRE,
                f"{HOST}:{port}",
                "pool",
                capacity_mb=1000,
                slots=STREAMS_PER_ENGINE,
                decode_tokens_per_s=STREAMS_PER_ENGINE / INTERVAL_S,
            )
            for n, port in enumerate(ports)
        ]
        self._listed = inventory.Inventory(
            1,
            {DATA_CENTRE: "region"},
            [
                inventory.Instance(name, DATA_CENTRE, address, f"{HOST}:1")
                for name, address in addresses.items()
            ],
            targets,
            [inventory.Model(MODEL, "pool", 1)],
            [],
            inventory.WeightStore("region"),
        )
        self._owners = {target.name: "owner" for target in targets}
        self._hello = messages.Hello(1, 1, "leader", DATA_CENTRE, 1, "control")
        self._addresses = addresses

    def _documents(self) -> dict[str, bytes]:
        account = {
            "models": [MODEL],
            "adapters": [],
            "limits": {
                "requests_per_s": _ACCOUNT_LIMIT,
                "burst": _ACCOUNT_LIMIT,
                "concurrency": _ACCOUNT_LIMIT,
            },
            "operations": [{"path": "/v1/chat/completions", "due_ms": 60000}],
        }
        documents = [
            {
                "kind": "template",
                "name": "t",
                "parameters": [],
                "account": account,
            },
            {
                "kind": "account",
                "name": "a",
                "template": "t",
                "parameters": {},
                "key_hashes": [hashlib.sha256(KEY.encode()).hexdigest()],
            },
        ]
        keys = [
            configuration.TEMPLATES_PREFIX + "t",
            configuration.ACCOUNTS_PREFIX + "a",
        ]
        return {
            k: json.dumps(d).encode()
            for k, d in zip(keys, documents, strict=True)
        }

    async def lead(self, instance: str) -> None:
        """Serves one instance until its link ends."""
        link = await peers.connect_peer(
            self._addresses[instance], self._hello, [SECRET.encode()]
        )
        if isinstance(link, errors.Failure):
            raise RuntimeError(str(link))
        link.try_send(
            messages.InventoryUpdate(1, msgspec.json.encode(self._listed))
        )
        link.try_send(messages.Snapshot(1, self._documents()))
        own = [t for t, o in self._owners.items() if o == instance]
        async for message in link:
            if isinstance(message, messages.Heartbeat):
                link.try_send(
                    messages.Grant(
                        1,
                        GRANT_VALID_S,
                        own,
                        self._owners,
                        True,
                        10.0,
                        message.seq,
                        1,
                    )  # fmt: skip
                )


def run_leader(
    pipe: multiprocessing.connection.Connection,
    addresses: dict[str, str],
    ports: list[int],
) -> None:
    """Runs the leader stand-in until a message arrives on the pipe."""

    async def run() -> None:
        leader = Leader(addresses, ports)
        tasks = [asyncio.create_task(leader.lead(name)) for name in addresses]
        await asyncio.to_thread(pipe.recv)
        for task in tasks:
            task.cancel()

    asyncio.run(run())
