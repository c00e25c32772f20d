"""Calls to model engines: requests, orders and reports.

`EngineClient` is the interface; `enginehttp.py` has the HTTP version.
"""

import abc
import dataclasses
from collections.abc import AsyncIterator

from carobsail import errors, messages


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """An engine's report of itself; it lags.

    Attributes:
      target: Engine name.
      incarnation: Number that differs at each start of the engine.
      fence: Highest fencing number seen in an order (0: none, or ignored).
      models: Resident models with their memory in MB.
      loading: Models being loaded with their memory in MB.
      adapters: Resident adapters with their memory in MB.
      running: Requests running or queued.
      free_mb: Memory not in use in MB.
      age_s: Seconds since the report was made.
    """

    target: str
    incarnation: int
    fence: int
    models: dict[str, int]
    loading: dict[str, int]
    adapters: dict[str, int]
    running: int
    free_mb: int
    age_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class CacheEvent:
    """A prefix cache event.

    Attributes:
      sequence: Number of the event; a jump means that events were lost.
      incarnation: Engine incarnation that sent it.
      kind: `stored`, `removed` or `cleared`.
      blocks: Hashes of the prompt blocks concerned.
    """

    sequence: int
    incarnation: int
    kind: str
    blocks: tuple[int, ...]


class AnswerStream(abc.ABC):
    """An answer being received."""

    status: int
    headers: list[tuple[str, str]]

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes | errors.Failure]:
        """Yields body bytes; a `Failure` ends an answer that was cut."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Gives up the rest of the answer and its connection."""


class EngineClient(abc.ABC):
    """Requests, orders and reports of one engine."""

    @abc.abstractmethod
    async def send(
        self, request: messages.Dispatch
    ) -> AnswerStream | errors.Failure:
        """Sends a request and returns its answer once the head arrived.

        The failure's outcome is NOT_RUN only when no byte was sent or the
        engine refused the request as not started.
        """

    @abc.abstractmethod
    async def resume(
        self, request: messages.Dispatch, last_event: str
    ) -> AnswerStream | errors.Failure:
        """Continues the stream of `request` after the event `last_event`."""

    @abc.abstractmethod
    async def cancel(self, attempt: str) -> None | errors.Failure:
        """Asks the engine to stop working on an attempt."""

    @abc.abstractmethod
    async def load_model(
        self, model: str, version: str, fence: int
    ) -> None | errors.Failure:
        """Orders a model load; returns when the model is resident."""

    @abc.abstractmethod
    async def unload_model(
        self, model: str, fence: int
    ) -> None | errors.Failure:
        """Orders a model unload; returns when its memory is free."""

    @abc.abstractmethod
    async def load_adapter(
        self, adapter: str, model: str, fence: int
    ) -> None | errors.Failure:
        """Orders an adapter load; returns when it is resident."""

    @abc.abstractmethod
    async def unload_adapter(
        self, adapter: str, fence: int
    ) -> None | errors.Failure:
        """Orders an adapter unload."""

    @abc.abstractmethod
    async def report(self) -> EngineReport | errors.Failure:
        """Reads the engine's report."""

    @abc.abstractmethod
    async def cache_events(
        self, after: int
    ) -> list[CacheEvent] | errors.Failure:
        """Reads prefix cache events after a sequence number."""
