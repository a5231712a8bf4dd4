"""Check that only the records of ended jobs are deleted."""

import curio
import pytest

from hibiscusslip.dispatch import records
from hibiscusslip.host import topics
from hibiscusslip.host import writer
from hibiscusslip.platform import exceptions
from tests.host import inbox_cell
from tests.host import test_job_access
from tests.host import test_submissions

JOB_ID = test_submissions.JOB_ID
KEY, VALUE = test_submissions.submission('o1', 1.0)
OTHER_KEY, OTHER_VALUE = test_submissions.submission('o2', 2.0)
PARTITIONS = 2


async def delete(local_owner):
    """Delete the records of jobs as the owner does every few seconds."""
    await local_owner.intake.deletion.delete(local_owner._writer)
    await local_owner._writer._write()


def ended_job_owner():
    """Return an owner with a job whose records are still to be deleted."""
    local_owner = test_job_access.make_owner()
    inbox_cell.read_by(local_owner, KEY, VALUE)
    curio.run(inbox_cell.retire_ended, local_owner)
    local_owner.ctx.store.records.clear()
    return local_owner


async def refuse(*_):
    raise exceptions.StoreUnavailable('503')


@pytest.mark.parametrize('appends', [0, 1])
def test_retried_deletion_deletes_a_job_that_was_submitted_again(appends):
    """The first try is refused after some of its appends."""
    local_owner = test_job_access.make_owner()
    for part in range(PARTITIONS):
        inbox_cell.read_by(local_owner, KEY, VALUE, part)
    curio.run(inbox_cell.retire_ended, local_owner)
    local_owner.ctx.store.script = [None] * appends + [refuse]
    curio.run(delete, local_owner)
    inbox_cell.read_by(local_owner, KEY, VALUE)
    local_owner.ctx.store.records.clear()
    curio.run(delete, local_owner)
    # The record in the refused partition, unless the new one replaced it.
    deleted = inbox_cell.deleted_keys(local_owner, topics.INBOX)
    assert deleted == [KEY] * appends
    # The new record replaces the progress of the ended job.
    (record,) = (
        r for t, r in local_owner.ctx.store.records if t != topics.INBOX
    )
    job = local_owner.engine.jobs[JOB_ID]
    assert test_submissions.progress(record).state == job.state.value


def test_job_submitted_during_a_deletion_loses_its_other_records():
    local_owner = ended_job_owner()

    async def submit_again(*_):
        inbox_cell.read_by(local_owner, KEY, VALUE)

    local_owner.ctx.store.script = [submit_again]
    curio.run(delete, local_owner)
    assert inbox_cell.deleted_keys(local_owner, topics.INBOX).count(KEY) == 1
    (record,) = (
        r for t, r in local_owner.ctx.store.records if t != topics.INBOX
    )
    assert test_submissions.progress(record).number


def test_job_submitted_before_its_progress_is_deleted_loses_the_new_one():
    """The writer may delete the records of ended jobs much later."""
    local_owner = ended_job_owner()
    deletion = local_owner.intake.deletion
    curio.run(deletion.delete, local_owner._writer)
    local_owner.ctx.store.records.clear()
    inbox_cell.read_by(local_owner, KEY, VALUE)
    curio.run(local_owner._writer._write)
    ((_, record),) = local_owner.ctx.store.records
    assert test_submissions.progress(record).number


def test_job_is_replaced_by_an_ended_one_whose_record_is_left():
    local_owner = ended_job_owner()
    inbox_cell.read_by(local_owner, OTHER_KEY, OTHER_VALUE)
    record = records.encode_job(local_owner.engine.jobs[JOB_ID], now=0.0)
    inbox = [(KEY, VALUE), (OTHER_KEY, OTHER_VALUE)]
    engine, _ = test_submissions.recover(inbox, [(JOB_ID, record)])
    assert engine.jobs[JOB_ID].organisation == 'o2'


def test_deletion_of_a_job_with_many_records_exceeds_an_append(monkeypatch):
    """The store would refuse the append each time that it is retried."""
    monkeypatch.setattr(writer, 'MAX_APPEND_BYTES', 200)
    local_owner = test_job_access.make_owner()
    inbox_cell.read_by(local_owner, KEY, VALUE)
    sizes = []

    async def record_size(store, topic, batch):
        sizes.append(sum(map(len, batch)))

    cancels = [
        test_job_access.cancellation(f'o{number}') for number in range(20)
    ]
    for key, value in cancels:
        inbox_cell.read_by(local_owner, key, value)
    local_owner.ctx.store.script = [record_size] * 100
    curio.run(inbox_cell.delete_ended, local_owner)
    keys = inbox_cell.deleted_keys(local_owner, topics.INBOX)
    assert {KEY, *(key for key, _ in cancels)} <= set(keys)
    assert max(sizes) <= 200


def test_unreadable_submission_of_an_ended_job_is_left():
    local_owner = test_job_access.make_owner()
    inbox_cell.read_by(local_owner, OTHER_KEY, b'unreadable')
    inbox_cell.read_by(local_owner, KEY, VALUE)
    curio.run(inbox_cell.delete_ended, local_owner)
    keys = inbox_cell.deleted_keys(local_owner, topics.INBOX)
    assert {KEY, OTHER_KEY} <= set(keys)
