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


# Mean age of a load when the coordinator passes it on: instances report their
# loads twice a second.
SUMMARY_AGE_S = 0.25
# Age of the figures from which they say nothing about a queue. Without figures,
# this age is assumed, so that targets are drawn by their speed.
MAX_LOAD_AGE_S = 5.0
# Share of all requests that may arrive in one region. At the share of an even
# spread, half, 9 of 10 requests arriving in one region made a third of the
# answers late instead of a fifth; see docs/design/stale-load.md.
REGION_ARRIVAL_SHARE = 0.75
# Bounds of the speed of a target, so that a false pace does little harm.
MIN_SPEED, MAX_SPEED = 0.25, 4.0


def load_age_s(newest_report_at: float, now: float) -> float:
    """Returns the age of the known load of other instances.

    The coordinator names only targets with a load, so the newest report of any
    target tells how old the figures of all are.

    Args:
      newest_report_at: When a load of one of the targets was last received;
        minus infinity if never.
      now: Time of the event loop's clock in seconds.
    """
    age_s = now - newest_report_at + SUMMARY_AGE_S
    return min(max(SUMMARY_AGE_S, age_s), MAX_LOAD_AGE_S)


def drained_s(wait_s: float, others_share: float, age_s: float) -> float:
    """Returns by how much a wait has shortened since its load was reported.

    Load pattern: by figures a second old, most targets exceed the objective,
    and the few others received all requests.

    Args:
      wait_s: Predicted seconds by the figures as reported.
      others_share: Share of it due to requests of other instances. Those of
        this instance are known exactly.
      age_s: Age of the figures.
    """
    return min(wait_s * min(1.0, max(0.0, others_share)), age_s)


def pick_by_level(
    costs: Sequence[float],
    speeds: Sequence[float],
    near: Sequence[bool],
    others_work_s: float,
    draw: float,
) -> int:
    """Returns the index of a target.

    The work that other instances have sent since the figures were made raises
    the cheapest targets to a common level, each in proportion to its speed.
    All targets below the level are expected to have reached it by now, so one
    of them is drawn by its speed ("aggressive" load interpretation of Dahlin).
    A single wrong figure therefore attracts no more than the target's share.

    Targets of this region are preferred as far as their part of those below
    the level can take `REGION_ARRIVAL_SHARE` of all requests.

    Args:
      costs: Predicted seconds to the first event of each target, without the
        cost of the link to another region.
      speeds: Work that each does in a second, relative to a usual target.
      near: Whether each is in this instance's region.
      others_work_s: Seconds of work, at a usual target, that other instances
        have sent since the figures were made.
      draw: Random number in [0, 1).
    """
    order = sorted(range(len(costs)), key=costs.__getitem__)
    level, speed, filled = costs[order[0]], 0.0, 0
    remaining_s = others_work_s
    for index in order:
        rise_s = (costs[index] - level) * speed
        if rise_s > remaining_s:
            break
        remaining_s -= rise_s
        level = costs[index]
        speed += speeds[index]
        filled += 1
    below = order[:filled]
    near_below = [n for n in below if near[n]]
    far_below = [n for n in below if not near[n]]
    if not near_below or not far_below:
        return _draw_by_speed(speeds, below, draw)
    near_speed = sum(speeds[n] for n in near_below)
    probability = min(1.0, near_speed / speed / REGION_ARRIVAL_SHARE)
    if draw < probability:
        return _draw_by_speed(speeds, near_below, draw / probability)
    return _draw_by_speed(
        speeds, far_below, (draw - probability) / (1.0 - probability)
    )


def _draw_by_speed(
    speeds: Sequence[float], indices: Sequence[int], draw: float
) -> int:
    """Draws one of the indices in proportion to the speed of its target."""
    remaining = draw * sum(speeds[n] for n in indices)
    for index in indices:
        remaining -= speeds[index]
        if remaining < 0.0:
            return index
    return indices[-1]
