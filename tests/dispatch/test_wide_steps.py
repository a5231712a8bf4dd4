"""Check objectives of steps that can't run all their tasks at a time.

The tasks of the replayed wide steps run in several waves: the limit of their
organisation is 40 of 128 cores, and a quarter of the pool is counted on.
Another organisation has more patient work than the pool can do.
"""

import dataclasses
import math

import pytest

from hibiscusslip.bench import dispatch_loads
from hibiscusslip.bench import organisations
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import ordering
from hibiscusslip.dispatch import parallelism
from tests.dispatch import support

LOAD = dispatch_loads.Load(
    (
        dispatch_loads.Kind('urgent', 'm', 1.0, 1, 1, 0.5, 0, 2.0),
        dispatch_loads.Kind('wide', 'm', 0.05, 80, 2, 1.5, 1, 1.5),
        dispatch_loads.Kind('patient', 'm', 16.0, 2, 2, 4.0, 2, 9.0),
    ),
    (dispatch_loads.Pool('m', 8, 16),),
)
SEEDS = (1, 2, 3, 4)


class Replay(organisations.OrganisationReplay):
    """Replay an organisation with wide steps beside one with patient work.

    A wide job is on time by the waves that it needs.
    """

    def __init__(self, seed, limit):
        super().__init__(seed, LOAD, 2)
        self.at_a_time = min(limit, 32) // 2
        config = self._engine.config
        changed = {
            name: model.Organisation(name, 99.0, model.Demand(cpu))
            for name, cpu in (('o0', 0), ('o1', limit * 1000))
        }
        self._engine.config = dataclasses.replace(
            config, organisations=changed
        )

    def _accept(self, job_id, kind, spec, organisation=''):
        name = 'o1' if kind.name == 'wide' else 'o0'
        super()._accept(job_id, kind, spec, name)
        if name == 'o1' and job_id in self._open_jobs:
            waves = math.ceil(spec.steps[0].count / self.at_a_time)
            allowed = kind.stretch * kind.run * waves + 0.25
            self._open_jobs[job_id] = (self._now, allowed)


def replay(limit, allows_waves):
    """Return the counts of both kinds of jobs."""
    with pytest.MonkeyPatch.context() as patch:
        if not allows_waves:
            owner = parallelism.Parallelism
            patch.setattr(owner, 'update', lambda *args: None)
        runs = [Replay(seed, limit) for seed in SEEDS]
        reports = [run.run(30.0) for run in runs]
    return {
        kind: tuple(
            sum(getattr(report.kinds[kind], name) for report in reports)
            for name in ('on_time', 'submitted')
        )
        for kind in ('urgent', 'wide', 'patient')
    }


def test_wide_steps_dont_starve_after_their_first_waves():
    """Counted as useless, they went after all patient work."""
    before, after = replay(40, False), replay(40, True)
    assert after['wide'][0] >= before['wide'][0] + 5
    assert after['urgent'] == before['urgent']
    served, total = after['patient']
    assert served >= before['patient'][0] - 0.01 * total


def make_bench(limit=0, organisations=True):
    """Return a cell whose pool has 40 cores."""
    bench = support.Bench(support.queue(stretch=1.5, target_latency=1.0))
    if organisations:
        item = model.Organisation('a', 9.0, model.Demand(limit * 1000))
        bench.engine.config = dataclasses.replace(
            bench.engine.config, organisations={'a': item}
        )
    for number in range(5):
        bench.endpoint(f'e{number}')
    return bench


def submit(bench, *steps):
    bench.plan()
    job = bench.submit('j', *steps)
    job.organisation = 'a' if bench.engine.config.organisations else ''
    return job


@pytest.mark.parametrize(
    ('limit', 'step', 'expected'),
    [
        (0, support.step(10, estimate=2.0), 2.0),
        (0, support.step(11, estimate=2.0), 4.0),
        (4, support.step(10, estimate=2.0), 6.0),
        (1, support.step(2, cpu=2000, estimate=2.0), 4.0),
        (4, support.step(10, estimate=2.0, gang=True), 2.0),
    ],
)
def test_critical_path_has_as_many_waves_as_are_needed(limit, step, expected):
    """A quarter of the pool runs 10 tasks of one core at a time."""
    bench = make_bench(limit)
    job = submit(bench, step, support.step(estimate=1.0, after=(0,)))
    assert bench.engine.estimates.critical_path(job) == expected + 1.0
    assert bench.engine.estimates.critical_path(job, 1) == 1.0


def test_waves_arent_considered_without_organisations():
    bench = make_bench(organisations=False)
    job = submit(bench, support.step(80, estimate=2.0))
    assert bench.engine.estimates.critical_path(job) == 2.0


def test_step_whose_waves_go_on_isnt_late():
    """Three of four waves are done after 6 s; the last takes 2 s of 7 left."""
    bench = make_bench()
    job = submit(bench, support.step(40, estimate=2.0))
    step = job.occurrences[0][0]
    step.done_count = 30
    estimates = bench.engine.estimates
    rank = ordering.rank(
        step,
        estimates.objective(job, bench.engine.queue_of(job)),
        estimates.critical_path(job, 0),
        0,
        bench.now + 6.0,
    )
    assert not rank.late and rank.slack == 5.0
