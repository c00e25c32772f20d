"""Measures how memory and processor time of the decision modules grow.

Run with `python -m bench.capacity`. Memory is what tracemalloc counts for the
state alone; processor time is the median of repetitions in one process.
"""

import dataclasses
import json
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from bench import fleet
from carobsail import (
    configuration,
    configurationrelay,
    directory,
    dispatcher,
    engines,
    estimation,
    inventory,
    membership,
    messages,
    prefixes,
    routing,
)

TARGETS = (62, 125, 250, 500)
BLOCKS = (8192, 16_384, 32_768, 65_536)
LISTED_TARGETS = (1500, 3000, 6000, 12_000)
ACCOUNTS = (1000, 2000, 4000, 8000)
REPEATS = 40
ENGINES_PER_OWNER = 36
ADAPTERS_PER_ENGINE = 10
PROMPT_BYTES = 8192

Row = dict[str, Any]


def _median_us(action: Callable[[], object], repeats: int = REPEATS) -> float:
    times = []
    for _ in range(repeats):
        started = time.process_time_ns()
        action()
        times.append((time.process_time_ns() - started) / 1000)
    return round(statistics.median(times), 1)


def _retained_kb(build: Callable[[], object]) -> tuple[float, float]:
    """Returns the memory that a result retains and the peak, in kB."""
    tracemalloc.start()
    kept = build()
    size, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return round(size / 1000, 1), round(peak / 1000, 1)


def _build_loads(
    platform_inventory: inventory.Inventory,
) -> dict[str, messages.Loads]:
    """Returns the full load report of each owner in the data centre."""
    found: dict[str, list[messages.TargetLoad]] = {}
    for number, target in enumerate(
        platform_inventory.targets_in(fleet.LOCAL_DATA_CENTRE)
    ):
        owner = f"instance-{number // ENGINES_PER_OWNER:02}"
        adapters = [
            f"adapter-{(number + n) % fleet.ADAPTERS}"
            for n in range(ADAPTERS_PER_ENGINE)
        ]
        models = fleet.resident_models(number)
        load = messages.TargetLoad(target.name, 8, 4000, models, adapters, True)
        found.setdefault(owner, []).append(load)
    return {o: messages.Loads(1, True, loads) for o, loads in found.items()}


def _build_directory(
    platform_inventory: inventory.Inventory,
) -> directory.TargetDirectory:
    known = directory.TargetDirectory(
        fleet.LOCAL_DATA_CENTRE,
        dispatcher.Dispatcher(),
        lambda _: [],
        estimation.Slowdowns(),
        prefixes.PrefixIndex(),
    )
    known.update_inventory(platform_inventory, 1)
    for owner, loads in _build_loads(platform_inventory).items():
        data = messages.encode(loads)
        decoded = messages.decode(data)
        assert isinstance(decoded, messages.Loads)
        known.record_loads(owner, decoded, 0.0)
    return known


def measure_targets(count: int) -> Row:
    """Measures a routing choice and load reports, for known targets."""
    platform_inventory = fleet.build_inventory([], count, count)
    known = _build_directory(platform_inventory)
    policy = routing.create("due_time", random.Random(1))
    demand = directory.RequestDemand(
        "model-1", "model-1", "adapter-1", 400, 150.0
    )
    request = routing.RouteRequest(
        "model-1", 10.0, 1.0, "adapter-1", 2000, 30_000
    )
    reports = _build_loads(platform_inventory)
    encoded_full = {o: messages.encode(m) for o, m in reports.items()}
    encoded_counts = {
        owner: messages.encode(
            messages.Loads(1, False, [], {}, [x.counts() for x in m.targets])
        )
        for owner, m in reports.items()
    }

    def views() -> list[routing.TargetView]:
        return known.target_views(demand, 1.0, False)

    def receive(sent: dict[str, bytes]) -> None:
        for owner, data in sent.items():
            loads = messages.decode(data)
            assert isinstance(loads, messages.Loads)
            known.record_loads(owner, loads, 1.0)

    candidates = views()
    all_candidates = [
        dataclasses.replace(candidates[0], name=f"t{n}") for n in range(count)
    ]
    return {
        "targets": count,
        "candidates": len(candidates),
        "views_us": _median_us(views),
        "choose_us": _median_us(
            lambda: policy.choose(request, candidates, 1.0)
        ),
        "choose_all_us": _median_us(
            lambda: policy.choose(request, all_candidates, 1.0)
        ),
        "loads_received_us": _median_us(lambda: receive(encoded_full)),
        "counts_received_us": _median_us(lambda: receive(encoded_counts)),
        "loads_bytes": sum(len(data) for data in encoded_full.values()),
        "counts_bytes": sum(len(data) for data in encoded_counts.values()),
        "directory_kb": _retained_kb(
            lambda: _build_directory(platform_inventory)
        )[0],
    }


def measure_prefixes(blocks: int) -> Row:
    """Measures the prefix index for a number of blocks that it holds."""
    rng = random.Random(1)
    per_engine = blocks // ENGINES_PER_OWNER

    def build() -> prefixes.PrefixIndex:
        index = prefixes.PrefixIndex(blocks)
        for number in range(ENGINES_PER_OWNER):
            held = tuple(rng.getrandbits(64) for _ in range(per_engine))
            event = engines.CacheEvent(1, 1, "stored", held)
            index.apply(f"engine-{number}", event)
        return index

    index = build()
    held = len(index)
    prompt = rng.randbytes(PROMPT_BYTES)
    hashes = prefixes.hash_blocks("model-1", "", prompt)
    index.record_sent_prompt("engine-1", hashes)
    return {
        "blocks": blocks,
        "held": held,
        "index_kb": _retained_kb(build)[0],
        "hash_8_kib_us": _median_us(
            lambda: prefixes.hash_blocks("model-1", "", prompt)
        ),
        "share_us": _median_us(lambda: index.cached_share("engine-1", hashes)),
    }


def measure_inventory(count: int) -> Row:
    """Measures parsing the inventory document of a number of targets."""
    engines_here = min(500, count // fleet.DATA_CENTRES)
    document = fleet.encode_inventory(
        fleet.build_inventory([], engines_here, count)
    )
    kept, peak = _retained_kb(lambda: inventory.parse(document))
    return {
        "targets": count,
        "document_kb": round(len(document) / 1000, 1),
        "parse_ms": _median_us(lambda: inventory.parse(document), 10) / 1000,
        "inventory_kb": kept,
        "parse_peak_kb": peak,
    }


def measure_relay(accounts: int) -> Row:
    """Measures the change of one account at the leader and at a receiver."""
    documents = fleet.configuration_documents(accounts)
    source = configurationrelay.ConfigurationRelay(
        configurationrelay.ConfigurationState()
    )
    source.replace(1, documents)
    receivers = [
        membership.Process(f"instance-{n:02}", role)
        for n in range(fleet.INSTANCES)
        for role in ("entry", "control")
    ][1:]
    for process in receivers:
        source.record_applied(process, 1)
    revisions = iter(range(2, 1_000_000))
    key = f"{configurationrelay.CONFIGURATION_PREFIX}accounts/account-1"

    def change() -> None:
        revision = next(revisions)
        value = fleet.changed_account(1, 1000 + revision)
        source.apply_events(
            [configurationrelay.keyvalue.WatchEvent(key, value, revision)]
        )
        now = revision * 1.0
        for process in receivers:
            message = source.next_message(process, now)
            assert message is not None
            messages.encode(message)
            source.mark_sent(process, now)
            source.record_applied(process, revision)

    snapshot = messages.Snapshot(1, documents)
    rendered = configuration.ConfigurationSet()
    return {
        "accounts": accounts,
        "receivers": len(receivers),
        "leader_change_us": _median_us(change),
        "snapshot_kb": round(len(messages.encode(snapshot)) / 1000, 1),
        "rendered_kb": _retained_kb(
            lambda: rendered.with_snapshot(1, documents)
        )[0],
        "documents_kb": _retained_kb(
            lambda: fleet.configuration_documents(accounts)
        )[0],
    }


def run() -> dict[str, list[Row]]:
    """Measures all sizes."""
    return {
        "targets": [measure_targets(count) for count in TARGETS],
        "prefixes": [measure_prefixes(count) for count in BLOCKS],
        "inventory": [measure_inventory(count) for count in LISTED_TARGETS],
        "relay": [measure_relay(count) for count in ACCOUNTS],
    }


if __name__ == "__main__":
    for part, rows in run().items():
        for row in rows:
            print(part, json.dumps(row))
