"""Tests that the fast path for chunked bodies parses like h11."""

import h11
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from carobsail import responsebody

HEAD = b"HTTP/1.1 200 OK\r\n"


def h11_connection():
    """Returns an h11 client connection that has sent its request."""
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
    client.send(h11.EndOfMessage())
    return client


def outcome(end):
    """Returns the final event in comparable form: trailers or error text."""
    if isinstance(end, h11.RemoteProtocolError):
        return str(end)
    if isinstance(end, h11.EndOfMessage):
        return [tuple(map(bytes, header)) for header in end.headers]
    return end


def read_by_h11(pieces):
    """Returns body, final event and whether bytes are left, by h11 alone."""
    client, body = h11_connection(), b""
    for piece in pieces:
        try:
            client.receive_data(piece)
            while (event := client.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.EndOfMessage):
                    return body, outcome(event), bool(client.trailing_data[0])
                if isinstance(event, h11.Data):
                    body += event.data
        except h11.RemoteProtocolError as error:
            return body, outcome(error), None
    raise AssertionError("the last piece must be the end")


def read_in_bulk(pieces):
    """Returns body, final event and whether `ResponseBody` has bytes left."""
    reader, body, head = responsebody.ResponseBody(h11_connection()), b"", None
    for piece in pieces:
        try:
            if head is None:
                reader.receive_head(piece)
                while not isinstance(head, h11.Response):
                    head = reader.next_event()
                    if head is h11.NEED_DATA:
                        head = None
                        break
                if head is None:
                    continue
            else:
                reader.receive(piece)
        except h11.RemoteProtocolError as error:
            return body, outcome(error), None
        data, end = reader.next_data()
        body += data
        while end is responsebody.MORE_BUFFERED:
            data, end = reader.next_data()
            body += data
        if isinstance(end, h11.EndOfMessage):
            return body, outcome(end), reader.unread
        if end is not h11.NEED_DATA:
            return body, outcome(end), None
    raise AssertionError("the last piece must be the end")


chunks = st.lists(
    st.tuples(
        st.binary(min_size=1, max_size=40),
        st.sampled_from([b"", b";x=1", b" "]),
        st.sampled_from([b"%x", b"%X", b"00%x", b"00000%x"]),
    ),
    max_size=5,
)


@st.composite
def answers(draw):
    """Returns a complete, truncated or corrupted response, in pieces."""
    parts = [
        number % len(data) + extension + b"\r\n" + data + b"\r\n"
        for data, extension, number in draw(chunks)
    ]
    trailer = draw(st.sampled_from([b"", b"a: b\r\n", b"bad\r\n"]))
    framing = draw(
        st.sampled_from(
            [b"transfer-encoding: chunked", b"Transfer-Encoding: Chunked"]
        )
    )
    body = b"".join(parts) + b"0\r\n" + trailer + b"\r\n"
    if draw(st.booleans()):
        framing, body = b"content-length: %d" % len(body), body
    interim = draw(st.sampled_from([b"", b"HTTP/1.1 103 Hints\r\n\r\n"]))
    whole = interim + HEAD + framing + b"\r\n\r\n" + body
    whole += draw(st.sampled_from([b"", b"HTTP/1.1 200", b"x"]))
    if draw(st.booleans()):
        at = draw(st.integers(0, len(whole) - 1))
        whole = whole[:at] + draw(st.binary(max_size=2)) + whole[at + 1 :]
    if draw(st.booleans()):
        whole = whole[: draw(st.integers(0, len(whole)))]
    cuts = sorted(draw(st.lists(st.integers(0, len(whole)), max_size=6)))
    edges = [0, *cuts, len(whole)]
    pieces = [
        whole[a:b] for a, b in zip(edges, edges[1:], strict=False) if a < b
    ]
    return [*pieces, b""]


@settings(max_examples=1500, deadline=None)
@example(
    [
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        b"3\r\n\x00\x00\r\n",
        b"0\r\n\r\n",
        b"",
    ]
)
@given(answers())
def test_bulk_reading_equals_h11(pieces):
    """R3: a truncated, corrupted or mixed-up response must not look whole."""
    body, end, unused = read_in_bulk(pieces)
    expected_body, expected_end, expected_unused = read_by_h11(pieces)
    assert body == expected_body
    assert end == expected_end
    # A truncation is detected after the same bytes. Bytes after a complete
    # response must be noticed, so that its connection is not reused.
    assert unused == expected_unused


@pytest.mark.parametrize("size_line", [b"1\r\n", b"1;x\r\n", b"000001\r\n"])
@pytest.mark.parametrize("count", [255, 256, 257, 5000])
def test_many_chunks_are_taken_in_parts(size_line, count):
    """An endless series of short chunks blocked the event loop."""
    head = HEAD + b"transfer-encoding: chunked\r\n\r\n"
    body = (size_line + b"y\r\n") * count + b"0\r\n\r\n"
    assert read_in_bulk([head + body]) == (
        b"y" * count,
        [],
        False,
    )
    reader = responsebody.ResponseBody(h11_connection())
    reader.receive_head(head)
    reader.next_event()
    reader.receive(body)
    data, end = reader.next_data()
    assert len(data) == min(count, 256)
    assert (end is responsebody.MORE_BUFFERED) == (count >= 256)


@pytest.mark.parametrize("size", [65_536, 65_537, 300_000])
def test_long_chunk_is_passed_on_before_its_end(size):
    """A chunk of any announced size must not be buffered in memory."""
    reader = responsebody.ResponseBody(h11_connection())
    head = HEAD + b"transfer-encoding: chunked\r\n\r\n"
    reader.receive_head(head + b"%x\r\n" % size)
    reader.next_event()
    held = 0
    for _ in range(size // 1000):
        reader.receive(b"x" * 1000)
        data, _ = reader.next_data()
        held += 1000 - len(data)
        assert held <= 66_000
