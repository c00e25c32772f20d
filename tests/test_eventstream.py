"""Tests the position in a stream of server-sent events (R3)."""

from hypothesis import given, settings
from hypothesis import strategies as st

from carobsail import eventstream

STREAM = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 30))
DONE = b"data: [DONE]\n\n"


@settings(derandomize=True, max_examples=200)
@given(cuts=st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_any_split_gives_the_same_bytes_and_position(cuts):
    """A read boundary within an event must not lose or repeat a token."""
    cursor = eventstream.EventCursor()
    edges = [0, *sorted(cuts), len(STREAM)]
    received = b""
    for start, end in zip(edges, edges[1:], strict=False):
        received += cursor.feed(STREAM[start:end])
        whole = received.count(b"\n\n")
        assert cursor.last_event() == (str(whole) if whole else "")
    assert received == STREAM


def test_event_without_an_end_is_detected():
    """Bytes of an event that never ends were buffered without a limit."""
    cursor = eventstream.EventCursor()
    for _ in range(eventstream.MAX_EVENT_BYTES // 4096):
        assert cursor.feed(b": c\n" * 1024) == b""
        assert not cursor.overlong
    cursor.feed(b"x")
    assert cursor.overlong


def test_identifier_of_any_bytes():
    """An identifier that is not UTF-8 caused an unhandled exception."""
    cursor = eventstream.EventCursor()
    cursor.feed(b"id: \xff1\ndata: x\n\n")
    assert cursor.last_event().encode("latin-1") == b"\xff1"


def test_done_event_without_identifier_keeps_the_position():
    """The final event has no identifier; the previous one is kept."""
    cursor = eventstream.EventCursor()
    cursor.feed(STREAM)
    cursor.feed(DONE)
    assert cursor.finished
    assert cursor.last_event() == "29"
