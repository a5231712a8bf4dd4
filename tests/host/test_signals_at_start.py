"""Check what signals do to a host that starts."""

import os
import signal
import subprocess
import sys

from hibiscusslip.host import starting
from hibiscusslip.platform import settings

TIMEOUT_S = 30.0
LOADED = (
    'import sys, hibiscusslip.host.__main__;'
    ' sys.exit("curio" in sys.modules or "msgspec" in sys.modules)'
)


def test_signal_to_reload_doesnt_end_a_host_that_reads_its_settings(tmp_path):
    # Failure: SIGHUP in the first half second ended the host.
    path = tmp_path / 'settings'
    os.mkfifo(path)
    environ = {**os.environ, settings.FILE_VARIABLE: str(path)}
    process = subprocess.Popen(
        [sys.executable, '-m', 'hibiscusslip.host'],
        env=environ,
        stderr=subprocess.PIPE,
    )
    try:
        with path.open('w') as file:  # opens once the host opens it to read
            process.send_signal(signal.SIGHUP)
            file.write('invalid\n')
        _, errors = process.communicate(timeout=TIMEOUT_S)
    finally:
        process.kill()
    assert process.returncode == starting.EXIT_SETTINGS, errors


def test_signals_are_handled_before_the_slow_imports():
    # Failure: as above, while modules were imported.
    process = subprocess.run(
        [sys.executable, '-c', LOADED], timeout=TIMEOUT_S, check=False
    )
    assert process.returncode == 0
