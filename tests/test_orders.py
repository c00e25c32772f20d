"""Tests of orders that are lost, late, duplicated or reordered.

Orders are commands to an engine to load or unload a model.
"""

import asyncio
import dataclasses
import random

import async_solipsism
import msgspec
import pytest
from builders_placement import engine_report, target
from fake_engine import FakeEngine
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from carobsail import errors, keyvalue, messages, orders

SIZES = {"m1": 500, "m2": 400, "m3": 300, "m4": 600}
USED = {"m1", "m2"}  # Models that client accounts use.
WANTED = [["m1"], ["m1", "m2"], ["m2", "m4"], ["m3", "m4"], ["m1", "m3"], []]
INDEX = st.integers(0, 1)
SECONDS = st.sampled_from([0.1, 1.5, 4.0, 10.0, 40.0])
ORDER_FAULTS = st.sampled_from(["", "lost", "late", "doubled", "unanswered"])


class EngineOwner:
    """One owner of one engine, with its grant and its orders."""

    def __init__(self, cluster, engine, epoch):
        self.cluster, self.engine, self.epoch = cluster, engine, epoch
        self.granted = True
        preconditions = orders.Preconditions(
            may_send_orders=lambda: self.granted,
            may_unload=self.may_unload,
            is_drained=lambda model: True,
            acquire_permit=lambda model: lambda: None,
            size_mb=SIZES.get,
        )
        self.orders = orders.EngineReconciler(
            engine.target,
            engine,
            cluster.store,
            preconditions,
            random.Random(1),
        )
        self.wanted = []

    def may_unload(self, model):
        now = asyncio.get_running_loop().time()
        return model not in USED or any(
            o is not self
            and model in o.wanted
            and o.orders.ledger.is_safe(model, now)
            for o in self.cluster.owners
        )

    def set_plan(self, models):
        self.wanted = models
        plan = messages.TargetPlan(self.engine.target.name, models, "mixed")
        self.orders.set_plan(plan)

    async def work(self):
        granted_at = asyncio.get_running_loop().time()
        for _ in range(1000):
            if await self.orders.take_over(self.epoch, granted_at) is None:
                await self.orders.run()
                return
            await asyncio.sleep(1.0)


class Cluster:
    """Two engines, one that checks fencing tokens and one that does not."""

    def __init__(self):
        self.store = keyvalue.MemoryKeyValue()
        self.engines, self.tasks = [], []
        for name, checks in (("e1", True), ("e2", False)):
            FakeEngine(
                target(name, checks_fencing=checks), SIZES, USED, self.engines
            )
        self.owners = [EngineOwner(self, e, 1) for e in self.engines]

    def start(self, owner):
        self.tasks.append(asyncio.ensure_future(owner.work()))

    def replace(self, index):
        """Ends the grant of an engine's owner and starts a new owner."""
        old = self.owners[index]
        old.granted = False
        new = EngineOwner(self, old.engine, old.epoch + 1)
        self.owners[index] = new
        new.set_plan(old.wanted)
        self.start(new)


class OrdersMachine(RuleBasedStateMachine):
    """Memory bounds and last copies must survive any delivery (R1, R2)."""

    def __init__(self):
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        self.cluster = self.run(self.build())

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def build(self):
        cluster = Cluster()
        for owner in cluster.owners:
            owner.set_plan(["m1"])
            cluster.start(owner)
        return cluster

    @rule(index=INDEX, models=st.sampled_from(WANTED), seconds=SECONDS)
    def set_plan(self, index, models, seconds):
        self.cluster.owners[index].set_plan(models)
        self.run(asyncio.sleep(seconds))

    @rule(
        index=INDEX,
        order_faults=st.lists(
            st.tuples(ORDER_FAULTS, st.sampled_from([1.0, 6.0, 15.0, 29.0])),
            min_size=1,
            max_size=4,
        ),
        models=st.sampled_from(WANTED),
        seconds=SECONDS,
    )
    def set_order_faults(self, index, order_faults, models, seconds):
        self.cluster.engines[index].order_faults = order_faults
        self.set_plan(index, models, seconds)

    @rule(index=INDEX, seconds=SECONDS, models=st.sampled_from(WANTED))
    def replace_owner(self, index, seconds, models):
        async def replace():
            self.cluster.replace(index)

        self.run(replace())
        self.set_plan(index, models, seconds)

    @rule(answers=st.integers(1, 3), seconds=SECONDS)
    def lose_answers(self, answers, seconds):
        self.cluster.store.lose_answers = answers
        self.run(asyncio.sleep(seconds))

    @rule(seconds=SECONDS)
    def break_store(self, seconds):
        self.cluster.store.available = False
        self.run(asyncio.sleep(seconds))
        self.cluster.store.available = True

    @invariant()
    def no_engine_reports_violations(self):
        for engine in self.cluster.engines:
            assert not engine.violations
        for task in self.cluster.tasks:
            assert not task.done() or task.exception() is None
        for owner in self.cluster.owners:
            assert owner.orders.ledger.free_mb >= 0

    def teardown(self):
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(asyncio.sleep(0))
        self.loop.close()


OrdersMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)
TestOrders = OrdersMachine.TestCase


def run(coroutine):
    """Runs a coroutine on a loop with virtual time."""
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


def test_desired_state_is_reached():
    """The desired state must be reached in spite of lost messages (R2).

    A ledger that holds memory for too long would never allow a move.
    """

    async def scenario():
        cluster = Cluster()
        cluster.store.lose_answers = 2
        cluster.engines[0].order_faults = [("lost", 0.0), ("unanswered", 0.0)]
        for owner, models in zip(cluster.owners, ("m1", "m1"), strict=True):
            owner.set_plan([models])
            cluster.start(owner)
        await asyncio.sleep(120.0)
        cluster.owners[0].set_plan(["m4", "m3"])
        await asyncio.sleep(120.0)
        assert set(cluster.engines[0].models) == {"m3", "m4"}
        assert set(cluster.engines[1].models) == {"m1"}
        stored = await cluster.store.range(orders.intent_key("a", "e1"))
        assert b"m1" not in stored.values[0].value

    run(scenario())


def test_fenced_response_stops_the_owner():
    """An owner must send no order after a response that fences it (R1)."""

    async def scenario():
        cluster = Cluster()
        owner = cluster.owners[0]
        cluster.engines[0].fence = 9
        owner.set_plan(["m1"])
        await owner.orders.take_over(1, 0.0)
        reason = await owner.orders.run()
        assert reason.reason is errors.Reason.FENCED
        assert await owner.orders.reconcile_once() is reason

    run(scenario())


def test_intent_is_recorded_before_the_order():
    """A new owner must know of every order that may be in flight (R1)."""

    async def scenario():
        cluster = Cluster()
        owner = cluster.owners[0]
        owner.set_plan(["m1"])
        await owner.orders.take_over(1, 0.0)
        cluster.store.available = False
        assert isinstance(await owner.orders.reconcile_once(), errors.Failure)
        assert cluster.engines[0].sent_fence == 0
        cluster.store.available = True
        cluster.engines[0].order_faults = [("late", 20.0)]
        await owner.orders.reconcile_once()
        assert owner.orders.ledger.free_mb == 500
        cluster.replace(0)
        await asyncio.sleep(1.0)
        assert cluster.owners[0].orders.ledger.intents() == {"m1": 500}

    run(scenario())


def reconcile_after(change, models=("m1",)):
    """Calls `change(cluster, owner)` for the owner of e1, then reconciles once.

    Returns:
      The cluster, the owner and the result.
    """

    async def scenario():
        cluster = Cluster()
        owner = cluster.owners[0]
        owner.set_plan(list(models))
        await owner.orders.take_over(1, 0.0)
        change(cluster, owner)
        result = await owner.orders.reconcile_once()
        return cluster, owner, result

    return run(scenario())


def test_grant_is_checked_after_the_intent():
    """A grant may expire while the intent is being written (R1, R13)."""

    def change(cluster, owner):
        answers = iter([True, False])
        preconditions = dataclasses.replace(
            owner.orders._preconditions, may_send_orders=lambda: next(answers)
        )
        owner.orders._preconditions = preconditions

    cluster, owner, result = reconcile_after(change)
    assert result is False
    assert cluster.engines[0].sent_fence == 0
    assert owner.orders.ledger.free_mb == 1000


def test_load_without_permit_is_not_sent():
    """A load beyond the share would slow down all other loads (R12)."""

    def change(cluster, owner):
        owner.orders._preconditions = dataclasses.replace(
            owner.orders._preconditions, acquire_permit=lambda model: None
        )

    cluster, _, result = reconcile_after(change)
    assert result is False
    assert cluster.engines[0].sent_fence == 0


@pytest.mark.parametrize("answers", [[False], [True, False]])
def test_model_in_use_is_drained_before_its_unload(answers):
    """An unload would cut the requests that still run (R7)."""

    def change(cluster, owner):
        cluster.engines[0].models["m3"] = 300
        owner.orders.ledger.reserve("m3", 300, 0.0)
        owner.orders.ledger.load_sent("m3", 0.0)
        owner.orders.ledger.confirm_load("m3", 0.0)
        owner.orders._preconditions = dataclasses.replace(
            owner.orders._preconditions, is_drained=lambda model: answers.pop(0)
        )

    answers = list(answers)
    cluster, owner, result = reconcile_after(change, models=())
    assert result is False
    assert owner.orders.leaving == {"m3"}
    assert "m3" in cluster.engines[0].models


def test_intent_of_a_later_owner_stops_this_one():
    """An old owner must not overwrite the intent of a later one (R1).

    The orders of the later owner would no longer be recorded.
    """

    def change(cluster, owner):
        key = orders.intent_key("a", "e1")
        value = msgspec.json.encode(orders.Intent(2, {"m2": 400}))
        cluster.store._write([keyvalue.Put(key, value)])

    cluster, owner, result = reconcile_after(change)
    assert result.reason is errors.Reason.FENCED
    assert owner.orders.stopped is result
    assert cluster.engines[0].sent_fence == 0


def test_permit_of_a_late_load_is_released_once():
    """The permit of a load whose outcome was unknown must be released once.

    A permit that is never released reduces the share of the weight store (R12).
    """
    released = []

    def change(cluster, owner):
        cluster.engines[0].order_faults = [("lost", 0.0)]
        owner.orders._preconditions = dataclasses.replace(
            owner.orders._preconditions,
            acquire_permit=lambda model: lambda: released.append(1),
        )

    _, owner, _ = reconcile_after(change)
    assert not released
    owner.orders.apply_report(engine_report(), 60.0)
    owner.orders.release_permits()
    assert released == [1]
