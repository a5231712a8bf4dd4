"""Bound the connections that the clients of a host keep open."""


class ConnectionBudget:
    """Count the open connections of all pools that share it.

    Beyond `limit` connections, a pool keeps at most one that is idle. Each
    pool can still open as many as its calls need.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.open = 0

    @property
    def exceeded(self) -> bool:
        """Return True if idle connections should be closed."""
        return self.open > self._limit
