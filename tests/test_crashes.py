"""Guards the recognition of requests that end each target that runs them."""

from carobsail import crashes, httpserver
from carobsail.crashes import LOSS_WINDOW_S, REFUSED_S, REPORT_LOSS_S, LostRuns


def request(body=b"prompt", target="/a/x"):
    return httpserver.Request(
        "POST", "/a/x", "", [], body, "127.0.0.1:1", target
    )


def test_request_is_recognised_by_path_and_body():
    """It comes again with another identity, at any instance."""
    first = crashes.fingerprint(request())
    assert first == crashes.fingerprint(request())
    assert first != crashes.fingerprint(request(b"other"))
    assert first != crashes.fingerprint(request(target="/a/y"))


def test_request_without_a_body_is_not_recognised():
    """Resets at three targets would refuse a lookup of all callers."""
    book = LostRuns()
    for target in ("e1", "e2", "e3", "e4"):
        assert not book.lost(crashes.fingerprint(request(b"")), target, 1.0)
    assert not book.refuses(0, 1.0)


def test_three_targets_are_lost_at_most():
    """One engine after the other was ended."""
    book = LostRuns()
    assert not book.lost(7, "e1", 1.0)
    assert not book.lost(7, "e1", 2.0)
    assert not book.lost(7, "e2", 3.0)
    assert not book.refuses(7, 3.0)
    assert book.lost(7, "e3", 4.0)
    assert book.refuses(7, 4.0 + REFUSED_S - 0.1)
    assert not book.refuses(7, 4.0 + REFUSED_S)


def test_what_ends_well_is_cleared():
    """Neighbours of a crash are lost with it and run well elsewhere."""
    book = LostRuns()
    book.lost(7, "e1", 1.0)
    book.lost(7, "e2", 2.0)
    book.clear(7)
    assert not book.lost(7, "e3", 3.0)


def test_old_losses_do_not_count():
    """Crashes of one hour are not the fault of one request."""
    book = LostRuns()
    book.lost(7, "e1", 0.0)
    book.lost(7, "e2", 1.0)
    assert not book.lost(7, "e3", LOSS_WINDOW_S + 0.5)


def test_losses_are_told_for_a_while():
    """A datagram may be lost; the order giver must hear of it all the same."""
    book = LostRuns()
    book.lost(7, "e1", 1.0)
    assert [(r.request, r.target) for r in book.fresh(2.0)] == [(7, "e1")]
    assert book.fresh(1.0 + REPORT_LOSS_S) == []


def test_told_refusal_does_not_grow():
    """Each board prolonged it, so that it lasted up to twice as long."""
    giver, book = LostRuns(), LostRuns()
    for number in range(3):
        giver.lost(7, f"e{number}", 0.0)
    now = 0.0
    while now < REFUSED_S:
        book.refuse(giver.refused(now), now)
        now += 0.5
    assert not book.refuses(7, REFUSED_S + 0.1)
