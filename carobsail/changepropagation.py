"""Shows from logs how fast changes reached all instances.

For `carobsailctl spread`. Times are those of the log lines, so the clocks of
the instances must be synchronized.
"""

import collections
from collections.abc import Iterable

from carobsail.loglines import LogLine

# An instance that still logs this long after the first instance learned of a
# change, without knowing it itself, is listed; the bounds within which a change
# must be known are 2.5 s and more.
MISSING_AFTER_S = 2.5
# Requests listed of those that were sent to a target after it had left.
MAX_LISTED_REQUESTS = 3


class ChangePropagation:
    """How one change reached the instances.

    Attributes:
      name: What changed.
      learned: By instance, the log line that shows that it knows the change.
      requests: Log lines of requests sent to the target that left.
    """

    __slots__ = ("learned", "name", "requests")

    def __init__(self, name: str) -> None:
        """Creates a change that no instance has learned of yet."""
        self.name = name
        self.learned: dict[str, LogLine] = {}
        self.requests: list[LogLine] = []

    @property
    def first_at(self) -> float:
        """Time at which the first instance learned of the change."""
        return min(line.unix_time_s for line in self.learned.values())

    def describe(self, running: dict[str, tuple[float, float]]) -> list[str]:
        """Returns lines for an operator.

        Args:
          running: First and last time at which each instance is known to have
            been running, by instance.
        """
        lines = sorted(self.learned.values(), key=lambda line: line.unix_time_s)
        first, last = lines[0], lines[-1]
        half_s = lines[len(lines) // 2].unix_time_s - first.unix_time_s
        source = last.fields.get("source", "unknown")
        rows = [
            f"{self.name}: first at {first.fields['time']} ({first.source}), "
            f"{len(lines)} instances, half within {half_s:.2f} s, last "
            f"{last.unix_time_s - first.unix_time_s:.2f} s ({last.source}, "
            f"from {source})"
        ]
        missing = sorted(
            name
            for name, (start, end) in running.items()
            if name not in self.learned
            and start < first.unix_time_s
            and end > first.unix_time_s + MISSING_AFTER_S
        )
        if missing:
            rows.append(f"  not known to: {', '.join(missing)}")
        late = [
            line
            for line in self.requests
            if line.unix_time_s > first.unix_time_s + MISSING_AFTER_S
        ]
        if late:
            rows.append(
                f"  {len(late)} requests sent to it later than "
                f"{MISSING_AFTER_S} s after that:"
            )
            rows += [f"    {line.text}" for line in late[:MAX_LISTED_REQUESTS]]
        return rows


def describe(lines: Iterable[LogLine]) -> tuple[str, ...]:
    """Describes when instances knew new versions and leaving targets.

    The oldest change comes first.

    Args:
      lines: Lines of the logs of all instances, in any order.
    """
    lines = sorted(lines, key=lambda line: line.unix_time_s)
    changes: dict[str, ChangePropagation] = {}
    running: dict[str, tuple[float, float]] = {}
    requests: dict[str, list[LogLine]] = collections.defaultdict(list)
    for line in lines:
        start, _ = running.get(
            line.source, (line.unix_time_s, line.unix_time_s)
        )
        if line.event == "started":
            start = line.unix_time_s  # It reads the whole store again.
        running[line.source] = (start, line.unix_time_s)
        if line.event == "request_sent":
            requests[line.fields.get("target", "")].append(line)
            # Shows that the instance knows the version even if its
            # `configuration_in_force` line was dropped.
            version = changes.get(_version(line, "table_version"))
            if version is not None:
                version.learned.setdefault(line.source, line)
        name = _change(line)
        if name:
            change = changes.setdefault(name, ChangePropagation(name))
            change.learned.setdefault(line.source, line)
    for name, change in changes.items():
        change.requests = requests.get(name.removeprefix("target "), [])
    ordered = sorted(changes.values(), key=lambda change: change.first_at)
    return tuple(row for change in ordered for row in change.describe(running))


def _change(line: LogLine) -> str:
    """Returns the name of the change that a line reports; empty if none."""
    if line.event == "configuration_in_force":
        return _version(line, "version")
    leaves = line.event == "target_listed" and line.fields.get("leaving")
    if line.event == "target_gone" or leaves == "true":
        return f"target {line.fields.get('target', '')}"
    return ""


def _version(line: LogLine, field: str) -> str:
    return f"version {line.fields.get(field, '')}"
