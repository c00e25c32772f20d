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
CALM_S = 5.0
FAULTS_S = 25.0
# Bounds end within this time after the last change.
REST_S = 8.0
FAULT_GAP_S = 2.0
FAULT_S = (0.3, 8.0)
CHANGE_GAP_S = 1.0
TARGETS = 60
SIZES = (20_000, 130_000, 130_000, 410_000)
# Datagrams that are lost, and the time that the others take.
LOST_SHARE = 0.01
DATAGRAM_S = (0.0005, 0.003)


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A change of the store.

    Attributes:
      key: The key.
      revision: Its revision.
      at: When it was acknowledged.
    """

    key: str
    revision: int
    at: float


@dataclasses.dataclass(slots=True)
class Span:
    """A time in which an instance was cut off or answered nobody."""

    instance: str
    start: float
    end: float = float("inf")


class DisturbedFleet:
    """Instances that are cut off, freeze and lose messages by chance.

    The store serves all others, forgets its history now and then, and takes
    versions, reports of targets that leave and removals of targets.
    """

    def __init__(
        self, seed: int, fleet: Fleet, contact_s: float, bound_s: float
    ) -> None:
        """Creates a run.

        Args:
          seed: Decides what happens.
          fleet: The instances.
          contact_s: Time without trouble after which the bound holds.
          bound_s: Time in which an instance must know a change.
        """
        self._rng = random.Random(seed)
        self._fleet = fleet
        self._contact_s = contact_s
        self._bound_s = bound_s
        self._spans: list[Span] = []
        self._changes: list[Change] = []
        self._holds: set[asyncio.Task[None]] = set()
        self._cuts: collections.Counter[str] = collections.Counter()
        self._freezes: collections.Counter[str] = collections.Counter()
        self._left = [f"servers/x{n}" for n in range(TARGETS)]

    async def play(self) -> list[str]:
        """Plays the run; returns what was known too late, and where."""
        fleet = self._fleet
        await fleet.change(1, SIZES[1])
        for key in self._left:
            await fleet.put(key, b"in_service")
        await fleet.start()
        await asyncio.sleep(CALM_S)
        fleet.delivery.is_lost = lambda: self._rng.random() < LOST_SHARE
        fleet.delivery.delay_s = lambda: self._rng.uniform(*DATAGRAM_S)
        duties = [
            asyncio.create_task(self._disturb()),
            asyncio.create_task(self._write()),
        ]
        await asyncio.sleep(FAULTS_S)
        for duty in duties:
            duty.cancel()
        await asyncio.sleep(REST_S)
        for hold in self._holds:
            hold.cancel()
        await fleet.stop()
        return [
            f"{change.key} of {change.at:.2f} s at {instance.name}: "
            f"{self._took_s(instance, change):.2f} s"
            for change in self._changes
            for instance in fleet.instances
            if self._in_touch(instance, change)
            and self._took_s(instance, change) > self._bound_s
        ]

    def _took_s(self, instance: Instance, change: Change) -> float:
        known = instance.known.get(change.key, [])
        times = [at for revision, at in known if revision >= change.revision]
        return min(times, default=float("inf")) - change.at

    def _in_touch(self, instance: Instance, change: Change) -> bool:
        """Whether the bound holds for an instance."""
        return not any(
            span.instance == instance.name
            and span.start < change.at + self._bound_s
            and span.end > change.at - self._contact_s
            for span in self._spans
        )

    async def _disturb(self) -> None:
        instances, rng = self._fleet.instances, self._rng
        while True:
            await asyncio.sleep(rng.expovariate(1.0 / FAULT_GAP_S))
            kind = rng.choice(("one", "relay", "firsts", "many", "history"))
            if kind == "history":
                await self._fleet.store.forget_history()
                continue
            some = [rng.choice(instances)]
            if kind == "relay":
                some = [self._fleet.relay]
            elif kind == "firsts":
                # The relay is near-1, so near-2 is the first deputy there.
                some = [i for i in instances if i.name.endswith("-1")]
                some.append(instances[1])
            elif kind == "many":
                some = [i for i in instances if rng.random() < 0.35]
            frozen = kind != "relay" and rng.random() < 0.5
            for_s = rng.uniform(*FAULT_S)
            hold = asyncio.create_task(self._hold(some, frozen, for_s))
            self._holds.add(hold)

    async def _hold(
        self, instances: list[Instance], frozen: bool, for_s: float
    ) -> None:
        """Cuts instances off from the store; frozen ones answer nobody."""
        now = asyncio.get_running_loop().time()
        spans = [Span(i.name, now) for i in instances]
        self._spans += spans
        self._count(instances, frozen, 1)
        await asyncio.sleep(for_s)
        self._count(instances, frozen, -1)
        for span in spans:
            span.end = now + for_s

    def _count(self, instances: list[Instance], frozen: bool, by: int) -> None:
        for instance in instances:
            self._cuts[instance.name] += by
            self._freezes[instance.name] += by * frozen
            instance.cut = self._cuts[instance.name] > 0
            instance.down = self._freezes[instance.name] > 0

    async def _write(self) -> None:
        rng, version = self._rng, 1
        while True:
            await asyncio.sleep(rng.expovariate(1.0 / CHANGE_GAP_S))
            kind = rng.choice(("version", "leaving", "gone"))
            key = CONFIGURATION if kind == "version" else self._left.pop()
            if kind == "version":
                version += 1
                value = configuration(version, rng.choice(SIZES))
                revision = await self._fleet.put(key, value)
            elif kind == "leaving":
                revision = await self._fleet.put(key, b"draining")
            else:
                revision = await self._fleet.remove(key)
            now = asyncio.get_running_loop().time()
            self._changes.append(Change(key, revision, now))
