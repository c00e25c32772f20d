"""Deletion of templates and client accounts by operators."""

from collections.abc import Iterable

from carobsail import configuration, inventory, keyvalue, operations
from carobsail.operations import Result, Status


async def delete(
    client: keyvalue.KeyValueClient,
    names: Iterable[str],
    seen_revision: int | None = None,
    platform_inventory: inventory.Inventory | None = None,
) -> Result:
    """Deletes documents in one transaction.

    The transaction succeeds only if none of them has changed since the
    operator read it. A template that an account still uses is not deleted.

    Args:
      client: The key-value service.
      names: Names such as `accounts/clerks` or `templates/counter`.
      seen_revision: Revision that the operator read; None for the present one.
      platform_inventory: Inventory against which the remaining documents are
        checked.
    """
    keys = sorted({configuration.CONFIG_PREFIX + name for name in names})
    if not keys:
        return Result(Status.INVALID, ("no documents given",))
    if len(keys) > operations.MAX_CHANGES:
        line = f"{len(keys)} documents, at most {operations.MAX_CHANGES}"
        return Result(Status.INVALID, (f"{line} at once",))
    stored = await operations.read_stored_documents(client)
    if isinstance(stored, Result):
        return stored
    missing = [key for key in keys if key not in stored.values]
    if missing:
        lines = (f"no document {_name(key)}" for key in missing)
        return Result(Status.INVALID, tuple(lines), stored.revision)
    if seen_revision is not None:
        changed_values = [
            stored.values[key]
            for key in keys
            if stored.values[key].mod_revision > seen_revision
        ]
        if changed_values:
            return operations.show_conflict(changed_values, {}, False)
    new_problems = operations.new_problems(
        stored, dict.fromkeys(keys), platform_inventory
    )
    if new_problems:
        return Result(Status.INVALID, tuple(new_problems), stored.revision)
    # A transaction that makes an account use one of these templates compares
    # the template's revision, so the two changes cannot both take effect.
    return await operations.commit(
        client,
        [keyvalue.Compare(k, stored.values[k].mod_revision) for k in keys],
        [keyvalue.Delete(key) for key in keys],
        {},
        configuration.Metadata(),
        keys,
    )


def _name(key: str) -> str:
    return key.removeprefix(configuration.CONFIG_PREFIX)
