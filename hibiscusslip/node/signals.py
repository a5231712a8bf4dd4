"""Learn of the signals that ask a process to stop."""

import signal
import types


class StopSignals:
    """Remember whether SIGTERM or SIGINT has come."""

    def __init__(self) -> None:
        self.came = False
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._note)

    def _note(self, number: int, frame: types.FrameType | None) -> None:
        # A handler runs between any two bytecodes, so it only sets a flag.
        self.came = True
