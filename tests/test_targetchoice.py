"""Guards where requests go, wait and are refused."""

from builders_serving import (
    PLACE,
    engine_entry,
    entry,
    generation,
    model,
    pool,
    want,
)

from carobsail.targetbook import Target
from carobsail.targetchoice import Refuse, Send, Wait, decide

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
    """Bytes between regions are billed and take 40 ms."""
    targets = [plain("t1", "dc-c"), plain("t2", "dc-b"), plain("t3")]
    assert decide(want(), targets, None, PLACE, 0.0).target is targets[2]


def test_jump_spills_over_to_the_next_data_centre():
    """All requests stayed at the own target while others were idle."""
    near = plain("t1", in_flight=12)
    far = plain("t2", "dc-b")
    assert decide(want(), [near, far], None, PLACE, 0.0).target is far


def test_load_of_other_instances_counts():
    """Each instance saw only its own part and chose the same engine."""
    busy = engine("e1", others_in_flight=30, others_prompt_tokens=60_000)
    idle = engine("e2")
    choice = decide(generation(), [busy, idle], POOL, PLACE, 0.0)
    assert choice.target is idle


def test_cached_prompt_attracts():
    """A prompt that is kept need not be read again."""
    first, second = engine("e1"), engine("e2")
    request = generation(cached_tokens={"e2": 2000})
    choice = decide(request, [first, second], POOL, PLACE, 0.0)
    assert choice.target is second


def test_hopeless_request_is_refused_at_once():
    """It would take the place of one that can still be served."""
    full = engine(prompt_tokens=200_000.0, in_flight=60)
    choice = decide(generation(), [full], POOL, PLACE, 0.0)
    assert isinstance(choice, Refuse)
    assert 0.2 <= choice.retry_after_s <= 10.0


def test_request_that_cannot_be_on_time_goes_behind():
    """A queue in order of arrival made all requests of a jump late."""
    full = engine(prompt_tokens=40_000.0)
    choice = decide(generation(), [full], POOL, PLACE, 0.0)
    assert isinstance(choice, Send) and choice.late


def test_late_requests_do_not_delay_one_that_can_be_on_time():
    """A fresh request waited behind those that had lost their time."""
    behind = engine(late_tokens=60_000.0)
    choice = decide(generation(), [behind], POOL, PLACE, 0.0)
    assert isinstance(choice, Send) and not choice.late
    assert choice.cost_s < 0.5


def test_caller_that_leaves_after_a_silence_is_refused_at_once():
    """Callers with 15 s left after 2.4 s, while their model was loaded."""
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
    """Requests were held to their deadline for a load that came too late."""
    empty = Target(engine_entry(models=()))
    waits = decide(generation(), [empty], POOL, PLACE, 0.0)
    assert isinstance(waits, Wait) and waits.reason == "model"
    late = decide(generation(), [empty], POOL, PLACE, 4.2)
    assert isinstance(late, Refuse) and late.reason == "model_absent"


def test_request_waits_on_while_its_model_is_coming():
    """A load that ends in time was not waited for."""
    empty = Target(engine_entry(models=()))
    coming = generation(load_left_s=0.5, waited_s=4.0)
    assert isinstance(decide(coming, [empty], POOL, PLACE, 4.2), Wait)


def test_load_that_ends_too_late_is_told_at_once():
    """Callers were held to the end for a load of 9 s."""
    empty = Target(engine_entry(models=()))
    late = generation(load_left_s=7.5)
    choice = decide(late, [empty], POOL, PLACE, 0.0)
    assert choice == Refuse("model_loads_too_late", 7.5)


def test_unplanned_load_is_not_waited_for_to_the_end():
    """No engine had room; the caller was held for nothing."""
    empty = Target(engine_entry(models=()))
    waited = generation(waited_s=1.5)
    assert isinstance(decide(waited, [empty], POOL, PLACE, 1.5), Refuse)


def test_patient_callers_of_a_rare_model_wait_for_each_other():
    """58 of 100 of them were refused after 2 s; a load takes 9 s."""
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
    """The only target failed once; callers were refused for its pause."""
    paused = plain("t1", paused_until=0.3)
    assert decide(want(), [paused], None, PLACE, 0.0) == Wait("target", 0.3)
    long = plain("t1", paused_until=2.5)
    assert isinstance(decide(want(), [long], None, PLACE, 0.0), Refuse)


def test_failing_target_is_avoided():
    """A target fails a part of its requests while it calls itself well."""
    grey = plain("t1", failure_share=0.4)
    sound = plain("t2", "dc-b")
    assert decide(want(), [grey, sound], None, PLACE, 0.0).target is sound


def test_excluded_target_is_not_asked_again():
    """A repeat must reach another target."""
    only = plain("t1")
    choice = decide(want(excluded={"t1"}), [only], None, PLACE, 0.0)
    assert not isinstance(choice, Send)
