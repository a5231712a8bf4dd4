"""Check whether a demand could ever run, and find the closest that could."""

import collections.abc

from hibiscusslip.model import resources
from hibiscusslip.model import work
from hibiscusslip.scheduler import _vector
from hibiscusslip.scheduler import base

Capacities = collections.abc.Iterable[resources.Resources]


def check(spec: work.JobSpec, capacities: Capacities) -> base.Refused | None:
    """Return a refusal if no endpoint could ever run a task of `spec`.

    `capacities` are those of whole endpoints, of one shard or of the whole
    cell. Return None if one task fits, or if no capacity is known.
    """
    need = _vector.from_resources(spec.demand)
    if min(need) < 0:
        return _impossible('a demand is negative: ask for 0 or more', None)
    if spec.tasks < 1:
        return _impossible('the job has no task: ask for 1 or more', None)
    known = {_vector.from_resources(capacity) for capacity in capacities}
    if not known or any(_vector.fits(need, available) for available in known):
        return None
    closest = nearest(need, known)
    dimensions = ', '.join(_vector.exceeded_dimensions(need, closest))
    detail = (
        f'no endpoint has enough {dimensions} for one task: '
        f'ask for at most {describe(closest)} per task'
    )
    return _impossible(detail, closest)


def nearest(
    need: _vector.Vector, known: collections.abc.Iterable[_vector.Vector]
) -> _vector.Vector:
    """Return the demand closest to `need` that one endpoint could run.

    The closest is the one with the smallest sum of relative reductions.
    """
    candidates = [_vector.minimum(need, available) for available in known]
    return min(
        candidates,
        key=lambda candidate: (
            _relative_reduction(need, candidate),
            candidate,
        ),
    )


def describe(amount: _vector.Vector) -> str:
    """Format an amount of resources for a message."""
    return (
        f'{amount[0] / 1000:g} cores, {amount[1]} MiB, '
        f'{amount[2]} accelerators, {amount[3]} slots, '
        f'{amount[4]} connections'
    )


def _relative_reduction(
    need: _vector.Vector, candidate: _vector.Vector
) -> float:
    pairs = zip(need, candidate, strict=True)
    return sum(1.0 - reduced / part for part, reduced in pairs if part)


def _impossible(detail: str, closest: _vector.Vector | None) -> base.Refused:
    closest_demand = _vector.to_resources(closest) if closest else None
    return base.Refused(
        base.RefusalReason.IMPOSSIBLE, detail, nearest=closest_demand
    )
