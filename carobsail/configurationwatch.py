"""Follows the configuration and other data centres in the key-value service."""

import asyncio
import random
from collections.abc import Callable, Iterable

from carobsail import errors, keyvalue, messages, relay, residency

# One watch serves the configuration and the residency of data centres.
WATCHED_PREFIX = "/carobsail/"
RETRY_S = 0.5
MAX_RETRY_S = 5.0


class ConfigurationWatch:
    """Keeps a relay and a residency book up to date."""

    __slots__ = (
        "_broadcast",
        "_centres",
        "_key_value",
        "_relay",
        "_relayed",
        "_residency",
        "_rng",
    )

    def __init__(
        self,
        key_value: keyvalue.KeyValueClient,
        configuration: relay.Relay,
        resident: residency.ResidencyBook,
        rng: random.Random,
        centres: Callable[[], Iterable[str]],
        relayed: Callable[[], None],
        broadcast: Callable[[messages.Message], None],
    ) -> None:
        """Creates a watch; `run` does the work.

        Args:
          key_value: Client of the key-value service.
          configuration: Receives documents.
          resident: Receives the residency of other data centres.
          rng: Source of jitter.
          centres: Returns the names of all data centres.
          relayed: Called after documents were received.
          broadcast: Sends a message to all entry processes.
        """
        self._key_value = key_value
        self._relay = configuration
        self._residency = resident
        self._rng = rng
        self._centres = centres
        self._relayed = relayed
        self._broadcast = broadcast

    async def run(self) -> None:
        """Reads and watches until cancelled; reads again after failures."""
        retry_s = RETRY_S
        while True:
            if await self._follow() is None:
                retry_s = RETRY_S
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(2 * retry_s, MAX_RETRY_S)

    async def _follow(self) -> errors.Failure | None:
        """Reads everything and watches it; None if the watch ran."""
        result = await self._key_value.range(relay.PREFIX)
        if isinstance(result, errors.Failure):
            return result
        documents = {v.key: v.value for v in result.values}
        self._relay.load(result.revision, documents)
        self._relayed()
        changed = await self._residency.load(self._centres())
        if isinstance(changed, errors.Failure):
            return changed
        for message in changed:
            self._broadcast(message)
        watch = self._key_value.watch(WATCHED_PREFIX, result.revision + 1)
        async for events in watch:
            if isinstance(events, errors.Failure):
                break
            self._take(events)
        return None

    def _take(self, events: list[keyvalue.WatchEvent]) -> None:
        self._relay.record(e for e in events if e.key.startswith(relay.PREFIX))
        self._relayed()
        for message in self._residency.record(events):
            self._broadcast(message)
