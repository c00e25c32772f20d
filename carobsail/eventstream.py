"""Position in a stream of server-sent events.

Bytes are relayed only up to the end of a complete event, so that a broken
stream can be resumed after its last event without lost or repeated tokens.
"""

# Maximum size of an incomplete event that is buffered. An event contains a few
# tokens or one chat message; this is enough for some 60,000 tokens.
MAX_EVENT_BYTES = 262_144
_SEPARATOR = b"\n\n"
_ID_FIELD = b"id:"


class EventCursor:
    """Splits received bytes at event boundaries and tracks the last event.

    Attributes:
      finished: Whether the final `[DONE]` event was received.
    """

    __slots__ = ("_last_events", "_partial", "finished")

    def __init__(self) -> None:
        self._partial = b""
        # The last complete events that include an identifier.
        self._last_events = b""
        self.finished = False

    @property
    def partial_bytes(self) -> int:
        """Size of the incomplete event."""
        return len(self._partial)

    @property
    def overlong(self) -> bool:
        """Whether the incomplete event exceeds the maximum size."""
        return len(self._partial) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes; returns all bytes up to the last event end."""
        if self._partial:
            data = self._partial + data
        end = data.rfind(_SEPARATOR) + len(_SEPARATOR)
        if end < len(_SEPARATOR):
            self._partial = data
            return b""
        self._partial = data[end:]
        events = data[:end] if self._partial else data
        if _ID_FIELD in events:
            self._last_events = events
        if events.endswith(b"data: [DONE]\n\n"):
            self.finished = True
        return events

    def take_partial(self) -> bytes:
        """Returns and clears the bytes after the last complete event."""
        rest, self._partial = self._partial, b""
        return rest

    def discard_partial(self) -> None:
        """Discards the incomplete event of a broken connection."""
        self._partial = b""

    def last_event(self) -> str:
        """Returns the identifier of the last complete event, or empty.

        It is decoded as Latin-1, like the header in which it is sent.
        """
        start = self._last_events.rfind(b"\n" + _ID_FIELD) + 1
        if not start and not self._last_events.startswith(_ID_FIELD):
            return ""
        line = self._last_events[start:].split(b"\n", 1)[0]
        return line[len(_ID_FIELD) :].strip().decode("latin-1")
