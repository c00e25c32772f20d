"""Budget of model loads from the weight store, shared by the data centres.

The shares of all data centres are stored in the value of one key. Each data
centre renews its own share, like a lease. Clocks are not synchronised: a holder
counts the validity from before it sent the renewal, and others take over a
share only after the validity and a margin have passed on their own clock since
they last saw a renewal.
"""

import asyncio
from collections.abc import Callable

import msgspec

from carobsail import errors, inventory, keyvalue

SHARES_KEY = "/carobsail/store-shares"
SHARE_VALIDITY_S = 30.0
RENEWAL_INTERVAL_S = 10.0
CHECK_INTERVAL_S = 2.0
REUSE_MARGIN_S = 5.0  # Covers clock drift and an order being sent.
# Other loads get no permit for this long after a recovery load got none.
RECOVERY_PRIORITY_S = 5.0
MAX_WRITE_ATTEMPTS = 5


class Share(msgspec.Struct, frozen=True):
    """Share of one data centre.

    Attributes:
      loads_per_s: Number of loads that it may start per second.
      loads_at_once: Number of loads that it may have in flight.
      wanted_at_once: Number of loads that it wants to have in flight.
      replaced: Revision of the stored value that the renewal replaced; it
        differs at each renewal, even if the share was dropped in between.
      valid_s: Validity in seconds, counted as the module docstring describes.
    """

    loads_per_s: float = 0.0
    loads_at_once: int = 0
    wanted_at_once: int = 0
    replaced: int = 0
    valid_s: float = SHARE_VALIDITY_S


class ShareAllocator:
    """Computes the share of one data centre from the stored shares.

    Attributes:
      held: The last share held, which may have expired.
    """

    __slots__ = (
        "_data_centre",
        "_last_renewals",
        "_store",
        "_valid_until",
        "held",
    )

    def __init__(self, data_centre: str, store: inventory.WeightStore) -> None:
        self._data_centre = data_centre
        self._store = store
        self._last_renewals: dict[str, tuple[int, float]] = {}
        self._valid_until = float("-inf")
        self.held = Share()

    def usable_share(self, now: float) -> Share:
        """Returns the share that may be used now, empty if it has expired."""
        return self.held if now < self._valid_until else Share()

    def compute_shares(
        self,
        stored: dict[str, Share],
        revision: int,
        wanted: int,
        in_flight: int,
        now: float,
    ) -> dict[str, Share]:
        """Returns the shares to write, with a renewed own share.

        Args:
          stored: The stored shares.
          revision: Revision of the stored value.
          wanted: Number of loads that this data centre wants in flight.
          in_flight: Number of loads that it has in flight. It asks for a share
            that covers them.
          now: Loop time before the read was sent, in seconds.
        """
        others = {
            name: share
            for name, share in stored.items()
            if name != self._data_centre
            and self._may_be_in_use(name, share, now)
        }
        limit = self._store.loads_at_once
        free = limit - sum(s.loads_at_once for s in others.values())
        wanting = sum(s.wanted_at_once > 0 for s in others.values())
        fair = max(1, limit // (wanting + 1))
        starving = any(
            s.loads_at_once < min(s.wanted_at_once, fair)
            for s in others.values()
        )
        desired = min(wanted, fair) if starving else wanted
        at_once = max(0, min(max(desired, in_flight), free))
        rate_free = self._store.loads_per_s - sum(
            s.loads_per_s for s in others.values()
        )
        # The rate is divided among the data centres that want loads now.
        # Divided in proportion to `at_once`, most of it was left unused while
        # few engines were loading.
        rate = self._store.loads_per_s / (wanting + 1) if at_once else 0.0
        own = Share(
            max(0.0, min(rate, rate_free)),
            at_once,
            wanted,
            revision,
        )
        return others | {self._data_centre: own}

    def _may_be_in_use(self, name: str, share: Share, now: float) -> bool:
        """Tells whether the share of another data centre may be in use."""
        replaced, seen_at = self._last_renewals.get(name, (-1, now))
        if replaced != share.replaced:
            seen_at = now
        self._last_renewals[name] = (share.replaced, seen_at)
        return now < seen_at + share.valid_s + REUSE_MARGIN_S

    def reduce_before_write(self, own: Share) -> None:
        """Reduces the held share to what the share being written allows.

        The write may take effect even if its response is lost.
        """
        self.held = Share(
            min(self.held.loads_per_s, own.loads_per_s),
            min(self.held.loads_at_once, own.loads_at_once),
        )

    def confirm_write(self, own: Share, sent_at: float) -> None:
        """Puts a share into use whose write took effect."""
        self.held = own
        self._valid_until = sent_at + own.valid_s


class ShareClient:
    """Renews the share of one data centre in the key-value service.

    Attributes:
      allocator: Computes the share and holds it.
    """

    __slots__ = ("_data_centre", "_key_value", "allocator")

    def __init__(
        self,
        data_centre: str,
        store: inventory.WeightStore,
        key_value: keyvalue.KeyValueClient,
    ) -> None:
        self._data_centre = data_centre
        self._key_value = key_value
        self.allocator = ShareAllocator(data_centre, store)

    async def renew(self, wanted: int, in_flight: int) -> None | errors.Failure:
        """Renews the share; to be called every `RENEWAL_INTERVAL_S`."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            sent_at = asyncio.get_running_loop().time()
            found = await self._read()
            if isinstance(found, errors.Failure):
                return found
            revision, stored = found
            shares = self.allocator.compute_shares(
                stored, revision, wanted, in_flight, sent_at
            )
            own = shares[self._data_centre]
            self.allocator.reduce_before_write(own)
            result = await self._key_value.transact(
                [keyvalue.Compare(SHARES_KEY, revision)],
                [keyvalue.Put(SHARES_KEY, msgspec.json.encode(shares))],
            )
            if isinstance(result, errors.Failure):
                if result.outcome is errors.Outcome.NOT_RUN:
                    return result
                # The write may have taken effect: only this data centre writes
                # its own share, so reading it back shows whether it did.
                found = await self._read()
                if isinstance(found, errors.Failure):
                    return found
                if found[1].get(self._data_centre) != own:
                    continue
            elif not result.succeeded:
                continue
            self.allocator.confirm_write(own, sent_at)
            return None
        return errors.Failure(
            errors.Reason.CONFLICT,
            errors.Step.KEY_VALUE,
            SHARES_KEY,
            detail=f"{MAX_WRITE_ATTEMPTS} writes met other writers",
        )

    async def _read(self) -> tuple[int, dict[str, Share]] | errors.Failure:
        found = await self._key_value.range(SHARES_KEY)
        if isinstance(found, errors.Failure):
            return found
        for value in found.values:
            if value.key == SHARES_KEY:
                shares = msgspec.json.decode(value.value, type=dict[str, Share])
                return value.mod_revision, shares
        return 0, {}


async def renew_share_periodically(
    client: ShareClient,
    loads: Callable[[], tuple[int, int]],
    may_send_orders: Callable[[], bool],
) -> None:
    """Renews a share while it is used, until cancelled.

    Args:
      client: The share of the data centre.
      loads: Returns the numbers of loads wanted and in flight.
      may_send_orders: Whether this process may act for its data centre.
    """
    loop = asyncio.get_running_loop()
    renewed_at = float("-inf")
    while True:
        wanted, in_flight = loads()
        held = client.allocator.usable_share(loop.time()).loads_at_once
        due = loop.time() - renewed_at >= RENEWAL_INTERVAL_S
        # While loads are wanted or in flight, the share is renewed at each
        # check, because others wait for a fair part of the rate.
        active = bool(wanted or in_flight)
        if may_send_orders() and (active or (held and due)):
            renewed_at = loop.time()
            await client.renew(wanted, in_flight)
        await asyncio.sleep(CHECK_INTERVAL_S)


class LoadPermits:
    """Issues permits for model loads within the share, recovery loads first.

    Attributes:
      in_flight: Number of permits in use.
    """

    __slots__ = (
        "_allocator",
        "_last_load_at",
        "_recovery_refused_at",
        "in_flight",
    )

    def __init__(self, allocator: ShareAllocator) -> None:
        self._allocator = allocator
        self._last_load_at = float("-inf")
        self._recovery_refused_at = float("-inf")
        self.in_flight = 0

    def try_acquire(self, now: float, recovery: bool = False) -> bool:
        """Takes a permit to start one load now.

        Args:
          now: Loop time in seconds.
          recovery: Whether the load restores a model without any copy. While
            such loads wait, others get no permit.
        """
        waiting = now < self._recovery_refused_at + RECOVERY_PRIORITY_S
        if waiting and not recovery:
            return False
        share = self._allocator.usable_share(now)
        free = self.in_flight < share.loads_at_once
        if free and share.loads_per_s * (now - self._last_load_at) >= 1.0:
            self._last_load_at = now
            self.in_flight += 1
            if recovery:
                self._recovery_refused_at = float("-inf")
            return True
        if recovery:
            self._recovery_refused_at = now
        return False

    def release(self) -> None:
        """Returns the permit of a load that ended."""
        self.in_flight -= 1
