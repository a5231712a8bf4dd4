"""Check that a job's timeline is reconstructed from incomplete logs."""

import json

from hibiscusslip.commands import _timeline
from hibiscusslip.commands import ctl

JOB = '00000000000000a1'


def make_line(at, event, host='h1', **fields):
    return json.dumps({'at': at, 'host': host, 'event': event, **fields})


def write_log(directory, name, *lines):
    path = directory / name
    path.write_text('\n'.join(lines) + '\n')
    return path


def test_timeline_has_only_events_of_the_job(tmp_path):
    path = write_log(
        tmp_path,
        'h1',
        make_line(5.0, 'store_lost', reason='reset'),
        make_line(5.2, 'job_refused', job=JOB, queue='q'),
        make_line(5.3, 'job_accepted', job='other', queue='q'),
    )
    timeline = _timeline.read_timeline(JOB, [path])
    assert [event.name for event in timeline.events] == ['job_refused']
    assert timeline.events[timeline.deciding].name == 'job_refused'


def test_logs_of_several_hosts_are_merged_by_time(tmp_path):
    first = write_log(
        tmp_path,
        'h1',
        make_line(9.0, 'job_ended', 'h1', job=JOB, outcome='failed'),
        make_line(1.0, 'job_taken', 'h1', job=JOB),
    )
    second = write_log(
        tmp_path,
        'h2',
        make_line(0.9, 'job_accepted', 'h2', job=JOB),
        make_line(4.0, 'owner_won', 'h2', epoch=9),
        make_line(50.0, 'owner_won', 'h2', epoch=90),
    )
    timeline = _timeline.read_timeline(JOB, [first, second])
    assert [event.name for event in timeline.events] == [
        'job_accepted',
        'job_taken',
        'job_ended',
    ]
    assert [event.name for event in timeline.around] == ['owner_won']
    assert timeline.deciding == 2


def test_lost_run_is_the_deciding_event(tmp_path):
    path = write_log(
        tmp_path,
        'h1',
        make_line(1.0, 'run_ordered', task=f'{JOB}.0.0.0', run=1),
        make_line(7.0, 'run_lost', task=f'{JOB}.0.0.0', reason='lease lapsed'),
        make_line(7.1, 'run_ordered', task=f'{JOB}.0.0.0', run=2),
    )
    timeline = _timeline.read_timeline(JOB, [path])
    assert timeline.events[timeline.deciding].name == 'run_lost'


def test_bad_lines_are_counted_and_prefixes_ignored(tmp_path):
    path = write_log(
        tmp_path,
        'h1',
        '  12.345 front-1 ' + make_line(1.0, 'job_taken', job=JOB),
        make_line(2.0, 'job_ended', job=JOB)[:-9],
        'plain text',
        '{"at":"x","host":1,"event":null}',
        '',
    )
    timeline = _timeline.read_timeline(JOB, [path])
    assert [event.name for event in timeline.events] == ['job_taken']
    assert timeline.bad_lines == 4


def test_event_of_several_jobs_concerns_the_job(tmp_path):
    path = write_log(
        tmp_path,
        'h1',
        make_line(1.0, 'inbox_relayed', jobs=['x', JOB], to='h2'),
    )
    assert len(_timeline.read_timeline(JOB, [path]).events) == 1


def test_command_prints_the_timeline_and_marks_the_deciding_event(
    tmp_path, capsys
):
    path = write_log(
        tmp_path,
        'h1',
        make_line(1.0, 'job_taken', job=JOB),
        make_line(3.0, 'job_ended', job=JOB, outcome='completed'),
    )
    assert ctl.app(['why', JOB, str(path)], exit_on_error=False) == 0
    out = capsys.readouterr().out.splitlines()
    assert out[1].startswith('*') and 'outcome=completed' in out[1]
    assert ctl.app(['why', JOB, str(path), '--json'], exit_on_error=False) == 0
    document = json.loads(capsys.readouterr().out)
    assert (document['deciding'], document['bad_lines']) == (1, 0)


def test_limit_is_named_as_the_cause_of_a_wait(tmp_path, capsys):
    path = write_log(
        tmp_path,
        'h1',
        make_line(
            1.0,
            'held_by_limit',
            job=JOB,
            step=f'{JOB}.0.1',
            organisation='acme',
            usage={'cpu': 4000},
            limit={'cpu': 4000},
        ),
        make_line(2.0, 'run_ordered', task=f'{JOB}.0.0.0', run=1),
        make_line(3.5, 'run_ordered', task=f'{JOB}.0.1.0', run=1),
        make_line(4.0, 'job_ended', job=JOB, outcome='completed'),
    )
    assert ctl.app(['why', JOB, str(path)], exit_on_error=False) == 0
    (line,) = (
        line
        for line in capsys.readouterr().out.splitlines()
        if line.startswith('step ')
    )
    assert 'waited for the limit of its organisation, 2.500 s' in line
    assert 'organisation=acme usage=cpu:4000 limit=cpu:4000' in line


def test_share_is_named_as_the_cause_of_a_wait(tmp_path, capsys):
    path = write_log(
        tmp_path,
        'h1',
        make_line(1.0, 'step_yields', step=f'{JOB}.0.0', reason='share'),
        make_line(1.5, 'run_ordered', task=f'{JOB}.0.0.0', run=1),
    )
    assert ctl.app(['why', JOB, str(path)], exit_on_error=False) == 0
    text = capsys.readouterr().out
    assert 'waited for other organisations, which go first, 0.500 s' in text


def test_expected_time_is_told_of_waiting_and_started_steps(tmp_path, capsys):
    """Before, it was told only of steps that had started."""
    expected = {'source': 'image', 'source_runs': 23}
    path = write_log(
        tmp_path,
        'h1',
        make_line(
            1.0,
            'step_expected',
            step=f'{JOB}.0.0',
            expected_ms=3000,
            source='declared',
            source_runs=0,
        ),
        make_line(
            1.0,
            'step_expected',
            step=f'{JOB}.0.1',
            expected_ms=4000,
            **expected,
        ),
        make_line(
            2.0,
            'run_ordered',
            task=f'{JOB}.0.0.0',
            run=1,
            expected_ms=2500,
            **expected,
        ),
    )
    assert ctl.app(['why', JOB, str(path)], exit_on_error=False) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line for line in lines if line.startswith('step ')] == [
        f'step {JOB}.0.0, started, is expected to run for 2.500 s, by 23 runs'
        ' of the same image',
        f'step {JOB}.0.1, not started, is expected to run for 4.000 s, by 23'
        ' runs of the same image',
    ]


def test_unknown_job_and_missing_file_are_reported(tmp_path, capsys):
    path = write_log(tmp_path, 'h1', make_line(1.0, 'job_taken', job='other'))
    assert ctl.app(['why', JOB, str(path)], exit_on_error=False) == 4
    assert 'no log line mentions' in capsys.readouterr().out
