"""Builders of instances whose copies of the store others read."""

import functools
import random

import builders_io

from carobsail import keyvalue, operatorport, peersnapshot
from carobsail.storemirror import StoreMirror


def mirror_of(seen=None):
    """Returns the mirror of an instance that does not reach the store."""
    store = keyvalue.MemoryKeyValue()
    store.available = False
    return StoreMirror(
        store,
        "",
        lambda events, before, after: (
            None if seen is None else seen.extend(events)
        ),
        lambda _: None,
        random.Random(1),
        peersnapshot.HttpPeerReader(),
    )


async def serve_copy(mirror):
    """Returns a server that answers other instances from a mirror."""
    port = operatorport.OperatorPort(
        dict,
        lambda: True,
        lambda: True,
        answer_peer=functools.partial(peersnapshot.answer_peer, mirror),
    )
    return await builders_io.start_server(port.handle)
