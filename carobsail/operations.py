"""Operators' changes: validate, plan and apply."""

import asyncio
import dataclasses
import enum
import pathlib
from collections.abc import Collection, Iterable, Mapping

import msgspec

from carobsail import configuration, differences, errors, inventory, keyvalue

# etcd allows 128 operations in a transaction; conditions count as well.
MAX_CHANGES = 60
TRY_S = 15.0
# Written with each account, compared with each template: without it, an
# account and its template could change at once and not fit each other.
# Outside the prefix of the documents, so that nobody relays it.
USERS = "/carobsail/template-users/"
RETRY_S = 0.5


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
      status: What became of it.
      lines: What to tell the operator.
      revision: Revision of the change, or the one that was read.
    """

    status: Status
    lines: tuple[str, ...] = ()
    revision: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Stored:
    """The documents in the key-value service at one revision."""

    revision: int
    values: Mapping[str, keyvalue.KeyValue]

    def rendered(self) -> configuration.ConfigurationSet:
        """Renders all stored documents."""
        return _render({key: value.value for key, value in self.values.items()})


Documents = dict[str, configuration.Document]


def load(files: Iterable[str]) -> Documents | Result:
    """Parses files of one template or client account each."""
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
    documents: Documents, listed: inventory.Inventory | None = None
) -> Result:
    """Checks documents on their own, without the key-value service.

    Args:
      documents: Templates and the accounts that use them.
      listed: Inventory in which models, adapters and services must exist.
    """
    encoded = {
        key: configuration.encode_document(document)
        for key, document in documents.items()
    }
    built = _render(encoded)
    found = [*built.failures.values(), *built.conflicts()]
    if listed is not None:
        found += built.check(listed)
    if found:
        return Result(Status.INVALID, tuple(item.detail for item in found))
    return Result(Status.DONE, (f"{len(documents)} documents are valid",))


async def read(client: keyvalue.KeyValueClient) -> Stored | Result:
    """Reads all stored documents."""
    result = await client.range(configuration.PREFIX)
    if isinstance(result, errors.Failure):
        return Result(Status.UNAVAILABLE, (str(result),))
    return Stored(
        result.revision, {value.key: value for value in result.values}
    )


async def plan(
    client: keyvalue.KeyValueClient,
    documents: Documents,
    listed: inventory.Inventory | None = None,
) -> Result:
    """Shows what `apply` would change; its revision is for `--seen`."""
    stored = await read(client)
    if isinstance(stored, Result):
        return stored
    changed = _changed(stored, documents)
    invalid = problems(stored, encode(changed), listed)
    if invalid:
        return Result(Status.INVALID, tuple(invalid), stored.revision)
    lines: list[str] = []
    for key, document in changed.items():
        lines += differences.show(key, stored.values.get(key), document)
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
    listed: inventory.Inventory | None = None,
) -> Result:
    """Commits documents in one transaction.

    The transaction holds only if none of the documents, nor a template that
    they use, changed since the operator saw it.

    Args:
      client: The key-value service.
      documents: New documents.
      metadata: Identifier of this change, unique, and the operator.
      seen: Revision that the operator saw; None for the present one.
      listed: Inventory in which models, adapters and services must exist.
    """
    # Read before the documents, so that no account can change in between.
    users = await _read_users(client, documents)
    if isinstance(users, Result):
        return users
    stored = await read(client)
    if isinstance(stored, Result):
        return stored
    changed = _changed(stored, documents)
    if not changed:
        return Result(Status.DONE, ("nothing changes",), stored.revision)
    if len(changed) > MAX_CHANGES:
        problem = f"{len(changed)} documents, at most {MAX_CHANGES} at once"
        return Result(Status.INVALID, (problem,))
    watched = sorted(set(changed) | _templates_of(changed))
    if seen is not None:
        newer = [
            stored.values[key]
            for key in watched
            if key in stored.values and stored.values[key].mod_revision > seen
        ]
        if newer:
            return show_conflict(newer, changed, False)
    invalid = problems(stored, encode(changed), listed)
    if invalid:
        return Result(Status.INVALID, tuple(invalid))
    compares = [
        keyvalue.Compare(
            key, stored.values[key].mod_revision if key in stored.values else 0
        )
        for key in watched
    ]
    compares += [
        keyvalue.Compare(USERS + name, revision)
        for name, revision in users.items()
        if configuration.TEMPLATES + name in changed
    ]
    encoded = msgspec.json.encode(metadata)
    writes: list[keyvalue.Put | keyvalue.Delete] = [
        keyvalue.Put(USERS + key.removeprefix(configuration.TEMPLATES), encoded)
        for key in sorted(_templates_of(changed))
    ]
    for key, document in changed.items():
        tagged = msgspec.structs.replace(document, metadata=metadata)
        writes.append(keyvalue.Put(key, configuration.encode_document(tagged)))
    return await commit(client, compares, writes, changed, metadata)


async def _read_users(
    client: keyvalue.KeyValueClient, documents: Documents
) -> dict[str, int] | Result:
    """Reads when an account of each template was last changed (0: never)."""
    names = [
        document.name
        for document in documents.values()
        if isinstance(document, configuration.Template)
    ]
    if not names:
        return {}
    result = await client.transact(
        [keyvalue.Compare(USERS + name, 0) for name in names], []
    )
    if isinstance(result, errors.Failure):
        return Result(Status.UNAVAILABLE, (str(result),))
    found = {value.key: value.mod_revision for value in result.current}
    return {name: found.get(USERS + name, 0) for name in names}


async def commit(
    client: keyvalue.KeyValueClient,
    compares: list[keyvalue.Compare],
    writes: list[keyvalue.Put | keyvalue.Delete],
    changed: Documents,
    metadata: configuration.Metadata,
    deleted: Collection[str] = (),
) -> Result:
    """Repeats the transaction until its outcome is certain.

    Args:
      client: The key-value service.
      compares: Conditions.
      writes: What takes effect when they hold.
      changed: Documents that are written.
      metadata: Identifier of the change, stored with them.
      deleted: Keys of documents that are deleted.

    A repetition is safe: once any of them took effect, the conditions of
    the others fail, and the stored identifier tells whose change it was.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + TRY_S
    sent = False
    while True:
        result = await client.transact(compares, writes)
        if not isinstance(result, errors.Failure):
            if result.succeeded:
                return Result(Status.DONE, (), result.revision)
            mine = [
                value
                for value in result.current
                if value.key in changed
                and _metadata(value).change == metadata.change
            ]
            present = {value.key for value in result.current}
            gone = sent and present.isdisjoint(deleted)
            if len(mine) == len(changed) and (gone or not deleted):
                revision = mine[0].mod_revision if mine else result.revision
                return Result(Status.DONE, (), revision)
            expected = {c.key: c.mod_revision for c in compares}
            return show_conflict(
                [
                    value
                    for value in result.current
                    if value.mod_revision != expected[value.key]
                ],
                changed,
                sent,
            )
        sent = sent or result.outcome is not errors.Outcome.NOT_RUN
        if loop.time() >= until:
            effect = "may still take effect" if sent else "was not made"
            line = f"{result}; change {metadata.change} {effect}"
            return Result(Status.UNAVAILABLE, (line,))
        await asyncio.sleep(RETRY_S)


def _render(documents: Mapping[str, bytes]) -> configuration.ConfigurationSet:
    built = configuration.ConfigurationSet().replaced_by(1, documents)
    assert isinstance(built, configuration.ConfigurationSet)
    return built


def _changed(stored: Stored, documents: Documents) -> Documents:
    """Returns the documents whose content differs from the stored one."""
    found = {}
    for key, document in sorted(documents.items()):
        value = stored.values.get(key)
        present = configuration.parse_document(value.value) if value else None
        if isinstance(
            present, configuration.Template | configuration.ClientAccount
        ) and (
            configuration.content(present) == configuration.content(document)
        ):
            continue
        found[key] = document
    return found


def _templates_of(documents: Documents) -> set[str]:
    return {
        configuration.TEMPLATES + document.template
        for document in documents.values()
        if isinstance(document, configuration.ClientAccount)
    }


def encode(documents: Documents) -> dict[str, bytes | None]:
    """Returns the documents as they are stored."""
    return {
        key: configuration.encode_document(document)
        for key, document in documents.items()
    }


def problems(
    stored: Stored,
    changed: Mapping[str, bytes | None],
    listed: inventory.Inventory | None,
) -> list[str]:
    """Returns what the change would break that is not broken already.

    Args:
      stored: Present documents.
      changed: New documents by key; None deletes one.
      listed: Inventory in which models, adapters and services must exist.
    """
    before = stored.rendered()
    after = before.with_documents(before.revision, changed)
    assert isinstance(after, configuration.ConfigurationSet)
    old = {item.detail for item in before.conflicts()}
    # What the change itself contains is reported even if it is not new.
    old |= {
        item.detail
        for key, item in before.failures.items()
        if key not in changed
    }
    found = [*after.failures.values(), *after.conflicts()]
    if listed is not None:
        old |= {item.detail for item in before.check(listed)}
        found += after.check(listed)
    return [item.detail for item in found if item.detail not in old]


def _metadata(value: keyvalue.KeyValue) -> configuration.Metadata:
    if value.key.startswith(USERS):
        return msgspec.json.decode(value.value, type=configuration.Metadata)
    document = configuration.parse_document(value.value)
    if isinstance(document, errors.Failure):
        return configuration.Metadata()
    return document.metadata


def show_conflict(
    newer: list[keyvalue.KeyValue], changed: Documents, sent: bool
) -> Result:
    """Shows the other change, and how it differs from this one.

    Args:
      newer: Documents changed since the operator saw them.
      changed: The operator's documents.
      sent: Whether a transaction was sent whose outcome was not known.
    """
    lines = [
        "another change is in force: this one was replaced or never made"
        if sent
        else "nothing was changed: another change came first"
    ]
    for value in newer:
        other = _metadata(value)
        lines.append(
            f"{value.key}: revision {value.mod_revision}, change"
            f" {other.change or 'unknown'} by {other.operator or 'unknown'}"
        )
        if value.key in changed:
            lines += differences.show(value.key, value, changed[value.key])
    if not newer:
        lines.append("a document was deleted")
    return Result(Status.CONFLICT, tuple(lines))
