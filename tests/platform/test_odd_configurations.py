"""Check what an odd configuration costs, with real hosts.

Hosts must stay alive, keep the configuration that they have, and be able to
start again and take the next one.
"""

import curio
import pytest

from tests.platform import cell as cells
from tests.platform import test_odd_entries

HUGE = b'1' + b'0' * 400
BASE = cells.config_document(5)
ODD = {
    'Version': BASE.replace(b'"Version":5', b'"Version":' + HUGE),
    'Priority': BASE.replace(b'"Priority":0', b'"Priority":' + HUGE),
    'MaxAttempts': BASE.replace(b'"MaxAttempts":2', b'"MaxAttempts":' + HUGE),
    'MaxBodyBytes': BASE.replace(b'262144', HUGE),
    'Stretch': BASE.replace(b'"Stretch":2.0', b'"Stretch":1e308'),
    'nested': b'{"X":' + b'[' * 100_000,
    'no JSON': b'\xff',
}


@pytest.mark.parametrize('kind', ODD)
def test_odd_configuration_costs_nothing_but_itself(kind):
    async def scenario(cell):
        await test_odd_entries.complete(cell, 'h0', test_odd_entries.JOBS[0])
        cell.store.put('keyed.op', 'config', ODD[kind])
        await curio.sleep(0.5)
        await test_odd_entries.complete(cell, 'h1', test_odd_entries.JOBS[1])
        assert not any(task.terminated for task in cell.hosts.values())
        for name in list(cell.hosts):
            await cell.kill(name)
        await cell.add_host('h2')
        await curio.sleep(1.0)
        cell.store.put('keyed.op', 'config', cells.config_document(6))
        await test_odd_entries.complete(cell, 'h2', test_odd_entries.JOBS[2])
        assert not cell.hosts['h2'].terminated

    assert ODD[kind] != BASE
    test_odd_entries.run(scenario, hosts=2)
