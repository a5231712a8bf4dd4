"""Check that tasks which crash endpoints are given up, and no others."""

import pytest

from hibiscusslip.dispatch import crashes
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state
from tests.dispatch import crashing_cell
from tests.dispatch import support

# The users' rule: after the third crash two more starts may follow.
MAX_STARTS = 5

KINDS = {
    'one of many': [support.step(4)],
    'gang': [support.step(3, cpu=6000, gang=True)],
    'lasting': [support.step(2, long_running=True)],
    'fills': [support.step(2, fills=True)],
    'checkpoints': [support.step(2, checkpoints=True)],
    'speculative': [support.step(2, speculative=True)],
    'spread': [support.step(4, spread=1)],
    'large': [support.step(2, cpu=8000)],
}


def check_given_up(cell, job_id='j', task='j.0.0.0'):
    assert cell.state(job_id) is model.JobState.FAILED
    assert len(cell.runs_of(task)) <= MAX_STARTS


@pytest.mark.parametrize('kind', KINDS)
def test_task_that_crashes_its_endpoints_is_started_without_end(kind):
    cell = crashing_cell.Cell(deadly=['j.0.0.0'])
    cell.submit('j', *KINDS[kind])
    cell.run(40)
    check_given_up(cell)


def test_crashing_task_of_a_later_step_is_started_without_end():
    cell = crashing_cell.Cell(deadly=['j.0.1.0'])
    cell.submit('j', support.step(2), support.step(2, after=(0,)))
    cell.run(40)
    check_given_up(cell, task='j.0.1.0')


def test_crashing_task_of_a_later_occurrence_is_started_without_end():
    cell = crashing_cell.Cell(deadly=['j.1.0.0'])
    first_due = support.WALL_TIME - 1.0
    cell.submit(
        'j', support.step(2), times=2, first_due=first_due, interval=0.5
    )
    cell.run(40)
    check_given_up(cell, task='j.1.0.0')


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('owner_lives_s', [1.0, 2.5, 7.0])
def test_crashes_are_forgotten_when_the_owner_is_lost(kind, owner_lives_s):
    cell = crashing_cell.Cell(deadly=['j.0.0.0'], owner_lives_s=owner_lives_s)
    cell.submit('j', *KINDS[kind])
    cell.run(60)
    check_given_up(cell)


@pytest.mark.parametrize('kind', KINDS)
def test_crashes_under_unconfirmed_starts_arent_counted(kind):
    cell = crashing_cell.Cell(deadly=['j.0.0.0'], answers=False)
    cell.submit('j', *KINDS[kind])
    cell.run(90)
    check_given_up(cell)


@pytest.mark.parametrize('owner_lives_s', [None, 2.5])
def test_crashes_of_endpoints_that_keep_their_id_arent_counted(owner_lives_s):
    cell = crashing_cell.Cell(
        deadly=['j.0.0.0'], new_ids=False, owner_lives_s=owner_lives_s
    )
    cell.submit('j', support.step(2))
    cell.run(60)
    check_given_up(cell)


def test_crashes_known_only_after_the_lease_arent_counted():
    cell = crashing_cell.Cell(machines=12, deadly=['j.0.0.0'], down_s=9.0)
    cell.submit('j', support.step(2))
    cell.run(90)
    check_given_up(cell)


def test_crashing_task_is_started_without_end_in_a_busy_cell():
    cell = crashing_cell.Cell(deadly=['j.0.0.0'])
    cell.submit('j', support.step(2))
    for number in range(600):
        if number % 4 == 0:
            cell.submit(f'k{number}', support.step(4))
        cell.run(0.1)
    check_given_up(cell)


def check_completed(cell, job_ids):
    left = [
        name
        for name in job_ids
        if cell.state(name) is not model.JobState.COMPLETED
    ]
    assert not left


@pytest.mark.parametrize('owner_lives_s', [None, 3.0])
@pytest.mark.parametrize('answers', [True, False])
def test_neighbours_of_crashing_tasks_are_given_up(owner_lives_s, answers):
    deadly = [f'd{number}.0.0.0' for number in range(20)]
    cell = crashing_cell.Cell(
        machines=12,
        deadly=deadly,
        owner_lives_s=owner_lives_s,
        answers=answers,
        run_s=1.5,
    )
    innocent = []
    for number in range(120):
        innocent.append(f'k{number}')
        cell.submit(innocent[-1], support.step(3))
        if number % 6 == 0:
            cell.submit(f'd{number // 6}', support.step(3))
        cell.run(0.15)
    cell.run(120)
    check_completed(cell, innocent)
    for task in deadly:
        check_given_up(cell, task.partition('.')[0], task)


def test_lasting_neighbours_of_crashing_tasks_are_given_up():
    deadly = [f'd{number}.0.0.0' for number in range(20)]
    cell = crashing_cell.Cell(machines=4, deadly=deadly)
    for number in range(4):
        cell.submit(f'k{number}', support.step(2, long_running=True))
    cell.run(1.0)
    for number in range(20):
        cell.submit(f'd{number}', support.step(2))
        cell.run(2.0)
    cell.run(30)
    states = {cell.state(f'k{number}') for number in range(4)}
    assert model.JobState.FAILED not in states
    assert all(cell.active_tasks(f'k{number}') == 2 for number in range(4))


@pytest.mark.parametrize('pause_s', [1.5, 4.0])
@pytest.mark.parametrize('kind', ['one of many', 'gang', 'lasting'])
@pytest.mark.parametrize('answers', [True, False])
def test_tasks_in_zones_that_lose_power_are_given_up(pause_s, kind, answers):
    cell = crashing_cell.Cell(machines=12, answers=answers, run_s=3.0)
    names = [f'k{number}' for number in range(6)]
    for name in names:
        cell.submit(name, *KINDS[kind])
    for turn in range(24):
        cell.run(pause_s)
        cell.crash_zone(f'z{turn % 3}')
    cell.run(60)
    assert model.JobState.FAILED not in {cell.state(name) for name in names}


@pytest.mark.parametrize('new_ids', [True, False])
def test_tasks_of_endpoints_that_leave_as_planned_are_given_up(new_ids):
    cell = crashing_cell.Cell(machines=3, new_ids=new_ids, run_s=2.0)
    cell.submit('k', support.step(1))
    for _ in range(12):
        cell.run(0.2)
        for machine in cell.machines:
            if machine.running:
                cell.leave(machine)
    cell.run(30)
    assert cell.state('k') is model.JobState.COMPLETED


@pytest.mark.parametrize('kind', ['one of many', 'gang'])
def test_tasks_on_one_machine_that_crashes_are_given_up(kind):
    cell = crashing_cell.Cell(machines=8)
    faulty = cell.machines[0]
    names = []
    for number in range(80):
        names.append(f'k{number}')
        cell.submit(names[-1], *KINDS[kind])
        cell.run(0.5)
        if faulty.crashed_at is None:
            cell.crash(faulty)
    cell.run(30)
    check_completed(cell, names)


def test_neighbour_of_a_task_on_trial_waits_beyond_its_lease():
    bench = support.Bench()
    endpoint = bench.endpoint('e1')
    bench.submit('k', support.step())
    bench.confirm(bench.plan())
    (suspect,) = bench.submit('j', support.step()).occurrences[0][0].tasks
    suspect.crashes = state.Crashes(total=1)
    bench.now += 1.0
    bench.confirm(bench.plan())
    assert len(endpoint.allocations) == 2
    bench.engine.mark_unresponsive('e1')
    bench.now += 10.0
    bench.plan()
    assert [task for task, _ in endpoint.allocations] == ['j.0.0.0']
    bench.now += crashes.TRIAL_HOLD_S
    bench.plan()
    assert not endpoint.allocations


def test_task_that_was_seen_at_work_waits_for_its_lease_only():
    """Seen in review/15: it was down for 10 s more beside idle endpoints.

    Its endpoints had crashed twice when it had been at work for 4 s.
    """
    bench = support.Bench()
    endpoint = bench.endpoint('e1')
    job = bench.submit('j', support.step(long_running=True))
    (suspect,) = job.occurrences[0][0].tasks
    suspect.crashes = state.Crashes(total=2, sole=2, confirmed=2)
    (start,) = bench.plan()
    bench.confirm([start])
    bench.now += 4.0
    bench.report('e1', [bench.running_run(start)])
    endpoint.leased_until = endpoint.clock_now(bench.now) + 5.9
    bench.endpoint('e2')
    bench.engine.mark_unresponsive('e1')
    bench.now = endpoint.leases_end() - 0.1
    assert not bench.plan()
    bench.now += 0.2
    (again,) = bench.plan()
    assert again.endpoint == 'e2'


def test_task_done_on_an_unseen_incarnation_is_started_again():
    """The poll after the lost one must not acknowledge by old numbers."""
    cell = crashing_cell.Cell(machines=1, zones=1, run_s=0.3)
    cell.submit('before', support.step(3))
    cell.run(1.0)
    cell.restart_unseen(cell.machines[0])
    cell.submit('j', support.step(1))
    cell.run(4.0)
    assert cell.state('j') is model.JobState.COMPLETED
    assert cell.runs_of('j.0.0.0') == [1]
    assert not cell.twice
