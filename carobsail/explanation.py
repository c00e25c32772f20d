"""Finds the log lines that explain one request, for `carobsailctl explain`."""

from collections.abc import Iterable

from carobsail.loglines import LogLine

# Events up to this long before the first line of a request may have caused its
# outcome: a load from the weight store takes 9 s.
LOOKBACK_S = 15.0
LOOKAHEAD_S = 1.0
# Longer sections show only their newest lines.
MAX_SECTION_LINES = 30

_MODEL_EVENTS = frozenset({"model_load_declined", "order_given"})
_TARGET_EVENTS = frozenset(
    {
        "crash_observed",
        "engine_not_read",
        "order_given",
        "target_avoided",
        "target_gone",
        "target_listed",
        "target_says_leaving",
    }
)
_INSTANCE_EVENTS = frozenset(
    {
        "changes_followed",
        "changes_missed",
        "configuration_in_force",
        "copy_read",
        "crash_suspect_cleared",
        "event_loop_late",
        "order_giver_changed",
        "request_suspected_of_crashes",
        "requests_cut_at_stop",
        "started",
        "stopping",
        "store_lost",
        "store_regained",
        "value_read",
    }
)


def explain(request: str, lines: Iterable[LogLine]) -> tuple[str, ...]:
    """Returns the lines about a request and the events around it.

    Args:
      request: Identifier of the request.
      lines: Lines of the logs of all instances, in any order.

    Returns:
      Sections for the request, its models, its targets and the instances that
      logged it; empty if no line names the request.
    """
    lines = list(lines)
    request_lines = [
        line for line in lines if line.fields.get("request") == request
    ]
    if not request_lines:
        return ()
    request_lines.sort(key=lambda line: line.unix_time_s)
    start, end = (
        request_lines[0].unix_time_s - LOOKBACK_S,
        request_lines[-1].unix_time_s + LOOKAHEAD_S,
    )
    nearby = [line for line in lines if start <= line.unix_time_s <= end]
    nearby.sort(key=lambda line: line.unix_time_s)
    models = {line.fields.get("model", "") for line in request_lines} - {""}
    targets = {
        name
        for line in request_lines
        for field in ("target", "targets")
        for name in line.fields.get(field, "").split(",")
        if name
    }
    sources = {line.source for line in request_lines}
    sections = [(f"request {request}", request_lines)]
    for model in sorted(models):
        section_lines = [line for line in nearby if _about_model(line, model)]
        sections.append((f"model {model}", section_lines))
    for target in sorted(targets):
        section_lines = [
            line
            for line in nearby
            if line.event in _TARGET_EVENTS
            and line.fields.get("target") == target
        ]
        sections.append((f"target {target}", section_lines))
    section_lines = [
        line
        for line in nearby
        if line.event in _INSTANCE_EVENTS and line.source in sources
    ]
    sections.append(("instance", section_lines))
    shown: list[str] = []
    for title, rows in sections:
        shown.append(f"# {title}: {len(rows)} lines")
        shown += [row.text for row in rows[-MAX_SECTION_LINES:]]
    return tuple(shown)


def _about_model(line: LogLine, model: str) -> bool:
    """Returns whether a line is about loading or unloading the model."""
    fields = line.fields
    if line.event == "model_move_planned":
        unloaded = fields.get("unload", "").split(",")
        return fields.get("load") == model or model in unloaded
    return line.event in _MODEL_EVENTS and fields.get("model") == model
