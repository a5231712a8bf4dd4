"""Check copies against limits, recovery, preemption and learned run times."""

import curio
import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy
from hibiscusslip.dispatch import preemption
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import usage
from hibiscusslip.host import recovery
from tests.dispatch import support
from tests.host import fakes

COPIES = policy.Policy(copies=True)
LEARNING = policy.Policy(copies=True, learned_run_times=True)
LIMIT = model.Demand(8000, 8000, 0)


def make_bench(limit=LIMIT, options=COPIES):
    bench = support.Bench(support.queue(max_attempts=3), policy=options)
    known = bench.engine.config
    bench.engine.config = model.Configuration(
        known.version,
        known.queues,
        known.services,
        organisations={'a': model.Organisation('a', limit=limit)},
    )
    bench.endpoint('e1', cpu=2000)
    bench.endpoint('e2', cpu=2000, zone='z2')
    return bench


def submit(bench, step):
    spec = model.JobSpec('payload', (step,))
    submission = records.Submission(
        'small', support.SERVICE, support.WALL_TIME, b'', 'a'
    )
    bench.engine.submit('j', submission, spec, bench.now, support.WALL_TIME)


def running(start, percent=60):
    return model.RunningRun(start.task.name, start.run, '', percent, 0.0)


def overdue(bench, **fields):
    """Return the start of a run that takes longer than expected."""
    submit(bench, support.step(speculative=True, **fields))
    (start,) = bench.plan()
    bench.confirm([start])
    bench.now += 0.6
    bench.report(start.endpoint, running=[running(start)])
    bench.now += 1.6
    return start


def copied(bench, **fields):
    """Return the starts of a run and of its copy, both confirmed."""
    original = overdue(bench, **fields)
    (copy,) = bench.plan()
    bench.confirm([copy])
    return original, copy


def encode(bench):
    engine = bench.engine
    return records.encode_job(
        engine.jobs['j'],
        counted=engine.ledger.runs_of('j'),
        now=bench.now,
    )


def hand_over(bench, step):
    """Return the bench of a new owner, without any report yet."""
    other = support.Bench(support.queue(max_attempts=3), policy=COPIES)
    other.now = bench.now
    other.engine.config = bench.engine.config
    for endpoint in bench.engine.endpoints.values():
        other.engine.register_endpoint(endpoint.entry, other.now)
    submit(other, step)
    ctx = fakes.make_context(fakes.FakeStore())
    curio.run(
        recovery.restore_all,
        ctx,
        other.engine,
        {'j': encode(bench)},
        other.now,
    )
    return other


def used(bench):
    return {e.name: e.used for e in bench.engine.endpoints.values()}


def scan(bench):
    """Return what a scan of all allocations counts for the organisation."""
    total = usage.Usage()
    for endpoint in bench.engine.endpoints.values():
        for allocation in endpoint.allocations.values():
            demand = allocation.task.step.spec.demand
            total = usage.Usage(total.demand + demand, total.runs + 1)
    return total


def lose_original(bench, original, copy):
    bench.now += 0.1
    bench.report(original.endpoint)


def fail_copy(bench, original, copy):
    bench.now += 0.1
    bench.end(copy, 'failed')


def cancel(bench, original, copy):
    bench.engine.cancel('j', bench.now)


def complete_copy(bench, original, copy):
    bench.now += 0.1
    bench.end(copy)


@pytest.mark.parametrize(
    ('change', 'runs'),
    [
        (None, 2),
        (lose_original, 1),
        (fail_copy, 1),
        (cancel, 2),
        (complete_copy, 1),
    ],
)
def test_second_run_is_allocated_twice_after_the_loss_of_the_owner(
    change, runs
):
    bench = make_bench()
    original, copy = copied(bench)
    if change is not None:
        change(bench, original, copy)
    other = hand_over(bench, original.task.step.spec)
    assert used(other) == used(bench)
    assert scan(other).runs == runs
    counted = other.engine.ledger.usage_of('a')
    assert counted == bench.engine.ledger.usage_of('a') == scan(other)
    held = other.engine.jobs['j'].holding.held
    assert held == bench.engine.jobs['j'].holding.held
    assert held[0] == 1000 * runs


def test_record_names_a_second_run_twice():
    bench = make_bench()
    _, copy = copied(bench)
    row = records.decode_job(encode(bench))
    assert row.runs == []
    (second,) = row.copies
    assert (second.copy_run, second.run) == (2, copy.run)
    assert second.endpoint == copy.endpoint


def test_second_run_of_a_cancelled_job_doesnt_count_until_its_end():
    bench = make_bench()
    original, copy = copied(bench)
    cancel(bench, original, copy)
    other = hand_over(bench, original.task.step.spec)
    other.report(original.endpoint, running=[running(original)])
    other.report(copy.endpoint, running=[running(copy)])
    stopped = {(stop.endpoint, stop.run) for stop in other.stops()}
    assert stopped == {
        (original.endpoint, original.run),
        (copy.endpoint, copy.run),
    }
    other.end(original, 'stopped')
    assert other.engine.ledger.usage_of('a').runs == 1
    third = hand_over(other, original.task.step.spec)
    assert third.engine.ledger.usage_of('a').runs == 1
    third.end(copy, 'stopped')
    assert third.engine.ledger.usages() == {}
    assert not any(demand.cpu for demand in used(third).values())


@pytest.mark.parametrize(('cpu', 'expected'), [(1000, 0), (2000, 1)])
def test_copy_exceeds_the_limit_of_its_organisation(cpu, expected):
    bench = make_bench(model.Demand(cpu, 8000, 0))
    overdue(bench)
    assert len(bench.plan()) == expected
    assert bench.engine.ledger.usage_of('a').runs == 1 + expected


def test_task_with_a_second_run_is_preempted():
    bench = make_bench()
    original = overdue(bench, checkpoints=True)
    endpoint = bench.engine.endpoints[original.endpoint]
    (allocation,) = endpoint.allocations.values()
    assert preemption.may_stop(allocation)
    (copy,) = bench.plan()
    bench.confirm([copy])
    for other in bench.engine.endpoints.values():
        for allocation in other.allocations.values():
            assert not preemption.may_stop(allocation)


def lengths(bench, monkeypatch):
    """Return the list of the lengths that are learned from now on."""
    learned = []

    def learn(work, length, job_id, now, weight, at_least):
        learned.append((round(length, 3), at_least))

    monkeypatch.setattr(bench.engine.estimates.run_times, 'learn', learn)
    return learned


def test_length_is_learned_from_the_start_of_the_other_run(monkeypatch):
    bench = make_bench(options=LEARNING)
    original = overdue(bench)
    bench.now += 3.0
    (copy,) = bench.plan()
    bench.confirm([copy])
    learned = lengths(bench, monkeypatch)
    bench.now += 0.5
    bench.report(copy.endpoint, running=[running(copy)])
    assert learned == []  # the copy isn't overdue
    bench.end(copy)
    assert learned == [(0.5, False)]
    bench.now += 0.1
    bench.end(original, 'stopped')
    assert learned == [(0.5, False)]


def test_length_of_the_original_is_learned_from_its_copy(monkeypatch):
    bench = make_bench(options=LEARNING)
    original = overdue(bench)
    bench.now += 3.0
    (copy,) = bench.plan()
    bench.confirm([copy])
    learned = lengths(bench, monkeypatch)
    bench.now += 0.5
    bench.end(original)
    assert learned == [(5.7, False)]


def test_run_that_is_as_slow_as_its_endpoint_is_copied(monkeypatch):
    bench = make_bench()
    overdue(bench)
    monkeypatch.setattr(
        bench.engine.estimates, 'speed_factor', lambda endpoint: 0.25
    )
    assert bench.plan() == []
    monkeypatch.undo()
    assert len(bench.plan()) == 1
