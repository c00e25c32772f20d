"""What callers, targets and the operator observed: the input of all checks."""

import dataclasses
import enum
import hashlib

# Subject of the times in which the soak's own process got too little CPU time.
MACHINE = "machine"
HOST = "soak.example"
# Number of services to which the route of `Kind.CONFIG` leads in turn, so that
# the checks can tell its versions apart. It exceeds the number of versions by
# which an instance may lag while they follow in quick succession.
CONFIG_SERVICES = 16
# Memory and descriptors of the smallest machine, which each instance has.
MEMORY_MB = 160
MAX_DESCRIPTORS = 1638

# Services by host and path prefix.
Routes = dict[tuple[str, str], frozenset[str]]


# Part of a prompt that crashes each engine that begins to answer it.
DEADLY_PART = "dead"
# End of the path of a lookup, without a body, that crashes targets.
DEADLY_PATH = "deadly"


class Kind(enum.StrEnum):
    """Kinds of requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    CONFIG = "config"
    # On a route that is added and removed, or that never existed.
    ADDED = "added"


# Time-out of the callers, and also of the routes.
REQUEST_TIMEOUT_S = {
    Kind.SAFE: 3.0,
    Kind.UNSAFE: 3.0,
    Kind.STREAM: 6.0,
    Kind.CONFIG: 3.0,
    Kind.ADDED: 3.0,
}


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request as its caller observed it.

    Attributes:
      request_id: Identity of the request.
      kind: Its kind.
      instance: Instance that it was sent to.
      incarnation: Number of that instance's process, counted from its starts.
      sent_at: When it was sent.
      ended_at: When its answer ended, or its caller disconnected.
      timeout_s: Time that the caller waits.
      status: HTTP status of the answer; 0 without one.
      complete: Whether the answer was received to its end.
      signature: The target's signature from the answer's headers.
      body: Body as received.
      abandoned: Whether the caller disconnected before the end.
      host: Host that the caller named, in lower case and without a port.
      path: Path without the query.
      deadly: Whether it, or a part of its prompt, crashes targets.
    """

    request_id: str
    kind: Kind
    instance: str
    incarnation: int
    sent_at: float
    timeout_s: float
    ended_at: float = 0.0
    status: int = 0
    complete: bool = False
    signature: str = ""
    body: bytes = b""
    abandoned: bool = False
    host: str = HOST
    path: str = ""
    deadly: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """One execution of a request at a target.

    Attributes:
      request_id: Identity of the request.
      target: Identity of the target.
      service: Service of the target.
      started_at: When the run began.
      ended_at: When it ended; 0 while it is running.
      resumed_after: Number of the event after which a stream was resumed; 0 if
        it runs from the start.
      signature: Signature that the target put into the answer.
      born: Start of the target, in Unix milliseconds.
      says_leaving: Whether the answer says that the target is leaving.
    """

    request_id: str
    target: str
    service: str
    started_at: float
    ended_at: float = 0.0
    resumed_after: int = 0
    signature: str = ""
    born: int = 0
    says_leaving: bool = False


@dataclasses.dataclass(slots=True)
class ReceivedOrder:
    """An order (load or unload) as an engine received it."""

    engine: str
    holder: str
    fence: int
    received_at: float


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A time in which a fault or planned work disturbed `subject`."""

    subject: str
    start: float
    end: float
    planned: bool = False


@dataclasses.dataclass(slots=True)
class Version:
    """A version of the configuration as the operator wrote it.

    Attributes:
      number: The version.
      routes: Its routes.
      sent_at: When it was sent to the store.
      acked_at: When the store acknowledged it.
    """

    number: int
    routes: Routes
    sent_at: float
    acked_at: float = float("inf")

    def services_of(self, host: str, path: str) -> frozenset[str]:
        """Returns the services that may run a request; empty without a route.

        The longest matching prefix decides. Implemented from the protocol page,
        independently of the product's code.
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            services = self.routes.get((host, path[: end + 1]))
            if services:
                return services
        return frozenset()


def changed_routes(old: Routes, new: Routes) -> list[tuple[str, str]]:
    """Returns host and prefix of the routes that differ."""
    return sorted(k for k in old | new if old.get(k) != new.get(k))


@dataclasses.dataclass(slots=True)
class Record:
    """All observations of one run of the soak.

    Attributes:
      requests: Requests by identity.
      runs: Executions by request.
      orders: Orders in order of arrival.
      leaving_since: When the store acknowledged that a target leaves, by its
        identity.
      disturbances: Times of faults and planned work.
      versions: All versions that were sent, in order.
      engine_faults: Orders that engines must not get, such as one that exceeds
        their memory.
      deadly_crashes: Times at which engines crashed on a prompt.
      deadly_lookup_crashes: Times at which targets crashed on a lookup.
      peaks_mb: Peak of the memory of instances after a hostile crowd.
    """

    requests: dict[str, CallerRequest] = dataclasses.field(default_factory=dict)
    runs: dict[str, list[Run]] = dataclasses.field(default_factory=dict)
    orders: list[ReceivedOrder] = dataclasses.field(default_factory=list)
    leaving_since: dict[str, float] = dataclasses.field(default_factory=dict)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    versions: list[Version] = dataclasses.field(default_factory=list)
    engine_faults: list[str] = dataclasses.field(default_factory=list)
    deadly_crashes: list[float] = dataclasses.field(default_factory=list)
    deadly_lookup_crashes: list[float] = dataclasses.field(default_factory=list)
    peaks_mb: list[tuple[str, float]] = dataclasses.field(default_factory=list)

    def add_run(self, run: Run) -> None:
        """Adds an execution."""
        self.runs.setdefault(run.request_id, []).append(run)

    def undisturbed(self, subjects: set[str], start: float, end: float) -> bool:
        """Whether none of the subjects was disturbed in a time span."""
        subjects = subjects | {MACHINE}
        return not any(
            span.subject in subjects and span.start <= end and span.end >= start
            for span in self.disturbances
        )


def expected_body(request_id: str) -> bytes:
    """Returns the only correct body of an answer that is not streamed."""
    return hashlib.sha256(request_id.encode()).hexdigest().encode() * 8


def expected_event_count(request_id: str) -> int:
    """Returns the number of events of a request's stream."""
    return 4 + int(request_id[-2:], 16) % 12


def expected_event(request_id: str, number: int) -> bytes:
    """Returns one event of a request's stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()
