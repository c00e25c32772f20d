"""A machine never learns of the engines of a service that was added."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as standins  # noqa: E402

APPLY_S = standins.BOUNDS["configApplyMs"] / 1000
CONTACT_S = standins.BOUNDS["contactMs"] / 1000
MACHINES = 9
ANNEX_ENGINES = 2
FREEZE_S = 3.0
# Requests on each route to each machine, and the pause between them.
REQUESTS = 30
INTERVAL_S = 0.3
# Routes beside those that are used, so that the document has some kilobytes.
FURTHER_ROUTES = 40


def document(version: int):
    """Returns the first configuration, or the one that adds a service."""
    routes = [standins.route("look", "safe", "desk", timeoutMs=2000)]
    services = [{"name": "desk", "maxConns": 100}]
    routes += [
        standins.route(f"other{number}", "safe", "desk")
        for number in range(FURTHER_ROUTES)
    ]
    if version > 1:
        routes.append(standins.route("added", "safe", "annex", timeoutMs=2000))
        services.append({"name": "annex", "maxConns": 100})
    return standins.configuration(version, routes, services)


async def play(world: standins.World, trouble: bool) -> int:
    """Plays the case; returns 1 if a machine does not serve the route."""
    log = world.log
    for number in range(2):
        world.engines.append(
            standins.Engine(
                f"i-desk-{number}", "desk", "dc-a", world.store, log
            )
        )
    await world.add_instances(MACHINES)
    world.store.put("op/config", document(1))
    for engine in world.engines:
        await engine.start()
    await world.start()
    await asyncio.sleep(CONTACT_S + 2.0)
    holder = world.holder()
    frozen = None
    if trouble:
        # The first machine of another zone, which others ask for the document.
        frozen = next(
            i
            for i in world.instances
            if i.zone != holder.zone and i.name != holder.name
        )
        log.write("freeze", machine=frozen.name, holder=holder.name)
        frozen.signal(signal.SIGSTOP)
    for number in range(ANNEX_ENGINES):
        engine = standins.Engine(
            f"i-annex-{number}", "annex", "dc-a", world.store, log
        )
        world.engines.append(engine)
        await engine.start()
        log.write("registered", engine=engine.identity)
        await asyncio.sleep(0.2)
    world.store.put("op/config", document(2))
    log.write("acknowledged", version=2)
    await asyncio.sleep(FREEZE_S)
    if frozen is not None:
        frozen.signal(signal.SIGCONT)
        log.write("thaw", machine=frozen.name)
    await asyncio.sleep(CONTACT_S + APPLY_S)
    shares = await asyncio.gather(
        *(ask(world, machine) for machine in world.instances)
    )
    broken = 0
    for machine, (first, added) in zip(world.instances, shares, strict=True):
        log.write(
            "served",
            machine=machine.name,
            zone=machine.zone,
            first_route=f"{first:.2f}",
            added_route=f"{added:.2f}",
        )
        if first < 0.5:
            raise RuntimeError("the first route is not served")
        broken += added < first / 4
    log.write("verdict", machines_broken=broken)
    return 1 if broken else 0


async def ask(
    world: standins.World, machine: standins.Instance
) -> tuple[float, float]:
    """Returns the shares that a machine serves on first and added routes."""
    served = {"look": 0, "added": 0}
    tasks = []

    async def send(name: str, number: int) -> None:
        answer = await standins.request(
            world.log,
            machine.front,
            f"{machine.name}-{name}-{number}",
            "desk.example",
            f"/{name}/{number}",
            {},
            method="GET",
            timeout_s=2.0,
            instance=machine.name,
        )
        served[name] += answer.status == 200 and answer.complete

    for number in range(REQUESTS):
        tasks += [asyncio.create_task(send(n, number)) for n in served]
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    return served["look"] / REQUESTS, served["added"] / REQUESTS


standins.run(FOLDER, play)
