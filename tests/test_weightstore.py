"""Guards the weight store's limits, which data centres share."""

import asyncio

import async_solipsism
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from carobsail import errors, inventory, keyvalue, weightstore

STORE = inventory.WeightStore("north", loads_per_s=1.0, loads_at_once=9)
CENTRES = ["a", "b", "c"]


class SharesMachine(RuleBasedStateMachine):
    """R12: the sum of the shares in use never exceeds the store's limits."""

    def __init__(self):
        super().__init__()
        self.loop = async_solipsism.EventLoop()
        self.store = self.loop.run_until_complete(self.build())

    async def build(self):
        store = keyvalue.MemoryKeyValue()
        self.clients = [
            weightstore.ShareClient(c, STORE, store) for c in CENTRES
        ]
        return store

    @rule(
        wanted=st.lists(st.integers(0, 12), min_size=3, max_size=3),
        answers=st.integers(0, 2),
    )
    def renew_together(self, wanted, answers):
        async def renew():
            self.store.lose_answers = answers
            pairs = zip(self.clients, wanted, strict=True)
            await asyncio.gather(*(c.renew(w, 0) for c, w in pairs))

        self.loop.run_until_complete(renew())

    @rule(index=st.integers(0, 2), wanted=st.integers(0, 12))
    def renew(self, index, wanted):
        self.loop.run_until_complete(self.clients[index].renew(wanted, 0))

    @rule(index=st.integers(0, 2))
    def restart(self, index):
        self.clients[index] = weightstore.ShareClient(
            CENTRES[index], STORE, self.store
        )

    @rule(seconds=st.sampled_from([1.0, 10.0, 29.0, 36.0]))
    def advance(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(available=st.booleans())
    def set_available(self, available):
        self.store.available = available

    @invariant()
    def limits_hold(self):
        now = self.loop.time()
        shares = [c.allocator.usable_share(now) for c in self.clients]
        assert sum(s.loads_at_once for s in shares) <= 9
        assert sum(s.loads_per_s for s in shares) <= 1.0 + 1e-9

    def teardown(self):
        self.loop.close()


SharesMachine.TestCase.settings = settings(
    max_examples=80, stateful_step_count=30, derandomize=True, deadline=None
)
TestShares = SharesMachine.TestCase


def build_share_allocator(at_once=2, rate=0.5):
    result = weightstore.ShareAllocator("a", STORE)
    result.confirm_write(weightstore.Share(rate, at_once), 0.0)
    return result


def test_share_is_reused_only_after_validity_and_margin():
    """A partitioned holder may load until its share expires (R12)."""
    reuser = weightstore.ShareAllocator("b", STORE)
    stored = {"a": weightstore.Share(1.0, 9, 9, 1)}
    for now, expected in ((100.0, 0), (134.9, 0), (135.0, 9)):
        assert (
            reuser.compute_shares(stored, 1, 9, 0, now)["b"].loads_at_once
            == expected
        )


def test_starving_data_centre_gets_its_fair_share():
    """One data centre must not keep the whole budget (R12)."""
    holder = weightstore.ShareAllocator("a", STORE)
    stored = {
        "a": weightstore.Share(1.0, 9, 9, 1),
        "b": weightstore.Share(0.0, 0, 5, 1),
    }
    assert holder.compute_shares(stored, 1, 9, 0, 0.0)["a"].loads_at_once == 4
    assert holder.compute_shares(stored, 1, 9, 6, 0.0)["a"].loads_at_once == 6


def test_permits_respect_rate_and_concurrency():
    """Loads beyond the share slow down every other load (R12)."""
    permits = weightstore.LoadPermits(build_share_allocator())
    assert permits.try_acquire(1.0)
    assert not permits.try_acquire(2.0)
    assert permits.try_acquire(3.0)
    assert not permits.try_acquire(9.0)
    permits.release()
    assert permits.try_acquire(9.0)


def test_recovery_comes_before_optimisation():
    """A lost model must not wait for copies that only add speed (R2)."""
    permits = weightstore.LoadPermits(build_share_allocator())
    assert permits.try_acquire(1.0)
    assert not permits.try_acquire(1.5, recovery=True)
    assert not permits.try_acquire(4.0)
    assert permits.try_acquire(4.0, recovery=True)


def test_expired_share_permits_nothing():
    """Another data centre may already use an expired share (R12)."""
    permits = weightstore.LoadPermits(build_share_allocator())
    assert not permits.try_acquire(30.0)


def test_outage_is_reported():
    """An unreported outage would look like an empty share (R13)."""

    async def scenario():
        store = keyvalue.MemoryKeyValue()
        store.available = False
        client = weightstore.ShareClient("a", STORE, store)
        failure = await client.renew(1, 0)
        assert failure.reason is errors.Reason.UNAVAILABLE

    loop = async_solipsism.EventLoop()
    loop.run_until_complete(scenario())
    loop.close()
