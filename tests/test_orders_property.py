"""Replays lost, delayed and duplicate orders over several lease terms.

Coordinators run in virtual time against simulated engines, which keep a history
so that their reports are outdated. No engine may ever be ordered to hold more
than fits into its memory.
"""

import asyncio
import copy
import dataclasses
import random

import async_solipsism
import builders_serving
from hypothesis import given, settings
from hypothesis import strategies as st
from test_coordinator import summary

from carobsail import coordinator, engineorders, errors, orderlease, telemetry
from carobsail.engineorders import Verb, Verdict
from carobsail.targetregistry import TargetRegistry

MODELS = [builders_serving.model(f"m{n}", adapters=4) for n in range(8)]
MAX_ADAPTERS = 2
POOL = builders_serving.engine_pool(
    *MODELS, adapter_slots=MAX_ADAPTERS, loads_per_s=20.0
)
MAX_MODELS = 3
RUN_S = 40.0
HANDOVER_DELAY_S = 3.2


class Lease:
    """The order lease during one term."""

    def __init__(self, fence):
        self.fence = self.term = fence
        self.me = orderlease.Holder(f"i{fence}", "10.0.0.1")

    def may_send_orders(self, now):
        return bool(self.fence)


@dataclasses.dataclass
class State:
    """State of a simulated engine."""

    models: dict
    orders: int = 0
    busy_until: float = 0.0
    coming: dict = dataclasses.field(default_factory=dict)
    leaving: dict = dataclasses.field(default_factory=dict)


class Engines(engineorders.EngineOrderClient):
    """Engines with lost responses and delayed execution of orders."""

    def __init__(self, rng, names):
        self.rng = rng
        self.states = {
            n: State({f"m{(i + k) % 8}": set() for k in range(2)})
            for i, n in enumerate(names)
        }
        self.history = {n: [(0.0, copy.deepcopy(s))] for n, s in self.items()}
        self.violations = []
        self.accepted = 0

    def items(self):
        return list(self.states.items())

    async def order(
        self, identity, address, order, orders_before, holder, fence
    ):
        """See base class."""
        outcome = self.rng.random()
        await asyncio.sleep(self.rng.uniform(0.002, 0.06))
        loop = asyncio.get_running_loop()
        if outcome < 0.7:
            return self.execute(identity, order, orders_before)
        if outcome < 0.8:
            self.execute(identity, order, orders_before)
        elif outcome < 0.9:
            loop.call_later(
                self.rng.uniform(2.0, 12.0),
                self.execute,
                identity,
                order,
                orders_before,
            )
        await asyncio.sleep(0.6)
        return errors.Failure(
            errors.Reason.TARGET_ERROR,
            errors.Step.ORDER,
            identity,
            errors.Outcome.UNKNOWN,
        )

    def settle(self, state, now):
        for key in [k for k, at in state.coming.items() if at <= now]:
            del state.coming[key]
            state.models.get(key[0], set()).add(key[1])
        for key in [k for k, at in state.leaving.items() if at <= now]:
            del state.leaving[key]
            state.models.get(key[0], set()).discard(key[1])

    def execute(self, identity, order, orders_before):
        now = asyncio.get_running_loop().time()
        state = self.states[identity]
        self.settle(state, now)
        if now < state.busy_until or orders_before != state.orders:
            return Verdict.CONFLICT
        verdict = Verdict.ACCEPTED
        if order.adapter:
            verdict = self.execute_adapter(identity, state, order, now)
        elif order.verb is Verb.LOAD:
            if order.model in state.models:
                return Verdict.HOLDS_ALREADY
            if len(state.models) >= MAX_MODELS:
                self.violations.append(f"{identity} beyond its memory")
            state.models[order.model] = set()
            state.busy_until = now + self.rng.choice([1.2, 2.4, 9.0])
            state.orders += 1
        else:
            if order.model not in state.models:
                return Verdict.HOLDS_ALREADY
            del state.models[order.model]
            state.busy_until = now + self.rng.uniform(0.0, 2.0)
            state.orders += 1
        self.accepted += 1
        self.history[identity].append((now, copy.deepcopy(state)))
        return verdict

    def execute_adapter(self, identity, state, order, now):
        held = state.models.get(order.model)
        key = (order.model, order.adapter)
        if held is None:
            return Verdict.CONFLICT
        if order.verb is Verb.UNLOAD:
            if order.adapter not in held:
                return Verdict.HOLDS_ALREADY
            state.orders += 1
            if self.rng.random() < 0.5:
                state.leaving[key] = now + self.rng.uniform(0.1, 3.0)
                return Verdict.ACCEPTED
            held.discard(order.adapter)
            return Verdict.HOLDS_ALREADY
        taken = sum(map(len, state.models.values())) + len(state.coming)
        if taken >= MAX_ADAPTERS:
            self.violations.append(f"{identity} beyond its places")
        state.coming[key] = now + 0.03
        state.orders += 1
        return Verdict.ACCEPTED

    async def report(self, identity, address):
        """See base class; reports the state of up to 0.25 s ago."""
        await asyncio.sleep(self.rng.uniform(0.002, 0.04))
        now = asyncio.get_running_loop().time()
        at = now - self.rng.uniform(0.05, 0.25)
        rows = self.history[identity]
        state = copy.deepcopy([s for t, s in rows if t <= at or t == 0.0][-1])
        self.settle(state, at)
        coming = {}
        for model, adapter in state.coming:
            coming.setdefault(model, set()).add(adapter)
        none = frozenset()
        # A model that is being loaded is not reported yet.
        busy = at < state.busy_until
        return engineorders.EngineReport(
            {
                m: frozenset(a)
                for m, a in state.models.items()
                if not (busy and m == self.newest(identity, state))
            },
            busy,
            state.orders,
            {m: frozenset(a) for m, a in coming.items()},
            none,
            none,
            1000,
        )

    def newest(self, identity, state):
        rows = [s for _, s in self.history[identity]]
        before = [s for s in rows if s.orders < state.orders]
        old = before[-1].models if before else state.models
        return next((m for m in state.models if m not in old), None)


async def run_terms(seed):
    """Runs coordinators in several terms; returns the engines."""
    rng = random.Random(seed)
    names = ["e1", "e2", "e3"]
    engines = Engines(rng, names)
    loop = asyncio.get_running_loop()
    routes = builders_serving.route_table(
        builders_serving.stream_route(), engines=POOL
    )
    number = 0
    for fence in range(1, 5):
        registry = TargetRegistry()
        for name in names:
            registry.put(
                builders_serving.engine_entry(name, start_time_ms=1000), 0.0
            )
        lease = Lease(fence)
        term_coordinator = coordinator.Coordinator(
            lease,
            registry,
            engines,
            loop.time,
            lambda holdings: None,
            lambda: None,
            5.0,
            telemetry.Metrics(),
        )
        until = loop.time() + rng.uniform(0.3, 0.4) * RUN_S
        counts = {f"m{n}": 0 for n in range(8)}
        while loop.time() < until:
            hot = f"m{int(loop.time() / 5.0) % 8}"
            for model in counts:
                counts[model] += rng.random() < (0.9 if model == hot else 0.1)
            needs = [
                (f"m{rng.randrange(8)}", f"a{rng.randrange(4)}", 1)
                for _ in range(2)
            ]
            number += 1
            report_summary = summary(
                number, list(counts.items()), [(hot, "", 1), *needs]
            )
            term_coordinator.add_summary(report_summary, loop.time())
            term_coordinator.run_round(routes)
            await asyncio.sleep(0.1)
        lease.fence = 0
        term_coordinator.run_round(routes)
        await asyncio.sleep(HANDOVER_DELAY_S)
    return engines


@given(st.integers(0, 10**6))
@settings(max_examples=12)
def test_no_engine_is_ordered_to_exceed_its_memory(seed):
    """A late order of an earlier term used a plan's memory.

    The plan then exceeded the engine's memory (soak check `limit`).
    """
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        engines = runner.run(run_terms(seed))
    assert engines.violations == []
    assert engines.accepted > 20
