"""Checks of what callers and targets saw, against the promises.

The bounds are those of the users' pages for a site of seven instances. Each
check has the name of the rule that it guards.
"""

import dataclasses
from collections.abc import Callable, Iterator

from soak.records import (
    CONFIG_SERVICES,
    Asked,
    Kind,
    Record,
    Run,
    Version,
    body_of,
    event_of,
    events_of,
)

# Bounds of the smallest site in seconds.
DRAIN_S = 2.5
CONTACT_S = 4.0
LEASE_S = 3.0
THAW_S = 0.3
ROLLBACK_S = 0.25
APPLY_S = 2.5
GONE_S = 0.5
MOVE_S = 0.4
TIMEOUT_SLACK_S = 0.5
RECOVER_S = 12.0
# More than a few runs, and more than a quarter of them, go on after the caller
# has left; service after recovery stays below a quarter.
GONE_FEW = 3
GONE_SHARE = 0.25
RECOVER_SHARE = 0.25
# Eight or more, and over a quarter, of those whose time-out is reached.
ANSWERED_FEW = 7
ANSWERED_SHARE = 0.25
# Of the requests that no version allows, those without a 404.
UNTOLD_FEW = 3
UNTOLD_SHARE = 0.25
# Statuses of 3xx and 4xx that are not final.
PASSING = frozenset({408, 421, 429})
# Statuses that say that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """A promise that was broken."""

    rule: str
    subject: str
    detail: str


Check = Callable[[Record], Iterator[Violation]]
CHECKS: dict[str, Check] = {}


def check(rule: str) -> Callable[[Check], Check]:
    """Registers a check of a rule."""

    def register(function: Check) -> Check:
        CHECKS[rule] = function
        return function

    return register


def run_all(record: Record) -> list[Violation]:
    """Returns all violations, by rule."""
    return [v for function in CHECKS.values() for v in function(record)]


def _ask_and_runs(record: Record) -> Iterator[tuple[Asked, list[Run]]]:
    for name, asked in record.asked.items():
        yield asked, record.runs.get(name, [])


@check("unasked")
def only_asked_requests_run(record: Record) -> Iterator[Violation]:
    """A target runs a request that no caller sent."""
    for name in record.runs.keys() - record.asked.keys():
        yield Violation("unasked", name, "no caller sent it")


@check("twice")
def unsafe_requests_run_once(record: Record) -> Iterator[Violation]:
    """A request that must not be repeated runs more than once."""
    for asked, runs in _ask_and_runs(record):
        if asked.kind is Kind.UNSAFE and len(runs) > 1:
            where = ", ".join(r.target for r in runs)
            yield Violation("twice", asked.request, f"ran at {where}")


@check("refused")
def not_run_is_true(record: Record) -> Iterator[Violation]:
    """An answer says that a request has not run, and it has."""
    for asked, runs in _ask_and_runs(record):
        once_only = asked.kind is Kind.UNSAFE
        if once_only and runs and asked.status in NOT_RUN:
            detail = f"status {asked.status}, ran at {runs[0].target}"
            yield Violation("refused", asked.request, detail)


@check("mixed")
def answers_are_whole_and_ones_own(record: Record) -> Iterator[Violation]:
    """A success is not the whole answer of the request's own run."""
    for asked, runs in _ask_and_runs(record):
        if not 200 <= asked.status < 300 or not asked.complete:
            continue
        if asked.seal not in {run.seal for run in runs}:
            yield Violation("mixed", asked.request, "signature of no run")
        elif asked.kind is not Kind.STREAM:
            if asked.body != body_of(asked.request):
                yield Violation("mixed", asked.request, "not its own body")


@check("order")
def streams_are_in_order(record: Record) -> Iterator[Violation]:
    """A stream misses or repeats an event, or ends early as complete."""
    for asked, _ in _ask_and_runs(record):
        if asked.kind is not Kind.STREAM or not 200 <= asked.status < 300:
            continue
        count = events_of(asked.request)
        whole = b"".join(
            event_of(asked.request, n) for n in range(1, count + 1)
        )
        if not whole.startswith(asked.body):
            yield Violation("order", asked.request, "wrong bytes in the stream")
        elif asked.complete and asked.body != whole:
            yield Violation("order", asked.request, "ended early as complete")


@check("overlap")
def resumed_streams_run_alone(record: Record) -> Iterator[Violation]:
    """A stream goes on at another engine while the first still works."""
    for asked, runs in _ask_and_runs(record):
        around = {asked.instance}
        for first, second in zip(runs, runs[1:], strict=False):
            over = (first.ended_at or float("inf")) - second.started_at
            names = around | {first.target, second.target}
            start = second.started_at - CONTACT_S
            calm = record.calm(names, start, second.started_at + MOVE_S)
            if second.after and over > MOVE_S and calm:
                detail = f"{first.target} worked on for {over:.2f} s"
                yield Violation("overlap", asked.request, detail)


@check("drain")
def leaving_targets_get_no_requests(record: Record) -> Iterator[Violation]:
    """A request reaches a target that left longer ago than the bound."""
    for asked, runs in _ask_and_runs(record):
        for run in runs:
            since = run.started_at - record.leaving.get(run.target, 1e18)
            names = {asked.instance, "store", run.target}
            start = run.started_at - since - CONTACT_S
            if since > DRAIN_S and record.calm(names, start, run.started_at):
                detail = f"{since:.2f} s after {run.target} left"
                yield Violation("drain", asked.request, detail)


@check("config")
def configurations_do_not_go_back(record: Record) -> Iterator[Violation]:
    """An instance handles a request by an older version than before it."""
    seen: dict[tuple[str, int], tuple[int, float]] = {}
    probes = [
        (runs[0], asked)
        for asked, runs in _ask_and_runs(record)
        if asked.kind is Kind.CONFIG and runs
    ]
    for run, asked in sorted(probes, key=lambda p: p[0].started_at):
        newest = max(
            (v.number for v in record.versions if v.sent_at <= run.started_at),
            default=0,
        )
        # The newest version so far that leads to this service.
        back = (newest - int(run.service[1:])) % CONFIG_SERVICES
        version = newest - back
        key = (asked.instance, asked.incarnation)
        known, at = seen.get(key, (0, 0.0))
        if version < known and asked.sent_at > at + ROLLBACK_S:
            detail = f"version {version} after {known} at {asked.instance}"
            yield Violation("config", asked.request, detail)
        if version > known:
            seen[key] = (version, run.started_at)


def in_touch(record: Record, asked: Asked, until: float) -> bool:
    """Whether the bounds of the configuration hold for a request."""
    names = {asked.instance, "store"}
    return record.calm(names, asked.sent_at - CONTACT_S, until)


def in_force(record: Record, asked: Asked, until: float) -> list[Version]:
    """Returns the versions that may be in force while a request is under way.

    For an instance in touch they start with the newest version that was
    acknowledged longer than the apply bound before the request was sent; other
    instances may still have any older one.

    Args:
      record: What was seen.
      asked: The request.
      until: When it was handled at the latest; later versions do not count.
    """
    oldest = 0
    if in_touch(record, asked, until):
        due_at = asked.sent_at - APPLY_S
        oldest = max(
            (v.number for v in record.versions if v.acked_at <= due_at),
            default=0,
        )
    return [
        v for v in record.versions if v.number >= oldest and v.sent_at <= until
    ]


def _describe(asked: Asked, versions: list[Version]) -> str:
    return (
        f"{asked.host}{asked.path} at {asked.instance} sent "
        f"{asked.sent_at:.2f} s in versions {versions[0].number} to "
        f"{versions[-1].number}"
    )


@dataclasses.dataclass(slots=True)
class Verdict:
    """What became of final statuses of 3xx or 4xx that are carobsail's own.

    Attributes:
      in_touch: Number of requests at instances in touch, whatever they got;
        others are judged without the apply bound.
      right: Number of 404 that every version in force asks for.
      changing: Number of 404 that only some versions in force ask for.
      wrong: Requests that had to be served, with what they got.
    """

    in_touch: int = 0
    right: int = 0
    changing: int = 0
    wrong: list[Violation] = dataclasses.field(default_factory=list)

    def __str__(self) -> str:
        return (
            f"own 4xx: {self.right} right, {self.changing} during a change, "
            f"{len(self.wrong)} wrong; {self.in_touch} requests in touch"
        )


def judge(record: Record) -> Verdict:
    """Judges each final status of 3xx or 4xx that bears no signature.

    All callers are proper, so 404 is the only one that may be right.
    """
    verdict = Verdict()
    for asked, _ in _ask_and_runs(record):
        verdict.in_touch += in_touch(record, asked, asked.ended_at)
        own = 300 <= asked.status < 500 and not asked.seal
        if not own or asked.status in PASSING:
            continue
        versions = in_force(record, asked, asked.ended_at)
        if not versions:
            continue
        allowing = sum(
            bool(v.services_of(asked.host, asked.path)) for v in versions
        )
        if asked.status != 404 or allowing == len(versions):
            detail = f"status {asked.status}, {_describe(asked, versions)}"
            verdict.wrong.append(Violation("denied", asked.request, detail))
        elif allowing:
            verdict.changing += 1
        else:
            verdict.right += 1
    return verdict


@check("denied")
def allowed_requests_are_not_denied(record: Record) -> Iterator[Violation]:
    """A request that all versions in force allow is ended by a 3xx or 4xx."""
    yield from judge(record).wrong


@check("route")
def runs_are_where_a_route_leads(record: Record) -> Iterator[Violation]:
    """A request runs at a service to which no version in force leads it."""
    for asked, runs in _ask_and_runs(record):
        for run in runs:
            versions = in_force(record, asked, run.started_at)
            if versions and not any(
                run.service in v.services_of(asked.host, asked.path)
                for v in versions
            ):
                detail = f"ran at {run.service}, {_describe(asked, versions)}"
                yield Violation("route", asked.request, detail)


@check("untold")
def unknown_routes_are_told(record: Record) -> Iterator[Violation]:
    """Requests that no version in force allows get another answer than 404."""
    untold: list[str] = []
    count = 0
    for asked, _ in _ask_and_runs(record):
        versions = in_force(record, asked, asked.ended_at)
        if (
            not versions
            or not asked.complete
            or not in_touch(record, asked, asked.ended_at)
            or any(v.services_of(asked.host, asked.path) for v in versions)
        ):
            continue
        count += 1
        if 200 <= asked.status < 300:
            detail = f"status {asked.status}, {_describe(asked, versions)}"
            yield Violation("untold", asked.request, detail)
        elif asked.status != 404:
            untold.append(f"{asked.request} with {asked.status}")
    if len(untold) > UNTOLD_FEW and len(untold) > UNTOLD_SHARE * count:
        detail = f"{len(untold)} of {count}, such as {untold[0]}"
        yield Violation("untold", "callers", detail)


@check("regress")
def routes_do_not_go_back(record: Record) -> Iterator[Violation]:
    """An instance denies or serves by an older version than before it.

    Complements `config`, which sees one route only, and only its runs.
    """
    # Instance: (when it was seen, oldest version that explains what was seen).
    known: dict[tuple[str, int], tuple[float, int]] = {}
    for at, asked, numbers in sorted(_evidence(record), key=lambda e: e[0]):
        key = (asked.instance, asked.incarnation)
        seen_at, oldest = known.get(key, (0.0, 0))
        if max(numbers) < oldest and asked.sent_at > seen_at + ROLLBACK_S:
            detail = (
                f"{asked.host}{asked.path} at {asked.instance} handled by "
                f"version {max(numbers)} after {oldest}"
            )
            yield Violation("regress", asked.request, detail)
        if min(numbers) > oldest:
            known[key] = (at, min(numbers))


def _evidence(record: Record) -> Iterator[tuple[float, Asked, list[int]]]:
    """Yields what shows which versions an instance may have applied."""
    for asked, runs in _ask_and_runs(record):
        denied = asked.status == 404 and not asked.seal
        if not denied and not runs:
            continue
        at = asked.ended_at if denied else runs[0].started_at
        # Another process may have answered around a start.
        if not record.calm({asked.instance}, asked.sent_at - CONTACT_S, at):
            continue
        numbers = []
        for version in record.versions:
            services = version.services_of(asked.host, asked.path)
            fits = not services if denied else runs[0].service in services
            if version.sent_at <= at and fits:
                numbers.append(version.number)
        if numbers:
            yield at, asked, numbers


@check("one")
def one_instance_orders(record: Record) -> Iterator[Violation]:
    """Two instances order an engine at once, or fences go back."""
    last: dict[str, list[tuple[str, int, float]]] = {}
    for order in record.orders:
        known = last.setdefault(order.engine, [])
        thawed = record.calm(
            {f"thaw {order.holder}"}, order.at - THAW_S, order.at
        )
        if thawed:
            for holder, fence, at in known:
                if holder == order.holder:
                    continue
                if order.fence <= fence:
                    detail = f"{order.holder} with {order.fence} after {fence}"
                    yield Violation("one", order.engine, detail)
                elif order.at - at < LEASE_S:
                    detail = f"{order.holder} {order.at - at:.2f} s after it"
                    yield Violation("one", order.engine, detail + f" {holder}")
        known[:] = [k for k in known if k[0] != order.holder]
        known.append((order.holder, order.fence, order.at))


@check("limit")
def engines_are_not_overfilled(record: Record) -> Iterator[Violation]:
    """An engine is ordered to load more than it holds."""
    for detail in record.faults:
        yield Violation("limit", "engine", detail)


@check("lost")
def planned_stops_cut_nothing(record: Record) -> Iterator[Violation]:
    """A planned stop cuts a request that the instance had taken."""
    stops = [s for s in record.disturbed if s.planned]
    faults = {s.what for s in record.disturbed if not s.planned}
    for asked, runs in _ask_and_runs(record):
        if asked.complete or asked.left or not runs:
            continue
        stopped = any(
            s.what == asked.instance and s.start <= asked.ended_at <= s.end
            for s in stops
        )
        start = asked.sent_at - CONTACT_S
        if stopped and record.calm(faults, start, asked.ended_at):
            yield Violation("lost", asked.request, "cut by a planned stop")


@check("gone")
def work_ends_with_its_caller(record: Record) -> Iterator[Violation]:
    """Engines work on for callers that have left."""
    late: list[str] = []
    ended = 0
    for asked, runs in _ask_and_runs(record):
        if not asked.left or asked.kind is Kind.UNSAFE or not runs:
            continue
        end = asked.ended_at + GONE_S
        names = {asked.instance, *(run.target for run in runs)}
        if not record.calm(names, end - CONTACT_S, end):
            continue
        ended += 1
        if any((run.ended_at or 1e18) > end for run in runs):
            late.append(asked.request)
    if len(late) > GONE_FEW and len(late) > GONE_SHARE * ended:
        detail = f"{len(late)} of {ended}, such as {late[0]}"
        yield Violation("gone", "callers", detail)


@check("answered")
def every_request_gets_an_answer(record: Record) -> Iterator[Violation]:
    """Requests whose time is used up get no final answer."""
    late: list[str] = []
    ended = 0
    for asked, _ in _ask_and_runs(record):
        over_s = asked.ended_at - asked.sent_at - asked.patience_s
        start = asked.sent_at - CONTACT_S
        if over_s < 0.0 or not record.calm(
            {asked.instance}, start, asked.ended_at
        ):
            continue
        ended += 1
        if over_s > TIMEOUT_SLACK_S:
            late.append(asked.request)
    if len(late) > ANSWERED_FEW and len(late) > ANSWERED_SHARE * ended:
        detail = f"{len(late)} of {ended}, such as {late[0]}"
        yield Violation("answered", "callers", detail)


def recovered(record: Record, healed_at: float) -> Iterator[Violation]:
    """Service is back within the bound after the last fault."""
    late = [
        a for a in record.asked.values() if a.sent_at > healed_at + RECOVER_S
    ]
    served = [a for a in late if 200 <= a.status < 300 and a.complete]
    if late and len(served) < RECOVER_SHARE * len(late):
        detail = f"{len(served)} of {len(late)} served"
        yield Violation("recover", "all", detail)
