"""The processes and stand-ins of one run, and the faults injected into them."""

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
from soak import (
    backups,
    checks,
    configurations,
    crowds,
    polling,
    storestandin,
)
from soak.callers import Callers
from soak.configurations import MODEL_COUNT
from soak.proxy import Link
from soak.records import (
    CONFIG_SERVICES,
    MACHINE,
    MAX_DESCRIPTORS,
    MEMORY_MB,
    Disturbance,
    Record,
    Version,
    changed_routes,
)
from soak.schedule import Step
from soak.targets import ENTRY_EXPIRY_S, Engine, Target

REGION_OF_DATA_CENTRE = {"dc-a": "north", "dc-b": "north", "dc-c": "south"}
STORE_REGION = "north"
# One-way latency between regions in the users' data sheets. Since the proxy
# forwards one chunk of at most 64 KB per delay, this also limits a direction to
# about 25 Mbit/s, where the data sheets have 30.
REGION_LATENCY_S = 0.02
GRACE_S = 8.0
RESTART_DELAY_S = 1.0
# Two consecutive polls without a 200 make an instance count as not ready.
READINESS_INTERVAL_S = 1.0
READINESS_MISSES = 2
# The soak itself counts as starved if its event loop is late by more than this.
STARVED_S = 0.25
STARVATION_SAMPLE_S = 0.05
# Mean time between two versions of the configuration; a share of them follows
# the one before within a shorter time.
MEAN_VERSION_GAP_S = 2.5
MAX_BURST_GAP_S = 0.4
BURST_SHARE = 0.3
# Share of the versions that are written even while the store is down: they take
# effect, but the operator gets no acknowledgement.
WRITE_WHILE_DOWN_SHARE = 0.5
# Times after an acknowledgement at which callers request changed routes; the
# last one is just after the apply bound.
PROBE_DELAYS_S = (0.7, checks.APPLY_BOUND_S + 0.02)
# Time after which the operator repeats a write that was not acknowledged, or
# that the store has lost.
OPERATOR_RETRY_S = 0.5
# Shortest and longest time of which the store loses the changes.
LOST_S = (2.0, backups.MAX_LOST_S)

_Act = Callable[["World", Step], Awaitable[None]]
_ACTS: dict[str, _Act] = {}


def act(function: _Act) -> _Act:
    """Registers the function that carries out steps of the kind of its name."""
    _ACTS[function.__name__] = function
    return function


class Instance:
    """An instance of the program in its own process.

    Attributes:
      caller_link: Proxy link from the callers to the instance.
      store_link: Proxy link from the instance to the store.
      settings: Content of its settings file.
      incarnation: Number of its process, counted from its starts.
      process: The process, once started.
      busy: Whether a step stops, kills or pauses the process at the moment.
    """

    def __init__(self, name: str, address: str, directory: pathlib.Path):
        self.name = name
        self.address = address
        self.caller_link = Link(f"callers {name}")
        self.store_link = Link(f"store {name}")
        self.settings: dict[str, object] = {}
        self.incarnation = 0
        self.process: asyncio.subprocess.Process | None = None
        self.busy = False
        self._directory = directory

    async def start(self) -> None:
        """Starts a new process."""
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
        """Sends a signal to the process if it is still running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self) -> None:
        """Waits for the process to end."""
        if self.process is not None:
            await self.process.wait()


class World:
    """Processes, stand-ins, callers and operator of one run.

    Attributes:
      record: The observations.
      callers: The callers.
      backups: Copies of the store to which it can go back.
    """

    def __init__(self, seed: int, count: int, directory: pathlib.Path) -> None:
        """Creates a run that has not been started.

        Args:
          seed: Seed of the traffic and of the stand-ins' behaviour.
          count: Number of instances.
          directory: Receives settings files and logs.
        """
        rng = random.Random(seed)
        self.record = Record()
        self.callers = Callers(self.record, random.Random(rng.random()))
        self._rng = rng
        self._store = storestandin.StoreStandin(page_items=500)
        self._store.era = 1
        self.backups = backups.Backups(self._store)
        self._store_servers: list[httpserver.Server] = []
        self._series = configurations.Series(seed)
        # The operator writes one version at a time.
        self._writing = asyncio.Lock()
        data_centres = list(REGION_OF_DATA_CENTRE)
        self.instances = [
            Instance(f"n{n + 1}", f"127.0.1.{n + 1}", directory)
            for n in range(count)
        ]
        names = [f"m{n}" for n in range(MODEL_COUNT)]
        self.callers.models = names
        services = ["plain"] * 3
        services += [f"c{n}" for n in range(CONFIG_SERVICES)]
        self.targets: list[Target] = [
            Target(
                f"{service}-{n}",
                service,
                data_centres[n % len(data_centres)],
                self._store,
                self.record,
                rng,
            )
            for n, service in enumerate(services)
        ]
        self.engines = [
            Engine(
                f"e{n}",
                data_centres[n % len(data_centres)],
                [names[0], names[(2 * n + 1) % MODEL_COUNT]],
                self._store,
                self.record,
                rng,
            )
            for n in range(5)
        ]
        self.targets += self.engines
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts everything; does not wait until the instances serve."""
        self._spawn(self.backups.run())
        await self.configure()
        for target in self.targets:
            await target.start()
        ports = localdeployment.FreePorts()
        instance_ports = [ports() for _ in range(4)]
        for number, instance in enumerate(self.instances):
            await self._prepare(instance, number, instance_ports)
        for instance in self.instances:
            await self.launch(instance)
            self._spawn(self._watch_readiness(instance))
        self._spawn(self._watch_starvation())

    async def _prepare(
        self, instance: Instance, number: int, ports: list[int]
    ) -> None:
        server = await storestandin.serve(self._store, instance.name)
        self._store_servers.append(server)
        await instance.store_link.open()
        instance.store_link.set_server(server.port)
        data_centre = list(REGION_OF_DATA_CENTRE)[
            number % len(REGION_OF_DATA_CENTRE)
        ]
        if REGION_OF_DATA_CENTRE[data_centre] != STORE_REGION:
            instance.store_link.base_delay_s = REGION_LATENCY_S
        await instance.caller_link.open()
        instance.caller_link.set_server(ports[0], instance.address)
        instance.settings = {
            "instance": instance.name,
            "address": instance.address,
            "data_centre": data_centre,
            "regions": REGION_OF_DATA_CENTRE,
            "callers_listen": f"{instance.address}:{ports[0]}",
            "readiness_listen": f"{instance.address}:{ports[1]}",
            "peers_listen": f"{instance.address}:{ports[2]}",
            "first_port": ports[3],
            "seeds": [f"{i.address}:{ports[2]}" for i in self.instances[:3]],
            "store": f"127.0.0.1:{instance.store_link.port}",
            "grace_s": GRACE_S,
            "memory_mb": MEMORY_MB,
            "max_descriptors": MAX_DESCRIPTORS,
        }

    async def launch(self, instance: Instance) -> None:
        """Starts an instance's process and registers it with the callers."""
        await instance.start()
        self.callers.add_process(
            instance.name, instance.caller_link.port, instance.incarnation
        )

    async def stop(self) -> None:
        """Ends everything that was started."""
        for task in list(self._tasks):
            task.cancel()
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
            instance.signal(signal.SIGKILL)
        for instance in self.instances:
            await instance.wait()
            await instance.caller_link.close()
            await instance.store_link.close()
        for target in self.targets:
            await target.crash()
            await target.link.close()
        for server in self._store_servers:
            await server.close()

    async def play(self, steps: list[Step]) -> float:
        """Carries out the steps; returns the time at which all had ended."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        operator = self._spawn(self._operate())
        running_steps: list[asyncio.Task[None]] = []
        for step in steps:
            await asyncio.sleep(max(0.0, start + step.at_s - loop.time()))
            running_steps.append(self._spawn(_ACTS[step.kind](self, step)))
        if running_steps:
            await asyncio.wait(running_steps)
        operator.cancel()
        await asyncio.wait([operator])
        for task in running_steps:
            task.result()  # An exception in the soak itself ends the run.
        return loop.time()

    def _spawn(self, call: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def begin_disturbance(
        self, subject: str, planned: bool = False
    ) -> Disturbance:
        """Records a disturbance that lasts until its `end` is set."""
        span = Disturbance(subject, self._now(), float("inf"), planned)
        self.record.disturbances.append(span)
        return span

    @contextlib.contextmanager
    def disturbed(self, subject: str, planned: bool = False) -> Iterator[None]:
        """Records a disturbance for the duration of the block."""
        span = self.begin_disturbance(subject, planned)
        yield
        span.end = self._now()

    def note_resumed(self, instance: Instance) -> None:
        """Records that an instance runs again, or can reach the store again."""
        now = self._now()
        self.record.disturbances.append(
            Disturbance(f"thaw {instance.name}", now, now)
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def instance_of(self, step: Step) -> Instance:
        """Returns the instance that a step selects."""
        return self.instances[int(step.pick * len(self.instances))]

    def target_of(self, step: Step) -> Target:
        """Returns the target that a step selects."""
        return self.targets[int(step.pick * len(self.targets))]

    @property
    def store(self) -> storestandin.StoreStandin:
        """The stand-in for the platform's store."""
        return self._store

    async def configure(self) -> None:
        """Writes the next version of the configuration, as the operator does.

        The store may be down or lose its answer after a version has taken
        effect; the operator then writes the version again.
        """
        async with self._writing:
            if self._rng.random() >= WRITE_WHILE_DOWN_SHARE:
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
                await asyncio.sleep(OPERATOR_RETRY_S)
                await polling.until(lambda: not self._store.down)
            version.acked_at = self._now()
        changed = changed_routes(before, version.routes)
        self._spawn(self._probe(version.acked_at, changed))

    async def configure_again(self) -> None:
        """Writes the newest version again after the store has gone back."""
        async with self._writing:
            await polling.until(lambda: not self._store.down)
            await self._store.data.transact(
                [], [keyvalue.Put("op/config", self._series.document())]
            )

    async def remove_stale_entries(self) -> None:
        """Removes entries of targets that do not write them, when they expire.

        A store that has gone back has entries again that were removed.
        """
        stale = await self._unwritten_entries()
        await asyncio.sleep(ENTRY_EXPIRY_S)
        await polling.until(lambda: not self._store.down)
        for identity in stale & await self._unwritten_entries():
            await self._store.delete_entry(identity)

    async def _unwritten_entries(self) -> set[str]:
        entries = await self._store.entries()
        return entries - {t.identity for t in self.targets if t.writes_entry}

    async def _probe(
        self, acked_at: float, changed: list[tuple[str, str]]
    ) -> None:
        """Sends requests on changed routes before and after the apply bound.

        Random traffic rarely hits an instance that is only slightly late.
        """
        for after_s in PROBE_DELAYS_S:
            await asyncio.sleep(max(0.0, acked_at + after_s - self._now()))
            await self.callers.probe(changed)

    async def _operate(self) -> None:
        """Writes versions until cancelled, some in quick succession."""
        rng = random.Random(self._rng.random())
        while True:
            gap_s = rng.expovariate(1.0 / MEAN_VERSION_GAP_S)
            if rng.random() < BURST_SHARE:
                gap_s = rng.uniform(0.0, MAX_BURST_GAP_S)
            await asyncio.sleep(gap_s)
            await self.configure()

    async def _watch_readiness(self, instance: Instance) -> None:
        """Polls the readiness of an instance, as a load balancer does."""
        host, _, port = str(instance.settings["readiness_listen"]).rpartition(
            ":"
        )
        misses = READINESS_MISSES
        while True:
            ready = await _is_ready(host, int(port))
            misses = 0 if ready else misses + 1
            if ready:
                self.callers.ready[instance.name] = (
                    instance.caller_link.port,
                    instance.incarnation,
                )
            elif misses >= READINESS_MISSES:
                self.callers.remove(instance.name)
            await asyncio.sleep(READINESS_INTERVAL_S)

    async def _watch_starvation(self) -> None:
        """Records when the soak's own process gets too little CPU time."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + STARVATION_SAMPLE_S
            await asyncio.sleep(STARVATION_SAMPLE_S)
            if loop.time() - due_at > STARVED_S:
                self.record.disturbances.append(
                    Disturbance(MACHINE, due_at, loop.time())
                )


async def _is_ready(host: str, port: int) -> bool:
    try:
        async with asyncio.timeout(READINESS_INTERVAL_S):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
    except (OSError, TimeoutError):
        return False


# One function for each kind of step.


@act
async def stop_instance(world: World, step: Step) -> None:
    """Stops an instance as an operator does, and starts it again."""
    instance = world.instance_of(step)
    if instance.busy:
        return
    instance.busy = True
    with world.disturbed(instance.name, planned=True):
        instance.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await instance.wait()
        except TimeoutError:
            instance.signal(signal.SIGKILL)
            await instance.wait()
        await world.launch(instance)
    instance.busy = False


@act
async def kill_instance(world: World, step: Step) -> None:
    """Kills an instance and starts it again."""
    instance = world.instance_of(step)
    if instance.busy:
        return
    instance.busy = True
    with world.disturbed(instance.name):
        instance.signal(signal.SIGKILL)
        await instance.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        await world.launch(instance)
    instance.busy = False


@act
async def pause_instance(world: World, step: Step) -> None:
    """Suspends an instance for the duration of the step."""
    instance = world.instance_of(step)
    if instance.busy:
        return
    instance.busy = True
    with world.disturbed(instance.name):
        instance.signal(signal.SIGSTOP)
        await asyncio.sleep(step.duration_s)
        instance.signal(signal.SIGCONT)
    world.note_resumed(instance)
    instance.busy = False


@act
async def reload_instance(world: World, step: Step) -> None:
    """Changes the settings file of an instance and makes it reload."""
    instance = world.instance_of(step)
    if instance.busy:
        return
    span = world.begin_disturbance(instance.name, planned=True)
    span.end = span.start + 2.5
    instance.settings["repeat_allowance"] = 40.0 + 20.0 * step.how
    instance.write_settings()
    instance.signal(signal.SIGHUP)


@act
async def cut_store_way(world: World, step: Step) -> None:
    """Cuts an instance's link to the store, in one direction or both."""
    instance = world.instance_of(step)
    with world.disturbed(instance.name):
        instance.store_link.cut(step.how < 0.67, step.how > 0.33)
        await asyncio.sleep(step.duration_s)
        instance.store_link.heal()
    world.note_resumed(instance)


@act
async def refuse_store_way(world: World, step: Step) -> None:
    """Makes the store refuse the calls of one instance."""
    instance = world.instance_of(step)
    with world.disturbed(instance.name):
        world.store.refused[instance.name] = 503 if step.how < 0.5 else 429
        await asyncio.sleep(step.duration_s)
        world.store.refused.pop(instance.name, None)


@act
async def store_down(world: World, step: Step) -> None:
    """Makes the store answer all calls with 503, or not at all."""
    with world.disturbed("store"):
        if step.how < 0.5:
            world.store.status = 503
        else:
            world.store.silent = True
        await asyncio.sleep(step.duration_s)
        world.store.status, world.store.silent = 0, False


@act
async def store_slow(world: World, step: Step) -> None:
    """Delays each answer of the store."""
    with world.disturbed("store"):
        world.store.delay_s = 0.1 + 0.3 * step.how
        await asyncio.sleep(step.duration_s)
        world.store.delay_s = 0.0


@act
async def store_loses(world: World, step: Step) -> None:
    """Loses the answers to some writes that took effect."""
    span = world.begin_disturbance("store")
    world.store.lose_writes += 1 + int(4 * step.how)
    span.end = span.start + 2.0


@act
async def store_forgets(world: World, step: Step) -> None:
    """Compacts the store's history."""
    del step
    span = world.begin_disturbance("store")
    await world.store.forget_history()
    span.end = span.start + 1.0


@act
async def store_restored(world: World, step: Step) -> None:
    """Lets the store be away and come back from a copy some seconds old."""
    rng = random.Random(f"restored {step.how}")
    with world.disturbed("store"):
        await world.backups.lose(
            lost_s=rng.uniform(*LOST_S),
            away_s=step.duration_s,
            silent=rng.random() < 0.5,
            leases_paused=rng.random() < 0.5,
        )
    await asyncio.sleep(rng.uniform(0.0, OPERATOR_RETRY_S))
    await world.configure_again()
    await world.remove_stale_entries()


@act
async def cut_target_way(world: World, step: Step) -> None:
    """Cuts the link to a target, in one direction or both."""
    target = world.target_of(step)
    with world.disturbed(target.identity):
        target.link.cut(step.how < 0.67, step.how > 0.33)
        await asyncio.sleep(step.duration_s)
        target.link.heal()


@act
async def slow_target_way(world: World, step: Step) -> None:
    """Delays the data to and from a target."""
    target = world.target_of(step)
    with world.disturbed(target.identity):
        target.link.delay_s = 0.05 + 0.3 * step.how
        await asyncio.sleep(step.duration_s)
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
        instance.caller_link.reset()


@act
async def crash_target(world: World, step: Step) -> None:
    """Crashes a target and restarts it, with a new or the same identity."""
    target = world.target_of(step)
    if not target.alive:
        return
    with world.disturbed(target.identity):
        await target.crash()
        await asyncio.sleep(step.duration_s)
        if not target.alive:
            await target.start(same_identity=step.how < 0.4)


@act
async def drain_target(world: World, step: Step) -> None:
    """Replaces a target as an operator does; half do not report the drain."""
    target = world.target_of(step)
    await target.leave(reported=step.how < 0.5)
    if not target.alive:
        await target.start()


@act
async def spoil_target(world: World, step: Step) -> None:
    """Makes a target fail, break off, lose or withhold its answers."""
    target = world.target_of(step)
    with world.disturbed(target.identity):
        modes = ("errors", "cut", "mute", "lost")
        target.mode = modes[int(step.how * len(modes))]
        await asyncio.sleep(step.duration_s)
        target.mode = ""


@act
async def deadly_prompts(world: World, step: Step) -> None:
    """Lets callers send prompts with a part that crashes engines."""
    world.callers.deadly_share = 0.05 + 0.15 * step.how
    await asyncio.sleep(step.duration_s)
    world.callers.deadly_share = 0.0


@act
async def deadly_lookups(world: World, step: Step) -> None:
    """Lets callers repeat a lookup without a body that crashes targets."""
    world.callers.deadly_lookup_share = 0.05 + 0.15 * step.how
    await asyncio.sleep(step.duration_s)
    world.callers.deadly_lookup_share = 0.0


@act
async def odd_entries(world: World, step: Step) -> None:
    """Writes entries of targets that cannot be read, and removes them."""
    nested = b'{"odd":' + b"[" * 2000 + b"]" * 2000 + b"}"
    entry = b'{"service":"plain","addr":"%b","zone":"z","state":"in_service"'
    values = (
        nested,
        entry % b"127.0.0.1:1" + b',"slots":1' + b"0" * 400 + b"}",
        entry % b"127.0.0.1:65536" + b"}",
        b"\xff",
    )
    for number, value in enumerate(values):
        await world.store.put_entry(f"odd-{number}", value)
    await asyncio.sleep(step.duration_s)
    for number in range(len(values)):
        await world.store.delete_entry(f"odd-{number}")


@act
async def hostile_callers(world: World, step: Step) -> None:
    """Lets a crowd try to exhaust an instance.

    The instance counts as undisturbed: its other callers are to be served.
    """
    instance = world.instance_of(step)
    host, _, port = str(instance.settings["callers_listen"]).rpartition(":")
    rng = random.Random(f"crowd {step.how}")
    await crowds.send_crowd(host, int(port), rng, step.duration_s)
    if instance.process is not None and instance.process.returncode is None:
        peak = crowds.peak_mb(instance.process.pid)
        world.record.peaks_mb.append((instance.name, peak))


@act
async def late_orders(world: World, step: Step) -> None:
    """Makes an engine carry out its next orders late, without an answer."""
    engine = world.engines[int(step.pick * len(world.engines))]
    engine.late_orders += 1 + int(3 * step.how)


@act
async def change_configuration(world: World, step: Step) -> None:
    """Writes versions of the configuration in quick succession."""
    for _ in range(1 + int(3 * step.how)):
        await world.configure()


@act
async def shift_demand(world: World, step: Step) -> None:
    """Shifts the demand to other models."""
    models = world.callers.models
    count = 1 + int(step.how * (len(models) - 1))
    world.callers.models = models[count:] + models[:count]
