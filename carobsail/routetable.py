"""The operator's configuration: routes, services and models.

A `RouteTable` is immutable; an instance replaces the whole table when it
learns of a newer version and never goes back to an older one.
"""

import dataclasses
import enum
import math
import random

from carobsail import clientaccounts


class RetrySafety(enum.StrEnum):
    """Whether requests of a route may be sent again.

    SAFE: a request may run more than once. UNSAFE: at most once. STREAM: the
    response is a stream of events, and counts as unsafe unless resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """A route from callers to services.

    Attributes:
      name: Name of the route.
      host: Host in the callers' requests, in lower case.
      prefix: Path prefix; begins and ends with a slash.
      retry_safety: Whether requests may be sent again.
      services: Services with the weight of each.
      timeout_s: Longest time in seconds that a caller waits.
      latency_objective_s: Latency objective in seconds: until the response, for
        a stream until its first event.
      max_targets: Largest number of targets to which one request is sent.
      priority: Priority of the route; 0 is the highest.
      resumable: Whether a broken stream may be resumed at another engine.
      event_gap_objective_s: Objective in seconds for the gap between two events
        of a stream.
      caller_idle_timeout_s: Seconds without an event, also before the first
        one, after which the caller of a stream disconnects.
      anonymous: Whether requests need no key, although the configuration has
        client accounts.
    """

    name: str
    host: str
    prefix: str
    retry_safety: RetrySafety
    services: tuple[tuple[str, float], ...]
    timeout_s: float
    latency_objective_s: float
    max_targets: int
    priority: int = 0
    resumable: bool = False
    event_gap_objective_s: float = 0.0
    caller_idle_timeout_s: float = math.inf
    anonymous: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.retry_safety is RetrySafety.SAFE

    def pick_service(self, rng: random.Random) -> str:
        """Returns a random service in proportion to the weights."""
        if len(self.services) == 1:
            return self.services[0][0]
        names = [name for name, _ in self.services]
        weights = [weight for _, weight in self.services]
        return rng.choices(names, weights)[0]


@dataclasses.dataclass(slots=True, frozen=True)
class Model:
    """A model that the engines of a service may hold.

    Attributes:
      name: Name of the model.
      size_mb: Memory in MB that its weights take in an engine.
      store_load_s: Seconds that a load from the weight store takes.
      disk_load_s: Seconds that a load from the engine's disk takes.
      memory_load_s: Seconds that a load from the engine's host memory takes.
      adapters: Number of its adapters.
      adapter_mb: Memory in MB that each adapter takes in an engine.
    """

    name: str
    size_mb: float
    store_load_s: float
    disk_load_s: float
    memory_load_s: float
    adapters: int = 0
    adapter_mb: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class EnginePool:
    """What the engines of a service have in common.

    Attributes:
      models: Models by name.
      slots: Requests that an engine runs at once.
      kv_cache_tokens: Capacity of an engine's KV cache in tokens.
      weights_memory_mb: Memory of an engine in MB for weights, including
        adapters.
      adapter_slots: Largest number of adapters that an engine holds.
      loads_per_s: Loads per second that the weight store allows, over all
        engines.
    """

    models: dict[str, Model]
    slots: int
    kv_cache_tokens: int
    weights_memory_mb: float
    adapter_slots: int
    loads_per_s: float

    @property
    def model_memory_mb(self) -> float:
        """Memory for models in MB if the engine holds all adapters it can.

        Each adapter is counted with the size of the largest one.
        """
        largest = max((m.adapter_mb for m in self.models.values()), default=0.0)
        return self.weights_memory_mb - self.adapter_slots * largest


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A service.

    Attributes:
      name: Name of the service.
      max_connections: Largest number of connections to each target; 0 if not
        configured.
      pool: What its engines have in common; None unless its targets are model
        engines.
    """

    name: str
    max_connections: int
    pool: EnginePool | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bounds on what a caller may send, and how long it may stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class RouteTable:
    """One version of the configuration.

    Attributes:
      version: The operator's version.
      revision: Revision of the store at which it was written.
      services: Services by name.
      limits: Bounds on callers.
      accounts: Client accounts; None if callers need no key.
    """

    version: int
    revision: int
    services: dict[str, Service]
    limits: CallerLimits
    _by_host: dict[str, tuple[Route, ...]]
    accounts: clientaccounts.AccountDirectory | None = None

    @classmethod
    def build(
        cls,
        version: int,
        revision: int,
        routes: list[Route],
        services: list[Service],
        limits: CallerLimits,
        accounts: clientaccounts.AccountDirectory | None = None,
    ) -> "RouteTable":
        """Creates a table that indexes routes by host, longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(found, key=lambda r: -len(r.prefix)))
            for host, found in by_host.items()
        }
        named = {service.name: service for service in services}
        return cls(version, revision, named, limits, ordered, accounts)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches the path."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def routes(self) -> list[Route]:
        """Returns all routes."""
        return [r for routes in self._by_host.values() for r in routes]

    def host_prefixes(self) -> set[tuple[str, str]]:
        """Returns host and prefix of each route."""
        return {(route.host, route.prefix) for route in self.routes()}

    def replaces(self, other: "RouteTable | None") -> bool:
        """Whether this table is newer than `other`."""
        if other is None:
            return True
        return (self.version, self.revision) > (other.version, other.revision)
