"""Takes the answer of an attempt to the caller."""

import abc
import asyncio
import dataclasses

from carobsail import attempts, errors, exchange, messages

# A whole answer that is not streamed is held in memory up to this size.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class Delivery(abc.ABC):
    """Takes a streamed answer to the caller."""

    @abc.abstractmethod
    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Sends the head."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Sends body bytes."""


@dataclasses.dataclass(slots=True)
class Streamed:
    """The answer was delivered while it came in."""

    status: int


async def receive_answer(
    caller_exchange: exchange.Exchange,
    receiver: attempts.Receiver,
    delivery: Delivery,
) -> messages.StoredAnswer | Streamed | errors.Failure:
    """Receives the answer of an attempt.

    A stream is passed on while it comes in; another answer is held.

    Args:
      caller_exchange: The exchange, with the attempt under way.
      receiver: Receives the attempt.
      delivery: Takes a stream to the caller.
    """
    head = await receiver.head()
    if isinstance(head, errors.Failure):
        return head
    if caller_exchange.request.stream and head.status == 200:
        return await _deliver(caller_exchange, receiver, head, delivery)
    return await _collect(caller_exchange, receiver, head)


async def _deliver(
    caller_exchange: exchange.Exchange,
    receiver: attempts.Receiver,
    head: messages.Head,
    delivery: Delivery,
) -> Streamed | errors.Failure:
    """Passes a stream on while it comes in."""
    while True:
        part = await receiver.next()
        if isinstance(part, errors.Failure):
            return part
        if isinstance(part, messages.End):
            cut = caller_exchange.finish(part.length)
            return cut or Streamed(head.status)
        started = caller_exchange.delivered > 0
        data = caller_exchange.receive(part, _now())
        if data and not started:
            await delivery.start(head.status, head.headers)
        if data:
            await delivery.write(data)


async def _collect(
    caller_exchange: exchange.Exchange,
    receiver: attempts.Receiver,
    head: messages.Head,
) -> messages.StoredAnswer | errors.Failure:
    """Holds an answer until it is whole, so that a cut one can rerun."""
    parts: list[bytes] = []
    length = 0
    while True:
        part = await receiver.next()
        if isinstance(part, errors.Failure):
            return part
        if isinstance(part, messages.End):
            break
        parts.append(part)
        caller_exchange.collect(part)
        length += len(part)
        if length > MAX_ANSWER_BYTES:
            return errors.Failure(
                errors.Reason.BODY_TOO_LARGE,
                errors.Step.ANSWER,
                caller_exchange.target,
                errors.Outcome.FAILED,
                f"the answer exceeds {MAX_ANSWER_BYTES} bytes",
            )
    caller_exchange.first_byte_at = _now()
    cut = caller_exchange.finish(part.length)
    if cut is not None:
        return cut
    body = b"".join(parts)
    return messages.StoredAnswer(head.status, head.headers, body)


def _now() -> float:
    return asyncio.get_running_loop().time()
