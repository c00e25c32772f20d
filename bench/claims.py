"""Measures the claim writer on virtual time.

Run with `python -m bench.claims`. Claims arrive at random times at a constant
mean rate; the key-value service takes `SERVICE_LATENCY_S` for each answer.
Figures are deterministic for a seed.
"""

import asyncio
import json
import random
import statistics
from typing import Any

import async_solipsism

from carobsail import claimwriter, keyvalue, messages

RATES = (20, 40, 80, 160, 320, 640, 1280)
# The shortest interval, and that of 14 instances that share 50 calls/s.
INTERVALS_S = (0.1, 0.28)
DURATION_S = 20.0
SERVICE_LATENCY_S = 0.003


class _SlowKeyValue(keyvalue.MemoryKeyValue):
    """Counts transactions and answers each after `SERVICE_LATENCY_S`."""

    def __init__(self) -> None:
        super().__init__()
        self.transactions = 0

    async def transact(self, compares: Any, writes: Any) -> Any:
        """See base class."""
        self.transactions += 1
        await asyncio.sleep(SERVICE_LATENCY_S)
        return await super().transact(compares, writes)


async def _measure(rate: float, interval_s: float, seed: int) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    rng = random.Random(seed)
    service = _SlowKeyValue()
    writer = claimwriter.ClaimWriter(service, "dc", "bench", lambda: 0.0)
    writer.set_calls_per_s(1 / interval_s)
    running = asyncio.create_task(writer.run())
    waited_s: list[float] = []
    states: list[str] = []

    async def claim(number: int) -> None:
        started = loop.time()
        result = await writer.claim(
            messages.Claim("account", f"key-{number}", f"t-{number}", "f")
        )
        states.append(result.state)
        waited_s.append(loop.time() - started)

    tasks = []
    began = loop.time()
    while loop.time() - began < DURATION_S:
        tasks.append(asyncio.create_task(claim(len(tasks))))
        await asyncio.sleep(rng.expovariate(rate))
    await asyncio.gather(*tasks)
    took_s = loop.time() - began
    running.cancel()
    granted = states.count("granted")
    return {
        "claims_per_s": rate,
        "interval_ms": round(interval_s * 1000),
        "granted_per_s": round(granted / took_s, 1),
        "refused": len(states) - granted,
        "transactions_per_s": round(service.transactions / took_s, 2),
        "latency_mean_ms": round(statistics.mean(waited_s) * 1000, 1),
        "latency_p95_ms": round(
            statistics.quantiles(waited_s, n=20)[-1] * 1000, 1
        ),
    }


def measure(rate: float, interval_s: float, seed: int) -> dict[str, Any]:
    """Measures a rate of claims with an interval between transactions."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(_measure(rate, interval_s, seed))


def run(seed: int) -> list[dict[str, Any]]:
    """Measures all rates at both intervals."""
    return [
        measure(rate, interval_s, seed)
        for interval_s in INTERVALS_S
        for rate in RATES
    ]


if __name__ == "__main__":
    for row in run(1):
        print(json.dumps(row))
