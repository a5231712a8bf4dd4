"""Summarize a shard and explain why jobs wait."""

from hibiscusslip.model import places
from hibiscusslip.scheduler import _gang_reservation
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _ledger
from hibiscusslip.scheduler import _order
from hibiscusslip.scheduler import _starter
from hibiscusslip.scheduler import _vector
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import feasibility


def explain(
    ledger: _ledger.Ledger,
    starter: _starter.Starter,
    reserver: _gang_reservation.GangReserver,
    job: _jobs.Job,
    now: float,
) -> base.Explanation:
    """Return the reasons why a job waits, the main reason first."""
    reasons = []
    need = job.demand
    if job.gang:
        need = _vector.scale(need, len(job.pending))
    block = starter.find_block(job, need)
    if block is _order.BlockReason.QUOTA:
        reasons.append(_quota_reason(ledger, job))
    elif block is _order.BlockReason.SHARE:
        reasons.append(_share_reason(ledger, job))
    plan = reserver.plan
    if plan is not None and plan.job is job:
        time_left = max(0.0, plan.start_at - now)
        reasons.append(
            f'It gathers {len(plan.endpoints)} endpoints for all its tasks '
            f'and is expected to start in about {time_left:.0f} s.'
        )
    elif job.gang and plan is not None:
        reasons.append(
            f'Another job that needs all its tasks at once, '
            f'{plan.job.job_id}, gathers room first.'
        )
    if starter.choose_endpoint(job) is None:
        reasons.append(_capacity_reason(ledger, job))
    if job.delayed:
        reasons.append(f'{len(job.delayed)} tasks wait for their retry.')
    queued = ledger.queued_by_kind[job.spec.kind]
    reasons.append(f'{queued} tasks of its kind are queued on this shard.')
    return base.Explanation(job.job_id, now - job.submitted, reasons)


def _quota_reason(ledger: _ledger.Ledger, job: _jobs.Job) -> str:
    team = job.spec.team
    return (
        f'Team {team} holds as much as its quota admits '
        f'({ledger.accounts.running[team]} tasks run): it waits for one of '
        'them to end.'
    )


def _share_reason(ledger: _ledger.Ledger, job: _jobs.Job) -> str:
    accounts = ledger.accounts
    account = accounts.kind(job.spec.kind)
    held = account.dominant_share
    if not accounts.within_ceiling(job.spec.kind, job.demand):
        return (
            f'Kind {job.spec.kind} holds {held:.0%} of the shard, and its '
            f'ceiling is {account.share.ceiling:.0%}.'
        )
    return (
        f'Kind {job.spec.kind} holds {held:.0%} of the shard, more than its '
        f'guarantee of {account.share.guarantee:.0%}, and what is free is '
        'kept for other kinds.'
    )


def _capacity_reason(ledger: _ledger.Ledger, job: _jobs.Job) -> str:
    need = feasibility.describe(job.demand)
    return f'No endpoint has {need} free for one task now.'


def summary(
    shard: places.Shard, ledger: _ledger.Ledger, now: float
) -> base.ShardSummary:
    """Return a summary of the shard's capacity, use and queues."""
    free = _vector.ZERO
    largest = _vector.ZERO
    for endpoint in ledger.inventory.endpoints.values():
        if endpoint.open:
            available = _vector.maximum(endpoint.free, _vector.ZERO)
            free = _vector.add(free, available)
            largest = _vector.maximum(largest, available)
    return base.ShardSummary(
        shard,
        _vector.to_resources(free),
        _vector.to_resources(ledger.inventory.capacity),
        _vector.to_resources(largest),
        _kinds(ledger, now),
    )


def _kinds(ledger: _ledger.Ledger, now: float) -> list[base.KindSummary]:
    accounts = ledger.accounts
    return [
        base.KindSummary(
            name,
            ledger.queued_by_kind[name],
            account.running,
            _vector.to_resources(account.held),
            _vector.to_resources(
                _vector.scale(accounts.capacity, account.share.guarantee)
            ),
            _oldest_wait(ledger, name, now),
        )
        for name, account in accounts.kinds.items()
    ]


def _oldest_wait(ledger: _ledger.Ledger, kind: str, now: float) -> float:
    first_jobs = ledger.order.first_jobs(kind)
    return max((now - job.submitted for job in first_jobs), default=0.0)
