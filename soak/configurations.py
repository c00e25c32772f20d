"""The operator's series of configurations, decided by a seed."""

import random

import msgspec

from soak.records import CONFIG_SERVICES, HOST, PATIENCE_S, Kind, Routes
from soak.targets import (
    ADAPTER_PLACES,
    ENGINE_MB,
    MODEL_MB,
    SLOTS,
    STORE_LOAD_S,
)

MODELS = 9
# The standing routes: in every version, with type, service and targets to try.
_STANDING = {
    Kind.SAFE: ("safe", "plain", 2),
    Kind.UNSAFE: ("unsafe", "plain", 2),
    Kind.STREAM: ("streaming", "llm", 2),
}
# Routes that come and go lie below these; the second one lies in a standing
# route, so that its removal gives its paths back to that one.
_PLACES = ((HOST, "/"), (HOST, "/safe/"), ("added.soak.example", "/"))
# So few names that removed routes come back under the same path.
_NAMES = 24
# About 190 KB, where a version without added routes has 3 KB.
MANY_ROUTES = 1000
_FEW_ROUTES = 5
_MOST_AT_ONCE = 3
_ACTIONS = {"add": 9, "remove": 6, "move": 3, "many": 1}


class Series:
    """Makes one configuration after the other.

    Attributes:
      version: The newest version.
      routes: Its routes.
    """

    def __init__(self, seed: int) -> None:
        """Creates a series without a version."""
        self.version = 0
        self.routes: Routes = {}
        self._rng = random.Random(f"configurations {seed}")
        self._added: Routes = {}

    def advance(self) -> bytes:
        """Makes the next version and returns its document."""
        self.version += 1
        if self.version > 1:
            self._change()
        current = f"c{self.version % CONFIG_SERVICES}"
        self.routes = {
            (HOST, f"/{Kind.CONFIG}/"): frozenset({current}),
            **{
                (HOST, f"/{kind}/"): frozenset({service})
                for kind, (_, service, _) in _STANDING.items()
            },
            **self._added,
        }
        return self.document()

    def document(self) -> bytes:
        """Returns the newest version in the platform's form."""
        routes = [
            _route(kind, HOST, f"/{kind}/", wire, frozenset({service}), tries)
            for kind, (wire, service, tries) in _STANDING.items()
        ]
        current = self.routes[HOST, f"/{Kind.CONFIG}/"]
        routes.append(
            _route(Kind.CONFIG, HOST, f"/{Kind.CONFIG}/", "safe", current, 1)
        )
        routes += [
            _route(Kind.ADDED, host, prefix, "safe", services, 2)
            for (host, prefix), services in self._added.items()
        ]
        return _document(self.version, routes)

    def _change(self) -> None:
        rng = self._rng
        count = rng.randint(1, _MOST_AT_ONCE)
        action = rng.choices(list(_ACTIONS), list(_ACTIONS.values()))[0]
        if len(self._added) > MANY_ROUTES // 2 and rng.random() < 0.5:
            kept = rng.sample(sorted(self._added), _FEW_ROUTES)
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
                host, place = rng.choice(_PLACES)
                prefix = f"{place}added{rng.randrange(_NAMES)}/"
                self._added[host, prefix] = self._services()

    def _services(self) -> frozenset[str]:
        """Draws the service of a route, or two between which it is split."""
        names = ["plain", *(f"c{n}" for n in range(CONFIG_SERVICES))]
        return frozenset(self._rng.sample(names, self._rng.choice((1, 1, 2))))


def _route(
    kind: Kind,
    host: str,
    prefix: str,
    wire: str,
    services: frozenset[str],
    attempts: int,
) -> dict[str, object]:
    route: dict[str, object] = {
        "name": f"{kind} {host}{prefix}",
        "host": host,
        "prefix": prefix,
        "routeType": wire,
        "timeoutMs": 1000 * PATIENCE_S[kind],
        "maxAttempts": attempts,
        "targetLatencyMs": 1000 if wire == "streaming" else 250,
        "resumable": wire == "streaming",
    }
    names = sorted(services)
    if len(names) == 1:
        route["service"] = names[0]
    else:
        route["trafficSplit"] = [{"service": n, "weight": 0.5} for n in names]
    return route


def _document(version: int, routes: list[dict[str, object]]) -> bytes:
    engine = {
        "slots": SLOTS,
        "kvCapacity": 120_000,
        "weightsMb": ENGINE_MB,
        "adapterSlots": ADAPTER_PLACES,
        "loadsPerS": 1.1,
        "models": [
            {
                "name": f"m{n}",
                "weightsMb": MODEL_MB,
                "loadTimeS": STORE_LOAD_S,
                "adapters": 3,
                "adapterMb": 60,
            }
            for n in range(MODELS)
        ],
    }
    names = ["plain", *(f"c{n}" for n in range(CONFIG_SERVICES))]
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
