"""Decide when callers that are refused should come back; no I/O.

The pattern it answers: a zone is cut off for seconds. Its callers hold
connections to its hosts, which can store nothing, while hosts of other zones
serve. Once the platform has found a host unready a few times, it sends new
connections elsewhere, so a caller that is refused is best served by another
try at once, on a new connection. Before that, and while the store is away for
all, a try at once would only be refused again, and callers have few.
"""

import dataclasses

RETRY_LATER_S = 1
RETRY_NOW_S = 0
UNREADY_PROBES_UNTIL_REMOVED = (
    3  # the platform takes two for a host out of rotation
)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryHint:
    """Tell a caller after how many seconds to try, and where."""

    retry_after: int
    elsewhere: bool


def choose_retry_hint(isolated: bool, unready_probes: int) -> RetryHint:
    """Return what to tell a caller that this host can't serve.

    `cut_off` tells that no other host answers this one, `found_unready` how
    often in a row the platform was told that this host isn't ready.
    """
    removed_from_rotation = unready_probes >= UNREADY_PROBES_UNTIL_REMOVED
    if isolated and removed_from_rotation:
        return RetryHint(RETRY_NOW_S, True)
    return RetryHint(RETRY_LATER_S, unready_probes > 0)
