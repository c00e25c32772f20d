"""Leadership of a data centre by a lease in the key-value service."""

import asyncio
import enum
import random
from collections.abc import Callable

import msgspec

from carobsail import errors, keyvalue

LEASE_TTL_S = 6
RENEW_INTERVAL_S = 2.0
# Orders stop this long before expiry, for one order's way to its target.
STOP_BEFORE_EXPIRY_S = 1.0
LEADER_SILENT_S = 2.0
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 5.0
CALL_TIMEOUT_S = 2.0
# Attempts a second that all candidates of a data centre make together.
ATTEMPTS_PER_S = 4.0
# Bounds the delay when most of the candidates are gone.
MAX_SPREAD_S = 4.0


class Role(enum.StrEnum):
    """State of a candidate.

    FROZEN: it was the last leader, its lease ran out or cannot be renewed,
    and no other leader is known.
    """

    FOLLOWER = "follower"
    LEADER = "leader"
    FROZEN = "frozen"


class Holder(msgspec.Struct, frozen=True):
    """Value of the leader key; the token differs at each acquisition."""

    instance: str
    token: str


def leader_key(data_centre: str) -> str:
    """Returns the key of a data centre's leader."""
    return f"/carobsail/dc/{data_centre}/leader"


class Leadership:
    """Acquires and renews the leader lease of one process.

    Attributes:
      role: Present state.
      key_revision: Revision of the leader key when this process leads; writes
        of the leader compare it, so that a deposed leader's writes fail.
      terms: Number of acquisitions.
      candidates: Control processes in the data centre, which spreads their
        attempts.
    """

    __slots__ = (
        "_backoff_s",
        "_data_centre",
        "_heard_at",
        "_instance",
        "_key",
        "_key_value",
        "_lease",
        "_on_change",
        "_rng",
        "_started_at",
        "_stopping",
        "_valid_until",
        "_value",
        "_vacated",
        "candidates",
        "key_revision",
        "role",
        "terms",
    )

    def __init__(
        self,
        data_centre: str,
        instance: str,
        key_value: keyvalue.KeyValueClient,
        rng: random.Random,
        on_change: Callable[[Role], None] = lambda role: None,
    ) -> None:
        self.role = Role.FOLLOWER
        self.key_revision = 0
        self.terms = 0
        self.candidates = 1
        self._data_centre = data_centre
        self._instance = instance
        self._key = leader_key(data_centre)
        self._key_value = key_value
        self._rng = rng
        self._on_change = on_change
        self._lease = 0
        self._value = b""
        self._valid_until = float("-inf")
        self._heard_at = float("-inf")
        self._backoff_s = FIRST_BACKOFF_S
        self._started_at = float("-inf")
        self._stopping = False
        self._vacated = asyncio.Event()

    def may_order(self, now: float) -> bool:
        """Tells whether an order may be given at `now` (loop seconds).

        To be called immediately before each order: after a pause the clock
        has passed the end of the lease even if no timer has run yet.
        """
        return (
            self.role == Role.LEADER
            and now < self._valid_until - STOP_BEFORE_EXPIRY_S
        )

    def leads(self, now: float) -> bool:
        """Tells whether the lease is valid at `now` (loop seconds)."""
        return self.role == Role.LEADER and now < self._valid_until

    def leader_heard(self, now: float, leaving: bool = False) -> None:
        """Records a heartbeat of another process that leads.

        Args:
          now: Loop time in seconds.
          leaving: Whether that leader has given up its lease.
        """
        if leaving:
            self._heard_at = float("-inf")
            self._vacated.set()
            return
        self._heard_at = now
        if self.role == Role.FROZEN:
            self._change(Role.FOLLOWER)

    def _change(self, role: Role) -> None:
        if role != self.role:
            self.role = role
            self._on_change(role)

    async def run(self) -> None:
        """Campaigns and renews until cancelled or handed over."""
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        # All candidates may start together.
        await asyncio.sleep(self._spread_s())
        while not self._stopping:
            if self.role == Role.LEADER:
                await self._hold(loop)
            elif loop.time() < self._heard_at + LEADER_SILENT_S:
                await self._follow(loop)
            else:
                await self._campaign(loop)

    async def _follow(self, loop: asyncio.AbstractEventLoop) -> None:
        """Waits until the leader has been silent, then a random time."""
        heard_at = self._heard_at
        self._vacated.clear()
        try:
            async with asyncio.timeout_at(heard_at + LEADER_SILENT_S):
                await self._vacated.wait()
        except TimeoutError:
            # Timers end up to the clock's resolution early, so the clock
            # cannot tell; a heartbeat since then can.
            if self._heard_at != heard_at:
                return
        await asyncio.sleep(self._spread_s())

    def _spread_s(self) -> float:
        longest_s = min(self.candidates / ATTEMPTS_PER_S, MAX_SPREAD_S)
        return self._rng.uniform(0.0, longest_s)

    async def _hold(self, loop: asyncio.AbstractEventLoop) -> None:
        """Renews once, or freezes when the lease has run out."""
        sent_at = loop.time()
        left_s = await self._call(self._key_value.keep_lease(self._lease))
        if isinstance(left_s, errors.Failure):
            if loop.time() >= self._valid_until:
                self._change(Role.FROZEN)
            await self._back_off()
        elif left_s <= 0:
            # The lease is gone; nobody else may be there yet.
            self._change(Role.FROZEN)
        elif not self._stopping:
            # Counted from before the call was sent: the service may have
            # renewed at any moment since.
            self._valid_until = sent_at + min(left_s, LEASE_TTL_S)
            self._backoff_s = FIRST_BACKOFF_S
            if loop.time() >= self._valid_until:
                return
            await asyncio.sleep(
                max(0.0, sent_at + RENEW_INTERVAL_S - loop.time())
            )

    async def _campaign(self, loop: asyncio.AbstractEventLoop) -> None:
        holder = await self._read()
        if isinstance(holder, errors.Failure):
            await self._back_off()
            return
        if holder is not None and holder.value == self._value:
            await self._resume(loop, holder)
            return
        if holder is not None:
            if self.role == Role.FROZEN:
                self._change(Role.FOLLOWER)
            await self._await_expiry(loop)
            return
        if loop.time() < self._heard_at + LEADER_SILENT_S:
            return
        if isinstance(await self._acquire(loop), errors.Failure):
            await self._back_off()

    async def _await_expiry(self, loop: asyncio.AbstractEventLoop) -> None:
        """Waits before the key of a silent leader is read again."""
        await asyncio.sleep(0.25 + self._spread_s())
        silent_s = loop.time() - max(self._heard_at, self._started_at)
        if silent_s > LEASE_TTL_S + LEADER_SILENT_S:
            # That leader renews and is only out of reach of this process.
            await asyncio.sleep(MAX_BACKOFF_S * self._rng.uniform(0.5, 1.0))

    async def _resume(
        self, loop: asyncio.AbstractEventLoop, found: keyvalue.KeyValue
    ) -> None:
        """Leads again while the own key exists: nobody led since."""
        sent_at = loop.time()
        left_s = await self._call(self._key_value.keep_lease(found.lease))
        if isinstance(left_s, errors.Failure):
            await self._back_off()
        elif left_s > 0:
            self._lease = found.lease
            await self._lead(found.mod_revision, sent_at)

    async def _lead(self, revision: int, since: float) -> None:
        if self._stopping:
            await self._call(self._key_value.revoke_lease(self._lease))
            return
        self._valid_until = since + LEASE_TTL_S
        self._backoff_s = FIRST_BACKOFF_S
        self.key_revision = revision
        self.terms += 1
        self._change(Role.LEADER)

    async def _read(self) -> keyvalue.KeyValue | None | errors.Failure:
        result = await self._call(self._key_value.range(self._key))
        if isinstance(result, errors.Failure):
            return result
        return next((v for v in result.values if v.key == self._key), None)

    async def _acquire(
        self, loop: asyncio.AbstractEventLoop
    ) -> None | errors.Failure:
        started_at = loop.time()
        lease = await self._call(self._key_value.grant_lease(LEASE_TTL_S))
        if isinstance(lease, errors.Failure):
            return lease
        token = f"{self._instance}/{self._rng.getrandbits(64):016x}"
        value = msgspec.json.encode(Holder(self._instance, token))
        self._value = value
        self._lease = lease
        result = await self._call(
            self._key_value.transact(
                [keyvalue.Compare(self._key, 0)],
                [keyvalue.Put(self._key, value, lease)],
            )
        )
        if isinstance(result, errors.Failure):
            if result.outcome == errors.Outcome.NOT_RUN:
                return result
            # The write may have taken effect: the next round reads the key
            # back, and finding the own value means success.
            return None
        if result.succeeded:
            await self._lead(result.revision, started_at)
        return None

    async def _call(self, call):
        """Bounds a call; a call that timed out may have taken effect."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await call
        except TimeoutError:
            return errors.Failure(
                errors.Reason.TIMEOUT,
                errors.Step.KEY_VALUE,
                "key-value",
                errors.Outcome.UNKNOWN,
            )

    async def _back_off(self) -> None:
        await asyncio.sleep(self._backoff_s * self._rng.uniform(0.5, 1.0))
        limit_s = MAX_BACKOFF_S
        if self.role == Role.LEADER:
            limit_s = 1.0  # A valid lease is worth more frequent attempts.
        self._backoff_s = min(2 * self._backoff_s, limit_s)

    async def hand_over(self) -> None:
        """Stops giving orders and frees the lease at once."""
        self._stopping = True
        led = self.role == Role.LEADER
        self._valid_until = float("-inf")
        self._change(Role.FOLLOWER)
        if led:
            await self._call(self._key_value.revoke_lease(self._lease))
