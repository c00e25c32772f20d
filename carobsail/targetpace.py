"""Pace of a target: how long work takes there, against the usual time.

Load pattern: the engines of a service differ permanently in speed, by up to 1.7
times, and share their machines with others, so that the speed of each changes
many times a second. A target may state its present pace in its responses. An
instance hears from one of 70 engines every few seconds only, so the stated pace
counts fully only at first and then fades to the mean of the stated figures. A
correction, learned from measured against predicted times, covers permanent
differences and false figures.
"""

import dataclasses
import math

# Bounds of a pace that counts. Engines of one service differ by 1.7 times;
# beyond four times the usual a figure is taken as false.
MIN_PACE = 0.25
MAX_PACE = 4.0
# Time constant in seconds with which a stated pace fades to the mean.
FADE_S = 0.4
# Weight of a stated figure in their mean: at first as if one figure of the
# usual pace had come before, later that of a moving average.
MIN_STATED_WEIGHT = 0.1
# The same for measured times, of which single ones differ by factors because
# of work unknown to this instance: as if four usual ones had come before.
MEASURED_BEFORE = 4
MIN_MEASURED_WEIGHT = 0.05
# A measured time counts at most as this many times the predicted one, and at
# least as its reciprocal.
MAX_ERROR_RATIO = 2.0


@dataclasses.dataclass(slots=True)
class TargetPace:
    """Pace of one target; exactly 1 as long as the target states none.

    Attributes:
      stated: Last stated pace within the bounds; 1 is the usual one.
      stated_at: When it was stated; -inf if the target has stated none.
      mean: Moving average of the stated paces.
      correction: Learned ratio of the target's times to those that the latency
        model and the stated pace predict.
    """

    stated: float = 1.0
    stated_at: float = -math.inf
    mean: float = 1.0
    correction: float = 1.0
    _stated_count: int = 0
    _measured_count: int = 0

    @property
    def known(self) -> bool:
        """Whether the target has stated a pace."""
        return self._stated_count > 0

    def record_stated(self, pace: float, now: float) -> None:
        """Records a pace that the target stated.

        Args:
          pace: Stated ratio to the usual time.
          now: Time of the event loop's clock in seconds.
        """
        self.stated = _bounded(pace)
        self.stated_at = now
        self._stated_count += 1
        weight = max(MIN_STATED_WEIGHT, 1.0 / (self._stated_count + 1))
        self.mean += weight * (self.stated - self.mean)

    def record_measured(
        self, measured_s: float, predicted_s: float, correction: float
    ) -> None:
        """Updates the correction; ignored if the target states no pace.

        Args:
          measured_s: Measured time.
          predicted_s: Time predicted when the request was sent.
          correction: Correction contained in the prediction.
        """
        if not self.known or predicted_s <= 0.0:
            return
        ratio = max(
            1.0 / MAX_ERROR_RATIO,
            min(measured_s / predicted_s, MAX_ERROR_RATIO),
        )
        self._measured_count += 1
        weight = max(
            MIN_MEASURED_WEIGHT, 1.0 / (self._measured_count + MEASURED_BEFORE)
        )
        self.correction = _bounded(
            self.correction + weight * (ratio * correction - self.correction)
        )

    def stated_part(self, now: float) -> float:
        """Returns the pace by the stated figures alone, faded by their age."""
        if not self.known:
            return 1.0
        share = math.exp(-max(0.0, now - self.stated_at) / FADE_S)
        return self.mean + share * (self.stated - self.mean)

    def at(self, now: float) -> float:
        """Returns the expected ratio of the target's times to the usual."""
        if not self.known:
            return 1.0
        return _bounded(self.correction * self.stated_part(now))


def _bounded(pace: float) -> float:
    return max(MIN_PACE, min(pace, MAX_PACE))
