"""Configures event loops, seeds of property tests and known failures."""

import os

import eventloops
import hypothesis
import knownred

# In CI the result must be reproducible; local runs use random seeds.
hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.register_profile("fresh", deadline=None)
hypothesis.settings.load_profile("ci" if os.environ.get("CI") else "fresh")


def pytest_configure(config):
    """Registers the project's markers and applies KNOWN-RED.txt."""
    config.addinivalue_line(
        "markers",
        "memory_network: runs on virtual time with an in-memory network",
    )
    knownred.register(config)


def pytest_asyncio_loop_factories(config, item):
    """Gives marked tests a loop without sockets, others the default."""
    del config  # Unused.
    if item.get_closest_marker("memory_network"):
        return {"memory_network": eventloops.MemoryLoop}
    return {"default": eventloops.SocketLoop}
