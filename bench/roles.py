"""Tabulates state, traffic and cost of each role at the target size."""

from typing import Any

from bench import checks

COLUMNS = ("state", "messages/s", "bytes/s", "processor", "memory")

Cells = dict[str, str]


def rows(results: checks.Results) -> list[dict[str, Any]]:
    """Returns a row for each role; `-` where nothing was measured."""
    try:
        found = [
            _entry(results),
            _owner(results),
            _leader(results),
            _relay(results),
            _planner(results),
            _store(),
            _operator(results),
            _claims(results),
            _key_value(results),
        ]
    except (KeyError, IndexError):
        return [{"role": "not all parts were measured"}]
    return [
        {"role": cells["role"], "mechanism": cells["mechanism"]}
        | {name: cells.get(name, "-") for name in COLUMNS}
        | {"not measured": cells.get("not measured", "")}
        for cells in found
    ]


def _memory(results: checks.Results, program: str) -> str:
    rss = checks.read_program(results, program, "rss_mb")
    pss = checks.read_program(results, program, "pss_mb")
    return f"{rss:g} MB RSS, {pss:g} MB PSS"


def _entry(results: checks.Results) -> Cells:
    known = checks.read_largest(results, "targets", "directory_kb")
    prefixes = checks.read_largest(results, "prefixes", "index_kb")
    accounts = checks.read_largest(results, "relay", "rendered_kb")
    sent = checks.read_node(results, "other_node_messages_per_s")
    size = checks.read_node(results, "other_node_bytes_per_s")
    return {
        "role": "entry instance",
        "mechanism": "heartbeats, load reports and dispatch over links",
        "state": f"targets {known:g} kB, prefix index {prefixes:g} kB,"
        f" configuration {accounts:g} kB",
        "messages/s": f"{sent:g}",
        "bytes/s": f"{size:,.0f}",
        "processor": f"routing {checks.routing_percent(results):.2f}%,"
        f" loads {checks.loads_percent(results):.2f}%,"
        f" token events {checks.relay_percent(results):.0f}%",
        "memory": _memory(results, "entry"),
        "not measured": "requests in flight",
    }


def _owner(results: checks.Results) -> Cells:
    found = results["processes"]["rows"]["entry_by_engines"]
    largest = max(
        (row for row in found if row["program"] == "entry"),
        key=lambda row: row["owned"],
    )
    loads = checks.read_message(results, "Loads", "other_node_bytes_per_s")
    return {
        "role": "owner of engines",
        "mechanism": "grants; reports and cache events over HTTP",
        "bytes/s": f"{loads:,.0f} for loads",
        "processor": f"{largest['core_percent']}% with"
        f" {largest['owned']} engines",
        "memory": f"{largest['rss_mb']} MB RSS with"
        f" {largest['owned']} engines, as entry instance",
        "not measured": "state alone; bytes of calls to engines; orders",
    }


def _leader(results: checks.Results) -> Cells:
    listed = checks.read_largest(results, "inventory", "inventory_kb")
    stored = checks.read_largest(results, "relay", "documents_kb")
    document = checks.read_largest(results, "inventory", "document_kb")
    sent = checks.read_node(results, "leader_node_messages_per_s")
    size = checks.read_node(results, "leader_node_bytes_per_s")
    core_percent = checks.read_program(results, "control", "core_percent")
    return {
        "role": "data centre leader",
        "mechanism": "lease, heartbeats, grants, inventory",
        "state": f"inventory {listed:g} kB, configuration {stored:g} kB",
        "messages/s": f"{sent:g}",
        "bytes/s": f"{size:,.0f}, and {document * 1000:,.0f} B for each"
        " change of the inventory",
        "processor": f"{core_percent:g}%",
        "memory": _memory(results, "control"),
    }


def _relay(results: checks.Results) -> Cells:
    snapshot = checks.read_largest(results, "relay", "snapshot_kb")
    change = checks.read_largest(results, "relay", "leader_change_us")
    sent = checks.read_message(results, "Delta", "leader_node_messages_per_s")
    size = checks.read_message(results, "Delta", "leader_node_bytes_per_s")
    return {
        "role": "configuration relay",
        "mechanism": "watch, a Delta to each process, Applied",
        "state": f"{snapshot:g} kB of documents",
        "messages/s": f"{sent:g}",
        "bytes/s": f"{size:,.0f}",
        "processor": f"{change:g} µs a change",
        "memory": "in the leader",
    }


def _planner(results: checks.Results) -> Cells:
    cost = checks.find(results, "placement/cost", engines=500)
    sent = checks.read_message(
        results, "Progress", "leader_node_messages_per_s"
    )
    size = checks.read_message(results, "Progress", "leader_node_bytes_per_s")
    return {
        "role": "planner",
        "mechanism": "Progress from owners, Plan to owners",
        "messages/s": f"{sent:g}",
        "bytes/s": f"{size:,.0f}",
        "processor": f"{cost['median_ms']} ms a round (p99"
        f" {cost['p99_ms']} ms)",
        "memory": "in the leader",
        "not measured": "Plan messages",
    }


def _store() -> Cells:
    return {
        "role": "store budget",
        "mechanism": "one key, renewed by compare-and-swap",
        "memory": "in the leader",
        "not measured": "calls while models load",
    }


def _operator(results: checks.Results) -> Cells:
    snapshot = checks.read_largest(results, "relay", "snapshot_kb")
    rendered = checks.find(results, "configuration/accounts", accounts=8000)[
        "full_ms"
    ]
    return {
        "role": "operator command",
        "mechanism": "compare-and-swap, read back after a lost response",
        "state": f"reads {snapshot:g} kB of documents",
        "processor": f"{rendered} ms to render 8,000 accounts",
        "not measured": "memory",
    }


def _claims(results: checks.Results) -> Cells:
    found = [
        row["granted_per_s"]
        for row in results["claims"]["rows"]["claims"]
        if row["interval_ms"] == 280 and not row["refused"]
    ]
    return {
        "role": "idempotency claims",
        "mechanism": "one writer for each data centre",
        "messages/s": f"{max(found)} claims/s without a refusal, at the"
        " call budget of 14 instances",
        "not measured": "memory; settlements, one for each claim",
    }


def _key_value(results: checks.Results) -> Cells:
    calls = checks.read_node(results, "key_value_calls_per_s")
    return {
        "role": "key-value service, as used",
        "mechanism": "leases, watches, transactions",
        "messages/s": f"{calls:g} calls/s a data centre,"
        f" {calls * checks.DATA_CENTRES:.0f} in all",
        "not measured": "bytes; claims and model orders",
    }


def compare_programs(results: checks.Results) -> list[dict[str, Any]]:
    """Returns what control adds to an instance, with two programs and one."""
    rows = []
    for column, unit, limit in (
        ("rss_mb", "MB RSS", checks.MEMORY_LIMIT_MB),
        ("pss_mb", "MB PSS", checks.MEMORY_LIMIT_MB),
        ("core_percent", "% of a core", checks.CORE_PERCENT_LIMIT),
    ):
        entry, control, both = (
            checks.read_program(results, program, column)
            for program in ("entry", "control", "both")
        )
        added = {"two programs": control, "one process": both - entry}
        rows.append(
            {"control adds, at the leader": unit}
            | {
                way: f"**{value:.1f}**" if value > limit else f"{value:.1f}"
                for way, value in added.items()
            }
            | {"limit": limit}
        )
    return rows
