"""Builders for tests of the request path."""

import dataclasses
import random

from carobsail import (
    copyplan,
    retrydecision,
    routetable,
    serving,
    targetchoice,
    targetregistry,
    telemetry,
)
from carobsail.platform import headers

LIMITS = routetable.CallerLimits(16_384, 4_194_304, 3.0, 15.0)
LOCATION = targetchoice.Location(
    "dc-a", {"dc-a": "north", "dc-b": "north", "dc-c": "south"}
)


def route(**changes) -> routetable.Route:
    """Returns a route to the plain service whose requests may be repeated."""
    base = routetable.Route(
        "r1",
        "host.example",
        "/a/",
        routetable.RetrySafety.SAFE,
        (("plain", 1.0),),
        1.5,
        0.2,
        2,
    )
    return dataclasses.replace(base, **changes)


def stream_route(**changes) -> routetable.Route:
    """Returns a route of resumable streams."""
    base = route(
        retry_safety=routetable.RetrySafety.STREAM,
        services=(("llm", 1.0),),
        timeout_s=5.0,
        latency_objective_s=1.0,
        resumable=True,
        event_gap_objective_s=0.4,
    )
    return dataclasses.replace(base, **changes)


def model(name: str, **changes) -> routetable.Model:
    """Returns a model of 70 GB, loaded in 9, 2.4 and 1.2 s."""
    base = routetable.Model(name, 70_000.0, 9.0, 2.4, 1.2)
    return dataclasses.replace(base, **changes)


def engine_pool(*models: routetable.Model, **changes) -> routetable.EnginePool:
    """Returns an engine pool with memory for three models and two adapters."""
    named = {m.name: m for m in models}
    base = routetable.EnginePool(named, 64, 140_000, 230_000.0, 2, 1.1)
    return dataclasses.replace(base, **changes)


def route_table(
    *routes: routetable.Route,
    engines: routetable.EnginePool | None = None,
    version: int = 1,
) -> routetable.RouteTable:
    """Returns a route table with a plain and an engine service."""
    services = [
        routetable.Service("plain", 100),
        routetable.Service("llm", 100, engines or engine_pool(model("m1"))),
    ]
    return routetable.RouteTable.build(
        version, version, list(routes), services, LIMITS
    )


def entry(identity: str = "t1", **changes) -> targetregistry.TargetEntry:
    """Returns the entry of a plain target."""
    base = targetregistry.TargetEntry(
        identity,
        "plain",
        "127.0.0.1:1",
        "dc-a",
        6,
        False,
        1000,
        (),
        frozenset(),
        frozenset(),
        1,
    )
    return dataclasses.replace(base, **changes)


def engine_entry(
    identity: str = "e1", models=("m1",), adapters=(), **changes
) -> targetregistry.TargetEntry:
    """Returns the entry of an engine that holds models."""
    held = tuple(
        targetregistry.ResidentModel(name, 1, frozenset(adapters))
        for name in models
    )
    return entry(identity, service="llm", slots=64, models=held, **changes)


def plain_request(**changes) -> targetchoice.TargetRequirements:
    """Returns a plain request with a deadline of 3 s at time 0."""
    base = targetchoice.TargetRequirements("plain", "", "", 0, 3.0, 0.2)
    for name, value in changes.items():
        setattr(base, name, value)
    return base


def generation_request(**changes) -> targetchoice.TargetRequirements:
    """Returns a request for model m1 with a deadline of 5 s at time 0."""
    return plain_request(
        service="llm",
        model="m1",
        prompt_tokens=2400,
        due_at=5.0,
        objective_due_at=1.0,
        **changes,
    )


def progress(route_, **changes) -> retrydecision.Progress:
    """Returns the progress of a request that was sent once."""
    base = retrydecision.Progress(route_, sends=1, may_have_run=1)
    for name, value in changes.items():
        setattr(base, name, value)
    return base


def engine_state(
    identity: str, *models: str, **changes
) -> copyplan.EngineState:
    """Returns the planner's state of an idle engine."""
    base = copyplan.EngineState(
        identity, "dc-a", frozenset(models), True, on_disk=frozenset(models)
    )
    return dataclasses.replace(base, **changes)


def request_path(
    routes: routetable.RouteTable, *entries: targetregistry.TargetEntry
) -> serving.RequestHandler:
    """Returns the handler of one of three instances with these targets."""
    registry = targetregistry.TargetRegistry()
    for known in entries:
        registry.put(known, 0.0)
    handler = serving.RequestHandler(
        headers.PlatformHeaders(),
        registry,
        LOCATION,
        serving.RetryBudgetSettings(0.2, 50.0, 10.0),
        telemetry.Metrics(),
        random.Random(1),
    )
    handler.route_table = routes
    handler.instance_count = 3
    return handler
