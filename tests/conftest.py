"""Configures event loops, seeds of property tests and known failures."""

import gc
import os

import eventloops
import hypothesis
import knownred
import pytest

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


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport(item, call):
    """Collects no garbage while a failure is rendered.

    Rendering parses source code. If an object that is collected meanwhile
    raises, its error is rendered within, and Python 3.11 ends the run with
    "AST constructor recursion depth mismatch".
    """
    del item, call  # Unused.
    gc.disable()
    try:
        return (yield)
    finally:
        gc.enable()


def pytest_asyncio_loop_factories(config, item):
    """Gives marked tests a loop without sockets, others the default."""
    del config  # Unused.
    if item.get_closest_marker("memory_network"):
        return {"memory_network": eventloops.MemoryLoop}
    return {"default": eventloops.SocketLoop}
