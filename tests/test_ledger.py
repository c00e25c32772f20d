"""Tests that the memory ledger never counts too little memory (R1)."""

import pytest
from builders_placement import engine_report, target

from carobsail import errors, ledger


def build_loaded_ledger(checks=True):
    """Returns a ledger of epoch 2 with m1 loaded at 100 s."""
    ledger_under_test = ledger.MemoryLedger(target(checks_fencing=checks))
    ledger_under_test.take_over(2, {}, 0.0)
    ledger_under_test.reserve("m1", 600, 100.0)
    ledger_under_test.load_sent("m1", 100.0)
    ledger_under_test.confirm_load("m1", 102.0)
    return ledger_under_test


def test_reservation_beyond_capacity_is_refused():
    """A load must fit beside adapter pool and minimum cache size (R1)."""
    ledger_under_test = build_loaded_ledger()
    refused = ledger_under_test.reserve("m2", 401, 103.0)
    assert refused.reason is errors.Reason.NO_MEMORY
    assert ledger_under_test.reserve("m2", 400, 103.0) is None
    assert ledger_under_test.free_mb == 0


def test_duplicate_load_order_keeps_memory_after_unload():
    """A delayed copy of a load order would use memory counted as free (R1)."""
    ledger_under_test = build_loaded_ledger()
    ledger_under_test.unload_sent("m1", 110.0)
    ledger_under_test.confirm_unload("m1", 111.0)
    ledger_under_test.apply_report(engine_report(fence=2), 129.0)
    assert ledger_under_test.free_mb == 400
    ledger_under_test.apply_report(engine_report(fence=2), 130.0)
    assert ledger_under_test.free_mb == 1000


def test_duplicate_unload_order_delays_the_next_load():
    """A delayed copy of an unload order would remove a new load (R2)."""
    ledger_under_test = build_loaded_ledger()
    ledger_under_test.unload_sent("m1", 140.0)
    ledger_under_test.confirm_unload("m1", 141.0)
    refused = ledger_under_test.reserve("m1", 600, 142.0)
    assert refused.reason is errors.Reason.NOT_READY
    assert refused.retry_after_s == 28.0
    assert ledger_under_test.reserve("m1", 600, 170.0) is None


def test_lost_unload_is_resolved_by_a_later_report():
    """A copy is not safe while a late unload may still remove it (R2)."""
    ledger_under_test = build_loaded_ledger()
    ledger_under_test.unload_sent("m1", 140.0)
    ledger_under_test.record_unknown_outcome("m1", 145.0)
    ledger_under_test.apply_report(
        engine_report(fence=2, models={"m1": 600}), 169.0
    )
    assert not ledger_under_test.is_safe("m1", 169.0)
    ledger_under_test.apply_report(
        engine_report(fence=2, models={"m1": 600}, age_s=1.0), 170.0
    )
    assert not ledger_under_test.is_safe("m1", 170.0)
    ledger_under_test.apply_report(
        engine_report(fence=2, models={"m1": 600}), 171.0
    )
    assert ledger_under_test.is_safe("m1", 171.0)


def test_lost_load_is_resolved_by_a_later_report():
    """Memory stays held while a lost load may still be executed (R1)."""
    ledger_under_test = build_loaded_ledger()
    ledger_under_test.reserve("m2", 400, 200.0)
    ledger_under_test.load_sent("m2", 200.0)
    ledger_under_test.record_unknown_outcome("m2", 205.0)
    ledger_under_test.apply_report(engine_report(models={"m1": 600}), 229.0)
    assert ledger_under_test.free_mb == 0
    ledger_under_test.apply_report(engine_report(models={"m1": 600}), 230.0)
    assert ledger_under_test.free_mb == 400


@pytest.mark.parametrize(
    ("checks", "fence", "resolved_at"),
    [(True, 2, 1.0), (True, 1, 30.0), (False, 2, 30.0)],
)
def test_new_owner_counts_intents_until_resolved(checks, fence, resolved_at):
    """Orders of an earlier owner may still arrive at the engine (R1)."""
    ledger_under_test = ledger.MemoryLedger(target(checks_fencing=checks))
    ledger_under_test.take_over(2, {"m1": 600}, 0.0)
    ledger_under_test.apply_report(
        engine_report(fence=fence), resolved_at - 0.5
    )
    assert ledger_under_test.free_mb == (1000 if resolved_at < 2 else 400)
    ledger_under_test.apply_report(engine_report(fence=fence), resolved_at)
    assert ledger_under_test.free_mb == 1000


def test_engine_that_ignores_fencing_delays_unloads():
    """An earlier owner's unload may remove a model still reported (R2)."""
    ledger_under_test = build_loaded_ledger(checks=False)
    ledger_under_test.take_over(3, {"m1": 600}, 200.0)
    ledger_under_test.reserve("m2", 400, 201.0)
    ledger_under_test.load_sent("m2", 201.0)
    ledger_under_test.confirm_load("m2", 203.0)
    for now in (229.0, 230.0):
        ledger_under_test.apply_report(
            engine_report(models={"m1": 600, "m2": 400}), now
        )
        assert ledger_under_test.may_unload("m1", now) is (now == 230.0)
        assert ledger_under_test.is_safe("m2", now) is (now == 230.0)


def test_reports_out_of_order_change_nothing():
    """An old report must not release a model that was loaded since (R1)."""
    ledger_under_test = build_loaded_ledger()
    ledger_under_test.apply_report(engine_report(fence=2), 101.0)
    ledger_under_test.apply_report(
        engine_report(fence=2, models={"m1": 600}), 140.0
    )
    ledger_under_test.apply_report(engine_report(fence=2), 139.0)
    assert ledger_under_test.free_mb == 400
