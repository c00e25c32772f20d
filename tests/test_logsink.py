"""Guards that log lines never block the process."""

import logging
import os

import pytest

from carobsail.logsink import MAX_PENDING_BYTES, LogSink


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def record(text):
    return logging.LogRecord("carobsail", logging.INFO, "", 0, text, (), None)


def _read(reader):
    try:
        return os.read(reader, 1 << 20)
    except BlockingIOError:
        return b""


def test_full_pipe_drops_lines_and_counts_them(pipe):
    """A log reader that stops reading must not block the whole instance."""
    reader, writer = pipe
    sink = LogSink(writer)
    line = "x" * 1000
    for _ in range(2 * MAX_PENDING_BYTES // 1000):
        sink.emit(record(line))
    assert sink.dropped > 0
    os.set_blocking(reader, False)
    text = b""
    for _ in range(100):
        text += _read(reader)
        sink.flush()
    sink.emit(record("last"))
    sink.flush()
    text = (text + _read(reader)).decode()
    assert f"event=log_lines_dropped count={sink.dropped}" in text
    assert "last" in text


def test_closed_reader_does_not_end_the_process():
    """A log reader that exits must not stop the instance."""
    reader, writer = os.pipe()
    os.close(reader)
    sink = LogSink(writer)
    sink.emit(record("line"))
    sink.flush()
    assert sink.dropped == 1
    os.close(writer)
