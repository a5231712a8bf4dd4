"""Write one JSON line for each decision, within a budget, never blocking."""

import os
import time
import typing

import msgspec

MAX_BUFFER_BYTES = 512 * 1024
WHOLE_WRITE_BYTES = 4096  # a pipe takes so much as a whole or not at all
WINDOW_S = 1.0
LINES_PER_WINDOW = 1000
ROUTINE_LINES_PER_WINDOW = 500
ROUTINE = frozenset(
    {'run_ordered', 'run_ended', 'advised', 'job_taken', 'job_accepted'}
)


class EventLog:
    """Gather lines and write them when the reader takes them.

    Each event kind has a budget of lines in a second, routine ones a smaller
    one; what was left out is told by a line of its own.
    """

    def __init__(self, host: str, descriptor: int = 1) -> None:
        self._host = host
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._window = 0.0
        self._counts: dict[str, int] = {}
        self._left_out: dict[str, int] = {}
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def note(self, event: str, **fields: typing.Any) -> None:
        """Add a line for one event."""
        now = time.monotonic()
        if now >= self._window + WINDOW_S:
            self._roll(now)
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        most = LINES_PER_WINDOW
        if event in ROUTINE:
            most = ROUTINE_LINES_PER_WINDOW
        if count > most or len(self._buffer) > MAX_BUFFER_BYTES:
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return
        self._add(event, fields)

    def flush(self) -> None:
        """Write as many whole lines as the reader takes at once.

        Readers that gather the output of several processes join what they
        read, so a line in two parts would be torn by those of others.
        """
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._next_lines())
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self._buffer.clear()  # nobody reads any more
                return
            del self._buffer[:written]

    def _next_lines(self) -> bytearray:
        """Return the first lines that a pipe takes as a whole."""
        end = self._buffer.rfind(b'\n', 0, WHOLE_WRITE_BYTES)
        if end < 0:
            end = self._buffer.index(b'\n')  # one long line
        return self._buffer[: end + 1]

    def _roll(self, now: float) -> None:
        self._window = now
        self._counts.clear()
        if self._left_out and len(self._buffer) <= MAX_BUFFER_BYTES:
            left_out, self._left_out = self._left_out, {}
            self._add('lines_left_out', {'counts': left_out})

    def _add(self, event: str, fields: dict[str, typing.Any]) -> None:
        line = {
            'at': round(time.time(), 3),
            'host': self._host,
            'event': event,
            **fields,
        }
        self._buffer += self._encoder.encode(line)
        self._buffer += b'\n'


def open_log(host: str, descriptor: int = 1) -> EventLog:
    """Return a log on a descriptor that no write to it blocks."""
    os.set_blocking(descriptor, False)
    return EventLog(host, descriptor)
