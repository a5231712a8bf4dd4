"""Bound the connections that the clients of a host keep open."""


class ConnectionBudget:
    """Count the open connections of all pools that share it.

    Beyond `limit` connections, a pool keeps at most one that is idle. Each
    pool can still open as many as its calls need, up to `max_open` in all:
    the other descriptors of the host are for its other connections. From
    halfway between the two on, no pool keeps an idle connection, which the
    calls of another pool may need.
    """

    def __init__(self, limit: int, max_open: int | None = None) -> None:
        self._limit = limit
        self._max_open = max_open
        self.open = 0

    @property
    def exceeded(self) -> bool:
        """Return True if idle connections should be closed."""
        return self.open > self._limit

    @property
    def scarce(self) -> bool:
        """Return True if no idle connection should be kept."""
        if self._max_open is None:
            return False
        return self.open > (self._limit + self._max_open) // 2

    @property
    def full(self) -> bool:
        """Return True if no further connection may be opened."""
        return self._max_open is not None and self.open >= self._max_open
