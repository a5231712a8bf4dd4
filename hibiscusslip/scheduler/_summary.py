"""Tell how a shard stands and why a job waits."""

from hibiscusslip.model import places
from hibiscusslip.scheduler import _gather
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
    gatherer: _gather.Gatherer,
    job: _jobs.Job,
    now: float,
) -> base.Explanation:
    """Return the reasons why a job waits, the strongest first."""
    reasons = []
    need = job.demand
    if job.gang:
        need = _vector.scale(need, len(job.pending))
    lack = starter.lacking(job, need)
    if lack is _order.Block.QUOTA:
        reasons.append(_quota_reason(ledger, job))
    elif lack is _order.Block.SHARE:
        reasons.append(_share_reason(ledger, job))
    plan = gatherer.plan
    if plan is not None and plan.job is job:
        left = max(0.0, plan.start_at - now)
        reasons.append(
            f'It gathers {len(plan.rooms)} endpoints for all its tasks and '
            f'is expected to start in about {left:.0f} s.'
        )
    elif job.gang and plan is not None:
        reasons.append(
            f'Another job that needs all its tasks at once, '
            f'{plan.job.job_id}, gathers room first.'
        )
    if starter.room_for(job) is None:
        reasons.append(_room_reason(ledger, job))
    if job.delayed:
        reasons.append(f'{len(job.delayed)} tasks wait for their retry.')
    ahead = ledger.queued_by_kind[job.spec.kind]
    reasons.append(f'{ahead} tasks of its kind are queued on this shard.')
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
    held = account.fraction
    if not accounts.below_ceiling(job.spec.kind, job.demand):
        return (
            f'Kind {job.spec.kind} holds {held:.0%} of the shard, and its '
            f'ceiling is {account.share.ceiling:.0%}.'
        )
    return (
        f'Kind {job.spec.kind} holds {held:.0%} of the shard, more than its '
        f'guarantee of {account.share.guarantee:.0%}, and what is free is '
        'kept for other kinds.'
    )


def _room_reason(ledger: _ledger.Ledger, job: _jobs.Job) -> str:
    need = feasibility.describe(job.demand)
    return f'No endpoint has {need} free for one task now.'


def summary(
    shard: places.Shard, ledger: _ledger.Ledger, now: float
) -> base.ShardSummary:
    """Return what other owners need to spread work."""
    free = _vector.ZERO
    largest = _vector.ZERO
    for room in ledger.book.rooms.values():
        if room.open:
            left = _vector.most(room.free, _vector.ZERO)
            free = _vector.add(free, left)
            largest = _vector.most(largest, left)
    return base.ShardSummary(
        shard,
        _vector.amount(free),
        _vector.amount(ledger.book.capacity),
        _vector.amount(largest),
        _kinds(ledger, now),
    )


def _kinds(ledger: _ledger.Ledger, now: float) -> list[base.KindSummary]:
    accounts = ledger.accounts
    return [
        base.KindSummary(
            name,
            ledger.queued_by_kind[name],
            account.running,
            _vector.amount(account.held),
            _vector.amount(
                _vector.scale(accounts.capacity, account.share.guarantee)
            ),
            _oldest_wait(ledger, name, now),
        )
        for name, account in accounts.kinds.items()
    ]


def _oldest_wait(ledger: _ledger.Ledger, kind: str, now: float) -> float:
    heads = ledger.order.heads(kind)
    return max((now - job.submitted for job in heads), default=0.0)
