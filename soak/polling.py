"""Polls for conditions that no event signals."""

import asyncio
from collections.abc import Callable


async def until(
    condition: Callable[[], bool], interval_s: float = 0.05
) -> None:
    """Returns once a condition holds, which it polls at an interval."""
    while not condition():  # noqa: ASYNC110 - other processes set no event here.
        await asyncio.sleep(interval_s)
