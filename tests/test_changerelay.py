"""Guards the messages with which the coordinator relays changes."""

import pytest
from builders_mirrors import RecordingKnownPeers

from carobsail import changerelay, keyvalue, storeera

pytestmark = pytest.mark.memory_network


def relay_of(recorder):
    return changerelay.ChangeRelay("10.0.0.1", "a", 8144, recorder)


async def test_keys_of_one_revision_stay_in_one_message():
    """Half of a transaction was ignored when it came in a second message.

    The receiver regarded its revision as complete after the first one.
    """
    recorder = RecordingKnownPeers(("b-1", "10.1.0.1", "b"))
    changes = [
        keyvalue.WatchEvent(f"servers/{n}", b"x" * 400, 5 + n // 4)
        for n in range(8)
    ]
    relay_of(recorder).send(1, changes, 4, 7)
    before = 4
    received = []
    for message in recorder.messages["10.1.0.1"]:
        assert message.before == before and message.after > before
        received += [c for c in message.changes if c.revision > before]
        before = message.after
    assert [c.key for c in received] == [c.key for c in changes]


async def test_each_data_centre_has_two_deputies():
    """Without deputies each instance reads the store when the relay fails."""
    recorder = RecordingKnownPeers(
        ("a-2", "10.0.0.2", "a"),
        ("b-1", "10.1.0.1", "b"),
        ("b-2", "10.1.0.2", "b"),
        ("b-3", "10.1.0.3", "b"),
    )
    relay = relay_of(recorder)
    relay.send(1, [], 4, 5)
    received = {
        address: (m.deputies, m.is_deputy)
        for address, (m,) in recorder.messages.items()
    }
    assert received == {
        "10.0.0.2": ([], True),
        "10.1.0.1": (["10.1.0.2:8144"], True),
        "10.1.0.2": (["10.1.0.1:8144"], True),
        "10.1.0.3": (["10.1.0.1:8144", "10.1.0.2:8144"], False),
    }
    assert relay.own_deputies() == ["10.0.0.2:8144", "10.1.0.1:8144"]


async def test_a_new_era_is_not_sent_as_changes():
    """The whole store crossed the relay's link once for each instance."""
    recorder = RecordingKnownPeers(("b-1", "10.1.0.1", "b"))
    relay = relay_of(recorder)
    first = storeera.combine(1, 5)
    changes = [keyvalue.WatchEvent("op/config", b"{}", first)]
    assert not relay.send(1, changes, 9, first, complete=False)
    assert not recorder.messages
    assert relay.send(1, changes, first - 1, first)
    assert relay.send(1, changes, 0, first, complete=False)
    assert len(recorder.messages["10.1.0.1"]) == 2
