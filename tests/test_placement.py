"""Tests of placement: memory, availability, stability and cost of a round."""

import time

import pytest
from builders_placement import engine_inventory, target
from hypothesis import given, settings
from hypothesis import strategies as st

from carobsail import demand, errors, placement, planninground

BUSY = demand.Demand(10.0, 500.0)
QUIET = demand.Demand(0.1, 5.0)


def plan(
    platform_inventory, loads, previous=None, residency=None, now=0.0, **fields
):
    """Plans as if the previous plan had been carried out."""
    if residency is None:
        sizes = {m.name: m.weights_mb for m in platform_inventory.models}
        plans = previous.plans if previous else []
        residency = {p.target: {m: sizes[m] for m in p.models} for p in plans}
    weights = fields.pop("weights", planninground.Weights())
    return placement.plan(
        platform_inventory,
        residency,
        loads,
        set(loads),
        weights,
        previous,
        now,
        **fields,
    )


def wanted(result):
    return {p.target: p.models for p in result.plans if p.models}


def engines(count, **fields):
    return [target(f"e{i}", **fields) for i in range(count)]


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    sizes=st.lists(st.integers(50, 700), min_size=1, max_size=12),
    rates=st.lists(st.floats(0.0, 900.0), min_size=12, max_size=12),
    name=st.sampled_from(sorted(placement.POLICIES)),
)
def test_policies_keep_every_model_within_memory(sizes, rates, name):
    """A policy must neither overcommit memory nor leave out a used model.

    Requirements R1 and R2.
    """
    models = {f"m{i}": mb for i, mb in enumerate(sizes)}
    platform_inventory = engine_inventory(engines(5), models)
    previous = None
    for turn in range(3):
        loads = {
            m: demand.Demand(1.0, rates[(i + turn) % 12])
            for i, m in enumerate(models)
        }
        result = plan(
            platform_inventory,
            loads,
            previous,
            now=turn * 300.0,
            policy_name=name,
        )
        if isinstance(result, errors.Failure):
            assert result.reason is errors.Reason.NO_MEMORY
            return
        kept = {m for p in result.plans for m in p.models}
        assert kept == set(models)
        for p in result.plans:
            assert sum(models[m] for m in p.models) <= 1000
        previous = result


def test_quiet_models_use_few_engines_and_busy_ones_more():
    """The number of engines in use follows the demand (R9).

    The policies are compared by the share of requests on time per engine in
    use, so that an idle engine lowers the result.
    """
    platform_inventory = engine_inventory(
        engines(6), {f"m{i}": 200 for i in range(6)}
    )
    quiet = {f"m{i}": QUIET for i in range(6)}
    first = plan(platform_inventory, quiet)
    assert len(wanted(first)) == 2
    busy = plan(
        platform_inventory, quiet | {"m0": BUSY, "m1": BUSY}, first, now=60.0
    )
    assert len(wanted(busy)) > 2
    assert all(move.benefit > move.cost for move in busy.moves)
    calm = busy
    for turn in range(8):
        calm = plan(platform_inventory, quiet, calm, now=600.0 + 200.0 * turn)
    assert len(wanted(calm)) == 2


def test_steady_demand_moves_nothing():
    """Demand close to a threshold must not cause loads and unloads in turn.

    Requirement R10.
    """
    platform_inventory = engine_inventory(engines(4), {"m0": 300, "m1": 300})
    result = plan(platform_inventory, {"m0": BUSY, "m1": BUSY})
    for turn in range(1, 20):
        tokens = 500.0 + (40.0 if turn % 2 else -40.0)
        loads = {"m0": BUSY, "m1": demand.Demand(10.0, tokens)}
        result = plan(platform_inventory, loads, result, now=turn * 130.0)
        assert turn < 3 or not result.moves


def test_higher_load_cost_adds_fewer_copies():
    """An operator who pays for loads can have fewer of them (R10)."""
    platform_inventory = engine_inventory(engines(6), {"m0": 300})
    first = plan(platform_inventory, {"m0": QUIET})
    costly = planninground.Weights(late_response_cost=0.001, load_cost=100.0)
    kept = plan(
        platform_inventory, {"m0": BUSY}, first, now=60.0, weights=costly
    )
    moved = plan(platform_inventory, {"m0": BUSY}, first, now=60.0)
    assert not kept.moves
    assert moved.moves


def test_region_of_the_store_is_preferred():
    """A load over the link between regions is billed (R16)."""
    near, far = target("z", data_centre="a"), target("b", data_centre="c")
    result = plan(engine_inventory([far, near], {"m0": 300}), {"m0": QUIET})
    assert wanted(result) == {"z": ["m0"]}


def test_recovery_takes_the_room_of_redundant_copies():
    """A model without a copy comes before further copies of other models.

    Requirement R2.
    """
    platform_inventory = engine_inventory(engines(2), {"m0": 800, "m1": 700})
    residency = {"e0": {"m0": 800}, "e1": {"m0": 800}}
    loads = {"m0": BUSY, "m1": QUIET}
    result = plan(platform_inventory, loads, residency=residency)
    assert sorted(wanted(result).values()) == [["m0"], ["m1"]]


def large_fleet(count):
    platform_inventory = engine_inventory(
        engines(count, capacity_mb=80_300),
        {f"m{i}": 14_000 for i in range(210)},
    )
    scale = count / 500
    loads = {
        f"m{i}": demand.Demand(5.0 * scale, 6.0 * (i + 1) * scale)
        for i in range(210)
    }
    return platform_inventory, loads


@pytest.mark.parametrize("count", [125, 500])
def test_round_stays_short(count):
    """A long round would delay heartbeats on the same event loop (R17)."""
    platform_inventory, loads = large_fleet(count)
    result = plan(platform_inventory, loads)
    for turn in range(40):
        result = plan(platform_inventory, loads, result, now=10.0 * turn)
    started = time.perf_counter()
    plan(platform_inventory, loads, result, now=1000.0)
    assert time.perf_counter() - started < 0.2  # Ten times the target.
