"""Check the configured limit of the body of a request."""

import curio
import msgspec

from hibiscusslip.host import topics
from hibiscusslip.platform import store
from tests.platform import cell as cells

DEFAULT = 262144
JOB = '0123456789abcdef'


def config(version, max_body_bytes):
    document = msgspec.json.decode(cells.config_document(version))
    document['Limits'] = {'MaxBodyBytes': max_body_bytes}
    return msgspec.json.encode(document)


def job_of(size):
    """Return a valid job, filled up with blanks."""
    job = msgspec.json.encode({'Spec': 'x', 'Steps': [{'Count': 1}]})
    return job + b' ' * (size - len(job))


def inbox_of(cell):
    return {
        key: value
        for part in range(12)
        for key, value in cell.store.values(topics.INBOX, part).items()
    }


def test_changed_limit_takes_force_with_its_version():
    """It was read, checked and published, and never applied."""

    async def scenario():
        async with cells.running(config=config(1, DEFAULT)) as cell:
            path = cells.PREFIX + JOB
            ctx = cell.contexts['h0']
            await cell.wait_until(lambda: ctx.config is not None)
            for version, limit, status in (
                (2, 1000, 413),
                (3, 3000, 200),
                (4, 1999, 413),
            ):
                cell.store.put('keyed.op', 'config', config(version, limit))
                await cell.wait_until(
                    lambda version=version: ctx.config.version == version
                )
                response = await cell.call('h0', 'POST', path, job_of(2000))
                assert response.status == status
            text = ctx.metrics.render().decode()
            assert 'reason="body_too_large"} 2' in text

    curio.run(scenario)


def test_largest_request_is_served():
    async def scenario():
        async with cells.running() as cell:
            await cell.wait_until(lambda: cell.owner() is not None)
            response = await cell.call(
                'h0', 'POST', cells.PREFIX + JOB, job_of(DEFAULT)
            )
            assert response.status == 200
            await cell.wait_for_state('h0', JOB, 'completed')
            (value,) = inbox_of(cell).values()
            assert len(store.encode_keyed(JOB, value)) <= DEFAULT
            response = await cell.call(
                'h0', 'POST', cells.PREFIX + JOB, job_of(DEFAULT + 1)
            )
            assert response.status == 413

    curio.run(scenario)


def test_job_that_fits_into_no_record_is_refused_at_once():
    """The store refused it, and the caller was told to come back."""
    spare = msgspec.json.encode(
        {
            'Spec': 'x',
            'Steps': [{'Count': 1, 'Image': 'i' * (DEFAULT - 60)}],
        }
    )
    assert DEFAULT - 30 < len(spare) <= DEFAULT

    async def scenario():
        async with cells.running() as cell:
            await cell.wait_until(lambda: cell.owner() is not None)
            response = await cell.call('h0', 'POST', cells.PREFIX + JOB, spare)
            assert response.status == 413
            assert not inbox_of(cell)

    curio.run(scenario)
