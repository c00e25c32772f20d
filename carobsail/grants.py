"""An entry instance's side of ownership: grants and their expiry."""

from carobsail import messages

# Heartbeats whose sending time a receiver remembers: 3 s of them and more.
REMEMBERED_BEATS = 32


class GrantHolder:
    """An entry instance's side of ownership.

    Attributes:
      epoch: Epoch of the last grant, the fencing number of orders.
      version: Its version within the epoch.
      owners: Owner instance of each target of the data centre.
      calls_per_s: Share of the key-value call budget.
    """

    __slots__ = (
        "_expires_at",
        "_orders_allowed",
        "_sent_at",
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
        self._sent_at: dict[int, float] = {}

    def heartbeat_sent(self, seq: int, now: float) -> None:
        """Records when a heartbeat was sent (loop seconds)."""
        self._sent_at[seq] = now
        while len(self._sent_at) > REMEMBERED_BEATS:
            del self._sent_at[next(iter(self._sent_at))]

    def receive(self, grant: messages.Grant | messages.Renewal) -> bool:
        """Takes over a grant or renewal.

        Returns:
          False when it is outdated, or answers no heartbeat sent here.
        """
        sent_at = self._sent_at.get(grant.sent_seq)
        held = (self.epoch, self.version)
        if sent_at is None or (grant.epoch, grant.version) < held:
            return False
        expires_at = sent_at + grant.expires_in_s
        if (grant.epoch, grant.version) == held:
            if expires_at < self._expires_at:
                return False  # Overtaken by a later renewal.
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

    def hand_back(self) -> messages.HandBack:
        """Ends the grant early; the caller sends the result to the leader."""
        self._expires_at = float("-inf")
        # A grant under way answers an earlier heartbeat and is ignored.
        self._sent_at.clear()
        return messages.HandBack(self.epoch)

    def valid(self, now: float) -> bool:
        """Tells whether the grant is valid at `now` (loop seconds)."""
        return now < self._expires_at

    def owns(self, target: str, now: float) -> bool:
        """Tells whether requests may be sent to the target now."""
        return self.valid(now) and target in self._targets

    def assigned(self, target: str) -> bool:
        """Tells whether the last grant, valid or not, contained the target.

        While no process can lead, requests (never orders) may still be sent
        to the targets of the last assignment.
        """
        return target in self._targets

    def may_order(self, now: float) -> bool:
        """Tells whether orders may be sent to owned targets now."""
        return self.valid(now) and self._orders_allowed
