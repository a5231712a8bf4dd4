"""Bound what the peers of a listener make a process hold and do."""

import collections
import enum

from hibiscusslip.http import memory

MAX_BYTES = 512 * 1024 * 1024  # of a listener without a setting of its own
# What a connection costs that has sent nothing: its task, its parser, and the
# buffer in which the kernel keeps what wasn't read yet.
RECEIVE_BUFFER_BYTES = 16 * 1024
CONNECTION_BYTES = 16 * 1024 + RECEIVE_BUFFER_BYTES
# What an unfinished request costs besides its body: the head as received and
# as parsed, and one further read.
REQUEST_BYTES = 64 * 1024
HEADER_FIELD_BYTES = 200  # of the objects for one field
# A body that is being handled exists as received, as a record, in a batch of
# records, and as the bytes that are sent to the store.
BODY_COPIES = 5


class Reason(enum.StrEnum):
    """Why a peer was refused or its connection closed."""

    BODY_TOO_LARGE = 'body_too_large'
    HEAD_TOO_LARGE = 'head_too_large'
    MALFORMED = 'malformed'
    SMALL_CHUNKS = 'small_chunks'
    TOO_SLOW = 'too_slow'
    OUT_OF_MEMORY = 'out_of_memory'
    TOO_MANY_CONNECTIONS = 'too_many_connections'
    MADE_ROOM = 'made_room'
    ANSWER_NOT_READ = 'answer_not_read'


class Intake:
    """Bound the memory and the connections of the peers of a listener.

    Listeners may share one. `refusals` counts the refusals by reason.
    """

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self.memory = memory.MemoryBudget(max_bytes)
        self.refusals: collections.Counter[Reason] = collections.Counter()

    def max_connections(self, limit: int) -> int:
        """Return how many connections may be open, `limit` at most."""
        return limit

    def refuse(self, reason: Reason, peer: str) -> None:
        """Count that `peer` was refused."""
        self.refusals[reason] += 1
