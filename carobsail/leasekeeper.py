"""Acquires and renews the order lease, with the help of other instances."""

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
    storeera,
    summaries,
    telemetry,
)

# Upper bound of the jitter before an instance tries to acquire a free lease.
ACQUIRE_JITTER_S = 0.4
# Additional delay of an instance with a slow link, so that others acquire the
# lease first: the holder's link carries the summaries of all instances and the
# updates to them, and they take CPU time.
SLOW_LINK_DELAY_S = 0.6
RETRY_S = 0.3
# The store answers in 4 ms. If it has not renewed the lease after
# PEER_RENEWAL_AFTER_S, the holder also asks MAX_RENEWAL_PEERS other instances
# to do so, and waits for any answer for PEER_RENEWAL_TIMEOUT_S.
PEER_RENEWAL_AFTER_S = 0.15
PEER_RENEWAL_TIMEOUT_S = 0.5
MAX_RENEWAL_PEERS = 3

_log = logging.getLogger(__name__)


class LeaseKeeper:
    """Acquires, renews and releases the order lease for one instance.

    Attributes:
      lease: The order lease as this instance knows it.
      stopping: Whether the instance is stopping and must not acquire the lease.
    """

    def __init__(
        self,
        me: orderlease.Holder,
        fast_link: bool,
        handover_delay_s: float,
        store: keyvalue.KeyValueClient,
        peers: members.KnownPeers,
        boot_clock: Callable[[], float],
        rng: random.Random,
        on_lease_held: Callable[[bool], None],
    ) -> None:
        """Creates a keeper that does not hold the lease.

        Args:
          me: This instance.
          fast_link: Whether it has the network link that suits a coordinator.
          handover_delay_s: Required seconds between the orders of two
            instances.
          store: Client of the key-value store.
          peers: The other instances.
          boot_clock: Clock that includes time for which the machine was
            suspended.
          rng: Source of jitter.
          on_lease_held: Called with whether the lease is held, before each
            renewal or attempt to acquire it.
        """
        self.lease = orderlease.OrderLease(me, handover_delay_s)
        self.stopping = False
        self._me = me
        self._fast_link = fast_link
        self._store = store
        self._known_peers = peers
        self._boot_clock = boot_clock
        self._rng = rng
        self._on_lease_held = on_lease_held
        self._wake_up = asyncio.Event()
        self._request_number = 0
        self._renewal_answers: dict[int, asyncio.Future[float]] = {}

    def observe(self, event: keyvalue.WatchEvent) -> None:
        """Applies a change of the order lease's key."""
        if self.lease.observe(event):
            holder = self.lease.holder
            telemetry.log(
                _log,
                "order_giver_changed",
                holder=holder.instance if holder else "",
                revision=storeera.describe(event.mod_revision),
            )
        self._wake_up.set()

    async def run(self) -> None:
        """Acquires and renews the order lease until cancelled."""
        while True:
            self._wake_up.clear()
            self._on_lease_held(bool(self.lease.fence))
            if self.lease.fence and self._store.era > self.lease.era:
                await self._reclaim()
            elif self.lease.fence:
                await self._renew()
            elif self.lease.may_acquire() and not self.stopping:
                await self._acquire()
            try:
                async with asyncio.timeout(
                    orderlease.RENEWAL_INTERVAL_S if self.lease.fence else 5.0
                ):
                    await self._wake_up.wait()
            except TimeoutError:
                pass  # The next renewal or attempt is due.

    async def _acquire(self) -> None:
        if self.lease.holder is None:
            wait_s = self._rng.uniform(0.0, ACQUIRE_JITTER_S)
            await asyncio.sleep(
                wait_s + (0.0 if self._fast_link else SLOW_LINK_DELAY_S)
            )
            if not self.lease.may_acquire():
                return
        sent_at = self._boot_clock()
        lease = await self._grant()
        if lease is None or not self.lease.may_acquire():
            return
        if not self.lease.knows_keys_of(self._store.era):
            if not await self._read_keys() or not self.lease.may_acquire():
                return
        resumes = self.lease.resumes(self._store.era)
        result = await self._write_key(resumes, lease)
        if result is None:
            await asyncio.sleep(RETRY_S)
            return
        after_loss = self.lease.order_era != self._store.era
        self.lease.acquired(lease, result.revision, sent_at)
        telemetry.log(
            _log,
            "order_lease_taken",
            fence=storeera.describe(result.revision),
            first_order_in_s=self.lease.first_order_at - self._boot_clock(),
            after_loss=after_loss,
        )

    async def _reclaim(self) -> None:
        """Claims the lease again after the store has lost its last changes.

        Load pattern: the store comes back from an older copy. Without this no
        engine would get an order until all leases of the lost time have
        expired.
        """
        sent_at = self._boot_clock()
        if sent_at >= self.lease.valid_until:
            self._lose()
            return
        if not await self._read_keys():
            return
        if not self.lease.may_reclaim(self._store.era):
            self._lose()
            return
        lease = await self._grant()
        if lease is None:
            return
        acting, fence = self.lease.acting, self.lease.fence
        holder = self.lease.holder
        result = await self._write_key(acting, lease)
        if result is None or not self.lease.fence:
            await self._back_off()
            return
        self.lease.reclaimed(lease, result.revision, sent_at, acting)
        telemetry.log(
            _log,
            "order_lease_reclaimed",
            fence=storeera.describe(result.revision),
            fence_before=storeera.describe(fence),
            holder_before=holder.instance if holder else "",
            acting=acting,
        )

    async def _read_keys(self) -> bool:
        """Reads both keys from the store; returns whether that succeeded."""
        result = await self._store.range(orderlease.KEYS_PREFIX)
        if isinstance(result, errors.Failure):
            await self._back_off()
            return False
        values = {value.key: value for value in result.values}
        for key in (orderlease.ORDER_ERA_KEY, orderlease.ORDER_GIVER_KEY):
            value = values.get(key)
            self.observe(
                keyvalue.WatchEvent(
                    key,
                    value.value if value else None,
                    value.mod_revision if value else result.revision,
                )
            )
        return True

    async def _grant(self) -> int | None:
        """Returns a new lease of the store's present era, or None."""
        era = self._store.era
        lease = await self._store.grant_lease(orderlease.LEASE_S)
        if isinstance(lease, errors.Failure) or self._store.era != era:
            await self._back_off()
            return None
        return lease

    async def _write_key(
        self, acting: bool, lease: int
    ) -> keyvalue.TransactionResult | None:
        """Writes the key with this instance as the holder.

        Args:
          acting: Whether it has given orders or is about to. The era of the
            last order is then written as well.
          lease: A lease of the store's present era.

        Returns:
          The result; None if the key was not written, if that is unknown, or if
          the store has gone back or another instance has written the key
          meanwhile. If the write holds nevertheless, the watch reports the key.
        """
        era = self._store.era
        key = orderlease.ORDER_GIVER_KEY
        value = msgspec.structs.replace(self._me, acting=acting)
        writes: list[keyvalue.Put | keyvalue.Delete] = [
            keyvalue.Put(key, msgspec.json.encode(value), lease)
        ]
        if acting and self.lease.order_era != era:
            writes.append(
                keyvalue.Put(
                    orderlease.ORDER_ERA_KEY, orderlease.encode_era(era)
                )
            )
        result = await self._store.transact(
            [
                keyvalue.Compare(key, self.lease.key_revision),
                keyvalue.Compare(
                    orderlease.ORDER_ERA_KEY, self.lease.order_era_revision
                ),
            ],
            writes,
        )
        if (
            isinstance(result, errors.Failure)
            or not result.succeeded
            or self._store.era != era
            # The lost holder may have claimed the lease again since.
            or result.revision < self.lease.key_revision
        ):
            return None
        return result

    async def _back_off(self) -> None:
        """Waits before the next attempt, which `run` then makes at once."""
        await asyncio.sleep(RETRY_S)
        self._wake_up.set()

    def _lose(self) -> None:
        telemetry.log(
            _log,
            "order_lease_lost",
            fence=storeera.describe(self.lease.fence),
            era=self._store.era,
        )
        self.lease.lose()

    async def _renew(self) -> None:
        sent_at = self._boot_clock()
        if sent_at >= self.lease.valid_until:
            self._lose()
            return
        ttl_s = await self._renew_with_fallback(self.lease.lease_id)
        if self._store.era > self.lease.era:
            # Leases are numbered anew: another one may have been renewed.
            self._wake_up.set()
            return
        if isinstance(ttl_s, errors.Failure):
            telemetry.log(
                _log,
                "order_lease_not_renewed",
                reason=str(ttl_s.reason),
                left_s=self.lease.valid_until - self._boot_clock(),
            )
            await self._back_off()
            return
        self.lease.renewed(ttl_s, sent_at)
        if self.lease.must_mark_acting(self._boot_clock()):
            await self._mark_acting()

    async def _renew_with_fallback(self, lease: int) -> float | errors.Failure:
        """Renews a lease, by way of another instance if necessary.

        Load pattern: only the holder cannot reach the store or is rejected by
        it. Without the help of other instances no engine would get an order for
        the rest of the lease and the handover delay.
        """
        store_renewal = asyncio.create_task(self._store.keep_lease(lease))
        peer_renewal: asyncio.Future[float] | None = None
        try:
            await asyncio.wait({store_renewal}, timeout=PEER_RENEWAL_AFTER_S)
            if store_renewal.done() and not isinstance(
                store_renewal.result(), errors.Failure
            ):
                return store_renewal.result()
            peer_renewal = self._request_renewal(lease)
            pending: set[asyncio.Future[float | errors.Failure]]
            pending = {peer_renewal, store_renewal}  # type: ignore[arg-type]
            if store_renewal.done():
                pending = {peer_renewal}  # type: ignore[arg-type]
            await asyncio.wait(
                pending,
                timeout=PEER_RENEWAL_TIMEOUT_S,
                return_when="FIRST_COMPLETED",
            )
            if peer_renewal.done():
                telemetry.log(_log, "order_lease_renewed_by_peer")
                return peer_renewal.result()
            if store_renewal.done():
                return store_renewal.result()
            return errors.Failure(
                errors.Reason.TIMEOUT,
                errors.Step.KEY_VALUE,
                "store",
                errors.Outcome.UNKNOWN,
                "neither the store nor a peer answered",
            )
        finally:
            store_renewal.cancel()
            if peer_renewal is not None:
                self._renewal_answers.clear()

    def _request_renewal(self, lease: int) -> asyncio.Future[float]:
        """Asks some instances to renew a lease; the first answer counts."""
        answer = asyncio.get_running_loop().create_future()
        peers = self._known_peers.peers()
        self._rng.shuffle(peers)
        self._request_number += 1
        self._renewal_answers[self._request_number] = answer
        request = summaries.RenewalRequest(
            lease=lease, number=self._request_number
        )
        for peer in peers[:MAX_RENEWAL_PEERS]:
            self._known_peers.send(request, peer.address)
        return answer

    async def renew_for_peer(
        self, request: summaries.RenewalRequest, address: str, revision: int
    ) -> None:
        """Renews a lease on behalf of another instance.

        Args:
          request: Request of the other instance.
          address: IP address of the other instance.
          revision: Revision up to which this instance's copy of the store is
            complete.
        """
        ttl_s = await self._store.keep_lease(request.lease)
        if not isinstance(ttl_s, errors.Failure):
            answer = summaries.RenewalAnswer(
                number=request.number,
                ttl_s=ttl_s,
                store_revision=revision,
                era=self._store.era,
            )
            self._known_peers.send(answer, address)

    def receive_answer(self, answer: summaries.RenewalAnswer) -> None:
        """Handles another instance's answer to a renewal request.

        An answer of another era does not concern this instance's lease.
        """
        if answer.era not in (None, self.lease.era):
            return
        renewal = self._renewal_answers.pop(answer.number, None)
        if renewal is not None and not renewal.done():
            renewal.set_result(answer.ttl_s)

    async def release(self) -> None:
        """Removes the key, if held, so that another instance may acquire it.

        The lease is not acquired again. It is not revoked by its number, which
        may belong to another process since the store has gone back.
        """
        self.stopping = True
        key = orderlease.ORDER_GIVER_KEY
        revision = self.lease.key_revision
        if self.lease.fence:
            self.lease.lose()
            await self._store.transact(
                [keyvalue.Compare(key, revision)], [keyvalue.Delete(key)]
            )

    async def _mark_acting(self) -> None:
        """Marks the key `acting` before the first order."""
        result = await self._write_key(True, self.lease.lease_id)
        if result is not None:
            self.lease.marked_acting(result.revision)
        else:
            # The key may name another holder already.
            await self._read_keys()
