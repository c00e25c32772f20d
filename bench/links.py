"""Measures the cost of a Chunk message over a loopback WebsocketLink.

Run with `python -m bench.links`.
"""

import asyncio
import time

from carobsail import messages, peers

MESSAGES = 50_000
CHUNK_BYTES = 200


async def _measure(seed: int) -> list[dict]:
    hello = messages.Hello(1, 1, "bench", "dc", seed, "entry")
    done: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    async def receive(link: peers.Link) -> None:
        received = 0
        async for _ in link:
            received += 1
            if received == MESSAGES:
                done.set_result(received)

    server = await peers.serve_peers("127.0.0.1", 0, hello, [b"s"], receive)
    port = server.sockets[0].getsockname()[1]
    rows = []
    link = await peers.connect_peer(f"127.0.0.1:{port}", hello, [b"s"])
    assert isinstance(link, peers.WebsocketLink)
    chunk = messages.Chunk("instance-1/12345", bytes(CHUNK_BYTES))
    wall, cpu = time.perf_counter(), time.process_time()
    for number in range(MESSAGES):
        await link.send(chunk)
        if number % 16 == 15:  # Sixteen streams share a loop iteration.
            await asyncio.sleep(0)
    await done
    wall, cpu = time.perf_counter() - wall, time.process_time() - cpu
    rows.append(
        {
            "measure": "chunk over loopback, both ends in one process",
            "messages": MESSAGES,
            "wall_us": round(wall / MESSAGES * 1e6, 2),
            "cpu_us": round(cpu / MESSAGES * 1e6, 2),
        }
    )
    await link.close()
    server.close()
    await server.wait_closed()
    return rows


def run(seed: int) -> list[dict]:
    """Returns the measured rows."""
    return asyncio.run(_measure(seed))


if __name__ == "__main__":
    for row in run(1):
        print(" ".join(f"{key}={value}" for key, value in row.items()))
