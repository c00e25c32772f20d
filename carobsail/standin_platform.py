"""Stand-ins of the platform's weight store and inventory."""

import asyncio
import collections

import xxhash

from carobsail import httpserver, inventory


class WeightStoreStandin:
    """Limits loads a second and at once, over all engines of a process.

    Attributes:
      loads: Model loads begun.
      peak_loads: Most model loads under way at once.
      adapter_loads: Adapter loads begun.
      peak_adapters: Most adapter loads under way at once.
    """

    def __init__(
        self, limits: inventory.WeightStore, mb_per_s: float = 2000.0
    ) -> None:
        """Creates a store.

        Args:
          limits: Limits as listed in the inventory.
          mb_per_s: Speed of one load while the store is not overloaded.
        """
        self._open = asyncio.Event()
        self._open.set()
        self.loads = 0
        self.peak_loads = 0
        self.adapter_loads = 0
        self.peak_adapters = 0
        self._limits = limits
        self._mb_per_s = mb_per_s
        self._next_start_s = 0.0
        self._under_way = 0
        self._adapters = 0

    def set_available(self, available: bool) -> None:
        """Makes coming loads wait while the store is not available."""
        if available:
            self._open.set()
        else:
            self._open.clear()

    async def load_model(self, weights_mb: int) -> None:
        """Returns once the weights have been read."""
        await self._open.wait()
        now = asyncio.get_running_loop().time()
        start_s = max(now, self._next_start_s)
        self._next_start_s = start_s + 1.0 / self._limits.loads_per_s
        await asyncio.sleep(start_s - now)
        self.loads += 1
        self._under_way += 1
        self.peak_loads = max(self.peak_loads, self._under_way)
        try:
            slowdown = max(1.0, self._under_way / self._limits.loads_at_once)
            await asyncio.sleep(weights_mb / self._mb_per_s * slowdown)
        finally:
            self._under_way -= 1

    async def load_adapter(self, load_ms: float) -> None:
        """Returns once the adapter has been read."""
        await self._open.wait()
        self.adapter_loads += 1
        self._adapters += 1
        self.peak_adapters = max(self.peak_adapters, self._adapters)
        try:
            limit = self._limits.adapters_in_flight
            slowdown = max(1.0, self._adapters / limit)
            await asyncio.sleep(load_ms / 1000.0 * slowdown)
        finally:
            self._adapters -= 1


class InventoryStandin:
    """Serves an inventory document at `/inventory` with a lag.

    Attributes:
      address: `host:port` once started.
      lag_s: Seconds until a published document is served.
      available: While False, connections are cut.
      unchanged: Answers without the document, which the reader had already.
    """

    def __init__(self, document: bytes, lag_s: float = 0.0) -> None:
        self.address = ""
        self.lag_s = lag_s
        self.available = True
        self.unchanged = 0
        self._served = document
        self._published: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self._server: httpserver.Server | None = None

    @property
    def url(self) -> str:
        """URL of the document."""
        return f"http://{self.address}/inventory"

    async def start(self, host: str, port: int = 0) -> None:
        """Starts listening."""
        self._server = await httpserver.serve(
            host,
            port,
            self._handle,
            httpserver.ServerLimits(),
            "inventory-standin",
        )
        self.address = f"{host}:{self._server.port}"

    async def stop(self) -> None:
        """Cuts all connections and stops listening."""
        if self._server:
            await self._server.close()

    def publish(self, document: bytes) -> None:
        """Replaces the document; it is served after the lag."""
        now = asyncio.get_running_loop().time()
        self._published.append((now + self.lag_s, document))

    async def _handle(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        now = asyncio.get_running_loop().time()
        while self._published and self._published[0][0] <= now:
            self._served = self._published.popleft()[1]
        if not self.available:
            responder.abort()
        elif request.path != "/inventory":
            await responder.send(404, [], b"")
        else:
            digest = xxhash.xxh3_64_hexdigest(self._served)
            headers = [("etag", f'"{digest}"')]
            if ("if-none-match", f'"{digest}"') in request.headers:
                self.unchanged += 1
                await responder.start(304, headers)
                await responder.finish()
                return
            headers.append(("content-type", "application/json"))
            await responder.send(200, headers, self._served)
