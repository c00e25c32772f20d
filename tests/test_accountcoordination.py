"""Tests the messages on limits between instances connected in memory."""

import asyncio

import pytest
from builders_accounts import KEY, account, keyed_table
from builders_serving import stream_route
from test_coordination import Group

from carobsail import (
    accountcoordination,
    accountlimits,
    errors,
    headercodec,
    keyvalue,
)

pytestmark = pytest.mark.memory_network

LIMITED = account(limit_per_s=1000.0, burst=2000.0)
REQUEST = headercodec.RequestMetadata("q1", "host.example", 5.0)


async def limited_group(count, limit=LIMITED):
    """Returns instances with one limited account and a coordinator."""
    group = Group(count)
    table = keyed_table(stream_route(), keys={KEY: limit})
    for handler in group.handlers:
        handler.accounts.configure(table.accounts)
    await group.wait_for_holder()
    await asyncio.sleep(6.0)
    return group


async def admitted(handler, limit, count):
    """Returns how many of some requests of 200 tokens are admitted."""
    results = [
        await handler.accounts.admit(limit, REQUEST) for _ in range(count)
    ]
    return sum(not isinstance(result, errors.Failure) for result in results)


async def test_grants_reach_each_instance():
    """Each instance must be granted what its callers ask for, and no more."""
    group = await limited_group(3)
    counts = [await admitted(h, LIMITED, 4) for h in group.handlers]
    assert counts == [4, 4, 4]
    # 2,000 and a part of the tolerated excess were there, and little time
    # has passed.
    assert await admitted(group.handlers[0], LIMITED, 20) < 5
    group.stop()


async def test_grants_go_on_while_the_store_is_away():
    """The lease ends after 3 s, which must not stop the account updates."""
    group = await limited_group(3)
    for store in group.stores:
        store.unreachable = True
    await asyncio.sleep(8.0)
    assert not group.holders()
    assert [await admitted(h, LIMITED, 2) for h in group.handlers] == [2, 2, 2]
    for handler in group.handlers:
        limits = handler.accounts.limits
        assert handler.accounts.boot_clock() - limits.heard_at < 1.2
    group.stop()


async def test_next_coordinator_grants():
    """A coordinator that dies must not end the service of its accounts."""
    group = await limited_group(3)
    (holder,) = group.holders()
    assert await admitted(group.handlers[holder], LIMITED, 2) == 2
    group.kill(holder)
    await asyncio.sleep(10.0)
    others = [h for n, h in enumerate(group.handlers) if n != holder]
    assert [await admitted(h, LIMITED, 2) for h in others] == [2, 2]
    group.stop()


async def test_without_limits_no_message_names_accounts():
    """Messages of a deployment without limits must stay as they were."""
    group = await limited_group(3, account())
    for handler in group.handlers:
        assert not handler.accounts.limits.states
        assert not handler.accounts.limits.fence
    group.stop()


async def test_number_of_instances_is_kept_in_the_store():
    """After a restart of all nobody knew how many instances share a limit."""
    group = await limited_group(3)
    key = accountcoordination.INSTANCE_COUNT_KEY
    stored = await group.shared.range(key)
    assert [item.value for item in stored.values] == [b"3"]
    fresh = Group(1)
    limits = fresh.handlers[0].accounts.limits
    for value in (b"many", b"3"):
        fresh.instances[0].observe(keyvalue.WatchEvent(key, value, 2))
    state = limits.state_of(LIMITED)
    assert state.allocation == pytest.approx(accountlimits.FRESH_SHARE / 3)


async def test_account_that_the_coordinator_learns_late_gets_grants():
    """Counts of an account that it does not know are not kept for later."""
    group = await limited_group(3)
    coordinator = group.holders()[0]
    late = account("late", limit_per_s=1000.0, burst=2000.0)
    table = keyed_table(
        stream_route(), keys={KEY: LIMITED, KEY + "-late": late}
    )
    others = [h for n, h in enumerate(group.handlers) if n != coordinator]
    for handler in others:
        handler.accounts.configure(table.accounts)
    assert await admitted(others[0], late, 1) == 0
    await asyncio.sleep(3.0)
    group.handlers[coordinator].accounts.configure(table.accounts)
    await asyncio.sleep(1.0)
    counts = [await admitted(handler, late, 1) for handler in others]
    assert counts == [1, 1]
    group.stop()
