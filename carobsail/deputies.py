"""Which instances follow the store for a data centre without the relay.

The deputies ask the store; all others ask one of them. A deputy that does not
answer, or has lost the store, is left alone for a while.
"""

import random

# Deputies of a data centre. Two, because the first may be lost with the relay.
COUNT = 2
# All others wait that much longer for the relay, so that the deputies are asked
# when they have an answer, and not by all at once.
MIN_PATIENCE_S = 0.1
MAX_PATIENCE_S = 0.3
RETRY_S = 3.0


class Deputies:
    """The deputies as one instance sees them.

    Attributes:
      addresses: `host:port` of the deputies without this instance.
      leads: Whether this instance asks the store before the deputies: a
        deputy, the relay, and an instance that knows no deputies yet.
      patience_s: Seconds that this instance waits longer for the relay.
    """

    __slots__ = ("_avoided_until", "_rng", "addresses", "leads", "patience_s")

    def __init__(self, rng: random.Random) -> None:
        """Creates an instance's view before it was told of any.

        Args:
          rng: Source of the jitter.
        """
        self.addresses: tuple[str, ...] = ()
        self.leads = True
        self.patience_s = 0.0
        self._avoided_until: dict[str, float] = {}
        self._rng = rng

    def change(self, addresses: list[str], leads: bool) -> None:
        """Takes over who the deputies are; see the attributes."""
        self.leads = leads
        if leads:
            self.patience_s = 0.0
        else:
            self.patience_s = self._rng.uniform(MIN_PATIENCE_S, MAX_PATIENCE_S)
        if tuple(addresses) != self.addresses:
            self.addresses = tuple(addresses)
            self._avoided_until.clear()

    def failed(self, address: str, now: float) -> None:
        """Notes that a deputy did not help."""
        self._avoided_until[address] = now + RETRY_S

    def askable(self, address: str, now: float) -> bool:
        """Whether a deputy may be asked again."""
        return self._avoided_until.get(address, 0.0) <= now
