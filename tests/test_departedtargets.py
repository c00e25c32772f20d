"""Tests which targets are used after the store came back from an older copy.

In era 1 the changes up to revision 20 are known. In era 2 the store has come
back from its copy at revision 10 and is listed at revision 15.
"""

import asyncio

import pytest
from builders_departures import Follower, gone, listed
from builders_serving import entry

from carobsail.departedtargets import MAX_DEPARTURES, MAX_WITHHELD_S
from carobsail.storeera import combine
from carobsail.targetregistry import EXPIRY_GRACE_S, TargetRegistry

LISTING = combine(2, 15)
T1 = ("t1", 1000)

pytestmark = pytest.mark.memory_network


async def test_entry_lost_with_the_copy_is_kept_for_the_grace():
    """Live targets got no requests until they had registered again."""
    follower = Follower()
    follower.take(listed(revision=20))
    follower.take(gone(revision=15, era=2), after=LISTING)
    await asyncio.sleep(EXPIRY_GRACE_S - 0.1)
    assert follower.offered() == [T1]
    await asyncio.sleep(0.1)
    assert follower.offered() == []


async def test_lost_entry_that_is_written_again_stays():
    """A live target was taken for gone after it had registered again."""
    follower = Follower()
    follower.take(listed(revision=20))
    follower.take(gone(revision=15, era=2), after=LISTING)
    follower.take(listed(revision=18, era=2))
    await asyncio.sleep(60.0)
    assert follower.offered() == [T1]


async def test_lost_entry_of_a_leaving_target_is_gone_at_once():
    """A leaving target is not kept: it may exit at any time."""
    follower = Follower()
    follower.take(listed(revision=20, state="draining"))
    follower.take(gone(revision=15, era=2), after=LISTING)
    assert follower.offered() == []
    assert follower.instance._registry.get("t1") is None


@pytest.mark.parametrize("removed", [False, True])
async def test_target_that_was_leaving_stays_leaving(removed):
    """Requests went to a draining target for as long as it ran."""
    follower = Follower()
    follower.take(listed(revision=19, state="draining"))
    if removed:
        follower.take(gone(revision=20))
    follower.take(listed(revision=8, era=2), after=LISTING)
    assert follower.offered() == []
    follower.take(listed(revision=18, era=2))
    await asyncio.sleep(60.0)
    assert follower.offered() == []
    follower.take(listed(revision=19, era=2, born=2000))
    assert follower.offered() == [("t1", 2000)]


async def test_leaving_target_without_a_start_time_may_come_back():
    """It cannot be told from a new process until it writes its entry."""
    follower = Follower()
    follower.take(listed(revision=20, state="draining", born=0))
    follower.take(listed(revision=8, era=2, born=0), after=LISTING)
    assert follower.offered() == []
    follower.take(listed(revision=18, era=2, born=0))
    assert follower.offered() == [("t1", 0)]


@pytest.mark.parametrize("born", [0, 1000])
async def test_removed_target_that_the_copy_brings_back_is_withheld(born):
    """Requests were sent to targets that had left before the loss."""
    follower = Follower()
    follower.take(listed(revision=8, born=born))
    follower.take(gone(revision=20))
    follower.take(listed(revision=8, era=2, born=born), after=LISTING)
    assert follower.offered() == []
    await asyncio.sleep(EXPIRY_GRACE_S)
    follower.take(gone(revision=18, era=2))
    await asyncio.sleep(60.0)
    assert follower.offered() == []
    assert follower.instance._registry.get("t1") is None


async def test_removed_target_that_writes_its_entry_again_is_used():
    """A live target whose entry had lapsed was withheld after its heartbeat.

    The others follow the relay and depend on hearing of it.
    """
    follower = Follower()
    follower.take(listed(revision=8))
    follower.take(gone(revision=20))
    follower.take(listed(revision=8, era=2), after=LISTING)
    assert follower.offered() == []
    follower.relayed.clear()
    heartbeat = listed(revision=18, era=2)
    follower.take(heartbeat)
    assert follower.offered() == [T1]
    assert follower.relayed == [heartbeat]


async def test_removed_target_with_a_new_start_time_is_used():
    """A target that restarted under its identity is a new one."""
    follower = Follower()
    follower.take(listed(revision=8))
    follower.take(gone(revision=20))
    follower.take(listed(revision=14, era=2, born=2000), after=LISTING)
    assert follower.offered() == [("t1", 2000)]


async def test_process_before_does_not_replace_the_present_one():
    """The older copy names the process before, whose address may be reused."""
    follower = Follower()
    follower.take(listed(revision=8), listed(revision=20, born=2000))
    follower.take(listed(revision=8, era=2), after=LISTING)
    assert follower.offered() == [("t1", 2000)]
    follower.take(listed(revision=18, era=2, born=2000))
    await asyncio.sleep(60.0)
    assert follower.offered() == [("t1", 2000)]


async def test_process_before_is_withheld_after_the_present_one_left():
    """Both processes of the target have ended; its entry is an old one."""
    follower = Follower()
    follower.take(listed(revision=8), listed(revision=19, born=2000))
    follower.take(gone(revision=20))
    follower.take(listed(revision=8, era=2), after=LISTING)
    assert follower.offered() == []


async def test_second_break_within_the_grace():
    """Each break brings back entries that are older than known departures."""
    follower = Follower()
    follower.take(listed("left", 8), listed("lost", 19), listed("leaving", 9))
    follower.take(listed("leaving", 20, state="draining"), gone("left", 21))
    follower.take(
        listed("leaving", 9, 2),
        listed("left", 8, 2),
        gone("lost", 15, 2),
        after=LISTING,
    )
    await asyncio.sleep(EXPIRY_GRACE_S - 0.5)
    assert follower.offered() == [("lost", 1000)]
    follower.take(
        listed("leaving", 9, 3), listed("left", 8, 3), after=combine(3, 16)
    )
    assert follower.offered() == [("lost", 1000)]
    await asyncio.sleep(EXPIRY_GRACE_S)
    assert follower.offered() == []


async def test_listing_that_arrives_in_parts():
    """The relay's listing completes the copy only with its last part."""
    follower = Follower()
    follower.take(listed("left", 8), listed("lost", 19))
    follower.take(gone("left", 20))
    follower.take_part(gone("lost", 15, 2))
    # A change of the era before that arrives late.
    follower.take_part(listed("draining", 21, state="draining"))
    follower.take_part(listed("left", 8, 2))
    assert follower.offered() == [("lost", 1000)]
    follower.take(after=LISTING)
    assert follower.offered() == [("lost", 1000)]
    follower.take(listed("left", 16, 2), listed("lost", 17, 2))
    assert sorted(follower.offered()) == [("left", 1000), ("lost", 1000)]


async def test_break_while_the_store_is_cut_off():
    """An entry that lapsed in an outage is no departure until its grace ends.

    The instance learns of the new era from another one.
    """
    for passed_s, offered in ((EXPIRY_GRACE_S - 0.1, [T1]), (60.0, [])):
        follower = Follower()
        follower.take(listed(revision=8))
        follower.instance._record_store_contact(False)
        follower.take(gone(revision=20))
        await asyncio.sleep(passed_s)
        follower.take(listed(revision=8, era=2), after=LISTING)
        assert follower.offered() == offered


@pytest.mark.parametrize("era", [0, 1])
async def test_without_a_break_nothing_is_withheld(era):
    """Entries lapse and return, and targets take back that they leave."""
    follower = Follower()
    follower.take(listed(revision=1, era=era))
    follower.take(gone(revision=2, era=era))
    follower.take(listed(revision=3, era=era))
    assert follower.offered() == [T1]
    follower.take(listed(revision=4, era=era, state="draining"))
    follower.take(listed(revision=5, era=era))
    assert follower.offered() == [T1]
    follower.take(gone(revision=6, era=era))
    assert follower.offered() == []


def withholding():
    """Returns an instance that withholds its only target."""
    follower = Follower()
    follower.take(listed(revision=8))
    follower.take(gone(revision=20))
    follower.take(listed(revision=8, era=2), after=LISTING)
    return follower


async def test_target_that_stays_listed_is_not_withheld_for_good():
    """Followers of the relay, which had not known its removal, never used it.

    Requests that wait for a target are woken.
    """
    follower = withholding()
    await asyncio.sleep(MAX_WITHHELD_S - 0.1)
    assert follower.offered() == []
    woken = follower.instance._request_handler._changed
    await asyncio.sleep(0.2)
    assert woken.is_set()
    assert follower.offered() == [T1]


async def test_nothing_is_released_while_the_store_is_cut_off():
    """An instance that hears nothing cannot know that an entry was renewed."""
    follower = withholding()
    for _ in range(20):
        await asyncio.sleep(1.0)
        follower.instance._record_store_contact(False)
    assert follower.offered() == []
    follower.take(gone(revision=16, era=2))
    await asyncio.sleep(60.0)
    assert follower.offered() == []
    follower = withholding()
    follower.instance._record_store_contact(False)
    await asyncio.sleep(60.0)
    assert follower.offered() == [T1]


def test_departures_are_bounded():
    """Targets come and go for months; the latest departures count."""
    registry = TargetRegistry()
    registry.learn_era(1, 1, 0.0)
    for number in range(MAX_DEPARTURES + 10):
        registry.put(entry(f"t{number}"), 0.0)
        registry.remove(f"t{number}", 0.0, 2)
    assert len(registry._departed._departures) == MAX_DEPARTURES
    registry.learn_era(LISTING, LISTING, 1.0)
    for number in (9, 10):
        registry.put(entry(f"t{number}", revision=combine(2, 1)), 1.0)
    assert [t.entry.identity for t in registry.of_service("plain", 1.0)] == [
        "t9"
    ]
