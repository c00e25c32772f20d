"""Signal handling: graceful stop, immediate stop on a second signal, reload."""

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable

from carobsail import telemetry

_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Distinguishes the first and the second SIGTERM or SIGINT.

    Attributes:
      first: Set by the first signal.
      second: Set by the second signal.
    """

    __slots__ = ("first", "second")

    def __init__(self) -> None:
        """Installs the signal handlers on the running event loop."""
        self.first = asyncio.Event()
        self.second = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in _SIGNALS:
            loop.add_signal_handler(number, self._handle_signal)

    def on_reload(self, reload: Callable[[], None]) -> None:
        """Calls `reload` on each SIGHUP, which otherwise ends the process."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)

    def _handle_signal(self) -> None:
        (self.second if self.first.is_set() else self.first).set()

    async def wait(self, failed: asyncio.Event) -> None:
        """Waits for the first signal or for `failed` to be set."""
        await _wait_for_first(self.first.wait(), failed.wait())

    async def stop(
        self,
        stop: Callable[[], Awaitable[None]],
        kill: Callable[[], Awaitable[int]],
        log: logging.Logger,
    ) -> None:
        """Stops gracefully, or immediately when the second signal arrives.

        Args:
          stop: Stops gracefully.
          kill: Stops immediately and returns the number of aborted requests.
          log: Logger for the number of aborted requests.
        """
        await _wait_for_first(stop(), self.second.wait())
        if self.second.is_set():
            cut = await kill()
            telemetry.log(log, "stopped_at_once", requests_cut=cut)


async def _wait_for_first(*waits: Awaitable[object]) -> None:
    tasks = [asyncio.ensure_future(wait) for wait in waits]
    done, pending = await asyncio.wait(
        tasks, return_when=asyncio.FIRST_COMPLETED
    )
    for task in pending:
        task.cancel()
    for task in done:
        task.result()
