"""Guards logs, metrics and dumps against secrets, bad values and exceptions.

Numbers such as R17 refer to the requirements in docs/design.md.
"""

import io
import json
import socket

import pytest

from carobsail import telemetry


def test_event_is_one_line_of_pairs():
    """A value with spaces or a line break must not split the line."""
    stream = io.StringIO()
    logger = telemetry.configure_logging("info", stream)
    telemetry.log(
        logger, "target_lost", name="e 1", note="a\nb", n=2, ok=True, x=0.25
    )
    first, rest = stream.getvalue().split(" ", 1)
    assert first.startswith("time=") and first.endswith("Z")
    assert rest == (
        'level=info event=target_lost name="e 1" note="a\\nb" n=2 ok=true'
        " x=0.25\n"
    )


def test_secrets_are_redacted():
    """Keys and tokens must not reach the log (docs/design.md, section 12)."""
    stream = io.StringIO()
    logger = telemetry.configure_logging("info", stream)
    telemetry.log(
        logger,
        "request",
        key="s3cret",
        token="s3cret",
        headers={"Authorization": "s3cret", "X-Api-Key": "s3cret"},
        prompt_tokens=7,
    )
    assert "s3cret" not in stream.getvalue()
    assert "prompt_tokens=7" in stream.getvalue()


def test_metrics_reach_statsd_with_prefix():
    """Without a prefix, metrics mix with those of other programs."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        metrics = telemetry.Metrics(f"127.0.0.1:{server.getsockname()[1]}")
        metrics.count("requests", 2)
        metrics.record_duration_ms("answer", 1.5)
        metrics.gauge("queue", 3)
        received = [server.recv(512) for _ in range(3)]
        metrics.close()
    assert received == [
        b"carobsail.requests:2|c",
        b"carobsail.answer:1.500000|ms",
        b"carobsail.queue:3|g",
    ]


def test_metrics_never_raise_and_are_bounded():
    """R17: a bad metric must not fail a request; memory must be limited."""
    metrics = telemetry.Metrics()
    metrics.count("bad name:1|c")
    metrics.record_duration_ms("answer", float("nan"))
    metrics.record_duration_ms("answer", -1)
    metrics.record_duration_ms("answer", 1e12)
    for i in range(telemetry.MAX_SERIES + 5):
        metrics.count(f"c{i}")
    dump = metrics.dump()
    assert dump["dropped"] == 7
    assert len(dump["counters"]) == telemetry.MAX_SERIES
    assert dump["timings_ms"]["answer"]["count"] == 2


def test_failing_part_leaves_the_dump_intact():
    """An exception in one part must not hide the state of the others."""
    dump = telemetry.StateDump()
    dump.register("good", lambda: {1: (2.0, float("nan")), "secret": "x"})
    dump.register("bad", lambda: 1 / 0)
    dump.register("odd", object)
    state = json.loads(json.dumps(dump.dump(), allow_nan=False))
    assert state["good"] == {"1": [2.0, None], "secret": "redacted"}
    assert state["bad"] == {"error": "ZeroDivisionError: division by zero"}
    assert "error" in state["odd"]
    with pytest.raises(ValueError, match="already registered"):
        dump.register("good", dict)
