"""Estimates which prompt prefixes are in the cache of each engine.

An engine caches a part of a prompt only together with all parts before it, for
the same model and adapter. Requests that other instances sent are not known
here, so the index may contain less than the cache of the engine, and more after
the engine has evicted entries.
"""

import collections

# Prompt parts kept per engine; an engine caches 60 to 300 whole prompts.
MAX_PARTS = 2048

Parts = tuple[tuple[str, int], ...]


class PromptCacheIndex:
    """Prompt prefixes by engine, as a bounded LRU set for each."""

    __slots__ = ("_engines",)

    def __init__(self) -> None:
        self._engines: dict[str, collections.OrderedDict[int, None]] = {}

    def cached_tokens(self, engine: str, model: str, parts: Parts) -> int:
        """Returns the number of prompt tokens that the engine has cached."""
        known = self._engines.get(engine)
        if not known:
            return 0
        tokens = 0
        prefix = hash(model)
        for part, count in parts:
            prefix = hash((prefix, part))
            if prefix not in known:
                break
            tokens += count
        return tokens

    def record_prompt(self, engine: str, model: str, parts: Parts) -> None:
        """Records that the engine has processed a prompt."""
        known = self._engines.setdefault(engine, collections.OrderedDict())
        prefix = hash(model)
        for part, _ in parts:
            prefix = hash((prefix, part))
            known[prefix] = None
            known.move_to_end(prefix)
        while len(known) > MAX_PARTS:
            known.popitem(last=False)

    def forget(self, engine: str) -> None:
        """Drops the entries of an engine that has ended."""
        self._engines.pop(engine, None)
