"""Builders of test data that are shared by several tests."""

from carobsail import callerrequests, configuration, errors, exchange

ACCESS_KEY = "test-access-key"


def build_policy(**changes) -> configuration.Policy:
    """Returns a policy with one model, one adapter and a booking service."""
    fields = {
        "account": "counter",
        "models": ["draft"],
        "adapters": ["draft-fancy"],
        "operations": [
            configuration.Operation(path="/v1/chat/completions", due_ms=2000),
            configuration.Operation(
                path="/services/desk/bookings",
                service="desk",
                idempotent=False,
                key_required=True,
                due_ms=1000,
            ),
        ],
    }
    return configuration.Policy(**(fields | changes))


def build_request(
    *,
    path: str = "/v1/chat/completions",
    body: bytes = b'{"model": "draft", "stream": true}',
    **headers: str,
) -> callerrequests.CallerRequest | errors.Failure:
    """Returns a validated request of the client account of `build_policy`."""
    named = {name.replace("_", "-"): text for name, text in headers.items()}
    adapters = {"draft-fancy": "draft"}
    return callerrequests.parse_request(
        build_policy(), adapters, "POST", path, "", named, body
    )


def build_booking(key: str = "k1") -> callerrequests.CallerRequest:
    """Returns a validated non-idempotent request with an idempotency key."""
    return build_request(
        path="/services/desk/bookings", body=b"{}", idempotency_key=key
    )


def build_exchange(
    request: callerrequests.CallerRequest | None = None,
) -> exchange.Exchange:
    """Returns an exchange whose request arrived at time zero."""
    return exchange.Exchange(request or build_request(), arrived_at=0.0)


def build_failure(
    outcome: errors.Outcome,
    reason: errors.Reason = errors.Reason.CONNECTION_LOST,
) -> errors.Failure:
    """Returns a failure of the SEND step."""
    return errors.Failure(reason, errors.Step.SEND, "engine-1", outcome)
