"""Tell how many tasks of a step could run if nothing else did.

The others wait in vain, for as long as the pool is what it is and as the
step's own tasks run. So nothing is kept free, stopped or asked for them.
"""

import typing

from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import placement
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines


def count_placeable(
    step: state.StepState,
    candidates: candidate_pool.Candidates,
    needs_advice: bool,
) -> int:
    """Return how many of a step's waiting tasks could be placed.

    Endpoints that the advice service has not admitted don't count. Runs of
    the step take up its spread, and for good what they use if they last. Of
    other steps it is only checked that the label exists, and that a task isn't
    too large, which is cheap.
    """
    waiting = len(step.waiting())
    spec = step.spec
    if not spec.allocated_demand.fits(candidates.max_capacity):
        return 0
    if spec.label and spec.label not in candidates.labels:
        return 0
    if not (spec.spread or spec.long_running):
        return waiting
    rating = candidates.rate(spec.allocated_demand, spec.label)
    limit = placement.max_spread(step)
    places = sum(
        min(fit.total, limit) * len(numbers)
        for fit, numbers in rating.groups.items()
    )
    refused = step.asked_about - step.eligible if needs_advice else set()
    for name in refused:
        places -= _count_places(candidates, step, name)
    places -= sum(
        name not in refused and _count_places(candidates, step, name) > 0
        for name in placement.endpoints_of(step)
    )
    return min(max(places, 0), waiting)


def is_hopeless(
    engine: 'engines.Engine',
    step: state.StepState,
    candidates: candidate_pool.Candidates,
    needs_advice: bool,
) -> bool:
    """Return True if none of a step's waiting tasks could be placed.

    Not while an endpoint isn't usable, which may come back. Logs it once for
    each time that a step becomes hopeless.
    """
    hopeless = (
        not count_placeable(step, candidates, needs_advice)
        and candidates.all_usable
    )
    if hopeless and not step.hopeless:
        engine.note(
            'step_hopeless',
            step=step.name,
            tasks=len(step.waiting()),
            cpu=step.spec.demand.cpu,
            memory=step.spec.demand.memory,
            accelerators=step.spec.demand.accelerators,
            label=step.spec.label,
            spread=step.spec.spread,
            endpoints=len(candidates.all),
        )
    step.hopeless = hopeless
    return hopeless


def _count_places(
    candidates: candidate_pool.Candidates, step: state.StepState, name: str
) -> int:
    """Return how many tasks of a step an endpoint could run by itself."""
    number = candidates.number_of(name)
    if number is None:
        return 0
    rating = candidates.rate(step.spec.allocated_demand, step.spec.label)
    fit = rating.fit(number)
    return 0 if fit is None else min(fit.total, placement.max_spread(step))
