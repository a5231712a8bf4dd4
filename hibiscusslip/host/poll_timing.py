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
RETRY_PAUSE_S = 0.25  # before an unresponsive endpoint is polled again
MAX_RETRY_PAUSE_S = 1.25
# This host was late if a poll fails more than this after its time-outs.
LATENESS_S = 0.25
MAX_LISTED_RUNS_PER_S = 20_000  # by all endpoints in all reports
GAP_PER_RUN_S = 0.001
MAX_REPORT_GAP_S = 0.5
RENEWALS_PER_LEASE = 3
# From the end of the wait to the next poll, which the time-out of a poll and a
# busy owner delay.
RENEWAL_MARGIN_S = 0.45


@dataclasses.dataclass(frozen=True, slots=True)
class PollTiming:
    """How the owner polls its endpoints.

    `long_poll` is the longest wait of a long poll, `idle_poll` the pause
    between idle polls, and `retry_pause` the one before another poll of an
    unresponsive endpoint, in s. `excuses_lateness` is set if polls that this
    host was late to make aren't counted against their endpoints. All endpoints
    have `runs` runs, which their reports list.
    """

    long_poll: float = LONG_POLL_S
    idle_poll: float = IDLE_POLL_S
    retry_pause: float = RETRY_PAUSE_S
    excuses_lateness: bool = False
    runs: int = 0

    def report_gap(self, listed: int) -> float:
        """Return the time from one poll to the next that lists so many runs.

        Where runs end all the time a long poll returns at once, and each
        report lists all the others, too.
        """
        gap = min(self.runs / MAX_LISTED_RUNS_PER_S, listed * GAP_PER_RUN_S)
        return min(gap, MAX_REPORT_GAP_S)

    def idle_pause(self, name: str) -> float:
        """Return the pause between two polls of one idle endpoint.

        A new owner polls many endpoints within seconds. Beyond the usual
        number their pauses differ, so that later polls are spread further.
        """
        share = zlib.crc32(name.encode()) / 2**32
        pause = self.idle_poll * (1.0 - IDLE_SPREAD * share)
        return max(pause, IDLE_POLL_S)


def derive(
    busy: int, idle: int, lease: float, unresponsive: int = 0, runs: int = 0
) -> PollTiming:
    """Return the timing for so many endpoints with and without `runs` runs.

    `unresponsive` of them don't respond. Beyond USUAL_ENDPOINTS the number of
    polls per second stays the same, until each lease, which lasts `lease`
    seconds, would be renewed fewer than RENEWALS_PER_LEASE times.
    """
    longest = min(renewal_interval(lease) - RENEWAL_MARGIN_S, MAX_LONG_POLL_S)
    return PollTiming(
        _stretch(LONG_POLL_S, busy, longest),
        _stretch(IDLE_POLL_S, idle, MAX_IDLE_POLL_S),
        _stretch(RETRY_PAUSE_S, unresponsive, MAX_RETRY_PAUSE_S),
        busy + idle > USUAL_ENDPOINTS,
        runs,
    )


def longest_poll(wait: float, timeout: float) -> float:
    """Return how long a poll without a response takes, in seconds.

    The request has to be sent within `timeout`, and after that the endpoint
    may be silent for `wait` plus `timeout`. A poll that takes longer shows
    that the event loop or the link of this host is late.
    """
    return wait + 2 * timeout + LATENESS_S


def renewal_interval(lease: float) -> float:
    """Return after how many seconds at most a lease is renewed."""
    return lease / RENEWALS_PER_LEASE


def _stretch(usual: float, count: int, longest: float) -> float:
    interval = usual * count / USUAL_ENDPOINTS
    return max(usual, min(interval, longest))
