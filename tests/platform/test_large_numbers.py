"""Check that a number too large to compute with is refused at the border.

JSON has numbers of any size; beyond 1e308 none can be turned into a float.
"""

import curio
import msgspec
import pytest

from hibiscusslip.dispatch import records
from hibiscusslip.host import topics
from hibiscusslip.platform import documents
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store
from tests.platform import cell as cells
from tests.platform import test_odd_entries

HUGE = b'1' + b'0' * 400
JOB, LATER = (f'{number:016x}' for number in (1, 2))
STEP_FIELDS = (
    'Cpu', 'MemMb', 'Gpu', 'EstimateMs', 'AntiAffinity', 'TargetMs', 'MayMiss'
)  # fmt: skip


def job(**step):
    fields = {'Count': msgspec.Raw(b'1')}
    fields |= {name: msgspec.Raw(value) for name, value in step.items()}
    return msgspec.json.encode({'Spec': 'x', 'Steps': [fields]})


@pytest.mark.parametrize('number', [HUGE, b'9007199254740994'])
@pytest.mark.parametrize('field', STEP_FIELDS)
def test_step_with_a_number_that_is_too_large_is_invalid(field, number):
    with pytest.raises(exceptions.JobInvalid):
        documents.read_job(job(**{field: number}))


@pytest.mark.parametrize('field', ['StartMs', 'IntervalMs'])
@pytest.mark.parametrize('number', [b'1e308', b'9007199254740994'])
def test_time_that_is_too_large_is_invalid(field, number):
    body = b'{"Spec":"x","Times":1,"%s":%s,"Steps":[{}]}'
    with pytest.raises(exceptions.JobInvalid):
        documents.read_job(body % (field.encode(), number))


def two_priorities():
    """Return a configuration with an urgent queue, for which CPU is kept."""
    document = msgspec.json.decode(cells.config_document(Priority=1))
    (route,) = document['Routes']
    urgent = {**route, 'Name': 'urgent', 'PathPrefix': '/u/', 'Priority': 0}
    document['Routes'].append(urgent)
    return msgspec.json.encode(document)


def run(scenario):
    async def main():
        async with cells.running(config=two_priorities(), hosts=2) as cell:
            await cell.wait_until(cell.owner)
            await scenario(cell)

    curio.run(main)


def test_job_with_too_large_a_demand_stops_no_others():
    """It was accepted, and nothing was started any more."""

    async def scenario(cell):
        path = cells.PREFIX + JOB
        response = await cell.call('h0', 'POST', path, job(Cpu=HUGE))
        await curio.sleep(0.5)
        await test_odd_entries.complete(cell, 'h1', LATER)
        assert response.status == 400

    run(scenario)


def test_such_a_job_that_a_former_release_accepted_stops_no_others():
    async def scenario(cell):
        submission = records.Submission(
            'r-small', cells.SERVICE, 1.0, job(Cpu=HUGE)
        )
        value = records.encode_submission(submission)
        record = store.encode_keyed(JOB, value)
        cell.store._store_records(topics.INBOX, 0, [record])
        await curio.sleep(0.5)
        await test_odd_entries.complete(cell, 'h1', LATER)

    run(scenario)
