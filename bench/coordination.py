"""Measures the coordination of one data centre on virtual time.

Run with `python -m bench.coordination` from the root of the repository. All
figures except processor time are deterministic for a seed. Bytes are those that
the processes of one node send and receive: encoded messages, websocket frame
headers and 40 bytes of TCP/IP headers. Links between entry processes, which the
control process does not open, are not included.
"""

import asyncio
import itertools
import random
import statistics
import time
from collections.abc import Callable, Coroutine
from typing import Any

from carobsail import (
    configurationrelay,
    keyvalue,
    membership,
    messages,
    ownership,
)
from tests import builders_coordination as build

SIZES = (2, 4, 8, 16, 32)
# 12,000 engines over 24 data centres.
TARGETS = 500
MEASURE_S = 60.0
SEED_COUNT = 5
# TCP/IP headers 40, websocket header 2 and mask 4, CBOR array and length 3.
OVERHEAD_BYTES = 49
HEARTBEAT_COUNT = 20_000

Row = dict[str, Any]


def _run_virtual(work: Coroutine[Any, Any, Any]) -> Any:
    return build.run_virtual(work)


async def _start_centre(
    size: int, seed: int, targets: int = TARGETS
) -> build.SimulatedDataCentre:
    centre = build.SimulatedDataCentre(
        keyvalue.MemoryKeyValue(), seed=seed, targets=targets
    )
    for number in range(size):
        centre.add(f"instance-{number:02}")
    await asyncio.sleep(15)
    assert centre.leader()
    assert len(centre.instances_that_may_order()) == targets
    return centre


async def _wait_until(condition: Callable[[], bool], step_s: float) -> float:
    """Polls until a condition holds; returns the seconds that it took."""
    loop = asyncio.get_running_loop()
    since = loop.time()
    for _ in itertools.count():
        if condition():
            break
        await asyncio.sleep(step_s)
    return loop.time() - since


class _ByteMeter:
    """Counts the bytes that each instance sends and receives."""

    def __init__(self, centre: build.SimulatedDataCentre) -> None:
        self._names = list(centre.states)
        self._links = [x for x in centre.network.links if not x.closed]
        for link in self._links:
            link.metered = True
        self._before = self._count()

    def _count(self) -> dict[str, int]:
        total = dict.fromkeys(self._names, 0)
        for link in self._links:
            sender, receiver = link._other.peer.instance, link.peer.instance
            if sender != receiver:  # Loopback traffic is not on the network.
                size = link.sent_bytes + link.sent_messages * OVERHEAD_BYTES
                total[sender] += size
                total[receiver] += size
        return total

    def bytes_per_s(self, duration_s: float) -> dict[str, float]:
        """Returns the bytes sent and received a second by each instance."""
        after = self._count()
        return {
            name: (after[name] - before) / duration_s
            for name, before in self._before.items()
        }


async def _traffic(size: int, seed: int) -> Row:
    centre = await _start_centre(size, seed)
    leader = centre.leader()
    meter = _ByteMeter(centre)
    centre.service.calls.clear()
    await asyncio.sleep(MEASURE_S)
    calls = dict(centre.service.calls)
    node_bytes_per_s = meter.bytes_per_s(MEASURE_S)
    others = [b for n, b in node_bytes_per_s.items() if n != leader]
    await centre.close()
    return {
        "measure": "steady state",
        "instances": size,
        "key_value_calls_per_s": round(sum(calls.values()) / MEASURE_S + 1, 2),
        "leader_node_bytes_per_s": round(node_bytes_per_s[leader]),
        "other_node_bytes_per_s": round(statistics.mean(others)),
    }


async def _change(size: int, seed: int) -> Row:
    centre = await _start_centre(size, seed)
    loop = asyncio.get_running_loop()
    rng = random.Random(seed)
    applied, recorded = [], []
    for number in range(10):
        await asyncio.sleep(rng.uniform(1.0, 3.0))
        revision = await centre.change(number)
        since = loop.time()

        def in_force(revision: int = revision) -> bool:
            return centre.in_force(revision)

        applied.append(await _wait_until(in_force, 0.005))
        for _ in itertools.count():
            if (await centre.stored("applied"))[0]["revision"] >= revision:
                break
            await asyncio.sleep(0.005)
        recorded.append(loop.time() - since)
    await centre.close()
    return {
        "measure": "configuration change, 10 changes",
        "instances": size,
        "in_force_mean_s": round(statistics.mean(applied), 3),
        "in_force_max_s": round(max(applied), 3),
        "recorded_max_s": round(max(recorded), 3),
    }


async def _leader_death(seed: int) -> float:
    centre = await _start_centre(6, seed)
    await asyncio.sleep(random.Random(seed).uniform(0, 2))
    await centre.kill_control(centre.leader())
    elapsed_s = await _wait_until(lambda: centre.leader() is not None, 0.01)
    await centre.close()
    return elapsed_s


async def _owner_death(seed: int) -> float:
    centre = await _start_centre(6, seed)
    await asyncio.sleep(random.Random(seed).uniform(0, 2))
    leader = centre.leader()
    await centre.kill_entry(next(n for n in centre.entries if n != leader))
    elapsed_s = await _wait_until(
        lambda: len(centre.instances_that_may_order()) == len(centre.targets),
        0.01,
    )
    await centre.close()
    return elapsed_s


def _takeover(
    name: str, measure: Callable[[int], Coroutine[Any, Any, float]], seed: int
) -> Row:
    times = [_run_virtual(measure(seed + n)) for n in range(SEED_COUNT)]
    return {
        "measure": f"takeover after {name} death",
        "instances": 6,
        "seeds": SEED_COUNT,
        "mean_s": round(statistics.mean(times), 2),
        "max_s": round(max(times), 2),
    }


def _processor_time() -> Row:
    """Measures what one heartbeat of an entry process costs its leader."""
    members = membership.Membership()
    table = ownership.OwnershipTable()
    source = configurationrelay.ConfigurationRelay(
        configurationrelay.ConfigurationState()
    )
    source.replace(1, {})
    names = [f"instance-{n:02}" for n in range(32)]
    targets = [f"target-{n}" for n in range(TARGETS)]
    owners = table.compute_assignment(targets, names, 0.0)
    assert owners is not None
    table.apply_written(1, owners)
    encoded = [
        messages.encode(
            messages.Heartbeat(n, True, False, 1, epoch=1, grant_version=0)
        )
        for n in range(HEARTBEAT_COUNT)
    ]
    started = time.process_time()
    for number, data in enumerate(encoded):
        beat = messages.decode(data)
        assert isinstance(beat, messages.Heartbeat)
        name = names[number % len(names)]
        process = membership.Process(name, "entry")
        now = number / len(names) * membership.HEARTBEAT_INTERVAL_S
        members.record_heartbeat(process, 1, beat, now)
        source.record_applied(process, beat.revision)
        grant = table.respond_to_heartbeat(name, beat, now, True, 1.0)
        if grant is not None:
            messages.encode(grant)
    elapsed_s = time.process_time() - started
    return {
        "measure": "processor time a heartbeat, decode to encoded grant",
        "instances": 32,
        "cpu_us": round(elapsed_s / HEARTBEAT_COUNT * 1e6, 1),
    }


def run(seed: int) -> list[Row]:
    """Returns the measured rows."""
    rows = [_run_virtual(_traffic(size, seed)) for size in SIZES]
    rows += [_run_virtual(_change(size, seed)) for size in SIZES]
    rows.append(_takeover("leader", _leader_death, seed))
    rows.append(_takeover("owner", _owner_death, seed))
    rows.append(_processor_time())
    return rows


if __name__ == "__main__":
    for row in run(1):
        print(" ".join(f"{key}={value}" for key, value in row.items()))
