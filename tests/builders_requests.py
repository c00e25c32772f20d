"""Test-data builders of the request path's decision modules."""

from carobsail import engines, estimation, inventory


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


def event(sequence, kind="stored", blocks=(1,), incarnation=1):
    return engines.CacheEvent(sequence, incarnation, kind, tuple(blocks))
