"""Program `carobsail-standin`: stand-ins for the outside systems.

For demos and tests. One process runs all stand-ins of a description (JSON with
comments): each engine and service of its inventory at the address given there,
the weight store, the key-value service and the inventory itself.
"""

import asyncio
import signal
from typing import Annotated, Protocol

import fire
import msgspec

from carobsail import (
    inventory,
    settings,
    standin_engine,
    standin_keyvalue,
    standin_platform,
    standin_service,
)


class Standin(Protocol):
    """Common interface of all stand-ins with an address."""

    address: str

    async def start(self, host: str, port: int = 0) -> None:
        """Starts listening."""

    async def stop(self) -> None:
        """Cuts all connections and stops listening."""


Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class Description(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Description of the stand-ins to run.

    Attributes:
      inventory: Inventory with the addresses of all targets.
      host: Address of the key-value service and the inventory.
      keyvalue_port: Port of the key-value service.
      inventory_port: Port of the inventory.
      inventory_lag_s: Seconds from the publication of an inventory until it is
        served.
      resident: Models that are resident from the start, by engine.
      service_latency_s: Seconds that a service takes for a call.
    """

    inventory: inventory.Inventory
    host: str = "127.0.0.1"
    keyvalue_port: Port = 2379
    inventory_port: Port = 2380
    inventory_lag_s: float = 0.0
    resident: dict[str, list[str]] = {}
    service_latency_s: float = 0.01

    def __post_init__(self) -> None:
        """Checks the addresses of the targets.

        Raises:
          ValueError: An address is malformed.
        """
        for target in self.inventory.targets:
            settings.parse_address(target.address)


async def start(description: Description) -> dict[str, Standin]:
    """Starts all stand-ins.

    Returns:
      The stand-ins by target name, `key-value` and `inventory`.
    """
    platform_inventory = description.inventory
    store = standin_platform.WeightStoreStandin(platform_inventory.weight_store)
    running: dict[str, Standin] = {}
    for target in platform_inventory.targets:
        standin = _create_target(description, target, store)
        host, _, port = target.address.rpartition(":")
        await standin.start(host, int(port))
        running[target.name] = standin
    keyvalue = standin_keyvalue.KeyValueStandin()
    await keyvalue.start(description.host, description.keyvalue_port)
    platform = standin_platform.InventoryStandin(
        msgspec.json.encode(platform_inventory), description.inventory_lag_s
    )
    await platform.start(description.host, description.inventory_port)
    return running | {"key-value": keyvalue, "inventory": platform}


def _create_target(
    description: Description,
    target: inventory.Target,
    store: standin_platform.WeightStoreStandin,
) -> Standin:
    if target.kind is inventory.Kind.SERVICE:
        return standin_service.ServiceStandin(description.service_latency_s)
    engine = standin_engine.EngineStandin(
        target,
        description.inventory.models,
        description.inventory.adapters,
        store,
    )
    for model in description.resident.get(target.name, []):
        engine.memory.make_resident(model)
    return engine


async def _run(description: Description) -> None:
    running = await start(description)
    for name, standin in running.items():
        print(f"standin={name} address={standin.address}", flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    for standin in running.values():
        await standin.stop()


def run(description: str) -> None:
    """Runs the stand-ins of a description until a signal arrives.

    Args:
      description: Path of the description file.
    """
    try:
        loaded = settings.load(description, Description)
    except settings.SettingsError as error:
        raise SystemExit(str(error)) from error
    asyncio.run(_run(loaded))


def main() -> None:
    """Entry point of `carobsail-standin`."""
    fire.Fire(run)


if __name__ == "__main__":
    main()
