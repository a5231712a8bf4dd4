"""Check random cells in which tasks straggle and get copies.

Run more seeds with HIBISCUSSLIP_COPY_SEEDS=first-last.
"""

import os
import random

import pytest

from hibiscusslip.dispatch import copies
from hibiscusslip.dispatch import model
from tests.dispatch import copying_cell
from tests.dispatch import support

MAX_ATTEMPTS = 3
MAX_CRASHES = 2  # with more a task may be in three, and given up
SETTLING_S = 20.0
MAX_SETTLING_S = 400.0
ENDED = (model.JobState.COMPLETED, model.JobState.FAILED)


def _seeds():
    first, _, last = os.environ.get(
        'HIBISCUSSLIP_COPY_SEEDS', '1-6'
    ).partition('-')
    return range(int(first), int(last or first) + 1)


def _draw_steps(rng):
    """Return the steps of a job; most of them allow copies."""
    return rng.choice(
        [
            [support.step(1, speculative=True)],
            [support.step(3, speculative=True)],
            [
                support.step(2, speculative=True),
                support.step(2, after=(0,), speculative=True),
            ],
            [support.step(2, speculative=True, checkpoints=True)],
            [support.step(2, cpu=2000, gang=True, speculative=True)],
            [support.step(2)],
        ]
    )


class Scenario:
    """A random cell whose jobs can all be done, or fail by their attempts."""

    def __init__(self, seed, losses=True):
        rng = self.rng = random.Random(seed)
        self.losses = losses
        self.jobs = {}
        self.cell = copying_cell.CopyingCell(
            seed,
            machines=rng.choice([6, 9, 12]),
            max_attempts=MAX_ATTEMPTS,
            fail_share=rng.choice([0.0, 0.1, 0.3]),
            run_s=rng.choice([0.6, 1.5, 3.0]),
            lost_answers=rng.choice([0.0, 0.1, 0.4]) if losses else 0.0,
            owner_lives_s=(
                rng.choice([None, 1.3, 3.0, 9.0]) if losses else None
            ),
            new_ids=rng.random() < 0.6,
        )

    def run(self):
        for number in range(100):
            self.jobs[f'j{number}'] = _draw_steps(self.rng)
            self.cell.submit(f'j{number}', *self.jobs[f'j{number}'])
            self.cell.run(self.rng.choice([0.1, 0.3]))
            self._disturb()
        give_up_at = self.cell.now + MAX_SETTLING_S
        while self.cell.now < give_up_at and self.unfinished():
            self.cell.run(SETTLING_S)
        self.cell.run(SETTLING_S)

    def _disturb(self):
        rng = self.rng
        machine = rng.choice(self.cell.machines)
        seconds = rng.choice([0.5, 2.0, 8.0])
        draw = rng.random()
        if draw < 0.05:
            self.cell.slow_down(machine, seconds)
        elif draw < 0.10:
            self.cell.hang(machine, seconds)
        elif not self.losses or machine.crashed_at is not None:
            return
        elif draw < 0.15:
            self.cell.mute(machine, seconds)
        elif draw < 0.17:
            self.cell.leave(machine)
        elif draw < 0.19 and self.cell.crashes < MAX_CRASHES:
            self.cell.crash(machine)

    def unfinished(self):
        return [
            job_id
            for job_id in self.jobs
            if self.cell.state(job_id) not in ENDED
        ]

    def failed_runs(self, task):
        runs = self.cell.failed - self.cell.failed_late
        return sum(name == task for name, _ in runs)


def check(scenario):
    """Check what has to hold whatever is lost."""
    cell = scenario.cell
    assert not scenario.unfinished()
    assert not cell.twice
    assert not cell.over_capacity
    assert not cell.numbers_used_again
    assert cell.runs_at_once[False] <= 1
    assert cell.runs_at_once[True] <= 2
    assert not any(e.allocations for e in cell.engine.endpoints.values())
    assert not any(machine.running for machine in cell.machines)


def tasks_of(scenario, job_id):
    steps = scenario.cell.engine.jobs[job_id].steps()
    return [task for step in steps for task in step.tasks]


@pytest.mark.parametrize('seed', _seeds())
def test_copies_break_the_rules_when_runs_are_lost(seed):
    scenario = Scenario(seed)
    scenario.run()
    check(scenario)
    for job_id, steps in scenario.jobs.items():
        if any(step.gang for step in steps):
            continue
        most = max(
            scenario.failed_runs(task.name)
            for task in tasks_of(scenario, job_id)
        )
        if scenario.cell.state(job_id) is model.JobState.FAILED:
            assert most >= MAX_ATTEMPTS


@pytest.mark.parametrize('seed', _seeds())
def test_attempts_are_miscounted_when_runs_are_copied(seed):
    scenario = Scenario(seed, losses=False)
    scenario.run()
    check(scenario)
    for job_id, steps in scenario.jobs.items():
        if any(step.gang for step in steps):
            continue
        failures = [task.failures for task in tasks_of(scenario, job_id)]
        failed = scenario.cell.state(job_id) is model.JobState.FAILED
        assert (max(failures) == MAX_ATTEMPTS) is failed
        for task in tasks_of(scenario, job_id):
            if not failed:
                assert task.failures == scenario.failed_runs(task.name)


def test_no_scenario_has_copies_that_win_lose_and_are_promoted():
    counts = dict.fromkeys(copies.EVENTS, 0)
    for seed in (1, 2, 3):
        scenario = Scenario(seed)
        scenario.run()
        for event in counts:
            counts[event] += scenario.cell.count(event)
    assert all(counts.values()), counts
