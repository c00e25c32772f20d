"""Guards the copy of the store and what instances pass on of it."""

import random

from carobsail import keyvalue, storecopy, storeera
from carobsail.storecopy import StoreCopy


def put(key, revision, value=b"v"):
    return keyvalue.WatchEvent(key, value, revision)


def removal(key, revision):
    return keyvalue.WatchEvent(key, None, revision)


def sync_copy(source, receiver):
    """Brings the receiver up to date, as one instance reads from another."""
    receiver.merge(source.changes_after(receiver.complete_revision, 0.0))


def test_complete_revision_excludes_values_still_to_be_read():
    """Instances took an old configuration for the newest one.

    A long value is left out of the relay's datagram. The receiver's revision
    advanced before it had read the value, and it passed that revision on (soak
    check `denied`).
    """
    source, receiver = StoreCopy(), StoreCopy()
    source.apply([put("op/config", 3, b"old")], 3)
    receiver.apply([put("op/config", 3, b"old")], 4)
    source.expect_value("op/config", 5)
    source.apply([put("servers/a", 6)], 6)
    assert (source.revision, source.complete_revision) == (6, 4)
    sync_copy(source, receiver)
    assert receiver.revision == 4
    source.apply([put("op/config", 5, b"new")], 0)
    assert source.complete_revision == 6
    sync_copy(source, receiver)
    assert receiver.value("op/config").value == b"new"
    assert receiver.complete_revision == 6


def test_late_put_does_not_restore_a_removed_key():
    """An engine that had left was listed again and received requests."""
    copy = StoreCopy()
    copy.apply([put("servers/a", 3)], 3)
    copy.apply([removal("servers/a", 5)], 5)
    assert copy.apply([put("servers/a", 4)], 4) == []
    assert copy.value("servers/a") is None and copy.revision == 5
    assert copy.apply([put("servers/a", 6)], 6)


def test_removal_that_arrives_first_is_not_forgotten():
    """A removal arrives from another source before the put that it follows."""
    copy = StoreCopy()
    copy.apply([removal("servers/a", 5)], 5)
    copy.apply([put("servers/a", 4)], 5)
    assert copy.value("servers/a") is None


def test_copy_that_lost_its_history_is_passed_on_whole():
    """The source has read all keys again after the store lost its history.

    A key that was added and removed in between stayed in other copies.
    """
    source, receiver = StoreCopy(), StoreCopy()
    for copy in (source, receiver):
        copy.apply([put("a", 2)], 2)
    receiver.apply([put("b", 3)], 3)
    source.apply_listing(
        keyvalue.RangeResult(9, (keyvalue.KeyValue("a", b"v", 2),))
    )
    sync_copy(source, receiver)
    assert [v.key for v in receiver.values()] == ["a"]
    assert receiver.revision == 9


def test_older_full_read_does_not_remove_newer_keys():
    """A full read that was made before a change arrives after it."""
    copy = StoreCopy()
    copy.apply([put("a", 2)], 2)
    copy.apply([put("b", 7)], 7)
    copy.apply_listing(
        keyvalue.RangeResult(5, (keyvalue.KeyValue("a", b"v", 2),))
    )
    assert {v.key for v in copy.values()} == {"a", "b"}
    assert copy.revision == 7


def test_removed_keys_are_bounded():
    """Memory must stay bounded when engines join and leave for months."""
    copy = StoreCopy()
    for revision in range(1, 2 * storecopy.MAX_REMOVED, 2):
        copy.apply([put(f"k{revision}", revision)], revision)
        copy.apply([removal(f"k{revision}", revision + 1)], revision + 1)
    copy.apply([put("z", 9_999_999)], 9_999_999)
    assert len(copy.changes_after(1, 0.0).removed) <= storecopy.MAX_REMOVED


def test_copies_agree_with_the_store_however_changes_come():
    """Each copy equals the store at its complete revision, on 300 schedules.

    Copies receive changes late, twice, out of order, without long values and
    from each other.
    """
    for seed in range(300):
        rng = random.Random(seed)
        history = _history(rng)
        copies = [StoreCopy() for _ in range(4)]
        for _ in range(60):
            _step(rng, history, copies)
            for copy in copies:
                _check(seed, history, copy)


def _history(rng):
    """Returns events with consecutive revisions of a few keys."""
    events, present = [], set()
    for revision in range(1, 40):
        key = f"k{rng.randrange(5)}"
        if key in present and rng.random() < 0.4:
            present.discard(key)
            events.append(removal(key, revision))
        else:
            present.add(key)
            events.append(put(key, revision, b"%d" % revision))
    return events


def _step(rng, history, copies):
    copy = rng.choice(copies)
    other = rng.choice(copies)
    now = rng.randrange(copy.revision, len(history) + 1)
    match rng.randrange(5):
        case 0:  # The store returns all changes since some revision.
            since = rng.randrange(copy.complete_revision + 1)
            copy.apply(history[since:now], now)
        case 1:  # The relay sends changes and omits some values.
            events = history[copy.revision : now]
            omitted = [e for e in events if e.value and rng.random() < 0.4]
            for event in omitted:
                copy.expect_value(event.key, event.mod_revision)
            copy.apply([e for e in events if e not in omitted], now)
        case 2:  # An omitted value arrives, or a newer one.
            values = _state(history, now)
            if values:
                value = rng.choice(sorted(values.items()))[1]
                copy.apply([value], 0)
        case 3 if other is not copy:
            sync_copy(other, copy)
        case _:  # A full read.
            values = _state(history, now).values()
            copy.apply_listing(
                keyvalue.RangeResult(
                    now,
                    tuple(
                        keyvalue.KeyValue(e.key, e.value, e.mod_revision)
                        for e in values
                    ),
                )
            )


def _state(history, revision):
    """Returns the last put of each key that exists at a revision."""
    state = {}
    for event in history[:revision]:
        if event.value is None:
            state.pop(event.key, None)
        else:
            state[event.key] = event
    return state


def _check(seed, history, copy):
    """Checks that the copy has the store's state at its complete revision."""
    complete = copy.complete_revision
    state = _state(history, complete)
    held = {v.key: v for v in copy.values()}
    for key, event in state.items():
        newer = any(e.key == key and e.mod_revision > complete for e in history)
        if key in held:
            assert held[key].mod_revision >= event.mod_revision, (seed, key)
        else:
            assert newer, (seed, key)
    for key, value in held.items():
        if value.mod_revision <= complete:
            assert key in state, (seed, key)
            assert state[key].mod_revision == value.mod_revision, (seed, key)


def copy_after_a_loss():
    """Returns a copy that was at 1:140 and has read the store at 2:100."""
    copy = StoreCopy()
    value = keyvalue.KeyValue("servers/a", b"v", storeera.combine(1, 90))
    for era, revision in ((1, 140), (2, 100)):
        number = storeera.combine(era, revision)
        copy.apply_listing(keyvalue.RangeResult(number, (value,)))
        value = keyvalue.KeyValue("servers/a", b"v", storeera.combine(2, 90))
    return copy


def test_late_change_does_not_restore_a_lost_key():
    """A change that the store has lost arrives after the read of its era."""
    copy = copy_after_a_loss()
    lost = storeera.combine(1, 130)
    assert copy.apply([put("servers/lost", lost)], lost) == []
    values = (keyvalue.KeyValue("servers/lost", b"v", lost),)
    assert copy.merge(storecopy.CopyChanges(lost, 0.0, False, values)) == []
    assert [v.key for v in copy.values()] == ["servers/a"]
    assert copy.revision == storeera.combine(2, 100)


def test_change_of_the_next_era_waits_for_its_whole_read():
    """A copy that lacks removals claimed to be complete in the next era."""
    copy = copy_after_a_loss()
    number = storeera.combine(3, 80)
    before = copy.revision
    assert copy.apply([put("op/config", number)], 0) == []
    values = (keyvalue.KeyValue("op/config", b"v", number),)
    assert copy.merge(storecopy.CopyChanges(number, 0.0, False, values)) == []
    assert copy.revision == before
    full = storecopy.CopyChanges(number, 0.0, True, values)
    assert {e.key for e in copy.merge(full)} == {"op/config", "servers/a"}
