"""Check that runs count until it is certain that they have ended."""

from hibiscusslip.dispatch import model
from tests.dispatch import limited_cell
from tests.dispatch import support

LIMIT = model.Demand(2000)
ALL_ARRIVES = 0.5
ANSWERS_LOST = 0.8  # and stops are lost
REQUESTS_LOST = 0.95
STARTS_DELAYED = 0.1


class Network:
    """Draw the same number each time, for what happens to messages."""

    def __init__(self, draw):
        self.draw = draw

    def random(self):
        return self.draw

    def uniform(self, low, high):
        return 4.0


def make_cell(draw=ALL_ARRIVES, **fields):
    fields.setdefault('run_s', 60.0)
    fields.setdefault('machines', 2)
    return limited_cell.Cell(Network(draw), LIMIT, **fields)


def usage(cell):
    return cell.engine.ledger.usage_of('a').demand


def check(cell):
    assert not cell.exceeded
    assert not cell.uncounted


def test_stop_is_unanswered_while_at_the_limit():
    cell = make_cell()
    cell.submit('j1', support.step(2))
    cell.run(0.5)
    cell.rng.draw = ANSWERS_LOST
    cell.cancel('j1')
    cell.submit('j2', support.step(2))
    cell.run(3.0)
    assert cell.active_tasks('j1') == 2
    assert cell.active_tasks('j2') == 0
    cell.rng.draw = ALL_ARRIVES
    cell.run(1.0)
    assert cell.active_tasks('j2') == 2
    check(cell)


def test_owner_is_lost_between_the_check_and_the_start():
    for moment in ('decided', 'written', 'sending'):
        cell = make_cell()
        cell.submit('j1', support.step(2))
        cell.submit('j2', support.step(2))
        cell.lose_next = moment
        cell.run(0.05)
        cell.run(1.0)
        assert cell.active_tasks('j1') == 2, moment
        assert cell.active_tasks('j2') == 0
        check(cell)


def test_cancelled_runs_count_after_the_loss_of_the_owner():
    cell = make_cell()
    cell.submit('j1', support.step(2))
    cell.run(0.5)
    for machine in cell.machines:
        cell.cut(machine, 3.0)
    cell.cancel('j1')
    cell.submit('j2', support.step(2))
    cell.run(0.1)
    cell.lose_owner()
    assert usage(cell).cpu == 2000
    cell.run(5.0)
    assert cell.active_tasks('j2') == 2
    check(cell)


def test_run_that_another_one_has_made_useless_counts_after_the_loss():
    cell = make_cell()
    job = cell.submit('j1', support.step())
    cell.run(0.5)
    task = job.occurrences[0][0].tasks[0]
    (machine,) = (m for m in cell.machines if m.running)
    (other,) = (m for m in cell.machines if not m.running)
    cell.cut(machine, 2.0)
    cell._end(other, task.name, task.run - 1, model.RunOutcome.DONE)
    cell.run(0.2)
    assert cell.state('j1') is model.JobState.COMPLETED
    cell.lose_owner()
    assert usage(cell).cpu == 1000
    cell.run(3.0)
    assert usage(cell).cpu == 0


def test_delayed_start_counts_while_a_restarted_endpoint_may_carry_it_out():
    cell = make_cell(STARTS_DELAYED, machines=1, new_ids=False)
    cell.submit('j1', support.step(2))
    cell.run(0.1)
    cell.restart_unseen(cell.machines[0])
    cell.run(1.0)
    assert not cell.engine.endpoints[cell.machines[0].name].allocations
    assert usage(cell).cpu == 2000
    cell.submit('j2', support.step(2))
    cell.run(13.0)
    assert cell.active_tasks('j1') == 2
    check(cell)


def test_delayed_start_counts_for_longer_than_the_leases_told_to_successors():
    cell = make_cell(STARTS_DELAYED, machines=1, new_ids=False)
    cell.submit('j1', support.step())
    cell.run(0.1)
    (machine,) = cell.machines
    cell.restart_unseen(machine)
    cell.run(1.0)
    cell.rng.draw = ALL_ARRIVES
    cell.submit('j2', support.step())
    cell.run(0.5)
    cell.ctx.ownership.leases_end[machine.name] = cell.now + 1.0
    cell.cut(machine, 30.0)
    cell.lose_owner()
    cell.run(13.0)
    assert usage(cell).cpu == 2000
    cell.run(16.0)  # a run on trial is held for 10 s longer
    assert usage(cell).cpu == 0


def test_start_that_expired_without_an_answer_counts_no_longer_than_needed():
    cell = make_cell(REQUESTS_LOST)
    cell.submit('j1', support.step(2))
    cell.run(3.0)
    assert usage(cell).cpu == 2000
    cell.rng.draw = ALL_ARRIVES
    cell.run(11.0)
    assert cell.active_tasks('j1') == 2
    check(cell)


def test_job_is_remembered_while_its_runs_count():
    cell = make_cell()
    cell.submit('j1', support.step())
    cell.run(0.5)
    cell.rng.draw = ANSWERS_LOST
    cell.cancel('j1')
    cell.run(0.5)
    assert cell.engine.find_ended_before(cell.now) == []
    cell.rng.draw = ALL_ARRIVES
    cell.run(1.0)
    (job,) = cell.engine.find_ended_before(cell.now)
    assert job.job_id == 'j1'
