"""Check that an organisation's jobs are hidden from all others."""

import curio
import pytest

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.host import access
from hibiscusslip.host import cancellations
from hibiscusslip.host import front
from hibiscusslip.host import owner
from hibiscusslip.host import recovery
from hibiscusslip.host import submissions
from hibiscusslip.host import topics
from hibiscusslip.platform import documents
from hibiscusslip.platform import store
from tests.dispatch import support
from tests.host import fakes
from tests.host import inbox_cell
from tests.host import test_access
from tests.platform import cell

JOB_ID = test_access.JOB_ID
CANCELLED = model.JobState.CANCELLED
QUEUED = model.JobState.QUEUED


def submission(organisation='o1'):
    return records.encode_submission(
        records.Submission(
            'r-small', cell.SERVICE, 1.0, test_access.BODY, organisation
        )
    )


def cancellation(organisation, job_id=JOB_ID):
    return (
        topics.cancel_key(job_id, organisation),
        topics.encode_cancel(organisation),
    )


def decide(config, queue, organisation):
    return access.decide_job_access(config, queue, 'o1', organisation)


def make_owner(config=None):
    ctx = fakes.make_context(fakes.FakeStore())
    local_owner = owner.Owner(ctx, None, None, 1)
    local_owner.engine.config = config or test_access.read()
    return local_owner


def state_after(*inbox, config=None):
    """Return the state of a job after an owner has read these records."""
    local_owner = make_owner(config)
    for key, value in inbox:
        inbox_cell.read_by(local_owner, key, value)
    return local_owner.engine.jobs[JOB_ID].state


@pytest.mark.parametrize('organisation', ['', 'o2'])
def test_job_is_cancelled_by_another_organisation(organisation):
    foreign = cancellation(organisation)
    job = (JOB_ID, submission())
    assert state_after(job, foreign) is QUEUED
    assert state_after(foreign, job) is QUEUED
    assert state_after(foreign, cancellation('o1'), job) is CANCELLED
    assert state_after(job, cancellation('o1'), foreign) is CANCELLED


def test_ignored_cancellation_is_logged_with_its_cause():
    local_owner = make_owner()
    inbox_cell.read_by(local_owner, JOB_ID, submission())
    inbox_cell.read_by(local_owner, *cancellation('o2'))
    (line,) = local_owner.ctx.log.named('cancel_ignored')
    assert line == {
        'job': JOB_ID,
        'organisation': 'o2',
        'job_organisation': 'o1',
    }


def test_job_without_an_organisation_cannot_be_cancelled():
    """Records of releases before organisations have neither."""
    old = records.encode_submission(
        records.Submission('r-small', cell.SERVICE, 1.0, test_access.BODY)
    )
    assert state_after((JOB_ID, old), cancellation('o2')) is CANCELLED
    plain = (f'{topics.CANCEL_PREFIX}{JOB_ID}', b'1')
    assert cancellation('') == plain
    assert state_after((JOB_ID, old), plain) is CANCELLED


def test_job_of_a_public_queue_is_open_to_all_its_callers():
    job = (JOB_ID, submission())
    public = test_access.read(Public=True)
    assert state_after(job, cancellation('o2'), config=public) is CANCELLED


def test_job_stays_closed_once_its_queue_is_no_longer_configured():
    elsewhere = test_access.read(Name='r-other', Public=True)
    assert decide(elsewhere, None, 'o2') is access.Verdict.REFUSED
    assert decide(elsewhere, None, 'o1') is access.Verdict.ADMITTED


def test_access_is_undecided_without_a_configuration():
    """An owner ignored cancellations, and denied jobs, that it read then."""
    closed = support.queue()
    public = support.queue(public=True)
    assert decide(None, None, '') is access.Verdict.UNDECIDED
    assert decide(None, closed, 'o2') is access.Verdict.UNDECIDED
    assert decide(None, closed, 'o1') is access.Verdict.ADMITTED
    assert decide(None, public, 'o2') is access.Verdict.ADMITTED


def test_jobs_are_open_once_a_deployment_has_no_organisations():
    """Its callers have no keys any more by which they would be known."""
    config = documents.read_configuration(cell.config_document())
    queue = config.queues['r-small']
    assert decide(config, queue, '') is access.Verdict.ADMITTED


class InboxStore:
    """Return these records as the newest of the first inbox partition."""

    def __init__(self, inbox):
        self._inbox = inbox

    async def newest(self, topic, timeout, part=0):
        values = self._inbox if (topic, part) == (topics.INBOX, 0) else {}
        offsets = {key: number for number, key in enumerate(values)}
        return store.NewestValues(values, offsets, len(values))


@pytest.mark.parametrize(
    ('organisations', 'expected'),
    [(('o2',), QUEUED), (('o1', 'o2'), CANCELLED), (('',), QUEUED)],
)
def test_new_owner_applies_a_cancellation_of_another_organisation(
    organisations, expected
):
    """A foreign one must not replace that of the job's organisation either."""
    inbox = {JOB_ID: submission()}
    inbox.update(cancellation(organisation) for organisation in organisations)
    ctx = fakes.make_context(InboxStore(inbox))
    engine = engines.Engine(5.9)
    engine.config = test_access.read()
    reader = recovery.PartitionReader(ctx)
    submits = submissions.Submissions(ctx)
    cancels = cancellations.Cancellations(ctx)
    recovered = curio.run(
        recovery.recover, ctx, engine, reader, submits, cancels
    )
    assert engine.jobs[JOB_ID].state is expected
    records = recovered.positions.find_before(JOB_ID, (len(inbox),))
    assert records == [(key, 0) for key in inbox]


def test_state_of_a_job_is_told_to_another_organisation():
    local_owner = make_owner()
    inbox_cell.read_by(local_owner, JOB_ID, submission())

    def query(organisation, job_id=JOB_ID):
        return curio.run(local_owner.query_job_state, job_id, organisation)

    assert query('o1') is QUEUED
    assert query('o2') is None
    assert query('') is None


def test_cancellations_outlive_the_deletion_of_their_job():
    local_owner = make_owner()
    inbox_cell.read_by(local_owner, JOB_ID, submission())
    keys = {JOB_ID}
    for organisation in ('', 'o1', 'o2'):
        key, value = cancellation(organisation)
        inbox_cell.read_by(local_owner, key, value)
        keys.add(key)
    curio.run(inbox_cell.delete_ended, local_owner)
    deleted = inbox_cell.deleted_keys(local_owner, topics.INBOX)
    assert sorted(deleted) == sorted(keys)
    positions = local_owner.intake.deletion.positions
    assert not positions.find_before(JOB_ID, (len(keys),))


class JobStates(front.JobStateSource):
    """Know one job of organisation o1, unless the owner is unavailable."""

    def __init__(self, available=True, answer_s=0.0):
        self._available = available
        self._answer_s = answer_s

    async def query_job_state(self, job_id, organisation):
        await curio.sleep(self._answer_s)
        if not self._available:
            raise front.OwnerUnavailable('no owner')
        known = (job_id, organisation) == (JOB_ID, 'o1')
        return QUEUED if known else None


def make_front(available=True, **route):
    caller = test_access.Front(test_access.read(**route))
    caller.handler._job_states = JobStates(available)
    return caller


def test_job_of_another_organisation_is_told_apart_from_a_missing_one():
    caller = make_front()
    for method in ('GET', 'DELETE'):
        own = caller.call(method, authorization='Bearer first-key')
        assert own.status == 200
        foreign = caller.call(method, authorization='Bearer other-key')
        missing = caller.call(method, 'f' * 16, 'Bearer first-key')
        assert foreign.status == missing.status == 410
        assert foreign.body == missing.body


def test_cancellation_is_refused_while_the_owner_cannot_be_queried():
    """The owner checks the record itself once it reads it."""
    caller = make_front(available=False)
    response = caller.call('DELETE', authorization='Bearer other-key')
    assert response.status == 200
    ((_, record),) = caller.store.records
    assert store.decode_keyed(record) == cancellation('o2')


def test_cancellation_waits_for_an_owner_until_its_caller_has_given_up():
    """The owner may read all partitions of the inbox from a slow store."""
    caller = make_front()
    caller.handler._job_states = JobStates(answer_s=30.0)
    response = caller.call(
        'DELETE', authorization='Bearer other-key', timeout_s=0.4
    )
    assert response.status == 200
