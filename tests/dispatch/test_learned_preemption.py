"""Check which patient runs are stopped by learned run times.

The urgent queue has a burst at 1.9 times its rate, for which half of the
patient runs make way. A stop writes no checkpoint, and a task takes 0.6 s to
resume from the last one.
"""

import functools

import pytest

from hibiscusslip.bench import dispatch_loads
from hibiscusslip.bench import dispatching
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy as policies
from hibiscusslip.dispatch import preemption
from hibiscusslip.dispatch import run_times
from tests.dispatch import support
from tests.dispatch import test_preemption
from tests.dispatch import test_replay

BURST = (dispatch_loads.Burst('timetable', 1.9, 8.0, 11.0),)
RESTORE_S = 0.6
POLL_STEPS = 6
LEARNED = policies.Policy(learned_run_times=True, urgent_preemption=True)


class Replay(dispatching.Replay):
    """Replay runs that checkpoint once in `interval` seconds.

    `losses` has the seconds of work that each stop lost.
    """

    def __init__(self, interval, *args):
        self.interval = interval
        self.losses = []
        super().__init__(*args)

    def _step(self):
        super()._step()
        if len(self._report.pass_times) % POLL_STEPS == 0:
            for name in self._speeds:
                self._report_runs(name, ())

    def _report_runs(self, name, ended):
        rows = [
            model.RunningRun(
                *key, str(self._saved(run) or ''), run.percent(self._now), 0.0
            )
            for key, run in self._running[name].items()
        ]
        report = model.EndpointReport(1.0, self._now, tuple(rows), ended)
        self._engine.handle_report(name, report, self._now, self._now)

    def _saved(self, run):
        """Return how many seconds of a run its last checkpoint saves."""
        return (self._now - run.started) // self.interval * self.interval

    def _end_run(self, endpoint, task, run, outcome):
        ended = self._running[endpoint].get((task, run))
        super()._end_run(endpoint, task, run, outcome)
        if ended is not None and outcome is dispatching.STOPPED:
            saved = self._saved(ended)
            left = (ended.duration - saved + RESTORE_S) / ended.duration
            self._remaining[task] = left
            self.losses.append(self._now - ended.started - saved)


@functools.cache
def replay(interval, chooses):
    """Return the reports and losses; `chooses` is False for the former way."""
    reports, losses = [], []
    with pytest.MonkeyPatch.context() as patch:
        if not chooses:
            unknown = preemption.UNKNOWN
            patch.setattr(preemption, 'estimate_stop', lambda *args: unknown)
        for seed in test_preemption.SEEDS:
            run = Replay(interval, seed, test_replay.LOAD, BURST, LEARNED)
            reports.append((run.run(12.0), None))
            losses += run.losses
    return reports, losses


@pytest.mark.parametrize(('interval', 'share'), [(2.5, 0.8), (10.0, 0.5)])
def test_stops_lose_less_work_and_urgent_jobs_stay_on_time(interval, share):
    """Runs that had worked for long, or were about to end, were stopped."""
    (before, lost_before), (after, lost_after) = (
        replay(interval, chooses) for chooses in (False, True)
    )
    assert 0.0 < sum(lost_after) < share * sum(lost_before)
    assert len(lost_after) < 0.7 * len(lost_before)
    for kind, tolerance in (('timetable', 0.01), ('reflow', 0.0)):
        limit = test_preemption.on_time(before, kind) - tolerance
        assert test_preemption.on_time(after, kind) >= limit


def fill(known_runs):
    """Return an endpoint's cell, with two runs about to end and a new one."""
    bench = support.Bench(
        support.queue('urgent', priority=0, target_latency=2.0),
        support.queue('patient', priority=2, target_latency=60.0),
        policy=LEARNED,
    )
    work = run_times.Work('patient', '', '', 5.0)
    for number in range(known_runs):
        bench.engine.estimates.run_times.learn(work, 9.0, str(number), 0.0)
    bench.endpoint('e1', cpu=3000)
    (first, _) = start_patient(bench, 'old', 2)
    bench.now += bench.engine.estimates.run_time(first.task.step) - 0.5
    start_patient(bench, 'new', 1)
    bench.now += 0.3
    return bench


def start_patient(bench, job_id, count):
    step = support.step(count, estimate=5.0, checkpoints=True)
    bench.submit(job_id, step, queue='patient')
    starts = bench.plan()
    bench.confirm(starts)
    return starts


def stopped_jobs(bench, step):
    bench.submit('wanted', step, queue='urgent')
    bench.plan()
    return sorted(stop.task.partition('.')[0] for stop in bench.stops())


@pytest.mark.parametrize(
    'step',
    [support.step(3), support.step(cpu=3000, gang=True)],
    ids=['many', 'large'],
)
def test_run_that_is_about_to_end_isnt_stopped(step):
    """A stop would free its CPU no sooner, and the task would start again.

    The end isn't relied on if it derives from few runs.
    """
    assert stopped_jobs(fill(60), step) == ['new']
    assert stopped_jobs(fill(1), step) == ['new', 'old', 'old']


def test_run_with_the_newest_checkpoint_is_stopped_first():
    """Of runs alike, one that has worked unsaved would lose more."""
    bench = support.Bench(
        support.queue('urgent', priority=0, target_latency=2.0),
        support.queue('patient', priority=2, target_latency=60.0),
        policy=LEARNED,
    )
    bench.endpoint('e1', cpu=3000)
    starts = start_patient(bench, 'alike', 3)
    for elapsed, saved in ((1.0, ()), (2.0, (1,))):
        bench.now += 1.0
        rows = [
            model.RunningRun(
                start.task.name,
                start.run,
                'saved' if number in saved else '',
                int(elapsed * 20),
                0.0,
            )
            for number, start in enumerate(starts)
        ]
        bench.report('e1', running=rows)
    bench.submit('wanted', support.step(1), queue='urgent')
    bench.plan()
    (stop,) = bench.stops()
    assert stop.task == starts[1].task.name
    assert bench.events('run_preempted')[0]['loss_ms'] == 600
