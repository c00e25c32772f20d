"""Copies of the store's data of the last seconds, to which it goes back."""

import asyncio

from carobsail import keyvalue
from soak.storestandin import StoreStandin

INTERVAL_S = 0.2
# The store comes back from a copy that is at most this old.
MAX_LOST_S = 10.0


class Backups:
    """Copies the data of a store and lets it lose what is newer."""

    def __init__(self, store: StoreStandin) -> None:
        """Creates an empty series of copies."""
        self._store = store
        self._copies: list[keyvalue.Checkpoint] = []

    async def run(self) -> None:
        """Copies the data until cancelled."""
        now = asyncio.get_running_loop().time
        while True:
            if not self._store.down:
                self._copies.append(self._store.data.checkpoint())
            # The first copy stays: there may be a gap after it.
            while len(self._copies) > 1 and (
                self._copies[1].made_at < now() - MAX_LOST_S - INTERVAL_S
            ):
                del self._copies[0]
            await asyncio.sleep(INTERVAL_S)

    def newest_before(self, at: float) -> keyvalue.Checkpoint:
        """Returns the newest copy of a time or before, or the oldest one."""
        return next(
            (c for c in reversed(self._copies) if c.made_at <= at),
            self._copies[0],
        )

    async def lose(
        self, lost_s: float, away_s: float, silent: bool, leases_paused: bool
    ) -> float:
        """Takes the store away and brings it back from an older copy.

        Args:
          lost_s: Seconds before now whose changes are lost, at least.
          away_s: Seconds for which the store is away.
          silent: Whether it answers nothing meanwhile, instead of 503.
          leases_paused: Whether leases pause from the copy to the return.

        Returns:
          Time of the copy.
        """
        older = self.newest_before(asyncio.get_running_loop().time() - lost_s)
        self._store.silent = silent
        self._store.status = 0 if silent else 503
        await asyncio.sleep(away_s)
        self._store.go_back(older, leases_paused)
        self._store.silent, self._store.status = False, 0
        # Later copies hold data that the store never had. This one may have
        # been dropped as too old meanwhile.
        self._copies = [c for c in self._copies if c.made_at < older.made_at]
        self._copies.append(older)
        return older.made_at
