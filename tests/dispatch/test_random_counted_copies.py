"""Check that both runs of a task count in random cells with organisations.

Run more seeds with HIBISCUSSLIP_COUNTED_COPY_SEEDS=first-last.
"""

import os
import random

import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import usage
from tests.dispatch import copying_cell
from tests.dispatch import support

JOBS = 60
SETTLING_S = 60.0
LIMIT = model.Demand(18_000, 100_000)


def _seeds():
    first, _, last = os.environ.get(
        'HIBISCUSSLIP_COUNTED_COPY_SEEDS', '1-4'
    ).partition('-')
    return range(int(first), int(last or first) + 1)


class Cell(copying_cell.CopyingCell):
    """A cell of one organisation that compares what counts with what runs.

    `uncounted` are runs on machines that the owner doesn't count,
    `second_runs_lost` the number of second runs at losses of the owner.
    """

    def __init__(self, seed, **fields):
        self.uncounted = []
        self.second_runs_lost = 0
        super().__init__(seed, **fields)
        known = self.config
        self.engine.config = self.config = model.Configuration(
            known.version + 1,
            known.queues,
            known.services,
            organisations={
                'a': model.Organisation('a', weight=1000.0, limit=LIMIT)
            },
        )

    def submit(self, job_id, *steps, **fields):
        self.organisations[job_id] = 'a'
        return super().submit(job_id, *steps, **fields)

    def lose_owner(self):
        self.second_runs_lost += sum(
            task.second is not None
            for job in self.engine.jobs.values()
            for step in job.steps()
            for task in step.tasks
        )
        super().lose_owner()

    def _tick(self):
        super()._tick()
        ledger = self.engine.ledger
        counted = {
            (run.endpoint, run.task.name, run.run)
            for job_id in self.specs
            for run in ledger.runs_of(job_id)
        }
        running = {
            (machine.name, *key)
            for machine in self.machines
            for key in machine.running
        }
        self.uncounted += [(self.now, *key) for key in running - counted]
        assert ledger.usages() == self._scan()

    def _scan(self):
        """Return what all allocations and late starts count."""
        tasks = [run.task for run in self.engine.ledger.held_runs()]
        for endpoint in self.engine.endpoints.values():
            used = model.Demand()
            for allocation in endpoint.allocations.values():
                tasks.append(allocation.task)
                used = used + allocation.demand
            assert endpoint.used == used
        total = usage.Usage()
        for task in tasks:
            demand = task.step.spec.demand
            total = usage.Usage(total.demand + demand, total.runs + 1)
        return {'a': total} if tasks else {}


def _play(seed):
    rng = random.Random(seed)
    cell = Cell(
        seed,
        machines=8,
        max_attempts=3,
        run_s=1.5,
        lost_answers=rng.choice([0.0, 0.1]),
        owner_lives_s=rng.choice([3.0, 9.0]),
    )
    for number in range(JOBS):
        cell.submit(f'j{number}', support.step(2, speculative=True))
        cell.run(0.2)
        machine = rng.choice(cell.machines)
        draw = rng.random()
        if draw < 0.2:
            cell.slow_down(machine, 2.0)
        elif draw < 0.3:
            cell.mute(machine, 2.0)
        elif draw < 0.4:
            cell.engine.cancel(f'j{rng.randrange(number + 1)}', cell.now)
    cell.run(SETTLING_S)
    return cell


@pytest.mark.parametrize('seed', _seeds())
def test_second_runs_arent_counted_or_counted_twice(seed):
    cell = _play(seed)
    assert not cell.uncounted
    assert not cell.twice
    assert not cell.over_capacity
    assert cell.runs_at_once[True] <= 2
    assert cell.engine.ledger.usages() == {}


def test_no_owner_is_lost_while_tasks_have_second_runs():
    cells = [_play(seed) for seed in (1, 2)]
    assert sum(cell.count('copy_started') for cell in cells)
    assert sum(cell.second_runs_lost for cell in cells)
