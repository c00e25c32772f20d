"""Takes and renews the order lease, with the help of other instances."""

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec

from carobsail import (
    errors,
    keyvalue,
    members,
    orderlease,
    summaries,
    telemetry,
)

# Spreads the instances that try to take the order lease.
TAKE_SPREAD_S = 0.4
# The holder's link carries summaries of and boards to all instances: one with a
# narrow link, or with little processor time, lets the others go first.
WEAK_WAIT_S = 0.6
RETRY_S = 0.3
# The store answers in 4 ms; after this the holder also asks other instances to
# renew its lease, and waits so long for them.
RELAY_AFTER_S = 0.15
RELAY_WAIT_S = 0.5
RELAY_PEERS = 3

_log = logging.getLogger(__name__)


class LeaseKeeper:
    """Keeps the order lease of one instance.

    Attributes:
      lease: The order lease as this instance knows it.
      stopping: Whether the instance stops and takes no lease any more.
    """

    def __init__(
        self,
        me: orderlease.Holder,
        strong: bool,
        turn_s: float,
        store: keyvalue.KeyValueClient,
        known: members.Members,
        boot_clock: Callable[[], float],
        rng: random.Random,
        on_turn: Callable[[bool], None],
    ) -> None:
        """Creates a keeper without a lease.

        Args:
          me: This instance.
          strong: Whether it has the link and processor of an order giver.
          turn_s: Seconds between the orders of two instances.
          store: Client of the store.
          known: The other instances.
          boot_clock: Clock that includes the time of a suspended machine.
          rng: Source of jitter.
          on_turn: Receives whether the lease is held, before each renewal or
            attempt.
        """
        self.lease = orderlease.OrderLease(me, turn_s)
        self.stopping = False
        self._me = me
        self._strong = strong
        self._store = store
        self._members = known
        self._boot_clock = boot_clock
        self._rng = rng
        self._on_turn = on_turn
        self._changed = asyncio.Event()
        self._number = 0
        self._renewals: dict[int, asyncio.Future[float]] = {}

    def observe(self, event: keyvalue.WatchEvent) -> None:
        """Takes over a change of the order lease's key."""
        if self.lease.observe(event):
            holder = self.lease.holder
            telemetry.log(
                _log,
                "order_giver_changed",
                holder=holder.instance if holder else "",
                revision=event.mod_revision,
            )
        self._changed.set()

    async def run(self) -> None:
        """Takes and renews the order lease until cancelled."""
        while True:
            self._changed.clear()
            self._on_turn(bool(self.lease.fence))
            if self.lease.fence:
                await self._renew()
            elif self.lease.may_take() and not self.stopping:
                await self._take()
            try:
                async with asyncio.timeout(
                    orderlease.RENEWAL_S if self.lease.fence else 5.0
                ):
                    await self._changed.wait()
            except TimeoutError:
                pass  # The time of the next renewal or attempt has come.

    async def _take(self) -> None:
        if self.lease.holder is None:
            wait_s = self._rng.uniform(0.0, TAKE_SPREAD_S)
            await asyncio.sleep(wait_s + (0.0 if self._strong else WEAK_WAIT_S))
            if not self.lease.may_take():
                return
        sent_at = self._boot_clock()
        lease = await self._store.grant_lease(orderlease.LEASE_S)
        if isinstance(lease, errors.Failure):
            await asyncio.sleep(RETRY_S)
            self._changed.set()
            return
        if not self.lease.may_take():
            return
        again = self.lease.holder is not None and self.lease.holder.acting
        result = await self._write_key(again, lease)
        if isinstance(result, errors.Failure) or not result.succeeded:
            # If it took effect all the same, the watch shows the key.
            await asyncio.sleep(RETRY_S)
            return
        self.lease.taken(lease, result.revision, sent_at)
        telemetry.log(
            _log,
            "order_lease_taken",
            fence=result.revision,
            first_order_in_s=self.lease.first_order_at - self._boot_clock(),
        )

    async def _write_key(
        self, acting: bool, lease: int
    ) -> keyvalue.TransactionResult | errors.Failure:
        """Writes the key with this instance as the holder."""
        key = orderlease.ORDER_GIVER_KEY
        value = msgspec.structs.replace(self._me, acting=acting)
        return await self._store.transact(
            [keyvalue.Compare(key, self.lease.key_revision)],
            [keyvalue.Put(key, msgspec.json.encode(value), lease)],
        )

    async def _renew(self) -> None:
        sent_at = self._boot_clock()
        if sent_at >= self.lease.valid_until:
            telemetry.log(_log, "order_lease_lost", fence=self.lease.fence)
            self.lease.lose()
            return
        ttl_s = await self._renew_any(self.lease.lease)
        if isinstance(ttl_s, errors.Failure):
            telemetry.log(
                _log,
                "order_lease_not_renewed",
                reason=str(ttl_s.reason),
                left_s=self.lease.valid_until - self._boot_clock(),
            )
            await asyncio.sleep(RETRY_S)
            self._changed.set()
            return
        self.lease.renewed(ttl_s, sent_at)
        if self.lease.must_announce(self._boot_clock()):
            await self._announce()

    async def _renew_any(self, lease: int) -> float | errors.Failure:
        """Renews a lease, through another instance if need be.

        Load pattern: the holder alone is cut off from the store, or is turned
        away by it, while the others reach it. Without their help no engine
        would get an order for the rest of the lease and the turn.
        """
        direct = asyncio.create_task(self._store.keep_lease(lease))
        relayed: asyncio.Future[float] | None = None
        try:
            await asyncio.wait({direct}, timeout=RELAY_AFTER_S)
            if direct.done() and not isinstance(
                direct.result(), errors.Failure
            ):
                return direct.result()
            relayed = self._ask_renewal(lease)
            pending: set[asyncio.Future[float | errors.Failure]]
            pending = {relayed, direct}  # type: ignore[arg-type]
            if direct.done():
                pending = {relayed}  # type: ignore[arg-type]
            await asyncio.wait(
                pending, timeout=RELAY_WAIT_S, return_when="FIRST_COMPLETED"
            )
            if relayed.done():
                telemetry.log(_log, "order_lease_renewed_by_peer")
                return relayed.result()
            if direct.done():
                return direct.result()
            return errors.Failure(
                errors.Reason.TIMEOUT,
                errors.Step.KEY_VALUE,
                "store",
                errors.Outcome.UNKNOWN,
                "neither the store nor a peer answered",
            )
        finally:
            direct.cancel()
            if relayed is not None:
                self._renewals.clear()

    def _ask_renewal(self, lease: int) -> asyncio.Future[float]:
        """Asks some instances to renew a lease."""
        answer = asyncio.get_running_loop().create_future()
        peers = self._members.peers()
        self._rng.shuffle(peers)
        self._number += 1
        self._renewals[self._number] = answer
        request = summaries.RenewalRequest(lease=lease, number=self._number)
        for peer in peers[:RELAY_PEERS]:
            self._members.send(request, peer.address)
        return answer

    async def renew_for(
        self, request: summaries.RenewalRequest, address: str, revision: int
    ) -> None:
        """Renews a lease for another instance.

        Args:
          request: Its request.
          address: IP address of the other instance.
          revision: Revision up to which this instance knows the store.
        """
        ttl_s = await self._store.keep_lease(request.lease)
        if not isinstance(ttl_s, errors.Failure):
            answer = summaries.RenewalAnswer(
                number=request.number, ttl_s=ttl_s, store_revision=revision
            )
            self._members.send(answer, address)

    def take_answer(self, answer: summaries.RenewalAnswer) -> None:
        """Takes over a renewal by another instance."""
        renewal = self._renewals.pop(answer.number, None)
        if renewal is not None and not renewal.done():
            renewal.set_result(answer.ttl_s)

    async def give_back(self) -> None:
        """Ends the lease, if it is held, so that another may take it."""
        self.stopping = True
        lease = self.lease.lease
        if self.lease.fence:
            self.lease.lose()
            await self._store.revoke_lease(lease)

    async def _announce(self) -> None:
        """Lets the key say that orders follow, before the first one."""
        result = await self._write_key(True, self.lease.lease)
        if not isinstance(result, errors.Failure) and result.succeeded:
            self.lease.announced(result.revision)
