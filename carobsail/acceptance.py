"""Checks which data centres have confirmed a revision of the configuration."""

import asyncio
import json
from collections.abc import Iterable, Mapping
from typing import Any

from carobsail import errors, keyvalue, operations
from carobsail.operations import Result, Status

# Data centres write their applied revision at most once a second.
POLL_INTERVAL_S = 1.0
ACCEPT_TIMEOUT_S = 60.0


async def wait_until_accepted(
    client: keyvalue.KeyValueClient,
    revision: int,
    data_centres: Iterable[str],
    timeout_s: float = ACCEPT_TIMEOUT_S,
) -> Result:
    """Waits until every data centre has confirmed a revision."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    names = sorted(data_centres)
    while True:
        applied = await read_applied(client, names)
        if isinstance(applied, errors.Failure):
            lines = [str(applied)]
        else:
            lines = [
                f"data centre {name} has confirmed revision {applied[name]},"
                f" not {revision}"
                for name in names
                if applied[name] < revision
            ]
            if not lines:
                done = f"revision {revision} is accepted"
                return Result(Status.DONE, (done,), revision)
        if loop.time() >= deadline:
            lines.append(f"revision {revision} is committed, not yet accepted")
            return Result(Status.NOT_ACCEPTED, tuple(lines), revision)
        await asyncio.sleep(POLL_INTERVAL_S)


async def read_applied(
    client: keyvalue.KeyValueClient, data_centres: list[str]
) -> dict[str, int] | errors.Failure:
    """Reads the revision that each data centre has confirmed, 0 if none."""
    values = await _read_keys(
        client, [f"/carobsail/dc/{name}/applied" for name in data_centres]
    )
    if isinstance(values, errors.Failure):
        return values
    return {
        name: int(_decode_value(values, name, "applied").get("revision", 0))
        for name in data_centres
    }


async def report_status(
    client: keyvalue.KeyValueClient, data_centres: Iterable[str]
) -> Result:
    """Reports leaders, applied revisions and documents not in force."""
    names = sorted(data_centres)
    stored = await operations.read_stored_documents(client)
    if isinstance(stored, Result):
        return stored
    values = await _read_keys(
        client,
        [
            f"/carobsail/dc/{name}/{part}"
            for name in names
            for part in ("applied", "leader")
        ],
    )
    if isinstance(values, errors.Failure):
        return Result(Status.UNAVAILABLE, (str(values),))
    newest = max((v.mod_revision for v in stored.values.values()), default=0)
    lines = [f"configuration revision {newest}"]
    lagging = 0
    for name in names:
        applied = int(_decode_value(values, name, "applied").get("revision", 0))
        leader = _decode_value(values, name, "leader").get("instance", "none")
        lag = "" if applied >= newest else f" lagging by {newest - applied}"
        lagging += bool(lag)
        lines.append(
            f"data centre {name}: leader {leader}, applied {applied}{lag}"
        )
    failures = stored.rendered().failures
    lines += [f"not in force: {f.detail}" for f in failures.values()]
    result = Status.NOT_ACCEPTED if lagging else Status.DONE
    return Result(result, tuple(lines), newest)


async def _read_keys(
    client: keyvalue.KeyValueClient, keys: list[str]
) -> dict[str, keyvalue.KeyValue] | errors.Failure:
    """Reads several keys at the same revision, with one call."""
    result = await client.transact([keyvalue.Compare(k, 0) for k in keys], [])
    if isinstance(result, errors.Failure):
        return result
    return {value.key: value for value in result.current}


def _decode_value(
    values: Mapping[str, keyvalue.KeyValue], data_centre: str, part: str
) -> dict[str, Any]:
    value = values.get(f"/carobsail/dc/{data_centre}/{part}")
    return json.loads(value.value) if value else {}
