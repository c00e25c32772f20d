"""Two machines give orders after the store has come back from a copy."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as standins  # noqa: E402

LEASE_S = standins.BOUNDS["leaseMs"] / 1000
# Time for which the store is away in the drill.
AWAY_S = 0.5
# The copy is this much older than the end of the process that left.
BEFORE_END_S = 0.3
ADAPTERS = 6


async def play(world: standins.World, trouble: bool) -> int:
    """Plays the case; returns 1 if two machines gave orders within a lease."""
    log = world.log
    engine = standins.Engine(
        "i-one", "llm", "dc-a", world.store, log, {"m0": {"a1", "a2"}}
    )
    world.engines.append(engine)
    await world.add_instances(3)
    world.store.put(
        "op/config",
        standins.configuration(
            1,
            [standins.route("draft", "streaming", "llm", gapAimMs=400)],
            [standins.engine_service("llm", 1, ADAPTERS, 2)],
        ),
    )
    await engine.start()
    await world.start()
    traffic = asyncio.create_task(send_drafts(world))
    copies: list[standins.Copy] = []
    copying = asyncio.create_task(copy_store(world, copies))
    try:

        async def first_holder_acts() -> bool:
            return len(engine.orders) > 5

        await standins.until(first_holder_acts, 30.0)
        first = engine.orders[-1][0]
        await asyncio.sleep(3.0)
        if trouble:
            await disturb(world, engine, first, copies)
        await asyncio.sleep(12.0)
    finally:
        traffic.cancel()
        copying.cancel()
    return judge(world, engine)


async def disturb(
    world: standins.World,
    engine: standins.Engine,
    first: str,
    copies: list[standins.Copy],
) -> None:
    """Restarts the holder as planned, then plays the drill of the store."""
    log = world.log
    machine = next(i for i in world.instances if i.name == first)
    log.write("sigterm", machine=first)
    machine.signal(signal.SIGTERM)
    await machine.wait()
    ended_at = time.monotonic()
    log.write("ended", machine=first)
    await machine.start()

    async def other_holder_acts() -> bool:
        return engine.orders[-1][0] != first

    await standins.until(other_holder_acts, 15.0)
    await asyncio.sleep(1.0)
    older = [c for c in copies if c.made_at <= ended_at - BEFORE_END_S][-1]
    log.write(
        "store_away",
        holder=engine.orders[-1][0],
        ready=await machine.is_ready(),
    )
    world.store.down = True
    await asyncio.sleep(AWAY_S)
    lost_s = time.monotonic() - older.made_at
    world.store.go_back(older)
    world.store.down = False
    log.write("store_back", era=world.store.era, lost_s=f"{lost_s:.2f}")


async def copy_store(
    world: standins.World, copies: list[standins.Copy]
) -> None:
    """Copies the data of the store ten times a second."""
    while True:
        copies.append(world.store.copy())
        await asyncio.sleep(0.1)


async def send_drafts(world: standins.World) -> None:
    """Asks for one adapter after the other, so that orders are needed."""
    tasks: set[asyncio.Task[standins.Answer]] = set()
    number = 0
    while True:
        number += 1
        ready = [i for i in world.instances if i.alive]
        machine = ready[number % len(ready)]
        headers = {
            "Carobsail-Model": f"m0/a{1 + number % ADAPTERS}",
            "Carobsail-Token-Count": "500,20",
            "Carobsail-Prompt-Prefix": f"5c1e07a2:400,{number:x}:100",
        }
        task = asyncio.create_task(
            standins.request(
                world.log,
                machine.front,
                f"d{number:05d}",
                "desk.example",
                "/draft/x",
                headers,
                instance=machine.name,
            )
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.12)


def judge(world: standins.World, engine: standins.Engine) -> int:
    """Applies ONE to the orders that have arrived at the engine."""
    broken = 0
    last: dict[str, tuple[int, float]] = {}
    for holder, fence, at in engine.orders:
        for other, (other_fence, other_at) in last.items():
            if other == holder:
                continue
            if fence <= other_fence:
                broken += 1
                world.log.write(
                    "BROKEN", what="fence", holder=holder, after=other
                )
            elif at - other_at < LEASE_S:
                broken += 1
                world.log.write(
                    "BROKEN",
                    what="turns",
                    holder=holder,
                    after=other,
                    gap_s=f"{at - other_at:.3f}",
                )
        last[holder] = fence, at
    world.log.write(
        "verdict", orders=len(engine.orders), holders=len(last), broken=broken
    )
    if len(engine.orders) < 10:
        raise RuntimeError("too few orders to judge")
    return 1 if broken else 0


standins.run(FOLDER, play)
