"""Chooses the event loop of each test."""

import asyncio

import async_solipsism


def pytest_configure(config):
    """Registers the project's markers."""
    config.addinivalue_line(
        "markers",
        "memory_network: runs on virtual time with an in-memory network",
    )


def pytest_asyncio_loop_factories(config, item):
    """Gives marked tests a loop without sockets, others the default."""
    del config  # Unused.
    if item.get_closest_marker("memory_network"):
        return {"memory_network": async_solipsism.EventLoop}
    return {"default": asyncio.new_event_loop}
