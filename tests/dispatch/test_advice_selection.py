"""Compare the selection of endpoints with a simple one on random pools.

Guards against a selection that differs because ratings are shared between
steps and passes, merged by groups, or not updated after a change.
"""

import math
import random

import pytest

from hibiscusslip.dispatch import _suspicion
from hibiscusslip.dispatch import advice_sizing
from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import placement
from hibiscusslip.dispatch import preferences
from hibiscusslip.dispatch import state
from tests.dispatch import support

NOW = 100.0
EXCLUDED = ('', 'e7')
PREFERENCES = (
    preferences.NONE,
    preferences.Preference(considers_speed=True),
    preferences.Preference(considers_speed=True, patient=True),
)


def random_endpoint(rng, name):
    endpoint = state.Endpoint(name, polled=True, responsive=rng.random() > 0.1)
    endpoint.entry = support.entry(
        name,
        cpu=rng.choice((4000, 8000, 21000)),
        memory=rng.choice((500, 8000)),
        zone=rng.choice(('z1', 'z2', 'z3')),
        labels=rng.choice((('a', 'r1'), ('a', 'r2'), ('b', 'r1'))),
        draining=rng.random() < 0.1,
    )
    used = rng.choice((0, 0, 1000, 3000, 4000))
    endpoint.used = model.Demand(used, rng.choice((0, 300)))
    return endpoint


def random_step(rng, names):
    spec = support.step(
        rng.choice((1, 2, 5, 12, 40)),
        cpu=rng.choice((0, 1000, 1700)),
        memory=rng.choice((0, 100)),
        spread=rng.choice((0, 0, 1, 3)),
        rack=rng.choice(('', '', 'r1')),
        label=rng.choice(('', '', 'b')),
        long_running=rng.random() < 0.1,
        same_rack=rng.random() < 0.1,
    )
    job = state.Job(
        f'j{rng.random()}', 'small', '', model.JobSpec('', (spec,)), NOW
    )
    step = state.StepState(job, 1, 0, spec)
    step.tasks = [state.Task(f't{i}', step, i) for i in range(spec.count)]
    step.asked_about = set(rng.sample(names, rng.choice((0, 0, 5, 30))))
    step.eligible = {n for n in step.asked_about if rng.random() < 0.5}
    return step


def rate(step, candidates, share, excluded, preference):
    """Return the key, name, zone, chance and tasks of each prospect."""
    for number, endpoint in enumerate(candidates.pool):
        entry, name = endpoint.entry, endpoint.name
        known = name in step.eligible
        if entry.draining or name == excluded:
            continue
        if step.spec.label and step.spec.label not in entry.labels:
            continue
        if name in step.asked_about and not known:
            continue
        free = total = 0
        if (candidate := candidates.find(name)) is not None:
            free = placement.max_tasks(step, candidate)
            empty = candidate_pool.RemainingCapacity(
                entry.capacity.cpu, entry.capacity.memory, 0
            )
            total = placement.max_tasks(step, empty)
        chance = 1.0 if known else share
        tasks = free + 0.1 * (total - free)
        far = bool(step.spec.rack) and step.spec.rack != entry.rack
        rank = preference.speed_rank(candidate) if candidate else 0
        key = (far, -chance * tasks, -chance, rank, number)
        yield key, name, entry.zone, chance, tasks


def first(prospects, needed):
    """Return the first prospects that suffice, and whether they do."""
    mean = variance = 0.0
    for count, (*_, chance, tasks) in enumerate(prospects, 1):
        mean += chance * tasks
        variance += chance * (1.0 - chance) * tasks**2
        if mean - 1.3 * math.sqrt(variance) >= needed:
            return prospects[:count], True
    return prospects, False


def simple_select(step, candidates, share, min_count, excluded, preference):
    prospects = sorted(rate(step, candidates, share, excluded, preference))
    needed = 2.0 * len(step.tasks)
    if step.spec.same_rack or step.spec.long_running:
        needed = math.inf
    chosen, _ = first(prospects, needed)
    for zone in placement.order_zones(step.job, ('z1', 'z2', 'z3')):
        near = [p for p in prospects if p[2] == zone and not p[0][0]]
        in_zone, suffices = first(near, needed)
        if suffices:
            chosen = in_zone
            break
    chosen = chosen[:100]
    for prospect in prospects:
        if len(chosen) >= min_count:
            break
        if prospect not in chosen and (not step.eligible or prospect[3] == 1):
            chosen = [*chosen, prospect]
    return tuple(name for _, name, *_ in chosen)


def change(rng, pool):
    """Change some endpoints, and seldom which ones are listed."""
    for endpoint in rng.sample(pool, rng.choice((1, 5, len(pool) // 2))):
        other = random_endpoint(rng, endpoint.name)
        field = rng.choice(('entry', 'used', 'responsive', 'suspected_at'))
        setattr(endpoint, field, getattr(other, field))
        endpoint.suspected_at = rng.choice((0.0, 0.0, 0.0, NOW - 1.0))
        endpoint.slowness = rng.choice((1.0, 1.9, 5.0))
        endpoint.trials = rng.choice(({}, {}, {}, {('t', 1): 'other'}))
    listed = list(pool)
    if rng.random() < 0.2:
        listed.remove(rng.choice(pool))
    return listed


def update(candidates, pool, now):
    candidates.update(pool, _suspicion.Suspicions(pool, now), now)
    return candidates


def describe(candidates):
    free = [
        (c.endpoint, c.entry, c.number, c.cpu, c.memory, c.slow)
        for c in candidates.all
    ]
    return free, candidates.has_trials, candidates.max_endpoint_cpu


def check_step(step, kept, new, options):
    """Compare kept candidates with new ones and a simple selection."""
    names = advice_sizing.select(step, kept, *options)
    assert names == simple_select(step, new, *options)
    others = [
        candidate
        for candidate in new.eligible_for(step, None)
        if candidate.endpoint.name not in step.asked_about
    ]
    free = advice_sizing.free_tasks(step, others)
    assert advice_sizing.unasked_free_tasks(step, kept) == free


@pytest.mark.parametrize('seed', range(12))
def test_selection_equals_that_of_a_simple_implementation(seed):
    rng = random.Random(seed)
    names = [f'e{number}' for number in range(rng.choice((40, 150, 400)))]
    pool = [random_endpoint(rng, name) for name in names]
    kept = candidate_pool.Candidates()
    for number in range(12):
        now = NOW + number
        listed = change(rng, pool)
        update(kept, listed, now)
        new = update(candidate_pool.Candidates(), listed, now)
        assert describe(kept) == describe(new)
        for first, second in zip(kept.all, new.all, strict=True):
            first.set_speed(rng.choice((0.5, 1.0, 1.05, 2.0)))
            second.set_speed(first.speed)
        for _ in range(5):
            step = random_step(rng, names)
            count = rng.choice((1, 8, 30))
            options = (
                rng.choice((0.3, 0.55, 1.0)),
                count,
                rng.choice(EXCLUDED),
                rng.choice(PREFERENCES),
            )
            check_step(step, kept, new, options)
            for endpoint in rng.sample(listed, 3):
                if candidate := new.find(endpoint.name):
                    candidate.allocate(step.spec.demand)
                    kept.find(endpoint.name).allocate(step.spec.demand)
