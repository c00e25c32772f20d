"""Leader election of a data centre by a lease in the key-value service."""

import asyncio
import enum
import random
from collections.abc import Callable

import msgspec

from carobsail import errors, keyvalue

LEASE_TTL_S = 6
RENEW_INTERVAL_S = 2.0
# Orders stop this long before the lease expires, so that an order in flight
# reaches its target within the lease.
STOP_BEFORE_EXPIRY_S = 1.0
# Time without a heartbeat of the leader after which candidates campaign.
LEADER_SILENCE_S = 2.0
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 5.0
CALL_TIMEOUT_S = 2.0
# Mean rate at which all candidates of a data centre together try to acquire
# the lease. The random delay of each grows with the number of candidates.
ATTEMPTS_PER_S = 4.0
# Limits that delay, for when most of the counted candidates are gone.
MAX_RANDOM_DELAY_S = 4.0


class Role(enum.StrEnum):
    """State of a candidate.

    FROZEN: the process was the last leader, its lease has expired or can no
    longer be renewed, and no other leader is known.
    """

    FOLLOWER = "follower"
    LEADER = "leader"
    FROZEN = "frozen"


class Holder(msgspec.Struct, frozen=True):
    """Value of the leader key.

    Attributes:
      instance: Instance of the leader.
      token: Random and different for each acquisition.
    """

    instance: str
    token: str


def leader_key(data_centre: str) -> str:
    """Returns the key of a data centre's leader."""
    return f"/carobsail/dc/{data_centre}/leader"


class Leadership:
    """Campaigns for the leader lease of one process and renews it.

    Attributes:
      role: Current state.
      key_revision: Revision of the leader key when this process leads; writes
        of the leader compare it, so that a deposed leader's writes fail.
      terms: Number of times that this process became the leader.
      candidates: Number of control processes in the data centre; more
        candidates wait longer random delays before their attempts.
    """

    __slots__ = (
        "_backoff_s",
        "_data_centre",
        "_instance",
        "_key",
        "_key_value",
        "_leader_heard_at",
        "_leader_left",
        "_lease_id",
        "_lease_valid_until",
        "_on_change",
        "_own_value",
        "_rng",
        "_started_at",
        "_stopping",
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
        self._lease_id = 0
        self._own_value = b""
        self._lease_valid_until = float("-inf")
        self._leader_heard_at = float("-inf")
        self._backoff_s = FIRST_BACKOFF_S
        self._started_at = float("-inf")
        self._stopping = False
        self._leader_left = asyncio.Event()

    def may_send_orders(self, now: float) -> bool:
        """Tells whether an order may be sent at `now` (loop seconds).

        Orders are commands to load or unload a model. Call this immediately
        before each of them: when the process was paused, the clock is past
        the end of the lease even if no timer has run yet.
        """
        return (
            self.role == Role.LEADER
            and now < self._lease_valid_until - STOP_BEFORE_EXPIRY_S
        )

    def leads(self, now: float) -> bool:
        """Tells whether the lease is valid at `now` (loop seconds)."""
        return self.role == Role.LEADER and now < self._lease_valid_until

    def leader_heard(self, now: float, leaving: bool = False) -> None:
        """Records a heartbeat of another process that leads.

        Args:
          now: Loop time in seconds.
          leaving: Whether that leader is shutting down and releases its lease.
        """
        if leaving:
            self._leader_heard_at = float("-inf")
            self._leader_left.set()
            return
        self._leader_heard_at = now
        if self.role == Role.FROZEN:
            self._set_role(Role.FOLLOWER)

    def _set_role(self, role: Role) -> None:
        if role != self.role:
            self.role = role
            self._on_change(role)

    async def run(self) -> None:
        """Campaigns for the lease and renews it, until stopped or cancelled."""
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        # All candidates may start at the same time.
        await asyncio.sleep(self._random_delay_s())
        while not self._stopping:
            if self.role == Role.LEADER:
                await self._renew_once(loop)
            elif loop.time() < self._leader_heard_at + LEADER_SILENCE_S:
                await self._follow(loop)
            else:
                await self._campaign(loop)

    async def _follow(self, loop: asyncio.AbstractEventLoop) -> None:
        """Waits until the leader is silent or leaves, then a random time.

        Returns without that delay when the leader has sent a heartbeat since.
        """
        heard_at = self._leader_heard_at
        self._leader_left.clear()
        try:
            async with asyncio.timeout_at(heard_at + LEADER_SILENCE_S):
                await self._leader_left.wait()
        except TimeoutError:
            # A timer may fire early by up to the clock's resolution, so the
            # clock can't tell whether the leader was silent for long enough.
            # The time of its last heartbeat can.
            if self._leader_heard_at != heard_at:
                return
        await asyncio.sleep(self._random_delay_s())

    def _random_delay_s(self) -> float:
        longest_s = min(self.candidates / ATTEMPTS_PER_S, MAX_RANDOM_DELAY_S)
        return self._rng.uniform(0.0, longest_s)

    async def _renew_once(self, loop: asyncio.AbstractEventLoop) -> None:
        """Renews the lease once; freezes the role if the lease is lost."""
        sent_at = loop.time()
        left_s = await self._call_with_timeout(
            self._key_value.keep_lease(self._lease_id)
        )
        if isinstance(left_s, errors.Failure):
            if loop.time() >= self._lease_valid_until:
                self._set_role(Role.FROZEN)
            await self._back_off()
        elif left_s <= 0:
            # The lease has expired; there may be no other leader yet.
            self._set_role(Role.FROZEN)
        elif not self._stopping:
            # Counted from before the call was sent, because the service may
            # have renewed the lease at any time since then.
            self._lease_valid_until = sent_at + min(left_s, LEASE_TTL_S)
            self._backoff_s = FIRST_BACKOFF_S
            if loop.time() >= self._lease_valid_until:
                return
            await asyncio.sleep(
                max(0.0, sent_at + RENEW_INTERVAL_S - loop.time())
            )

    async def _campaign(self, loop: asyncio.AbstractEventLoop) -> None:
        """Makes one attempt to become the leader."""
        holder = await self._read_leader_key()
        if isinstance(holder, errors.Failure):
            await self._back_off()
            return
        if holder is not None and holder.value == self._own_value:
            await self._resume_leading(loop, holder)
            return
        if holder is not None:
            if self.role == Role.FROZEN:
                self._set_role(Role.FOLLOWER)
            await self._wait_to_poll(loop)
            return
        if loop.time() < self._leader_heard_at + LEADER_SILENCE_S:
            return
        if isinstance(await self._acquire(loop), errors.Failure):
            await self._back_off()

    async def _wait_to_poll(self, loop: asyncio.AbstractEventLoop) -> None:
        """Waits before the leader key is read again."""
        await asyncio.sleep(0.25 + self._random_delay_s())
        silent_s = loop.time() - max(self._leader_heard_at, self._started_at)
        if silent_s > LEASE_TTL_S + LEADER_SILENCE_S:
            # The leader still renews its lease and is only unreachable from
            # this process, so poll less often.
            await asyncio.sleep(MAX_BACKOFF_S * self._rng.uniform(0.5, 1.0))

    async def _resume_leading(
        self, loop: asyncio.AbstractEventLoop, found: keyvalue.KeyValue
    ) -> None:
        """Leads again under the lease of the key that this process wrote.

        No other process has led since, because the key still exists.
        """
        sent_at = loop.time()
        left_s = await self._call_with_timeout(
            self._key_value.keep_lease(found.lease)
        )
        if isinstance(left_s, errors.Failure):
            await self._back_off()
        elif left_s > 0:
            self._lease_id = found.lease
            await self._become_leader(found.mod_revision, sent_at)

    async def _become_leader(self, revision: int, since: float) -> None:
        if self._stopping:
            await self._call_with_timeout(
                self._key_value.revoke_lease(self._lease_id)
            )
            return
        self._lease_valid_until = since + LEASE_TTL_S
        self._backoff_s = FIRST_BACKOFF_S
        self.key_revision = revision
        self.terms += 1
        self._set_role(Role.LEADER)

    async def _read_leader_key(
        self,
    ) -> keyvalue.KeyValue | None | errors.Failure:
        result = await self._call_with_timeout(self._key_value.range(self._key))
        if isinstance(result, errors.Failure):
            return result
        return next((v for v in result.values if v.key == self._key), None)

    async def _acquire(
        self, loop: asyncio.AbstractEventLoop
    ) -> None | errors.Failure:
        started_at = loop.time()
        lease = await self._call_with_timeout(
            self._key_value.grant_lease(LEASE_TTL_S)
        )
        if isinstance(lease, errors.Failure):
            return lease
        token = f"{self._instance}/{self._rng.getrandbits(64):016x}"
        value = msgspec.json.encode(Holder(self._instance, token))
        self._own_value = value
        self._lease_id = lease
        result = await self._call_with_timeout(
            self._key_value.transact(
                [keyvalue.Compare(self._key, 0)],
                [keyvalue.Put(self._key, value, lease)],
            )
        )
        if isinstance(result, errors.Failure):
            if result.outcome == errors.Outcome.NOT_RUN:
                return result
            # The write may have taken effect. The next campaign reads the key
            # and leads if it finds the value written here.
            return None
        if result.succeeded:
            await self._become_leader(result.revision, started_at)
        return None

    async def _call_with_timeout(self, call):
        """Awaits a call with a timeout, after which its outcome is unknown."""
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
            limit_s = 1.0  # Retries more often to keep a lease still valid.
        self._backoff_s = min(2 * self._backoff_s, limit_s)

    async def resign(self) -> None:
        """Stops leading and campaigning, and revokes the lease at once."""
        self._stopping = True
        led = self.role == Role.LEADER
        self._lease_valid_until = float("-inf")
        self._set_role(Role.FOLLOWER)
        if led:
            await self._call_with_timeout(
                self._key_value.revoke_lease(self._lease_id)
            )
