"""Processor time of relaying a streamed token event over HTTP.

`python -m bench.relay` starts a source of server-sent events and a relay
(`httpclient` to `httpserver`) on loopback, each in a process of its own, and
reads the relay's streams from a third. Figures are processor time of the
relay's process for each event. A second pass under the profiler gives the
share of that time spent in h11; the profiler adds a cost to each Python call,
so it overstates h11 against the system calls.
"""

import asyncio
import cProfile
import multiprocessing
import multiprocessing.connection
import pstats
import time
from typing import Any

from carobsail import errors, httpclient, httpserver

STREAMS = (1, 4, 16)
EVENTS = 4000
PROFILED_EVENTS = 1000
# 600 tokens/s of one engine are 16 streams at about 27 ms; the source sends
# faster, and still leaves time for each event to be a read of its own.
INTERVAL_S = 0.001
_EVENT = b'id: 17\ndata: {"choices":[{"delta":{"content":"word "}}]}\n\n'
_HOST = "127.0.0.1"


async def _source(
    request: httpserver.Request, responder: httpserver.Responder
) -> None:
    await responder.start(200, [("content-type", "text/event-stream")])
    for _ in range(int(request.query)):
        await responder.write(_EVENT)
        await asyncio.sleep(INTERVAL_S)
    await responder.finish()


def _run_source(pipe: multiprocessing.connection.Connection) -> None:
    async def run() -> None:
        server = await httpserver.serve(
            _HOST, 0, _source, httpserver.Bounds(), "source"
        )
        pipe.send(server.port)
        await asyncio.to_thread(pipe.recv)
        await server.close()

    asyncio.run(run())


async def _relay(pool: httpclient.Pool, counts: dict[str, int]) -> Any:
    async def handler(
        request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        path = f"{request.path}?{request.query}"
        answer = await pool.request("GET", path, [], b"")
        if isinstance(answer, errors.Failure):
            raise RuntimeError(str(answer))
        await responder.start(answer.status, [])
        async for chunk in answer.chunks():
            if isinstance(chunk, errors.Failure):
                raise RuntimeError(str(chunk))
            counts["chunks"] += 1
            await responder.write(chunk)
        await responder.finish()

    return await httpserver.serve(
        _HOST, 0, handler, httpserver.Bounds(), "relay"
    )


def _run_relay(
    pipe: multiprocessing.connection.Connection, source: int, profiled: bool
) -> None:
    profile = cProfile.Profile(time.process_time)

    async def run() -> None:
        pool = httpclient.Pool(f"{_HOST}:{source}", 64, 5.0)
        counts = {"chunks": 0}
        server = await _relay(pool, counts)
        pipe.send(server.port)
        # Blocks the loop; nothing arrives before the parent has answered.
        pipe.recv()
        start_s = time.process_time()
        if profiled:
            profile.enable()
        stop = asyncio.Event()
        asyncio.get_running_loop().add_reader(pipe.fileno(), stop.set)
        await stop.wait()
        profile.disable()
        used_s = time.process_time() - start_s
        asyncio.get_running_loop().remove_reader(pipe.fileno())
        pipe.send((used_s, counts["chunks"], _h11_share(profile, profiled)))
        await server.close()

    asyncio.run(run())


def _h11_share(profile: cProfile.Profile, profiled: bool) -> float:
    if not profiled:
        return 0.0
    stats: Any = pstats.Stats(profile)
    spent_s = sum(
        entry[2] for key, entry in stats.stats.items() if "h11" in key[0]
    )
    return spent_s / stats.total_tt


async def _read_streams(port: int, streams: int, events: int) -> int:
    pool = httpclient.Pool(f"{_HOST}:{port}", 64, 5.0)

    async def one() -> int:
        answer = await pool.request("GET", f"/?{events}", [], b"")
        if isinstance(answer, errors.Failure):
            raise RuntimeError(str(answer))
        body = await answer.read(1 << 30)
        if isinstance(body, errors.Failure):
            raise RuntimeError(str(body))
        return len(body)

    lengths = await asyncio.gather(*(one() for _ in range(streams)))
    pool.close()
    return sum(lengths)


def _measure(
    source: int, streams: int, events: int, profiled: bool
) -> tuple[float, int, float]:
    """Returns processor seconds, chunks relayed and the share of h11."""
    context = multiprocessing.get_context("spawn")
    pipe, child = context.Pipe()
    relay = context.Process(target=_run_relay, args=(child, source, profiled))
    relay.start()
    try:
        port = pipe.recv()
        pipe.send("start")
        each = events // streams
        received = asyncio.run(_read_streams(port, streams, each))
        if received != each * streams * len(_EVENT):
            raise RuntimeError(f"{received} bytes arrived")
        pipe.send("stop")
        return pipe.recv()
    finally:
        relay.join(10.0)


def run() -> list[dict[str, float]]:
    """Measures each number of streams.

    Returns:
      For each number of streams: processor time in µs for each event, events
      in each relayed chunk, and the profiled share of h11 in percent.
    """
    context = multiprocessing.get_context("spawn")
    pipe, child = context.Pipe()
    source = context.Process(target=_run_source, args=(child,))
    source.start()
    rows = []
    try:
        port = pipe.recv()
        for streams in STREAMS:
            used_s, chunks, _ = _measure(port, streams, EVENTS, False)
            _, _, share = _measure(port, streams, PROFILED_EVENTS, True)
            rows.append(
                {
                    "streams": streams,
                    "us_per_event": round(used_s / EVENTS * 1e6, 1),
                    "events_per_chunk": round(EVENTS / chunks, 2),
                    "h11_percent": round(share * 100, 1),
                }
            )
    finally:
        pipe.send("stop")
        source.join(10.0)
    return rows


if __name__ == "__main__":
    for row in run():
        print(" ".join(f"{name}={value}" for name, value in row.items()))
