"""Tests the soak's checks, its schedule and a short run of real programs."""

import asyncio
import dataclasses
import itertools
import pathlib
import random

import msgspec
import pytest

from soak import (
    backups,
    checks,
    configurations,
    schedule,
    storestandin,
    targets,
)
from soak.__main__ import play
from soak.records import (
    HOST,
    CallerRequest,
    Disturbance,
    Kind,
    ReceivedOrder,
    Record,
    Run,
    Version,
    expected_body,
    expected_event,
    expected_event_count,
)

REQUEST_ID = "q000001abcdef"
COMPLETE_STREAM = b"".join(
    expected_event(REQUEST_ID, n)
    for n in range(1, expected_event_count(REQUEST_ID) + 1)
)
# The second seed has planned work only, the third one deadly requests and a
# crowd of hostile callers only.
CI_SEEDS = (14, 39, 2)
# The store goes back.
LOSS_SEED = 5
CI_SECONDS = 10.0
CI_INSTANCES = 3
CI_PER_S = 15.0


def sent_request(kind=Kind.UNSAFE, **changes):
    base = CallerRequest(
        REQUEST_ID, kind, "n1", 1, 10.0, 3.0, 10.2, 200, True, "s"
    )
    base.body = (
        COMPLETE_STREAM if kind is Kind.STREAM else expected_body(REQUEST_ID)
    )
    return dataclasses.replace(base, **changes)


def run(**changes):
    base = Run(REQUEST_ID, "t1", "plain", 10.0, 10.1, signature="s")
    return dataclasses.replace(base, **changes)


def record(request, *runs, **parts):
    result = Record(requests={request.request_id: request}, **parts)
    for each in runs:
        result.add_run(each)
    return result


def orders(*rows):
    return Record(orders=[ReceivedOrder("e1", *row) for row in rows])


def copies(request, *runs, count=8):
    """Returns a record of several copies of a request and its executions."""
    result = Record()
    for number in range(count):
        name = f"q{number}"
        result.requests[name] = dataclasses.replace(request, request_id=name)
        for each in runs:
            result.add_run(dataclasses.replace(each, request_id=name))
    return result


def deadly(fifth_crash_at):
    """Returns a record of deadly prompts that engines begin at 10.0 s."""
    result = copies(sent_request(Kind.STREAM, deadly=True), run(), count=4)
    result.deadly_crashes = [1.0, 2.0, 3.0, 4.0, fifth_crash_at]
    return result


def deadly_lookups(third_crash_at):
    """Returns a record of lookups that targets run at 10.0 s, two of each."""
    result = copies(
        sent_request(Kind.SAFE, deadly=True), run(), run(target="t9"), count=2
    )
    result.deadly_lookup_crashes = [1.0, 2.0, third_crash_at]
    return result


def after_its_statement(after_s):
    """Returns a record of a request to a target that said it is leaving."""
    first = sent_request(request_id="a", sent_at=9.0, ended_at=10.0)
    later = sent_request(sent_at=10.0 + after_s, ended_at=20.0)
    runs = {
        "a": [run(request_id="a", says_leaving=True)],
        REQUEST_ID: [run(started_at=14.0)],
    }
    return Record(requests={"a": first, REQUEST_ID: later}, runs=runs)


def denied(request, status=404):
    return dataclasses.replace(request, status=status, signature="", body=b"")


def denied_after_served(after_s):
    """Returns a record of a route that is served and later denied."""
    served = dataclasses.replace(ADDED_REQUEST, request_id="a", sent_at=9.9)
    later = dataclasses.replace(
        denied(ADDED_REQUEST), sent_at=10.0 + after_s, ended_at=10.9
    )
    runs = {"a": [run(request_id="a", service="c1", started_at=10.0)]}
    requests = {"a": served, REQUEST_ID: later}
    return Record(requests=requests, runs=runs, versions=JUST_ADDED)


STREAM = sent_request(Kind.STREAM)
CUT_REQUEST = sent_request(complete=False, status=0, ended_at=12.0)
STOP = Disturbance("n1", 10.5, 13.0, planned=True)
FAULT = Disturbance("t2", 9.0, 9.5)
ABANDONED_REQUEST = sent_request(
    Kind.SAFE, abandoned=True, complete=False, ended_at=11.0
)
LATE_REQUEST = sent_request(Kind.SAFE, status=0, complete=False, ended_at=13.6)
CONFIG = sent_request(Kind.CONFIG)
VERSIONS = [Version(1, {}, 5.0, 5.0), Version(2, {}, 9.0, 9.0)]
# Requests are sent at 10.0 s, so that versions acknowledged until 7.5 s must
# have been applied.
PERMANENT = {(HOST, "/safe/"): frozenset({"plain"})}
ADDED = {**PERMANENT, (HOST, "/added/"): frozenset({"c1", "c2"})}
FIRST_VERSION = Version(1, PERMANENT, 1.0, 1.0)
LONG_ADDED = [FIRST_VERSION, Version(2, ADDED, 7.3, 7.4)]
JUST_ADDED = [FIRST_VERSION, Version(2, ADDED, 7.5, 7.6)]
LONG_REMOVED = [Version(1, ADDED, 1.0, 1.0), Version(2, PERMANENT, 7.3, 7.4)]
JUST_REMOVED = [Version(1, ADDED, 1.0, 1.0), Version(2, PERMANENT, 7.5, 7.6)]
ADDED_REQUEST = sent_request(Kind.ADDED, path=f"/added/{REQUEST_ID}")
PERMANENT_REQUEST = sent_request(Kind.SAFE, path=f"/safe/{REQUEST_ID}")
BROKEN = {
    "unasked": (Record(runs={"q9": [run()]}), record(sent_request(), run())),
    "twice": (
        record(sent_request(), run(), run()),
        record(sent_request(Kind.SAFE), run()),
    ),
    "refused": (
        record(sent_request(status=503), run()),
        record(sent_request(status=503)),
    ),
    "mixed": (
        record(sent_request(), run(signature="x")),
        record(sent_request(), run()),
    ),
    "order": (
        record(dataclasses.replace(STREAM, body=COMPLETE_STREAM[:-20]), run()),
        record(STREAM, run()),
    ),
    "overlap": (
        record(
            STREAM, run(ended_at=12.0), run(started_at=11.0, resumed_after=2)
        ),
        record(
            STREAM, run(ended_at=11.3), run(started_at=11.0, resumed_after=2)
        ),
    ),
    "drain": (
        record(sent_request(), run(), leaving_since={"t1": 7.4}),
        record(sent_request(), run(), leaving_since={"t1": 7.6}),
    ),
    "config": (
        Record(
            requests={
                "a": dataclasses.replace(CONFIG, request_id="a", sent_at=9.4),
                "b": dataclasses.replace(CONFIG, request_id="b", sent_at=10.0),
            },
            runs={
                "a": [run(request_id="a", service="c2", started_at=9.5)],
                "b": [run(request_id="b", service="c1", started_at=10.1)],
            },
            versions=VERSIONS,
        ),
        record(CONFIG, run(service="c1"), versions=VERSIONS),
    ),
    "denied": (
        record(denied(ADDED_REQUEST), versions=LONG_ADDED),
        record(denied(ADDED_REQUEST), versions=JUST_ADDED),
    ),
    "route": (
        record(ADDED_REQUEST, run(service="c1"), versions=LONG_REMOVED),
        record(ADDED_REQUEST, run(service="c1"), versions=JUST_REMOVED),
    ),
    "untold": (
        record(ADDED_REQUEST, versions=[FIRST_VERSION]),
        record(denied(ADDED_REQUEST), versions=[FIRST_VERSION]),
    ),
    "regress": (
        denied_after_served(after_s=0.3),
        denied_after_served(after_s=0.2),
    ),
    "one": (
        orders(("n1", 4, 1.0), ("n2", 7, 3.9)),
        orders(("n1", 4, 1.0), ("n2", 7, 4.1)),
    ),
    "limit": (Record(engine_faults=["e1: 280000 MB"]), Record()),
    "lost": (
        record(CUT_REQUEST, run(), disturbances=[STOP]),
        record(CUT_REQUEST, run(), disturbances=[STOP, FAULT]),
    ),
    "gone": (
        copies(ABANDONED_REQUEST, run(ended_at=11.6)),
        copies(ABANDONED_REQUEST, run(ended_at=11.4)),
    ),
    "budget": (
        deadly(5.0),
        deadly(6.5),
    ),
    "repeats": (
        deadly_lookups(5.0),
        deadly_lookups(6.5),
    ),
    "answered": (copies(LATE_REQUEST), copies(LATE_REQUEST, count=7)),
    "leaving": (
        after_its_statement(2.6),
        after_its_statement(2.4),
    ),
    "memory": (
        Record(peaks_mb=[("n1", 160.5)]),
        Record(peaks_mb=[("n1", 159.5)]),
    ),
}


@pytest.mark.parametrize("rule", checks.CHECKS)
def test_each_check_finds_its_violation(rule):
    """A check that never fails would hide the fault that it looks for."""
    broken, sound = BROKEN[rule]
    assert [v.rule for v in checks.CHECKS[rule](broken)] == [rule]
    assert not list(checks.CHECKS[rule](sound))


RECENT_FAULT = Disturbance("n1", 6.5, 7.0)


def wrong(request, versions, *disturbed):
    observed = record(request, versions=versions, disturbances=list(disturbed))
    return [v.subject for v in checks.judge(observed).wrong]


@pytest.mark.parametrize("status", [301, 400, 401, 403, 413, 431])
def test_valid_request_gets_no_final_status_but_404(status):
    """Callers do not retry after a 400, even though the route exists."""
    for request in (PERMANENT_REQUEST, ADDED_REQUEST):
        assert wrong(denied(request, status), LONG_ADDED) == [REQUEST_ID]
        assert wrong(denied(request, status), LONG_ADDED, RECENT_FAULT)


def test_permanent_route_is_never_denied():
    """An instance without a configuration must answer 503, not 404."""
    assert wrong(denied(PERMANENT_REQUEST), LONG_ADDED, RECENT_FAULT) == [
        REQUEST_ID
    ]
    assert wrong(denied(PERMANENT_REQUEST, 503), LONG_ADDED) == []


def test_late_route_is_wrong_only_at_an_undisturbed_instance():
    """The bound holds only if neither instance nor store was disturbed."""
    assert wrong(denied(ADDED_REQUEST), LONG_ADDED) == [REQUEST_ID]
    for span in (RECENT_FAULT, Disturbance("store", 6.5, 7.0)):
        assert wrong(denied(ADDED_REQUEST), LONG_ADDED, span) == []
    assert wrong(
        denied(ADDED_REQUEST), LONG_ADDED, Disturbance("n2", 6.5, 11.0)
    ) == [REQUEST_ID]


def test_route_may_be_denied_while_it_changes():
    """Both answers are right from the sending of a version to the bound."""
    for versions in (JUST_ADDED, JUST_REMOVED):
        verdict = checks.judge(record(denied(ADDED_REQUEST), versions=versions))
        assert (verdict.right, verdict.changing, verdict.wrong) == (0, 1, [])
    # A version that is sent after the answer cannot be in force.
    later = [Version(1, ADDED, 1.0, 1.0), Version(2, PERMANENT, 10.3, 10.4)]
    assert wrong(denied(ADDED_REQUEST), later) == [REQUEST_ID]
    # The store accepted this version, but did not acknowledge it.
    unacked = [FIRST_VERSION, Version(2, ADDED, 2.0)]
    assert wrong(denied(ADDED_REQUEST), unacked) == []


def test_denial_of_removed_and_unknown_routes_is_right():
    """The traffic includes requests that no version in force allows."""
    unknown = dataclasses.replace(PERMANENT_REQUEST, host="never.example")
    for request, versions in (
        (ADDED_REQUEST, LONG_REMOVED),
        (unknown, LONG_ADDED),
        (dataclasses.replace(unknown, host=HOST, path="/safe"), LONG_ADDED),
    ):
        verdict = checks.judge(record(denied(request), versions=versions))
        assert (verdict.right, verdict.changing, verdict.wrong) == (1, 0, [])


def test_status_of_a_target_is_not_judged():
    """A 4xx with a signature is the target's answer."""
    assert wrong(sent_request(path="/safe/q", status=400), LONG_ADDED) == []
    for status in checks.NON_FINAL_STATUSES:
        assert wrong(denied(PERMANENT_REQUEST, status), LONG_ADDED) == []


def test_execution_at_a_service_of_no_version_is_found_after_a_fault():
    """Some version that was sent must route the request to its service."""
    elsewhere = record(
        ADDED_REQUEST, run(service="plain"), versions=LONG_REMOVED
    )
    elsewhere.disturbances.append(RECENT_FAULT)
    violations = checks.requests_run_where_routed(elsewhere)
    assert [v.rule for v in violations] == ["route"]


def test_unknown_routes_without_404_are_found():
    """An instance that answers 503 on unknown routes hides its state."""
    refused = copies(denied(ADDED_REQUEST, 503))
    refused.versions = [FIRST_VERSION]
    violations = checks.unknown_routes_get_404(refused)
    assert [v.rule for v in violations] == ["untold"]


def test_longest_prefix_decides():
    """After a removal the enclosing route serves the paths again."""
    nested = {**PERMANENT, (HOST, "/safe/x/"): frozenset({"c3"})}
    for routes, service in ((nested, "c3"), (PERMANENT, "plain")):
        version = Version(1, routes, 1.0, 1.0)
        assert version.services_of(HOST, "/safe/x/q1") == {service}


def test_operator_adds_removes_and_sends_large_versions():
    """Without such changes the soak could not detect wrong 404s."""
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
    permanent = set.intersection(*(set(routes) for routes in versions))
    assert permanent == set(versions[0]) and len(permanent) == 4


def test_versions_name_the_services_that_they_use():
    """All services were in each version, so none was ever added (CONFIG)."""
    series = configurations.Series(7)
    named = []
    for _ in range(20):
        document = msgspec.json.decode(series.advance())
        named.append({s["name"] for s in document["services"]})
        assert frozenset().union(*series.routes.values()) <= named[-1]
    assert any(later - earlier for earlier, later in itertools.pairwise(named))


def test_second_holder_with_an_old_fence_is_found():
    """Fences must not decrease, however late an order arrives."""
    violations = checks.one_instance_gives_orders(
        orders(("n1", 7, 1.0), ("n2", 4, 9.0))
    )
    assert [v.rule for v in violations] == ["one"]


def test_missing_recovery_is_found():
    """After recovery at least a quarter of the requests must be served."""
    failed = copies(sent_request(sent_at=30.0, status=503))
    assert [v.rule for v in checks.recovered(failed, 10.0)] == ["recover"]
    assert not list(checks.recovered(copies(sent_request(sent_at=30.0)), 10.0))


def test_starved_soak_reports_no_violation():
    """Timing checks must not depend on the load of the machine."""
    broken, _ = BROKEN["gone"]
    broken.disturbances.append(Disturbance("machine", 11.0, 11.4))
    assert not list(checks.work_ends_when_its_caller_disconnects(broken))


def test_seed_decides_the_schedule():
    """A failure is investigated by running its seed again."""
    assert schedule.draw(7, 60.0) == schedule.draw(7, 60.0)
    assert schedule.draw(7, 60.0) != schedule.draw(8, 60.0)
    drawn = {s.kind for n in range(40) for s in schedule.draw(n, 60.0)}
    assert drawn == set(schedule.KINDS) | set(schedule.LATER_KINDS)


def test_losses_leave_the_other_steps_as_they_are():
    """Seeds that have found a fault must still play it."""
    for seed in range(20):
        steps = schedule.draw_with_losses(seed, 60.0)
        others = [s for s in steps if s.kind != schedule.RESTORED_KIND]
        assert others == schedule.draw(seed, 60.0)
        assert (len(steps) > len(others)) == (seed % 3 != 0)


async def test_short_soak_keeps_the_promises(tmp_path: pathlib.Path):
    """Runs real programs under faults; see docs/OPERATIONS.md on failures."""
    directories = [tmp_path / str(seed) for seed in CI_SEEDS]
    for directory in directories:
        directory.mkdir()
    results = await asyncio.gather(
        *(
            play(
                seed,
                schedule.draw(seed, CI_SECONDS),
                CI_INSTANCES,
                directory,
                CI_PER_S,
            )
            for seed, directory in zip(CI_SEEDS, directories, strict=True)
        )
    )
    for seen, violations in results:
        assert_kept(seen, violations)


async def test_short_soak_with_a_store_that_goes_back(tmp_path: pathlib.Path):
    """What the store has lost must not break a promise afterwards."""
    steps = schedule.draw_with_losses(LOSS_SEED, CI_SECONDS)
    assert schedule.RESTORED_KIND in {step.kind for step in steps}
    assert_kept(*await play(LOSS_SEED, steps, CI_INSTANCES, tmp_path, CI_PER_S))


def assert_kept(seen, violations):
    assert violations == []
    served = [a for a in seen.requests.values() if a.status == 200]
    assert len(served) > len(seen.requests) / 2 > 50


@pytest.mark.memory_network
async def test_target_leaves_without_a_report():
    """Covers a target whose entry is removed while it still serves.

    The soak check `drain` looks for requests that still reach it.
    """
    store, seen = storestandin.StoreStandin(), Record()
    target = targets.Target(
        "plain-0", "plain", "dc-a", store, seen, random.Random(1)
    )
    await target.start()
    await asyncio.sleep(targets.HEARTBEAT_INTERVAL_S)
    assert (await store.data.range("servers/")).values
    leaving = asyncio.create_task(target.leave(reported=False))
    await asyncio.sleep(2 * targets.HEARTBEAT_INTERVAL_S)
    assert not (await store.data.range("servers/")).values
    assert target.alive and target.identity in seen.leaving_since
    await leaving
    assert not target.alive


@pytest.mark.memory_network
async def test_store_goes_back_again_after_a_long_absence():
    """The soak ended with an IndexError: its copy was too old by the return."""
    store = storestandin.StoreStandin()
    copies = backups.Backups(store)
    copying = asyncio.create_task(copies.run())
    await asyncio.sleep(2 * backups.MAX_LOST_S)
    for _ in range(2):
        await copies.lose(backups.MAX_LOST_S, 4.0, False, True)
    copying.cancel()
    assert not store.down
