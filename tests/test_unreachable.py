"""Guards when targets that instances cannot reach are avoided by all."""

import builders_serving
import pytest
from test_ordergiver import summary

from carobsail.targetbook import Target
from carobsail.targetchoice import decide
from carobsail.unreachable import (
    INITIAL_AVOID_S,
    REPORT_VALID_S,
    UnreachableTargets,
)


def told(judge, now, instance, data_centre="dc-a", target="e1"):
    base = summary(1, instance=instance)
    changed = type(base)(
        instance=instance,
        data_centre=data_centre,
        incarnation=1,
        number=1,
        loads=[],
        demand=[],
        needs=[],
        uses=[],
        unreachable=[target],
    )
    return judge.take(changed, now)


def test_one_instance_is_not_believed():
    """A cut link of one instance must not empty a sound engine."""
    judge = UnreachableTargets(builders_serving.PLACE)
    assert not told(judge, 0.0, "n1")
    assert not told(judge, 0.1, "n1")
    assert judge.judged(0.1) == []


def test_two_instances_of_a_region_are_believed_there():
    """A full link between regions emptied the far one for all instances."""
    judge = UnreachableTargets(builders_serving.PLACE)
    told(judge, 0.0, "n1", "dc-a")
    assert told(judge, 0.1, "n2", "dc-b")
    assert judge.judged(0.1)[0].regions == ["north"]
    assert not told(judge, 0.2, "n3", "dc-c")
    assert told(judge, 0.3, "n4", "dc-c")
    assert judge.judged(0.3)[0].regions == ["north", "south"]
    assert not told(judge, 0.4, "n5", "dc-c")


def test_old_evidence_does_not_count():
    """Two short faults at different times are no crash."""
    judge = UnreachableTargets(builders_serving.PLACE)
    told(judge, 0.0, "n1")
    assert not told(judge, REPORT_VALID_S + 0.1, "n2")


def test_target_that_stays_away_is_tried_less_and_less():
    """All instances tried it again at the same moment."""
    judge = UnreachableTargets(builders_serving.PLACE)
    now, lengths = 0.0, []
    for _ in range(4):
        told(judge, now, "n1")
        told(judge, now, "n2")
        lengths.append(judge.judged(now)[0].left_s)
        now += lengths[-1] + 0.1
    assert lengths == pytest.approx([INITIAL_AVOID_S * n for n in (1, 2, 4, 4)])


def test_avoided_target_is_the_last_choice():
    """An instance that alone reaches the only target must still use it."""
    first = Target(builders_serving.entry("t1"))
    second = Target(builders_serving.entry("t2", data_centre="dc-c"))
    first.avoided_until = 5.0
    want = builders_serving.want()
    place = builders_serving.PLACE
    assert decide(want, [first, second], None, place, 1.0).target is second
    assert decide(want, [first], None, place, 1.0).target is first
