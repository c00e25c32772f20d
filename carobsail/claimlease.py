"""The lease to which a data centre binds the claims of one hour."""

import asyncio
from collections.abc import Callable

from carobsail import claimrecords, errors, keyvalue

# Account names start with a letter or digit, so these keys are no claims.
_LEASES = claimrecords.PREFIX + ".leases/"
# A lease serves the claims of one hour, which are kept for 24 h.
LEASE_TTL_S = 25 * 3600
_HOUR_S = 3600
# Above the time that the call meter and the gateway client take to give up,
# because a call cut off here has an unknown outcome.
CALL_TIMEOUT_S = 4.0


async def transact(
    client: keyvalue.KeyValueClient,
    compares: list[keyvalue.Compare],
    writes: list[keyvalue.Put | keyvalue.Delete],
) -> keyvalue.TransactionResult | errors.Failure:
    """Runs a transaction; one that takes too long has an unknown outcome."""
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

    All writers of a data centre use the same lease, so that replaced
    instances leave no leases of their own behind.
    """

    __slots__ = ("_client", "_data_centre", "_lease", "_wall_clock")

    def __init__(
        self,
        client: keyvalue.KeyValueClient,
        data_centre: str,
        wall_clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._data_centre = data_centre
        self._wall_clock = wall_clock
        self._lease: tuple[int, int] | None = None

    def forget(self) -> None:
        """Looks the lease up again, as it may be gone."""
        self._lease = None

    async def current(self) -> int:
        """Returns the lease, or 0 when the service cannot be reached."""
        hour = int(self._wall_clock() // _HOUR_S)
        if self._lease and self._lease[0] == hour:
            return self._lease[1]
        key = f"{_LEASES}{self._data_centre}/{hour}"
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
                self._lease = (hour, granted)
                return granted
        self._lease = (hour, int(result.current[0].value))
        return self._lease[1]

    async def _grant_lease(self) -> int:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                lease = await self._client.grant_lease(LEASE_TTL_S)
        except TimeoutError:
            return 0
        return 0 if isinstance(lease, errors.Failure) else lease
