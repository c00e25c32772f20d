"""Finds out which requests crash each target that executes them.

Load pattern: requests that have one thing in common crash every engine that
begins to answer them. They may be the same request sent again, or requests that
share a part of their prompt and are otherwise different. Any instance may
receive them. Unless the instances share what they know, such requests crash one
engine after the other.

A request is described by its traits: hashes of the parts of its prompt without
the last one, which belongs to this request alone, and of its method, path and
body. Each crash of a target is an observation against the traits of a request
that it was executing. A trait that a target has answered since then is cleared
of that crash. When the observations suffice, a request is refused if it has all
traits that the crashes have in common and that no target has answered, so that
requests that share only some of them are still served.

A crash also ends all other requests at the target, so most of what it was
executing is innocent. A target sends the head of a response when it begins to
answer, and the first event immediately after it. A request of which only the
head has arrived was being begun at the time of the crash and is therefore
strong evidence; two such crashes suffice. A request without a head may have
waited only: it counts as such only against an identical request, and three
crashes are needed.
"""

import collections
import dataclasses
import functools
import hashlib
from collections.abc import Callable, Collection

from carobsail import httpserver, summaries

# Number of targets that must have crashed before a request is refused: if all
# of them had begun to answer, if not, and for traits that targets have answered
# at other times.
MIN_CRASHES_BEGUN = 2
MIN_CRASHES = 3
MIN_CRASHES_OF_ANSWERED = 4
# Crashes within this time may have one cause outside the requests, for instance
# a rack that lost power.
SIMULTANEOUS_S = 0.1
# Crashes further apart than this are not counted together, unless the targets
# had begun to answer.
LOSS_WINDOW_S = 60.0
# A request is refused for this long after its last observed crash.
REFUSED_S = 600.0
# Own observations are included in summaries for this long: datagrams may be
# lost, and a new coordinator takes the lease up to 3.4 s after the last one was
# lost.
REPORT_S = 10.0
# Limits of what is kept, and of the entries of one message.
MAX_OBSERVATIONS = 64
MAX_ANSWERED = 8192
MAX_REPORTED = 12
MAX_REPORTED_WAITING = 4
MAX_REPORTED_ANSWERED = 48
# Parts of a prompt that are examined.
MAX_PARTS = 16


@dataclasses.dataclass(slots=True, frozen=True)
class Traits:
    """Traits of one request.

    Attributes:
      parts: Hashes of the parts of the prompt except the last one.
      fingerprint: Hash of method, path and body; 0 without a body, because many
        callers send identical requests without one.
    """

    parts: tuple[int, ...] = ()
    fingerprint: int = 0

    def all(self) -> tuple[int, ...]:
        """Returns all hashes."""
        return (
            (*self.parts, self.fingerprint) if self.fingerprint else self.parts
        )


def request_traits(
    request: httpserver.Request, prompt_parts: tuple[tuple[str, int], ...]
) -> Traits:
    """Returns the traits of a request."""
    parts = tuple(
        _hash(f"part\0{name}".encode())
        for name, _ in prompt_parts[:-1][:MAX_PARTS]
    )
    if not request.body:
        return Traits(parts)
    head = f"{request.method}\0{request.request_target}\0".encode()
    return Traits(parts, _hash(head + request.body))


def incarnation(identity: str, start_time_ms: int) -> int:
    """Returns a hash that differs after each restart of a target."""
    return _hash(f"{identity}\0{start_time_ms}".encode())


def _hash(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest()) or 1


@dataclasses.dataclass(slots=True, frozen=True)
class _Observation:
    """A crash of a target that was executing a request with these traits.

    Attributes:
      incarnation: Incarnation of the target.
      traits: Traits that the crash counts against.
      begun: Whether the target had begun to answer the request.
      at: When the connection was lost.
      own: Whether this instance has observed it.
    """

    incarnation: int
    traits: frozenset[int]
    begun: bool
    at: float
    own: bool = False

    def key(self) -> tuple[int, frozenset[int]]:
        return self.incarnation, self.traits


@dataclasses.dataclass(slots=True, frozen=True)
class MergeResult:
    """What the report of another instance has changed.

    Attributes:
      news: Whether it contained an unknown crash of a target that had begun to
        answer, or an unknown answer.
      contributes: Whether this instance knows answers that the other does not.
    """

    news: bool
    contributes: bool


class CrashObservations:
    """Crashes and answers observed by an instance and reported by others.

    Merging a report is idempotent and independent of the order, so reports may
    be lost, late or repeated.
    """

    __slots__ = (
        "_answered",
        "_observations",
        "_refused",
        "_to_report",
    )

    def __init__(self) -> None:
        self._observations: dict[tuple[int, frozenset[int]], _Observation] = {}
        # By trait: when a target last began to answer a request with it.
        self._answered: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        # Answered traits that others need to know, and since when.
        self._to_report: dict[int, float] = {}
        # Sets of traits; a request that has all of one set is refused, until
        # the time given.
        self._refused: dict[frozenset[int], float] = {}

    def record_crash(
        self, traits: Collection[int], target: int, begun: bool, now: float
    ) -> bool:
        """Records that a target crashed while it executed a request.

        Args:
          traits: Traits of the request that the crash counts against.
          target: Incarnation of the target.
          begun: Whether the target had begun to answer this request.
          now: Time of the event loop's clock in seconds.

        Returns:
          Whether it was unknown.
        """
        observation = _Observation(
            target, frozenset(traits), begun, now, own=True
        )
        if not self._add(observation, now):
            return False
        self._judge()
        return True

    def record_answer(self, traits: Traits, now: float) -> bool:
        """Records that a target has begun to answer a request.

        Returns:
          Whether this clears a trait of an observed crash.
        """
        answered = traits.parts
        # Fingerprints of all requests would displace the parts of prompts.
        if any(
            traits.fingerprint in o.traits for o in self._observations.values()
        ):
            answered = traits.all()
        cleared = [t for t in answered if self._set_answered(t, now)]
        if cleared:
            self._to_report.update(dict.fromkeys(cleared, now))
            self._judge()
        return bool(cleared)

    def merge(
        self,
        crashes: list[summaries.CrashReport],
        answered: list[summaries.AnsweredTrait],
        now: float,
    ) -> MergeResult:
        """Merges a report of another instance."""
        news = clears = False
        for row in answered[:MAX_REPORTED_ANSWERED]:
            news |= row.trait not in self._answered
            clears |= self._set_answered(row.trait, now - max(0.0, row.age_s))
        known_to_sender = {row.trait for row in answered}
        added = contributes = False
        for report in crashes[: MAX_REPORTED + MAX_REPORTED_WAITING]:
            observation = _Observation(
                report.incarnation,
                frozenset(report.traits[: MAX_PARTS + 1]),
                report.begun,
                now - max(0.0, report.age_s),
            )
            if not self._add(observation, now):
                continue
            added = True
            if not report.begun:
                continue
            news = True
            for trait in observation.traits - known_to_sender:
                if trait in self._answered:
                    self._to_report[trait] = now
                    contributes = True
        if clears or added:
            self._judge()
        return MergeResult(news, contributes)

    def refusal_left_s(self, traits: Traits, now: float) -> float:
        """Returns for how long a request is refused; 0 if it is not."""
        if not self._refused:
            return 0.0
        has = set(traits.all())
        return max(
            (
                until - now
                for set_, until in self._refused.items()
                if set_ <= has
            ),
            default=0.0,
        )

    def is_accused(self, trait: int) -> bool:
        """Whether a crash counts against a trait."""
        return any(
            trait in self._open_traits(o) for o in self._observations.values()
        )

    def unanswered_parts(self, traits: Traits) -> set[int]:
        """Returns the parts of a prompt that no target has answered."""
        return {part for part in traits.parts if part not in self._answered}

    @property
    def refused(self) -> Collection[frozenset[int]]:
        """Sets of traits of which a refused request has all."""
        return self._refused.keys()

    def reports(
        self, now: float, own_only: bool
    ) -> tuple[list[summaries.CrashReport], list[summaries.AnsweredTrait]]:
        """Returns observed crashes and answers to be sent to others.

        Args:
          now: Time of the event loop's clock in seconds.
          own_only: Whether to include only recent observations of this
            instance, and not those that others reported.
        """
        chosen: list[_Observation] = []
        count_by_trait: collections.Counter[int] = collections.Counter()
        candidates = sorted(
            self._observations.values(),
            key=lambda o: (o.begun, o.at),
            reverse=True,
        )
        for observation in candidates:
            age_s = now - observation.at
            if own_only and (not observation.own or age_s > REPORT_S):
                continue
            if age_s > REPORT_S and not self._matters(observation):
                continue
            open_ = self._open_traits(observation)
            # Further observations of the same traits would change nothing.
            if all(
                count_by_trait[trait] >= MIN_CRASHES_OF_ANSWERED
                for trait in open_
            ):
                continue
            count_by_trait.update(open_)
            chosen.append(observation)
        waiting = [o for o in chosen if not o.begun]
        chosen = [o for o in chosen if o.begun][:MAX_REPORTED]
        chosen += waiting[:MAX_REPORTED_WAITING]
        crashes = [
            summaries.CrashReport(
                o.incarnation, sorted(o.traits), o.begun, now - o.at
            )
            for o in chosen
        ]
        self._to_report = {
            t: at for t, at in self._to_report.items() if now - at < REPORT_S
        }
        wanted = {*self._to_report, *(t for o in chosen for t in o.traits)}
        answered = [
            summaries.AnsweredTrait(trait, now - self._answered[trait])
            for trait in wanted
            if trait in self._answered
        ]
        answered.sort(key=lambda row: row.age_s)
        return crashes, answered[:MAX_REPORTED_ANSWERED]

    def _matters(self, observation: _Observation) -> bool:
        """Whether an old observation still contributes to a refusal."""
        return observation.begun or any(
            refused <= observation.traits for refused in self._refused
        )

    def _add(self, observation: _Observation, now: float) -> bool:
        if not observation.traits or now - observation.at >= REFUSED_S:
            return False
        if observation.key() in self._observations:
            return False
        self._observations[observation.key()] = observation
        self._drop_surplus(now)
        return True

    def _drop_surplus(self, now: float) -> None:
        """Drops expired observations, then the weakest and oldest ones."""
        for key, known in list(self._observations.items()):
            if now - known.at >= REFUSED_S:
                del self._observations[key]
        while len(self._observations) > MAX_OBSERVATIONS:
            weakest = min(
                self._observations.values(),
                key=lambda o: (bool(self._open_traits(o)), o.begun, o.at),
            )
            del self._observations[weakest.key()]

    def _set_answered(self, trait: int, at: float) -> bool:
        """Records an answer; returns whether it clears an observation."""
        before = self._answered.get(trait, float("-inf"))
        if at <= before:
            return False
        self._answered[trait] = at
        self._answered.move_to_end(trait)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        return any(
            trait in o.traits and before <= o.at
            for o in self._observations.values()
        )

    def _open_traits(self, observation: _Observation) -> frozenset[int]:
        """Returns the traits that were not answered since the crash."""
        return frozenset(
            trait
            for trait in observation.traits
            if self._answered.get(trait, float("-inf")) <= observation.at
        )

    def _judge(self) -> None:
        """Decides again which traits are refused.

        Traits that no target has ever answered are accused first. Crashes that
        these explain do not count against traits that targets have answered at
        other times, for instance the first part of all prompts of a route.
        """
        open_by_observation = {
            o: self._open_traits(o) for o in self._observations.values()
        }
        never_answered = {
            o: frozenset(t for t in open_ if t not in self._answered)
            for o, open_ in open_by_observation.items()
        }
        self._refused = _accuse(never_answered, _suffice)
        unexplained = {
            o: open_
            for o, open_ in open_by_observation.items()
            if not any(refused <= o.traits for refused in self._refused)
        }
        self._refused |= _accuse(unexplained, _suffice_for_answered)


def _accuse(
    open_by_observation: dict[_Observation, frozenset[int]],
    suffices: Callable[[list[_Observation]], bool],
) -> dict[frozenset[int], float]:
    """Returns the sets of traits to be refused, each until a time.

    A set holds all traits that the crashes with one of its traits have in
    common: any of them may be the cause.
    """
    by_trait: dict[int, list[_Observation]] = {}
    for observation, open_ in open_by_observation.items():
        for trait in open_:
            by_trait.setdefault(trait, []).append(observation)
    refused: dict[frozenset[int], float] = {}
    for crashes in by_trait.values():
        if len(crashes) >= MIN_CRASHES_BEGUN and suffices(crashes):
            common = functools.reduce(
                frozenset.intersection,
                (open_by_observation[o] for o in crashes),
            )
            until = max(o.at for o in crashes) + REFUSED_S
            refused[common] = max(until, refused.get(common, until))
    return refused


def _suffice(crashes: list[_Observation]) -> bool:
    newest = max(o.at for o in crashes)
    recent = [o for o in crashes if newest - o.at < LOSS_WINDOW_S]
    return (
        _count([o for o in crashes if o.begun]) >= MIN_CRASHES_BEGUN
        or _count(recent) >= MIN_CRASHES
    )


def _suffice_for_answered(crashes: list[_Observation]) -> bool:
    return _count(crashes) >= MIN_CRASHES_OF_ANSWERED


def _count(crashes: list[_Observation]) -> int:
    """Counts crashes of different targets; simultaneous ones count once."""
    count = 0
    last_at = float("-inf")
    counted: set[int] = set()
    for crash in sorted(crashes, key=lambda o: o.at):
        if crash.incarnation in counted:
            continue
        if crash.at - last_at >= SIMULTANEOUS_S:
            count += 1
            last_at = crash.at
            counted.add(crash.incarnation)
    return count
