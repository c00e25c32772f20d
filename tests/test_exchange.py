"""Guards the rules of one caller request (R3, R4, R5)."""

import builders
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carobsail import errors, exchange

EVENT = b"id: 1\ndata: x\n\n"


def test_messages_of_an_earlier_attempt_are_dropped():
    """R3: a late response must not be delivered once a retry has begun."""
    subject = builders.build_exchange()
    subject.begin_attempt("a1", "engine-1")
    subject.fail_attempt(builders.build_failure(errors.Outcome.FAILED))
    subject.begin_attempt("a2", "engine-2")
    assert not subject.accepts("a1")
    assert subject.accepts("a2")
    assert subject.dropped_messages == 1


def test_truncated_response_is_not_complete():
    """R3: a response that lost bytes in transit must not count as complete."""
    subject = builders.build_exchange()
    subject.begin_attempt("a1", "engine-1")
    subject.receive_stream_data(EVENT, 0.1)
    failure = subject.finish(len(EVENT) + 1)
    assert failure.reason is errors.Reason.ANSWER_CUT
    assert subject.state is exchange.State.ANSWERING


def test_partial_event_is_held_back_and_dropped_on_resume():
    """R3: a token of a truncated event must not be delivered twice."""
    subject = builders.build_exchange()
    subject.begin_attempt("a1", "engine-1")
    assert subject.receive_stream_data(EVENT + b"id: 2\nda", 0.1) == EVENT
    action = subject.fail_attempt(builders.build_failure(errors.Outcome.FAILED))
    assert action is exchange.Action.RESUME
    assert subject.cursor.last_event() == "1"
    subject.begin_resume_attempt("a2", "engine-1")
    assert (
        subject.receive_stream_data(b"id: 2\ndata: y\n\n", 0.2)
        == b"id: 2\ndata: y\n\n"
    )


def test_booking_is_not_sent_again_after_an_unknown_outcome():
    """R5: retrying a booking that may have run could book twice."""
    subject = builders.build_exchange(builders.build_booking())
    subject.begin_attempt("a1", "desk-1")
    action = subject.fail_attempt(
        builders.build_failure(errors.Outcome.UNKNOWN)
    )
    assert action is exchange.Action.GIVE_UP
    with pytest.raises(RuntimeError):
        subject.begin_attempt("a2", "desk-1")


def test_booking_that_provably_did_not_run_may_be_sent():
    """R2: a refused connection must not make a booking fail."""
    subject = builders.build_exchange(builders.build_booking())
    subject.begin_attempt("a1", "desk-1")
    action = subject.fail_attempt(
        builders.build_failure(errors.Outcome.NOT_RUN)
    )
    assert action is exchange.Action.SEND_AGAIN
    subject.begin_attempt("a2", "desk-2")


@settings(derandomize=True, max_examples=300)
@given(
    outcomes=st.lists(st.sampled_from(errors.Outcome), min_size=1, max_size=6),
    booking=st.booleans(),
)
def test_outcome_not_run_is_only_reported_when_nothing_ran(outcomes, booking):
    """R4, R5: any order of failed attempts keeps both promises."""
    request = builders.build_booking() if booking else None
    subject = builders.build_exchange(request)
    may_have_run = 0
    failure = builders.build_failure(errors.Outcome.NOT_RUN)
    for number, outcome in enumerate(outcomes):
        if not subject.may_send():
            break
        subject.begin_attempt(f"a{number}", "t")
        failure = builders.build_failure(outcome)
        subject.fail_attempt(failure)
        may_have_run += outcome is not errors.Outcome.NOT_RUN
    seen = subject.conclude(failure)
    assert (seen.outcome is errors.Outcome.NOT_RUN) == (may_have_run == 0)
    if booking:
        assert may_have_run <= 1
