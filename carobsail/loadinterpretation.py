"""Chooses among targets whose load figures are stale.

Load pattern: 61 instances choose by the same load figures, which are up to a
second old. If all take the cheapest engine until the next figures arrive (herd
effect), it receives 30 requests in a second while its neighbours are idle;
half of the late answers had been predicted to be early.

The work that the other instances will send in the meantime is distributed over
the targets by water-filling: costs are raised to a common level, a target is
chosen in proportion to the distance of its cost from that level, and a target
whose cost is above the level is not chosen. This is the "load interpretation"
of Dahlin (1998).
"""

from collections.abc import Sequence


def pick_target(
    costs: Sequence[float], others_work_s: float, draw: float
) -> int:
    """Returns the index of a target.

    Args:
      costs: Predicted seconds to the first event of each target.
      others_work_s: Seconds of work that other instances send until the costs
        are updated, summed over the targets.
      draw: Random number in [0, 1).
    """
    order = sorted(range(len(costs)), key=lambda n: (costs[n], n))
    least = costs[order[0]]
    level, filled = least, 0
    remaining_s = others_work_s
    for filled in range(1, len(order) + 1):
        next_cost = (
            costs[order[filled]] if filled < len(order) else float("inf")
        )
        if (next_cost - level) * filled >= remaining_s:
            level += remaining_s / filled
            break
        remaining_s -= (next_cost - level) * filled
        level = next_cost
    depths = [level - costs[n] for n in order[:filled]]
    total = sum(depths)
    if total <= 0.0:
        return order[0]
    remaining_draw = draw * total
    for index, depth in zip(order, depths, strict=False):
        remaining_draw -= depth
        if remaining_draw < 0.0:
            return index
    return order[0]
