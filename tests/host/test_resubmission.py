"""Check that an ID can be used again while old records of it are left.

Most tests are named after the failure that they guard against.
"""

import curio
import msgspec
import pytest

from hibiscusslip.dispatch import records
from hibiscusslip.host import cancellations
from hibiscusslip.host import context
from hibiscusslip.host import topics
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store
from tests.host import inbox_cell

JOB_ID = inbox_cell.JOB_ID
QUEUED = inbox_cell.QUEUED
CANCELLED = inbox_cell.CANCELLED
CANCEL_PART = (topics.INBOX, 1)


async def ended_cell():
    """Return a cell with a cancelled job whose ID is to be retired."""
    cell = inbox_cell.Cell()
    await cell.succeed()
    await cell.end_job()
    await cell.retire()
    return cell


@pytest.mark.parametrize('part', [0, 2])
def test_old_cancellation_cancels_the_job_that_was_submitted_again(part):
    """The store is down for one partition, so its deletion fails."""

    async def scenario():
        cell = await ended_cell()
        await cell.write()
        cell.store.down = {CANCEL_PART}
        await cell.delete()
        cell.submit(part)
        await cell.read()
        await cell.write()
        assert cell.job().state is QUEUED
        for _ in range(2):
            await cell.succeed()
            assert cell.job().state is QUEUED
            await cell.write()
        cell.store.down = set()
        await cell.delete()
        assert cell.inbox_keys() == {topics.submission_key(JOB_ID, 'o1')}
        await cell.succeed()
        assert cell.job().state is QUEUED
        assert not cell.job().inbox_since

    curio.run(scenario)


@pytest.mark.parametrize('loses_owner', [False, True])
def test_deletion_deletes_a_submission_that_the_owner_has_not_read(
    loses_owner,
):
    """Another host accepts the same ID just before the deletion arrives."""

    async def scenario():
        cell = await ended_cell()
        await cell.write()

        def submit(topic, part):
            if (topic, part) == (topics.INBOX, 0):
                cell.store.before_append = lambda topic, part: None
                cell.submit(0)

        cell.store.before_append = submit
        await cell.delete()
        if not loses_owner:
            await cell.read()
            await cell.delete()
        await cell.succeed()
        assert cell.job().state is QUEUED

    curio.run(scenario)


@pytest.mark.parametrize('steps', range(5))
def test_job_submitted_again_is_lost_with_the_owner_between_two_steps(steps):
    """It is submitted once the ID is free, the owner is lost a step later."""

    async def scenario():
        cell = await ended_cell()
        await cell.write()
        assert cell.job() is None
        cell.submit(2)
        if steps:
            await cell.read()
            assert cell.job().state is QUEUED
        if steps in (2, 4):
            await cell.write()
        if steps in (3, 4):
            await cell.delete()
        for _ in range(2):
            await cell.succeed()
            assert cell.job().state is QUEUED
            await cell.write()

    curio.run(scenario)


@pytest.mark.parametrize('fails', [False, True])
def test_submission_during_a_retirement_is_applied_before_it_is_written(fails):
    """The next owner would take it for one of the ended job."""

    async def scenario():
        cell = await ended_cell()
        cell.submit(2)
        await cell.read()
        if fails:
            cell.owner._writer.mark_used([0, 1])
            cell.store.down = {(topics.JOBS, 1)}
            await cell.write()
            cell.store.down = set()
            await cell.retire()
        assert cell.job().state is CANCELLED
        await cell.write()
        assert cell.job().state is QUEUED
        await cell.succeed()
        assert cell.job().state is QUEUED

    curio.run(scenario)


def test_former_deletion_ends_while_a_second_retirement_is_written():
    """The deletion would delete the retirement, whose records are left."""

    async def scenario():
        cell = await ended_cell()
        await cell.write()
        cell.store.down = {CANCEL_PART}
        await cell.delete()
        cell.cancel(2)
        await cell.read()
        deletion, writer = cell.owner.intake.deletion, cell.owner._writer
        assert deletion.add({JOB_ID: CANCELLED.value})
        await deletion.retire(writer)
        cell.store.down = set()
        append = cell.store.append

        async def append_and_delete(topic, *args, **options):
            end = await append(topic, *args, **options)
            if topic == topics.JOBS:
                cell.store.append = append
                await deletion.delete(writer)
            return end

        cell.store.append = append_and_delete
        await cell.write()
        cell.store.down = {(topics.INBOX, 2)}
        await cell.write()
        cell.submit(0)
        await cell.read()
        cell.owner.engine.dirty.clear()  # lost before the job's record
        await cell.succeed()
        assert cell.job().state is QUEUED

    curio.run(scenario)


def test_repeated_submission_of_a_known_job_runs_it_again():
    async def scenario():
        cell = inbox_cell.Cell()
        await cell.succeed()
        await cell.end_job()
        cell.submit(2)
        await cell.succeed()
        assert cell.job().state is CANCELLED
        await cell.retire()
        await cell.write()
        await cell.delete()
        assert not cell.inbox_keys()
        await cell.succeed()
        assert cell.job() is None

    curio.run(scenario)


@pytest.mark.parametrize('down', [0, 1])
def test_partition_without_the_retirement_has_the_newest_record_left(down):
    """The store is down for one partition of progress, then the other."""

    async def scenario():
        cell = await ended_cell()
        cell.owner._writer.mark_used([0, 1])
        cell.store.down = {(topics.JOBS, down)}
        await cell.write()
        assert cell.job().state is CANCELLED
        cell.store.down = set()
        await cell.succeed()
        cell.owner._writer.mark_used([0, 1])
        await cell.retire()
        await cell.write()
        assert cell.job() is None
        await cell.delete()
        cell.store.down = {(topics.JOBS, 1 - down)}
        await cell.delete()
        cell.submit(2)
        cell.store.down = set()
        await cell.succeed()
        assert cell.job().state is QUEUED

    curio.run(scenario)


def test_old_cancellation_of_another_organisation_is_applied_later():
    """It was ignored, as the job was that of o1; now the job is that of o2."""

    async def scenario():
        cell = inbox_cell.Cell()
        await cell.succeed()
        cell.cancel(1, 'o2')
        await cell.end_job(cancel_part=2)
        await cell.retire()
        await cell.write()
        cell.store.down = {CANCEL_PART}
        await cell.delete()
        cell.submit(0, 'o2')
        await cell.read()
        assert cell.job().state is QUEUED
        await cell.succeed()
        assert cell.job().state is QUEUED

    curio.run(scenario)


@pytest.mark.parametrize('excess', [False, True])
def test_forgotten_cancellation_is_applied_by_the_next_owner(
    excess, monkeypatch
):
    """Its job didn't appear in time, or there were too many of them."""

    async def scenario():
        cell = inbox_cell.Cell()
        await cell.succeed()
        cell.cancel(1)
        if excess:
            monkeypatch.setattr(cancellations, 'MAX_DEFERRED_JOBS', 1)
            cell.cancel(2, job_id='f' * 16)
        await cell.read()
        if not excess:
            deferred_at = cell.owner.intake.cancellations._deferred_at
            deferred_at[JOB_ID] -= cancellations.DEFERRAL_S + 1
        cell.store.down = {CANCEL_PART}
        await cell.delete()
        cell.submit(0)
        await cell.read()
        assert cell.job().state is QUEUED
        await cell.succeed()
        assert cell.job().state is QUEUED

    curio.run(scenario)


def test_cancellation_expires_while_its_job_may_be_unread():
    async def scenario():
        cell = inbox_cell.Cell()
        await cell.succeed()
        cell.cancel(1)
        await cell.read()
        cell.owner.inboxes[0]._failing = True
        deferred_at = cell.owner.intake.cancellations._deferred_at
        deferred_at[JOB_ID] -= cancellations.DEFERRAL_S + 1
        await cell.delete()
        cell.owner.inboxes[0]._failing = False
        await cell.delete()
        cell.submit(0)
        await cell.read()
        assert cell.job().state is CANCELLED

    curio.run(scenario)


def test_deletion_calls_the_store_for_partitions_without_records():
    """Each call is priced, and a cell has 12 partitions or more."""

    async def scenario():
        cell = await ended_cell()
        await cell.write()
        cell.store.appends.clear()
        await cell.delete()
        assert cell.store.appends == [
            (topics.INBOX, 0),
            (topics.INBOX, 1),
            (topics.JOBS, 0),
        ]

    curio.run(scenario)


def test_busy_partition_is_tried_without_end(monkeypatch):
    """Other hosts append faster than the owner reads."""

    async def scenario():
        cell = await ended_cell()
        await cell.write()
        cell.store.before_append = lambda topic, part: (
            cell.cancel(part, 'o3', 'f' * 16)
            if topic == topics.INBOX
            else None
        )
        cell.store.appends.clear()
        await cell.delete()
        assert cell.store.appends.count((topics.INBOX, 0)) == 3
        assert cell.owner.ctx.log.named('forgetting_failed')

    curio.run(scenario)


def test_state_is_unknown_while_a_submission_waits_for_a_retirement():
    """The next owner may take it for one of the former job."""

    async def scenario():
        cell = inbox_cell.Cell()
        progress = records.encode_job(await a_job(), now=context.monotonic())
        cell.store.log(topics.JOBS, 0).append(
            store.encode_keyed(JOB_ID, progress)
        )
        await cell.succeed()
        cell.submit(0)
        await cell.read()
        with pytest.raises(exceptions.StoreUnavailable):
            await cell.owner.query_job_state(JOB_ID, 'o1')
        await cell.delete()
        assert await cell.owner.query_job_state(JOB_ID, 'o1') is QUEUED

    curio.run(scenario)


async def a_job():
    cell = inbox_cell.Cell()
    await cell.succeed()
    await cell.end_job()
    return cell.job()


def test_former_release_cannot_read_a_retirement():
    async def scenario():
        cell = await ended_cell()
        await cell.write()
        _, value = store.decode_keyed(cell.store.log(topics.JOBS, 0)[-1])
        fields = msgspec.structs.fields(records.JobRow)
        former_row = msgspec.defstruct(
            'FormerRow',
            [(field.name, field.type) for field in fields[:-1]],
            array_like=True,
        )
        row = msgspec.msgpack.decode(value, type=former_row)
        assert row.state == CANCELLED.value
        former = msgspec.msgpack.encode(row)
        assert records.decode_job(former).inbox is None

    curio.run(scenario)
