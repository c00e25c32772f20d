"""Requests that were in flight when a target crashed.

Such a request is a suspect: it reruns alone, and when that crashes a target
too, it is refused for `REFUSED_S`. A suspect that finishes once is cleared.
A crash counts as one more than were known when the run started. So all copies
of a request in flight at the time of one crash, or of several at once (a
rack), count as one, and only a crash of a run alone leads to refusal:
innocent neighbours are delayed at most.

Worst case. Of a request that crashes each target, an instance starts one copy
normally and one alone before its own observations refuse it, and each takes
down at most one engine. If a caller repeats it through n instances of which
none hears of the others' suspicion, it takes down 2 * n engines in
`REFUSED_S`. If k further instances start it before they hear of the first
crash and all later messages are in time, one rerun is left: at most k + 2
engines, and 2 when no message is late. Copies sent at the same time through
one instance each add at most one engine until the first crash is seen.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable, Sequence

import xxhash

from carobsail import errors, messages

REFUSED_S = 600.0
CRASHES_TO_REFUSE = 2
MAX_SUSPECTS = 4096
MAX_CLEARED = 1024
MAX_ALONE = 64
MAX_SHARED = 256  # In one message.
ALONE_RETRY_S = 1.0


class Verdict(enum.StrEnum):
    """How a request may run."""

    NORMAL = "normal"
    ALONE = "alone"


@dataclasses.dataclass(slots=True, frozen=True)
class _Suspicion:
    crashes: int
    last_at: float


class SuspectBook:
    """Crash suspicions known to one instance; bounded."""

    __slots__ = ("_alone", "_cleared", "_instance", "_suspicions")

    def __init__(self, instance: str):
        self._instance = instance
        self._suspicions: collections.OrderedDict[str, _Suspicion] = (
            collections.OrderedDict()
        )
        self._cleared: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._alone: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._suspicions)

    def crashes(self, fingerprint: str, now: float) -> int:
        """Returns the known crashes, to be kept with a run that starts."""
        known = self._known(fingerprint, now)
        return 0 if known is None else known.crashes

    def crashed(self, runs: Iterable[tuple[str, int]], now: float) -> None:
        """Records a target's crash, at its owner and at the senders.

        Args:
          runs: Fingerprint of each request in flight at the target, with the
            value of `crashes` when it started.
          now: Time of the loop's clock in seconds.
        """
        for fingerprint, at_start in runs:
            if self.crashes(fingerprint, now) <= at_start:
                self._put(fingerprint, _Suspicion(at_start + 1, now))

    def finished(self, fingerprint: str, now: float) -> None:
        """Clears a request that a target answered."""
        if self._suspicions.pop(fingerprint, None) is not None:
            self._remember_cleared(fingerprint, now)

    def verdict(self, fingerprint: str, now: float) -> Verdict | errors.Failure:
        """Returns how a request may run, or its refusal as not run."""
        known = self._known(fingerprint, now)
        if known is None:
            return Verdict.NORMAL
        if known.crashes < CRASHES_TO_REFUSE:
            return Verdict.ALONE
        return self._refuse(
            errors.Reason.SUSPECT_REFUSED,
            known.last_at + REFUSED_S - now,
            f"{known.crashes} targets crashed while running this request",
        )

    def begin_alone(
        self, fingerprint: str, attempt: str, now: float
    ) -> None | errors.Failure:
        """Starts a rerun, asked by the owner of `quarantine_target`.

        Returns:
          None, or a refusal as not run: the request has crashed too often,
          or a rerun of it is under way.
        """
        verdict = self.verdict(fingerprint, now)
        if isinstance(verdict, errors.Failure):
            return verdict
        if fingerprint in self._alone or len(self._alone) >= MAX_ALONE:
            return self._refuse(
                errors.Reason.OVERLOADED,
                ALONE_RETRY_S,
                "a rerun of a crash suspect is under way",
            )
        self._alone[fingerprint] = attempt
        return None

    def end_alone(self, fingerprint: str, attempt: str) -> None:
        """Ends a rerun; ends of other attempts have no effect."""
        if self._alone.get(fingerprint) == attempt:
            del self._alone[fingerprint]

    def share(self, now: float) -> messages.Suspects:
        """Returns the newest suspicions and clearances for peers."""
        entries = [
            messages.SuspectEntry(f, s.crashes, now - s.last_at)
            for f, s in reversed(self._suspicions.items())
            if now - s.last_at < REFUSED_S
        ]
        cleared = [
            messages.SuspectEntry(f, 0, now - at)
            for f, at in reversed(self._cleared.items())
            if now - at < REFUSED_S
        ]
        half = MAX_SHARED // 2
        return messages.Suspects(entries[:half] + cleared[:half])

    def merge(self, shared: messages.Suspects, now: float) -> None:
        """Takes over a peer's entries; a repeated message changes nothing.

        The higher number of crashes wins. At equal numbers the earlier time
        does: the delay of the link makes a crash look later than it was, and
        suspicions passed round must not grow younger.
        """
        for entry in shared.entries[:MAX_SHARED]:
            age_s = max(0.0, entry.age_s)
            if age_s >= REFUSED_S:
                continue
            if entry.crashes <= 0:
                self._merge_cleared(entry.fingerprint, now - age_s)
            else:
                seen = _Suspicion(entry.crashes, now - age_s)
                self._merge_suspicion(entry.fingerprint, seen, now)

    def _merge_cleared(self, fingerprint: str, at: float) -> None:
        known = self._suspicions.get(fingerprint)
        if known is None or known.last_at > at:
            return
        if known.crashes < CRASHES_TO_REFUSE:
            del self._suspicions[fingerprint]

    def _merge_suspicion(
        self, fingerprint: str, seen: _Suspicion, now: float
    ) -> None:
        if self._cleared.get(fingerprint, -REFUSED_S) >= seen.last_at:
            return
        known = self._known(fingerprint, now)
        if known is None or seen.crashes > known.crashes:
            self._put(fingerprint, seen)
        elif seen.crashes == known.crashes and seen.last_at < known.last_at:
            self._suspicions[fingerprint] = seen

    def _known(self, fingerprint: str, now: float) -> _Suspicion | None:
        known = self._suspicions.get(fingerprint)
        if known is not None and now - known.last_at >= REFUSED_S:
            del self._suspicions[fingerprint]
            return None
        return known

    def _put(self, fingerprint: str, suspicion: _Suspicion) -> None:
        self._cleared.pop(fingerprint, None)
        self._suspicions[fingerprint] = suspicion
        self._suspicions.move_to_end(fingerprint)
        if len(self._suspicions) > MAX_SUSPECTS:
            self._suspicions.popitem(last=False)

    def _remember_cleared(self, fingerprint: str, now: float) -> None:
        self._cleared[fingerprint] = now
        self._cleared.move_to_end(fingerprint)
        if len(self._cleared) > MAX_CLEARED:
            self._cleared.popitem(last=False)

    def _refuse(
        self, reason: errors.Reason, retry_after_s: float, detail: str
    ) -> errors.Failure:
        return errors.Failure(
            reason,
            errors.Step.ADMIT,
            self._instance,
            errors.Outcome.NOT_RUN,
            detail,
            max(0.0, retry_after_s),
        )


def quarantine_target(fingerprint: str, targets: Sequence[str]) -> str | None:
    """Picks the target of a data centre that reruns a suspect.

    All instances that know the same targets pick the same one (rendezvous
    hashing), so that its owner alone decides on reruns under way.
    """
    if not targets:
        return None
    return max(
        targets,
        key=lambda t: (_rank(fingerprint, t), t),
    )


def _rank(fingerprint: str, target: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{fingerprint}\0{target}".encode())
