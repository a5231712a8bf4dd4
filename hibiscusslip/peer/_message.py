"""Define how messages between hosts are encoded."""

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class for messages that are encoded as arrays.

    Arrays without field names are smaller. For compatibility a new field
    goes last and has a default.
    """
