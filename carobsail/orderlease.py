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
"""

import dataclasses

import msgspec

from carobsail import keyvalue

ORDER_GIVER_KEY = "carobsail/order-giver"
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
      lease_id: Identifier of this instance's lease; 0 if it has none.
      fence: Fencing number of this instance's orders; 0 if it does not hold the
        lease.
      valid_until: When this instance must stop giving orders.
      first_order_at: Earliest time of the first order.
    """

    me: Holder
    handover_delay_s: float
    holder: Holder | None = None
    key_revision: int = 0
    lease_id: int = 0
    fence: int = 0
    valid_until: float = float("-inf")
    first_order_at: float = float("inf")

    def observe(self, event: keyvalue.WatchEvent) -> bool:
        """Applies a change of the key; returns whether the holder changed."""
        if event.key != ORDER_GIVER_KEY:
            return False
        holder = decode_holder(event.value)
        before = self.holder
        self.holder = holder
        self.key_revision = event.mod_revision if event.value else 0
        if event.mod_revision > self.fence and not self.me.same_machine(holder):
            # The key names another holder or was deleted: the lease ended.
            self.lose()
        if holder is None or before is None:
            return holder is not before
        return not holder.same_machine(before)

    def may_acquire(self) -> bool:
        """Whether this instance may try to acquire the lease."""
        free = self.holder is None or self.me.same_machine(self.holder)
        return not self.fence and free

    def acquired(self, lease_id: int, revision: int, sent_at: float) -> None:
        """Records that this instance wrote the key as the holder.

        Args:
          lease_id: Identifier of the lease to which the key is bound.
          revision: Revision of the key.
          sent_at: When the call that created the lease was sent.
        """
        # An instance that had not given its first order yet, or does not know
        # whether it had written the key, waits for the whole handover delay.
        already_acting = (
            self.me.same_machine(self.holder)
            and self.holder is not None
            and self.holder.acting
        )
        self.lease_id = lease_id
        self.fence = revision
        self.key_revision = revision
        self.holder = msgspec.structs.replace(self.me, acting=already_acting)
        self.valid_until = sent_at + LEASE_S - EXPIRY_MARGIN_S
        wait_s = (
            0.0 if already_acting else self.handover_delay_s + HANDOVER_MARGIN_S
        )
        self.first_order_at = sent_at + wait_s

    def must_mark_acting(self, now: float) -> bool:
        """Whether the key must be marked `acting` before the first order."""
        return (
            bool(self.fence)
            and self.first_order_at <= now < self.valid_until
            and not (self.holder is not None and self.holder.acting)
        )

    def marked_acting(self, revision: int) -> None:
        """Records that the key was marked `acting`."""
        self.key_revision = revision
        self.holder = msgspec.structs.replace(self.me, acting=True)

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
        self.valid_until = float("-inf")

    def may_send_orders(self, now: float) -> bool:
        """Whether an order may be given; checked again before each one."""
        return (
            bool(self.fence)
            and self.first_order_at <= now < self.valid_until
            and self.holder is not None
            and self.holder.acting
        )
