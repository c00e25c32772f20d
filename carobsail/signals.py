"""Signals: the first stop is graceful, a second one at once; reload."""

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable

from carobsail import telemetry

_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Counts SIGTERM and SIGINT.

    Attributes:
      first: Set by the first signal.
      second: Set by the second signal.
    """

    __slots__ = ("first", "second")

    def __init__(self) -> None:
        """Takes over the signals of the running loop."""
        self.first = asyncio.Event()
        self.second = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in _SIGNALS:
            loop.add_signal_handler(number, self._received)

    def on_reload(self, reload: Callable[[], None]) -> None:
        """Calls `reload` at each SIGHUP, which would end the process."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)

    def _received(self) -> None:
        (self.second if self.first.is_set() else self.first).set()

    async def wait(self, failed: asyncio.Event) -> None:
        """Waits for the first signal or a fault of the process."""
        await _first_of(self.first.wait(), failed.wait())

    async def stop(
        self,
        stop: Callable[[], Awaitable[None]],
        kill: Callable[[], Awaitable[int]],
        log: logging.Logger,
    ) -> None:
        """Stops gracefully, or at once when the second signal comes.

        Args:
          stop: Stops gracefully.
          kill: Stops at once and returns the number of requests cut.
          log: Receives what was cut.
        """
        await _first_of(stop(), self.second.wait())
        if self.second.is_set():
            cut = await kill()
            telemetry.log(log, "stopped_at_once", requests_cut=cut)


async def _first_of(*waits: Awaitable[object]) -> None:
    tasks = [asyncio.ensure_future(wait) for wait in waits]
    done, pending = await asyncio.wait(
        tasks, return_when=asyncio.FIRST_COMPLETED
    )
    for task in pending:
        task.cancel()
    for task in done:
        task.result()
