"""The processes and stand-ins of one run, and the faults done to them."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import sys
from collections.abc import Awaitable, Callable, Iterator

from carobsail import httpserver, keyvalue, localdeployment
from soak import checks, configurations, polling, storestandin
from soak.callers import Callers
from soak.configurations import MODELS
from soak.proxy import Link
from soak.records import (
    CONFIG_SERVICES,
    MACHINE,
    Record,
    Span,
    Version,
    changed_routes,
)
from soak.schedule import Step
from soak.targets import Engine, Target

ZONES = {"dc-a": "north", "dc-b": "north", "dc-c": "south"}
STORE_REGION = "north"
# One way between regions on the users' sheets. With pieces of 64 KB it also
# limits a way to some 25 Mbit/s, where the sheets have 30.
REGION_DISTANCE_S = 0.02
GRACE_S = 8.0
RESTART_S = 1.0
# Two questions in a row without a 200 take an instance out.
READINESS_S = 1.0
READINESS_MISSES = 2
# The soak's own loop got no processor time for this long.
LATE_S = 0.25
SAMPLE_S = 0.05
# Mean time between two versions of the configuration; some follow at once.
VERSIONS_S = 2.5
SERIES_GAP_S = 0.4
SERIES_SHARE = 0.3
# Part of the versions that take effect in the store as it goes away.
UNACKED_SHARE = 0.5
# Times after an acknowledgement at which callers ask for what changed; the
# last one lies just behind the apply bound.
PROBES_S = (0.7, checks.APPLY_S + 0.02)
# Time after which the operator repeats a write without an answer.
REPEAT_S = 0.5

_Act = Callable[["World", Step], Awaitable[None]]
_ACTS: dict[str, _Act] = {}


def act(function: _Act) -> _Act:
    """Registers what carries out the steps of its name."""
    _ACTS[function.__name__] = function
    return function


class Instance:
    """An instance of the program in a process of its own."""

    def __init__(self, name: str, address: str, directory: pathlib.Path):
        self.name = name
        self.address = address
        self.callers = Link(f"callers {name}")
        self.store = Link(f"store {name}")
        self.settings: dict[str, object] = {}
        self.incarnation = 0
        self.process: asyncio.subprocess.Process | None = None
        self.held = False
        self._directory = directory

    async def start(self) -> None:
        """Starts the process anew."""
        path = self.write_settings()
        self.incarnation += 1
        with (self._directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "carobsail.platform",
                stdout=log,
                stderr=log,
                env={**os.environ, "CAROBSAIL_CONFIG": str(path)},
            )

    def write_settings(self) -> pathlib.Path:
        """Writes the settings file and returns its path."""
        path = self._directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        return path

    def signal(self, number: int) -> None:
        """Sends a signal to this process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self) -> None:
        """Waits for the end of the process."""
        if self.process is not None:
            await self.process.wait()


class World:
    """All of one run.

    Attributes:
      record: What was seen.
      callers: The callers.
    """

    def __init__(self, seed: int, count: int, directory: pathlib.Path) -> None:
        """Creates a run that has not started.

        Args:
          seed: Decides traffic and what the stand-ins do.
          count: Number of instances.
          directory: Gets settings and logs.
        """
        rng = random.Random(seed)
        self.record = Record()
        self.callers = Callers(self.record, random.Random(rng.random()))
        self._rng = rng
        self._store = storestandin.StoreStandin(page_items=500)
        self._store_servers: list[httpserver.Server] = []
        self._series = configurations.Series(seed)
        # The operator writes one version at a time.
        self._writing = asyncio.Lock()
        places = list(ZONES)
        self.instances = [
            Instance(f"n{n + 1}", f"127.0.1.{n + 1}", directory)
            for n in range(count)
        ]
        names = [f"m{n}" for n in range(MODELS)]
        self.callers.models = names
        services = ["plain"] * 3
        services += [f"c{n}" for n in range(CONFIG_SERVICES)]
        self.targets: list[Target] = [
            Target(
                f"{service}-{n}",
                service,
                places[n % len(places)],
                self._store,
                self.record,
                rng,
            )
            for n, service in enumerate(services)
        ]
        self.engines = [
            Engine(
                f"e{n}",
                places[n % len(places)],
                [names[0], names[(2 * n + 1) % MODELS]],
                self._store,
                self.record,
                rng,
            )
            for n in range(5)
        ]
        self.targets += self.engines
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts everything; ready once every instance serves."""
        await self.configure()
        for target in self.targets:
            await target.start()
        ports = localdeployment.FreePorts()
        common = [ports() for _ in range(4)]
        for number, instance in enumerate(self.instances):
            await self._prepare(instance, number, common)
        for instance in self.instances:
            await self.launch(instance)
            self._spawn(self._watch_readiness(instance))
        self._spawn(self._watch_machine())

    async def _prepare(
        self, instance: Instance, number: int, ports: list[int]
    ) -> None:
        server = await storestandin.serve(self._store, instance.name)
        self._store_servers.append(server)
        await instance.store.open()
        instance.store.lead_to(server.port)
        data_centre = list(ZONES)[number % len(ZONES)]
        if ZONES[data_centre] != STORE_REGION:
            instance.store.distance_s = REGION_DISTANCE_S
        await instance.callers.open()
        instance.callers.lead_to(ports[0], instance.address)
        instance.settings = {
            "instance": instance.name,
            "address": instance.address,
            "data_centre": data_centre,
            "regions": ZONES,
            "callers_listen": f"{instance.address}:{ports[0]}",
            "readiness_listen": f"{instance.address}:{ports[1]}",
            "peers_listen": f"{instance.address}:{ports[2]}",
            "first_port": ports[3],
            "seeds": [f"{i.address}:{ports[2]}" for i in self.instances[:3]],
            "store": f"127.0.0.1:{instance.store.port}",
            "grace_s": GRACE_S,
        }

    async def launch(self, instance: Instance) -> None:
        """Starts the process of an instance and tells the callers."""
        await instance.start()
        self.callers.find(
            instance.name, instance.callers.port, instance.incarnation
        )

    async def stop(self) -> None:
        """Ends all that was started."""
        for task in list(self._tasks):
            task.cancel()
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
            instance.signal(signal.SIGKILL)
        for instance in self.instances:
            await instance.wait()
            await instance.callers.close()
            await instance.store.close()
        for target in self.targets:
            await target.crash()
            await target.link.close()
        for server in self._store_servers:
            await server.close()

    async def play(self, steps: list[Step]) -> float:
        """Carries out the steps; returns when the last one had ended."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        operator = self._spawn(self._operate())
        acts: list[asyncio.Task[None]] = []
        for step in steps:
            await asyncio.sleep(max(0.0, start + step.at - loop.time()))
            acts.append(self._spawn(_ACTS[step.kind](self, step)))
        if acts:
            await asyncio.wait(acts)
        operator.cancel()
        await asyncio.wait([operator])
        for task in acts:
            task.result()  # A fault of the soak itself ends the run.
        return loop.time()

    def _spawn(self, call: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def disturb(self, what: str, planned: bool = False) -> Span:
        """Notes that something is disturbed until its end is set."""
        span = Span(what, self._now(), float("inf"), planned)
        self.record.disturbed.append(span)
        return span

    @contextlib.contextmanager
    def disturbed(self, what: str, planned: bool = False) -> Iterator[None]:
        """Notes that something is disturbed within the block."""
        span = self.disturb(what, planned)
        yield
        span.end = self._now()

    def thawed(self, instance: Instance) -> None:
        """Notes that an instance runs, or reaches the store, again."""
        now = self._now()
        self.record.disturbed.append(Span(f"thaw {instance.name}", now, now))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def instance_of(self, step: Step) -> Instance:
        """Returns the instance that a step is about."""
        return self.instances[int(step.pick * len(self.instances))]

    def target_of(self, step: Step) -> Target:
        """Returns the target that a step is about."""
        return self.targets[int(step.pick * len(self.targets))]

    @property
    def store(self) -> storestandin.StoreStandin:
        """The store."""
        return self._store

    async def configure(self) -> None:
        """Writes the next configuration as the operator.

        The store may go away before it acknowledges a version that it has
        taken, or lose that answer; the operator then writes it again.
        """
        async with self._writing:
            if self._rng.random() >= UNACKED_SHARE:
                await polling.until(lambda: not self._store.down)
            before = self._series.routes
            value = self._series.advance()
            version = Version(
                self._series.version, self._series.routes, self._now()
            )
            self.record.versions.append(version)
            while True:
                await self._store.data.transact(
                    [], [keyvalue.Put("op/config", value)]
                )
                if not self._store.down and not self._store.lose_writes:
                    break
                self._store.lose_writes = max(0, self._store.lose_writes - 1)
                await asyncio.sleep(REPEAT_S)
                await polling.until(lambda: not self._store.down)
            version.acked_at = self._now()
        changed = changed_routes(before, version.routes)
        self._spawn(self._probe(version.acked_at, changed))

    async def _probe(
        self, acked_at: float, changed: list[tuple[str, str]]
    ) -> None:
        """Lets callers ask for changed routes before and after the bound.

        Random traffic rarely meets an instance that is late by a little.
        """
        for after_s in PROBES_S:
            await asyncio.sleep(max(0.0, acked_at + after_s - self._now()))
            await self.callers.probe(changed)

    async def _operate(self) -> None:
        """Writes versions until cancelled, some in quick succession."""
        rng = random.Random(self._rng.random())
        while True:
            gap_s = rng.expovariate(1.0 / VERSIONS_S)
            if rng.random() < SERIES_SHARE:
                gap_s = rng.uniform(0.0, SERIES_GAP_S)
            await asyncio.sleep(gap_s)
            await self.configure()

    async def _watch_readiness(self, instance: Instance) -> None:
        """Asks as a balancer does."""
        host, _, port = str(instance.settings["readiness_listen"]).rpartition(
            ":"
        )
        misses = READINESS_MISSES
        while True:
            ready = await _asked_ready(host, int(port))
            misses = 0 if ready else misses + 1
            if ready:
                self.callers.ready[instance.name] = (
                    instance.callers.port,
                    instance.incarnation,
                )
            elif misses >= READINESS_MISSES:
                self.callers.forget(instance.name)
            await asyncio.sleep(READINESS_S)

    async def _watch_machine(self) -> None:
        """Notes when the soak itself gets too little processor time."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + SAMPLE_S
            await asyncio.sleep(SAMPLE_S)
            if loop.time() - due_at > LATE_S:
                self.record.disturbed.append(Span(MACHINE, due_at, loop.time()))


async def _asked_ready(host: str, port: int) -> bool:
    try:
        async with asyncio.timeout(READINESS_S):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
    except (OSError, TimeoutError):
        return False


# What the steps do.


@act
async def stop_instance(world: World, step: Step) -> None:
    """Stops an instance as an operator does, and starts it again."""
    instance = world.instance_of(step)
    if instance.held:
        return
    instance.held = True
    with world.disturbed(instance.name, planned=True):
        instance.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await instance.wait()
        except TimeoutError:
            instance.signal(signal.SIGKILL)
            await instance.wait()
        await world.launch(instance)
    instance.held = False


@act
async def kill_instance(world: World, step: Step) -> None:
    """Kills an instance and starts it again."""
    instance = world.instance_of(step)
    if instance.held:
        return
    instance.held = True
    with world.disturbed(instance.name):
        instance.signal(signal.SIGKILL)
        await instance.wait()
        await asyncio.sleep(RESTART_S)
        await world.launch(instance)
    instance.held = False


@act
async def pause_instance(world: World, step: Step) -> None:
    """Suspends an instance for a while."""
    instance = world.instance_of(step)
    if instance.held:
        return
    instance.held = True
    with world.disturbed(instance.name):
        instance.signal(signal.SIGSTOP)
        await asyncio.sleep(step.for_s)
        instance.signal(signal.SIGCONT)
    world.thawed(instance)
    instance.held = False


@act
async def reload_instance(world: World, step: Step) -> None:
    """Changes a settings file and signals it."""
    instance = world.instance_of(step)
    if instance.held:
        return
    span = world.disturb(instance.name, planned=True)
    span.end = span.start + 2.5
    instance.settings["repeat_allowance"] = 40.0 + 20.0 * step.how
    instance.write_settings()
    instance.signal(signal.SIGHUP)


@act
async def cut_store_way(world: World, step: Step) -> None:
    """Cuts an instance from the store, in one direction or both."""
    instance = world.instance_of(step)
    with world.disturbed(instance.name):
        instance.store.cut(step.how < 0.67, step.how > 0.33)
        await asyncio.sleep(step.for_s)
        instance.store.heal()
    world.thawed(instance)


@act
async def refuse_store_way(world: World, step: Step) -> None:
    """Lets the store turn one instance away."""
    instance = world.instance_of(step)
    with world.disturbed(instance.name):
        world.store.refused[instance.name] = 503 if step.how < 0.5 else 429
        await asyncio.sleep(step.for_s)
        world.store.refused.pop(instance.name, None)


@act
async def store_down(world: World, step: Step) -> None:
    """Takes the store away from all, with or without an answer."""
    with world.disturbed("store"):
        if step.how < 0.5:
            world.store.status = 503
        else:
            world.store.silent = True
        await asyncio.sleep(step.for_s)
        world.store.status, world.store.silent = 0, False


@act
async def store_slow(world: World, step: Step) -> None:
    """Makes each answer of the store take longer."""
    with world.disturbed("store"):
        world.store.delay_s = 0.1 + 0.3 * step.how
        await asyncio.sleep(step.for_s)
        world.store.delay_s = 0.0


@act
async def store_loses(world: World, step: Step) -> None:
    """Loses the answers to some writes that took effect."""
    span = world.disturb("store")
    world.store.lose_writes += 1 + int(4 * step.how)
    span.end = span.start + 2.0


@act
async def store_forgets(world: World, step: Step) -> None:
    """Drops the store's history."""
    del step
    span = world.disturb("store")
    await world.store.forget_history()
    span.end = span.start + 1.0


@act
async def cut_target_way(world: World, step: Step) -> None:
    """Silences the way to a target, in one direction or both."""
    target = world.target_of(step)
    with world.disturbed(target.identity):
        target.link.cut(step.how < 0.67, step.how > 0.33)
        await asyncio.sleep(step.for_s)
        target.link.heal()


@act
async def slow_target_way(world: World, step: Step) -> None:
    """Delays what goes to and comes from a target."""
    target = world.target_of(step)
    with world.disturbed(target.identity):
        target.link.delay_s = 0.05 + 0.3 * step.how
        await asyncio.sleep(step.for_s)
        target.link.heal()


@act
async def reset_target_way(world: World, step: Step) -> None:
    """Resets all connections to a target."""
    target = world.target_of(step)
    with world.disturbed(target.identity):
        target.link.reset()


@act
async def reset_callers(world: World, step: Step) -> None:
    """Resets all connections from callers to an instance."""
    instance = world.instance_of(step)
    with world.disturbed(instance.name):
        instance.callers.reset()


@act
async def crash_target(world: World, step: Step) -> None:
    """Ends a target, which comes back anew or under the same identity."""
    target = world.target_of(step)
    if not target.alive:
        return
    with world.disturbed(target.identity):
        await target.crash()
        await asyncio.sleep(step.for_s)
        if not target.alive:
            await target.start(same_identity=step.how < 0.4)


@act
async def drain_target(world: World, step: Step) -> None:
    """Replaces a target as an operator does; half leave without a report."""
    target = world.target_of(step)
    await target.leave(reported=step.how < 0.5)
    if not target.alive:
        await target.start()


@act
async def spoil_target(world: World, step: Step) -> None:
    """Lets a target fail, break off, lose or withhold its answers."""
    target = world.target_of(step)
    with world.disturbed(target.identity):
        modes = ("errors", "cut", "mute", "lost")
        target.mode = modes[int(step.how * len(modes))]
        await asyncio.sleep(step.for_s)
        target.mode = ""


@act
async def late_orders(world: World, step: Step) -> None:
    """Lets an engine carry out its next orders late, without an answer."""
    engine = world.engines[int(step.pick * len(world.engines))]
    engine.late_orders += 1 + int(3 * step.how)


@act
async def change_configuration(world: World, step: Step) -> None:
    """Writes versions of the configuration in quick succession."""
    for _ in range(1 + int(3 * step.how)):
        await world.configure()


@act
async def shift_demand(world: World, step: Step) -> None:
    """Moves the demand to other models."""
    models = world.callers.models
    count = 1 + int(step.how * (len(models) - 1))
    world.callers.models = models[count:] + models[:count]
