"""Tests when requests are sent to which target, wait or are refused."""

from builders_serving import (
    PLACE,
    engine_entry,
    entry,
    generation,
    model,
    pool,
    want,
)

from carobsail.targetchoice import Refuse, Send, Wait, decide
from carobsail.targetregistry import Target

POOL = pool(model("m1", adapters=2))


def engine(identity="e1", adapters=(), **changes):
    made = Target(engine_entry(identity, adapters=adapters))
    made.held = {"m1": frozenset(adapters)}
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def plain(identity, data_centre="dc-a", **changes):
    made = Target(entry(identity, data_centre=data_centre))
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def test_own_data_centre_goes_first():
    """Traffic between regions is billed, and its round trip takes 40 ms."""
    targets = [plain("t1", "dc-c"), plain("t2", "dc-b"), plain("t3")]
    assert decide(want(), targets, None, PLACE, 0.0).target is targets[2]


def test_overload_spills_over_to_the_next_data_centre():
    """All requests went to the local target while others were idle."""
    near = plain("t1", in_flight=12)
    far = plain("t2", "dc-b")
    assert decide(want(), [near, far], None, PLACE, 0.0).target is far


def test_load_of_other_instances_counts():
    """Each instance saw only its own load, and all chose the same engine."""
    busy = engine("e1", others_in_flight=30, others_prompt_tokens=60_000)
    idle = engine("e2")
    choice = decide(generation(), [busy, idle], POOL, PLACE, 0.0)
    assert choice.target is idle


def test_target_with_cached_prompt_is_preferred():
    """A cached prompt need not be processed again."""
    first, second = engine("e1"), engine("e2")
    request = generation(cached_tokens={"e2": 2000})
    choice = decide(request, [first, second], POOL, PLACE, 0.0)
    assert choice.target is second


def test_hopeless_request_is_refused_at_once():
    """It would delay requests that can still be served in time."""
    full = engine(prompt_tokens=200_000.0, in_flight=60)
    choice = decide(generation(), [full], POOL, PLACE, 0.0)
    assert isinstance(choice, Refuse)
    assert 0.2 <= choice.retry_after_s <= 10.0


def test_late_request_is_queued_behind_others():
    """In a sudden rise, a first-come first-served queue made all late."""
    full = engine(prompt_tokens=40_000.0)
    choice = decide(generation(), [full], POOL, PLACE, 0.0)
    assert isinstance(choice, Send) and choice.late


def test_late_requests_do_not_delay_one_that_can_be_on_time():
    """A new request waited behind those that were already late."""
    behind = engine(late_tokens=60_000.0)
    choice = decide(generation(), [behind], POOL, PLACE, 0.0)
    assert isinstance(choice, Send) and not choice.late
    assert choice.cost_s < 0.5


def test_caller_that_leaves_after_a_silence_is_refused_at_once():
    """Callers with 15 s left after 2.4 s without an event, during a load."""
    request = generation(next_event_due_at=2.4, load_left_s=3.8)
    request.due_at = 15.0
    choice = decide(request, [engine(), engine("e2")], POOL, PLACE, 0.0)
    assert isinstance(choice, Send)
    request.model, pool_ = "m2", pool(model("m1"), model("m2"))
    choice = decide(request, [engine()], pool_, PLACE, 0.0)
    assert isinstance(choice, Refuse) and choice.retry_after_s >= 3.8
    busy = engine(others_prompt_tokens=100_000, others_in_flight=20)
    request.model = "m1"
    assert decide(request, [busy], POOL, PLACE, 0.0).reason == "hopeless"


def test_absent_model_waits_only_while_a_load_can_end():
    """Requests waited until the deadline for a load that ended too late."""
    empty = Target(engine_entry(models=()))
    waits = decide(generation(), [empty], POOL, PLACE, 0.0)
    assert isinstance(waits, Wait) and waits.reason == "model"
    late = decide(generation(), [empty], POOL, PLACE, 4.2)
    assert isinstance(late, Refuse) and late.reason == "model_absent"


def test_request_waits_while_its_model_is_loading():
    """Requests were refused although the load would have ended in time."""
    empty = Target(engine_entry(models=()))
    coming = generation(load_left_s=0.5, waited_s=4.0)
    assert isinstance(decide(coming, [empty], POOL, PLACE, 4.2), Wait)


def test_load_that_ends_too_late_is_refused_at_once():
    """Requests waited until the deadline for a load of 9 s."""
    empty = Target(engine_entry(models=()))
    late = generation(load_left_s=7.5)
    choice = decide(late, [empty], POOL, PLACE, 0.0)
    assert choice == Refuse("model_loads_too_late", 7.5)


def test_unplanned_load_is_not_waited_for_to_the_end():
    """No engine had free memory, so that the caller waited in vain."""
    empty = Target(engine_entry(models=()))
    waited = generation(waited_s=1.5)
    assert isinstance(decide(waited, [empty], POOL, PLACE, 1.5), Refuse)


def test_callers_with_long_deadlines_wait_for_a_rare_model():
    """58 of 100 of them were refused after 2 s, though a load takes 9 s."""
    empty = Target(engine_entry(models=()))
    patient = generation(waited_s=8.0)
    patient.due_at = 20.0
    assert isinstance(decide(patient, [empty], POOL, PLACE, 8.0), Wait)
    patient.waited_s = 11.5
    assert isinstance(decide(patient, [empty], POOL, PLACE, 11.5), Refuse)


def test_absent_adapter_waits_for_the_order_giver():
    """An engine refuses a request for an adapter that it does not hold."""
    request = generation(adapter="a1")
    choice = decide(request, [engine()], POOL, PLACE, 0.0)
    assert isinstance(choice, Wait) and choice.reason == "adapter"
    holds = engine("e2", adapters=("a1",))
    assert decide(request, [engine(), holds], POOL, PLACE, 0.0).target is holds


def test_unknown_model_is_refused():
    """Nothing can load a model that the configuration does not name."""
    request = generation()
    request.model = "other"
    assert isinstance(decide(request, [engine()], POOL, PLACE, 0.0), Refuse)


def test_paused_target_is_waited_for_briefly():
    """After one failure of the only target, requests were refused."""
    paused = plain("t1", paused_until=0.3)
    assert decide(want(), [paused], None, PLACE, 0.0) == Wait("target", 0.3)
    long = plain("t1", paused_until=2.5)
    assert isinstance(decide(want(), [long], None, PLACE, 0.0), Refuse)


def test_failing_target_is_avoided():
    """A target fails a share of its requests but reports itself healthy."""
    failing = plain("t1", failure_share=0.4)
    healthy = plain("t2", "dc-b")
    assert (
        decide(want(), [failing, healthy], None, PLACE, 0.0).target is healthy
    )


def test_excluded_target_is_not_asked_again():
    """A retry must reach another target."""
    only = plain("t1")
    choice = decide(want(excluded={"t1"}), [only], None, PLACE, 0.0)
    assert not isinstance(choice, Send)
