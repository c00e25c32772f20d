"""Builders of test data for the placement and adapter tests."""

from carobsail import engines, inventory


def target(name="e1", **fields):
    """Builds an engine with room for 1000 MB of models."""
    values = {
        "kind": inventory.Kind.ENGINE,
        "data_centre": "a",
        "address": "127.0.0.1:1",
        "pool": "p",
        "capacity_mb": 1300,
        "adapter_pool_mb": 200,
        "cache_floor_mb": 100,
        "checks_fencing": True,
    } | fields
    return inventory.Target(name, **values)


def engine_report(name="e1", **fields):
    """Builds an engine report."""
    values = {"models": {}, "loading": {}, "adapters": {}, "fence": 0} | fields
    values = {"incarnation": 1, "running": 0, "free_mb": 0} | values
    return engines.EngineReport(name, **values)


def engine_inventory(targets, sizes, regions=None, **fields):
    """Builds an inventory of the engines and of models with sizes in MB."""
    models = [inventory.Model(m, "p", mb) for m, mb in sizes.items()]
    store = inventory.WeightStore("north", **fields)
    regions = regions or {"a": "north", "b": "north", "c": "south"}
    return inventory.Inventory(1, regions, [], targets, models, [], store)
