"""Judge whether a demand could ever run, and what would come nearest."""

import collections.abc

from hibiscusslip.model import resources
from hibiscusslip.model import work
from hibiscusslip.scheduler import _vector
from hibiscusslip.scheduler import base

Capacities = collections.abc.Iterable[resources.Resources]


def judge(spec: work.JobSpec, capacities: Capacities) -> base.Refused | None:
    """Return why no endpoint could ever run a task of `spec`.

    `capacities` are whole endpoints, of one shard or of the whole cell.
    None means that one task fits, or that nothing is known to judge by.
    """
    need = _vector.of(spec.demand)
    if min(need) < 0:
        return _impossible('a demand is negative: ask for 0 or more', None)
    if spec.tasks < 1:
        return _impossible('the job has no task: ask for 1 or more', None)
    known = {_vector.of(capacity) for capacity in capacities}
    if not known or any(_vector.fits(need, room) for room in known):
        return None
    near = nearest(need, known)
    words = ', '.join(_vector.short(need, near))
    detail = (
        f'no endpoint has enough {words} for one task: '
        f'ask for at most {describe(near)} per task'
    )
    return _impossible(detail, near)


def nearest(
    need: _vector.Vector, known: collections.abc.Iterable[_vector.Vector]
) -> _vector.Vector:
    """Return the demand closest to `need` that one endpoint could run."""
    cuts = [_vector.least(need, room) for room in known]
    return min(cuts, key=lambda cut: (_loss(need, cut), cut))


def describe(amount: _vector.Vector) -> str:
    """Return an amount in words."""
    return (
        f'{amount[0] / 1000:g} cores, {amount[1]} MiB, '
        f'{amount[2]} accelerators, {amount[3]} slots, '
        f'{amount[4]} connections'
    )


def _loss(need: _vector.Vector, cut: _vector.Vector) -> float:
    pairs = zip(need, cut, strict=True)
    return sum(1.0 - less / part for part, less in pairs if part)


def _impossible(detail: str, near: _vector.Vector | None) -> base.Refused:
    found = _vector.amount(near) if near else None
    return base.Refused(base.RefusalReason.IMPOSSIBLE, detail, nearest=found)
