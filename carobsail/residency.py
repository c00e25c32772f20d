"""Exchange of the resident models of data centres by the key-value service.

Each data centre writes its own entry and watches the entries of the others.
"""

import collections
from collections.abc import Iterable

import msgspec

from carobsail import errors, keyvalue, messages, orders

WRITE_INTERVAL_S = 2.0
_KEY_PREFIX = "/carobsail/dc/"
_KEY_SUFFIX = "/residency"


def residency_key(data_centre: str) -> str:
    """Returns the key-value key of a data centre's residency."""
    return f"{_KEY_PREFIX}{data_centre}{_KEY_SUFFIX}"


class ResidencyTracker:
    """Publishes the resident models and tracks those of other data centres.

    Attributes:
      others: Number of resident copies by model, for each other data centre.
    """

    __slots__ = (
        "_data_centre",
        "_key_value",
        "_written",
        "_written_at",
        "others",
    )

    def __init__(
        self, data_centre: str, key_value: keyvalue.KeyValueClient
    ) -> None:
        self.others: dict[str, dict[str, int]] = {}
        self._data_centre = data_centre
        self._key_value = key_value
        self._written: dict[str, int] | None = None
        self._written_at = float("-inf")

    async def load(
        self, data_centres: Iterable[str]
    ) -> list[messages.Residency] | errors.Failure:
        """Reads the residency of other data centres; returns the changes."""
        changed = []
        for name in sorted(set(data_centres) - {self._data_centre}):
            result = await self._key_value.range(residency_key(name))
            if isinstance(result, errors.Failure):
                return result
            for found in result.values:
                changed += self._apply(found.key, found.value)
        return changed

    def apply_events(
        self, events: Iterable[keyvalue.WatchEvent]
    ) -> list[messages.Residency]:
        """Applies watched changes; returns messages for the entry processes."""
        return [
            message
            for event in events
            for message in self._apply(event.key, event.value)
        ]

    def _apply(self, key: str, value: bytes | None) -> list[messages.Residency]:
        if not (key.startswith(_KEY_PREFIX) and key.endswith(_KEY_SUFFIX)):
            return []
        name = key[len(_KEY_PREFIX) : -len(_KEY_SUFFIX)]
        if name == self._data_centre or "/" in name:
            return []
        models: dict[str, int] = {}
        if value is not None:
            try:
                models = msgspec.json.decode(value, type=dict[str, int])
            except msgspec.DecodeError:
                return []
        if self.others.get(name) == models:
            return []
        self.others[name] = models
        return [messages.Residency(name, models)]

    def models_elsewhere(self) -> frozenset[str]:
        """Returns the models resident in other data centres."""
        found: set[str] = set()
        for models in self.others.values():
            found.update(models)
        return frozenset(found)

    async def publish(
        self,
        progress: Iterable[messages.TargetProgress],
        services: Iterable[str],
        leader: keyvalue.Compare,
        now: float,
    ) -> None | errors.Failure:
        """Writes this data centre's residency if it changed, at most every 2 s.

        Args:
          progress: Latest progress of each engine.
          services: Service of each live service target.
          leader: Comparison of the leader key, which makes the write of a
            former leader fail.
          now: Time of the event loop's clock in seconds.
        """
        counted = collections.Counter(
            orders.split_version(model)[0]
            for entry in progress
            for model in entry.resident
        )
        counted.update(services)
        models = dict(sorted(counted.items()))
        due = now - self._written_at >= WRITE_INTERVAL_S
        if models == self._written or not due:
            return None
        self._written_at = now
        value = msgspec.json.encode(models)
        put = keyvalue.Put(residency_key(self._data_centre), value)
        result = await self._key_value.transact([leader], [put])
        if isinstance(result, errors.Failure):
            return result
        if result.succeeded:
            self._written = models
        return None
