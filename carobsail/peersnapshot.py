"""Exchanges copies of the store between instances.

Load pattern: an instance starts while the store is down or refuses it. Without
a configuration it could serve no request, so it reads the copy of one of the
seed instances in its settings. Instances that follow a deputy (see
`storemirror`) read its changes in the same way.

Queries and answers carry revisions of the store apart from their era; see
`wirerevisions`.
"""

import asyncio
import logging
import urllib.parse
import zlib
from collections.abc import Callable, Mapping

import msgspec

from carobsail import (
    errors,
    httpclient,
    keyvalue,
    storecopy,
    storeera,
    storemirror,
    telemetry,
)

# Seeds are asked after this delay only: under normal load the store answers a
# first read within it.
FIRST_READ_DELAY_S = 0.4
READ_INTERVAL_S = 0.5
# An instance that is cut off or frozen does not answer a new connection.
_CONNECT_TIMEOUT_S = 0.3
# Timeout of the response head, in addition to the requested wait.
_HEAD_TIMEOUT_S = 0.3
# A call fails if no bytes of the body arrive for this long. It bounds the gap
# between bytes, not the transfer: a value of 80 KB takes longer over a link
# that ten instances share.
_READ_IDLE_TIMEOUT_S = 1.0
# Timeout of a whole response body. A copy takes 2 s if ten instances read it
# over a link of 5 Mbit/s; after this timeout it would be out of date.
BODY_TIMEOUT_S = 4.0
# Largest size of a copy, both compressed and decompressed; the same bound as
# for one response of the store. The configuration of a large deployment takes
# 130 KB.
_MAX_SNAPSHOT_BYTES = 16_777_216
# At this zlib level a configuration shrinks to a fifth in about 3 ms.
_COMPRESSION_LEVEL = 1
# Longest time for which another instance's long poll is held.
MAX_WAIT_S = 2.0
# Longest wait for a value that was announced and is still being read.
VALUE_WAIT_S = 0.5

_log = logging.getLogger(__name__)


class _Item(msgspec.Struct, array_like=True, frozen=True):
    """A value; `era` is None if it is that of the message."""

    key: str
    value: bytes
    revision: storeera.Revision
    era: storeera.Era | None = None


class _Changes(msgspec.Struct, array_like=True, frozen=True):
    """Changes of a copy; `era` is that of all revisions, or None if unknown."""

    revision: storeera.Revision
    age_s: float
    is_full: bool
    items: list[_Item]
    removed: list[tuple[str, storeera.Revision]]
    era: storeera.Era | None = None


def encode(changes: storecopy.CopyChanges) -> bytes:
    """Returns the compressed bytes of changes of a copy.

    A copy may have values of the next era shortly before it reads that era as a
    whole. They are sent with their own era, as a key that a full copy lacks
    counts as removed. Removals of another era are left out: the full read of
    that era shows them.
    """
    era = storeera.era_of(changes.revision)
    if not changes.revision:
        eras = (storeera.era_of(v.mod_revision) for v in changes.values)
        era = max(eras, default=0)
    data = msgspec.msgpack.encode(
        _Changes(
            storeera.revision_of(changes.revision),
            changes.age_s,
            changes.is_full,
            [_item(value, era) for value in changes.values],
            [
                (key, storeera.revision_of(revision))
                for key, revision in changes.removed
                if storeera.era_of(revision) == era
            ],
            era,
        )
    )
    return zlib.compress(data, _COMPRESSION_LEVEL)


def _item(value: keyvalue.KeyValue, message_era: int) -> _Item:
    era = storeera.era_of(value.mod_revision)
    return _Item(
        value.key,
        value.value,
        storeera.revision_of(value.mod_revision),
        None if era == message_era else era,
    )


def decode(
    data: bytes, own_era: int = 0
) -> storecopy.CopyChanges | errors.Failure:
    """Decodes what `encode` returned.

    Args:
      data: The bytes.
      own_era: Era of the receiver, which is taken for that of a message
        without one.
    """
    try:
        unpacker = zlib.decompressobj()
        unpacked = unpacker.decompress(data, _MAX_SNAPSHOT_BYTES)
        if not unpacker.eof:
            raise zlib.error("compressed data is truncated or too long")
        result = msgspec.msgpack.decode(unpacked, type=_Changes)
    except (msgspec.DecodeError, RecursionError, zlib.error) as error:
        return errors.Failure(
            errors.Reason.INVALID,
            errors.Step.CONFIGURE,
            "snapshot",
            detail=str(error),
        )
    era = own_era if result.era is None else result.era
    return storecopy.CopyChanges(
        storeera.combine(era, result.revision),
        result.age_s,
        result.is_full,
        tuple(
            keyvalue.KeyValue(
                i.key,
                i.value,
                storeera.combine(era if i.era is None else i.era, i.revision),
            )
            for i in result.items
        ),
        tuple(
            (key, storeera.combine(era, revision))
            for key, revision in result.removed
        ),
    )


def _queried_revision(query: Mapping[str, str], name: str, own_era: int) -> int:
    """Returns a revision that another instance states in a query.

    Raises:
      KeyError: The query does not state it.
      ValueError: It is not a revision.
    """
    return storeera.combine(
        _bounded(query.get("era", str(own_era)), storeera.MAX_ERA),
        _bounded(query[name], storeera.REVISIONS_PER_ERA - 1),
    )


def _bounded(text: str, maximum: int) -> int:
    number = int(text)
    if not 0 <= number <= maximum:
        raise ValueError(f"out of range: {number}")
    return number


async def answer_peer(
    mirror: storemirror.StoreMirror, path: str, query: Mapping[str, str]
) -> bytes | errors.Failure:
    """Answers `/changes` and `/value` requests of other instances.

    Args:
      mirror: Mirror of the store in this instance.
      path: Path of the request.
      query: `after` and `wait_ms`, or `key` and `revision`; and the `era` of
        the revision, which an instance of the version before does not state.
    """
    own_era = storeera.era_of(mirror.revision)
    try:
        if path == "/changes":
            wait_s = min(MAX_WAIT_S, int(query["wait_ms"]) / 1000.0)
            after = _queried_revision(query, "after", own_era)
            return encode(await mirror.changes_after(after, wait_s))
        key = query["key"]
        revision = _queried_revision(query, "revision", own_era)
    except (KeyError, ValueError) as error:
        return errors.Failure(
            errors.Reason.BAD_REQUEST,
            errors.Step.READ,
            "caller",
            detail=f"parameter {error}",
        )
    value = await mirror.value_from(key, revision, VALUE_WAIT_S)
    values = () if value is None else (value,)
    return encode(storecopy.CopyChanges(0, 0.0, False, values))


class HttpPeerReader(storecopy.PeerReader):
    """See base class; calls the operator port of the other instance."""

    def __init__(self, own_era: Callable[[], int] = lambda: 0) -> None:
        """Creates a reader.

        Args:
          own_era: Returns the era of this instance's copy. An answer without
            an era, to a call that states no revision, is taken for one of it.
        """
        self._own_era = own_era

    async def read_value(
        self, address: str, key: str, revision: int
    ) -> keyvalue.KeyValue | None | errors.Failure:
        """See base class."""
        era = storeera.era_of(revision)
        query = urllib.parse.urlencode(
            {
                "key": key,
                "revision": storeera.revision_of(revision),
                "era": era,
            }
        )
        result = await _read(address, f"/value?{query}", VALUE_WAIT_S, era)
        if isinstance(result, errors.Failure):
            return result
        return next((v for v in result.values if v.key == key), None)

    async def read_changes(
        self, address: str, after: int, wait_s: float
    ) -> storecopy.CopyChanges | errors.Failure:
        """See base class."""
        wait_ms = round(1000 * wait_s)
        era = storeera.era_of(after) if after else self._own_era()
        path = (
            f"/changes?after={storeera.revision_of(after)}"
            f"&wait_ms={wait_ms}&era={era}"
        )
        return await _read(address, path, wait_s, era)


async def adopt_from_seeds(
    mirror: storemirror.StoreMirror, seeds: list[str]
) -> None:
    """Adopts copies of seed instances until the store itself has been read.

    Args:
      mirror: Mirror that is still empty.
      seeds: `host:port` of instances; some may no longer exist.
    """
    peer_reader = HttpPeerReader()
    await asyncio.sleep(FIRST_READ_DELAY_S)
    while not mirror.revision:
        for seed in seeds:
            result = await peer_reader.read_changes(seed, 0, 0.0)
            if isinstance(result, errors.Failure):
                telemetry.log(
                    _log,
                    "snapshot_not_read",
                    peer=seed,
                    reason=str(result.reason),
                    detail=result.detail,
                )
            elif result.values:
                telemetry.log(
                    _log,
                    "snapshot_adopted",
                    peer=seed,
                    keys=len(result.values),
                    revision=storeera.revision_of(result.revision),
                    era=storeera.era_of(result.revision),
                    age_s=result.age_s,
                )
                mirror.adopt(result.values, seed)
        await asyncio.sleep(READ_INTERVAL_S)


async def _read(
    address: str, path: str, wait_s: float, own_era: int = 0
) -> storecopy.CopyChanges | errors.Failure:
    pool = httpclient.ConnectionPool(address, 1, _CONNECT_TIMEOUT_S)
    try:
        async with asyncio.timeout(
            _CONNECT_TIMEOUT_S + wait_s + _HEAD_TIMEOUT_S
        ):
            response = await pool.request("GET", path, [], b"")
        if isinstance(response, errors.Failure):
            return response
        if response.status != 200:
            await response.close()
            return pool.failure(
                errors.Reason.TARGET_ERROR, f"status {response.status}"
            )
        async with asyncio.timeout(BODY_TIMEOUT_S):
            body = await response.read_body(
                _MAX_SNAPSHOT_BYTES, _READ_IDLE_TIMEOUT_S
            )
    except TimeoutError:
        return pool.failure(errors.Reason.TIMEOUT, "no answer")
    finally:
        pool.close()
    return body if isinstance(body, errors.Failure) else decode(body, own_era)
