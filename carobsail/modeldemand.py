"""Demand for models at one instance, reported to the coordinator.

It counts the requests for each model, those that wait for a model or adapter,
and those that are refused, whose callers may retry.
"""

import asyncio
import collections
import dataclasses
import logging
from collections.abc import Callable

from carobsail import calls, telemetry

# A refused caller retries within this time: a third of 5 s plus network delay.
CALLER_RETRY_WINDOW_S = 2.5
# A refused request counts as demand for its model for up to this long, since
# its caller may retry.
REFUSED_DEMAND_S = 4.0
# A model load that is overdue by more than this is no longer expected to end.
MODEL_LOAD_OVERDUE_S = 1.0

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class ArrivalCounter:
    """Counts requests for a model since the start, excluding retries.

    Load pattern: callers of a model with too few copies are refused and retry
    at any instance, so that the demand looks twice as high as it is: 28 copies
    were loaded where 12 were needed, on engines taken from other models.

    Attributes:
      count: Requests that count as demand.
      objective_s: Shortest objective of all requests, in seconds.
      expected_retries: For each refused caller, the time until which a retry is
        expected. It may arrive at another instance, but a caller that was
        refused elsewhere is equally likely to retry here.
    """

    count: int = 0
    objective_s: float = 3600.0
    expected_retries: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )

    def add(self, objective_s: float, now: float) -> bool:
        """Counts a request, unless the retry of a refused caller is expected.

        Returns:
          Whether it was counted.
        """
        self.objective_s = min(self.objective_s, objective_s)
        while self.expected_retries and self.expected_retries[0] <= now:
            self.expected_retries.popleft()
        if self.expected_retries:
            self.expected_retries.popleft()
            return False
        self.count += 1
        return True


class ModelDemand:
    """Demand for models and adapters at one instance.

    Attributes:
      counters: Requests by service and model since the start.
      waiting_counts: Number of requests that wait for a model or adapter, by
        service, model and adapter.
      ready_at: Time at which models that are being loaded will be usable, by
        service and model.
      on_waiting: Called with service, model and adapter when a request waits.
    """

    __slots__ = ("counters", "on_waiting", "ready_at", "waiting_counts")

    def __init__(self) -> None:
        self.counters: dict[tuple[str, str], ArrivalCounter] = {}
        self.waiting_counts: dict[tuple[str, str, str], int] = {}
        self.ready_at: dict[tuple[str, str], float] = {}
        # Replaced by the code that reports waiting requests to the coordinator.
        self.on_waiting: Callable[[str, str, str], None] = lambda *_: None

    def count(
        self, service: str, model: str, objective_s: float, now: float
    ) -> bool:
        """Counts a request for a model; see `ArrivalCounter.add`."""
        counter = self.counters.setdefault((service, model), ArrivalCounter())
        return counter.add(objective_s, now)

    def ready_in_s(self, service: str, model: str, now: float) -> float | None:
        """Returns the seconds until a model is loaded; None if unknown."""
        usable_at = self.ready_at.get((service, model))
        if usable_at is None or now - usable_at > MODEL_LOAD_OVERDUE_S:
            return None
        return max(0.0, usable_at - now)

    def record_refusal(self, call: calls.Call, now: float) -> None:
        """Records that a request is refused and its caller may retry."""
        left_s = max(0.0, call.caller_deadline_at - now)
        self.end_wait(call, min(left_s, REFUSED_DEMAND_S))
        key = (call.requirements.service, call.requirements.model)
        if call.counts_as_demand and key in self.counters:
            self.counters[key].expected_retries.append(
                now + CALLER_RETRY_WINDOW_S
            )

    def start_wait(self, call: calls.Call, reason: str, now: float) -> None:
        """Records that a request waits; `reason` is that of the `Wait`."""
        if reason not in ("model", "adapter"):
            return
        key = _waiting_key(call)
        if not call.waiting_for:
            self.waiting_counts[key] = self.waiting_counts.get(key, 0) + 1
            call.waiting_for = reason
            call.waiting_since = now
            telemetry.log(
                _log,
                "request_waits",
                request=call.metadata.request_id,
                reason=reason,
                model=call.requirements.model,
                adapter=call.requirements.adapter,
                left_s=call.requirements.due_at - now,
            )
        self.on_waiting(*key)

    def end_wait(self, call: calls.Call, linger_s: float = 0.0) -> None:
        """Ends the wait of a request for a model or adapter.

        Load pattern: callers of a model that no engine holds are refused after
        0.5 s and retry within their 5 s. If nobody counted as waiting in the
        meantime, the model would never be loaded.

        Args:
          call: The request.
          linger_s: Seconds for which it still counts as waiting.
        """
        if not call.waiting_for:
            return
        call.waiting_for = ""
        key = _waiting_key(call)
        if linger_s > 0.0:
            loop = asyncio.get_running_loop()
            loop.call_later(linger_s, self._remove_waiting, key)
        else:
            self._remove_waiting(key)

    def _remove_waiting(self, key: tuple[str, str, str]) -> None:
        self.waiting_counts[key] -= 1
        if not self.waiting_counts[key]:
            del self.waiting_counts[key]


def _waiting_key(call: calls.Call) -> tuple[str, str, str]:
    requirements = call.requirements
    return (requirements.service, requirements.model, requirements.adapter)
