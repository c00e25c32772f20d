"""Guards the distribution of the configuration."""

import random

from builders_coordination import run_virtual
from hypothesis import given, settings
from hypothesis import strategies as st

from carobsail import configurationrelay, keyvalue, messages
from carobsail.membership import Process

A, B = Process("a", "entry"), Process("b", "entry")


def build_event(revision, key="k", value=b"v"):
    return keyvalue.WatchEvent(key, value, revision)


def deliver_due_message(source, process, state, now):
    message = source.next_message(process, now)
    if message is None:
        return None
    source.mark_sent(process, now)
    answer = state.receive(message)
    if isinstance(answer, messages.Applied):
        source.record_applied(process, answer.revision)
    elif isinstance(answer, messages.Resync):
        source.resync(process, answer.revision)
    return message


def build_relay(revision=1, documents=None):
    source = configurationrelay.ConfigurationRelay(
        configurationrelay.ConfigurationState()
    )
    source.replace(revision, documents or {})
    return source


@settings(derandomize=True, max_examples=150)
@given(st.lists(st.integers(0, 9), max_size=60), st.integers(0, 1000))
def test_any_interleaving_converges_without_going_back(steps, seed):
    """Lost messages, restarts and new leaders must revert no change (R8)."""
    rng = random.Random(seed)
    content, revision, now = {}, 1, 0.0
    source, state = build_relay(), configurationrelay.ConfigurationState()
    history = {1: {}}
    for step in steps:
        now += rng.choice([0.05, 0.2, 4.0])
        before = state.revision
        if step < 4:
            revision += rng.randint(1, 3)
            key = f"k{rng.randint(0, 3)}"
            value = rng.choice([None, b"%d" % revision])
            content = {**content, key: value}
            content = {k: v for k, v in content.items() if v is not None}
            history[revision] = content
            source.apply_events([build_event(revision, key, value)])
        elif step == 4:
            source = configurationrelay.ConfigurationRelay(state)
            source.replace(revision, content)
            history[revision] = content
        elif step == 5:
            state, before = configurationrelay.ConfigurationState(), 0
        elif step == 6 and source.next_message(A, now):
            source.mark_sent(A, now)
        else:
            source.record_applied(A, state.revision)
            deliver_due_message(source, A, state, now)
        assert state.revision >= before
        assert state.revision == 0 or state.documents == history[state.revision]
    source.resync(A, state.revision)
    deliver_due_message(source, A, state, now + 5)
    assert (state.revision, state.documents) == (revision, content)
    assert state.confirmed


def test_burst_is_coalesced():
    """A thousand changes must not cause a thousand messages (R17)."""
    source, state = build_relay(), configurationrelay.ConfigurationState()
    source.record_applied(A, 0)
    sent = []
    for n in range(1000):
        source.apply_events([build_event(2 + n, f"k{n % 50}", b"%d" % n)])
        sent.append(deliver_due_message(source, A, state, n / 1000))
    sent = [message for message in sent if message]
    assert 9 <= len(sent) <= 11
    deliver_due_message(source, A, state, 2.0)
    assert state.documents == source.documents


def test_gap_is_resynchronised_and_old_message_is_ignored():
    """A receiver must neither skip changes nor return to old ones (R8)."""
    state = configurationrelay.ConfigurationState()
    state.receive(messages.Snapshot(5, {"k": b"5"}))
    assert state.receive(messages.Delta(7, 9, {})) == messages.Resync(5)
    assert state.receive(messages.Snapshot(4, {})) is None
    assert state.receive(messages.Delta(3, 4, {"k": b"4"})) is None
    assert state.documents == {"k": b"5"}
    overlap = messages.Delta(4, 8, {"k": b"8"})
    assert state.receive(overlap) == messages.Applied(8)


def test_new_or_resumed_instance_needs_confirmation():
    """A ready instance with a stale configuration uses old limits (R8)."""
    source, state = (
        build_relay(3, {"k": b"v"}),
        configurationrelay.ConfigurationState(),
    )
    source.record_applied(A, 0)
    assert not state.confirmed
    deliver_due_message(source, A, state, 0.0)
    assert state.confirmed
    assert source.next_message(A, 1.0) is None
    resync = state.require_confirmation()
    assert not state.confirmed
    source.resync(A, resync.revision)
    assert deliver_due_message(source, A, state, 2.0) == messages.Delta(
        3, 3, {}
    )
    assert state.confirmed


def test_confirmation_needs_every_required_process():
    """A change is accepted only once it is in force everywhere (R8)."""
    source = build_relay(4)
    source.record_applied(A, 4)
    assert source.confirmed_revision([A]) == 4
    assert source.confirmed_revision([A, B]) == 0
    source.record_applied(B, 3)
    assert source.confirmed_revision([A, B]) == 3


def test_new_leader_sends_deletions():
    """A document deleted during an election must not survive (R8)."""
    own = configurationrelay.ConfigurationState()
    own.receive(messages.Snapshot(5, {"old": b"1", "kept": b"2"}))
    source = configurationrelay.ConfigurationRelay(own)
    source.replace(9, {"kept": b"2"})
    source.record_applied(A, 5)
    assert source.next_message(A, 0.0) == messages.Delta(5, 9, {"old": None})
    source.record_applied(B, 3)
    assert isinstance(source.next_message(B, 0.0), messages.Snapshot)


def test_applied_revision_is_fenced_and_never_decreases():
    """A deposed leader must not report acceptance (R8)."""

    async def scenario():
        service = keyvalue.MemoryKeyValue()
        await service.transact([], [keyvalue.Put("leader", b"x")])
        writer = configurationrelay.AppliedWriter("dc", service)
        compare = keyvalue.Compare("leader", 2)
        assert await writer.publish(9, compare, 0.0) is None
        await writer.load()
        assert await writer.publish(9, compare, 0.0) is None
        assert await writer.publish(10, compare, 0.5) is None
        other = configurationrelay.AppliedWriter("dc", service)
        await other.load()
        await other.publish(8, compare, 1.0)
        stale = keyvalue.Compare("leader", 1)
        assert await other.publish(11, stale, 2.0) is not None
        stored = await service.range("/carobsail/dc/dc/applied")
        assert stored.values[0].value == b'{"revision":9}'

    run_virtual(scenario())
