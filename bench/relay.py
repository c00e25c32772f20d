"""Measures the cost of relaying streamed token events through two instances.

`python -m bench.relay` starts on loopback, in separate processes: engine
stand-ins, an instance that owns them, an instance that takes the callers'
requests, a stand-in of the leader, and a client. Both instances run the servers
and links of the entry program. The figures are the processor time of the owner
and of the entry instance for each event, minus their idle time, and the latency
from the engine's write to the client's read, minus that of a client that reads
from the engine directly. `--profile FILE` writes profiles of both instances to
FILE.owner and FILE.entry instead.
"""

import argparse
import asyncio
import cProfile
import multiprocessing
import multiprocessing.connection
import socket
import time
from collections.abc import Iterator
from typing import Any

from bench import checks
from bench import relayparts as parts
from carobsail import entry, keyvalue

STREAMS = (1, 4, 16, 64, 256)
# 12,800 events/s, half of the goal of 25,000 on one core.
HALF_GOAL_STREAMS = checks.RELAY_STREAMS
ENGINES = 64
WARM_UP_S = 0.5
WINDOW_S = 1.5
IDLE_S = 1.5
SETTLE_S = 2.5

Row = dict[str, Any]


def _settings(name: str, ports: list[int]) -> entry.EntrySettings:
    callers, peer, operators = (f"{parts.HOST}:{port}" for port in ports)
    return entry.EntrySettings(
        instance=name,
        data_centre=parts.DATA_CENTRE,
        caller_listen=callers,
        peer_listen=peer,
        operator_listen=operators,
        key_value_url="http://127.0.0.1:1",
        peer_secrets=[parts.SECRET],
    )


def _run_instance(
    pipe: multiprocessing.connection.Connection,
    name: str,
    ports: list[int],
    profile_path: str,
) -> None:
    """Runs an entry instance; answers each command with its processor time."""
    profile = cProfile.Profile(time.process_time) if profile_path else None

    async def run() -> None:
        loop = asyncio.get_running_loop()
        servers = await entry.start(
            _settings(name, ports), keyvalue.MemoryKeyValue()
        )
        stop = asyncio.Event()

        def answer() -> None:
            try:
                command = pipe.recv()
            except EOFError:
                loop.remove_reader(pipe.fileno())
                stop.set()  # The parent process has exited.
                return
            if command == "profile" and profile:
                profile.enable()
            elif command == "stop":
                stop.set()
            pipe.send(time.process_time())

        loop.add_reader(pipe.fileno(), answer)
        pipe.send("ready")
        await stop.wait()
        loop.remove_reader(pipe.fileno())
        if profile:
            profile.disable()
            profile.dump_stats(f"{profile_path}.{name}")
        await servers.kill()

    asyncio.run(run())


def _free_ports(count: int) -> list[int]:
    sockets = [socket.create_server((parts.HOST, 0)) for _ in range(count)]
    found = [s.getsockname()[1] for s in sockets]
    for taken in sockets:
        taken.close()
    return found


class _Processes:
    """The processes of one run."""

    def __init__(self, profile_path: str) -> None:
        self._context = multiprocessing.get_context("spawn")
        self._started: list[tuple[Any, Any]] = []
        _, ports = self._start(parts.run_engines, ENGINES)
        self.engine_ports: list[int] = ports.recv()
        allocated_ports = _free_ports(6)
        self.port = allocated_ports[3]
        instances = {"owner": allocated_ports[:3], "entry": allocated_ports[3:]}
        self.instances = {
            name: self._start(_run_instance, name, own, profile_path)[1]
            for name, own in instances.items()
        }
        for pipe in self.instances.values():
            pipe.recv()
        addresses = {n: f"{parts.HOST}:{p[1]}" for n, p in instances.items()}
        self._start(parts.run_leader, addresses, self.engine_ports)
        _, self._client = self._start(parts.run_client)
        time.sleep(SETTLE_S)

    def _start(self, run: Any, *args: Any) -> tuple[Any, Any]:
        pipe, child = self._context.Pipe()
        process = self._context.Process(
            target=run, args=(child, *args), daemon=True
        )
        process.start()
        child.close()
        self._started.append((process, pipe))
        return process, pipe

    def cpu_s(self, command: str = "time") -> dict[str, float]:
        """Sends a command; returns the processor seconds of each instance."""
        for pipe in self.instances.values():
            pipe.send(command)
        return {name: pipe.recv() for name, pipe in self.instances.items()}

    def idle(self) -> dict[str, float]:
        """Returns the processor seconds per second without streams."""
        before = self.cpu_s()
        time.sleep(IDLE_S)
        after = self.cpu_s()
        return {n: (after[n] - before[n]) / IDLE_S for n in after}

    def measure(self, ports: list[int], streams: int) -> Row:
        """Reads streams; returns events, latencies and processor time."""
        open_s = streams * parts.OPEN_INTERVAL_S
        tokens = round((WARM_UP_S + 1.5 * open_s + WINDOW_S) / parts.INTERVAL_S)
        self._client.send((ports, streams, tokens, WARM_UP_S, WINDOW_S))
        self._client.recv()
        before, opened = self.cpu_s(), time.monotonic()
        self._client.recv()
        after, closed = self.cpu_s(), time.monotonic()
        event_count, (p50, p99), incomplete = self._client.recv()
        if incomplete:
            raise RuntimeError(
                f"{incomplete} of {streams} answers were incomplete"
            )
        used = {n: after[n] - before[n] for n in after}
        return {
            "events": event_count,
            "p50_ms": p50,
            "p99_ms": p99,
            "used_s": used,
            "window_s": closed - opened,
        }

    def stop(self) -> None:
        """Stops the processes of this run."""
        for process, pipe in self._started:
            try:
                pipe.send(None if pipe is self._client else "stop")
            except OSError:
                pass
            process.join(5.0)
            if process.is_alive():
                process.terminate()


def _row(processes: _Processes, idle: dict[str, float], streams: int) -> Row:
    found = processes.measure([processes.port], streams)
    cpu_us = {
        name: (used - idle[name] * found["window_s"]) / found["events"] * 1e6
        for name, used in found["used_s"].items()
    }
    both = sum(cpu_us.values())
    return {
        "streams": streams,
        "events_per_s": round(found["events"] / found["window_s"]),
        "owner_us": round(cpu_us["owner"], 1),
        "entry_us": round(cpu_us["entry"], 1),
        "both_us": round(both, 1),
        "events_per_s_a_core": round(1e6 / both),
        "owner_busy": round(found["used_s"]["owner"] / found["window_s"], 2),
        "entry_busy": round(found["used_s"]["entry"] / found["window_s"], 2),
        "p50_ms": round(found["p50_ms"], 2),
        "p99_ms": round(found["p99_ms"], 2),
        "added_p50_ms": "",
        "added_p99_ms": "",
    }


def run(profile_path: str = "") -> Iterator[Row]:
    """Measures each number of streams.

    Yields:
      A row for each number of streams. The row at half the goal's load also
      has the added latencies: its latencies minus those of the same streams
      read from the engines directly.
    """
    processes = _Processes(profile_path)
    try:
        idle = processes.idle()
        if profile_path:
            processes.cpu_s("profile")
            yield _row(processes, idle, STREAMS[-1])
            return
        for streams in STREAMS:
            yield _row(processes, idle, streams)
        half = _row(processes, idle, HALF_GOAL_STREAMS)
        direct = processes.measure(processes.engine_ports, HALF_GOAL_STREAMS)
        half["added_p50_ms"] = round(half["p50_ms"] - direct["p50_ms"], 2)
        half["added_p99_ms"] = round(half["p99_ms"] - direct["p99_ms"], 2)
        yield half
    finally:
        processes.stop()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--profile", default="")
    for row in run(parser.parse_args().profile):
        print(
            " ".join(f"{name}={value}" for name, value in row.items()),
            flush=True,
        )
