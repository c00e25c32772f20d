"""Surroundings of a measured instance: stand-ins and the other instances.

Runs in processes of its own, so that the figures of the measured programs
contain nothing of it.
"""

import asyncio
import contextlib
import dataclasses
import functools
import multiprocessing
import multiprocessing.connection
import os
import socket
import threading
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

from bench import fleet
from carobsail import (
    control,
    entry,
    etcd,
    inventory,
    keyvalue,
    messages,
    peers,
    standin_engine,
    standin_keyvalue,
    standin_platform,
)
from tests import builders_coordination as build

HOST = "127.0.0.1"
SECRET = "bench-peer-secret"
MEASURED = "instance-00"
FIRST_PORT, MIDDLE_PORT, LAST_PORT = 10_000, 22_000, 32_000
START_TIMEOUT_S = 60.0
BATCH = 100  # etcd allows 128 operations in a transaction.

Pipe = multiprocessing.connection.Connection


@dataclasses.dataclass(slots=True, frozen=True)
class Sizes:
    """Sizes of a measured data centre.

    Attributes:
      instances: Instances, the measured one included.
      engines: Engines of the data centre.
      targets: Engines of all data centres.
      accounts: Client accounts.
      full: Whether the engines and the other instances are real processes'
        code; otherwise the other instances only hold grants and configuration
        and no engine runs.
    """

    instances: int
    engines: int
    targets: int = fleet.TARGETS
    accounts: int = fleet.ACCOUNTS
    full: bool = True


def _candidates(first: int, last: int) -> Iterator[int]:
    start = first + os.getpid() * 7919 % (last - first)
    while True:
        yield from range(start, last)
        yield from range(first, start)


_ports = _candidates(FIRST_PORT, MIDDLE_PORT)
_ports_lock = threading.Lock()


def free_ports(count: int) -> list[int]:
    """Returns ports that are free at the time of the call.

    They lie below the range from which connections get their ports, so that
    none of these takes one before the listener does. The processes of a world
    use a range of their own, because the first one's ports are not all bound
    when they start.
    """
    found: list[int] = []
    with _ports_lock:
        while len(found) < count:
            port = next(_ports)
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind((HOST, port))
                found.append(port)
    return found


class World:
    """Processes around one measured instance.

    Attributes:
      key_value_url: URL of the key-value stand-in.
      inventory_url: URL of the inventory stand-in.
      instance: The measured instance as listed.
    """

    def __init__(self, sizes: Sizes) -> None:
        """Starts the stand-ins; the other instances start with `start`."""
        self._sizes = sizes
        ports = free_ports(2 * sizes.instances + sizes.engines + 2)
        addresses = (f"{HOST}:{port}" for port in ports)
        self._listed = fleet.build_inventory(
            [
                inventory.Instance(
                    f"instance-{n:02}",
                    fleet.HERE,
                    next(addresses),
                    next(addresses),
                )
                for n in range(sizes.instances)
            ],
            sizes.engines,
            sizes.targets,
            functools.partial(next, addresses),
        )
        key_value, platform = next(addresses), next(addresses)
        self.instance = self._listed.instances[0]
        self.key_value_url = f"http://{key_value}"
        self.inventory_url = f"http://{platform}/inventory"
        self._running: list[tuple[Any, Pipe]] = []
        self._start(
            _run_platform, sizes.accounts, self._listed, key_value, platform
        )
        if sizes.full:
            self._start(_run_engines, self._listed, sizes.engines)

    def start(self) -> None:
        """Starts the other instances."""
        if self._sizes.instances > 1:
            run = _run_full if self._sizes.full else _run_light
            self._start(
                run, self._listed, self.key_value_url, self.inventory_url
            )

    def _start(self, run: Callable[..., None], *arguments: Any) -> None:
        context = multiprocessing.get_context("spawn")
        pipe, child = context.Pipe()
        process = context.Process(target=run, args=(child, *arguments))
        process.start()
        self._running.append((process, pipe))
        if not pipe.poll(START_TIMEOUT_S):
            raise TimeoutError(f"{run.__name__} did not start")
        pipe.recv()

    def stop(self) -> None:
        """Ends the processes."""
        for process, pipe in reversed(self._running):
            with contextlib.suppress(BrokenPipeError):
                pipe.send("stop")
            process.join(10.0)
            if process.is_alive():
                process.kill()
                process.join()


def _serve(pipe: Pipe, start: Callable[[], Awaitable[object]]) -> None:
    async def run() -> None:
        held = await start()
        stop = asyncio.Event()
        asyncio.get_running_loop().add_reader(pipe.fileno(), stop.set)
        pipe.send("started")
        await stop.wait()
        del held

    asyncio.run(run())


def _run_engines(pipe: Pipe, listed: inventory.Inventory, count: int) -> None:
    async def start() -> object:
        store = standin_platform.WeightStoreStandin(listed.weight_store)
        engines = []
        for number, target in enumerate(listed.targets[:count]):
            engine = standin_engine.EngineStandin(
                target, listed.models, listed.adapters, store
            )
            for model in fleet.resident_models(number):
                engine.memory.place(model)
            await engine.start(HOST, int(target.address.rpartition(":")[2]))
            engines.append(engine)
        return engines

    _serve(pipe, start)


def _run_platform(
    pipe: Pipe,
    accounts: int,
    listed: inventory.Inventory,
    key_value: str,
    platform: str,
) -> None:
    async def start() -> object:
        service = standin_keyvalue.KeyValueStandin()
        await service.start(HOST, int(key_value.rpartition(":")[2]))
        client = etcd.EtcdClient(key_value)
        documents = list(fleet.documents(accounts).items())
        for first in range(0, len(documents), BATCH):
            batch = documents[first : first + BATCH]
            result = await client.transact(
                [], [keyvalue.Put(key, value) for key, value in batch]
            )
            assert getattr(result, "succeeded", False), result
        client.close()
        inventories = standin_platform.InventoryStandin(fleet.document(listed))
        await inventories.start(HOST, int(platform.rpartition(":")[2]))
        return service, inventories

    _serve(pipe, start)


def _run_light(
    pipe: Pipe,
    listed: inventory.Inventory,
    key_value_url: str,
    inventory_url: str,
) -> None:
    del key_value_url, inventory_url  # Unused.

    async def start() -> object:
        held: list[object] = []
        number = 0
        for instance in _others(listed):
            for address, role in (
                (instance.entry_peer, "entry"),
                (instance.control_peer, "control"),
            ):
                number += 1
                hello = messages.Hello(
                    1, 1, instance.name, fleet.HERE, number, role
                )
                process = build.FakeEntryProcess(hello)
                port = int(address.rpartition(":")[2])
                held.append(
                    await peers.serve_peers(
                        HOST, port, hello, [SECRET.encode()], process.on_link
                    )
                )
                held.append(asyncio.create_task(process.send_heartbeats()))
        return held

    _serve(pipe, start)


def _run_full(
    pipe: Pipe,
    listed: inventory.Inventory,
    key_value_url: str,
    inventory_url: str,
) -> None:
    global _ports
    _ports = _candidates(MIDDLE_PORT, LAST_PORT)

    async def start() -> object:
        held: list[object] = []
        for instance in _others(listed):
            client = etcd.EtcdClient(key_value_url.removeprefix("http://"))
            settings = (
                entry_settings(instance, key_value_url),
                control_settings(instance, key_value_url, inventory_url),
            )
            held.append(await entry.start(settings[0], client))
            held.append(await control.start(settings[1], client))
        return held

    _serve(pipe, start)


def _others(listed: inventory.Inventory) -> list[inventory.Instance]:
    return [
        instance
        for instance in listed.instances
        if instance.data_centre == fleet.HERE and instance.name != MEASURED
    ]


def entry_settings(
    instance: inventory.Instance, key_value_url: str
) -> entry.EntrySettings:
    """Returns settings of an entry process on free ports."""
    callers, operators = free_ports(2)
    return entry.EntrySettings(
        instance=instance.name,
        data_centre=instance.data_centre,
        caller_listen=f"{HOST}:{callers}",
        peer_listen=instance.entry_peer,
        operator_listen=f"{HOST}:{operators}",
        key_value_url=key_value_url,
        peer_secrets=[SECRET],
    )


def control_settings(
    instance: inventory.Instance, key_value_url: str, inventory_url: str
) -> control.ControlSettings:
    """Returns settings of a control process on free ports."""
    (operators,) = free_ports(1)
    return control.ControlSettings(
        instance=instance.name,
        data_centre=instance.data_centre,
        peer_listen=instance.control_peer,
        operator_listen=f"{HOST}:{operators}",
        key_value_url=key_value_url,
        inventory_url=inventory_url,
        peer_secrets=[SECRET],
    )
