"""Detection of requests that crash targets (queries of death).

Each request that was in flight when a target crashed is a suspect. A suspect
is rerun as the only request of a target. If it crashes that target too, it is
refused for `REFUSED_S`; if it finishes once, it is cleared.

A crash sets the count of a suspect to one more than was known when its run
started. So several copies of a request that were in flight at one crash, or
at simultaneous crashes (for instance of a rack), count once. Only a crash
during a rerun leads to a refusal, so other requests that were in flight at
the crash are only delayed.

Worst case for a request that crashes every target: an instance starts one copy
normally and one as a rerun before its own observations refuse the request, and
each crashes at most one engine. If a caller repeats it through n instances and
no suspicion reaches another instance, 2 * n engines crash within `REFUSED_S`.
If k further instances start it before they learn of the first crash and all
later messages arrive in time, one rerun is left: at most k + 2 engines crash,
and 2 if no message is late. Each copy sent concurrently through one instance
adds at most one engine until the first crash is seen.
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
MAX_CLEARANCES = 1024
MAX_CONCURRENT_RERUNS = 64
MAX_SHARED_ENTRIES = 256  # Entries per message.
RERUN_RETRY_AFTER_S = 1.0


class Verdict(enum.StrEnum):
    """How a request may run: beside others, or only with a target to itself."""

    NORMAL = "normal"
    ALONE = "alone"


@dataclasses.dataclass(slots=True, frozen=True)
class _Suspicion:
    """Number of crashes attributed to a request, and time of the last one."""

    crashes: int
    last_at: float


class CrashSuspects:
    """Crash suspicions known to one instance, limited in number."""

    __slots__ = ("_reruns", "_cleared", "_instance", "_suspicions")

    def __init__(self, instance: str):
        self._instance = instance
        self._suspicions: collections.OrderedDict[str, _Suspicion] = (
            collections.OrderedDict()
        )
        self._cleared: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._reruns: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._suspicions)

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Returns the number of known crashes.

        The value at the start of a run is passed to `record_crash` if it
        crashes.
        """
        known = self._known(fingerprint, now)
        return 0 if known is None else known.crashes

    def record_crash(self, runs: Iterable[tuple[str, int]], now: float) -> None:
        """Records a target's crash; called by its owner and by the senders.

        Args:
          runs: Fingerprint of each request in flight at the target, with the
            value of `crash_count` when it started.
          now: Time of the event loop's clock in seconds.
        """
        for fingerprint, at_start in runs:
            if self.crash_count(fingerprint, now) <= at_start:
                self._record(fingerprint, _Suspicion(at_start + 1, now))

    def record_success(self, fingerprint: str, now: float) -> None:
        """Clears a request that a target has completed."""
        if self._suspicions.pop(fingerprint, None) is not None:
            self._remember_cleared(fingerprint, now)

    def verdict(self, fingerprint: str, now: float) -> Verdict | errors.Failure:
        """Returns how a request may run, or its refusal before it runs."""
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

    def begin_rerun(
        self, fingerprint: str, attempt: str, now: float
    ) -> None | errors.Failure:
        """Starts a rerun; called by the owner of the `quarantine_target`.

        Returns:
          None, or a refusal before the run: the request has crashed too many
          targets, a rerun of it is in progress, or too many reruns are.
        """
        verdict = self.verdict(fingerprint, now)
        if isinstance(verdict, errors.Failure):
            return verdict
        if (
            fingerprint in self._reruns
            or len(self._reruns) >= MAX_CONCURRENT_RERUNS
        ):
            return self._refuse(
                errors.Reason.OVERLOADED,
                RERUN_RETRY_AFTER_S,
                "a rerun of a crash suspect is under way",
            )
        self._reruns[fingerprint] = attempt
        return None

    def end_rerun(self, fingerprint: str, attempt: str) -> None:
        """Ends a rerun; has no effect for other attempts."""
        if self._reruns.get(fingerprint) == attempt:
            del self._reruns[fingerprint]

    def entries_for_peers(self, now: float) -> messages.Suspects:
        """Returns the newest suspicions and clearances, to be sent to peers."""
        entries = [
            messages.CrashSuspicion(f, s.crashes, now - s.last_at)
            for f, s in reversed(self._suspicions.items())
            if now - s.last_at < REFUSED_S
        ]
        cleared = [
            messages.CrashSuspicion(f, 0, now - at)
            for f, at in reversed(self._cleared.items())
            if now - at < REFUSED_S
        ]
        half = MAX_SHARED_ENTRIES // 2
        return messages.Suspects(entries[:half] + cleared[:half])

    def merge(self, shared: messages.Suspects, now: float) -> None:
        """Merges the entries of a peer; idempotent.

        The higher number of crashes wins, and with equal numbers the earlier
        time. Network delay makes a crash look later than it was, and a
        suspicion must not become newer by being passed between peers.
        """
        for entry in shared.entries[:MAX_SHARED_ENTRIES]:
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
            self._record(fingerprint, seen)
        elif seen.crashes == known.crashes and seen.last_at < known.last_at:
            self._suspicions[fingerprint] = seen

    def _known(self, fingerprint: str, now: float) -> _Suspicion | None:
        known = self._suspicions.get(fingerprint)
        if known is not None and now - known.last_at >= REFUSED_S:
            del self._suspicions[fingerprint]
            return None
        return known

    def _record(self, fingerprint: str, suspicion: _Suspicion) -> None:
        self._cleared.pop(fingerprint, None)
        self._suspicions[fingerprint] = suspicion
        self._suspicions.move_to_end(fingerprint)
        if len(self._suspicions) > MAX_SUSPECTS:
            self._suspicions.popitem(last=False)

    def _remember_cleared(self, fingerprint: str, now: float) -> None:
        self._cleared[fingerprint] = now
        self._cleared.move_to_end(fingerprint)
        if len(self._cleared) > MAX_CLEARANCES:
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
    """Chooses the target of a data centre that reruns a suspect.

    By rendezvous hashing all instances that know the same targets choose the
    same one, so that a single owner keeps track of the reruns.
    """
    if not targets:
        return None
    return max(
        targets,
        key=lambda t: (_rank(fingerprint, t), t),
    )


def _rank(fingerprint: str, target: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{fingerprint}\0{target}".encode())
