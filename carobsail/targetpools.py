"""Connection pools to targets, and the load of requests in flight."""

import asyncio
import math

from carobsail import bufferlimit, httpclient, targetchoice, targetregistry

# If no connection opens within this time, the request counts as not sent. The
# round trip between regions takes 40 ms.
CONNECT_TIMEOUT_S = 0.4
# Engines may close idle connections earlier than they announce.
IDLE_CONNECTION_S = 3.0
# Interval at which connections that have been idle for too long are closed.
_CLEANING_INTERVAL_S = 1.0
# Limit of the responses that are being buffered where the memory of the machine
# is not stated. Instances run in 200 MB, of which they use a fifth otherwise.
MAX_BUFFERED_BYTES = 33_554_432


class TargetPools:
    """Connection pools by identity and address of the target."""

    __slots__ = ("_buffers", "_cleaned_at", "_pools")

    def __init__(self, buffers: bufferlimit.BufferLimit | None = None) -> None:
        """Creates pools that share the limit `buffers`."""
        if buffers is None:
            buffers = bufferlimit.BufferLimit(MAX_BUFFERED_BYTES)
        self._buffers = buffers
        self._cleaned_at = -math.inf
        self._pools: dict[tuple[str, str], httpclient.ConnectionPool] = {}

    def get(
        self, entry: targetregistry.TargetEntry, limit: int
    ) -> httpclient.ConnectionPool:
        """Returns the pool of a target, with at most `limit` connections."""
        now = asyncio.get_running_loop().time()
        if now - self._cleaned_at >= _CLEANING_INTERVAL_S:
            self._cleaned_at = now
            for each in self._pools.values():
                each.close_expired(now)
        key = (entry.identity, entry.address)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = httpclient.ConnectionPool(
                entry.address,
                max(1, limit),
                CONNECT_TIMEOUT_S,
                entry.identity,
                IDLE_CONNECTION_S,
                accept_close_delimited=True,
                buffers=self._buffers,
            )
        return pool

    def close_others(self, identities: set[str]) -> None:
        """Closes the pools of all other targets."""
        for key in [k for k in self._pools if k[0] not in identities]:
            self._pools.pop(key).close()

    def close(self) -> None:
        """Closes all pools."""
        self.close_others(set())

    def connections_opened(self) -> int:
        """Returns the number of connections opened by the current pools."""
        return sum(pool.connections_opened for pool in self._pools.values())


class TargetLoad:
    """Adds a request to the load of its target until it ends.

    Attributes:
      prompt_finished: Whether its prompt tokens no longer count.
    """

    __slots__ = (
        "_held_tokens",
        "_late",
        "_reports",
        "_target",
        "_tokens",
        "prompt_finished",
    )

    def __init__(
        self,
        target: targetregistry.Target,
        requirements: targetchoice.TargetRequirements,
        late: bool,
        held_tokens: int = 0,
        sent_at: float = 0.0,
    ) -> None:
        """Adds the request.

        Args:
          target: Its target.
          requirements: Its requirements.
          late: Whether it is queued behind those that can meet their objective.
          held_tokens: Tokens that it holds in the target's memory at its end;
            0 if the memory is not looked at.
          sent_at: When it is sent.
        """
        cached = requirements.cached_tokens.get(target.entry.identity, 0)
        self._target = target
        self._late = late
        self._tokens = max(0, requirements.prompt_tokens - cached)
        self.prompt_finished = False
        self._reports = target.reports
        self._held_tokens = held_tokens
        target.held_tokens += held_tokens
        if held_tokens:
            target.recent_sends.append((sent_at, held_tokens))
        target.in_flight += 1
        target.sent_since_report += 1
        self._add(self._tokens)

    def _add(self, tokens: int) -> None:
        if self._late:
            self._target.late_tokens += tokens
        else:
            self._target.prompt_tokens += tokens

    def finish_prompt(self) -> None:
        """Removes its prompt tokens from the load: the prompt is processed."""
        if not self.prompt_finished:
            self.prompt_finished = True
            self._add(-self._tokens)

    def end(self) -> None:
        """Removes the request from the load."""
        self.finish_prompt()
        self._target.in_flight -= 1
        self._target.held_tokens -= self._held_tokens
        if self._reports == self._target.reports:
            self._target.sent_since_report -= 1
