"""Guards how soon a configuration is in force on a whole fleet (R8)."""

import asyncio

import pytest
from builders_mirrors import Fleet

pytestmark = pytest.mark.memory_network

# A configuration is in force on each instance within this time (users' pages).
APPLY_S = 4.0
# The same on the smaller deployments.
APPLY_SMALL_FLEET_S = 2.5
# Size of a configuration of 305 models, and of one with 1,400 routes more.
SMALL, LARGE = 130_000, 410_000
# Service is back within this time after all instances were lost.
RECOVER_S = 15.0


async def running_fleet(near=6, far=33, far_places=3):
    """Returns instances of two regions that follow the relay."""
    fleet = Fleet(near, far, far_places)
    await fleet.change(1, SMALL)
    await fleet.start()
    await asyncio.sleep(5.0)
    return fleet


@pytest.mark.parametrize("size", [SMALL, LARGE])
async def test_configuration_is_in_force_in_time_without_the_relay(size):
    """DENIED: 33 instances read 550 KB each over one link and gave up.

    The relay had lost the store; added routes were answered 404 for 18 s.
    """
    fleet = await running_fleet()
    fleet.relay.cut = True
    await asyncio.sleep(0.5)
    second = await fleet.change(2, size)
    await asyncio.sleep(2.5)
    third = await fleet.change(3, size)
    await asyncio.sleep(8.0)
    await fleet.stop()
    assert not fleet.late(2, second, APPLY_S)
    assert not fleet.late(3, third, APPLY_S)


async def test_instances_that_start_together_read_a_large_configuration():
    """Each gave up its answer after 4 s and began again, without an end.

    All instances lose power at once after the configuration has grown.
    """
    fleet = Fleet(near=6, far=33, far_places=3)
    changed = await fleet.change(1, LARGE)
    await fleet.start()
    await asyncio.sleep(RECOVER_S)
    await fleet.stop()
    assert not fleet.late(1, changed, RECOVER_S / 2)


async def test_configuration_is_in_force_in_time_without_relay_and_deputy():
    """The first deputy of each data centre is frozen with the relay."""
    fleet = await running_fleet()
    fleet.relay.down = fleet.relay.cut = True
    for instance in fleet.instances[1:]:
        if instance.name.endswith("-1") or instance.name == "near-2":
            instance.down = instance.cut = True
    await asyncio.sleep(0.5)
    second = await fleet.change(2, LARGE)
    await asyncio.sleep(8.0)
    await fleet.stop()
    assert not fleet.late(2, second, APPLY_S)


async def test_configuration_is_in_force_in_time_with_the_relay():
    """The deputies' old values filled their links while the new one came."""
    fleet = await running_fleet()
    second = await fleet.change(2, LARGE)
    await asyncio.sleep(8.0)
    await fleet.stop()
    assert not fleet.late(2, second, APPLY_S)


async def test_instances_cut_off_from_the_store_follow_their_deputies():
    """An instance that the store turned away kept its old configuration."""
    fleet = await running_fleet()
    for instance in fleet.instances[1:]:
        instance.cut = not instance.name.endswith(("-1", "near-2"))
    fleet.relay.cut = True
    await asyncio.sleep(3.0)
    second = await fleet.change(2, SMALL)
    await asyncio.sleep(8.0)
    for instance in fleet.instances:
        instance.cut = False
    await fleet.stop()
    assert not fleet.late(2, second, APPLY_S)


async def test_configuration_is_in_force_in_time_past_a_silent_source():
    """Two calls of a paused source took 2.2 s before the store was asked."""
    fleet = await running_fleet()
    for instance in fleet.instances:
        instance.down = instance.cut = instance.name in ("far0-1", "far1-1")
    second = await fleet.change(2, SMALL)
    await asyncio.sleep(5.0)
    await fleet.stop()
    assert not fleet.late(2, second, APPLY_SMALL_FLEET_S)


async def test_configuration_is_in_force_in_time_past_first_deputies_cut_off():
    """CONFIG on trouble-1: others waited for them, then all read the store.

    The relay is well; the store turns the first deputies away.
    """
    fleet = await running_fleet()
    for instance in fleet.instances:
        instance.cut = instance.name in ("far0-1", "far1-1", "far2-1")
    second = await fleet.change(2, LARGE)
    await asyncio.sleep(8.0)
    await fleet.stop()
    assert not fleet.late(2, second, APPLY_S)


@pytest.mark.parametrize("after_s", [0.0, 0.17, 0.34])
async def test_small_fleet_without_relay_and_first_deputy_is_in_time(after_s):
    """Both freeze just before a version; each silence was waited for."""
    fleet = await running_fleet(near=4, far=3, far_places=1)
    await asyncio.sleep(after_s)
    second = next(i for i in fleet.instances if i.name == "near-2")
    for instance in (fleet.relay, second):
        instance.down = instance.cut = True
    changed = await fleet.change(2, SMALL)
    await asyncio.sleep(6.0)
    await fleet.stop()
    assert not fleet.late(2, changed, APPLY_SMALL_FLEET_S)


@pytest.mark.parametrize("frozen", [False, True])
async def test_version_is_in_force_past_a_relay_and_a_deputy_cut_off(frozen):
    """CONFIG: 3.2 s after a version; the relay's boards still came.

    The relay loses the store, the first deputy as well, or it freezes.
    """
    fleet = await running_fleet(near=4, far=3, far_places=1)
    for instance in fleet.instances:
        instance.cut = instance.name in ("near-1", "near-2", "far0-1")
        instance.down = frozen and instance.name in ("near-2", "far0-1")
    second = await fleet.change(2, SMALL)
    await asyncio.sleep(6.0)
    await fleet.stop()
    assert not fleet.late(2, second, APPLY_SMALL_FLEET_S)
