"""Tests the detection of requests that crash their targets."""

from carobsail import crashes, httpserver
from carobsail.crashes import (
    LOSS_WINDOW_S,
    REFUSED_S,
    REPORT_LOSS_S,
    LostRequests,
)


def request(body=b"prompt", target="/a/x"):
    return httpserver.Request(
        "POST", "/a/x", "", [], body, "127.0.0.1:1", target
    )


def test_request_is_recognised_by_path_and_body():
    """A retry has another request identifier and uses any instance."""
    first = crashes.fingerprint(request())
    assert first == crashes.fingerprint(request())
    assert first != crashes.fingerprint(request(b"other"))
    assert first != crashes.fingerprint(request(target="/a/y"))


def test_request_without_a_body_is_not_recognised():
    """Otherwise resets at three targets would refuse it to all callers."""
    suspects = LostRequests()
    for target in ("e1", "e2", "e3", "e4"):
        assert not suspects.record_loss(
            crashes.fingerprint(request(b"")), target, 1.0
        )
    assert not suspects.is_refused(0, 1.0)


def test_three_targets_are_lost_at_most():
    """A request crashed one engine after the other."""
    suspects = LostRequests()
    assert not suspects.record_loss(7, "e1", 1.0)
    assert not suspects.record_loss(7, "e1", 2.0)
    assert not suspects.record_loss(7, "e2", 3.0)
    assert not suspects.is_refused(7, 3.0)
    assert suspects.record_loss(7, "e3", 4.0)
    assert suspects.is_refused(7, 4.0 + REFUSED_S - 0.1)
    assert not suspects.is_refused(7, 4.0 + REFUSED_S)


def test_completed_request_is_cleared():
    """Other requests at a crashed target succeed at another one."""
    suspects = LostRequests()
    suspects.record_loss(7, "e1", 1.0)
    suspects.record_loss(7, "e2", 2.0)
    suspects.clear(7)
    assert not suspects.record_loss(7, "e3", 3.0)


def test_old_losses_do_not_count():
    """Crashes far apart in time are not caused by one request."""
    suspects = LostRequests()
    suspects.record_loss(7, "e1", 0.0)
    suspects.record_loss(7, "e2", 1.0)
    assert not suspects.record_loss(7, "e3", LOSS_WINDOW_S + 0.5)


def test_losses_are_reported_for_a_while():
    """Losses are reported repeatedly, since datagrams may be lost."""
    suspects = LostRequests()
    suspects.record_loss(7, "e1", 1.0)
    assert [
        (r.request_fingerprint, r.target)
        for r in suspects.unreported_losses(2.0)
    ] == [(7, "e1")]
    assert suspects.unreported_losses(1.0 + REPORT_LOSS_S) == []


def test_repeated_report_does_not_extend_refusal():
    """Each report extended the refusal, which lasted up to twice as long."""
    coordinator, suspects = LostRequests(), LostRequests()
    for number in range(3):
        coordinator.record_loss(7, f"e{number}", 0.0)
    now = 0.0
    while now < REFUSED_S:
        suspects.add_refused(coordinator.refused_requests(now), now)
        now += 0.5
    assert not suspects.is_refused(7, REFUSED_S + 0.1)
