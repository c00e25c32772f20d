"""Watches the configuration and the models resident in other data centres."""

import asyncio
import random
from collections.abc import Callable, Iterable

from carobsail import configurationrelay, errors, keyvalue, messages, residency

# A single watch covers the configuration and the residency of data centres.
WATCHED_PREFIX = "/carobsail/"
MIN_RETRY_S = 0.5
MAX_RETRY_S = 5.0


class ConfigurationWatch:
    """Passes documents to a relay and residency changes to a residency tracker.

    Both are read from the key-value service in full, and then watched.
    """

    __slots__ = (
        "_broadcast",
        "_data_centres",
        "_key_value",
        "_on_documents",
        "_relay",
        "_residency",
        "_rng",
    )

    def __init__(
        self,
        key_value: keyvalue.KeyValueClient,
        configuration: configurationrelay.ConfigurationRelay,
        resident: residency.ResidencyTracker,
        rng: random.Random,
        data_centres: Callable[[], Iterable[str]],
        on_documents: Callable[[], None],
        broadcast: Callable[[messages.Message], None],
    ) -> None:
        """Creates a watch; `run` does the work.

        Args:
          key_value: Client of the key-value service.
          configuration: Receives configuration documents.
          resident: Receives the models resident in other data centres.
          rng: Source of the jitter of retries.
          data_centres: Returns the names of all data centres.
          on_documents: Called after the relay received documents.
          broadcast: Sends a message to all entry processes.
        """
        self._key_value = key_value
        self._relay = configuration
        self._residency = resident
        self._rng = rng
        self._data_centres = data_centres
        self._on_documents = on_documents
        self._broadcast = broadcast

    async def run(self) -> None:
        """Reads and watches until cancelled; starts over after failures."""
        retry_s = MIN_RETRY_S
        while True:
            if await self._read_and_watch() is None:
                retry_s = MIN_RETRY_S
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(2 * retry_s, MAX_RETRY_S)

    async def _read_and_watch(self) -> errors.Failure | None:
        """Reads everything, then watches until the watch fails.

        Returns:
          The failure of a read, None when the watch was started.
        """
        result = await self._key_value.range(
            configurationrelay.CONFIGURATION_PREFIX
        )
        if isinstance(result, errors.Failure):
            return result
        documents = {v.key: v.value for v in result.values}
        self._relay.replace(result.revision, documents)
        self._on_documents()
        changed = await self._residency.load(self._data_centres())
        if isinstance(changed, errors.Failure):
            return changed
        for message in changed:
            self._broadcast(message)
        watch = self._key_value.watch(WATCHED_PREFIX, result.revision + 1)
        async for events in watch:
            if isinstance(events, errors.Failure):
                break
            self._apply_events(events)
        return None

    def _apply_events(self, events: list[keyvalue.WatchEvent]) -> None:
        self._relay.apply_events(
            e
            for e in events
            if e.key.startswith(configurationrelay.CONFIGURATION_PREFIX)
        )
        self._on_documents()
        for message in self._residency.apply_events(events):
            self._broadcast(message)
