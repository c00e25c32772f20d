"""Finds in logs how long a change took to reach all, for `carobsailctl spread`.

Times are those of the lines, so the clocks of the instances must agree.
"""

import collections
from collections.abc import Iterable

from carobsail.loglines import LogLine

# An instance that still logs this long after a change was first known, and
# does not know it, is named; the bounds are 2.5 s and more.
MISSING_AFTER_S = 2.5
# Requests that are named of those that were sent to a target that had left.
MAX_REQUESTS = 3


class Spread:
    """When the instances learned of one change.

    Attributes:
      name: What changed.
      known: The line of each instance that learned of it.
      sends: Lines of requests that were sent to the target that left.
    """

    __slots__ = ("known", "name", "sends")

    def __init__(self, name: str) -> None:
        """Creates a change of which no instance has learned."""
        self.name = name
        self.known: dict[str, LogLine] = {}
        self.sends: list[LogLine] = []

    @property
    def first_at(self) -> float:
        """Returns when the first instance learned of it."""
        return min(line.at for line in self.known.values())

    def describe(self, running: dict[str, tuple[float, float]]) -> list[str]:
        """Returns lines for an operator.

        Args:
          running: First and last time at which each instance is known to have
            run, by instance.
        """
        lines = sorted(self.known.values(), key=lambda line: line.at)
        first, last = lines[0], lines[-1]
        half_s = lines[len(lines) // 2].at - first.at
        source = last.fields.get("source", "unknown")
        rows = [
            f"{self.name}: first at {first.fields['time']} ({first.source}), "
            f"{len(lines)} instances, half within {half_s:.2f} s, last "
            f"{last.at - first.at:.2f} s ({last.source}, from "
            f"{source})"
        ]
        missing = sorted(
            name
            for name, (start, end) in running.items()
            if name not in self.known
            and start < first.at
            and end > first.at + MISSING_AFTER_S
        )
        if missing:
            rows.append(f"  not known to: {', '.join(missing)}")
        late = [x for x in self.sends if x.at > first.at + MISSING_AFTER_S]
        if late:
            rows.append(
                f"  {len(late)} requests sent to it later than "
                f"{MISSING_AFTER_S} s after that:"
            )
            rows += [f"    {line.text}" for line in late[:MAX_REQUESTS]]
        return rows


def describe(lines: Iterable[LogLine]) -> tuple[str, ...]:
    """Returns when versions and leaving targets were known, the oldest first.

    Args:
      lines: Lines of the logs of all instances, in any order.
    """
    lines = sorted(lines, key=lambda line: line.at)
    changes: dict[str, Spread] = {}
    running: dict[str, tuple[float, float]] = {}
    sends: dict[str, list[LogLine]] = collections.defaultdict(list)
    for line in lines:
        start, _ = running.get(line.source, (line.at, line.at))
        if line.event == "started":
            start = line.at  # It reads everything anew.
        running[line.source] = (start, line.at)
        if line.event == "request_sent":
            sends[line.fields.get("target", "")].append(line)
            # Shows that a version is known if its own line was dropped.
            version = changes.get(_version(line, "table_version"))
            if version is not None:
                version.known.setdefault(line.source, line)
        name = _change(line)
        if name:
            spread = changes.setdefault(name, Spread(name))
            spread.known.setdefault(line.source, line)
    for name, spread in changes.items():
        spread.sends = sends.get(name.removeprefix("target "), [])
    ordered = sorted(changes.values(), key=lambda spread: spread.first_at)
    return tuple(row for spread in ordered for row in spread.describe(running))


def _change(line: LogLine) -> str:
    """Returns the name of the change that a line tells of; empty if none."""
    if line.event == "configuration_in_force":
        return _version(line, "version")
    leaves = line.event == "target_listed" and line.fields.get("leaving")
    if line.event == "target_gone" or leaves == "true":
        return f"target {line.fields.get('target', '')}"
    return ""


def _version(line: LogLine, field: str) -> str:
    return f"version {line.fields.get(field, '')}"
