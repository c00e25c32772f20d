"""Tests the decision that follows a failed send."""

import pytest
from builders_serving import progress, route, stream_route

from carobsail.retrydecision import (
    MAX_DELIVERIES,
    MAX_SENDS,
    NextAction,
    next_action,
)
from carobsail.routetable import RetrySafety

UNSAFE = route(retry_safety=RetrySafety.UNSAFE, max_targets=1)
PLAIN_STREAM = stream_route(resumable=False, max_targets=1)


@pytest.mark.parametrize(
    ("kind", "changes", "expected"),
    [
        (route(), {}, NextAction.SEND_AGAIN),
        (route(), {"may_have_run": 2, "sends": 2}, NextAction.FAIL),
        (UNSAFE, {}, NextAction.FAIL),
        (UNSAFE, {"may_have_run": 0}, NextAction.SEND_AGAIN),
        (stream_route(), {}, NextAction.SEND_AGAIN),
        (stream_route(), {"head_delivered": True}, NextAction.RESUME),
        (stream_route(), {"may_have_run": 2, "sends": 2}, NextAction.FAIL),
        (PLAIN_STREAM, {"head_delivered": True}, NextAction.FAIL),
        (PLAIN_STREAM, {"may_have_run": 0}, NextAction.SEND_AGAIN),
        (
            UNSAFE,
            {"may_have_run": 0, "sends": MAX_DELIVERIES},
            NextAction.REFUSE,
        ),
    ],
)
def test_next_step(kind, changes, expected):
    """A retry after an execution books twice; 503 after one is wrong."""
    assert next_action(progress(kind, **changes), 2.0, True) is expected


def test_send_that_reached_no_target_uses_no_budget():
    """Failed connection attempts used up the budget: 473 refusals in 6 s."""
    unsent = progress(UNSAFE, may_have_run=0, connect_failures=1)
    assert next_action(unsent, 2.0, False) is NextAction.SEND_AGAIN
    again = progress(UNSAFE, may_have_run=0, sends=2, connect_failures=1)
    assert next_action(again, 2.0, False) is NextAction.REFUSE
    many = progress(
        UNSAFE, may_have_run=0, sends=MAX_SENDS, connect_failures=MAX_SENDS
    )
    assert next_action(many, 2.0, True) is NextAction.REFUSE


def test_without_budget_or_time_nothing_is_sent_again():
    """Retries without a limit multiply the load of a failing service."""
    assert next_action(progress(route()), 2.0, False) is NextAction.FAIL
    assert (
        next_action(progress(route(), may_have_run=0), 0.01, True)
        is NextAction.REFUSE
    )
