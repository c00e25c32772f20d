"""A local copy of the keys of the store, kept by one waiting watch.

The copy only moves forward: each change is applied once, in the order of its
revision, and an outage of the store leaves the copy as it is.
"""

import asyncio
import logging
import random
from collections.abc import Callable

from carobsail import errors, keyvalue, telemetry

FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.0

_log = logging.getLogger(__name__)

Changes = list[keyvalue.WatchEvent]


class StoreMirror:
    """Follows all keys with a prefix.

    Attributes:
      revision: Revision up to which the copy is complete; 0 before the first
        reading.
      reachable: Whether the last call was answered.
      contact_at: When the store last answered.
    """

    __slots__ = (
        "_client",
        "_known",
        "_on_changes",
        "_on_contact",
        "_prefix",
        "_rng",
        "contact_at",
        "reachable",
        "revision",
    )

    def __init__(
        self,
        client: keyvalue.KeyValueClient,
        prefix: str,
        on_changes: Callable[[Changes], None],
        on_contact: Callable[[bool], None],
        rng: random.Random,
    ) -> None:
        """Creates an empty copy.

        Args:
          client: Client of the store.
          prefix: Start of the keys; empty for all.
          on_changes: Receives changes in order; after a reading of all keys,
            those that are gone come as deleted.
          on_contact: Receives whether the store answered, after each call.
          rng: Source of the jitter.
        """
        self._client = client
        self._prefix = prefix
        self._on_changes = on_changes
        self._on_contact = on_contact
        self._rng = rng
        self._known: dict[str, keyvalue.KeyValue] = {}
        self.revision = 0
        self.reachable = False
        self.contact_at = float("-inf")

    async def run(self) -> None:
        """Follows the store until cancelled."""
        retry_s = FIRST_RETRY_S
        complete = False
        while True:
            failure = None
            if not complete:
                failure = await self._read_all()
                complete = failure is None
            if complete:
                failure = await self._follow()
                if failure.reason is errors.Reason.STALE_REVISION:
                    complete = False
            if failure is None:
                continue
            if self.reachable:
                retry_s = FIRST_RETRY_S
            self._contact(False, failure)
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(MAX_RETRY_S, retry_s * 2.0)

    async def _read_all(self) -> errors.Failure | None:
        result = await self._client.range(self._prefix)
        if isinstance(result, errors.Failure):
            return result
        self._contact(True)
        if result.revision < self.revision:
            return errors.Failure(
                errors.Reason.STALE_REVISION,
                errors.Step.KEY_VALUE,
                "store",
                detail=f"revision {result.revision} is before {self.revision}",
            )
        listed = {value.key for value in result.values}
        changes = [
            keyvalue.WatchEvent(key, None, result.revision)
            for key in self._known
            if key not in listed
        ]
        changes += [
            keyvalue.WatchEvent(v.key, v.value, v.mod_revision)
            for v in result.values
        ]
        self.revision = result.revision
        self._apply(changes)
        return None

    async def _follow(self) -> errors.Failure:
        async for events in self._client.watch(self._prefix, self.revision + 1):
            if isinstance(events, errors.Failure):
                return events
            self._contact(True)
            if events:
                self.revision = max(
                    self.revision, max(e.mod_revision for e in events)
                )
                self._apply(events)
        raise AssertionError("a watch ends with a failure")

    def _apply(self, events: Changes) -> None:
        fresh = []
        for event in sorted(events, key=lambda e: e.mod_revision):
            known = self._known.get(event.key)
            if known is not None and event.mod_revision <= known.mod_revision:
                continue
            if event.value is None:
                if self._known.pop(event.key, None) is None:
                    continue
            else:
                self._known[event.key] = keyvalue.KeyValue(
                    event.key, event.value, event.mod_revision
                )
            fresh.append(event)
        if fresh:
            self._on_changes(fresh)

    def snapshot(self) -> list[keyvalue.KeyValue]:
        """Returns the copy, for an instance that cannot reach the store."""
        return list(self._known.values())

    def adopt(self, values: list[keyvalue.KeyValue]) -> None:
        """Takes over another instance's copy, before the first reading."""
        if not self.revision:
            self._apply(
                [
                    keyvalue.WatchEvent(v.key, v.value, v.mod_revision)
                    for v in values
                ]
            )

    def _contact(
        self, reachable: bool, failure: errors.Failure | None = None
    ) -> None:
        if reachable != self.reachable:
            telemetry.log(
                _log,
                "store_regained" if reachable else "store_lost",
                revision=self.revision,
                reason=str(failure.reason) if failure else "",
                detail=failure.detail if failure else "",
            )
        self.reachable = reachable
        if reachable:
            self.contact_at = asyncio.get_running_loop().time()
        self._on_contact(reachable)
