"""Body of an HTTP answer: whole chunks in bulk, everything else by h11.

h11 spends more time on each small chunk than the rest of the relay. Chunks
that have arrived whole and in their plain form are taken out before h11 sees
them. Between two chunks h11 keeps no state, so it reads what follows (chunks
in part, extensions, the last chunk, trailers, errors) as if those chunks had
never been sent.
"""

import re

import h11

# Largest head of an answer, as of a request by default. h11 reads it in one go;
# 64 KiB of short lines held the event loop for 0.1 s.
HEAD_BYTES = 32_768
# A longer chunk is passed on as it comes in.
_MAX_CHUNK_BYTES = 65_536
# Chunks that are taken at once. h11 needs up to 60 us for each; reads of 64 KiB
# hold 9,000 of the shortest, and held the event loop for over a second.
_MAX_CHUNKS = 256
# As event after the bytes: what was received holds more.
MORE = object()
_CHUNK_SIZE = re.compile(rb"([0-9a-fA-F]{1,5})\r\n")
_SIZE_LINE_BYTES = 7


class AnswerBody:
    """Feeds received bytes of one answer to h11, head and body.

    Attributes:
      machine: h11's side of the connection, as a client.
    """

    __slots__ = ("_bulk", "_rest", "machine")

    def __init__(self, machine: h11.Connection) -> None:
        self.machine = machine
        # Received bytes that h11 has not been given.
        self._rest = b""
        self._bulk = False

    @property
    def unread(self) -> bool:
        """Whether bytes are left that no event has used."""
        return bool(self._rest or self.machine.trailing_data[0])

    def rest(self) -> bytes:
        """Returns the bytes that no event has used."""
        return self.machine.trailing_data[0] + self._rest

    def receive_head(self, data: bytes) -> None:
        """Takes received bytes while the head is read; empty means the end."""
        self._rest += data
        if not data:
            self._give_all()
            self.machine.receive_data(b"")

    def next_event(self) -> object:
        """Returns h11's next event before the body.

        Raises:
          h11.RemoteProtocolError: The answer is malformed or ended early.
        """
        event = self.machine.next_event()
        while event is h11.NEED_DATA and self._rest:
            # h11 is given one head at a time, so that the bytes after it are
            # still here when the body starts.
            end = self._rest.find(b"\r\n\r\n") + 4
            # h11 bounds only heads that are incomplete.
            room = HEAD_BYTES - len(self.machine.trailing_data[0])
            if end < 4:
                end = min(len(self._rest), room)
            if not 0 < end <= room:
                raise h11.RemoteProtocolError("the head is too long")
            self.machine.receive_data(self._rest[:end])
            self._rest = self._rest[end:]
            event = self.machine.next_event()
        if isinstance(event, h11.Response):
            self._start(event)
        return event

    def _start(self, head: h11.Response) -> None:
        coding = [v for k, v in head.headers if k == b"transfer-encoding"]
        self._bulk = (
            coding == [b"chunked"]
            and head.status_code not in (204, 304)
            and self.machine.their_state is h11.SEND_BODY
            # h11 got body bytes already when the head came in pieces.
            and not self.machine.trailing_data[0]
        )
        if not self._bulk:
            self._give_all()

    def _give_all(self) -> None:
        rest, self._rest = self._rest, b""
        if rest:
            self.machine.receive_data(rest)

    def receive(self, data: bytes) -> None:
        """Takes received bytes of the body; empty means the end."""
        if self._bulk and data:
            self._rest = self._rest + data if self._rest else data
            return
        self._bulk = False
        self._give_all()
        self.machine.receive_data(data)

    def take(self) -> tuple[bytes, object]:
        """Returns the next received body bytes, and the event after them.

        The event is `MORE` if there are more bytes to take at once: the
        caller lets other work run first.
        """
        parts: list[bytes] = []
        if self._bulk:
            self._take_chunks(parts)
            if len(parts) == _MAX_CHUNKS:
                return _join(parts), MORE
            if self._bulk:
                return _join(parts), h11.NEED_DATA
        end: object
        try:
            while isinstance(end := self.machine.next_event(), h11.Data):
                parts.append(end.data)
                if len(parts) >= _MAX_CHUNKS:
                    return _join(parts), MORE
        except h11.RemoteProtocolError as error:
            end = error
        return _join(parts), end

    def _take_chunks(self, parts: list[bytes]) -> None:
        """Takes whole chunks; leaves the rest to h11 if it is not plain."""
        rest = self._rest
        position = 0
        while position < len(rest) and len(parts) < _MAX_CHUNKS:
            line = _CHUNK_SIZE.match(rest, position)
            if line is None:
                if len(rest) - position >= _SIZE_LINE_BYTES:
                    self._bulk = False
                break
            size = int(line[1], 16)
            start = line.end()
            end = start + size
            if size == 0 or size > _MAX_CHUNK_BYTES:
                self._bulk = False
                break
            if len(rest) < end + 2:
                # A wrong byte after the data is h11's to report, at once: held
                # back, its error would name bytes that came later.
                self._bulk = b"\r\n".startswith(rest[end:])
                break
            if rest[end : end + 2] != b"\r\n":
                self._bulk = False
                break
            parts.append(rest[start:end])
            position = end + 2
        self._rest = rest[position:]
        if not self._bulk:
            self._give_all()


def _join(parts: list[bytes]) -> bytes:
    # h11 gives bytearrays; `bytes` and `join` each copy once.
    return bytes(parts[0]) if len(parts) == 1 else b"".join(parts)
