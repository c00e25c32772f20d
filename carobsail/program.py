"""Runs a program: loads settings, sets up logging, handles stop signals."""

import asyncio
import logging
import sys
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from carobsail import (
    etcd,
    keyvalue,
    programsettings,
    settings,
    signals,
    telemetry,
)


class Servers(Protocol):
    """The running servers of a program."""

    @property
    def failed(self) -> asyncio.Event:
        """Set when a background task of the program failed."""

    async def stop(self) -> None:
        """Stops gracefully."""

    async def kill(self) -> int:
        """Stops at once; returns the number of requests cut off."""


S = TypeVar("S", bound=programsettings.ProcessSettings)
Start = Callable[[S, keyvalue.KeyValueClient], Awaitable[Servers]]


async def serve(loaded: S, start: Start[S]) -> int:
    """Runs a program until SIGTERM, SIGINT or a fault, then stops gracefully.

    A second signal stops it at once.

    Args:
      loaded: Settings of the program.
      start: Starts the servers of the program.

    Returns:
      The exit code: 0 after a planned stop, 1 after a fault.
    """
    key_value = etcd.EtcdClient(
        programsettings.service_address(loaded.key_value_url)
    )
    servers = await start(loaded, key_value)
    log = logging.getLogger(telemetry.LOGGER_NAME)
    telemetry.log(log, "started", instance=loaded.instance)
    stop_signals = signals.StopSignals()
    await stop_signals.wait(servers.failed)
    telemetry.log(log, "stopping", instance=loaded.instance)
    await stop_signals.stop(servers.stop, servers.kill, log)
    key_value.close()
    telemetry.log(log, "stopped", instance=loaded.instance)
    return 1 if servers.failed.is_set() else 0


def run(path: str, settings_type: type[S], start: Start[S]) -> None:
    """Runs a program with the settings file at `path`; does not return.

    Raises:
      SystemExit: Always, with the exit code or the error in the settings.
    """
    try:
        loaded = settings.load(path, settings_type)
    except settings.SettingsError as error:
        raise SystemExit(str(error)) from error
    telemetry.configure_logging(loaded.log_level, sys.stderr)
    raise SystemExit(asyncio.run(serve(loaded, start)))
