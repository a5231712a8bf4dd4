"""Decide whether a copy of a straggling run is worth its capacity.

A task may straggle because of its endpoint, which is slow, hangs or can't be
reached, or because it has more work than others. Only in the first case does
a copy on another endpoint gain anything. So a copy isn't started for a run
that progresses steadily beside others that are on time, nor for one that
should be done before its copy. What remains of the second case is bounded: a
task has one copy at most, and a pool few at a time.
"""

import dataclasses
import enum

from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import ordering

EVENTS = ('copy_started', 'copy_promoted', 'copy_won', 'copy_lost')
MIN_SUSPICION_S = 0.5  # a single unanswered call is no reason
MIN_ELAPSED_S = 0.5  # below, the delays of starts and reports dominate
MIN_PROJECTED_SHARE = 0.5  # of the median, before a run's end is projected
DECLARED_FACTOR = 2.0  # by which declared run times may be too low
START_OVERHEAD_S = 0.2  # from the decision until the copy is at work
MAX_COPIES_SHARE = 0.1  # of the runs of a pool
MIN_COPIES = 2  # at a time, in a small pool


class Reason(enum.StrEnum):
    """List the reasons to copy a run."""

    OVERDUE = 'overdue'
    SUSPECTED = 'suspected'


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """What is known of a run.

    It started `elapsed` seconds ago. By its progress it needs at least
    `remaining` more seconds, infinite if it doesn't progress. Its endpoint is
    suspected for `suspected_for` seconds and has a `speed` of 1 if it is
    ordinary. `peers_on_time` is True if other runs there progress as expected.
    """

    elapsed: float
    remaining: float
    suspected_for: float = 0.0
    speed: float = 1.0
    peers_on_time: bool = False


def overdue_after(expected: estimates.Expectation, speed: float) -> float:
    """Return after how many seconds a run takes longer than expected."""
    high = expected.high
    if not expected.runs:
        high = max(high, DECLARED_FACTOR * expected.median)
    return max(high / speed, MIN_ELAPSED_S)


def reason_to_copy(
    run: Observation, expected: estimates.Expectation
) -> Reason | None:
    """Return why a copy should be done before the run, None if it won't."""
    if run.suspected_for >= MIN_SUSPICION_S:
        return Reason.SUSPECTED
    if not _is_overdue(run, expected):
        return None
    if run.remaining <= expected.median + START_OVERHEAD_S:
        return None
    if run.remaining < float('inf') and run.peers_on_time:
        return None
    return Reason.OVERDUE


def min_elapsed(expected: estimates.Expectation) -> float:
    """Return for how long a run is left alone unless it is suspected."""
    return max(MIN_ELAPSED_S, MIN_PROJECTED_SHARE * expected.median)


def _is_overdue(run: Observation, expected: estimates.Expectation) -> bool:
    """Return True if a run takes longer than expected, or will by then."""
    limit = overdue_after(expected, run.speed)
    if run.remaining == float('inf'):
        return run.elapsed > limit
    if run.elapsed < min_elapsed(expected):
        return False
    return run.elapsed + run.remaining > limit


def is_urgent(rank: ordering.Rank, expected: estimates.Expectation) -> bool:
    """Return True if the copy has to start now to be of use.

    With more slack than one run takes it can be started later as well, if it
    is still needed then. Work that is of no use any more isn't copied.
    """
    if rank.expired:
        return False
    return rank.late or rank.slack < expected.median


def may_fail(failures: int, max_attempts: int) -> bool:
    """Return True if both runs may fail without ending the job."""
    return failures + 2 <= max_attempts


def max_copies(runs: int) -> int:
    """Return how many copies a pool with so many runs may have at a time."""
    return max(MIN_COPIES, int(MAX_COPIES_SHARE * runs))
