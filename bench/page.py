"""Rewrites the tables and plots of the capacity page from its results."""

import json
import pathlib
import re
from collections.abc import Iterable
from typing import Any

from bench import checks, plots, roles, slopes

RESULTS = "results.json"
PAGES = ("CAPACITY.md", "decisions/2-programs.md")
_BLOCK = re.compile(
    r"(<!-- table: (?P<name>[^>]+) -->\n).*?(<!-- end -->)", re.S
)

Results = dict[str, Any]


def load(directory: pathlib.Path) -> Results:
    """Returns the results; empty if the file does not exist."""
    path = directory / RESULTS
    if not path.exists():
        return {}
    found: Results = json.loads(path.read_text())
    return found


def render(text: str, results: Results) -> str:
    """Returns the text of a page with its generated tables rewritten."""

    def table(match: re.Match[str]) -> str:
        content = _table(match["name"].strip(), results)
        return f"{match[1]}\n{content}\n\n{match[3]}"

    return _BLOCK.sub(table, text)


def rewrite(directory: pathlib.Path) -> None:
    """Rewrites the pages and plots."""
    results = load(directory)
    for name in PAGES:
        path = directory / name
        if path.exists():
            path.write_text(render(path.read_text(), results))
    for name, content in plots.draw_all(results).items():
        (directory / name).parent.mkdir(exist_ok=True)
        (directory / name).write_text(content)


def _table(name: str, results: Results) -> str:
    """Renders `part/rows` of the results, or a table computed from them."""
    if name == "gaps":
        return "\n".join(checks.worst(results))
    if name == "checks":
        return format_rows(checks.rows(results))
    if name == "roles":
        return format_rows(roles.rows(results))
    if name == "programs":
        return format_rows(roles.compare_programs(results))
    if name == "slopes":
        return format_rows(slopes.rows(results))
    if name == "runs":
        return format_rows(_runs(results))
    part, _, rows = name.partition("/")
    if part not in results:
        return f"Not measured: `python -m bench.all --parts={part}`."
    found = results[part]
    source = f"`{found['command']}`, {found['date']}"
    return f"{format_rows(found['rows'][rows])}\n\n{source}"


def _runs(results: Results) -> list[dict[str, Any]]:
    return [
        {
            "command": f"`{part['command']}`",
            "sizes": json.dumps(part["sizes"]),
            "seeds": ", ".join(map(str, part["seeds"])) or "-",
            "date": part["date"],
            "took s": part["took_s"],
        }
        for part in results.values()
    ]


def format_rows(rows: Iterable[dict[str, Any]]) -> str:
    """Returns a Markdown table with the columns of all rows."""
    rows = list(rows)
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = [_line(names), _line(["---"] * len(names))]
    lines += [
        _line([_cell(row.get(name, "")) for name in names]) for row in rows
    ]
    return "\n".join(lines)


def _line(cells: list[str]) -> str:
    return f"| {' | '.join(cells)} |"


def _cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:,.4f}".rstrip("0").rstrip(".")
    return f"{value:,}" if type(value) is int else str(value)
