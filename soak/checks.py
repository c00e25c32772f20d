"""Checks the observations of callers and targets against the promises.

The bounds are those that the users' pages give for a site of seven instances.
Each check is registered under the name of the rule that it checks, and its
docstring describes the violation.
"""

import dataclasses
from collections.abc import Callable, Iterator

from soak.records import (
    CONFIG_SERVICES,
    MEMORY_MB,
    CallerRequest,
    Kind,
    Record,
    Run,
    Version,
    expected_body,
    expected_event,
    expected_event_count,
)

# Bounds of the smallest site.
# Requests may still reach a target for this long after it started to leave.
DRAIN_BOUND_S = 2.5
# Most checks skip a request if a part involved was disturbed within this time.
CONTACT_BOUND_S = 4.0
# Minimum time between orders of two instances to the same engine.
LEASE_S = 3.0
# Orders that an instance sends so soon after it resumed are not checked.
RESUMED_SLACK_S = 0.3
# Requests sent so soon after a newer version was observed may get an older one.
ROLLBACK_SLACK_S = 0.25
# Maximum time from the acknowledgement of a version until instances apply it.
APPLY_BOUND_S = 2.5
# Maximum time for which a target works on after its caller has disconnected.
CANCEL_BOUND_S = 0.5
# Maximum time for which an engine works on after its stream moved elsewhere.
STREAM_OVERLAP_BOUND_S = 0.4
# Maximum time by which a final answer may exceed the request's time-out.
TIMEOUT_SLACK_S = 0.5
# Maximum time from the end of the last fault until service is back.
RECOVERY_BOUND_S = 12.0
# More abandoned requests than this number, and than this share (a quarter),
# whose execution goes on after the bound are a violation.
TOLERATED_CANCELS = 3
TOLERATED_CANCEL_SHARE = 0.25
# After recovery at least this share of the requests (a quarter) is served.
MIN_SERVED_SHARE = 0.25
# Of the requests that reach their time-out, more than this number without a
# final answer (eight or more), and than this share (a quarter), are a
# violation.
TOLERATED_UNANSWERED = 7
TOLERATED_UNANSWERED_SHARE = 0.25
# Of the requests that no version allows, more than this number without a 404,
# and than this share, are a violation.
TOLERATED_UNTOLD = 3
TOLERATED_UNTOLD_SHARE = 0.25
# Statuses of 3xx and 4xx that are not final.
NON_FINAL_STATUSES = frozenset({408, 421, 429})
# Crashes after which prompts with one part must stay away from engines, and
# number of them that may still reach engines.
CRASHES_BEFORE_BOUND = 5
TOLERATED_DEADLY_PROMPTS = 3
# The same for one request that is repeated as it is.
LOOKUP_CRASHES_BEFORE_BOUND = 3
TOLERATED_DEADLY_LOOKUPS = 3
# Statuses that promise that a request was not executed and never will be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """A promise that was broken."""

    rule: str
    subject: str
    detail: str


Check = Callable[[Record], Iterator[Violation]]
CHECKS: dict[str, Check] = {}


def check(rule: str) -> Callable[[Check], Check]:
    """Returns a decorator that registers the check of a rule."""

    def register(function: Check) -> Check:
        CHECKS[rule] = function
        return function

    return register


def run_all(record: Record) -> list[Violation]:
    """Returns all violations, ordered by rule."""
    return [v for function in CHECKS.values() for v in function(record)]


def _requests_with_runs(
    record: Record,
) -> Iterator[tuple[CallerRequest, list[Run]]]:
    for name, request in record.requests.items():
        yield request, record.runs.get(name, [])


@check("unasked")
def only_sent_requests_run(record: Record) -> Iterator[Violation]:
    """A target executes a request that no caller sent."""
    for name in record.runs.keys() - record.requests.keys():
        yield Violation("unasked", name, "no caller sent it")


@check("twice")
def unsafe_requests_run_once(record: Record) -> Iterator[Violation]:
    """A request that must not be repeated is executed more than once."""
    for request, runs in _requests_with_runs(record):
        if request.kind is Kind.UNSAFE and len(runs) > 1:
            where = ", ".join(r.target for r in runs)
            yield Violation("twice", request.request_id, f"ran at {where}")


@check("refused")
def refused_requests_did_not_run(record: Record) -> Iterator[Violation]:
    """An answer says that a request was not executed, but it was."""
    for request, runs in _requests_with_runs(record):
        once_only = request.kind is Kind.UNSAFE
        if once_only and runs and request.status in NOT_RUN_STATUSES:
            detail = f"status {request.status}, ran at {runs[0].target}"
            yield Violation("refused", request.request_id, detail)


@check("mixed")
def answers_are_complete_and_their_own(record: Record) -> Iterator[Violation]:
    """A successful answer is not the complete one of the request's own run."""
    for request, runs in _requests_with_runs(record):
        if not 200 <= request.status < 300 or not request.complete:
            continue
        if request.signature not in {run.signature for run in runs}:
            yield Violation("mixed", request.request_id, "signature of no run")
        elif request.kind is not Kind.STREAM:
            if request.body != expected_body(request.request_id):
                yield Violation("mixed", request.request_id, "not its own body")


@check("order")
def streams_are_in_order(record: Record) -> Iterator[Violation]:
    """A stream omits or repeats an event, or is ended early as complete."""
    for request, _ in _requests_with_runs(record):
        if request.kind is not Kind.STREAM or not 200 <= request.status < 300:
            continue
        count = expected_event_count(request.request_id)
        complete_stream = b"".join(
            expected_event(request.request_id, n) for n in range(1, count + 1)
        )
        if not complete_stream.startswith(request.body):
            yield Violation(
                "order", request.request_id, "wrong bytes in the stream"
            )
        elif request.complete and request.body != complete_stream:
            yield Violation(
                "order", request.request_id, "ended early as complete"
            )


@check("overlap")
def resumed_streams_run_alone(record: Record) -> Iterator[Violation]:
    """A stream is resumed at another engine while the first still works."""
    for request, runs in _requests_with_runs(record):
        base = {request.instance}
        for first, second in zip(runs, runs[1:], strict=False):
            overlap_s = (first.ended_at or float("inf")) - second.started_at
            subjects = base | {first.target, second.target}
            start = second.started_at - CONTACT_BOUND_S
            undisturbed = record.undisturbed(
                subjects, start, second.started_at + STREAM_OVERLAP_BOUND_S
            )
            if (
                second.resumed_after
                and overlap_s > STREAM_OVERLAP_BOUND_S
                and undisturbed
            ):
                detail = f"{first.target} worked on for {overlap_s:.2f} s"
                yield Violation("overlap", request.request_id, detail)


@check("drain")
def leaving_targets_get_no_requests(record: Record) -> Iterator[Violation]:
    """A request reaches a target that has been leaving for too long."""
    for request, runs in _requests_with_runs(record):
        for run in runs:
            since_s = run.started_at - record.leaving_since.get(
                run.target, 1e18
            )
            subjects = {request.instance, "store", run.target}
            start = run.started_at - since_s - CONTACT_BOUND_S
            if since_s > DRAIN_BOUND_S and record.undisturbed(
                subjects, start, run.started_at
            ):
                detail = f"{since_s:.2f} s after {run.target} left"
                yield Violation("drain", request.request_id, detail)


@check("leaving")
def targets_that_say_so_get_no_requests(record: Record) -> Iterator[Violation]:
    """An instance sends to a target too long after it passed on its word."""
    told_at: dict[tuple[str, str, int], float] = {}
    for request, runs in _requests_with_runs(record):
        if runs and runs[-1].says_leaving and request.complete:
            key = (request.instance, runs[-1].target, runs[-1].born)
            told_at[key] = min(request.ended_at, told_at.get(key, 1e18))
    for request, runs in _requests_with_runs(record):
        for run in runs:
            key = (request.instance, run.target, run.born)
            told = told_at.get(key, 1e18)
            late_s = request.sent_at - told - DRAIN_BOUND_S
            if late_s > 0.0 and record.undisturbed(
                {request.instance}, told, run.started_at
            ):
                detail = f"{late_s:.2f} s too late to {run.target}"
                yield Violation("leaving", request.request_id, detail)


@check("config")
def configurations_do_not_go_back(record: Record) -> Iterator[Violation]:
    """An instance applies an older version than to an earlier request."""
    newest_seen: dict[tuple[str, int], tuple[int, float]] = {}
    probes = [
        (runs[0], request)
        for request, runs in _requests_with_runs(record)
        if request.kind is Kind.CONFIG and runs
    ]
    for run, request in sorted(probes, key=lambda p: p[0].started_at):
        newest = max(
            (v.number for v in record.versions if v.sent_at <= run.started_at),
            default=0,
        )
        # The newest version sent so far whose route leads to this service.
        age = (newest - int(run.service[1:])) % CONFIG_SERVICES
        version = newest - age
        key = (request.instance, request.incarnation)
        known, at = newest_seen.get(key, (0, 0.0))
        if version < known and request.sent_at > at + ROLLBACK_SLACK_S:
            detail = f"version {version} after {known} at {request.instance}"
            yield Violation("config", request.request_id, detail)
        if version > known:
            newest_seen[key] = (version, run.started_at)


def apply_bound_holds(
    record: Record, request: CallerRequest, until: float
) -> bool:
    """Whether the apply bound holds for a request.

    It does if neither the instance nor the store was disturbed shortly before
    the request was sent or until it was handled.
    """
    subjects = {request.instance, "store"}
    return record.undisturbed(
        subjects, request.sent_at - CONTACT_BOUND_S, until
    )


def possible_versions(
    record: Record, request: CallerRequest, until: float
) -> list[Version]:
    """Returns the versions that may be in force while a request is in flight.

    Where the apply bound holds, they start with the newest version that was
    acknowledged longer than the bound before the request was sent; elsewhere
    any older version may still be in force.

    Args:
      record: The observations.
      request: The request.
      until: Latest time at which it was handled; versions sent later do not
        count.
    """
    oldest = 0
    if apply_bound_holds(record, request, until):
        due_at = request.sent_at - APPLY_BOUND_S
        oldest = max(
            (v.number for v in record.versions if v.acked_at <= due_at),
            default=0,
        )
    return [
        v for v in record.versions if v.number >= oldest and v.sent_at <= until
    ]


def _describe(request: CallerRequest, versions: list[Version]) -> str:
    return (
        f"{request.host}{request.path} at {request.instance} sent "
        f"{request.sent_at:.2f} s in versions {versions[0].number} to "
        f"{versions[-1].number}"
    )


@dataclasses.dataclass(slots=True)
class Verdict:
    """Judgement of the final 3xx and 4xx statuses that carobsail itself sent.

    Attributes:
      bound_applies: Number of requests for which the apply bound holds,
        whatever their status; others are judged without it.
      right: Number of 404s that are right under every version in force.
      changing: Number of 404s that are right only under some of them.
      wrong: Violations of requests that had to be served, with their status.
    """

    bound_applies: int = 0
    right: int = 0
    changing: int = 0
    wrong: list[Violation] = dataclasses.field(default_factory=list)

    def __str__(self) -> str:
        return (
            f"own 4xx: {self.right} right, {self.changing} during a change, "
            f"{len(self.wrong)} wrong; {self.bound_applies} requests in touch"
        )


def judge(record: Record) -> Verdict:
    """Judges each final 3xx or 4xx status without a target's signature.

    All callers send valid requests, so only 404 may be right.
    """
    verdict = Verdict()
    for request, _ in _requests_with_runs(record):
        verdict.bound_applies += apply_bound_holds(
            record, request, request.ended_at
        )
        from_carobsail = 300 <= request.status < 500 and not request.signature
        if not from_carobsail or request.status in NON_FINAL_STATUSES:
            continue
        versions = possible_versions(record, request, request.ended_at)
        if not versions:
            continue
        allowing_count = sum(
            bool(v.services_of(request.host, request.path)) for v in versions
        )
        if request.status != 404 or allowing_count == len(versions):
            detail = f"status {request.status}, {_describe(request, versions)}"
            verdict.wrong.append(
                Violation("denied", request.request_id, detail)
            )
        elif allowing_count:
            verdict.changing += 1
        else:
            verdict.right += 1
    return verdict


@check("denied")
def allowed_requests_are_not_denied(record: Record) -> Iterator[Violation]:
    """A request that all versions in force allow gets a final 3xx or 4xx."""
    yield from judge(record).wrong


@check("route")
def requests_run_where_routed(record: Record) -> Iterator[Violation]:
    """A request runs at a service to which no version in force routes it."""
    for request, runs in _requests_with_runs(record):
        for run in runs:
            versions = possible_versions(record, request, run.started_at)
            if versions and not any(
                run.service in v.services_of(request.host, request.path)
                for v in versions
            ):
                detail = f"ran at {run.service}, {_describe(request, versions)}"
                yield Violation("route", request.request_id, detail)


@check("untold")
def unknown_routes_get_404(record: Record) -> Iterator[Violation]:
    """Requests that no version in force allows get an answer other than 404."""
    untold: list[str] = []
    count = 0
    for request, _ in _requests_with_runs(record):
        versions = possible_versions(record, request, request.ended_at)
        if (
            not versions
            or not request.complete
            or not apply_bound_holds(record, request, request.ended_at)
            or any(v.services_of(request.host, request.path) for v in versions)
        ):
            continue
        count += 1
        if 200 <= request.status < 300:
            detail = f"status {request.status}, {_describe(request, versions)}"
            yield Violation("untold", request.request_id, detail)
        elif request.status != 404:
            untold.append(f"{request.request_id} with {request.status}")
    if (
        len(untold) > TOLERATED_UNTOLD
        and len(untold) > TOLERATED_UNTOLD_SHARE * count
    ):
        detail = f"{len(untold)} of {count}, such as {untold[0]}"
        yield Violation("untold", "callers", detail)


@check("regress")
def routes_do_not_go_back(record: Record) -> Iterator[Violation]:
    """An instance denies or serves by an older version than it did before.

    Complements `config`, which covers only executions on one route.
    """
    # Process of an instance -> (time of an observation, oldest version that
    # explains it).
    known: dict[tuple[str, int], tuple[float, int]] = {}
    for at, request, numbers in sorted(
        _explaining_versions(record), key=lambda e: e[0]
    ):
        key = (request.instance, request.incarnation)
        seen_at, oldest = known.get(key, (0.0, 0))
        if (
            max(numbers) < oldest
            and request.sent_at > seen_at + ROLLBACK_SLACK_S
        ):
            detail = (
                f"{request.host}{request.path} at {request.instance} handled "
                f"by version {max(numbers)} after {oldest}"
            )
            yield Violation("regress", request.request_id, detail)
        if min(numbers) > oldest:
            known[key] = (at, min(numbers))


def _explaining_versions(
    record: Record,
) -> Iterator[tuple[float, CallerRequest, list[int]]]:
    """Yields time, request and the versions that explain how it was handled."""
    for request, runs in _requests_with_runs(record):
        denied = request.status == 404 and not request.signature
        if not denied and not runs:
            continue
        at = request.ended_at if denied else runs[0].started_at
        # Around a restart another process may have answered.
        if not record.undisturbed(
            {request.instance}, request.sent_at - CONTACT_BOUND_S, at
        ):
            continue
        numbers = []
        for version in record.versions:
            services = version.services_of(request.host, request.path)
            fits = not services if denied else runs[0].service in services
            if version.sent_at <= at and fits:
                numbers.append(version.number)
        if numbers:
            yield at, request, numbers


@check("one")
def one_instance_gives_orders(record: Record) -> Iterator[Violation]:
    """Two instances give orders to an engine at once, or fences decrease."""
    last_orders: dict[str, list[tuple[str, int, float]]] = {}
    for order in record.orders:
        holders = last_orders.setdefault(order.engine, [])
        checked = record.undisturbed(
            {f"thaw {order.holder}"},
            order.received_at - RESUMED_SLACK_S,
            order.received_at,
        )
        if checked:
            for holder, fence, at in holders:
                if holder == order.holder:
                    continue
                if order.fence <= fence:
                    detail = f"{order.holder} with {order.fence} after {fence}"
                    yield Violation("one", order.engine, detail)
                elif order.received_at - at < LEASE_S:
                    detail = (
                        f"{order.holder} {order.received_at - at:.2f} s "
                        "after it"
                    )
                    yield Violation("one", order.engine, detail + f" {holder}")
        holders[:] = [k for k in holders if k[0] != order.holder]
        holders.append((order.holder, order.fence, order.received_at))


@check("limit")
def engines_are_not_overcommitted(record: Record) -> Iterator[Violation]:
    """An engine is ordered to load more than it can hold."""
    for detail in record.engine_faults:
        yield Violation("limit", "engine", detail)


@check("lost")
def planned_stops_cut_nothing(record: Record) -> Iterator[Violation]:
    """A planned stop cuts a request that was already being executed."""
    stops = [s for s in record.disturbances if s.planned]
    faults = {s.subject for s in record.disturbances if not s.planned}
    for request, runs in _requests_with_runs(record):
        if request.complete or request.abandoned or not runs:
            continue
        stopped = any(
            s.subject == request.instance
            and s.start <= request.ended_at <= s.end
            for s in stops
        )
        start = request.sent_at - CONTACT_BOUND_S
        if stopped and record.undisturbed(faults, start, request.ended_at):
            yield Violation("lost", request.request_id, "cut by a planned stop")


@check("gone")
def work_ends_when_its_caller_disconnects(
    record: Record,
) -> Iterator[Violation]:
    """Targets work on for callers that have disconnected."""
    late: list[str] = []
    ended = 0
    for request, runs in _requests_with_runs(record):
        if not request.abandoned or request.kind is Kind.UNSAFE or not runs:
            continue
        end = request.ended_at + CANCEL_BOUND_S
        subjects = {request.instance, *(run.target for run in runs)}
        if not record.undisturbed(subjects, end - CONTACT_BOUND_S, end):
            continue
        ended += 1
        if any((run.ended_at or 1e18) > end for run in runs):
            late.append(request.request_id)
    if (
        len(late) > TOLERATED_CANCELS
        and len(late) > TOLERATED_CANCEL_SHARE * ended
    ):
        detail = f"{len(late)} of {ended}, such as {late[0]}"
        yield Violation("gone", "callers", detail)


@check("budget")
def deadly_prompts_stay_away(record: Record) -> Iterator[Violation]:
    """Engines still get prompts with a part that has crashed five of them."""
    sent = _sent_after_crash(
        record, Kind.STREAM, record.deadly_crashes, CRASHES_BEFORE_BOUND
    )
    if len(sent) > TOLERATED_DEADLY_PROMPTS:
        detail = f"{len(sent)} sent after the fifth crash, such as {sent[0]}"
        yield Violation("budget", "engines", detail)


@check("repeats")
def deadly_lookups_stay_away(record: Record) -> Iterator[Violation]:
    """Targets still get a request that has crashed three of them."""
    sent = _sent_after_crash(
        record,
        Kind.SAFE,
        record.deadly_lookup_crashes,
        LOOKUP_CRASHES_BEFORE_BOUND,
    )
    if len(sent) > TOLERATED_DEADLY_LOOKUPS:
        detail = f"{len(sent)} sent after the third crash, such as {sent[0]}"
        yield Violation("repeats", "targets", detail)


def _sent_after_crash(
    record: Record, kind: Kind, crashed_at: list[float], number: int
) -> list[str]:
    """Returns deadly requests that reached targets too late after a crash.

    Args:
      record: What callers and targets have observed.
      kind: Kind of the deadly requests.
      crashed_at: Times of the crashes.
      number: Number of the crash, counted from 1.
    """
    if len(crashed_at) < number:
        return []
    known_at = sorted(crashed_at)[number - 1] + CONTACT_BOUND_S
    return [
        request.request_id
        for request, runs in _requests_with_runs(record)
        if request.deadly and request.kind is kind
        for run in runs
        if run.started_at > known_at
        and record.undisturbed(
            {request.instance}, known_at - CONTACT_BOUND_S, request.ended_at
        )
    ]


@check("memory")
def crowds_do_not_exhaust_memory(record: Record) -> Iterator[Violation]:
    """An instance takes more memory than its machine has."""
    for instance, peak_mb in record.peaks_mb:
        if peak_mb > MEMORY_MB:
            yield Violation("memory", instance, f"{peak_mb:.0f} MB")


@check("answered")
def every_request_gets_an_answer(record: Record) -> Iterator[Violation]:
    """Requests that reach their time-out get no final answer."""
    late: list[str] = []
    ended = 0
    for request, _ in _requests_with_runs(record):
        over_s = request.ended_at - request.sent_at - request.timeout_s
        start = request.sent_at - CONTACT_BOUND_S
        if over_s < 0.0 or not record.undisturbed(
            {request.instance}, start, request.ended_at
        ):
            continue
        ended += 1
        if over_s > TIMEOUT_SLACK_S:
            late.append(request.request_id)
    if (
        len(late) > TOLERATED_UNANSWERED
        and len(late) > TOLERATED_UNANSWERED_SHARE * ended
    ):
        detail = f"{len(late)} of {ended}, such as {late[0]}"
        yield Violation("answered", "callers", detail)


def recovered(record: Record, healed_at: float) -> Iterator[Violation]:
    """Yields a violation if service is not back within the bound."""
    late = [
        a
        for a in record.requests.values()
        if a.sent_at > healed_at + RECOVERY_BOUND_S
    ]
    served = [a for a in late if 200 <= a.status < 300 and a.complete]
    if late and len(served) < MIN_SERVED_SHARE * len(late):
        detail = f"{len(served)} of {len(late)} served"
        yield Violation("recover", "all", detail)
