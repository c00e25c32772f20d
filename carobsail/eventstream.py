"""Position in a stream of server-sent events.

Bytes are passed on only up to the end of a whole event, so that a broken
stream can be resumed after its last event without a lost or doubled token.
"""

# Largest event that is held until its end. An event holds a few tokens, or
# one message of a chat; this is some 60,000 tokens.
MAX_EVENT_BYTES = 262_144
_SEPARATOR = b"\n\n"
_ID_FIELD = b"id:"


class EventCursor:
    """Splits received bytes at event boundaries and knows the last event.

    Attributes:
      finished: Whether the final `[DONE]` event was passed on.
    """

    __slots__ = ("_last_whole", "_partial", "finished")

    def __init__(self) -> None:
        self._partial = b""
        self._last_whole = b""
        self.finished = False

    @property
    def overlong(self) -> bool:
        """Whether the incomplete event is too long to wait for its end."""
        return len(self._partial) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Takes received bytes and returns those that end whole events."""
        if self._partial:
            data = self._partial + data
        end = data.rfind(_SEPARATOR) + len(_SEPARATOR)
        if end < len(_SEPARATOR):
            self._partial = data
            return b""
        self._partial = data[end:]
        whole = data[:end] if self._partial else data
        if _ID_FIELD in whole:
            self._last_whole = whole
        if whole.endswith(b"data: [DONE]\n\n"):
            self.finished = True
        return whole

    def take_rest(self) -> bytes:
        """Returns what follows the last whole event of a complete answer."""
        rest, self._partial = self._partial, b""
        return rest

    def restart(self) -> None:
        """Forgets the incomplete event of a connection that broke."""
        self._partial = b""

    def last_event(self) -> str:
        """Returns the identifier of the last whole event, or empty.

        Its bytes are read as Latin-1, as those of a header are.
        """
        start = self._last_whole.rfind(b"\n" + _ID_FIELD) + 1
        if not start and not self._last_whole.startswith(_ID_FIELD):
            return ""
        line = self._last_whole[start:].split(b"\n", 1)[0]
        return line[len(_ID_FIELD) :].strip().decode("latin-1")
