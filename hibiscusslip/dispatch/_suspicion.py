"""Suspect endpoints that leave calls unanswered, and their zones.

When a zone is partitioned, or endpoints stop responding, starts go on at the
full rate, and a poll takes a second to fail. Until then every step would get
a task there whose start stays unconfirmed for seconds, until it expires. So
one unanswered call is enough to place no more work on an endpoint until it
answers again. Two such endpoints in a zone are enough to require a recent
response from every endpoint of that zone.
"""

import collections.abc

from hibiscusslip.dispatch import state

MAX_SUSPECTS_PER_ZONE = 1  # with more, the whole zone is suspected
ZONE_SUSPICION_S = 2.0  # by then each endpoint of the zone was called itself


def handle_no_response(
    endpoint: state.Endpoint, sent: float, now: float
) -> bool:
    """Record an unanswered call; return True if it starts a suspicion.

    An endpoint that has responded since the call was sent isn't suspected.
    """
    endpoint.may_have_restarted = True
    if endpoint.suspected_at or endpoint.last_response_at >= sent:
        return False
    endpoint.suspected_at = now
    return True


def handle_response(
    endpoint: state.Endpoint, clock: float | None, now: float
) -> None:
    """Record a response, which clears the suspicion.

    `clock` is the time on the endpoint's clock in it, None if it wasn't told.
    """
    if clock is not None and clock < endpoint.clock:
        endpoint.may_have_restarted = True
    endpoint.last_response_at = max(endpoint.last_response_at, now)
    endpoint.suspected_at = 0.0


class Suspicions:
    """The suspected zones, each with the time of its first suspicion.

    An endpoint of such a zone must have responded since then to get work.
    """

    def __init__(
        self, endpoints: collections.abc.Iterable[state.Endpoint], now: float
    ) -> None:
        suspected: dict[str, list[float]] = {}
        for endpoint in endpoints:
            if endpoint.entry is None or not endpoint.suspected_at:
                continue
            if now <= endpoint.suspected_at + ZONE_SUSPICION_S:
                times = suspected.setdefault(endpoint.entry.zone, [])
                times.append(endpoint.suspected_at)
        self._response_since = {
            zone: min(times)
            for zone, times in suspected.items()
            if len(times) > MAX_SUSPECTS_PER_ZONE
        }

    def allows(self, endpoint: state.Endpoint) -> bool:
        """Return True if work may be placed on an endpoint."""
        if endpoint.suspected_at or endpoint.entry is None:
            return False
        since = self._response_since.get(endpoint.entry.zone)
        return since is None or endpoint.last_response_at >= since
