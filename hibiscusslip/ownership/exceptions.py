"""Define the exceptions of the ownership package."""


class OwnershipError(Exception):
    """Base class for errors of the ownership package."""


class InvalidTiming(OwnershipError):
    """Raise for inconsistent durations; the message names the remedy."""


class LedgerGap(OwnershipError):
    """Raise if a record doesn't directly follow the last one read."""

    def __init__(self, expected: int, offset: int) -> None:
        super().__init__(
            f'expected offset {expected}, got {offset}; restart the ledger'
            ' at the oldest retained offset'
        )
        self.expected = expected
        self.offset = offset
