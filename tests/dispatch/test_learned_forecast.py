"""Check that predicted waits follow learned run times.

Long tasks without checkpoints, which declare half of their run time, hold
more than half of a pool. A more urgent queue, whose jobs declare a quarter too
much, has a burst of ten seconds. All jobs could be served in time.
"""

import dataclasses
import functools
import math

import pytest

from hibiscusslip.bench import dispatch_loads
from hibiscusslip.bench import organisations
from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import occupancy
from hibiscusslip.dispatch import policy as policies
from hibiscusslip.dispatch import run_times
from tests.dispatch import support

TAIL = {'tail_rate': 0.03, 'tail_factor': 7.0}
LOAD = dispatch_loads.Load(
    (
        dispatch_loads.Kind(
            'batch', 'm', 0.8, 1, 16, 18.0, 2, 4.0, declared=(0.25, 1), **TAIL
        ),
        dispatch_loads.Kind(
            'solve', 'm', 4.0, 2, 4, 2.0, 1, 3.0, declared=(0.5, 2), **TAIL
        ),
    ),
    (dispatch_loads.Pool('m', 12, 32),),
)
BURST = (dispatch_loads.Burst('solve', 8.0, 40.0, 50.0),)
LEARNED = policies.Policy(learned_run_times=True, urgent_preemption=True)


class Replay(organisations.OrganisationReplay):
    """Record the predicted and the actual wait of each urgent job."""

    def __init__(self, seed):
        super().__init__(seed, LOAD, 4, BURST, policy=LEARNED)
        self.predicted, self.waits = {}, []
        config = self._engine.config
        generous = {  # so that only capacity is a reason to reject
            name: dataclasses.replace(item, weight=10 * item.weight)
            for name, item in config.organisations.items()
        }
        self._engine.config = dataclasses.replace(
            config, organisations=generous
        )

    def _accept(self, job_id, kind, *args):
        predictions = self._engine.shares.forecast.predictions
        if kind.name == 'solve' and kind.name in predictions:
            self.predicted[job_id] = predictions[kind.name].within
        super()._accept(job_id, kind, *args)

    def _count_start(self, job):
        predicted = self.predicted.pop(job.job_id, None)
        if predicted is not None:
            self.waits.append((predicted, self._now - job.submitted_at))
        super()._count_start(job)


@functools.cache
def replay(name, function):
    """Return replays in which a function is replaced by the former one."""
    with pytest.MonkeyPatch.context() as patch:
        if function is not None:
            owner = estimates.Estimates if name == 'work_time' else occupancy
            patch.setattr(owner, name, function)
            if name == 'work_time':  # hosts knew declared times only, too
                patch.setattr(owner, 'reported_ratios', lambda s: {})
        runs = [Replay(seed) for seed in (1, 2, 3)]
        reports = [run.run(60.0) for run in runs]
    return runs, reports


def replays(name, function):
    return replay(name, function), replay('', None)


def test_predictions_count_what_running_tasks_hold():
    """Predicted waits were too short by the time until they end."""
    errors = []
    for runs, _ in replays('find_releases', lambda *args: []):
        waits = [pair for run in runs for pair in run.waits if max(pair) > 1]
        errors.append(sum(p - actual for p, actual in waits) / len(waits))
    assert errors[0] < -1.5 and abs(errors[1]) < 1.0


def test_jobs_that_can_be_served_arent_rejected_for_declared_work():
    """The work that goes first was counted by what it declares."""
    rejected, on_time = [], []
    for runs, reports in replays(
        'work_time', lambda s, job, spec: spec.estimate
    ):
        rejected.append(sum(sum(run.rejected.values()) for run in runs))
        on_time.append(sum(r.kinds['batch'].on_time for r in reports))
    assert rejected[0] > 5 and rejected[1] == 0
    assert on_time[1] > on_time[0] + 5


def test_sample_of_a_large_pool_stands_for_all():
    """The cost of a forecast doesn't grow with the number of endpoints."""
    bench = support.Bench(support.queue(), policy=LEARNED)
    count = 3 * occupancy.MAX_SAMPLED_ENDPOINTS
    pool = [bench.endpoint(f'e{n}', cpu=1000) for n in range(count)]
    bench.submit('services', support.step(count, long_running=True))
    bench.plan()
    looked_at = []
    releases = occupancy.find_releases(
        pool,
        lambda job: looked_at.append(job) or 0,
        bench.engine.estimates,
        bench.now,
    )
    assert len(looked_at) == occupancy.MAX_SAMPLED_ENDPOINTS
    assert releases == [occupancy.Release(math.inf, (count, 0.0), 0, False)]


def test_sample_of_a_mixed_pool_doesnt_depend_on_its_order():
    """Guards against a sample with only the large endpoints, every third."""
    bench = support.Bench(support.queue(), policy=LEARNED)
    count = occupancy.MAX_SAMPLED_ENDPOINTS
    pool = [
        bench.endpoint(f'e{n}', cpu=1000 if n % 3 else 8000)
        for n in range(3 * count)
    ]
    bench.submit('services', support.step(count, cpu=8000, long_running=True))
    bench.plan()
    held = [
        occupancy.find_releases(
            order, lambda job: 0, bench.engine.estimates, bench.now
        )
        for order in (pool, pool[::-1])
    ]
    assert held[0] == held[1]
    ((release,), _) = held
    assert release.amounts[0] == pytest.approx(8 * count, rel=0.1)


@pytest.mark.parametrize('preempts', [False, True])
def test_new_job_waits_for_runs_that_arent_preempted_for_it(preempts):
    """Guards against too short predictions where preemption is off."""
    policy = policies.Policy(
        learned_run_times=True, urgent_preemption=preempts
    )
    bench = support.Bench(support.queue('patient'), policy=policy)
    work = run_times.Work('patient', '', '', 5.0)
    for number in range(60):
        bench.engine.estimates.run_times.learn(work, 9.0, str(number), 0.0)
    endpoint = bench.endpoint('e1')
    step = support.step(estimate=5.0, checkpoints=True)
    bench.submit('j', step, queue='patient')
    bench.confirm(bench.plan())
    (release,) = occupancy.find_releases(
        [endpoint], lambda job: 2, bench.engine.estimates, bench.now
    )
    assert release.blocks(beyond=False, priority=0) is not preempts


def test_run_whose_end_is_hardly_known_holds_nothing():
    """A new owner knows declared times only, and rejects nobody for them."""
    bench = support.Bench(support.queue(), policy=LEARNED)
    endpoint = bench.endpoint('e1', cpu=1000)
    bench.submit('j', support.step(estimate=60.0))
    bench.confirm(bench.plan())
    assert not occupancy.find_releases(
        [endpoint], lambda job: 0, bench.engine.estimates, bench.now
    )
