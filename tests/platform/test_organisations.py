"""Check the access of organisations over real sockets, with failures."""

import time

import curio
import pytest

from hibiscusslip.platform import exceptions
from hibiscusslip.platform import settings
from tests.platform import cell as cells

JOB = '00000000000000a1'
CONTRACTS = f'Contracts=quota,{settings.ORGANISATIONS_CONTRACT}\n'
CONFIG_APPLY_S = 2.0
REVOKE_S = 5.0
KEYS = {'o1': ['first-key'], 'o2': ['other-key']}


@pytest.fixture(autouse=True)
def no_key_is_logged(capfd):
    """Check the logs of the hosts of each test, which are on its stdout."""
    yield
    logged = ''.join(capfd.readouterr())
    assert 'config_taken' in logged
    for key in ('first-key', 'other-key', 'new-key'):
        assert key not in logged


def bearer(key):
    return {'authorization': f'Bearer {key}'}


def run(scenario, **options):
    config = cells.organisations_document(1, KEYS)

    async def main():
        async with cells.running(
            config=config, extra_settings=CONTRACTS, **options
        ) as cell:
            await cell.wait_until(lambda: cell.owner())
            await scenario(cell)

    curio.run(main)


async def call(cell, name, method, key, job_id=JOB):
    body = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":500}]}'
    return await cell.call(
        name, method, cells.PREFIX + job_id, body, **bearer(key)
    )


def change_keys(cell, version, keys):
    document = cells.organisations_document(version, keys)
    cell.store.put('keyed.op', 'config', document)


class FailingStore:
    """Refuse each call of a host, or leave it unanswered."""

    def __init__(self, silent):
        self._silent = silent

    async def _fail(self, *args, **options):
        if self._silent:
            await curio.sleep(30.0)
        raise exceptions.StoreUnavailable('refused')

    append = read = newest = _fail


def test_job_is_visible_to_another_organisation():
    async def scenario(cell):
        first, second = cell.hosts
        assert (await call(cell, first, 'POST', 'first-key')).status == 200
        for name in (first, second):
            async with curio.timeout_after(15.0):
                while (
                    await call(cell, name, 'GET', 'first-key')
                ).status != 200:
                    await curio.sleep(0.05)
            for method in ('GET', 'DELETE'):
                response = await call(cell, name, method, 'other-key')
                assert response.status == 410
            assert (await call(cell, name, 'GET', 'x')).status == 401
        response = await call(cell, second, 'DELETE', 'first-key')
        assert response.status == 200

    run(scenario, hosts=2)


@pytest.mark.parametrize('silent', [False, True])
def test_withdrawn_key_works_at_a_host_that_the_store_fails(silent):
    """A new key has to work there as soon as elsewhere, too."""

    async def scenario(cell):
        await cell.wait_until(
            lambda: all(len(c.hosts) == 3 for c in cell.contexts.values())
        )
        cut_off = next(name for name in cell.hosts if name != cell.owner())
        cell.contexts[cut_off].store = FailingStore(silent)
        await curio.sleep(CONFIG_APPLY_S)  # for the calls that are under way
        change_keys(cell, 2, {'o1': ['new-key'], 'o2': ['other-key']})
        changed = time.monotonic()
        while (await call(cell, cut_off, 'GET', 'first-key')).status != 401:
            assert time.monotonic() < changed + REVOKE_S
            await curio.sleep(0.05)
        assert (await call(cell, cut_off, 'GET', 'new-key')).status == 410
        await curio.sleep(CONFIG_APPLY_S + 0.5)
        response = await call(cell, cut_off, 'GET', 'first-key')
        # 503 if the machine is so busy that peers lag as well.
        assert response.status in (401, 503)

    run(scenario, hosts=3)


def test_withdrawn_key_works_on_a_connection_that_was_open_before():
    """Also for a request whose head arrived before the key was withdrawn."""

    async def scenario(cell):
        (name,) = cell.hosts
        sock = await curio.open_connection(cell.addresses[name], 18149)
        await sock.sendall(_head('GET', 'first-key', b''))
        assert (await sock.recv(4096)).startswith(b'HTTP/1.1 200')
        body = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":500}]}'
        await sock.sendall(_head('POST', 'first-key', body))
        await curio.sleep(0.1)
        change_keys(cell, 2, {'o2': ['other-key']})
        await cell.wait_until(lambda: cell.contexts[name].config.version == 2)
        await sock.sendall(body)
        assert (await sock.recv(4096)).startswith(b'HTTP/1.1 401')
        await sock.close()

    run(scenario)


def _head(method, key, body):
    job_id = JOB if body else ''
    return (
        f'{method} {cells.PREFIX}{job_id} HTTP/1.1\r\nHost: {cells.HOST}\r\n'
        f'Authorization: Bearer {key}\r\nContent-Length: {len(body)}\r\n\r\n'
    ).encode()


def test_unknown_key_is_denied_by_a_host_that_nobody_tells_of_new_ones():
    async def scenario(cell):
        (name,) = cell.hosts
        cell.contexts[name].store = FailingStore(False)
        await cell.wait_until(
            lambda: not cell.contexts[name].config_is_current(time.monotonic())
        )
        assert (await call(cell, name, 'GET', 'new-key')).status == 503
        assert (await call(cell, name, 'GET', 'first-key')).status != 401

    run(scenario)


def test_withdrawn_key_works_again_after_the_history_was_compacted():
    async def scenario(cell):
        (name,) = cell.hosts
        change_keys(cell, 2, {'o2': ['other-key']})
        await cell.wait_until(lambda: cell.contexts[name].config.version == 2)
        cell.store.partition('keyed.op').drop_history()
        await cell.kill(name)
        await cell.add_host('h9')
        await cell.wait_until(lambda: cell.contexts['h9'].config)
        assert (await call(cell, 'h9', 'GET', 'first-key')).status in (
            401,
            503,
        )
        await cell.wait_until(lambda: cell.owner())
        assert (await call(cell, 'h9', 'GET', 'first-key')).status == 401

    run(scenario)
