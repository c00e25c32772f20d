"""Derives the limits on clients from the memory and descriptors of a machine.

Load pattern: the smallest machines have 160 MB and 1,638 descriptors, and
clients send large bodies without completing them or open connections without
using them. A machine whose size is not stated has the limits of
`httpserver.ServerLimits` and no limit of the bytes held for callers.
"""

import dataclasses
import math

from carobsail import httpserver

MB = 1_000_000
# Interpreter, program, configuration and copy of the store.
PROGRAM_MB = 48.0
# Objects and transports of a connection that holds no bytes.
CONNECTION_BYTES = 16_384
# Share of the remaining memory for held bytes. The rest is for copies that are
# made while a request is forwarded, and for memory that is free but in pieces.
HELD_SHARE = 0.4
# One request with a body and a response of 4 MiB holds 8 MiB at a time.
MIN_HELD_BYTES = 12_582_912
# Share of the remaining memory that connections of callers may take.
CONNECTION_SHARE = 0.25
# A request of a caller needs a connection to a target as well, and some more of
# these are idle.
DESCRIPTOR_SHARE = 0.4
# Reserved for ports, the store, other instances and operators.
RESERVED_DESCRIPTORS = 32
MIN_CONNECTIONS = 32
# Half of the time for a whole body, and not below the idle time of the callers.
BODY_IDLE_TIMEOUT_S = 15.0
# Between two log lines about the same client and reason.
LOG_INTERVAL_S = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class MachineLimits:
    """Limits of an instance on its clients.

    Attributes:
      held_bytes: Bytes held for callers and from targets; infinite if the
        memory is not stated.
      server: Limits of the port for callers.
      log_interval_s: Seconds between two log lines about the same client and
        reason; 0 for no limit.
    """

    held_bytes: float
    server: httpserver.ServerLimits
    log_interval_s: float


def derive(memory_mb: float, max_descriptors: int) -> MachineLimits:
    """Returns the limits on a machine.

    Args:
      memory_mb: Its memory in MB; 0 if not stated.
      max_descriptors: Descriptors of the process; 0 if not stated.
    """
    server = httpserver.ServerLimits()
    connections = server.connections
    if max_descriptors:
        share = int(max_descriptors * DESCRIPTOR_SHARE)
        connections = min(connections, share - RESERVED_DESCRIPTORS)
    held_bytes = math.inf
    if memory_mb:
        room = max(0.0, memory_mb - PROGRAM_MB) * MB
        most = int(room * CONNECTION_SHARE) // CONNECTION_BYTES
        connections = min(connections, most)
    connections = max(MIN_CONNECTIONS, connections)
    if memory_mb:
        left = room - connections * CONNECTION_BYTES
        held_bytes = max(MIN_HELD_BYTES, int(left * HELD_SHARE))
    if not memory_mb and not max_descriptors:
        return MachineLimits(held_bytes, server, 0.0)
    server = dataclasses.replace(
        server,
        connections=connections,
        closes_silent=True,
        body_idle_timeout_s=BODY_IDLE_TIMEOUT_S,
    )
    return MachineLimits(held_bytes, server, LOG_INTERVAL_S)
