"""Which parts of prompts each engine has read for this instance.

An engine keeps a part only together with all parts before it, for the same
model and adapter. What other instances sent is not known here, so the memory
tells less than the engine keeps, and after evictions it may tell more.
"""

import collections

# Parts remembered for one engine; an engine keeps 60 to 300 whole prompts.
MAX_PARTS = 2048

Parts = tuple[tuple[str, int], ...]


class PromptMemory:
    """Parts of prompts by engine, bounded, oldest use dropped first."""

    __slots__ = ("_engines",)

    def __init__(self) -> None:
        self._engines: dict[str, collections.OrderedDict[int, None]] = {}

    def cached_tokens(self, engine: str, model: str, parts: Parts) -> int:
        """Returns the prompt tokens that the engine need not read again."""
        known = self._engines.get(engine)
        if not known:
            return 0
        tokens = 0
        chain = hash(model)
        for name, count in parts:
            chain = hash((chain, name))
            if chain not in known:
                break
            tokens += count
        return tokens

    def remember(self, engine: str, model: str, parts: Parts) -> None:
        """Records that the engine read a prompt."""
        known = self._engines.setdefault(engine, collections.OrderedDict())
        chain = hash(model)
        for name, _ in parts:
            chain = hash((chain, name))
            known[chain] = None
            known.move_to_end(chain)
        while len(known) > MAX_PARTS:
            known.popitem(last=False)

    def forget(self, engine: str) -> None:
        """Drops what is known of an engine that ended."""
        self._engines.pop(engine, None)
