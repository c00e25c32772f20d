"""Memory, models, adapters and order fencing of an engine stand-in."""

import asyncio
import collections
from collections.abc import Callable

from carobsail import inventory, orders, standin_platform

OK = "ok"


class EngineMemory:
    """Models and adapters of one engine, with their memory.

    Orders return `ok` or the reason of a refusal. An order that does not fit
    is refused and recorded, because a real engine would fail under it.

    Attributes:
      models: Resident models with their memory in MB.
      loading: Models being loaded with their memory in MB.
      adapters: Resident adapters with their memory in MB.
      fence: Highest fencing number seen.
      violations: One line for each overcommit that an order asked for.
      orders: Orders carried out, by name.
    """

    def __init__(
        self,
        target: inventory.Target,
        models: list[inventory.Model],
        adapters: list[inventory.Adapter],
        store: standin_platform.WeightStoreStandin,
        changed: Callable[[], None],
    ) -> None:
        """Creates an empty memory.

        Args:
          target: Engine as listed in the inventory.
          models: Models in the weight store.
          adapters: Adapters in the weight store.
          store: Paces the loads.
          changed: Called after each change.
        """
        self.models: dict[str, int] = {}
        self.loading: dict[str, int] = {}
        self.adapters: dict[str, int] = {}
        self.fence = 0
        self.violations: list[str] = []
        self.orders: collections.Counter[str] = collections.Counter()
        self._target = target
        self._known = {model.name: model for model in models}
        self._known_adapters = {adapter.name: adapter for adapter in adapters}
        self._loading_adapters: dict[str, int] = {}
        self._store = store
        self._changed = changed
        self._in_use: collections.Counter[str] = collections.Counter()
        self._moved = asyncio.Event()

    @property
    def free_mb(self) -> int:
        """Memory not in use in MB."""
        target = self._target
        used = sum(self.models.values()) + sum(self.loading.values())
        fixed = target.adapter_pool_mb + target.cache_floor_mb
        return target.capacity_mb - fixed - used

    def clear(self) -> None:
        """Forgets everything but the violations, as a restart does."""
        self.models.clear()
        self.loading.clear()
        self.adapters.clear()
        self._loading_adapters.clear()
        self._in_use.clear()
        self.fence = 0

    def place(self, model: str) -> None:
        """Makes a model resident at once, for the start of a test."""
        self.models[model] = self._known[model].weights_mb
        self._note()

    def knows(self, name: str) -> bool:
        """Whether a model or adapter is in the weight store."""
        return name in self._known or name in self._known_adapters

    def model_of(self, name: str) -> str | None:
        """Returns the resident model that serves a model or adapter name."""
        base = name
        if name in self.adapters:
            base = self._known_adapters[name].model
        versions = [
            m for m in self.models if orders.split_version(m)[0] == base
        ]
        return max(versions, default=None)

    def use(self, model: str) -> None:
        """Keeps a model from being unloaded until `release`."""
        self._in_use[model] += 1

    def release(self, model: str) -> None:
        """Ends one `use`."""
        # A restart may have cleared the count in the meantime.
        self._in_use[model] = max(0, self._in_use[model] - 1)
        self._note()

    def _note(self) -> None:
        self._moved.set()
        self._moved = asyncio.Event()
        self._changed()

    def admit(self, fence: int) -> bool:
        """Notes an order's fencing number; False refuses the order."""
        if not self._target.checks_fencing:
            return True
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    async def load_model(self, name: str) -> str:
        """Loads a model; a model that is resident or loading stays.

        Args:
          name: Model name, with `@version` unless it is the first version.
        """
        known = self._known.get(orders.split_version(name)[0])
        if known is None:
            return "unknown_model"
        self.orders["load_model"] += 1
        size_mb = known.weights_mb
        if name in self.models:
            return OK
        if name not in self.loading:
            if size_mb > self.free_mb:
                self.violations.append(
                    f"model {name} needs {size_mb} MB of {self.free_mb} MB"
                )
                return "no_memory"
            self.loading[name] = size_mb
            self._note()
            await self._store.load_model(size_mb)
            # A restart may have cleared the load in the meantime.
            if self.loading.pop(name, None) is not None:
                self.models[name] = size_mb
            self._note()
        while name in self.loading:
            await self._moved.wait()
        return OK if name in self.models else "no_memory"

    async def unload_model(self, name: str) -> str:
        """Unloads a model once no request uses it."""
        self.orders["unload_model"] += 1
        while name in self.loading:
            await self._moved.wait()
        size_mb = self.models.pop(name, None)
        if size_mb is None:
            return OK
        # Out of service at once, but its memory is in use until the last
        # request ends.
        self.loading[f"{name} (unloading)"] = size_mb
        self._note()
        while self._in_use[name] > 0:
            await self._moved.wait()
        self.loading.pop(f"{name} (unloading)", None)
        self._note()
        return OK

    async def load_adapter(self, name: str) -> str:
        """Loads an adapter into the fixed pool."""
        adapter = self._known_adapters.get(name)
        if adapter is None:
            return "unknown_adapter"
        self.orders["load_lora_adapter"] += 1
        if name in self.adapters:
            return OK
        taken = self.adapters | self._loading_adapters
        free_mb = self._target.adapter_pool_mb - sum(taken.values())
        if name not in taken and adapter.size_mb > free_mb:
            self.violations.append(
                f"adapter {name} needs {adapter.size_mb} MB of {free_mb} MB"
            )
            return "no_memory"
        self._loading_adapters[name] = adapter.size_mb
        await self._store.load_adapter(adapter.load_ms)
        if self._loading_adapters.pop(name, None) is not None:
            self.adapters[name] = adapter.size_mb
        self._note()
        return OK

    async def unload_adapter(self, name: str) -> str:
        """Unloads an adapter."""
        self.orders["unload_lora_adapter"] += 1
        if self.adapters.pop(name, None) is not None:
            self._note()
        return OK
