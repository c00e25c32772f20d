"""Guards that at most one instance gives orders at a time."""

import msgspec

from carobsail.keyvalue import WatchEvent
from carobsail.orderlease import (
    LEASE_S,
    ORDER_GIVER_KEY,
    TURN_MARGIN_S,
    Holder,
    OrderLease,
)

ME = Holder("i1", "10.0.0.1")
OTHER = Holder("i2", "10.0.0.2")
TURN_S = 3.0


def seen(holder, revision):
    value = None if holder is None else msgspec.json.encode(holder)
    return WatchEvent(ORDER_GIVER_KEY, value, revision)


def acting(holder):
    return msgspec.structs.replace(holder, acting=True)


def taken(at=100.0):
    lease = OrderLease(ME, TURN_S)
    lease.taken(7, 50, at)
    return lease


def test_first_order_waits_for_the_turn_and_the_announcement():
    """Holders that take turns within the turn break the rule ONE."""
    lease = taken()
    first = 100.0 + TURN_S + TURN_MARGIN_S
    lease.renewed(LEASE_S, first - 0.1)
    assert not lease.must_announce(first - 0.01)
    assert lease.must_announce(first)
    assert not lease.may_order(first)
    lease.announced(51)
    assert lease.may_order(first)


def test_right_ends_before_the_lease():
    """An order on its way must arrive before another holder can exist."""
    lease = taken()
    lease.announced(51)
    lease.renewed(LEASE_S, 110.0)
    assert lease.may_order(112.0)
    assert not lease.may_order(110.0 + LEASE_S - 0.3)


def test_frozen_holder_may_not_order():
    """The boot clock counts the time in which a machine was suspended."""
    lease = taken()
    lease.announced(51)
    lease.renewed(LEASE_S, 110.0)
    assert not lease.may_order(110.0 + 20.0)


def test_key_of_another_ends_the_right():
    """A lease that ran out during an outage is another's now."""
    lease = taken()
    lease.observe(seen(ME, 50))
    assert lease.fence == 50
    lease.observe(seen(None, 60))
    assert not lease.fence
    lease.observe(seen(OTHER, 61))
    assert not lease.may_take()


def test_own_announcement_keeps_the_right():
    """The holder's own second write is not a change of holder."""
    lease = taken()
    lease.observe(seen(acting(ME), 55))
    assert lease.fence == 50


def test_restarted_machine_goes_on_at_once():
    """A holder is a machine; its killed process can order no more."""
    lease = OrderLease(ME, TURN_S)
    lease.observe(seen(acting(ME), 50))
    assert lease.may_take()
    lease.taken(8, 60, 200.0)
    assert lease.may_order(200.0)


def test_unknown_outcome_of_taking_the_key_waits_the_whole_turn():
    """The key was written though the answer was lost; others ordered before."""
    lease = OrderLease(ME, TURN_S)
    lease.observe(seen(ME, 50))
    lease.taken(8, 60, 200.0)
    assert not lease.may_order(200.1)
    assert lease.first_order_at == 200.0 + TURN_S + TURN_MARGIN_S


def test_same_name_at_another_address_is_another_machine():
    """A replaced machine takes the name over at a new address."""
    lease = OrderLease(Holder("i1", "10.0.0.9"), TURN_S)
    lease.observe(seen(acting(ME), 50))
    assert not lease.may_take()


def test_malformed_key_is_no_holder():
    """Bytes of another writer must not stop the election."""
    lease = OrderLease(ME, TURN_S)
    lease.observe(WatchEvent(ORDER_GIVER_KEY, b"\xff", 5))
    assert lease.may_take()


def test_lost_lease_ends_the_right():
    """The store says that the lease has ended."""
    lease = taken()
    lease.announced(51)
    lease.renewed(0.0, 101.0)
    assert not lease.may_order(101.0)
