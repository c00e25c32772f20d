"""Plays random histories of targets over breaks of the store."""

import random

import pytest
from builders_serving import entry

from carobsail.departedtargets import ENTRY_LAPSE_S, MAX_WITHHELD_S
from carobsail.keyvalue import KeyValue, RangeResult, WatchEvent
from carobsail.storecopy import StoreCopy
from carobsail.storeera import combine, revision_of
from carobsail.targetregistry import TargetRegistry

STEP_S = 0.1
HEARTBEAT_S = 1.2
# Longest time between two reads of the instance.
READ_S = 0.6
LIVE, DRAINING, OVER = range(3)


class Process:
    """A process of a target; `slots` of its entries is its number."""

    def __init__(self, name, number, born, now):
        self.name, self.number, self.born = name, number, born
        self.state = LIVE
        self.cut_until = self.write_at = self.wrote_at = 0.0
        self.calm_since = now
        self.offered = False


class World:
    """A store that goes back, targets, and the registry of one instance."""

    def __init__(self, seed, heartbeats):
        self.rng = random.Random(seed)
        self.heartbeats = heartbeats
        self.now, self.era, self.revision = 0.0, 1, 1
        # By key: process, whether it is leaving, revision, time of the write.
        self.items, self.history, self.checkpoints = {}, [], []
        self.down_until = self.read_at = self.heard_at = 0.0
        self.copy, self.registry = StoreCopy(), TargetRegistry()
        # Process of the last entry read, by key.
        self.writers = {}
        # When processes left that are known to have left, by number.
        self.processes, self.known_left = [], {}
        for number in range(6):
            self.start(f"t{number}", self.rng.random() < 0.7)

    def start(self, name, states_start):
        number = len(self.processes) + 1
        born = 1000 * number if states_start else 0
        self.processes.append(Process(name, number, born, self.now))

    def write(self, process, leaving):
        self.revision += 1
        row = (process, leaving, combine(self.era, self.revision), self.now)
        self.items[process.name] = row
        self.history.append((process.name, row))
        if not leaving:
            process.wrote_at = self.now

    def remove(self, name):
        self.revision += 1
        del self.items[name]
        row = (None, False, combine(self.era, self.revision), self.now)
        self.history.append((name, row))

    def change(self):
        """Lets one target leave, crash, restart or lose the store."""
        process = self.rng.choice(self.processes)
        action = self.rng.choice(["drain", "leave", "crash", "restart", "cut"])
        up = self.now >= max(self.down_until, process.cut_until)
        if process.state == OVER:
            return
        if action == "drain" and up:
            process.state = DRAINING
            self.write(process, True)
        elif action == "leave" and up and process.name in self.items:
            process.state = OVER
            self.remove(process.name)
        elif action in ("crash", "restart"):
            process.state = OVER
        elif action == "cut":
            process.cut_until = self.now + self.rng.uniform(1.0, 8.0)
        # Without a start time, a process cannot be told from the next one.
        if process.state == OVER and process.born and self.rng.random() < 0.7:
            self.start(process.name, self.rng.random() < 0.9)

    def go_back(self):
        """Loses up to 6 s of changes; leases pause while the store is away."""
        items, revision = self.rng.choice(self.checkpoints[-60:])
        self.down_until = self.now + self.rng.uniform(0.1, 3.0)
        self.era, self.revision, self.history = self.era + 1, revision, []
        self.checkpoints.clear()
        self.items = {
            name: (
                process,
                leaving,
                combine(self.era, revision_of(written)),
                self.down_until,
            )
            for name, (process, leaving, written, _) in items.items()
        }

    def advance(self):
        self.now += STEP_S
        if self.rng.random() < 0.05:
            self.change()
        if self.rng.random() < 0.01 and len(self.checkpoints) > 20:
            self.go_back()
        if self.now >= self.down_until:
            self.checkpoints.append((dict(self.items), self.revision))
            self.run_store()
        if self.now >= self.read_at:
            self.read_at = self.now + self.rng.uniform(0.05, READ_S)
            if self.now < self.down_until:
                self.registry.record_store_contact(False, self.now)
            else:
                self.read()

    def run_store(self):
        for process in self.processes:
            ready = self.now >= max(process.write_at, process.cut_until)
            if process.state != OVER and ready:
                process.write_at = self.now + HEARTBEAT_S
                self.write(process, process.state == DRAINING)
        for name, (*_, written_at) in list(self.items.items()):
            if self.now - written_at > ENTRY_LAPSE_S:
                self.remove(name)

    def read(self):
        """Lets the instance read all keys after a break, or the changes."""
        before, after = self.copy.revision, combine(self.era, self.revision)
        events = [
            WatchEvent(name, b"%d" % row[1] if row[0] else None, row[2])
            for name, row in self.history
        ]
        if before < combine(self.era, 1):
            values = [
                KeyValue(name, b"%d" % row[1], row[2])
                for name, row in self.items.items()
            ]
            changes = self.copy.apply_listing(RangeResult(after, tuple(values)))
            changes.sort(key=lambda _: self.rng.random())
        else:
            changes = self.copy.apply(events, after)
        rows = [*self.items.items(), *self.history]
        written = {(n, r[2]): (r[0], r[3]) for n, r in rows}
        self.registry.learn_era(after, after, self.now)
        for event in changes:
            key = (event.key, event.mod_revision)
            self.apply(event, *written.get(key, (None, self.now)), before)

    def apply(self, event, process, at, before):
        known = self.registry.get(event.key)
        writer_before = self.writers.get(event.key)
        self.writers[event.key] = process
        if process is None:
            self.registry.remove(event.key, self.now, event.mod_revision)
        else:
            written = entry(
                event.key,
                slots=process.number,
                leaving=event.value == b"1",
                start_time_ms=process.born,
                revision=event.mod_revision,
            )
            if not self.heartbeats and before >= combine(self.era, 1):
                # The coordinator withholds nothing and relays no heartbeat.
                if writer_before is process and not written.leaving:
                    return
            if written.leaving:
                self.known_left[process.number] = at
            self.registry.put(written, self.now)
        left = self.registry.get(event.key)
        if known and (not left or left.entry.slots != known.entry.slots):
            self.known_left[known.entry.slots] = at

    def check(self):
        offered = {
            t.entry.slots for t in self.registry.of_service("plain", self.now)
        }
        limit_s = ENTRY_LAPSE_S if self.heartbeats else MAX_WITHHELD_S
        for process in self.processes:
            if self.now < max(process.cut_until, self.down_until):
                process.calm_since = self.now
            if process.number in offered:
                left_at = self.known_left.get(process.number, -1.0)
                assert process.state == LIVE or process.wrote_at >= left_at
            elif process.state == LIVE:
                # It is used at first after it has registered and was read.
                assert self.now - process.calm_since <= limit_s + READ_S
                connected_s = self.now - process.cut_until
                assert not process.offered or connected_s < HEARTBEAT_S + READ_S
            process.offered = process.number in offered


def play(seed, heartbeats):
    """Plays a history of one minute, with a check after each step."""
    world = World(seed, heartbeats)
    for _ in range(600):
        world.advance()
        world.check()
    return world.era


@pytest.mark.parametrize("heartbeats", [True, False])
def test_random_histories(heartbeats):
    """A target that left was used again, or a live one no more."""
    breaks = [play(seed, heartbeats) - 1 for seed in range(20)]
    assert sum(breaks) > 20
