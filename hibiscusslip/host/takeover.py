"""Decide how a new owner spreads the first polls of its endpoints.

A first poll opens a connection, and the polls of an endpoint keep the phase of
its first one. All at once, they and their answers wait for the processor and
the link of the host for longer than the time-out of a poll, which closes the
connections and opens them again. Runs survive if their endpoint is polled
before its lease ends, so endpoints with recorded runs come first.
"""

import collections.abc
import math

from hibiscusslip.host import poll_timing

STEP_S = 0.05  # between two steps
# A lease is renewed every 2 s of its 5.9 s, and a new owner is ready some 2 s
# after the former one was lost.
MAX_SPREAD_WITH_RUNS_S = 1.5
MAX_SPREAD_S = 5.0  # of the others, which get no work before
# A first poll takes about 1 ms of a core; the rest is for the other tasks.
FIRST_POLLS_PER_CORE_S = 500.0
FIRST_POLL_BYTES = 1000  # estimated, with the connection and both directions
LINK_SHARE = 0.5
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1e6


def first_poll_rate(cores: float, link_mbps: float) -> float:
    """Return how many first polls a host can make, per second."""
    bytes_per_s = link_mbps * BITS_PER_MBIT / BITS_PER_BYTE * LINK_SHARE
    return min(cores * FIRST_POLLS_PER_CORE_S, bytes_per_s / FIRST_POLL_BYTES)


def plan_first_polls(
    names: list[str], with_runs: collections.abc.Set[str], rate: float
) -> list[list[str]]:
    """Return the endpoints to poll in each step, STEP_S apart.

    `names` are all endpoints, `with_runs` those with recorded runs, and `rate`
    is the number of first polls per second that suits the host. Up to the
    usual number of endpoints there is one step, in the order of `names`.
    """
    if len(names) <= poll_timing.USUAL_ENDPOINTS:
        return [names]
    first = [name for name in names if name in with_runs]
    rest = [name for name in names if name not in with_runs]
    return [
        *_split(first, rate, MAX_SPREAD_WITH_RUNS_S),
        *_split(rest, rate, MAX_SPREAD_S),
    ]


def _split(
    names: list[str], rate: float, max_spread: float
) -> list[list[str]]:
    """Split `names` into steps that take at most `max_spread` seconds."""
    size = math.ceil(max(rate, len(names) / max_spread) * STEP_S)
    return [names[i : i + size] for i in range(0, len(names), size)]
