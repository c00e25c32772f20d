"""Settings common to all programs: names, secrets, addresses and URLs."""

from collections.abc import Callable, Iterable
from typing import Annotated, Any, Literal

import msgspec

from carobsail import settings

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
# Shorter secrets could be guessed from one recorded handshake.
Secret = Annotated[str, msgspec.Meta(min_length=16, max_length=1024)]
# A rotation needs two; each further secret only widens what is accepted.
Secrets = Annotated[list[Secret], msgspec.Meta(min_length=1, max_length=4)]
LogLevel = Literal["debug", "info", "warning", "error"]


def check_fields(
    owner: object, check: Callable[[str], Any], names: Iterable[str]
) -> None:
    """Validates text fields of a settings object; empty ones are skipped.

    Args:
      owner: The settings object.
      check: Raises ValueError for an invalid value.
      names: Names of the fields to check.

    Raises:
      ValueError: A field is malformed; the message names it.
    """
    for name in names:
        value = getattr(owner, name)
        try:
            if value:
                check(value)
        except ValueError as error:
            raise ValueError(f'"{name}": {error}') from error


def check_one_of(names: Iterable[str]) -> Callable[[str], None]:
    """Returns a check that accepts only the given names."""
    known = sorted(names)

    def check(name: str) -> None:
        if name not in known:
            raise ValueError(f"expected one of {', '.join(known)}, got {name}")

    return check


def service_address(url: str) -> str:
    """Returns `host:port` of a service's URL, which must have no path.

    Raises:
      ValueError: The URL is malformed or has a path.
    """
    address, path = settings.parse_url(url)
    if path != "/":
        raise ValueError(f"{url!r}: expected no path, got {path!r}")
    return address


class ProcessSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of every process of an instance.

    Attributes:
      instance: Name of the instance.
      data_centre: Data centre of the instance.
      peer_listen: `host:port` of the peer port.
      operator_listen: `host:port` of the operator port.
      key_value_url: URL of the key-value service.
      peer_secrets: Shared secrets; the first is current, others are accepted.
      statsd: `host:port` of the statsd server; empty for none.
      log_level: `debug`, `info`, `warning` or `error`.
    """

    instance: Name
    data_centre: Name
    peer_listen: str
    operator_listen: str
    key_value_url: str
    peer_secrets: Secrets
    statsd: str = ""
    log_level: LogLevel = "info"

    def __post_init__(self) -> None:
        """Checks addresses and URLs, which their types do not validate.

        Raises:
          ValueError: An address or URL is malformed or missing.
        """
        required = ("peer_listen", "operator_listen", "key_value_url")
        check_fields(self, settings.parse_address, (*required[:2], "statsd"))
        check_fields(self, service_address, required[2:])
        require_nonempty(self, required)


def require_nonempty(owner: object, names: Iterable[str]) -> None:
    """Checks that the fields `names` of `owner` are not empty.

    Raises:
      ValueError: A field is empty.
    """
    for name in names:
        if not getattr(owner, name):
            raise ValueError(f'"{name}": must not be empty')
