"""Templates, client accounts and the rendering of policies from them."""

import enum
import functools
import json
from collections.abc import Mapping
from typing import Annotated, Any, Literal

import msgspec

from carobsail import errors, settings
from carobsail.policies import Operation, Policy, matches

CONFIG_PREFIX = "/carobsail/config/"
TEMPLATES_PREFIX = "/carobsail/config/templates/"
ACCOUNTS_PREFIX = "/carobsail/config/accounts/"
# The key-value service holds values up to 1 MB (requirement R12).
MAX_DOCUMENT_BYTES = 1_000_000
PLACEHOLDER = "$param"
# RFC 9110: clients and proxies may repeat safe methods on their own.
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_METHODS = _SAFE_METHODS | {"POST", "PUT", "PATCH", "DELETE"}

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
KeyHash = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class ParameterType(enum.StrEnum):
    """Type of a template parameter's value."""

    INTEGER = "integer"
    NUMBER = "number"
    STRING = "string"
    BOOLEAN = "boolean"
    LIST = "list"


_VALUE_TYPES: dict[ParameterType, Any] = {
    ParameterType.INTEGER: int,
    ParameterType.NUMBER: float,
    ParameterType.STRING: str,
    ParameterType.BOOLEAN: bool,
    ParameterType.LIST: list[str],
}


class Metadata(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The last change of a stored document; not part of its content.

    Attributes:
      change: Identifier of the change, unique to one `carobsailctl apply`.
      operator: Name of the operator, shown to others whose change conflicts.
    """

    change: str = ""
    operator: str = ""


class Parameter(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A value that client accounts give to a template.

    Attributes:
      name: Name in placeholders and in client accounts.
      type: Type of the value; a list holds strings.
      default: Value when an account gives none.
      minimum: Minimum of a number, or of the length of a string or list.
      maximum: Maximum of a number, or of the length of a string or list.
      unit: Unit of the value, shown to operators.
      required: Whether each account must give the value.
      description: What the value does, for people who read the template.
    """

    name: Annotated[str, msgspec.Meta(pattern=r"^[a-z][a-z0-9_]{0,62}$")]
    type: ParameterType
    default: Any = None
    minimum: float | None = None
    maximum: float | None = None
    unit: str = ""
    required: bool = False
    description: str = ""

    def problem(self, value: Any) -> str:
        """Returns what is wrong with a value, or an empty string."""
        try:
            msgspec.convert(value, _VALUE_TYPES[self.type])
        except msgspec.ValidationError:
            return f"expected {self.bounds()}"
        if self.type is ParameterType.BOOLEAN:
            return ""
        size = value if isinstance(value, int | float) else len(value)
        low = self.minimum is not None and size < self.minimum
        high = self.maximum is not None and size > self.maximum
        return f"expected {self.bounds()}, got {size}" if low or high else ""

    def bounds(self) -> str:
        """Describes the type with its bounds and unit."""
        limits = [
            f"{sign} {limit:.15g}"
            for sign, limit in ((">=", self.minimum), ("<=", self.maximum))
            if limit is not None
        ]
        size = {ParameterType.STRING: " length", ParameterType.LIST: " length"}
        text = str(self.type) + (size.get(self.type, "") if limits else "")
        return " ".join(filter(None, [text, " and ".join(limits), self.unit]))


class Template(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """A policy with placeholders `{"$param": "name"}`.

    Attributes:
      kind: Always `template`.
      name: Name that client accounts refer to.
      account: The policy's fields, without `account` and `key_hashes`.
      parameters: Values that the accounts give.
      metadata: Last change.
    """

    kind: Literal["template"]
    name: Name
    account: dict[str, Any]
    parameters: list[Parameter] = []
    metadata: Metadata = Metadata()


class ClientAccount(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """A customer's values for a template.

    Attributes:
      kind: Always `account`.
      name: Name of the client account.
      template: Name of the template.
      parameters: Values of the template's parameters.
      key_hashes: SHA-256 hashes (hexadecimal) of its access keys.
      metadata: Last change.
    """

    kind: Literal["account"]
    name: Name
    template: Name
    parameters: dict[str, Any] = {}
    key_hashes: list[KeyHash] = []
    metadata: Metadata = Metadata()


Document = Template | ClientAccount
_DOCUMENT_TYPES: dict[Any, type[Template] | type[ClientAccount]] = {
    "template": Template,
    "account": ClientAccount,
}


def document_key(document: Document) -> str:
    """Returns the key under which a document is stored."""
    prefix = (
        TEMPLATES_PREFIX if isinstance(document, Template) else ACCOUNTS_PREFIX
    )
    return prefix + document.name


def parse_document(
    data: bytes, name: str = "document"
) -> Document | errors.Failure:
    """Parses a template or client account.

    Args:
      data: JSON with comments.
      name: Name of the file or key, for error messages.

    Returns:
      The document, validated without other documents, or a failure.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return invalid_document(
            name, f"expected at most {MAX_DOCUMENT_BYTES} bytes"
        )
    try:
        plain = settings.parse_json(data)
        kind = plain.get("kind") if isinstance(plain, dict) else None
        if not isinstance(kind, str) or kind not in _DOCUMENT_TYPES:
            return invalid_document(
                name, '"kind": expected template or account'
            )
        document: Document = settings.convert(
            name, plain, _DOCUMENT_TYPES[kind]
        )
    except settings.SettingsError as error:
        return invalid_document(name, str(error).removeprefix(f"{name}: "))
    except ValueError as error:
        return invalid_document(name, str(error))
    if isinstance(document, Template):
        try:
            problem = _template_problem(document)
        except RecursionError:
            problem = '"account": nested too deeply'
        if problem:
            return invalid_document(name, problem)
    elif len(set(document.key_hashes)) < len(document.key_hashes):
        return invalid_document(name, '"key_hashes": a hash occurs twice')
    return document


def invalid_document(name: str, detail: str) -> errors.Failure:
    """Returns the failure of an invalid document."""
    return errors.Failure(
        errors.Reason.INVALID,
        errors.Step.CONFIGURE,
        name,
        errors.Outcome.NOT_RUN,
        f"{name}: {detail}",
    )


def _template_problem(template: Template) -> str:
    known: set[str] = set()
    for i, parameter in enumerate(template.parameters):
        path = f"parameters[{i}]"
        if parameter.name in known:
            return f'"{path}.name": "{parameter.name}" occurs twice'
        known.add(parameter.name)
        low, high = parameter.minimum, parameter.maximum
        if low is not None and high is not None and low > high:
            return f'"{path}.maximum": expected >= minimum {low:.15g}'
        if parameter.default is None:
            if not parameter.required:
                return f'"{path}.default": expected a default or required'
            continue
        problem = parameter.problem(parameter.default)
        if problem:
            return f'"{path}.default": {problem}'
    for name in sorted(_placeholders(template.account) - known):
        return f'"account": placeholder "{name}" is not a parameter'
    for name in ("account", "key_hashes"):
        if name in template.account:
            return f'"account.{name}": comes from the client account'
    return ""


def _placeholders(body: Any) -> set[str]:
    if isinstance(body, list):
        return set().union(*map(_placeholders, body))
    if not isinstance(body, dict):
        return set()
    if PLACEHOLDER in body:
        return {str(body[PLACEHOLDER] if len(body) == 1 else body)}
    return set().union(*map(_placeholders, body.values()))


def _substitute(body: Any, values: Mapping[str, Any]) -> Any:
    if isinstance(body, list):
        return [_substitute(item, values) for item in body]
    if not isinstance(body, dict):
        return body
    if PLACEHOLDER in body:
        return values[body[PLACEHOLDER]]
    return {name: _substitute(item, values) for name, item in body.items()}


def render_policy(
    account: ClientAccount, template: Template | None
) -> Policy | errors.Failure:
    """Renders the policy of a client account.

    Args:
      account: The account.
      template: The template that it names; None when it does not exist.

    Returns:
      The policy, or a failure that names the wrong key and the values allowed.
    """
    name = document_key(account).removeprefix(CONFIG_PREFIX)
    if template is None:
        return invalid_document(
            name, f'"template": no template "{account.template}"'
        )
    known = {p.name: p for p in template.parameters}
    for given in account.parameters:
        if given not in known:
            return invalid_document(
                name,
                f'"parameters.{given}": not a parameter of template'
                f' "{template.name}"',
            )
    values = {}
    for parameter in template.parameters:
        value = account.parameters.get(parameter.name, parameter.default)
        if value is None or (
            parameter.required and parameter.name not in account.parameters
        ):
            problem = f"required, expected {parameter.bounds()}"
        else:
            problem = parameter.problem(value)
        if problem:
            return invalid_document(
                name, f'"parameters.{parameter.name}": {problem}'
            )
        values[parameter.name] = value
    body = _substitute(template.account, values)
    body.update(account=account.name, key_hashes=account.key_hashes)
    try:
        policy = msgspec.convert(body, Policy)
    except msgspec.ValidationError as error:
        problem = settings.describe_validation_error(error)
    else:
        problem = _operations_problem(policy.operations)
        if not problem:
            policy.operations[:] = map(_intern, policy.operations)
            return policy
    return invalid_document(name, f'{problem} (in template "{template.name}")')


@functools.lru_cache(maxsize=4096)
def _intern(operation: Operation) -> Operation:
    """Returns the same object for equal operations of different accounts."""
    return operation


def _operations_problem(operations: list[Operation]) -> str:
    for i, operation in enumerate(operations):
        path = f"operations[{i}]"
        if operation.method not in _METHODS:
            return f'"{path}.method": expected one of {sorted(_METHODS)}'
        if not operation.path.startswith("/") or "*" in operation.path[:-1]:
            return f'"{path}.path": expected /..., with * only at the end'
        if not operation.idempotent and operation.method in _SAFE_METHODS:
            return (
                f'"{path}.idempotent": {operation.method} is repeated by'
                " callers, expected true"
            )
        if operation.key_required and operation.idempotent:
            return f'"{path}.key_required": expected "idempotent": false'
        if not operation.service and operation.first_token_ms > (
            operation.due_ms
        ):
            return (
                f'"{path}.first_token_ms": expected <= due_ms'
                f" {operation.due_ms} ms"
            )
        # The first match applies; a request for a non-idempotent operation
        # that is hidden would be treated as the idempotent one that hides it.
        for j, earlier in enumerate(operations[:i]):
            if earlier.method == operation.method and matches(
                earlier.path, operation.path
            ):
                return f'"{path}.path": hidden by operations[{j}]'
    return ""


def document_content(document: Document) -> dict[str, Any]:
    """Returns a document's content as plain objects, without its metadata."""
    plain = msgspec.to_builtins(document)
    plain.pop("metadata")
    return plain


def encode_document(document: Document) -> bytes:
    """Encodes a document for the key-value service."""
    return json.dumps(msgspec.to_builtins(document), sort_keys=True).encode()
