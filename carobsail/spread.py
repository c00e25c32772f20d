"""Chooses among targets whose load is known with a delay.

Load pattern: 61 instances choose by the same figures, which are up to a second
old. All took the cheapest engine until the next figures came: it received 30
requests in a second while its neighbours idled, and half of the late answers
were predicted to be early.

What the other instances will send in the meantime is spread over the targets as
water is over a floor: the target that is cheapest by most takes most, one above
the level none ("load interpretation", Dahlin 1998).
"""

from collections.abc import Sequence


def pick(costs: Sequence[float], rival_s: float, draw: float) -> int:
    """Returns the index of a target.

    Args:
      costs: Predicted seconds to the first event of each target.
      rival_s: Seconds of work that others send until the costs are known
        anew, summed over the targets.
      draw: Random number in [0, 1).
    """
    order = sorted(range(len(costs)), key=lambda n: (costs[n], n))
    least = costs[order[0]]
    level, filled = least, 0
    left_s = rival_s
    for filled in range(1, len(order) + 1):
        end = costs[order[filled]] if filled < len(order) else float("inf")
        if (end - level) * filled >= left_s:
            level += left_s / filled
            break
        left_s -= (end - level) * filled
        level = end
    depths = [level - costs[n] for n in order[:filled]]
    total = sum(depths)
    if total <= 0.0:
        return order[0]
    mark = draw * total
    for index, depth in zip(order, depths, strict=False):
        mark -= depth
        if mark < 0.0:
            return index
    return order[0]
