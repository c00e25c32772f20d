"""Configuration changes by operators: validate, plan and apply."""

import asyncio
import dataclasses
import enum
import pathlib
from collections.abc import Collection, Iterable, Mapping

import msgspec

from carobsail import configuration, differences, errors, inventory, keyvalue

# etcd allows 128 operations in a transaction, including its conditions.
MAX_CHANGES = 60
COMMIT_TIMEOUT_S = 15.0
# Each template has a key with this prefix. Changing an account writes the key
# of its template; changing a template compares that key. Otherwise concurrent
# changes of an account and its template could be inconsistent. The prefix is
# not that of the documents, so that instances do not relay these keys.
TEMPLATE_USERS_PREFIX = "/carobsail/template-users/"
RETRY_INTERVAL_S = 0.5


class Status(enum.IntEnum):
    """Result of an operation, and exit code of `carobsailctl`."""

    DONE = 0
    INVALID = 1
    CONFLICT = 2
    UNAVAILABLE = 3
    NOT_ACCEPTED = 4


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """Result of an operation.

    Attributes:
      status: Whether and how it succeeded or failed.
      lines: Lines to print for the operator.
      revision: Revision of the change, or the revision that was read.
    """

    status: Status
    lines: tuple[str, ...] = ()
    revision: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class StoredDocuments:
    """The documents in the key-value service at one revision."""

    revision: int
    values: Mapping[str, keyvalue.KeyValue]

    def rendered(self) -> configuration.ConfigurationSet:
        """Renders all stored documents."""
        return _render({key: value.value for key, value in self.values.items()})


Documents = dict[str, configuration.Document]


def parse_files(files: Iterable[str]) -> Documents | Result:
    """Parses files that contain one template or client account each."""
    found: Documents = {}
    lines = []
    for file in files:
        path = pathlib.Path(file)
        try:
            data = path.read_bytes()
        except OSError as error:
            lines.append(f"{file}: {error.strerror}")
            continue
        document = configuration.parse_document(data, path.name)
        if isinstance(document, errors.Failure):
            lines.append(document.detail)
            continue
        key = configuration.document_key(document)
        if key in found:
            lines.append(f'{path.name}: "name": {key} occurs in two files')
        found[key] = document
    if lines or not found:
        return Result(Status.INVALID, tuple(lines) or ("no files given",))
    return found


def validate(
    documents: Documents, platform_inventory: inventory.Inventory | None = None
) -> Result:
    """Validates documents without reading the key-value service.

    Args:
      documents: Templates and the accounts that use them.
      platform_inventory: Inventory in which models, adapters and services
        must exist.
    """
    encoded = {
        key: configuration.encode_document(document)
        for key, document in documents.items()
    }
    config_set = _render(encoded)
    found = [*config_set.failures.values(), *config_set.shared_key_failures()]
    if platform_inventory is not None:
        found += config_set.check_references(platform_inventory)
    if found:
        return Result(
            Status.INVALID, tuple(failure.detail for failure in found)
        )
    return Result(Status.DONE, (f"{len(documents)} documents are valid",))


async def read_stored_documents(
    client: keyvalue.KeyValueClient,
) -> StoredDocuments | Result:
    """Reads all stored documents."""
    result = await client.range(configuration.CONFIG_PREFIX)
    if isinstance(result, errors.Failure):
        return Result(Status.UNAVAILABLE, (str(result),))
    return StoredDocuments(
        result.revision, {value.key: value for value in result.values}
    )


async def plan(
    client: keyvalue.KeyValueClient,
    documents: Documents,
    platform_inventory: inventory.Inventory | None = None,
) -> Result:
    """Shows what `apply` would change, and the revision to pass as `--seen`."""
    stored = await read_stored_documents(client)
    if isinstance(stored, Result):
        return stored
    changed = _changed_documents(stored, documents)
    added_problems = new_problems(
        stored, encode_documents(changed), platform_inventory
    )
    if added_problems:
        return Result(Status.INVALID, tuple(added_problems), stored.revision)
    lines: list[str] = []
    for key, document in changed.items():
        lines += differences.diff_lines(key, stored.values.get(key), document)
    lines.append(
        f"{len(changed)} of {len(documents)} documents change;"
        f" apply with --seen {stored.revision}"
    )
    return Result(Status.DONE, tuple(lines), stored.revision)


async def apply(
    client: keyvalue.KeyValueClient,
    documents: Documents,
    metadata: configuration.Metadata,
    seen: int | None = None,
    platform_inventory: inventory.Inventory | None = None,
) -> Result:
    """Commits documents in one transaction.

    The transaction takes effect only if neither the documents nor the templates
    that they use have changed since the operator saw them.

    Args:
      client: The key-value service.
      documents: New documents.
      metadata: Unique identifier of this change, and the operator.
      seen: Revision that the operator saw; None for the current one.
      platform_inventory: Inventory in which models, adapters and services
        must exist.
    """
    # Read before the documents: an account that changes after this read makes
    # the transaction fail.
    template_users = await _read_template_users(client, documents)
    if isinstance(template_users, Result):
        return template_users
    stored = await read_stored_documents(client)
    if isinstance(stored, Result):
        return stored
    changed = _changed_documents(stored, documents)
    if not changed:
        return Result(Status.DONE, ("nothing changes",), stored.revision)
    if len(changed) > MAX_CHANGES:
        problem = f"{len(changed)} documents, at most {MAX_CHANGES} at once"
        return Result(Status.INVALID, (problem,))
    compared_keys = sorted(set(changed) | _templates_of(changed))
    if seen is not None:
        newer = [
            stored.values[key]
            for key in compared_keys
            if key in stored.values and stored.values[key].mod_revision > seen
        ]
        if newer:
            return show_conflict(newer, changed, False)
    added_problems = new_problems(
        stored, encode_documents(changed), platform_inventory
    )
    if added_problems:
        return Result(Status.INVALID, tuple(added_problems))
    compares = [
        keyvalue.Compare(
            key, stored.values[key].mod_revision if key in stored.values else 0
        )
        for key in compared_keys
    ]
    compares += [
        keyvalue.Compare(TEMPLATE_USERS_PREFIX + name, revision)
        for name, revision in template_users.items()
        if configuration.TEMPLATES_PREFIX + name in changed
    ]
    encoded = msgspec.json.encode(metadata)
    writes: list[keyvalue.Put | keyvalue.Delete] = [
        keyvalue.Put(
            TEMPLATE_USERS_PREFIX
            + key.removeprefix(configuration.TEMPLATES_PREFIX),
            encoded,
        )
        for key in sorted(_templates_of(changed))
    ]
    for key, document in changed.items():
        tagged = msgspec.structs.replace(document, metadata=metadata)
        writes.append(keyvalue.Put(key, configuration.encode_document(tagged)))
    return await commit(client, compares, writes, changed, metadata)


async def _read_template_users(
    client: keyvalue.KeyValueClient, documents: Documents
) -> dict[str, int] | Result:
    """Reads the revision at which an account last changed, by template.

    The revision is 0 if no account of the template was ever written.
    """
    names = [
        document.name
        for document in documents.values()
        if isinstance(document, configuration.Template)
    ]
    if not names:
        return {}
    result = await client.transact(
        [keyvalue.Compare(TEMPLATE_USERS_PREFIX + name, 0) for name in names],
        [],
    )
    if isinstance(result, errors.Failure):
        return Result(Status.UNAVAILABLE, (str(result),))
    found = {value.key: value.mod_revision for value in result.current}
    return {name: found.get(TEMPLATE_USERS_PREFIX + name, 0) for name in names}


async def commit(
    client: keyvalue.KeyValueClient,
    compares: list[keyvalue.Compare],
    writes: list[keyvalue.Put | keyvalue.Delete],
    changed: Documents,
    metadata: configuration.Metadata,
    deleted: Collection[str] = (),
) -> Result:
    """Retries a transaction until its outcome is certain.

    A retry is safe: once one attempt took effect, the conditions of the others
    fail, and the stored change identifier shows whose change it was.

    Args:
      client: The key-value service.
      compares: Conditions.
      writes: Writes to make if all conditions hold.
      changed: Documents that are written.
      metadata: Identifier of the change, stored with the documents.
      deleted: Keys of documents that are deleted.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + COMMIT_TIMEOUT_S
    outcome_unknown = False
    while True:
        result = await client.transact(compares, writes)
        if not isinstance(result, errors.Failure):
            if result.succeeded:
                return Result(Status.DONE, (), result.revision)
            own_writes = [
                value
                for value in result.current
                if value.key in changed
                and _metadata(value).change == metadata.change
            ]
            present = {value.key for value in result.current}
            deletion_done = outcome_unknown and present.isdisjoint(deleted)
            if len(own_writes) == len(changed) and (
                deletion_done or not deleted
            ):
                revision = (
                    own_writes[0].mod_revision
                    if own_writes
                    else result.revision
                )
                return Result(Status.DONE, (), revision)
            expected = {c.key: c.mod_revision for c in compares}
            return show_conflict(
                [
                    value
                    for value in result.current
                    if value.mod_revision != expected[value.key]
                ],
                changed,
                outcome_unknown,
            )
        outcome_unknown = (
            outcome_unknown or result.outcome is not errors.Outcome.NOT_RUN
        )
        if loop.time() >= deadline:
            effect = (
                "may still take effect" if outcome_unknown else "was not made"
            )
            line = f"{result}; change {metadata.change} {effect}"
            return Result(Status.UNAVAILABLE, (line,))
        await asyncio.sleep(RETRY_INTERVAL_S)


def _render(documents: Mapping[str, bytes]) -> configuration.ConfigurationSet:
    config_set = configuration.ConfigurationSet().with_snapshot(1, documents)
    assert isinstance(config_set, configuration.ConfigurationSet)
    return config_set


def _changed_documents(
    stored: StoredDocuments, documents: Documents
) -> Documents:
    """Returns the documents whose content differs from the stored one."""
    found = {}
    for key, document in sorted(documents.items()):
        value = stored.values.get(key)
        present = configuration.parse_document(value.value) if value else None
        if isinstance(
            present, configuration.Template | configuration.ClientAccount
        ) and (
            configuration.document_content(present)
            == configuration.document_content(document)
        ):
            continue
        found[key] = document
    return found


def _templates_of(documents: Documents) -> set[str]:
    return {
        configuration.TEMPLATES_PREFIX + document.template
        for document in documents.values()
        if isinstance(document, configuration.ClientAccount)
    }


def encode_documents(documents: Documents) -> dict[str, bytes | None]:
    """Returns the documents in the form in which they are stored."""
    return {
        key: configuration.encode_document(document)
        for key, document in documents.items()
    }


def new_problems(
    stored: StoredDocuments,
    changed: Mapping[str, bytes | None],
    platform_inventory: inventory.Inventory | None,
) -> list[str]:
    """Returns the problems that the change would add to existing ones.

    Args:
      stored: Current documents.
      changed: New documents by key; None deletes a document.
      platform_inventory: Inventory in which models, adapters and services
        must exist.
    """
    before = stored.rendered()
    after = before.with_documents(before.revision, changed)
    assert isinstance(after, configuration.ConfigurationSet)
    old_problems = {failure.detail for failure in before.shared_key_failures()}
    # Problems in a document of the change are reported even if they are not
    # new.
    old_problems |= {
        failure.detail
        for key, failure in before.failures.items()
        if key not in changed
    }
    found = [*after.failures.values(), *after.shared_key_failures()]
    if platform_inventory is not None:
        old_problems |= {
            failure.detail
            for failure in before.check_references(platform_inventory)
        }
        found += after.check_references(platform_inventory)
    return [
        failure.detail
        for failure in found
        if failure.detail not in old_problems
    ]


def _metadata(value: keyvalue.KeyValue) -> configuration.Metadata:
    if value.key.startswith(TEMPLATE_USERS_PREFIX):
        return msgspec.json.decode(value.value, type=configuration.Metadata)
    document = configuration.parse_document(value.value)
    if isinstance(document, errors.Failure):
        return configuration.Metadata()
    return document.metadata


def show_conflict(
    newer: list[keyvalue.KeyValue], changed: Documents, outcome_unknown: bool
) -> Result:
    """Shows the conflicting change, and how it differs from this one.

    Args:
      newer: Stored documents that changed since the operator saw them.
      changed: The operator's documents.
      outcome_unknown: Whether an earlier attempt may have taken effect.
    """
    lines = [
        "another change is in force: this one was replaced or never made"
        if outcome_unknown
        else "nothing was changed: another change came first"
    ]
    for value in newer:
        other = _metadata(value)
        lines.append(
            f"{value.key}: revision {value.mod_revision}, change"
            f" {other.change or 'unknown'} by {other.operator or 'unknown'}"
        )
        if value.key in changed:
            lines += differences.diff_lines(
                value.key, value, changed[value.key]
            )
    if not newer:
        lines.append("a document was deleted")
    return Result(Status.CONFLICT, tuple(lines))
