"""Tests the requirements installed with the program on the platform."""

import importlib.metadata
import pathlib
import re
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
CODE = """
import importlib.metadata, sys
import carobsail.platform.__main__
found = importlib.metadata.packages_distributions()
tops = {name.partition(".")[0] for name in sys.modules}
print(*{d for top in tops for d in found.get(top, ())})
"""


def requirements():
    lines = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
    return {re.split("[<>=]", line)[0]: line for line in lines if line}


def test_all_that_the_program_imports_is_installed():
    """Guards against an import that is not installed on the platform.

    Such an import once made every process exit at start.
    """
    out = subprocess.run(
        [sys.executable, "-c", CODE],
        check=True,
        capture_output=True,
        text=True,
        cwd=ROOT,
    ).stdout
    declared = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    names = {re.split("[<>=]", d)[0] for d in declared["dependencies"]}
    imported = {name for name in out.split() if name in names}
    assert imported <= requirements().keys()


def test_versions_are_those_of_the_project():
    """Guards against a program that runs on other versions than its tests."""
    declared = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert set(requirements().values()) <= set(declared["dependencies"])
    for name in requirements():
        assert importlib.metadata.version(name)
