"""Check that no start exceeds a capacity that shrinks while work runs."""

import pytest

from hibiscusslip.dispatch import model
from tests.dispatch import crashing_cell
from tests.dispatch import support


def shrink(bench, name='e1', **capacity):
    seq = bench.engine.endpoints[name].entry.seq + 1
    bench.engine.register_endpoint(
        support.entry(name, seq=seq, **capacity), bench.now
    )


def start_four(bench):
    bench.endpoint('e1', cpu=4000, memory=4000, accelerators=4)
    bench.submit('j', support.step(4, memory=1000, accelerators=1))
    starts = bench.plan()
    bench.confirm(starts)
    assert len(starts) == 4
    return starts


def report_running(bench, starts, ended=()):
    running = [bench.running_run(start) for start in starts]
    bench.report('e1', running=running, ended=ended)


SHRUNK = [
    {'cpu': 2000, 'memory': 4000, 'accelerators': 4},
    {'cpu': 4000, 'memory': 2000, 'accelerators': 4},
    {'cpu': 4000, 'memory': 4000, 'accelerators': 2},
]


@pytest.mark.parametrize('capacity', SHRUNK)
@pytest.mark.parametrize('gang', [False, True])
def test_endpoint_that_has_shrunk_below_its_runs_gets_a_start(capacity, gang):
    bench = support.Bench()
    starts = start_four(bench)
    shrink(bench, **capacity)
    report_running(bench, starts)
    step = support.step(2, memory=1000, accelerators=1, gang=gang)
    bench.submit('k', step)
    assert bench.plan() == []
    for number, start in enumerate(starts[:2], 1):
        ended = model.EndedRun(
            number, start.task.name, 1, model.RunOutcome.DONE, ''
        )
        report_running(bench, starts[number:], [ended])
        assert bench.plan() == []
    shrink(bench, cpu=4000, memory=4000, accelerators=4)
    assert len(bench.plan()) == 2


@pytest.mark.parametrize('capacity', SHRUNK)
def test_run_that_is_being_stopped_leaves_room_for_a_start(capacity):
    bench = support.Bench()
    starts = start_four(bench)
    shrink(bench, **capacity)
    bench.submit('k', support.step(2, memory=1000, accelerators=1))
    bench.engine.cancel('j', bench.now)
    assert len(bench.stops()) == 4
    report_running(bench, starts)
    assert bench.plan() == []
    ended = [
        model.EndedRun(
            number, start.task.name, 1, model.RunOutcome.STOPPED, ''
        )
        for number, start in enumerate(starts, 1)
    ]
    bench.report('e1', ended=ended)
    assert len(bench.plan()) == 2


def test_large_step_is_started_by_preemption_on_a_shrunk_endpoint():
    urgent = support.queue('urgent', priority=0)
    bench = support.Bench(support.queue(priority=5), urgent)
    bench.endpoint('e1', cpu=8000)
    bench.submit('j', support.step(4, cpu=2000, checkpoints=True))
    bench.confirm(bench.plan())
    shrink(bench, cpu=4000)
    bench.submit('k', support.step(cpu=6000), queue='urgent')
    assert bench.plan() == []
    assert bench.stops() == []


@pytest.mark.parametrize('capacity', SHRUNK)
def test_start_decided_before_an_endpoint_shrank_is_sent(capacity):
    bench = support.Bench()
    bench.endpoint('e1', cpu=4000, memory=4000, accelerators=4)
    bench.submit('j', support.step(4, memory=1000, accelerators=1))
    bench.engine.plan(bench.now, support.WALL_TIME)
    starts = bench.commit()
    assert all(bench.engine.still_fits(start) for start in starts)
    shrink(bench, **capacity)
    fitting = []
    for start in starts:
        if bench.engine.still_fits(start):
            fitting.append(start)
        else:
            bench.engine.revert_start(start, 'room', bench.now)
    assert len(fitting) == 2


def test_new_owner_starts_by_the_capacity_before_it_shrank():
    cell = crashing_cell.Cell(machines=1, owner_lives_s=2.0, run_s=30.0)
    cell.submit('j', support.step(2, cpu=4000))
    cell.run(1.0)
    cell.machines[0].capacity = 4000
    cell.run(4.0)
    cell.submit('k', support.step(1, cpu=1000))
    cell.run(4.0)
    assert cell.active_tasks('j') == 2
    assert cell.active_tasks('k') == 0
