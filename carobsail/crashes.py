"""Finds out which requests crash each target that executes them.

Load pattern: requests that have one thing in common crash every engine that
begins to answer them. They may be the same request sent again, or requests that
share a part of their prompt and are otherwise different. Any instance may
receive them. Unless the instances share what they know, such requests crash one
engine after the other.

A request is described by its traits: hashes of the parts of its prompt without
the last one, which belongs to this request alone, and its fingerprint, a hash
of all that is the same when its caller repeats it. Each crash of a target is an
observation against the traits of a request that it was executing. A trait that
a target has answered since then is cleared of that crash; only a complete
answer counts, since a target may write some events before it crashes. When the
observations suffice, a request is refused if it has all traits that the crashes
have in common and that no target has answered, so that requests that share only
some of them are still served.

A crash also ends all other requests at the target, so most of what it was
executing is innocent. Most targets send the head of a stream when they begin to
answer, and the first event immediately after it. A request of which only the
head has arrived was being begun at the time of the crash and is therefore
strong evidence; two such crashes suffice. All others, without a head or with
events, look alike at the crash whether they have caused it or not. They are
counted together with their own repetitions, see `lostrequests`, and with other
requests that have a part in common, see `lostparts`.
"""

import collections
import dataclasses
import functools
import hashlib
import math
from collections.abc import Callable, Collection

from carobsail import (
    headercodec,
    httpserver,
    lostparts,
    lostrequests,
    summaries,
)
from carobsail.lostrequests import REFUSED_S

# Number of targets that must have crashed when they had begun to answer before
# a request is refused, and for traits that targets have answered at other
# times.
MIN_CRASHES_BEGUN = 2
MIN_CRASHES_OF_ANSWERED = 4
# Own observations are included in summaries for this long: datagrams may be
# lost, and a new coordinator takes the lease up to 3.4 s after the last one was
# lost.
REPORT_S = 10.0
# Limits of what is kept, and of the entries of one message.
MAX_OBSERVATIONS = 64
MAX_ANSWERED = 8192
MAX_REPORTED = 12
MAX_REPORTED_LOSSES = 128
MAX_REPORTED_PART_LOSSES = 24
MAX_REPORTED_ANSWERED = 48
# Parts of a prompt that are examined.
MAX_PARTS = 16


@dataclasses.dataclass(slots=True, frozen=True)
class Traits:
    """Traits of one request.

    Attributes:
      parts: Hashes of the parts of the prompt except the last one.
      fingerprint: Hash of host, method, path, caller and body.
    """

    parts: tuple[int, ...] = ()
    fingerprint: int = 0

    def all(self) -> tuple[int, ...]:
        """Returns all hashes."""
        return (
            (*self.parts, self.fingerprint) if self.fingerprint else self.parts
        )


def request_traits(
    request: httpserver.Request, metadata: headercodec.RequestMetadata
) -> Traits:
    """Returns the traits of a request."""
    parts = tuple(
        _hash(f"part\0{name}".encode())
        for name, _ in metadata.prompt_parts[:-1][:MAX_PARTS]
    )
    head = "\0".join(
        (
            metadata.host.lower(),
            request.method,
            request.request_target,
            metadata.caller,
            "",
        )
    )
    return Traits(parts, _hash(head.encode() + request.body))


def incarnation(identity: str, start_time_ms: int) -> int:
    """Returns a hash that differs after each restart of a target."""
    return _hash(f"{identity}\0{start_time_ms}".encode())


def _hash(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest()) or 1


@dataclasses.dataclass(slots=True, frozen=True)
class _Observation:
    """A crash of a target that had begun to answer a request.

    Attributes:
      incarnation: Incarnation of the target.
      traits: Traits of the request.
      at: When the connection was lost.
      own: Whether this instance has observed it.
    """

    incarnation: int
    traits: frozenset[int]
    at: float
    own: bool = False

    def key(self) -> tuple[int, frozenset[int]]:
        return self.incarnation, self.traits


@dataclasses.dataclass(slots=True, frozen=True)
class MergeResult:
    """What the report of another instance has changed.

    Attributes:
      news: Whether it contained an unknown crash of a target that had begun to
        answer, an unknown answer, or made a request a suspect.
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
        "_lost",
        "_lost_parts",
        "_observations",
        "_refused",
        "_to_report",
    )

    def __init__(self) -> None:
        self._observations: dict[tuple[int, frozenset[int]], _Observation] = {}
        # By trait: when a target last answered a request with it.
        self._answered = lostrequests.AnswerTimes(MAX_ANSWERED)
        crash_times = lostrequests.CrashTimes()
        self._lost = lostrequests.LostRequests(crash_times)
        self._lost_parts = lostparts.LostParts(crash_times, self._answered)
        # Answered traits that others need to know, and since when.
        self._to_report: dict[int, float] = {}
        # Sets of traits; a request that has all of one set is refused, until
        # the time given.
        self._refused: dict[frozenset[int], float] = {}

    def record_crash(
        self,
        traits: Collection[int],
        target: int,
        begun: bool,
        now: float,
        weak: bool = False,
    ) -> bool:
        """Records that a target crashed while it executed a request.

        Args:
          traits: All traits of the request if its target had begun to answer
            it, otherwise its fingerprint.
          target: Incarnation of the target.
          begun: Whether the target had begun to answer this request.
          now: Time of the event loop's clock in seconds.
          weak: Whether the request was queued behind others when it was sent,
            or the target had been answering it for long.

        Returns:
          Whether it was unknown.
        """
        if not begun:
            return self._record_losses(
                traits, lostrequests.Loss(target, now, weak, own=True), now
            )
        observation = _Observation(target, frozenset(traits), now, own=True)
        if not self._add(observation, now):
            return False
        self._judge()
        return True

    def _record_losses(
        self,
        fingerprints: Collection[int],
        loss: lostrequests.Loss,
        now: float,
    ) -> bool:
        """Records a loss of each request; returns whether any was unknown."""
        known = [not self._lost.record(f, loss, now) for f in fingerprints]
        return not all(known)

    def record_lost_parts(
        self, traits: Traits, target: int, now: float, weak: bool
    ) -> bool:
        """Records that the prompt of a request was lost in a crash.

        Args:
          traits: Traits of the request.
          target: Incarnation of the target.
          now: Time of the event loop's clock in seconds.
          weak: Whether the target had been answering it for long.

        Returns:
          Whether this was unknown for a part that no target has answered.
        """
        unanswered = self.unanswered_parts(traits)
        if traits.parts and not unanswered:
            self._lost_parts.count_sound_request(lost=True)
        loss = lostrequests.Loss(target, now, weak, own=True)
        known = [not self._lost_parts.record(p, loss, now) for p in unanswered]
        return not all(known)

    def record_answer(self, traits: Traits, now: float) -> bool:
        """Records that a target has answered a request completely.

        Returns:
          Whether others should learn of it, because it clears a trait of an
          observed crash.
        """
        fingerprint = traits.fingerprint
        if traits.parts and not self.unanswered_parts(traits):
            self._lost_parts.count_sound_request(lost=False)
        cleared = [t for t in traits.parts if self._set_answered(t, now)]
        clears_loss = self._lost.record_answer(fingerprint, now)
        # Fingerprints of all requests would displace the parts of prompts.
        if any(
            fingerprint in o.traits for o in self._observations.values()
        ) and self._set_answered(fingerprint, now):
            cleared.append(fingerprint)
        if clears_loss:
            self._to_report[fingerprint] = now
        if cleared:
            self._to_report.update(dict.fromkeys(cleared, now))
            self._judge()
        return bool(cleared) or clears_loss

    def merge(
        self,
        crashes: list[summaries.CrashReport],
        answered: list[summaries.AnsweredTrait],
        now: float,
    ) -> MergeResult:
        """Merges a report of another instance."""
        news = clears = False
        for row in answered[:MAX_REPORTED_ANSWERED]:
            at = now - max(0.0, row.age_s)
            news |= row.trait not in self._answered
            clears |= self._set_answered(row.trait, at)
            if self._lost.record_answer(row.trait, at):
                self._to_report[row.trait] = now
        known_to_sender = {row.trait for row in answered}
        added = contributes = False
        begun = [report for report in crashes if report.begun]
        for report in begun[:MAX_REPORTED]:
            observation = _Observation(
                report.incarnation,
                frozenset(report.traits[: MAX_PARTS + 1]),
                now - max(0.0, report.age_s),
            )
            if not self._add(observation, now):
                continue
            added = news = True
            for trait in observation.traits - known_to_sender:
                if trait in self._answered:
                    self._to_report[trait] = now
                    contributes = True
        if clears or added:
            self._judge()
        lost = [r for r in crashes if not r.begun and not r.parts]
        lost_parts = [r for r in crashes if not r.begun and r.parts]
        for record, reports, limit in (
            (self._lost, lost, MAX_REPORTED_LOSSES),
            (self._lost_parts, lost_parts, MAX_REPORTED_PART_LOSSES),
        ):
            new_suspects, answered_here = _merge_losses(
                record, reports, limit, now
            )
            news |= new_suspects
            for trait in answered_here - known_to_sender:
                self._to_report[trait] = now
                contributes = True
        return MergeResult(news, contributes)

    def refusal_left_s(self, traits: Traits, now: float) -> float:
        """Returns for how long a request is refused; 0 if it is not."""
        return self.refusal(traits, now)[1]

    def refusal(
        self, traits: Traits, now: float
    ) -> tuple[frozenset[int], float]:
        """Returns the traits for which a request is refused, and for how long.

        Returns:
          No traits and 0 if it is not refused.
        """
        until = self._lost.refused.get(traits.fingerprint, now)
        matched = frozenset((traits.fingerprint,))
        for part in traits.parts:
            part_until = self._lost_parts.refused.get(part, now)
            if part_until > until:
                matched, until = frozenset((part,)), part_until
        if self._refused:
            has = set(traits.all())
            for refused, refused_until in self._refused.items():
                if refused <= has and refused_until > until:
                    matched, until = refused, refused_until
        return (matched, until - now) if until > now else (frozenset(), 0.0)

    def was_lost(self, fingerprint: int) -> bool:
        """Whether a request was lost in a crash since it was answered."""
        return bool(self._lost.losses(fingerprint))

    def is_suspect(self, fingerprint: int) -> bool:
        """Whether a request was lost with two targets since its answer."""
        return self._lost.is_suspect(fingerprint)

    def has_suspect_part(self, traits: Traits) -> bool:
        """Whether a part was lost with two targets and never answered."""
        return any(self._lost_parts.is_suspect(part) for part in traits.parts)

    def unanswered_parts(self, traits: Traits) -> set[int]:
        """Returns the parts of a prompt that no target has answered."""
        return {part for part in traits.parts if part not in self._answered}

    @property
    def refused(self) -> set[frozenset[int]]:
        """Sets of traits of which a refused request has all."""
        return {
            *self._refused,
            *(frozenset((f,)) for f in self._lost.refused),
            *(frozenset((p,)) for p in self._lost_parts.refused),
        }

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
            self._observations.values(), key=lambda o: o.at, reverse=True
        )
        for observation in candidates:
            age_s = now - observation.at
            if own_only and (not observation.own or age_s > REPORT_S):
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
        chosen = chosen[:MAX_REPORTED]
        crashes = [
            summaries.CrashReport(
                o.incarnation, sorted(o.traits), True, now - o.at
            )
            for o in chosen
        ]
        crashes += _loss_reports(
            self._lost_parts.reported(now - REPORT_S, own_only),
            MAX_REPORTED_PART_LOSSES,
            now,
            parts=True,
        )
        crashes += _loss_reports(
            self._lost.reported(now - REPORT_S, own_only),
            MAX_REPORTED_LOSSES,
            now,
            parts=False,
        )
        self._to_report = {
            t: at for t, at in self._to_report.items() if now - at < REPORT_S
        }
        wanted = {*self._to_report, *(t for o in chosen for t in o.traits)}
        answered = [
            summaries.AnsweredTrait(trait, now - at)
            for trait in wanted
            if (at := self._last_answered_at(trait)) > float("-inf")
        ]
        answered.sort(key=lambda row: row.age_s)
        return crashes, answered[:MAX_REPORTED_ANSWERED]

    def _last_answered_at(self, trait: int) -> float:
        """Returns when a trait was last answered, as far as is known."""
        return max(self._answered.get(trait), self._lost.answered_at(trait))

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
                key=lambda o: (bool(self._open_traits(o)), o.at),
            )
            del self._observations[weakest.key()]

    def _set_answered(self, trait: int, at: float) -> bool:
        """Records an answer; returns whether it clears an observation."""
        before = self._answered.get(trait)
        if not self._answered.record(trait, at):
            return False
        if self._lost_parts.clear(trait, math.inf):
            return True
        return any(
            trait in o.traits and before <= o.at
            for o in self._observations.values()
        )

    def _open_traits(self, observation: _Observation) -> frozenset[int]:
        """Returns the traits that were not answered since the crash."""
        return frozenset(
            trait
            for trait in observation.traits
            if self._answered.get(trait) <= observation.at
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
    return _count(crashes) >= MIN_CRASHES_BEGUN


def _suffice_for_answered(crashes: list[_Observation]) -> bool:
    return _count(crashes) >= MIN_CRASHES_OF_ANSWERED


def _count(crashes: list[_Observation]) -> int:
    return lostrequests.count_separate(
        lostrequests.Loss(o.incarnation, o.at) for o in crashes
    )


def _merge_losses(
    record: lostrequests.LossRecord,
    reports: list[summaries.CrashReport],
    limit: int,
    now: float,
) -> tuple[bool, set[int]]:
    """Merges what other instances have lost.

    Args:
      record: Record that the reports belong to.
      reports: Reports of another instance.
      limit: Largest number of losses that are read.
      now: Time of the event loop's clock in seconds.

    Returns:
      Whether anything became a suspect or is refused now, and the suspects of
      the sender that this instance has seen answered.
    """
    changed = False
    crash_count: collections.Counter[int] = collections.Counter()
    answered_here: set[int] = set()
    for report in reports:
        keys = report.traits[:limit]
        limit -= len(keys)
        loss = lostrequests.Loss(
            report.incarnation, now - max(0.0, report.age_s), report.weak
        )
        for key in keys:
            crash_count[key] += 1
            if record.is_cleared(key, loss):
                answered_here.add(key)
            elif record.record(key, loss, now):
                changed |= record.is_suspect(key)
    # What was lost once and answered is too much to report.
    return changed, {key for key in answered_here if crash_count[key] > 1}


def _loss_reports(
    rows: list[tuple[int, list[lostrequests.Loss]]],
    limit: int,
    now: float,
    parts: bool,
) -> list[summaries.CrashReport]:
    """Returns losses to be sent to others, by crash.

    Args:
      rows: What was lost, the most important first.
      limit: Largest number of losses to report.
      now: Time of the event loop's clock in seconds.
      parts: Whether parts of prompts were lost.
    """
    count = 0
    by_crash: dict[tuple[int, bool], list[int]] = {}
    newest_at: dict[tuple[int, bool], float] = {}
    for key, losses in rows:
        count += len(losses)
        if count > limit:
            break
        for loss in losses:
            crash = (loss.target, loss.weak)
            by_crash.setdefault(crash, []).append(key)
            newest_at[crash] = max(loss.at, newest_at.get(crash, loss.at))
    return [
        summaries.CrashReport(
            target, keys, False, now - newest_at[target, weak], weak, parts
        )
        for (target, weak), keys in by_crash.items()
    ]
