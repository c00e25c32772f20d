"""Guards what the relay tells the other instances."""

import pytest
from builders_mirrors import Sent

from carobsail import changerelay, keyvalue

pytestmark = pytest.mark.memory_network


def relay_of(sent):
    return changerelay.ChangeRelay("10.0.0.1", "a", 8144, sent)


async def test_keys_of_one_revision_stay_in_one_message():
    """Half of a transaction was ignored: its revision was known already."""
    sent = Sent(("b-1", "10.1.0.1", "b"))
    changes = [
        keyvalue.WatchEvent(f"servers/{n}", b"x" * 400, 5 + n // 4)
        for n in range(8)
    ]
    relay_of(sent).send(1, changes, 4, 7)
    before = 4
    told = []
    for message in sent.messages["10.1.0.1"]:
        assert message.before == before and message.after > before
        told += [c for c in message.changes if c.revision > before]
        before = message.after
    assert [c.key for c in told] == [c.key for c in changes]


async def test_each_data_centre_has_two_deputies():
    """Without them each instance asks the store when the relay is lost."""
    sent = Sent(
        ("a-2", "10.0.0.2", "a"),
        ("b-1", "10.1.0.1", "b"),
        ("b-2", "10.1.0.2", "b"),
        ("b-3", "10.1.0.3", "b"),
    )
    relay = relay_of(sent)
    relay.send(1, [], 4, 5)
    told = {
        address: (m.deputies, m.leads)
        for address, (m,) in sent.messages.items()
    }
    assert told == {
        "10.0.0.2": ([], True),
        "10.1.0.1": (["10.1.0.2:8144"], True),
        "10.1.0.2": (["10.1.0.1:8144"], True),
        "10.1.0.3": (["10.1.0.1:8144", "10.1.0.2:8144"], False),
    }
    assert relay.deputies() == ["10.0.0.2:8144", "10.1.0.1:8144"]
