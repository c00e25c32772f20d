"""What is known of the store, passed to an instance that cannot reach it.

Load pattern: an instance starts while the store is away or turns it away. It
has no configuration and could serve nobody; the seeds of its settings lead it
to instances that have one.
"""

import asyncio
import logging
import urllib.parse
import zlib

import msgspec

from carobsail import errors, httpclient, keyvalue, storemirror, telemetry

# The store answers a first reading within this time on a calm day.
FIRST_ASK_S = 0.4
ASK_AGAIN_S = 0.5
_CALL_TIMEOUT_S = 1.0
# Bound of a copy, packed and unpacked, as of one answer of the store; the
# configuration of a large deployment takes 130 KB.
_SNAPSHOT_BYTES = 16_777_216
# A configuration shrinks to a fifth in about 3 ms.
_COMPRESSION = 1

_log = logging.getLogger(__name__)


class _Item(msgspec.Struct, array_like=True, frozen=True):
    key: str
    value: bytes
    revision: int


class _Snapshot(msgspec.Struct, array_like=True, frozen=True):
    revision: int
    items: list[_Item]


def encode(revision: int, values: list[keyvalue.KeyValue]) -> bytes:
    """Returns the bytes of a snapshot.

    Args:
      revision: Revision up to which the copy is complete.
      values: The values.
    """
    items = [_Item(v.key, v.value, v.mod_revision) for v in values]
    data = msgspec.msgpack.encode(_Snapshot(revision, items))
    return zlib.compress(data, _COMPRESSION)


def decode(data: bytes) -> keyvalue.RangeResult | errors.Failure:
    """Returns the revision and values of a snapshot."""
    try:
        unpacker = zlib.decompressobj()
        plain = unpacker.decompress(data, _SNAPSHOT_BYTES)
        if not unpacker.eof:
            raise zlib.error("incomplete or too long")
        found = msgspec.msgpack.decode(plain, type=_Snapshot)
    except (msgspec.DecodeError, zlib.error) as error:
        return errors.Failure(
            errors.Reason.INVALID,
            errors.Step.CONFIGURE,
            "snapshot",
            detail=str(error),
        )
    values = (
        keyvalue.KeyValue(i.key, i.value, i.revision) for i in found.items
    )
    return keyvalue.RangeResult(found.revision, tuple(values))


class SnapshotPeers(storemirror.Peers):
    """See base class; reads the operators' port of the other instance."""

    async def read_value(
        self, address: str, key: str
    ) -> keyvalue.KeyValue | None | errors.Failure:
        """See base class."""
        query = urllib.parse.urlencode({"key": key})
        found = await _read(address, f"/snapshot?{query}")
        if isinstance(found, errors.Failure):
            return found
        return next((v for v in found.values if v.key == key), None)

    async def read_all(
        self, address: str
    ) -> keyvalue.RangeResult | errors.Failure:
        """See base class."""
        return await _read(address, "/snapshot")


async def adopt(mirror: storemirror.StoreMirror, seeds: list[str]) -> None:
    """Asks seeds until the store was read or one has answered.

    Args:
      mirror: The copy that is still empty.
      seeds: `host:port` of instances; some may be gone.
    """
    await asyncio.sleep(FIRST_ASK_S)
    while not mirror.revision:
        for seed in seeds:
            found = await _read(seed, "/snapshot")
            if isinstance(found, errors.Failure):
                telemetry.log(
                    _log,
                    "snapshot_not_read",
                    peer=seed,
                    reason=str(found.reason),
                    detail=found.detail,
                )
            elif found.values:
                telemetry.log(
                    _log,
                    "snapshot_adopted",
                    peer=seed,
                    keys=len(found.values),
                    revision=found.revision,
                )
                mirror.adopt(list(found.values))
        await asyncio.sleep(ASK_AGAIN_S)


async def _read(
    address: str, path: str
) -> keyvalue.RangeResult | errors.Failure:
    pool = httpclient.Pool(address, 1, _CALL_TIMEOUT_S)
    try:
        async with asyncio.timeout(_CALL_TIMEOUT_S):
            answer = await pool.request("GET", path, [], b"")
            if isinstance(answer, errors.Failure):
                return answer
            body = await answer.read(_SNAPSHOT_BYTES)
    except TimeoutError:
        return pool.failure(errors.Reason.TIMEOUT, "no answer")
    finally:
        pool.close()
    return body if isinstance(body, errors.Failure) else decode(body)
