"""Interface to model engines: requests, orders and reports.

`enginehttp.py` implements `EngineClient` over HTTP.
"""

import abc
import dataclasses
from collections.abc import AsyncIterator

from carobsail import errors, messages


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """State of an engine as it reports it, which may be outdated.

    Attributes:
      target: Engine name.
      incarnation: Number that differs at each start of the engine.
      fence: Highest fencing token that the engine saw in an order; 0 if it saw
        none or ignores them.
      models: Resident models with their memory in MB.
      loading: Models being loaded with their memory in MB.
      adapters: Resident adapters with their memory in MB.
      running: Number of requests running or queued.
      free_mb: Free memory in MB.
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
    """A change of an engine's prefix cache.

    Attributes:
      sequence: Number of the event; a gap means that events were lost.
      incarnation: Incarnation of the engine that sent it.
      kind: `stored`, `removed` or `cleared`.
      blocks: Hashes of the prompt blocks concerned.
    """

    sequence: int
    incarnation: int
    kind: str
    blocks: tuple[int, ...]


class ResponseStream(abc.ABC):
    """A response being received.

    Attributes:
      status: HTTP status.
      headers: Response headers.
    """

    status: int
    headers: list[tuple[str, str]]

    @abc.abstractmethod
    def chunks(self) -> AsyncIterator[bytes | errors.Failure]:
        """Yields body bytes; a `Failure` ends a truncated response."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Abandons the rest of the response and its connection."""


class EngineClient(abc.ABC):
    """Sends requests and orders to one engine and reads its reports."""

    @abc.abstractmethod
    async def send(
        self, request: messages.Dispatch
    ) -> ResponseStream | errors.Failure:
        """Sends a request and returns the response once its head arrived.

        The outcome of a failure is NOT_RUN only if no byte was sent or the
        engine refused the request as not started.
        """

    @abc.abstractmethod
    async def resume(
        self, request: messages.Dispatch, last_event: str
    ) -> ResponseStream | errors.Failure:
        """Continues the stream of `request` after the event ID `last_event`."""

    @abc.abstractmethod
    async def cancel(self, attempt: str) -> None | errors.Failure:
        """Asks the engine to stop working on an attempt."""

    @abc.abstractmethod
    async def load_model(
        self, model: str, version: str, fencing_token: int
    ) -> None | errors.Failure:
        """Orders a model load; returns when the model is resident."""

    @abc.abstractmethod
    async def unload_model(
        self, model: str, fencing_token: int
    ) -> None | errors.Failure:
        """Orders a model unload; returns when its memory is free."""

    @abc.abstractmethod
    async def load_adapter(
        self, adapter: str, model: str, fencing_token: int
    ) -> None | errors.Failure:
        """Orders an adapter load; returns when it is resident."""

    @abc.abstractmethod
    async def unload_adapter(
        self, adapter: str, fencing_token: int
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
