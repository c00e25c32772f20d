"""Builders and a virtual clock for coordination tests."""

import asyncio

import async_solipsism


def run_virtual(coroutine):
    """Runs a coroutine on a loop whose clock jumps to the next timer."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(coroutine)
