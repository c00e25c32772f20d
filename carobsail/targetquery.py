"""Decides where a described request would go, without sending it.

Operators ask this with `carobsailctl where`. The decision is that of callers'
requests, but it changes nothing: it counts no request, draws from a random
source of its own, and drops no expired targets. Suspicions of crashes depend on
the body of a request and are not asked.
"""

import dataclasses
import math
import random
from collections.abc import Callable, Mapping
from typing import Annotated

import msgspec

from carobsail import (
    calls,
    clientaccounts,
    decisiontrace,
    errors,
    headercodec,
    routetable,
    targetchoice,
    targetregistry,
    targetselection,
    wherereport,
)
from carobsail.wherereport import Outcome, Report

# Targets that a report lists at most; others are only counted.
MAX_CANDIDATES = 200

_Tokens = Annotated[int, msgspec.Meta(ge=0, le=10_000_000)]


class RequestDescription(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """A request as an operator describes it; it names no key.

    Attributes:
      host: Host that it is for.
      path: Path.
      model: Model, or empty.
      adapter: Adapter, or empty.
      prompt_tokens: Tokens of its prompt.
      answer_tokens: Maximum number of tokens to be generated.
      account: Name of the client account that sends it, or empty.
      timeout_s: Seconds after which its caller stops waiting; 0 if the caller
        states none.
    """

    host: str
    path: str
    model: str = ""
    adapter: str = ""
    prompt_tokens: _Tokens = 0
    answer_tokens: _Tokens = 0
    account: str = ""
    timeout_s: Annotated[float, msgspec.Meta(ge=0, le=86_400)] = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class InstanceView:
    """State of an instance on which a decision depends.

    Attributes:
      table: Active configuration, or None.
      selector: Chooses targets.
      instance_count: Number of known instances, including this one.
      stops_at: Time at which requests in flight end, or None.
      draining: Whether requests that could last beyond that are refused.
      limit_left: Returns what an account's limit leaves, None if not known.
    """

    table: routetable.RouteTable | None
    selector: targetselection.TargetSelector
    instance_count: int
    stops_at: float | None
    draining: bool
    limit_left: Callable[[clientaccounts.ClientAccount], float | None] = (
        lambda _: None
    )


def parse_query(
    query: Mapping[str, str],
) -> RequestDescription | errors.Failure:
    """Returns the request that the fields of a query describe."""
    try:
        return msgspec.convert(dict(query), RequestDescription, strict=False)
    except msgspec.ValidationError as error:
        return errors.Failure(
            errors.Reason.INVALID,
            errors.Step.READ,
            "operator",
            detail=str(error),
        )


def decide(
    view: InstanceView,
    described: RequestDescription,
    now: float,
    rng: random.Random,
) -> Report:
    """Returns where a request would go now, and why.

    Args:
      view: State of the instance.
      described: The request.
      now: Time of the event loop's clock in seconds.
      rng: Random source that nothing else uses.
    """
    table = view.table
    if table is None:
        outcome = _refusal(503, errors.Reason.NOT_READY)
        return Report(outcome=outcome, instances=view.instance_count)
    route = table.match(described.host, described.path)
    if route is None:
        outcome = _refusal(404, errors.Reason.UNKNOWN_PATH)
        return Report(
            outcome=outcome,
            version=table.version,
            instances=view.instance_count,
        )
    account = None
    if table.accounts is not None and not route.anonymous:
        account = table.accounts.accounts.get(described.account)
        if account is None:
            return Report(
                outcome=_refusal(401, errors.Reason.UNAUTHENTICATED),
                version=table.version,
                route=route.name,
                instances=view.instance_count,
            )
    metadata = headercodec.RequestMetadata(
        "",
        described.host,
        described.timeout_s or None,
        described.model,
        described.adapter,
        described.prompt_tokens,
        described.answer_tokens,
    )
    requirements = targetselection.make_requirements(
        metadata, route, route.pick_service(rng), now
    )
    rank = calls.request_rank(route, account)
    calls.complete_requirements(
        requirements, metadata, route, rank, view.instance_count
    )
    service = requirements.service
    registry = view.selector.registry
    known = registry.known_of_service(service)
    trace = decisiontrace.RecordedTrace()
    usable = [t for t in known if not t.leaving]
    trace.keep("is leaving", known, usable)
    listed = [t for t in usable if not registry.is_expired(t, now)]
    trace.keep("its entry expired", usable, listed)
    if view.draining and targetselection.may_outlast(
        view.stops_at, metadata, route, now
    ):
        outcome = _refusal(503, errors.Reason.LEAVING, targetchoice.MIN_RETRY_S)
    else:
        outcome = _outcome(
            view.selector.decide(
                requirements,
                (),
                table,
                view.instance_count,
                view.stops_at,
                rng.random(),
                now,
                listed,
                view.selector.latency_models.peek(service),
                trace,
            ),
            now,
        )
    candidates = [_candidate(t, trace, outcome.target, now) for t in known]
    candidates.sort(key=_order)
    return Report(
        outcome=outcome,
        version=table.version,
        account=account.name if account else "",
        route=route.name,
        service=service,
        rank=rank,
        limit_left=view.limit_left(account) if account else None,
        instances=view.instance_count,
        others_per_s=requirements.remote_requests_per_s,
        candidates=candidates[:MAX_CANDIDATES],
        omitted=max(0, len(candidates) - MAX_CANDIDATES),
    )


def _outcome(choice: targetchoice.Choice, now: float) -> Outcome:
    if isinstance(choice, targetchoice.Send):
        return Outcome(
            action="send", target=choice.target.entry.identity, late=choice.late
        )
    if isinstance(choice, targetchoice.Wait):
        return Outcome(
            action="wait", reason=choice.reason, wait_s=choice.until - now
        )
    return Outcome(
        action="refuse",
        reason=choice.reason,
        status=503,
        retry_after_s=choice.retry_after_s,
    )


def _refusal(
    status: int, reason: errors.Reason, retry_after_s: float | None = None
) -> Outcome:
    return Outcome(
        action="refuse",
        reason=str(reason),
        status=status,
        retry_after_s=retry_after_s,
    )


def _candidate(
    target: targetregistry.Target,
    trace: decisiontrace.RecordedTrace,
    chosen: str,
    now: float,
) -> wherereport.CandidateReport:
    identity = target.entry.identity
    send = trace.considered.get(identity)
    note = trace.ruled_out.get(identity, "")
    return wherereport.CandidateReport(
        target=identity,
        data_centre=target.entry.data_centre,
        note="chosen" if identity == chosen else note,
        cost_s=send.cost_s if send else None,
        first_s=send.forecast.first_s if send else None,
        end_s=send.forecast.end_s if send else None,
        in_flight=target.in_flight,
        prompt_tokens=target.prompt_tokens,
        others_in_flight=target.others_in_flight,
        others_prompt_tokens=target.others_prompt_tokens,
        others_age_s=_age_s(target.others_reported_at, now),
        reported_running=target.reported_running,
        reported_waiting=target.reported_waiting,
        reported_age_s=_age_s(target.reported_at, now),
        pace_age_s=_age_s(target.pace.stated_at, now),
        failure_share=target.failure_share,
        available_in_s=max(0.0, target.available_at - now),
    )


def _age_s(at: float, now: float) -> float | None:
    return now - at if math.isfinite(at) else None


def _order(
    candidate: wherereport.CandidateReport,
) -> tuple[bool, bool, float, str]:
    cost_s = candidate.cost_s
    return (
        candidate.note != "chosen",
        bool(candidate.note),
        math.inf if cost_s is None else cost_s,
        candidate.target,
    )
