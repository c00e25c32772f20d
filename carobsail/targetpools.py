"""Connections to targets, and the requests under way at each."""

from carobsail import httpclient, targetbook, targetchoice

# A connection that does not open within this time counts as not sent; a link
# between regions takes 40 ms there and back.
CONNECT_TIMEOUT_S = 0.4
# Engines may drop idle connections sooner than they say.
IDLE_CONNECTION_S = 3.0


class Pools:
    """Connections to targets, one pool for each start of a target."""

    __slots__ = ("_pools",)

    def __init__(self) -> None:
        self._pools: dict[tuple[str, str], httpclient.Pool] = {}

    def get(self, entry: targetbook.TargetEntry, limit: int) -> httpclient.Pool:
        """Returns the pool of a target; `limit` bounds its connections."""
        key = (entry.identity, entry.address)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = httpclient.Pool(
                entry.address,
                max(1, limit),
                CONNECT_TIMEOUT_S,
                entry.identity,
                IDLE_CONNECTION_S,
                accept_unframed=True,
            )
        return pool

    def keep_only(self, identities: set[str]) -> None:
        """Closes the pools of targets that are gone."""
        for key in [k for k in self._pools if k[0] not in identities]:
            self._pools.pop(key).close()

    def connects(self) -> int:
        """Returns the number of connections opened to present targets."""
        return sum(pool.connects for pool in self._pools.values())


class TargetLoad:
    """Counts a request in its target's load until it ends."""

    __slots__ = ("_late", "_target", "_tokens", "started")

    def __init__(
        self, target: targetbook.Target, want: targetchoice.Want, late: bool
    ) -> None:
        cached = want.cached_tokens.get(target.entry.identity, 0)
        self._target = target
        self._late = late
        self._tokens = max(0, want.prompt_tokens - cached)
        self.started = False
        target.in_flight += 1
        self._add(self._tokens)

    def _add(self, tokens: int) -> None:
        if self._late:
            self._target.late_tokens += tokens
        else:
            self._target.prompt_tokens += tokens

    def start(self) -> None:
        """Records that the prompt was read."""
        if not self.started:
            self.started = True
            self._add(-self._tokens)

    def end(self) -> None:
        """Records the end of the request."""
        self.start()
        self._target.in_flight -= 1
