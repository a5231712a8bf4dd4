"""Derive the lengths of leases from the longest that endpoints grant.

Each promise that a lease keeps is named here: runs survive a failover, and a
successor never starts a run again that may still hold a lease.
"""

from hibiscusslip.dispatch import state

# Survives a failover and, with up to poll_timing.USUAL_ENDPOINTS busy
# endpoints, a partition of five seconds; with more, leases are renewed less
# often.
USUAL_LEASE_S = 5.9
RENEWAL_LIMIT_S = 10.0  # of an owner without the store, from its last record
SLACK_S = 0.5


def usual_lease(max_lease: float) -> float:
    """Return the length of the leases of an owner with the store, in s."""
    return min(USUAL_LEASE_S, max_lease)


def longest_inherited(max_lease: float) -> float:
    """Return how long leases of a former owner may last, in seconds.

    It may extend them without the store for RENEWAL_LIMIT_S, each time to the
    longest that endpoints grant, on a clock that is slow.
    """
    return RENEWAL_LIMIT_S + max_lease / state.MIN_CLOCK_RATE + SLACK_S
