"""Results of the demo's burst: the printed table and the broken promises."""

import collections
import dataclasses
from collections.abc import Iterator

from carobsail import errors, localdeployment
from carobsail.democallers import Kind, Report


@dataclasses.dataclass(slots=True)
class BurstResults:
    """Results of the burst.

    Attributes:
      reports: Results of all requests.
      repeats: First and repeated booking with the same idempotency key.
      stopped: Name of the stopped instance.
      in_flight_at_stop: Number of its requests in flight when the stop began.
    """

    reports: list[Report]
    repeats: list[tuple[Report, Report]]
    stopped: str = ""
    in_flight_at_stop: int = 0

    def cut_by_stop(self) -> list[Report]:
        """Returns the requests that the planned stop cut off."""
        return [r for r in self.reports if r.cut and r.instance == self.stopped]


def broken_promises(
    results: BurstResults, deployment: localdeployment.LocalDeployment
) -> list[str]:
    """Returns one line for each broken promise."""
    lines = []
    engines = deployment.engines()
    runs: collections.Counter[bytes] = collections.Counter()
    for engine in engines:
        runs.update(engine.bodies)
    booked = deployment.service("bookings-1").executions
    runs.update(booked)
    answered = {r.job for r in results.reports if r.answer is not None}
    for report in results.reports:
        job = report.job
        if report.answer is not None and not report.correct:
            lines.append(f"wrong answer from {report.instance}: {job}")
        not_run = report.outcome is errors.Outcome.NOT_RUN
        if not_run and runs[job.body] and job not in answered:
            lines.append(f"reported as not run, but ran: {job}")
    lines += [
        f"answered, but not run: {job}"
        for job in answered
        if job.body and not runs[job.body]
    ]
    lines += [f"ran {n} times: {b!r}" for b, n in booked.items() if n > 1]
    for first, second in results.repeats:
        both = first.answer is not None and second.answer is not None
        if both and first.body != second.body:
            lines.append(f"repeated booking differs: {first.job.body!r}")
    for engine in engines:
        lines += [
            f"{engine.target.name}: {v}" for v in engine.memory.violations
        ]
    lines += [
        f"cut by the planned stop of {r.instance}: {r.job.path} {r.reason}"
        for r in results.cut_by_stop()
    ]
    return lines


def rows(
    results: BurstResults, deployment: localdeployment.LocalDeployment
) -> Iterator[tuple[str, object]]:
    """Yields label and value of each row of the table."""
    reports = results.reports
    answered = [r for r in reports if r.answer is not None]
    late = sum(r.late for r in answered)
    yield "requests", len(reports)
    for kind in Kind:
        yield f"  {kind}", sum(r.job.kind is kind for r in reports)
    yield "answered on time", len(answered) - late
    yield "answered late", late
    failed = [r for r in reports if r.answer is None]
    for outcome in errors.Outcome:
        reasons = collections.Counter(
            r.reason for r in failed if r.outcome is outcome
        )
        shown = ", ".join(f"{k} {n}" for k, n in sorted(reasons.items()))
        total = sum(reasons.values())
        yield f"failed, {outcome}", f"{total} ({shown})" if shown else total
    orders: collections.Counter[str] = collections.Counter()
    for engine in deployment.engines():
        orders.update(engine.memory.orders)
    crashes = sum(engine.crashes for engine in deployment.engines())
    yield "engine crashes", crashes
    yield "model loads", orders["load_model"]
    yield "model unloads", orders["unload_model"]
    yield "adapter loads", orders["load_lora_adapter"]
    yield "bytes over the region link", deployment.region_link.sent_bytes
    booked = deployment.service("bookings-1").executions
    yield "bookings run once", sum(n == 1 for n in booked.values())
    yield "bookings run more than once", sum(n > 1 for n in booked.values())
    yield "repeats answered from the record", sum(r.replayed for r in answered)
    yield "in flight at the planned stop", results.in_flight_at_stop
    yield "cut by the planned stop", len(results.cut_by_stop())
