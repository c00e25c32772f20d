"""Waits for conditions that nothing announces."""

import asyncio
from collections.abc import Callable


async def until(holds: Callable[[], bool], every_s: float = 0.05) -> None:
    """Returns once a condition holds; asks for it again and again."""
    while not holds():  # noqa: ASYNC110 - other processes set no event here.
        await asyncio.sleep(every_s)
