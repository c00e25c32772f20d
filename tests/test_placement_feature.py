"""Scenarios of engine orders and placement on virtual time.

Requirements R1, R2, R13 and R21.
"""

import asyncio

import async_solipsism
import pytest
from builders_placement import engine_inventory, target
from fake_engine import FakeEngine
from pytest_bdd import given, parsers, scenarios, then, when
from test_orders import SIZES, Cluster, EngineOwner

from carobsail import demand, errors, inventory, placement, planninground

scenarios("placement.feature")

ALL_SIZES = SIZES | {"m1@2": 500}


class World:
    """A cluster on its own event loop."""

    def __init__(self):
        self.loop = async_solipsism.EventLoop()
        self.cluster = None
        self.result = None

    def owner(self, name):
        return self.cluster.owners[int(name[1:]) - 1]

    def engine(self, name):
        return self.cluster.engines[int(name[1:]) - 1]

    def advance(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))


@pytest.fixture
def world():
    result = World()
    yield result
    for task in asyncio.all_tasks(result.loop):
        task.cancel()
    result.advance(0)
    result.loop.close()


@given(parsers.re(r"engines e1 and e2 that (?P<verb>check|ignore) .*"))
def _engines(world, verb):
    async def build():
        cluster = Cluster()
        cluster.engines.clear()
        for name in ("e1", "e2"):
            listed = target(name, checks_fencing=verb == "check")
            models_in_use = {"m1", "m2"}
            FakeEngine(listed, ALL_SIZES, models_in_use, cluster.engines)
        cluster.owners = [EngineOwner(cluster, e, 1) for e in cluster.engines]
        for owner in cluster.owners:
            cluster.start(owner)
        return cluster

    world.cluster = world.loop.run_until_complete(build())


@given(parsers.re(r"(?P<name>e\d) holds (?P<models>.+)"))
def _loaded(world, name, models):
    for model in models.split():
        world.engine(name).models[model] = ALL_SIZES[model]
    world.owner(name).set_plan(models.split())
    world.advance(60.0)


@when(parsers.re(r"the next order at (?P<name>e\d) is (?P<outcome>\w+)"))
def _next_outcome(world, name, outcome):
    world.engine(name).order_faults = [(outcome, 25.0)]


@when(parsers.re(r"(?P<name>e\d) is wanted to hold (?P<models>.+)"))
def _want(world, name, models):
    world.owner(name).set_plan(models.split())


@when(parsers.parse("{seconds:d} seconds pass"))
def _pass(world, seconds):
    world.advance(seconds)


@when(parsers.parse("the owner of {name} loses its grant"))
def _lose_grant(world, name):
    world.owner(name).granted = False


@when(parsers.parse("{name} gets a new owner"))
def _new_owner(world, name):
    async def replace():
        world.cluster.replace(int(name[1:]) - 1)

    world.loop.run_until_complete(replace())


@when(parsers.parse("{name} crashes"))
def _crash(world, name):
    world.engine(name).die()


@when(parsers.parse("placement plans for {models}"))
def _plan(world, models):
    alive = [e for e in world.cluster.engines if e.alive]
    platform_inventory = engine_inventory([e.target for e in alive], SIZES)
    platform_inventory.models.append(inventory.Model("m1", "p", 500, "2"))
    world.result = placement.plan(
        platform_inventory,
        {e.target.name: dict(e.models) for e in alive},
        {m: demand.Demand(1.0, 20.0) for m in models.split()},
        models.split(),
        planninground.Weights(),
        None,
        world.loop.time(),
    )
    if not isinstance(world.result, errors.Failure):
        for plan in world.result.plans:
            world.owner(plan.target).set_plan(plan.models)


@then(parsers.re(r"(?P<name>e\d) holds (?P<models>.+)"))
def _holds(world, name, models):
    assert sorted(world.engine(name).models) == models.split()


@then(parsers.parse("the plan is refused because {detail}"))
def _refused(world, detail):
    assert world.result.reason is errors.Reason.NO_MEMORY
    assert detail in world.result.detail


@then("no invariant was violated")
def _no_violation(world):
    assert not [v for e in world.cluster.engines for v in e.violations]
