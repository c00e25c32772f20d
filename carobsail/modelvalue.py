"""Values the copies of a model by the demand of its callers.

All values are in requests over `PLANNING_HORIZON_S`, so that `copyplan` can
compare them.
"""

import dataclasses
import math

from carobsail import routetable

# Covers a load from the weight store and the time until demand moves again.
PLANNING_HORIZON_S = 10.0
# Requests per second that one copy can serve. A request uses 0.11 s of an
# engine (1,900 prompt tokens that are not in its cache, at 19 to 20 per ms, and
# its share of the decode steps). Above a utilisation of 0.55, the queueing
# delay exceeds the latency objectives.
COPY_CAPACITY_PER_S = 5.0
# Fraction of a request's value that is lost when it waits for a load: all of it
# if its latency objective is shorter than a load from disk, little otherwise.
URGENT_DELAY_LOSS = 1.0
TOLERANT_DELAY_LOSS = 0.15
# For a model without requests so far, whose latency objective is unknown.
UNKNOWN_DELAY_LOSS = 0.4
# Callers with short latency objectives leave during a load, and demand moves
# again after it: a load that takes half the planning horizon keeps half of its
# gain.
LOAD_DELAY_WEIGHT = 2.0
# Minimum fraction of the gain that is kept for callers with long latency
# objectives, who wait for the load: a late response has 0.3 of the value, and a
# caller who is refused and retries in vain costs as much again.
TOLERANT_MIN_GAIN_FRACTION = 0.6
# Shorter objectives count as this; a configuration may state none.
MIN_OBJECTIVE_S = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class ModelDemand:
    """Demand for a model.

    Attributes:
      per_s: Requests per second, smoothed.
      last_requested_at: When it was last requested, in seconds of the loop's
        clock.
      waiting_requests: Requests that wait for a copy or an adapter.
      objective_s: Shortest latency objective of its requests so far.
      speedup: How many times faster engines serve it than most models.
      unserved_s: Seconds for which its callers have been without an engine; see
        `starvation`.
    """

    per_s: float = 0.0
    last_requested_at: float = float("-inf")
    waiting_requests: int = 0
    objective_s: float = float("inf")
    speedup: float = 1.0
    unserved_s: float = 0.0

    def unserved_per_s(self, copies: int, growth: float = 1.0) -> float:
        """Returns the requests per second that some copies cannot serve.

        Args:
          copies: Number of copies.
          growth: Factor by which the demand may grow.
        """
        capacity_per_s = copies * COPY_CAPACITY_PER_S * self.speedup
        return max(0.0, growth * self.per_s - capacity_per_s)

    def may_become_busy(self, model: routetable.Model) -> bool:
        """Whether a burst of requests with short objectives may arrive."""
        return (
            math.isinf(self.objective_s) or self.objective_s < model.disk_load_s
        )

    def delay_loss(self, model: routetable.Model) -> float:
        """Returns the fraction of a request's value lost by a load's delay."""
        if not math.isinf(self.objective_s):
            urgent = self.objective_s < model.disk_load_s
            return URGENT_DELAY_LOSS if urgent else TOLERANT_DELAY_LOSS
        # Models with adapters have many users, who mostly wait interactively
        # for a draft.
        return URGENT_DELAY_LOSS if model.adapters else UNKNOWN_DELAY_LOSS

    def absence_loss(self, model: routetable.Model) -> float:
        """Returns the requests lost while no engine holds the model.

        Callers with a long objective lose little by the delay of one load. If
        they have been without an engine for as long as their objective, the
        load was put off, and all of the value is lost. The requests of that
        time count as well: the models with the least demand would otherwise
        lose against others in every round.
        """
        served_per_s = min(self.per_s, COPY_CAPACITY_PER_S * self.speedup)
        waited_share = self.unserved_s / max(MIN_OBJECTIVE_S, self.objective_s)
        lost_share = max(self.delay_loss(model), min(1.0, waited_share))
        counted_s = PLANNING_HORIZON_S + self.unserved_s
        return counted_s * served_per_s * lost_share

    def fraction_after_load(
        self, model: routetable.Model, load_s: float
    ) -> float:
        """Returns the fraction of a gain that remains after a load."""
        if load_s < self.objective_s < math.inf:
            return 1.0
        fraction = PLANNING_HORIZON_S / (
            PLANNING_HORIZON_S + LOAD_DELAY_WEIGHT * load_s
        )
        if self.delay_loss(model) == TOLERANT_DELAY_LOSS:
            fraction = max(fraction, TOLERANT_MIN_GAIN_FRACTION)
        return fraction


NO_DEMAND = ModelDemand()
