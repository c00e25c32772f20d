"""Guards the local copy of the store."""

import asyncio
import random
import types

import pytest
from builders_mirrors import Sent, deliver

from carobsail import changerelay, errors, keyvalue, storecopy
from carobsail.storemirror import (
    PAUSE_S,
    RELAY_PAUSE_S,
    RelayedChange,
    StoreMirror,
)

pytestmark = pytest.mark.memory_network


class Store(keyvalue.MemoryKeyValue):
    """A store that can lose its history."""

    def __init__(self):
        super().__init__()
        self.compact = False

    async def watch(self, prefix, start_revision):
        async for events in super().watch(prefix, start_revision):
            if self.compact:
                self.compact = False
                yield errors.Failure(
                    errors.Reason.STALE_REVISION, errors.Step.KEY_VALUE, "kv"
                )
                return
            yield events


class GonePeers(storecopy.Peers):
    """Instances that are gone."""

    async def read_value(self, address, key, revision):
        """See base class."""
        return await self.read_changes(address, 0, 0.0)

    async def read_changes(self, address, after, wait_s):
        """See base class."""
        return errors.Failure(
            errors.Reason.CONNECT_FAILED, errors.Step.CONNECT, address
        )


class RelayCopy(GonePeers):
    """A relay whose copy is ahead."""

    def __init__(self, revision, *values):
        self._found = storecopy.CopyChanges(revision, 0.0, True, values)

    async def read_changes(self, address, after, wait_s):
        """See base class."""
        return self._found


class DeputyCopy(GonePeers):
    """A deputy in touch with the store."""

    def __init__(self, found):
        self._found = found

    async def read_changes(self, address, after, wait_s):
        """See base class."""
        return self._found


class Followed:
    """A mirror with what it told."""

    def __init__(self, store, peers=None):
        self.seen = []
        self.contacts = []
        self.mirror = StoreMirror(
            store,
            "",
            lambda events, before, after: self.seen.extend(
                (e.key, e.value) for e in events
            ),
            self.contacts.append,
            random.Random(1),
            peers or GonePeers(),
        )
        self.task = asyncio.create_task(self.mirror.run())


async def put(store, key, value=b"v"):
    await store.transact([], [keyvalue.Put(key, value)])


async def test_changes_are_applied_in_order():
    """Targets and the configuration follow the store."""
    store = Store()
    await put(store, "a")
    followed = Followed(store)
    await asyncio.sleep(1.0)
    await put(store, "b")
    await store.transact([], [keyvalue.Delete("a")])
    await asyncio.sleep(1.0)
    assert followed.seen == [("a", b"v"), ("b", b"v"), ("a", None)]
    followed.task.cancel()


async def test_lost_history_shows_what_is_gone():
    """A target that left in the gap stayed in the list."""
    store = Store()
    await put(store, "a")
    await put(store, "b")
    followed = Followed(store)
    await asyncio.sleep(1.0)
    store.compact = True
    await store.transact([], [keyvalue.Delete("a")])
    await asyncio.sleep(3.0)
    assert ("a", None) in followed.seen
    assert [v.key for v in followed.mirror.copy.values()] == ["b"]
    followed.task.cancel()


async def test_outage_keeps_the_copy():
    """A data centre that is cut off goes on with what it knows."""
    store = Store()
    await put(store, "a")
    followed = Followed(store)
    await asyncio.sleep(1.0)
    store.available = False
    await asyncio.sleep(5.0)
    assert not followed.mirror.reachable
    assert [v.key for v in followed.mirror.copy.values()] == ["a"]
    store.available = True
    await put(store, "b")
    await asyncio.sleep(3.0)
    assert followed.mirror.reachable
    assert ("b", b"v") in followed.seen
    followed.task.cancel()


async def test_snapshot_of_another_instance_is_only_a_start():
    """An older copy must not bring back what the store no longer holds."""
    store = Store()
    store.available = False
    await put(store, "a")
    followed = Followed(store)
    await asyncio.sleep(0.5)
    followed.mirror.adopt((keyvalue.KeyValue("old", b"x", 1),), "10.0.0.9:1")
    assert followed.seen == [("old", b"x")]
    store.available = True
    await put(store, "a")
    await asyncio.sleep(3.0)
    assert followed.seen[-2:] == [("old", None), ("a", b"v")]
    followed.mirror.adopt((keyvalue.KeyValue("old", b"x", 1),), "10.0.0.9:1")
    assert ("old", b"x") != followed.seen[-1]
    followed.task.cancel()


async def test_omitted_value_comes_from_the_store_without_the_peer():
    """The instance that was to pass a long value on is gone."""
    store = Store()
    await put(store, "a")
    followed = Followed(store)
    await asyncio.sleep(1.0)
    mirror = followed.mirror
    before = mirror.revision
    followed.task.cancel()
    await put(store, "big", b"x" * 9000)
    event = keyvalue.WatchEvent("big", None, before + 1)
    mirror.relayed_changes(
        [RelayedChange(event, omitted=True)], before, before + 1, "10.0.0.9:1"
    )
    assert mirror.revision == before + 1
    await asyncio.sleep(3.0)
    assert followed.seen[-1] == ("big", b"x" * 9000)


async def test_instance_that_lost_its_history_reads_the_relay():
    """After a compaction far instances had the store's copy 5 s later."""
    store = Store()
    await put(store, "a")
    ahead = RelayCopy(50, keyvalue.KeyValue("b", b"v", 49))
    followed = Followed(store, ahead)
    await asyncio.sleep(1.0)
    followed.mirror.relay_address = "10.0.0.1:1"
    reads = store.calls["range"]
    store.compact = True
    await put(store, "c")
    await asyncio.sleep(0.5)
    assert followed.seen[-2:] == [("b", b"v"), ("a", None)]
    assert store.calls["range"] == reads
    followed.task.cancel()


async def test_relay_that_is_behind_is_not_believed():
    """A copy that is not ahead would be read again and again."""
    store = Store()
    await put(store, "a")
    followed = Followed(store, RelayCopy(1))
    await asyncio.sleep(1.0)
    followed.mirror.relay_address = "10.0.0.1:1"
    store.compact = True
    await put(store, "c")
    await asyncio.sleep(3.0)
    assert followed.seen == [("a", b"v"), ("c", b"v")]
    followed.task.cancel()


async def test_signs_of_life_do_not_each_cost_a_call():
    """103 instances that had no relay yet made 9,700 calls in a minute."""
    store = Store()
    followed = Followed(store)
    for number in range(200):
        await put(store, f"servers/{number % 8}", b"%d" % number)
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    assert store.calls["watch"] <= 12.0 / (PAUSE_S / 2)
    assert followed.seen[-1] == ("servers/7", b"199")
    followed.task.cancel()


async def test_relay_reads_changes_together():
    """The relay alone made a call for each of 20 changes a second."""
    store = Store()
    followed = Followed(store)
    followed.mirror.relays = True
    for number in range(200):
        await put(store, f"servers/{number % 8}", b"%d" % number)
        await asyncio.sleep(0.05)
    assert store.calls["watch"] <= 10.0 / (RELAY_PAUSE_S / 2)
    followed.task.cancel()


async def test_value_that_the_store_refuses_is_not_asked_for_at_full_rate():
    """Instances that the store turned away made 490 calls in 5 s."""
    store = Store()
    await put(store, "a")
    followed = Followed(store)
    await asyncio.sleep(1.0)
    mirror = followed.mirror
    followed.task.cancel()
    store.available = False
    reads = store.calls["range"]
    event = keyvalue.WatchEvent("big", None, mirror.revision + 1)
    mirror.relayed_changes(
        [RelayedChange(event, omitted=True)],
        mirror.revision,
        mirror.revision + 1,
        "",
    )
    await asyncio.sleep(10.0)
    assert store.calls["range"] - reads <= 15
    assert mirror.copy.complete_revision < mirror.revision


async def test_follower_ahead_of_a_relay_that_read_all_anew():
    """A target that came and went in the relay's gap stays listed."""
    told = []
    relay, follower = Followed(Store()).mirror, Followed(Store()).mirror
    relay._on_changes = lambda *change: told.append(change)
    put_a = keyvalue.WatchEvent("servers/a", b"v", 2)
    relay._apply([put_a], 2, "store")
    follower._apply([put_a], 2, "store")
    # A deputy told the follower of b while the relay was cut off.
    follower._apply([keyvalue.WatchEvent("servers/b", b"v", 3)], 4, "store")
    told.clear()
    # b is gone at 5, the store has lost its history, the relay reads all.
    listed = keyvalue.RangeResult(9, (keyvalue.KeyValue("servers/a", b"v", 2),))
    relay._tell(relay.copy.take_all(listed), 2, "store")
    for changes, before, after in told:
        follower.relayed_changes(
            [RelayedChange(c) for c in changes], before, after, "", parts=1
        )
    gone = follower.copy.value("servers/b") is None
    assert gone or follower.copy.complete_revision < 9


async def test_deputy_that_knows_less_does_not_end_a_gap():
    """A lost message of the relay was forgotten until the next board."""
    behind = storecopy.CopyChanges(8, 0.2, False, ())

    class Behind(GonePeers):
        async def read_changes(self, address, after, wait_s):
            """See base class."""
            return behind

    followed = Followed(Store(), Behind())
    mirror = followed.mirror
    followed.task.cancel()
    mirror._apply([keyvalue.WatchEvent("servers/a", b"v", 2)], 10, "store")
    mirror.deputies.change(["10.0.0.2:1"], leads=False)
    mirror.relayed(11, 0.0)
    assert await mirror._ask_deputies()
    assert not mirror._relay_serves()


def take(mirror, message):
    """Hands a message of the relay to a mirror."""
    deliver(types.SimpleNamespace(mirror=mirror), message)


def listing_messages(before, *rows):
    """Returns what a relay tells after it has read everything anew."""
    sent = Sent(("b-1", "10.1.0.1", "b"))
    relay = changerelay.ChangeRelay("10.0.0.1", "a", 8144, sent)
    relay.send(1, list(rows), before, rows[-1].mod_revision, complete=False)
    return sent.messages["10.1.0.1"]


@pytest.mark.parametrize("known, complete", [(2, True), (4, False)])
async def test_listing_in_several_messages_fits_only_its_base(known, complete):
    """A copy that is ahead of the relay's had other keys before it."""
    rows = [keyvalue.WatchEvent(f"k{n}", b"x" * 900, 4 + n) for n in range(3)]
    messages = listing_messages(2, *rows)
    assert [(m.before, m.after) for m in messages] == [(2, 6)] * 3
    follower = Followed(Store())
    follower.task.cancel()
    mirror = follower.mirror
    mirror._apply([keyvalue.WatchEvent("a", b"v", 2)], known, "store")
    for message in messages:
        take(mirror, message)
    assert (mirror.revision == 6) == complete
    assert mirror._gap != complete


async def test_changes_in_sequence_fit_a_copy_that_is_ahead():
    """A first deputy that was ahead would ask the store again and again."""
    follower = Followed(Store())
    follower.task.cancel()
    mirror = follower.mirror
    mirror._apply([keyvalue.WatchEvent("a", b"v", 2)], 4, "store")
    event = keyvalue.WatchEvent("b", b"v", 5)
    mirror.relayed_changes([RelayedChange(event)], 2, 5, "", 0)
    assert mirror.revision == 5 and not mirror._gap


@pytest.mark.parametrize("lost", range(3))
async def test_removal_of_a_listing_is_not_lost_with_a_message(lost):
    """DRAIN: a target that was gone stayed listed for good on one instance.

    The relay read everything anew; one of its messages was lost.
    """
    rows = [keyvalue.WatchEvent(f"k{n}", b"x" * 900, 4 + n) for n in range(3)]
    rows.append(keyvalue.WatchEvent("servers/gone", None, 7))
    messages = listing_messages(2, *rows)
    assert len(messages) == 3
    follower = Followed(Store())
    follower.task.cancel()
    mirror = follower.mirror
    listed = keyvalue.WatchEvent("servers/gone", b"v", 1)
    mirror._apply([listed], 2, "store")
    for message in messages[:lost] + messages[lost + 1 :]:
        take(mirror, message)
    mirror.relayed(7, 0.0)
    assert mirror._gap
    # What a deputy or the store tells next is what came after this.
    assert mirror.copy.complete_revision == 2


async def test_messages_of_a_listing_are_taken_in_any_order():
    """A message that overtook another one left a gap."""
    rows = [keyvalue.WatchEvent(f"k{n}", b"x" * 900, 4 + n) for n in range(3)]
    follower = Followed(Store())
    follower.task.cancel()
    mirror = follower.mirror
    mirror._apply([keyvalue.WatchEvent("a", b"v", 2)], 2, "store")
    for message in reversed(listing_messages(2, *rows)):
        take(mirror, message)
    assert mirror.revision == 6
    assert all(mirror.copy.value(row.key) for row in rows)


async def test_lost_history_is_no_outage():
    """A target that was removed was used for 2 s more on the relay."""
    store = Store()
    await put(store, "servers/a")
    followed = Followed(store)
    await asyncio.sleep(1.0)
    store.compact = True
    await store.transact([], [keyvalue.Delete("servers/a")])
    await asyncio.sleep(3.0)
    assert ("servers/a", None) in followed.seen
    assert set(followed.contacts) == {True}
    followed.task.cancel()


async def test_instance_that_follows_a_deputy_sees_no_outage():
    """The relay, turned away, used targets that were removed for 7 s.

    The store turned away this instance only; a deputy tells what changes.
    """
    store = Store()
    await put(store, "servers/a")
    news = storecopy.CopyChanges(9, 0.1, False, (), (("servers/a", 9),))
    followed = Followed(store, DeputyCopy(news))
    mirror = followed.mirror
    mirror.relays = True
    await asyncio.sleep(1.0)
    mirror.deputies.change(["10.0.0.2:1"], leads=True)
    store.available = False
    followed.contacts.clear()
    await asyncio.sleep(3.0)
    assert ("servers/a", None) in followed.seen
    assert not mirror.reachable
    assert False not in followed.contacts
    followed.task.cancel()


async def test_copy_after_a_listing_is_passed_on_whole():
    """DRAIN: a removal was lost on the way through a deputy.

    The deputy had never known the target; it came and went in the relay's gap.
    """
    deputy, ahead = Followed(Store()), Followed(Store())
    for followed in (deputy, ahead):
        followed.task.cancel()
        known = keyvalue.WatchEvent("servers/a", b"v", 2)
        followed.mirror._apply([known], 2, "store")
    # The store told it of b at 3, which is gone at 5.
    came = keyvalue.WatchEvent("servers/b", b"v", 3)
    ahead.mirror._apply([came], 4, "store")
    for message in listing_messages(2, keyvalue.WatchEvent("c", b"v", 9)):
        take(deputy.mirror, message)
    assert deputy.mirror.revision == 9
    found = await deputy.mirror.changes_after(4, 0.0)
    ahead.mirror._take_changes(found, "10.0.0.2:1")
    assert ahead.mirror.revision == 9
    assert ("servers/b", None) in ahead.seen
