"""Check what is done for a job whose progress can't be read.

Tasks of it may run, or be done, so a start could be the second one.
"""

import curio
import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.host import topics
from hibiscusslip.platform import store
from tests.dispatch import support
from tests.host import inbox_cell

JOB_ID = inbox_cell.JOB_ID
ROW = records.JobRow('running', [], [], [0])
ODD = [
    b'\xc1',
    records.msgspec.msgpack.encode(
        records.msgspec.structs.replace(ROW, state='odd')
    ),
    records.msgspec.msgpack.encode(
        records.msgspec.structs.replace(ROW, completed=[(0, 10**12)])
    ),
]


def put_progress(cell, value):
    log = cell.store.log(topics.JOBS, 0)
    log.append(store.encode_keyed(JOB_ID, value))


async def recover_beside(value):
    """Return a cell whose owner has recovered beside such a record."""
    cell = inbox_cell.Cell()
    cell.submit()
    put_progress(cell, value)
    await cell.succeed()
    engine = cell.owner.engine
    config = support.config(support.queue('q', service='s'))
    engine.configure(config, engine.policy)
    engine.register_endpoint(support.entry('e1', service='s'), 1.0)
    report = model.EndpointReport(1.0, 1.0, (), ())
    engine.handle_report('e1', report, 1.0, 1.0)
    return cell


@pytest.mark.parametrize('value', ODD)
def test_no_task_of_such_a_job_is_started(value):
    """All tasks were started anew beside those that ran."""

    async def main():
        cell = await recover_beside(value)
        cell.owner.engine.plan(2.0, support.WALL_TIME)
        assert cell.owner.engine.starts == []
        (line,) = cell.owner.ctx.log.named('progress_unreadable')
        assert line['job'] == JOB_ID

    curio.run(main)


def test_no_task_is_started_if_one_of_two_records_cant_be_read():
    """It may be the newer one; the owner writes to either partition."""

    async def main():
        cell = inbox_cell.Cell()
        readable = records.msgspec.msgpack.encode(ROW)
        for part, value in enumerate((readable, b'\xc1')):
            log = cell.store.log(topics.JOBS, part)
            log.append(store.encode_keyed(JOB_ID, value))
        cell.submit()
        await cell.succeed()
        assert cell.job().progress_unknown

    curio.run(main)


@pytest.mark.parametrize('value', ODD)
def test_its_record_is_kept_until_it_is_cancelled(value):
    """A host of another build may be able to read it."""

    async def main():
        cell = await recover_beside(value)
        before = list(cell.store.log(topics.JOBS, 0))
        cell.owner.engine.dirty.add(JOB_ID)
        await cell.write()
        assert cell.store.log(topics.JOBS, 0) == before
        cell.owner.engine.cancel(JOB_ID, 3.0)
        await cell.write()
        assert len(cell.store.log(topics.JOBS, 0)) > len(before)

    curio.run(main)


def test_job_whose_submission_cant_be_read_isnt_retired():
    """Its records were deleted, those of its progress as well."""

    async def main():
        cell = inbox_cell.Cell()
        cell.put(0, JOB_ID, b'\xc1')
        put_progress(cell, records.msgspec.msgpack.encode(ROW))
        await cell.succeed()
        assert JOB_ID not in cell.owner.intake.deletion._retiring

    curio.run(main)
