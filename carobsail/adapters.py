"""Adapter pool of one engine: an LRU cache with pinned entries.

Resident adapters, loads in flight and adapters with an order that was not
answered all count towards the pool's fixed memory, which they never exceed
(requirement R1). The pool does no I/O: `orders` returns the orders to send to
the engine.
"""

import collections
import dataclasses
import enum

from carobsail import engines, errors, inventory, ledger


class State(enum.StrEnum):
    """State of an adapter in the pool.

    LATE means that an order failed or was not answered and may still be
    carried out.
    """

    LOADING = "loading"
    RESIDENT = "resident"
    UNLOADING = "unloading"
    LATE = "late"


class LoadLimiter:
    """Limits the concurrent adapter loads of all pools of an owner."""

    __slots__ = ("_limit", "in_flight")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.in_flight = 0

    def set_limit(self, limit: int) -> None:
        """Changes the limit; loads in flight are not affected."""
        self._limit = limit

    def try_start(self) -> bool:
        """Counts a load and returns True if the limit allows it."""
        if self.in_flight >= self._limit:
            return False
        self.in_flight += 1
        return True

    def end(self) -> None:
        """Counts the end of a load."""
        self.in_flight -= 1


def adapter_load_limit(
    platform_inventory: inventory.Inventory, owned: int
) -> int:
    """Returns an owner's share of the weight store's limit on adapter loads.

    The share is in proportion to the number of engines, so owners need no
    communication to agree on it. The minimum is 1, although the shares may
    then exceed the limit: this only makes the store slower.

    Args:
      platform_inventory: The platform's inventory.
      owned: Number of engines that the owner owns.
    """
    total = sum(
        t.kind is inventory.Kind.ENGINE for t in platform_inventory.targets
    )
    limit = platform_inventory.weight_store.adapters_in_flight
    return max(1, limit * owned // max(1, total))


@dataclasses.dataclass(slots=True, frozen=True)
class AdapterOrder:
    """An order to the engine to load or, if `load` is False, to unload."""

    adapter: str
    load: bool


@dataclasses.dataclass(slots=True)
class _Adapter:
    """An adapter that holds or may hold memory.

    Attributes:
      mb: Its memory in MB.
      state: Its state.
      pins: Number of requests that use it.
      order_expires_at: Time after which the engine does not start the last
        order any more.
    """

    mb: int
    state: State
    pins: int = 0
    order_expires_at: float = float("-inf")


class AdapterPool:
    """Adapters of one engine.

    `acquire` is called for each request, which is sent once `is_ready`, and
    `release` when the request ends. Requests for an adapter that is being
    loaded wait for that load.
    """

    __slots__ = ("_adapters", "_loads", "_pool_mb", "_target", "_waiting")

    def __init__(self, target: inventory.Target, loads: LoadLimiter) -> None:
        self._target = target.name
        self._pool_mb = target.adapter_pool_mb
        self._loads = loads
        # Ordered by last use, the least recently used first.
        self._adapters: collections.OrderedDict[str, _Adapter] = (
            collections.OrderedDict()
        )
        # Adapters that wait for memory or to be loaded, with their MB and the
        # number of requests.
        self._waiting: dict[str, tuple[int, int]] = {}

    @property
    def held_mb(self) -> int:
        """Memory in MB that adapters hold or may hold."""
        return sum(a.mb for a in self._adapters.values())

    def is_ready(self, adapter: str) -> bool:
        """Tells whether requests for an adapter can be sent."""
        entry = self._adapters.get(adapter)
        return entry is not None and entry.state is State.RESIDENT

    def resident(self) -> list[str]:
        """Returns the adapters that can serve now, sorted."""
        return sorted(a for a in self._adapters if self.is_ready(a))

    def acquire(self, adapter: str, mb: int) -> None | errors.Failure:
        """Pins an adapter for a request, which may have to wait for its load.

        Args:
          adapter: Adapter name.
          mb: Its memory in MB.
        """
        if mb > self._pool_mb:
            return errors.Failure(
                errors.Reason.NO_MEMORY,
                errors.Step.LOAD_ADAPTER,
                self._target,
                detail=f"{adapter} needs {mb} of {self._pool_mb} MB",
            )
        entry = self._adapters.get(adapter)
        if entry is None or entry.state is State.UNLOADING:
            requests = self._waiting.get(adapter, (mb, 0))[1]
            self._waiting[adapter] = (mb, requests + 1)
            return None
        entry.pins += 1
        self._adapters.move_to_end(adapter)
        return None

    def release(self, adapter: str) -> None:
        """Removes the pin of one request."""
        if adapter in self._waiting:
            mb, requests = self._waiting[adapter]
            self._waiting[adapter] = (mb, requests - 1)
            if requests <= 1:
                del self._waiting[adapter]
        elif (entry := self._adapters.get(adapter)) and entry.pins:
            entry.pins -= 1

    def orders(self, now: float) -> list[AdapterOrder]:
        """Returns the orders to send now.

        `record_answer` has to be called for each of them, also if it fails.

        Args:
          now: Time of the event loop's clock in seconds.
        """
        result = []
        unloading_mb = sum(
            a.mb for a in self._adapters.values() if a.state is State.UNLOADING
        )
        for adapter, (mb, requests) in list(self._waiting.items()):
            if adapter in self._adapters:
                continue  # It is being unloaded; it is loaded afterwards.
            free_mb = self._pool_mb - self.held_mb
            if mb <= free_mb:
                if not self._loads.try_start():
                    break
                del self._waiting[adapter]
                self._adapters[adapter] = _Adapter(
                    mb,
                    State.LOADING,
                    requests,
                    now + ledger.MAX_ORDER_IN_FLIGHT_S,
                )
                result.append(AdapterOrder(adapter, load=True))
                continue
            missing_mb = mb - free_mb - unloading_mb
            evictions = self._choose_evictions(missing_mb)
            for evicted in evictions:
                entry = self._adapters[evicted]
                entry.state = State.UNLOADING
                entry.order_expires_at = now + ledger.MAX_ORDER_IN_FLIGHT_S
                result.append(AdapterOrder(evicted, load=False))
            # Adapters further back must not take the memory being freed.
            break
        return result

    def _choose_evictions(self, missing_mb: int) -> list[str]:
        evictions = []
        for adapter, entry in self._adapters.items():
            if missing_mb <= 0:
                break
            if entry.state is State.RESIDENT and not entry.pins:
                evictions.append(adapter)
                missing_mb -= entry.mb
        return evictions if missing_mb <= 0 else []

    def record_answer(
        self, order: AdapterOrder, failure: errors.Failure | None
    ) -> list[errors.Failure]:
        """Records the response to an order, or the failure to get one.

        A load that certainly has not run frees its memory. After any other
        failure the memory counts as used until a report settles the state.

        Returns:
          One failure for each request that was waiting for a failed load.
        """
        entry = self._adapters.get(order.adapter)
        if order.load:
            self._loads.end()
        if entry is None:
            return []
        if failure is None:
            if order.load:
                entry.state = State.RESIDENT
            else:
                del self._adapters[order.adapter]
            return []
        if not order.load:
            not_run = failure.outcome is errors.Outcome.NOT_RUN
            entry.state = State.RESIDENT if not_run else State.LATE
            return []
        failures, entry.pins = [failure] * entry.pins, 0
        if failure.outcome is errors.Outcome.NOT_RUN:
            del self._adapters[order.adapter]
        else:
            entry.state = State.LATE
        return failures

    def observe(self, report: engines.EngineReport, asked_at: float) -> None:
        """Settles the state of adapters by an engine report.

        Args:
          report: The engine's report.
          asked_at: Time at which the report was requested, in seconds of the
            event loop's clock.
        """
        made_at = asked_at - report.age_s
        for adapter, entry in list(self._adapters.items()):
            if entry.state in (State.LOADING, State.UNLOADING):
                continue
            if made_at < entry.order_expires_at:
                continue
            if adapter in report.adapters:
                entry.state = State.RESIDENT
            else:
                del self._adapters[adapter]
                if entry.pins:
                    self._waiting[adapter] = (entry.mb, entry.pins)

    def adopt(self, report: engines.EngineReport) -> None:
        """Fills the pool of a new owner with the adapters in a report."""
        for adapter, mb in sorted(report.adapters.items()):
            self._adapters[adapter] = _Adapter(mb, State.RESIDENT)
