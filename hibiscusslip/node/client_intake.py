"""Bound what clients make an entry host hold, and report whom it refuses."""

import time

from hibiscusslip.http import intake
from hibiscusslip.observe import metrics
from hibiscusslip.observe import refusal_log

# Of the bytes for callers, as operators' requests are few.
OPERATORS_SHARE = 1 / 4
OPERATOR_CONNECTIONS = 128


class ClientIntake(intake.Intake):
    """Bound the clients of one listener."""

    def __init__(
        self, max_bytes: int, listener: str, sender: metrics.Metrics
    ) -> None:
        super().__init__(max_bytes)
        self._listener = listener
        self._sender = sender
        self._log = refusal_log.RefusalLog()

    def refuse(self, reason: intake.Reason, peer: str) -> None:
        """Count and log that a client was refused."""
        super().refuse(reason, peer)
        self._sender.count(f'clients.{self._listener}.{reason.value}')
        self._log.warn(
            f'a client of the {self._listener} was refused: {reason.value},'
            f' {peer}',
            time.monotonic(),
        )
