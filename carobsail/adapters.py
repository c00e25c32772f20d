"""Adapter pool of one engine: least recently used, with pins.

The pool counts resident adapters, loads under way and adapters whose order
was not answered; their sum never exceeds the pool's fixed memory (R1). It
only decides: `orders` returns what to send to the engine.
"""

import collections
import dataclasses
import enum

from carobsail import engines, errors, inventory, ledger


class State(enum.StrEnum):
    """State of an adapter in the pool."""

    LOADING = "loading"
    RESIDENT = "resident"
    UNLOADING = "unloading"
    LATE = "late"


class LoadsInFlight:
    """Bound on the adapter loads under way, shared by an owner's pools."""

    __slots__ = ("_limit", "in_flight")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.in_flight = 0

    def set_limit(self, limit: int) -> None:
        """Changes the bound; loads under way are not affected."""
        self._limit = limit

    def try_start(self) -> bool:
        """Counts a load if the bound allows it."""
        if self.in_flight >= self._limit:
            return False
        self.in_flight += 1
        return True

    def end(self) -> None:
        """Counts the end of a load."""
        self.in_flight -= 1


def share_of_limit(listed: inventory.Inventory, owned: int) -> int:
    """Returns an owner's share of the store's bound on adapter loads.

    The share follows the number of engines, so no call is needed to agree on
    it. The least share is 1: above the bound the store only slows down.

    Args:
      listed: The platform's inventory.
      owned: Number of engines that the owner owns.
    """
    total = sum(t.kind is inventory.Kind.ENGINE for t in listed.targets)
    limit = listed.weight_store.adapters_in_flight
    return max(1, limit * owned // max(1, total))


@dataclasses.dataclass(slots=True, frozen=True)
class AdapterOrder:
    """An order for the engine; `load` is False for an unload."""

    adapter: str
    load: bool


@dataclasses.dataclass(slots=True)
class _Adapter:
    mb: int
    state: State
    pins: int = 0
    settles_at: float = float("-inf")


class AdapterPool:
    """Adapters of one engine.

    A request calls `acquire` and is sent once `is_ready`; it calls `release`
    when it ends. Requests for an adapter that is being loaded join its load.
    """

    __slots__ = ("_adapters", "_loads", "_pool_mb", "_target", "_waiting")

    def __init__(self, target: inventory.Target, loads: LoadsInFlight) -> None:
        self._target = target.name
        self._pool_mb = target.adapter_pool_mb
        self._loads = loads
        # Ordered by last use, the least recent first.
        self._adapters: collections.OrderedDict[str, _Adapter] = (
            collections.OrderedDict()
        )
        # Adapters that wait for memory or for a load, with MB and requests.
        self._waiting: dict[str, tuple[int, int]] = {}

    @property
    def held_mb(self) -> int:
        """Memory in MB that adapters hold or may hold."""
        return sum(a.mb for a in self._adapters.values())

    def is_ready(self, adapter: str) -> bool:
        """Tells whether requests of an adapter can be sent."""
        found = self._adapters.get(adapter)
        return found is not None and found.state is State.RESIDENT

    def resident(self) -> list[str]:
        """Returns the adapters that can serve now, sorted."""
        return sorted(a for a in self._adapters if self.is_ready(a))

    def acquire(self, adapter: str, mb: int) -> None | errors.Failure:
        """Pins an adapter for one request, which may have to wait for it.

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
        found = self._adapters.get(adapter)
        if found is None or found.state is State.UNLOADING:
            requests = self._waiting.get(adapter, (mb, 0))[1]
            self._waiting[adapter] = (mb, requests + 1)
            return None
        found.pins += 1
        self._adapters.move_to_end(adapter)
        return None

    def release(self, adapter: str) -> None:
        """Ends the pin of one request."""
        if adapter in self._waiting:
            mb, requests = self._waiting[adapter]
            self._waiting[adapter] = (mb, requests - 1)
            if requests <= 1:
                del self._waiting[adapter]
        elif (found := self._adapters.get(adapter)) and found.pins:
            found.pins -= 1

    def orders(self, now: float) -> list[AdapterOrder]:
        """Returns the orders to send now; each must be answered or given up.

        Args:
          now: Seconds of the loop's clock.
        """
        result = []
        leaving_mb = sum(
            a.mb for a in self._adapters.values() if a.state is State.UNLOADING
        )
        for adapter, (mb, requests) in list(self._waiting.items()):
            if adapter in self._adapters:
                continue  # It is being unloaded; the load follows.
            free_mb = self._pool_mb - self.held_mb
            if mb <= free_mb:
                if not self._loads.try_start():
                    break
                del self._waiting[adapter]
                self._adapters[adapter] = _Adapter(
                    mb,
                    State.LOADING,
                    requests,
                    now + ledger.ORDER_IN_FLIGHT_S,
                )
                result.append(AdapterOrder(adapter, load=True))
                continue
            missing_mb = mb - free_mb - leaving_mb
            victims = self._victims(missing_mb)
            for victim in victims:
                found = self._adapters[victim]
                found.state = State.UNLOADING
                found.settles_at = now + ledger.ORDER_IN_FLIGHT_S
                result.append(AdapterOrder(victim, load=False))
            break  # Later requests must not take the memory being freed.
        return result

    def _victims(self, missing_mb: int) -> list[str]:
        victims = []
        for adapter, found in self._adapters.items():
            if missing_mb <= 0:
                break
            if found.state is State.RESIDENT and not found.pins:
                victims.append(adapter)
                missing_mb -= found.mb
        return victims if missing_mb <= 0 else []

    def answered(
        self, order: AdapterOrder, failure: errors.Failure | None
    ) -> list[errors.Failure]:
        """Takes the answer of an order, or the failure to get one.

        A load that certainly did not run frees its memory. A failed or
        unanswered order keeps it until a report.

        Returns:
          One failure per request that was waiting for a failed load.
        """
        found = self._adapters.get(order.adapter)
        if order.load:
            self._loads.end()
        if found is None:
            return []
        if failure is None:
            if order.load:
                found.state = State.RESIDENT
            else:
                del self._adapters[order.adapter]
            return []
        if not order.load:
            not_run = failure.outcome is errors.Outcome.NOT_RUN
            found.state = State.RESIDENT if not_run else State.LATE
            return []
        failures, found.pins = [failure] * found.pins, 0
        if failure.outcome is errors.Outcome.NOT_RUN:
            del self._adapters[order.adapter]
        else:
            found.state = State.LATE
        return failures

    def observe(self, report: engines.EngineReport, asked_at: float) -> None:
        """Settles unanswered orders by a report.

        Args:
          report: The engine's report.
          asked_at: Time at which the report was requested, in seconds.
        """
        made_at = asked_at - report.age_s
        for adapter, found in list(self._adapters.items()):
            if found.state in (State.LOADING, State.UNLOADING):
                continue
            if made_at < found.settles_at:
                continue
            if adapter in report.adapters:
                found.state = State.RESIDENT
            else:
                del self._adapters[adapter]
                if found.pins:
                    self._waiting[adapter] = (found.mb, found.pins)

    def adopt(self, report: engines.EngineReport) -> None:
        """Starts a new owner's pool from the adapters in a report."""
        for adapter, mb in sorted(report.adapters.items()):
            self._adapters[adapter] = _Adapter(mb, State.RESIDENT)
