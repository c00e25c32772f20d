"""Applies the entries of targets in the store to the registry.

Engines of a new service register before the instance knows the configuration
that names the service, and go on writing while no configuration names it. Their
entries are kept: a service without a route gets no requests, and heartbeats are
not relayed, so that an entry that is dropped may never be seen again.
"""

import asyncio
import logging

from carobsail import (
    routetable,
    storeera,
    storemirror,
    targetregistry,
    telemetry,
)
from carobsail.targetentry import EntryChange, TargetEntry

_log = logging.getLogger(__name__)


class TargetListing:
    """Applies entries to the registry and logs what they change."""

    __slots__ = ("_mirror", "_registry")

    def __init__(
        self,
        registry: targetregistry.TargetRegistry,
        mirror: storemirror.StoreMirror,
    ) -> None:
        """Creates a listing.

        Args:
          registry: Receives the targets.
          mirror: The copy of the store from which the entries come.
        """
        self._registry = registry
        self._mirror = mirror

    def apply(
        self,
        entry: TargetEntry | str,
        revision: int,
        table: routetable.RouteTable | None,
    ) -> EntryChange:
        """Applies an entry.

        Args:
          entry: Entry of a target, or its identity if the entry was removed.
          revision: Revision of the store at which that happened.
          table: Configuration in force, if there is one.

        Returns:
          What changed; `REGISTRATION` if other instances need to know it.
        """
        now = asyncio.get_running_loop().time()
        if isinstance(entry, str):
            change = self._registry.remove(entry, now, revision)
            self._log_gone(entry, revision)
            return change
        if self._is_foreign(entry, table):
            telemetry.log(
                _log,
                "document_ignored",
                level=logging.WARNING,
                item=entry.identity,
                revision=storeera.describe(revision),
                reason="written by another process",
                detail=f"unknown service {entry.service[:60]!r}",
            )
            return EntryChange.REGISTRATION
        change = self._registry.put(entry, now)
        if change is not EntryChange.NONE:
            self._log_listed(entry, revision, table)
        return change

    def _is_foreign(
        self, entry: TargetEntry, table: routetable.RouteTable | None
    ) -> bool:
        """Whether an entry cannot come from the process of a known target.

        A process has one service for its life and states when it started. An
        entry that names an unknown service instead was left by another writer
        and does not replace the target.
        """
        known = self._registry.get(entry.identity)
        if known is None or table is None or entry.service in table.services:
            return False
        return entry.service != known.entry.service and (
            entry.start_time_ms in (0, known.entry.start_time_ms)
        )

    def _log_listed(
        self,
        entry: TargetEntry,
        revision: int,
        table: routetable.RouteTable | None,
    ) -> None:
        telemetry.log(
            _log,
            "target_listed",
            target=entry.identity,
            service=entry.service,
            configured=table is not None and entry.service in table.services,
            leaving=entry.leaving,
            revision=storeera.describe(revision),
            source=self._mirror.source,
            copy_age_s=self._mirror.age_s,
        )

    def _log_gone(self, identity: str, revision: int) -> None:
        telemetry.log(
            _log,
            "target_gone",
            target=identity,
            kept=self._registry.get(identity) is not None,
            revision=storeera.describe(revision),
            source=self._mirror.source,
            copy_age_s=self._mirror.age_s,
        )
