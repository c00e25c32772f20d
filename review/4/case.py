"""An engine says in its answers that it leaves while the store is away."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins
from standins import DRAIN_S, Caller, Engine, Fleet, Journal, Store

# Seconds from the start of the traffic.
LAST_HEARTBEAT_S = 4.5
STORE_AWAY_S = 8.0
STORE_AWAY_FOR_S = 8.0
END_S = 18.0
# How much longer than the drain bound the engine serves.
LINGER_S = 3.0
PER_S = 20.0


class LongEngine(Engine):
    """Answers have 45 events, the most that the site has of this kind."""

    events = 45
    event_s = 0.02


async def play(log: Journal) -> bool:
    """Plays the case; returns whether DRAIN was broken."""
    store = Store()
    await store.open()
    servers = [
        LongEngine(f"e{n}", "llm", f"zone-{'abc'[n % 3]}", store, log)
        for n in range(5)
    ]
    routes = [standins.stream_route("check", maxAttempts=1)]
    store.put(
        "op/config", standins.configuration(routes, [standins.ENGINE_SERVICE])
    )
    fleet = Fleet(3, store, log)
    caller = Caller(log)
    leaver = servers[0]
    try:
        for server in servers:
            await server.start()
        await fleet.start()
        await asyncio.sleep(6.0)
        steps = asyncio.create_task(leave(log, store, leaver))
        end = standins.now() + END_S
        while standins.now() < end:
            await asyncio.sleep(random.expovariate(PER_S))
            front = random.choice(fleet.fronts)
            own = f"{random.getrandbits(32):08x}"
            headers = standins.prompt_headers("c0ffee01", own)
            body = f"prompt {own}".encode()
            caller.send(front, "POST", "/check/x", headers, body, 5.0)
        await steps
        await caller.finish()
    finally:
        await fleet.stop()
        for server in servers:
            server.end()
        store.close()
    return judge(log, caller, leaver)


async def leave(log: Journal, store: Store, leaver: Engine) -> None:
    """Takes the store away and lets a server leave without a report."""
    start = standins.now()

    async def until(at: float) -> None:
        await asyncio.sleep(start + at - standins.now())

    await until(LAST_HEARTBEAT_S)
    leaver.stop_heartbeats()
    await until(STORE_AWAY_S)
    store.silent = standins.trouble()
    log.write("store_away", silent=store.silent)
    lapses = LAST_HEARTBEAT_S + standins.LAPSE_S
    await until(lapses)
    leaver.remove_entry()
    leaver.leaving = True
    log.write("server_leaves", server=leaver.identity)
    await until(lapses + DRAIN_S + LINGER_S)
    leaver.end()
    await until(STORE_AWAY_S + STORE_AWAY_FOR_S)
    store.silent = False
    log.write("store_back")


def judge(log: Journal, caller: Caller, leaver: Engine) -> bool:
    """Counts requests that reached the server after the bound."""
    sent = {s.identity: s for s in caller.sent}
    told: dict[str, float] = {}
    for one in sorted(caller.sent, key=lambda s: s.ended):
        if one.headers.get("server-leaving"):
            told.setdefault(one.instance, one.ended)
    late = []
    for _, _, request in leaver.arrivals:
        one = sent[request.headers["carobsail-request-id"]]
        if one.at > told.get(one.instance, 1e18) + DRAIN_S:
            late.append(one)
    cut = [s for s in late if s.status != 200 or not s.whole]
    bad = [s for s in caller.sent if s.status != 200 or not s.whole]
    text = (
        f"{len(told)} instances passed on an answer with Server-Leaving;"
        f" {len(late)} requests sent later than {DRAIN_S} s after that reached"
        f" the engine, which began them; {len(cut)} of these ended without"
        f" their whole answer; {len(bad)} of all {len(sent)} requests did"
    )
    log.write("result", text=text)
    print(text)
    if len(sent) < 200:
        raise RuntimeError("too few requests were sent")
    return bool(late)


if __name__ == "__main__":
    standins.main(play, __file__)
