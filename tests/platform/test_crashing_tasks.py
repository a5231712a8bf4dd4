"""Check over sockets that a task which crashes endpoints is given up."""

import curio
import pytest

from tests.platform import cell as cells

JOB = '00000000000000d1'
MAX_STARTS = 5


async def reboot_crashed(cell):
    """Start each crashed endpoint again, a second after it has crashed."""
    pending = set()
    while True:
        await curio.sleep(0.05)
        for name, endpoint in cell.endpoints.items():
            if endpoint.mode == '':
                pending.discard(name)
            elif name not in pending:
                pending.add(name)
                await curio.spawn(cell.reboot_endpoint, name, 1.0, daemon=True)


async def replace_owner(cell, number):
    """Kill the owner; start another host for it."""
    await cell.kill(cell.owner())
    await cell.add_host(f'r{number}')
    await cell.wait_until(lambda: cell.owner(), timeout=30.0)


def deadly_starts(cell):
    return {
        (task, run) for _, task, run in cell.starts() if task.endswith('1')
    }


async def wait_for_more_starts(cell):
    begun = len(deadly_starts(cell))
    await cell.wait_until(lambda: len(deadly_starts(cell)) > begun)


@pytest.mark.parametrize('owner_is_lost', [False, True])
def test_task_that_crashes_endpoints_is_started_without_end(owner_is_lost):
    async def main():
        async with cells.running(hosts=2, endpoints=4) as cell:
            for endpoint in cell.endpoints.values():
                endpoint.deadly = ('.1',)
            await cell.wait_until(lambda: cell.owner())
            reboots = await curio.spawn(reboot_crashed, cell, daemon=True)
            response = await cell.submit(cell.owner(), JOB)
            assert response.status == 200
            for number in range(2 if owner_is_lost else 0):
                await wait_for_more_starts(cell)
                await replace_owner(cell, number)
            owner = cell.owner()
            await cell.wait_for_state(owner, JOB, 'failed', timeout=60.0)
            assert len(deadly_starts(cell)) <= MAX_STARTS
            await reboots.cancel()

    curio.run(main)
