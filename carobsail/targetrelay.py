"""Sends a request to a target and relays the response."""

import abc
import asyncio
import dataclasses
import enum

import msgspec

from carobsail import (
    attempts,
    engines,
    errors,
    eventstream,
    inflightattempts,
    messages,
    telemetry,
)

MAX_STREAM_RESUMES = 2
_EVENT_STREAM = "text/event-stream"


class TargetClient(abc.ABC):
    """Client of a target, as far as the relay needs it."""

    @abc.abstractmethod
    async def send(
        self, request: messages.Dispatch
    ) -> engines.ResponseStream | errors.Failure:
        """Sends a request and returns the response once its head arrived."""

    @abc.abstractmethod
    async def resume(
        self, request: messages.Dispatch, last_event: str
    ) -> engines.ResponseStream | errors.Failure:
        """Continues a stream after the event with the ID `last_event`."""

    @abc.abstractmethod
    async def cancel(self, attempt: str) -> errors.Failure | None:
        """Tells the target that a response is no longer wanted."""

    @abc.abstractmethod
    async def incarnation(self) -> int | errors.Failure:
        """Returns a number that differs at each start of the target."""


def failure_after_send(
    request: messages.Dispatch, failure: errors.Failure
) -> errors.Failure:
    """Returns a failure for a request that the target may have started.

    Its outcome is FAILED for an idempotent request, else UNKNOWN.
    """
    outcome = errors.Outcome.FAILED
    if not request.idempotent:
        outcome = errors.Outcome.UNKNOWN
    return dataclasses.replace(failure, outcome=outcome)


async def relay_response(
    client: TargetClient,
    in_flight_attempt: inflightattempts.InFlightAttempt,
    sink: attempts.ResponseSink,
    target: str,
    metrics: telemetry.Metrics,
) -> errors.Failure | None:
    """Sends a request and passes the response to `sink`.

    Args:
      client: Client of the target.
      in_flight_attempt: The attempt.
      sink: Takes the response; when it wants no more, the request is cancelled
        at the target.
      target: Name of the target.
      metrics: Counts the resumed streams.

    Returns:
      None if the response was passed on or is no longer wanted, else the
      failure.
    """
    request = in_flight_attempt.request
    stream = await _send_or_resume(client, request)
    if isinstance(stream, errors.Failure):
        return stream
    if stream.status >= 500 and request.model:
        await stream.close()
        failure = errors.Failure(
            errors.Reason.TARGET_ERROR,
            errors.Step.ANSWER,
            target,
            detail=f"the target answered with status {stream.status}",
        )
        return failure_after_send(request, failure)
    in_flight_attempt.progress_at = asyncio.get_running_loop().time()
    headers = [h for h in stream.headers if h[0] == "content-type"]
    head = messages.Head(request.attempt, stream.status, headers)
    if not await sink.put(head):
        await _cancel(client, request, stream)
        return None
    return await _ResponseRelay(client, in_flight_attempt, sink, metrics).run(
        stream
    )


async def _send_or_resume(
    client: TargetClient, request: messages.Dispatch
) -> engines.ResponseStream | errors.Failure:
    if not request.resumed_attempt:
        return await client.send(request)
    return await client.resume(
        _as_original_attempt(request), request.last_event_id
    )


def _as_original_attempt(request: messages.Dispatch) -> messages.Dispatch:
    """Returns the request with the attempt identifier known to the target."""
    if not request.resumed_attempt:
        return request
    return msgspec.structs.replace(request, attempt=request.resumed_attempt)


async def _cancel(
    client: TargetClient,
    request: messages.Dispatch,
    stream: engines.ResponseStream,
) -> None:
    await stream.close()
    await client.cancel(_as_original_attempt(request).attempt)


class _StreamEnd(enum.Enum):
    """How a response ended without a failure."""

    WHOLE = enum.auto()
    UNWANTED = enum.auto()


class _ResponseRelay:
    """Passes on one response and resumes it if it is a stream that broke."""

    __slots__ = ("_bytes_passed_on", "_client", "_cursor", "_in_flight_attempt",
                 "_metrics", "_sink")  # fmt: skip

    def __init__(
        self,
        client: TargetClient,
        in_flight_attempt: inflightattempts.InFlightAttempt,
        sink: attempts.ResponseSink,
        metrics: telemetry.Metrics,
    ) -> None:
        self._client = client
        self._in_flight_attempt = in_flight_attempt
        self._sink = sink
        self._metrics = metrics
        self._cursor: eventstream.EventCursor | None = None
        self._bytes_passed_on = 0

    async def run(
        self, stream: engines.ResponseStream
    ) -> errors.Failure | None:
        request = self._in_flight_attempt.request
        if any(_EVENT_STREAM in value for _, value in stream.headers):
            self._cursor = eventstream.EventCursor()
        resumes = 0
        while True:
            ended = await self._pass_on(stream)
            if ended is _StreamEnd.WHOLE:
                await self._sink.put(
                    messages.End(request.attempt, self._bytes_passed_on)
                )
                return None
            if ended is _StreamEnd.UNWANTED:
                await _cancel(self._client, request, stream)
                return None
            assert isinstance(ended, errors.Failure)
            last_event = self._cursor.last_event() if self._cursor else ""
            if not last_event or resumes == MAX_STREAM_RESUMES:
                return failure_after_send(request, ended)
            resumes += 1
            self._metrics.count("resumes")
            assert self._cursor is not None
            self._cursor.discard_partial()
            resumed = await self._client.resume(
                _as_original_attempt(request), last_event
            )
            if isinstance(resumed, errors.Failure):
                return failure_after_send(request, ended)
            stream = resumed

    async def _pass_on(
        self, stream: engines.ResponseStream
    ) -> "errors.Failure | _StreamEnd":
        attempt = self._in_flight_attempt.request.attempt
        loop = asyncio.get_running_loop()
        cursor = self._cursor
        async for chunk in stream.chunks():
            if isinstance(chunk, errors.Failure):
                return chunk
            self._in_flight_attempt.progress_at = loop.time()
            data = cursor.feed(chunk) if cursor else chunk
            if cursor and cursor.overlong:
                await stream.close()
                return errors.Failure(
                    errors.Reason.ANSWER_CUT,
                    errors.Step.ANSWER,
                    self._in_flight_attempt.request.target,
                    errors.Outcome.UNKNOWN,
                    "an event without an end",
                )
            if not data:
                continue
            self._bytes_passed_on += len(data)
            if not await self._sink.put(messages.Chunk(attempt, data)):
                return _StreamEnd.UNWANTED
        return _StreamEnd.WHOLE
