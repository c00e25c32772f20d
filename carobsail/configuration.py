"""The configuration at one revision: documents, policies and access keys."""

import asyncio
import hashlib
import hmac
from collections.abc import Iterable, Iterator, Mapping

import xxhash

from carobsail import errors, inventory
from carobsail.policies import (
    DueMs,
    Limits,
    Operation,
    Policy,
    Rate,
    Size,
)
from carobsail.templates import (
    ACCOUNTS,
    MAX_DOCUMENT_BYTES,
    PREFIX,
    TEMPLATES,
    ClientAccount,
    Document,
    Metadata,
    Parameter,
    ParameterType,
    Template,
    content,
    document_key,
    encode_document,
    invalid,
    parse_document,
    render,
)

__all__ = [
    "ACCOUNTS",
    "MAX_DOCUMENT_BYTES",
    "PREFIX",
    "TEMPLATES",
    "ClientAccount",
    "ConfigurationSet",
    "Document",
    "DueMs",
    "Limits",
    "Metadata",
    "Operation",
    "Parameter",
    "ParameterType",
    "Policy",
    "Rate",
    "Size",
    "Template",
    "content",
    "document_key",
    "encode_document",
    "invalid",
    "parse_document",
    "render",
]

# Rendering an account takes about 0.13 ms, so a slice holds the loop for about
# 3 ms; tokens are due every 41 ms.
DOCUMENTS_A_SLICE = 25
# Compared with when no account has the key, so that both paths do the same.
_NO_DIGEST = bytes(32)


class ConfigurationSet:
    """All templates, client accounts and policies at one revision.

    Immutable; a change returns a new set. A document that cannot be parsed
    or rendered keeps its last good state and is listed in `failures`.

    Attributes:
      revision: Revision of the key-value service.
      templates: Templates by name.
      accounts: Client accounts by name, as last parsed.
      policies: Policies by account name, as last rendered.
      failures: What is wrong, by document key.
    """

    __slots__ = (
        "_by_digest",
        "_seen",
        "_unparsed",
        "accounts",
        "failures",
        "policies",
        "revision",
        "templates",
    )

    def __init__(self) -> None:
        """Creates the empty set at revision 0."""
        self.revision = 0
        self.templates: Mapping[str, Template] = {}
        self.accounts: Mapping[str, ClientAccount] = {}
        self.policies: Mapping[str, Policy] = {}
        self.failures: Mapping[str, errors.Failure] = {}
        # Account names by digest of an access key, sorted; the first one
        # is used, so that all processes agree on a hash given twice.
        self._by_digest: Mapping[bytes, tuple[str, ...]] = {}
        # Keys whose stored document cannot be parsed. Rendering the last
        # good document again must not clear their failure.
        self._unparsed: frozenset[str] = frozenset()
        # Hash of each document as last given, so that a snapshot renders
        # only what differs.
        self._seen: Mapping[str, bytes] = {}

    def with_documents(
        self, revision: int, changes: Mapping[str, bytes | None]
    ) -> "ConfigurationSet | errors.Failure":
        """Applies changed documents; renders only the accounts touched.

        Args:
          revision: Revision of the result, not below the present one.
          changes: New documents by key; None deletes one. Keys outside the
            configuration are ignored.

        Returns:
          The new set, or STALE_REVISION when the revision is too old.
        """
        if revision < self.revision:
            return self._stale(revision)
        draft = _Draft(self)
        for _ in draft.work(changes):
            pass
        return draft.finish(revision)

    def _stale(self, revision: int) -> errors.Failure:
        return errors.Failure(
            errors.Reason.STALE_REVISION,
            errors.Step.CONFIGURE,
            "configuration",
            detail=f"revision {revision} is below {self.revision}",
        )

    def replaced_by(
        self, revision: int, documents: Mapping[str, bytes]
    ) -> "ConfigurationSet | errors.Failure":
        """Applies a snapshot: documents that it lacks are deleted."""
        return self.with_documents(revision, self._differences(documents))

    async def replace_in_slices(
        self, revision: int, documents: Mapping[str, bytes]
    ) -> "ConfigurationSet | errors.Failure":
        """Does `replaced_by` in slices between which the loop goes on.

        A template's change renders all its accounts, which held the loop for
        1 s at 8,000 accounts.
        """
        if revision < self.revision:
            return self._stale(revision)
        draft = _Draft(self)
        for _ in draft.work(self._differences(documents)):
            await asyncio.sleep(0)
        return draft.finish(revision)

    def _differences(
        self, documents: Mapping[str, bytes]
    ) -> dict[str, bytes | None]:
        changes: dict[str, bytes | None] = dict.fromkeys(self._seen)
        changes.update(documents)
        return changes

    def authenticate(self, key: str) -> Policy | errors.Failure:
        """Returns the policy of the account that has an access key."""
        digest = hashlib.sha256(key.encode("utf-8", "replace")).digest()
        names = self._by_digest.get(digest, ())
        stored = digest if names else _NO_DIGEST
        # The table is searched by digest, which callers cannot steer; both
        # outcomes make the same comparison.
        policy = self.policies.get(names[0] if names else "")
        if hmac.compare_digest(digest, stored) and policy is not None:
            return policy
        return errors.Failure(
            errors.Reason.UNAUTHENTICATED,
            errors.Step.AUTHENTICATE,
            "caller",
            detail="unknown access key",
        )

    def conflicts(self) -> list[errors.Failure]:
        """Returns one failure for each access key that two accounts have."""
        return [
            invalid(
                f"accounts/{name}",
                f'"key_hashes": a hash is already used by "{names[0]}"',
            )
            for names in self._by_digest.values()
            for name in names[1:]
        ]

    def check(self, listed: inventory.Inventory) -> list[errors.Failure]:
        """Checks that models, adapters and services exist (R2).

        Args:
          listed: What the platform lists.

        Returns:
          One failure for each missing name, in order of accounts.
        """
        models = {model.name for model in listed.models}
        adapters = {adapter.name: adapter.model for adapter in listed.adapters}
        services = {
            target.pool
            for target in listed.targets
            if target.kind is inventory.Kind.SERVICE
        }
        found: list[errors.Failure] = []
        for name, policy in sorted(self.policies.items()):
            document = f"accounts/{name}"
            for model in policy.models:
                if model not in models:
                    found.append(
                        invalid(document, f'"models": no model "{model}"')
                    )
            for adapter in policy.adapters:
                base = adapters.get(adapter)
                if base is None:
                    problem = f'"adapters": no adapter "{adapter}"'
                elif base not in policy.models:
                    problem = f'"adapters": "{adapter}" needs model "{base}"'
                else:
                    continue
                found.append(invalid(document, problem))
            for operation in policy.operations:
                service = operation.service
                if service and service not in services:
                    found.append(
                        invalid(
                            document, f'"operations": no service "{service}"'
                        )
                    )
        return found


class _Draft:
    """Builds the next set from the present one."""

    __slots__ = (
        "accounts",
        "by_digest",
        "failures",
        "policies",
        "seen",
        "templates",
        "touched",
        "unparsed",
    )

    def __init__(self, base: ConfigurationSet) -> None:
        self.templates = dict(base.templates)
        self.accounts = dict(base.accounts)
        self.policies = dict(base.policies)
        self.failures = dict(base.failures)
        self.by_digest = dict(base._by_digest)
        self.unparsed = set(base._unparsed)
        self.seen = dict(base._seen)
        self.touched: set[str] = set()

    def change(self, key: str, data: bytes | None) -> None:
        """Takes one changed or deleted document."""
        if key.startswith(TEMPLATES):
            name = key.removeprefix(TEMPLATES)
        elif key.startswith(ACCOUNTS):
            name = key.removeprefix(ACCOUNTS)
        else:
            return
        if data is None:
            self.failures.pop(key, None)
            self.unparsed.discard(key)
            self.seen.pop(key, None)
            self._delete(key, name)
            return
        digest = xxhash.xxh3_128_digest(data)
        if self.seen.get(key) == digest:
            return
        self.seen[key] = digest
        self.failures.pop(key, None)
        self.unparsed.discard(key)
        document = parse_document(data, key.removeprefix(PREFIX))
        if not isinstance(document, errors.Failure) and (
            document_key(document) != key
        ):
            document = invalid(
                key.removeprefix(PREFIX),
                f'"name": the document belongs at {document_key(document)}',
            )
        if isinstance(document, errors.Failure):
            self.failures[key] = document
            self.unparsed.add(key)
        elif isinstance(document, Template):
            self.templates[name] = document
            self._touch_users(name)
        else:
            self.accounts[name] = document
            self.touched.add(name)

    def _delete(self, key: str, name: str) -> None:
        if key.startswith(TEMPLATES):
            if self.templates.pop(name, None) is not None:
                self._touch_users(name)
            return
        self.accounts.pop(name, None)
        self.touched.discard(name)
        policy = self.policies.pop(name, None)
        if policy is not None:
            self._unlist(policy)

    def _touch_users(self, template: str) -> None:
        self.touched.update(
            name
            for name, account in self.accounts.items()
            if account.template == template
        )

    def work(self, changes: Mapping[str, bytes | None]) -> Iterator[None]:
        """Takes changes and renders the accounts touched.

        Yields after each slice of the work.
        """
        for number, key in enumerate(sorted(changes), 1):
            self.change(key, changes[key])
            if number % DOCUMENTS_A_SLICE == 0:
                yield
        for number, name in enumerate(sorted(self.touched), 1):
            self._render(name)
            if number % DOCUMENTS_A_SLICE == 0:
                yield

    def _render(self, name: str) -> None:
        """Renders the policy of an account."""
        account = self.accounts[name]
        policy = render(account, self.templates.get(account.template))
        key = ACCOUNTS + name
        if isinstance(policy, errors.Failure):
            if key not in self.unparsed:
                self.failures[key] = policy
            return
        if name in self.policies:
            self._unlist(self.policies[name])
        if key not in self.unparsed:
            self.failures.pop(key, None)
        self.policies[name] = policy
        for digest in _digests(policy.key_hashes):
            names = self.by_digest.get(digest, ())
            self.by_digest[digest] = tuple(sorted((*names, name)))

    def _unlist(self, policy: Policy) -> None:
        for digest in _digests(policy.key_hashes):
            names = self.by_digest[digest]
            left = tuple(name for name in names if name != policy.account)
            if left:
                self.by_digest[digest] = left
            else:
                del self.by_digest[digest]

    def finish(self, revision: int) -> ConfigurationSet:
        """Returns the set."""
        result = ConfigurationSet()
        result.revision = revision
        result.templates = self.templates
        result.accounts = self.accounts
        result.policies = self.policies
        result.failures = self.failures
        result._by_digest = self.by_digest
        result._seen = self.seen
        result._unparsed = frozenset(self.unparsed)
        return result


def _digests(key_hashes: Iterable[str]) -> list[bytes]:
    return [bytes.fromhex(key_hash) for key_hash in key_hashes]
