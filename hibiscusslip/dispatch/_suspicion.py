"""Doubt endpoints that leave calls unanswered, and those beside them.

The pattern it answers: a zone that is cut off, or endpoints that fall silent,
while starts go on at the full rate. A look only tells after a second; until
then every step would have a task there whose start is neither answered nor
void for seconds. The first unanswered call is enough to place elsewhere until
the endpoint answers again; two such endpoints in one zone are enough to ask
for a fresh answer of each of its endpoints.
"""

import collections.abc

from hibiscusslip.dispatch import state

MAX_ISOLATED_SUSPECTS = (
    1  # doubted endpoints of a zone that don't speak for the others
)
ZONE_SUSPICION_S = (
    2.0  # later each endpoint of the zone has been called itself
)


def handle_no_response(
    endpoint: state.Endpoint, sent: float, now: float
) -> bool:
    """Take note of a call without an answer; True when a doubt begins."""
    if endpoint.suspected_at or endpoint.last_response_at >= sent:
        return False
    endpoint.suspected_at = now
    return True


def handle_response(endpoint: state.Endpoint, now: float) -> None:
    """Take note of an answer: it ends all doubt."""
    endpoint.last_response_at = max(endpoint.last_response_at, now)
    endpoint.suspected_at = 0.0


class Suspicions:
    """Hold since when the endpoints of each zone have to have answered."""

    def __init__(
        self, endpoints: collections.abc.Iterable[state.Endpoint], now: float
    ) -> None:
        found: dict[str, list[float]] = {}
        for endpoint in endpoints:
            if endpoint.entry is None or not endpoint.suspected_at:
                continue
            if now <= endpoint.suspected_at + ZONE_SUSPICION_S:
                times = found.setdefault(endpoint.entry.zone, [])
                times.append(endpoint.suspected_at)
        self._since = {
            zone: min(times)
            for zone, times in found.items()
            if len(times) > MAX_ISOLATED_SUSPECTS
        }

    def allows(self, endpoint: state.Endpoint) -> bool:
        """Tell whether nothing speaks against placing work there."""
        if endpoint.suspected_at or endpoint.entry is None:
            return False
        since = self._since.get(endpoint.entry.zone)
        return since is None or endpoint.last_response_at >= since
