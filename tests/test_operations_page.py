"""Guards that the page for operators names what the code logs and counts.

It described an event of the order lease, and a way to keep it, that were not in
the code.
"""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / "docs" / "OPERATIONS.md"


def names_in_code():
    """Returns a pattern of the strings and fields of the code."""
    found = set()
    for path in (ROOT / "carobsail").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                found |= set(re.findall("[a-z0-9_]+", node.value))
            elif isinstance(node, ast.keyword):
                found.add(node.arg or "")
            elif isinstance(node, ast.AnnAssign):
                found.add(ast.unparse(node.target))
            elif isinstance(node, ast.JoinedStr):
                parts = [
                    re.escape(part.value)
                    if isinstance(part, ast.Constant)
                    else "[a-z_]+"
                    for part in node.values
                ]
                # Names such as `model_loaded` are composed.
                if re.fullmatch("[a-z_]+", parts[0]):
                    found.add("".join(parts))
    return re.compile("|".join(sorted(found)))


def documented_names():
    """Returns the names of events, metrics and fields on the page."""
    return set(re.findall("`([a-z0-9]+_[a-z0-9_]+)`", PAGE.read_text()))


def without_ending(name):
    """Returns the name of a metric without what `/metrics` adds."""
    return re.sub(r"(_total|_p\d+_ms)$", "", name)


def test_each_name_of_the_page_is_in_the_code():
    """An operator waited for `order_lease_reclaimed`, which nothing logged."""
    known = names_in_code()
    names = documented_names()
    assert {"store_lost", "order_lease_taken", "model_loaded"} <= names
    missing = {
        name
        for name in names
        if not known.fullmatch(name)
        and not known.fullmatch(without_ending(name))
    }
    assert missing == set()
