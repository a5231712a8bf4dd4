"""Check that no organisation replaces a job of another with the same ID."""

import dataclasses

import curio
import msgspec
import pytest

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import records
from hibiscusslip.host import cancellations
from hibiscusslip.host import recovery
from hibiscusslip.host import submissions
from hibiscusslip.host import topics
from hibiscusslip.platform import store
from tests.host import fakes
from tests.host import inbox_cell
from tests.host import test_access
from tests.host import test_job_access
from tests.platform import cell

JOB_ID = test_access.JOB_ID


def submission(organisation, accepted):
    value = records.Submission(
        'r-small', cell.SERVICE, accepted, test_access.BODY, organisation
    )
    return (
        topics.submission_key(JOB_ID, organisation),
        records.encode_submission(value),
    )


def progress(record):
    """Return the progress in a record of the store; fails if it deletes."""
    return records.decode_job(store.decode_keyed(record)[1])


class KeyedStore:
    """Keep the newest value of each key, as the store does."""

    def __init__(self, **rows):
        self._rows = rows

    async def newest(self, topic, timeout, part=0):
        name = topic.partition('.')[2] + (str(part) if part else '')
        rows = self._rows.get(name, ())
        offsets = {key: number for number, (key, _) in enumerate(rows)}
        return store.NewestValues(dict(rows), offsets, len(rows))


def recover(inbox, jobs=(), config=True, others=()):
    """Return the engine and the submissions of a new owner.

    The second partition of the inbox has the records `others`.
    """
    ctx = fakes.make_context(KeyedStore(inbox=inbox, jobs=jobs, inbox1=others))
    engine = engines.Engine(5.9)
    engine.config = test_access.read() if config else None
    submits = submissions.Submissions(ctx)
    reader = recovery.PartitionReader(ctx)
    cancels = cancellations.Cancellations(ctx)
    curio.run(recovery.recover, ctx, engine, reader, submits, cancels)
    return engine, submits


def recovered(inbox, jobs=(), config=True, others=()):
    """Return the organisation whose job a new owner has."""
    engine, submits = recover(inbox, jobs, config, others)
    assert submits.keys(JOB_ID) == {key for key, _ in (*inbox, *others)}
    assert engine.jobs[JOB_ID].contested
    return engine.jobs[JOB_ID].organisation


@pytest.mark.parametrize('other', ['', 'o2'])
def test_new_owner_keeps_the_job_that_was_accepted_first(other):
    inbox = [submission(other, 2.0), submission('o1', 1.0)]
    assert recovered(inbox) == recovered(inbox, config=False) == 'o1'
    before = msgspec.msgpack.encode(records.JobRow('running', [], []))
    assert recovered(inbox, [(JOB_ID, before)]) == 'o1'
    of_a_former_release = (JOB_ID, submission('o1', 1.0)[1])
    assert recovered([submission('o2', 2.0), of_a_former_release]) == 'o1'


def test_job_of_the_former_owner_is_kept_and_all_records_are_deleted():
    """The clock of the host that took the other job may be behind."""
    inbox = [submission('o1', 1.0), submission('o2', 0.5)]
    local_owner = test_job_access.make_owner()
    for key, value in inbox:
        inbox_cell.read_by(local_owner, key, value)
    (line,) = local_owner.ctx.log.named('submission_ignored')
    assert (line['organisation'], line['job_organisation']) == ('o2', 'o1')
    assert local_owner.engine.dirty == {JOB_ID}
    record = records.encode_job(local_owner.engine.jobs[JOB_ID], now=0.0)
    assert recovered(inbox, [(JOB_ID, record)]) == 'o1'
    curio.run(inbox_cell.delete_ended, local_owner)
    deleted = inbox_cell.deleted_keys(local_owner, topics.INBOX)
    assert {key for key, _ in inbox} == set(deleted)


@pytest.mark.parametrize('other_key', [JOB_ID, submission('o2', 0.5)[0]])
def test_job_with_the_key_of_a_former_release_is_replaced(other_key):
    """The owner keeps the job of o1, so the next owner has to keep it too."""
    first = (JOB_ID, submission('o1', 1.0)[1])
    other = (other_key, submission('o2', 0.5)[1])
    local_owner = test_job_access.make_owner()
    inbox_cell.read_by(local_owner, *first)
    inbox_cell.read_by(local_owner, *other)
    record = records.encode_job(local_owner.engine.jobs[JOB_ID], now=0.0)
    jobs = [(JOB_ID, record)]
    assert recovered([first], jobs, others=[other]) == 'o1'
    assert recovered([other], jobs, others=[first]) == 'o1'


def test_job_behind_many_others_in_the_inbox_is_found():
    """Guards against a 410 for an accepted job that the first read lacks."""

    class PagedStore(inbox_cell.LogStore):
        async def read(self, topic, start, wait, timeout, part=0, began=None):
            batch = await super().read(topic, start, wait, timeout, part)
            return dataclasses.replace(batch, records=batch.records[:1])

    async def scenario():
        cell = inbox_cell.Cell()
        cell.store = PagedStore()
        await cell.succeed()
        for number in range(3):
            cell.submit(job_id=f'{number:016x}')
        return await cell.owner.query_job_state(f'{2:016x}', 'o1')

    assert curio.run(scenario) is inbox_cell.QUEUED
