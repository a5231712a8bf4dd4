"""Test that the crash of one of its loops ends the daemon."""

import pytest

from tests.faults import process
from tests.faults import settings_file

CRASH_EXIT = 70
CRASHING_DAEMON = """
import sys
from hibiscusslip.node import daemon
from hibiscusslip.node import {module} as module

async def broken(self, *args):
    raise ValueError('injected')

setattr(module.{name}, {method!r}, broken)
sys.exit(daemon.main())
"""


@pytest.mark.parametrize(
    ('module', 'name', 'method'),
    [
        ('fleet', 'Fleet', 'start_ready'),
        ('zone_feed', 'ZoneFeed', 'run'),
        ('ownership_driver', 'OwnershipDriver', 'tick'),
        ('appender', 'Appender', 'run'),
    ],
)
def test_crashed_loop_ends_the_process(tmp_path, module, name, method):
    secret = tmp_path / settings_file.SECRET_NAME
    secret.write_text(settings_file.SECRET)
    plan = settings_file.EntryPlan(
        'a-host0', 'a', 0, 0, 0, log_port=1, hosts_port=1
    )
    path = tmp_path / 'entry.toml'
    path.write_text(settings_file.render(plan, secret))
    code = CRASHING_DAEMON.format(module=module, name=name, method=method)
    args = ['-c', code, '--settings', str(path)]
    started = process.Process('entry', args, tmp_path)
    try:
        assert started.wait() == CRASH_EXIT
    finally:
        started.close()
    assert 'ValueError' in started.output()
