"""Name what can go wrong with ownership."""


class OwnershipError(Exception):
    """Raise for any misuse of the ownership package."""


class InvalidTiming(OwnershipError):
    """Raise when durations don't fit together; the message says how."""


class LedgerGap(OwnershipError):
    """Raise when a record isn't the one that follows the last read."""

    def __init__(self, expected: int, offset: int) -> None:
        super().__init__(
            f'expected offset {expected}, got {offset}; restart the ledger'
            ' at the oldest offset that is kept'
        )
        self.expected = expected
        self.offset = offset
