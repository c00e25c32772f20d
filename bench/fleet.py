"""Builds inventories and configuration documents.

Their size is that of requirement R17.
"""

from collections.abc import Callable, Sequence

import msgspec

from bench import configuration as accounts
from carobsail import inventory

DATA_CENTRES = 24
REGIONS = 10
TARGETS = 12_000
MODELS = 210
ADAPTERS = 800
INSTANCES = 14
ACCOUNTS = 8000
MODELS_PER_ENGINE = 4
LOCAL_DATA_CENTRE = "centre-0"


def _placeholder_address() -> str:
    return "10.255.255.255:40000"


def build_inventory(
    instances: Sequence[inventory.Instance],
    engines: int,
    targets: int = TARGETS,
    address: Callable[[], str] = _placeholder_address,
) -> inventory.Inventory:
    """Builds an inventory whose first data centre is `LOCAL_DATA_CENTRE`.

    Instances of other data centres have the state `LEAVING`, so that nothing
    tries to connect to them.

    Args:
      instances: Instances of the first data centre.
      engines: Number of engines in the first data centre.
      targets: Number of engines in all data centres.
      address: Returns the address of the next engine of the first data centre.
    """
    centres = [f"centre-{n}" for n in range(DATA_CENTRES)]
    others = centres[1:]
    listed = [
        inventory.Instance(
            f"{centre}-instance-{n:02}",
            centre,
            "10.255.255.255:40001",
            "10.255.255.255:40002",
            inventory.State.LEAVING,
        )
        for centre in others
        for n in range(INSTANCES)
    ]
    found = [_engine(n, LOCAL_DATA_CENTRE, address()) for n in range(engines)]
    found += [
        _engine(n, others[n % len(others)], _placeholder_address())
        for n in range(engines, targets)
    ]
    return inventory.Inventory(
        1,
        {c: f"region-{n % REGIONS}" for n, c in enumerate(centres)},
        [*instances, *listed],
        found,
        [inventory.Model(f"model-{n}", "pool", 14_000) for n in range(MODELS)],
        [
            inventory.Adapter(f"adapter-{n}", f"model-{n % MODELS}", 100)
            for n in range(ADAPTERS)
        ],
        inventory.WeightStore("region-0"),
    )


def _engine(number: int, data_centre: str, address: str) -> inventory.Target:
    return inventory.Target(
        f"{data_centre}-engine-{number:05}",
        inventory.Kind.ENGINE,
        data_centre,
        address,
        "pool",
        80_000,
        4_000,
        8_000,
        number % 2 == 0,
    )


def resident_models(number: int) -> list[str]:
    """Returns the models that an engine holds from the start."""
    first = number * MODELS_PER_ENGINE
    return [f"model-{(first + n) % MODELS}" for n in range(MODELS_PER_ENGINE)]


def configuration_documents(count: int) -> dict[str, bytes]:
    """Returns configuration documents with a number of client accounts."""
    return accounts.build_documents(count, 20)


def encode_inventory(platform_inventory: inventory.Inventory) -> bytes:
    """Returns an inventory as the platform's JSON document."""
    return msgspec.json.encode(platform_inventory)


def changed_account(number: int, due_ms: int) -> bytes:
    """Returns the document of a client account with a given deadline."""
    return accounts.build_account(number, due_ms)
