"""Guards how soon a configuration is in force on a whole fleet (R8)."""

import asyncio

import pytest
from builders_mirrors import Fleet

pytestmark = pytest.mark.memory_network

# Time within which a configuration must be in force on each instance.
APPLY_S = 4.0
# The same for smaller deployments.
APPLY_SMALL_FLEET_S = 2.5
# Bytes of a configuration with 305 models, and of one with 1,400 more routes.
SMALL, LARGE = 130_000, 410_000
# Time within which service must be back after all instances were lost.
RECOVER_S = 15.0


async def running_fleet(near=6, far=33, far_data_centres=3):
    """Returns a fleet in two regions whose instances follow the relay."""
    fleet = Fleet(near, far, far_data_centres)
    await fleet.change(1, SMALL)
    await fleet.start()
    await asyncio.sleep(5.0)
    return fleet


@pytest.mark.parametrize("size", [SMALL, LARGE])
async def test_configuration_is_in_force_in_time_without_the_relay(size):
    """The relay loses the store while the configuration changes.

    33 instances read 550 KB each over one link and timed out; requests to
    added routes were answered 404 for 18 s (soak check `denied`).
    """
    fleet = await running_fleet()
    fleet.relay.cut_off = True
    await asyncio.sleep(0.5)
    second = await fleet.change(2, size)
    await asyncio.sleep(2.5)
    third = await fleet.change(3, size)
    await asyncio.sleep(8.0)
    await fleet.stop()
    assert not fleet.late_instances(2, second, APPLY_S)
    assert not fleet.late_instances(3, third, APPLY_S)


async def test_instances_that_start_together_read_a_large_configuration():
    """All instances restart at once after the configuration has grown.

    Each read timed out after 4 s and was repeated without end.
    """
    fleet = Fleet(near=6, far=33, far_data_centres=3)
    changed = await fleet.change(1, LARGE)
    await fleet.start()
    await asyncio.sleep(RECOVER_S)
    await fleet.stop()
    assert not fleet.late_instances(1, changed, RECOVER_S / 2)


async def test_configuration_is_in_force_in_time_without_relay_and_deputy():
    """The relay and the first deputy of each data centre freeze together."""
    fleet = await running_fleet()
    fleet.relay.frozen = fleet.relay.cut_off = True
    for instance in fleet.instances[1:]:
        if instance.name.endswith("-1") or instance.name == "near-2":
            instance.frozen = instance.cut_off = True
    await asyncio.sleep(0.5)
    second = await fleet.change(2, LARGE)
    await asyncio.sleep(8.0)
    await fleet.stop()
    assert not fleet.late_instances(2, second, APPLY_S)


async def test_configuration_is_in_force_in_time_with_the_relay():
    """Transfers of old values must not delay the new one.

    The deputies' links were saturated with the old values.
    """
    fleet = await running_fleet()
    second = await fleet.change(2, LARGE)
    await asyncio.sleep(8.0)
    await fleet.stop()
    assert not fleet.late_instances(2, second, APPLY_S)


async def test_instances_cut_off_from_the_store_follow_their_deputies():
    """An instance that the store refused kept its old configuration."""
    fleet = await running_fleet()
    for instance in fleet.instances[1:]:
        instance.cut_off = not instance.name.endswith(("-1", "near-2"))
    fleet.relay.cut_off = True
    await asyncio.sleep(3.0)
    second = await fleet.change(2, SMALL)
    await asyncio.sleep(8.0)
    for instance in fleet.instances:
        instance.cut_off = False
    await fleet.stop()
    assert not fleet.late_instances(2, second, APPLY_S)


async def test_configuration_is_in_force_in_time_past_a_silent_source():
    """The instance from which others read omitted values is frozen.

    Two calls to it timed out after 2.2 s before the store was asked.
    """
    fleet = await running_fleet()
    for instance in fleet.instances:
        instance.frozen = instance.cut_off = instance.name in (
            "far0-1",
            "far1-1",
        )
    second = await fleet.change(2, SMALL)
    await asyncio.sleep(5.0)
    await fleet.stop()
    assert not fleet.late_instances(2, second, APPLY_SMALL_FLEET_S)


async def test_configuration_is_in_force_in_time_past_first_deputies_cut_off():
    """The store refuses the first deputies while the relay works.

    The other instances waited for the deputies, then all read the store
    (soak check `config`).
    """
    fleet = await running_fleet()
    for instance in fleet.instances:
        instance.cut_off = instance.name in ("far0-1", "far1-1", "far2-1")
    second = await fleet.change(2, LARGE)
    await asyncio.sleep(8.0)
    await fleet.stop()
    assert not fleet.late_instances(2, second, APPLY_S)


@pytest.mark.parametrize("after_s", [0.0, 0.17, 0.34])
async def test_small_fleet_without_relay_and_first_deputy_is_in_time(after_s):
    """Relay and first deputy freeze just before a new version.

    Instances waited for one timeout after the other.
    """
    fleet = await running_fleet(near=4, far=3, far_data_centres=1)
    await asyncio.sleep(after_s)
    second = next(i for i in fleet.instances if i.name == "near-2")
    for instance in (fleet.relay, second):
        instance.frozen = instance.cut_off = True
    changed = await fleet.change(2, SMALL)
    await asyncio.sleep(6.0)
    await fleet.stop()
    assert not fleet.late_instances(2, changed, APPLY_SMALL_FLEET_S)


@pytest.mark.parametrize("frozen", [False, True])
async def test_version_is_in_force_past_a_relay_and_a_deputy_cut_off(frozen):
    """The relay loses the store; the first deputies lose it too, or freeze.

    The relay's status still arrived, and instances had a version only after
    3.2 s (soak check `config`).
    """
    fleet = await running_fleet(near=4, far=3, far_data_centres=1)
    for instance in fleet.instances:
        instance.cut_off = instance.name in ("near-1", "near-2", "far0-1")
        instance.frozen = frozen and instance.name in ("near-2", "far0-1")
    second = await fleet.change(2, SMALL)
    await asyncio.sleep(6.0)
    await fleet.stop()
    assert not fleet.late_instances(2, second, APPLY_SMALL_FLEET_S)
