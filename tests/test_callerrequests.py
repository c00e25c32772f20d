"""Guards the checks of callers' requests."""

import json

import builders
import pytest

from carobsail import callerrequests, errors


@pytest.mark.parametrize(
    ("arguments", "reason", "status"),
    [
        ({"path": "/nowhere"}, errors.Reason.UNKNOWN_PATH, 404),
        ({"body": b"{"}, errors.Reason.BAD_REQUEST, 400),
        ({"body": b'{"model": "none"}'}, errors.Reason.UNKNOWN_MODEL, 404),
        ({"x_deadline_ms": "-1"}, errors.Reason.BAD_REQUEST, 400),
        ({"x_deadline_ms": "0"}, errors.Reason.BAD_REQUEST, 400),
        ({"idempotency_key": "k" * 256}, errors.Reason.BAD_REQUEST, 400),
        (
            {"path": "/services/desk/bookings"},
            errors.Reason.KEY_REQUIRED,
            400,
        ),
    ],
)
def test_bad_input_is_refused_as_not_run(arguments, reason, status):
    """R4: bad input gets a clear error and is not sent to a target."""
    failure = builders.build_request(**arguments)
    assert failure.reason is reason
    assert failure.outcome is errors.Outcome.NOT_RUN
    code, headers, body = callerrequests.error_response(failure)
    assert code == status
    assert ("x-outcome", "not_run") in headers
    error = json.loads(body)["error"]
    assert error["code"] == reason
    assert error["step"] == "read"
    assert error["peer"] == "caller"


def test_adapter_is_resolved_to_its_model():
    """R2: callers may pass the name of an adapter as the model."""
    request = builders.build_request(body=b'{"model": "draft-fancy"}')
    assert (request.model, request.adapter) == ("draft", "draft-fancy")


def test_callers_may_only_shorten_the_deadline():
    """A caller must not extend the deadline of its client account."""
    assert builders.build_request(x_deadline_ms="500").due_s == 0.5
    assert builders.build_request(x_deadline_ms="99999").due_s == 2.0


def test_fingerprint_separates_adapters():
    """A crash with one adapter must not make requests of another suspect."""
    first = callerrequests.fingerprint(b"{}", "m", "a", "/p")
    assert first != callerrequests.fingerprint(b"{}", "m", "b", "/p")
    assert first == callerrequests.fingerprint(b"{}", "m", "a", "/p")
