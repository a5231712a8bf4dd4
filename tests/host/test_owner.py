"""Check that records may be read out of order and handovers are safe."""

import curio

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import state
from hibiscusslip.host import cancellations
from hibiscusslip.host import context
from hibiscusslip.host import owner
from hibiscusslip.host import peer_handler
from hibiscusslip.host import record_deletion
from hibiscusslip.host import topics
from hibiscusslip.host import writer
from hibiscusslip.peer import messages
from hibiscusslip.platform import exceptions
from tests.dispatch import support
from tests.host import fakes
from tests.host import inbox_cell

BODY = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":500}]}'
JOB_ID = 'a1'


def test_cancellation_read_before_its_job_is_applied():
    ctx = fakes.make_context(fakes.FakeStore())
    local_owner = owner.Owner(ctx, None, None, 1)
    submission = records.Submission('q', 's', 1.0, BODY)
    inbox_cell.read_by(local_owner, f'{topics.CANCEL_PREFIX}{JOB_ID}', b'1')
    inbox_cell.read_by(
        local_owner, JOB_ID, records.encode_submission(submission)
    )
    assert local_owner.engine.jobs[JOB_ID].state is model.JobState.CANCELLED


class FakeFeed:
    def __init__(self, failing, behind=False):
        self.failing = failing
        self.behind = behind


def test_successor_cannot_recover_while_an_inbox_partition_fails():
    """A new owner reads all partitions before it places anything."""
    ctx = fakes.make_context(fakes.FakeStore())
    local_owner = owner.Owner(ctx, None, None, 1)
    now = context.monotonic()
    local_owner.inboxes = [FakeFeed(False), FakeFeed(True)]
    assert not local_owner.successor_can_recover(now)
    local_owner.inboxes = [FakeFeed(False), FakeFeed(False)]
    assert local_owner.successor_can_recover(now)


def test_successor_cannot_recover_just_after_a_progress_partition_failed():
    ctx = fakes.make_context(fakes.FakeStore())
    local_owner = owner.Owner(ctx, None, None, 1)
    now = context.monotonic()
    failed_partition = local_owner._writer._partitions[0]
    local_owner._writer._handle_failure(
        failed_partition, exceptions.StoreUnavailable('503')
    )
    ctx.record_store_success(now)
    assert not local_owner.successor_can_recover(now)
    assert local_owner.successor_can_recover(
        now + writer.FAILURE_MEMORY_S + 0.1
    )


def test_deferred_cancellations_are_bounded(monkeypatch):
    monkeypatch.setattr(cancellations, 'MAX_DEFERRED_JOBS', 3)
    ctx = fakes.make_context(fakes.FakeStore())
    local_owner = owner.Owner(ctx, None, None, 1)
    for number in range(5):
        inbox_cell.read_by(
            local_owner, f'{topics.CANCEL_PREFIX}{number}', b'1'
        )
    intake = local_owner.intake
    assert list(intake.cancellations._deferred) == ['2', '3', '4']
    assert list(intake.cancellations._deferred_at) == ['2', '3', '4']
    assert list(intake.deletion._retiring) == ['0', '1']


class FailOnce(fakes.FakeStore):
    """Fail one append; record how many records each append has."""

    def __init__(self, failing):
        super().__init__()
        self.failing = failing
        self.sizes = []

    async def append(self, topic, records, timeout, **options):
        self.sizes.append(len(records))
        if len(self.sizes) == self.failing:
            raise exceptions.StoreUnavailable('503')
        return await super().append(topic, records, timeout, **options)


def test_deletion_of_many_jobs_goes_on_where_it_failed(monkeypatch):
    monkeypatch.setattr(record_deletion, 'MAX_RECORDS', 20)
    fake_store = FailOnce(failing=2)
    ctx = fakes.make_context(fake_store)
    local_owner = owner.Owner(ctx, None, None, 1)
    deletion = local_owner.intake.deletion
    for job_id in (f'{number:016x}' for number in range(25)):
        for key in (job_id, topics.cancel_key(job_id, '')):
            inbox_cell.read_by(local_owner, key, b'1')
        deletion._undeleted[job_id] = (1000,)

    async def delete_twice():
        await deletion.delete(local_owner._writer)
        assert len(deletion._undeleted) == 15
        await deletion.delete(local_owner._writer)

    curio.run(delete_twice)
    assert not deletion._undeleted
    assert fake_store.sizes == [20, 20, 20, 10]


def test_start_is_decided_by_a_list_of_endpoints_that_is_too_old():
    """The store may serve the jobs' records, but not the endpoints' list."""
    ctx = fakes.make_context(fakes.FakeStore())
    local_owner = owner.Owner(ctx, None, None, 1)
    now = context.monotonic()
    local_owner.endpoints_read_at = now
    tolerated = ctx.cfg.bounds.contact + ctx.cfg.heartbeat
    in_time = tolerated - owner.START_MARGIN_S
    assert local_owner._knows_capacities(now + in_time - 0.01)
    assert not local_owner._knows_capacities(now + in_time + 0.01)


def test_start_whose_record_took_too_long_is_sent_by_an_old_list():
    ctx = fakes.make_context(fakes.FakeStore())
    local_owner = owner.Owner(ctx, None, None, 1)
    bench = support.Bench()
    local_owner.engine = bench.engine
    bench.endpoint('e1')
    job = bench.submit('j', support.step())
    local_owner._sessions['e1'] = None
    local_owner.endpoints_read_at = context.monotonic() - 10.0
    curio.run(local_owner._send_starts, bench.plan())
    (task,) = job.occurrences[0][0].tasks
    assert task.status is state.Status.WAITING


def test_start_to_an_endpoint_that_shrank_meanwhile_is_sent():
    ctx = fakes.make_context(fakes.FakeStore())
    local_owner = owner.Owner(ctx, None, None, 1)
    bench = support.Bench()
    local_owner.engine = bench.engine
    bench.endpoint('e1', cpu=2000)
    job = bench.submit('j', support.step(2))
    starts = bench.plan()
    local_owner._sessions['e1'] = None
    local_owner.endpoints_read_at = context.monotonic()
    bench.engine.register_endpoint(support.entry('e1', cpu=0), bench.now)
    curio.run(local_owner._send_starts, starts)
    tasks = job.occurrences[0][0].tasks
    assert [task.status for task in tasks] == [state.Status.WAITING] * 2


def test_entry_of_an_endpoint_doesnt_bypass_its_turn():
    """3,000 endpoints write 2,000 entries a second: all open within 1.5 s."""
    local_owner = owner.Owner(fakes.make_context(None), None, None, 1)
    bench = support.Bench()
    local_owner.engine = bench.engine
    bench.endpoint('e1')
    local_owner._first_polls._waiting.add('e1')
    curio.run(local_owner.open_session, 'e1')
    assert not local_owner._sessions


def reply_from_memory(local_owner):
    """Return what a host is told that asks whether it may reject a job."""
    local_owner.ready = True
    handler = peer_handler.PeerHandler(
        local_owner.ctx, None, None, None, lambda: local_owner
    )
    query = messages.CellJobQuery(JOB_ID, from_memory=True)
    return curio.run(handler.handle, None, query).known


def test_job_isnt_denied_while_a_partition_of_the_inbox_fails():
    """It may have been accepted; a 429 would say that it never runs."""
    ctx = fakes.make_context(fakes.FakeStore())
    local_owner = owner.Owner(ctx, None, None, 1)
    local_owner.inboxes = [FakeFeed(False), FakeFeed(False)]
    assert not reply_from_memory(local_owner)
    local_owner.inboxes = [FakeFeed(False), FakeFeed(True)]
    assert reply_from_memory(local_owner)
