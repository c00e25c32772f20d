"""Tests that at most one instance gives orders at a time."""

import msgspec
import pytest

from carobsail import storeera
from carobsail.keyvalue import WatchEvent
from carobsail.orderlease import (
    HANDOVER_MARGIN_S,
    LEASE_S,
    ORDER_ERA_KEY,
    ORDER_GIVER_KEY,
    Holder,
    OrderLease,
    encode_era,
)

ME = Holder("i1", "10.0.0.1")
OTHER = Holder("i2", "10.0.0.2")
HANDOVER_DELAY_S = 3.0


def key_event(holder, revision):
    value = None if holder is None else msgspec.json.encode(holder)
    return WatchEvent(ORDER_GIVER_KEY, value, revision)


def acting(holder):
    return msgspec.structs.replace(holder, acting=True)


def acquired_lease(at=100.0):
    lease = OrderLease(ME, HANDOVER_DELAY_S)
    lease.acquired(7, 50, at)
    return lease


def test_first_order_waits_for_the_handover_delay_and_the_mark():
    """Orders of two holders must be well apart in time (soak check `one`)."""
    lease = acquired_lease()
    first = 100.0 + HANDOVER_DELAY_S + HANDOVER_MARGIN_S
    lease.renewed(LEASE_S, first - 0.1)
    assert not lease.must_mark_acting(first - 0.01)
    assert lease.must_mark_acting(first)
    assert not lease.may_send_orders(first)
    lease.marked_acting(51)
    assert lease.may_send_orders(first)


def test_orders_stop_before_the_lease_expires():
    """An order in flight must arrive before there can be another holder."""
    lease = acquired_lease()
    lease.marked_acting(51)
    lease.renewed(LEASE_S, 110.0)
    assert lease.may_send_orders(112.0)
    assert not lease.may_send_orders(110.0 + LEASE_S - 0.3)


def test_frozen_holder_may_not_order():
    """The boot clock includes time for which the machine was suspended."""
    lease = acquired_lease()
    lease.marked_acting(51)
    lease.renewed(LEASE_S, 110.0)
    assert not lease.may_send_orders(110.0 + 20.0)


def test_key_of_another_holder_ends_the_lease():
    """A lease that expired during an outage belongs to another instance."""
    lease = acquired_lease()
    lease.observe(key_event(ME, 50))
    assert lease.fence == 50
    lease.observe(key_event(None, 60))
    assert not lease.fence
    lease.observe(key_event(OTHER, 61))
    assert not lease.may_acquire()


def test_marking_the_key_acting_keeps_the_lease():
    """The holder's own second write is not a change of holder."""
    lease = acquired_lease()
    lease.observe(key_event(acting(ME), 55))
    assert lease.fence == 50


def test_restarted_holder_continues_at_once():
    """A holder is a machine; its killed process can give no more orders."""
    lease = OrderLease(ME, HANDOVER_DELAY_S)
    lease.observe(key_event(acting(ME), 50))
    assert lease.may_acquire()
    lease.acquired(8, 60, 200.0)
    assert lease.may_send_orders(200.0)


def test_unknown_outcome_of_acquiring_waits_the_whole_delay():
    """The key was written but the response lost; another holder preceded."""
    lease = OrderLease(ME, HANDOVER_DELAY_S)
    lease.observe(key_event(ME, 50))
    lease.acquired(8, 60, 200.0)
    assert not lease.may_send_orders(200.1)
    assert lease.first_order_at == 200.0 + HANDOVER_DELAY_S + HANDOVER_MARGIN_S


def test_same_name_at_another_address_is_another_machine():
    """A replacement machine uses the same name at a new address."""
    lease = OrderLease(Holder("i1", "10.0.0.9"), HANDOVER_DELAY_S)
    lease.observe(key_event(acting(ME), 50))
    assert not lease.may_acquire()


def test_malformed_key_is_no_holder():
    """A malformed value must not block the election of a holder."""
    lease = OrderLease(ME, HANDOVER_DELAY_S)
    lease.observe(WatchEvent(ORDER_GIVER_KEY, b"\xff", 5))
    assert lease.may_acquire()


def test_expired_lease_stops_orders():
    """The store answers that the lease has expired."""
    lease = acquired_lease()
    lease.marked_acting(51)
    lease.renewed(0.0, 101.0)
    assert not lease.may_send_orders(101.0)


@pytest.mark.parametrize(
    ("last_order_era", "wait_s"),
    [
        (encode_era(2), 0.0),
        (encode_era(1), HANDOVER_DELAY_S + HANDOVER_MARGIN_S + LEASE_S),
        (None, HANDOVER_DELAY_S + HANDOVER_MARGIN_S + LEASE_S),
        (b"\xff", HANDOVER_DELAY_S + HANDOVER_MARGIN_S + LEASE_S),
        (encode_era(3), HANDOVER_DELAY_S + HANDOVER_MARGIN_S + LEASE_S),
    ],
)
def test_own_key_counts_in_the_era_of_the_last_order_only(
    last_order_era, wait_s
):
    """A key from an older copy says nothing of the holder that was lost."""
    lease = OrderLease(ME, HANDOVER_DELAY_S)
    revision = storeera.combine(2, 40)
    lease.observe(WatchEvent(ORDER_ERA_KEY, last_order_era, revision))
    lease.observe(key_event(acting(ME), revision))
    lease.acquired(8, storeera.combine(2, 60), 200.0)
    assert lease.first_order_at == 200.0 + wait_s
    assert lease.may_send_orders(200.0) == (not wait_s)


def test_key_of_an_older_copy_does_not_end_the_lease():
    """The key names a holder that had ended before this one began."""
    lease = OrderLease(ME, HANDOVER_DELAY_S)
    era = WatchEvent(ORDER_ERA_KEY, encode_era(1), storeera.combine(1, 30))
    lease.observe(era)
    lease.acquired(7, storeera.combine(1, 50), 100.0)
    lease.marked_acting(storeera.combine(1, 51))
    lease.renewed(LEASE_S, 105.0)
    lease.observe(key_event(acting(OTHER), storeera.combine(2, 40)))
    assert lease.may_send_orders(105.1)
    assert lease.may_reclaim(2)
    lease.reclaimed(9, storeera.combine(2, 60), 106.0, acting=True)
    assert lease.may_send_orders(108.0)
    # A late report of the older key is ignored; one of the new era is not.
    lease.observe(key_event(acting(OTHER), storeera.combine(2, 40)))
    assert lease.key_revision == storeera.combine(2, 60)
    lease.observe(key_event(OTHER, storeera.combine(2, 70)))
    assert not lease.fence


def test_lease_is_not_claimed_again_after_another_has_given_orders():
    """Two held the lease when one learned late that the store went back."""
    lease = OrderLease(ME, HANDOVER_DELAY_S)
    lease.acquired(7, storeera.combine(1, 50), 100.0)
    at = storeera.combine(2, 60)
    lease.observe(WatchEvent(ORDER_ERA_KEY, encode_era(2), at))
    lease.observe(key_event(acting(OTHER), at))
    assert not lease.may_reclaim(2)


def test_mark_of_an_earlier_term_does_not_count():
    """The key of an older copy was marked by this instance long before."""
    lease = OrderLease(ME, HANDOVER_DELAY_S)
    lease.acquired(7, storeera.combine(1, 50), 100.0)
    lease.observe(key_event(acting(ME), storeera.combine(2, 40)))
    first = lease.first_order_at
    lease.renewed(LEASE_S, first)
    assert not lease.may_send_orders(first)
    assert lease.must_mark_acting(first)


def test_keys_that_were_lost_unseen_are_read_again():
    """A key that the watch had never reported is not reported as removed."""
    lease = OrderLease(ME, HANDOVER_DELAY_S)
    lease.acquired(7, storeera.combine(1, 50), 100.0)
    lease.marked_acting(storeera.combine(1, 51))
    assert lease.knows_keys_of(1)
    lease.lose()
    lease.observe(key_event(ME, storeera.combine(2, 40)))
    assert not lease.knows_keys_of(2)
