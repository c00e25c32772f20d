"""What callers, targets and the operator saw, the input of all checks."""

import dataclasses
import enum
import hashlib

# Name of spans in which the soak itself got too little processor time.
MACHINE = "machine"
HOST = "soak.example"
# Services of the route whose versions the checks tell apart, in turn: more than
# an instance may lag behind while versions follow in quick succession.
CONFIG_SERVICES = 16

# Services to which a host and a prefix lead.
Routes = dict[tuple[str, str], frozenset[str]]


class Kind(enum.StrEnum):
    """Kinds of requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    CONFIG = "config"
    # On a route that comes and goes, or that never existed.
    ADDED = "added"


# Time that callers wait, which is the routes' time-out as well.
PATIENCE_S = {
    Kind.SAFE: 3.0,
    Kind.UNSAFE: 3.0,
    Kind.STREAM: 6.0,
    Kind.CONFIG: 3.0,
    Kind.ADDED: 3.0,
}


@dataclasses.dataclass(slots=True)
class Asked:
    """A request as its caller saw it.

    Attributes:
      request: Identity of the request.
      kind: Its kind.
      instance: Instance that it was sent to.
      incarnation: Start of that instance's process.
      sent_at: When it was sent.
      ended_at: When its answer ended, or its caller left.
      patience_s: Time that the caller waits.
      status: Status of the answer; 0 without one.
      complete: Whether the answer ended as complete.
      seal: Signature that came with the answer.
      body: Body as received.
      left: Whether the caller left before the end.
      host: Host that the caller named, in lower case and without a port.
      path: Path without the query.
    """

    request: str
    kind: Kind
    instance: str
    incarnation: int
    sent_at: float
    patience_s: float
    ended_at: float = 0.0
    status: int = 0
    complete: bool = False
    seal: str = ""
    body: bytes = b""
    left: bool = False
    host: str = HOST
    path: str = ""


@dataclasses.dataclass(slots=True)
class Run:
    """A run of a request at a target.

    Attributes:
      request: Identity of the request.
      target: Identity of the target.
      service: Service of the target.
      started_at: When the run began.
      ended_at: When it ended; 0 while it goes on.
      after: Event after which a stream was resumed; 0 from the start.
      seal: Signature that was given out.
    """

    request: str
    target: str
    service: str
    started_at: float
    ended_at: float = 0.0
    after: int = 0
    seal: str = ""


@dataclasses.dataclass(slots=True)
class OrderSeen:
    """An order as an engine received it."""

    engine: str
    holder: str
    fence: int
    at: float


@dataclasses.dataclass(slots=True)
class Span:
    """A time in which something was disturbed; `what` names it."""

    what: str
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

        Written anew from the protocol page, independent of the product's code.
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            services = self.routes.get((host, path[: end + 1]))
            if services:
                return services
        return frozenset()


def changed_routes(old: Routes, new: Routes) -> list[tuple[str, str]]:
    """Returns the host and the prefix of routes that differ."""
    return sorted(k for k in old | new if old.get(k) != new.get(k))


@dataclasses.dataclass(slots=True)
class Record:
    """All that was seen in one run of the soak.

    Attributes:
      asked: Requests by identity.
      runs: Runs by request.
      orders: Orders in order of arrival.
      leaving: When the store acknowledged that a target leaves, by identity.
      disturbed: Times of faults and planned work.
      versions: All versions that were sent, in order.
      faults: What engines saw that must not be, such as a full memory.
    """

    asked: dict[str, Asked] = dataclasses.field(default_factory=dict)
    runs: dict[str, list[Run]] = dataclasses.field(default_factory=dict)
    orders: list[OrderSeen] = dataclasses.field(default_factory=list)
    leaving: dict[str, float] = dataclasses.field(default_factory=dict)
    disturbed: list[Span] = dataclasses.field(default_factory=list)
    versions: list[Version] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)

    def run(self, run: Run) -> None:
        """Adds a run."""
        self.runs.setdefault(run.request, []).append(run)

    def calm(self, what: set[str], start: float, end: float) -> bool:
        """Whether none of the named things was disturbed in a time."""
        what = what | {MACHINE}
        return not any(
            span.what in what and span.start <= end and span.end >= start
            for span in self.disturbed
        )


def body_of(request: str) -> bytes:
    """Returns the one right body of a plain answer."""
    return hashlib.sha256(request.encode()).hexdigest().encode() * 8


def events_of(request: str) -> int:
    """Returns the number of events of a stream."""
    return 4 + int(request[-2:], 16) % 12


def event_of(request: str, number: int) -> bytes:
    """Returns one event of a stream."""
    return f"id: {number}\ndata: {request} {number}\n\n".encode()
