"""Parses the log lines of instances."""

import datetime
import re
from collections.abc import Iterable

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


class LogLine:
    """A log line with its fields.

    Attributes:
      unix_time_s: Unix time in seconds; 0 if the line has no valid time, as
        that of another program.
      fields: Values of the fields by name.
      source: Name of the instance that wrote the line.
      text: The whole line without surrounding white space.
    """

    __slots__ = ("unix_time_s", "fields", "source", "text")

    def __init__(self, text: str, source: str = "") -> None:
        """Parses a line.

        Args:
          text: The line. A log collector may have added a prefix of words, of
            which the last is the instance.
          source: The instance if there is no prefix.
        """
        self.text = text.strip()
        words = self.text.partition("time=")[0].split()
        self.source = words[-1] if words else source
        self.fields = {
            name: value.strip('"') for name, value in _FIELD.findall(text)
        }
        self.unix_time_s = _seconds(self.fields.get("time", ""))

    @property
    def event(self) -> str:
        """Returns the name of the event."""
        return self.fields.get("event", "")


def parse_lines(texts: Iterable[str], source: str = "") -> list[LogLine]:
    """Returns the log lines in a file; lines without an event are left out.

    Args:
      texts: Lines of the file. A line without a prefix was written together
        with the line before it, and belongs to the same instance.
      source: The instance that wrote the lines before the first prefix.
    """
    lines = []
    for text in texts:
        if "event=" in text:
            lines.append(LogLine(text, source))
            source = lines[-1].source
    return lines


def _seconds(text: str) -> float:
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        return 0.0  # A line of another program; matches no time window.
