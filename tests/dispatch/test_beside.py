"""Check what happens to work beside other work and on leaving endpoints."""

from hibiscusslip.dispatch import model
from tests.dispatch import support


def row(start, usage, percent=100):
    return model.RunningRun(start.task.name, start.run, '', percent, usage)


class Beside:
    """Hold one endpoint with a task that serves and one that fills."""

    def __init__(self):
        self.bench = bench = support.Bench()
        bench.endpoint('e1')
        bench.submit(
            's', support.step(long_running=True, tail_latency_target=0.1)
        )
        bench.submit('f', support.step(fills=True, estimate=60.0))
        starts = {s.task.step.job.job_id: s for s in bench.plan()}
        bench.confirm(starts.values())
        self.serving, self.filling = starts['s'], starts['f']
        self.percent = 0

    def tail(self, milliseconds, after=0.1):
        """Tell a tail and return the speed that the filling run is given."""
        self.bench.now += after
        self.percent += 1
        self.bench.report(
            'e1',
            running=[
                row(self.serving, milliseconds),
                row(self.filling, 1.0, self.percent),
            ],
        )
        self.bench.plan()
        paces, self.bench.engine.paces = self.bench.engine.paces, []
        return [(pace.task, pace.percent) for pace in paces]


def test_what_fills_stands_still_while_what_serves_is_near_its_target():
    beside = Beside()
    assert beside.tail(50) == []
    assert beside.tail(95) == [('f.0.0.0', 0)]
    assert beside.tail(140) == []


def test_it_works_again_step_by_step_after_a_calm_while():
    beside = Beside()
    beside.tail(95)
    assert beside.tail(40, after=1.0) == []
    assert beside.tail(40, after=1.5) == [('f.0.0.0', 50)]
    assert beside.tail(40, after=1.0) == []
    assert beside.tail(40, after=1.5) == [('f.0.0.0', 100)]


def test_it_stays_still_while_the_tail_is_not_calm():
    beside = Beside()
    beside.tail(95)
    assert beside.tail(80, after=10.0) == []


def test_run_that_is_held_back_doesnt_count_as_standing_still():
    beside = Beside()
    beside.tail(95)
    for _ in range(30):
        beside.bench.now += 1.0
        beside.bench.report(
            'e1',
            running=[row(beside.serving, 95), row(beside.filling, 0.0, 1)],
        )
        beside.bench.plan()
    assert beside.bench.stops() == []


def test_serving_and_filling_tasks_are_kept_apart():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.endpoint('e2')
    bench.submit('s', support.step(long_running=True, tail_latency_target=0.1))
    (serving,) = bench.plan()
    bench.submit('f', support.step(fills=True))
    (filling,) = bench.plan()
    assert serving.endpoint != filling.endpoint


def leaving(step):
    bench = support.Bench()
    bench.endpoint('e1')
    bench.submit('j', step)
    (start,) = bench.plan()
    bench.confirm([start])
    bench.engine.register_endpoint(
        support.entry('e1', draining=True, seq=2), bench.now
    )
    bench.plan()
    return bench, start


def test_task_that_lasts_moves_off_a_leaving_endpoint():
    bench, start = leaving(support.step(long_running=True))
    assert [stop.task for stop in bench.stops()] == [start.task.name]
    bench.end(start, 'stopped')
    bench.endpoint('e2')
    assert [s.endpoint for s in bench.plan()] == ['e2']


def test_long_checkpointing_task_moves_and_keeps_its_work():
    bench, start = leaving(support.step(checkpoints=True, estimate=9.0))
    assert len(bench.stops()) == 1
    bench.end(start, 'stopped', checkpoint='c3')
    bench.endpoint('e2')
    assert [s.checkpoint for s in bench.plan()] == ['c3']


def test_task_that_ends_in_time_or_would_lose_its_work_stays():
    for step in (
        support.step(checkpoints=True, estimate=1.0),
        support.step(estimate=9.0),
    ):
        bench, _ = leaving(step)
        assert bench.stops() == []
