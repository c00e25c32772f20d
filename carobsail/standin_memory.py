"""Memory, models, adapters and fencing of orders of an engine stand-in."""

import asyncio
import collections
from collections.abc import Callable

from carobsail import inventory, orders, standin_platform

OK = "ok"


class EngineMemory:
    """Models and adapters of one engine, with the memory that they use.

    Orders return `ok` or the reason for a refusal. An order that exceeds the
    memory is refused and recorded, because a real engine would fail.

    Attributes:
      models: Resident models with their memory in MB.
      loading: Models being loaded or unloaded with their memory in MB.
      adapters: Resident adapters with their memory in MB.
      fence: Highest fencing token received.
      violations: One line for each order that would have overcommitted memory.
      orders: Number of orders carried out, by their name.
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
          target: The engine's entry in the inventory.
          models: Models in the weight store.
          adapters: Adapters in the weight store.
          store: Weight store, which limits the loads.
          changed: Called after each change.
        """
        self.models: dict[str, int] = {}
        self.loading: dict[str, int] = {}
        self.adapters: dict[str, int] = {}
        self.fence = 0
        self.violations: list[str] = []
        self.orders: collections.Counter[str] = collections.Counter()
        self._target = target
        self._known_models = {model.name: model for model in models}
        self._known_adapters = {adapter.name: adapter for adapter in adapters}
        self._loading_adapters: dict[str, int] = {}
        self._store = store
        self._changed = changed
        self._in_use: collections.Counter[str] = collections.Counter()
        self._state_changed = asyncio.Event()

    @property
    def free_mb(self) -> int:
        """Free memory in MB."""
        target = self._target
        used = sum(self.models.values()) + sum(self.loading.values())
        fixed = target.adapter_pool_mb + target.cache_floor_mb
        return target.capacity_mb - fixed - used

    def clear(self) -> None:
        """Clears the state, as a restart does; keeps counts and violations."""
        self.models.clear()
        self.loading.clear()
        self.adapters.clear()
        self._loading_adapters.clear()
        self._in_use.clear()
        self.fence = 0

    def make_resident(self, model: str) -> None:
        """Makes a model resident without a load, as the initial state."""
        self.models[model] = self._known_models[model].weights_mb
        self._notify_change()

    def knows(self, name: str) -> bool:
        """Whether a model or adapter is in the weight store."""
        return name in self._known_models or name in self._known_adapters

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
        """Prevents a model from being unloaded until `release`."""
        self._in_use[model] += 1

    def release(self, model: str) -> None:
        """Ends one `use` of a model."""
        # A restart may have cleared the count in the meantime.
        self._in_use[model] = max(0, self._in_use[model] - 1)
        self._notify_change()

    def _notify_change(self) -> None:
        self._state_changed.set()
        self._state_changed = asyncio.Event()
        self._changed()

    def admit(self, fence: int) -> bool:
        """Checks and records an order's fencing token; False if it is stale."""
        if not self._target.checks_fencing:
            return True
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    async def load_model(self, name: str) -> str:
        """Loads a model, unless it is already resident or loading.

        Args:
          name: Model name, with `@version` unless it is the first version.
        """
        listed_model = self._known_models.get(orders.split_version(name)[0])
        if listed_model is None:
            return "unknown_model"
        self.orders["load_model"] += 1
        size_mb = listed_model.weights_mb
        if name in self.models:
            return OK
        if name not in self.loading:
            if size_mb > self.free_mb:
                self.violations.append(
                    f"model {name} needs {size_mb} MB of {self.free_mb} MB"
                )
                return "no_memory"
            self.loading[name] = size_mb
            self._notify_change()
            await self._store.load_model(size_mb)
            # A restart may have cleared the load in the meantime.
            if self.loading.pop(name, None) is not None:
                self.models[name] = size_mb
            self._notify_change()
        while name in self.loading:
            await self._state_changed.wait()
        return OK if name in self.models else "no_memory"

    async def unload_model(self, name: str) -> str:
        """Unloads a model once no request uses it."""
        self.orders["unload_model"] += 1
        while name in self.loading:
            await self._state_changed.wait()
        size_mb = self.models.pop(name, None)
        if size_mb is None:
            return OK
        # Out of service at once, but the memory stays in use until the last
        # request ends.
        self.loading[f"{name} (unloading)"] = size_mb
        self._notify_change()
        while self._in_use[name] > 0:
            await self._state_changed.wait()
        self.loading.pop(f"{name} (unloading)", None)
        self._notify_change()
        return OK

    async def load_adapter(self, name: str) -> str:
        """Loads an adapter into the fixed adapter pool."""
        adapter = self._known_adapters.get(name)
        if adapter is None:
            return "unknown_adapter"
        self.orders["load_lora_adapter"] += 1
        if name in self.adapters:
            return OK
        pool_mb = self.adapters | self._loading_adapters
        free_mb = self._target.adapter_pool_mb - sum(pool_mb.values())
        if name not in pool_mb and adapter.size_mb > free_mb:
            self.violations.append(
                f"adapter {name} needs {adapter.size_mb} MB of {free_mb} MB"
            )
            return "no_memory"
        self._loading_adapters[name] = adapter.size_mb
        await self._store.load_adapter(adapter.load_ms)
        if self._loading_adapters.pop(name, None) is not None:
            self.adapters[name] = adapter.size_mb
        self._notify_change()
        return OK

    async def unload_adapter(self, name: str) -> str:
        """Unloads an adapter."""
        self.orders["unload_lora_adapter"] += 1
        if self.adapters.pop(name, None) is not None:
            self._notify_change()
        return OK
