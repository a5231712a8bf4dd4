"""Claim the ownership of the cell in the store."""

from hibiscusslip.host import context
from hibiscusslip.host import inherited_leases
from hibiscusslip.host import notices
from hibiscusslip.host import topics
from hibiscusslip.platform import exceptions

CLAIM_TIMEOUT_S = 0.8
MS_PER_S = 1000


async def claim(ctx: context.Context, now: float) -> bool:
    """Append a claim; return True if it was written.

    On a conflict another host was faster.
    """
    own = ctx.ownership
    end = own.end_offset
    epoch = end + 1
    bound = own.begin_claim(now)
    hosts = ctx.other_hosts()
    record = notices.encode(_compose(ctx, epoch, bound, now))
    heard_at = own.last_notice_at
    try:
        await ctx.store.append(topics.OWNER, [record], CLAIM_TIMEOUT_S, at=end)
    except exceptions.StoreConflict:
        return False
    except exceptions.PlatformError as exc:
        ctx.log.note('claim_failed', error=str(exc)[:120])
        return False
    own.record_claim(epoch, now, hosts, bound)
    ctx.log.note(
        'owner_won',
        epoch=epoch,
        silent_s=None if heard_at is None else round(now - heard_at, 2),
        leases_end_s=round(max(bound.until - now, 0.0), 2),
        evidence=bound.evidence.value,
    )
    return True


def _compose(
    ctx: context.Context,
    epoch: int,
    bound: inherited_leases.Bound,
    now: float,
) -> notices.OwnerNotice:
    """Return the claim, which repeats what the former owner told."""
    own = ctx.ownership
    loads = own.known_loads()
    left = bound.until - now
    return notices.OwnerNotice(
        notices.CLAIM,
        epoch,
        ctx.cfg.name,
        ctx.incarnation,
        ctx.cfg.front.ip,
        ctx.cfg.ports[0],
        loads or {},
        lapses=own.remaining_leases(now),
        endpoints=own.endpoints,
        loads_known=loads is not None,
        hosts_read=own.hosts_read,
        inherited=int(left * MS_PER_S) + 1 if left > 0 else 0,
        grants=False,
    )
