"""Report of where an instance would send a request, and its table."""

import msgspec

_COLUMNS = (
    ("target", "target"),
    ("data_centre", "dc"),
    ("cost_s", "cost s"),
    ("in_flight", "own"),
    ("prompt_tokens", "own tok"),
    ("others_in_flight", "others"),
    ("others_prompt_tokens", "others tok"),
    ("others_age_s", "age s"),
    ("reported_running", "running"),
    ("reported_waiting", "waiting"),
    ("reported_age_s", "age s"),
    ("pace_age_s", "pace age s"),
    ("failure_share", "failures"),
    ("note", "note"),
)


class CandidateReport(msgspec.Struct, frozen=True, kw_only=True):
    """A target of the request's service.

    Attributes:
      target: Identity.
      data_centre: Data centre that it runs in.
      note: `chosen`, why it was ruled out, or empty.
      cost_s: Conservative seconds to the first event, with link and failures;
        None if the decision did not come to that.
      first_s: Predicted seconds to the first event.
      end_s: Predicted seconds to the end.
      in_flight: Requests of this instance in flight.
      prompt_tokens: Prompt tokens of those without an event.
      others_in_flight: Requests of other instances in flight.
      others_prompt_tokens: Prompt tokens of those without an event.
      others_age_s: Age of the two; None if never reported.
      reported_running: Running requests as the target stated.
      reported_waiting: Waiting requests as the target stated.
      reported_age_s: Age of the two; None if never stated.
      pace_age_s: Age of its stated pace; None if never stated.
      failure_share: Moving average of the share of failed sends.
      available_in_s: Seconds until it may be chosen; 0 if now.
    """

    target: str
    data_centre: str
    note: str
    cost_s: float | None
    first_s: float | None
    end_s: float | None
    in_flight: int
    prompt_tokens: float
    others_in_flight: int
    others_prompt_tokens: float
    others_age_s: float | None
    reported_running: int
    reported_waiting: int
    reported_age_s: float | None
    pace_age_s: float | None
    failure_share: float
    available_in_s: float


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """What would happen to the request now.

    Attributes:
      action: `send`, `wait` or `refuse`.
      target: Target that it is sent to.
      late: Whether it is queued behind requests that meet their objective.
      reason: What it waits for, or why it is refused.
      wait_s: Seconds until the next decision at the latest.
      status: HTTP status of a refusal.
      retry_after_s: Seconds after which the caller may retry, before the random
        factor that is applied to them; None if not stated.
    """

    action: str
    target: str = ""
    late: bool = False
    reason: str = ""
    wait_s: float = 0.0
    status: int = 0
    retry_after_s: float | None = None


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Where a request would go now, and why.

    Attributes:
      outcome: What would happen.
      version: Version of the active configuration; 0 without one.
      account: Client account; empty if it has none.
      route: Route; empty if none matches.
      service: Service that was drawn for it.
      rank: Rank of the request; None if it was not admitted.
      limit_left: What the account's limit leaves, in its unit; None if it has
        no limit or the limit is not known.
      instances: Number of known instances.
      others_per_s: Assumed requests of the others per second for its model.
      candidates: Targets of the service: the chosen one, the others by cost,
        then those that were ruled out.
      omitted: Number of further targets that are not listed.
    """

    outcome: Outcome
    version: int = 0
    account: str = ""
    route: str = ""
    service: str = ""
    rank: int | None = None
    limit_left: float | None = None
    instances: int = 0
    others_per_s: float = 0.0
    candidates: list[CandidateReport] = []
    omitted: int = 0


def format_report(report: Report) -> tuple[str, ...]:
    """Returns the lines of a report for a terminal."""
    lines = [
        f"route {report.route or '-'}, service {report.service or '-'}, "
        f"account {report.account or '-'}, rank {_cell(report.rank)}, "
        f"limit left {_cell(report.limit_left)}",
        f"configuration {report.version}, {report.instances} instances, "
        f"others send {_cell(report.others_per_s)}/s",
        _describe(report.outcome),
    ]
    if not report.candidates:
        return tuple(lines)
    rows = [[header for _, header in _COLUMNS]]
    rows += [
        [_cell(getattr(candidate, name)) for name, _ in _COLUMNS]
        for candidate in report.candidates
    ]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines += [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
    if report.omitted:
        lines.append(f"{report.omitted} further targets are not listed")
    return tuple(lines)


def _describe(outcome: Outcome) -> str:
    if outcome.action == "send":
        late = ", behind requests that meet their objective"
        return f"send to {outcome.target}{late if outcome.late else ''}"
    if outcome.action == "wait":
        return f"wait for {outcome.reason}, at most {outcome.wait_s:.3f} s"
    retry = ""
    if outcome.retry_after_s is not None:
        retry = f", retry after {outcome.retry_after_s:.3f} s"
    return f"refuse with {outcome.status}: {outcome.reason}{retry}"


def _cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    return str(value)
