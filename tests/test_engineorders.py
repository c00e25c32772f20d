"""Tests the coordinator's record of an engine."""

import dataclasses

from carobsail.engineorders import (
    ADAPTER_LOAD_S,
    EngineRecord,
    EngineReport,
    Order,
    Verb,
    Verdict,
    plan_adapter_order,
)

NONE = frozenset()


def report(holdings, busy=False, accepted_orders=0, loading_adapters=None):
    held = {m: frozenset(a) for m, a in holdings.items()}
    return EngineReport(
        held, busy, accepted_orders, loading_adapters or {}, NONE, NONE, 0
    )


def record(holdings, accepted_orders=0):
    tracked = EngineRecord("e1", "127.0.0.1:1")
    tracked.apply_report(report(holdings, accepted_orders=accepted_orders))
    return tracked


def test_order_of_an_earlier_holder_hides_what_is_loaded():
    """A new holder planned for an engine that was loading an unknown model.

    Such a plan can exceed the engine's memory (soak check `limit`).
    """
    tracked = EngineRecord("e1", "127.0.0.1:1")
    tracked.apply_report(report({"m1": []}, busy=True))
    assert not tracked.in_sync
    tracked.apply_report(report({"m1": [], "m2": []}))
    assert tracked.in_sync


def test_model_being_unloaded_is_not_offered():
    """An engine reports a model until its last request ends, but refuses it."""
    tracked = record({"m1": [], "m2": []})
    tracked.order_accepted(Order(Verb.UNLOAD, "m1"), Verdict.ACCEPTED, 1.0)
    tracked.apply_report(
        report({"m1": [], "m2": []}, busy=True, accepted_orders=1)
    )
    assert set(tracked.usable_models()) == {"m2"}


def test_planned_unload_is_announced():
    """Instances must learn of the unload before the engine refuses requests."""
    tracked = record({"m1": [], "m2": []})
    tracked.pending = [Order(Verb.UNLOAD, "m1"), Order(Verb.LOAD, "m3")]
    assert set(tracked.usable_models()) == {"m2"}
    assert tracked.busy


def test_planned_load_is_not_usable_yet():
    """The last usable copy was unloaded for one that was only planned."""
    tracked = record({"m1": [], "m2": []})
    tracked.pending = [Order(Verb.UNLOAD, "m1"), Order(Verb.LOAD, "m3")]
    assert tracked.incoming_model() == "m3"
    tracked.pending = []
    tracked.order_accepted(Order(Verb.LOAD, "m3"), Verdict.ACCEPTED, 1.0)
    assert tracked.incoming_model() == "m3"
    tracked.apply_report(report({"m2": [], "m3": []}, accepted_orders=1))
    assert tracked.incoming_model() == ""


def test_adapter_is_usable_after_its_load():
    """A request sent earlier is refused and uses up the retry budget."""
    tracked = record({"m1": []})
    tracked.order_accepted(Order(Verb.LOAD, "m1", "a1"), Verdict.ACCEPTED, 1.0)
    assert tracked.usable_models() == {"m1": set()}
    assert ("m1", "a1") in tracked.occupying_adapters()
    assert not tracked.complete_adapter_loads(1.0 + ADAPTER_LOAD_S / 2)
    assert tracked.complete_adapter_loads(1.0 + ADAPTER_LOAD_S)
    assert tracked.usable_models() == {"m1": {"a1"}}


def test_unload_of_an_idle_adapter_counts_as_an_order():
    """The next order carried too low an order count and was rejected."""
    tracked = record({"m1": ["a1"]}, accepted_orders=4)
    tracked.order_accepted(
        Order(Verb.UNLOAD, "m1", "a1"), Verdict.HOLDS_ALREADY, 1.0
    )
    assert tracked.accepted_orders == 5
    assert tracked.usable_models() == {"m1": set()}


def test_adapter_in_use_keeps_its_place_until_its_runs_end():
    """An engine crashed: an unload had been accepted but not executed yet."""
    tracked = record({"m1": ["a1", "a2"]})
    order = plan_adapter_order(tracked, "m1", "a3", 2, 10.0)
    tracked.order_accepted(order, Verdict.ACCEPTED, 10.0)
    assert order.adapter not in tracked.usable_models()["m1"]
    assert plan_adapter_order(tracked, "m1", "a3", 2, 11.0) is None
    tracked.apply_report(report({"m1": ["a1", "a2"]}, accepted_orders=1))
    assert tracked.has_unconfirmed_adapters
    assert plan_adapter_order(tracked, "m1", "a3", 2, 12.0) is None
    tracked.apply_report(report({"m1": ["a2"]}, accepted_orders=1))
    assert not tracked.has_unconfirmed_adapters
    assert plan_adapter_order(tracked, "m1", "a3", 2, 13.0).verb is Verb.LOAD


def test_adapter_that_an_earlier_holder_loads_is_confirmed():
    """The adapter counted as loading for ever; its requests were refused."""
    tracked = EngineRecord("e1", "127.0.0.1:1")
    tracked.apply_report(
        report({"m1": []}, loading_adapters={"m1": frozenset({"a1"})})
    )
    assert tracked.has_unconfirmed_adapters
    tracked.apply_report(report({"m1": ["a1"]}))
    assert not tracked.has_unconfirmed_adapters and tracked.usable_models() == {
        "m1": {"a1"}
    }


def test_late_order_of_an_earlier_term_ends_a_plan():
    """The late order's model used the memory that the plan relied on.

    The plan would exceed the engine's memory (soak check `limit`).
    """
    tracked = record({"m1": [], "m2": []}, accepted_orders=1)
    tracked.pending = [Order(Verb.LOAD, "m3")]
    tracked.in_sync = False  # The load was answered with a conflict.
    tracked.apply_report(
        report({"m1": [], "m2": []}, busy=True, accepted_orders=2)
    )
    assert not tracked.in_sync
    tracked.apply_report(
        report({"m1": [], "m2": [], "m4": []}, accepted_orders=2)
    )
    assert tracked.in_sync and not tracked.pending


def test_own_unload_goes_on_with_its_load():
    """A plan of two orders is not dropped after the first one."""
    tracked = record({"m1": [], "m2": [], "m4": []}, accepted_orders=1)
    tracked.pending = [Order(Verb.LOAD, "m3")]
    tracked.order_accepted(Order(Verb.UNLOAD, "m1"), Verdict.ACCEPTED, 1.0)
    tracked.apply_report(report({"m2": [], "m4": []}, accepted_orders=2))
    assert tracked.pending == [Order(Verb.LOAD, "m3")]


def test_restarted_engine_resets_its_record():
    """A restart under the same identity clears holdings and order counts."""
    tracked = record({"m1": []}, accepted_orders=4)
    tracked.start_time_ms = 1000
    tracked.pending = [Order(Verb.LOAD, "m2")]
    anew = dataclasses.replace(report({}), start_time_ms=2000)
    assert not tracked.is_stale(anew)
    tracked.apply_report(anew)
    assert (
        tracked.accepted_orders == 0
        and not tracked.busy
        and tracked.usable_models() == {}
    )


def test_adapter_places_are_not_overfilled():
    """Adapters that are being loaded occupy slots (soak check `limit`)."""
    tracked = record({"m1": ["a1"]})
    tracked.order_accepted(Order(Verb.LOAD, "m1", "a2"), Verdict.ACCEPTED, 10.0)
    tracked.last_used_at["m1", "a1"] = 1.0
    order = plan_adapter_order(tracked, "m1", "a3", 2, 11.0)
    assert order == Order(Verb.UNLOAD, "m1", "a1")
    tracked.order_accepted(order, Verdict.HOLDS_ALREADY, 11.0)
    assert plan_adapter_order(tracked, "m1", "a3", 2, 11.0) == Order(
        Verb.LOAD, "m1", "a3"
    )


def test_adapter_just_used_is_not_evicted():
    """Two alternating adapters would evict each other."""
    tracked = record({"m1": ["a1", "a2"]})
    tracked.last_used_at = {("m1", "a1"): 10.0, ("m1", "a2"): 10.1}
    assert plan_adapter_order(tracked, "m1", "a3", 2, 10.2) is None
    assert plan_adapter_order(tracked, "m1", "a1", 2, 20.0) is None
