"""Tests of the targets that an entry instance owns (R1, R2, R6)."""

import asyncio

import fakes
import pytest

from carobsail import (
    dispatcher,
    engines,
    grants,
    inventory,
    messages,
    ownedtargets,
)

pytestmark = pytest.mark.looptime


class FakeOwnedEngine(ownedtargets.OwnedEngine):
    """Counts the calls of `poll` and keeps the last plan."""

    def __init__(self):
        self.polls = 0
        self.plan = None
        self.ended = False

    def models(self):
        return ["draft"]

    def progress(self):
        return messages.TargetProgress("engine-1", ["draft"], [])

    def set_plan(self, plan):
        self.plan = plan

    async def poll(self):
        self.polls += 1
        return engines.EngineReport("engine-1", 1, 0, {}, {}, {}, 0, 0)

    def end_ownership(self):
        self.ended = True


def grant(targets, epoch=1):
    """Returns a grant of targets, in response to heartbeat 1."""
    return messages.Grant(epoch, 3.0, targets, {}, True, 1.0, 1)


def build():
    """Builds `OwnedTargets` for one listed engine.

    Returns:
      The owned targets, the holder of grants, the dispatcher and the list of
      owned engines that were created.
    """
    holder = grants.GrantHolder()
    holder.record_heartbeat_sent(1, 0.0)
    created = []

    def create(target, runner):
        created.append(FakeOwnedEngine())
        return created[-1]

    running = dispatcher.Dispatcher()
    owned = ownedtargets.OwnedTargets(
        running,
        holder,
        lambda target: fakes.build_runner(fakes.FakeTarget(), target),
        create,
    )
    owned.set_targets([fakes.build_target()])
    return owned, holder, running, created


async def test_target_granted_again_is_served_again():
    """A target granted again while a request runs must be served (R2).

    Such a target had no models any more.
    """
    owned, holder, running, created = build()
    holder.receive(grant(["engine-1"]))
    owned.apply_grant()
    slow = fakes.FakeStream([5.0, *fakes.EVENTS])
    running.runners["engine-1"]._client.script.append(slow)
    running.dispatch(fakes.build_dispatch(), fakes.MessageCollector())
    await asyncio.sleep(1.0)
    holder.receive(grant([], epoch=2))
    owned.apply_grant()
    assert owned.models_of("engine-1") == []
    assert created[0].ended
    holder.receive(grant(["engine-1"], epoch=3))
    owned.apply_grant()
    assert owned.models_of("engine-1") == ["draft"]
    assert running.runners["engine-1"].owned
    await running.drain()
    owned.stop_orders()


async def test_plan_of_another_epoch_is_ignored():
    """The plan of a deposed leader must not lead to orders (R1)."""
    owned, holder, _, created = build()
    holder.receive(grant(["engine-1"], epoch=2))
    owned.apply_grant()
    old = messages.TargetPlan("engine-1", ["old"], "mixed")
    owned.apply_plan(messages.Plan(1, [old]))
    assert created[0].plan is None
    new = messages.TargetPlan("engine-1", ["new"], "mixed")
    owned.apply_plan(messages.Plan(2, [new]))
    assert created[0].plan == new
    owned.stop_orders()


async def test_leaving_target_is_seen_by_its_runner():
    """The runner must see a target's state in a new inventory (R6)."""
    owned, holder, running, _ = build()
    holder.receive(grant(["engine-1"]))
    owned.apply_grant()
    owned.set_targets([fakes.build_target(state=inventory.State.LEAVING)])
    assert not running.runners["engine-1"].serving
    owned.stop_orders()


async def test_no_order_is_sent_after_the_stop():
    """A stopped owner must leave its engines to the next owner (R7, R1)."""
    owned, holder, _, created = build()
    holder.receive(grant(["engine-1"]))
    owned.apply_grant()
    await asyncio.sleep(2.5)
    owned.stop_orders()
    polls = created[0].polls
    await asyncio.sleep(5.0)
    assert created[0].polls == polls > 0
    assert created[0].ended
