"""Decodes documents in the platform's store into carobsail's types."""

import logging
import math
import re
from typing import Annotated, Any, TypeVar

import msgspec

from carobsail import (
    errors,
    keyvalue,
    servinginstance,
    settings,
    storeera,
    telemetry,
)
from carobsail.clientaccounts import AccountDirectory, ClientAccount
from carobsail.engineorders import EngineReport
from carobsail.routetable import (
    CallerLimits,
    EnginePool,
    Model,
    RetrySafety,
    Route,
    RouteTable,
    Service,
)
from carobsail.targetregistry import ResidentModel, TargetEntry

_log = logging.getLogger(__name__)

CONFIGURATION_KEY = "op/config"
TARGETS_PREFIX = "servers/"

_RETRY_SAFETY_BY_ROUTE_TYPE = {
    "safe": RetrySafety.SAFE,
    "unsafe": RetrySafety.UNSAFE,
    "streaming": RetrySafety.STREAM,
}
# Callers abandon a stream when no event arrives for the longest of: this many
# seconds, this many times the route's latency objective, this many times its
# objective for the gap between events.
_MIN_CALLER_TIMEOUT_S = 2.0
_CALLER_TIMEOUT_OBJECTIVES = 4.0
_CALLER_TIMEOUT_EVENT_GAPS = 8.0
_LEAVING_BY_STATE = {"in_service": False, "draining": True}

# Identities are values of headers.
_IDENTITY = re.compile(r"[!-~]+")

_Text = Annotated[str, msgspec.Meta(min_length=1)]
# Numbers of another writer may be too long for other formats and for floats.
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class _Split(msgspec.Struct):
    service: _Text
    weight: float


class _Route(msgspec.Struct):
    name: _Text
    host: _Text
    prefix: _Text
    routeType: str  # noqa: N815 - name in the platform's protocol, as below.
    timeoutMs: float  # noqa: N815
    maxAttempts: int = 1  # noqa: N815
    targetLatencyMs: float = 0.0  # noqa: N815
    priority: int = 0
    service: str = ""
    trafficSplit: list[_Split] = []  # noqa: N815
    resumable: bool = False
    gapAimMs: float = 0.0  # noqa: N815
    anonymous: bool = False


class _Model(msgspec.Struct):
    name: _Text
    weightsMb: float  # noqa: N815
    loadTimeS: float  # noqa: N815
    adapters: int = 0
    adapterMb: float = 0.0  # noqa: N815
    warmS: float | None = None  # noqa: N815
    diskS: float | None = None  # noqa: N815


class _Engine(msgspec.Struct):
    slots: int
    kvCapacity: int  # noqa: N815
    models: list[_Model] = []
    weightsMb: float = 0.0  # noqa: N815
    adapterSlots: int = 0  # noqa: N815
    loadsPerS: float = 1.0  # noqa: N815


class _Service(msgspec.Struct):
    name: _Text
    maxConns: int = 0  # noqa: N815
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    maxHeaderBytes: int  # noqa: N815
    maxBodyBytes: int  # noqa: N815
    headerTimeoutMs: float  # noqa: N815
    idleTimeoutMs: float  # noqa: N815


class _Tenant(msgspec.Struct):
    name: _Text
    apiKeys: list[str] = []  # noqa: N815
    priority: int | None = None
    unit: str | None = None
    plainTokens: _Count | None = None  # noqa: N815
    # Limit per second over all instances together.
    perS: _NotNegative | None = None  # noqa: N815
    burst: _NotNegative | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


class _Resident(msgspec.Struct):
    name: _Text
    version: _Number = 0
    adapters: list[str] = []


class _AtHand(msgspec.Struct):
    inMemory: list[str] = []  # noqa: N815
    onDisk: list[str] = []  # noqa: N815


class _Server(msgspec.Struct):
    service: _Text
    addr: _Text
    zone: _Text
    state: str
    slots: _Count = 1
    born: _Number = 0
    models: list[_Resident] = []
    atHand: _AtHand | None = None  # noqa: N815


class _Report(msgspec.Struct):
    models: list[_Resident]
    busy: bool
    # Number of orders that the engine has accepted; does not number reports.
    seqNo: _Number  # noqa: N815
    waiting: _Count = 0
    running: _Count = 0
    coming: list[str] = []
    born: _Number = 0
    atHand: _AtHand | None = None  # noqa: N815


# What decoding raises for malformed documents, the second one for documents
# that are nested too deeply.
_DECODE_ERRORS = (msgspec.DecodeError, RecursionError)


def read_configuration(
    data: bytes, revision: int
) -> RouteTable | errors.Failure:
    """Decodes the operator's configuration document."""
    try:
        decoded = msgspec.json.decode(data, type=_Configuration)
        routes = [_route(route) for route in decoded.routes]
        accounts = _accounts(decoded.tenants)
    except (*_DECODE_ERRORS, KeyError, ValueError) as error:
        return _malformed(CONFIGURATION_KEY, error)
    limits = CallerLimits(
        decoded.limits.maxHeaderBytes,
        decoded.limits.maxBodyBytes,
        decoded.limits.headerTimeoutMs / 1000.0,
        decoded.limits.idleTimeoutMs / 1000.0,
    )
    services = [_service(service) for service in decoded.services]
    return RouteTable.build(
        decoded.version, revision, routes, services, limits, accounts
    )


def read_target(
    key: str, data: bytes, revision: int
) -> TargetEntry | errors.Failure:
    """Decodes the entry of a target.

    Args:
      key: Key of the entry.
      data: Value of the entry.
      revision: Revision of the store at which it was written.
    """
    identity = key.removeprefix(TARGETS_PREFIX)
    try:
        decoded = msgspec.json.decode(data, type=_Server)
        leaving = _LEAVING_BY_STATE[decoded.state]
        settings.parse_address(decoded.addr)
        if not _IDENTITY.fullmatch(identity):
            raise ValueError(f"malformed identity {identity[:60]!r}")
    except (*_DECODE_ERRORS, KeyError, ValueError) as error:
        return _malformed(key, error)
    local_copies = decoded.atHand or _AtHand()
    return TargetEntry(
        identity,
        decoded.service,
        decoded.addr,
        decoded.zone,
        decoded.slots,
        leaving,
        decoded.born,
        _residents(decoded.models),
        frozenset(local_copies.inMemory),
        frozenset(local_copies.onDisk),
        revision,
    )


def read_report(identity: str, data: bytes) -> EngineReport | errors.Failure:
    """Decodes an engine's report on itself."""
    try:
        decoded = msgspec.json.decode(data, type=_Report)
    except _DECODE_ERRORS as error:
        return _malformed(identity, error)
    loading_adapters: dict[str, set[str]] = {}
    for name in decoded.coming:
        # The form is MODEL/ADAPTER@VERSION.
        model, _, adapter = name.rpartition("@")[0].partition("/")
        loading_adapters.setdefault(model, set()).add(adapter)
    local_copies = decoded.atHand or _AtHand()
    return EngineReport(
        {m.name: frozenset(m.adapters) for m in decoded.models},
        decoded.busy,
        decoded.seqNo,
        {m: frozenset(a) for m, a in loading_adapters.items()},
        frozenset(local_copies.inMemory),
        frozenset(local_copies.onDisk),
        decoded.born,
    )


def _residents(models: list[_Resident]) -> tuple[ResidentModel, ...]:
    return tuple(
        ResidentModel(m.name, m.version, frozenset(m.adapters)) for m in models
    )


def _route(decoded: _Route) -> Route:
    services = tuple((s.service, s.weight) for s in decoded.trafficSplit)
    return Route(
        decoded.name,
        decoded.host.lower(),
        decoded.prefix,
        _RETRY_SAFETY_BY_ROUTE_TYPE[decoded.routeType],
        services or ((decoded.service, 1.0),),
        decoded.timeoutMs / 1000.0,
        decoded.targetLatencyMs / 1000.0,
        max(1, decoded.maxAttempts),
        decoded.priority,
        decoded.resumable,
        decoded.gapAimMs / 1000.0,
        _caller_timeout_s(decoded),
        decoded.anonymous,
    )


def _accounts(tenants: list[_Tenant] | None) -> AccountDirectory | None:
    """Returns the client accounts; None if the configuration has no list.

    Raises:
      ValueError: The name of an account cannot be the value of a header.
    """
    if tenants is None:
        return None
    for tenant in tenants:
        if not _IDENTITY.fullmatch(tenant.name):
            raise ValueError(f"malformed account name {tenant.name[:60]!r}")
    return AccountDirectory(
        (
            ClientAccount(
                t.name,
                t.priority,
                t.perS or 0.0,
                t.burst or 0.0,
                t.unit == "tokens",
                t.plainTokens or 0,
            ),
            t.apiKeys,
        )
        for t in tenants
    )


def _caller_timeout_s(decoded: _Route) -> float:
    """Returns after how long without an event callers abandon a stream."""
    if _RETRY_SAFETY_BY_ROUTE_TYPE[decoded.routeType] is not RetrySafety.STREAM:
        return math.inf
    latency_objective_s = decoded.targetLatencyMs / 1000.0
    event_gap_s = decoded.gapAimMs / 1000.0
    return max(
        _MIN_CALLER_TIMEOUT_S,
        _CALLER_TIMEOUT_OBJECTIVES * latency_objective_s,
        _CALLER_TIMEOUT_EVENT_GAPS * event_gap_s,
    )


def _service(decoded: _Service) -> Service:
    engine = decoded.engine
    if engine is None:
        return Service(decoded.name, decoded.maxConns)
    models = {
        m.name: Model(
            m.name,
            m.weightsMb,
            m.loadTimeS,
            m.loadTimeS if m.diskS is None else m.diskS,
            m.loadTimeS if m.warmS is None else m.warmS,
            m.adapters,
            m.adapterMb,
        )
        for m in engine.models
    }
    pool = EnginePool(
        models,
        engine.slots,
        engine.kvCapacity,
        engine.weightsMb,
        engine.adapterSlots,
        engine.loadsPerS,
    )
    return Service(decoded.name, decoded.maxConns, pool)


def _malformed(key: str, problem: Any) -> errors.Failure:
    return errors.Failure(
        errors.Reason.INVALID,
        errors.Step.CONFIGURE,
        key,
        detail=str(problem)[:200],
    )


class PlatformDocuments(servinginstance.DocumentDecoder):
    """See base class; uses the keys of the platform's protocol."""

    def configuration(self, event: keyvalue.WatchEvent) -> RouteTable | None:
        """See base class."""
        if event.key != CONFIGURATION_KEY or event.value is None:
            return None
        table = read_configuration(event.value, event.mod_revision)
        return _log_if_malformed(table, event)

    def target(self, event: keyvalue.WatchEvent) -> TargetEntry | str | None:
        """See base class."""
        if not event.key.startswith(TARGETS_PREFIX):
            return None
        if event.value is None:
            return event.key.removeprefix(TARGETS_PREFIX)
        entry = read_target(event.key, event.value, event.mod_revision)
        return _log_if_malformed(entry, event)


_Decoded = TypeVar("_Decoded")


def _log_if_malformed(
    decoded: _Decoded | errors.Failure, event: keyvalue.WatchEvent
) -> _Decoded | None:
    if not isinstance(decoded, errors.Failure):
        return decoded
    telemetry.log(
        _log,
        "document_ignored",
        level=logging.WARNING,
        item=event.key,
        revision=storeera.describe(event.mod_revision),
        reason=str(decoded.reason),
        detail=decoded.detail,
    )
    return None
