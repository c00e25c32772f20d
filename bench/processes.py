"""Memory and processor time of the real programs over loopback.

Run with `python -m bench.processes`. Each case starts the stand-ins, the
other instances of the data centre and the measured programs in processes of
their own. Processor time is user and system time of the measured process over
`MEASURED_S` (in ticks of 10 ms) without callers' requests; memory is read
from smaps_rollup. PSS shares the pages that programs have in common.
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

SETTLED_S = 8.0
# At the target size the first plan's orders take longer to end.
TARGET_SETTLED_S = 45.0
MEASURED_S = 10.0
READY_TIMEOUT_S = 60.0
AT_ONCE = 4  # Cases at the same time; each keeps about one core busy.
ENGINES = (9, 18, 36, 72)
LEADER_ENGINES = (62, 125, 250, 500)
LEADER_INSTANCES = (2, 4, 8, 16, 32)
LEADER_TARGETS = (1500, 3000, 6000, 12_000)
ACCOUNTS = (1000, 2000, 4000, 8000)
LIBRARIES = "asyncio, cbor2, fire, h11, msgspec, websockets, xxhash, statsd"

Row = dict[str, Any]


def memory_mb(pid: int) -> dict[str, float]:
    """Returns resident and proportional memory of a process in MB."""
    found = {}
    rollup = pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text()
    for line in rollup.splitlines():
        key, _, value = line.partition(":")
        if key in ("Rss", "Pss"):
            found[f"{key.lower()}_mb"] = round(int(value.split()[0]) / 1024, 1)
    return found


def processor_s(pid: int) -> float:
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
        """Ends the program at once."""
        self._process.kill()
        self._process.wait()


def _dump(address: str) -> dict[str, Any]:
    with urllib.request.urlopen(f"http://{address}/dump", timeout=5) as answer:
        found: dict[str, Any] = json.load(answer)
        return found


def _wait(address: str, key: str, value: object) -> dict[str, Any]:
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


def _start(paths: list[str], one: bool) -> list[Program]:
    if one:
        return [Program("-m", "bench.both", *paths)]
    return [
        Program("-m", "carobsail.entry", paths[0]),
        Program("-m", "carobsail.control", paths[1]),
    ]


def measure(
    sizes: world.Sizes, one: bool = False, settled_s: float = SETTLED_S
) -> list[Row]:
    """Measures the leader's instance of a data centre.

    Args:
      sizes: Sizes of the data centre.
      one: Whether both programs share one process.
      settled_s: Seconds from the start to the measured interval.

    Returns:
      A row for each process of the instance.
    """
    around = world.Environment(sizes)
    programs: list[Program] = []
    try:
        entry = world.entry_settings(around.instance, around.key_value_url)
        control = world.control_settings(
            around.instance, around.key_value_url, around.inventory_url
        )
        with _settings(entry, control) as paths:
            programs = _start(paths, one)
            _wait(control.operator_listen, "role", "leader")
            around.start()
            _wait(entry.operator_listen, "fresh", True)
            time.sleep(settled_s)
            before = [processor_s(program.pid) for program in programs]
            time.sleep(MEASURED_S)
            used = [
                processor_s(program.pid) - start_s
                for program, start_s in zip(programs, before, strict=True)
            ]
            dump = _dump(entry.operator_listen)
            leading = _dump(control.operator_listen)
            names = ["both"] if one else ["entry", "control"]
            return [
                {
                    "program": name,
                    **dataclasses.asdict(sizes),
                    "owned": len(dump["targets"]),
                    "members": len(leading["members"]),
                    "role": leading["role"],
                    "core_percent": round(used_s / MEASURED_S * 100, 2),
                    **memory_mb(program.pid),
                }
                for name, used_s, program in zip(
                    names, used, programs, strict=True
                )
            ]
    finally:
        for program in programs:
            program.stop()
        around.stop()


def measure_start() -> list[Row]:
    """Measures each program right after start, with nothing to connect to."""
    ports = world.free_ports(4)
    addresses = [f"{world.HOST}:{port}" for port in ports]
    listed = world.inventory.Instance(
        world.MEASURED_INSTANCE, "centre-0", addresses[0], addresses[1]
    )
    nowhere = f"http://{addresses[2]}"
    entry = world.entry_settings(listed, nowhere)
    control = world.control_settings(listed, nowhere, f"{nowhere}/inventory")
    rows = []
    with _settings(entry, control) as paths:
        cases = (
            ("libraries only", [_library_process()]),
            ("two programs", _start(paths, False)),
        )
        try:
            time.sleep(4.0)
            for case, programs in cases:
                for name, program in zip(
                    ("entry", "control"), programs, strict=False
                ):
                    label = name if len(programs) > 1 else "interpreter"
                    found = memory_mb(program.pid)
                    rows.append({"case": case, "program": label} | found)
        finally:
            for _, programs in cases:
                for program in programs:
                    program.stop()
        both = _start(paths, True)[0]
        try:
            time.sleep(4.0)
            found = memory_mb(both.pid)
            rows.append({"case": "one program", "program": "both"} | found)
        finally:
            both.stop()
    return rows


def _library_process() -> Program:
    return Program("-c", f"import {LIBRARIES}, time; time.sleep(60)")


def run() -> dict[str, list[Row]]:
    """Measures all cases; some run at the same time."""
    target = world.Sizes(14, 500)
    cases: dict[str, list[tuple[Any, ...]]]
    cases = {
        "target": [(target, one, TARGET_SETTLED_S) for one in (False, True)],
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
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
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
