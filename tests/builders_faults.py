"""Builders of a fleet under random faults while the store changes."""

import asyncio
import collections
import dataclasses
import random

from builders_mirrors import (
    CONFIGURATION,
    Fleet,
    Instance,
    configuration,
)

# Times of one run in seconds.
WARM_UP_S = 5.0
FAULT_PHASE_S = 25.0
# All bounds have expired this long after the last change.
SETTLE_S = 8.0
FAULT_INTERVAL_S = 2.0
FAULT_DURATION_S = (0.3, 8.0)
CHANGE_INTERVAL_S = 1.0
# Targets that may leave in a run.
TARGETS = 60
CONFIGURATION_BYTES = (20_000, 130_000, 130_000, 410_000)
# Share of datagrams that are lost, and the range of the delay of the others.
LOSS_PROBABILITY = 0.01
DATAGRAM_DELAY_S = (0.0005, 0.003)


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A change of the store.

    Attributes:
      key: The key.
      value: Its value; None if it was removed.
      at: When it was acknowledged.
    """

    key: str
    value: bytes | None
    at: float

    def delay_s(self, instance: Instance) -> float:
        """Returns how long the instance took to know it, or a newer version.

        Revisions are not compared: a store that goes back gives them out again.
        """
        if self.is_known_at(instance, self.at):
            return 0.0
        arrivals = instance.arrivals.get(self.key, [])
        times = [at for v, at in arrivals if at > self.at and self._fits(v)]
        return min(times, default=float("inf")) - self.at

    def is_known_at(self, instance: Instance, at: float) -> bool:
        """Whether the instance knew it, or a newer version, at a time."""
        arrivals = instance.arrivals.get(self.key, [])
        newest = [v for v, arrived_at in arrivals if arrived_at <= at][-1:]
        return any(self._fits(v) for v in newest)

    def _fits(self, arrived: bytes | None) -> bool:
        if self.key != CONFIGURATION or arrived is None or self.value is None:
            return arrived == self.value
        return int(arrived[:8]) >= int(self.value[:8])


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A period in which an instance was cut off from the store or frozen.

    Attributes:
      instance: Name of the instance; empty for all, while the store is away.
      start: When it began.
      end: When it ended.
    """

    instance: str
    start: float
    end: float = float("inf")


class DisturbedFleet:
    """Instances that randomly lose the store, freeze and lose messages.

    The store serves all other instances and drops its history now and then.
    Meanwhile new versions of the configuration are written, and targets are
    marked as leaving or removed.

    Attributes:
      kinds: Kinds of faults.
    """

    kinds = ("one", "relay", "firsts", "many", "history")

    def __init__(
        self, seed: int, fleet: Fleet, recovery_s: float, bound_s: float
    ) -> None:
        """Creates a run.

        Args:
          seed: Seed of the random faults and changes.
          fleet: The instances.
          recovery_s: Seconds after a fault from which on the bound holds.
          bound_s: Seconds within which an instance must know a change.
        """
        self._rng = random.Random(seed)
        self._fleet = fleet
        self._recovery_s = recovery_s
        self._bound_s = bound_s
        self._disturbances: list[Disturbance] = []
        self._changes: list[Change] = []
        self._fault_tasks: set[asyncio.Task[None]] = set()
        self._cut_off_counts: collections.Counter[str] = collections.Counter()
        self._frozen_counts: collections.Counter[str] = collections.Counter()
        self._unused_targets = [f"servers/x{n}" for n in range(TARGETS)]

    async def run(self) -> list[str]:
        """Runs the schedule; returns which changes came too late, and where."""
        fleet = self._fleet
        await fleet.change(1, CONFIGURATION_BYTES[1])
        for key in self._unused_targets:
            await fleet.write(key, b"in_service")
        await fleet.start()
        await asyncio.sleep(WARM_UP_S)
        await self._play_faults()
        await fleet.stop()
        return [
            f"{change.key} of {change.at:.2f} s at {instance.name}: "
            f"{change.delay_s(instance):.2f} s"
            for change in self._changes
            for instance in fleet.instances
            if self._is_bound(instance, change)
            and change.delay_s(instance) > self._bound_s
        ]

    async def _play_faults(self) -> None:
        """Injects faults and makes changes, and waits until all bounds end."""
        fleet = self._fleet
        fleet.delivery.is_lost = lambda: self._rng.random() < LOSS_PROBABILITY
        fleet.delivery.delay_s = lambda: self._rng.uniform(*DATAGRAM_DELAY_S)
        tasks = [
            asyncio.create_task(self._disturb()),
            asyncio.create_task(self._write()),
        ]
        await asyncio.sleep(FAULT_PHASE_S)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(SETTLE_S)
        for fault in self._fault_tasks:
            fault.cancel()

    def _is_bound(self, instance: Instance, change: Change) -> bool:
        """Whether the instance was undisturbed, so that the bound applies."""
        return not any(
            disturbance.instance == instance.name
            and disturbance.start < change.at + self._bound_s
            and disturbance.end > change.at - self._recovery_s
            for disturbance in self._disturbances
        )

    async def _disturb(self) -> None:
        instances, rng = self._fleet.instances, self._rng
        while True:
            await asyncio.sleep(rng.expovariate(1.0 / FAULT_INTERVAL_S))
            kind = rng.choice(self.kinds)
            if kind == "history":
                await self._fleet.store.forget_history()
                continue
            if kind == "loss":
                self._fault_tasks.add(asyncio.create_task(self._lose()))
                continue
            affected = [rng.choice(instances)]
            if kind == "relay":
                affected = [self._fleet.relay]
            elif kind == "firsts":
                # The relay is near-1, so near-2 is the first deputy there.
                affected = [i for i in instances if i.name.endswith("-1")]
                affected.append(instances[1])
            elif kind == "many":
                affected = [i for i in instances if rng.random() < 0.35]
            frozen = kind != "relay" and rng.random() < 0.5
            duration_s = rng.uniform(*FAULT_DURATION_S)
            fault = asyncio.create_task(
                self._inject(affected, frozen, duration_s)
            )
            self._fault_tasks.add(fault)

    async def _inject(
        self, instances: list[Instance], frozen: bool, duration_s: float
    ) -> None:
        """Cuts instances off from the store for a time.

        Frozen instances do not answer other instances either.
        """
        now = asyncio.get_running_loop().time()
        disturbances = [Disturbance(i.name, now) for i in instances]
        self._disturbances += disturbances
        self._count_faults(instances, frozen, 1)
        await asyncio.sleep(duration_s)
        self._count_faults(instances, frozen, -1)
        for disturbance in disturbances:
            disturbance.end = now + duration_s

    def _count_faults(
        self, instances: list[Instance], frozen: bool, by: int
    ) -> None:
        for instance in instances:
            self._cut_off_counts[instance.name] += by
            self._frozen_counts[instance.name] += by * frozen
            instance.cut_off = self._cut_off_counts[instance.name] > 0
            instance.frozen = self._frozen_counts[instance.name] > 0

    async def _write(self) -> None:
        rng, version = self._rng, 1
        while True:
            await asyncio.sleep(rng.expovariate(1.0 / CHANGE_INTERVAL_S))
            kind = rng.choice(("version", "leaving", "gone"))
            key = (
                CONFIGURATION
                if kind == "version"
                else self._unused_targets.pop()
            )
            value: bytes | None = b"draining"
            if kind == "version":
                version += 1
                value = configuration(version, rng.choice(CONFIGURATION_BYTES))
            elif kind == "gone":
                value = None
            await self._change(key, value)

    async def _change(self, key: str, value: bytes | None) -> None:
        await self._fleet.write(key, value)
        now = asyncio.get_running_loop().time()
        self._changes.append(Change(key, value, now))

    async def _lose(self) -> None:
        """Lets the store come back from an older copy, in subclasses."""
