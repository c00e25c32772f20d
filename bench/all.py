"""Runs the benchmarks and rewrites the capacity page.

`python -m bench.all` runs all parts, `python -m bench.all --parts=links,claims`
runs some of them, and `python -m bench.all --parts=none` only rewrites the page
and the plots from docs/results.json. Each part runs in a separate process; its
rows replace the earlier rows of the part in docs/results.json.
"""

import contextlib
import dataclasses
import datetime
import json
import multiprocessing
import os
import pathlib
import platform
import sys
import time
from collections.abc import Callable, Iterator
from typing import Any

import fire

from bench import (
    capacity,
    claims,
    configuration,
    coordination,
    links,
    page,
    placement,
    platformnode,
    processes,
    relay,
    routing,
    traffic,
    workload,
)

SEED = 1
PART_TIMEOUT_S = 480.0

Rows = dict[str, list[dict[str, Any]]]


@dataclasses.dataclass(slots=True, frozen=True)
class Part:
    """A benchmark.

    Attributes:
      run: Runs the benchmark and returns its rows by table.
      sizes: Sizes that it measures.
      seeds: Random seeds; empty if nothing is random.
    """

    run: Callable[[], Rows]
    sizes: dict[str, Any]
    seeds: tuple[int, ...] = ()


def _routing() -> Rows:
    return {"policies": routing.run(SEED)}


def _placement() -> Rows:
    rows = placement.run(SEED)
    return {
        "policies": [row for row in rows if "policy" in row],
        "cost": [row for row in rows if "policy" not in row],
    }


def _coordination() -> Rows:
    found: Rows = {}
    for row in coordination.run(SEED):
        name = row.pop("measure")
        found.setdefault(name, []).append(row)
    return found


def _traffic() -> Rows:
    rows = traffic.run(SEED)
    return {
        "node": [row for row in rows if row["message"] == "all"],
        "messages": [
            row
            for row in rows
            if row["message"] != "all" and row["instances"] == 14
        ],
    }


PARTS: dict[str, Part] = {
    "capacity": Part(
        capacity.run,
        {
            "targets": capacity.TARGETS,
            "blocks": capacity.BLOCKS,
            "listed": capacity.LISTED_TARGETS,
            "accounts": capacity.ACCOUNTS,
        },
        (1,),
    ),
    "configuration": Part(
        lambda: {"accounts": configuration.run()},
        {"accounts": configuration.SIZES},
    ),
    "claims": Part(
        lambda: {"claims": claims.run(SEED)},
        {"claims_per_s": claims.RATES, "interval_s": claims.INTERVALS_S},
        (SEED,),
    ),
    "coordination": Part(
        _coordination,
        {"instances": coordination.SIZES, "targets": coordination.TARGETS},
        tuple(range(SEED, SEED + coordination.SEED_COUNT)),
    ),
    "traffic": Part(
        _traffic,
        {
            "instances": traffic.SIZES,
            "engines_per_instance": traffic.ENGINES_PER_INSTANCE,
        },
        (SEED,),
    ),
    "links": Part(
        lambda: {"chunk": links.run(SEED)}, {"messages": links.MESSAGES}
    ),
    "relay": Part(
        lambda: {"events": list(relay.run())},
        {"streams": (*relay.STREAMS, relay.HALF_GOAL_STREAMS)},
    ),
    "routing": Part(_routing, {"duration_s": workload.DURATION_S}, (SEED,)),
    "placement": Part(
        _placement, {"duration_s": placement.DURATION_S}, (SEED,)
    ),
    "platform": Part(
        lambda: platformnode.run(SEED),
        {"instances_and_engines": platformnode.SIZES},
        (SEED,),
    ),
    "processes": Part(
        processes.run,
        {
            "engines": processes.ENGINES,
            "leader_engines": processes.LEADER_ENGINES,
            "leader_instances": processes.LEADER_INSTANCES,
            "leader_targets": processes.LEADER_TARGETS,
            "accounts": processes.ACCOUNTS,
        },
    ),
}


def _child(pipe: Any, name: str) -> None:
    pipe.send(PARTS[name].run())


def run_part(name: str) -> dict[str, Any]:
    """Runs a part in a separate process.

    Returns:
      Command, sizes, seeds, date, duration and rows of the part.

    Raises:
      RuntimeError: The part failed or took too long.
    """
    context = multiprocessing.get_context("spawn")
    pipe, child = context.Pipe()
    process = context.Process(target=_child, args=(child, name))
    started = time.monotonic()
    process.start()
    child.close()
    rows = None
    if pipe.poll(PART_TIMEOUT_S):
        with contextlib.suppress(EOFError):
            rows = pipe.recv()
    process.join(10.0)
    if process.is_alive():
        process.terminate()
        process.join()
    if rows is None:
        raise RuntimeError(f"benchmark part {name} failed or timed out")
    part = PARTS[name]
    now = datetime.datetime.now(datetime.UTC)
    return {
        "command": f"python -m bench.all --parts={name}",
        "sizes": part.sizes,
        "seeds": part.seeds,
        "date": now.strftime("%Y-%m-%d %H:%M UTC"),
        "took_s": round(time.monotonic() - started, 1),
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "rows": rows,
    }


def _selected_parts(parts: str | tuple[str, ...]) -> Iterator[str]:
    names = parts.split(",") if isinstance(parts, str) else parts
    if names == ["all"]:
        names = list(PARTS)
    for name in names:
        if name != "none":
            if name not in PARTS:
                raise SystemExit(
                    f"unknown part {name}: expected one of {list(PARTS)}"
                )
            yield name


def main(parts: str | tuple[str, ...] = "all", docs: str = "docs") -> None:
    """Runs parts and rewrites the page and the plots.

    Args:
      parts: Names of parts, `all` or `none`.
      docs: Directory that contains the page and the results.
    """
    directory = pathlib.Path(docs)
    results = page.load(directory)
    failed = []
    for name in list(_selected_parts(parts)):
        try:
            results[name] = run_part(name)
        except RuntimeError as error:
            print(error, file=sys.stderr)
            failed.append(name)
            continue
        print(f"part={name} took_s={results[name]['took_s']}", flush=True)
        ordered = {n: results[n] for n in PARTS if n in results}
        text = json.dumps(ordered, indent=1) + "\n"
        (directory / page.RESULTS).write_text(text)
    page.rewrite(directory)
    if failed:
        raise SystemExit(1)


if __name__ == "__main__":
    fire.Fire(main)
