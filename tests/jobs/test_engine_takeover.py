"""Check that a new owner adopts runs and restores jobs from the log.

Neither may start a task again that still runs, or that isn't repeatable and
may have run.
"""

from hibiscusslip.jobs import commands
from hibiscusslip.jobs import index as jobs_index
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.records import job as job_records
from hibiscusslip.records import zone
from tests.jobs import support

Outcome = work.Outcome
RunState = support.RunState


def index_with(*records):
    index = jobs_index.JobIndex(max_ended=10, max_ended_bytes=10_000)
    for record in records:
        index.apply(record)
    return index


def accepted_record(spec):
    return zone.JobAccepted('r1', 0, 1, job_records.encode_job(spec))


def intent_record(spec, tasks=(0,)):
    return zone.StartIntent('r2', 0, 1, spec.job_id, list(tasks), 1, 'z1:0')


def ended_record(spec, outcome='succeeded', answer=b'ok'):
    return zone.JobEnded('r3', 0, 1, spec.job_id, outcome, '', answer)


def test_listed_run_is_adopted_and_not_started_again():
    spec = support.spec(durable=True)
    jobs = index_with(accepted_record(spec)).jobs(0, 0.0)
    bench = support.Bench(epoch=2, jobs=jobs)
    bench.tick()
    bench.list_all(runs={'e1': [support.inherited_run(spec)]})
    assert bench.starts(1) == []
    assert bench.engine.jobs[spec.job_id].outcome == Outcome.RUNNING


def test_accepted_job_that_runs_nowhere_is_started():
    spec = support.spec(durable=True)
    jobs = index_with(accepted_record(spec)).jobs(0, 0.0)
    bench = support.Bench(epoch=2, jobs=jobs).opened()
    assert [r.task for _, r in bench.starts()] == [f'{spec.job_id}/0']


def test_task_with_intent_but_no_outcome_is_unknown_and_never_started():
    spec = support.spec(durable=True, repeatable=False)
    jobs = index_with(accepted_record(spec), intent_record(spec)).jobs(0, 0.0)
    bench = support.Bench(epoch=2, jobs=jobs).opened()
    assert bench.starts(60) == []
    assert bench.engine.jobs[spec.job_id].outcome == Outcome.UNKNOWN


def test_accepted_unrepeatable_job_without_intent_is_started():
    spec = support.spec(durable=True, repeatable=False)
    jobs = index_with(accepted_record(spec)).jobs(0, 0.0)
    bench = support.Bench(epoch=2, jobs=jobs).opened()
    bench.confirm(bench.tick(), zone.StartIntent)
    assert len(bench.starts()) == 1


def test_listed_unrepeatable_run_continues():
    spec = support.spec(repeatable=False)
    jobs = index_with(intent_record(spec)).jobs(0, 0.0)
    bench = support.Bench(epoch=2, jobs=jobs)
    bench.tick()
    bench.list_all(runs={'e1': [support.inherited_run(spec)]})
    assert bench.engine.jobs[spec.job_id].outcome == Outcome.RUNNING


def test_unrepeatable_request_repeated_after_a_takeover_is_unknown():
    spec = support.spec(repeatable=False)
    jobs = index_with(intent_record(spec)).jobs(0, 0.0)
    bench = support.Bench(epoch=2, jobs=jobs).opened()
    job = bench.engine.submit(spec, bench.now)
    assert job.outcome == Outcome.UNKNOWN
    assert bench.starts(60) == []


def test_repeated_request_returns_its_adopted_run():
    spec = support.spec(payload=b'long payload')
    bench = support.Bench(epoch=2)
    bench.tick()
    bench.list_all(runs={'e2': [support.inherited_run(spec)]})
    job = bench.engine.submit(spec, bench.now)
    assert job.outcome == Outcome.RUNNING
    assert bench.starts(1) == []


def test_answer_of_a_run_that_ended_between_owners_is_returned():
    spec = support.spec()
    run = support.inherited_run(spec, state=RunState.SUCCEEDED, answer=b'plan')
    bench = support.Bench(epoch=2)
    bench.tick()
    bench.list_all(runs={'e1': [run]})
    job = bench.engine.submit(spec, bench.now)
    assert job.outcome == Outcome.SUCCEEDED
    assert job.tasks[0].answer == b'plan'


def test_ended_job_is_restored_from_the_log():
    spec = support.spec(durable=True)
    jobs = index_with(accepted_record(spec), ended_record(spec)).jobs(0, 0.0)
    bench = support.Bench(epoch=2, jobs=jobs).opened()
    job = bench.engine.submit(spec, bench.now)
    assert job.outcome == Outcome.SUCCEEDED
    assert job.tasks[0].answer == b'ok'
    assert bench.starts(1) == []


def test_run_of_a_foreign_home_is_adopted_as_offloaded_and_allocated():
    spec = support.spec('z1.1.rother')
    tag = job_records.encode_tag('z1', 1, spec)
    run = support.inherited_run(spec)
    run = type(run)(
        run.task, run.attempt, run.state, run.demand, tag, run.answer
    )
    bench = support.Bench(epoch=2)
    bench.tick()
    bench.list_all(runs={'e1': [run]})
    assert bench.engine.jobs[spec.job_id].guest_of == places.Shard('z1', 1)
    free = bench.engine.scheduler.summary(bench.now).free
    assert free == support.CAPACITY + support.CAPACITY - support.DEMAND
    bench.engine.handle_ended_runs(
        'e1',
        'b1',
        [support.inherited_run(spec, state=RunState.SUCCEEDED, answer=b'x')],
        bench.now,
    )
    reports = [c for c in bench.tick() if isinstance(c, commands.ReportTask)]
    assert [(c.home.number, c.report.answer) for c in reports] == [(1, b'x')]


def test_index_evicts_only_the_oldest_ended_jobs():
    index = jobs_index.JobIndex(max_ended=2, max_ended_bytes=10_000)
    specs = [support.spec(f'z1.0.r{n}', durable=True) for n in range(5)]
    for spec in specs:
        index.apply(accepted_record(spec))
    for spec in specs[:4]:
        index.apply(ended_record(spec))
    kept = {job.spec.job_id for job in index.jobs(0, 0.0)}
    assert kept == {specs[2].job_id, specs[3].job_id, specs[4].job_id}


def test_snapshot_transfers_the_index_to_another_host():
    spec = support.spec(durable=True, repeatable=False)
    done = support.spec('z1.0.rdone', durable=True)
    index = index_with(
        accepted_record(spec),
        intent_record(spec),
        accepted_record(done),
        ended_record(done),
    )
    snapshot = zone.Snapshot(
        'r9', 0, 1, 4, 'h1', 'i1', 10, 1, 1, index.export(0)
    )
    jobs = {j.spec.job_id: j for j in index_with(snapshot).jobs(0, 0.0)}
    assert jobs[spec.job_id].intents == {0}
    assert jobs['z1.0.rdone'].outcome == Outcome.SUCCEEDED
