"""Guards what the order giver believes of an engine."""

import dataclasses

from carobsail.engineorders import (
    ADAPTER_LOAD_S,
    EngineLedger,
    EngineReport,
    Order,
    Verb,
    Verdict,
    plan_adapter,
)

NONE = frozenset()


def report(holdings, busy=False, orders=0, coming=None):
    held = {m: frozenset(a) for m, a in holdings.items()}
    return EngineReport(held, busy, orders, coming or {}, NONE, NONE, 0)


def ledger(holdings, orders=0):
    made = EngineLedger("e1", "127.0.0.1:1")
    made.read(report(holdings, orders=orders))
    return made


def test_order_of_an_earlier_holder_hides_what_is_loaded():
    """A new holder planned on an engine under an unknown load (LIMIT)."""
    made = EngineLedger("e1", "127.0.0.1:1")
    made.read(report({"m1": []}, busy=True))
    assert not made.known
    made.read(report({"m1": [], "m2": []}))
    assert made.known


def test_model_being_unloaded_is_not_offered():
    """An engine lists a model until its last run ended, and refuses it."""
    made = ledger({"m1": [], "m2": []})
    made.accepted(Order(Verb.UNLOAD, "m1"), Verdict.ACCEPTED, 1.0)
    made.read(report({"m1": [], "m2": []}, busy=True, orders=1))
    assert set(made.usable()) == {"m2"}


def test_planned_unload_is_announced():
    """Instances must hear of it before the engine refuses."""
    made = ledger({"m1": [], "m2": []})
    made.pending = [Order(Verb.UNLOAD, "m1"), Order(Verb.LOAD, "m3")]
    assert set(made.usable()) == {"m2"}
    assert made.busy


def test_planned_load_is_not_usable_yet():
    """The last usable copy was unloaded for one that was only planned."""
    made = ledger({"m1": [], "m2": []})
    made.pending = [Order(Verb.UNLOAD, "m1"), Order(Verb.LOAD, "m3")]
    assert made.coming_model() == "m3"
    made.pending = []
    made.accepted(Order(Verb.LOAD, "m3"), Verdict.ACCEPTED, 1.0)
    assert made.coming_model() == "m3"
    made.read(report({"m2": [], "m3": []}, orders=1))
    assert made.coming_model() == ""


def test_adapter_is_usable_after_its_load():
    """A request that comes before is refused and uses up the budget."""
    made = ledger({"m1": []})
    made.accepted(Order(Verb.LOAD, "m1", "a1"), Verdict.ACCEPTED, 1.0)
    assert made.usable() == {"m1": set()}
    assert ("m1", "a1") in made.adapters()
    assert not made.settle(1.0 + ADAPTER_LOAD_S / 2)
    assert made.settle(1.0 + ADAPTER_LOAD_S)
    assert made.usable() == {"m1": {"a1"}}


def test_unload_of_an_idle_adapter_counts_as_an_order():
    """The next order named too low a count and was refused."""
    made = ledger({"m1": ["a1"]}, orders=4)
    made.accepted(Order(Verb.UNLOAD, "m1", "a1"), Verdict.HOLDS_ALREADY, 1.0)
    assert made.orders == 5
    assert made.usable() == {"m1": set()}


def test_adapter_in_use_keeps_its_place_until_its_runs_end():
    """An engine crashed: its unload had been accepted, not carried out."""
    made = ledger({"m1": ["a1", "a2"]})
    order = plan_adapter(made, "m1", "a3", 2, 10.0)
    made.accepted(order, Verdict.ACCEPTED, 10.0)
    assert order.adapter not in made.usable()["m1"]
    assert plan_adapter(made, "m1", "a3", 2, 11.0) is None
    made.read(report({"m1": ["a1", "a2"]}, orders=1))
    assert made.unsettled
    assert plan_adapter(made, "m1", "a3", 2, 12.0) is None
    made.read(report({"m1": ["a2"]}, orders=1))
    assert not made.unsettled
    assert plan_adapter(made, "m1", "a3", 2, 13.0).verb is Verb.LOAD


def test_adapter_that_an_earlier_holder_loads_is_looked_for_again():
    """It stayed on its way for ever, and its requests were refused."""
    made = EngineLedger("e1", "127.0.0.1:1")
    made.read(report({"m1": []}, coming={"m1": frozenset({"a1"})}))
    assert made.unsettled
    made.read(report({"m1": ["a1"]}))
    assert not made.unsettled and made.usable() == {"m1": {"a1"}}


def test_late_order_of_an_earlier_term_ends_a_plan():
    """Its model took the room that the plan had seen (LIMIT)."""
    made = ledger({"m1": [], "m2": []}, orders=1)
    made.pending = [Order(Verb.LOAD, "m3")]
    made.known = False  # The load was answered with a conflict.
    made.read(report({"m1": [], "m2": []}, busy=True, orders=2))
    assert not made.known
    made.read(report({"m1": [], "m2": [], "m4": []}, orders=2))
    assert made.known and not made.pending


def test_own_unload_goes_on_with_its_load():
    """A plan of two orders is not given up after the first."""
    made = ledger({"m1": [], "m2": [], "m4": []}, orders=1)
    made.pending = [Order(Verb.LOAD, "m3")]
    made.accepted(Order(Verb.UNLOAD, "m1"), Verdict.ACCEPTED, 1.0)
    made.read(report({"m2": [], "m4": []}, orders=2))
    assert made.pending == [Order(Verb.LOAD, "m3")]


def test_engine_started_anew_counts_anew():
    """A restart under the same identity clears holdings and counts."""
    made = ledger({"m1": []}, orders=4)
    made.born = 1000
    made.pending = [Order(Verb.LOAD, "m2")]
    anew = dataclasses.replace(report({}), born=2000)
    assert not made.outdated(anew)
    made.read(anew)
    assert made.orders == 0 and not made.busy and made.usable() == {}


def test_adapter_places_are_not_overfilled():
    """Adapters on their way take places (LIMIT)."""
    made = ledger({"m1": ["a1"]})
    made.accepted(Order(Verb.LOAD, "m1", "a2"), Verdict.ACCEPTED, 10.0)
    made.used_at["m1", "a1"] = 1.0
    order = plan_adapter(made, "m1", "a3", 2, 11.0)
    assert order == Order(Verb.UNLOAD, "m1", "a1")
    made.accepted(order, Verdict.HOLDS_ALREADY, 11.0)
    assert plan_adapter(made, "m1", "a3", 2, 11.0) == Order(
        Verb.LOAD, "m1", "a3"
    )


def test_adapter_just_used_is_not_pushed_out():
    """Two adapters that alternate would unload each other."""
    made = ledger({"m1": ["a1", "a2"]})
    made.used_at = {("m1", "a1"): 10.0, ("m1", "a2"): 10.1}
    assert plan_adapter(made, "m1", "a3", 2, 10.2) is None
    assert plan_adapter(made, "m1", "a1", 2, 20.0) is None
