"""A complete deployment in one process on loopback, with stand-ins.

Used by the demo and by tests that need real connections. Links between
regions have the latency and bandwidth that the inventory gives.
"""

import asyncio
import dataclasses
import itertools
import os
import socket
from collections.abc import Callable

import msgspec

from carobsail import (
    control,
    deployments,
    entry,
    etcd,
    inventory,
    links,
    simulatedlinks,
    standin,
    standin_engine,
    standin_keyvalue,
    standin_platform,
    standin_service,
)

HOST = "127.0.0.1"
PEER_SECRET = "demo-peer-secret"
READY_TIMEOUT_S = 20.0
PORT_RANGE = (20_000, 32_000)


class FreePorts(deployments.PortSource):
    """Provides ports that are free at the time of the call.

    They lie below the ephemeral port range: an outgoing connection could
    otherwise take a port before its server listens.
    """

    __slots__ = ()

    _candidates = itertools.cycle(range(*PORT_RANGE))
    # Processes that start at the same time begin at different ports.
    for _ in range(os.getpid() * 131 % (PORT_RANGE[1] - PORT_RANGE[0])):
        next(_candidates)

    def __call__(self) -> int:
        """Returns a free port.

        Raises:
          OSError: No port of the range is free.
        """
        for port in itertools.islice(
            self._candidates, PORT_RANGE[1] - PORT_RANGE[0]
        ):
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
                return port
        raise OSError(f"no free port from {PORT_RANGE[0]} on")


@dataclasses.dataclass(slots=True)
class RunningInstance:
    """The entry and the control process of one instance.

    Attributes:
      inventory_entry: The instance's entry in the inventory.
      caller_address: `host:port` of the callers' port.
      operator_address: `host:port` of the entry's operator port.
      entry: Entry process.
      control: Control process.
    """

    inventory_entry: inventory.Instance
    caller_address: str
    operator_address: str
    entry: entry.EntryServers
    control: control.RunningControlProcess


class LocalDeployment:
    """Stand-ins, control processes and entry processes.

    Attributes:
      platform_inventory: The platform's inventory, as published last.
      standins: Stand-ins by target name, `key-value` and `inventory`.
      instances: Running instances by name.
      region_link: The link between regions, shared by both directions.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        resident: dict[str, list[str]] | None = None,
    ) -> None:
        """Creates a deployment that has not been started.

        Args:
          deployment: Its sizes.
          resident: Models that are resident from the start, by engine.
        """
        ports = FreePorts()
        self.platform_inventory = deployment.build_inventory(ports)
        self._description = standin.Description(
            self.platform_inventory,
            HOST,
            keyvalue_port=ports(),
            inventory_port=ports(),
            resident=resident or {},
        )
        self.standins: dict[str, standin.Standin] = {}
        self.instances: dict[str, RunningInstance] = {}
        bytes_per_s = self.platform_inventory.region_link_mbit_per_s * 1e6 / 8
        latency_s = self.platform_inventory.region_latency_ms / 1000
        self.region_link = simulatedlinks.RegionLink(latency_s, bytes_per_s)
        self._clients: list[etcd.EtcdClient] = []

    async def __aenter__(self) -> "LocalDeployment":
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    @property
    def keyvalue_address(self) -> str:
        """`host:port` of the key-value stand-in."""
        return self.standins["key-value"].address

    def keyvalue(self) -> standin_keyvalue.KeyValueStandin:
        """Returns the key-value stand-in."""
        found = self.standins["key-value"]
        assert isinstance(found, standin_keyvalue.KeyValueStandin)
        return found

    def engine(self, name: str) -> standin_engine.EngineStandin:
        """Returns an engine stand-in."""
        found = self.standins[name]
        assert isinstance(found, standin_engine.EngineStandin)
        return found

    def engines(self) -> list[standin_engine.EngineStandin]:
        """Returns all engine stand-ins."""
        standins = self.standins.values()
        return [
            s for s in standins if isinstance(s, standin_engine.EngineStandin)
        ]

    def service(self, name: str) -> standin_service.ServiceStandin:
        """Returns a service stand-in."""
        found = self.standins[name]
        assert isinstance(found, standin_service.ServiceStandin)
        return found

    def inventory_standin(self) -> standin_platform.InventoryStandin:
        """Returns the stand-in of the platform's inventory."""
        found = self.standins["inventory"]
        assert isinstance(found, standin_platform.InventoryStandin)
        return found

    def publish(self, platform_inventory: inventory.Inventory) -> None:
        """Publishes a changed inventory."""
        self.platform_inventory = platform_inventory
        self.inventory_standin().publish(
            msgspec.json.encode(platform_inventory)
        )

    async def start(self) -> None:
        """Starts everything."""
        self.standins = await standin.start(self._description)
        for instance in self.platform_inventory.instances:
            await self.start_instance(instance)

    async def start_instance(self, instance: inventory.Instance) -> None:
        """Starts both processes of an instance."""
        ports = FreePorts()
        caller_address, operator_address = (
            f"{HOST}:{ports()}",
            f"{HOST}:{ports()}",
        )
        client = etcd.EtcdClient(self.keyvalue_address)
        self._clients.append(client)
        control_servers = await control.start(
            control.ControlSettings(
                instance=instance.name,
                data_centre=instance.data_centre,
                peer_listen=instance.control_peer,
                operator_listen=f"{HOST}:{ports()}",
                key_value_url=f"http://{self.keyvalue_address}",
                inventory_url=self.inventory_standin().url,
                peer_secrets=[PEER_SECRET],
            ),
            client,
        )
        entry_servers = await entry.start(
            entry.EntrySettings(
                instance=instance.name,
                data_centre=instance.data_centre,
                caller_listen=caller_address,
                peer_listen=instance.entry_peer,
                operator_listen=operator_address,
                key_value_url=f"http://{self.keyvalue_address}",
                peer_secrets=[PEER_SECRET],
            ),
            client,
            self._link_wrapper(instance.data_centre),
        )
        self.instances[instance.name] = RunningInstance(
            instance,
            caller_address,
            operator_address,
            entry_servers,
            control_servers,
        )

    def _link_wrapper(self, data_centre: str) -> entry.LinkWrapper:
        """Returns the function that delays links to other regions."""

        def wrap(link: links.Link) -> links.Link:
            if self.platform_inventory.same_region(
                data_centre, link.peer.data_centre
            ):
                return link
            return simulatedlinks.DelayedLink(link, self.region_link)

        return wrap

    async def stop_instance(self, name: str) -> None:
        """Stops both processes of an instance gracefully."""
        running = self.instances.pop(name)
        await running.entry.stop()
        await running.control.stop()

    async def kill_instance(self, name: str) -> None:
        """Ends both processes of an instance immediately."""
        running = self.instances.pop(name)
        await running.entry.kill()
        await running.control.kill()

    async def stop(self) -> None:
        """Ends everything immediately."""
        for name in list(self.instances):
            await self.kill_instance(name)
        for running in self.standins.values():
            await running.stop()
        for client in self._clients:
            client.close()

    async def wait_until_ready(self) -> float:
        """Waits until every entry process is ready.

        Returns:
          Seconds waited.

        Raises:
          TimeoutError: An entry process is not ready after 20 s.
        """
        return await self.wait_for(
            lambda: all(
                r.entry.instance.gateway.ready for r in self.instances.values()
            )
        )

    async def wait_for(
        self, holds: Callable[[], bool], timeout_s: float = READY_TIMEOUT_S
    ) -> float:
        """Waits until a condition holds; returns the seconds waited."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        async with asyncio.timeout(timeout_s):
            while not holds():  # noqa: ASYNC110  # No event tells.
                await asyncio.sleep(0.02)
        return loop.time() - started
