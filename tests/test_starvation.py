"""Tests that rarely used models get their turn when memory is short."""

import asyncio
import dataclasses
import math

import async_solipsism
import pytest
from builders_serving import engine_pool, engine_state, model
from builders_starvation import Outcome, Shortage, replay

from carobsail import starvation
from carobsail.copyplan import plan
from carobsail.modelvalue import ModelDemand

NOW = 100.0
TIGHT = Shortage()
# In proportion to a deployment of the users in its heaviest hours.
MEASURED = Shortage(
    engines=24, busy=16, rare=43, busy_per_s=150.0, rare_per_s=0.5
)


def run_replay(shortage: Shortage, seed: int) -> Outcome:
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(replay(shortage, seed))


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("shortage", [TIGHT, MEASURED], ids=["tight", "usual"])
def test_rare_models_are_not_starved_of_loads(shortage, seed):
    """Models requested throughout were never loaded; others were repeatedly.

    The users accept that one model and a tenth of all are never served.
    """
    outcome = run_replay(shortage, seed)
    never = outcome.never_served()
    assert len(never) <= 1 + 0.1 * (shortage.rare + shortage.busy), (
        f"never served {never}, loads {outcome.loads.most_common(8)}"
    )


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("shortage", [TIGHT, MEASURED], ids=["tight", "usual"])
def test_rare_models_are_not_served_more_often_than_busy_ones(shortage, seed):
    """Aging must not displace busy models, whose callers are more urgent.

    The users accept that they are served less often by 5 in 100.
    """
    outcome = run_replay(shortage, seed)
    rare_requests = shortage.rare * shortage.rare_per_s * shortage.run_s
    rare_share = sum(outcome.served.values()) / rare_requests
    busy_share = outcome.busy_within_capacity / outcome.busy_requests
    assert busy_share >= rare_share - 0.05


def test_wait_counts_until_a_model_had_its_turn():
    """A model was unloaded 1.4 s after its load; its callers had been refused.

    They had left during the load, so that nothing spoke for its copy.
    """
    waits = starvation.UnservedModels(10.0)

    def waited_s(now, *usable, requested_at=0.0):
        waits.update("llm", {"m1": requested_at}, usable, now)
        return waits.unserved_s("llm", now).get("m1", 0.0)

    assert waited_s(2.0) == 2.0
    assert waited_s(8.0, "m1") == 8.0
    assert waited_s(13.0, "m1") == 4.0
    # Without an engine again, what is left of the wait goes on.
    assert waited_s(14.0, requested_at=13.0) == pytest.approx(3.2)
    assert waited_s(15.0, requested_at=13.0) == pytest.approx(4.2)
    assert waited_s(16.0, "m1", requested_at=13.0) == pytest.approx(5.2)
    assert waited_s(26.0, "m1", requested_at=13.0) == 0.0
    # Nobody asks any more.
    assert waited_s(27.0, requested_at=27.0) == 0.0
    assert waited_s(43.0, requested_at=27.0) == 0.0


def demand(per_s, **changes):
    base = ModelDemand(per_s, NOW, 0, 10.0)
    return dataclasses.replace(base, **changes)


@pytest.mark.parametrize(("unserved_s", "loads"), [(0.0, []), (20.0, ["m3"])])
def test_long_wait_replaces_a_model_in_use(unserved_s, loads):
    """The models with the least demand lost against others in every round."""
    engines = [engine_state("e1", "m0", "m1", "m2")]
    wanted = {f"m{n}": demand(0.6) for n in range(3)}
    wanted["m3"] = demand(0.4, waiting_requests=1, unserved_s=unserved_s)
    pool = engine_pool(*(model(f"m{n}") for n in range(4)))
    assert [m.load for m in plan(pool, engines, wanted, 5, NOW)] == loads


def test_model_that_had_no_turn_yet_is_not_replaced():
    """Its load was in vain if it is unloaded before its callers come again."""
    wanted = {f"m{n}": demand(0.6) for n in range(3)}
    wanted["m2"] = demand(0.1, unserved_s=30.0)
    wanted["m3"] = demand(0.4, waiting_requests=3)
    pool = engine_pool(*(model(f"m{n}") for n in range(4)))
    engines = [engine_state("e1", "m0", "m1", "m2")]
    moves = plan(pool, engines, wanted, 5, NOW)
    assert all("m2" not in m.unload for m in moves)


@pytest.mark.parametrize(
    ("free_in_s", "loads"), [(2.0, []), (8.0, ["m9"]), (math.inf, ["m9"])]
)
def test_busy_engine_with_the_weights_is_awaited(free_in_s, loads):
    """A load of 9 s occupied a second engine; a reload would take 2.4 s.

    An engine of which nobody knows when it is free is not awaited.
    """
    pool = engine_pool(*(model(f"m{n}") for n in range(10)))
    engines = [
        engine_state("e1", "m0"),
        engine_state(
            "e2",
            "m1",
            accepts_orders=False,
            loading="m1",
            free_in_s=free_in_s,
            on_disk=frozenset({"m9"}),
        ),
    ]
    wanted = {"m9": demand(0.5, waiting_requests=3)}
    declined = []
    moves = plan(pool, engines, wanted, 5, NOW, declined)
    assert [m.load for m in moves] == loads
    assert [d.reason for d in declined] == ["engine_awaited"] * (not loads)


def test_load_from_the_store_spares_the_disk_that_others_wait_for():
    """Reloads waited for engines that were busy with loads of 9 s."""
    pool = engine_pool(*(model(f"m{n}") for n in range(10)))
    engines = [
        engine_state("e1", "m0", on_disk=frozenset({"m8"})),
        engine_state("e2", "m1"),
    ]
    wanted = {
        "m9": demand(4.0, objective_s=1.0, waiting_requests=9),
        "m8": demand(0.5, waiting_requests=1, unserved_s=10.0),
    }
    moves = plan(pool, engines, wanted, 5, NOW)
    assert {(m.load, m.engine) for m in moves} == {("m9", "e2"), ("m8", "e1")}
