"""Derive how often the owner polls an endpoint from their number.

A poll that is held open ends as soon as a run does, so its length delays
only what the owner learns of runs that go on, and of silent endpoints.
"""

import dataclasses
import zlib

LONG_POLL_S = 0.6
IDLE_POLL_S = 3.0
USUAL_ENDPOINTS = 600  # that one owner polls as often as this
MAX_LONG_POLL_S = 2.0  # that endpoints accept
# By then a clock that runs 2% slow is off by 0.2 s, a tenth of the time for
# which a start is valid.
MAX_IDLE_POLL_S = 9.0
IDLE_SPREAD = 0.25  # by which the pauses of idle endpoints may differ
RENEWALS_PER_LEASE = 3
# From the end of the wait to the next poll, which the time-out of a poll and a
# busy owner delay.
RENEWAL_MARGIN_S = 0.45


@dataclasses.dataclass(frozen=True, slots=True)
class PollTiming:
    """The longest wait of a long poll, and pause between idle polls, in s."""

    long_poll: float = LONG_POLL_S
    idle_poll: float = IDLE_POLL_S

    def idle_pause(self, name: str) -> float:
        """Return the pause between two polls of one idle endpoint.

        A new owner polls all endpoints at once. Beyond the usual number their
        pauses differ, so that later polls don't come all at once too.
        """
        share = zlib.crc32(name.encode()) / 2**32
        pause = self.idle_poll * (1.0 - IDLE_SPREAD * share)
        return max(pause, IDLE_POLL_S)


def derive(busy: int, idle: int, lease: float) -> PollTiming:
    """Return the timing for so many endpoints with and without runs.

    Beyond USUAL_ENDPOINTS the number of polls per second stays the same,
    until each lease, which lasts `lease` seconds, would be renewed fewer than
    RENEWALS_PER_LEASE times.
    """
    longest = min(renewal_interval(lease) - RENEWAL_MARGIN_S, MAX_LONG_POLL_S)
    return PollTiming(
        _stretch(LONG_POLL_S, busy, longest),
        _stretch(IDLE_POLL_S, idle, MAX_IDLE_POLL_S),
    )


def renewal_interval(lease: float) -> float:
    """Return after how many seconds at most a lease is renewed."""
    return lease / RENEWALS_PER_LEASE


def _stretch(usual: float, count: int, longest: float) -> float:
    interval = usual * count / USUAL_ENDPOINTS
    return max(usual, min(interval, longest))
