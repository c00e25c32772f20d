"""Plays traffic against engines that crash, on several instances."""

import asyncio
import dataclasses
import random

import builders_io
from builders_serving import engine_entry, request_path, route_table

from carobsail import errors, httpserver

# What an engine may have written of an answer when it crashes: the head, and a
# number of events.
NOTHING, HEAD, EVENTS = (False, 0), (True, 0), (True, 1)
WRITTEN = {
    "nothing": (NOTHING,),
    "head": (HEAD,),
    "events": (EVENTS, (True, 3)),
    "drawn": (NOTHING, HEAD, EVENTS),
}
# Time bounds of the rules, in seconds.
CONTACT_S = 4.0
REPORT_INTERVAL_S = 0.5

_HEAD = (
    b"HTTP/1.1 200 OK\r\nCarobsail-Server-Seal: s\r\nConnection: close\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
_EVENTS = 4
_EVENT_S = 0.055
_FIRST_EVENT_S = 0.08
_DOWN_S = 3.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """What happened in a play.

    Attributes:
      crashed_at: Times of the crashes of all engines.
      deadly_arrivals: Times at which deadly requests reached engines.
      sound: Number of sound requests.
      broken: Number of sound requests that were not served whole.
      refused: Number of sound requests that were refused as a likely cause.
    """

    crashed_at: list[float] = dataclasses.field(default_factory=list)
    deadly_arrivals: list[float] = dataclasses.field(default_factory=list)
    sound: int = 0
    broken: int = 0
    refused: int = 0

    def late_arrivals(self, tolerated_crashes: int) -> int:
        """Counts deadly requests at engines after the bound of the rule."""
        if len(self.crashed_at) < tolerated_crashes:
            return 0
        bound = sorted(self.crashed_at)[tolerated_crashes - 1] + CONTACT_S
        return sum(at > bound for at in self.deadly_arrivals)


class _Engine:
    """An engine that crashes on deadly requests and starts again."""

    def __init__(self, name, play):
        self.name = name
        self._play = play
        self._starts = 0
        self._port = 0
        self._listener = None
        self._writers = set()

    @property
    def alive(self):
        return self._listener is not None

    async def start(self):
        self._starts += 1
        self._listener = await asyncio.start_server(
            self._accept, "127.0.0.1", self._port
        )
        self._port = builders_io.port_of(self._listener)
        entry = engine_entry(
            f"{self.name}-{self._starts}", address=f"127.0.0.1:{self._port}"
        )
        for handler in self._play.handlers:
            handler.registry.put(entry, asyncio.get_running_loop().time())
            handler.wake_waiting()

    def crash(self):
        if not self.alive:
            return
        loop = asyncio.get_running_loop()
        self._play.outcome.crashed_at.append(loop.time())
        self._listener.close()
        self._listener = None
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        self._play.tasks.append(loop.create_task(self._start_again()))

    async def _start_again(self):
        await asyncio.sleep(_DOWN_S)
        await self.start()

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            await self._answer(head, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The caller or this engine has closed the connection.
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, head, reader, writer):
        play = self._play
        deadly = play.is_deadly(head)
        if deadly:
            play.outcome.deadly_arrivals.append(
                asyncio.get_running_loop().time()
            )
        await asyncio.sleep(_FIRST_EVENT_S * play.rng.uniform(0.7, 1.3))
        with_head, events = play.rng.choice(play.written)
        if deadly and not with_head:
            self.crash()
        writer.write(_HEAD)
        if deadly and not events:
            await asyncio.sleep(0.005)
            self.crash()
        for number in range(1, _EVENTS + 1):
            if reader.at_eof():
                raise ConnectionError("the request was abandoned")
            if deadly and number > events:
                self.crash()
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(_EVENT_S)
        writer.write(b"0\r\n\r\n")


class CrashPlay:
    """Instances that exchange their evidence, engines, and callers.

    Attributes:
      outcome: What has happened so far.
      handlers: Request paths of the instances; the first one coordinates.
      written: What engines may have written when they crash.
      rng: Source of all randomness.
      tasks: Tasks that run in the background.
    """

    def __init__(self, seed, route, instance_count=1, written="nothing"):
        self.rng = random.Random(seed)
        self.outcome = Outcome()
        self.written = WRITTEN[written]
        self.tasks = []
        self.handlers = [
            request_path(route_table(route)) for _ in range(instance_count)
        ]
        for handler in self.handlers:
            handler.instance_count = instance_count
        self._engines = [_Engine(f"e{n}", self) for n in range(5)]
        self._deadly = set()
        self._servers = []
        self._requests = 0

    def is_deadly(self, head):
        """Whether a request crashes an engine, by its head."""
        return not self._deadly.isdisjoint(head.lower().split(b"\r\n"))

    async def start(self):
        """Starts engines and instances."""
        for engine in self._engines:
            await engine.start()
        for handler in self.handlers:
            self._servers.append(
                await httpserver.serve(
                    "127.0.0.1",
                    0,
                    handler.handle,
                    httpserver.ServerLimits(),
                    "callers",
                )
            )
        self.tasks.append(asyncio.create_task(self._exchange()))

    async def stop(self):
        """Ends what runs in the background."""
        for task in self.tasks:
            task.cancel()
        for server in self._servers:
            await server.close()

    async def crash_engines(self, interval_s):
        """Crashes one engine after the other, whatever they execute."""
        while True:
            await asyncio.sleep(interval_s)
            self.rng.choice(self._engines).crash()

    async def _exchange(self):
        coordinator, *others = self.handlers
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            for handler in others:
                reports = handler.crash_guard.reports(own_only=True)
                coordinator.crash_guard.merge(*reports)
            for handler in others:
                reports = coordinator.crash_guard.reports(own_only=False)
                handler.crash_guard.merge(*reports)

    def send(self, instance, prefix, deadly=False, body=None):
        """Sends a request in the background.

        Args:
          instance: Number of the instance.
          prefix: Parts of the prompt without the one of this request.
          deadly: Whether it crashes the engines that begin to answer it.
          body: Body; another one for each request by default.
        """
        self._requests += 1
        number = self._requests
        body = b"prompt %d" % number if body is None else body
        if deadly:
            self._deadly.add(b"carobsail-request-id: q%d" % number)
        task = asyncio.create_task(
            self._call(instance, f"{prefix},{number:x}:9", number, body, deadly)
        )
        self.tasks.append(task)
        return task

    async def _call(self, instance, prefix, number, body, deadly):
        received = await builders_io.send_raw(
            self._servers[instance].port,
            b"POST /a/x HTTP/1.1\r\nHost: host.example\r\nConnection: close\r\n"
            b"Carobsail-Request-Id: q%d\r\nCarobsail-Model: m1\r\n"
            b"Carobsail-Token-Count: 100,22\r\nCarobsail-Deadline-Ms: 5000\r\n"
            b"Carobsail-Prompt-Prefix: %b\r\nContent-Length: %d\r\n\r\n%b"
            % (number, prefix.encode(), len(body), body),
        )
        if deadly:
            return
        outcome = self.outcome
        outcome.sound += 1
        outcome.broken += not received.endswith(b"0\r\n\r\n")
        outcome.refused += errors.Reason.SUSPECT_REFUSED.encode() in received
