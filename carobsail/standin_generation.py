"""Generation of answers in an engine stand-in: queue, rates, prefix cache."""

import asyncio
import collections
import heapq
import itertools
from typing import Any

import msgspec
import xxhash

from carobsail import engines, inventory, prefixes

_CHARACTERS_PER_TOKEN = 4
_MAX_CACHE_EVENTS = 4096


def answer_tokens(body: bytes, count: int) -> list[str]:
    """Returns the tokens with which every engine stand-in answers a body."""
    return [f"{xxhash.xxh32_hexdigest(body, seed)} " for seed in range(count)]


def answer_text(body: bytes, count: int) -> str:
    """Returns the complete text of the answer to a body with `count` tokens."""
    return "".join(answer_tokens(body, count))


class PrefixCache:
    """Prompt blocks in memory, and the events that report their changes.

    Attributes:
      delay_s: Seconds from a change until its event can be read.
      events_to_lose: Number of upcoming events that are lost.
    """

    def __init__(self, blocks: int) -> None:
        self.delay_s = 0.0
        self.events_to_lose = 0
        self._max_blocks = blocks
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, engines.CacheEvent]] = (
            collections.deque(maxlen=_MAX_CACHE_EVENTS)
        )
        self._sequence = 0

    def insert(
        self, prompt: str, incarnation: int, model: str = "", adapter: str = ""
    ) -> int:
        """Stores a prompt; returns the number of its tokens cached before."""
        hashes = prefixes.hash_blocks(model, adapter, prompt.encode())
        new = [block for block in hashes if block not in self._blocks]
        for block in hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed = []
        while len(self._blocks) > self._max_blocks:
            removed.append(self._blocks.popitem(last=False)[0])
        self._emit("stored", new, incarnation)
        self._emit("removed", removed, incarnation)
        cached = len(hashes) - len(new)
        return cached * prefixes.BLOCK_BYTES // _CHARACTERS_PER_TOKEN

    def clear(self, incarnation: int) -> None:
        """Removes all blocks."""
        self._blocks.clear()
        self._emit("cleared", [0], incarnation)

    def _emit(self, kind: str, blocks: list[int], incarnation: int) -> None:
        if not blocks:
            return
        self._sequence += 1
        if self.events_to_lose:
            self.events_to_lose -= 1
            return
        event = engines.CacheEvent(
            self._sequence, incarnation, kind, tuple(blocks)
        )
        due_s = asyncio.get_running_loop().time() + self.delay_s
        self._events.append((due_s, event))

    def events(self, after: int) -> list[engines.CacheEvent]:
        """Returns the readable events after a sequence number."""
        now = asyncio.get_running_loop().time()
        return [
            event
            for due_s, event in self._events
            if due_s <= now and event.sequence > after
        ]


class Generation:
    """One answer that is being generated.

    Attributes:
      tokens: Tokens generated so far.
      done: Whether the answer is complete.
      stopped: Whether it was cancelled before it was complete.
      model: Resident model that generates it.
      adapter: Adapter that it uses, or empty.
    """

    def __init__(
        self,
        body: bytes,
        prompt: str,
        count: int,
        model: str,
        adapter: str = "",
    ):
        self.tokens: list[str] = []
        self.done = False
        self.stopped = False
        self.model = model
        self.adapter = adapter
        self.prompt = prompt
        self.prompt_tokens = max(1, len(prompt) // _CHARACTERS_PER_TOKEN)
        self.all_tokens = answer_tokens(body, count)
        self._changed = asyncio.Event()

    def notify_readers(self) -> None:
        """Wakes the waiting readers after a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, position: int) -> None:
        """Waits for the token at `position`, or until the answer has ended."""
        while len(self.tokens) <= position and not self.done:
            if self.stopped:
                return
            await self._changed.wait()

    def stop(self) -> None:
        """Cancels the answer unless it is complete."""
        self.stopped = not self.done
        self.notify_readers()


class Scheduler:
    """Runs generations in slots, the most urgent one first.

    Attributes:
      slowdown: Factor by which prefill and decoding take longer.
      running: Number of generations in a slot.
    """

    def __init__(self, target: inventory.Target, cache: PrefixCache) -> None:
        self.slowdown = 1.0
        self.running = 0
        self._unfrozen = asyncio.Event()
        self._unfrozen.set()
        self._target = target
        self._cache = cache
        self._prefill = asyncio.Lock()
        self._arrivals = itertools.count()
        self._queue: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def queued(self) -> int:
        """Number of generations that wait for a slot."""
        return len(self._queue)

    def freeze(self) -> None:
        """Stops all progress."""
        self._unfrozen.clear()

    def thaw(self) -> None:
        """Continues after `freeze`."""
        self._unfrozen.set()

    async def wait_while_frozen(self) -> None:
        """Waits while frozen."""
        await self._unfrozen.wait()

    async def enter(self, priority: int) -> None:
        """Waits for a slot."""
        if self.running < self._target.slots and not self._queue:
            self.running += 1
            return
        slot = asyncio.get_running_loop().create_future()
        entry = (priority, next(self._arrivals), slot)
        heapq.heappush(self._queue, entry)
        try:
            await slot
        except asyncio.CancelledError:
            if entry in self._queue:
                self._queue.remove(entry)
                heapq.heapify(self._queue)
            else:
                self.leave()
            raise

    def leave(self) -> None:
        """Passes the slot to the most urgent waiting generation, if any."""
        while self._queue:
            slot = heapq.heappop(self._queue)[2]
            if not slot.done():
                slot.set_result(None)
                return
        self.running -= 1

    async def generate(self, generation: Generation, incarnation: int) -> None:
        """Generates an answer; its caller holds a slot."""
        async with self._prefill:
            cached = self._cache.insert(
                generation.prompt,
                incarnation,
                generation.model,
                generation.adapter,
            )
            tokens = max(0, generation.prompt_tokens - cached)
            await self._spend(tokens / self._target.prefill_tokens_per_s)
        for token in generation.all_tokens:
            # The slots in use share the decode rate.
            rate = self._target.decode_tokens_per_s / max(1, self.running)
            await self._spend(1.0 / rate)
            generation.tokens.append(token)
            generation.notify_readers()
        generation.done = True
        generation.notify_readers()

    async def _spend(self, seconds: float) -> None:
        await asyncio.sleep(seconds * self.slowdown)
        await self._unfrozen.wait()


class Answer:
    """Writes a generation in the OpenAI format."""

    def __init__(
        self, generation: Generation, attempt: str, name: str, chat: bool
    ) -> None:
        self.generation = generation
        self.attempt = attempt
        self._model_name = name
        self._chat = chat

    def _usage(self) -> dict[str, int]:
        prompt = self.generation.prompt_tokens
        output = len(self.generation.all_tokens)
        return {
            "prompt_tokens": prompt,
            "completion_tokens": output,
            "total_tokens": prompt + output,
        }

    def _common_fields(self, kind: str) -> dict[str, Any]:
        kind = f"chat.completion{kind}" if self._chat else "text_completion"
        return {
            "id": self.attempt,
            "object": kind,
            "created": 0,
            "model": self._model_name,
        }

    def complete_body(self) -> dict[str, Any]:
        """Returns the body of an answer that is not streamed."""
        text = "".join(self.generation.tokens)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        fields = self._common_fields("")
        return fields | {"choices": [choice], "usage": self._usage()}

    def event(self, number: int) -> bytes:
        """Returns the server-sent event with a number."""
        count = len(self.generation.all_tokens)
        if number > count:
            return f"id: {number}\ndata: [DONE]\n\n".encode()
        body = self._common_fields(".chunk")
        if number == count:
            body |= {"choices": [], "usage": self._usage()}
        else:
            token = self.generation.all_tokens[number]
            choice: dict[str, Any] = {"index": 0}
            if self._chat:
                choice["delta"] = {"content": token}
            else:
                choice["text"] = token
            last = number == count - 1
            choice["finish_reason"] = "length" if last else None
            body["choices"] = [choice]
        return b"id: %d\ndata: %s\n\n" % (number, msgspec.json.encode(body))
