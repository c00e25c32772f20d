"""Tests the demand and engine states that the coordinator plans with."""

import random

from builders_serving import engine_entry

from carobsail.coordinator import engine_state
from carobsail.demandtracker import MAX_EXTRAPOLATED_FRACTION, DemandTracker
from carobsail.engineorders import EngineRecord, EngineReport, Order, Verb
from carobsail.summaries import (
    RequestCount,
    Summary,
    TargetUsage,
    WaitingRequests,
)
from carobsail.targetregistry import Target


def summary(
    number, demand=(), waiting=(), loads=(), instance="i1", incarnation=1
):
    return Summary(
        instance=instance,
        data_centre="dc-a",
        incarnation=incarnation,
        number=number,
        loads=list(loads),
        demand=[
            RequestCount("llm", model, count, 1.0) for model, count in demand
        ],
        waiting=[WaitingRequests("llm", *row) for row in waiting],
        adapter_uses=[],
    )


def per_s(tracker, model, now):
    return tracker.demand_by_model("llm", now)[model].per_s


def test_model_with_a_planned_unload_is_not_counted():
    """Two of three copies of a busy model were unloaded within 0.1 s."""
    record = EngineRecord("e1", "127.0.0.1:1")
    none = frozenset()
    held = {"m1": none, "m2": none}
    record.apply_report(EngineReport(held, False, 0, {}, none, none, 0))
    record.pending = [Order(Verb.UNLOAD, "m1"), Order(Verb.LOAD, "m3")]
    state = engine_state(record, Target(engine_entry()), None)
    assert state.models == {"m2", "m3"}
    assert state.loading == "m3" and not state.accepts_orders


def test_demand_follows_a_jump_within_a_second():
    """A slow average showed a jump only after requests queued at engines."""
    tracker = DemandTracker()
    count = 0
    for step in range(60):
        now = step * 0.1
        count += 0 if step < 40 else 2
        tracker.add_summary(summary(step, demand=[("m1", count)]), now)
        tracker.update_rates(now)
    assert per_s(tracker, "m1", 5.9) > 10.0


def test_one_request_is_no_jump():
    """One request for a rarely used model counted as 1.4 requests/s."""
    tracker = DemandTracker()
    for step in range(50):
        now = step * 0.1
        counts = [("m1", 1 + (step > 45)), ("m2", step)]
        tracker.add_summary(summary(step, demand=counts), now)
        tracker.update_rates(now)
    assert per_s(tracker, "m1", 4.9) < 0.6


def test_first_summary_is_not_counted_as_demand():
    """A cumulative count of a day looked like a jump to a new coordinator."""
    tracker = DemandTracker()
    tracker.add_summary(summary(7, demand=[("m1", 500)]), 0.0)
    tracker.update_rates(0.0)
    tracker.add_summary(summary(8, demand=[("m2", 300)]), 0.5)
    tracker.update_rates(0.5)
    rates = tracker.demand_by_model("llm", 0.5)
    assert rates["m1"].per_s == 0.0
    assert rates["m2"].per_s < 5.0


def test_restarted_instance_resets_its_counts():
    """Counts restart at zero; the difference must not become negative."""
    tracker = DemandTracker()
    tracker.add_summary(summary(7, demand=[("m1", 500)]), 0.0)
    tracker.add_summary(summary(1, demand=[("m1", 2)], incarnation=2), 0.5)
    tracker.update_rates(0.6)
    assert per_s(tracker, "m1", 0.6) == 0.0


def test_old_and_silent_summaries_do_not_count():
    """Outdated or expired summaries must not report waiting requests."""
    tracker = DemandTracker()
    tracker.add_summary(summary(2, waiting=[("m1", "", 3)]), 0.0)
    tracker.add_summary(summary(1, waiting=[("m1", "", 9)]), 0.1)
    assert tracker.waiting_requests(1.0) == {("llm", "m1", ""): 3}
    assert tracker.waiting_requests(10.0) == {}


def test_load_is_summed_over_instances():
    """Each instance knows only its own requests at a target."""
    tracker = DemandTracker()
    load = TargetUsage("e1", 2, 100, 10)
    tracker.add_summary(summary(1, loads=[load]), 0.0)
    tracker.add_summary(summary(1, loads=[load], instance="i2"), 0.0)
    assert tracker.load_by_target(0.1)["e1"] == TargetUsage("e1", 4, 200, 20)


def replay_demand(arrival_rates, seed=1):
    """Replays Poisson demand with one rate per 0.1 s; returns planned rates."""
    rng = random.Random(seed)
    tracker, count, rates = DemandTracker(), 0, []
    for step, rate in enumerate(arrival_rates):
        now = step * 0.1
        # Requests of a Poisson process in 0.1 s.
        left = rng.expovariate(1.0)
        while left < rate * 0.1:
            count += 1
            left += rng.expovariate(1.0)
        tracker.add_summary(summary(step, demand=[("m1", count)]), now)
        tracker.update_rates(now)
        rates.append(per_s(tracker, "m1", now))
    return rates


def test_rising_demand_is_planned_ahead():
    """A load takes 9 s; planned by present demand, 500 of 700 were refused."""
    rise = [1.0] * 50 + [1.0 + 0.6 * step for step in range(80)]
    rates = replay_demand(rise)
    assert rates[50 + 40] > 25.0
    assert rates[50 + 79] > 48.0


def test_steady_demand_is_not_taken_for_a_rise():
    """Random fluctuation must not cause loads of unneeded copies."""
    for rate in (0.5, 5.0, 40.0):
        rates = [
            f
            for seed in range(10)
            for f in replay_demand([rate] * 200, seed)[60:]
        ]
        assert sum(rates) / len(rates) < 1.3 * rate + 0.2


def test_extrapolation_of_a_sudden_jump_is_limited():
    """After a crash, 127 requests/s were expected but 60 arrived."""
    rates = replay_demand([5.0] * 50 + [60.0] * 40)
    assert max(rates) < 1.35 * (1.0 + MAX_EXTRAPOLATED_FRACTION) * 60.0
