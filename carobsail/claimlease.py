"""Hourly leases that make the idempotency claims of a data centre expire."""

import asyncio
from collections.abc import Callable

from carobsail import claimrecords, errors, keyvalue

# Account names start with a letter or digit, so no claim has this prefix.
_LEASES_PREFIX = claimrecords.PREFIX + ".leases/"
# All claims of one hour are bound to the same lease, and each is kept for 24 h.
LEASE_TTL_S = 25 * 3600
_SECONDS_PER_HOUR = 3600
# Not below the sum of the time limits of the call budget and the etcd client,
# because a call that is cancelled here has an unknown outcome.
CALL_TIMEOUT_S = 4.0


async def transact(
    client: keyvalue.KeyValueClient,
    compares: list[keyvalue.Compare],
    writes: list[keyvalue.Put | keyvalue.Delete],
) -> keyvalue.TransactionResult | errors.Failure:
    """Runs a transaction; one that times out has an unknown outcome."""
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            return await client.transact(compares, writes)
    except TimeoutError:
        return errors.Failure(
            errors.Reason.TIMEOUT,
            errors.Step.CLAIM,
            "key-value",
            errors.Outcome.UNKNOWN,
        )


class HourlyLease:
    """Finds or creates the lease of the current hour.

    All claim writers of a data centre share this lease, so that replaced
    instances do not each leave one behind.
    """

    __slots__ = ("_cached", "_client", "_data_centre", "_wall_clock")

    def __init__(
        self,
        client: keyvalue.KeyValueClient,
        data_centre: str,
        wall_clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._data_centre = data_centre
        self._wall_clock = wall_clock
        self._cached: tuple[int, int] | None = None

    def invalidate(self) -> None:
        """Drops the cached lease, which may have expired or been revoked."""
        self._cached = None

    async def current(self) -> int:
        """Returns the identifier of the lease, or 0 when a call fails."""
        hour = int(self._wall_clock() // _SECONDS_PER_HOUR)
        if self._cached and self._cached[0] == hour:
            return self._cached[1]
        key = f"{_LEASES_PREFIX}{self._data_centre}/{hour}"
        result = await transact(self._client, [keyvalue.Compare(key, 0)], [])
        if isinstance(result, errors.Failure):
            return 0
        if result.succeeded:
            granted = await self._grant_lease()
            if not granted:
                return 0
            write = keyvalue.Put(key, str(granted).encode(), granted)
            result = await transact(
                self._client, [keyvalue.Compare(key, 0)], [write]
            )
            if isinstance(result, errors.Failure):
                return 0
            if result.succeeded:
                self._cached = (hour, granted)
                return granted
        self._cached = (hour, int(result.current[0].value))
        return self._cached[1]

    async def _grant_lease(self) -> int:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                lease = await self._client.grant_lease(LEASE_TTL_S)
        except TimeoutError:
            return 0
        return 0 if isinstance(lease, errors.Failure) else lease
