"""Tests of the planner: home engines, rate-limited loads, version changes.

Requirements R1 and R2.
"""

import builders

from carobsail import (
    deployments,
    homes,
    inventory,
    messages,
    planner,
    planninground,
    weightstore,
)

LISTED = deployments.VALTELLINA.build_inventory(deployments.PortSource(1))
NAMES = [model.name for model in LISTED.models]
CENTRES = list(LISTED.regions)


def build_policies(names=NAMES, copies=1):
    """Returns one policy that uses the models."""
    return [builders.build_policy(models=list(names), copies=copies)]


class Centre:
    """A data centre whose engines carry out plans immediately."""

    def __init__(self, name, platform_inventory=LISTED):
        self.name = name
        self.platform_inventory = platform_inventory
        self.planner = planner.DataCentrePlanner(
            name, planninground.Weights(), copies=1
        )
        self.allocator = weightstore.ShareAllocator(
            name, platform_inventory.weight_store
        )
        self.planner.set_share_allocator(self.allocator)
        self.resident = {
            target.name: []
            for target in platform_inventory.targets_in(name)
            if target.kind is inventory.Kind.ENGINE
        }
        self.healthy = dict.fromkeys(self.resident, True)
        self.most_loading = 0

    def progress(self):
        return {
            name: messages.TargetProgress(name, models, [], self.healthy[name])
            for name, models in self.resident.items()
        }

    def run(self, policies, start=0.0, rounds=40, demand=None):
        for number in range(rounds):
            now = start + number * 0.5
            self.allocator.confirm_write(weightstore.Share(1000.0, 12, 12), now)
            planning_input = planner.PlanningInput(
                self.platform_inventory, self.progress(), policies, demand or {}
            )
            plans = self.planner.plan(planning_input, now)
            loading = 0
            for plan in plans:
                new = set(plan.models) - set(self.resident[plan.target])
                loading += len(new)
                if self.healthy[plan.target]:
                    self.resident[plan.target] = list(plan.models)
            self.most_loading = max(self.most_loading, loading)

    def models(self):
        return {m for models in self.resident.values() for m in models}


def test_leaders_agree_on_homes_for_every_model():
    """Guards against a model without a home engine in any data centre (R2)."""
    copies = homes.count_copies(build_policies(), default=1)
    found = homes.assign_homes(LISTED, copies)
    assert set(found) == set(NAMES)
    assert all(len(engines) == 1 for engines in found.values())


def test_second_homes_are_in_other_data_centres_and_fit():
    """Guards against losing both copies of a model with one data centre.

    The home engines must also have enough memory for their models (R1, R2).
    """
    copies = homes.count_copies(build_policies(copies=2), default=1)
    found = homes.assign_homes(LISTED, copies)
    sizes = {m.name: m.weights_mb for m in LISTED.models}
    held = {}
    for model, engines in found.items():
        assert engines
        centres = [t.data_centre for t in engines]
        assert len(set(centres)) == len(centres)
        for target in engines:
            held[target.name] = held.get(target.name, 0) + sizes[model]
    for target in LISTED.targets:
        fixed = target.adapter_pool_mb + target.cache_floor_mb
        assert held.get(target.name, 0) <= max(0, target.capacity_mb - fixed)


def test_lost_engine_moves_only_its_own_models():
    """Guards against loads on many engines after the failure of one (R10)."""
    copies = homes.count_copies(build_policies(), default=1)
    before = homes.assign_homes(LISTED, copies)
    lost = "scrivano-engine-1"
    kept = [t for t in LISTED.targets if t.name != lost]
    platform_inventory = inventory.Inventory(
        2, LISTED.regions, [], kept, LISTED.models, [], LISTED.weight_store
    )
    after = homes.assign_homes(platform_inventory, copies)
    moved = [m for m in NAMES if before[m][0].name != after[m][0].name]
    was_there = [m for m in NAMES if before[m][0].name == lost]
    assert set(was_there) <= set(moved)
    assert len(moved) <= len(was_there) + 2


def test_all_data_centres_together_load_every_model():
    """Each model in use becomes resident in some data centre (R2)."""
    centres = [Centre(name) for name in CENTRES]
    for centre in centres:
        centre.run(build_policies())
        assert centre.planner.refusal is None
        assert centre.most_loading <= len(centre.resident)
    assert set().union(*(c.models() for c in centres)) == set(NAMES)


def test_models_of_a_dead_engine_are_placed_elsewhere():
    """Guards against models that stay lost with an engine that failed (R2)."""
    centre = Centre("sondrio-a")
    centre.run(build_policies())
    scrivano = [n for n in centre.resident if n.startswith("scrivano")]
    dead = next(n for n in scrivano if centre.resident[n])
    lost = centre.resident[dead]
    assert lost
    centre.healthy[dead] = False
    centre.resident[dead] = []
    centre.run(build_policies(), start=100.0, rounds=60)
    assert set(lost) <= centre.models()


def test_new_version_is_loaded_before_the_old_one_leaves():
    """Guards against a version change that makes a model unavailable (R2)."""
    centre = Centre("sondrio-a")
    centre.run(build_policies())
    name = next(iter(centre.models()))
    changed = [
        inventory.Model(m.name, m.pool, m.weights_mb, "2")
        if m.name == name
        else m
        for m in LISTED.models
    ]
    centre.platform_inventory = inventory.Inventory(
        2,
        LISTED.regions,
        [],
        LISTED.targets,
        changed,
        [],
        LISTED.weight_store,
    )
    seen = []
    for number in range(40):
        centre.run(build_policies(), start=100.0 + number, rounds=1)
        seen.append(centre.models() & {name, f"{name}@2"})
    assert all(seen)
    assert seen[-1] == {f"{name}@2"}


def test_second_copies_wait_for_models_without_any():
    """Guards against loads of second copies while a model has no copy (R2)."""
    centre = Centre("sondrio-a")
    copies = homes.count_copies(build_policies(copies=2), default=1)
    assigned = homes.assign_homes(LISTED, copies)
    second = {
        model
        for model, engines in assigned.items()
        if engines[0].data_centre != "sondrio-a"
    }
    centre.run(build_policies(copies=2), rounds=100)
    assert centre.models() and not centre.models() & second
    centre.run(
        build_policies(copies=2),
        start=planner.RECOVERY_ONLY_S + 50.0,
        rounds=100,
    )
    assert centre.models() & second


def test_what_fits_is_recovered_when_not_all_does():
    """Guards against placing no lost model when one of them doesn't fit.

    Requirement R2.
    """
    models = [
        inventory.Model(f"m{number}", "scrivano", 20_000) for number in range(4)
    ]
    pool = [t for t in LISTED.targets if t.name.startswith("scrivano")]
    engines = [t for t in pool if t.data_centre == "sondrio-a"]
    assert len(engines) == 2  # Each has room for three of the models.
    platform_inventory = inventory.Inventory(
        1, {"sondrio-a": "r"}, [], engines, models, [], LISTED.weight_store
    )
    centre = Centre("sondrio-a", platform_inventory)
    policies = build_policies([model.name for model in models])
    centre.run(policies)
    assert len(centre.models()) == 4
    dead, kept = sorted(centre.resident, key=lambda n: -len(centre.resident[n]))
    centre.healthy[dead] = False
    centre.resident[dead] = []
    centre.run(policies, start=100.0, rounds=300)
    assert centre.planner.refusal is not None
    assert len(centre.resident[kept]) == 3


def test_models_stay_before_the_first_client_account():
    """Guards against unloading all models under an empty configuration (R2)."""
    centre = Centre("sondrio-a")
    engine = next(iter(centre.resident))
    centre.resident[engine] = ["scrivano-1"]
    centre.run([])
    assert centre.resident[engine] == ["scrivano-1"]
