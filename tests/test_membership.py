"""Tests of failure detection and of the merge with the platform's list."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carobsail import inventory, messages
from carobsail.membership import (
    TICK_S,
    MemberChange,
    MemberEvent,
    Membership,
    Process,
)

A = Process("a", "entry")
LIVE, LEAVING = inventory.State.LIVE, inventory.State.LEAVING


def heartbeat(seq, ready=True, leaving=False):
    return messages.Heartbeat(seq, ready, leaving, 0)


@settings(derandomize=True, max_examples=100)
@given(st.floats(0, 0.5), st.integers(1, 20))
def test_dead_peer_is_noticed_within_two_seconds(phase, count):
    """Late detection of a dead owner would delay fail-over (R6, R13)."""
    view = Membership()
    for n in range(count):
        view.record_heartbeat(A, 1, heartbeat(n), phase + n * 0.5)
    died, now = phase + (count - 1) * 0.5, 0.0
    while view.is_alive(A):
        now += TICK_S
        changes = view.tick(now)
    assert changes == [MemberChange(A, MemberEvent.DIED)]
    assert 1.5 < now - died <= 2.0


@pytest.mark.parametrize("pause", [1.0, 5.0, 60.0])
def test_own_lag_is_not_counted_against_peers(pause):
    """Peers must not be found dead because the own loop lags (R13).

    A delayed event loop may run its timers before it reads heartbeats.
    """
    view = Membership()
    view.record_heartbeat(A, 1, heartbeat(1), 0.0)
    for tick in range(4):
        assert not view.tick(tick * TICK_S)
    assert not view.tick(4 * TICK_S + pause)
    assert view.is_alive(A)
    for tick in range(5, 9):
        view.tick(tick * TICK_S + pause)
    assert not view.is_alive(A)


def test_leaving_peer_gets_no_work_at_once():
    """A peer that leaves, by heartbeat or by list, gets no new work (R6)."""
    view = Membership()
    view.record_heartbeat(A, 1, heartbeat(1), 0.0)
    assert view.usable("entry", 0.0) == ["a"]
    changes = view.update_listed({"a": LEAVING}, 0.1)
    assert changes == [MemberChange(A, MemberEvent.LEAVING)]
    assert view.usable("entry", 0.1) == []
    view.update_listed({"a": LIVE}, 0.2)
    view.record_heartbeat(A, 1, heartbeat(2, leaving=True), 0.3)
    view.record_heartbeat(A, 1, heartbeat(3), 0.4)
    assert view.usable("entry", 0.4) == []
    assert view.record_heartbeat(A, 2, heartbeat(1), 0.5)[0] == MemberChange(
        A, MemberEvent.RESTARTED
    )
    assert view.usable("entry", 0.5) == ["a"]
    assert view.record_heartbeat(A, 1, heartbeat(9, leaving=True), 0.6) == []


def test_list_and_heartbeats_are_merged():
    """Neither source is enough, since the platform's list lags (R12)."""
    view = Membership()
    view.update_listed({"silent": LIVE}, 0.0)
    view.record_heartbeat(A, 1, heartbeat(1), 0.0)
    assert view.usable("entry", 0.0) == ["a"]
    assert Process("silent", "control") in view.required_confirmations()
    for n in range(2, 124):
        view.record_heartbeat(A, 1, heartbeat(n), n * 0.5)
    assert view.usable("entry", 59.0) == ["a"]
    assert view.usable("entry", 61.0) == []
    view.update_listed({"a": LIVE}, 61.0)
    assert view.usable("entry", 61.0) == ["a"]
