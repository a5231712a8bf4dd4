"""Derive the lengths of leases, and until when those of others may last.

Each promise that a lease keeps is named here: runs survive a failover, and a
successor never starts a run again that may still hold a lease. The proof is
in docs/design/inherited-leases.md.
"""

from hibiscusslip.dispatch import state

# Survives a failover and, with up to poll_timing.USUAL_ENDPOINTS busy
# endpoints, a partition of five seconds; with more, leases are renewed less
# often.
USUAL_LEASE_S = 5.9
# Of an owner without the store, from its last heartbeat in the log.
UNVOUCHED_RENEWAL_S = 2.5
RENEWAL_LIMIT_S = 10.0  # while all other hosts vouch that they don't claim
VOUCH_S = 2.0
SLACK_S = 0.5  # for the estimate of an endpoint's clock, and rounding
# What a clock of 2% too fast shows of a time that one of 2% too slow measures.
CLOCK_SPREAD = (2.0 - state.MIN_CLOCK_RATE) / state.MIN_CLOCK_RATE


def usual_lease(max_lease: float) -> float:
    """Return the length of the leases of an owner with the store, in s."""
    return min(USUAL_LEASE_S, max_lease)


def elapsed_elsewhere(seconds: float) -> float:
    """Return how long to wait until `seconds` have passed on any clock."""
    return seconds * CLOCK_SPREAD + SLACK_S


def longest_inherited(max_lease: float) -> float:
    """Return how long leases of a former owner may last, in seconds.

    It may extend them without the store for RENEWAL_LIMIT_S, each time to the
    longest that endpoints grant, on a clock that is slow.
    """
    return elapsed_elsewhere(RENEWAL_LIMIT_S + max_lease)
