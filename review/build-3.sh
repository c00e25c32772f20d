#!/bin/sh
# Checks the stand-ins of the third review, which are Python and need no build
# beyond that of the deploy file (`target/deps`). Uses no network.
cd "$(dirname "$0")/.." || exit 2
test -d target/deps || { echo "run the build of deploy/system.toml" >&2; exit 2; }
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 - <<'CODE'
import ast
import pathlib
import sys

sys.path.insert(0, "review")
import carobsail.platform.__main__  # noqa: F401
import standins_3  # noqa: F401

for number in range(11, 16):
    for path in pathlib.Path(f"review/{number}").glob("*.py"):
        ast.parse(path.read_text(), str(path))
CODE
