"""Replays a shortage of model memory on the coordinator alone.

The engines can hold fewer copies than the requested models need, and demand
moves between the busy models. Routing is not played: a request is served as
soon as an engine holds its model, and otherwise leaves after some time.
"""

import asyncio
import collections
import dataclasses
import random

import builders_serving
from test_coordinator import summary
from test_orders_property import Lease

from carobsail import coordinator, engineorders, modelvalue, telemetry
from carobsail.engineorders import Verb, Verdict
from carobsail.summaries import RequestCount
from carobsail.targetregistry import TargetRegistry

STEP_S = 0.1
# Memory of an engine for models, and models whose weights fit on its disk.
MEMORY_MB = 200_000.0
DISK_MODELS = 6
# Sizes of the busy models, and of the rare ones in turn.
BUSY_MB = 72_700.0
RARE_MB = (72_700.0, 65_500.0, 65_100.0, 34_300.0)


@dataclasses.dataclass(slots=True, frozen=True)
class Shortage:
    """Size of the replay.

    Attributes:
      engines: Number of engines.
      busy: Number of models with an objective of 1 s.
      rare: Number of models with an objective of 5 s.
      busy_per_s: Requests per second for all busy models, a multiple of 10.
      rare_per_s: Requests per second for each rare model.
      move_s: Time after which the demand of the busiest models moves on.
      patience_s: Time after which a caller without a model leaves.
      run_s: Length of the replay.
    """

    engines: int = 16
    busy: int = 10
    rare: int = 36
    busy_per_s: float = 100.0
    rare_per_s: float = 0.4
    move_s: float = 9.0
    patience_s: float = 5.6
    run_s: float = 40.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a replay came to.

    Attributes:
      served: Requests served by rare model.
      loads: Loads by model.
      busy_requests: Requests for busy models.
      busy_within_capacity: Those that their copies could serve, if each served
        as many as the planner assumes.
    """

    served: dict[str, int]
    loads: collections.Counter[str]
    busy_requests: float = 0.0
    busy_within_capacity: float = 0.0

    def never_served(self) -> list[str]:
        """Returns the rare models none of whose requests was served."""
        return sorted(name for name, count in self.served.items() if not count)


class Engines(engineorders.EngineOrderClient):
    """Engines that carry out each order, with weights on their disks."""

    def __init__(self, rng, pool, held):
        super().__init__()
        self.rng = rng
        self.pool = pool
        self.models = held
        self.disks = {name: list(models) for name, models in held.items()}
        self.orders = dict.fromkeys(held, 0)
        self.order_ends = dict.fromkeys(held, (0.0, ""))
        self.loads = collections.Counter()

    def size_mb(self, models):
        """Returns the memory that models take."""
        return sum(self.pool.models[name].size_mb for name in models)

    def usable(self, now):
        """Returns the number of copies that requests may be sent to."""
        found = collections.Counter()
        for name, models in self.models.items():
            ends_at, loading = self.order_ends[name]
            found.update(models - ({loading} if now < ends_at else set()))
        return found

    async def order(
        self, identity, address, order, orders_before, holder, fence
    ):
        """See base class."""
        now = asyncio.get_running_loop().time()
        model, disk = self.pool.models[order.model], self.disks[identity]
        if now < self.order_ends[identity][0]:
            return Verdict.CONFLICT
        self.orders[identity] += 1
        if order.verb is Verb.UNLOAD:
            # Ends once the requests that run on the model have ended.
            self.models[identity].discard(order.model)
            ends_at = now + self.rng.expovariate(1.0)
            self.order_ends[identity] = (ends_at, "")
            return Verdict.ACCEPTED
        self.models[identity].add(order.model)
        assert self.size_mb(self.models[identity]) <= MEMORY_MB
        took_s = model.store_load_s
        if order.model in disk:
            took_s = model.disk_load_s
            disk.remove(order.model)
        self.disks[identity] = [*disk, order.model][-DISK_MODELS:]
        self.order_ends[identity] = (now + took_s, order.model)
        self.loads[order.model] += 1
        return Verdict.ACCEPTED

    async def report(self, identity, address):
        """See base class."""
        ends_at, loading = self.order_ends[identity]
        busy = asyncio.get_running_loop().time() < ends_at
        held = self.models[identity] - ({loading} if busy else set())
        none = frozenset()
        return engineorders.EngineReport(
            dict.fromkeys(held, none),
            busy,
            self.orders[identity],
            {},
            none,
            frozenset(self.disks[identity]),
            1000,
        )


def _weights(shortage, now):
    """Returns each busy model's part of the demand: a few get most of it."""
    first = 3 * int(now / shortage.move_s)
    ranks = [(n - first) % shortage.busy for n in range(shortage.busy)]
    return [1.0 / (1 + rank) for rank in ranks]


def _place(pool, busy, rare, engines):
    """Returns what engines hold at first: the busy models, then others."""
    held = {f"e{n}": set() for n in range(engines)}
    queue = (busy * engines)[: engines + engines // 2] + rare
    for model in queue:
        for models in sorted(held.values(), key=len):
            taken = sum(pool.models[m].size_mb for m in models)
            size_mb = pool.models[model].size_mb
            if model not in models and taken + size_mb <= MEMORY_MB:
                models.add(model)
                break
    return held


async def replay(shortage: Shortage, seed: int) -> Outcome:
    """Plays a shortage."""
    rng = random.Random(seed)
    names = [f"busy{n}" for n in range(shortage.busy)]
    rare = [f"rare{n}" for n in range(shortage.rare)]
    sizes = dict.fromkeys(names, BUSY_MB)
    sizes |= {n: RARE_MB[i % len(RARE_MB)] for i, n in enumerate(rare)}
    pool = builders_serving.engine_pool(
        *(
            builders_serving.model(
                n, size_mb=mb, store_load_s=6.4, disk_load_s=1.3
            )
            for n, mb in sizes.items()
        ),
        weights_memory_mb=MEMORY_MB,
        loads_per_s=22.0,
    )
    engines = Engines(rng, pool, _place(pool, names, rare, shortage.engines))
    registry = TargetRegistry()
    for name in engines.models:
        entry = builders_serving.engine_entry(name, start_time_ms=1000)
        registry.put(entry, 0.0)
    loop = asyncio.get_running_loop()
    planner = coordinator.Coordinator(
        Lease(1), registry, engines, loop.time, lambda _: None, lambda: None,
        5.0, telemetry.Metrics(),
    )  # fmt: skip
    routes = builders_serving.route_table(
        builders_serving.stream_route(), engines=pool
    )
    counts = dict.fromkeys(names + rare, 0)
    outcome = Outcome(dict.fromkeys(rare, 0), engines.loads)
    waiting: list[tuple[str, float]] = []
    for number in range(1, int(shortage.run_s / STEP_S)):
        now = loop.time()
        arrivals = int(shortage.busy_per_s * STEP_S)
        weights = _weights(shortage, now)
        for name in rng.choices(names, weights, k=arrivals):
            counts[name] += 1
        for name in rare:
            if rng.random() < shortage.rare_per_s * STEP_S:
                counts[name] += 1
                waiting.append((name, now + shortage.patience_s))
        usable = engines.usable(now)
        for name, _ in waiting:
            outcome.served[name] += name in usable
        waiting = [w for w in waiting if w[0] not in usable and now < w[1]]
        for name, weight in zip(names, weights, strict=True):
            per_s = shortage.busy_per_s * weight / sum(weights)
            capacity_per_s = modelvalue.COPY_CAPACITY_PER_S * usable[name]
            outcome.busy_requests += per_s * STEP_S
            outcome.busy_within_capacity += STEP_S * min(per_s, capacity_per_s)
        report = summary(number, waiting=[(n, "", 1) for n, _ in waiting])
        report.demand.extend(
            RequestCount("llm", n, c, 1.0 if n.startswith("busy") else 5.0)
            for n, c in counts.items()
        )
        planner.add_summary(report, now)
        planner.run_round(routes)
        await asyncio.sleep(STEP_S)
    return outcome
