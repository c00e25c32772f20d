"""Tests of knownred: a run succeeds only if all failures are listed."""

import pathlib

import knownred
import pytest

pytest_plugins = ["pytester"]

TESTS = pathlib.Path(__file__).parent

FIELDS = """\
  command: make test, seed 7
  seen: 1 instead of 2
  issue: 11
"""

FAILING = """
    def test_fails():
        assert 1 == 2

    def test_passes():
        pass
"""


def list_entries(*names: str) -> str:
    """Returns the content of a KNOWN-RED.txt with an entry for each name."""
    return "\n".join(f"{name}\n{FIELDS}" for name in names)


@pytest.fixture
def run(pytester: pytest.Pytester):
    """Returns a function that runs tests with the project's conftest."""
    pytester.makeconftest((TESTS / "conftest.py").read_text(encoding="utf-8"))
    pytester.makeini(
        "[pytest]\n"
        "asyncio_mode = auto\n"
        "asyncio_default_fixture_loop_scope = function\n"
        f"pythonpath = {TESTS}\n"
        "addopts = -p no:cacheprovider\n"
    )

    def run_tests(listed: str | None, tests: str, *options: str):
        if listed is not None:
            path = pytester.path / knownred.FILE
            path.write_text(listed, encoding="utf-8")
        pytester.makepyfile(test_a=tests)
        return pytester.runpytest(*options)

    return run_tests


def test_entries_are_read_with_their_lines():
    """Errors name the line; comments and blank lines are ignored."""
    text = f"# Found by hand.\n\n{list_entries('test_a.py::test_b[x y]')}"
    (entry,) = knownred.parse(f"{text}# End.\n")
    assert entry.line == 3
    assert entry.describe() == f"test_a.py::test_b[x y]\n{FIELDS}".rstrip()
    assert not entry.is_soak


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("  seen: x\n", ":1: field before the first entry"),
        (f"# c\ntest_b\n{FIELDS}", ":2: 'test_b' is neither"),
        (f"soak:x\n{FIELDS}", ":1: 'soak:x' is neither"),
        (f"a::b\n{FIELDS}\na::b\n{FIELDS}", ":6: a::b is already listed in"),
        ("a::b\n  command: x\n  seen: y\n", ":1: a::b has no issue:"),
        (f"a::b\nc::d\n{FIELDS}", ":1: a::b has no command:, seen:, issue:"),
        (f"a::b\n{FIELDS}  cause: x\n", ":5: expected one of command:"),
        (f"a::b\n{FIELDS}  goes on\n", ":5: expected one of command:"),
        (f"a::b\n{FIELDS}  seen: x\n", ":5: second seen: of a::b"),
        ("a::b\n  seen:\n", ":2: seen: is empty"),
        (f"soak:47\n{FIELDS}", ":1: command: does not name seed 47"),
    ],
)
def test_malformed_entry_is_refused_with_its_line(text: str, message: str):
    """A misread entry would tolerate another test's failure, or none."""
    with pytest.raises(knownred.ParseError) as error:
        knownred.parse(text)
    assert f"{knownred.FILE}{message}" in str(error.value)


def test_soak_finding_needs_no_test():
    """A seed of `make soak` may be listed although no test runs it."""
    (entry,) = knownred.parse(list_entries("soak:7"))
    assert entry.is_soak
    assert knownred.find_unknown([entry], set()) == []


@pytest.mark.parametrize(
    ("outcomes", "why"),
    [
        (["passed", "failed", "passed"], ""),
        (["failed", "passed"], ""),
        (["passed", "passed", "failed"], ""),
        (["passed", "passed", "passed"], "a::b passed, but"),
        (["passed", "skipped", "passed"], "a::b was skipped, but"),
    ],
)
def test_listed_test_must_fail_in_some_phase(outcomes: list[str], why: str):
    """An entry must be removed once its fault is fixed."""
    verdict = knownred.judge(knownred.Entry("a::b", 1), outcomes)
    assert verdict.startswith(why)
    assert bool(verdict) == bool(why)


@pytest.mark.parametrize("listed", [None, "", "# Nothing.\n"])
def test_failure_is_red_without_entries(run, listed: str | None):
    """Without entries no failure is tolerated and nothing is printed."""
    result = run(listed, FAILING)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(failed=1, passed=1)
    result.stdout.no_fnmatch_line("*known failures*")


def test_listed_failure_is_passed_over_and_printed(run):
    """A known failure must not fail CI, but stay visible."""
    result = run(list_entries("test_a.py::test_fails"), FAILING)
    assert result.ret == pytest.ExitCode.OK
    assert result.parseoutcomes() == {"knownred": 1, "passed": 1}
    result.stdout.fnmatch_lines(
        [
            "*known failures of KNOWN-RED.txt*",
            "test_a.py::test_fails",
            "  command: make test, seed 7",
            "  seen: 1 instead of 2",
            "  issue: 11",
            "  failed in call: assert 1 == 2",
        ],
        consecutive=True,
    )


def test_report_of_listed_failure_is_no_failure(run, pytester):
    """Plugins that count reports must agree with the exit status."""
    run(list_entries("test_a.py::test_fails"), FAILING)
    passed, skipped, failed = pytester.inline_run().countoutcomes()
    assert (passed, skipped, failed) == (1, 1, 0)


def test_unlisted_failure_stays_red(run):
    """An entry applies only to its own test."""
    tests = f"""{FAILING}
    def test_fails_too():
        assert 3 == 4
    """
    result = run(list_entries("test_a.py::test_fails"), tests)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    outcomes = {"knownred": 1, "passed": 1, "failed": 1}
    assert result.parseoutcomes() == outcomes
    result.stdout.fnmatch_lines(["FAILED test_a.py::test_fails_too*"])


def test_listed_pass_is_red(run):
    """A listed test that passes must fail the run, so its entry is removed."""
    listed = list_entries("test_a.py::test_fails", "test_a.py::test_passes")
    result = run(listed, FAILING)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.fnmatch_lines(
        ["*test_a.py::test_passes passed, but KNOWN-RED.txt:6 lists it*"]
    )


@pytest.mark.parametrize(
    "body",
    ["pytest.skip('later')", "pytest.xfail('later')"],
)
def test_listed_skip_is_red(run, body: str):
    """A listed test that is skipped does not show that it still fails."""
    tests = f"""
    import pytest

    def test_skips():
        {body}
    """
    result = run(list_entries("test_a.py::test_skips"), tests)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.fnmatch_lines(["*::test_skips was skipped, but KNOWN-RED*"])


@pytest.mark.parametrize(
    ("setup", "teardown", "phase"),
    [("1 / 0", "pass", "setup"), ("pass", "1 / 0", "teardown")],
)
def test_listed_fixture_error_is_passed_over(
    run, setup: str, teardown: str, phase: str
):
    """An error in a fixture of a listed test counts as its failure."""
    tests = f"""
    import pytest

    @pytest.fixture
    def broken():
        {setup}
        yield
        {teardown}

    def test_listed(broken):
        pass

    def test_missing(unknown_fixture):
        pass
    """
    names = ["test_a.py::test_listed", "test_a.py::test_missing"]
    result = run(list_entries(*names), tests)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(
        [
            names[0],
            f"  failed in {phase}: ZeroDivisionError*",
            names[1],
            "  failed in setup: *test_a.py*",
        ]
    )


def test_unknown_name_is_red(run):
    """An entry of a renamed test would silently have no effect."""
    result = run(list_entries("test_a.py::test_gone"), FAILING)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(
        ["*KNOWN-RED.txt:1: no test is named test_a.py::test_gone"]
    )


def test_name_without_parameters_is_unknown(run):
    """One entry must not apply to all parameters of a test."""
    tests = """
    import pytest

    @pytest.mark.parametrize("n", [1, 2])
    def test_fails(n):
        assert n == 3
    """
    listed = list_entries("test_a.py::test_fails")
    assert run(listed, tests).ret == pytest.ExitCode.USAGE_ERROR
    result = run(listed, tests, "test_a.py")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(failed=2)


def test_malformed_file_is_red(run):
    """A run must not continue with entries that it cannot parse."""
    result = run("test_a.py::test_fails\n", FAILING)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(
        ["*KNOWN-RED.txt:1: test_a.py::test_fails has no command:*"]
    )


def test_collection_error_is_red_and_shown(run):
    """A module that cannot be imported does not count as a listed failure."""
    result = run(list_entries("test_a.py::test_fails"), "import no_such_module")
    assert result.ret == pytest.ExitCode.INTERRUPTED
    result.stdout.fnmatch_lines(["*No module named 'no_such_module'*"])


@pytest.mark.parametrize(
    "options",
    [("test_a.py::test_passes",), ("-k", "passes"), ("--deselect=x",)],
)
def test_partial_run_ignores_entries_outside(run, options: tuple[str, ...]):
    """A run of some tests must not fail because of entries of others."""
    listed = list_entries("test_b.py::test_elsewhere", "soak:7")
    tests = "def test_passes(): pass"
    result = run(listed, tests, *options)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.no_fnmatch_line("*known failures*")


def test_partial_run_judges_selected_entries(run):
    """Entries of selected tests apply as in a run of all tests."""
    listed = list_entries("test_a.py::test_fails", "test_a.py::test_passes")
    result = run(listed, FAILING, "-k", "fails")
    assert result.ret == pytest.ExitCode.OK
    result = run(listed, FAILING, "test_a.py::test_passes")
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_soak_finding_is_printed(run):
    """Findings of `make soak` are printed by each run of all tests."""
    result = run(list_entries("soak:7"), "def test_passes(): pass")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["soak:7", "  not played by pytest"])


def test_runxfail_reports_listed_failure(run):
    """`--runxfail` must report a listed failure, to show its traceback."""
    listed = list_entries("test_a.py::test_fails")
    result = run(listed, FAILING, "--runxfail")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.fnmatch_lines(["FAILED test_a.py::test_fails*"])


def test_parametrised_async_and_subtest_failures(run):
    """Entries match node ids of any kind of test."""
    tests = """
    import pytest

    @pytest.mark.parametrize("text", ["a b", "c"])
    async def test_async(text):
        assert text == "c"

    @pytest.mark.memory_network
    async def test_virtual_time():
        assert 1 == 2

    def test_subtests(subtests):
        with subtests.test("part"):
            assert 1 == 2
    """
    names = [
        "test_a.py::test_async[a b]",
        "test_a.py::test_virtual_time",
        "test_a.py::test_subtests",
    ]
    result = run(list_entries(*names), tests)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(names)


def test_scenario_failures(run, pytester: pytest.Pytester):
    """Scenarios of pytest-bdd are listed by the node id of their test."""
    pytester.makefile(
        ".feature",
        numbers="""
        Feature: Numbers
          Scenario Outline: Small numbers
            Then <n> is 1
            Examples:
              | n |
              | 1 |
              | 2 |
        """,
    )
    tests = """
    from pytest_bdd import parsers, scenarios, then

    scenarios("numbers.feature")

    @then(parsers.parse("{n:d} is 1"))
    def check(n):
        assert n == 1
    """
    name = "test_a.py::test_small_numbers[2]"
    result = run(list_entries(name), tests)
    assert result.ret == pytest.ExitCode.OK
    assert result.parseoutcomes() == {"knownred": 1, "passed": 1}
    result.stdout.fnmatch_lines([name])
    listed = list_entries("test_a.py::test_small_numbers[1]", name)
    assert run(listed, tests).ret == pytest.ExitCode.TESTS_FAILED


def test_no_garbage_is_collected_while_a_failure_is_rendered(run):
    """An error of a collected object ended the run with an internal error."""
    tests = """
        import gc

        class Shown:
            def __repr__(self):
                return f"collecting={gc.isenabled()}"

        def test_fails():
            shown = Shown()
            assert False
    """
    result = run(None, tests, "--showlocals")
    result.stdout.fnmatch_lines(["shown *= collecting=False"])
    result.assert_outcomes(failed=1)
