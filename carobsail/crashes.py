"""Requests that end each target that runs them.

Load pattern: a request crashes the engine that begins to run it, and its caller
sends it again, with the same path and body, to any instance. Without a common
memory it ends one engine after the other.

A request is recognised by its method, path and body. Losing a target proves
little: all that it ran is lost with it. So a request is refused only when three
different targets were lost while running it, whichever instances sent it. A
request without a body is not recognised: too many callers send the same one.
"""

import hashlib

from carobsail import httpserver, summaries

# Different targets that must have been lost.
TARGETS_TO_REFUSE = 3
# Losses further apart than this are not put together.
REMEMBER_S = 60.0
# A recognised request is refused for this long after its last loss.
REFUSED_S = 120.0
# A loss is told with each summary for this long.
TOLD_S = 2.0
# Bounds of what is kept, and of what one message carries.
MAX_REQUESTS = 4096
MAX_TOLD = 40


def fingerprint(request: httpserver.Request) -> int:
    """Returns what a request is recognised by; 0 if it is not."""
    if not request.body:
        return 0
    head = f"{request.method}\0{request.target}\0".encode()
    digest = hashlib.blake2b(head + request.body, digest_size=8).digest()
    return int.from_bytes(digest) or 1


class LostRuns:
    """Targets that were lost while they ran a request.

    Each instance keeps those of its own sends and tells the order giver, which
    keeps those of all in another book.
    """

    __slots__ = ("_lost", "_refused")

    def __init__(self) -> None:
        # By request: when each target was lost.
        self._lost: dict[int, dict[str, float]] = {}
        self._refused: dict[int, float] = {}

    def lost(self, request: int, target: str, now: float) -> bool:
        """Records a loss; tells whether the request is refused from now on."""
        if not request:
            return False
        rows = self._lost.pop(request, {})
        rows[target] = now
        self._lost[request] = {
            name: at for name, at in rows.items() if now - at < REMEMBER_S
        }
        while len(self._lost) > MAX_REQUESTS:
            del self._lost[next(iter(self._lost))]
        if len(self._lost[request]) < TARGETS_TO_REFUSE:
            return False
        news = not self.refuses(request, now)
        self._refused[request] = now + REFUSED_S
        return news

    def finished(self, request: int) -> None:
        """Clears a request that a target ran to its end."""
        self._lost.pop(request, None)

    def refuse(self, requests: list[int], now: float) -> None:
        """Takes over the requests that the order giver recognised.

        It tells them with each board; that does not refuse them for longer.
        """
        for request in requests[:MAX_TOLD]:
            if not self.refuses(request, now):
                self._refused[request] = now + REFUSED_S

    def refuses(self, request: int, now: float) -> bool:
        """Whether a request is refused."""
        until = self._refused.get(request)
        if until is not None and until <= now:
            del self._refused[request]
            return False
        return until is not None

    def fresh(self, now: float) -> list[summaries.LostRun]:
        """Returns the losses that are still to be told, newest first."""
        return [
            summaries.LostRun(request, target)
            for request, rows in reversed(self._lost.items())
            for target, at in rows.items()
            if now - at < TOLD_S
        ][:MAX_TOLD]

    def refused(self, now: float) -> list[int]:
        """Returns the requests that are refused, the newest first."""
        found = sorted(
            self._refused.items(), key=lambda row: row[1], reverse=True
        )
        return [request for request, until in found if until > now][:MAX_TOLD]
