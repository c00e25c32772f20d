"""The lease that decides which instance is the coordinator.

The lease is held by a key of the store. At most one instance gives orders at a
time, even if a holder was suspended, if leases expire during an outage, or if
engines do not check fencing numbers:

- A holder stops giving orders `EXPIRY_MARGIN_S` before its lease can expire.
  The time is measured from before the renewal was sent, on a clock that
  includes time for which the machine was suspended, and checked immediately
  before each order.
- A new holder delays its first order by the required time between the orders of
  two instances. An instance that finds its own key after a restart continues
  without a delay: the holder is a machine, not a process.
- A store that has come back from an older copy may bring back the key of an
  earlier holder, and says nothing of the one that was lost. A second key holds
  the era in which an order was given last. If it is not the present one, a new
  holder also waits until the lease of a lost one has expired, even if it finds
  its own key. The lost holder claims the lease again while its own is valid.
"""

import dataclasses

import msgspec

from carobsail import keyvalue, storeera

# Start of the names of both keys, and of no others.
KEYS_PREFIX = "carobsail/order-"
ORDER_GIVER_KEY = "carobsail/order-giver"
ORDER_ERA_KEY = "carobsail/order-era"
# When the holder is lost, no engine gets an order for this time plus the
# handover delay. A renewal whose response is lost can be repeated twice within
# the lease.
LEASE_S = 3.0
RENEWAL_INTERVAL_S = 0.6
# Time for orders that are in flight when the holder stops.
EXPIRY_MARGIN_S = 0.4
# Added to the handover delay, for an order in flight from the last holder.
HANDOVER_MARGIN_S = 0.2


class Holder(msgspec.Struct, frozen=True):
    """Value of the key.

    Attributes:
      instance: Name of the instance.
      address: IP address of the instance.
      acting: Whether it has given orders or is about to give the first.
    """

    instance: str
    address: str
    acting: bool = False

    def same_machine(self, other: "Holder | None") -> bool:
        """Whether the other holder is the same machine."""
        return other is not None and (
            (self.instance, self.address) == (other.instance, other.address)
        )


def decode_holder(value: bytes | None) -> Holder | None:
    """Decodes the key's value; None if there is no holder."""
    if value is None:
        return None
    try:
        return msgspec.json.decode(value, type=Holder)
    except msgspec.DecodeError:
        return None


def encode_era(era: int) -> bytes:
    """Encodes the value of the key with the era of the last order."""
    return msgspec.json.encode(era)


def _decode_era(value: bytes | None) -> int:
    """Decodes that key's value; 0 if there is none that can be used."""
    if value is None:
        return 0
    try:
        return msgspec.json.decode(value, type=storeera.Era)
    except msgspec.DecodeError:
        return 0


@dataclasses.dataclass(slots=True)
class OrderLease:
    """The order lease as one instance knows it.

    Times are of the boot clock, which includes time for which the machine was
    suspended.

    Attributes:
      me: This instance as a holder.
      handover_delay_s: Required seconds between the orders of two instances.
      holder: Holder according to the last value of the key that was seen.
      key_revision: Revision of the key; 0 if it does not exist.
      order_era: Era of the store in which an order was given last, according to
        the key with it; 0 if it does not exist.
      order_era_revision: Revision of that key; 0 if it does not exist.
      lease_id: Identifier of this instance's lease; 0 if it has none.
      fence: Fencing number of this instance's orders; 0 if it does not hold the
        lease.
      acting: Whether the key says, or said before the store went back, that
        this instance has given orders or is about to.
      term: Number of times that this instance acquired the lease; it does not
        change when the lease is claimed again.
      valid_until: When this instance must stop giving orders.
      first_order_at: Earliest time of the first order.
    """

    me: Holder
    handover_delay_s: float
    holder: Holder | None = None
    key_revision: int = 0
    order_era: int = 0
    order_era_revision: int = 0
    lease_id: int = 0
    fence: int = 0
    acting: bool = False
    term: int = 0
    valid_until: float = float("-inf")
    first_order_at: float = float("inf")

    @property
    def era(self) -> int:
        """Era of the store in which this instance's lease was granted."""
        return storeera.era_of(self.fence)

    def observe(self, event: keyvalue.WatchEvent) -> bool:
        """Applies a change of one of the keys.

        Returns:
          Whether the holder changed.
        """
        if event.key == ORDER_ERA_KEY:
            if event.mod_revision >= self.order_era_revision:
                self.order_era = _decode_era(event.value)
                self.order_era_revision = (
                    0 if event.value is None else event.mod_revision
                )
            return False
        if (
            event.key != ORDER_GIVER_KEY
            # This instance has written the key since.
            or event.mod_revision < self.key_revision
        ):
            return False
        holder = decode_holder(event.value)
        before = self.holder
        self.holder = holder
        self.key_revision = 0 if event.value is None else event.mod_revision
        # In a later era the key may be of an earlier term; see `may_reclaim`.
        if self.fence and storeera.era_of(event.mod_revision) == self.era:
            if self.me.same_machine(holder):
                # The response to the write that marked it may be lost.
                self.acting |= holder is not None and holder.acting
            elif event.mod_revision > self.fence:
                # The key names another holder or was deleted: the lease ended.
                self.lose()
        if holder is None or before is None:
            return holder is not before
        return not holder.same_machine(before)

    def may_acquire(self) -> bool:
        """Whether this instance may try to acquire the lease."""
        free = self.holder is None or self.me.same_machine(self.holder)
        return not self.fence and free

    def knows_keys_of(self, era: int) -> bool:
        """Whether both keys were seen in this era of the store.

        A key that was written here and lost before the watch reported it is not
        reported as removed.
        """
        return (
            min(
                storeera.era_of(self.key_revision),
                storeera.era_of(self.order_era_revision),
            )
            >= era
        )

    def resumes(self, era: int) -> bool:
        """Whether only this instance can have given the last orders.

        An instance that had not given its first order yet, or does not know
        whether it had written the key, waits for the whole handover delay.

        Args:
          era: Present era of the store.
        """
        return (
            self.me.same_machine(self.holder)
            and self.holder is not None
            and self.holder.acting
            and self.order_era == era
        )

    def acquired(self, lease_id: int, revision: int, sent_at: float) -> None:
        """Records that this instance wrote the key as the holder.

        Args:
          lease_id: Identifier of the lease to which the key is bound.
          revision: Revision of the key.
          sent_at: When the call that created the lease was sent.
        """
        era = storeera.era_of(revision)
        resumes = self.resumes(era)
        wait_s = 0.0
        if not resumes:
            wait_s = self.handover_delay_s + HANDOVER_MARGIN_S
        if self.order_era != era:
            # A holder that the store has forgotten may give orders until its
            # lease expires.
            wait_s += LEASE_S
        self.term += 1
        self._hold(lease_id, revision, sent_at, acting=resumes)
        self.first_order_at = sent_at + wait_s

    def _hold(
        self, lease_id: int, revision: int, sent_at: float, acting: bool
    ) -> None:
        self.lease_id = lease_id
        self.fence = revision
        self.key_revision = revision
        self.acting = acting
        self.holder = msgspec.structs.replace(self.me, acting=acting)
        self.valid_until = sent_at + LEASE_S - EXPIRY_MARGIN_S

    def may_reclaim(self, era: int) -> bool:
        """Whether the lease may be claimed again in a later era of the store.

        The holder that an older copy names ended before this one began. Only if
        an order was given in the present era there is a later one. Others give
        their first order only when this instance's lease has expired, and not
        if it has changed one of the keys before.

        Args:
          era: Present era of the store.
        """
        return self.order_era != era or self.me.same_machine(self.holder)

    def reclaimed(
        self, lease_id: int, revision: int, sent_at: float, acting: bool
    ) -> None:
        """Records that the lease was claimed again in a later era.

        Args:
          lease_id: Identifier of the new lease.
          revision: Revision of the key.
          sent_at: When the call that created the lease was sent.
          acting: Whether the key was marked `acting`.
        """
        self._hold(lease_id, revision, sent_at, acting)
        if acting:
            self._record_order_era(revision)

    def _record_order_era(self, revision: int) -> None:
        """Records that the era of an order was written with this revision."""
        if self.order_era != storeera.era_of(revision):
            self.order_era = storeera.era_of(revision)
            self.order_era_revision = revision

    def must_mark_acting(self, now: float) -> bool:
        """Whether the key must be marked `acting` before the first order."""
        return (
            bool(self.fence)
            and self.first_order_at <= now < self.valid_until
            and not self.acting
        )

    def marked_acting(self, revision: int) -> None:
        """Records that the key was marked `acting`."""
        self.key_revision = revision
        self.acting = True
        self.holder = msgspec.structs.replace(self.me, acting=True)
        self._record_order_era(revision)

    def renewed(self, ttl_s: float, sent_at: float) -> None:
        """Records a renewal; a `ttl_s` of 0 means that the lease ended."""
        if ttl_s <= 0.0:
            self.lose()
        elif self.fence:
            # A renewal never shortens the time that an earlier one granted.
            self.valid_until = sent_at + ttl_s - EXPIRY_MARGIN_S

    def lose(self) -> None:
        """Records that this instance does not hold the lease any more."""
        self.fence = 0
        self.lease_id = 0
        self.acting = False
        self.valid_until = float("-inf")

    def may_send_orders(self, now: float) -> bool:
        """Whether an order may be given; checked again before each one."""
        return (
            bool(self.fence)
            and self.acting
            and self.first_order_at <= now < self.valid_until
        )
