"""Write one JSON line for each event, rate-limited and without blocking."""

import os
import time
import typing

import msgspec

MAX_BUFFER_BYTES = 512 * 1024
MAX_ATOMIC_WRITE_BYTES = 4096  # PIPE_BUF: pipe writes up to it are atomic
WINDOW_S = 1.0
MAX_LINES_PER_WINDOW = 1000
MAX_ROUTINE_LINES_PER_WINDOW = 500
ROUTINE_EVENTS = frozenset(
    {
        'run_ordered',
        'run_ended',
        'advised',
        'job_taken',
        'job_accepted',
        'queue_not_found',
        'caller_refused',
    }
)


class EventLog:
    """Buffer the lines of events until the reader accepts them.

    Each event name has a budget of lines per second, routine events a
    smaller one. Lines beyond the budget, or beyond the size of the buffer,
    are dropped and counted in a `lines_left_out` line.
    """

    def __init__(self, host: str, descriptor: int = 1) -> None:
        self._host = host
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._window_start = 0.0
        self._counts: dict[str, int] = {}
        self._dropped: dict[str, int] = {}
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def note(self, event: str, **fields: typing.Any) -> None:
        """Buffer the line of one event, or count it as dropped."""
        now = time.monotonic()
        if now >= self._window_start + WINDOW_S:
            self._start_window(now)
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        max_lines = MAX_LINES_PER_WINDOW
        if event in ROUTINE_EVENTS:
            max_lines = MAX_ROUTINE_LINES_PER_WINDOW
        if count > max_lines or len(self._buffer) > MAX_BUFFER_BYTES:
            self._dropped[event] = self._dropped.get(event, 0) + 1
            return
        self._append_line(event, fields)

    def flush(self) -> None:
        """Write as many whole lines as the reader accepts without blocking.

        A collector that merges the output of several processes would put
        lines of other processes between the parts of a line written in two.
        """
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._next_chunk())
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self._buffer.clear()  # the reader has closed its end
                return
            del self._buffer[:written]

    def _next_chunk(self) -> bytearray:
        """Return the first lines, as many as a pipe accepts atomically."""
        end = self._buffer.rfind(b'\n', 0, MAX_ATOMIC_WRITE_BYTES)
        if end < 0:
            end = self._buffer.index(b'\n')  # longer than an atomic write
        return self._buffer[: end + 1]

    def _start_window(self, now: float) -> None:
        self._window_start = now
        self._counts.clear()
        if self._dropped and len(self._buffer) <= MAX_BUFFER_BYTES:
            dropped, self._dropped = self._dropped, {}
            self._append_line('lines_left_out', {'counts': dropped})

    def _append_line(self, event: str, fields: dict[str, typing.Any]) -> None:
        line = {
            'at': round(time.time(), 3),
            'host': self._host,
            'event': event,
            **fields,
        }
        self._buffer += self._encoder.encode(line)
        self._buffer += b'\n'


def open_log(host: str, descriptor: int = 1) -> EventLog:
    """Return a log on `descriptor`, which becomes non-blocking."""
    os.set_blocking(descriptor, False)
    return EventLog(host, descriptor)
