"""Guards the soak's checks, its schedule and a short run of real programs."""

import asyncio
import dataclasses
import pathlib

import pytest

from soak import checks, schedule
from soak.__main__ import play
from soak.records import (
    Asked,
    Kind,
    OrderSeen,
    Record,
    Run,
    Span,
    body_of,
    event_of,
    events_of,
)

NAME = "q000001abcdef"
WHOLE = b"".join(event_of(NAME, n) for n in range(1, events_of(NAME) + 1))
# The second seed has planned work only.
CI_SEEDS = (14, 39)
CI_SECONDS = 10.0
CI_INSTANCES = 3
CI_PER_S = 15.0


def asked(kind=Kind.UNSAFE, **changes):
    base = Asked(NAME, kind, "n1", 1, 10.0, 3.0, 10.2, 200, True, "s")
    base.body = WHOLE if kind is Kind.STREAM else body_of(NAME)
    return dataclasses.replace(base, **changes)


def run(**changes):
    base = Run(NAME, "t1", "plain", 10.0, 10.1, seal="s")
    return dataclasses.replace(base, **changes)


def record(request, *runs, **parts):
    made = Record(asked={request.request: request}, **parts)
    for each in runs:
        made.run(each)
    return made


def orders(*rows):
    return Record(orders=[OrderSeen("e1", *row) for row in rows])


def many(request, *runs, count=8):
    """Returns a record of several like requests."""
    made = Record()
    for number in range(count):
        name = f"q{number}"
        made.asked[name] = dataclasses.replace(request, request=name)
        for each in runs:
            made.run(dataclasses.replace(each, request=name))
    return made


STREAM = asked(Kind.STREAM)
CUT = asked(complete=False, status=0, ended_at=12.0)
STOP = Span("n1", 10.5, 13.0, planned=True)
FAULT = Span("t2", 9.0, 9.5)
LEFT = asked(Kind.SAFE, left=True, complete=False, ended_at=11.0)
LATE = asked(Kind.SAFE, status=0, complete=False, ended_at=13.6)
CONFIG = asked(Kind.CONFIG)
VERSIONS = {1: 5.0, 2: 9.0}
BROKEN = {
    "unasked": (Record(runs={"q9": [run()]}), record(asked(), run())),
    "twice": (record(asked(), run(), run()), record(asked(Kind.SAFE), run())),
    "refused": (record(asked(status=503), run()), record(asked(status=503))),
    "mixed": (record(asked(), run(seal="x")), record(asked(), run())),
    "order": (
        record(dataclasses.replace(STREAM, body=WHOLE[:-20]), run()),
        record(STREAM, run()),
    ),
    "overlap": (
        record(STREAM, run(ended_at=12.0), run(started_at=11.0, after=2)),
        record(STREAM, run(ended_at=11.3), run(started_at=11.0, after=2)),
    ),
    "drain": (
        record(asked(), run(), leaving={"t1": 7.4}),
        record(asked(), run(), leaving={"t1": 7.6}),
    ),
    "config": (
        Record(
            asked={
                "a": dataclasses.replace(CONFIG, request="a", sent_at=9.4),
                "b": dataclasses.replace(CONFIG, request="b", sent_at=10.0),
            },
            runs={
                "a": [run(request="a", service="c2", started_at=9.5)],
                "b": [run(request="b", service="c1", started_at=10.1)],
            },
            configured=VERSIONS,
        ),
        record(CONFIG, run(service="c1"), configured=VERSIONS),
    ),
    "one": (
        orders(("n1", 4, 1.0), ("n2", 7, 3.9)),
        orders(("n1", 4, 1.0), ("n2", 7, 4.1)),
    ),
    "limit": (Record(faults=["e1: 280000 MB"]), Record()),
    "lost": (
        record(CUT, run(), disturbed=[STOP]),
        record(CUT, run(), disturbed=[STOP, FAULT]),
    ),
    "gone": (
        many(LEFT, run(ended_at=11.6)),
        many(LEFT, run(ended_at=11.4)),
    ),
    "answered": (many(LATE), many(LATE, count=7)),
}


@pytest.mark.parametrize("rule", checks.CHECKS)
def test_each_check_finds_its_violation(rule):
    """A check that cannot fail would hide what it is there for."""
    broken, sound = BROKEN[rule]
    assert [v.rule for v in checks.CHECKS[rule](broken)] == [rule]
    assert not list(checks.CHECKS[rule](sound))


def test_second_holder_with_an_old_fence_is_found():
    """Fences must not go back, however late the order comes."""
    found = checks.one_instance_orders(orders(("n1", 7, 1.0), ("n2", 4, 9.0)))
    assert [v.rule for v in found] == ["one"]


def test_missing_recovery_is_found():
    """After the last fault at least a quarter of the requests is served."""
    failed = many(asked(sent_at=30.0, status=503))
    assert [v.rule for v in checks.recovered(failed, 10.0)] == ["recover"]
    assert not list(checks.recovered(many(asked(sent_at=30.0)), 10.0))


def test_starved_soak_accuses_nobody():
    """Timing checks must not depend on the load of the machine."""
    broken, _ = BROKEN["gone"]
    broken.disturbed.append(Span("machine", 11.0, 11.4))
    assert not list(checks.work_ends_with_its_caller(broken))


def test_seed_decides_the_schedule():
    """A failure is looked into by playing its seed again."""
    assert schedule.draw(7, 60.0) == schedule.draw(7, 60.0)
    assert schedule.draw(7, 60.0) != schedule.draw(8, 60.0)
    drawn = {s.kind for n in range(40) for s in schedule.draw(n, 60.0)}
    assert drawn == set(schedule.KINDS)


async def test_short_soak_keeps_the_promises(tmp_path: pathlib.Path):
    """Real programs under faults; docs/OPERATIONS.md tells how to go on."""
    directories = [tmp_path / str(seed) for seed in CI_SEEDS]
    for directory in directories:
        directory.mkdir()
    played = await asyncio.gather(
        *(
            play(seed, CI_SECONDS, CI_INSTANCES, directory, CI_PER_S)
            for seed, directory in zip(CI_SEEDS, directories, strict=True)
        )
    )
    for seen, violations in played:
        assert violations == []
        served = [a for a in seen.asked.values() if a.status == 200]
        assert len(served) > len(seen.asked) / 2 > 50
