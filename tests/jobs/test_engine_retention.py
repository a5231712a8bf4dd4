"""Check that finished jobs are retained and that transfers lose no state."""

from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.jobs import handover
from hibiscusslip.jobs import index as jobs_index
from hibiscusslip.jobs import model
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.records import zone
from tests.jobs import support
from tests.jobs import test_engine_takeover as takeover

Outcome = work.Outcome


def run_to_end(bench, spec):
    """Run a durable job until it has succeeded."""
    bench.engine.submit(spec, bench.now)
    bench.confirm(bench.tick(), zone.JobAccepted)
    [(endpoint, request)] = bench.starts()
    bench.confirm_start(endpoint, request)
    bench.end_run(endpoint, request)
    bench.confirm(bench.tick(), zone.JobEnded)


def transferred_jobs(bench):
    """Return the engine's jobs as they arrive at the next owner."""
    jobs = [handover.pack(job) for job in bench.engine.jobs.values()]
    return [handover.unpack(data, bench.now) for data in jobs]


def test_outcome_refused_by_the_log_is_written_once_it_is_available():
    bench = support.Bench().opened()
    spec = support.spec(durable=True)
    bench.engine.submit(spec, bench.now)
    bench.confirm(bench.tick(), zone.JobAccepted)
    [(endpoint, request)] = bench.starts()
    bench.confirm_start(endpoint, request)
    bench.end_run(endpoint, request)
    bench.engine.set_log_up(False)
    [write] = [c for c in bench.tick() if hasattr(c, 'record')]
    bench.engine.handle_record_failed(write.record.record_id, bench.now)
    assert not [c for c in bench.tick(1) if hasattr(c, 'record')]
    bench.engine.set_log_up(True)
    [again] = [c for c in bench.tick() if hasattr(c, 'record')]
    assert again.record == write.record


def test_pinned_batch_run_is_not_evicted_and_so_not_run_again():
    bench = support.Bench().opened()
    spec = support.spec('z1.0.b1', durable=True)
    bench.engine.pin(frozenset({spec.job_id}))
    run_to_end(bench, spec)
    run_to_end(bench, support.spec('z1.0.r2', durable=True))
    for _ in range(3):
        bench.tick(bench.cfg.max_retention)
    assert set(bench.engine.jobs) == {spec.job_id}


def test_recently_finished_job_is_kept_regardless_of_its_size():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    [(endpoint, request)] = bench.starts()
    bench.confirm_start(endpoint, request)
    large = b'x' * (bench.cfg.max_finished_bytes + 1)
    bench.end_run(endpoint, request, answer=large)
    bench.tick(1)
    assert bench.engine.jobs['z1.0.rj1'].tasks[0].answer == large
    bench.tick(bench.cfg.min_retention)
    bench.tick()
    assert not bench.engine.jobs


def test_index_keeps_ended_batch_runs_when_other_jobs_are_evicted():
    index = jobs_index.JobIndex(max_ended=1, max_ended_bytes=10_000)
    batch = support.spec('z1.0.b1', durable=True)
    specs = [batch] + [support.spec(f'z1.0.r{n}') for n in range(3)]
    for spec in specs:
        index.apply(takeover.accepted_record(spec))
        index.apply(takeover.ended_record(spec))
    job = index.find(0, batch.job_id, 0.0)
    assert job.outcome == Outcome.SUCCEEDED
    assert not job.partial


def test_transferred_job_continues_on_its_endpoint():
    old = support.Bench().opened()
    old.engine.submit(support.spec(payload=b'p'), old.now)
    [(endpoint, request)] = old.starts()
    old.confirm_start(endpoint, request)
    new = support.Bench(epoch=2, jobs=transferred_jobs(old))
    new.tick()
    new.list_all(runs={endpoint: [support.run_of(request)]})
    assert new.starts(1) == []
    assert new.engine.jobs['z1.0.rj1'].spec.payload == b'p'
    assert new.engine.jobs['z1.0.rj1'].outcome == Outcome.RUNNING


def test_transferred_unstarted_unrepeatable_task_is_started():
    old = support.Bench(endpoints=()).opened()
    old.now += old.cfg.lease_wait
    old.tick()
    job = model.new_job(support.spec(repeatable=False), old.now)
    job.intents = {0}
    old.engine.restore(job)
    new = support.Bench(epoch=2, jobs=transferred_jobs(old)).opened()
    assert len(new.starts()) == 1


def test_durable_job_transferred_before_its_record_is_recorded_first():
    old = support.Bench().opened()
    old.engine.submit(support.spec(durable=True), old.now)
    new = support.Bench(epoch=2, jobs=transferred_jobs(old)).opened()
    issued = new.tick()
    assert not new.starts()
    new.confirm(issued, zone.JobAccepted)
    assert len(new.starts()) == 1


def test_transferred_offloaded_task_that_runs_nowhere_is_absent():
    old = support.Bench().opened()
    spec = support.spec('z1.1.rguest')
    task = model.Task(0, phase=model.Phase.RUNNING, attempt=1, endpoint='e1')
    home = places.Shard('z1', 1)
    old.engine.restore(model.Job(spec, old.now, {0: task}, guest_of=home))
    new = support.Bench(epoch=2, jobs=transferred_jobs(old)).opened()
    [state] = new.engine.query_offloaded(
        home, 1, [f'{spec.job_id}/0'], new.now
    )
    assert state.state == 'absent'


def test_unconfirmed_start_is_unsettled_so_that_no_transfer_loses_it():
    bench = support.Bench().opened()
    bench.engine.submit(support.spec(), bench.now)
    assert not bench.engine.unsettled
    [(endpoint, request)] = bench.starts()
    assert bench.engine.unsettled
    bench.engine.handle_start_failure(
        endpoint, [request.task], True, bench.now
    )
    assert bench.engine.unsettled
    bench.tick(bench.cfg.settle + 0.1)
    bench.list_all(
        runs={endpoint: [support.run_of(request)]}, names=[endpoint]
    )
    assert not bench.engine.unsettled
    assert support.run_of(request).state == endpoint_base.RunState.RUNNING
