"""Messages between the control processes of a data centre and the others.

Most of them are sent by the leader or to it. An order is a command to an
engine to load or unload a model.
"""

from carobsail.messagebase import Message


class Heartbeat(Message, tag="heartbeat", frozen=True):
    """Sent every 0.5 s on each link in a data centre.

    Attributes:
      seq: Number of the heartbeat, increasing over the sender's lifetime.
      ready: Whether the sender is ready for work.
      leaving: Whether the sender is shutting down.
      revision: Configuration revision that the sender has applied.
      leading: Whether the sender holds a valid leader lease; also True in the
        last heartbeat of a leader that shuts down.
      candidates: Number of control processes that the leader knows.
      epoch: Epoch of the last grant that the sender received.
      grant_version: Version of that grant within the epoch.
    """

    seq: int
    ready: bool
    leaving: bool
    revision: int
    leading: bool = False
    candidates: int = 0
    epoch: int = 0
    grant_version: int = 0


class Grant(Message, tag="grant", frozen=True):
    """Grants targets to an entry instance, their owner, for a short time.

    Attributes:
      epoch: Number of the assignment; the fencing token of orders.
      expires_in_s: Validity in seconds, counted as described at `sent_seq`.
      targets: Targets owned by the receiver.
      owners: Owner instance of each target of the data centre.
      orders_allowed: False during an outage of the key-value service.
      calls_per_s: Receiver's share of the key-value call budget.
      sent_seq: Sequence number of the receiver's heartbeat to which this grant
        responds; its validity counts from when that heartbeat was sent.
      version: Increases within the epoch when the contents change.
    """

    epoch: int
    expires_in_s: float
    targets: list[str]
    owners: dict[str, str]
    orders_allowed: bool
    calls_per_s: float
    sent_seq: int
    version: int = 0


class Renewal(Message, tag="renewal", frozen=True):
    """Extends the grant of the same epoch and version.

    The target lists of a large data centre are too long to be repeated every
    second. A receiver that holds another grant ignores the renewal. The fields
    are those of `Grant`.
    """

    epoch: int
    version: int
    expires_in_s: float
    orders_allowed: bool
    calls_per_s: float
    sent_seq: int


class HandBack(Message, tag="hand_back", frozen=True):
    """The sender gives up its grants of epochs up to `epoch`."""

    epoch: int


class Snapshot(Message, tag="snapshot", frozen=True):
    """The whole configuration at one revision."""

    revision: int
    documents: dict[str, bytes]


class Delta(Message, tag="delta", frozen=True):
    """Documents changed between two revisions; None for a deleted one."""

    previous: int
    revision: int
    documents: dict[str, bytes | None]


class Resync(Message, tag="resync", frozen=True):
    """Requests the configuration; the sender has applied `revision`."""

    revision: int


class Applied(Message, tag="applied", frozen=True):
    """The sender has applied the configuration up to `revision`."""

    revision: int


class Residency(Message, tag="residency", frozen=True):
    """Number of resident copies of each model in another data centre."""

    data_centre: str
    models: dict[str, int]


class InventoryUpdate(Message, tag="inventory", frozen=True):
    """The platform's inventory document, relayed by the leader."""

    version: int
    document: bytes


class TargetPlan(Message, frozen=True):
    """Desired state of one engine, as the planner decides."""

    target: str
    models: list[str]
    role: str


class Plan(Message, tag="plan", frozen=True):
    """Sent by the leader to an owner: the desired state of its engines."""

    epoch: int
    targets: list[TargetPlan]


class TargetProgress(Message, frozen=True):
    """State of one engine, as its owner reports it.

    Attributes:
      target: Engine name.
      resident: Models that are resident and get requests.
      reserved: Other models with a recorded intent.
      healthy: Whether the engine responds.
    """

    target: str
    resident: list[str]
    reserved: list[str]
    healthy: bool = True


class Progress(Message, tag="progress", frozen=True):
    """Sent by an entry instance to the leader, at most once a second.

    Contains changes only.

    Attributes:
      epoch: Epoch of the sender's grant.
      targets: Engines whose state changed.
      demand: Requests and output tokens a second by model, of the requests
        that the sender received from callers or other data centres.
    """

    epoch: int
    targets: list[TargetProgress]
    demand: dict[str, tuple[float, float]] = {}
