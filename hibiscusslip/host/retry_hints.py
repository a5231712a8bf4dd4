"""Decide when and where a refused caller should retry; no I/O.

A zone may be partitioned for seconds. Its callers hold connections to its
hosts, which can store nothing, while hosts of other zones serve. Once a host
has failed a few readiness probes, the platform routes new connections
elsewhere, so a refused caller should retry at once over a new connection.
Before that, and while the store is unavailable to all hosts, an immediate
retry would only be refused again, and callers have few retries.
"""

import dataclasses

RETRY_LATER_S = 1
RETRY_NOW_S = 0
UNREADY_PROBES_UNTIL_REMOVED = 3  # the platform removes a host after two


@dataclasses.dataclass(frozen=True, slots=True)
class RetryHint:
    """When, in seconds, a refused caller should retry, and where.

    `elsewhere` asks for a new connection, which may reach another host.
    """

    retry_after: int
    elsewhere: bool


def choose_retry_hint(isolated: bool, unready_probes: int) -> RetryHint:
    """Return the hint for a caller that this host can't serve.

    `isolated` means that no other host replies to this one; `unready_probes`
    counts the readiness probes that this host has failed in a row.
    """
    removed_from_rotation = unready_probes >= UNREADY_PROBES_UNTIL_REMOVED
    if isolated and removed_from_rotation:
        return RetryHint(RETRY_NOW_S, True)
    return RetryHint(RETRY_LATER_S, unready_probes > 0)
