"""A serving instance that is handed changes of the store, without ports."""

import asyncio
import json
import random

from carobsail import keyvalue, servinginstance, storeera
from carobsail.instancesettings import InstanceSettings
from carobsail.platform import documents, engines, headers

STORE = "127.0.0.1:1"


def listed(
    identity: str = "t1",
    revision: int = 1,
    era: int = 1,
    state: str = "in_service",
    born: int = 1000,
    service: str = "plain",
) -> keyvalue.WatchEvent:
    """Returns the write of a target's entry."""
    value = {"service": service, "addr": "127.0.0.1:1", "zone": "dc-a"}
    value |= {"state": state, "slots": 4, "born": born}
    return keyvalue.WatchEvent(
        f"servers/{identity}",
        json.dumps(value).encode(),
        storeera.combine(era, revision),
    )


def configured(
    version: int, *services: str, revision: int = 1, era: int = 1
) -> keyvalue.WatchEvent:
    """Returns the write of a configuration with a route to each service."""
    routes = [
        {
            "name": service,
            "host": "h",
            "prefix": f"/{service}/",
            "routeType": "safe",
            "service": service,
            "timeoutMs": 2000,
        }
        for service in services
    ]
    limits = {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15_000}
    value = {"version": version, "routes": routes, "limits": limits}
    value["services"] = [{"name": name, "maxConns": 9} for name in services]
    return keyvalue.WatchEvent(
        documents.CONFIGURATION_KEY,
        json.dumps(value).encode(),
        storeera.combine(era, revision),
    )


def gone(
    identity: str = "t1", revision: int = 1, era: int = 1
) -> keyvalue.WatchEvent:
    """Returns the removal of a target's entry."""
    return keyvalue.WatchEvent(
        f"servers/{identity}", None, storeera.combine(era, revision)
    )


class Follower:
    """An instance that takes changes in the running event loop.

    Attributes:
      instance: The instance.
      relayed: The changes that it would relay.
      revision: Revision up to which it knows the changes.
    """

    def __init__(self) -> None:
        loaded = InstanceSettings(
            instance="n1",
            address="127.0.0.1",
            data_centre="dc-a",
            regions={"dc-a": "north"},
            callers_listen="127.0.0.1:8149",
            readiness_listen="127.0.0.1:8141",
            peers_listen="127.0.0.1:8144",
            first_port=7380,
            store=STORE,
        )
        self.instance = servinginstance.ServingInstance(
            loaded,
            keyvalue.MemoryKeyValue(),
            headers.PlatformHeaders(),
            documents.PlatformDocuments(),
            engines.HttpEngineOrderClient(),
            asyncio.get_running_loop().time,
            random.Random(1),
        )
        self.relayed: list[keyvalue.WatchEvent] = []
        self.instance._coordination.relay = self._record_relayed
        self.revision = 0

    def _record_relayed(self, changes, before, after) -> None:
        self.relayed.extend(changes)

    def take(self, *events: keyvalue.WatchEvent, after: int = 0) -> None:
        """Takes changes up to the newest of them, or up to `after`."""
        newest = max((e.mod_revision for e in events), default=0)
        before = self.revision
        self.revision = max(before, after or newest)
        self.instance._apply_changes(list(events), before, self.revision)

    def take_part(self, *events: keyvalue.WatchEvent) -> None:
        """Takes changes that do not complete its copy."""
        self.instance._apply_changes(list(events), self.revision, self.revision)

    def offered(self, service: str = "plain") -> list[tuple[str, int]]:
        """Returns identity and start time of the targets that may be used."""
        now = asyncio.get_running_loop().time()
        return [
            (t.entry.identity, t.entry.start_time_ms)
            for t in self.instance._registry.of_service(service, now)
        ]
