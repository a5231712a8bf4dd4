"""Catch the signals that ask a process to stop."""

import signal
import types


class StopSignals:
    """Record whether SIGTERM or SIGINT was received."""

    def __init__(self) -> None:
        self.received = False
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle_signal)

    def _handle_signal(
        self, number: int, frame: types.FrameType | None
    ) -> None:
        # A signal handler may run between any two bytecodes, so it only sets
        # a flag.
        self.received = True
