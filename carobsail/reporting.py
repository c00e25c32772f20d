"""Periodic reports of an entry instance.

It reports the loads of its targets to its peers, and the progress of its
engines and the demand for models to the leader.
"""

import asyncio
from collections.abc import Callable

from carobsail import demand, dispatcher, messages, ownedtargets

REPORT_INTERVAL_S = 1.0
# Every this many reports, all loads are sent instead of only the changed ones,
# so that peers recover from a lost report.
FULL_LOADS_EVERY = 10


class Reporter:
    """Computes what changed since the last report.

    Attributes:
      model_demand: Demand for each model at this instance.
      account_demand: Demand of each client account at this instance.
    """

    __slots__ = (
        "_dispatcher",
        "_had_demand",
        "_loads",
        "_owned",
        "_progress",
        "_rounds",
        "account_demand",
        "model_demand",
    )

    def __init__(
        self,
        owned: ownedtargets.OwnedTargets,
        dispatcher_: dispatcher.Dispatcher,
        now: float,
    ) -> None:
        """Creates a reporter that has reported nothing."""
        self.model_demand = demand.DemandCounter(now)
        self.account_demand = demand.DemandCounter(now)
        self._owned = owned
        self._dispatcher = dispatcher_
        self._loads: dict[str, messages.TargetLoad] = {}
        self._progress: dict[str, messages.TargetProgress] = {}
        self._had_demand = False
        self._rounds = 0

    def full_loads(self) -> messages.Loads:
        """Returns the loads of all owned targets, to send on a new link."""
        loads = self._dispatcher.target_loads(self._owned.models_of)
        return messages.Loads(self._rounds, True, loads)

    def next_loads(self, accounts: dict[str, float]) -> messages.Loads | None:
        """Returns the loads to report now, or None.

        A busy target is reported even if its load has not changed, because
        receivers take the age of a report into account.

        Args:
          accounts: Requests per second of each client account at this
            instance.
        """
        self._rounds += 1
        loads = self._dispatcher.target_loads(self._owned.models_of)
        previous_loads, self._loads = self._loads, {x.target: x for x in loads}
        if self._rounds % FULL_LOADS_EVERY == 0:
            return messages.Loads(self._rounds, True, loads, accounts)
        changed, counts = [], []
        for load in loads:
            previous = previous_loads.get(load.target)
            if previous is None or not load.same_except_counts(previous):
                changed.append(load)
            elif load.in_flight or load != previous:
                counts.append(load.counts())
        if not changed and not counts and not accounts:
            return None
        return messages.Loads(self._rounds, False, changed, accounts, counts)

    def next_progress(self, epoch: int, now: float) -> messages.Progress | None:
        """Returns the progress to report now, or None."""
        rates = self.model_demand.take_rates(now)
        changed = []
        for target, engine in self._owned.engines.items():
            entry = engine.progress()
            if entry != self._progress.get(target):
                self._progress[target] = entry
                changed.append(entry)
        if not changed and not rates and not self._had_demand:
            return None
        self._had_demand = bool(rates)
        return messages.Progress(epoch, changed, rates)

    def reset_progress(self) -> None:
        """Reports all progress again, because the link to the leader is new."""
        self._progress.clear()


async def report(
    reporter: Reporter,
    send_loads: Callable[[messages.Loads], None],
    send_progress: Callable[[messages.Progress], None],
    epoch: Callable[[], int],
    share_accounts: Callable[[dict[str, float]], None],
) -> None:
    """Sends reports once a second until cancelled.

    Args:
      reporter: Computes what to report.
      send_loads: Sends loads to the other instances.
      send_progress: Sends progress to control processes.
      epoch: Returns the epoch of the grant.
      share_accounts: Receives the requests per second of each client account
        at this instance.
    """
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        now = loop.time()
        accounts = {
            name: rate
            for name, (rate, _) in reporter.account_demand.take_rates(
                now
            ).items()
        }
        share_accounts(accounts)
        loads = reporter.next_loads(accounts)
        if loads is not None:
            send_loads(loads)
        progress = reporter.next_progress(epoch(), now)
        if progress is not None:
            send_progress(progress)
