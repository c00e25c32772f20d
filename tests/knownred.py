"""Tolerates the test failures listed in KNOWN-RED.txt.

See docs/OPERATIONS.md. `parse` reads the file, `judge` evaluates a listed test,
and `Plugin` connects both with pytest.
"""

import dataclasses
import re
from collections.abc import Collection, Generator, Iterable

import pytest

FILE = "KNOWN-RED.txt"
FIELDS = ("command", "seen", "issue")
# Findings of `make soak`, which pytest does not run.
SOAK = re.compile(r"soak:(\d+)")
# With any of these options a run may leave out existing tests.
SELECTING = (
    "file_or_dir",
    "keyword",
    "markexpr",
    "deselect",
    "ignore",
    "ignore_glob",
)


class ParseError(ValueError):
    """KNOWN-RED.txt is malformed; the message names the line."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One known failure.

    Attributes:
      name: A pytest node id, or `soak:SEED`.
      line: Line of the name in the file, from 1.
      fields: Value of each of `FIELDS`.
    """

    name: str
    line: int
    fields: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def place(self) -> str:
        """File and line of the entry, for error messages."""
        return f"{FILE}:{self.line}"

    @property
    def is_soak(self) -> bool:
        """Whether this is a finding of `make soak` and not of a test."""
        return SOAK.fullmatch(self.name) is not None

    def describe(self) -> str:
        """Returns the entry in the format of the file, without comments."""
        fields = (f"  {field}: {self.fields[field]}" for field in FIELDS)
        return "\n".join([self.name, *fields])


def parse(text: str) -> list[Entry]:
    """Parses the content of a KNOWN-RED.txt.

    Args:
      text: Content of the file.

    Raises:
      ParseError: An entry is malformed, incomplete or listed twice.
    """
    entries: dict[str, Entry] = {}
    entry = None
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        if not line[0].isspace():
            if entry:
                _check_complete(entry)
            entry = Entry(line.rstrip(), number)
            _check_name(entry, entries)
            entries[entry.name] = entry
        elif entry:
            _add_field(entry, line, number)
        else:
            raise ParseError(f"{FILE}:{number}: field before the first entry")
    if entry:
        _check_complete(entry)
    return list(entries.values())


def _check_name(entry: Entry, earlier: dict[str, Entry]) -> None:
    if "::" not in entry.name and not entry.is_soak:
        raise ParseError(
            f"{entry.place}: {entry.name!r} is neither a pytest node id "
            "(FILE::TEST) nor soak:SEED"
        )
    if entry.name in earlier:
        raise ParseError(
            f"{entry.place}: {entry.name} is already listed in line "
            f"{earlier[entry.name].line}"
        )


def _add_field(entry: Entry, line: str, number: int) -> None:
    field, _, value = line.strip().partition(":")
    if field not in FIELDS:
        raise ParseError(
            f"{FILE}:{number}: expected one of "
            f"{', '.join(f'{f}:' for f in FIELDS)} but found {line.strip()!r}"
        )
    if field in entry.fields:
        raise ParseError(f"{FILE}:{number}: second {field}: of {entry.name}")
    if not value.strip():
        raise ParseError(f"{FILE}:{number}: {field}: is empty")
    entry.fields[field] = value.strip()


def _check_complete(entry: Entry) -> None:
    missing = [f"{field}:" for field in FIELDS if field not in entry.fields]
    if missing:
        raise ParseError(
            f"{entry.place}: {entry.name} has no {', '.join(missing)}"
        )
    soak = SOAK.fullmatch(entry.name)
    if soak and soak[1] not in re.findall(r"\d+", entry.fields["command"]):
        raise ParseError(
            f"{entry.place}: command: does not name seed {soak[1]}"
        )


def find_unknown(
    entries: Iterable[Entry], collected: Collection[str]
) -> list[Entry]:
    """Returns the entries that do not match a collected test.

    Args:
      entries: The listed failures; findings of `make soak` are skipped.
      collected: Node ids of all collected tests.
    """
    return [e for e in entries if not e.is_soak and e.name not in collected]


def judge(entry: Entry, outcomes: Collection[str]) -> str:
    """Returns why a listed test fails the run, or an empty string.

    Args:
      entry: Entry of the test.
      outcomes: Pytest's outcome of each phase of the test (setup, call,
        teardown) and of its subtests.
    """
    if "failed" in outcomes:
        return ""
    # Neither a skip nor a pass shows that the test still fails.
    verdict = "was skipped" if "skipped" in outcomes else "passed"
    return (
        f"{entry.name} {verdict}, but {entry.place} lists it as failing. "
        "Remove the entry if the fault is mended."
    )


def summarize(report: pytest.TestReport) -> str:
    """Returns the phase and the first line of a failure."""
    crash = getattr(report.longrepr, "reprcrash", None)
    lines = (crash.message if crash else report.longreprtext).splitlines()
    first = next((line.strip() for line in lines if line.strip()), "no message")
    return f"{report.when}: {first}"


def register(config: pytest.Config) -> None:
    """Applies the KNOWN-RED.txt of the root directory, if it exists.

    Args:
      config: Configuration of the run. With `--runxfail`, listed tests are
        treated like all other tests.

    Raises:
      pytest.UsageError: The file is malformed.
    """
    path = config.rootpath / FILE
    if not path.exists():
        return
    try:
        entries = parse(path.read_text(encoding="utf-8"))
    except ParseError as error:
        raise pytest.UsageError(str(error)) from error
    if entries and not config.getoption("runxfail"):
        config.pluginmanager.register(Plugin(entries, _is_whole(config)))


def _is_whole(config: pytest.Config) -> bool:
    return config.invocation_params.dir == config.rootpath and not any(
        config.getoption(option) for option in SELECTING
    )


class Plugin:
    """Pytest hooks that tolerate listed failures and print them.

    The hooks modify reports before they are logged, so that the number of
    failures that pytest counts determines the exit status.
    """

    __slots__ = ("entries", "failures", "outcomes", "whole")

    def __init__(self, entries: Iterable[Entry], whole: bool) -> None:
        """Initializes the plugin.

        Args:
          entries: The listed failures.
          whole: Whether all tests run, so that each entry must match a test.
        """
        self.entries = {entry.name: entry for entry in entries}
        self.whole = whole
        self.outcomes: dict[str, list[str]] = {}
        self.failures: dict[str, list[str]] = {}

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, session: pytest.Session, items: list[pytest.Item]
    ) -> None:
        """Stops a run of all tests if an entry does not match a test."""
        # After a collection error tests are missing, and the run fails anyway.
        if not self.whole or session.testsfailed:
            return
        collected = {item.nodeid for item in items}
        unknown = find_unknown(self.entries.values(), collected)
        if unknown:
            raise pytest.UsageError(
                *(f"{e.place}: no test is named {e.name}" for e in unknown)
            )

    # Outermost wrapper, so that marks such as xfail have already been applied.
    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        """Tolerates a listed failure; fails a listed test that did not fail."""
        report = yield
        entry = self.entries.get(item.nodeid)
        if entry is None:
            return report
        outcomes = self.outcomes.setdefault(entry.name, [])
        outcomes.append(report.outcome)
        if report.failed:
            failure = summarize(report)
            self.failures.setdefault(entry.name, []).append(failure)
            # Pytest reports an expected failure in this form.
            report.outcome = "skipped"
            report.wasxfail = f"{entry.place}: {failure}"
        elif report.when == "teardown" and (why := judge(entry, outcomes)):
            report.outcome = "failed"
            report.longrepr = why
        return report

    @pytest.hookimpl(tryfirst=True)
    def pytest_report_teststatus(
        self, report: pytest.TestReport
    ) -> tuple[str, str, str] | None:
        """Counts tolerated failures separately from those of xfail marks."""
        if getattr(report, "wasxfail", "").startswith(f"{FILE}:"):
            return "knownred", "k", "KNOWNRED"
        return None

    def pytest_terminal_summary(
        self, terminalreporter: pytest.TerminalReporter
    ) -> None:
        """Prints tolerated failures; with all tests also findings of soak."""
        failed = [e for e in self.entries.values() if e.name in self.failures]
        soak = [e for e in self.entries.values() if self.whole and e.is_soak]
        if not failed and not soak:
            return
        terminalreporter.write_sep("=", f"known failures of {FILE}")
        for entry in failed:
            terminalreporter.write_line(entry.describe())
            for failure in self.failures[entry.name]:
                terminalreporter.write_line(f"  failed in {failure}")
        for entry in soak:
            terminalreporter.write_line(entry.describe())
            terminalreporter.write_line("  not played by pytest")
