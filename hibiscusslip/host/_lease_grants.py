"""Decide what a poll grants an endpoint, and how long it may wait."""

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import state
from hibiscusslip.host import context
from hibiscusslip.host import poll_timing

FAILURES_UNTIL_UNRESPONSIVE = 2


def lease_deadline(
    ctx: context.Context,
    engine: engines.Engine,
    endpoint: state.Endpoint,
    now: float,
) -> float | None:
    """Return the end of the lease to grant, on the endpoint's clock.

    None leaves the lease as it is.
    """
    if not endpoint.polled or not endpoint.allocations:
        return None
    if not endpoint.responsive:
        return None  # else its lease would never provably expire
    if endpoint.withheld:
        return None  # successors were told that it isn't extended
    if not ctx.ownership.may_renew(now):
        return None
    lease = engine.lease
    if ctx.stopping or not ctx.store_available(now):
        lease = ctx.cfg.bounds.max_lease
    deadline = endpoint.clock_now(now) + lease
    endpoint.leased_until = max(endpoint.leased_until, deadline)
    return deadline


def longest_wait(
    endpoint: state.Endpoint, held_back: bool, timing: poll_timing.PollTiming
) -> float:
    """Return for how long the endpoint may delay its reply to a poll.

    `held_back` tells that no lease may be extended yet.
    """
    # An unresponsive endpoint isn't long-polled, so that its return is
    # noticed at once, and then its leases are extended. One that left out
    # ended runs has more to report.
    long_poll = (
        endpoint.allocations
        and endpoint.polled
        and endpoint.responsive
        and not endpoint.withheld
        and not held_back
        and not endpoint.ends_partial
    )
    if not long_poll:
        return 0.0
    if endpoint.suspected_at:  # a second failure should be noticed soon
        return poll_timing.LONG_POLL_S
    return timing.long_poll


def is_named_now(endpoint: state.Endpoint, failures: int) -> bool:
    """Return True if the next notice is the first to name a silent endpoint.

    So many polls have failed. A successor that has no such notice waits for
    its leases anew.
    """
    if not endpoint.allocations:
        return False
    if not endpoint.polled:
        return failures == 1
    return endpoint.responsive and failures >= FAILURES_UNTIL_UNRESPONSIVE
