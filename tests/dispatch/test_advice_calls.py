"""Check which steps may call the advice service while calls are scarce."""

import pytest

from hibiscusslip.dispatch import advice_calls
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from tests.dispatch import support

# A call takes 0.6 s and more; a ticket is valid for 1.5 s.
ADVICE = model.Advice(0.56, 0.008, 1.5)
VALID_S = 1.5
PASS_S = 0.05
HOSTS = 7


class Cell(support.Bench):
    """Two services whose steps need tickets; calls take their time.

    The advice service admits each endpoint. `calls` are the names of the
    steps for which a call was made.
    """

    def __init__(self, *queues):
        super().__init__(*queues)
        self.engine.adviser_count = HOSTS
        self.pending = []
        self.calls = []
        self.started = {}
        self.within_entitlement = True

    def submit(self, job_id, *steps, queue='busy'):
        """Submit a job to the queue and the service of one name."""
        spec = model.JobSpec('payload', tuple(steps))
        submission = records.Submission(queue, queue, support.WALL_TIME, b'')
        job = self.engine.submit(
            job_id, submission, spec, self.now, support.WALL_TIME
        )
        job.within_entitlement = self.within_entitlement
        return job

    def first_starts(self, queue, number):
        """Return when the numbered jobs of a queue first had a start."""
        never = float('inf')
        return [self.started.get(f'{queue}{i}', never) for i in range(number)]

    def run_until(self, until):
        """Make passes and reply to the calls that have ended."""
        while self.now < until:
            self._reply()
            for start in self.plan():
                self.engine.confirm_start(start, self.now)
                job_id = start.task.step.job.job_id
                self.started.setdefault(job_id, self.now)
            for request in self.engine.advice_requests:
                self.calls.append(request.step.name)
                self.pending.append((self.now + request.cost, request))
            self.engine.advice_requests = []
            self.now = round(self.now + PASS_S, 3)

    def _reply(self):
        due = [item for item in self.pending if item[0] <= self.now]
        for item in due:
            self.pending.remove(item)
            request = item[1]
            tickets = dict.fromkeys(request.endpoints, 't')
            self.engine.handle_advice(
                request, tickets, self.now + VALID_S, self.now
            )


def make_cell(endpoints=4, idle_endpoints=4):
    """Return a cell with a more urgent queue on another service."""
    cell = Cell(
        support.queue('busy', service='busy', advice=ADVICE, priority=1),
        support.queue('idle', service='idle', advice=ADVICE, priority=2),
    )
    for number in range(endpoints):
        cell.endpoint(f'b{number}', service='busy')
    for number in range(idle_endpoints):
        cell.endpoint(f'i{number}', service='idle')
    return cell


def fill(cell, endpoints=4):
    """Fill the endpoints of the busy service with a job that lasts."""
    whole = support.step(endpoints, cpu=8000, long_running=True)
    cell.submit('filler', whole, queue='busy')
    cell.run_until(cell.now + 2.0)
    assert 'filler' in cell.started


def submit_many(cell, number, *, queue='busy', **fields):
    for index in range(number):
        cell.submit(f'{queue}{index}', support.step(**fields), queue=queue)


@pytest.mark.parametrize('within', [True, False])
def test_renewals_on_a_full_service_leave_calls_to_an_idle_one(within):
    # Failure: jobs of an idle service never started, as steps of a full one
    # renewed their tickets over and over and made all long calls.
    cell = make_cell()
    fill(cell)
    cell.within_entitlement = within
    submit_many(cell, 30, count=2, cpu=8000, long_running=True)
    cell.run_until(cell.now + 5.0)
    begun = cell.now
    submit_many(cell, 5, queue='idle', count=1)
    cell.run_until(begun + 6.0)
    assert max(cell.first_starts('idle', 5)) <= begun + 3.0


def test_steps_that_may_start_share_the_calls_between_services():
    # Failure: a service for which more urgent jobs arrive than calls can be
    # made took all calls of the cell.
    cell = make_cell(endpoints=60)
    for index in range(120):
        cell.submit(f'busy{index}', support.step(1), queue='busy')
        if index == 60:
            begun = cell.now
            submit_many(cell, 5, queue='idle', count=1)
        cell.run_until(cell.now + PASS_S)
    assert max(cell.first_starts('idle', 5)) <= begun + 3.0


@pytest.mark.parametrize('within', [True, False])
def test_a_full_kind_of_endpoint_leaves_calls_to_a_free_one(within):
    # Failure: as above, within one service.
    cell = make_cell()
    fill(cell)
    cell.within_entitlement = within
    cell.endpoint('free', service='busy', cpu=4000)
    submit_many(cell, 30, count=2, cpu=8000, long_running=True)
    cell.run_until(cell.now + 5.0)
    begun = cell.now
    cell.submit('small', support.step(1, cpu=1000), queue='busy')
    cell.run_until(begun + 4.0)
    assert cell.started.get('small', cell.now) <= begun + 3.0


def test_room_that_the_spread_of_a_step_uses_up_is_none_for_it():
    # Failure: steps whose last task could only go where their own tasks run
    # counted the room there, and called on.
    cell = make_cell(endpoints=1)
    fill(cell, 1)
    for number in range(1, 5):
        cell.endpoint(f'b{number}', service='busy')
    submit_many(cell, 30, count=5, cpu=100, spread=1, long_running=True)
    cell.run_until(cell.now + 12.0)
    begun = cell.now
    submit_many(cell, 5, queue='idle', count=1)
    cell.run_until(begun + 6.0)
    assert max(cell.first_starts('idle', 5)) <= begun + 3.0


@pytest.mark.parametrize('number', [1, 8])
def test_a_full_service_still_renews_its_tickets_while_calls_are_free(number):
    cell = make_cell()
    fill(cell)
    submit_many(cell, number, count=1, cpu=8000)
    cell.run_until(cell.now + 4.0)
    made = len(cell.calls)
    cell.run_until(cell.now + 4.0)
    assert len(cell.calls) > made
    freed = cell.now
    cell.report('b0')
    cell.run_until(freed + 1.0)
    assert min(cell.first_starts('busy', number)) <= freed + 0.2


def make_call(service='a', tasks=1, **fields):
    return advice_calls.Call(
        advice_calls.Kind(service), fields.pop('cost', 0.6), tasks, **fields
    )


def test_renewals_keep_a_part_of_the_calls():
    # Failure: endpoints are reserved for steps with valid tickets only.
    calls = advice_calls.AdviceCalls()
    now = 10.0
    for _ in range(4):
        calls.begin(make_call())
    calls.note_wanted(make_call(), now)
    assert not calls.yields(make_call(tasks=0), HOSTS, now)
    calls.finish(make_call())
    calls.begin(make_call(tasks=0))
    assert calls.yields(make_call(tasks=0), HOSTS, now)
    assert not calls.yields(make_call(), HOSTS, now)


def test_call_that_nobody_fetches_is_left_for_a_short_time_only():
    calls = advice_calls.AdviceCalls()
    for _ in range(4):
        calls.begin(make_call(tasks=0))
    calls.note_wanted(make_call('b'), 10.0)
    renewal = make_call(tasks=0)
    assert calls.yields(renewal, HOSTS, 10.0)
    assert not calls.yields(renewal, HOSTS, 10.0 + advice_calls.WANTED_S)


def test_free_capacity_counts_for_one_call_only():
    # Failure: room for one task made the calls of all steps urgent.
    calls = advice_calls.AdviceCalls()
    kind = advice_calls.Kind('a')
    call = advice_calls.Call(kind, 0.6, 2, task_size=3000)
    calls.begin(call)
    assert calls.unclaimed(kind, free_tasks=4, task_size=2000) == 1
    assert calls.unclaimed(kind, free_tasks=3, task_size=2000) == 0
    other = advice_calls.Kind('a', accelerated=True)
    assert calls.unclaimed(other, free_tasks=3, task_size=1) == 3
    calls.finish(call)
    assert calls.unclaimed(kind, free_tasks=4, task_size=2000) == 4


def test_renewals_leave_calls_to_steps_beyond_an_entitlement():
    # Failure: steps beyond an entitlement never had a call beside renewals.
    calls = advice_calls.AdviceCalls()
    for _ in range(4):
        calls.begin(make_call(tasks=0))
    beyond = make_call('b', beyond=True)
    calls.note_wanted(beyond, 10.0)
    assert calls.yields(make_call(tasks=0), HOSTS, 10.0)
    assert calls.has_capacity(beyond, HOSTS)
    assert not calls.yields(beyond, HOSTS, 10.0)
