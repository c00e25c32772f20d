"""Tests of the assignment of targets and of the expiry of grants."""

import math
import random

from builders_coordination import run_virtual
from hypothesis import given, settings
from hypothesis import strategies as st

from carobsail import keyvalue, messages, ownership

TARGETS = [f"t{n}" for n in range(40)]
FIVE = [f"i{n}" for n in range(5)]


def heartbeat(seq=1, epoch=0, version=0):
    return messages.Heartbeat(
        seq, True, False, 0, epoch=epoch, grant_version=version
    )


def granted_table(now=0.0):
    table = ownership.OwnershipTable()
    table.take_over(0, {}, now)
    table.apply_written(1, table.compute_assignment(TARGETS, FIVE, now))
    for name in FIVE:
        table.respond_to_heartbeat(name, heartbeat(), now, True, 1.0)
    return table


@settings(derandomize=True, max_examples=60)
@given(st.sets(st.integers(0, 11), min_size=1), st.sets(st.integers(0, 11)))
def test_only_targets_of_lost_instances_move(first, lost):
    """Targets may move only from lost owners, within the bound (R1, R10).

    An unnecessary move interrupts orders; too many targets overload an owner.
    """
    before_names = [f"i{n}" for n in sorted(first)]
    after_names = [n for n in before_names if int(n[1:]) not in lost]
    before = ownership.assign_owners(TARGETS, before_names, {})
    after = ownership.assign_owners(TARGETS, after_names, before)
    for target, owner in after.items():
        if before[target] in after_names:
            assert owner == before[target]
    if after_names:
        assert set(after) == set(TARGETS)
        bound = math.ceil(1.25 * len(TARGETS) / len(after_names))
        owners = list(after.values())
        assert all(owners.count(name) <= bound for name in after_names)


def test_dead_owners_targets_wait_for_its_grant():
    """An unreachable owner may send orders until its grant expires (R1)."""
    table = granted_table()
    dead, alive = FIVE[0], FIVE[1:]
    owned = {t for t, o in table.owners.items() if o == dead}
    table.respond_to_heartbeat(dead, heartbeat(2, 1, 0), 1.0, True, 1.0)
    for now in (2.9, 4.9):
        assert table.compute_assignment(TARGETS, alive, now) is None
    moved = table.compute_assignment(TARGETS, alive, 5.0)
    assert {t for t, o in table.owners.items() if moved[t] != o} == owned


def test_new_leader_waits_for_expiry_of_earlier_grants():
    """A new leader does not know when the old one last sent grants (R1)."""
    table = ownership.OwnershipTable()
    table.take_over(7, dict.fromkeys(TARGETS, "gone"), 100.0)
    assert table.compute_assignment(TARGETS, FIVE, 103.9) is None
    assert table.compute_assignment(TARGETS, FIVE, 104.0) is not None


def test_leaving_owner_hands_back_early():
    """A planned stop must not leave targets unowned for 4 s (R7)."""
    table = granted_table()
    leaving, rest = FIVE[0], FIVE[1:]
    assert table.compute_assignment(TARGETS, rest, 0.1) is None
    table.record_hand_back(leaving, 1)
    moved = table.compute_assignment(TARGETS, rest, 0.1)
    assert leaving not in moved.values()
    assert (
        table.respond_to_heartbeat(leaving, heartbeat(3, 1, 0), 0.1, True, 1.0)
        is None
    )
    table.apply_written(2, moved)
    grant = table.respond_to_heartbeat(
        rest[0], heartbeat(2, 1, 0), 0.2, True, 1.0
    )
    assert set(grant.targets) == {t for t, o in moved.items() if o == rest[0]}


def test_restarted_only_owner_is_granted_its_targets_again():
    """A restart must not leave the only instance without targets (R7)."""
    table = ownership.OwnershipTable()
    table.apply_written(1, dict.fromkeys(TARGETS, "only"))
    table.record_hand_back("only", 1)
    assert table.compute_assignment(TARGETS, [], 0.1) is None
    again = table.compute_assignment(TARGETS, ["only"], 0.2)
    assert again == table.owners
    table.apply_written(2, again)
    assert table.compute_assignment(TARGETS, ["only"], 0.3) is None
    assert set(
        table.respond_to_heartbeat("only", heartbeat(), 0.3, True, 1.0).targets
    ) == set(TARGETS)


def test_withheld_target_is_not_granted():
    """A target that is being moved must not be in new grants (R1)."""
    table = granted_table()
    names = [*FIVE, *(f"j{n}" for n in range(20))]
    assert table.compute_assignment(TARGETS, names, 0.1) is None
    granted = [
        target
        for name in FIVE
        for target in table.respond_to_heartbeat(
            name, heartbeat(2, 1, 0), 0.1, True, 1.0
        ).targets
    ]
    moved = table.compute_assignment(TARGETS, names, 4.1)
    assert set(granted) == {t for t in TARGETS if moved[t] in FIVE}
    assert len(granted) <= 5 * math.ceil(1.25 * len(TARGETS) / len(names))


def test_substitutes_serve_without_a_new_epoch():
    """A dead owner's targets must be served during an outage (R13)."""
    table = granted_table()
    table.assign_substitutes(FIVE[1:])
    grants = [
        table.respond_to_heartbeat(n, heartbeat(2, 1, 0), 1.0, False, 1.0)
        for n in FIVE[1:]
    ]
    assert sorted(t for g in grants for t in g.targets) == sorted(TARGETS)
    assert {g.epoch for g in grants} == {1}
    holder = ownership.GrantHolder()
    holder.record_heartbeat_sent(2, 1.0)
    assert holder.receive(grants[0])
    assert holder.owns(grants[0].targets[0], 1.1)
    assert not holder.may_send_orders(1.1)


def test_grant_counts_from_own_heartbeat():
    """A delayed grant must not extend the time in which to order (R1)."""
    table = granted_table()
    name = FIVE[0]
    holder = ownership.GrantHolder()
    holder.record_heartbeat_sent(1, 10.0)
    grant = table.respond_to_heartbeat(name, heartbeat(1), 10.5, True, 1.0)
    assert holder.receive(grant)
    assert holder.may_send_orders(12.9)
    assert not holder.may_send_orders(13.0)
    assert not holder.owns(grant.targets[0], 13.0)
    assert holder.contains_target(grant.targets[0])
    unknown = table.respond_to_heartbeat(
        name, heartbeat(99, 1, 0), 20.0, True, 1.0
    )
    assert isinstance(unknown, messages.Renewal)
    assert not holder.receive(unknown)
    holder.record_heartbeat_sent(30, 20.0)
    renewal = table.respond_to_heartbeat(
        name, heartbeat(30, 1, 0), 21.0, True, 1.0
    )
    assert holder.receive(renewal)
    assert holder.may_send_orders(22.9)
    assert holder.give_up() == messages.HandBack(1)
    assert not holder.receive(renewal)
    assert not holder.valid(20.1)


def test_outdated_grant_is_ignored():
    """Grants of a deposed leader must not be accepted (R1)."""
    holder = ownership.GrantHolder()
    holder.record_heartbeat_sent(1, 0.0)
    new = messages.Grant(5, 3.0, ["a"], {"a": "i"}, True, 1.0, 1)
    old = messages.Grant(4, 3.0, ["b"], {"b": "i"}, True, 1.0, 1, 9)
    assert holder.receive(new)
    assert not holder.receive(old)
    assert not holder.owns("b", 0.1)
    assert not holder.receive(messages.Renewal(4, 9, 3.0, True, 1.0, 1))


def test_store_reads_back_lost_responses_and_fences():
    """Guards the stored map against lost responses and deposed leaders.

    A lost response must not lead to a second write of an epoch, and the write
    of a deposed leader must fail.
    """

    async def scenario():
        service = keyvalue.MemoryKeyValue()
        await service.transact([], [keyvalue.Put("leader", b"x")])
        leader = keyvalue.Compare("leader", 2)
        first, second = (
            ownership.OwnershipStore("dc", service, random.Random(seed))
            for seed in (1, 2)
        )
        assert (await first.load()).epoch == 0
        await second.load()
        service.lose_answers = 1
        assert await first.store(1, {"t": "a"}, leader) is None
        assert await first.store(2, {"t": "b"}, leader) is None
        assert await second.store(1, {"t": "c"}, leader) is not None
        assert (await second.load()).owners == {"t": "b"}
        await service.transact([], [keyvalue.Put("leader", b"y")])
        assert await second.store(3, {"t": "c"}, leader) is not None
        assert (await first.load()).epoch == 2

    run_virtual(scenario())
