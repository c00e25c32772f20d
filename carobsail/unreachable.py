"""Targets that several instances cannot reach, as decided by the coordinator.

Load pattern: a third of the engines crash at once. Each of 88 instances would
have to detect each of them itself, at the cost of a failed connection attempt
and, if the target does not reply at all, of 0.4 s of its caller's time.

The report of one instance is not enough, since its own link may be cut. Reports
of two instances of a region are trusted for that region only: a saturated link
between regions makes targets look unreachable, but only from the other side.
"""

import collections
import dataclasses

from carobsail import summaries, targetchoice

# Number of instances of a region that must have reported a target.
MIN_REPORTERS = 2
# Reports are valid for this long; they are sent twice a second.
REPORT_VALID_S = 1.2
# A target is avoided for this long, doubled with each new confirmation, because
# a new attempt by all instances at once would cost as much as the first
# detection. The entry of a crashed target is removed after some 4 s.
INITIAL_AVOID_S = 1.0
MAX_AVOID_S = 4.0
# The doubling starts over this long after the target was last avoided.
BACKOFF_RESET_S = 8.0


@dataclasses.dataclass(slots=True)
class _Avoidance:
    """Until when, for how long and in which regions a target is avoided."""

    until: float
    avoid_s: float
    regions: frozenset[str]


class UnreachableTargets:
    """Reports of all instances, and the targets to be avoided."""

    __slots__ = ("_avoided", "_location", "_reports_by_target")

    def __init__(self, location: targetchoice.Location) -> None:
        """Creates an empty record with the regions of `location`."""
        self._location = location
        # By target and instance: region and time of the latest report.
        self._reports_by_target: dict[str, dict[str, tuple[str, float]]] = {}
        self._avoided: dict[str, _Avoidance] = {}

    def record_reports(self, summary: summaries.Summary, now: float) -> bool:
        """Records the reports of an instance.

        Returns:
          Whether a target is newly avoided, or in further regions.
        """
        changed = False
        region = self._location.region_of(summary.data_centre)
        for target in summary.unreachable:
            reports = self._reports_by_target.setdefault(target, {})
            reports[summary.instance] = (region, now)
            changed |= self._evaluate(target, now)
        return changed

    def _evaluate(self, target: str, now: float) -> bool:
        """Updates the avoidance of a target; returns whether it changed."""
        reports = {
            instance: report
            for instance, report in self._reports_by_target[target].items()
            if now - report[1] < REPORT_VALID_S
        }
        self._reports_by_target[target] = reports
        counts = collections.Counter(region for region, _ in reports.values())
        regions = frozenset(
            region for region, n in counts.items() if n >= MIN_REPORTERS
        )
        if not regions:
            return False
        avoidance = self._avoided.get(target)
        if avoidance is not None and now < avoidance.until:
            if regions <= avoidance.regions:
                return False
            regions |= avoidance.regions
        avoid_s = INITIAL_AVOID_S
        if avoidance is not None and now - avoidance.until < BACKOFF_RESET_S:
            avoid_s = avoidance.avoid_s
            if now >= avoidance.until:
                avoid_s = min(MAX_AVOID_S, 2.0 * avoid_s)
        self._avoided[target] = _Avoidance(now + avoid_s, avoid_s, regions)
        return True

    def targets_to_avoid(self, now: float) -> list[summaries.AvoidedTarget]:
        """Returns the targets to be avoided, and in which regions."""
        found = []
        for target, avoidance in list(self._avoided.items()):
            left_s = avoidance.until - now
            if left_s > 0.0:
                regions = sorted(avoidance.regions)
                found.append(summaries.AvoidedTarget(target, regions, left_s))
            elif -left_s > BACKOFF_RESET_S:
                del self._avoided[target]
                self._reports_by_target.pop(target, None)
        return found
