"""Environment of a measured instance: stand-ins and the other instances.

It runs in separate processes, so that the figures of the measured programs do
not include its cost.
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
MEASURED_INSTANCE = "instance-00"
# The process of the other instances takes ports from a separate range.
PARENT_PORTS_START, CHILD_PORTS_START, PORTS_END = 10_000, 22_000, 32_000
START_TIMEOUT_S = 60.0
PUTS_PER_TRANSACTION = 100  # etcd allows at most 128 operations.

Pipe = multiprocessing.connection.Connection


@dataclasses.dataclass(slots=True, frozen=True)
class Sizes:
    """Sizes of a measured data centre.

    Attributes:
      instances: Number of instances, including the measured one.
      engines: Number of engines in the data centre.
      targets: Number of engines in all data centres.
      accounts: Number of client accounts.
      full: Whether engine stand-ins run and the other instances run the code
        of the real programs; otherwise no engine runs, and the other
        instances only accept grants and configuration.
    """

    instances: int
    engines: int
    targets: int = fleet.TARGETS
    accounts: int = fleet.ACCOUNTS
    full: bool = True


def _port_candidates(first: int, last: int) -> Iterator[int]:
    start = first + os.getpid() * 7919 % (last - first)
    while True:
        yield from range(start, last)
        yield from range(first, start)


_ports = _port_candidates(PARENT_PORTS_START, CHILD_PORTS_START)
_ports_lock = threading.Lock()


def free_ports(count: int) -> list[int]:
    """Returns ports that are free at the time of the call.

    They lie below the range of ephemeral ports, so that no outgoing connection
    takes one before its listener is bound. The process of the other instances
    uses a separate range, because the ports handed out by the parent process
    are not all bound when it starts.
    """
    found: list[int] = []
    with _ports_lock:
        while len(found) < count:
            port = next(_ports)
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind((HOST, port))
                found.append(port)
    return found


class Environment:
    """Processes that surround one measured instance.

    Attributes:
      key_value_url: URL of the key-value stand-in.
      inventory_url: URL of the inventory stand-in.
      instance: Inventory entry of the measured instance.
    """

    def __init__(self, sizes: Sizes) -> None:
        """Starts the stand-ins, but not yet the other instances."""
        self._sizes = sizes
        ports = free_ports(2 * sizes.instances + sizes.engines + 2)
        addresses = (f"{HOST}:{port}" for port in ports)
        self._inventory = fleet.build_inventory(
            [
                inventory.Instance(
                    f"instance-{n:02}",
                    fleet.LOCAL_DATA_CENTRE,
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
        self.instance = self._inventory.instances[0]
        self.key_value_url = f"http://{key_value}"
        self.inventory_url = f"http://{platform}/inventory"
        self._processes: list[tuple[Any, Pipe]] = []
        self._start(
            _run_platform, sizes.accounts, self._inventory, key_value, platform
        )
        if sizes.full:
            self._start(_run_engines, self._inventory, sizes.engines)

    def start(self) -> None:
        """Starts the other instances."""
        if self._sizes.instances > 1:
            run = _run_instances if self._sizes.full else _run_stub_instances
            self._start(
                run, self._inventory, self.key_value_url, self.inventory_url
            )

    def _start(self, run: Callable[..., None], *arguments: Any) -> None:
        context = multiprocessing.get_context("spawn")
        pipe, child = context.Pipe()
        process = context.Process(target=run, args=(child, *arguments))
        process.start()
        self._processes.append((process, pipe))
        if not pipe.poll(START_TIMEOUT_S):
            raise TimeoutError(f"{run.__name__} did not start")
        pipe.recv()

    def stop(self) -> None:
        """Stops all processes of the environment."""
        for process, pipe in reversed(self._processes):
            with contextlib.suppress(BrokenPipeError):
                pipe.send("stop")
            process.join(10.0)
            if process.is_alive():
                process.kill()
                process.join()


def _run_until_stopped(
    pipe: Pipe, start: Callable[[], Awaitable[object]]
) -> None:
    async def run() -> None:
        keep_alive = await start()
        stop = asyncio.Event()
        asyncio.get_running_loop().add_reader(pipe.fileno(), stop.set)
        pipe.send("started")
        await stop.wait()
        del keep_alive

    asyncio.run(run())


def _run_engines(
    pipe: Pipe, platform_inventory: inventory.Inventory, count: int
) -> None:
    async def start() -> object:
        store = standin_platform.WeightStoreStandin(
            platform_inventory.weight_store
        )
        engines = []
        for number, target in enumerate(platform_inventory.targets[:count]):
            engine = standin_engine.EngineStandin(
                target,
                platform_inventory.models,
                platform_inventory.adapters,
                store,
            )
            for model in fleet.resident_models(number):
                engine.memory.make_resident(model)
            await engine.start(HOST, int(target.address.rpartition(":")[2]))
            engines.append(engine)
        return engines

    _run_until_stopped(pipe, start)


def _run_platform(
    pipe: Pipe,
    accounts: int,
    platform_inventory: inventory.Inventory,
    key_value: str,
    platform: str,
) -> None:
    async def start() -> object:
        key_value_service = standin_keyvalue.KeyValueStandin()
        await key_value_service.start(HOST, int(key_value.rpartition(":")[2]))
        client = etcd.EtcdClient(key_value)
        documents = list(fleet.configuration_documents(accounts).items())
        for first in range(0, len(documents), PUTS_PER_TRANSACTION):
            batch = documents[first : first + PUTS_PER_TRANSACTION]
            result = await client.transact(
                [], [keyvalue.Put(key, value) for key, value in batch]
            )
            assert getattr(result, "succeeded", False), result
        client.close()
        inventory_service = standin_platform.InventoryStandin(
            fleet.encode_inventory(platform_inventory)
        )
        await inventory_service.start(HOST, int(platform.rpartition(":")[2]))
        return key_value_service, inventory_service

    _run_until_stopped(pipe, start)


def _run_stub_instances(
    pipe: Pipe,
    platform_inventory: inventory.Inventory,
    key_value_url: str,
    inventory_url: str,
) -> None:
    del key_value_url, inventory_url  # Unused.

    async def start() -> object:
        keep_alive: list[object] = []
        number = 0
        for instance in _other_instances(platform_inventory):
            for address, role in (
                (instance.entry_peer, "entry"),
                (instance.control_peer, "control"),
            ):
                number += 1
                hello = messages.Hello(
                    1, 1, instance.name, fleet.LOCAL_DATA_CENTRE, number, role
                )
                process = build.FakeEntryProcess(hello)
                port = int(address.rpartition(":")[2])
                keep_alive.append(
                    await peers.serve_peers(
                        HOST, port, hello, [SECRET.encode()], process.on_link
                    )
                )
                keep_alive.append(
                    asyncio.create_task(process.send_heartbeats())
                )
        return keep_alive

    _run_until_stopped(pipe, start)


def _run_instances(
    pipe: Pipe,
    platform_inventory: inventory.Inventory,
    key_value_url: str,
    inventory_url: str,
) -> None:
    global _ports
    _ports = _port_candidates(CHILD_PORTS_START, PORTS_END)

    async def start() -> object:
        keep_alive: list[object] = []
        for instance in _other_instances(platform_inventory):
            client = etcd.EtcdClient(key_value_url.removeprefix("http://"))
            settings = (
                entry_settings(instance, key_value_url),
                control_settings(instance, key_value_url, inventory_url),
            )
            keep_alive.append(await entry.start(settings[0], client))
            keep_alive.append(await control.start(settings[1], client))
        return keep_alive

    _run_until_stopped(pipe, start)


def _other_instances(
    platform_inventory: inventory.Inventory,
) -> list[inventory.Instance]:
    return [
        instance
        for instance in platform_inventory.instances
        if instance.data_centre == fleet.LOCAL_DATA_CENTRE
        and instance.name != MEASURED_INSTANCE
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
