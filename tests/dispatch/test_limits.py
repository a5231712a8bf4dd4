"""Check that no start exceeds the limit of its organisation."""

import dataclasses

import pytest

from hibiscusslip.dispatch import limits
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy as policies
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import usage
from tests.dispatch import support

ORGANISATION = 'acme'
PREEMPTING = policies.Policy(urgent_preemption=True)


class Bench(support.Bench):
    """An engine whose jobs belong to an organisation."""

    def __init__(self, *queues):
        super().__init__(*queues, policy=PREEMPTING)

    def set_limit(self, **limit):
        # Both jobs of a test are within the entitlement.
        item = model.Organisation(
            ORGANISATION, 10.0, limit=model.Demand(**limit)
        )
        self.configure({item.name: item})

    def configure(self, organisations):
        self.engine.config = dataclasses.replace(
            self.engine.config, organisations=organisations
        )

    def submit(self, job_id, *steps, queue='small', **fields):
        spec = model.JobSpec('payload', tuple(steps), **fields)
        submission = records.Submission(
            queue, support.SERVICE, support.WALL_TIME, b'', ORGANISATION
        )
        return self.engine.submit(
            job_id, submission, spec, self.now, support.WALL_TIME
        )

    def started(self):
        """Run a scheduling pass and return the names of started tasks."""
        return [start.task.name for start in self.plan()]


@pytest.mark.parametrize(
    'used, limit, expected',
    [
        ((2000, 0, 0), (4000, 0, 0), 2),
        ((2000, 900, 0), (4000, 1000, 0), 1),
        ((4000, 0, 0), (4000, 0, 0), 0),
        # More than the limit of another resource is in use.
        ((0, 0, 3), (0, 0, 2), 0),
        ((0, 0, 2), (0, 0, 2), 5),
    ],
)
def test_count_startable(used, limit, expected):
    spec = support.step(5, cpu=1000, memory=100)
    used = usage.Usage(model.Demand(*used), 1)
    limit = model.Demand(*limit)
    assert limits.count_startable(spec, 5, used, limit, 0.1) == expected


@pytest.mark.parametrize(
    'size, running, expected',
    [(4, 0, 4), (4, 1, 0), (5, 0, 5), (6, 0, 0), (2, 1, 2), (3, 1, 0)],
)
def test_gang_starts_whole_and_exceeds_its_limit_only_alone(
    size, running, expected
):
    # Of 3,000 the deployment tolerates 4,000 and one task more.
    spec = support.step(size, cpu=1000, gang=True)
    used = usage.Usage(model.Demand(1000 * running), running)
    limit = model.Demand(3000)
    assert limits.count_startable(spec, size, used, limit, 0.34) == expected


def test_starts_up_to_the_limit_over_all_jobs():
    bench = Bench()
    bench.set_limit(cpu=3000)
    bench.endpoint('e1')
    bench.submit('j1', support.step(2))
    bench.submit('j2', support.step(2))
    starts = bench.plan()
    assert len(starts) == 3
    assert bench.started() == []
    bench.end(starts[0])
    assert len(bench.started()) == 1


def test_best_effort_tasks_count_with_their_cpu():
    bench = Bench()
    bench.set_limit(cpu=2000)
    bench.endpoint('e1')
    bench.submit('j1', support.step(3, fills=True))
    assert len(bench.started()) == 2
    assert bench.started() == []


def test_lowered_limit_stops_nothing_and_starts_nothing():
    bench = Bench()
    bench.set_limit(cpu=3000)
    bench.endpoint('e1')
    bench.submit('j1', support.step(4))
    starts = bench.plan()
    bench.set_limit(cpu=1500)
    bench.end(starts[0])
    assert bench.started() == []
    assert bench.stops() == []


def test_task_larger_than_the_limit_runs_alone():
    bench = Bench()
    bench.set_limit(cpu=500)
    bench.endpoint('e1')
    bench.submit('j1', support.step(2))
    assert bench.started() == ['j1.0.0.0']
    assert bench.started() == []


def test_removed_organisation_keeps_its_last_limit():
    bench = Bench()
    bench.set_limit(cpu=2000)
    bench.endpoint('e1')
    bench.plan()
    bench.configure({})
    bench.submit('j1', support.step(3))
    assert len(bench.started()) == 2


def test_unknown_organisation_runs_one_task_at_a_time():
    bench = Bench()
    bench.configure({})
    bench.endpoint('e1')
    bench.submit('j1', support.step(3))
    assert len(bench.started()) == 1
    assert bench.started() == []


def test_without_organisations_nothing_is_limited():
    bench = Bench()
    bench.endpoint('e1')
    bench.submit('j1', support.step(3))
    assert len(bench.started()) == 3


def test_held_back_step_reserves_and_preempts_nothing():
    bench = Bench(
        support.queue('small', priority=0, target_latency=30.0),
        support.queue('large', priority=1, target_latency=30.0),
    )
    bench.set_limit(cpu=8000)
    bench.endpoint('e1')
    bench.submit('j1', support.step(1, checkpoints=True), queue='large')
    bench.confirm(bench.plan())
    bench.submit('j2', support.step(1, cpu=8000))
    bench.submit('j3', support.step(1), queue='large')
    assert bench.started() == ['j3.0.0.0']
    assert bench.stops() == []


def test_step_preempts_for_no_more_tasks_than_may_start():
    bench = Bench(
        support.queue('small', priority=0, target_latency=30.0),
        support.queue('large', priority=1, target_latency=30.0),
    )
    bench.set_limit(cpu=15000)
    bench.endpoint('e1')
    bench.endpoint('e2')
    step = support.step(2, cpu=3000, checkpoints=True, spread=1, estimate=9.0)
    bench.submit('j1', step, queue='large')
    starts = bench.plan()
    bench.confirm(starts)
    for start in starts:
        bench.report(start.endpoint, [bench.running_run(start)])
    bench.submit('j2', support.step(2, cpu=8000))
    assert bench.started() == []
    assert len(bench.stops()) == 1


def test_few_held_back_steps_request_tickets():
    # A backlog of one organisation would occupy the advice service.
    advice = model.Advice(0.01, 0.001, 2.0)
    bench = Bench(support.queue('small', advice=advice))
    bench.set_limit(cpu=1000)
    bench.endpoint('e1')
    for number in range(10):
        bench.submit(f'j{number}', support.step())
    bench.plan()
    (first, *_) = bench.engine.advice_requests
    bench.engine.advice_requests = []
    for step in bench.engine.active_steps.values():
        step.advice_pending = False
    bench.engine.handle_advice(first, {'e1': 't'}, bench.now + 2.0, bench.now)
    assert len(bench.plan()) == 1
    assert len(bench.engine.advice_requests) == 4


def test_hold_is_noted_once_in_each_wait():
    bench = Bench()
    bench.set_limit(cpu=1000)
    bench.endpoint('e1')
    bench.submit('j1', support.step())
    (start,) = bench.plan()
    bench.submit('j2', support.step())
    for _ in range(3):
        bench.plan()
    (event,) = bench.events('held_by_limit')
    assert event['job'] == 'j2'
    assert event['organisation'] == ORGANISATION
    assert event['usage']['cpu'] == event['limit']['cpu'] == 1000
    bench.end(start)
    assert bench.started() == ['j2.0.0.0']
