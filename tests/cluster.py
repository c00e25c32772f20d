"""Runs processes of several data centres in one event loop, in memory."""

import asyncio
import collections
import json
import logging
import random

import builders_config
import builders_coordination as build
import msgspec
from cluster_links import FaultyLink, KeyValueLink
from cluster_targets import (
    BOOKING_PATH,
    CHAT_PATH,
    MODELS,
    OTHER_MODELS,
    CallerConnection,
    Target,
    build_failure,
)

from carobsail import (
    calllimiter,
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
    planninground,
    targetclients,
    telemetry,
)

# A broken connection is detected by missing keep-alives after this time.
KEEP_ALIVE_TIMEOUT_S = 2.0
SECRETS = [b"a secret of sixteen bytes"]


class Clients(targetclients.TargetClients):
    """Clients of the fake targets, which all processes share."""

    def __init__(self, targets):
        self.targets = targets

    def engine(self, target):
        return self.targets[target.name]

    def client_of(self, target):
        fake = self.targets[target.name]
        engine = target.kind is inventory.Kind.ENGINE
        return ownedtargets.EngineTargetClient(fake) if engine else fake

    def close(self):
        pass  # The fakes have no connections.


class Cluster:
    """Instances, targets, the key-value service and callers."""

    def __init__(
        self, seed=1, centres="ab", policy="demand_aware", engine_mb=3600
    ):
        self.rng, self.policy, self.engine_mb = (
            random.Random(seed),
            policy,
            engine_mb,
        )
        self.models_in_use = set(MODELS)
        self.service = keyvalue.MemoryKeyValue()
        self.network = peers.MemoryNetwork()
        self.centres, self.engines, self.duplicating = centres, [], False
        self.executions, self.calls = collections.Counter(), []
        self.entries, self.controls = {}, {}
        self.pausable_processes, self.key_value_links, self.states = {}, {}, {}
        self.all_pausable_processes = []
        self.partitioned, self.incarnation, self.last_numbers = set(), 0, {}
        self.documents, self.inventory_lag_s = [], 0.5
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
            name, kind, dc, name, pool, self.engine_mb, 100, 300, slots=8,
            checks_fencing=name.endswith("0"),
        )  # fmt: skip
        self.targets[name] = Target(listed, self)

    def publish(self):
        """Publishes the inventory; processes see it `inventory_lag_s` later."""
        platform_inventory = inventory.Inventory(
            len(self.documents) + 1,
            self.regions,
            [
                inventory.Instance(n, n[0] if n[0] in self.centres else n[1],
                                   f"{n}/entry", f"{n}/control", state)
                for n, state in sorted(self.states.items())
            ],
            [f.target for f in self.targets.values() if f.listed],
            [inventory.Model(m, "pool", 1000) for m in MODELS + OTHER_MODELS],
            [],
            inventory.WeightStore("region-a"),
        )  # fmt: skip
        at = asyncio.get_running_loop().time() + self.inventory_lag_s
        self.documents.append((at, msgspec.json.encode(platform_inventory)))

    def listed(self):
        return inventory.parse(self.documents[-1][1])

    async def fetch(self):
        await asyncio.sleep(0.001)
        now = asyncio.get_running_loop().time()
        old = [d for at, d in self.documents if at <= now]
        return (old or [self.documents[0][1]])[-1]

    async def configure(self, expected_version=None, copies=1, **parameters):
        """Changes the configuration of the account as an operator does."""
        template = builders_config.template_document()
        template["account"]["copies"] = copies
        template["account"]["operations"] = [
            {"path": CHAT_PATH, "due_ms": {"$param": "due_ms"}},
            {"path": BOOKING_PATH, "service": "desk", "idempotent": False,
             "key_required": True, "due_ms": {"$param": "due_ms"}},
        ]  # fmt: skip
        chosen = {"models": MODELS, "due_ms": 20000} | parameters
        plain = builders_config.encode_documents(
            template, builders_config.account_document("v", parameters=chosen)
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
            expected_version,
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
        self.key_value_links.setdefault(name, KeyValueLink(self.service))
        for role in roles or ("entry", "control"):
            process = self.pausable_processes[f"{name}/{role}"] = (
                build.PausableProcess()
            )
            self.all_pausable_processes.append(process)
            process.run(self._start, name, role)

    def _start(self, name, role):
        self.incarnation += 1
        hello = messages.Hello(
            1, 1, name, self.centre_of(name), self.incarnation, role
        )
        connect = self._connector(hello)
        rng = random.Random(self.rng.random())
        key_value = calllimiter.CallLimiter(self.key_value_links[name], 50.0)
        if role == "control":
            process = self.controls[name] = controller.Controller(
                hello, key_value, self.fetch, connect, rng,
                planner.DataCentrePlanner(
                    hello.data_centre, planninground.Weights(
                        late_response_cost=1.0, load_cost=10.0
                    ),
                    self.policy,
                ),
                control._PolicyRenderer(),
            )  # fmt: skip
        else:
            process = self.entries[name] = entryinstance.EntryInstance(
                entryparts.Dependencies(
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
            if len(ends) > 1 and ends & self.partitioned:
                return build_failure(
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
        self.partitioned.add(dc)
        for link in self.network.links:
            ends = {end.data_centre for end in self._ends(link)}
            if len(ends) > 1 and dc in ends:
                link.drop = True
                asyncio.get_running_loop().call_later(
                    KEEP_ALIVE_TIMEOUT_S, link.cut
                )
        self.set_service_reachable(dc, not from_service)

    def set_service_reachable(self, dc, reachable):
        for name, key_value_link in self.key_value_links.items():
            if self.centre_of(name) == dc:
                key_value_link.cut = not reachable

    def heal(self, dc):
        self.partitioned.discard(dc)
        self.set_service_reachable(dc, True)

    def kill(self, name, *roles):
        """Kills processes; what they have sent still arrives."""
        for role in roles or ("entry", "control"):
            self.pausable_processes[f"{name}/{role}"].pause()
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
        """Starts those processes of an instance that are not running."""
        for role in ("entry", "control"):
            table = self.entries if role == "entry" else self.controls
            if name not in table:
                self.add(name, role)

    async def stop_gracefully(self, name):
        """Stops an instance gracefully; returns once it has ended."""
        entry, process = self.entries[name], self.controls[name]
        await entry.announce_stop()
        for call in [c for c in self.calls if c.instance == name]:
            await call.done.wait()
        await entry.stop()
        await process.stop()
        if self.entries.get(name) is entry:
            self.kill(name)

    def call(self, instance, body, key=""):
        """Sends a caller's request to an instance."""
        call = CallerConnection(instance, json.dumps(body).encode(), key)
        self.calls.append(call)
        headers = [("authorization", "Bearer v-counter-1")]
        headers += [("idempotency-key", key)] if key else []
        path = BOOKING_PATH if "booking" in body else CHAT_PATH
        request = httpserver.Request(
            "POST", path, "", headers, call.body, "caller"
        )
        handle = self.entries[instance].gateway.handle
        process = self.pausable_processes[f"{instance}/entry"]
        process.run(asyncio.create_task, handle(request, call))
        return call

    def owner(self, target):
        """Returns the live instance that sends requests to a target."""
        for name, entry in self.entries.items():
            runner = entry.dispatcher.runners.get(target)
            if runner is not None and runner.owned:
                return name
        raise AssertionError(f"{target} has no owner")

    def engines_with(self, model):
        return [n for n, t in self.targets.items() if model in t.models]

    async def run(self, duration_s):
        """Lets time pass and checks the invariants meanwhile."""
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        while loop.time() < end - 1e-6:
            # The effect of a duplicate message may be corrected within 0.1 s.
            step_s = 0.02 if self.duplicating else 0.25
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
            before = self.last_numbers.get(process.hello, numbers)
            assert all(a >= b for a, b in zip(numbers, before, strict=True))
            self.last_numbers[process.hello] = numbers

    def check_responses(self):
        """Checks R3 and R4 for all calls, which must have ended."""
        ran = {c.body for c in self.calls if c.outcome != "not_run"}
        for call in self.calls:
            assert call.done.is_set(), (call.instance, call.body)
            call.check()
            if call.body not in ran:
                assert not self.executions[call.body], call.body

    async def close(self):
        for process in self.all_pausable_processes:
            process.resume()
        for _ in range(5):
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            if tasks:
                await asyncio.wait(tasks, timeout=1.0)


def new_runner():
    return asyncio.Runner(loop_factory=build.new_loop)
