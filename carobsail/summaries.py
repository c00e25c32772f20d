"""What instances tell each other a few times a second, as datagrams.

Each instance sends a `Summary` to the order giver; the order giver sends a
`Board` to each instance. So the number of messages grows with the number of
instances and not with its square. Losing one costs accuracy only: each message
states values and no differences.
"""

import zlib

import msgspec

from carobsail import targetpace


class EngineLoad(msgspec.Struct, array_like=True, frozen=True):
    """Requests under way at a target.

    Attributes:
      target: Identity of the target.
      in_flight: Requests.
      prompt_tokens: Prompt tokens of those that can be on time and have no
        first event yet.
      late_tokens: Prompt tokens of those that cannot be on time.
    """

    target: str
    in_flight: int
    prompt_tokens: int
    late_tokens: int


class Demand(msgspec.Struct, array_like=True, frozen=True):
    """Demand for a model at an instance.

    Attributes:
      service: Service of the model.
      model: Model.
      arrivals: Requests since the start of the instance.
      objective_s: Shortest objective of them in seconds.
    """

    service: str
    model: str
    arrivals: int
    objective_s: float


class Need(msgspec.Struct, array_like=True, frozen=True):
    """Requests that wait for a model, or for an adapter of it."""

    service: str
    model: str
    adapter: str
    waiting: int


class AdapterUse(msgspec.Struct, array_like=True, frozen=True):
    """An adapter that was used at an engine since the last summary."""

    target: str
    model: str
    adapter: str


class LostRun(msgspec.Struct, array_like=True, frozen=True):
    """A target that was lost while it ran a request; see `crashes`."""

    request: int
    target: str


class Summary(
    msgspec.Struct, array_like=True, frozen=True, tag="summary", kw_only=True
):
    """What an instance tells the order giver.

    Attributes:
      instance: Name of the instance.
      data_centre: Its data centre.
      incarnation: Start of its process; differs after each restart.
      number: Number of the summary; older ones are ignored.
      loads: Targets with requests under way; None if they are as before.
      demand: Demand for models.
      needs: Requests that wait.
      uses: Adapters used lately.
      unreachable: Targets to which no connection opened lately.
      lost_runs: Targets lost lately while they ran a request.
      samples: What the last answers of engines showed.
    """

    instance: str
    data_centre: str
    incarnation: int
    number: int
    loads: list[EngineLoad] | None
    demand: list[Demand]
    needs: list[Need]
    uses: list[AdapterUse]
    unreachable: list[str] = []
    lost_runs: list[LostRun] = []
    samples: list[targetpace.Sample] = []


class Holding(msgspec.Struct, array_like=True, frozen=True):
    """What an engine serves now: adapters by model."""

    target: str
    models: dict[str, list[str]]


class Coming(msgspec.Struct, array_like=True, frozen=True):
    """A model that is being loaded and is usable after `left_s` seconds."""

    service: str
    model: str
    left_s: float


class Rate(msgspec.Struct, array_like=True, frozen=True):
    """Requests a second for a model, over all instances."""

    service: str
    model: str
    per_s: float


class Unreachable(msgspec.Struct, array_like=True, frozen=True):
    """A target to be avoided.

    Attributes:
      target: Identity of the target.
      regions: Regions whose instances are to avoid it.
      left_s: Seconds for which it is to be avoided.
    """

    target: str
    regions: list[str]
    left_s: float


class Board(
    msgspec.Struct, array_like=True, frozen=True, tag="board", kw_only=True
):
    """What the order giver tells an instance.

    Attributes:
      fence: Fencing number of the order giver; a lower one is ignored.
      number: Number of the board; loads of an older one are ignored.
      holdings: Engines whose holdings changed, and some others in turn.
      loads: Requests under way at some targets, over all instances; the
        receiver takes off its own.
      loads_every_s: Seconds between two boards with loads.
      coming: Models that are being loaded; None if that is not news.
      members: Instances that sent summaries lately.
      store_revision: Revision up to which the order giver knows the store.
      store_age_s: Seconds since the store last answered it; negative if it
        stops.
      unreachable: Targets to be avoided.
      rates: Demand for the models that are asked for most.
      refused: Requests that are refused because they end their targets.
      paces: What was learned of the speed of engines, by service; see
        `targetpace`.
    """

    fence: int
    number: int
    holdings: list[Holding]
    loads: list[EngineLoad]
    coming: list[Coming] | None
    members: int
    store_revision: int = 0
    store_age_s: float = -1.0
    unreachable: list[Unreachable] = []
    rates: list[Rate] = []
    refused: list[int] = []
    paces: dict[str, list[float]] = {}
    loads_every_s: float = 0.0


class Change(msgspec.Struct, array_like=True, frozen=True):
    """A change of a key.

    Attributes:
      key: The key.
      value: Its value; None when it was deleted.
      revision: Revision of the change.
      omitted: Whether the value is too long for a datagram.
    """

    key: str
    value: bytes | None
    revision: int
    omitted: bool = False


class StoreChanges(
    msgspec.Struct, array_like=True, frozen=True, tag="changes", kw_only=True
):
    """Changes of the store, from the order giver.

    Attributes:
      fence: Fencing number of the order giver.
      before: Revision before the changes.
      after: Revision after them; between the two nothing else that matters
        changed, or it is in the other messages of a full reading.
      changes: The changes.
      source: `host:port` of an instance from which omitted values are read;
        empty for the store.
      deputies: `host:port` of the instances of the receiver's data centre that
        follow the store while the order giver is not heard, without the
        receiver itself; None if they are not told with this message.
      leads: Whether the receiver is one of them.
      parts: Number of messages if the order giver has read everything anew and
        tells the differences to its copy at `before`; 0 if these are all
        changes since then.
      part: Number of this message among them, from 0.
    """

    fence: int
    before: int
    after: int
    changes: list[Change]
    source: str
    deputies: list[str] | None = None
    leads: bool = False
    parts: int = 0
    part: int = 0


class RenewalRequest(
    msgspec.Struct, array_like=True, frozen=True, tag="renew", kw_only=True
):
    """Asks an instance that reaches the store to renew a lease.

    Attributes:
      lease: The lease.
      number: Returned with the answer.
    """

    lease: int
    number: int


class RenewalAnswer(
    msgspec.Struct, array_like=True, frozen=True, tag="renewed", kw_only=True
):
    """Says that a lease was renewed.

    Attributes:
      number: Number of the request.
      ttl_s: Seconds for which the lease was renewed; 0 if it had ended.
      store_revision: Revision up to which the sender knows the store.
    """

    number: int
    ttl_s: float
    store_revision: int = 0


Message = Summary | Board | StoreChanges | RenewalRequest | RenewalAnswer

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


# Longer messages are compressed: identities repeat much of each other.
COMPRESS_FROM_BYTES = 300
_MAX_MESSAGE_BYTES = 65_536
_PLAIN, _COMPRESSED = b"\0", b"\1"


def encode(message: Message) -> bytes:
    """Returns the bytes of a message."""
    data = _encoder.encode(message)
    if len(data) < COMPRESS_FROM_BYTES:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data, 1)


def decode(data: bytes) -> Message | None:
    """Returns the message, or None if the bytes are none."""
    form, rest = data[:1], data[1:]
    try:
        if form == _COMPRESSED:
            rest = zlib.decompressobj().decompress(rest, _MAX_MESSAGE_BYTES)
        elif form != _PLAIN:
            return None
        return _decoder.decode(rest)
    except (msgspec.DecodeError, zlib.error):
        return None
