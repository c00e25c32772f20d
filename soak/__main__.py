"""Runs the soak: `python -m soak --seeds=1,2 --minutes=1 --instances=7`."""

import asyncio
import collections
import pathlib
import random
import sys
import tempfile
import time

import fire

from soak import checks, polling, schedule
from soak.records import Record
from soak.world import World

# Requests per second over all instances.
REQUESTS_PER_S = 40.0
# Time after the last fault; its requests show whether service has recovered.
QUIET_END_S = checks.RECOVERY_BOUND_S + 3.0
START_TIMEOUT_S = 15.0


async def play(
    seed: int,
    steps: list[schedule.Step],
    instances: int,
    directory: pathlib.Path,
    per_s: float = REQUESTS_PER_S,
) -> tuple[Record, list[checks.Violation]]:
    """Runs one seed and returns its record and the violations.

    Args:
      seed: The seed of everything but the steps.
      steps: Faults and planned work.
      instances: Number of instances.
      directory: Receives settings files and logs.
      per_s: Requests per second.
    """
    world = World(seed, instances, directory)
    try:
        await world.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            await polling.until(lambda: len(world.callers.ready) == instances)
        end = asyncio.Event()
        traffic = asyncio.create_task(world.callers.run(per_s, end))
        healed_at = await world.play(steps)
        await asyncio.sleep(QUIET_END_S)
        end.set()
        await traffic
        violations = checks.run_all(world.record)
        violations += checks.recovered(world.record, healed_at)
        return world.record, violations
    finally:
        await world.stop()


def describe(record: Record) -> str:
    """Returns the counts of a run on one line."""
    statuses = collections.Counter(
        a.status if a.complete else 0 for a in record.requests.values()
    )
    runs = sum(map(len, record.runs.values()))
    by_status = ", ".join(
        f"{n} x {s or 'cut'}" for s, n in statuses.most_common()
    )
    return (
        f"{len(record.requests)} requests ({by_status}), {runs} runs, "
        f"{len(record.orders)} orders, {len(record.versions)} configurations; "
        f"{checks.judge(record)}"
    )


def main(
    seeds: str | int | tuple[int, ...] = "",
    minutes: float = 0.5,
    instances: int = 7,
    per_s: float = REQUESTS_PER_S,
    losses: bool = True,
) -> None:
    """Runs seeds one after the other; exits with 1 if there is a violation.

    Args:
      seeds: Seeds, separated by commas; a random one if empty.
      minutes: Time span of each seed in which faults begin.
      instances: Number of instances.
      per_s: Requests per second.
      losses: Whether the store goes back to older copies.
    """
    draw = schedule.draw_with_losses if losses else schedule.draw
    if isinstance(seeds, int):
        numbers = [seeds]
    elif isinstance(seeds, tuple):
        numbers = list(seeds)
    else:
        numbers = [int(s) for s in seeds.split(",") if s]
    numbers = numbers or [random.SystemRandom().randrange(10**6)]
    kinds: collections.Counter[str] = collections.Counter()
    broken = []
    for seed in numbers:
        steps = draw(seed, 60.0 * minutes)
        kinds.update(step.kind for step in steps)
        sys.stdout.write(f"seed {seed}: {len(steps)} steps\n")
        for step in steps:
            sys.stdout.write(f"  {step}\n")
        directory = pathlib.Path(tempfile.mkdtemp(prefix="carobsail-soak-"))
        started_at = time.monotonic()
        record, violations = asyncio.run(
            play(seed, steps, instances, directory, per_s)
        )
        elapsed_s = time.monotonic() - started_at
        sys.stdout.write(f"  {describe(record)}, {elapsed_s:.0f} s\n")
        for violation in violations:
            sys.stdout.write(f"  VIOLATION {violation}\n")
        if violations:
            broken.append(seed)
            sys.stdout.write(f"  logs: {directory}\n")
        else:
            for file in directory.iterdir():
                file.unlink()
            directory.rmdir()
        sys.stdout.flush()
    drawn = ", ".join(f"{n} {k}" for k, n in sorted(kinds.items()))
    sys.stdout.write(
        f"{len(numbers)} seeds, {len(broken)} broken: {broken}; {drawn}\n"
    )
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire(main)
