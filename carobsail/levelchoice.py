"""Chooses among targets that state their pace, by figures that have aged.

Load pattern: 330 instances choose by figures that are 0.5 s old and more. The
targets that seemed idle then have received requests since, and those that
seemed too slow have worked. `loadinterpretation` says how the figures age.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from typing import TYPE_CHECKING

from carobsail import decisiontrace, latencymodel, loadinterpretation

if TYPE_CHECKING:
    from carobsail.targetchoice import Location, Send, TargetRequirements


def pick_target(
    requirements: TargetRequirements,
    options: Sequence[Send],
    location: Location,
    other_region_cost_s: float,
    engine: bool,
    now: float,
    latency_model: latencymodel.LatencyModel,
    trace: decisiontrace.DecisionTrace,
) -> Send:
    """Picks a target by its speed and what is expected of its queue by now.

    Targets that can meet the objective and end before the deadline are
    considered, or else those that can do the latter, or else the cheapest one.

    Args:
      requirements: The request.
      options: What each target means for it, by the figures as reported.
      location: Location of this instance.
      other_region_cost_s: Part of their costs for a link to another region.
      engine: Whether the targets are model engines.
      now: Time of the event loop's clock in seconds.
      latency_model: Latency model of the targets.
      trace: Records what the decision considered.

    Returns:
      The choice, with what is expected of its target by now.
    """
    newest_at = max(send.target.others_reported_at for send in options)
    age_s = loadinterpretation.load_age_s(newest_at, now)
    safety = latency_model.safety_factor if engine else 1.0
    objective_s = requirements.objective_due_at - now
    drained = [_drained_s(send, engine, age_s) for send in options]
    costs = [
        send.cost_s - safety * drained_s
        for send, drained_s in zip(options, drained, strict=True)
    ]
    in_time = [
        n
        for n, send in enumerate(options)
        if requirements.shortfall_s(
            _drain(send, drained[n], safety).forecast,
            latency_model.safety_factor,
            now,
        )
        <= 0.0
    ]
    usable = [n for n in in_time if costs[n] <= objective_s] or in_time
    if not usable:
        usable = [min(range(len(costs)), key=costs.__getitem__)]
    if trace.records:
        trace.consider(
            [
                _drain(send, drained_s, safety)
                for send, drained_s in zip(options, drained, strict=True)
            ],
            [options[n] for n in usable],
        )
    region = location.region_of(location.data_centre)
    near = [
        location.region_of(options[n].target.entry.data_centre) == region
        for n in usable
    ]
    work_s = latency_model.plain_per_request_s
    if engine:
        work_s = latency_model.occupancy_s(latency_model.mean_uncached_tokens)
    index = loadinterpretation.pick_by_level(
        [
            costs[n] - (0.0 if is_near else other_region_cost_s)
            for n, is_near in zip(usable, near, strict=True)
        ],
        [
            _speed(requirements, options[n], engine, latency_model)
            for n in usable
        ],
        near,
        safety * work_s * age_s * requirements.remote_requests_per_s,
        requirements.random_draw,
    )
    chosen = usable[index]
    return _drain(options[chosen], drained[chosen], safety)


def _drained_s(send: Send, engine: bool, age_s: float) -> float:
    """Returns by how much a target's wait is shorter than reported."""
    target, expected = send.target, send.forecast
    if engine:
        others: float = target.others_prompt_tokens
        if send.late:
            others += target.others_late_tokens
        share = others / max(1.0, expected.prompt_tokens)
    else:
        share = target.others_in_flight / (expected.in_flight + 1)
    return loadinterpretation.drained_s(expected.first_s, share, age_s)


def _drain(send: Send, drained_s: float, safety: float) -> Send:
    """Returns what is expected of a target whose wait is shorter."""
    expected = send.forecast
    return dataclasses.replace(
        send,
        cost_s=send.cost_s - safety * drained_s,
        forecast=dataclasses.replace(
            expected,
            first_s=expected.first_s - drained_s,
            end_s=expected.end_s - drained_s,
        ),
    )


def _speed(
    requirements: TargetRequirements,
    send: Send,
    engine: bool,
    latency_model: latencymodel.LatencyModel,
) -> float:
    """Returns the speed by which a forecast was scaled; 1 if it was not."""
    expected = send.forecast
    if engine:
        slots = max(1, send.target.entry.slots)
        waiting = max(0, expected.in_flight + 1 - slots)
        usual_s = latency_model.first_event_s(
            expected.prompt_tokens, expected.in_flight
        )
        usual_s += (
            waiting
            / slots
            * latency_model.generation_s(
                requirements.answer_tokens, expected.in_flight
            )
        )
    else:
        usual_s = latency_model.plain_s(expected.rounds, expected.in_flight)
    speed = usual_s / max(expected.first_s, 1e-9)
    return min(
        max(loadinterpretation.MIN_SPEED, speed), loadinterpretation.MAX_SPEED
    )
