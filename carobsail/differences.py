"""Differences between documents, for operators."""

import difflib
import json

from carobsail import configuration, errors, keyvalue


def show(
    key: str, value: keyvalue.KeyValue | None, document: configuration.Document
) -> list[str]:
    """Returns the difference between a stored and a new document."""
    before: list[str] = []
    if value is not None:
        present = configuration.parse_document(value.value)
        if isinstance(present, errors.Failure):
            before = value.value.decode(errors="replace").splitlines()
        else:
            before = _text(present)
    name = key.removeprefix(configuration.PREFIX)
    return list(
        difflib.unified_diff(
            before, _text(document), name, name, n=1, lineterm=""
        )
    )


def _text(document: configuration.Document) -> list[str]:
    content = configuration.content(document)
    return json.dumps(content, indent=1, sort_keys=True).splitlines()
