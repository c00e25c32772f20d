"""Tests of the leader lease."""

import asyncio
import random

from builders_coordination import run_virtual

from carobsail import keyvalue
from carobsail.leadership import Leadership, Role


class Candidates:
    """Candidates of one data centre, with the leader's heartbeats."""

    def __init__(self, count, seed=1):
        self.service = keyvalue.MemoryKeyValue()
        self.all = [
            Leadership("dc", f"i{n}", self.service, random.Random(seed + n))
            for n in range(count)
        ]
        for candidate in self.all:
            candidate.candidates = count
        self.tasks = [asyncio.create_task(c.run()) for c in self.all]
        self.unreachable = set()

    async def run_for(self, duration_s):
        loop = asyncio.get_running_loop()
        end = loop.time() + duration_s
        while loop.time() < end:
            await asyncio.sleep(0.5)
            leaders = [c for c in self.all if c.may_send_orders(loop.time())]
            assert len(leaders) <= 1
            for leader in leaders:
                for other in self.all:
                    if other is not leader and other not in self.unreachable:
                        other.leader_heard(loop.time())

    def leader(self):
        found = [c for c in self.all if c.role == Role.LEADER]
        assert len(found) == 1
        return found[0]

    def kill(self, candidate):
        self.tasks[self.all.index(candidate)].cancel()
        candidate._lease_valid_until = 0.0
        self.all[self.all.index(candidate)] = Leadership(
            "dc", "dead", self.service, random.Random(0)
        )

    def stop(self):
        for task in self.tasks:
            task.cancel()


def test_one_leader_and_few_calls():
    """Guards the call budget against candidates that poll (R12)."""

    async def scenario():
        group = Candidates(8)
        await group.run_for(10)
        group.leader()
        group.service.calls.clear()
        await group.run_for(100)
        assert sum(group.service.calls.values()) <= 51
        group.stop()

    run_virtual(scenario())


def test_takeover_after_death():
    """A dead leader must be replaced once its lease has expired (R13)."""

    async def scenario():
        for seed in range(10):
            group = Candidates(6, seed)
            await group.run_for(10)
            dead = group.leader()
            group.kill(dead)
            started = asyncio.get_running_loop().time()
            while not any(c.role == Role.LEADER for c in group.all):
                await group.run_for(0.5)
            elapsed = asyncio.get_running_loop().time() - started
            assert 3.5 < elapsed <= 8.5
            group.stop()

    run_virtual(scenario())


def test_hand_over_does_not_wait_for_lease_expiry():
    """After a planned stop, no candidate may wait for lease expiry (R7)."""

    async def scenario():
        group = Candidates(3)
        await group.run_for(10)
        old = group.leader()
        await old.resign()
        now = asyncio.get_running_loop().time()
        for other in group.all:
            if other is not old:
                other.leader_heard(now, leaving=True)
        await group.run_for(2)
        assert group.leader() is not old
        group.stop()

    run_virtual(scenario())


def test_lost_response_of_acquisition_is_read_back():
    """A candidate must recognise its own write after a lost response.

    If it took the write for another candidate's, there would be no leader
    until the lease expires (R13).
    """

    async def scenario():
        group = Candidates(1)
        group.service.lose_answers = 1
        await group.run_for(1)
        assert group.leader().terms == 1
        group.stop()

    run_virtual(scenario())


def test_outage_freezes_and_resumes():
    """During an outage of the service no leader may order (R13).

    A leader must be elected again when the service returns.
    """

    async def scenario():
        group = Candidates(2)
        await group.run_for(10)
        leader = group.leader()
        group.service.available = False
        await group.run_for(8)
        assert leader.role == Role.FROZEN
        assert not leader.may_send_orders(asyncio.get_running_loop().time())
        group.service.calls.clear()
        await group.run_for(3600)
        assert sum(group.service.calls.values()) < 3600
        group.service.available = True
        await group.run_for(10)
        assert group.leader() in group.all
        group.stop()

    run_virtual(scenario())


def test_paused_leader_may_not_order_after_resuming():
    """A leader paused past its lease's expiry must notice it (R13)."""

    async def scenario():
        group = Candidates(2)
        await group.run_for(10)
        holder = group.leader()
        index = group.all.index(holder)
        loop = asyncio.get_running_loop()
        group.tasks[index].cancel()
        resumed = loop.time()
        assert holder.may_send_orders(resumed)
        await group.run_for(9)
        assert holder.role == Role.LEADER
        assert not holder.may_send_orders(loop.time())
        group.tasks[index] = asyncio.create_task(holder.run())
        await group.run_for(5)
        assert holder.role == Role.FOLLOWER
        assert group.leader() is not holder
        group.stop()

    run_virtual(scenario())


def test_validity_counts_from_before_the_renewal():
    """A slow response must not extend the lease beyond the service's (R1)."""

    async def scenario():
        group = Candidates(1)
        await group.run_for(1)
        leader, service = group.leader(), group.service
        loop = asyncio.get_running_loop()
        keep_lease, sent = service.keep_lease, loop.create_future()

        async def slow(lease):
            sent.set_result(loop.time())
            left_s = await keep_lease(lease)
            await asyncio.sleep(1.9)
            return left_s

        service.keep_lease = slow
        sent_at = await sent
        await asyncio.sleep(1.95)
        group.tasks[0].cancel()
        assert leader.may_send_orders(sent_at + 4.9)
        assert not leader.may_send_orders(sent_at + 5.0)

    run_virtual(scenario())
