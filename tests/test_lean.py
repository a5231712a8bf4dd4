"""Test the replacement of a process by one with a smaller footprint."""

import subprocess
import sys

from hibiscusslip import lean

_CODE = """
import os
import sys
from hibiscusslip import lean
print(os.getpid())
lean.become('hibiscusslip.tests_probe', ['x'])
"""


def test_become_keeps_the_pid_and_passes_arguments(tmp_path):
    package = tmp_path / 'probe.py'
    package.write_text('import os, sys\nprint(os.getpid(), sys.argv[1:])\n')
    code = _CODE.replace('hibiscusslip.tests_probe', 'probe')
    done = subprocess.run(
        [sys.executable, '-c', code],
        env={'PYTHONPATH': str(tmp_path)},
        capture_output=True,
        text=True,
        check=True,
    )
    first, second = done.stdout.splitlines()
    assert second == f"{first} ['x']"


def test_flags_are_used_only_with_prepared_bytecode(tmp_path, monkeypatch):
    monkeypatch.setattr(sys, 'prefix', str(tmp_path))
    assert lean.interpreter_flags() == []
    (tmp_path / lean.BYTECODE_DIRECTORY).mkdir()
    assert lean.interpreter_flags()[0] == '-OO'


def test_daemon_loads_no_tls_and_its_digests_work():
    code = (
        'import sys\n'
        'from hibiscusslip.node import __main__ as node\n'
        'from hibiscusslip import lean\n'
        'lean.leave_out(node.UNUSED_MODULES)\n'
        'from hibiscusslip.node import daemon\n'
        'import hmac, hashlib\n'
        'hmac.digest(b"k", b"d", "sha256"), hashlib.blake2b(b"x")\n'
        'print([n for n in node.UNUSED_MODULES if sys.modules[n]])\n'
    )
    done = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.strip() == '[]'
