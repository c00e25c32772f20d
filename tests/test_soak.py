"""Guards the soak's checks, its schedule and a short run of real programs."""

import asyncio
import dataclasses
import pathlib
import random

import pytest

from soak import checks, configurations, schedule, storestandin, targets
from soak.__main__ import play
from soak.records import (
    HOST,
    Asked,
    Kind,
    OrderSeen,
    Record,
    Run,
    Span,
    Version,
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


def denied(request, status=404):
    return dataclasses.replace(request, status=status, seal="", body=b"")


def back(after_s):
    """Returns a record of a served route that is denied some time later."""
    served = dataclasses.replace(ON_ADDED, request="a", sent_at=9.9)
    later = dataclasses.replace(
        denied(ON_ADDED), sent_at=10.0 + after_s, ended_at=10.9
    )
    runs = {"a": [run(request="a", service="c1", started_at=10.0)]}
    requests = {"a": served, NAME: later}
    return Record(asked=requests, runs=runs, versions=JUST_ADDED)


STREAM = asked(Kind.STREAM)
CUT = asked(complete=False, status=0, ended_at=12.0)
STOP = Span("n1", 10.5, 13.0, planned=True)
FAULT = Span("t2", 9.0, 9.5)
LEFT = asked(Kind.SAFE, left=True, complete=False, ended_at=11.0)
LATE = asked(Kind.SAFE, status=0, complete=False, ended_at=13.6)
CONFIG = asked(Kind.CONFIG)
VERSIONS = [Version(1, {}, 5.0, 5.0), Version(2, {}, 9.0, 9.0)]
# Requests are sent at 10.0 s, the apply bound after 7.5 s.
STANDING = {(HOST, "/safe/"): frozenset({"plain"})}
ADDED = {**STANDING, (HOST, "/added/"): frozenset({"c1", "c2"})}
FIRST = Version(1, STANDING, 1.0, 1.0)
LONG_ADDED = [FIRST, Version(2, ADDED, 7.3, 7.4)]
JUST_ADDED = [FIRST, Version(2, ADDED, 7.5, 7.6)]
LONG_REMOVED = [Version(1, ADDED, 1.0, 1.0), Version(2, STANDING, 7.3, 7.4)]
JUST_REMOVED = [Version(1, ADDED, 1.0, 1.0), Version(2, STANDING, 7.5, 7.6)]
ON_ADDED = asked(Kind.ADDED, path=f"/added/{NAME}")
ON_STANDING = asked(Kind.SAFE, path=f"/safe/{NAME}")
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
            versions=VERSIONS,
        ),
        record(CONFIG, run(service="c1"), versions=VERSIONS),
    ),
    "denied": (
        record(denied(ON_ADDED), versions=LONG_ADDED),
        record(denied(ON_ADDED), versions=JUST_ADDED),
    ),
    "route": (
        record(ON_ADDED, run(service="c1"), versions=LONG_REMOVED),
        record(ON_ADDED, run(service="c1"), versions=JUST_REMOVED),
    ),
    "untold": (
        record(ON_ADDED, versions=[FIRST]),
        record(denied(ON_ADDED), versions=[FIRST]),
    ),
    "regress": (back(after_s=0.3), back(after_s=0.2)),
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


OUT_OF_TOUCH = Span("n1", 6.5, 7.0)


def wrong(request, versions, *disturbed):
    seen = record(request, versions=versions, disturbed=list(disturbed))
    return [v.subject for v in checks.judge(seen).wrong]


@pytest.mark.parametrize("status", [301, 400, 401, 403, 413, 431])
def test_proper_request_gets_no_final_status_but_404(status):
    """Callers do not ask again after a 400, though the route is there."""
    for request in (ON_STANDING, ON_ADDED):
        assert wrong(denied(request, status), LONG_ADDED) == [NAME]
        assert wrong(denied(request, status), LONG_ADDED, OUT_OF_TOUCH)


def test_standing_route_is_denied_by_nobody():
    """An instance that knows no configuration answers 503, not 404."""
    assert wrong(denied(ON_STANDING), LONG_ADDED, OUT_OF_TOUCH) == [NAME]
    assert wrong(denied(ON_STANDING, 503), LONG_ADDED) == []


def test_route_is_late_only_at_an_instance_in_touch():
    """The apply bound holds for instances in touch with a sound store."""
    assert wrong(denied(ON_ADDED), LONG_ADDED) == [NAME]
    for span in (OUT_OF_TOUCH, Span("store", 6.5, 7.0)):
        assert wrong(denied(ON_ADDED), LONG_ADDED, span) == []
    assert wrong(denied(ON_ADDED), LONG_ADDED, Span("n2", 6.5, 11.0)) == [NAME]


def test_route_may_be_denied_while_it_changes():
    """From the sending of a version to the apply bound both answers hold."""
    for versions in (JUST_ADDED, JUST_REMOVED):
        seen = checks.judge(record(denied(ON_ADDED), versions=versions))
        assert (seen.right, seen.changing, seen.wrong) == (0, 1, [])
    # A version that is sent after the answer cannot be in force.
    later = [Version(1, ADDED, 1.0, 1.0), Version(2, STANDING, 10.3, 10.4)]
    assert wrong(denied(ON_ADDED), later) == [NAME]
    # The store took this version but its acknowledgement is missing.
    unacked = [FIRST, Version(2, ADDED, 2.0)]
    assert wrong(denied(ON_ADDED), unacked) == []


def test_removed_and_unknown_routes_are_denied_rightly():
    """Requests that no version in force allows belong to the traffic."""
    unknown = dataclasses.replace(ON_STANDING, host="never.example")
    for request, versions in (
        (ON_ADDED, LONG_REMOVED),
        (unknown, LONG_ADDED),
        (dataclasses.replace(unknown, host=HOST, path="/safe"), LONG_ADDED),
    ):
        seen = checks.judge(record(denied(request), versions=versions))
        assert (seen.right, seen.changing, seen.wrong) == (1, 0, [])


def test_status_of_a_target_is_not_judged():
    """A 4xx with a signature is the target's answer."""
    assert wrong(asked(path="/safe/q", status=400), LONG_ADDED) == []
    for status in checks.PASSING:
        assert wrong(denied(ON_STANDING, status), LONG_ADDED) == []


def test_run_on_a_route_that_never_was_is_found_out_of_touch():
    """No version that was ever sent leads the request to this service."""
    elsewhere = record(ON_ADDED, run(service="plain"), versions=LONG_REMOVED)
    elsewhere.disturbed.append(OUT_OF_TOUCH)
    found = checks.runs_are_where_a_route_leads(elsewhere)
    assert [v.rule for v in found] == ["route"]


def test_unknown_routes_without_404_are_found():
    """An instance that answers 503 to what it never serves hides its state."""
    refused = many(denied(ON_ADDED, 503))
    refused.versions = [FIRST]
    found = checks.unknown_routes_are_told(refused)
    assert [v.rule for v in found] == ["untold"]


def test_longest_prefix_decides():
    """A removed route gives its paths back to the route around it."""
    nested = {**STANDING, (HOST, "/safe/x/"): frozenset({"c3"})}
    for routes, service in ((nested, "c3"), (STANDING, "plain")):
        version = Version(1, routes, 1.0, 1.0)
        assert version.services_of(HOST, "/safe/x/q1") == {service}


def test_operator_adds_removes_and_sends_large_versions():
    """Without such changes in its series the soak sees no wrong 404."""
    series = configurations.Series(7)
    versions = []
    sizes = []
    for _ in range(200):
        sizes.append(len(series.advance()))
        versions.append(series.routes)
    pairs = list(zip(versions, versions[1:], strict=False))
    # One datagram between instances holds a value of 1,200 bytes.
    assert min(sizes) > 2000
    assert max(map(len, versions)) > configurations.MANY_ROUTES
    assert max(sizes) > 150_000
    assert sum(bool(new.keys() - old.keys()) for old, new in pairs) > 50
    assert sum(bool(old.keys() - new.keys()) for old, new in pairs) > 30
    standing = set.intersection(*(set(routes) for routes in versions))
    assert standing == set(versions[0]) and len(standing) == 4


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


@pytest.mark.memory_network
async def test_target_leaves_without_a_report():
    """No run had a target whose entry goes while it still serves (DRAIN)."""
    store, seen = storestandin.StoreStandin(), Record()
    target = targets.Target(
        "plain-0", "plain", "dc-a", store, seen, random.Random(1)
    )
    await target.start()
    await asyncio.sleep(targets.HEARTBEAT_S)
    assert (await store.data.range("servers/")).values
    leaving = asyncio.create_task(target.leave(reported=False))
    await asyncio.sleep(2 * targets.HEARTBEAT_S)
    assert not (await store.data.range("servers/")).values
    assert target.alive and target.identity in seen.leaving
    await leaving
    assert not target.alive
