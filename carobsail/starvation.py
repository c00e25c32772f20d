"""Tells for how long the callers of each model have been without an engine.

Load pattern: the engines cannot hold all requested models, and loading takes
longer than callers wait. If a model is valued by its present demand alone, the
models with the least demand lose against the others in every round, and their
callers are never served. The planner therefore values a model the more, the
longer its callers have been asking in vain; see
`modelvalue.ModelDemand.absence_loss`.
"""

import dataclasses
from collections.abc import Collection, Mapping

# A model without requests for this long has no callers left; its wait ends.
MAX_REQUEST_GAP_S = 15.0


@dataclasses.dataclass(slots=True)
class _Wait:
    """A wait of a model's callers.

    Attributes:
      since: When the first of them asked.
      length_s: Its length in seconds, once an engine holds the model.
      usable_since: When an engine first held the model after it; None while
        the wait goes on.
    """

    since: float
    length_s: float = 0.0
    usable_since: float | None = None


class UnservedModels:
    """Waits of the requested models that no engine holds, or held until now."""

    __slots__ = ("_turn_s", "_waits")

    def __init__(self, turn_s: float) -> None:
        """Creates it without any wait.

        Args:
          turn_s: Seconds after a load for which a wait still counts, less and
            less. Otherwise a model would be unloaded before its callers come
            again.
        """
        self._turn_s = turn_s
        self._waits: dict[tuple[str, str], _Wait] = {}

    def clear(self) -> None:
        """Forgets all waits."""
        self._waits.clear()

    def update(
        self,
        service: str,
        last_requested_at: Mapping[str, float],
        usable_models: Collection[str],
        now: float,
    ) -> None:
        """Starts and ends the waits of the models of a service.

        Args:
          service: The service.
          last_requested_at: When each model was last requested.
          usable_models: Models that requests can be sent for now.
          now: Time of the event loop's clock in seconds.
        """
        for model, requested_at in last_requested_at.items():
            key = (service, model)
            wait = self._waits.get(key)
            if model in usable_models:
                if wait is not None and wait.usable_since is None:
                    wait.usable_since = now
                    wait.length_s = now - wait.since
                elif wait is not None and self._left(wait, now) <= 0.0:
                    del self._waits[key]
            elif now - requested_at > MAX_REQUEST_GAP_S:
                self._waits.pop(key, None)
            elif wait is None:
                self._waits[key] = _Wait(requested_at)
            elif wait.usable_since is not None:
                # It lost its engine again: what is left of the wait goes on.
                left_s = self._left(wait, now)
                self._waits[key] = _Wait(min(requested_at, now - left_s))

    def _left(self, wait: _Wait, now: float) -> float:
        """Returns the seconds that still count of a wait that has ended."""
        assert wait.usable_since is not None
        share = 1.0 - (now - wait.usable_since) / self._turn_s
        return wait.length_s * max(0.0, share)

    def unserved_s(self, service: str, now: float) -> dict[str, float]:
        """Returns the seconds of each model's wait."""
        return {
            model: now - wait.since
            if wait.usable_since is None
            else self._left(wait, now)
            for (name, model), wait in self._waits.items()
            if name == service
        }
