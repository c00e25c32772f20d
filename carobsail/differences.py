"""Differences between stored and new documents, shown to operators."""

import difflib
import json

from carobsail import configuration, errors, keyvalue


def diff_lines(
    key: str, value: keyvalue.KeyValue | None, document: configuration.Document
) -> list[str]:
    """Returns the lines of a unified diff of a stored and a new document."""
    stored_lines: list[str] = []
    if value is not None:
        stored = configuration.parse_document(value.value)
        if isinstance(stored, errors.Failure):
            stored_lines = value.value.decode(errors="replace").splitlines()
        else:
            stored_lines = _text(stored)
    name = key.removeprefix(configuration.CONFIG_PREFIX)
    return list(
        difflib.unified_diff(
            stored_lines, _text(document), name, name, n=1, lineterm=""
        )
    )


def _text(document: configuration.Document) -> list[str]:
    content = configuration.document_content(document)
    return json.dumps(content, indent=1, sort_keys=True).splitlines()
