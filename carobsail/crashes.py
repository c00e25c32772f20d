"""Detects requests that crash each target that executes them.

Load pattern: a request crashes the engine that starts to execute it, and its
caller retries it at any instance, with the same path and body. Unless the
instances share what they know, it crashes one engine after the other.

A request is identified by a fingerprint of its method, path and body. The loss
of one target proves little, since all requests that it was executing are lost
with it. A request is therefore refused only after three different targets were
lost while executing it, whichever instances sent it. Requests without a body
have no fingerprint, because many callers send identical ones.
"""

import hashlib

from carobsail import httpserver, summaries

# Number of different lost targets after which a request is refused.
MIN_LOST_TARGETS = 3
# Losses further apart than this are not counted together.
LOSS_WINDOW_S = 60.0
# A request is refused for this long after its last loss.
REFUSED_S = 120.0
# A loss is included in the reports to the coordinator for this long, since
# datagrams may be lost.
REPORT_LOSS_S = 2.0
# Limits on the fingerprints kept, and on the entries of one message.
MAX_REQUESTS = 4096
MAX_REPORTED = 40


def fingerprint(request: httpserver.Request) -> int:
    """Returns the fingerprint of a request; 0 if it has no body."""
    if not request.body:
        return 0
    head = f"{request.method}\0{request.request_target}\0".encode()
    digest = hashlib.blake2b(head + request.body, digest_size=8).digest()
    return int.from_bytes(digest) or 1


class LostRequests:
    """Targets that were lost while executing a request, by its fingerprint.

    Each instance records the losses of its own sends and reports them to the
    coordinator, which records those of all instances in a separate object.
    """

    __slots__ = ("_lost", "_refused")

    def __init__(self) -> None:
        # By fingerprint: time at which each target was lost.
        self._lost: dict[int, dict[str, float]] = {}
        # By fingerprint: time until which the request is refused.
        self._refused: dict[int, float] = {}

    def record_loss(self, fingerprint: int, target: str, now: float) -> bool:
        """Records the loss of a target.

        Returns:
          Whether the request is refused from now on and was not before.
        """
        if not fingerprint:
            return False
        losses = self._lost.pop(fingerprint, {})
        losses[target] = now
        self._lost[fingerprint] = {
            name: at for name, at in losses.items() if now - at < LOSS_WINDOW_S
        }
        while len(self._lost) > MAX_REQUESTS:
            del self._lost[next(iter(self._lost))]
        if len(self._lost[fingerprint]) < MIN_LOST_TARGETS:
            return False
        newly_refused = not self.is_refused(fingerprint, now)
        self._refused[fingerprint] = now + REFUSED_S
        return newly_refused

    def clear(self, fingerprint: int) -> None:
        """Forgets the losses of a request that a target has completed."""
        self._lost.pop(fingerprint, None)

    def add_refused(self, fingerprints: list[int], now: float) -> None:
        """Refuses the requests that the coordinator has reported.

        The coordinator repeats them in each message, which does not extend the
        time for which they are refused.
        """
        for fingerprint in fingerprints[:MAX_REPORTED]:
            if not self.is_refused(fingerprint, now):
                self._refused[fingerprint] = now + REFUSED_S

    def is_refused(self, fingerprint: int, now: float) -> bool:
        """Whether a request is refused because it crashed its targets."""
        until = self._refused.get(fingerprint)
        if until is not None and until <= now:
            del self._refused[fingerprint]
            return False
        return until is not None

    def unreported_losses(self, now: float) -> list[summaries.LostRequest]:
        """Returns the losses still to be reported, newest request first."""
        return [
            summaries.LostRequest(fingerprint, target)
            for fingerprint, losses in reversed(self._lost.items())
            for target, at in losses.items()
            if now - at < REPORT_LOSS_S
        ][:MAX_REPORTED]

    def refused_requests(self, now: float) -> list[int]:
        """Returns the refused requests, latest refusal first."""
        found = sorted(
            self._refused.items(), key=lambda item: item[1], reverse=True
        )
        return [fingerprint for fingerprint, until in found if until > now][
            :MAX_REPORTED
        ]
