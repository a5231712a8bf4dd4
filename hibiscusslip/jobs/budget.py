"""Bound how much retries may add to the load."""


class RetryBudget:
    """Allow retries up to a share of the first tries, plus a reserve."""

    def __init__(self, share: float, reserve: float) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    def deposit(self) -> None:
        """Count a first try, which earns a share of a retry."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def try_withdraw(self) -> bool:
        """Take a retry's token; False when none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
