"""Reads the lines that instances log."""

import datetime
import re
from collections.abc import Iterable

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


class LogLine:
    """A log line with its fields.

    Attributes:
      at: Unix time in seconds; 0 for a line of another program.
      fields: Values by name.
      source: The instance that wrote it.
      text: The line.
    """

    __slots__ = ("at", "fields", "source", "text")

    def __init__(self, text: str, source: str = "") -> None:
        """Decodes a line.

        Args:
          text: The line. A log collector may have put words in front, the
            last of which is the instance.
          source: The instance if there are none.
        """
        self.text = text.strip()
        words = self.text.partition("time=")[0].split()
        self.source = words[-1] if words else source
        self.fields = {
            name: value.strip('"') for name, value in _FIELD.findall(text)
        }
        self.at = _seconds(self.fields.get("time", ""))

    @property
    def event(self) -> str:
        """Returns the name of the event."""
        return self.fields.get("event", "")


def read(texts: Iterable[str], source: str = "") -> list[LogLine]:
    """Returns the log lines among the lines of a file.

    Args:
      texts: Lines of the file. A line with no word in front was written
        together with the line before it.
      source: The instance that wrote the first lines.
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
        return 0.0  # A line of another program; it is near nothing.
