"""Orders to engines, and the tracked state of each engine.

Each order carries the number of orders that the engine must have accepted
before, as a precondition. An order whose response was lost may still be
executed seconds later, but it is rejected once a newer order has been accepted,
because the count has changed. So at most one of all orders sent with the same
count takes effect, and the state of the engine is known again after the next
report.
"""

import abc
import dataclasses
import enum
from collections.abc import Callable

from carobsail import errors

# Time after which an adapter is taken to be loaded once its order was accepted;
# the users' engine specifications give 6 to 29 ms.
ADAPTER_LOAD_S = 0.04
# Delay before an engine that did not answer an order or a request for its
# report is called again.
UNANSWERED_RETRY_S = 0.4
# Expected duration of an unload, or of a load whose duration is unknown; after
# it the engine's report is requested.
DEFAULT_ORDER_DURATION_S = 0.3


class Verb(enum.StrEnum):
    """The operation of an order."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """An order to an engine; `adapter` is empty for the model itself."""

    verb: Verb
    model: str
    adapter: str = ""


class Verdict(enum.StrEnum):
    """An engine's response to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    CONFLICT = "conflict"
    FENCED = "fenced"


@dataclasses.dataclass(slots=True, frozen=True)
class EngineReport:
    """An engine's report of its own state.

    Attributes:
      holdings: Loaded adapters by loaded model.
      busy: Whether the engine is loading or unloading a model.
      accepted_orders: Number of orders accepted since the engine's start.
      loading_adapters: Adapters that are being loaded, by model.
      in_memory: Models whose weights are cached in host memory.
      on_disk: Models whose weights are cached on disk.
      start_time_ms: Start time of the engine in Unix milliseconds; 0 if not
        reported.
    """

    holdings: dict[str, frozenset[str]]
    busy: bool
    accepted_orders: int
    loading_adapters: dict[str, frozenset[str]]
    in_memory: frozenset[str]
    on_disk: frozenset[str]
    start_time_ms: int


class EngineOrderClient(abc.ABC):
    """Sends orders and requests for reports to engines.

    Attributes:
      on_leaving: Called with the identity of an engine that states in a
        response that it is leaving.
    """

    def __init__(self) -> None:
        # Replaced by the code that keeps the list of targets.
        self.on_leaving: Callable[[str], None] = lambda _: None

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
        """Sends one order.

        A failure's outcome says whether the order may still take effect.
        """

    @abc.abstractmethod
    async def report(
        self, identity: str, address: str
    ) -> EngineReport | errors.Failure:
        """Requests an engine's report."""


@dataclasses.dataclass(slots=True)
class EngineRecord:
    """State of one engine as tracked by the coordinator.

    Attributes:
      identity: Identity of the engine.
      address: `host:port`.
      in_sync: Whether a report was applied in this term of the order lease and
        no order since then has an unknown outcome.
      accepted_orders: Number of orders that the engine has accepted.
      holdings: Usable adapters by loaded model.
      loading: Model being loaded, or empty.
      unloading: Model being unloaded, or empty.
      busy_until: When the model order in progress should be completed.
      loading_adapters: Adapters being loaded, with the time at which they are
        usable; 0 if only a report can show it.
      unloading_adapters: Adapters that are unloaded once the last request that
        uses them has ended; they occupy memory until then.
      last_used_at: When each adapter was last used or requested.
      in_memory: Models whose weights are cached in host memory.
      on_disk: Models whose weights are cached on disk.
      next_order_at: Earliest time of the next order.
      next_read_at: Earliest time of the next request for a report.
      pending: Planned model orders, in the order in which they are sent.
      call_in_flight: Whether a call to the engine is in flight.
      start_time_ms: Start time of the engine in Unix milliseconds; 0 while it
        is unknown.
    """

    identity: str
    address: str
    in_sync: bool = False
    accepted_orders: int = 0
    holdings: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    loading: str = ""
    unloading: str = ""
    busy_until: float = 0.0
    loading_adapters: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    unloading_adapters: set[tuple[str, str]] = dataclasses.field(
        default_factory=set
    )
    last_used_at: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    next_order_at: float = 0.0
    next_read_at: float = 0.0
    pending: list[Order] = dataclasses.field(default_factory=list)
    call_in_flight: bool = False
    start_time_ms: int = 0

    @property
    def busy(self) -> bool:
        """Whether a model order is in progress or planned."""
        return bool(self.loading or self.unloading or self.pending)

    @property
    def has_unconfirmed_adapters(self) -> bool:
        """Whether only a report can show when adapters load or unload."""
        return (
            bool(self.unloading_adapters)
            or 0.0 in self.loading_adapters.values()
        )

    def accepts_orders(self, now: float) -> bool:
        """Whether the engine may be sent an order now."""
        return (
            self.in_sync
            and not self.call_in_flight
            and not self.loading
            and not self.unloading
            and now >= self.next_order_at
        )

    def is_stale(self, report: EngineReport) -> bool:
        """Whether a report is older than the state known of this process."""
        same_start = (
            not self.start_time_ms or self.start_time_ms == report.start_time_ms
        )
        return (
            self.in_sync
            and same_start
            and report.accepted_orders < self.accepted_orders
        )

    def incoming_model(self) -> str:
        """Returns the model being loaded or planned to be, or empty."""
        planned = [o.model for o in self.pending if o.verb is Verb.LOAD]
        return self.loading or (planned[0] if planned else "")

    def apply_report(self, report: EngineReport) -> bool:
        """Applies a report and returns whether the usable models changed.

        A model order of an earlier lease holder may be in progress. The report
        does not name the model that it loads, so the engine is in sync only
        after that order has ended.
        """
        before = self.usable_models()
        if self.start_time_ms and report.start_time_ms != self.start_time_ms:
            # The engine restarted under the same identity and lost its models.
            self.loading = self.unloading = ""
            self.pending.clear()
            self.unloading_adapters.clear()
        self.start_time_ms = report.start_time_ms
        if report.accepted_orders != self.accepted_orders:
            # Another order was executed, such as a delayed one of an earlier
            # lease holder; the planned models may no longer fit.
            self.pending.clear()
        own_order_in_progress = bool(self.loading or self.unloading)
        self.in_sync = not report.busy or own_order_in_progress
        self.accepted_orders = report.accepted_orders
        self.holdings = {m: set(a) for m, a in report.holdings.items()}
        self.loading_adapters = {
            (model, adapter): 0.0
            for model, adapters in report.loading_adapters.items()
            for adapter in adapters
        }
        self.unloading_adapters = {
            (model, adapter)
            for model, adapter in self.unloading_adapters
            if adapter in self.holdings.get(model, ())
        }
        self.in_memory = report.in_memory
        self.on_disk = report.on_disk
        if not report.busy:
            self.loading = self.unloading = ""
        return self.usable_models() != before

    def order_accepted(
        self, order: Order, verdict: Verdict, now: float
    ) -> None:
        """Records an order that the engine accepted."""
        is_adapter_unload = bool(order.adapter) and order.verb is Verb.UNLOAD
        if verdict is Verdict.ACCEPTED or is_adapter_unload:
            # An adapter that no request uses is unloaded at once; the engine
            # then answers HOLDS_ALREADY but counts the order.
            self.accepted_orders += 1
        key = (order.model, order.adapter)
        if order.adapter:
            if order.verb is Verb.LOAD:
                self.loading_adapters[key] = now + ADAPTER_LOAD_S
                self.last_used_at[key] = now
            else:
                self.holdings.get(order.model, set()).discard(order.adapter)
                self.loading_adapters.pop(key, None)
                if verdict is Verdict.ACCEPTED:
                    # Requests still use it; it occupies memory until they end.
                    self.unloading_adapters.add(key)
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

    def complete_adapter_loads(self, now: float) -> bool:
        """Marks loaded adapters as usable; returns whether there were any."""
        ready = [
            k for k, at in self.loading_adapters.items() if 0.0 < at <= now
        ]
        for model, adapter in ready:
            del self.loading_adapters[model, adapter]
            self.holdings.setdefault(model, set()).add(adapter)
        return bool(ready)

    def occupying_adapters(self) -> set[tuple[str, str]]:
        """Returns the adapters that occupy an adapter slot of the engine."""
        held = {
            (m, a) for m, adapters in self.holdings.items() for a in adapters
        }
        return held | set(self.loading_adapters) | self.unloading_adapters

    def usable_models(self) -> dict[str, set[str]]:
        """Returns the models, with adapters, that requests may be sent for."""
        # An engine reports a model until the last request on it has ended.
        unloading_models = {
            o.model for o in self.pending if o.verb is Verb.UNLOAD
        }
        unloading_models.add(self.unloading)
        return {
            model: {
                a for a in adapters if (model, a) not in self.unloading_adapters
            }
            for model, adapters in self.holdings.items()
            if model not in unloading_models
        }


def plan_adapter_order(
    record: EngineRecord,
    model: str,
    adapter: str,
    max_adapters: int,
    now: float,
) -> Order | None:
    """Plans the next order for loading an adapter at an engine.

    Load pattern: more adapters are requested than the engines can hold; the
    least recently used one is unloaded.

    Returns:
      The unload of another adapter, the load, or None if no order is needed or
      possible now.
    """
    key = (model, adapter)
    occupied = record.occupying_adapters()
    if key in occupied:
        return None
    if (
        record.unloading_adapters
        and len(occupied - record.unloading_adapters) < max_adapters
    ):
        return None  # A pending unload frees a place when its requests end.
    if len(occupied) < max_adapters:
        return Order(Verb.LOAD, model, adapter)
    idle = sorted(
        (record.last_used_at.get(k, 0.0), k)
        for k in occupied
        if k not in record.loading_adapters
        and k not in record.unloading_adapters
    )
    if not idle or now - idle[0][0] < MIN_ADAPTER_IDLE_S:
        return None
    _, (old_model, old_adapter) = idle[0]
    return Order(Verb.UNLOAD, old_model, old_adapter)


# Minimum time since the last use before an adapter is unloaded, so that two
# alternating adapters do not evict each other before a request has used them.
MIN_ADAPTER_IDLE_S = 0.5
