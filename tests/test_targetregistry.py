"""Tests which targets accept new requests."""

from builders_serving import engine_entry, entry

from carobsail.targetregistry import EXPIRY_GRACE_S, EntryChange, TargetRegistry


def listed(registry, service, now):
    return [t.entry.identity for t in registry.of_service(service, now)]


def test_leaving_target_takes_no_work():
    """Requests to a target that is draining violate the drain time limit."""
    registry = TargetRegistry()
    registry.put(entry(), 0.0)
    registry.put(entry(leaving=True, revision=2), 1.0)
    assert listed(registry, "plain", 1.0) == []


def test_removed_target_is_gone_at_once():
    """Some targets leave without notice: only their entry is removed."""
    registry = TargetRegistry()
    registry.put(entry(), 0.0)
    registry.remove("t1", 1.0)
    assert listed(registry, "plain", 1.0) == []


def test_entry_that_lapsed_in_an_outage_is_kept_for_the_grace():
    """Entries expire in an outage and are back 2 s after it."""
    registry = TargetRegistry()
    registry.put(entry(), 0.0)
    registry.record_store_contact(False, 10.0)
    registry.remove("t1", 10.5)
    assert listed(registry, "plain", 10.0 + EXPIRY_GRACE_S - 0.1) == ["t1"]
    assert listed(registry, "plain", 10.0 + EXPIRY_GRACE_S) == []


def test_lapsed_entry_that_came_back_stays():
    """A live target was removed after its entry had been renewed."""
    registry = TargetRegistry()
    registry.put(entry(), 0.0)
    registry.record_store_contact(False, 10.0)
    registry.remove("t1", 10.5)
    registry.put(entry(revision=9), 11.0)
    assert listed(registry, "plain", 20.0) == ["t1"]


def test_older_entry_is_ignored():
    """A delayed update must not make a leaving target available again."""
    registry = TargetRegistry()
    registry.put(entry(leaving=True, revision=5), 0.0)
    registry.put(entry(revision=3), 1.0)
    assert listed(registry, "plain", 1.0) == []


def test_restart_under_the_same_identity_resets_state():
    """A restarted engine holds no models and has no requests."""
    registry = TargetRegistry()
    registry.put(engine_entry(), 0.0)
    registry.get("e1").in_flight = 5
    registry.put(engine_entry(models=(), start_time_ms=2000, revision=2), 1.0)
    assert registry.get("e1").in_flight == 0
    assert registry.get("e1").held == {}


def test_coordinator_takes_precedence_over_late_heartbeat():
    """A 1 s old entry removed an adapter that had just been loaded."""
    registry = TargetRegistry()
    registry.put(engine_entry(), 0.0)
    assert registry.set_held("e1", {"m1": frozenset({"a1"})}, 5.0)
    registry.put(engine_entry(revision=2), 6.0)
    assert registry.get("e1").held == {"m1": frozenset({"a1"})}
    registry.put(engine_entry(revision=3), 9.0)
    assert registry.get("e1").held == {"m1": frozenset()}


def test_pause_grows_with_failures_and_ends_with_an_answer():
    """Each request was tried at a dead target."""
    registry = TargetRegistry()
    registry.put(entry(), 0.0)
    target = registry.get("t1")
    first = target.record_failure(0.0)
    assert target.record_failure(0.0) == 2 * first
    target.record_success()
    assert target.record_failure(0.0) == first


def test_heartbeat_is_no_change():
    """76 heartbeats a second woke all waiting requests each time."""
    registry = TargetRegistry()
    assert registry.put(engine_entry(), 0.0) is EntryChange.REGISTRATION
    assert registry.put(engine_entry(revision=2), 1.0) is EntryChange.NONE
    held = engine_entry(revision=3, models=("m1", "m2"))
    assert registry.put(held, 2.0) is EntryChange.HOLDINGS
    leaving = engine_entry(revision=4, leaving=True)
    assert registry.put(leaving, 3.0) is EntryChange.REGISTRATION
    assert (
        registry.put(engine_entry(revision=5, start_time_ms=2000), 4.0)
        is EntryChange.REGISTRATION
    )
    assert registry.remove("e1", 5.0) is EntryChange.REGISTRATION
