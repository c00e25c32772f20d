"""Runs a serving instance on the users' platform."""

import asyncio
import logging
import os
import random
import sys
import time

from carobsail import (
    instancesettings,
    logsink,
    processmemory,
    servinginstance,
    settings,
    signals,
    telemetry,
)
from carobsail.platform import documents, engines, headers, store

SETTINGS_VARIABLE = "CAROBSAIL_CONFIG"


def _boot_clock() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def _serve(loaded: instancesettings.InstanceSettings) -> int:
    log = telemetry.configure_logging_handler(
        loaded.log_level, logsink.LogSink(sys.stdout.fileno())
    )
    client = store.PlatformStore(loaded.store)
    order_client = engines.HttpEngineOrderClient()
    instance = servinginstance.ServingInstance(
        loaded,
        client,
        headers.PlatformHeaders(),
        documents.PlatformDocuments(),
        order_client,
        _boot_clock,
        random.Random(),
    )
    await instance.start()
    telemetry.log(log, "started", instance=loaded.instance)
    stop_signals = signals.StopSignals()
    stop_signals.on_reload(lambda: _reload(instance))
    await stop_signals.wait(instance.failed)
    telemetry.log(log, "stopping", instance=loaded.instance)
    await stop_signals.stop(instance.stop, instance.kill, log)
    order_client.close()
    client.close()
    telemetry.log(log, "stopped", instance=loaded.instance)
    for handler in log.handlers:
        handler.flush()
    return 1 if instance.failed.is_set() else 0


def _reload(instance: servinginstance.ServingInstance) -> None:
    """Reloads the settings; an invalid file leaves the current ones."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        instance.reload(settings.load(path, instancesettings.InstanceSettings))
    except settings.SettingsError as error:
        telemetry.log(
            logging.getLogger(telemetry.LOGGER_NAME),
            "settings_refused",
            level=logging.ERROR,
            detail=str(error),
        )


def main() -> None:
    """Runs until a stop signal; exits with status 1 after a failure."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        loaded = settings.load(path, instancesettings.InstanceSettings)
    except settings.SettingsError as error:
        raise SystemExit(str(error)) from error
    if loaded.memory_mb:
        processmemory.return_large_blocks()
    raise SystemExit(asyncio.run(_serve(loaded)))


if __name__ == "__main__":
    main()
