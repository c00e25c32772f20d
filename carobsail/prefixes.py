"""Index of the prompt prefixes that each engine has cached.

Engines publish cache events late and with gaps. The index claims no block
of an engine after a gap until a new event names it again.
"""

import collections
from collections.abc import Sequence

import xxhash

from carobsail import engines

BLOCK_BYTES = 256
MAX_PROMPT_BLOCKS = 512  # Longer prompts share at most their first 128 KiB.
MAX_BLOCKS = 65_536  # Over all engines.
MAX_ENGINES = 1024
MIN_ENGINE_BLOCKS = 64
MAX_INCARNATIONS = 4  # Remembered for each engine.


def hash_blocks(model: str, adapter: str, prompt: bytes) -> tuple[int, ...]:
    """Hashes the whole blocks of a prompt, each chained to the one before.

    Args:
      model: Model name; caches are never shared between models.
      adapter: Adapter name or empty.
      prompt: Prompt bytes; a last partial block is left out.

    Returns:
      One hash for each block, at most `MAX_PROMPT_BLOCKS`.
    """
    chained = xxhash.xxh3_64_intdigest(f"{model}\0{adapter}".encode())
    hashes = []
    count = min(len(prompt) // BLOCK_BYTES, MAX_PROMPT_BLOCKS)
    for index in range(count):
        block = prompt[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES]
        chained = xxhash.xxh3_64_intdigest(block, seed=chained)
        hashes.append(chained)
    return tuple(hashes)


class _EngineCache:
    __slots__ = ("blocks", "incarnation", "seen")

    def __init__(self) -> None:
        self.incarnation: int | None = None
        self.blocks: dict[int, None] = {}  # Oldest use first.
        # Last sequence number of recent incarnations, whose numbers have no
        # order: a late event of an old one must not block the newest.
        self.seen: collections.OrderedDict[int, int] = collections.OrderedDict()

    def accept(self, event: engines.CacheEvent) -> bool:
        """Moves to the event's place; false for one that comes too late."""
        last = self.seen.get(event.incarnation, 0)
        if event.sequence <= last:
            return False
        if self.incarnation is None:
            self.incarnation = event.incarnation
        elif event.incarnation != self.incarnation or event.sequence > last + 1:
            self.blocks.clear()
            self.incarnation = event.incarnation
        self.seen[event.incarnation] = event.sequence
        self.seen.move_to_end(event.incarnation)
        if len(self.seen) > MAX_INCARNATIONS:
            self.seen.popitem(last=False)
        return True

    def last_sequence(self) -> int:
        """Returns the number of the newest incarnation's last event."""
        if self.incarnation is None:
            return 0
        return self.seen[self.incarnation]


class PrefixIndex:
    """Cached prompt blocks per engine, bounded, oldest use dropped first."""

    __slots__ = ("_engines", "_max_blocks")

    def __init__(self, max_blocks: int = MAX_BLOCKS):
        self._engines: collections.OrderedDict[str, _EngineCache] = (
            collections.OrderedDict()
        )
        self._max_blocks = max_blocks

    def __len__(self) -> int:
        return sum(len(cache.blocks) for cache in self._engines.values())

    def apply(self, target: str, event: engines.CacheEvent) -> None:
        """Applies a cache event of an engine."""
        cache = self._cache(target)
        if not cache.accept(event):
            return
        if event.kind == "cleared":
            cache.blocks.clear()
        elif event.kind == "removed":
            for block in event.blocks:
                cache.blocks.pop(block, None)
        elif event.kind == "stored":
            self._store(cache, event.blocks)

    def assume(self, target: str, blocks: Sequence[int]) -> None:
        """Records a prompt that this instance sent to an engine.

        An instance gets cache events only of the engines that it owns. For
        the others, its own sendings are its only knowledge.
        """
        self._store(self._cache(target), blocks)

    def forget(self, target: str) -> None:
        """Drops what is known of an engine that crashed or was removed."""
        self._engines.pop(target, None)

    def last_sequence(self, target: str) -> int:
        """Returns the number of the last event seen, 0 when none was."""
        cache = self._engines.get(target)
        return 0 if cache is None else cache.last_sequence()

    def cached_share(self, target: str, blocks: Sequence[int]) -> float:
        """Returns the share of a prompt's leading blocks that is cached."""
        cache = self._engines.get(target)
        if cache is None or not blocks:
            return 0.0
        held = 0
        for block in blocks:
            if block not in cache.blocks:
                break
            held += 1
        return held / len(blocks)

    def shares(
        self, targets: Sequence[str], blocks: Sequence[int]
    ) -> dict[str, float]:
        """Returns the cached share of a prompt for each target."""
        return {t: self.cached_share(t, blocks) for t in targets}

    def _cache(self, target: str) -> _EngineCache:
        cache = self._engines.get(target)
        if cache is None:
            cache = self._engines[target] = _EngineCache()
            if len(self._engines) > MAX_ENGINES:
                self._engines.popitem(last=False)
            for other in self._engines.values():
                self._trim(other)
        self._engines.move_to_end(target)
        return cache

    def _store(self, cache: _EngineCache, blocks: Sequence[int]) -> None:
        # The deepest block is stored first, so that trimming drops the end
        # of a prefix before its beginning.
        for block in reversed(blocks):
            cache.blocks.pop(block, None)
            cache.blocks[block] = None
        self._trim(cache)

    def _trim(self, cache: _EngineCache) -> None:
        room = max(MIN_ENGINE_BLOCKS, self._max_blocks // len(self._engines))
        while len(cache.blocks) > room:
            del cache.blocks[next(iter(cache.blocks))]
