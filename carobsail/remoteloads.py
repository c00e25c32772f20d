"""Loads of targets that other instances caused, as the coordinator reports."""

from carobsail import summaries, targetregistry

# Load from an update is valid for this time at least, and for this number of
# intervals between updates with loads, as one datagram may be lost.
MIN_LOAD_VALID_S = 2.0
LOAD_VALID_INTERVALS = 2.2

_NO_LOAD = summaries.TargetUsage("", 0, 0, 0)


class RemoteLoads:
    """The loads of other instances, kept at the targets of a registry."""

    __slots__ = ("_own", "_received_at", "_registry", "_valid_s")

    def __init__(self, registry: targetregistry.TargetRegistry) -> None:
        """Creates a record without loads."""
        self._registry = registry
        self._own: dict[str, summaries.TargetUsage] = {}
        self._received_at: dict[str, float] = {}
        self._valid_s = MIN_LOAD_VALID_S

    def report_own(self) -> list[summaries.TargetUsage]:
        """Returns this instance's loads, which later updates contain."""
        loads = [t.own_load() for t in self._registry.all() if t.in_flight]
        self._own = {load.target: load for load in loads}
        return loads

    def apply(
        self,
        loads: list[summaries.TargetUsage],
        interval_s: float,
        now: float,
    ) -> None:
        """Applies loads over all instances, less this instance's own.

        Args:
          loads: Loads of some targets.
          interval_s: Seconds between two messages with loads.
          now: Time of the event loop's clock in seconds.
        """
        self._valid_s = max(MIN_LOAD_VALID_S, LOAD_VALID_INTERVALS * interval_s)
        for load in loads:
            target = self._registry.get(load.target)
            if target is None:
                continue
            own = self._own.get(load.target, _NO_LOAD)
            target.set_others_load(load.without(own))
            target.others_reported_at = self._received_at[load.target] = now

    def expire(self, now: float) -> None:
        """Removes the loads that were not reported again in time."""
        for name, at in list(self._received_at.items()):
            if now - at > self._valid_s:
                del self._received_at[name]
                target = self._registry.get(name)
                if target is not None:
                    target.set_others_load(_NO_LOAD)
