"""Check that hosts on slow links serve with the state of a large cell.

The figures are those of the users' grown deployments: the slowest link, the
time within which a configuration has to be in force, and the number of
routes that one change adds.
"""

import curio

from tests.faults import serving
from tests.platform import cell

LINK_MBPS = 5.0
CONFIG_IN_FORCE_S = 3.0
ROUTES = 4 * 1400
OLD_POLL_S = 1.7  # the long poll for the next version lasts 2 s


async def apply_in_time(running, version):
    """Write a version; return whether it is in force in time."""
    ctx = running.contexts['slow']
    document = cell.large_config_document(version, ROUTES)
    running.store.put('keyed.op', 'config', document)
    async with curio.ignore_after(CONFIG_IN_FORCE_S):
        while ctx.config is None or ctx.config.version != version:
            await curio.sleep(0.01)
        return True
    return False


def test_large_configuration_is_in_force_in_time_on_a_slow_link():
    async def scenario():
        async with cell.running(hosts=0, endpoints=0) as running:
            await running.add_host('slow', LINK_MBPS)
            ctx = running.contexts['slow']
            await running.wait_until(lambda: ctx.config is not None)
            for version in (2, 3):
                await curio.sleep(OLD_POLL_S)
                assert await apply_in_time(running, version), (
                    f'version {version} is not in force, but'
                    f' {ctx.config.version}'
                )

    serving.run(scenario)
