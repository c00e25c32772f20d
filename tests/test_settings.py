"""Guards the settings loader: bad files are rejected with a clear message.

Numbers such as R8 refer to the requirements in docs/design.md.
"""

from typing import Annotated

import msgspec
import pytest

from carobsail import settings


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Nested settings."""

    body_bytes: Annotated[int, msgspec.Meta(ge=1)] = 1024


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings with a required and a nested key."""

    listen: str
    limits: Limits = Limits()


@pytest.mark.parametrize(
    ("text", "line"),
    [
        (
            '{"listen": "a", "limits": {"body_bytes": 0}}',
            '"limits.body_bytes": expected int >= 1',
        ),
        ("{}", '"listen": required key is missing'),
        (
            '{"listen": "a", "limits": {"x": 1}}',
            '"limits.x": unknown key',
        ),
        ('{"listen": 5}', '"listen": expected str, got int'),
        ('{"listen": "a", "listen": "b"}', '"listen": key occurs twice'),
        ("[]", "expected object, got array"),
        (
            '// c\n{"listen" "a"}',
            "malformed JSON before the first key: expecting ':' delimiter",
        ),
        (
            '{"listen": "a" /* c\n */ "b": 1}',
            "malformed JSON after key \"listen\": expecting ',' delimiter",
        ),
        ('{"listen": NaN}', "NaN: expected a finite number"),
    ],
)
def test_error_names_file_key_and_bound(tmp_path, text, line):
    """R8: an operator must see which value is wrong, in one line."""
    path = tmp_path / "entry.json"
    path.write_text(text)
    with pytest.raises(settings.SettingsError) as caught:
        settings.load(path, Settings)
    assert str(caught.value) == f"entry.json: {line}"


def test_comments_are_allowed(tmp_path):
    """A commented file must not be rejected."""
    path = tmp_path / "entry.json"
    path.write_text('{\n// Callers.\n"listen": "a//b" /* kept */}')
    assert settings.load(path, Settings).listen == "a//b"


def test_unreadable_files_are_one_line(tmp_path):
    """A missing or binary file must not cause a traceback."""
    path = tmp_path / "entry.json"
    with pytest.raises(settings.SettingsError, match="entry.json: No such"):
        settings.load(path, Settings)
    path.write_bytes(b"\xff")
    with pytest.raises(settings.SettingsError, match="byte 0: not UTF-8"):
        settings.load(path, Settings)


def test_addresses():
    """R19: host names and bad ports must be rejected at startup."""
    assert settings.parse_address("127.0.0.1:80") == ("127.0.0.1", 80)
    assert settings.parse_address("[::1]:80") == ("::1", 80)
    for bad in ("", "80", "localhost:80", "::1:80", "1.2.3.4:0", "1.2.3.4:x"):
        with pytest.raises(ValueError, match="expected an IP address"):
            settings.parse_address(bad)
