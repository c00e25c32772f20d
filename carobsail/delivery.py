"""Receives the response of an attempt and streams it to the caller."""

import abc
import asyncio
import dataclasses

from carobsail import attempts, errors, exchange, messages

# Maximum size of a response that is not streamed; it is buffered in memory.
MAX_BUFFERED_RESPONSE_BYTES = 16 * 1024 * 1024


class Delivery(abc.ABC):
    """Writes a streamed response to the caller."""

    @abc.abstractmethod
    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Writes status and headers."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Writes body bytes."""


@dataclasses.dataclass(slots=True)
class Streamed:
    """Result of a response that was delivered as a stream.

    Attributes:
      status: HTTP status.
    """

    status: int


async def receive_response(
    caller_exchange: exchange.Exchange,
    receiver: attempts.Receiver,
    delivery: Delivery,
) -> messages.StoredResponse | Streamed | errors.Failure:
    """Receives the response of an attempt.

    A stream is passed on as it arrives; any other response is buffered.

    Args:
      caller_exchange: The exchange, with the attempt in flight.
      receiver: Receiver of the attempt.
      delivery: Writes a stream to the caller.
    """
    head = await receiver.head()
    if isinstance(head, errors.Failure):
        return head
    if caller_exchange.request.stream and head.status == 200:
        return await _pass_on_stream(caller_exchange, receiver, head, delivery)
    return await _buffer(caller_exchange, receiver, head)


async def _pass_on_stream(
    caller_exchange: exchange.Exchange,
    receiver: attempts.Receiver,
    head: messages.Head,
    delivery: Delivery,
) -> Streamed | errors.Failure:
    """Passes a stream on as it arrives."""
    while True:
        part = await receiver.next_data()
        if isinstance(part, errors.Failure):
            return part
        if isinstance(part, messages.End):
            truncation = caller_exchange.finish(part.body_bytes)
            return truncation or Streamed(head.status)
        started = caller_exchange.delivered_bytes > 0
        data = caller_exchange.receive_stream_data(part, _now())
        if data and not started:
            await delivery.start(head.status, head.headers)
        if data:
            await delivery.write(data)


async def _buffer(
    caller_exchange: exchange.Exchange,
    receiver: attempts.Receiver,
    head: messages.Head,
) -> messages.StoredResponse | errors.Failure:
    """Buffers a response until it is complete.

    The request can thus be retried after a truncated response.
    """
    parts: list[bytes] = []
    length = 0
    while True:
        part = await receiver.next_data()
        if isinstance(part, errors.Failure):
            return part
        if isinstance(part, messages.End):
            break
        parts.append(part)
        caller_exchange.count_buffered_data(part)
        length += len(part)
        if length > MAX_BUFFERED_RESPONSE_BYTES:
            return errors.Failure(
                errors.Reason.BODY_TOO_LARGE,
                errors.Step.ANSWER,
                caller_exchange.target,
                errors.Outcome.FAILED,
                f"the answer exceeds {MAX_BUFFERED_RESPONSE_BYTES} bytes",
            )
    caller_exchange.first_byte_at = _now()
    truncation = caller_exchange.finish(part.body_bytes)
    if truncation is not None:
        return truncation
    body = b"".join(parts)
    return messages.StoredResponse(head.status, head.headers, body)


def _now() -> float:
    return asyncio.get_running_loop().time()
