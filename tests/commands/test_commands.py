"""Check the programs against real listeners with fake services."""

import json
import os
import pathlib
import subprocess
import sys

import pytest

from hibiscusslip.commands import _load
from hibiscusslip.commands import _output
from hibiscusslip.commands import ctl
from hibiscusslip.commands import entry
from hibiscusslip.commands import submit
from hibiscusslip.sheet import samples
from tests.commands import api_process
from tests.settings import test_settings


def serve(*args):
    """Start both APIs; return the process and the two ports."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'tests.commands.api_process', *args],
        stdout=subprocess.PIPE,
        text=True,
    )
    ports = [process.stdout.readline().strip() for _ in range(2)]
    return process, ports


@pytest.fixture(scope='module')
def ports():
    """Return the ports of the callers' and the operators' API."""
    process, listening = serve()
    yield listening
    process.kill()
    process.wait()


@pytest.fixture(scope='module')
def outdated_ports():
    """Return the ports of APIs whose fleet has an outdated host."""
    process, listening = serve('behind')
    yield listening
    process.kill()
    process.wait()


@pytest.fixture(autouse=True)
def secret(monkeypatch):
    """Set the secret that signs operators' calls."""
    monkeypatch.setenv(
        'HIBISCUSSLIP_OPERATOR_SECRET', api_process.SECRET.decode()
    )


def run(app, capsys, *args):
    """Return exit code, output and error output of a program."""
    with pytest.raises(SystemExit) as caught:
        _output.run_app(app, list(args))
    out, err = capsys.readouterr()
    return caught.value.code, out, err


def run_ctl(ports, capsys, command, *args):
    """Run hibiscusslip-ctl against the operators' API."""
    entry_args = ('--entry', f'127.0.0.1:{ports[1]}', '--key-id', 'k')
    return run(ctl.app, capsys, command, *args, *entry_args)


def run_submit(ports, capsys, command, *args):
    """Run hibiscusslip-submit; the first entry host is unreachable."""
    entry_args = ('--entry', '127.0.0.1:1', '--entry', f'127.0.0.1:{ports[0]}')
    return run(submit.app, capsys, command, *args, *entry_args)


@pytest.fixture
def sheet_file(tmp_path):
    """Return a sheet that differs from the one in force."""
    path = tmp_path / 'sheet.csv'
    path.write_bytes(samples.read('estendal').replace(b'0,35', b'0,3'))
    return str(path)


def test_check_reports_all_faults(capsys, tmp_path, sheet_file):
    assert run(ctl.app, capsys, 'check', sheet_file)[0] == 0
    path = tmp_path / 'bad.csv'
    path.write_text('row,kind,guarantee\nshare,web,2\n')
    code, out, err = run(ctl.app, capsys, 'check', str(path))
    assert code == 1
    assert 'row 2, column guarantee' in out
    assert 'nothing was changed' in err
    code, out, _ = run(ctl.app, capsys, 'check', str(path), '--json')
    assert {fault['column'] for fault in json.loads(out)['faults']} == {
        'guarantee',
        'ceiling',
    }


def test_diff_shows_the_changes(ports, capsys, sheet_file):
    code, out, _ = run_ctl(ports, capsys, 'diff', sheet_file)
    assert code == 0
    assert 'changed share quote: guarantee 0.35 -> 0.3' in out
    assert '1 changes against version 3' in out


def test_apply_shows_where_it_is_in_force(
    ports, outdated_ports, capsys, sheet_file
):
    code, out, _ = run_ctl(ports, capsys, 'apply', sheet_file)
    assert (code, out.splitlines()[-1]) == (0, 'in force at 2 of 2 hosts')
    code, out, _ = run_ctl(
        outdated_ports, capsys, 'apply', sheet_file, '--wait', '0.1', '--json'
    )
    document = json.loads(out)
    assert code == 4
    assert (document['in_force'], document['missing']) == (1, ['h2'])


def test_apply_reports_a_version_conflict(ports, capsys, sheet_file):
    code, out, _ = run_ctl(
        ports, capsys, 'apply', sheet_file, '--made-from', '2'
    )
    assert code == 3
    assert 'bob published version 3 first' in out
    assert 'guarantee 0.35 -> 0.3' in out


@pytest.mark.parametrize('command', [['status'], ['top', '--count', '1']])
def test_views_fit_80_columns_and_name_unreachable_hosts(
    ports, capsys, command
):
    code, out, _ = run_ctl(ports, capsys, *command)
    assert code == 4
    assert 'unreachable: h2' in out
    assert '1@7' in out
    assert max(map(len, out.splitlines())) <= 80


def test_history_and_explain(ports, capsys):
    assert 'h2 died' in run_ctl(ports, capsys, 'history')[1]
    assert 'j1 waits' in run_ctl(ports, capsys, 'explain', 'j1')[1]


def test_drain_waits_until_the_host_or_endpoint_is_done(
    outdated_ports, capsys
):
    drain = ('drain', 'w1', '--endpoint')
    code, out, _ = run_ctl(outdated_ports, capsys, *drain)
    assert (code, out) == (0, 'w1: 1 tasks left\nw1: 0 tasks left\n')
    code, out, _ = run_ctl(outdated_ports, capsys, 'drain', 'h1')
    assert (code, out) == (
        0,
        'h1: stops\nh1: it has stopped, or can not be reached\n',
    )


def test_cancel_needs_confirmation_and_a_selector(ports, capsys):
    code, out, _ = run_ctl(ports, capsys, 'cancel', '--team', 'red')
    assert code == 0
    assert '1 jobs match' in out
    assert 'cancelled' not in out
    out = run_ctl(ports, capsys, 'cancel', '--team', 'red', '--yes')[1]
    assert '2 jobs cancelled' in out
    code, _, err = run_ctl(ports, capsys, 'cancel', '--yes')
    assert (code, 'every job' in err) == (1, True)


def test_wrong_secret_is_refused(ports, capsys, monkeypatch):
    monkeypatch.setenv('HIBISCUSSLIP_OPERATOR_SECRET', 'wrong')
    code, _, err = run_ctl(ports, capsys, 'status')
    assert (code, 'use the id' in err) == (1, True)


@pytest.mark.parametrize(
    ('outcome', 'code'),
    [
        ('succeeded', 0),
        ('failed', 1),
        ('not_run', 1),
        ('queued', 4),
        ('unknown', 5),
    ],
)
def test_submit_reports_each_outcome(ports, capsys, outcome, code):
    job = ('--team', 'red', '--kind', outcome, '--payload', 'hello')
    actual, out, _ = run_submit(ports, capsys, 'submit', *job)
    assert actual == code
    assert outcome in out
    assert ('hello' in out) == (outcome == 'succeeded')


def test_wait_answer_and_cancel(ports, capsys, tmp_path):
    job = ('--team', 'red', '--kind', 'succeeded', '--payload', 'hello')
    out = run_submit(ports, capsys, 'submit', *job, '--json', '--key', 'k1')[1]
    job_id = json.loads(out)['job_id']
    assert run_submit(ports, capsys, 'wait', job_id)[0] == 0
    path = tmp_path / 'answer'
    run_submit(ports, capsys, 'answer', job_id, '--output', str(path))
    assert path.read_text() == 'hello'
    assert run_submit(ports, capsys, 'cancel', 'none')[0] == 1
    assert 'waits' in run_submit(ports, capsys, 'explain', job_id)[1]


def test_load_counts_every_request(ports, capsys):
    job = ('--team', 'red', '--kind', 'succeeded')
    code, out, _ = run_submit(
        ports,
        capsys,
        'load',
        *job,
        '--rate',
        '200',
        '--duration',
        '0.2',
        '--seed',
        '1',
        '--json',
    )
    report = json.loads(out)
    assert (code, report['planned']) == (0, 40)
    # The first of the two hosts doesn't listen.
    assert report['outcomes'] == {'succeeded': 20, 'not_sent': 20}
    assert report['percentiles'][0]['latency_ms'] > 0


def test_arrivals_are_determined_by_the_seed():
    plan = _load.Plan([], b'', 10.0, 2.0, 1.0, 1, 1)
    assert _load.plan_arrivals(plan)[:3] == [0.0, 0.1, 0.2]
    seeded = _load.Plan([], b'', 10.0, 2.0, 1.0, 1, 1, seed=3)
    assert _load.plan_arrivals(seeded) == _load.plan_arrivals(seeded)
    assert len(set(_load.plan_arrivals(seeded))) == 20


def test_exit_codes_of_no_reachable_host_and_wrong_usage(capsys):
    job = ('submit', '--team', 'a', '--kind', 'b')
    entry_args = ('--entry', '127.0.0.1:1')
    assert run(submit.app, capsys, *job, *entry_args)[0] == 6
    assert run(submit.app, capsys, *job, '--entry', 'x')[0] == 2
    assert run(submit.app, capsys, 'submit', '--colour', 'red')[0] == 2


def test_entry_checks_settings_and_executes_the_daemon(
    capsys, tmp_path, monkeypatch
):
    monkeypatch.setenv('TEST_SECRET', test_settings.SECRET)
    path = pathlib.Path(tmp_path, 'entry.toml')
    path.write_text(test_settings.GOOD)
    args = ('--settings', str(path))
    assert run(entry.app, capsys, *args, '--check')[0] == 0
    executed = []
    monkeypatch.setattr(os, 'execv', lambda *call: executed.append(call))
    run(entry.app, capsys, *args)
    [(program, command_line)] = executed
    assert program == sys.executable
    assert command_line[-4:] == [
        '-m',
        'hibiscusslip.node',
        '--settings',
        str(path),
    ]
    path.write_text(test_settings.GOOD.replace('7400', '"x"'))
    code, _, err = run(entry.app, capsys, *args, '--check')
    assert code == 2
    assert 'listen.callers.port' in err
