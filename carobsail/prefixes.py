"""Index of the prompt prefixes that each engine has cached.

Cache events of engines arrive late and with gaps. After a gap, a block counts
as not cached until a new event names it again.
"""

import collections
from collections.abc import Sequence

import xxhash

from carobsail import engines

BLOCK_BYTES = 256
MAX_PROMPT_BLOCKS = 512  # Only the first 128 KiB of a prompt are indexed.
MAX_BLOCKS = 65_536  # Of all engines together.
MAX_ENGINES = 1024
MIN_ENGINE_BLOCKS = 64
MAX_INCARNATIONS = 4  # Incarnations remembered per engine.


def hash_blocks(model: str, adapter: str, prompt: bytes) -> tuple[int, ...]:
    """Hashes the complete blocks of a prompt; each hash covers those before.

    Args:
      model: Model name; caches are never shared between models.
      adapter: Adapter name or empty.
      prompt: Prompt bytes; a partial block at the end is ignored.

    Returns:
      One hash for each block, at most `MAX_PROMPT_BLOCKS`.
    """
    block_hash = xxhash.xxh3_64_intdigest(f"{model}\0{adapter}".encode())
    hashes = []
    count = min(len(prompt) // BLOCK_BYTES, MAX_PROMPT_BLOCKS)
    for index in range(count):
        block = prompt[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES]
        block_hash = xxhash.xxh3_64_intdigest(block, seed=block_hash)
        hashes.append(block_hash)
    return tuple(hashes)


class _EngineCache:
    """Known cache content of one engine."""

    __slots__ = ("blocks", "incarnation", "last_sequences")

    def __init__(self) -> None:
        self.incarnation: int | None = None
        self.blocks: dict[int, None] = {}  # Least recently used first.
        # Last sequence number of each recent incarnation. Incarnation numbers
        # have no order, so a late event of an old one must not keep events of
        # the newest from being accepted.
        self.last_sequences: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def accept(self, event: engines.CacheEvent) -> bool:
        """Records the event's sequence number; returns False if it is late.

        After a gap or a restart of the engine all known blocks are dropped.
        """
        last = self.last_sequences.get(event.incarnation, 0)
        if event.sequence <= last:
            return False
        if self.incarnation is None:
            self.incarnation = event.incarnation
        elif event.incarnation != self.incarnation or event.sequence > last + 1:
            self.blocks.clear()
            self.incarnation = event.incarnation
        self.last_sequences[event.incarnation] = event.sequence
        self.last_sequences.move_to_end(event.incarnation)
        if len(self.last_sequences) > MAX_INCARNATIONS:
            self.last_sequences.popitem(last=False)
        return True

    def last_sequence(self) -> int:
        """Returns the last sequence number of the current incarnation."""
        if self.incarnation is None:
            return 0
        return self.last_sequences[self.incarnation]


class PrefixIndex:
    """Cached prompt blocks per engine, bounded by LRU eviction."""

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

    def record_sent_prompt(self, target: str, blocks: Sequence[int]) -> None:
        """Records a prompt that this instance sent to an engine.

        An instance gets cache events only from the engines that it owns. For
        other engines it only knows the prompts that it has sent itself.
        """
        self._store(self._cache(target), blocks)

    def forget(self, target: str) -> None:
        """Drops the entries of an engine that crashed or was removed."""
        self._engines.pop(target, None)

    def last_sequence(self, target: str) -> int:
        """Returns the last sequence number of an engine's events, or 0."""
        cache = self._engines.get(target)
        return 0 if cache is None else cache.last_sequence()

    def cached_share(self, target: str, blocks: Sequence[int]) -> float:
        """Returns the share of a prompt's leading blocks that is cached."""
        cache = self._engines.get(target)
        if cache is None or not blocks:
            return 0.0
        cached = 0
        for block in blocks:
            if block not in cache.blocks:
                break
            cached += 1
        return cached / len(blocks)

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
                self._evict(other)
        self._engines.move_to_end(target)
        return cache

    def _store(self, cache: _EngineCache, blocks: Sequence[int]) -> None:
        # The last block is stored first, so that eviction drops the end of a
        # prefix before its beginning.
        for block in reversed(blocks):
            cache.blocks.pop(block, None)
            cache.blocks[block] = None
        self._evict(cache)

    def _evict(self, cache: _EngineCache) -> None:
        max_blocks = max(
            MIN_ENGINE_BLOCKS, self._max_blocks // len(self._engines)
        )
        while len(cache.blocks) > max_blocks:
            del cache.blocks[next(iter(cache.blocks))]
