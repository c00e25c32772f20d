"""Entries in which targets register themselves in the store."""

import dataclasses
import enum


@dataclasses.dataclass(slots=True, frozen=True)
class ResidentModel:
    """A model that an engine holds, with its adapters."""

    name: str
    version: int
    adapters: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class TargetEntry:
    """A target as registered in the store.

    Attributes:
      identity: Identity of the target; normally differs after a restart.
      service: Service that it belongs to.
      address: `host:port`.
      data_centre: Data centre that it runs in.
      slots: Requests that it runs concurrently.
      leaving: Whether it accepts no new requests.
      start_time_ms: Start time in Unix milliseconds; 0 if not stated.
      models: Models that it holds, if it is an engine.
      in_memory: Models of which it keeps a copy in host memory.
      on_disk: Models of which it keeps a copy on disk.
      revision: Revision of the entry in the store.
    """

    identity: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    start_time_ms: int
    models: tuple[ResidentModel, ...]
    in_memory: frozenset[str]
    on_disk: frozenset[str]
    revision: int


class EntryChange(enum.IntEnum):
    """Significance of a change of an entry."""

    NONE = 0
    # Models or adapters changed; the coordinator reports this to all instances
    # earlier than the entry does.
    HOLDINGS = 1
    # A target was added, removed or changed in another way.
    REGISTRATION = 2


def classify_change(before: TargetEntry, entry: TargetEntry) -> EntryChange:
    """Returns how a newer entry of a known target differs, models aside."""
    same = dataclasses.replace(
        entry,
        revision=before.revision,
        models=before.models,
        in_memory=before.in_memory,
        on_disk=before.on_disk,
    )
    return EntryChange.NONE if same == before else EntryChange.REGISTRATION
