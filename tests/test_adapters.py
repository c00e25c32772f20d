"""Tests of the adapter pool: memory limit, eviction and waiting requests."""

from builders_placement import engine_report, target
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from carobsail import adapters, errors

SIZES = {"x": 40, "y": 90, "z": 120, "w": 60}
NAMES = st.sampled_from(sorted(SIZES))
LOST = errors.Failure(
    errors.Reason.TIMEOUT,
    errors.Step.LOAD_ADAPTER,
    "e1",
    errors.Outcome.UNKNOWN,
)


class PoolMachine(RuleBasedStateMachine):
    """The adapters at the engine must never exceed the pool's fixed memory.

    Requirement R1.
    """

    def __init__(self):
        super().__init__()
        self.loads = adapters.LoadLimiter(2)
        self.pool = adapters.AdapterPool(target(), self.loads)
        self.now = 0.0
        self.engine = {}
        self.sent, self.late = [], []
        self.pinned = []

    def send(self):
        self.sent += [(o, self.now) for o in self.pool.orders(self.now)]

    @rule(name=NAMES)
    def acquire(self, name):
        assert self.pool.acquire(name, SIZES[name]) is None
        self.pinned.append(name)
        self.send()
        assert self.loads.in_flight <= 2

    @rule(index=st.integers(0, 9))
    def release(self, index):
        if self.pinned:
            self.pool.release(self.pinned.pop(index % len(self.pinned)))
            self.send()

    @rule(outcome=st.sampled_from(["ok", "ok", "lost", "unanswered", "late"]))
    def answer(self, outcome):
        if not self.sent:
            return
        order, sent_at = self.sent.pop(0)
        if outcome in ("ok", "unanswered"):
            self.execute(order)
        if outcome == "late" and self.now < sent_at + 29.0:
            self.late.append((sent_at + 29.0, order))
        failures = self.pool.record_answer(
            order, None if outcome == "ok" else LOST
        )
        for _ in failures:
            self.pinned.remove(order.adapter)
        self.send()

    def execute(self, order):
        if order.load:
            self.engine[order.adapter] = SIZES[order.adapter]
        else:
            assert not self.pool.is_ready(order.adapter)
            self.engine.pop(order.adapter, None)

    @rule(seconds=st.sampled_from([1.0, 31.0]))
    def advance(self, seconds):
        self.now += seconds
        for at, order in [o for o in self.late if o[0] <= self.now]:
            self.late.remove((at, order))
            self.execute(order)
        self.pool.observe(engine_report(adapters=dict(self.engine)), self.now)
        self.send()

    @invariant()
    def memory_is_not_exceeded(self):
        assert sum(self.engine.values()) <= 200
        assert self.pool.held_mb <= 200


PoolMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, derandomize=True, deadline=None
)
TestPool = PoolMachine.TestCase


def test_requests_share_one_load():
    """One load per request would waste the weight store's limit (R12)."""
    pool = adapters.AdapterPool(target(), adapters.LoadLimiter(9))
    pool.acquire("x", 40)
    orders = pool.orders(0.0)
    pool.acquire("x", 40)
    assert pool.orders(0.0) == []
    pool.record_answer(orders[0], None)
    assert pool.is_ready("x")


def test_pinned_adapter_is_not_evicted():
    """Evicting an adapter in use would make its requests fail (R2)."""
    pool = adapters.AdapterPool(target(), adapters.LoadLimiter(9))
    for name in ("z", "w"):
        pool.acquire(name, SIZES[name])
        pool.record_answer(pool.orders(0.0)[0], None)
    pool.release("w")
    pool.acquire("y", 60)
    assert pool.orders(0.0) == [adapters.AdapterOrder("w", load=False)]


def test_failed_load_reports_each_waiting_request():
    """Otherwise a request would wait forever after a failed load (R3)."""
    pool = adapters.AdapterPool(target(), adapters.LoadLimiter(9))
    pool.acquire("x", 40)
    orders = pool.orders(0.0)
    pool.acquire("x", 40)
    assert pool.record_answer(orders[0], LOST) == [LOST, LOST]
    assert pool.held_mb == 40
    pool.observe(engine_report(), 30.0)
    assert pool.held_mb == 0
