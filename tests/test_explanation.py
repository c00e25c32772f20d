"""Guards the selection of log lines that explain a request."""

import pathlib

from carobsail import ctl, loglines
from carobsail.explanation import MAX_SECTION_LINES, explain

TEXT = """
n1 time=2026-03-01T22:48:41.000Z level=info event=model_move_planned target=e2 load=m9 unload=m1,m2 net=1.2
n2 time=2026-03-01T22:48:44.100Z level=info event=order_given target=e2 verb=unload model=m1 adapter="" verdict=accepted
n1 time=2026-03-01T22:48:30.000Z level=info event=model_move_planned target=e3 load=m5 unload=m1
n1 time=2026-03-01T22:48:50.272Z level=info event=request_waits request=q1 reason=model model=m1 adapter="" left_s=4.36
n1 time=2026-03-01T22:48:51.000Z level=info event=request_sent request=q1 target=e4 late=false
n3 time=2026-03-01T22:48:51.100Z level=info event=target_gone target=e4 leaving=false revision=9
n3 time=2026-03-01T22:48:51.200Z level=info event=target_gone target=e7 leaving=false revision=10
n1 time=2026-03-01T22:48:51.300Z level=info event=store_lost revision=8 reason=timeout
n2 time=2026-03-01T22:48:51.300Z level=info event=store_lost revision=8 reason=timeout
n1 time=2026-03-01T22:48:53.668Z level=info event=request_refused request=q1 status=503 detail="model absent" model=m1
a line of another program
n1 time=2026-03-01T22:48:53.700Z level=info event=request_ended request=q11 outcome=served
"""  # noqa: E501 - lines as they are logged.
LOG = loglines.parse_lines(TEXT.splitlines())


def test_lines_of_request_model_target_and_instance():
    """The four kinds of lines must be shown, and no unrelated ones."""
    text = "\n".join(explain("q1", reversed(LOG)))
    sections = [line for line in text.splitlines() if line.startswith("# ")]
    assert sections == [
        "# request q1: 3 lines",
        "# model m1: 2 lines",
        "# target e4: 1 lines",
        "# instance: 1 lines",
    ]
    assert text.index("request_waits") < text.index("request_refused")
    assert "load=m5" not in text and "target=e7" not in text
    assert "q11" not in text


def test_crashes_of_the_targets_of_a_request_are_shown():
    """The cause of a refusal stood in the logs of other instances only."""
    crash = (
        "n2 time=2026-03-01T22:48:51.400Z level=warning event=crash_observed "
        "request=q2 target=e4 begun=true prompt_parts=aa,bb"
    )
    refused = (
        "n1 time=2026-03-01T22:48:51.500Z level=warning "
        "event=request_suspected_of_crashes traits=00bb"
    )
    lines = [*LOG, *loglines.parse_lines([crash, refused])]
    text = "\n".join(explain("q1", lines))
    assert "prompt_parts=aa,bb" in text and "traits=00bb" in text


def test_reason_of_a_load_that_was_not_made_is_shown():
    """Why no engine held a model stood in the coordinator's log only."""
    declined = [
        "n2 time=2026-03-01T22:48:51.400Z level=info event=model_load_declined "
        f"model={model} reason=no_free_engine unserved_s=12.5"
        for model in ("m1", "m8")
    ]
    text = "\n".join(explain("q1", [*LOG, *loglines.parse_lines(declined)]))
    assert "# model m1: 3 lines" in text and "model=m8" not in text


def test_statement_of_a_target_of_a_request_is_shown():
    """Why a target was not chosen stood only beside another request."""
    statement = (
        "n1 time=2026-03-01T22:48:50.900Z level=info event=target_says_leaving "
        "request=q2 target=e4 entry_leaving=false"
    )
    lines = [*LOG, *loglines.parse_lines([statement])]
    assert "entry_leaving=false" in "\n".join(explain("q1", lines))


def test_section_length_is_limited():
    """A flapping target must not fill the screen."""
    many = [LOG[6]] * 100
    shown = explain("q1", [*LOG, *many])
    assert len(shown) <= 4 * (MAX_SECTION_LINES + 1)


def test_command(tmp_path: pathlib.Path, capsys):
    """An identifier that no log contains must be reported as such."""
    file = tmp_path / "n1.log"
    file.write_text(TEXT)
    assert ctl.run(["explain", "q1", str(file)]) == 0
    assert "model_move_planned" in capsys.readouterr().out
    assert ctl.run(["explain", "q2", str(file)]) == 1
    assert "q2" in capsys.readouterr().out
    assert ctl.run(["explain", "q1", str(tmp_path / "none")]) == 1
