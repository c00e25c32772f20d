"""Guards what follows a failed send."""

import pytest
from builders_serving import progress, route, stream_route

from carobsail.followup import MAX_SENDS, MAX_TRIES, Next, decide
from carobsail.routetable import Repeat

UNSAFE = route(repeat=Repeat.UNSAFE, max_targets=1)
PLAIN_STREAM = stream_route(resumable=False, max_targets=1)


@pytest.mark.parametrize(
    ("kind", "changes", "expected"),
    [
        (route(), {}, Next.SEND_AGAIN),
        (route(), {"may_have_run": 2, "sends": 2}, Next.FAIL),
        (UNSAFE, {}, Next.FAIL),
        (UNSAFE, {"may_have_run": 0}, Next.SEND_AGAIN),
        (stream_route(), {}, Next.SEND_AGAIN),
        (stream_route(), {"head_delivered": True}, Next.RESUME),
        (stream_route(), {"may_have_run": 2, "sends": 2}, Next.FAIL),
        (PLAIN_STREAM, {"head_delivered": True}, Next.FAIL),
        (PLAIN_STREAM, {"may_have_run": 0}, Next.SEND_AGAIN),
        (UNSAFE, {"may_have_run": 0, "sends": MAX_SENDS}, Next.REFUSE),
    ],
)
def test_next_step(kind, changes, expected):
    """A repeat of what may have run books twice; a false refusal lies."""
    assert decide(progress(kind, **changes), 2.0, True) is expected


def test_send_that_reached_no_target_uses_no_budget():
    """Connections that did not open used the budget up: 473 refusals in 6 s."""
    unsent = progress(UNSAFE, may_have_run=0, unsent=1)
    assert decide(unsent, 2.0, False) is Next.SEND_AGAIN
    again = progress(UNSAFE, may_have_run=0, sends=2, unsent=1)
    assert decide(again, 2.0, False) is Next.REFUSE
    many = progress(UNSAFE, may_have_run=0, sends=MAX_TRIES, unsent=MAX_TRIES)
    assert decide(many, 2.0, True) is Next.REFUSE


def test_without_budget_or_time_nothing_is_sent_again():
    """Repeats without bound multiply the load of a failing service."""
    assert decide(progress(route()), 2.0, False) is Next.FAIL
    assert decide(progress(route(), may_have_run=0), 0.01, True) is Next.REFUSE
