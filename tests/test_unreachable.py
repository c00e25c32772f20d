"""Tests when unreachable targets are avoided by all instances."""

import builders_serving
import pytest
from test_coordinator import summary

from carobsail.targetchoice import choose_target
from carobsail.targetregistry import Target
from carobsail.unreachable import (
    INITIAL_AVOID_S,
    REPORT_VALID_S,
    UnreachableTargets,
)


def report(targets, now, instance, data_centre="dc-a", target="e1"):
    base = summary(1, instance=instance)
    changed = type(base)(
        instance=instance,
        data_centre=data_centre,
        incarnation=1,
        number=1,
        loads=[],
        demand=[],
        waiting=[],
        adapter_uses=[],
        unreachable=[target],
    )
    return targets.record_reports(changed, now)


def test_report_of_one_instance_is_not_enough():
    """A cut link of one instance must not take work from a healthy engine."""
    targets = UnreachableTargets(builders_serving.LOCATION)
    assert not report(targets, 0.0, "n1")
    assert not report(targets, 0.1, "n1")
    assert targets.targets_to_avoid(0.1) == []


def test_two_reports_of_a_region_are_trusted_there():
    """A saturated link between regions made all instances avoid the far one."""
    targets = UnreachableTargets(builders_serving.LOCATION)
    report(targets, 0.0, "n1", "dc-a")
    assert report(targets, 0.1, "n2", "dc-b")
    assert targets.targets_to_avoid(0.1)[0].regions == ["north"]
    assert not report(targets, 0.2, "n3", "dc-c")
    assert report(targets, 0.3, "n4", "dc-c")
    assert targets.targets_to_avoid(0.3)[0].regions == ["north", "south"]
    assert not report(targets, 0.4, "n5", "dc-c")


def test_expired_reports_do_not_count():
    """Two short faults at different times do not mean a crash."""
    targets = UnreachableTargets(builders_serving.LOCATION)
    report(targets, 0.0, "n1")
    assert not report(targets, REPORT_VALID_S + 0.1, "n2")


def test_avoidance_doubles_with_each_confirmation():
    """All instances tried it again at the same time."""
    targets = UnreachableTargets(builders_serving.LOCATION)
    now, lengths = 0.0, []
    for _ in range(4):
        report(targets, now, "n1")
        report(targets, now, "n2")
        lengths.append(targets.targets_to_avoid(now)[0].left_s)
        now += lengths[-1] + 0.1
    assert lengths == pytest.approx([INITIAL_AVOID_S * n for n in (1, 2, 4, 4)])


def test_avoided_target_is_the_last_choice():
    """If only avoided targets are left, they are used all the same."""
    first = Target(builders_serving.entry("t1"))
    second = Target(builders_serving.entry("t2", data_centre="dc-c"))
    first.avoided_until = 5.0
    requirements = builders_serving.plain_request()
    location = builders_serving.LOCATION
    assert (
        choose_target(requirements, [first, second], None, location, 1.0).target
        is second
    )
    assert (
        choose_target(requirements, [first], None, location, 1.0).target
        is first
    )
