"""Check that a job with thousands of due occurrences stays cheap."""

import itertools

from hibiscusslip.dispatch import _occurrences
from hibiscusslip.dispatch import model
from tests.dispatch import costs
from tests.dispatch import support
from tests.dispatch import test_bounded_pieces

TIMES = 10_000


def submit(bench, *steps, times=TIMES):
    return bench.submit(
        'j', *steps, times=times, first_due=0.0, interval=0.001
    )


def test_job_whose_times_are_all_past_holds_no_owner():
    """Guards against owners that miss their heartbeats, as in review/8."""
    bench = support.Bench()
    bench.endpoint('e1', cpu=32_000, memory=32_000)
    lines = costs.LineCounter()
    lines.measure('submit', submit, bench, support.step(cpu=100, memory=1))
    for _ in range(2):
        now, wall_time = bench.now, support.WALL_TIME
        lines.measure('pass', bench.engine.plan, now, wall_time)
    assert lines.most <= test_bounded_pieces.MAX_LINES, lines.dearest


def test_due_occurrences_are_created_over_several_passes():
    bench = support.Bench()
    job = submit(bench, support.step(10))
    created = [job.created]
    while len(created) < 2 or created[-1] > created[-2]:
        bench.plan()
        created.append(job.created)
    per_pass = _occurrences.MAX_CREATED_TASKS // 10
    steps = [b - a for a, b in itertools.pairwise(created)]
    assert max(steps) == per_pass
    assert job.open_tasks == _occurrences.MAX_OPEN_TASKS


def test_jobs_take_turns_when_their_occurrences_are_created():
    bench = support.Bench()
    first = submit(bench, support.step(1000))
    spec = model.JobSpec('p', (support.step(),), 5, 0.0, 0.001)
    second = bench.submit('k', *spec.steps, times=5, first_due=1e9)
    second.spec = spec  # its occurrences become due now
    for _ in range(3):
        bench.plan()
    assert first.created > 2 and second.created == 5


def test_completed_occurrences_take_no_memory():
    """Guards against a host that runs out of memory over time."""
    bench = support.Bench()
    bench.endpoint('e1', cpu=10**6, memory=10**6)
    job = submit(bench, support.step(), support.step(after=(0,)), times=30)
    for _ in range(2):
        assert len(job.occurrences) == 30 and not job.state.final
        for start in bench.plan():
            bench.end(start)
    assert job.state is model.JobState.COMPLETED
    assert not job.occurrences and not job.open_tasks
    assert not bench.engine.active_steps


def test_run_of_a_completed_occurrence_counts_until_it_has_stopped():
    """Guards against starts beside a run that was carried out late."""
    bench = support.Bench()
    endpoint = bench.endpoint('e1', cpu=1000)
    submit(bench, support.step(), times=2)
    (start,) = bench.plan()
    bench.end(start)
    late = model.RunningRun(start.task.name, start.run, '', 0, 0.0)
    bench.report('e1', [late], [])
    assert endpoint.free_capacity().cpu == 0
    assert bench.plan() == []
    (stop,) = bench.stops()
    assert (stop.task, stop.run) == (start.task.name, start.run)


def test_members_of_a_gang_are_stopped_once():
    """Guards against as many stops as the square of a large gang."""
    bench = support.Bench()
    bench.endpoint('e1', cpu=50_000, memory=50_000)
    bench.submit('j', support.step(50, gang=True))
    starts = bench.plan()
    for start in starts[:20]:
        bench.engine.revert_start(start, 'too old to send', bench.now)
    assert len(bench.stops()) <= 50


def test_job_of_many_tasks_leaves_starts_to_others():
    """Guards against jobs that wait beside free capacity (review/8).

    Fewer starts may be decided than the first job wants, which goes first.
    """
    bench = support.Bench()
    bench.endpoint('e1', cpu=10**6, memory=10**6)
    submit(bench, support.step(cpu=10, memory=1), times=1000)
    bench.submit('wide', support.step(1000, cpu=10, memory=1))
    bench.now += 0.1
    bench.submit('late', support.step(2))
    for left in (20, 8, 8):
        bench.engine.starts_left = left
        starts = bench.plan()
        assert len(starts) <= left
        if any(start.task.step.job.job_id == 'late' for start in starts):
            return
    raise AssertionError('the last job got no start')
