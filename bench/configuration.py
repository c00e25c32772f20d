"""Measures the cost of changing a client account, and the memory."""

import hashlib
import json
import statistics
import time
import tracemalloc
from typing import Any

from carobsail import configuration

SIZES = (1000, 2000, 4000, 8000)
CHANGES = 40
TEMPLATES = 10


def _template(name: str) -> dict[str, Any]:
    operations: list[dict[str, Any]] = [
        {"path": f"/v1/operation-{i}", "due_ms": {"$param": "due_ms"}}
        for i in range(5)
    ]
    return {
        "kind": "template",
        "name": name,
        "parameters": [
            {"name": "due_ms", "type": "integer", "default": 2000},
            {"name": "models", "type": "list", "required": True},
        ],
        "account": {
            "models": {"$param": "models"},
            "adapters": ["clerk"],
            "operations": operations,
        },
    }


def build_account(i: int, due_ms: int) -> bytes:
    """Returns the document of account `i`."""
    key_hash = hashlib.sha256(str(i).encode()).hexdigest()
    return json.dumps(
        {
            "kind": "account",
            "name": f"account-{i}",
            "template": f"template-{i % TEMPLATES}",
            "parameters": {"models": ["m1", "m2"], "due_ms": due_ms},
            "key_hashes": [key_hash],
        }
    ).encode()


def build_documents(accounts: int, deadlines: int) -> dict[str, bytes]:
    """Returns templates and accounts by key.

    Args:
      accounts: Number of accounts.
      deadlines: Number of different deadlines among the accounts.
    """
    found = {
        f"{configuration.TEMPLATES_PREFIX}template-{i}": json.dumps(
            _template(f"template-{i}")
        ).encode()
        for i in range(TEMPLATES)
    }
    for i in range(accounts):
        key = f"{configuration.ACCOUNTS_PREFIX}account-{i}"
        found[key] = build_account(i, 1000 + i % deadlines)
    return found


def _apply(
    base: configuration.ConfigurationSet,
    revision: int,
    changes: dict[str, bytes | None],
) -> configuration.ConfigurationSet:
    result = base.with_documents(revision, changes)
    assert isinstance(result, configuration.ConfigurationSet)
    assert not result.failures
    return result


def _bytes_per_account(accounts: int, deadlines: int) -> int:
    documents: dict[str, bytes | None] = {
        **build_documents(accounts, deadlines)
    }
    tracemalloc.start()
    kept = _apply(configuration.ConfigurationSet(), 1, documents)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round(memory / len(kept.accounts))


def measure(accounts: int) -> dict[str, Any]:
    """Measures a configuration with a number of accounts."""
    documents: dict[str, bytes | None] = {**build_documents(accounts, accounts)}
    start = time.perf_counter()
    built = _apply(configuration.ConfigurationSet(), 1, documents)
    full_s = time.perf_counter() - start
    times_ms = []
    for i in range(CHANGES):
        key = f"{configuration.ACCOUNTS_PREFIX}account-{i}"
        start = time.perf_counter()
        built = _apply(built, 2 + i, {key: build_account(i, 900)})
        times_ms.append((time.perf_counter() - start) * 1000)
    start = time.perf_counter()
    snapshot = {key: data for key, data in documents.items() if data}
    snapshot[f"{configuration.ACCOUNTS_PREFIX}account-0"] = build_account(
        0, 901
    )
    again = built.with_snapshot(1000, snapshot)
    assert isinstance(again, configuration.ConfigurationSet)
    snapshot_ms = (time.perf_counter() - start) * 1000
    start = time.perf_counter()
    for _ in range(1000):
        built.authenticate(str(accounts - 1))
    authenticate_us = (time.perf_counter() - start) * 1000
    del built, again
    return {
        "accounts": accounts,
        "full_ms": round(full_s * 1000, 1),
        "change_median_ms": round(statistics.median(times_ms), 3),
        "change_max_ms": round(max(times_ms), 3),
        "snapshot_40_changed_ms": round(snapshot_ms, 2),
        "authenticate_us": round(authenticate_us, 2),
        "bytes_all_deadlines_differ": _bytes_per_account(accounts, accounts),
        "bytes_20_deadlines": _bytes_per_account(accounts, 20),
    }


def run() -> list[dict[str, Any]]:
    """Measures all sizes."""
    return [measure(accounts) for accounts in SIZES]


if __name__ == "__main__":
    for row in run():
        print(json.dumps(row))
