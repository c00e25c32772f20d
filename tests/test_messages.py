"""Guards the codec of peer messages against lost fields and malformed input."""

import pytest

from carobsail import errors, messages


def test_failure_survives_the_codec():
    """An outcome decides about reruns, so no field may be lost on a link."""
    failure = errors.Failure(
        errors.Reason.CONNECTION_LOST,
        errors.Step.SEND,
        "engine-1",
        errors.Outcome.UNKNOWN,
        "reset",
        1.5,
    )
    sent = messages.Failed.from_failure("a1", failure)
    received = messages.decode(messages.encode(sent))
    assert received == sent
    assert received.failure() == failure


def test_chunk_keeps_bytes():
    """Chunks have their own fast path, which must keep all bytes."""
    chunk = messages.Chunk("a1", b"\x00data: x\n\n")
    assert messages.decode(messages.encode(chunk)) == chunk


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x81\x63foo", b"\x80"])
def test_malformed_message_is_rejected(data):
    """A malformed message must raise ValueError and nothing else."""
    with pytest.raises(ValueError, match="malformed"):
        messages.decode(data)
