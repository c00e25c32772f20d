"""Decides who gives orders to engines, by a leased key of the store.

At most one instance gives orders at a time, also when one was frozen, when
leases run out during an outage and when engines do not check fencing numbers:

- A holder's right ends `STOP_BEFORE_S` before its lease can have run out,
  counted on a clock that includes the time of a suspended machine, from before
  the renewal was sent. It is read again immediately before each order.
- A new holder waits for the time that must lie between the orders of two
  instances before its first order. An instance that finds its own key after a
  restart takes it over at once: a holder is a machine, not a process.
"""

import dataclasses

import msgspec

from carobsail import keyvalue

ORDER_GIVER_KEY = "carobsail/order-giver"
# After the loss of the holder no engine gets an order for this time and the
# turn; a renewal whose answer is lost can be repeated twice within it.
LEASE_S = 3.0
RENEWAL_S = 0.6
# An order may still be on its way when the right ends.
STOP_BEFORE_S = 0.4
# Added to the turn between two holders for an order on its way.
TURN_MARGIN_S = 0.2


class Holder(msgspec.Struct, frozen=True):
    """Value of the key.

    Attributes:
      instance: Name of the instance.
      address: IP address of the instance.
      acting: Whether it has given orders, or is just about to.
    """

    instance: str
    address: str
    acting: bool = False

    def same_machine(self, other: "Holder | None") -> bool:
        """Whether the other holder is the same machine."""
        return other is not None and (
            (self.instance, self.address) == (other.instance, other.address)
        )


def read_holder(value: bytes | None) -> Holder | None:
    """Decodes the key's value; None if there is no holder."""
    if value is None:
        return None
    try:
        return msgspec.json.decode(value, type=Holder)
    except msgspec.DecodeError:
        return None


@dataclasses.dataclass(slots=True)
class OrderLease:
    """What one instance knows of the lease; times are of the boot clock.

    Attributes:
      me: This instance as a holder.
      turn_s: Seconds between the orders of two instances.
      holder: Holder by the newest key seen.
      key_revision: Revision of that key; 0 if there is none.
      lease: Lease of this instance, 0 if none.
      fence: Fencing number of this instance's orders; 0 if it may give none.
      valid_until: When the right ends.
      first_order_at: When the first order may be given.
    """

    me: Holder
    turn_s: float
    holder: Holder | None = None
    key_revision: int = 0
    lease: int = 0
    fence: int = 0
    valid_until: float = float("-inf")
    first_order_at: float = float("inf")

    def observe(self, event: keyvalue.WatchEvent) -> bool:
        """Takes over a change of the key; tells whether the holder changed."""
        if event.key != ORDER_GIVER_KEY:
            return False
        holder = read_holder(event.value)
        before = self.holder
        self.holder = holder
        self.key_revision = event.mod_revision if event.value else 0
        if event.mod_revision > self.fence and not self.me.same_machine(holder):
            # The key is another's, or gone: the lease ended.
            self.lose()
        if holder is None or before is None:
            return holder is not before
        return not holder.same_machine(before)

    def may_take(self) -> bool:
        """Whether this instance may try to take the key."""
        free = self.holder is None or self.me.same_machine(self.holder)
        return not self.fence and free

    def taken(self, lease: int, revision: int, sent_at: float) -> None:
        """Records that this instance took the key.

        Args:
          lease: The lease to which the key is bound.
          revision: Revision of the key.
          sent_at: When the call that created the lease was sent.
        """
        # A machine that was waiting for its first order, or does not know
        # whether it had taken the key, waits for the whole turn.
        again = (
            self.me.same_machine(self.holder)
            and self.holder is not None
            and self.holder.acting
        )
        self.lease = lease
        self.fence = revision
        self.key_revision = revision
        self.holder = msgspec.structs.replace(self.me, acting=again)
        self.valid_until = sent_at + LEASE_S - STOP_BEFORE_S
        wait_s = 0.0 if again else self.turn_s + TURN_MARGIN_S
        self.first_order_at = sent_at + wait_s

    def must_announce(self, now: float) -> bool:
        """Whether the key must say that orders follow."""
        return (
            bool(self.fence)
            and self.first_order_at <= now < self.valid_until
            and not (self.holder is not None and self.holder.acting)
        )

    def announced(self, revision: int) -> None:
        """Records that the key says that orders follow."""
        self.key_revision = revision
        self.holder = msgspec.structs.replace(self.me, acting=True)

    def renewed(self, ttl_s: float, sent_at: float) -> None:
        """Records a renewal; a lease that is gone ends the right."""
        if ttl_s <= 0.0:
            self.lose()
        elif self.fence:
            # A renewal never shortens the right that an earlier one gave.
            self.valid_until = sent_at + ttl_s - STOP_BEFORE_S

    def lose(self) -> None:
        """Ends the right at once."""
        self.fence = 0
        self.lease = 0
        self.valid_until = float("-inf")

    def may_order(self, now: float) -> bool:
        """Whether an order may be given; read again before each one."""
        return (
            bool(self.fence)
            and self.first_order_at <= now < self.valid_until
            and self.holder is not None
            and self.holder.acting
        )
