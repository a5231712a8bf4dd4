"""Convert a sheet to the policy that schedulers apply."""

from hibiscusslip.model import resources
from hibiscusslip.scheduler import base
import hibiscusslip.sheet as sheet

# Quotas limit processors, memory and accelerators only.
UNBOUNDED = 2**31 - 1


def to_policy(content: sheet.Sheet, version: int) -> base.FleetPolicy:
    """Return the shares and quotas of a sheet as a fleet policy."""
    return base.FleetPolicy(
        version,
        {item.kind: _share(item) for item in content.shares},
        {item.team: _quota(item) for item in content.quotas},
    )


def _share(item: sheet.Share) -> base.KindShare:
    return base.KindShare(
        item.kind, item.guarantee, item.ceiling, item.lending
    )


def _quota(item: sheet.Quota) -> base.TeamQuota:
    limit = resources.Resources(
        item.cpu_milli,
        item.memory_mb,
        item.accelerators,
        UNBOUNDED,
        UNBOUNDED,
    )
    return base.TeamQuota(item.team, limit, item.weight)
