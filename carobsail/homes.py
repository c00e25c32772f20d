"""Home engines of models: engines on which each model in use is always kept.

Every leader computes the same home engines from the same inventory, so each
model is kept somewhere without coordination between data centres (requirement
R2). The leaders add further copies in their own data centre by demand.
"""

from collections.abc import Mapping

from carobsail import inventory, ownership, planninground, policies


def count_copies(
    used_by: list[policies.Policy], default: int
) -> dict[str, int]:
    """Returns the wanted number of copies of each model in use.

    Args:
      used_by: Policies of all client accounts.
      default: Minimum number of copies of a model in use.
    """
    wanted: dict[str, int] = {}
    for policy in used_by:
        for model in policy.models:
            copies = max(default, policy.copies)
            wanted[model] = max(wanted.get(model, 0), copies)
    return wanted


def assign_homes(
    platform_inventory: inventory.Inventory, copies: Mapping[str, int]
) -> dict[str, list[inventory.Target]]:
    """Assigns each model its home engines.

    All first copies are placed before second ones, so that a second copy never
    takes the memory needed for a model's only one. Further copies are placed
    in other data centres if there is room, because a whole data centre can
    fail. Engines are ranked by rendezvous hashing, so that the loss of an
    engine moves only its own models.

    Args:
      platform_inventory: The whole inventory.
      copies: Wanted number of copies by model name.

    Returns:
      The home engines of each model's current version; fewer than wanted if
      memory is short.
    """
    engines = [
        target
        for target in platform_inventory.targets
        if target.kind is inventory.Kind.ENGINE
        and target.state is inventory.State.LIVE
    ]
    free_mb = {
        t.name: t.capacity_mb - t.adapter_pool_mb - t.cache_floor_mb
        for t in engines
    }
    pools: dict[str, list[inventory.Target]] = {}
    for target in engines:
        pools.setdefault(target.pool, []).append(target)
    models = sorted(
        (m for m in platform_inventory.models if m.name in copies),
        key=lambda m: (-m.weights_mb, m.name),
    )
    found: dict[str, list[inventory.Target]] = {
        planninground.model_id(m): [] for m in models
    }
    for copy_number in range(1, max(copies.values(), default=0) + 1):
        for model in models:
            if copies[model.name] >= copy_number:
                _add_home(
                    model,
                    found[planninground.model_id(model)],
                    pools.get(model.pool, []),
                    free_mb,
                )
    return found


def _add_home(
    model: inventory.Model,
    chosen: list[inventory.Target],
    engines: list[inventory.Target],
    free_mb: dict[str, int],
) -> None:
    used = {t.name for t in chosen}
    centres = {t.data_centre for t in chosen}
    fitting = [
        target
        for target in engines
        if target.name not in used and free_mb[target.name] >= model.weights_mb
    ]
    if not fitting:
        return
    best = max(
        fitting,
        key=lambda t: (
            t.data_centre not in centres,
            ownership.rendezvous_score(model.name, t.name),
        ),
    )
    chosen.append(best)
    free_mb[best.name] -= model.weights_mb
