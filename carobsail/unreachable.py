"""Targets that several instances cannot reach, judged by the order giver.

Load pattern: a third of the engines crash at once. Each of 88 instances would
find each of them out by itself, at the cost of a connection that does not open
and, where the target is silent, of 0.4 s of its caller's time.

One instance's evidence is not enough: its own link may be cut. Two instances of
a region are believed within it: a full link between regions looks like targets
that are away, but only from the other side.
"""

import collections
import dataclasses

from carobsail import summaries, targetchoice

# Instances whose evidence is needed.
CONFIRMATIONS = 2
# Evidence counts for this long; it is sent twice a second.
EVIDENCE_VALID_S = 1.2
# A target is avoided for this long, doubled each time it is confirmed again: a
# probe by all instances at once would cost as much as the first discovery. The
# entry of a crashed target is gone after some 4 s.
FIRST_AVOID_S = 1.0
MAX_AVOID_S = 4.0
# After this long without evidence the first duration applies again.
FORGET_S = 8.0


@dataclasses.dataclass(slots=True)
class _Judgement:
    until: float
    avoid_s: float
    regions: frozenset[str]


class UnreachableTargets:
    """Evidence of all instances, and what follows from it."""

    __slots__ = ("_evidence", "_judged", "_place")

    def __init__(self, place: targetchoice.Place) -> None:
        """Creates a judge that knows the regions of a place."""
        self._place = place
        # By target: region and time, by instance.
        self._evidence: dict[str, dict[str, tuple[str, float]]] = {}
        self._judged: dict[str, _Judgement] = {}

    def take(self, summary: summaries.Summary, now: float) -> bool:
        """Takes over an instance's evidence; tells whether it is news."""
        news = False
        region = self._place.region_of(summary.data_centre)
        for target in summary.unreachable:
            rows = self._evidence.setdefault(target, {})
            rows[summary.instance] = (region, now)
            news |= self._judge(target, now)
        return news

    def _judge(self, target: str, now: float) -> bool:
        rows = {
            instance: row
            for instance, row in self._evidence[target].items()
            if now - row[1] < EVIDENCE_VALID_S
        }
        self._evidence[target] = rows
        counts = collections.Counter(region for region, _ in rows.values())
        regions = frozenset(
            region for region, n in counts.items() if n >= CONFIRMATIONS
        )
        if not regions:
            return False
        known = self._judged.get(target)
        if known is not None and now < known.until:
            if regions <= known.regions:
                return False
            regions |= known.regions
        avoid_s = FIRST_AVOID_S
        if known is not None and now - known.until < FORGET_S:
            avoid_s = known.avoid_s
            if now >= known.until:
                avoid_s = min(MAX_AVOID_S, 2.0 * avoid_s)
        self._judged[target] = _Judgement(now + avoid_s, avoid_s, regions)
        return True

    def judged(self, now: float) -> list[summaries.Unreachable]:
        """Returns the targets that are to be avoided, and where."""
        found = []
        for target, known in list(self._judged.items()):
            left_s = known.until - now
            if left_s > 0.0:
                regions = sorted(known.regions)
                found.append(summaries.Unreachable(target, regions, left_s))
            elif -left_s > FORGET_S:
                del self._judged[target]
                self._evidence.pop(target, None)
        return found
