"""Bound what strangers make this process log."""

import loguru

INTERVAL_S = 1.0
MAX_CHARS = 200


class RefusalLog:
    """Log one warning for each INTERVAL_S, with the number of others."""

    def __init__(self) -> None:
        self._next_at = 0.0
        self._left_out = 0

    def warn(self, text: str, now: float) -> None:
        """Log `text`, cut to MAX_CHARS; `now` is monotonic, in seconds."""
        if now < self._next_at:
            self._left_out += 1
            return
        self._next_at = now + INTERVAL_S
        loguru.logger.warning(
            '{} ({} others since the last line)',
            text[:MAX_CHARS],
            self._left_out,
        )
        self._left_out = 0
