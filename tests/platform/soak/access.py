"""Check in a trial that hosts admit the holders of valid keys only."""

import dataclasses

from tests.platform.soak import callers
from tests.platform.soak import faults
from tests.platform.soak import layout

REFUSED = 401
SERVED = 200
STORE_AWAY_KINDS = ('all_refuse', 'all_silent', 'all_lost', 'all_slow')


@dataclasses.dataclass
class KeyProbes:
    """Store the calls with keys that the second configuration changed.

    It withdrew one and added another when it was published, at `changed_at`
    on the monotonic clock.
    """

    changed_at: float = 0.0
    withdrawn: list[callers.CallResult] = dataclasses.field(
        default_factory=list
    )
    new: list[callers.CallResult] = dataclasses.field(default_factory=list)


def check_keys(
    probes: KeyProbes,
    jobs: dict[str, callers.Job],
    injected: list[faults.InjectedFault],
) -> list[str]:
    """Return the violations of what keys permit, one line each."""
    broken = []
    for result in probes.withdrawn:
        late = result.sent > probes.changed_at + layout.REVOKE_S
        if late and result.status == SERVED and not _excused(result, injected):
            broken.append(f'{result.at:.3f} ROUTE: withdrawn key {result}')
    for result in probes.new:
        late = result.sent > probes.changed_at + layout.CONFIG_APPLY_S
        if late and result.status == REFUSED:
            broken.append(f'{result.at:.3f} ROUTE: new key {result}')
    for job in jobs.values():
        for result in (*job.submissions, *job.queries, *job.cancellations):
            if result.status == REFUSED:
                broken.append(f'{result.at:.3f} ROUTE: valid key {result}')
    return broken


def _excused(
    result: callers.CallResult, injected: list[faults.InjectedFault]
) -> bool:
    """Return True if no host could have told this one of the change.

    That is so while a fault hits the store as a whole, or while this host
    doesn't run, and for as long after it as a change may take.
    """
    return any(
        item.began < result.at
        and item.ended + layout.REVOKE_S > result.sent
        and (
            item.fault.kind in STORE_AWAY_KINDS
            or (
                item.fault.kind == 'freeze'
                and item.fault.target == result.host
            )
        )
        for item in injected
    )
