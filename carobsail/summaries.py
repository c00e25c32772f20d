"""Messages that instances exchange as datagrams a few times a second.

Each instance sends a `Summary` to the coordinator, which sends a `FleetUpdate`
with the aggregated state to each instance. So the number of messages grows
linearly with the number of instances, not quadratically. A lost message only
costs accuracy, because each message carries absolute values, not differences.

Revisions of the store are sent without their era, which is a field of its own;
inside the program they are combined with it. See `wirerevisions`.
"""

import zlib

import msgspec

from carobsail import latencymodel, storeera


class TargetUsage(msgspec.Struct, array_like=True, frozen=True):
    """Load of a target.

    Attributes:
      target: Identity of the target.
      in_flight: Requests in flight at the target.
      prompt_tokens: Prompt tokens of requests that can still meet their
        objective and have no first event yet.
      late_tokens: Prompt tokens of requests that cannot meet it any more.
      held_tokens: Tokens that the requests hold in the target's memory at their
        end; 0 unless targets of the service state a pace.
    """

    target: str
    in_flight: int
    prompt_tokens: int
    late_tokens: int
    held_tokens: int = 0

    def without(self, part: "TargetUsage") -> "TargetUsage":
        """Returns this load without a part of it, at least 0."""
        return TargetUsage(
            self.target,
            max(0, self.in_flight - part.in_flight),
            max(0, self.prompt_tokens - part.prompt_tokens),
            max(0, self.late_tokens - part.late_tokens),
            max(0, self.held_tokens - part.held_tokens),
        )


class RequestCount(msgspec.Struct, array_like=True, frozen=True):
    """Demand for a model at an instance.

    Attributes:
      service: Service of the model.
      model: Model.
      count: Requests received since the start of the instance.
      objective_s: Shortest latency objective of the requests, in seconds.
    """

    service: str
    model: str
    count: int
    objective_s: float


class WaitingRequests(msgspec.Struct, array_like=True, frozen=True):
    """Requests that wait for a model, or for an adapter of it."""

    service: str
    model: str
    adapter: str
    count: int


class AdapterUse(msgspec.Struct, array_like=True, frozen=True):
    """An adapter that was used at an engine since the last summary."""

    target: str
    model: str
    adapter: str


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """A target that crashed while it executed requests; see `crashes`.

    Attributes:
      incarnation: Hash of the target's identity and start.
      traits: Traits of the one request that the target had begun to answer,
        fingerprints of requests that were lost with it, or parts of their
        prompts.
      begun: Whether the target had begun to answer the request.
      age_s: Seconds since the crash.
      weak: Whether the lost requests were queued behind others when they were
        sent, or the target had been answering them for long.
      parts: Whether the traits are parts of the prompts of lost requests.
    """

    incarnation: int
    traits: list[int]
    begun: bool
    age_s: float
    weak: bool = False
    parts: bool = False


class AnsweredTrait(msgspec.Struct, array_like=True, frozen=True):
    """A trait of requests that a target has answered `age_s` seconds ago."""

    trait: int
    age_s: float


class AccountCount(msgspec.Struct, array_like=True, frozen=True):
    """State of a limited client account at an instance.

    Attributes:
      account: Name of the account.
      admitted: Amount admitted since the start, in the unit of the limit.
      demanded: Amount asked for by callers since the start.
      balance: Amount that the instance may admit without asking; negative
        after requests that were admitted before they were granted.
      granted: Sum of the coordinator's grants that `balance` includes.
      allocation: Fraction of the limit that the instance uses while it hears
        nothing.
      left: What is left of that fraction of the bucket; negative if more was
        used. It matters only to a coordinator that did not know the instance,
        or that had not heard it.
      alone: Whether the instance has heard nothing for a time, or only now
        hears this coordinator.
      wanted: Amount of the requests that wait for a grant.
      size: Mean amount of a request.
    """

    account: str
    admitted: float
    demanded: float
    balance: float
    granted: float
    allocation: float
    left: float = 0.0
    alone: bool = False
    wanted: float = 0.0
    size: float = 0.0


class Summary(
    msgspec.Struct, array_like=True, frozen=True, tag="summary", kw_only=True
):
    """State that an instance reports to the coordinator.

    Attributes:
      instance: Name of the instance.
      data_centre: Data centre of the instance.
      incarnation: Random number of its process; differs after each restart.
      number: Sequence number of the summary; older ones are ignored.
      loads: Targets with requests in flight; None if the last list still holds.
      demand: Request counts of models that changed recently.
      waiting: Requests that wait for a model or an adapter.
      adapter_uses: Adapters used since the last summary.
      unreachable: Targets to which connections failed recently.
      samples: Timing samples from the last responses of engines.
      crashes: Crashes that the instance has observed recently.
      answered: Traits of known crashes that targets have answered since or
        before.
      accounts: Limited client accounts whose state changed recently.
      account_fence: Fencing number of the last `AccountUpdate`; 0 if none.
      account_update: Highest number of an `AccountUpdate` or `FleetUpdate`
        with this fencing number.
      account_members: Number of instances that it stated.
    """

    instance: str
    data_centre: str
    incarnation: int
    number: int
    loads: list[TargetUsage] | None
    demand: list[RequestCount]
    waiting: list[WaitingRequests]
    adapter_uses: list[AdapterUse]
    unreachable: list[str] = []
    # Position of a field that is no longer used.
    reserved: list[msgspec.Raw] = []
    samples: list[latencymodel.LatencySample] = []
    crashes: list[CrashReport] = []
    answered: list[AnsweredTrait] = []
    accounts: list[AccountCount] = []
    account_fence: int = 0
    account_update: int = 0
    account_members: int = 0


class Holding(msgspec.Struct, array_like=True, frozen=True):
    """The usable models of an engine, with the usable adapters of each."""

    target: str
    models: dict[str, list[str]]


class IncomingModel(msgspec.Struct, array_like=True, frozen=True):
    """A model that is being loaded and is usable after `left_s` seconds."""

    service: str
    model: str
    left_s: float


class ModelRate(msgspec.Struct, array_like=True, frozen=True):
    """Requests per second for a model, over all instances."""

    service: str
    model: str
    per_s: float


class AvoidedTarget(msgspec.Struct, array_like=True, frozen=True):
    """A target that instances should avoid.

    Attributes:
      target: Identity of the target.
      regions: Regions whose instances should avoid it.
      left_s: Remaining seconds for which they should avoid it.
    """

    target: str
    regions: list[str]
    left_s: float


class FleetUpdate(
    msgspec.Struct, array_like=True, frozen=True, tag="board", kw_only=True
):
    """Aggregated state that the coordinator sends to the instances.

    Attributes:
      fence: Fencing number of the coordinator; a message with a lower one than
        seen before is ignored.
      number: Sequence number; loads and other periodic values of an older
        message are ignored. 0 if the message has no such values.
      holdings: Engines whose holdings changed, and some others in rotation.
      loads: Load of some targets over all instances; the receiver subtracts its
        own.
      load_interval_s: Seconds between two messages with loads.
      incoming_models: Models that are being loaded; None if the last list still
        holds.
      members: Number of instances that sent summaries recently.
      store_revision: Revision of the coordinator's copy of the store.
      store_age_s: Seconds since the store last answered the coordinator;
        negative if the coordinator stops.
      unreachable: Targets that instances should avoid.
      rates: Demand for the most requested models.
      latency_parameters: Estimated speed of engines by service; see
        `latencymodel`.
      crashes: Observed crashes of targets that their requests may have caused.
      answered: Traits of these crashes that targets have answered.
      account_number: Number of the last `AccountUpdate` round; 0 if no account
        has a limit.
      era: Era of `store_revision`, only while the message is encoded.
    """

    fence: int
    number: int
    holdings: list[Holding]
    loads: list[TargetUsage]
    incoming_models: list[IncomingModel] | None
    members: int
    store_revision: storeera.Revision = 0
    store_age_s: float = -1.0
    unreachable: list[AvoidedTarget] = []
    rates: list[ModelRate] = []
    # Position of a field that is no longer used.
    reserved: list[msgspec.Raw] = []
    latency_parameters: dict[str, list[float]] = {}
    load_interval_s: float = 0.0
    crashes: list[CrashReport] = []
    answered: list[AnsweredTrait] = []
    account_number: int = 0
    era: storeera.Era | None = None


class AccountGrant(msgspec.Struct, array_like=True, frozen=True):
    """What an instance may admit for a client account.

    Attributes:
      account: Name of the account.
      granted: Sum of all grants to the instance by this coordinator.
      hold: The instance gives up what its balance exceeds this by.
      allocation: Fraction of the limit that the instance uses while it hears
        nothing.
      free: Amount that the coordinator could still grant; may be negative.
      level: Lower bound of what all instances together may still admit.
      used: Upper bound of what they have admitted in the last window.
      overdraft: Whether the account is so far below its limit that a request
        may be admitted before it is granted.
    """

    account: str
    granted: float
    hold: float
    allocation: float
    free: float
    level: float
    used: float
    overdraft: bool


class AccountUpdate(
    msgspec.Struct, array_like=True, frozen=True, tag="accounts", kw_only=True
):
    """Grants of the coordinator to one instance.

    Attributes:
      fence: Fencing number of the coordinator.
      number: Sequence number; an older message is ignored.
      incarnation: Incarnation of the receiving process, which ignores grants
        to its predecessor.
      members: Number of instances that the coordinator knows.
      rows: Accounts whose state changed.
    """

    fence: int
    number: int
    incarnation: int
    members: int
    rows: list[AccountGrant]


class KeyChange(msgspec.Struct, array_like=True, frozen=True):
    """A change of a key of the store.

    Attributes:
      key: The key.
      value: New value of the key; None when the key was deleted.
      revision: Revision of the change.
      omitted: Whether the value is too long for a datagram.
    """

    key: str
    value: bytes | None
    revision: storeera.Revision
    omitted: bool = False


class StoreChanges(
    msgspec.Struct, array_like=True, frozen=True, tag="changes", kw_only=True
):
    """Changes of the store, relayed by the coordinator.

    Attributes:
      fence: Fencing number of the coordinator.
      before: Revision before the changes.
      after: Revision after the changes; no other relevant change lies between
        the two, apart from those in the other messages of a full read.
      changes: The changes.
      source: `host:port` of an instance from which omitted values are read;
        empty for the store.
      deputies: `host:port` of the instances of the receiver's data centre that
        follow the store while nothing is received from the coordinator, without
        the receiver itself; None if this message does not list them.
      is_deputy: Whether the receiver is one of the deputies.
      parts: Number of messages, if the coordinator has read the whole store
        again and sends the differences from its copy at `before`; 0 if these
        are all changes since then.
      part: Index of this message among them, from 0.
      era: Era of `after` and the changes, only while the message is encoded.
      before_era: Era of `before`, only while the message is encoded.
    """

    fence: int
    before: storeera.Revision
    after: storeera.Revision
    changes: list[KeyChange]
    source: str
    deputies: list[str] | None = None
    is_deputy: bool = False
    parts: int = 0
    part: int = 0
    era: storeera.Era | None = None
    before_era: storeera.Era | None = None


class RenewalRequest(
    msgspec.Struct, array_like=True, frozen=True, tag="renew", kw_only=True
):
    """Asks an instance to renew a lease of the sender at the store.

    Attributes:
      lease: Identifier of the lease.
      number: Number of the request, returned with the answer.
    """

    lease: int
    number: int


class RenewalAnswer(
    msgspec.Struct, array_like=True, frozen=True, tag="renewed", kw_only=True
):
    """Answer to a `RenewalRequest`.

    Attributes:
      number: Number of the request.
      ttl_s: Seconds for which the lease was renewed; 0 if it had ended.
      store_revision: Revision of the sender's copy of the store.
      era: Era of the store that has renewed the lease; None if the sender does
        not tell.
    """

    number: int
    ttl_s: float
    store_revision: storeera.Revision = 0
    era: storeera.Era | None = None


Message = (
    Summary
    | FleetUpdate
    | StoreChanges
    | RenewalRequest
    | RenewalAnswer
    | AccountUpdate
)

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


# Messages from this length on are compressed, as identities of targets have
# long parts in common.
COMPRESS_FROM_BYTES = 300
_MAX_MESSAGE_BYTES = 65_536
_PLAIN, _COMPRESSED = b"\0", b"\1"


def encode(message: Message) -> bytes:
    """Encodes a message as the bytes of a datagram."""
    data = _encoder.encode(message)
    if len(data) < COMPRESS_FROM_BYTES:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data, 1)


def decode(data: bytes) -> Message | None:
    """Decodes a datagram; returns None if it is malformed."""
    form, rest = data[:1], data[1:]
    try:
        if form == _COMPRESSED:
            rest = zlib.decompressobj().decompress(rest, _MAX_MESSAGE_BYTES)
        elif form != _PLAIN:
            return None
        return _decoder.decode(rest)
    except (msgspec.DecodeError, RecursionError, zlib.error):
        return None
