"""Receiving side of an attempt.

The owner of a target sends the answer of an attempt as messages, over a link
or directly; a `Receiver` holds them until the caller's connection takes them.
"""

import abc
import asyncio

from carobsail import errors, messages

# A caller that reads slower than its answer arrives may hold this much.
MAX_BUFFERED_BYTES = 4 * 1024 * 1024

Answer = messages.Head | messages.Chunk | messages.End | messages.Failed


class Sink(abc.ABC):
    """Takes the messages of one attempt's answer in order."""

    @abc.abstractmethod
    async def put(self, message: Answer) -> bool:
        """Takes a message; False when the answer is no longer wanted."""


class Receiver(Sink):
    """Buffers the answer of one attempt.

    Attributes:
      attempt: Identifier of the attempt.
    """

    __slots__ = (
        "_chunks",
        "_closed",
        "_end",
        "_failure",
        "_head",
        "_size",
        "_wake",
        "attempt",
    )

    def __init__(self, attempt: str) -> None:
        self.attempt = attempt
        self._chunks: list[bytes] = []
        self._size = 0
        self._head: messages.Head | None = None
        self._end: messages.End | None = None
        self._failure: errors.Failure | None = None
        self._closed = False
        self._wake = asyncio.Event()

    async def put(self, message: Answer) -> bool:
        """See base class."""
        return self.accept(message)

    def accept(self, message: Answer) -> bool:
        """Takes a message; False when the answer is no longer wanted."""
        if self._closed or self._end or self._failure:
            return False
        if isinstance(message, messages.Chunk):
            self._chunks.append(message.data)
            self._size += len(message.data)
            if self._size > MAX_BUFFERED_BYTES:
                self.fail(self._overflow())
        elif isinstance(message, messages.Head):
            self._head = message
        elif isinstance(message, messages.End):
            self._end = message
        else:
            self._failure = message.failure()
        self._wake.set()
        return True

    def fail(self, failure: errors.Failure) -> None:
        """Ends the answer, for example because the link to the owner broke."""
        if not self._end and not self._failure:
            self._failure = failure
            self._wake.set()

    def close(self) -> None:
        """Refuses all further messages."""
        self._closed = True

    def _overflow(self) -> errors.Failure:
        return errors.Failure(
            errors.Reason.CANCELLED,
            errors.Step.ANSWER,
            "caller",
            errors.Outcome.UNKNOWN,
            f"the caller left {self._size} bytes unread",
        )

    async def head(self) -> messages.Head | errors.Failure:
        """Waits for the head of the answer."""
        while self._head is None:
            if self._failure:
                return self._failure
            await self._wait()
        return self._head

    async def next(self) -> bytes | messages.End | errors.Failure:
        """Waits for body bytes, joined, or for the end of the answer."""
        while True:
            if self._chunks:
                chunks, self._chunks = self._chunks, []
                self._size = 0
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
    """Receivers of all attempts that this instance has under way.

    Attributes:
      dropped: Messages of unknown attempts (late, doubled or crossed).
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
        """Forgets an attempt; its further messages are dropped."""
        receiver = self._by_attempt.pop(attempt, None)
        if receiver:
            receiver.close()

    def deliver(self, message: Answer) -> bool:
        """Passes a message to its attempt; False when it was dropped."""
        receiver = self._by_attempt.get(message.attempt)
        if receiver is None or not receiver.accept(message):
            self.dropped += 1
            return False
        return True
