"""Guards that targets are known whatever configuration was known first.

Heartbeats of targets are not relayed, so an instance may see an entry once.
"""

import itertools
import logging
import random

import pytest
from builders_departures import Follower, configured, gone, listed

KNOWN = [("t1", 1000)]


async def test_engines_that_register_before_their_configuration_are_used():
    """An added route was never served by an instance (review case 14)."""
    follower = Follower()
    follower.take(configured(1, "plain", revision=1))
    follower.take(listed("t1", 2, service="annex"))
    assert not follower.offered("plain")
    follower.take(configured(2, "plain", "annex", revision=3))
    assert follower.offered("annex") == KNOWN


@pytest.mark.parametrize(
    "last_event",
    [listed("t1", 4, state="draining", service="annex"), gone("t1", 4)],
    ids=["draining", "removed"],
)
async def test_departure_without_a_configured_service_is_remembered(last_event):
    """A version without the service hid that its target was leaving."""
    follower = Follower()
    follower.take(configured(1, "plain", "annex", revision=1))
    follower.take(listed("t1", 2, service="annex"))
    follower.take(configured(2, "plain", revision=3))
    follower.take(last_event)
    follower.take(configured(3, "plain", "annex", revision=5))
    assert follower.offered("annex") == []


@pytest.mark.parametrize("born", [1000, 0])
async def test_entry_of_another_writer_does_not_displace_a_target(born, caplog):
    """A live target got no requests until its next heartbeat."""
    follower = Follower()
    follower.take(configured(1, "plain", revision=1), listed("t1", 2))
    with caplog.at_level(logging.INFO, "carobsail"):
        follower.take(listed("t1", 3, born=born, service="unheard-of"))
    assert follower.offered() == KNOWN
    assert "document_ignored" in caplog.text


async def test_target_that_restarts_in_an_unknown_service_leaves_its_old_one():
    """Requests would reach the process of another service (ROUTE)."""
    follower = Follower()
    follower.take(configured(1, "plain", revision=1), listed("t1", 2))
    follower.take(listed("t1", 3, born=2000, service="annex"))
    assert follower.offered() == []
    follower.take(configured(2, "plain", "annex", revision=4))
    assert follower.offered("annex") == [("t1", 2000)]


async def test_unknown_service_is_no_reason_to_relay_each_heartbeat():
    """Every heartbeat of such an entry was sent to all instances."""
    follower = Follower()
    follower.take(configured(1, "plain", revision=1))
    for revision in range(2, 7):
        follower.take(listed("t1", revision, service="annex"))
    relayed = [e for e in follower.relayed if e.key == "servers/t1"]
    assert [e.mod_revision for e in relayed] == [listed("t1", 2).mod_revision]


def entries_by_identity(rng):
    """Returns the successive entries of some targets, without heartbeats."""
    revision = itertools.count(100)
    found = []
    for number in range(8):
        name = f"t{number}"
        events = []
        for born in range(1000, 1000 + 10 * rng.randint(1, 3), 10):
            service = rng.choice(["plain", "annex", "third"])
            events.append((name, next(revision), service, born, "in_service"))
            if rng.random() < 0.4:
                events.append((name, next(revision), service, born, "draining"))
        if rng.random() < 0.3:
            events.append((name, next(revision), None, 0, ""))
        found.append(events)
    return found


@pytest.mark.parametrize("seed", range(30))
async def test_order_of_entries_and_configurations_makes_no_difference(seed):
    """An instance learns of each by another way, at another time."""
    rng = random.Random(seed)
    follower = Follower()
    targets = entries_by_identity(rng)
    expected = {"plain": set(), "annex": set(), "third": set()}
    for events in targets:
        name, _, service, born, state = events[-1]
        if state == "in_service":
            expected[service].add((name, born))
    versions = [
        rng.sample(sorted(expected), rng.randint(1, 3)) for _ in range(4)
    ]
    versions.append(sorted(expected))
    # Each series is in order in itself, as the copy of the store has it.
    series = [list(enumerate(versions, 1)), *targets]
    while any(series):
        events = rng.choice([s for s in series if s])
        if events is series[0]:
            version, services = events.pop(0)
            # Some versions are never seen, the last one always is.
            if version == len(versions) or rng.random() < 0.7:
                follower.take(configured(version, *services, revision=version))
            continue
        name, revision, service, born, state = events.pop(0)
        follower.take(
            listed(name, revision, 1, state, born, service)
            if service
            else gone(name, revision)
        )
    offered = {name: set(follower.offered(name)) for name in expected}
    assert offered == expected
