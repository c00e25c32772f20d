"""Deployments of the users' current size, for demo, benchmarks and tests.

Figures of the two users: data centres, engines, models, adapters and limits
of the weight store (requirements R14 and R15), latencies and link between
regions (requirement R16).
"""

import dataclasses
import hashlib
import itertools

from carobsail import inventory

ACCESS_KEY = "demo-access-key"
_CAPACITY_MB = 80_000
_ADAPTER_POOL_MB = 4_000
_CACHE_FLOOR_MB = 8_000


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """Sizes of one user's deployment.

    Attributes:
      name: Name of the user.
      regions: Region of each data centre.
      pools: Number of engines by pool.
      models: Number of models.
      adapters: Number of adapters.
      adapter_ms: Shortest and longest load time of an adapter in milliseconds.
      services: Names of the plain services.
      store: Limits of the weight store.
      instances: Number of entry instances.
    """

    name: str
    regions: dict[str, str]
    pools: dict[str, int]
    models: int
    adapters: int
    adapter_ms: tuple[float, float]
    services: tuple[str, ...]
    store: inventory.WeightStore
    instances: int = 6

    @property
    def data_centres(self) -> list[str]:
        """Names of the data centres."""
        return list(self.regions)

    def build_inventory(
        self, ports: "PortSource", host: str = "127.0.0.1"
    ) -> inventory.Inventory:
        """Returns an inventory with all addresses on one host.

        Args:
          ports: Source of the port of each address.
          host: Host of all addresses.
        """
        return inventory.Inventory(
            version=1,
            regions=dict(self.regions),
            instances=self._instances(ports, host),
            targets=[
                *self._engines(ports, host),
                *self._services(ports, host),
            ],
            models=self._models(),
            adapters=self._adapters(),
            weight_store=self.store,
        )

    def _instances(
        self, ports: "PortSource", host: str
    ) -> list[inventory.Instance]:
        data_centres = itertools.cycle(self.data_centres)
        return [
            inventory.Instance(
                name=f"entry-{number}",
                data_centre=next(data_centres),
                entry_peer=f"{host}:{ports()}",
                control_peer=f"{host}:{ports()}",
            )
            for number in range(1, self.instances + 1)
        ]

    def _engines(
        self, ports: "PortSource", host: str
    ) -> list[inventory.Target]:
        data_centres = itertools.cycle(self.data_centres)
        return [
            inventory.Target(
                name=f"{pool}-engine-{number}",
                kind=inventory.Kind.ENGINE,
                data_centre=next(data_centres),
                address=f"{host}:{ports()}",
                pool=pool,
                capacity_mb=_CAPACITY_MB,
                adapter_pool_mb=_ADAPTER_POOL_MB,
                cache_floor_mb=_CACHE_FLOOR_MB,
                # Not all engines check fencing numbers.
                checks_fencing=number % 2 == 1,
            )
            for pool, count in self.pools.items()
            for number in range(1, count + 1)
        ]

    def _services(
        self, ports: "PortSource", host: str
    ) -> list[inventory.Target]:
        return [
            inventory.Target(
                name=f"{service}-1",
                kind=inventory.Kind.SERVICE,
                data_centre=centre,
                address=f"{host}:{ports()}",
                pool=service,
            )
            for service, centre in zip(
                self.services, self.data_centres, strict=False
            )
        ]

    def _models(self) -> list[inventory.Model]:
        pools = list(self.pools)
        engines = sum(self.pools.values())
        models = []
        for number in range(self.models):
            # Models are divided among the pools in proportion to the engines.
            in_first_pool = (
                number * engines < self.models * self.pools[pools[0]]
            )
            pool = pools[0] if in_first_pool else pools[1]
            models.append(
                inventory.Model(
                    name=f"{pool}-{number + 1}",
                    pool=pool,
                    weights_mb=(14_000, 8_000, 20_000)[number % 3],
                )
            )
        return models

    def _adapters(self) -> list[inventory.Adapter]:
        models = self._models()
        low, high = self.adapter_ms
        steps = max(1, self.adapters - 1)
        return [
            inventory.Adapter(
                name=f"adapter-{number + 1}",
                model=models[number % len(models)].name,
                size_mb=100 + 50 * (number % 3),
                load_ms=low + (high - low) * number / steps,
            )
            for number in range(self.adapters)
        ]


class PortSource:
    """Provides ascending ports from `first`; if that is 0, always 0 (any)."""

    __slots__ = ("_next",)

    def __init__(self, first: int = 0) -> None:
        self._next = first

    def __call__(self) -> int:
        """Returns the next port."""
        port = self._next
        if port:
            self._next += 1
        return port


VALTELLINA = Deployment(
    name="valtellina",
    regions={
        "sondrio-a": "sondrio",
        "sondrio-b": "sondrio",
        "lecco-a": "lecco",
    },
    pools={"scrivano": 5, "sportello": 3},
    models=17,
    adapters=60,
    adapter_ms=(10.0, 30.0),
    services=("registrations", "bookings"),
    store=inventory.WeightStore(
        region="sondrio",
        loads_per_s=1.0,
        loads_at_once=12,
        adapters_in_flight=100,
    ),
)

KAGSA = Deployment(
    name="kagsa",
    regions={
        "midrand": "gauteng",
        "germiston": "gauteng",
        "epping": "western-cape",
    },
    pools={"clerk-assist": 5, "stock-desk": 3},
    models=17,
    adapters=55,
    adapter_ms=(6.0, 20.0),
    services=("stock", "reservations"),
    store=inventory.WeightStore(
        region="gauteng",
        loads_per_s=1.0,
        loads_at_once=9,
        adapters_in_flight=70,
    ),
)

DEPLOYMENTS = {d.name: d for d in (VALTELLINA, KAGSA)}


def hash_key(key: str) -> str:
    """Returns the hash by which an access key is configured."""
    return hashlib.sha256(key.encode()).hexdigest()
