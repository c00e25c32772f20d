"""Returns memory that is no longer used to the system.

glibc raises the size from which it maps blocks separately whenever such a block
is freed, up to 32 MiB. Bodies of some MiB then grow among small objects, and
the memory that they leave is not returned: a process that
held 35 MB took 163 MB.

Requests that are aborted leave their bodies in reference cycles of tasks,
exceptions and frames, which the interpreter finds late: it counts objects, not
bytes. A process took 117 MB before a collection and 81 MB after it.
"""

import asyncio
import ctypes
import gc

# Parameters of mallopt, from malloc.h.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
# The initial value of glibc; setting it keeps it from being raised. Reads from
# sockets are shorter.
_MAP_FROM_BYTES = 131_072
# Free memory at the end of the heap that is kept.
_KEPT_BYTES = 1_048_576


def return_large_blocks() -> bool:
    """Sets the parameters; returns whether the C library has them."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False  # Another C library than glibc.
    return bool(
        mallopt(_M_MMAP_THRESHOLD, _MAP_FROM_BYTES)
        and mallopt(_M_TRIM_THRESHOLD, _KEPT_BYTES)
    )


class Collector:
    """Collects garbage after many bytes were given up."""

    __slots__ = ("_bytes", "_collected_at", "_scheduled")

    # Aborted tasks have ended by then.
    DELAY_S = 0.05
    # A collection takes 10 to 35 ms.
    MIN_INTERVAL_S = 0.5
    MIN_BYTES = 4_194_304

    def __init__(self) -> None:
        self._bytes = 0
        self._collected_at = 0.0
        self._scheduled = False

    def record_given_up(self, size: int) -> None:
        """Records bytes of an aborted request or response."""
        self._bytes += size
        if self._scheduled or self._bytes < self.MIN_BYTES:
            return
        self._scheduled = True
        loop = asyncio.get_running_loop()
        due_at = self._collected_at + self.MIN_INTERVAL_S
        loop.call_at(max(loop.time() + self.DELAY_S, due_at), self._collect)

    def _collect(self) -> None:
        self._bytes = 0
        self._scheduled = False
        gc.collect()
        self._collected_at = asyncio.get_running_loop().time()
