"""Measures an instance on the users' platform: messages, plans, memory.

Run with `python -m bench.platformnode`. Messages are those that instances send
each other, encoded as on the wire, for fleets of several sizes; plans are the
planning rounds of the coordinator.
"""

import random
import subprocess
import sys
import time
from typing import Any

from carobsail import (
    coordination,
    copyplan,
    modelvalue,
    routetable,
    summaries,
)

# Instances and engines: the users' sites after growth and the size in two
# years.
SIZES = ((7, 5), (61, 70), (88, 70), (330, 12_000))
MODELS = 210
# Regions at the largest size; an instance is told the loads of its own region.
REGIONS = 10
ROUNDS = 5
# Engines at which an instance has requests in flight: it sends few requests a
# second, and each takes some seconds.
ENGINES_IN_USE = 30
# Models with at least one request a second on the users' days.
HOT_MODELS = 30
MODEL_MB = 70_000.0
ENGINE_MB = 230_000.0
# IPv4 and UDP headers of each datagram.
DATAGRAM_BYTES = 28


def _name(rng: random.Random, prefix: str) -> str:
    return f"{prefix}{rng.getrandbits(40):010x}"


def _summary(rng: random.Random, engines: list[str]) -> summaries.Summary:
    busy = rng.sample(engines, min(ENGINES_IN_USE, len(engines)))
    return summaries.Summary(
        instance="edge-sondrio-a-12",
        data_centre="sondrio-a",
        incarnation=rng.getrandbits(48),
        number=rng.randrange(10_000),
        loads=[
            summaries.TargetUsage(name, rng.randint(1, 3), 1800, 0)
            for name in busy
        ],
        demand=[
            summaries.RequestCount(
                "mihu7a", _name(rng, "m"), rng.randint(1, 99), 1.0
            )
            for _ in range(6)
        ],
        waiting=[],
        adapter_uses=[],
    )


def _fleet_updates(
    rng: random.Random, instances: int, engines: list[str]
) -> list[summaries.FleetUpdate]:
    """Returns the fleet updates that report the load of each engine once."""
    loads = [
        summaries.TargetUsage(name, rng.randint(1, 40), 9000, 2000)
        for name in engines
    ]
    rates = [
        summaries.ModelRate(
            "mihu7a", _name(rng, "m"), round(rng.random() * 40, 1)
        )
        for _ in range(HOT_MODELS)
    ]
    rows = coordination.MAX_ROWS_PER_DATAGRAM
    return [
        summaries.FleetUpdate(
            fence=7,
            number=first,
            holdings=[],
            loads=loads[first : first + rows],
            incoming_models=[],
            members=instances,
            rates=rates if not first else [],
        )
        for first in range(0, len(loads), rows)
    ]


def messages(seed: int) -> list[dict[str, Any]]:
    """Measures the bytes a second of an instance and of the coordinator."""
    rng = random.Random(seed)
    rows = []
    for instances, engine_count in SIZES:
        engines = [_name(rng, "i-") for _ in range(engine_count)]
        summary = len(summaries.encode(_summary(rng, engines)))
        reported_engines = engines
        if engine_count > coordination.MAX_LOADS_FOR_ALL_REGIONS:
            reported_engines = engines[
                : engine_count // REGIONS + coordination.MAX_ROWS_PER_DATAGRAM
            ]
        updates = [
            len(summaries.encode(b))
            for b in _fleet_updates(rng, instances, reported_engines)
        ]
        update_interval_s = max(
            coordination.SUMMARY_INTERVAL_S,
            coordination.FAST_LINK_LOAD_INTERVAL_PER_PEER_S * instances,
        )
        up = (summary + DATAGRAM_BYTES) / coordination.SUMMARY_INTERVAL_S
        down = (
            sum(updates) + DATAGRAM_BYTES * len(updates)
        ) / update_interval_s
        rows.append(
            {
                "instances": instances,
                "engines": engine_count,
                "summary_bytes": summary,
                "boards_bytes": sum(updates),
                "instance_bytes_per_s": round(up + down),
                "giver_bytes_per_s": round((up + down) * (instances - 1)),
            }
        )
    return rows


def plans(seed: int) -> list[dict[str, Any]]:
    """Measures the milliseconds of a plan, by the number of engines."""
    rows = []
    names = [f"m{n}" for n in range(MODELS)]
    models = {
        name: routetable.Model(name, MODEL_MB, 9.0, 2.4, 1.2, 2)
        for name in names
    }
    for _, count in SIZES:
        rng = random.Random(seed)
        pool = routetable.EnginePool(models, 64, 120_000, ENGINE_MB, 8, 20.0)
        engines = [
            copyplan.EngineState(
                f"e{n}",
                f"dc{n % 6}",
                frozenset(rng.sample(names, 3)),
                True,
                on_disk=frozenset(rng.sample(names, 6)),
                in_flight=rng.randint(0, 20),
            )
            for n in range(count)
        ]
        mean_per_s = 3.0 * count / MODELS
        demand = {
            name: modelvalue.ModelDemand(
                rng.expovariate(1.0 / mean_per_s), 100.0, 0, 1.0
            )
            for name in names
        }
        took_ms = []
        for _ in range(ROUNDS):
            began = time.perf_counter()
            moves = copyplan.plan(pool, engines, demand, 20, 100.0)
            took_ms.append(1000.0 * (time.perf_counter() - began))
        rows.append(
            {
                "engines": count,
                "models": MODELS,
                "moves": len(moves),
                "plan_ms": round(sorted(took_ms)[ROUNDS // 2], 1),
            }
        )
    return rows


def process() -> list[dict[str, Any]]:
    """Measures a process that has just imported the program."""
    code = (
        "import resource,time;import carobsail.platform.__main__;"
        "u=resource.getrusage(resource.RUSAGE_SELF);"
        "print(u.ru_maxrss/1024,u.ru_utime+u.ru_stime)"
    )
    out = subprocess.run(
        [sys.executable, "-c", code], check=True, capture_output=True, text=True
    ).stdout.split()
    return [
        {
            "measure": "program imported",
            "memory_mb": round(float(out[0]), 1),
            "cpu_s": round(float(out[1]), 2),
        }
    ]


def run(seed: int) -> dict[str, list[dict[str, Any]]]:
    """Returns all rows by table."""
    return {
        "messages": messages(seed),
        "plans": plans(seed),
        "process": process(),
    }


if __name__ == "__main__":
    for table, rows in run(1).items():
        for row in rows:
            print(table, " ".join(f"{key}={v}" for key, v in row.items()))
