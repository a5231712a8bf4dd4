"""Limit the load that retries add."""


class RetryBudget:
    """Limit retries to a share of the first attempts, plus a reserve.

    This is a token bucket: a first attempt adds `share` tokens, up to
    `reserve`, and a retry withdraws one.
    """

    def __init__(self, share: float, reserve: float) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    def deposit(self) -> None:
        """Add the tokens of one first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def try_withdraw(self) -> bool:
        """Withdraw the token of a retry; return False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
