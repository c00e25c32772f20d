"""A part of prompts crashes engines before any byte of their answer is out."""

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins
from standins import CONTACT_S, Caller, Engine, Fleet, Journal, Message, Store

DEAD = "dead0001"
PLAY_S = 50.0
PER_S = 16.0
DEADLY_SHARE = 0.05
# The engine is back after some seconds.
DOWN_S = 3.0
TOLERATED = 3


# What an engine has written of an answer when it crashes: none, head or event.
WRITTEN = os.environ.get("WRITTEN", "none")


class StreamEngine(Engine):
    """Crashes when it begins to write an answer on the deadly part.

    Attributes:
      crashes: Times of the crashes of all engines.
    """

    crashes: list[float]
    head_first = WRITTEN != "none"

    async def before_event(self, request: Message, number: int) -> None:
        """See base class."""
        first = int(request.headers.get("last-event-id", 0)) + 1
        if is_deadly(request) and (WRITTEN != "event" or number > first):
            self.crashes.append(standins.now())
            asyncio.create_task(self.crash(DOWN_S))
            await asyncio.Event().wait()


def is_deadly(request: Message) -> bool:
    """Whether the prompt of a request has the deadly part."""
    return DEAD in request.headers.get("carobsail-prompt-prefix", "")


async def play(log: Journal) -> bool:
    """Plays the case; returns whether BUDGET was broken."""
    store = Store()
    await store.open()
    crashes: list[float] = []
    engines = []
    for number in range(5):
        zone = f"zone-{'abc'[number % 3]}"
        engine = StreamEngine(f"e{number}", "llm", zone, store, log)
        engine.crashes = crashes
        engines.append(engine)
    routes = [standins.stream_route("draft", resumable=True)]
    store.put(
        "op/config", standins.configuration(routes, [standins.ENGINE_SERVICE])
    )
    fleet = Fleet(3, store, log)
    caller = Caller(log)
    deadly = set()
    try:
        for engine in engines:
            await engine.start()
        await fleet.start()
        await asyncio.sleep(6.0)
        end = standins.now() + PLAY_S
        while standins.now() < end:
            await asyncio.sleep(random.expovariate(PER_S))
            is_dead = standins.trouble() and random.random() < DEADLY_SHARE
            middle = DEAD if is_dead else f"c0ffee{random.randint(10, 40)}"
            own = f"{random.getrandbits(32):08x}"
            headers = standins.prompt_headers(middle, own)
            body = f"prompt {own}".encode()
            sent = caller.send(
                random.choice(fleet.fronts),
                "POST",
                "/draft/x",
                headers,
                body,
                5.0,
            )
            if is_dead:
                deadly.add(sent.identity)
        await caller.finish()
        logged = fleet.log_lines("event=crash_observed .*begun=true")
    finally:
        await fleet.stop()
        for engine in engines:
            engine.end()
        store.close()
    return judge(log, caller, engines, crashes, deadly, logged)


def judge(
    log: Journal,
    caller: Caller,
    engines: list[StreamEngine],
    crashes: list[float],
    deadly: set[str],
    logged: int,
) -> bool:
    """Counts deadly requests at engines after the bound."""
    crashes.sort()
    late: set[str] = set()
    if len(crashes) >= 5:
        bound = crashes[4] + CONTACT_S
        late = {
            request.headers["carobsail-request-id"]
            for engine in engines
            for at, _, request in engine.arrivals
            if is_deadly(request) and at > bound
        }
    sound = [s for s in caller.sent if s.identity not in deadly]
    lost = [s for s in sound if s.status != 200 or not s.whole]
    text = (
        f"{len(deadly)} deadly requests sent, {len(crashes)} engine crashes,"
        f" {logged} seen as begun; {len(late)} deadly requests reached engines"
        f" later than {CONTACT_S} s after the fifth crash ({TOLERATED} may);"
        f" {len(lost)} of {len(sound)} sound requests not served whole"
    )
    log.write("result", text=text)
    print(text)
    if len(sound) < 300:
        raise RuntimeError("too few requests were sent")
    return len(late) > TOLERATED


if __name__ == "__main__":
    standins.main(play, __file__)
