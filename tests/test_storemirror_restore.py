"""Guards that instances follow a store that comes back from an older copy.

Such a store gives revisions out again. Instances kept what it had lost, and
what was written below the revision of their copy never reached them (CONFIG,
DRAIN).
"""

import asyncio
import functools
import itertools
import random

import pytest
from builders_mirrors import Fleet
from builders_restore import Loss, RestoredFleet, target

from soak import storestandin

pytestmark = pytest.mark.memory_network

LOSSES = [
    Loss(lost_s, away_s, silent, 0.4 * (number % 2))
    for number, (lost_s, away_s, silent) in enumerate(
        itertools.product((2.0, 5.0, 10.0), (0.3, 1.5, 4.0), (False, True))
    )
]
# Instances of the fleet by their role.
ROLES = ("near-1", "near-2", "near-4", "far0-1", "far0-3")


async def started(store=None) -> RestoredFleet:
    fleet = Fleet(4, 3, 1)
    if store is not None:
        fleet.store = store
    run = RestoredFleet(fleet, random.Random(1))
    await run.start()
    return run


async def write_in_lost_span(run: RestoredFleet, lost_s: float) -> None:
    """Makes changes that all instances know before they are lost."""
    await asyncio.sleep(lost_s - 1.8)
    await run.write_version()
    await run.write(target(0), b"draining")
    await run.write(target(1), None)
    await run.write("servers/new0", b"in_service")
    await asyncio.sleep(1.6)


async def write_after_return(run: RestoredFleet, lost_s: float) -> None:
    """Makes changes below the revisions before the loss, and above them."""
    await asyncio.sleep(0.5)
    await run.write_version()
    await run.write(target(2), b"draining")
    await run.write(target(3), None)
    await run.write("servers/new1", b"in_service")
    await asyncio.sleep(0.7)
    await run.write(target(4), b"draining")
    await asyncio.sleep(lost_s + 3.0)
    await run.write_version()
    await run.write(target(5), b"draining")
    await run.write(target(6), None)
    await asyncio.sleep(3.0)


@pytest.mark.parametrize(
    "loss",
    LOSSES,
    ids=lambda loss: (
        f"{loss.lost_s:g}-{loss.away_s:g}" + "-silent" * loss.silent
    ),
)
async def test_instances_know_what_is_written_after_the_return(loss):
    """Copies refused what was written below their revision, for good."""
    run = await started()
    await write_in_lost_span(run, loss.lost_s)
    await run.lose(loss)
    await write_after_return(run, loss.lost_s)
    assert not await run.end()


@pytest.mark.parametrize("gap_s", [0.4, 3.0])
async def test_instances_follow_two_losses_in_a_row(gap_s):
    """The second loss comes while instances still follow the first one."""
    run = await started()
    await write_in_lost_span(run, 5.0)
    await run.lose(Loss(5.0, 0.3))
    await asyncio.sleep(gap_s)
    await run.write_version()
    await run.write(target(7), b"draining")
    await run.lose(Loss(5.0, 1.5, silent=True))
    await write_after_return(run, 10.0)
    assert not await run.end()


async def test_lost_revisions_are_given_out_again_at_once():
    """The store has passed the copies' revision before they call it again.

    A watch from there succeeds, but leaves out what was written below it.
    """
    run = await started()
    await write_in_lost_span(run, 2.0)
    await run.lose(Loss(2.0, 0.0))
    await run.write_version()
    await run.write(target(8), b"draining")
    for number in range(60):
        await run.write(f"servers/again{number % 5}", b"%d" % number)
    await write_after_return(run, 2.0)
    assert not await run.end()


class LossWithinRead(storestandin.StoreStandin):
    """Goes back between two pages of a read.

    Attributes:
      lose: Called once, after a page in the middle of the targets' entries.
    """

    lose = None

    async def handle(self, request, responder, caller=""):
        """See base class."""
        await super().handle(request, responder, caller)
        if self.lose and "after=servers/2" in request.query:
            lose, self.lose = self.lose, None
            await lose()


async def test_loss_within_a_read_leaves_no_ghosts():
    """Pages of two eras must not be taken for one state of the store."""
    store = LossWithinRead(page_items=3)
    run = await started(store)
    await write_in_lost_span(run, 2.0)
    # On the first page of a read. The target is not there to write it again.
    await run.fleet.write("servers/00", b"in_service")
    await asyncio.sleep(1.0)
    store.lose = functools.partial(run.lose, Loss(3.0, 0.0))
    await store.forget_history()
    await asyncio.sleep(2.0)
    assert store.lose is None
    await write_after_return(run, 5.0)
    assert not await run.end()


@pytest.mark.parametrize("frozen", [False, True], ids=["cut-off", "frozen"])
@pytest.mark.parametrize("name", ROLES)
async def test_instances_follow_a_loss_that_one_does_not_see(name, frozen):
    """One instance is cut off from the store, or frozen, over the break."""
    run = await started()
    await write_in_lost_span(run, 5.0)
    instance = next(i for i in run.fleet.instances if i.name == name)
    cut = asyncio.create_task(run.disturb(instance, frozen, 5.0))
    await asyncio.sleep(0.5)
    await run.lose(Loss(5.0, 1.5))
    await write_after_return(run, 5.0)
    await cut
    assert not await run.end()
