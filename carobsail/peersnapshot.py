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
_SNAPSHOT_BYTES = 67_108_864
# A configuration shrinks to a fifth in about 3 ms.
_COMPRESSION = 1

_log = logging.getLogger(__name__)


class _Item(msgspec.Struct, array_like=True, frozen=True):
    key: str
    value: bytes
    revision: int


def encode(values: list[keyvalue.KeyValue]) -> bytes:
    """Returns the bytes of a snapshot."""
    items = [_Item(v.key, v.value, v.mod_revision) for v in values]
    return zlib.compress(msgspec.msgpack.encode(items), _COMPRESSION)


def decode(data: bytes) -> list[keyvalue.KeyValue] | errors.Failure:
    """Returns the values of a snapshot."""
    try:
        plain = zlib.decompress(data)
        items = msgspec.msgpack.decode(plain, type=list[_Item])
    except (msgspec.DecodeError, zlib.error) as error:
        return errors.Failure(
            errors.Reason.INVALID,
            errors.Step.CONFIGURE,
            "snapshot",
            detail=str(error),
        )
    return [keyvalue.KeyValue(i.key, i.value, i.revision) for i in items]


async def adopt(mirror: storemirror.StoreMirror, seeds: list[str]) -> None:
    """Asks seeds until the store was read or one has answered.

    Args:
      mirror: The copy that is still empty.
      seeds: `host:port` of instances; some may be gone.
    """
    await asyncio.sleep(FIRST_ASK_S)
    while not mirror.revision:
        for seed in seeds:
            values = await _ask(seed)
            if isinstance(values, errors.Failure):
                telemetry.log(
                    _log,
                    "snapshot_not_read",
                    peer=seed,
                    reason=str(values.reason),
                    detail=values.detail,
                )
            elif values:
                telemetry.log(
                    _log,
                    "snapshot_adopted",
                    peer=seed,
                    keys=len(values),
                    revision=max(v.mod_revision for v in values),
                )
                mirror.adopt(values)
        await asyncio.sleep(ASK_AGAIN_S)


async def _ask(seed: str) -> list[keyvalue.KeyValue] | errors.Failure:
    return await _read(seed, "/snapshot")


async def ask_value(
    address: str, key: str
) -> keyvalue.KeyValue | None | errors.Failure:
    """Reads one value from another instance.

    Args:
      address: `host:port` of its operators' port.
      key: The key.

    Returns:
      The value, None if the instance has none, or a failure.
    """
    query = urllib.parse.urlencode({"key": key})
    values = await _read(address, f"/snapshot?{query}")
    if isinstance(values, errors.Failure):
        return values
    return next((v for v in values if v.key == key), None)


async def _read(
    address: str, path: str
) -> list[keyvalue.KeyValue] | errors.Failure:
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
