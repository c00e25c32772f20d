"""Builders of a fleet whose store comes back from an older copy."""

import asyncio
import dataclasses
import random

from builders_faults import (
    TARGETS as RANDOM_TARGETS,
)
from builders_faults import (
    Change,
    Disturbance,
    DisturbedFleet,
)
from builders_mirrors import (
    CONFIGURATION,
    Fleet,
    Instance,
    configuration,
    describe,
)

from soak import backups, polling

# Bounds of the smallest deployments: `contactMs`, `configApplyMs`, `drainMs`.
CONTACT_S = 4.0
BOUND_S = 2.5
# Ranges of a random loss in seconds.
LOST_S = (2.0, 10.0)
AWAY_S = (0.3, 4.0)
# Longest time from the store's return until the operator writes its version
# again.
OPERATOR_AGAIN_S = 0.5
# Longest time from the store's return until targets write their entries again.
ENTRIES_AGAIN_S = 1.9
WARM_UP_S = 12.0
TARGETS = 12
CONFIGURATION_BYTES = 20_000


@dataclasses.dataclass(slots=True, frozen=True)
class Loss:
    """How the store goes away and comes back from an older copy.

    Attributes:
      lost_s: Seconds that are lost.
      away_s: Seconds for which the store is away.
      silent: Whether it answers nothing meanwhile, instead of 503.
      operator_after_s: Seconds from the return until the operator writes its
        version again.
    """

    lost_s: float
    away_s: float
    silent: bool = False
    operator_after_s: float = 0.0


class RestoredFleet:
    """Instances, and writers that write again what the store has lost.

    Attributes:
      fleet: The instances.
      changes: Acknowledged changes.
      disturbances: Times in which instances were disturbed.
      returned_at: When the store came back last.
    """

    def __init__(
        self,
        fleet: Fleet,
        rng: random.Random,
        contact_s: float = CONTACT_S,
        bound_s: float = BOUND_S,
    ) -> None:
        self._contact_s = contact_s
        self._bound_s = bound_s
        self.fleet = fleet
        self.changes: list[Change] = []
        self.disturbances: list[Disturbance] = []
        self.returned_at = float("-inf")
        self._rng = rng
        self._backups = backups.Backups(fleet.store)
        self._version = 0
        # What the writers have written last, by key.
        self._written: dict[str, bytes | None] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, targets: int = TARGETS) -> None:
        """Starts the instances; returns when the store may lose 10 s."""
        self.fleet.store.era = 1
        await self.write_version()
        for number in range(targets):
            await self.write(target(number), b"in_service")
        await self.fleet.start()
        self._start(self._backups.run())
        await asyncio.sleep(WARM_UP_S)

    def _start(self, background) -> None:
        self._tasks.append(asyncio.create_task(background))

    async def write_version(self) -> None:
        """Writes the next version of the configuration."""
        self._version += 1
        value = configuration(self._version, CONFIGURATION_BYTES)
        await self.write(CONFIGURATION, value)

    async def write(self, key: str, value: bytes | None) -> None:
        """Writes a value, or removes the key for None."""
        assert not self.fleet.store.down
        self._written[key] = value
        await self.fleet.write(key, value)
        self.changes.append(Change(key, value, now()))

    async def lose(self, loss: Loss) -> None:
        """Takes the store away and brings it back; what is lost is rewritten.

        Returns when the store is back.
        """
        disturbance = Disturbance("", now())
        self.disturbances.append(disturbance)
        await self._backups.lose(
            loss.lost_s, loss.away_s, loss.silent, leases_paused=True
        )
        self.returned_at = disturbance.end = now()
        listing = await self.fleet.store.data.range("")
        stored = {v.key: v.value for v in listing.values}
        for key, value in self._written.items():
            if stored.get(key) != value:
                delay_s = self._rng.uniform(0.0, ENTRIES_AGAIN_S)
                if key == CONFIGURATION:
                    delay_s = loss.operator_after_s
                self._start(self._write_again(key, value, delay_s))

    async def _write_again(
        self, key: str, value: bytes | None, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        # The store may be away again, or a newer value written.
        if not self.fleet.store.down and self._written[key] == value:
            await self.write(key, value)

    async def disturb(
        self, instance: Instance, frozen: bool, duration_s: float
    ) -> None:
        """Cuts an instance off from the store, or freezes it, for a time."""
        disturbance = Disturbance(instance.name, now())
        self.disturbances.append(disturbance)
        instance.cut_off, instance.frozen = True, frozen
        await asyncio.sleep(duration_s)
        instance.cut_off = instance.frozen = False
        disturbance.end = now()

    async def end(self) -> list[str]:
        """Ends the run; returns what instances knew too late or not at all."""
        self.fleet.renews_targets = False
        await asyncio.sleep(self._contact_s + self._bound_s)
        different = await self.fleet.different_copies()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.fleet.stop()
        return different + [
            f"{change.key} ({describe(change.value)}) of "
            f"{change.at - self.returned_at:.2f} s after the return at "
            f"{instance.name}: {change.delay_s(instance):.2f} s"
            for change in self.changes
            for instance in self.fleet.instances
            if not self._is_known_in_time(instance, change)
        ]

    def _is_known_in_time(self, instance: Instance, change: Change) -> bool:
        """Whether the instance knew the change as soon as it was to.

        That is within the bound, but while it is disturbed, and shortly after,
        it need not know anything new.
        """
        due_at = change.at + self._bound_s
        for disturbance in sorted(self.disturbances, key=lambda d: d.start):
            applies = disturbance.instance in ("", instance.name)
            if applies and disturbance.start < due_at:
                due_at = max(due_at, disturbance.end + self._contact_s)
        later = self.changes[self.changes.index(change) + 1 :]
        replaced = any(
            c.key == change.key and c.value != change.value and c.at <= due_at
            for c in later
        )
        return replaced or change.is_known_at(instance, due_at)


class LosingFleet(DisturbedFleet):
    """Instances that are disturbed while the store goes back now and then."""

    kinds = (*DisturbedFleet.kinds, "loss")

    def __init__(
        self, seed: int, fleet: Fleet, recovery_s: float, bound_s: float
    ) -> None:
        """See base class."""
        super().__init__(seed, fleet, recovery_s, bound_s)
        self._restored = RestoredFleet(fleet, self._rng, recovery_s, bound_s)
        self._disturbances = self._restored.disturbances

    async def run(self) -> list[str]:
        """See base class; copies must equal the store's data at the end."""
        await self._restored.start(RANDOM_TARGETS)
        await self._play_faults()
        return await self._restored.end()

    async def _change(self, key: str, value: bytes | None) -> None:
        store = self._fleet.store
        await polling.until(lambda: not store.down)
        await self._restored.write(key, value)

    async def _lose(self) -> None:
        rng = self._rng
        loss = Loss(
            rng.uniform(*LOST_S),
            rng.uniform(*AWAY_S),
            rng.random() < 0.5,
            rng.uniform(0.0, OPERATOR_AGAIN_S),
        )
        if not self._fleet.store.down:
            await self._restored.lose(loss)


def target(number: int) -> str:
    """Returns the key of a target's entry."""
    return f"servers/x{number}"


def now() -> float:
    """Returns the time of the event loop's clock."""
    return asyncio.get_running_loop().time()
