"""Tests the limit of what is buffered of several responses."""

from carobsail import bufferlimit


def test_largest_buffer_is_given_up():
    """Sound responses, which are small, were given up for an endless one."""
    limit = bufferlimit.BufferLimit(100)
    aborted = []
    with (
        limit.buffer(lambda: aborted.append("small")) as small,
        limit.buffer(lambda: aborted.append("large")) as large,
    ):
        large.resize(90)
        small.resize(11)
        assert aborted == ["large"] and large.given_up and not small.given_up
        large.resize(95)  # Its task has not noticed yet.
        assert limit.total_bytes == 11
    assert limit.total_bytes == 0
