"""Schedule of faults and planned work of one run, drawn from its seed."""

import dataclasses
import random
from collections.abc import Sequence

# Time without a fault before the first one.
QUIET_START_S = 2.0
# Weight of each kind of step in the draw, and its shortest and longest duration
# in seconds. Order and weights decide which steps a seed gives.
KINDS: dict[str, tuple[int, float, float]] = {
    "stop_instance": (3, 0.0, 0.0),
    "kill_instance": (3, 0.0, 0.0),
    "pause_instance": (3, 0.3, 4.5),
    "reload_instance": (2, 0.0, 0.0),
    "cut_store_way": (2, 0.5, 5.0),
    "refuse_store_way": (2, 0.5, 5.0),
    "store_down": (2, 0.5, 6.0),
    "store_slow": (1, 1.0, 4.0),
    "store_loses": (2, 0.0, 0.0),
    "store_forgets": (1, 0.0, 0.0),
    "cut_target_way": (3, 0.3, 4.0),
    "slow_target_way": (1, 0.5, 4.0),
    "reset_target_way": (2, 0.0, 0.0),
    "reset_callers": (2, 0.0, 0.0),
    "crash_target": (4, 0.5, 4.0),
    "drain_target": (3, 0.0, 0.0),
    "spoil_target": (3, 1.0, 5.0),
    "late_orders": (2, 0.0, 0.0),
    "change_configuration": (4, 0.0, 0.0),
    "shift_demand": (3, 0.0, 0.0),
}
# Kinds that are drawn after the others, so that earlier seeds keep their steps.
LATER_KINDS: dict[str, tuple[float, float, float]] = {
    # Probability, and shortest and longest duration in seconds.
    "deadly_prompts": (0.4, 8.0, 20.0),
    "deadly_lookups": (0.4, 8.0, 20.0),
    "odd_entries": (0.4, 2.0, 10.0),
    "hostile_callers": (0.4, 2.0, 6.0),
}
# The store that goes back is drawn by itself, so that earlier seeds keep their
# steps: shortest and longest time for which it is away, and the first time at
# which it has copies of some seconds.
RESTORED_KIND = "store_restored"
AWAY_S = (0.3, 4.0)
FIRST_RESTORED_S = 6.0
PLANNED = (
    "stop_instance",
    "reload_instance",
    "change_configuration",
    "drain_target",
    "shift_demand",
)


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """One injected fault or one piece of planned work.

    Attributes:
      at_s: Seconds from the start of the traffic.
      kind: What happens, such as a key of `KINDS`.
      pick: Selects the instance or target: a number in [0, 1).
      how: Selects the variant: a number in [0, 1).
      duration_s: How long it lasts.
    """

    at_s: float
    kind: str
    pick: float
    how: float
    duration_s: float

    def __str__(self) -> str:
        return (
            f"{self.at_s:7.2f} s {self.kind} pick={self.pick:.3f} "
            f"how={self.how:.3f} for {self.duration_s:.2f} s"
        )


def draw_with_losses(seed: int, seconds: float) -> list[Step]:
    """Returns the steps of a seed, and one or two in which the store goes back.

    Seeds with planned work only stay without.

    Args:
      seed: The seed.
      seconds: Time span in which steps begin.
    """
    steps = draw(seed, seconds)
    if seed % 3 == 0:
        return steps
    rng = random.Random(f"losses {seed}")
    latest_s = max(FIRST_RESTORED_S, seconds)
    for _ in range(rng.choice((1, 2))):
        at_s = rng.uniform(FIRST_RESTORED_S, latest_s)
        draws = rng.random(), rng.random(), rng.uniform(*AWAY_S)
        steps.append(Step(at_s, RESTORED_KIND, *draws))
    return sorted(steps, key=lambda step: step.at_s)


def draw(seed: int, seconds: float) -> list[Step]:
    """Returns the steps of a seed; a third of the seeds have planned work only.

    Args:
      seed: The seed.
      seconds: Time span in which steps begin.
    """
    rng = random.Random(seed)
    kinds: Sequence[str] = PLANNED if seed % 3 == 0 else list(KINDS)
    weights = [KINDS[kind][0] for kind in kinds]
    # From one step in 4 s, which run alone, to one in 1 s, which overlap.
    gap_s = rng.uniform(1.0, 4.0)
    steps = []
    at_s = QUIET_START_S
    while (at_s := at_s + rng.expovariate(1.0 / gap_s)) < seconds:
        kind = rng.choices(kinds, weights)[0]
        _, shortest_s, longest_s = KINDS[kind]
        steps.append(
            Step(
                at_s,
                kind,
                rng.random(),
                rng.random(),
                rng.uniform(shortest_s, longest_s),
            )
        )
        # Some steps are repeated shortly afterwards.
        if rng.random() < 0.15:
            repeated = dataclasses.replace(steps[-1], at_s=at_s + 0.3)
            steps.append(repeated)
    if kinds is PLANNED:
        return steps
    for kind, (probability, shortest_s, longest_s) in LATER_KINDS.items():
        if rng.random() < probability:
            steps.append(
                Step(
                    rng.uniform(QUIET_START_S, max(QUIET_START_S, seconds / 3)),
                    kind,
                    rng.random(),
                    rng.random(),
                    rng.uniform(shortest_s, longest_s),
                )
            )
    return sorted(steps, key=lambda step: step.at_s)
