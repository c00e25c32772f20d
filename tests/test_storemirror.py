"""Guards the mirror of the store."""

import asyncio
import random
import types

import pytest
from builders_mirrors import RecordingKnownPeers, deliver

from carobsail import changerelay, errors, keyvalue, storecopy, storeera
from carobsail.storemirror import (
    BATCH_PAUSE_S,
    RELAY_BATCH_PAUSE_S,
    RelayedChange,
    StoreMirror,
)

pytestmark = pytest.mark.memory_network


class Store(keyvalue.MemoryKeyValue):
    """A store that can compact its history."""

    def __init__(self, era=0):
        super().__init__()
        self.compact = False
        self.stated_era = era
        self._revision = storeera.combine(era, self._revision)

    @property
    def era(self):
        """See base class."""
        return self.stated_era

    async def watch(self, prefix, start_revision):
        async for events in super().watch(prefix, start_revision):
            if self.compact:
                self.compact = False
                yield errors.Failure(
                    errors.Reason.STALE_REVISION, errors.Step.KEY_VALUE, "kv"
                )
                return
            yield events


class UnreachablePeerReader(storecopy.PeerReader):
    """Reads from peers that cannot be reached."""

    async def read_value(self, address, key, revision):
        """See base class."""
        return await self.read_changes(address, 0, 0.0)

    async def read_changes(self, address, after, wait_s):
        """See base class."""
        return errors.Failure(
            errors.Reason.CONNECT_FAILED, errors.Step.CONNECT, address
        )


class RelayCopy(UnreachablePeerReader):
    """A relay whose copy is ahead."""

    def __init__(self, revision, *values):
        self._found = storecopy.CopyChanges(revision, 0.0, True, values)

    async def read_changes(self, address, after, wait_s):
        """See base class."""
        return self._found


class DeputyCopy(UnreachablePeerReader):
    """A deputy in touch with the store."""

    def __init__(self, found):
        self._found = found

    async def read_changes(self, address, after, wait_s):
        """See base class."""
        return self._found


class RecordedMirror:
    """A running mirror and what it reported."""

    def __init__(self, store, peer_reader=None):
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
            peer_reader or UnreachablePeerReader(),
        )
        self.task = asyncio.create_task(self.mirror.run())


async def put(store, key, value=b"v"):
    await store.transact([], [keyvalue.Put(key, value)])


async def test_changes_are_applied_in_order():
    """Changes of targets and of the configuration arrive in order."""
    store = Store()
    await put(store, "a")
    recorded = RecordedMirror(store)
    await asyncio.sleep(1.0)
    await put(store, "b")
    await store.transact([], [keyvalue.Delete("a")])
    await asyncio.sleep(1.0)
    assert recorded.seen == [("a", b"v"), ("b", b"v"), ("a", None)]
    recorded.task.cancel()


async def test_lost_history_leads_to_reported_removals():
    """A target that left while history was missing stayed in the list."""
    store = Store()
    await put(store, "a")
    await put(store, "b")
    recorded = RecordedMirror(store)
    await asyncio.sleep(1.0)
    store.compact = True
    await store.transact([], [keyvalue.Delete("a")])
    await asyncio.sleep(3.0)
    assert ("a", None) in recorded.seen
    assert [v.key for v in recorded.mirror.copy.values()] == ["b"]
    recorded.task.cancel()


async def test_outage_keeps_the_copy():
    """A data centre that loses the store keeps serving from its copy."""
    store = Store()
    await put(store, "a")
    recorded = RecordedMirror(store)
    await asyncio.sleep(1.0)
    store.available = False
    await asyncio.sleep(5.0)
    assert not recorded.mirror.store_reachable
    assert [v.key for v in recorded.mirror.copy.values()] == ["a"]
    store.available = True
    await put(store, "b")
    await asyncio.sleep(3.0)
    assert recorded.mirror.store_reachable
    assert ("b", b"v") in recorded.seen
    recorded.task.cancel()


async def test_snapshot_of_another_instance_is_only_a_start():
    """An older copy must not restore keys that the store no longer has."""
    store = Store()
    store.available = False
    await put(store, "a")
    recorded = RecordedMirror(store)
    await asyncio.sleep(0.5)
    recorded.mirror.adopt((keyvalue.KeyValue("old", b"x", 1),), "10.0.0.9:1")
    assert recorded.seen == [("old", b"x")]
    store.available = True
    await put(store, "a")
    await asyncio.sleep(3.0)
    assert recorded.seen[-2:] == [("old", None), ("a", b"v")]
    recorded.mirror.adopt((keyvalue.KeyValue("old", b"x", 1),), "10.0.0.9:1")
    assert ("old", b"x") != recorded.seen[-1]
    recorded.task.cancel()


async def test_omitted_value_comes_from_the_store_without_the_peer():
    """The instance from which a long value is to be read does not answer."""
    store = Store()
    await put(store, "a")
    recorded = RecordedMirror(store)
    await asyncio.sleep(1.0)
    mirror = recorded.mirror
    before = mirror.revision
    recorded.task.cancel()
    await put(store, "big", b"x" * 9000)
    event = keyvalue.WatchEvent("big", None, before + 1)
    mirror.handle_relay_changes(
        [RelayedChange(event, omitted=True)], before, before + 1, "10.0.0.9:1"
    )
    assert mirror.revision == before + 1
    await asyncio.sleep(3.0)
    assert recorded.seen[-1] == ("big", b"x" * 9000)


async def test_instance_that_lost_its_history_reads_the_relay():
    """All instances read the store again after a compaction.

    Instances in another region had its keys only 5 s later.
    """
    store = Store()
    await put(store, "a")
    ahead = RelayCopy(50, keyvalue.KeyValue("b", b"v", 49))
    recorded = RecordedMirror(store, ahead)
    await asyncio.sleep(1.0)
    recorded.mirror.relay_address = "10.0.0.1:1"
    reads = store.calls["range"]
    store.compact = True
    await put(store, "c")
    await asyncio.sleep(0.5)
    assert recorded.seen[-2:] == [("b", b"v"), ("a", None)]
    assert store.calls["range"] == reads
    recorded.task.cancel()


async def test_copy_of_a_relay_that_is_behind_is_not_used():
    """A relay's copy that is not newer would be read repeatedly."""
    store = Store()
    await put(store, "a")
    recorded = RecordedMirror(store, RelayCopy(1))
    await asyncio.sleep(1.0)
    recorded.mirror.relay_address = "10.0.0.1:1"
    store.compact = True
    await put(store, "c")
    await asyncio.sleep(3.0)
    assert recorded.seen == [("a", b"v"), ("c", b"v")]
    recorded.task.cancel()


async def test_renewals_of_targets_do_not_each_cost_a_call():
    """103 instances that had no relay yet made 9,700 calls in a minute.

    Each call returned as soon as one target had renewed its entry.
    """
    store = Store()
    recorded = RecordedMirror(store)
    for number in range(200):
        await put(store, f"servers/{number % 8}", b"%d" % number)
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    assert store.calls["watch"] <= 12.0 / (BATCH_PAUSE_S / 2)
    assert recorded.seen[-1] == ("servers/7", b"199")
    recorded.task.cancel()


async def test_relay_reads_changes_together():
    """The relay made one call for each of 20 changes per second."""
    store = Store()
    recorded = RecordedMirror(store)
    recorded.mirror.is_relay = True
    for number in range(200):
        await put(store, f"servers/{number % 8}", b"%d" % number)
        await asyncio.sleep(0.05)
    assert store.calls["watch"] <= 10.0 / (RELAY_BATCH_PAUSE_S / 2)
    recorded.task.cancel()


async def test_value_that_the_store_refuses_is_not_asked_for_at_full_rate():
    """Instances that the store refused made 490 calls in 5 s."""
    store = Store()
    await put(store, "a")
    recorded = RecordedMirror(store)
    await asyncio.sleep(1.0)
    mirror = recorded.mirror
    recorded.task.cancel()
    store.available = False
    reads = store.calls["range"]
    event = keyvalue.WatchEvent("big", None, mirror.revision + 1)
    mirror.handle_relay_changes(
        [RelayedChange(event, omitted=True)],
        mirror.revision,
        mirror.revision + 1,
        "",
    )
    await asyncio.sleep(10.0)
    assert store.calls["range"] - reads <= 15
    assert mirror.copy.complete_revision < mirror.revision


async def test_follower_ahead_of_a_relay_that_read_all_again():
    """A target was added and removed while the relay missed changes.

    A follower that knew the target kept it in its list.
    """
    reported = []
    relay, follower = (
        RecordedMirror(Store()).mirror,
        RecordedMirror(Store()).mirror,
    )
    relay._on_changes = lambda *change: reported.append(change)
    put_a = keyvalue.WatchEvent("servers/a", b"v", 2)
    relay._apply([put_a], 2, "store")
    follower._apply([put_a], 2, "store")
    # The follower learned of b from a deputy while the relay was cut off.
    follower._apply([keyvalue.WatchEvent("servers/b", b"v", 3)], 4, "store")
    reported.clear()
    # b is removed at 5; the store drops its history; the relay reads all keys.
    listed = keyvalue.RangeResult(9, (keyvalue.KeyValue("servers/a", b"v", 2),))
    relay._notify(relay.copy.apply_listing(listed), 2, "store")
    for changes, before, after in reported:
        follower.handle_relay_changes(
            [RelayedChange(c) for c in changes], before, after, "", parts=1
        )
    is_removed = follower.copy.value("servers/b") is None
    assert is_removed or follower.copy.complete_revision < 9


async def test_deputy_that_is_behind_does_not_end_a_gap():
    """A lost message stayed unnoticed until the relay's next status."""
    behind = storecopy.CopyChanges(8, 0.2, False, ())

    class Behind(UnreachablePeerReader):
        async def read_changes(self, address, after, wait_s):
            """See base class."""
            return behind

    recorded = RecordedMirror(Store(), Behind())
    mirror = recorded.mirror
    recorded.task.cancel()
    mirror._apply([keyvalue.WatchEvent("servers/a", b"v", 2)], 10, "store")
    mirror.deputies.update(["10.0.0.2:1"], store_first=False)
    mirror.handle_relay_status(11, 0.0)
    assert await mirror._ask_deputies()
    assert not mirror._relay_usable()


def receive(mirror, message):
    """Delivers a message of the relay to a mirror."""
    deliver(types.SimpleNamespace(mirror=mirror), message)


def listing_messages(before, *rows):
    """Returns the messages of a relay that has read all keys again."""
    known_peers = RecordingKnownPeers(("b-1", "10.1.0.1", "b"))
    relay = changerelay.ChangeRelay("10.0.0.1", "a", 8144, known_peers)
    relay.send(1, list(rows), before, rows[-1].mod_revision, complete=False)
    return known_peers.messages["10.1.0.1"]


@pytest.mark.parametrize("known, complete", [(2, True), (4, False)])
async def test_listing_in_several_messages_fits_only_its_base(known, complete):
    """A copy newer than the relay's base may have other keys.

    The relay's differences must not be applied to it.
    """
    rows = [keyvalue.WatchEvent(f"k{n}", b"x" * 900, 4 + n) for n in range(3)]
    messages = listing_messages(2, *rows)
    assert [(m.before, m.after) for m in messages] == [(2, 6)] * 3
    follower = RecordedMirror(Store())
    follower.task.cancel()
    mirror = follower.mirror
    mirror._apply([keyvalue.WatchEvent("a", b"v", 2)], known, "store")
    for message in messages:
        receive(mirror, message)
    assert (mirror.revision == 6) == complete
    assert mirror._has_gap != complete


async def test_changes_in_sequence_fit_a_copy_that_is_ahead():
    """A first deputy that was ahead would read the store repeatedly."""
    follower = RecordedMirror(Store())
    follower.task.cancel()
    mirror = follower.mirror
    mirror._apply([keyvalue.WatchEvent("a", b"v", 2)], 4, "store")
    event = keyvalue.WatchEvent("b", b"v", 5)
    mirror.handle_relay_changes([RelayedChange(event)], 2, 5, "", 0)
    assert mirror.revision == 5 and not mirror._has_gap


@pytest.mark.parametrize("lost", range(3))
async def test_removal_of_a_listing_is_not_lost_with_a_message(lost):
    """A message of a relay that has read all keys again is lost.

    A removed target stayed listed permanently on one instance (soak check
    `drain`).
    """
    rows = [keyvalue.WatchEvent(f"k{n}", b"x" * 900, 4 + n) for n in range(3)]
    rows.append(keyvalue.WatchEvent("servers/gone", None, 7))
    messages = listing_messages(2, *rows)
    assert len(messages) == 3
    follower = RecordedMirror(Store())
    follower.task.cancel()
    mirror = follower.mirror
    listed = keyvalue.WatchEvent("servers/gone", b"v", 1)
    mirror._apply([listed], 2, "store")
    for message in messages[:lost] + messages[lost + 1 :]:
        receive(mirror, message)
    mirror.handle_relay_status(7, 0.0)
    assert mirror._has_gap
    # The next read from a deputy or the store starts at this revision.
    assert mirror.copy.complete_revision == 2


async def test_messages_of_a_listing_are_taken_in_any_order():
    """A message that arrived before an earlier one left a gap."""
    rows = [keyvalue.WatchEvent(f"k{n}", b"x" * 900, 4 + n) for n in range(3)]
    follower = RecordedMirror(Store())
    follower.task.cancel()
    mirror = follower.mirror
    mirror._apply([keyvalue.WatchEvent("a", b"v", 2)], 2, "store")
    for message in reversed(listing_messages(2, *rows)):
        receive(mirror, message)
    assert mirror.revision == 6
    assert all(mirror.copy.value(row.key) for row in rows)


async def test_lost_history_is_no_outage():
    """The relay used a removed target for 2 s more after a compaction."""
    store = Store()
    await put(store, "servers/a")
    recorded = RecordedMirror(store)
    await asyncio.sleep(1.0)
    store.compact = True
    await store.transact([], [keyvalue.Delete("servers/a")])
    await asyncio.sleep(3.0)
    assert ("servers/a", None) in recorded.seen
    assert set(recorded.contacts) == {True}
    recorded.task.cancel()


async def test_instance_that_follows_a_deputy_sees_no_outage():
    """The store refuses only the relay, which then reads from a deputy.

    The relay used removed targets for 7 s.
    """
    store = Store()
    await put(store, "servers/a")
    changes = storecopy.CopyChanges(9, 0.1, False, (), (("servers/a", 9),))
    recorded = RecordedMirror(store, DeputyCopy(changes))
    mirror = recorded.mirror
    mirror.is_relay = True
    await asyncio.sleep(1.0)
    mirror.deputies.update(["10.0.0.2:1"], store_first=True)
    store.available = False
    recorded.contacts.clear()
    await asyncio.sleep(3.0)
    assert ("servers/a", None) in recorded.seen
    assert not mirror.store_reachable
    assert False not in recorded.contacts
    recorded.task.cancel()


async def test_copy_after_a_listing_is_passed_on_whole():
    """A removal must not be lost when changes are read from a deputy.

    The deputy had never known the target, which was added and removed while
    the relay missed changes (soak check `drain`).
    """
    deputy, ahead = RecordedMirror(Store()), RecordedMirror(Store())
    for recorded in (deputy, ahead):
        recorded.task.cancel()
        known = keyvalue.WatchEvent("servers/a", b"v", 2)
        recorded.mirror._apply([known], 2, "store")
    # The other instance learned of b at 3 from the store; b is removed at 5.
    put_b = keyvalue.WatchEvent("servers/b", b"v", 3)
    ahead.mirror._apply([put_b], 4, "store")
    for message in listing_messages(2, keyvalue.WatchEvent("c", b"v", 9)):
        receive(deputy.mirror, message)
    assert deputy.mirror.revision == 9
    found = await deputy.mirror.changes_after(4, 0.0)
    ahead.mirror._take_changes(found, "10.0.0.2:1")
    assert ahead.mirror.revision == 9
    assert ("servers/b", None) in ahead.seen


async def send_status(mirror, revision):
    """Sends the status of a relay that has just heard from its store."""
    while True:
        mirror.handle_relay_status(revision, 0.0)
        await asyncio.sleep(0.5)


@pytest.mark.parametrize("stated", [2, 3])
async def test_relay_that_missed_a_loss_is_not_relied_on(stated):
    """Instances saw no change while the relay followed an earlier era."""
    store = Store(era=2)
    await put(store, "a")
    recorded = RecordedMirror(store)
    await asyncio.sleep(1.0)
    store.stated_era = stated
    mirror = recorded.mirror
    revision = min(mirror.revision, storeera.combine(stated - 1, 900))
    status = asyncio.create_task(send_status(mirror, revision))
    await asyncio.sleep(5.0)
    await put(store, "b")
    await asyncio.sleep(1.5)
    assert ("b", b"v") in recorded.seen
    recorded.task.cancel()
    status.cancel()


async def test_changes_across_a_loss_are_a_gap():
    """An instance applied changes of an era that it had not read as a whole."""
    mirror = RecordedMirror(Store()).mirror
    await asyncio.sleep(0.5)
    before = mirror.revision
    after = storeera.combine(1, 7)
    event = keyvalue.WatchEvent("a", b"v", after)
    mirror.handle_relay_changes([RelayedChange(event)], before, after, "")
    assert mirror.revision == before
    assert mirror.copy.value("a") is None
