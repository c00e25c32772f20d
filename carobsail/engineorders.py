"""Orders to engines, and what is known of each engine's holdings.

Each order names how many orders the engine must have accepted before. An
order whose answer was lost may be carried out seconds later; it has no effect
once a newer order was accepted, because the count has moved on. So of all
orders sent with the same count at most one takes effect, and the holdings are
known again when the engine has been read after that.
"""

import abc
import dataclasses
import enum

from carobsail import errors

# An adapter is usable this long after its order was accepted; the users'
# sheets give 6 to 29 ms.
ADAPTER_LOAD_S = 0.04
# An engine that did not answer an order or a question is asked again then.
UNCERTAIN_RETRY_S = 0.4
# An engine under a model order is read again this long after it should have
# ended.
OVERDUE_S = 0.3


class Verb(enum.StrEnum):
    """What an order does."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """One order; `adapter` is empty for the model itself."""

    verb: Verb
    model: str
    adapter: str = ""


class Verdict(enum.StrEnum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    CONFLICT = "conflict"
    FENCED = "fenced"


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """What an engine says of itself.

    Attributes:
      holdings: Adapters by model.
      busy: Whether a model order is under way.
      orders: Orders accepted since its start.
      coming: Adapters on their way, by model.
      in_memory: Models with a copy in host memory.
      on_disk: Models with a copy on disk.
      born: Unix milliseconds of its start; 0 if it did not say.
    """

    holdings: dict[str, frozenset[str]]
    busy: bool
    orders: int
    coming: dict[str, frozenset[str]]
    in_memory: frozenset[str]
    on_disk: frozenset[str]
    born: int


class OrderPort(abc.ABC):
    """Sends orders and questions to engines."""

    @abc.abstractmethod
    async def order(
        self,
        identity: str,
        address: str,
        order: Order,
        orders_before: int,
        holder: str,
        fence: int,
    ) -> Verdict | errors.Failure:
        """Sends one order; a failure's outcome says whether it may act."""

    @abc.abstractmethod
    async def report(
        self, identity: str, address: str
    ) -> EngineReport | errors.Failure:
        """Reads what an engine holds."""


@dataclasses.dataclass(slots=True)
class EngineLedger:
    """What the order giver knows of one engine.

    Attributes:
      identity: Identity of the engine.
      address: `host:port`.
      known: Whether holdings and count were read in this term and no order
        is in doubt.
      orders: Orders that the engine has accepted.
      holdings: Adapters by model, those that are usable.
      loading: Model being loaded, or empty.
      unloading: Model being unloaded, or empty.
      busy_until: When the model order should have ended.
      coming: Adapters on their way, with the time at which they are usable.
      leaving: Adapters that are unloaded once their last run has ended; until
        then they take a place.
      used_at: When each adapter was last used or asked for.
      in_memory: Models with a copy in host memory.
      on_disk: Models with a copy on disk.
      retry_at: When the engine may get the next order.
      read_at: When the engine may be read again.
      pending: Model orders that follow, in order.
      in_call: Whether a call to the engine is under way.
      born: Unix milliseconds of the engine's start; 0 while it is not known.
    """

    identity: str
    address: str
    known: bool = False
    orders: int = 0
    holdings: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    loading: str = ""
    unloading: str = ""
    busy_until: float = 0.0
    coming: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    leaving: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    used_at: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    retry_at: float = 0.0
    read_at: float = 0.0
    pending: list[Order] = dataclasses.field(default_factory=list)
    in_call: bool = False
    born: int = 0

    @property
    def busy(self) -> bool:
        """Whether a model order is under way or planned."""
        return bool(self.loading or self.unloading or self.pending)

    @property
    def unsettled(self) -> bool:
        """Whether adapters come or go at a time that only the engine knows."""
        return bool(self.leaving) or 0.0 in self.coming.values()

    def takes_orders(self, now: float) -> bool:
        """Whether an order for an adapter may be given now."""
        return (
            self.known
            and not self.in_call
            and not self.loading
            and not self.unloading
            and now >= self.retry_at
        )

    def outdated(self, report: EngineReport) -> bool:
        """Whether a report is older than what is known of this start."""
        same_start = not self.born or self.born == report.born
        return self.known and same_start and report.orders < self.orders

    def coming_model(self) -> str:
        """Returns the model that is loaded or planned and not yet usable."""
        planned = [o.model for o in self.pending if o.verb is Verb.LOAD]
        return self.loading or (planned[0] if planned else "")

    def read(self, report: EngineReport) -> bool:
        """Takes over a report; tells whether the holdings changed.

        A model order of an earlier holder may be under way; what it loads is
        not reported, so the engine is known only after that order has ended.
        """
        before = self.usable()
        if self.born and report.born != self.born:
            # The same identity started anew, and holds nothing of before.
            self.loading = self.unloading = ""
            self.pending.clear()
            self.leaving.clear()
        self.born = report.born
        if report.orders != self.orders:
            # Another order was carried out, such as a late one of an earlier
            # holder; what was planned may have no room any more.
            self.pending.clear()
        ours = bool(self.loading or self.unloading)
        self.known = not report.busy or ours
        self.orders = report.orders
        self.holdings = {m: set(a) for m, a in report.holdings.items()}
        self.coming = {
            (model, adapter): 0.0
            for model, adapters in report.coming.items()
            for adapter in adapters
        }
        self.leaving = {
            (model, adapter)
            for model, adapter in self.leaving
            if adapter in self.holdings.get(model, ())
        }
        self.in_memory = report.in_memory
        self.on_disk = report.on_disk
        if not report.busy:
            self.loading = self.unloading = ""
        return self.usable() != before

    def accepted(self, order: Order, verdict: Verdict, now: float) -> None:
        """Records an order that the engine accepted."""
        at_once = bool(order.adapter) and order.verb is Verb.UNLOAD
        if verdict is Verdict.ACCEPTED or at_once:
            # An adapter that nobody uses is gone with the answer, which then
            # says that the order holds already; it counts all the same.
            self.orders += 1
        key = (order.model, order.adapter)
        if order.adapter:
            if order.verb is Verb.LOAD:
                self.coming[key] = now + ADAPTER_LOAD_S
                self.used_at[key] = now
            else:
                self.holdings.get(order.model, set()).discard(order.adapter)
                self.coming.pop(key, None)
                if verdict is Verdict.ACCEPTED:
                    # Runs still use it, and it takes its place until they end.
                    self.leaving.add(key)
        elif verdict is Verdict.HOLDS_ALREADY:
            if order.verb is Verb.LOAD:
                self.holdings.setdefault(order.model, set())
            else:
                self.holdings.pop(order.model, None)
        elif order.verb is Verb.LOAD:
            self.loading = order.model
        else:
            self.unloading = order.model
            self.holdings.pop(order.model, None)

    def settle(self, now: float) -> bool:
        """Moves adapters that have arrived; tells whether any did."""
        ready = [k for k, at in self.coming.items() if 0.0 < at <= now]
        for model, adapter in ready:
            del self.coming[model, adapter]
            self.holdings.setdefault(model, set()).add(adapter)
        return bool(ready)

    def adapters(self) -> set[tuple[str, str]]:
        """Returns the adapters that take a place."""
        held = {
            (m, a) for m, adapters in self.holdings.items() for a in adapters
        }
        return held | set(self.coming) | self.leaving

    def usable(self) -> dict[str, set[str]]:
        """Returns what requests may be sent for."""
        # An engine lists a model until the last run on it has ended.
        leaving = {o.model for o in self.pending if o.verb is Verb.UNLOAD}
        leaving.add(self.unloading)
        return {
            model: {a for a in adapters if (model, a) not in self.leaving}
            for model, adapters in self.holdings.items()
            if model not in leaving
        }


def plan_adapter(
    ledger: EngineLedger, model: str, adapter: str, places: int, now: float
) -> Order | None:
    """Plans the next order that brings an adapter to an engine.

    Load pattern: more adapters are asked for than the engines have places;
    the one that was not used for longest makes room.

    Returns:
      An unload that makes room, the load, or None if nothing is to be done.
    """
    key = (model, adapter)
    taken = ledger.adapters()
    if key in taken:
        return None
    if ledger.leaving and len(taken - ledger.leaving) < places:
        return None  # Room comes when the last run of an adapter has ended.
    if len(taken) < places:
        return Order(Verb.LOAD, model, adapter)
    idle = sorted(
        (ledger.used_at.get(k, 0.0), k)
        for k in taken
        if k not in ledger.coming and k not in ledger.leaving
    )
    if not idle or now - idle[0][0] < MIN_STAY_S:
        return None
    _, (old_model, old_adapter) = idle[0]
    return Order(Verb.UNLOAD, old_model, old_adapter)


# An adapter stays this long after its last use, so that two that alternate do
# not push each other out before a request has used them.
MIN_STAY_S = 0.5
