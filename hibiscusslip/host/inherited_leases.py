"""Decide until when leases may last that former owners extended; no I/O.

A new owner gives up the runs of an endpoint that doesn't answer once no former
owner can have extended its leases any longer. Silence proves nothing, nor does
a missing entry: such an endpoint may be at work behind a partition, with a
former owner that still reaches it.
"""

import dataclasses
import enum

from hibiscusslip.dispatch import commands
from hibiscusslip.host import lease_timing


class Evidence(enum.StrEnum):
    """Name what shows until when inherited leases may last."""

    NO_OWNER = 'there was no owner before'
    NO_RECORD = 'no notice of a former owner is left'
    HELD_BACK = 'the former owner had extended no lease'
    NOT_VOUCHED = 'this host has not vouched for the former owner'
    VOUCHED = 'this host has vouched for the former owner'
    UNKNOWN_HOST = 'the former owner may not know this host'
    ENDED = 'the former owner has ended'
    NAMED = 'a former owner named the endpoint'
    LATE_START = 'a start may still be carried out there'


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """Until when inherited leases may last, on the monotonic clock.

    Those of the owners before the former one last until `told_until`.
    """

    until: float
    evidence: Evidence
    told_until: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Findings:
    """What a claimant knows of the former owner.

    It was heard of at `heard_at`, None for never. Its newest notice tells that
    the leases of the owners before it end by `told_until`, whether it has
    extended leases itself (`grants`), and that it knew this host
    (`knows_claimant`). This host has vouched for it until `vouched_until`.
    """

    heard_at: float | None
    told_until: float
    grants: bool
    knows_claimant: bool
    vouched_until: float
    topic_is_empty: bool


def derive(found: Findings, now: float, max_lease: float) -> Bound:
    """Return until when leases of former owners may last."""
    if found.heard_at is None:
        if found.topic_is_empty:
            return Bound(now, Evidence.NO_OWNER)
        longest = lease_timing.longest_inherited(max_lease)
        return Bound(now + longest, Evidence.NO_RECORD)
    vouched = Bound(
        found.vouched_until + lease_timing.elapsed_elsewhere(max_lease),
        Evidence.VOUCHED,
    )
    bounds = [vouched, Bound(found.told_until, Evidence.HELD_BACK)]
    if found.grants:
        bounds.append(_own_leases(found, max_lease))
    latest = max(bounds, key=lambda bound: bound.until)
    return dataclasses.replace(latest, told_until=found.told_until)


def _own_leases(found: Findings, max_lease: float) -> Bound:
    """Return until when the leases last that the former owner extended.

    Vouches aside: it needs that of this host, if it knows it.
    """
    assert found.heard_at is not None
    renewal = lease_timing.RENEWAL_LIMIT_S
    evidence = Evidence.UNKNOWN_HOST
    if found.knows_claimant:
        renewal = lease_timing.UNVOUCHED_RENEWAL_S
        evidence = Evidence.NOT_VOUCHED
    longest = lease_timing.elapsed_elsewhere(renewal + max_lease)
    return Bound(found.heard_at + longest, evidence)


def after_end(bound: Bound, ended_at: float, max_lease: float) -> Bound:
    """Return the bound if the former owner extends nothing at `ended_at`."""
    longest = lease_timing.elapsed_elsewhere(max_lease)
    until = max(ended_at + longest, bound.told_until)
    if until >= bound.until:
        return bound
    return Bound(until, Evidence.ENDED, bound.told_until)


def with_starts(bound: Bound, fenced_at: float) -> Bound:
    """Return the bound with the starts that a former owner has recorded.

    It can record no more of them at `fenced_at`. A start extends leases, too.
    """
    valid = lease_timing.elapsed_elsewhere(commands.START_VALID_S)
    return dataclasses.replace(
        bound, until=max(bound.until, fenced_at + valid)
    )
