"""Guards how the order giver sees demand and engines."""

import random

from builders_serving import engine_entry

from carobsail.demandbook import MAX_RISE, DemandBook
from carobsail.engineorders import EngineLedger, EngineReport, Order, Verb
from carobsail.ordergiver import engine_state
from carobsail.summaries import Demand, EngineLoad, Need, Summary
from carobsail.targetbook import Target


def summary(number, demand=(), needs=(), loads=(), instance="i1", born=1):
    return Summary(
        instance=instance,
        data_centre="dc-a",
        incarnation=born,
        number=number,
        loads=list(loads),
        demand=[Demand("llm", model, count, 1.0) for model, count in demand],
        needs=[Need("llm", *need) for need in needs],
        uses=[],
    )


def per_s(book, model, now):
    return book.of_service("llm", now)[model].per_s


def test_planned_unload_is_not_given_up_twice():
    """Two of three copies of a busy model were given up within 0.1 s."""
    ledger = EngineLedger("e1", "127.0.0.1:1")
    none = frozenset()
    held = {"m1": none, "m2": none}
    ledger.read(EngineReport(held, False, 0, {}, none, none, 0))
    ledger.pending = [Order(Verb.UNLOAD, "m1"), Order(Verb.LOAD, "m3")]
    state = engine_state(ledger, Target(engine_entry()), None)
    assert state.models == {"m2", "m3"}
    assert state.loading == "m3" and not state.free


def test_demand_follows_a_jump_within_a_second():
    """A slow average showed a jump when the engines had queued already."""
    book = DemandBook()
    count = 0
    for step in range(60):
        now = step * 0.1
        count += 0 if step < 40 else 2
        book.take(summary(step, demand=[("m1", count)]), now)
        book.rate(now)
    assert per_s(book, "m1", 5.9) > 10.0


def test_one_request_is_no_jump():
    """A rare model with one request looked like 1.4 requests a second."""
    book = DemandBook()
    for step in range(50):
        now = step * 0.1
        counts = [("m1", 1 + (step > 45)), ("m2", step)]
        book.take(summary(step, demand=counts), now)
        book.rate(now)
    assert per_s(book, "m1", 4.9) < 0.6


def test_new_holder_takes_no_old_count_for_demand():
    """A count of the whole day looked like a jump to a new order giver."""
    book = DemandBook()
    book.take(summary(7, demand=[("m1", 500)]), 0.0)
    book.rate(0.0)
    book.take(summary(8, demand=[("m2", 300)]), 0.5)
    book.rate(0.5)
    found = book.of_service("llm", 0.5)
    assert found["m1"].per_s == 0.0
    assert found["m2"].per_s < 5.0


def test_restarted_instance_counts_anew():
    """Its counts start at zero; the difference must not be negative."""
    book = DemandBook()
    book.take(summary(7, demand=[("m1", 500)]), 0.0)
    book.take(summary(1, demand=[("m1", 2)], born=2), 0.5)
    book.rate(0.6)
    assert per_s(book, "m1", 0.6) == 0.0


def test_old_and_silent_summaries_do_not_count():
    """An instance that is gone has no requests that wait."""
    book = DemandBook()
    book.take(summary(2, needs=[("m1", "", 3)]), 0.0)
    book.take(summary(1, needs=[("m1", "", 9)]), 0.1)
    assert book.needs(1.0) == {("llm", "m1", ""): 3}
    assert book.needs(10.0) == {}


def test_load_is_summed_over_instances():
    """Each instance knows only its own requests at a target."""
    book = DemandBook()
    load = EngineLoad("e1", 2, 100, 10)
    book.take(summary(1, loads=[load]), 0.0)
    book.take(summary(1, loads=[load], instance="i2"), 0.0)
    assert book.loads(0.1)["e1"] == EngineLoad("e1", 4, 200, 20)


def told(rates, seed=1):
    """Replays Poisson demand given each 0.1 s; returns what is expected."""
    rng = random.Random(seed)
    book, count, found = DemandBook(), 0, []
    for step, rate in enumerate(rates):
        now = step * 0.1
        # Requests of a Poisson process in 0.1 s.
        left = rng.expovariate(1.0)
        while left < rate * 0.1:
            count += 1
            left += rng.expovariate(1.0)
        book.take(summary(step, demand=[("m1", count)]), now)
        book.rate(now)
        found.append(per_s(book, "m1", now))
    return found


def test_rising_demand_is_planned_ahead():
    """A copy takes 9 s; planned for the present, 500 of 700 were refused."""
    rise = [1.0] * 50 + [1.0 + 0.6 * step for step in range(80)]
    found = told(rise)
    assert found[50 + 40] > 25.0
    assert found[50 + 79] > 48.0


def test_steady_demand_is_not_taken_for_a_rise():
    """Chance alone must not load copies that nobody needs."""
    for rate in (0.5, 5.0, 40.0):
        found = [f for seed in range(10) for f in told([rate] * 200, seed)[60:]]
        assert sum(found) / len(found) < 1.3 * rate + 0.2


def test_sudden_jump_is_not_carried_on_for_ever():
    """After a crash 127 requests a second were expected where 60 came."""
    found = told([5.0] * 50 + [60.0] * 40)
    assert max(found) < 1.35 * (1.0 + MAX_RISE) * 60.0
