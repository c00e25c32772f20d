"""Finds parts of prompts that crash each target, by how often they were lost.

Load pattern: all requests with one part in their prompt crash each engine that
begins to answer them. No two of them are alike, and the engine may have written
nothing of the answer, its head or some events when it crashes, so at the crash
such a request looks like any other that the engine held.

The deadly part is never answered, while sound parts are, sooner or later. Only
parts that no target has ever answered are therefore examined. Such a part may
still be lost several times in a row by chance, the more easily the more of all
requests are lost: when targets crash for another reason, a rare part can be
lost with each of its first requests. The number of crashes after which a part
is refused therefore depends on the share of the sound requests that are lost.
"""

import math

from carobsail import lostrequests

# Accepted probability that all requests with a new part were lost by chance.
MAX_CHANCE = 1e-5
# Bounds of the number of crashes after which a part is refused. The deployments
# allow five crashes, those of the next seconds, and three more.
MIN_CRASHES = 4
MAX_CRASHES = 7
# Weight of the newest request in the moving average of the share of lost ones.
LOSS_WEIGHT = 1 / 64


class LostParts(lostrequests.LossRecord):
    """Crashes in which parts of prompts were lost that were never answered.

    Attributes:
      loss_share: Moving average of the share of requests with answered parts
        that were lost in a crash.
    """

    __slots__ = ("loss_share",)

    def __init__(
        self,
        crash_times: lostrequests.CrashTimes,
        answered: lostrequests.AnswerTimes,
    ) -> None:
        """See base class."""
        super().__init__(crash_times, answered)
        self.loss_share = 0.0

    def count_sound_request(self, lost: bool) -> None:
        """Counts a request all of whose parts were answered at other times."""
        self.loss_share += LOSS_WEIGHT * (lost - self.loss_share)

    def is_cleared(self, key: int, loss: lostrequests.Loss) -> bool:
        """See base class; an answer at any time shows it."""
        return key in self._answered

    def _suffices(self, losses: list[lostrequests.Loss]) -> bool:
        """See base class."""
        strong = [loss for loss in losses if not loss.weak]
        return (
            self._count(strong) >= self._crashes_required()
            or self._count(losses) >= MAX_CRASHES
        )

    def _count(self, losses: list[lostrequests.Loss]) -> int:
        """Counts crashes.

        Simultaneous crashes count once, unless targets crash together again and
        again and all of them held the part: then several requests with it
        arrive at once.
        """
        count = lostrequests.count_separate(losses)
        if count > 1:
            count = max(count, len(self._without_bystanders(losses)))
        return count

    def _crashes_required(self) -> int:
        """Returns how many losses in a row chance does not explain."""
        if self.loss_share <= 0.0:
            return MIN_CRASHES
        required = math.ceil(math.log(MAX_CHANCE) / math.log(self.loss_share))
        return max(MIN_CRASHES, min(required, MAX_CRASHES))
