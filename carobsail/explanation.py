"""Finds in logs what explains one request, for `carobsailctl explain`."""

from collections.abc import Iterable

from carobsail.loglines import LogLine

# Events up to this long before a request may have caused its end: a load from
# the weight store takes 9 s.
BEFORE_S = 15.0
AFTER_S = 1.0
# Lines of one section; the newest are shown.
MAX_LINES = 30

_TARGET_EVENTS = frozenset(
    {
        "engine_not_read",
        "order_given",
        "target_avoided",
        "target_gone",
        "target_listed",
    }
)
_INSTANCE_EVENTS = frozenset(
    {
        "changes_followed",
        "changes_missed",
        "configuration_in_force",
        "copy_read",
        "event_loop_late",
        "order_giver_changed",
        "requests_cut_at_stop",
        "started",
        "stopping",
        "store_lost",
        "store_regained",
        "value_read",
    }
)


def explain(request: str, lines: Iterable[LogLine]) -> tuple[str, ...]:
    """Returns the lines about a request and about what it met.

    Args:
      request: Identity of the request.
      lines: Lines of the logs of all instances, in any order.

    Returns:
      Sections for the request, its model, its targets and its instance; empty
      if no line names the request.
    """
    lines = list(lines)
    own = [x for x in lines if x.fields.get("request") == request]
    if not own:
        return ()
    own.sort(key=lambda x: x.at)
    start, end = own[0].at - BEFORE_S, own[-1].at + AFTER_S
    near = [x for x in lines if start <= x.at <= end]
    near.sort(key=lambda x: x.at)
    models = {x.fields.get("model", "") for x in own} - {""}
    targets = {
        name
        for x in own
        for field in ("target", "targets")
        for name in x.fields.get(field, "").split(",")
        if name
    }
    sources = {x.source for x in own}
    sections = [(f"request {request}", own)]
    for model in sorted(models):
        found = [x for x in near if _about_model(x, model)]
        sections.append((f"model {model}", found))
    for target in sorted(targets):
        found = [
            x
            for x in near
            if x.event in _TARGET_EVENTS and x.fields.get("target") == target
        ]
        sections.append((f"target {target}", found))
    found = [
        x for x in near if x.event in _INSTANCE_EVENTS and x.source in sources
    ]
    sections.append(("instance", found))
    shown: list[str] = []
    for title, rows in sections:
        shown.append(f"# {title}: {len(rows)} lines")
        shown += [row.text for row in rows[-MAX_LINES:]]
    return tuple(shown)


def _about_model(line: LogLine, model: str) -> bool:
    """Whether a line tells of a copy of a model that came or went."""
    fields = line.fields
    if line.event == "model_move_planned":
        gone = fields.get("unload", "").split(",")
        return fields.get("load") == model or model in gone
    return line.event == "order_given" and fields.get("model") == model
