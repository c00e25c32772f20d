"""Stand-ins for the platform's weight store and inventory."""

import asyncio
import collections

import xxhash

from carobsail import httpserver, inventory


class WeightStoreStandin:
    """Limits the loads of all engines of a process.

    Model loads start at a limited rate. Loads slow down while more of them are
    in flight than the limit.

    Attributes:
      loads: Number of model loads begun.
      peak_loads: Highest number of model loads in flight at once.
      adapter_loads: Number of adapter loads begun.
      peak_adapters: Highest number of adapter loads in flight at once.
    """

    def __init__(
        self, limits: inventory.WeightStore, mb_per_s: float = 2000.0
    ) -> None:
        """Creates a store.

        Args:
          limits: Limits as listed in the inventory.
          mb_per_s: Bandwidth of one load while the store is not overloaded.
        """
        self._available = asyncio.Event()
        self._available.set()
        self.loads = 0
        self.peak_loads = 0
        self.adapter_loads = 0
        self.peak_adapters = 0
        self._limits = limits
        self._mb_per_s = mb_per_s
        self._next_start_s = 0.0
        self._loads_in_flight = 0
        self._adapter_loads_in_flight = 0

    def set_available(self, available: bool) -> None:
        """Makes new loads wait while the store is unavailable."""
        if available:
            self._available.set()
        else:
            self._available.clear()

    async def load_model(self, weights_mb: int) -> None:
        """Returns once the weights have been read."""
        await self._available.wait()
        now = asyncio.get_running_loop().time()
        start_s = max(now, self._next_start_s)
        self._next_start_s = start_s + 1.0 / self._limits.loads_per_s
        await asyncio.sleep(start_s - now)
        self.loads += 1
        self._loads_in_flight += 1
        self.peak_loads = max(self.peak_loads, self._loads_in_flight)
        try:
            slowdown = max(
                1.0, self._loads_in_flight / self._limits.loads_at_once
            )
            await asyncio.sleep(weights_mb / self._mb_per_s * slowdown)
        finally:
            self._loads_in_flight -= 1

    async def load_adapter(self, load_ms: float) -> None:
        """Returns once the adapter has been read."""
        await self._available.wait()
        self.adapter_loads += 1
        self._adapter_loads_in_flight += 1
        self.peak_adapters = max(
            self.peak_adapters, self._adapter_loads_in_flight
        )
        try:
            limit = self._limits.adapters_in_flight
            slowdown = max(1.0, self._adapter_loads_in_flight / limit)
            await asyncio.sleep(load_ms / 1000.0 * slowdown)
        finally:
            self._adapter_loads_in_flight -= 1


class InventoryStandin:
    """Serves an inventory document at `/inventory` with a lag.

    Attributes:
      address: `host:port` once started.
      lag_s: Seconds from the publication of a document until it is served.
      available: While False, connections are cut.
      not_modified_count: Number of 304 answers, to readers that have the
        document.
    """

    def __init__(self, document: bytes, lag_s: float = 0.0) -> None:
        self.address = ""
        self.lag_s = lag_s
        self.available = True
        self.not_modified_count = 0
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
                self.not_modified_count += 1
                await responder.start(304, headers)
                await responder.finish()
                return
            headers.append(("content-type", "application/json"))
            await responder.send(200, headers, self._served)
