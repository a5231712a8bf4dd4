"""Decide when callers that are refused should come back; no I/O.

The pattern it answers: a zone is cut off for seconds. Its callers hold
connections to its hosts, which can store nothing, while hosts of other zones
serve. Once the platform has found a host unready a few times, it sends new
connections elsewhere, so a caller that is refused is best served by another
try at once, on a new connection. Before that, and while the store is away for
all, a try at once would only be refused again, and callers have few.
"""

import dataclasses

SOON_S = 1
NOW_S = 0
TIMES_FOUND_UNREADY = 3  # the platform takes two for a host out of rotation


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Tell a caller after how many seconds to try, and where."""

    retry_after: int
    elsewhere: bool


def advise(cut_off: bool, found_unready: int) -> Advice:
    """Return what to tell a caller that this host can't serve.

    `cut_off` tells that no other host answers this one, `found_unready` how
    often in a row the platform was told that this host isn't ready.
    """
    rotated_out = found_unready >= TIMES_FOUND_UNREADY
    if cut_off and rotated_out:
        return Advice(NOW_S, True)
    return Advice(SOON_S, found_unready > 0)
