"""Check what an owner decides about callers before it has a configuration.

All hosts were killed, and the store doesn't serve the configuration yet.
"""

import curio
import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.host import owner
from hibiscusslip.platform import exceptions
from tests.host import fakes
from tests.host import inbox_cell
from tests.host import test_access
from tests.host import test_job_access

JOB_ID = test_access.JOB_ID
JOB = (JOB_ID, test_job_access.submission('o1'))
PUBLIC = test_access.read(Public=True)
CLOSED = test_access.read()


def make_owner(*inbox):
    """Return an owner without a configuration that has read these records."""
    ctx = fakes.make_context(fakes.FakeStore())
    local_owner = owner.Owner(ctx, None, None, 1)
    for key, value in inbox:
        inbox_cell.read_by(local_owner, key, value)
    return local_owner


def configure(local_owner, config):
    local_owner.ctx.config = config
    local_owner._configure()


@pytest.mark.parametrize('first', ['job', 'cancellation'])
@pytest.mark.parametrize(
    ('config', 'expected'),
    [(PUBLIC, model.JobState.CANCELLED), (CLOSED, model.JobState.QUEUED)],
)
def test_cancellation_read_before_the_configuration_is_decided_by_it(
    first, config, expected
):
    """It had been acknowledged, and its job ran on for ever."""
    foreign = test_job_access.cancellation('o2')
    inbox = (JOB, foreign) if first == 'job' else (foreign, JOB)
    local_owner = make_owner(*inbox)
    job = local_owner.engine.jobs[JOB_ID]
    assert job.state is model.JobState.QUEUED
    configure(local_owner, config)
    assert job.state is expected


def test_recovered_cancellation_is_decided_by_the_configuration():
    cell = inbox_cell.Cell()

    async def main():
        cell.submit(part=0, organisation='o1')
        cell.cancel(part=1, organisation='o2')
        await cell.succeed()
        assert cell.job().state is model.JobState.QUEUED
        config = test_access.read(Name='q', Public=True)
        configure(cell.owner, config)
        assert cell.job().state is model.JobState.CANCELLED

    curio.run(main)


def test_state_is_not_denied_before_there_is_a_configuration():
    """Callers of a public queue were told that their job doesn't exist."""
    local_owner = make_owner(JOB)

    async def query(organisation):
        return await local_owner.query_job_state(JOB_ID, organisation)

    with pytest.raises(exceptions.StoreUnavailable):
        curio.run(query, '')
    assert curio.run(query, 'o1') is model.JobState.QUEUED
    configure(local_owner, PUBLIC)
    assert curio.run(query, '') is model.JobState.QUEUED
    configure(local_owner, CLOSED)
    assert curio.run(query, '') is None
