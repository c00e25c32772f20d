"""Messages between control processes and the processes that they control."""

from carobsail.messagebase import Message


class Heartbeat(Message, tag="heartbeat", frozen=True):
    """Sent every 0.5 s on each link in a data centre.

    Attributes:
      seq: Number of the heartbeat, increasing over the sender's lifetime.
      ready: Whether the sender takes work.
      leaving: Whether the sender is shutting down.
      revision: Configuration revision applied by the sender.
      leading: Whether the sender holds a valid leader lease.
      candidates: Control processes that the leader knows of.
      epoch: Epoch of the last grant received.
      grant_version: Version of the last grant received.
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
    """Gives an entry instance the ownership of targets.

    Attributes:
      epoch: Number of the assignment, the fencing number of orders.
      expires_in_s: Validity in seconds from the time that it was sent.
      targets: Targets owned by the receiver.
      owners: Owner instance of each target of the data centre.
      orders_allowed: False during an outage of the key-value service.
      calls_per_s: Receiver's share of the key-value call budget.
      sent_seq: Sequence number of the receiver's heartbeat that this grant
        answers; its validity counts from when that heartbeat was sent.
      version: Number of the contents within the epoch.
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
    """Extends the grant with the same epoch and version.

    The target lists of a large data centre are too long to repeat every
    second; a receiver that holds another grant ignores the renewal.
    """

    epoch: int
    version: int
    expires_in_s: float
    orders_allowed: bool
    calls_per_s: float
    sent_seq: int


class HandBack(Message, tag="hand_back", frozen=True):
    """A leaving owner sends no more orders under grants up to `epoch`."""

    epoch: int


class Snapshot(Message, tag="snapshot", frozen=True):
    """The whole configuration at one revision."""

    revision: int
    documents: dict[str, bytes]


class Delta(Message, tag="delta", frozen=True):
    """Documents changed between two revisions; None deletes one."""

    previous: int
    revision: int
    documents: dict[str, bytes | None]


class Resync(Message, tag="resync", frozen=True):
    """Asks the leader for a snapshot; the sender is at `revision`."""

    revision: int


class Applied(Message, tag="applied", frozen=True):
    """The sender has applied the configuration up to `revision`."""

    revision: int


class Residency(Message, tag="residency", frozen=True):
    """Resident copies of each model in another data centre."""

    data_centre: str
    models: dict[str, int]


class InventoryUpdate(Message, tag="inventory", frozen=True):
    """The platform's inventory document, relayed by the leader."""

    version: int
    document: bytes


class TargetPlan(Message, frozen=True):
    """What the planner wants one engine to hold."""

    target: str
    models: list[str]
    role: str


class Plan(Message, tag="plan", frozen=True):
    """Leader to owner: the wanted state of the owner's engines."""

    epoch: int
    targets: list[TargetPlan]


class TargetProgress(Message, frozen=True):
    """Owner's account of one engine.

    Attributes:
      target: Engine name.
      resident: Models confirmed resident.
      reserved: Models with a recorded intent that are not confirmed.
      healthy: Whether the engine answers.
    """

    target: str
    resident: list[str]
    reserved: list[str]
    healthy: bool = True


class Progress(Message, tag="progress", frozen=True):
    """Entry instance to leader, once a second at most, changes only.

    Attributes:
      epoch: Epoch of the sender's grant.
      targets: Engines whose account changed.
      demand: Requests and output tokens a second of each model that callers
        or other data centres asked of the sender.
    """

    epoch: int
    targets: list[TargetProgress]
    demand: dict[str, tuple[float, float]] = {}
