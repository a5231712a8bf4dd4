"""Check that no job makes an owner work for long in one piece.

The loop serves nothing else meanwhile, and an owner whose heartbeats are late
is succeeded by another one, which reads the same jobs.
"""

import json

import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import summary
from hibiscusslip.platform import documents
from tests.dispatch import costs
from tests.dispatch import support

# Executed in one piece: about 0.2 s of a core, half of the time between two
# heartbeats.
MAX_LINES = 2_500_000
ENDPOINTS = 24
MAX_OCCURRENCES = documents.MAX_OCCURRENCES
MAX_STEPS = documents.MAX_STEPS
MAX_TASKS = documents.MAX_TASKS
DUE = {'Times': MAX_OCCURRENCES, 'IntervalMs': 1}


def step(count=1, **fields):
    return {
        'Count': count,
        'Cpu': 100,
        'MemMb': 1,
        'EstimateMs': 1000,
        **fields,
    }


def chain(count, depends_on):
    return [
        step(count, DependsOn=depends_on(number))
        for number in range(MAX_STEPS)
    ]


def all_before(number):
    return list(range(number))


JOBS = {
    'occurrences of one task': {'Steps': [step()], **DUE},
    'occurrences of many steps': {'Steps': chain(1, all_before), **DUE},
    'occurrences of many tasks': {'Steps': [step(MAX_TASKS)], **DUE},
    'many tasks': {'Steps': [step(MAX_TASKS)]},
    'many tasks that spread': {
        'Steps': [step(MAX_TASKS, AntiAffinity=1, LongRunning=True)]
    },
    'many tasks that fill beside targets': {
        'Steps': [step(MAX_TASKS, Fills=True, TargetMs=50)]
    },
    'many copies': {'Steps': [step(MAX_TASKS, Speculative=True)]},
    'large gang that has to wait': {
        'Steps': [step(MAX_TASKS, Cpu=1000, Gang=True)]
    },
    'large gang without demand': {
        'Steps': [step(MAX_TASKS, Cpu=0, Gang=True, SameRack=True)]
    },
    'many steps with all dependencies': {
        'Steps': chain(MAX_TASKS // MAX_STEPS, all_before)
    },
    'repeated dependencies': {
        'Steps': chain(1, lambda number: [0] * 1000 if number else [])
    },
}


class Cell:
    """An owner of a small cell, each piece of whose work is measured."""

    def __init__(self):
        self.bench = support.Bench()
        self.lines = costs.LineCounter()
        for number in range(ENDPOINTS):
            self.bench.endpoint(f'e{number}', cpu=32_000, memory=10**6)

    def submit(self, spec):
        submission = records.Submission('small', support.SERVICE, 0.0, b'')
        self.lines.measure(
            'submit',
            self.bench.engine.submit,
            'j',
            submission,
            spec,
            self.bench.now,
            support.WALL_TIME,
        )

    def plan(self):
        """Run a pass in its pieces; return the starts."""
        engine, now = self.bench.engine, self.bench.now
        planning = self.lines.measure(
            'begin a pass', engine.begin_plan, now, support.WALL_TIME
        )
        while self.lines.measure('plan', planning.advance, now):
            self.lines.measure('refresh', planning.refresh, now)
        starts = self.bench.commit()
        self.bench.confirm(starts)
        return starts

    def report_ends(self, starts):
        """Report that each second run has ended, 500 at a time."""
        by_endpoint = {}
        for start in starts:
            by_endpoint.setdefault(start.endpoint, []).append(start)
        for name, all_starts in by_endpoint.items():
            ended = all_starts[:1000:2]
            running = [s for s in all_starts if s not in ended]
            self.lines.measure(
                'report',
                self.bench.report,
                name,
                [self.bench.running_run(start) for start in running],
                [
                    model.EndedRun(
                        number, s.task.name, s.run, model.RunOutcome.DONE, ''
                    )
                    for number, s in enumerate(ended, 1)
                ],
            )

    def succeed(self, spec):
        """Have a new owner restore the job from its record."""
        job = self.bench.engine.jobs['j']
        value = self.lines.measure(
            'encode', records.encode_job, job, now=self.bench.now
        )
        row = records.decode_job(value)
        successor = Cell()
        successor.submit(spec)
        engine = successor.bench.engine
        job = engine.jobs['j']
        self.lines.measure(
            'restore occurrences',
            engine.restore_occurrences,
            job,
            row,
            self.bench.now,
        )
        self.lines.measure('restore', records.restore, job, row)


@pytest.mark.parametrize('name', JOBS)
def test_no_piece_of_work_on_one_job_takes_long(name):
    """Guards against owners that are late with their heartbeats (review/8)."""
    body = json.dumps({'Spec': 'x', **JOBS[name]}).encode()
    spec = documents.read_job(body)
    cell = Cell()
    cell.submit(spec)
    for _ in range(2):
        starts = cell.plan()
        cell.bench.now += 1.0
        cell.report_ends(starts)
        cell.bench.now += 1.0
    cell.plan()
    cell.succeed(spec)
    engine = cell.bench.engine
    cell.lines.measure('summary', summary.summarise, engine, cell.bench.now)
    cell.lines.measure('cancel', engine.cancel, 'j', cell.bench.now)
    assert cell.lines.most <= MAX_LINES, cell.lines.dearest
