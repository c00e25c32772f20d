"""Tests which requests reach engines, and which do not, while engines crash."""

import asyncio
import os

import pytest
from builders_crashplay import WRITTEN, CrashPlay
from builders_serving import stream_route

pytestmark = pytest.mark.memory_network

# Crashes after which the deadly request, or its part, must be known, and the
# number of deadly requests that may reach engines later.
PART_CRASHES, REQUEST_CRASHES = 5, 3
MAX_LATE = 3

# More seeds are played by hand.
SEEDS = range(int(os.environ.get("CRASHPLAY_SEEDS", "1")))

ENGINE_CRASH_INTERVAL_S = 2.0
REQUESTS_PER_S = 16.0
DEADLY_SHARE = 0.05


def subject(play):
    """Returns a part that requests of one subject share."""
    return f"c0ffee{play.rng.randint(10, 40)}"


async def send_traffic(
    play, seconds, deadly_prefix="", shared_share=0.0, per_s=REQUESTS_PER_S
):
    """Sends requests at random times to random instances.

    Args:
      play: The play.
      seconds: How long to send.
      deadly_prefix: Returns the parts of a deadly prompt; "" for none.
      shared_share: Share of requests with the same part after the first one.
      per_s: Requests a second.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        await asyncio.sleep(play.rng.expovariate(per_s))
        instance = play.rng.randrange(len(play.handlers))
        if deadly_prefix and play.rng.random() < DEADLY_SHARE:
            prefix = deadly_prefix.replace("SUBJECT", subject(play))
            play.send(instance, prefix, deadly=True)
        elif play.rng.random() < shared_share:
            play.send(instance, "aa:1,bb:1")
        else:
            play.send(instance, f"aa:1,{subject(play)}:1")


async def run_play(play, *work):
    """Runs a play until some work has ended and its requests have too."""
    await play.start()
    await asyncio.gather(*work)
    await asyncio.sleep(6.0)
    await play.stop()
    return play.outcome


@pytest.mark.parametrize("prefix", ["aa:1,dead:1", "dead:1,aa:1,SUBJECT:1"])
@pytest.mark.parametrize("instance_count", [1, 7])
@pytest.mark.parametrize("written", WRITTEN)
@pytest.mark.parametrize("seed", SEEDS)
async def test_deadly_part_is_refused_whatever_was_written(
    seed, written, instance_count, prefix
):
    """A part was never refused unless crashing engines wrote only a head."""
    play = CrashPlay(seed, stream_route(), instance_count, written)
    outcome = await run_play(play, send_traffic(play, 20.0, prefix))
    assert len(outcome.crashed_at) >= 2
    assert outcome.late_arrivals(PART_CRASHES) <= MAX_LATE
    assert outcome.refused == 0


@pytest.mark.parametrize("written", WRITTEN)
@pytest.mark.parametrize("seed", SEEDS)
async def test_deadly_part_is_refused_that_each_instance_sees_once(
    seed, written
):
    """Each of seven instances received such a request in turn, rarely."""
    play = CrashPlay(seed, stream_route(), 7, written)

    async def send_deadly():
        for number in range(20):
            await asyncio.sleep(6.0)
            play.send(number % 7, f"aa:1,dead:1,{subject(play)}:1", deadly=True)

    outcome = await run_play(
        play, send_traffic(play, 120.0, per_s=4.0), send_deadly()
    )
    assert outcome.late_arrivals(PART_CRASHES) <= MAX_LATE
    assert outcome.refused == 0


@pytest.mark.parametrize("written", WRITTEN)
@pytest.mark.parametrize("instance_count", [1, 7])
@pytest.mark.parametrize("seed", SEEDS)
async def test_deadly_part_is_refused_after_bursts(
    seed, instance_count, written
):
    """Engines that crashed together counted as one crash each time."""
    play = CrashPlay(seed, stream_route(), instance_count, written)

    async def send_deadly():
        for _ in range(6):
            await asyncio.sleep(6.0)
            for number in range(4):
                play.send(number % instance_count, "aa:1,dead:1", deadly=True)

    outcome = await run_play(play, send_traffic(play, 40.0), send_deadly())
    assert outcome.late_arrivals(PART_CRASHES) <= MAX_LATE
    assert outcome.refused == 0


@pytest.mark.parametrize("written", WRITTEN)
@pytest.mark.parametrize("instance_count", [1, 7])
@pytest.mark.parametrize("seed", SEEDS)
async def test_deadly_request_is_refused_whatever_was_written(
    seed, instance_count, written
):
    """A repeated request was never refused if engines had written events."""
    play = CrashPlay(seed, stream_route(), instance_count, written)

    async def repeat():
        for number in range(12):
            await asyncio.sleep(3.0)
            prefix = f"aa:1,{subject(play)}:1"
            play.send(number % instance_count, prefix, True, b"the same")

    outcome = await run_play(play, send_traffic(play, 36.0), repeat())
    assert outcome.late_arrivals(REQUEST_CRASHES) <= MAX_LATE
    assert outcome.refused == 0


@pytest.mark.parametrize("instance_count", [1, 7])
@pytest.mark.parametrize("shared_share", [0.0, 0.5])
@pytest.mark.parametrize("seed", SEEDS)
async def test_plain_crashes_in_a_row_refuse_no_request(
    seed, shared_share, instance_count
):
    """Lost requests were taken for the cause of the crashes of their engines.

    An engine crashes every 2 s, whatever it executes.
    """
    play = CrashPlay(seed, stream_route(), instance_count)
    await play.start()
    crashes = asyncio.create_task(play.crash_engines(ENGINE_CRASH_INTERVAL_S))
    await send_traffic(play, 40.0, shared_share=shared_share)
    crashes.cancel()
    await asyncio.sleep(6.0)
    await play.stop()
    assert len(play.outcome.crashed_at) >= 12
    assert play.outcome.sound >= 500
    assert play.outcome.refused == 0
    for handler in play.handlers:
        assert not handler.crash_guard._observations.refused
