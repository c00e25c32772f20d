"""Base class of the messages between the system's processes."""

import msgspec


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base class of all peer messages; fields are encoded by position."""
