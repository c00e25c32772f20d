"""Defines the slopes of the capacity page: a column against a size."""

import dataclasses
from typing import Any

from bench import fits


@dataclasses.dataclass(slots=True, frozen=True)
class Slope:
    """One measured column against a size.

    Attributes:
      name: Name of the plot.
      title: What was measured.
      unit: Unit of the column.
      part: Part of the results.
      table: Table of the part.
      x: Column of the size.
      y: Column measured.
      where: Values of other columns that select the rows.
    """

    name: str
    title: str
    unit: str
    part: str
    table: str
    x: str
    y: str
    where: tuple[tuple[str, Any], ...] = ()

    def points(self, results: dict[str, Any]) -> list[tuple[float, float]]:
        """Returns the measured points; empty if the part was not measured."""
        if self.part not in results:
            return []
        return sorted(
            (row[self.x], row[self.y])
            for row in results[self.part]["rows"][self.table]
            if all(row.get(key) == value for key, value in self.where)
        )

    def fit(self, results_points: list[tuple[float, float]]) -> dict[str, Any]:
        """Fits points by a line or a power law, whichever is better."""
        sizes, values = zip(*results_points, strict=True)
        return fits.fit(sizes, values)


def evaluate(found: dict[str, Any], size: float) -> float:
    """Returns the fitted value at a size."""
    if found["fit"] == "linear":
        return float(found["base"] + found["slope"] * size)
    return float(found["factor"] * size ** found["exponent"])


_ENTRY = (("program", "entry"),)
_CONTROL = (("program", "control"),)


def _process(
    name: str, title: str, table: str, x: str, which: tuple[tuple[str, str]]
) -> list[Slope]:
    return [
        Slope(f"{name}-processor", f"{title}, processor time", "% of a core",
              "processes", table, x, "core_percent", which),
        Slope(f"{name}-memory", f"{title}, RSS", "MB",
              "processes", table, x, "rss_mb", which),
    ]  # fmt: skip


def _capacity(
    name: str, title: str, unit: str, table: str, x: str, y: str
) -> Slope:
    return Slope(name, title, unit, "capacity", table, x, y)


SLOPES = [
    *_process("entry-engines", "entry process by owned engines",
              "entry_by_engines", "owned", _ENTRY),
    *_process("entry-accounts", "entry process by client accounts",
              "by_accounts", "accounts", _ENTRY),
    *_process("leader-accounts", "leading control process by client accounts",
              "by_accounts", "accounts", _CONTROL),
    *_process("leader-engines", "leading control process by engines",
              "leader_by_engines", "engines", _CONTROL),
    *_process("leader-instances", "leading control process by instances",
              "leader_by_instances", "instances", _CONTROL),
    *_process("leader-listed", "leading control process by listed targets",
              "leader_by_targets", "targets", _CONTROL),
    _capacity("views", "views of the known targets", "µs", "targets",
              "targets", "views_us"),
    _capacity("choose", "routing choice, every target a candidate", "µs",
              "targets", "targets", "choose_all_us"),
    _capacity("loads", "loads of all known targets received", "µs", "targets",
              "targets", "loads_received_us"),
    _capacity("directory", "directory by known targets", "kB", "targets",
              "targets", "directory_kb"),
    _capacity("prefixes", "prefix index by blocks", "kB", "prefixes",
              "blocks", "index_kb"),
    _capacity("inventory-parse", "parsing the inventory", "ms", "inventory",
              "targets", "parse_ms"),
    _capacity("inventory-memory", "parsed inventory", "kB", "inventory",
              "targets", "inventory_kb"),
    _capacity("inventory-document", "inventory document", "kB", "inventory",
              "targets", "document_kb"),
    _capacity("accounts", "rendered configuration by accounts", "kB", "relay",
              "accounts", "rendered_kb"),
    _capacity("snapshot", "configuration snapshot by accounts", "kB", "relay",
              "accounts", "snapshot_kb"),
    _capacity("change", "one change encoded for 27 receivers", "µs", "relay",
              "accounts", "leader_change_us"),
    Slope("leader-bytes", "node of the leader by instances", "bytes/s",
          "traffic", "node", "instances", "leader_node_bytes_per_s"),
    Slope("node-bytes", "other nodes by instances", "bytes/s",
          "traffic", "node", "instances", "other_node_bytes_per_s"),
    Slope("key-value", "key-value calls of a data centre", "calls/s",
          "traffic", "node", "instances", "key_value_calls_per_s"),
    Slope("claims", "claim transactions by claims, 100 ms interval",
          "transactions/s", "claims", "claims", "claims_per_s",
          "transactions_per_s", (("interval_ms", 100),)),
    Slope("planner", "planner round by engines, 210 models, p99", "ms",
          "placement", "cost", "engines", "p99_ms"),
]  # fmt: skip


def rows(results: dict[str, Any]) -> list[dict[str, Any]]:
    """Returns a row of the slopes' table for each measured slope."""
    found = []
    for slope in SLOPES:
        points = slope.points(results)
        if not points:
            continue
        fitted = slope.fit(points)
        found.append(
            {
                "slope": f"[{slope.title}](plots/{slope.name}.svg)",
                "unit": slope.unit,
                "n": slope.x,
                "sizes": ", ".join(f"{size:g}" for size, _ in points),
                "measured": ", ".join(f"{value:g}" for _, value in points),
                "fit": fits.describe(fitted),
                "part": slope.part,
            }
        )
    return found
