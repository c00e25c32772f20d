"""The operator's series of configurations, drawn from a seed."""

import random

import msgspec

from soak.records import CONFIG_SERVICES, HOST, REQUEST_TIMEOUT_S, Kind, Routes
from soak.targets import (
    ADAPTER_SLOTS,
    ENGINE_MB,
    MODEL_MB,
    SLOTS,
    STORE_LOAD_S,
)

MODEL_COUNT = 9
# Routes that are in every version: type, service and maximum attempts.
_PERMANENT = {
    Kind.SAFE: ("safe", "plain", 2),
    Kind.UNSAFE: ("unsafe", "plain", 2),
    Kind.STREAM: ("streaming", "llm", 2),
}
# Host and path below which routes are added and removed. The second one lies
# within a permanent route, which serves the paths again after a removal.
_ADDED_ROUTE_ROOTS = (
    (HOST, "/"),
    (HOST, "/safe/"),
    ("added.soak.example", "/"),
)
# So few names that removed routes are added again under the same path.
_ADDED_ROUTE_NAMES = 24
# About 190 KB; a version without added routes has 3 KB.
MANY_ROUTES = 1000
_KEPT_ROUTES = 5
_MAX_CHANGED_ROUTES = 3
_ACTIONS = {"add": 9, "remove": 6, "move": 3, "many": 1}


class Series:
    """Generates one version of the configuration after the other.

    Attributes:
      version: The newest version.
      routes: Its routes.
    """

    def __init__(self, seed: int) -> None:
        """Creates a series before its first version."""
        self.version = 0
        self.routes: Routes = {}
        self._rng = random.Random(f"configurations {seed}")
        self._added: Routes = {}

    def advance(self) -> bytes:
        """Generates the next version and returns its document."""
        self.version += 1
        if self.version > 1:
            self._change()
        current = f"c{self.version % CONFIG_SERVICES}"
        self.routes = {
            (HOST, f"/{Kind.CONFIG}/"): frozenset({current}),
            **{
                (HOST, f"/{kind}/"): frozenset({service})
                for kind, (_, service, _) in _PERMANENT.items()
            },
            **self._added,
        }
        return self.document()

    def document(self) -> bytes:
        """Returns the newest version in the platform's JSON format."""
        routes = [
            _route(
                kind, HOST, f"/{kind}/", route_type, frozenset({service}), tries
            )
            for kind, (route_type, service, tries) in _PERMANENT.items()
        ]
        current = self.routes[HOST, f"/{Kind.CONFIG}/"]
        routes.append(
            _route(Kind.CONFIG, HOST, f"/{Kind.CONFIG}/", "safe", current, 1)
        )
        routes += [
            _route(Kind.ADDED, host, prefix, "safe", services, 2)
            for (host, prefix), services in self._added.items()
        ]
        used = frozenset().union(*self.routes.values())
        return _document(self.version, routes, used)

    def _change(self) -> None:
        rng = self._rng
        count = rng.randint(1, _MAX_CHANGED_ROUTES)
        action = rng.choices(list(_ACTIONS), list(_ACTIONS.values()))[0]
        if len(self._added) > MANY_ROUTES // 2 and rng.random() < 0.5:
            kept = rng.sample(sorted(self._added), _KEPT_ROUTES)
            self._added = {key: self._added[key] for key in kept}
        elif action == "many":
            for number in range(MANY_ROUTES):
                self._added[HOST, f"/many{number}/"] = frozenset({"plain"})
        elif action == "remove" and self._added:
            count = min(count, len(self._added))
            for key in rng.sample(sorted(self._added), count):
                del self._added[key]
        elif action == "move" and self._added:
            self._added[rng.choice(sorted(self._added))] = self._services()
        else:
            for _ in range(count):
                host, root = rng.choice(_ADDED_ROUTE_ROOTS)
                prefix = f"{root}added{rng.randrange(_ADDED_ROUTE_NAMES)}/"
                self._added[host, prefix] = self._services()

    def _services(self) -> frozenset[str]:
        """Draws the service of a route, or two that share its traffic."""
        names = ["plain", *(f"c{n}" for n in range(CONFIG_SERVICES))]
        return frozenset(self._rng.sample(names, self._rng.choice((1, 1, 2))))


def _route(
    kind: Kind,
    host: str,
    prefix: str,
    route_type: str,
    services: frozenset[str],
    attempts: int,
) -> dict[str, object]:
    route: dict[str, object] = {
        "name": f"{kind} {host}{prefix}",
        "host": host,
        "prefix": prefix,
        "routeType": route_type,
        "timeoutMs": 1000 * REQUEST_TIMEOUT_S[kind],
        "maxAttempts": attempts,
        "targetLatencyMs": 1000 if route_type == "streaming" else 250,
        "resumable": route_type == "streaming",
    }
    names = sorted(services)
    if len(names) == 1:
        route["service"] = names[0]
    else:
        route["trafficSplit"] = [{"service": n, "weight": 0.5} for n in names]
    return route


def _document(
    version: int, routes: list[dict[str, object]], used: frozenset[str]
) -> bytes:
    """Returns a document with most services, and all that are in use.

    The targets of all services renew their entries all the time, so a version
    may name a service whose entries instances have known for long.
    """
    engine = {
        "slots": SLOTS,
        "kvCapacity": 120_000,
        "weightsMb": ENGINE_MB,
        "adapterSlots": ADAPTER_SLOTS,
        "loadsPerS": 1.1,
        "models": [
            {
                "name": f"m{n}",
                "weightsMb": MODEL_MB,
                "loadTimeS": STORE_LOAD_S,
                "adapters": 3,
                "adapterMb": 60,
            }
            for n in range(MODEL_COUNT)
        ],
    }
    lasting = {f"c{n}" for n in range(CONFIG_SERVICES) if n % 4}
    names = sorted(lasting | {"plain"} | used - {"llm"})
    return msgspec.json.encode(
        {
            "version": version,
            "routes": routes,
            "services": [
                *({"name": n, "maxConns": 64} for n in names),
                {"name": "llm", "maxConns": 64, "engine": engine},
            ],
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": 1_048_576,
                "headerTimeoutMs": 5000,
                "idleTimeoutMs": 20_000,
            },
        }
    )
