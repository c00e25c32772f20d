"""Parses the body of an HTTP response: simple chunks here, the rest by h11.

h11 spends more time on each small chunk than the rest of the relay. Chunks that
have arrived completely and without extensions are therefore decoded here and
not passed to h11. h11 keeps no state between two chunks, so it parses what
follows (incomplete chunks, extensions, the last chunk, trailers, errors) as if
those chunks had not been sent.
"""

import re

import h11

# Maximum size of a response head, the same as the default for requests. h11
# parses a head in one call; 64 KiB of short lines blocked the event loop for
# 0.1 s.
MAX_HEAD_BYTES = 32_768
# Statuses above have no class and no defined meaning.
_MAX_STATUS = 599
# Longer chunks are passed to h11, which returns their data as it arrives.
_MAX_CHUNK_BYTES = 65_536
# Chunks that are parsed in one call. h11 needs up to 60 us for each; a read of
# 64 KiB holds 9,000 of the shortest, which blocked the event loop for over a
# second.
_MAX_CHUNKS = 256
# Returned as the event by `ResponseBody.next_data` if it can parse further
# bytes.
MORE_BUFFERED = object()
_CHUNK_SIZE = re.compile(rb"([0-9a-fA-F]{1,5})\r\n")
# Length of the longest line that `_CHUNK_SIZE` matches.
_MAX_SIZE_LINE_BYTES = 7


class ResponseBody:
    """Parses head and body of one response with h11 and a faster path.

    Attributes:
      h11_connection: Client-side state of the connection in h11.
    """

    __slots__ = ("_fast_path", "_pending", "h11_connection")

    def __init__(self, connection: h11.Connection) -> None:
        self.h11_connection = connection
        # Received bytes that have not been passed to h11.
        self._pending = b""
        self._fast_path = False

    @property
    def unread(self) -> bool:
        """Whether received bytes are left that belong to no event yet."""
        return bool(self._pending or self.h11_connection.trailing_data[0])

    def unread_bytes(self) -> bytes:
        """Returns the received bytes that belong to no event yet."""
        return self.h11_connection.trailing_data[0] + self._pending

    def receive_head(self, data: bytes) -> None:
        """Adds received bytes before the body; no bytes mean end of input."""
        self._pending += data
        if not data:
            self._feed_pending()
            self.h11_connection.receive_data(b"")

    def next_event(self) -> object:
        """Returns h11's next event before the body.

        Raises:
          h11.RemoteProtocolError: The response is malformed or incomplete.
        """
        event = self.h11_connection.next_event()
        while event is h11.NEED_DATA and self._pending:
            # Only one head at a time is passed to h11, so that the bytes after
            # it are still pending when the body starts.
            end = self._pending.find(b"\r\n\r\n") + 4
            # h11 limits the size of incomplete heads only.
            room = MAX_HEAD_BYTES - len(self.h11_connection.trailing_data[0])
            if end < 4:
                end = min(len(self._pending), room)
            if not 0 < end <= room:
                raise h11.RemoteProtocolError("the head is too long")
            self.h11_connection.receive_data(self._pending[:end])
            self._pending = self._pending[end:]
            event = self.h11_connection.next_event()
        if isinstance(event, h11.Response):
            _check_head(event)
            self._start(event)
        return event

    def _start(self, head: h11.Response) -> None:
        coding = [v for k, v in head.headers if k == b"transfer-encoding"]
        self._fast_path = (
            coding == [b"chunked"]
            and head.status_code not in (204, 304)
            and self.h11_connection.their_state is h11.SEND_BODY
            # A head that arrived in pieces may have passed body bytes to h11.
            and not self.h11_connection.trailing_data[0]
        )
        if not self._fast_path:
            self._feed_pending()

    def _feed_pending(self) -> None:
        rest, self._pending = self._pending, b""
        if rest:
            self.h11_connection.receive_data(rest)

    def receive(self, data: bytes) -> None:
        """Adds received bytes of the body; no bytes mean end of input."""
        if self._fast_path and data:
            self._pending = self._pending + data if self._pending else data
            return
        self._fast_path = False
        self._feed_pending()
        self.h11_connection.receive_data(data)

    def next_data(self) -> tuple[bytes, object]:
        """Returns the next received body bytes and the h11 event after them.

        The event is `MORE_BUFFERED` if further bytes can be parsed now; before
        that, the code that calls this method should let other tasks run.
        """
        parts: list[bytes] = []
        if self._fast_path:
            self._take_chunks(parts)
            if len(parts) == _MAX_CHUNKS:
                return _join(parts), MORE_BUFFERED
            if self._fast_path:
                return _join(parts), h11.NEED_DATA
        end: object
        try:
            while isinstance(end := self.h11_connection.next_event(), h11.Data):
                parts.append(end.data)
                if len(parts) >= _MAX_CHUNKS:
                    return _join(parts), MORE_BUFFERED
        except h11.RemoteProtocolError as error:
            end = error
        return _join(parts), end

    def _take_chunks(self, parts: list[bytes]) -> None:
        """Decodes complete chunks; passes anything else to h11."""
        rest = self._pending
        position = 0
        while position < len(rest) and len(parts) < _MAX_CHUNKS:
            line = _CHUNK_SIZE.match(rest, position)
            if line is None:
                if len(rest) - position >= _MAX_SIZE_LINE_BYTES:
                    self._fast_path = False
                break
            size = int(line[1], 16)
            start = line.end()
            end = start + size
            if size == 0 or size > _MAX_CHUNK_BYTES:
                self._fast_path = False
                break
            if len(rest) < end + 2:
                # A wrong byte after the data must be reported by h11 at once:
                # later, its error message would include bytes received since.
                self._fast_path = b"\r\n".startswith(rest[end:])
                break
            if rest[end : end + 2] != b"\r\n":
                self._fast_path = False
                break
            parts.append(rest[start:end])
            position = end + 2
        self._pending = rest[position:]
        if not self._fast_path:
            self._feed_pending()


def _check_head(head: h11.Response) -> None:
    """Checks what h11 accepts although it is not valid HTTP/1.

    h11 itself accepts no status below 100.

    Raises:
      h11.RemoteProtocolError: The head is that of no response.
    """
    if head.status_code > _MAX_STATUS:
        raise h11.RemoteProtocolError(f"status {head.status_code}")
    if not head.http_version.startswith(b"1."):
        raise h11.RemoteProtocolError(
            f"HTTP version {head.http_version.decode()}"
        )
    names = {name for name, _ in head.headers}
    if {b"content-length", b"transfer-encoding"} <= names:
        # The recipients on the way may disagree on where the body ends.
        raise h11.RemoteProtocolError("a length and a transfer coding")


def _join(parts: list[bytes]) -> bytes:
    # h11 returns bytearrays; both `bytes` and `join` make a single copy.
    return bytes(parts[0]) if len(parts) == 1 else b"".join(parts)
