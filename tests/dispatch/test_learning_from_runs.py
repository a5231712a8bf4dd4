"""Check what is learned of runs as endpoints report them."""

import random

import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy as policies
from tests.dispatch import support

BOTH = policies.Policy(learned_run_times=True, endpoint_speeds=True)


class Cell:
    """Endpoints of known speeds that run one task at a time each."""

    def __init__(self, factors, policy=BOTH):
        self.bench = support.Bench(
            support.queue(stretch=100.0, max_attempts=9), policy=policy
        )
        self.factors = factors
        self.rng = random.Random(1)
        self.jobs = 0
        for name in factors:
            self.bench.endpoint(name, cpu=1000)

    @property
    def estimates(self):
        return self.bench.engine.estimates

    def submit(self, **fields):
        self.jobs += 1
        return self.bench.submit(f'j{self.jobs}', support.step(**fields))

    def run(self, rounds, length=1.0, **fields):
        """Run a task on each endpoint, `rounds` times in turn."""
        bench = self.bench
        for _ in range(rounds):
            for _ in self.factors:
                self.submit(**fields)
            starts = bench.plan()
            bench.confirm(starts)
            began = bench.now
            durations = [
                (self.duration(start.endpoint, length), start.run, start)
                for start in starts
            ]
            for duration, _, start in sorted(
                durations, key=lambda row: row[0]
            ):
                bench.now = began + duration
                bench.end(start)

    def duration(self, endpoint, length):
        return length * self.rng.uniform(0.8, 1.2) / self.factors[endpoint]

    def expect(self, **fields):
        return self.estimates.expect(self.submit(**fields).steps()[0])


def test_time_of_slow_endpoints_isnt_taken_for_the_length_of_the_work():
    """Two of five endpoints take three times as long."""
    cell = Cell({'a': 1.0, 'b': 1.0, 'c': 1.0, 'd': 0.34, 'e': 0.34})
    cell.run(60, length=2.0)
    assert 1.8 < cell.expect().median < 2.4
    slow = cell.estimates.speed_of(cell.bench.engine.endpoints['d'])
    assert slow.factor < 0.5


def test_false_ends_change_neither_the_length_nor_the_speed():
    """One endpoint reports its tasks as done at once, so it runs the most."""
    cell = Cell({'a': 1.0, 'b': 1.0, 'c': 1.0, 'd': 1.0, 'e': 1.0})
    cell.run(10, length=2.0)
    false = cell.bench.endpoint('false', cpu=1000)
    cell.factors['false'] = 50.0
    cell.run(8, length=2.0)
    for _ in range(5):
        cell.submit()
    cell.bench.confirm(cell.bench.plan())  # keeps the others busy
    cell.factors = {'false': 50.0}
    cell.run(100, length=2.0)
    assert 1.5 < cell.expect().median < 2.5
    assert cell.estimates.speed_factor(false) == 1.0


def test_first_decisions_of_a_new_owner_are_those_of_declared_times():
    expected = Cell({'a': 1.0}).expect(estimate=3.0)
    assert (expected.median, expected.source) == (3.0, 'declared')


def test_resumed_run_isnt_learned_as_a_whole_one():
    cell = Cell({'a': 1.0})
    cell.submit(checkpoints=True)
    (start,) = cell.bench.plan()
    cell.bench.confirm([start])
    cell.bench.end(start, 'stopped', checkpoint='c1')
    before = cell.estimates.run_times.version
    (start,) = cell.bench.plan()
    cell.bench.confirm([start])
    cell.bench.now += 0.1
    cell.bench.end(start)
    assert cell.estimates.run_times.version == before


def test_task_that_saves_checkpoints_is_learned_if_it_wasnt_resumed():
    cell = Cell({'a': 1.0})
    cell.submit(checkpoints=True)
    (start,) = cell.bench.plan()
    cell.bench.confirm([start])
    cell.bench.now += 1.0
    run = model.RunningRun(start.task.name, start.run, 'c1', 50, 0.0)
    cell.bench.report('a', running=[run])
    cell.bench.end(start)
    assert len(cell.estimates.run_times) > 0


@pytest.mark.parametrize('how', ['failed', 'broken', 'lapsed', 'alone'])
def test_failed_and_broken_runs_arent_learned(how):
    cell = Cell({'a': 1.0})
    cell.submit()
    (start,) = cell.bench.plan()
    cell.bench.confirm([start])
    cell.bench.now += 5.0
    cell.bench.end(start, how)
    assert len(cell.estimates.run_times) == 0


def test_stopped_run_counts_as_at_least_its_duration():
    cell = Cell({'a': 1.0})
    cell.run(20)
    for _ in range(40):
        job = cell.submit()
        (start,) = cell.bench.plan()
        cell.bench.confirm([start])
        cell.bench.now += 4.0
        cell.bench.engine.cancel(job.job_id, cell.bench.now)
        cell.bench.end(start, 'stopped')
    assert cell.expect().median > 1.5


def test_throttled_run_isnt_learned():
    cell = Cell({'a': 1.0})
    cell.submit()
    (start,) = cell.bench.plan()
    cell.bench.confirm([start])
    endpoint = cell.bench.engine.endpoints['a']
    endpoint.allocations[start.task.name, start.run].measurable = False
    cell.bench.now += 9.0
    cell.bench.end(start)
    assert len(cell.estimates.run_times) == 0


def test_end_that_is_reported_late_isnt_learned():
    """The endpoint left a call unanswered, so the run may be over long ago."""
    cell = Cell({'a': 1.0})
    cell.submit()
    (start,) = cell.bench.plan()
    cell.bench.confirm([start])
    cell.bench.now += 1.0
    cell.bench.engine.handle_no_response('a', cell.bench.now, cell.bench.now)
    cell.bench.now += 8.0
    cell.bench.end(start)
    assert len(cell.estimates.run_times) == 0


def test_run_that_goes_on_lengthens_what_is_expected_before_it_ends():
    cell = Cell({name: 1.0 for name in 'abcdefgh'})
    cell.run(6)
    before = cell.expect().median
    for _ in cell.factors:
        cell.submit()
    starts = cell.bench.plan()
    cell.bench.confirm(starts)
    cell.bench.now += 5.0
    for start in starts:
        cell.bench.report(start.endpoint, [cell.bench.running_run(start)])
    assert cell.expect().median > before


def test_shift_of_expectations_is_logged():
    cell = Cell({'a': 1.0})
    cell.run(40, length=6.0)
    cell.bench.plan()
    groups = [row['group'] for row in cell.bench.events('run_times_shifted')]
    assert 'queue/small' in groups


def test_errors_of_learned_and_declared_times_are_measured_side_by_side():
    cell = Cell({'a': 1.0})
    cell.run(200, length=3.0)
    ratios = cell.estimates.run_time_ratios.summarise()
    errors = {item.estimate: item for item in ratios}
    assert 2.5 < errors['declared'].median < 3.5
    assert 0.8 < errors['learned'].median < 1.2
    assert errors['learned'].p90 < 2.0


def test_start_tells_the_expected_time_and_its_source():
    cell = Cell({'a': 1.0})
    cell.run(40, length=2.0)
    cell.submit()
    (start,) = cell.bench.plan()
    assert 1.5 < start.expected.median < 2.5
    assert start.expected.source == 'declared time'


def test_nothing_is_learned_by_default():
    cell = Cell({'a': 1.0}, policies.Policy())
    cell.run(20, length=3.0)
    assert len(cell.estimates.run_times) == len(cell.estimates.speeds) == 0
    cell.submit()
    (start,) = cell.bench.plan()
    assert start.expected is None


def test_expected_run_time_is_logged_when_a_step_begins_to_wait():
    """An operator of a waiting job can't learn it from a start."""
    for policy, count in (
        (policies.Policy(), 0),
        (policies.Policy(learned_run_times=True), 1),
    ):
        bench = support.Bench(policy=policy)
        bench.submit('j', support.step(estimate=3.0))
        for _ in range(2):
            bench.plan()
        events = bench.events('step_expected')
        assert len(events) == count
        for fields in events:
            assert fields['step'] == 'j.0.0'
            assert (fields['expected_ms'], fields['source']) == (
                3000,
                'declared',
            )
