"""Check limits in random cells that lose owners, messages and the store.

Run more seeds with HIBISCUSSLIP_LIMIT_SEEDS=first-last.
"""

import os
import random

import pytest

from hibiscusslip.dispatch import model
from tests.dispatch import limited_cell
from tests.dispatch import support

JOBS = 120


def _seeds():
    first, _, last = os.environ.get(
        'HIBISCUSSLIP_LIMIT_SEEDS', '1-6'
    ).partition('-')
    return range(int(first), int(last or first) + 1)


def _draw_step(rng):
    return rng.choice(
        [
            support.step(rng.randint(1, 4)),
            support.step(1, cpu=7000),
            support.step(3, fills=True),
            support.step(rng.randint(2, 5), cpu=2000, gang=True),
            support.step(2, checkpoints=True),
            support.step(1, long_running=True),
        ]
    )


def _draw_limit(rng):
    return model.Demand(rng.choice([4000, 6000, 9000]), 2000)


def _disturb(rng, cell, machine):
    draw = rng.random()
    if draw < 0.1:
        cell.lose_next = rng.choice(['decided', 'written', 'sending'])
    elif draw < 0.2:
        cell.cut(machine, rng.choice([0.5, 2.0, 8.0]))
    elif draw < 0.25:
        cell.store_lost_until = cell.now + rng.choice([0.3, 2.0])
    elif draw < 0.32 and machine.crashed_at is None:
        cell.crash(machine)
    elif draw < 0.38 and machine.crashed_at is None:
        cell.restart_unseen(machine)
    elif draw < 0.45:
        cell.set_limit(_draw_limit(rng))
    elif draw < 0.6 and cell.delayed:
        # The delayed start may then take effect at the new incarnation.
        machine = cell.delayed[-1][1]
        if machine.crashed_at is None:
            cell.restart_unseen(machine)


@pytest.mark.parametrize('seed', _seeds())
def test_random_limits(seed):
    rng = random.Random(seed)
    cell = limited_cell.Cell(
        rng,
        _draw_limit(rng),
        machines=8,
        new_ids=rng.random() < 0.5,
        run_s=rng.choice([0.6, 1.5, 3.0]),
    )
    for number in range(JOBS):
        step = _draw_step(rng)
        cell.submit(f'j{number}', step, organisation=rng.choice('ab'))
        if rng.random() < 0.5 or step.long_running:
            cell.run(0.3)
            cell.cancel(f'j{rng.randrange(max(number - 5, 0), number + 1)}')
            if rng.random() < 0.3:
                cell.lose_next = 'written'
        cell.run(rng.choice([0.1, 0.3, 0.6]))
        _disturb(rng, cell, rng.choice(cell.machines))
    cell.run(20.0)
    assert len(cell.carried_out) > JOBS / 2
    assert not cell.exceeded
    assert not cell.uncounted
