"""Compares placement policies and measures the planner's cost.

The demand for each model moves within an hour between levels that are up to
tenfold apart. An engine is an M/M/c queue with a server for each slot; a
request is on time when it waits at most 0.63 s. Model loads respect the limits
of the weight store and the bandwidth of the link between regions.
"""

import json
import math
import random
import time

from carobsail import demand, errors, inventory, placement, planninground

DURATION_S = 4 * 3600.0
STEP_S = 20.0
MAX_WAIT_S = 0.63
TOKENS_PER_REQUEST = 150.0
STORE_MB_PER_S = 1000.0
SITES = {
    "valtellina": (
        {"sondrio-a": "sondrio", "sondrio-b": "sondrio", "lecco-a": "lecco"},
        inventory.WeightStore("sondrio", 1.0, 12, 100),
        planninground.Weights(
            late_response_cost=1.0, load_cost=5.0, horizon_s=7200.0
        ),
    ),
    "kagsa": (
        {
            "midrand": "gauteng",
            "germiston": "gauteng",
            "epping": "western-cape",
        },
        inventory.WeightStore("gauteng", 1.0, 9, 70),
        planninground.Weights(
            late_response_cost=0.3, load_cost=20.0, cost_per_link_gb=10.0
        ),
    ),
}


def build_site(name: str, generator: random.Random) -> inventory.Inventory:
    """Builds an inventory of eight engines in two pools and 17 models."""
    regions, store, _ = SITES[name]
    centres = sorted(regions, key=lambda c: (regions[c] != store.region, c))
    targets = [
        inventory.Target(
            f"engine-{i}",
            inventory.Kind.ENGINE,
            centres[i % 3],
            "127.0.0.1:1",
            "large" if i < 5 else "small",
            80_000,
            4_000,
            16_000,
        )
        for i in range(8)
    ]
    models = [
        inventory.Model(
            f"model-{i:02}",
            "large" if i < 11 else "small",
            generator.choice([7_000, 10_000, 14_000]),
        )
        for i in range(17)
    ]
    return inventory.Inventory(1, regions, [], targets, models, [], store)


def on_time_share(load: float, rate: float, slots: int) -> float:
    """Returns the share of requests that wait at most `MAX_WAIT_S`."""
    utilisation = load / rate
    if utilisation >= 1.0:
        return 0.5 / utilisation
    offered, blocking = utilisation * slots, 1.0
    for i in range(1, slots + 1):  # Erlang B; C follows.
        blocking = offered * blocking / (i + offered * blocking)
    waiting = blocking / (1.0 - utilisation * (1.0 - blocking))
    ends_per_s = rate / TOKENS_PER_REQUEST
    return 1.0 - waiting * math.exp(
        -ends_per_s * (1 - utilisation) * MAX_WAIT_S
    )


class DemandLevels:
    """Demand for each model; levels an hour apart differ up to tenfold."""

    def __init__(
        self, models: list[str], geometric_mean: float, generator: random.Random
    ) -> None:
        hours = int(DURATION_S / 3600) + 2
        self._levels = {
            m: [
                geometric_mean * 10 ** generator.uniform(-0.5, 0.5)
                for _ in range(hours)
            ]
            for m in models
        }

    def at(self, now: float) -> dict[str, float]:
        """Returns the demand for each model in tokens a second."""
        hour = int(now // 3600)
        part = now / 3600 - hour
        return {
            m: levels[hour] ** (1 - part) * levels[hour + 1] ** part
            for m, levels in self._levels.items()
        }


class Site:
    """Resident models of a site and the model loads in progress."""

    def __init__(self, platform_inventory: inventory.Inventory) -> None:
        self.platform_inventory = platform_inventory
        self.sizes = {m.name: m.weights_mb for m in platform_inventory.models}
        self.resident: dict[str, dict[str, int]] = {
            t.name: {} for t in platform_inventory.targets
        }
        self.loading: dict[tuple[str, str], float] = {}
        self._link_free_at = 0.0
        self.loads = self.unloads = self.link_mb = 0

    def execute(self, plans, now: float) -> None:
        """Completes loads, unloads redundant copies and starts new loads."""
        for (name, model), end in list(self.loading.items()):
            if end <= now:
                del self.loading[name, model]
                self.resident[name][model] = self.sizes[model]
        budget = int(self.platform_inventory.weight_store.loads_per_s * STEP_S)
        copies = [m for held in self.resident.values() for m in held]
        for plan in plans:
            held = self.resident[plan.target]
            for model in [m for m in held if m not in plan.models]:
                if copies.count(model) > 1:
                    copies.remove(model)
                    del held[model]
                    self.unloads += 1
        for plan in plans:
            for model in plan.models:
                if budget and self._start(plan.target, model, now):
                    budget -= 1

    def _start(self, name: str, model: str, now: float) -> bool:
        at_once = self.platform_inventory.weight_store.loads_at_once
        held = self.resident[name]
        if model in held or (name, model) in self.loading:
            return False
        used = sum(held.values()) + sum(
            self.sizes[m] for n, m in self.loading if n == name
        )
        if len(self.loading) >= at_once or used + self.sizes[model] > 60_000:
            return False
        self.loads += 1
        target = next(
            t for t in self.platform_inventory.targets if t.name == name
        )
        region = self.platform_inventory.regions[target.data_centre]
        duration_s = self.sizes[model] / STORE_MB_PER_S
        if region != self.platform_inventory.weight_store.region:
            self.link_mb += self.sizes[model]
            duration_s = (
                self.sizes[model]
                * 8
                / self.platform_inventory.region_link_mbit_per_s
            )
            # Loads share the link, so each waits for the ones before it.
            self._link_free_at = max(now, self._link_free_at) + duration_s
            duration_s = self._link_free_at - now
        self.loading[name, model] = now + duration_s
        return True


def simulate(
    site_name: str, geometric_mean: float, policy: str, seed: int
) -> dict:
    """Simulates one policy at one site.

    Args:
      site_name: Key of `SITES`.
      geometric_mean: Geometric mean of the tokens a second of a model.
      policy: Name of the policy.
      seed: Seed of the site and its demand.
    """
    generator = random.Random(seed)
    platform_inventory = build_site(site_name, generator)
    weights = SITES[site_name][2]
    names = [m.name for m in platform_inventory.models]
    levels, site = (
        DemandLevels(names, geometric_mean, generator),
        Site(platform_inventory),
    )
    averages = {m: demand.DemandAverage() for m in names}
    previous = placement.plan(
        platform_inventory, {}, {}, names, weights, None, 0.0, "static"
    )
    assert isinstance(previous, placement.Placement)
    for plan in previous.plans:
        site.resident[plan.target] = {m: site.sizes[m] for m in plan.models}
    on_time = total = engines = 0.0
    steps = int(DURATION_S / STEP_S)
    for step in range(1, steps + 1):
        now = step * STEP_S
        tokens = levels.at(now)
        for model, rate in tokens.items():
            averages[model].observe(rate / TOKENS_PER_REQUEST, rate, now)
        observed = {m: a.demand() for m, a in averages.items()}
        result = placement.plan(
            platform_inventory,
            site.resident,
            observed,
            names,
            weights,
            previous,
            now,
            policy,
        )
        if not isinstance(result, errors.Failure):
            previous = result
        site.execute(previous.plans, now)
        actual = {m: demand.Demand(0.0, rate) for m, rate in tokens.items()}
        routed = planninground.PlanningRound(
            platform_inventory, site.resident, actual, names, weights, None, now
        )
        routed.assign_demand()
        for engine in routed.engines:
            slots = engine.target.slots
            share = on_time_share(
                engine.assigned_tokens_per_s, engine.decode_tokens_per_s, slots
            )
            on_time += engine.assigned_tokens_per_s * share
            total += engine.assigned_tokens_per_s
            loads = any(n == engine.target.name for n, _ in site.loading)
            engines += bool(engine.wanted_mb) or loads
    return {
        "site": site_name,
        "tokens_per_s": geometric_mean,
        "policy": policy,
        "on_time": round(on_time / total, 4),
        "engines": round(engines / steps, 2),
        "on_time_per_engine": round(on_time / total / (engines / steps), 4),
        "loads": site.loads,
        "unloads": site.unloads,
        "link_gb": round(site.link_mb / 1000, 1),
    }


def measure_cost(count: int, seed: int) -> dict:
    """Measures the time of rounds of `demand_aware` with 210 models."""
    generator = random.Random(seed)
    targets = [
        inventory.Target(
            f"engine-{i:03}",
            inventory.Kind.ENGINE,
            f"centre-{i % 24}",
            "127.0.0.1:1",
            "large",
            80_000,
            4_000,
            16_000,
        )
        for i in range(count)
    ]
    models = [inventory.Model(f"m{i}", "large", 14_000) for i in range(210)]
    regions = {f"centre-{i}": f"region-{i % 10}" for i in range(24)}
    store = inventory.WeightStore("region-0", 1.0, 12, 100)
    platform_inventory = inventory.Inventory(
        1, regions, [], targets, models, [], store
    )
    names = [m.name for m in models]
    sizes = {m.name: m.weights_mb for m in models}
    tokens = {m: count * generator.uniform(0.2, 2.0) for m in names}
    residency: dict[str, dict[str, int]] = {}
    previous = None
    times_ms = []
    for round_number in range(160):
        for model in names:
            tokens[model] *= generator.choice([0.95, 1.0, 1.05])
        observed = {
            m: demand.Demand(t / TOKENS_PER_REQUEST, t)
            for m, t in tokens.items()
        }
        started = time.perf_counter()
        previous = placement.plan(
            platform_inventory,
            residency,
            observed,
            names,
            planninground.Weights(),
            previous,
            round_number * 10.0,
        )
        times_ms.append((time.perf_counter() - started) * 1000)
        if isinstance(previous, errors.Failure):
            return {"engines": count, "refused": previous.detail}
        residency = {
            p.target: {m: sizes[m] for m in p.models} for p in previous.plans
        }
    subsequent_ms = sorted(times_ms[1:])
    return {
        "engines": count,
        "models": 210,
        "first_ms": round(times_ms[0], 1),
        "median_ms": round(subsequent_ms[len(subsequent_ms) // 2], 1),
        "p99_ms": round(subsequent_ms[int(len(subsequent_ms) * 0.99)], 1),
        "worst_ms": round(subsequent_ms[-1], 1),
    }


def run(seed: int) -> list[dict]:
    """Returns a row for each site, demand and policy and each fleet size."""
    rows = [
        simulate(site, geometric_mean, name, seed)
        for site in SITES
        for geometric_mean in (20.0, 60.0, 150.0)
        for name in sorted(placement.POLICIES)
    ]
    return rows + [measure_cost(count, seed) for count in (62, 125, 250, 500)]


if __name__ == "__main__":
    for row in run(1):
        print(json.dumps(row))
