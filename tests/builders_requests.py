"""Builders of test data for routing, admission and estimation."""

from carobsail import admission, engines, estimation, inventory, routing


def target(name="e1", slots=4, prefill=1000.0, decode=40.0, dc="midrand"):
    return inventory.Target(
        name,
        inventory.Kind.ENGINE,
        dc,
        "10.0.0.1:80",
        "clerk-assist",
        slots=slots,
        prefill_tokens_per_s=prefill,
        decode_tokens_per_s=decode,
    )


def work(prompt=100, output=10.0, **fields):
    return estimation.Work(prompt, output, **fields)


def cache_event(sequence, kind="stored", blocks=(1,), incarnation=1):
    return engines.CacheEvent(sequence, incarnation, kind, tuple(blocks))


def route_request(**fields):
    defaults = {
        "model": "m",
        "due_at": 10.0,
        "first_token_due_at": 10.0,
        "body_bytes": 1000,
        "response_bytes": 1000,
    }
    return routing.RouteRequest(**(defaults | fields))


def target_view(name, finish=1.0, first=0.1, **fields):
    prediction = estimation.Prediction(0.0, first, finish)
    defaults = {"models": frozenset({"m"}), "prediction": prediction}
    return routing.TargetView(name=name, **(defaults | fields))


def queue_entry(attempt, account="a", due_at=100.0, service_s=1.0, **fields):
    return admission.QueueEntry(attempt, account, due_at, service_s, **fields)
