"""Reads values that were left out of the relay's messages.

Load pattern: a configuration of 130 KB changes; if all instances read it from
the store, the link between regions takes seconds.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable

from carobsail import errors, keyvalue, storecopy, telemetry

# A value is asked of other instances for this long, then of the store.
PEER_VALUE_S = 1.5
# Pauses after calls that the store refused or left unanswered. Calls are
# billed, and a target that leaves must be known within 2.5 s.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.0

_log = logging.getLogger(__name__)


class ValueReader:
    """Reads values until the copy has them."""

    __slots__ = ("_client", "_copy", "_on_value", "_peers", "_tasks")

    def __init__(
        self,
        client: keyvalue.KeyValueClient,
        peers: storecopy.Peers,
        copy: storecopy.StoreCopy,
        on_value: Callable[[keyvalue.KeyValue], None],
    ) -> None:
        """Creates a reader that reads nothing yet.

        Args:
          client: Client of the store.
          peers: Reads the copies of other instances.
          copy: Tells which values are missing.
          on_value: Receives a value that was read.
        """
        self._client = client
        self._peers = peers
        self._copy = copy
        self._on_value = on_value
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, key: str, revision: int, sources: Iterable[str]) -> None:
        """Begins to read a value.

        Args:
          key: Its key.
          revision: Revision of the value that is wanted, or a newer one.
          sources: `host:port` of instances that have it or read it, in the
            order in which they are asked; the store follows.
        """
        task = asyncio.create_task(self._read(key, revision, list(sources)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read(self, key: str, revision: int, sources: list[str]) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        retry_s = FIRST_RETRY_S
        while self._copy.misses(key, revision):
            if loop.time() > started_at + PEER_VALUE_S:
                sources.clear()
            source = sources[0] if sources else ""
            if source:
                value = await self._peers.read_value(source, key, revision)
            else:
                value = await self._read_store(key)
            if isinstance(value, errors.Failure):
                telemetry.log(
                    _log,
                    "value_not_read",
                    item=key,
                    peer=value.peer,
                    reason=str(value.reason),
                    detail=value.detail,
                )
                if source:
                    # One silent source must not cost several time-outs.
                    sources.remove(source)
                    continue
                retry_s = min(MAX_RETRY_S, 2.0 * retry_s)
            elif value is None and not source:
                # It was deleted; that change comes by itself.
                self._copy.drop_expected(key, revision)
                return
            elif value is not None and value.mod_revision >= revision:
                telemetry.log(
                    _log,
                    "value_read",
                    item=key,
                    peer=source or "store",
                    revision=value.mod_revision,
                    told_revision=revision,
                    after_s=loop.time() - started_at,
                )
                self._on_value(value)
                return
            await asyncio.sleep(retry_s)

    async def _read_store(
        self, key: str
    ) -> keyvalue.KeyValue | None | errors.Failure:
        result = await self._client.range(key)
        if isinstance(result, errors.Failure):
            return result
        return next((v for v in result.values if v.key == key), None)
