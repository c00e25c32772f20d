"""Base of the messages between the system's processes."""

import msgspec


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base of all peer messages."""
