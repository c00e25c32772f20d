"""Guards that log lines show revisions in the form that operators read.

Some showed the number that combines era and revision, which the page for
operators does not name (2199023255560 for 2:8).
"""

import asyncio
import logging

import pytest
from builders_departures import Follower, configured, gone, listed
from builders_leases import LeaseFleet

from carobsail import storeera

FIRST_COMBINED = storeera.combine(1, 1)


def combined_numbers(records):
    """Returns the fields of log records that hold a combined number."""
    return {
        (record.msg["event"], name)
        for record in records
        if isinstance(record.msg, dict)
        for name, value in record.msg.items()
        if isinstance(value, int) and value >= FIRST_COMBINED
    }


async def test_changes_of_targets_and_configurations(caplog):
    """Entries that come, are kept and leave over two losses."""
    with caplog.at_level(logging.INFO, "carobsail"):
        follower = Follower()
        follower.take(configured(1, "plain"), listed("t1", 2), listed("t2", 3))
        follower.take(listed("t1", 4, state="draining"))
        follower.take(gone("t2", 5), listed("t1", 6, service="other"))
        follower.take(
            configured(1, "plain", revision=2, era=2),
            listed("t1", 3, era=2),
            listed("t2", 3, era=2),
            after=storeera.combine(2, 3),
        )
        follower.take(gone("t2", 4, era=2))
    events = {record.msg["event"] for record in caplog.records}
    assert {"target_listed", "target_gone", "target_withheld"} <= events
    assert combined_numbers(caplog.records) == set()


@pytest.mark.memory_network
async def test_order_lease_over_a_loss(caplog):
    """The lease is taken, claimed again, lost and taken by another."""
    with caplog.at_level(logging.INFO, "carobsail"):
        fleet = LeaseFleet(2)
        await fleet.start()
        await fleet.holder()
        await fleet.backups.lose(2.0, 0.3, False, True)
        await asyncio.sleep(2.0)
        holder = await fleet.holder()
        holder.cut_off(15.0)
        await fleet.backups.lose(2.0, 0.3, False, True)
        await asyncio.sleep(15.0)
        fleet.end()
    events = {record.msg["event"] for record in caplog.records}
    assert {
        "order_giver_changed",
        "order_lease_lost",
        "order_lease_reclaimed",
        "order_lease_taken",
    } <= events
    assert combined_numbers(caplog.records) == set()
