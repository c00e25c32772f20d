"""Entry and control in one process, to compare with two programs.

Run with `python -m bench.both ENTRY_SETTINGS CONTROL_SETTINGS`.
"""

import asyncio

import fire

from carobsail import control, entry, etcd, settings


async def _serve(entry_path: str, control_path: str) -> None:
    entry_settings = settings.load(entry_path, entry.EntrySettings)
    control_settings = settings.load(control_path, control.ControlSettings)
    key_value_service = etcd.EtcdClient(
        entry_settings.key_value_url.removeprefix("http://")
    )
    keep_alive = (
        await entry.start(entry_settings, key_value_service),
        await control.start(control_settings, key_value_service),
    )
    await asyncio.Event().wait()
    del keep_alive


def run(entry_path: str, control_path: str) -> None:
    """Serves until a signal ends the process."""
    asyncio.run(_serve(entry_path, control_path))


if __name__ == "__main__":
    fire.Fire(run)
