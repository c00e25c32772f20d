"""Loads settings files: JSON with comments, validated against a type."""

import ipaddress
import json
import pathlib
import re
import urllib.parse
from typing import Any, TypeVar

import jsonc
import msgspec

T = TypeVar("T")

_LOCATION = re.compile(r"^(?P<problem>.*?)(?: - at `\$(?P<path>.*)`)?$", re.S)
_KEY = re.compile(r'"([^"\\]*)"\s*:')
_FIELD = re.compile(r"field `(?P<field>[^`]*)`")


class SettingsError(ValueError):
    """A settings file is invalid; the message is one line for operators."""


def load(path: str | pathlib.Path, type: type[T]) -> T:
    """Reads and validates a settings file.

    Args:
      path: A file of JSON with comments.
      type: Frozen msgspec struct that describes the settings.

    Returns:
      The settings.

    Raises:
      SettingsError: The file cannot be read or is invalid.
    """
    path = pathlib.Path(path)
    try:
        data = path.read_bytes()
    except OSError as error:
        reason = error.strerror or str(error)
        raise SettingsError(f"{path.name}: {reason}") from error
    return parse(path.name, data, type)


def parse(name: str, data: bytes, type: type[T]) -> T:
    """Parses and validates a document.

    Args:
      name: Name of the document in error messages.
      data: JSON with comments.
      type: Type to validate against.

    Raises:
      SettingsError: The document is invalid.
    """
    try:
        plain = parse_json(data)
    except ValueError as error:
        raise SettingsError(f"{name}: {error}") from error
    return convert(name, plain, type)


def parse_json(data: bytes) -> Any:
    """Parses JSON with comments into plain values.

    Raises:
      ValueError: The JSON is malformed, repeats a key or has a number that is
        not finite.
    """
    try:
        return jsonc.loads(
            data.decode(),
            object_pairs_hook=_reject_repeated_keys,
            parse_constant=_reject_constant,
        )
    except json.JSONDecodeError as error:
        raise ValueError(_describe_syntax_error(error)) from error
    except UnicodeDecodeError as error:
        raise ValueError(f"byte {error.start}: not UTF-8") from error
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def _describe_syntax_error(error: json.JSONDecodeError) -> str:
    """Returns a message that locates the error by the last key before it.

    The library strips comments with their line breaks, so its line numbers are
    wrong. The text near the error is not shown, since it may contain a secret.
    """
    problem = error.msg[:1].lower() + error.msg[1:]
    keys = _KEY.findall(error.doc[: error.pos])
    place = f'after key "{keys[-1]}"' if keys else "before the first key"
    return f"malformed JSON {place}: {problem}"


def convert(name: str, plain: Any, type: type[T]) -> T:
    """Validates plain values and converts them to a type.

    Raises:
      SettingsError: A value has the wrong type or is out of range.
    """
    try:
        return msgspec.convert(plain, type)
    except msgspec.ValidationError as error:
        raise SettingsError(
            f"{name}: {describe_validation_error(error)}"
        ) from error


def describe_validation_error(error: msgspec.ValidationError) -> str:
    """Returns a msgspec error in the form `"key": problem`."""
    match = _LOCATION.match(str(error))
    assert match is not None  # The pattern matches any text.
    path = (match["path"] or "").lstrip(".")
    problem = match["problem"]
    field = _FIELD.search(problem)
    if problem.startswith("Object") and field is not None:
        path = f"{path}.{field['field']}".lstrip(".")
        unknown = "unknown" in problem
        problem = "unknown key" if unknown else "required key is missing"
    problem = problem.replace("`", "")
    problem = problem[:1].lower() + problem[1:]
    return f'"{path}": {problem}' if path else problem


def parse_address(address: str) -> tuple[str, int]:
    """Splits `127.0.0.1:80` or `[::1]:80` into IP address and port.

    Raises:
      ValueError: `address` is not an IP address and a port from 1 to 65535.
    """
    host, separator, port = address.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        separator = ""
    try:
        ipaddress.ip_address(host)
        valid = bool(separator) and port.isdecimal() and port.isascii()
    except ValueError:
        valid = False
    if not valid or not 1 <= int(port) <= 65535:
        raise ValueError(
            f"{address!r}: expected an IP address and a port, as in"
            " 127.0.0.1:80, port >= 1 and <= 65535"
        )
    return host, int(port)


def parse_url(url: str) -> tuple[str, str]:
    """Splits `http://127.0.0.1:80/a?b` into address and path with query.

    Raises:
      ValueError: `url` is not a plain HTTP URL without user and fragment, or
        its host is not an IP address and a port.
    """
    parts = urllib.parse.urlsplit(url)
    if parts.scheme != "http" or "@" in parts.netloc or parts.fragment:
        raise ValueError(
            f"{url!r}: expected a URL such as http://127.0.0.1:80/"
        )
    parse_address(parts.netloc)
    query = f"?{parts.query}" if parts.query else ""
    return parts.netloc, (parts.path or "/") + query


def _reject_repeated_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Rejects repeated keys; the JSON parser would silently keep the last."""
    found: dict[str, Any] = {}
    for key, value in pairs:
        if key in found:
            raise ValueError(f'"{key}": key occurs twice')
        found[key] = value
    return found


def _reject_constant(text: str) -> float:
    raise ValueError(f"{text}: expected a finite number")
