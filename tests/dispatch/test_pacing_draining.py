"""Check the pace of best-effort runs and the draining of endpoints."""

from hibiscusslip.dispatch import model
from tests.dispatch import support


def running_run(start, usage, percent=100):
    return model.RunningRun(start.task.name, start.run, '', percent, usage)


class MixedEndpoint:
    """An endpoint with a latency-sensitive and a best-effort run."""

    def __init__(self):
        self.bench = bench = support.Bench()
        bench.endpoint('e1')
        bench.submit(
            's', support.step(long_running=True, tail_latency_target=0.1)
        )
        bench.submit('f', support.step(fills=True, estimate=60.0))
        starts = {s.task.step.job.job_id: s for s in bench.plan()}
        bench.confirm(starts.values())
        self.sensitive, self.best_effort = starts['s'], starts['f']
        self.percent = 0

    def report_tail(self, milliseconds, after=0.1):
        """Report a tail latency and return the commands to change the pace."""
        self.bench.now += after
        self.percent += 1
        self.bench.report(
            'e1',
            running=[
                running_run(self.sensitive, milliseconds),
                running_run(self.best_effort, 1.0, self.percent),
            ],
        )
        self.bench.plan()
        paces, self.bench.engine.paces = self.bench.engine.paces, []
        return [(pace.task, pace.percent) for pace in paces]


def test_best_effort_run_is_paused_while_tail_latency_is_near_its_target():
    mixed = MixedEndpoint()
    assert mixed.report_tail(50) == []
    assert mixed.report_tail(95) == [('f.0.0.0', 0)]
    assert mixed.report_tail(140) == []


def test_run_is_paused_although_another_best_effort_run_has_ended():
    """Fails if the end of one run hides the others of its endpoint."""
    mixed = MixedEndpoint()
    mixed.bench.submit('g', support.step(fills=True, estimate=60.0))
    (other,) = mixed.bench.plan()
    endpoint = mixed.bench.engine.endpoints['e1']
    assert endpoint.best_effort_count == 2
    endpoint.release(other.task.name, other.run)
    endpoint.release(other.task.name, other.run)
    assert endpoint.best_effort_count == 1
    assert mixed.report_tail(95) == [('f.0.0.0', 0)]


def test_paused_run_resumes_in_two_steps_after_cooldowns():
    mixed = MixedEndpoint()
    mixed.report_tail(95)
    assert mixed.report_tail(40, after=1.0) == []
    assert mixed.report_tail(40, after=1.5) == [('f.0.0.0', 50)]
    assert mixed.report_tail(40, after=1.0) == []
    assert mixed.report_tail(40, after=1.5) == [('f.0.0.0', 100)]


def test_paused_run_stays_paused_above_the_resume_ratio():
    mixed = MixedEndpoint()
    mixed.report_tail(95)
    assert mixed.report_tail(80, after=10.0) == []


def test_paused_run_doesnt_count_as_stalled():
    mixed = MixedEndpoint()
    mixed.report_tail(95)
    for _ in range(30):
        mixed.bench.now += 1.0
        mixed.bench.report(
            'e1',
            running=[
                running_run(mixed.sensitive, 95),
                running_run(mixed.best_effort, 0.0, 1),
            ],
        )
        mixed.bench.plan()
    assert mixed.bench.stops() == []


def test_latency_sensitive_and_best_effort_tasks_are_kept_apart():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.endpoint('e2')
    bench.submit('s', support.step(long_running=True, tail_latency_target=0.1))
    (sensitive,) = bench.plan()
    bench.submit('f', support.step(fills=True))
    (best_effort,) = bench.plan()
    assert sensitive.endpoint != best_effort.endpoint


def run_on_draining_endpoint(step):
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


def test_long_running_task_moves_off_a_draining_endpoint():
    bench, start = run_on_draining_endpoint(support.step(long_running=True))
    assert [stop.task for stop in bench.stops()] == [start.task.name]
    bench.end(start, 'stopped')
    bench.endpoint('e2')
    assert [s.endpoint for s in bench.plan()] == ['e2']


def test_long_checkpointing_task_moves_and_keeps_its_checkpoint():
    bench, start = run_on_draining_endpoint(
        support.step(checkpoints=True, estimate=9.0)
    )
    assert len(bench.stops()) == 1
    bench.end(start, 'stopped', checkpoint='c3')
    bench.endpoint('e2')
    assert [s.checkpoint for s in bench.plan()] == ['c3']


def test_task_that_completes_in_time_or_would_lose_work_stays():
    for step in (
        support.step(checkpoints=True, estimate=1.0),
        support.step(estimate=9.0),
    ):
        bench, _ = run_on_draining_endpoint(step)
        assert bench.stops() == []
