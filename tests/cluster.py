"""Data centres in one loop: real processes over in-memory interfaces."""

import asyncio
import collections
import json
import logging
import random

import builders_config
import builders_coordination as build
import msgspec
from cluster_links import FaultyLink, Wire
from cluster_targets import BOOK, CHAT, MODELS, OTHERS, Call, Target, lost

from carobsail import (
    callmeter,
    clients,
    configuration,
    control,
    controller,
    entryinstance,
    entryparts,
    errors,
    httpserver,
    inventory,
    keyvalue,
    messages,
    operations,
    ownedtargets,
    peers,
    planner,
    planning,
    telemetry,
)

# A dead connection is noticed by missing keep-alives.
KEEP_ALIVE_S = 2.0
SECRETS = [b"a secret of sixteen bytes"]


class Clients(clients.Clients):
    """All processes share the fake targets."""

    def __init__(self, targets):
        self.targets = targets

    def engine(self, target):
        return self.targets[target.name]

    def sender(self, target):
        fake = self.targets[target.name]
        engine = target.kind is inventory.Kind.ENGINE
        return ownedtargets.EngineSender(fake) if engine else fake


class Cluster:
    """Instances, targets, the platform and callers."""

    def __init__(self, seed=1, centres="ab", policy="demand_aware", mb=3600):
        self.rng, self.policy, self.mb = random.Random(seed), policy, mb
        self.used = set(MODELS)
        self.service = keyvalue.MemoryKeyValue()
        self.network = peers.MemoryNetwork()
        self.centres, self.engines, self.doubling = centres, [], False
        self.executions, self.calls = collections.Counter(), []
        self.entries, self.controls = {}, {}
        self.gates, self.wires, self.states = {}, {}, {}
        self.all_gates = []
        self.split, self.incarnation, self.seen = set(), 0, {}
        self.documents, self.lag_s = [], 0.5
        self.targets, self.regions = {}, {c: f"region-{c}" for c in centres}
        kinds = inventory.Kind
        for dc in centres:
            for n in range(3):
                self._add_target(f"{dc}-e{n}", dc, kinds.ENGINE, "pool")
            for n in range(2):
                self._add_target(f"{dc}-desk{n}", dc, kinds.SERVICE, "desk")
        self.names = [f"{dc}{n}" for dc in centres for n in range(3)]

    def _add_target(self, name, dc, kind, pool):
        listed = inventory.Target(
            name, kind, dc, name, pool, self.mb, 100, 300, slots=8,
            checks_fencing=name.endswith("0"),
        )  # fmt: skip
        self.targets[name] = Target(listed, self)

    def publish(self):
        """Publishes the inventory, which processes see `lag_s` later."""
        listed = inventory.Inventory(
            len(self.documents) + 1,
            self.regions,
            [
                inventory.Instance(n, n[0] if n[0] in self.centres else n[1],
                                   f"{n}/entry", f"{n}/control", state)
                for n, state in sorted(self.states.items())
            ],
            [f.target for f in self.targets.values() if f.listed],
            [inventory.Model(m, "pool", 1000) for m in MODELS + OTHERS],
            [],
            inventory.WeightStore("region-a"),
        )  # fmt: skip
        at = asyncio.get_running_loop().time() + self.lag_s
        self.documents.append((at, msgspec.json.encode(listed)))

    def listed(self):
        return inventory.parse(self.documents[-1][1])

    async def fetch(self):
        await asyncio.sleep(0.001)
        now = asyncio.get_running_loop().time()
        old = [d for at, d in self.documents if at <= now]
        return (old or [self.documents[0][1]])[-1]

    async def configure(self, seen=None, copies=1, **parameters):
        """Changes the account as an operator does."""
        template = builders_config.template()
        template["account"]["copies"] = copies
        template["account"]["operations"] = [
            {"path": CHAT, "due_ms": {"$param": "due_ms"}},
            {"path": BOOK, "service": "desk", "idempotent": False,
             "key_required": True, "due_ms": {"$param": "due_ms"}},
        ]  # fmt: skip
        chosen = {"models": MODELS, "due_ms": 20000} | parameters
        plain = builders_config.documents(
            template, builders_config.account("v", parameters=chosen)
        )
        documents = {
            key: configuration.parse_document(value, key)
            for key, value in plain.items()
        }
        change = f"change-{self.rng.random()}"
        return await operations.apply(
            self.service,
            documents,
            configuration.Metadata(change, "operator"),
            seen,
            self.listed(),
        )

    async def start(self, copies=1, settle_s=15):
        for name in self.names:
            self.states[name] = inventory.State.LIVE
        self.publish()
        await self.configure(copies=copies)
        for name in self.names:
            self.add(name)
        await self.run(settle_s)

    def centre_of(self, name):
        return name.removeprefix("n")[0]

    def add(self, name, *roles):
        self.wires.setdefault(name, Wire(self.service))
        for role in roles or ("entry", "control"):
            gate = self.gates[f"{name}/{role}"] = build.Gate()
            self.all_gates.append(gate)
            gate.run(self._start, name, role)

    def _start(self, name, role):
        self.incarnation += 1
        hello = messages.Hello(
            1, 1, name, self.centre_of(name), self.incarnation, role
        )
        connect = self._connector(hello)
        rng = random.Random(self.rng.random())
        key_value = callmeter.CallMeter(self.wires[name], 50.0)
        if role == "control":
            process = self.controls[name] = controller.Controller(
                hello, key_value, self.fetch, connect, rng,
                planner.DataCentrePlanner(
                    hello.data_centre, planning.Weights(late=1.0, load=10.0),
                    self.policy,
                ),
                control._Rendering(),
            )  # fmt: skip
        else:
            process = self.entries[name] = entryinstance.EntryInstance(
                entryparts.Surroundings(
                    hello, key_value, connect, Clients(self.targets), SECRETS,
                    rng, lambda: 1e9 + asyncio.get_running_loop().time(),
                    telemetry.Metrics(), logging.getLogger("test"),
                )
            )  # fmt: skip

        async def on_link(link):
            await process.on_link(FaultyLink(link, self))

        self.network.serve(f"{name}/{role}", hello, on_link)
        process.start()

    def _connector(self, hello):
        plain = self.network.connector(hello)

        async def connect(address):
            ends = {hello.data_centre, self.centre_of(address)}
            if len(ends) > 1 and ends & self.split:
                return lost(
                    errors.Reason.CONNECT_FAILED, errors.Outcome.NOT_RUN
                )
            link = await plain(address)
            failed = isinstance(link, errors.Failure)
            return link if failed else FaultyLink(link, self)

        return connect

    def _ends(self, link):
        return link.peer, link._other.peer

    def cut_off(self, dc, from_service=True):
        """Partitions a data centre; its links are closed a little later."""
        self.split.add(dc)
        for link in self.network.links:
            ends = {end.data_centre for end in self._ends(link)}
            if len(ends) > 1 and dc in ends:
                link.drop = True
                asyncio.get_running_loop().call_later(KEEP_ALIVE_S, link.cut)
        self.reach_service(dc, not from_service)

    def reach_service(self, dc, reachable):
        for name, wire in self.wires.items():
            if self.centre_of(name) == dc:
                wire.cut = not reachable

    def heal(self, dc):
        self.split.discard(dc)
        self.reach_service(dc, True)

    def kill(self, name, *roles):
        """Stops processes at once; what they had sent still arrives."""
        for role in roles or ("entry", "control"):
            self.gates[f"{name}/{role}"].pause()
            self.network.stop(f"{name}/{role}")
            table = self.entries if role == "entry" else self.controls
            process = table.pop(name, None)
            if process is None:
                continue
            for link in self.network.links:
                if process.hello in self._ends(link):
                    link.cut()
            if role == "entry":
                for call in self.calls:
                    if call.instance == name and not call.done.is_set():
                        call.abort()

    def revive(self, name):
        """Starts the processes of an instance that are gone."""
        for role in ("entry", "control"):
            table = self.entries if role == "entry" else self.controls
            if name not in table:
                self.add(name, role)

    async def leave(self, name):
        """Ends an instance as planned; returns once it is gone."""
        entry, process = self.entries[name], self.controls[name]
        await entry.leave()
        for call in [c for c in self.calls if c.instance == name]:
            await call.done.wait()
        await entry.stop()
        await process.stop()
        if self.entries.get(name) is entry:
            self.kill(name)

    def call(self, instance, body, key=""):
        """Sends a caller's request to an instance."""
        call = Call(instance, json.dumps(body).encode(), key)
        self.calls.append(call)
        headers = [("authorization", "Bearer v-counter-1")]
        headers += [("idempotency-key", key)] if key else []
        path = BOOK if "booking" in body else CHAT
        request = httpserver.Request(
            "POST", path, "", headers, call.body, "caller"
        )
        handle = self.entries[instance].gateway.handle
        gate = self.gates[f"{instance}/entry"]
        gate.run(asyncio.create_task, handle(request, call))
        return call

    def owner(self, target):
        """Returns the live instance that sends requests to a target."""
        for name, entry in self.entries.items():
            runner = entry.dispatcher.runners.get(target)
            if runner is not None and runner.owned:
                return name
        raise AssertionError(f"{target} has no owner")

    def holders(self, model):
        return [n for n, t in self.targets.items() if model in t.models]

    async def run(self, duration_s):
        """Runs and checks what must hold at every moment."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        while loop.time() < end - 1e-6:
            # A repeated message's effect may be corrected within 0.1 s.
            step_s = 0.02 if self.doubling else 0.25
            await asyncio.sleep(min(step_s, end - loop.time()))
            self.check()

    def check(self):
        for fake in self.targets.values():
            assert not fake.violations, (fake.target.name, fake.violations)
        for body, count in self.executions.items():
            assert b"booking" not in body or count == 1, body  # R5
        for process in (*self.entries.values(), *self.controls.values()):
            assert not process.failed.is_set()
            numbers = [process.state.revision]
            if process.hello.role == "entry":
                numbers += [process.grants.epoch, process.current.revision]
            before = self.seen.get(process.hello, numbers)
            assert all(a >= b for a, b in zip(numbers, before, strict=True))
            self.seen[process.hello] = numbers

    def check_answers(self):
        """Checks R3 and R4 for all calls, which must have ended."""
        ran = {c.body for c in self.calls if c.outcome != "not_run"}
        for call in self.calls:
            assert call.done.is_set(), (call.instance, call.body)
            call.check()
            if call.body not in ran:
                assert not self.executions[call.body], call.body

    async def close(self):
        for gate in self.all_gates:
            gate.wake()
        for _ in range(5):
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            if tasks:
                await asyncio.wait(tasks, timeout=1.0)


def new_runner():
    return asyncio.Runner(loop_factory=build.new_loop)
