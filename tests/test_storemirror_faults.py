"""Guards that undisturbed instances learn of each change in time.

Meanwhile instances lose the store or freeze, datagrams are lost and the store
drops its history or comes back from an older copy, at random (soak checks
`config` and `drain`).
"""

import os

import pytest
from builders_faults import DisturbedFleet
from builders_mirrors import Fleet
from builders_restore import LosingFleet

pytestmark = pytest.mark.memory_network

# Set for instance MIRROR_SEEDS=1000-1100 to run other seeds.
SEEDS = os.environ.get("MIRROR_SEEDS", "0-11")
FIRST, LAST = (int(number) for number in SEEDS.split("-"))


@pytest.mark.parametrize("seed", range(FIRST, LAST + 1))
async def test_small_fleet_knows_changes_in_time(seed):
    """Bounds of the smallest deployments: `contactMs` and `drainMs`."""
    fleet = DisturbedFleet(seed, Fleet(4, 3, 1), recovery_s=4.0, bound_s=2.5)
    assert not await fleet.run()


@pytest.mark.parametrize("seed", range(FIRST, LAST + 1, 3))
async def test_fleet_of_two_regions_knows_changes_in_time(seed):
    """Bounds of larger deployments in two regions."""
    fleet = DisturbedFleet(seed, Fleet(6, 33, 3), recovery_s=5.0, bound_s=4.0)
    assert not await fleet.run()


@pytest.mark.parametrize("seed", range(FIRST, LAST + 1))
async def test_small_fleet_follows_a_store_that_goes_back(seed):
    """What the store lost must not hide what is written afterwards."""
    fleet = LosingFleet(seed, Fleet(4, 3, 1), recovery_s=4.0, bound_s=2.5)
    assert not await fleet.run()


@pytest.mark.parametrize("seed", range(FIRST, LAST + 1, 3))
async def test_fleet_of_two_regions_follows_a_store_that_goes_back(seed):
    """The same with the bounds of larger deployments."""
    fleet = LosingFleet(seed, Fleet(6, 33, 3), recovery_s=5.0, bound_s=4.0)
    assert not await fleet.run()
