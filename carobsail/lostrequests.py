"""Finds requests that crash each target, by how often they were lost in one.

Load pattern: one request, repeated by its caller at any instance, crashes each
target that executes it. Dozens of other requests are lost with each target.
They are sound: they are answered when they are sent again, by another target
or to another caller who sends the same. The deadly request is never answered.

So only the crashes since the last answer to a request count. Requests that were
lost in one crash are many and are soon forgotten; those that were lost in two
are few and are kept and reported before the others.

Some crashes are weak evidence. A request that has waited at a target did not
crash it, nor did one that the target has been answering for long. When several
targets crash at once, for instance with their rack, the cause lies outside the
requests unless all of these targets held the request.
"""

import abc
import collections
import dataclasses
from collections.abc import Iterable

# Number of crashes after which a request is refused, and if some are weak
# evidence. A caller sends a sound request to four targets at most.
MIN_CRASHES = 3
MIN_CRASHES_WEAK = 5
# Crashes within this time may have one cause outside the requests, for instance
# a rack that lost power.
SIMULTANEOUS_S = 0.1
# Crashes further apart than this are not counted together.
LOSS_WINDOW_S = 600.0
# A request is refused for this long after its last observed crash.
REFUSED_S = 600.0
# Limits of what is kept: requests that were lost once, lost repeatedly, and
# answered; and crashes that are compared in time.
MAX_LOST_ONCE = 2048
MAX_LOST_REPEATEDLY = 256
MAX_ANSWERED = 2048
MAX_CRASHES = 256


@dataclasses.dataclass(slots=True, frozen=True)
class Loss:
    """A crash of a target that held a request.

    Attributes:
      target: Incarnation of the target.
      at: When the connection was lost.
      weak: Whether the request was queued behind others when it was sent, or
        the target had been answering it for long.
      own: Whether this instance has observed it.
    """

    target: int
    at: float
    weak: bool = False
    own: bool = False


class CrashTimes:
    """Times of the newest crashes, by incarnation of the target."""

    __slots__ = ("_at",)

    def __init__(self) -> None:
        # Oldest record first.
        self._at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._at)

    def record(self, target: int, at: float) -> None:
        """Records a crash; the first time that was recorded is kept."""
        self._at.setdefault(target, at)
        if len(self._at) > MAX_CRASHES:
            self._at.popitem(last=False)

    def others(self, targets: set[int]) -> list[float]:
        """Returns when targets other than these crashed."""
        return [at for t, at in self._at.items() if t not in targets]


class AnswerTimes:
    """Times of the last answers, by what was answered; limited in number."""

    __slots__ = ("_at", "_limit")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._at: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._at)

    def __contains__(self, key: int) -> bool:
        return key in self._at

    def get(self, key: int) -> float:
        """Returns when something was last answered, as far as is known."""
        return self._at.get(key, float("-inf"))

    def record(self, key: int, at: float) -> bool:
        """Records an answer; returns whether it is the newest."""
        if at <= self.get(key):
            return False
        self._at[key] = at
        self._at.move_to_end(key)
        if len(self._at) > self._limit:
            self._at.popitem(last=False)
        return True


class LossRecord(abc.ABC):
    """Crashes in which something was lost since it was last answered.

    What is lost is named by a hash. Recording is idempotent.
    """

    __slots__ = (
        "_answered",
        "_crashed_at",
        "_once",
        "_refused",
        "_repeatedly",
    )

    def __init__(self, crash_times: CrashTimes, answered: AnswerTimes) -> None:
        """Creates a record without losses.

        Args:
          crash_times: All crashes that are known.
          answered: When what may be lost was last answered.
        """
        # By hash, oldest record first.
        self._once: collections.OrderedDict[int, Loss] = (
            collections.OrderedDict()
        )
        self._repeatedly: dict[int, list[Loss]] = {}
        self._answered = answered
        self._crashed_at = crash_times
        # By hash: until when it is refused.
        self._refused: dict[int, float] = {}

    @abc.abstractmethod
    def _suffices(self, losses: list[Loss]) -> bool:
        """Returns whether crashes within `LOSS_WINDOW_S` justify a refusal."""

    def record(self, key: int, loss: Loss, now: float) -> bool:
        """Records a loss in the crash of a target.

        Returns:
          Whether this was unknown and nothing was answered since.
        """
        if now - loss.at >= REFUSED_S or self.is_cleared(key, loss):
            return False
        self._crashed_at.record(loss.target, loss.at)
        known = self.losses(key)
        if any(loss.target == k.target for k in known):
            return False
        if not known:
            self._once[key] = loss
            if len(self._once) > MAX_LOST_ONCE:
                self._once.popitem(last=False)
            return True
        self._once.pop(key, None)
        self._repeatedly[key] = [*known, loss]
        self._judge(key)
        self._drop_surplus(now)
        return True

    def is_cleared(self, key: int, loss: Loss) -> bool:
        """Whether an answer shows that a loss is no evidence."""
        return loss.at < self._answered.get(key)

    def record_answer(self, key: int, at: float) -> bool:
        """Records that a target has answered.

        Returns:
          Whether this clears a crash of what was lost repeatedly.
        """
        return self._answered.record(key, at) and self.clear(key, at)

    def clear(self, key: int, at: float) -> bool:
        """Forgets the losses before an answer.

        Returns:
          Whether this clears a crash of what was lost repeatedly.
        """
        known = self.losses(key)
        left = [loss for loss in known if loss.at > at]
        if len(left) == len(known):
            return False
        was_repeated = self._repeatedly.pop(key, None) is not None
        self._once.pop(key, None)
        self._refused.pop(key, None)
        if len(left) == 1:
            self._once[key] = left[0]
        elif left:
            self._repeatedly[key] = left
            self._judge(key)
        return was_repeated

    def answered_at(self, key: int) -> float:
        """Returns when something was last answered, as far as is known."""
        return self._answered.get(key)

    def losses(self, key: int) -> list[Loss]:
        """Returns the crashes in which something was lost since its answer."""
        once = self._once.get(key)
        if once is not None:
            return [once]
        return self._repeatedly.get(key, [])

    def is_suspect(self, key: int) -> bool:
        """Whether something was lost with two targets since its answer."""
        return key in self._repeatedly

    @property
    def refused(self) -> dict[int, float]:
        """Hashes of what is refused, and until when."""
        return self._refused

    def reported(
        self, since: float, own_only: bool
    ) -> list[tuple[int, list[Loss]]]:
        """Returns losses to be reported, the first ones first.

        Args:
          since: Time before which losses are old.
          own_only: Whether to include only what this instance has lost
            recently; otherwise all that was lost repeatedly is included. All
            crashes of this are included: others that have seen it answered
            recognise by two crashes that this is news.
        """
        repeated = [
            (key, losses)
            for key, losses in self._repeatedly.items()
            if not own_only or any(k.own and k.at >= since for k in losses)
        ]
        repeated.sort(
            key=lambda row: (len(self._repeatedly[row[0]]), row[1][-1].at),
            reverse=True,
        )
        once = [
            (key, [loss])
            for key, loss in reversed(self._once.items())
            if loss.own and loss.at >= since
        ]
        return repeated + once

    def _drop_surplus(self, now: float) -> None:
        """Drops what is expired, then what has the least evidence."""
        for key, losses in list(self._repeatedly.items()):
            if now - max(loss.at for loss in losses) >= REFUSED_S:
                self._drop(key)
        while len(self._repeatedly) > MAX_LOST_REPEATEDLY:
            self._drop(
                min(
                    self._repeatedly,
                    key=lambda f: (
                        len(self._repeatedly[f]),
                        max(loss.at for loss in self._repeatedly[f]),
                    ),
                )
            )

    def _drop(self, key: int) -> None:
        del self._repeatedly[key]
        self._refused.pop(key, None)

    def _judge(self, key: int) -> None:
        """Refuses what was lost in crashes that justify it."""
        losses = self._repeatedly[key]
        newest_at = max(loss.at for loss in losses)
        recent = [k for k in losses if newest_at - k.at < LOSS_WINDOW_S]
        if self._suffices(recent):
            self._refused[key] = newest_at + REFUSED_S

    def _without_bystanders(self, losses: list[Loss]) -> list[Loss]:
        """Returns the crashes at whose time only such targets crashed."""
        others_at = self._crashed_at.others({loss.target for loss in losses})
        return [
            loss
            for loss in losses
            if not any(abs(at - loss.at) < SIMULTANEOUS_S for at in others_at)
        ]


class LostRequests(LossRecord):
    """Crashes in which requests were lost since they were last answered.

    A request is named by its fingerprint.
    """

    __slots__ = ()

    def __init__(self, crash_times: CrashTimes | None = None) -> None:
        """Creates a record without losses.

        Args:
          crash_times: All crashes that are known; by default only those in
            which a request was lost.
        """
        if crash_times is None:
            crash_times = CrashTimes()
        super().__init__(crash_times, AnswerTimes(MAX_ANSWERED))

    def _suffices(self, losses: list[Loss]) -> bool:
        """See base class."""
        count = count_separate(losses)
        if MIN_CRASHES <= count < MIN_CRASHES_WEAK:
            count = count_separate(
                k for k in self._without_bystanders(losses) if not k.weak
            )
        return count >= MIN_CRASHES


def count_separate(losses: Iterable[Loss]) -> int:
    """Counts crashes of different targets; simultaneous ones count once."""
    count = 0
    last_at = float("-inf")
    counted: set[int] = set()
    for loss in sorted(losses, key=lambda loss: loss.at):
        if loss.target not in counted and loss.at - last_at >= SIMULTANEOUS_S:
            count += 1
            last_at = loss.at
            counted.add(loss.target)
    return count
