"""Learn of the signals that ask a process to stop."""

import signal
import types


class StopSignals:
    """Remember whether SIGTERM or SIGINT has come."""

    def __init__(self) -> None:
        self.received = False
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle_signal)

    def _handle_signal(
        self, number: int, frame: types.FrameType | None
    ) -> None:
        # A handler runs between any two bytecodes, so it only sets a flag.
        self.received = True
