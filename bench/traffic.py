"""Counts control messages of a data centre by type, on virtual time.

Run with `python -m bench.traffic`. The real controllers and entry instances
communicate over in-memory links. Engines are in-memory stand-ins that are all
busy, so that the load of each one is reported. With each change of the
configuration, each instance counts `REQUESTS_PER_S` requests for random models
and accounts. The placement plan does not change. Bytes are those that a node
sends and receives: the encoded messages, and `OVERHEAD_BYTES` of headers for
each message. Messages between the two processes of a node are not counted.
"""

import asyncio
import collections
import dataclasses
import json
import logging
import random
import statistics
from typing import Any

import msgspec

from bench import fleet
from bench.coordination import OVERHEAD_BYTES
from carobsail import (
    configurationrelay,
    engines,
    entryinstance,
    entryparts,
    estimation,
    inventory,
    keyvalue,
    links,
    messages,
    ownedtargets,
    targetclients,
    targetrelay,
    telemetry,
)
from tests import builders_coordination as build
from tests import fake_engine

ENGINES_PER_INSTANCE = 36
SIZES = (2, 4, 8, 14, 28)
SETTLE_S = 30.0
MEASURE_S = 60.0
REQUESTS_IN_FLIGHT_PER_ENGINE = 8
REQUESTS_PER_S = 21  # For each instance: 7,100 over 330 nodes.
# For 78,000 configuration changes a day.
CHANGE_INTERVAL_S = 86_400 / 78_000

Row = dict[str, Any]
# Messages and bytes by node and message type.
Counts = dict[str, collections.Counter[str]]


class _Engine(fake_engine.FakeEngine):
    """Holds models and adapters from the start and has no cache events."""

    def __init__(self, target: inventory.Target) -> None:
        sizes = {f"model-{n}": 14_000 for n in range(fleet.MODELS)}
        super().__init__(target, sizes, set(), [])
        number = int(target.name.rpartition("-")[2])
        self.models = dict.fromkeys(fleet.resident_models(number), 14_000)
        self._adapters = {f"adapter-{number + n}": 100 for n in range(10)}

    async def report(self) -> Any:
        """See base class."""
        found = await super().report()
        return dataclasses.replace(
            found,
            adapters=self._adapters,
            running=REQUESTS_IN_FLIGHT_PER_ENGINE,
        )

    async def cache_events(self, *_: Any) -> Any:
        """See base class."""
        return []

    send = resume = cancel = fake_engine.FakeEngine._unused
    load_adapter = unload_adapter = fake_engine.FakeEngine._unused


class _InMemoryClients(targetclients.TargetClients):
    """Creates clients of in-memory engines."""

    def __init__(self) -> None:
        self._engines: dict[str, _Engine] = {}

    def engine(self, target: inventory.Target) -> engines.EngineClient:
        """See base class."""
        if target.name not in self._engines:
            self._engines[target.name] = _Engine(target)
        return self._engines[target.name]

    def client_of(self, target: inventory.Target) -> targetrelay.TargetClient:
        """See base class."""
        return ownedtargets.EngineTargetClient(self.engine(target))

    def close(self) -> None:
        """See base class; in-memory clients have no connections."""


class Centre(build.SimulatedDataCentre):
    """A data centre of real entry instances and controllers."""

    def document(self) -> bytes:
        """Returns the platform's inventory document."""
        instances = [
            inventory.Instance(name, self.dc, f"{name}:1", f"{name}:2", state)
            for name, state in sorted(self.states.items())
        ]
        count = len(self.targets)
        platform_inventory = fleet.build_inventory(instances, count, count)
        return fleet.encode_inventory(
            msgspec.structs.replace(platform_inventory, version=self.version)
        )

    def _start_entry(self, name: str) -> None:
        hello = self.hello(name, "entry")
        instance = entryinstance.EntryInstance(
            entryparts.Dependencies(
                hello,
                self.key_value_clients[name],
                self.network.connector(hello),
                _InMemoryClients(),
                [b"secret"],
                random.Random(self.rng.random()),
                lambda: 0.0,
                telemetry.Metrics(""),
                logging.getLogger(__name__),
            )
        )
        self.entries[name] = instance
        self.network.serve(f"{name}:1", hello, instance.on_link)
        self._heartbeat_tasks[name] = asyncio.create_task(asyncio.sleep(0))
        instance.start()

    async def kill_entry(self, name: str) -> Any:
        """Kills an entry instance."""
        self.network.stop(f"{name}:1")
        found = self.entries.pop(name)
        await found.kill()
        return found

    def count_requests(self) -> None:
        """Counts `REQUESTS_PER_S` random requests at each instance."""
        for instance in self.entries.values():
            for _ in range(REQUESTS_PER_S):
                model = f"model-{self.rng.randrange(fleet.MODELS)}"
                instance.reporter.model_demand.count(model, 480)
                account = f"account-{self.rng.randrange(fleet.ACCOUNTS)}"
                instance.reporter.account_demand.count(account, 0.0)

    def keep_busy(self) -> int:
        """Adds work to each engine; returns the number of owned engines."""
        owned = 0
        for instance in self.entries.values():
            for runner in instance.dispatcher.runners.values():
                owned += 1
                for n in range(REQUESTS_IN_FLIGHT_PER_ENGINE):
                    work = estimation.Work(400 + n, 1e6)
                    runner.work.add(f"busy-{n}", work)
        return owned


class _LinkMeter:
    """Counts messages on links and their bytes by node and message type."""

    def __init__(self) -> None:
        self.messages: Counts = {}
        self.bytes: Counts = {}
        self._sizes: dict[int, tuple[messages.Message, int]] = {}
        self._try_send = links.MemoryLink.try_send

    def __enter__(self) -> "_LinkMeter":
        meter = self
        try_send = self._try_send

        def counting_try_send(
            link: links.MemoryLink, message: messages.Message
        ) -> bool:
            meter.count(link, message)
            return try_send(link, message)

        links.MemoryLink.try_send = counting_try_send  # type: ignore[method-assign]
        return self

    def __exit__(self, *_: object) -> None:
        links.MemoryLink.try_send = self._try_send  # type: ignore[method-assign]

    def count(self, link: links.MemoryLink, message: messages.Message) -> None:
        """Counts a message at its sender and at its receiver."""
        sender, receiver = link._other.peer, link.peer
        if sender.instance == receiver.instance:
            return
        cached = self._sizes.get(id(message))
        if cached is None or cached[0] is not message:
            cached = message, len(messages.encode(message))
            self._sizes[id(message)] = cached
        kind = type(message).__name__
        if kind == "Heartbeat" and sender.role == receiver.role == "entry":
            kind = "Heartbeat between entries"
        for name in (sender.instance, receiver.instance):
            size = cached[1] + OVERHEAD_BYTES
            self.messages.setdefault(name, collections.Counter())[kind] += 1
            self.bytes.setdefault(name, collections.Counter())[kind] += size


async def _measure(size: int, per_instance: int, seed: int) -> list[Row]:
    service = keyvalue.MemoryKeyValue()
    for key, value in fleet.configuration_documents(100).items():
        await service.transact([], [keyvalue.Put(key, value)])
    centre = Centre(
        service,
        seed=seed,
        targets=size * per_instance,
        dc=fleet.LOCAL_DATA_CENTRE,
    )
    for number in range(size):
        centre.add(f"instance-{number:02}")
    await asyncio.sleep(SETTLE_S)
    owned = centre.keep_busy()
    assert owned == size * per_instance, owned
    leader = centre.leader()
    service.calls.clear()
    loop = asyncio.get_running_loop()
    with _LinkMeter() as meter:
        end, number = loop.time() + MEASURE_S, 0
        while loop.time() < end:
            number += 1
            key = (
                f"{configurationrelay.CONFIGURATION_PREFIX}"
                f"accounts/account-{number % 100}"
            )
            value = fleet.changed_account(number % 100, 900 + number)
            await service.transact([], [keyvalue.Put(key, value)])
            centre.count_requests()
            await asyncio.sleep(CHANGE_INTERVAL_S)
    calls = sum(service.calls.values()) - number
    rows = _rows(meter, leader, size, owned)
    rows[0]["key_value_calls_per_s"] = round(calls / MEASURE_S, 2)
    await centre.close()
    return rows


def _rows(meter: _LinkMeter, leader: str, size: int, owned: int) -> list[Row]:
    kinds = sorted({k for found in meter.bytes.values() for k in found})
    others = [name for name in meter.bytes if name != leader]
    rows = []
    for kind in ["all", *kinds]:
        row: Row = {"instances": size, "engines": owned, "message": kind}
        for quantity, counts in (
            ("messages", meter.messages),
            ("bytes", meter.bytes),
        ):
            at = {
                name: (found.total() if kind == "all" else found[kind])
                / MEASURE_S
                for name, found in counts.items()
            }
            row[f"leader_node_{quantity}_per_s"] = round(at[leader], 2)
            row[f"other_node_{quantity}_per_s"] = round(
                statistics.mean(at[name] for name in others), 2
            )
        rows.append(row)
    return rows


def measure(
    size: int, per_instance: int = ENGINES_PER_INSTANCE, seed: int = 1
) -> list[Row]:
    """Measures a data centre of a size; the first row is the total."""
    rows: list[Row] = build.run_virtual(_measure(size, per_instance, seed))
    return rows


def run(seed: int) -> list[Row]:
    """Measures all sizes."""
    return [row for size in SIZES for row in measure(size, seed=seed)]


if __name__ == "__main__":
    for row in run(1):
        print(json.dumps(row))
