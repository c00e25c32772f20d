"""Receives the responses of attempts.

The owner of a target sends the response of an attempt as messages, over a link
or in the same process; a `Receiver` buffers them until they can be written to
the caller's connection.
"""

import abc
import asyncio

from carobsail import errors, messages

# An attempt fails when its caller leaves more than this unread.
MAX_BUFFERED_BYTES = 4 * 1024 * 1024

ResponseMessage = (
    messages.Head | messages.Chunk | messages.End | messages.Failed
)


class ResponseSink(abc.ABC):
    """Takes the messages of one attempt's response in order."""

    @abc.abstractmethod
    async def put(self, message: ResponseMessage) -> bool:
        """Takes a message; returns False if the response is unwanted."""


class Receiver(ResponseSink):
    """Buffers the response of one attempt.

    Attributes:
      attempt: Identifier of the attempt.
    """

    __slots__ = (
        "_buffered_bytes",
        "_chunks",
        "_closed",
        "_end",
        "_failure",
        "_head",
        "_wake",
        "attempt",
    )

    def __init__(self, attempt: str) -> None:
        self.attempt = attempt
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._head: messages.Head | None = None
        self._end: messages.End | None = None
        self._failure: errors.Failure | None = None
        self._closed = False
        self._wake = asyncio.Event()

    async def put(self, message: ResponseMessage) -> bool:
        """See base class."""
        return self.accept(message)

    def accept(self, message: ResponseMessage) -> bool:
        """Takes a message; returns False if the response is unwanted."""
        if self._closed or self._end or self._failure:
            return False
        if isinstance(message, messages.Chunk):
            self._chunks.append(message.data)
            self._buffered_bytes += len(message.data)
            if self._buffered_bytes > MAX_BUFFERED_BYTES:
                self.fail(self._overflow_failure())
        elif isinstance(message, messages.Head):
            self._head = message
        elif isinstance(message, messages.End):
            self._end = message
        else:
            self._failure = message.failure()
        self._wake.set()
        return True

    def fail(self, failure: errors.Failure) -> None:
        """Ends the response, for example when the link to the owner broke."""
        if not self._end and not self._failure:
            self._failure = failure
            self._wake.set()

    def close(self) -> None:
        """Refuses all further messages."""
        self._closed = True

    def _overflow_failure(self) -> errors.Failure:
        return errors.Failure(
            errors.Reason.CANCELLED,
            errors.Step.ANSWER,
            "caller",
            errors.Outcome.UNKNOWN,
            f"the caller left {self._buffered_bytes} bytes unread",
        )

    async def head(self) -> messages.Head | errors.Failure:
        """Waits for the head of the response."""
        while self._head is None:
            if self._failure:
                return self._failure
            await self._wait()
        return self._head

    async def next_data(self) -> bytes | messages.End | errors.Failure:
        """Waits for body bytes or for the end of the response.

        Returns all buffered body bytes at once.
        """
        while True:
            if self._chunks:
                chunks, self._chunks = self._chunks, []
                self._buffered_bytes = 0
                return chunks[0] if len(chunks) == 1 else b"".join(chunks)
            if self._end:
                return self._end
            if self._failure:
                return self._failure
            await self._wait()

    async def _wait(self) -> None:
        self._wake.clear()
        await self._wake.wait()


class Receivers:
    """Receivers of all attempts that this instance has in flight.

    Attributes:
      dropped: Number of dropped messages, whose attempt is unknown or has ended
        (late, duplicate or out of order).
    """

    __slots__ = ("_by_attempt", "dropped")

    def __init__(self) -> None:
        self._by_attempt: dict[str, Receiver] = {}
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._by_attempt)

    def open(self, attempt: str) -> Receiver:
        """Creates the receiver of a new attempt."""
        receiver = Receiver(attempt)
        self._by_attempt[attempt] = receiver
        return receiver

    def close(self, attempt: str) -> None:
        """Removes an attempt; its further messages are dropped."""
        receiver = self._by_attempt.pop(attempt, None)
        if receiver:
            receiver.close()

    def deliver(self, message: ResponseMessage) -> bool:
        """Passes a message to its receiver; returns False if it was dropped."""
        receiver = self._by_attempt.get(message.attempt)
        if receiver is None or not receiver.accept(message):
            self.dropped += 1
            return False
        return True
