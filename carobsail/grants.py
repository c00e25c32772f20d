"""The grant that an entry instance has received, and its expiry.

A grant is a short lease on the targets that the instance owns. Under it, the
instance may send orders: commands to load or unload a model.
"""

from carobsail import messages

# Number of own heartbeats whose sending times are remembered. They cover more
# than the 3 s for which a grant is valid.
REMEMBERED_HEARTBEATS = 32


class GrantHolder:
    """The grant of an entry instance.

    Attributes:
      epoch: Epoch of the last grant; the fencing token of orders.
      version: Version of the last grant within the epoch.
      owners: Owner instance of each target of the data centre.
      calls_per_s: This instance's share of the key-value call budget.
    """

    __slots__ = (
        "_expires_at",
        "_heartbeat_sent_at",
        "_orders_allowed",
        "_targets",
        "calls_per_s",
        "epoch",
        "owners",
        "version",
    )

    def __init__(self) -> None:
        self.epoch = 0
        self.version = 0
        self.owners: dict[str, str] = {}
        self.calls_per_s = 0.0
        self._targets: frozenset[str] = frozenset()
        self._expires_at = float("-inf")
        self._orders_allowed = False
        self._heartbeat_sent_at: dict[int, float] = {}

    def record_heartbeat_sent(self, seq: int, now: float) -> None:
        """Records when a heartbeat was sent (loop seconds)."""
        self._heartbeat_sent_at[seq] = now
        while len(self._heartbeat_sent_at) > REMEMBERED_HEARTBEATS:
            del self._heartbeat_sent_at[next(iter(self._heartbeat_sent_at))]

    def receive(self, grant: messages.Grant | messages.Renewal) -> bool:
        """Applies a grant or renewal.

        Returns:
          False when it is ignored: it is outdated, renews another grant or
          does not respond to a remembered heartbeat of this instance.
        """
        sent_at = self._heartbeat_sent_at.get(grant.sent_seq)
        held = (self.epoch, self.version)
        if sent_at is None or (grant.epoch, grant.version) < held:
            return False
        expires_at = sent_at + grant.expires_in_s
        if (grant.epoch, grant.version) == held:
            if expires_at < self._expires_at:
                return False  # A later renewal has arrived already.
        elif isinstance(grant, messages.Renewal):
            return False
        if isinstance(grant, messages.Grant):
            self.epoch = grant.epoch
            self.version = grant.version
            self.owners = dict(grant.owners)
            self._targets = frozenset(grant.targets)
        self._expires_at = expires_at
        self._orders_allowed = grant.orders_allowed
        self.calls_per_s = grant.calls_per_s
        return True

    def give_up(self) -> messages.HandBack:
        """Gives up the grant; the caller sends the result to the leader."""
        self._expires_at = float("-inf")
        # A grant in flight responds to an earlier heartbeat, so it is ignored.
        self._heartbeat_sent_at.clear()
        return messages.HandBack(self.epoch)

    def valid(self, now: float) -> bool:
        """Tells whether the grant is valid at `now` (loop seconds)."""
        return now < self._expires_at

    def owns(self, target: str, now: float) -> bool:
        """Tells whether the grant is valid and contains the target."""
        return self.valid(now) and target in self._targets

    def contains_target(self, target: str) -> bool:
        """Tells whether the last grant contained the target, even if expired.

        While no process can lead, requests, but not orders, may still be sent
        to the targets of the last grant.
        """
        return target in self._targets

    def may_send_orders(self, now: float) -> bool:
        """Tells whether orders may be sent to owned targets at `now`."""
        return self.valid(now) and self._orders_allowed
