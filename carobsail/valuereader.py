"""Reads values that the relay left out of its messages.

The relay is the coordinator, which sends the store's changes to all instances;
see `storemirror`, also for the deputies.

Load pattern: a configuration of 130 KB changes. If all instances read it from
the store, the transfer over the link between regions takes seconds.
"""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable

from carobsail import errors, keyvalue, storecopy, storeera, telemetry

# A value is requested from other instances for this long, then from the store.
MAX_PEER_READ_S = 1.5
# Delay after which a deputy, which reads a value from the store for others,
# requests it from the relay as well; 550 KB occupy the link between regions for
# 0.45 s.
RELAY_READ_DELAY_S = 0.5
# Bounds of the backoff after calls that the store refused or did not answer.
# Calls are billed, and a target that leaves must be known within 2.5 s.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.0

_log = logging.getLogger(__name__)


def _log_failure(key: str, failure: errors.Failure) -> None:
    telemetry.log(
        _log,
        "value_not_read",
        item=key,
        peer=failure.peer,
        reason=str(failure.reason),
        detail=failure.detail,
    )


class ValueReader:
    """Reads missing values until the copy has them."""

    __slots__ = ("_client", "_copy", "_on_value", "_peer_reader", "_tasks")

    def __init__(
        self,
        client: keyvalue.KeyValueClient,
        peer_reader: storecopy.PeerReader,
        copy: storecopy.StoreCopy,
        on_value: Callable[[keyvalue.KeyValue, str], None],
    ) -> None:
        """Creates a reader that reads nothing yet.

        Args:
          client: Client of the store.
          peer_reader: Reads the copies of other instances.
          copy: The local copy, which knows what values are missing.
          on_value: Receives a value that was read, and its source.
        """
        self._client = client
        self._peer_reader = peer_reader
        self._copy = copy
        self._on_value = on_value
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self,
        key: str,
        revision: int,
        sources: Iterable[str],
        relay: str = "",
    ) -> None:
        """Starts to read a value in the background.

        Args:
          key: Its key.
          revision: Revision that the value must have at least.
          sources: `host:port` of instances that have the value or are reading
            it, in the order in which they are asked; the store is asked last.
          relay: `host:port` of the relay if other instances wait for this one
            to read the value from the store; empty if none do.
        """
        read = self._read(key, revision, list(sources))
        if relay:
            read = self._read_with_relay_hedge(read, key, revision, relay)
        task = asyncio.create_task(read)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read_with_relay_hedge(
        self,
        read: Coroutine[None, None, None],
        key: str,
        revision: int,
        relay: str,
    ) -> None:
        """Reads from the relay in parallel if the store takes long.

        Load pattern: the store refuses the first deputies while it serves the
        relay. 30 instances waited for the deputies, then all read the store.
        """
        reads = [
            asyncio.create_task(read),
            asyncio.create_task(self._read_relay(key, revision, relay)),
        ]
        try:
            await asyncio.wait(reads, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in reads:
                task.cancel()
            results = await asyncio.gather(*reads, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result

    async def _read_relay(self, key: str, revision: int, relay: str) -> None:
        """Polls the relay until the copy has the value."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        pause_s = RELAY_READ_DELAY_S
        while self._copy.is_missing(key, revision):
            await asyncio.sleep(pause_s)
            value = await self._peer_reader.read_value(relay, key, revision)
            if isinstance(value, errors.Failure):
                _log_failure(key, value)
            elif value is not None and value.mod_revision >= revision:
                self._deliver(value, relay, revision, started_at)
            pause_s = MAX_RETRY_S

    def _deliver(
        self,
        value: keyvalue.KeyValue,
        source: str,
        revision: int,
        started_at: float,
    ) -> None:
        now = asyncio.get_running_loop().time()
        telemetry.log(
            _log,
            "value_read",
            item=value.key,
            peer=source or "store",
            revision=storeera.describe(value.mod_revision),
            announced_revision=storeera.describe(revision),
            after_s=now - started_at,
        )
        self._on_value(value, source or "store")

    async def _read(self, key: str, revision: int, sources: list[str]) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        retry_s = FIRST_RETRY_S
        while self._copy.is_missing(key, revision):
            if loop.time() > started_at + MAX_PEER_READ_S:
                sources.clear()
            source = sources[0] if sources else ""
            if source:
                value = await self._peer_reader.read_value(
                    source, key, revision
                )
            else:
                value = await self._read_store(key)
            if isinstance(value, errors.Failure):
                _log_failure(key, value)
                if source:
                    # Not asked again: a source that does not answer must cost
                    # one timeout only.
                    sources.remove(source)
                    continue
                retry_s = min(MAX_RETRY_S, 2.0 * retry_s)
            elif value is None and not source:
                # The key was deleted; that change arrives separately.
                self._copy.drop_expected(key, revision)
                return
            elif value is not None and value.mod_revision >= revision:
                self._deliver(value, source, revision, started_at)
                return
            await asyncio.sleep(retry_s)

    async def _read_store(
        self, key: str
    ) -> keyvalue.KeyValue | None | errors.Failure:
        result = await self._client.range(key)
        if isinstance(result, errors.Failure):
            return result
        return next((v for v in result.values if v.key == key), None)
