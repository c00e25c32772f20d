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
    ACCOUNTS_PREFIX,
    CONFIG_PREFIX,
    MAX_DOCUMENT_BYTES,
    TEMPLATES_PREFIX,
    ClientAccount,
    Document,
    Metadata,
    Parameter,
    ParameterType,
    Template,
    document_content,
    document_key,
    encode_document,
    invalid_document,
    parse_document,
    render_policy,
)

__all__ = [
    "ACCOUNTS_PREFIX",
    "CONFIG_PREFIX",
    "MAX_DOCUMENT_BYTES",
    "TEMPLATES_PREFIX",
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
    "document_content",
    "document_key",
    "encode_document",
    "invalid_document",
    "parse_document",
    "render_policy",
]

# Rendering an account takes about 0.13 ms, so a slice blocks the event loop for
# about 3 ms; the tokens of a stream are due every 41 ms.
DOCUMENTS_PER_SLICE = 25
# Stands in for the stored digest when no account has the access key, so that
# known and unknown keys take the same path.
_DUMMY_DIGEST = bytes(32)


class ConfigurationSet:
    """All templates, client accounts and policies at one revision.

    Immutable; a change returns a new set. If a document cannot be parsed or
    rendered, its last valid state stays in force and `failures` lists it.

    Attributes:
      revision: Revision of the key-value service.
      templates: Templates by name, as last parsed.
      accounts: Client accounts by name, as last parsed.
      policies: Policies by account name, as last rendered.
      failures: Why a document cannot be parsed or rendered, by document key.
    """

    __slots__ = (
        "_accounts_by_key_digest",
        "_document_digests",
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
        # Account names by digest of an access key, sorted. The first one is
        # used, so that all processes agree when two accounts have the same key.
        self._accounts_by_key_digest: Mapping[bytes, tuple[str, ...]] = {}
        # Keys whose stored document cannot be parsed. Rendering the last
        # valid document again must not clear their failure.
        self._unparsed: frozenset[str] = frozenset()
        # Hash of each document as last received, so that a snapshot renders
        # only the documents that differ.
        self._document_digests: Mapping[str, bytes] = {}

    def with_documents(
        self, revision: int, changes: Mapping[str, bytes | None]
    ) -> "ConfigurationSet | errors.Failure":
        """Applies changed documents; renders only the accounts affected.

        Args:
          revision: Revision of the result, not below that of this set.
          changes: New documents by key; None deletes one. Keys outside the
            configuration are ignored.

        Returns:
          The new set, or a STALE_REVISION failure when `revision` is below
          that of this set.
        """
        if revision < self.revision:
            return self._stale_revision(revision)
        builder = _SetBuilder(self)
        for _ in builder.apply_in_slices(changes):
            pass
        return builder.build(revision)

    def _stale_revision(self, revision: int) -> errors.Failure:
        return errors.Failure(
            errors.Reason.STALE_REVISION,
            errors.Step.CONFIGURE,
            "configuration",
            detail=f"revision {revision} is below {self.revision}",
        )

    def with_snapshot(
        self, revision: int, documents: Mapping[str, bytes]
    ) -> "ConfigurationSet | errors.Failure":
        """Applies a snapshot; documents that it lacks are deleted."""
        return self.with_documents(
            revision, self._changes_to_snapshot(documents)
        )

    async def with_snapshot_in_slices(
        self, revision: int, documents: Mapping[str, bytes]
    ) -> "ConfigurationSet | errors.Failure":
        """Like `with_snapshot`, but yields to the event loop between slices.

        The change of a template renders all accounts that use it, which
        blocked the event loop for 1 s with 8,000 accounts.
        """
        if revision < self.revision:
            return self._stale_revision(revision)
        builder = _SetBuilder(self)
        for _ in builder.apply_in_slices(self._changes_to_snapshot(documents)):
            await asyncio.sleep(0)
        return builder.build(revision)

    def _changes_to_snapshot(
        self, documents: Mapping[str, bytes]
    ) -> dict[str, bytes | None]:
        changes: dict[str, bytes | None] = dict.fromkeys(self._document_digests)
        changes.update(documents)
        return changes

    def authenticate(self, key: str) -> Policy | errors.Failure:
        """Returns the policy of the account that has an access key."""
        digest = hashlib.sha256(key.encode("utf-8", "replace")).digest()
        names = self._accounts_by_key_digest.get(digest, ())
        stored = digest if names else _DUMMY_DIGEST
        # The lookup is by digest, which callers cannot choose; known and
        # unknown keys both make the same comparison.
        policy = self.policies.get(names[0] if names else "")
        if hmac.compare_digest(digest, stored) and policy is not None:
            return policy
        return errors.Failure(
            errors.Reason.UNAUTHENTICATED,
            errors.Step.AUTHENTICATE,
            "caller",
            detail="unknown access key",
        )

    def shared_key_failures(self) -> list[errors.Failure]:
        """Returns a failure for each account whose key an earlier one has."""
        return [
            invalid_document(
                f"accounts/{name}",
                f'"key_hashes": a hash is already used by "{names[0]}"',
            )
            for names in self._accounts_by_key_digest.values()
            for name in names[1:]
        ]

    def check_references(
        self, platform_inventory: inventory.Inventory
    ) -> list[errors.Failure]:
        """Checks that models, adapters and services in policies exist.

        Requirement R2 asks for this check.

        Args:
          platform_inventory: The platform's inventory.

        Returns:
          One failure for each missing name, in the order of account names.
        """
        models = {model.name for model in platform_inventory.models}
        adapters = {
            adapter.name: adapter.model
            for adapter in platform_inventory.adapters
        }
        services = {
            target.pool
            for target in platform_inventory.targets
            if target.kind is inventory.Kind.SERVICE
        }
        failures_found: list[errors.Failure] = []
        for name, policy in sorted(self.policies.items()):
            document = f"accounts/{name}"
            for model in policy.models:
                if model not in models:
                    failures_found.append(
                        invalid_document(
                            document, f'"models": no model "{model}"'
                        )
                    )
            for adapter in policy.adapters:
                base = adapters.get(adapter)
                if base is None:
                    problem = f'"adapters": no adapter "{adapter}"'
                elif base not in policy.models:
                    problem = f'"adapters": "{adapter}" needs model "{base}"'
                else:
                    continue
                failures_found.append(invalid_document(document, problem))
            for operation in policy.operations:
                service = operation.service
                if service and service not in services:
                    failures_found.append(
                        invalid_document(
                            document, f'"operations": no service "{service}"'
                        )
                    )
        return failures_found


class _SetBuilder:
    """Builds a new set from a base set and changed documents."""

    __slots__ = (
        "accounts",
        "accounts_by_key_digest",
        "document_digests",
        "failures",
        "policies",
        "templates",
        "to_render",
        "unparsed",
    )

    def __init__(self, base: ConfigurationSet) -> None:
        self.templates = dict(base.templates)
        self.accounts = dict(base.accounts)
        self.policies = dict(base.policies)
        self.failures = dict(base.failures)
        self.accounts_by_key_digest = dict(base._accounts_by_key_digest)
        self.unparsed = set(base._unparsed)
        self.document_digests = dict(base._document_digests)
        self.to_render: set[str] = set()

    def apply(self, key: str, data: bytes | None) -> None:
        """Applies one changed or deleted document, without rendering."""
        if key.startswith(TEMPLATES_PREFIX):
            name = key.removeprefix(TEMPLATES_PREFIX)
        elif key.startswith(ACCOUNTS_PREFIX):
            name = key.removeprefix(ACCOUNTS_PREFIX)
        else:
            return
        if data is None:
            self.failures.pop(key, None)
            self.unparsed.discard(key)
            self.document_digests.pop(key, None)
            self._delete(key, name)
            return
        digest = xxhash.xxh3_128_digest(data)
        if self.document_digests.get(key) == digest:
            return
        self.document_digests[key] = digest
        self.failures.pop(key, None)
        self.unparsed.discard(key)
        document = parse_document(data, key.removeprefix(CONFIG_PREFIX))
        if not isinstance(document, errors.Failure) and (
            document_key(document) != key
        ):
            document = invalid_document(
                key.removeprefix(CONFIG_PREFIX),
                f'"name": the document belongs at {document_key(document)}',
            )
        if isinstance(document, errors.Failure):
            self.failures[key] = document
            self.unparsed.add(key)
        elif isinstance(document, Template):
            self.templates[name] = document
            self._mark_accounts_using(name)
        else:
            self.accounts[name] = document
            self.to_render.add(name)

    def _delete(self, key: str, name: str) -> None:
        if key.startswith(TEMPLATES_PREFIX):
            if self.templates.pop(name, None) is not None:
                self._mark_accounts_using(name)
            return
        self.accounts.pop(name, None)
        self.to_render.discard(name)
        policy = self.policies.pop(name, None)
        if policy is not None:
            self._remove_key_digests(policy)

    def _mark_accounts_using(self, template: str) -> None:
        self.to_render.update(
            name
            for name, account in self.accounts.items()
            if account.template == template
        )

    def apply_in_slices(
        self, changes: Mapping[str, bytes | None]
    ) -> Iterator[None]:
        """Applies changes and renders the accounts affected.

        Yields after every `DOCUMENTS_PER_SLICE` documents or accounts.
        """
        for number, key in enumerate(sorted(changes), 1):
            self.apply(key, changes[key])
            if number % DOCUMENTS_PER_SLICE == 0:
                yield
        for number, name in enumerate(sorted(self.to_render), 1):
            self._render(name)
            if number % DOCUMENTS_PER_SLICE == 0:
                yield

    def _render(self, name: str) -> None:
        """Renders the policy of an account."""
        account = self.accounts[name]
        policy = render_policy(account, self.templates.get(account.template))
        key = ACCOUNTS_PREFIX + name
        if isinstance(policy, errors.Failure):
            if key not in self.unparsed:
                self.failures[key] = policy
            return
        if name in self.policies:
            self._remove_key_digests(self.policies[name])
        if key not in self.unparsed:
            self.failures.pop(key, None)
        self.policies[name] = policy
        for digest in _key_digests(policy.key_hashes):
            names = self.accounts_by_key_digest.get(digest, ())
            self.accounts_by_key_digest[digest] = tuple(sorted((*names, name)))

    def _remove_key_digests(self, policy: Policy) -> None:
        for digest in _key_digests(policy.key_hashes):
            names = self.accounts_by_key_digest[digest]
            left = tuple(name for name in names if name != policy.account)
            if left:
                self.accounts_by_key_digest[digest] = left
            else:
                del self.accounts_by_key_digest[digest]

    def build(self, revision: int) -> ConfigurationSet:
        """Returns the new set."""
        result = ConfigurationSet()
        result.revision = revision
        result.templates = self.templates
        result.accounts = self.accounts
        result.policies = self.policies
        result.failures = self.failures
        result._accounts_by_key_digest = self.accounts_by_key_digest
        result._document_digests = self.document_digests
        result._unparsed = frozenset(self.unparsed)
        return result


def _key_digests(key_hashes: Iterable[str]) -> list[bytes]:
    return [bytes.fromhex(key_hash) for key_hash in key_hashes]
