"""Guards that instances that are well know each change in time (CONFIG, DRAIN).

Everything else fails by chance: the relay, deputies, datagrams, the history.
"""

import os

import pytest
from builders_faults import DisturbedFleet
from builders_mirrors import Fleet

pytestmark = pytest.mark.memory_network

# More seeds by hand: MIRROR_SEEDS=1000-1100.
SEEDS = os.environ.get("MIRROR_SEEDS", "0-11")
FIRST, LAST = (int(number) for number in SEEDS.split("-"))


@pytest.mark.parametrize("seed", range(FIRST, LAST + 1))
async def test_small_fleet_knows_changes_in_time(seed):
    """Bounds of the smallest deployments: `contactMs` and `drainMs`."""
    run = DisturbedFleet(seed, Fleet(4, 3, 1), contact_s=4.0, bound_s=2.5)
    assert not await run.play()


@pytest.mark.parametrize("seed", range(FIRST, LAST + 1, 3))
async def test_fleet_of_two_regions_knows_changes_in_time(seed):
    """Bounds of the grown deployments."""
    run = DisturbedFleet(seed, Fleet(6, 33, 3), contact_s=5.0, bound_s=4.0)
    assert not await run.play()
