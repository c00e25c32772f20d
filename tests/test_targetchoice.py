"""Tests when requests are sent to which target, wait or are refused."""

from builders_serving import (
    LOCATION,
    engine_entry,
    engine_pool,
    entry,
    generation_request,
    model,
    plain_request,
)

from carobsail.targetchoice import Refuse, Send, Wait, choose_target
from carobsail.targetregistry import Target

POOL = engine_pool(model("m1", adapters=2))


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
    assert (
        choose_target(plain_request(), targets, None, LOCATION, 0.0).target
        is targets[2]
    )


def test_overload_spills_over_to_the_next_data_centre():
    """All requests went to the local target while others were idle."""
    near = plain("t1", in_flight=12)
    far = plain("t2", "dc-b")
    assert (
        choose_target(plain_request(), [near, far], None, LOCATION, 0.0).target
        is far
    )


def test_load_of_other_instances_counts():
    """Each instance saw only its own load, and all chose the same engine."""
    busy = engine("e1", others_in_flight=30, others_prompt_tokens=60_000)
    idle = engine("e2")
    choice = choose_target(
        generation_request(), [busy, idle], POOL, LOCATION, 0.0
    )
    assert choice.target is idle


def test_target_with_cached_prompt_is_preferred():
    """A cached prompt need not be processed again."""
    first, second = engine("e1"), engine("e2")
    request = generation_request(cached_tokens={"e2": 2000})
    choice = choose_target(request, [first, second], POOL, LOCATION, 0.0)
    assert choice.target is second


def test_hopeless_request_is_refused_at_once():
    """It would delay requests that can still be served in time."""
    full = engine(prompt_tokens=200_000.0, in_flight=60)
    choice = choose_target(generation_request(), [full], POOL, LOCATION, 0.0)
    assert isinstance(choice, Refuse)
    assert 0.2 <= choice.retry_after_s <= 10.0


def test_late_request_is_queued_behind_others():
    """In a sudden rise, a first-come first-served queue made all late."""
    full = engine(prompt_tokens=40_000.0)
    choice = choose_target(generation_request(), [full], POOL, LOCATION, 0.0)
    assert isinstance(choice, Send) and choice.late


def test_late_requests_do_not_delay_one_that_can_be_on_time():
    """A new request waited behind those that were already late."""
    behind = engine(late_tokens=60_000.0)
    choice = choose_target(generation_request(), [behind], POOL, LOCATION, 0.0)
    assert isinstance(choice, Send) and not choice.late
    assert choice.cost_s < 0.5


def test_caller_that_leaves_after_a_silence_is_refused_at_once():
    """Callers with 15 s left after 2.4 s without an event, during a load."""
    request = generation_request(next_event_due_at=2.4, model_ready_in_s=3.8)
    request.due_at = 15.0
    choice = choose_target(
        request, [engine(), engine("e2")], POOL, LOCATION, 0.0
    )
    assert isinstance(choice, Send)
    request.model, pool_ = "m2", engine_pool(model("m1"), model("m2"))
    choice = choose_target(request, [engine()], pool_, LOCATION, 0.0)
    assert isinstance(choice, Refuse) and choice.retry_after_s >= 3.8
    busy = engine(others_prompt_tokens=100_000, others_in_flight=20)
    request.model = "m1"
    assert (
        choose_target(request, [busy], POOL, LOCATION, 0.0).reason == "hopeless"
    )


def test_absent_model_waits_only_while_a_load_can_end():
    """Requests waited until the deadline for a load that ended too late."""
    empty = Target(engine_entry(models=()))
    waits = choose_target(generation_request(), [empty], POOL, LOCATION, 0.0)
    assert isinstance(waits, Wait) and waits.reason == "model"
    late = choose_target(generation_request(), [empty], POOL, LOCATION, 4.2)
    assert isinstance(late, Refuse) and late.reason == "model_absent"


def test_request_waits_while_its_model_is_loading():
    """Requests were refused although the load would have ended in time."""
    empty = Target(engine_entry(models=()))
    coming = generation_request(model_ready_in_s=0.5, waited_s=4.0)
    assert isinstance(choose_target(coming, [empty], POOL, LOCATION, 4.2), Wait)


def test_load_that_ends_too_late_is_refused_at_once():
    """Requests waited until the deadline for a load of 9 s."""
    empty = Target(engine_entry(models=()))
    late = generation_request(model_ready_in_s=7.5)
    choice = choose_target(late, [empty], POOL, LOCATION, 0.0)
    assert choice == Refuse("model_loads_too_late", 7.5)


def test_unplanned_load_is_not_waited_for_to_the_end():
    """No engine had free memory, so that the caller waited in vain."""
    empty = Target(engine_entry(models=()))
    waited = generation_request(waited_s=1.5)
    assert isinstance(
        choose_target(waited, [empty], POOL, LOCATION, 1.5), Refuse
    )


def test_callers_with_long_deadlines_wait_for_a_rare_model():
    """58 of 100 of them were refused after 2 s, though a load takes 9 s."""
    empty = Target(engine_entry(models=()))
    patient = generation_request(waited_s=8.0)
    patient.due_at = 20.0
    assert isinstance(
        choose_target(patient, [empty], POOL, LOCATION, 8.0), Wait
    )
    patient.waited_s = 11.5
    assert isinstance(
        choose_target(patient, [empty], POOL, LOCATION, 11.5), Refuse
    )


def test_absent_adapter_waits_for_the_coordinator():
    """An engine refuses a request for an adapter that it does not hold."""
    request = generation_request(adapter="a1")
    choice = choose_target(request, [engine()], POOL, LOCATION, 0.0)
    assert isinstance(choice, Wait) and choice.reason == "adapter"
    holds = engine("e2", adapters=("a1",))
    assert (
        choose_target(request, [engine(), holds], POOL, LOCATION, 0.0).target
        is holds
    )


def test_unknown_model_is_refused():
    """Nothing can load a model that the configuration does not name."""
    request = generation_request()
    request.model = "other"
    assert isinstance(
        choose_target(request, [engine()], POOL, LOCATION, 0.0), Refuse
    )


def test_paused_target_is_waited_for_briefly():
    """After one failure of the only target, requests were refused."""
    paused = plain("t1", paused_until=0.3)
    assert choose_target(
        plain_request(), [paused], None, LOCATION, 0.0
    ) == Wait("target", 0.3)
    long = plain("t1", paused_until=2.5)
    assert isinstance(
        choose_target(plain_request(), [long], None, LOCATION, 0.0), Refuse
    )


def test_failing_target_is_avoided():
    """A target fails a share of its requests but reports itself healthy."""
    failing = plain("t1", failure_share=0.4)
    healthy = plain("t2", "dc-b")
    assert (
        choose_target(
            plain_request(), [failing, healthy], None, LOCATION, 0.0
        ).target
        is healthy
    )


def test_excluded_target_is_not_asked_again():
    """A retry must reach another target."""
    only = plain("t1")
    choice = choose_target(
        plain_request(excluded={"t1"}), [only], None, LOCATION, 0.0
    )
    assert not isinstance(choice, Send)
