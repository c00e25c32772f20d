"""What is known of the store, passed from one instance to another.

Load pattern: an instance starts while the store is away or turns it away. It
has no configuration and could serve nobody; the seeds of its settings lead it
to instances that have one. Instances that follow a deputy read its changes.
"""

import asyncio
import logging
import urllib.parse
import zlib
from collections.abc import Mapping

import msgspec

from carobsail import (
    errors,
    httpclient,
    keyvalue,
    storecopy,
    storemirror,
    telemetry,
)

# The store answers a first reading within this time on a calm day.
FIRST_ASK_S = 0.4
ASK_AGAIN_S = 0.5
# An instance that is cut off or frozen leaves a new connection unanswered.
_CONNECT_TIMEOUT_S = 0.3
# Time that an answer's head may take beyond the wait that was asked for.
_CALL_TIMEOUT_S = 0.3
# Silence within a body after which the other instance is given up. A value of
# 80 KB takes longer than that over a link that ten instances share.
_SILENCE_S = 1.0
# Bound of a whole answer. The copy that ten instances read over a link of
# 5 Mbit/s takes 2 s; later than this it would be out of date.
BODY_TIMEOUT_S = 4.0
# Bound of a copy, packed and unpacked, as of one answer of the store; the
# configuration of a large deployment takes 130 KB.
_SNAPSHOT_BYTES = 16_777_216
# A configuration shrinks to a fifth in about 3 ms.
_COMPRESSION = 1
# An instance holds another one's call at most for this long.
MAX_WAIT_S = 2.0
# A value that was told and is still on its way is waited for this long.
VALUE_WAIT_S = 0.5

_log = logging.getLogger(__name__)


class _Item(msgspec.Struct, array_like=True, frozen=True):
    key: str
    value: bytes
    revision: int


class _Changes(msgspec.Struct, array_like=True, frozen=True):
    revision: int
    age_s: float
    whole: bool
    items: list[_Item]
    removed: list[tuple[str, int]]


def encode(changes: storecopy.CopyChanges) -> bytes:
    """Returns the bytes of a part of a copy."""
    items = [_Item(v.key, v.value, v.mod_revision) for v in changes.values]
    data = msgspec.msgpack.encode(
        _Changes(
            changes.revision,
            changes.age_s,
            changes.whole,
            items,
            list(changes.removed),
        )
    )
    return zlib.compress(data, _COMPRESSION)


def decode(data: bytes) -> storecopy.CopyChanges | errors.Failure:
    """Returns a part of a copy."""
    try:
        unpacker = zlib.decompressobj()
        plain = unpacker.decompress(data, _SNAPSHOT_BYTES)
        if not unpacker.eof:
            raise zlib.error("incomplete or too long")
        found = msgspec.msgpack.decode(plain, type=_Changes)
    except (msgspec.DecodeError, zlib.error) as error:
        return errors.Failure(
            errors.Reason.INVALID,
            errors.Step.CONFIGURE,
            "snapshot",
            detail=str(error),
        )
    return storecopy.CopyChanges(
        found.revision,
        found.age_s,
        found.whole,
        tuple(
            keyvalue.KeyValue(i.key, i.value, i.revision) for i in found.items
        ),
        tuple(found.removed),
    )


async def answer(
    mirror: storemirror.StoreMirror, path: str, query: Mapping[str, str]
) -> bytes | errors.Failure:
    """Answers another instance: `/changes` and `/value`.

    Args:
      mirror: The copy of this instance.
      path: Path of the call.
      query: `after` and `wait_ms`, or `key` and `revision`.
    """
    try:
        if path == "/changes":
            wait_s = min(MAX_WAIT_S, int(query["wait_ms"]) / 1000.0)
            changes = await mirror.changes_after(int(query["after"]), wait_s)
            return encode(changes)
        key, revision = query["key"], int(query["revision"])
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


class SnapshotPeers(storecopy.Peers):
    """See base class; reads the operators' port of the other instance."""

    async def read_value(
        self, address: str, key: str, revision: int
    ) -> keyvalue.KeyValue | None | errors.Failure:
        """See base class."""
        query = urllib.parse.urlencode({"key": key, "revision": revision})
        found = await _read(address, f"/value?{query}", VALUE_WAIT_S)
        if isinstance(found, errors.Failure):
            return found
        return next((v for v in found.values if v.key == key), None)

    async def read_changes(
        self, address: str, after: int, wait_s: float
    ) -> storecopy.CopyChanges | errors.Failure:
        """See base class."""
        wait_ms = round(1000 * wait_s)
        path = f"/changes?after={after}&wait_ms={wait_ms}"
        return await _read(address, path, wait_s)


async def adopt(mirror: storemirror.StoreMirror, seeds: list[str]) -> None:
    """Asks seeds until the store was read or one has answered.

    Args:
      mirror: The copy that is still empty.
      seeds: `host:port` of instances; some may be gone.
    """
    peers = SnapshotPeers()
    await asyncio.sleep(FIRST_ASK_S)
    while not mirror.revision:
        for seed in seeds:
            found = await peers.read_changes(seed, 0, 0.0)
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
                    age_s=found.age_s,
                )
                mirror.adopt(found.values, seed)
        await asyncio.sleep(ASK_AGAIN_S)


async def _read(
    address: str, path: str, wait_s: float
) -> storecopy.CopyChanges | errors.Failure:
    pool = httpclient.Pool(address, 1, _CONNECT_TIMEOUT_S)
    try:
        async with asyncio.timeout(
            _CONNECT_TIMEOUT_S + wait_s + _CALL_TIMEOUT_S
        ):
            found = await pool.request("GET", path, [], b"")
        if isinstance(found, errors.Failure):
            return found
        async with asyncio.timeout(BODY_TIMEOUT_S):
            body = await found.read(_SNAPSHOT_BYTES, _SILENCE_S)
    except TimeoutError:
        return pool.failure(errors.Reason.TIMEOUT, "no answer")
    finally:
        pool.close()
    return body if isinstance(body, errors.Failure) else decode(body)
