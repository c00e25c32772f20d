"""An entry and a control process in one, to compare with two programs.

Run with `python -m bench.both ENTRY_SETTINGS CONTROL_SETTINGS`.
"""

import asyncio

import fire

from carobsail import control, entry, etcd, settings


async def _serve(entry_path: str, control_path: str) -> None:
    listed = settings.load(entry_path, entry.EntrySettings)
    leads = settings.load(control_path, control.ControlSettings)
    service = etcd.EtcdClient(listed.key_value_url.removeprefix("http://"))
    held = (
        await entry.start(listed, service),
        await control.start(leads, service),
    )
    await asyncio.Event().wait()
    del held


def run(entry_path: str, control_path: str) -> None:
    """Serves until a signal ends it."""
    asyncio.run(_serve(entry_path, control_path))


if __name__ == "__main__":
    fire.Fire(run)
