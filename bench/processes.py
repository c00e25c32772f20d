"""Measures memory and processor time of the real programs over loopback.

Run with `python -m bench.processes`. Each case starts the stand-ins, the other
instances of the data centre and the measured programs in separate processes.
Processor time is the user and system time of the measured process over
`MEASURE_S` (in ticks of 10 ms) without callers' requests; memory is read from
smaps_rollup. PSS divides shared pages among the programs that map them.
"""

import concurrent.futures
import contextlib
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterator
from typing import Any

import msgspec

from bench import world

SETTLE_S = 8.0
# At the target size the orders of the first plan take longer to finish.
TARGET_SETTLE_S = 45.0
MEASURE_S = 10.0
READY_TIMEOUT_S = 60.0
CONCURRENT_CASES = 4  # Each keeps about one core busy.
ENGINES = (9, 18, 36, 72)
LEADER_ENGINES = (62, 125, 250, 500)
LEADER_INSTANCES = (2, 4, 8, 16, 32)
LEADER_TARGETS = (1500, 3000, 6000, 12_000)
ACCOUNTS = (1000, 2000, 4000, 8000)
LIBRARIES = "asyncio, cbor2, fire, h11, msgspec, websockets, xxhash, statsd"

Row = dict[str, Any]


def read_memory_mb(pid: int) -> dict[str, float]:
    """Returns the resident and proportional set sizes of a process in MB."""
    found = {}
    rollup = pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text()
    for line in rollup.splitlines():
        key, _, value = line.partition(":")
        if key in ("Rss", "Pss"):
            found[f"{key.lower()}_mb"] = round(int(value.split()[0]) / 1024, 1)
    return found


def processor_time_s(pid: int) -> float:
    """Returns user and system time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


class Program:
    """A running program.

    Attributes:
      pid: Its process id.
    """

    def __init__(self, *command: str) -> None:
        """Starts `python` with arguments."""
        self._process = subprocess.Popen(
            [sys.executable, *command],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.pid = self._process.pid

    def stop(self) -> None:
        """Kills the program."""
        self._process.kill()
        self._process.wait()


def _dump(address: str) -> dict[str, Any]:
    with urllib.request.urlopen(f"http://{address}/dump", timeout=5) as answer:
        found: dict[str, Any] = json.load(answer)
        return found


def _wait_for(address: str, key: str, value: object) -> dict[str, Any]:
    end = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            found = _dump(address)
            if found.get(key) == value:
                return found
        time.sleep(0.1)
    raise TimeoutError(f"{key} did not become {value}")


@contextlib.contextmanager
def _settings(*loaded: Any) -> Iterator[list[str]]:
    with tempfile.TemporaryDirectory() as directory:
        paths = []
        for number, content in enumerate(loaded):
            path = pathlib.Path(directory) / f"{number}.json"
            path.write_bytes(msgspec.json.encode(content))
            paths.append(str(path))
        yield paths


def _start_programs(paths: list[str], in_one_process: bool) -> list[Program]:
    if in_one_process:
        return [Program("-m", "bench.both", *paths)]
    return [
        Program("-m", "carobsail.entry", paths[0]),
        Program("-m", "carobsail.control", paths[1]),
    ]


def measure(
    sizes: world.Sizes, in_one_process: bool = False, settle_s: float = SETTLE_S
) -> list[Row]:
    """Measures the leader's instance of a data centre.

    Args:
      sizes: Sizes of the data centre.
      in_one_process: Whether both programs share one process.
      settle_s: Seconds from the start to the measured interval.

    Returns:
      A row for each process of the instance.
    """
    environment = world.Environment(sizes)
    programs: list[Program] = []
    try:
        entry = world.entry_settings(
            environment.instance, environment.key_value_url
        )
        control = world.control_settings(
            environment.instance,
            environment.key_value_url,
            environment.inventory_url,
        )
        with _settings(entry, control) as paths:
            programs = _start_programs(paths, in_one_process)
            _wait_for(control.operator_listen, "role", "leader")
            environment.start()
            _wait_for(entry.operator_listen, "fresh", True)
            time.sleep(settle_s)
            before = [processor_time_s(program.pid) for program in programs]
            time.sleep(MEASURE_S)
            used = [
                processor_time_s(program.pid) - start_s
                for program, start_s in zip(programs, before, strict=True)
            ]
            dump = _dump(entry.operator_listen)
            leader = _dump(control.operator_listen)
            names = ["both"] if in_one_process else ["entry", "control"]
            return [
                {
                    "program": name,
                    **dataclasses.asdict(sizes),
                    "owned": len(dump["targets"]),
                    "members": len(leader["members"]),
                    "role": leader["role"],
                    "core_percent": round(used_s / MEASURE_S * 100, 2),
                    **read_memory_mb(program.pid),
                }
                for name, used_s, program in zip(
                    names, used, programs, strict=True
                )
            ]
    finally:
        for program in programs:
            program.stop()
        environment.stop()


def measure_start() -> list[Row]:
    """Measures each program after start, with no service to connect to."""
    ports = world.free_ports(4)
    addresses = [f"{world.HOST}:{port}" for port in ports]
    instance = world.inventory.Instance(
        world.MEASURED_INSTANCE, "centre-0", addresses[0], addresses[1]
    )
    unused_url = f"http://{addresses[2]}"
    entry = world.entry_settings(instance, unused_url)
    control = world.control_settings(
        instance, unused_url, f"{unused_url}/inventory"
    )
    rows = []
    with _settings(entry, control) as paths:
        cases = (
            ("libraries only", [_library_process()]),
            ("two programs", _start_programs(paths, False)),
        )
        try:
            time.sleep(4.0)
            for case, programs in cases:
                for name, program in zip(
                    ("entry", "control"), programs, strict=False
                ):
                    label = name if len(programs) > 1 else "interpreter"
                    found = read_memory_mb(program.pid)
                    rows.append({"case": case, "program": label} | found)
        finally:
            for _, programs in cases:
                for program in programs:
                    program.stop()
        both = _start_programs(paths, True)[0]
        try:
            time.sleep(4.0)
            found = read_memory_mb(both.pid)
            rows.append({"case": "one program", "program": "both"} | found)
        finally:
            both.stop()
    return rows


def _library_process() -> Program:
    return Program("-c", f"import {LIBRARIES}, time; time.sleep(60)")


def run() -> dict[str, list[Row]]:
    """Measures all cases, some of them concurrently."""
    target = world.Sizes(14, 500)
    cases: dict[str, list[tuple[Any, ...]]]
    cases = {
        "target": [
            (target, in_one_process, TARGET_SETTLE_S)
            for in_one_process in (False, True)
        ],
        "entry_by_engines": [(world.Sizes(2, 2 * n),) for n in ENGINES],
        "leader_by_engines": [
            (world.Sizes(14, n, full=False),) for n in LEADER_ENGINES
        ],
        "leader_by_instances": [
            (world.Sizes(n, 500, full=False),) for n in LEADER_INSTANCES
        ],
        "leader_by_targets": [
            (world.Sizes(14, 62, n, full=False),) for n in LEADER_TARGETS
        ],
        "by_accounts": [
            (world.Sizes(2, 18, 500, n, full=False),) for n in ACCOUNTS
        ],
    }
    rows = {"start": measure_start()}
    with concurrent.futures.ThreadPoolExecutor(CONCURRENT_CASES) as pool:
        futures = {
            name: [pool.submit(measure, *case) for case in found]
            for name, found in cases.items()
        }
        for name, found in futures.items():
            rows[name] = [row for future in found for row in future.result()]
    return rows


if __name__ == "__main__":
    for part, found in run().items():
        for row in found:
            print(part, json.dumps(row))
