"""Builders for tests: a virtual clock and a data centre in memory."""

import asyncio
import contextvars
import random
import types

import async_solipsism
import msgspec

from carobsail import (
    configurationrelay,
    controller,
    errors,
    inventory,
    keyvalue,
    membership,
    messages,
    ownership,
    peers,
)

DC = "dc"
_current_process = contextvars.ContextVar("process", default=None)


@types.coroutine
def _run_steps(coroutine, process):
    """Runs a coroutine step by step, but not while its process is paused."""
    value, error = None, None
    while True:
        while process.paused:
            try:
                yield from process.resumed.wait().__await__()
            except asyncio.CancelledError as cancelled:
                error = cancelled
        try:
            if error is not None:
                waited = coroutine.throw(error)
            else:
                waited = coroutine.send(value)
        except StopIteration as stop:
            return stop.value
        value, error = None, None
        try:
            value = yield waited
        except BaseException as raised:
            error = raised


class PausableProcess:
    """Pauses the tasks of one process."""

    def __init__(self):
        self.paused = False
        self.resumed = asyncio.Event()

    def run(self, function, *args):
        """Calls a function; the tasks that it creates belong to the process."""
        context = contextvars.copy_context()
        context.run(_current_process.set, self)
        return context.run(function, *args)

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False
        self.resumed.set()
        self.resumed = asyncio.Event()


def _create_task(loop, coroutine, context=None):
    source = context or contextvars.copy_context()
    process = source.get(_current_process)
    if process is not None:
        coroutine = _run_pausable(coroutine, process)
    return asyncio.Task(coroutine, loop=loop, context=source)


async def _run_pausable(coroutine, process):
    return await _run_steps(coroutine, process)


def new_loop():
    loop = async_solipsism.EventLoop()
    loop.set_task_factory(_create_task)
    return loop


def run_virtual(coroutine):
    """Runs a coroutine on a loop whose clock jumps to the next timer."""
    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(coroutine)


class CuttableKeyValue(keyvalue.KeyValueClient):
    """A process's connection to the shared key-value service.

    Attributes:
      cut: While True, all calls fail and watches end.
    """

    def __init__(self, service):
        self.service = service
        self.cut = False

    async def _call_service(self, call, *args):
        await asyncio.sleep(0.002)
        return self.failure() if self.cut else await call(*args)

    def failure(self):
        return errors.Failure(
            errors.Reason.UNAVAILABLE, errors.Step.KEY_VALUE, "wire"
        )

    async def range(self, prefix):
        return await self._call_service(self.service.range, prefix)

    async def transact(self, compares, writes):
        return await self._call_service(self.service.transact, compares, writes)

    async def grant_lease(self, ttl_s):
        return await self._call_service(self.service.grant_lease, ttl_s)

    async def keep_lease(self, lease):
        return await self._call_service(self.service.keep_lease, lease)

    async def revoke_lease(self, lease):
        return await self._call_service(self.service.revoke_lease, lease)

    async def watch(self, prefix, start_revision):
        async for events in self.service.watch(prefix, start_revision):
            if self.cut:
                yield self.failure()
                return
            yield events


class FakeEntryProcess:
    """A simple entry process: heartbeats, configuration and grants."""

    def __init__(self, hello):
        self.hello = hello
        self.state = configurationrelay.ConfigurationState()
        self.holder = ownership.GrantHolder()
        self.seq = 0
        self.leaving = False
        self.links = set()
        self.received = []

    async def send_heartbeats(self):
        while True:
            self.send_heartbeat()
            await asyncio.sleep(membership.HEARTBEAT_INTERVAL_S)

    def send_heartbeat(self):
        self.seq += 1
        now = asyncio.get_running_loop().time()
        self.holder.record_heartbeat_sent(self.seq, now)
        beat = messages.Heartbeat(
            self.seq,
            self.state.confirmed,
            self.leaving,
            self.state.revision,
            epoch=self.holder.epoch,
            grant_version=self.holder.version,
        )
        for link in self.links:
            link.try_send(beat)

    async def on_link(self, link):
        self.links.add(link)
        link.try_send(self.state.resync())
        try:
            async for message in link:
                response = None
                if isinstance(message, messages.Snapshot | messages.Delta):
                    response = self.state.receive(message)
                elif isinstance(message, messages.Grant | messages.Renewal):
                    self.holder.receive(message)
                elif isinstance(message, messages.Resync):
                    response = self.state.snapshot()
                elif not isinstance(message, messages.Heartbeat):
                    self.received.append(message)
                if response is not None:
                    link.try_send(response)
        finally:
            self.links.discard(link)

    def leave(self):
        self.leaving = True
        self.send_heartbeat()
        for link in self.links:
            link.try_send(self.holder.give_up())


class FakePlanner:
    """Returns the plans of a function and requests no loads."""

    loads_wanted = 0
    loads_in_flight = 0

    def __init__(self, decide):
        self._decide = decide

    def set_share_allocator(self, allocator):
        pass

    def plan(self, planning_input, now):
        return self._decide(planning_input)

    def dump(self):
        return {}


class SimulatedDataCentre:
    """A data centre: entry and control processes in one event loop."""

    def __init__(self, service, seed=1, targets=12, planner=None, dc=DC):
        self.service = service
        self.dc = dc
        self.rng = random.Random(seed)
        self.network = peers.MemoryNetwork()
        self.planner = planner
        self.targets = [f"{dc}-t{n}" for n in range(targets)]
        self.controls, self.entries, self.key_value_clients = {}, {}, {}
        self.pausable_processes, self.states, self._heartbeat_tasks = {}, {}, {}
        self.version = 1
        self.incarnation = 0
        self.inventory_available = True

    def document(self):
        platform_inventory = inventory.Inventory(
            self.version,
            {self.dc: "region", "other": "region"},
            [
                inventory.Instance(name, self.dc, f"{name}:1", f"{name}:2", s)
                for name, s in sorted(self.states.items())
            ],
            [
                inventory.Target(t, inventory.Kind.ENGINE, self.dc, t, "pool")
                for t in self.targets
            ],
            [],
            [],
            inventory.WeightStore("region"),
        )
        return msgspec.json.encode(platform_inventory)

    async def fetch(self):
        await asyncio.sleep(0.001)
        if not self.inventory_available:
            return errors.Failure(
                errors.Reason.UNAVAILABLE, errors.Step.CONFIGURE, "platform"
            )
        return self.document()

    def add(self, name):
        self.states[name] = inventory.State.LIVE
        self.version += 1
        self.pausable_processes[name] = PausableProcess()
        self.key_value_clients[name] = CuttableKeyValue(self.service)
        self.pausable_processes[name].run(self._start_entry, name)
        self.pausable_processes[name].run(self._start_control, name)

    def hello(self, name, role):
        self.incarnation += 1
        return messages.Hello(1, 1, name, self.dc, self.incarnation, role)

    def _start_entry(self, name):
        entry = FakeEntryProcess(self.hello(name, "entry"))
        self.entries[name] = entry
        self.network.serve(f"{name}:1", entry.hello, entry.on_link)
        self._heartbeat_tasks[name] = asyncio.create_task(
            entry.send_heartbeats()
        )

    def _start_control(self, name):
        hello = self.hello(name, "control")
        control = controller.Controller(
            hello,
            self.key_value_clients[name],
            self.fetch,
            self.network.connector(hello),
            random.Random(self.rng.random()),
            self.planner,
        )
        self.controls[name] = control
        self.network.serve(f"{name}:2", hello, control.on_link)
        control.start()

    async def kill_control(self, name):
        self.network.stop(f"{name}:2")
        control = self.controls.pop(name)
        await control.kill()

    async def kill_entry(self, name):
        self.network.stop(f"{name}:1")
        self._heartbeat_tasks.pop(name).cancel()
        for link in list(self.entries[name].links):
            await link.close()
        return self.entries.pop(name)

    async def kill(self, name):
        await self.kill_entry(name)
        await self.kill_control(name)

    def unlist(self, name):
        del self.states[name]
        self.version += 1

    def leader(self):
        now = asyncio.get_running_loop().time()
        found = [
            name
            for name, control in self.controls.items()
            if control.leadership.may_send_orders(now)
        ]
        assert len(found) <= 1
        return found[0] if found else None

    def followers(self):
        return [n for n in self.controls if n != self.leader()]

    def instances_that_may_order(self):
        """Returns the instances that may send orders, by target."""
        now = asyncio.get_running_loop().time()
        allowed = {}
        for name, entry in self.entries.items():
            for target in self.targets:
                holder = entry.holder
                if holder.owns(target, now) and holder.may_send_orders(now):
                    allowed.setdefault(target, []).append(name)
        return allowed

    def served(self):
        now = asyncio.get_running_loop().time()
        return {
            target
            for target in self.targets
            for entry in self.entries.values()
            if entry.holder.owns(target, now)
        }

    def revisions(self):
        """Returns the revision by Hello, which has the incarnation."""
        return {
            p.hello: p.state.revision
            for p in (*self.entries.values(), *self.controls.values())
        }

    async def run_for(self, duration_s):
        """Lets time pass and checks the invariants.

        At most one leader may order, at most one owner of each target may
        order, and no revision decreases.
        """
        loop = asyncio.get_running_loop()
        end, before = loop.time() + duration_s, self.revisions()
        while loop.time() < end - 1e-6:
            await asyncio.sleep(min(0.1, end - loop.time()))
            self.leader()
            for target, names in self.instances_that_may_order().items():
                assert len(names) == 1, f"{target} has owners {names}"
            after = self.revisions()
            for process, revision in before.items():
                assert after.get(process, revision) >= revision
            before = after
            for control in self.controls.values():
                assert not control.failed.is_set()

    async def run_until(self, condition, limit_s):
        """Lets time pass until a condition holds; returns the seconds."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        while not condition():
            assert loop.time() - start < limit_s, "condition not met in time"
            await self.run_for(0.1)
        return loop.time() - start

    async def change(self, number, count=1):
        """Writes configuration documents; returns the last revision."""
        for n in range(count):
            key = (
                f"{configurationrelay.CONFIGURATION_PREFIX}"
                f"accounts/a{(number + n) % 100}"
            )
            value = b"%d" % (number + n)
            result = await self.service.transact([], [keyvalue.Put(key, value)])
        return result.revision

    async def stored(self, name):
        key = f"/carobsail/dc/{self.dc}/{name}"
        result = await self.service.range(key)
        return [msgspec.json.decode(v.value) for v in result.values][:1]

    def in_force(self, revision):
        """Tells whether every process has applied the revision."""
        return all(r >= revision for r in self.revisions().values())

    async def close(self):
        for name in list(self.controls):
            await self.kill_control(name)
        for name in list(self.entries):
            await self.kill_entry(name)


async def start_centre(count=3, settle_s=10.0, **options):
    """Returns a data centre with a leader and owners of all targets."""
    centre = SimulatedDataCentre(keyvalue.MemoryKeyValue(), **options)
    for n in range(count):
        centre.add(f"i{n}")
    await centre.run_for(settle_s)
    return centre
