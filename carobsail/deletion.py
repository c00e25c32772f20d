"""Operators' deletion of templates and client accounts."""

from collections.abc import Iterable

from carobsail import configuration, inventory, keyvalue, operations
from carobsail.operations import Result, Status


async def delete(
    client: keyvalue.KeyValueClient,
    names: Iterable[str],
    seen: int | None = None,
    listed: inventory.Inventory | None = None,
) -> Result:
    """Deletes documents in one transaction.

    The transaction holds only if none of them changed since the operator saw
    it. A template that an account still uses is not deleted.

    Args:
      client: The key-value service.
      names: Names such as `accounts/clerks` or `templates/counter`.
      seen: Revision that the operator saw; None for the present one.
      listed: Inventory in which the rest must still be valid.
    """
    keys = sorted({configuration.PREFIX + name for name in names})
    if not keys:
        return Result(Status.INVALID, ("no documents given",))
    if len(keys) > operations.MAX_CHANGES:
        line = f"{len(keys)} documents, at most {operations.MAX_CHANGES}"
        return Result(Status.INVALID, (f"{line} at once",))
    stored = await operations.read(client)
    if isinstance(stored, Result):
        return stored
    missing = [key for key in keys if key not in stored.values]
    if missing:
        lines = (f"no document {_name(key)}" for key in missing)
        return Result(Status.INVALID, tuple(lines), stored.revision)
    if seen is not None:
        newer = [
            stored.values[key]
            for key in keys
            if stored.values[key].mod_revision > seen
        ]
        if newer:
            return operations.show_conflict(newer, {}, False)
    broken = operations.problems(stored, dict.fromkeys(keys), listed)
    if broken:
        return Result(Status.INVALID, tuple(broken), stored.revision)
    # An account that comes to use a deleted template compares the template's
    # revision, so the two changes cannot both take effect.
    return await operations.commit(
        client,
        [keyvalue.Compare(k, stored.values[k].mod_revision) for k in keys],
        [keyvalue.Delete(key) for key in keys],
        {},
        configuration.Metadata(),
        keys,
    )


def _name(key: str) -> str:
    return key.removeprefix(configuration.PREFIX)
