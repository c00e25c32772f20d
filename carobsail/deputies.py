"""Tracks the deputies: instances that stand in for a relay that is not heard.

The relay is the coordinator, which sends the store's changes to all instances;
see `storemirror`. While the relay is not heard, the deputies of a data centre
read the store, and the other instances of the data centre read from a deputy. A
deputy that does not answer, or that has lost the store, is not asked again for
a while.
"""

import random

# Two, because the first deputy may fail together with the relay.
PER_DATA_CENTRE = 2
# Extra time that instances other than deputies wait for the relay, so that the
# deputies have an answer when they are asked, and not all ask at once.
MIN_EXTRA_WAIT_S = 0.1
MAX_EXTRA_WAIT_S = 0.3
RETRY_DELAY_S = 3.0


class Deputies:
    """The deputies as one instance knows them.

    Attributes:
      addresses: `host:port` of the deputies, without this instance.
      store_first: Whether this instance asks the store before the deputies.
        True on a deputy, on the relay, and on an instance that knows no
        deputies yet.
      extra_wait_s: Seconds that this instance waits for the relay beyond the
        usual time.
    """

    __slots__ = (
        "_avoided_until",
        "_rng",
        "addresses",
        "store_first",
        "extra_wait_s",
    )

    def __init__(self, rng: random.Random) -> None:
        """Creates the state of an instance that knows no deputies yet.

        Args:
          rng: Source of the jitter.
        """
        self.addresses: tuple[str, ...] = ()
        self.store_first = True
        self.extra_wait_s = 0.0
        self._avoided_until: dict[str, float] = {}
        self._rng = rng

    def update(self, addresses: list[str], store_first: bool) -> None:
        """Replaces the list of deputies; see the attributes."""
        self.store_first = store_first
        if store_first:
            self.extra_wait_s = 0.0
        else:
            self.extra_wait_s = self._rng.uniform(
                MIN_EXTRA_WAIT_S, MAX_EXTRA_WAIT_S
            )
        if tuple(addresses) != self.addresses:
            self.addresses = tuple(addresses)
            self._avoided_until.clear()

    def mark_failed(self, address: str, now: float) -> None:
        """Records that a deputy did not answer or has lost the store."""
        self._avoided_until[address] = now + RETRY_DELAY_S

    def can_ask(self, address: str, now: float) -> bool:
        """Whether a deputy may be asked now."""
        return self._avoided_until.get(address, 0.0) <= now
