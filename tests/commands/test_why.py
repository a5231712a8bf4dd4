"""Check that a job's story is told from logs in any state."""

import json

from hibiscusslip.commands import _why
from hibiscusslip.commands import ctl

JOB = '00000000000000a1'


def line(at, event, host='h1', **fields):
    return json.dumps({'at': at, 'host': host, 'event': event, **fields})


def write(folder, name, *lines):
    path = folder / name
    path.write_text('\n'.join(lines) + '\n')
    return path


def test_refused_job(tmp_path):
    path = write(
        tmp_path,
        'h1',
        line(5.0, 'store_lost', reason='reset'),
        line(5.2, 'job_refused', job=JOB, queue='q'),
        line(5.3, 'job_accepted', job='other', queue='q'),
    )
    story = _why.read(JOB, [path])
    assert [event.name for event in story.events] == ['job_refused']
    assert story.events[story.deciding].name == 'job_refused'


def test_job_of_several_hosts_out_of_order(tmp_path):
    first = write(
        tmp_path,
        'h1',
        line(9.0, 'job_ended', 'h1', job=JOB, outcome='failed'),
        line(1.0, 'job_taken', 'h1', job=JOB),
    )
    second = write(
        tmp_path,
        'h2',
        line(0.9, 'job_accepted', 'h2', job=JOB),
        line(4.0, 'owner_won', 'h2', epoch=9),
        line(50.0, 'owner_won', 'h2', epoch=90),
    )
    story = _why.read(JOB, [first, second])
    assert [event.name for event in story.events] == [
        'job_accepted',
        'job_taken',
        'job_ended',
    ]
    assert [event.name for event in story.around] == ['owner_won']
    assert story.deciding == 2


def test_job_that_ran_again_after_a_lost_endpoint(tmp_path):
    path = write(
        tmp_path,
        'h1',
        line(1.0, 'run_ordered', task=f'{JOB}.0.0.0', run=1),
        line(7.0, 'run_lost', task=f'{JOB}.0.0.0', reason='lease lapsed'),
        line(7.1, 'run_ordered', task=f'{JOB}.0.0.0', run=2),
    )
    story = _why.read(JOB, [path])
    assert story.events[story.deciding].name == 'run_lost'


def test_bad_lines_are_counted_and_prefixes_left_out(tmp_path):
    path = write(
        tmp_path,
        'h1',
        '  12.345 front-1 ' + line(1.0, 'job_taken', job=JOB),
        line(2.0, 'job_ended', job=JOB)[:-9],
        'plain text',
        '{"at":"x","host":1,"event":null}',
        '',
    )
    story = _why.read(JOB, [path])
    assert [event.name for event in story.events] == ['job_taken']
    assert story.bad_lines == 4


def test_group_that_names_the_job(tmp_path):
    path = write(
        tmp_path, 'h1', line(1.0, 'inbox_relayed', jobs=['x', JOB], to='h2')
    )
    assert len(_why.read(JOB, [path]).events) == 1


def test_command_prints_the_story_and_marks_what_decided(tmp_path, capsys):
    path = write(
        tmp_path,
        'h1',
        line(1.0, 'job_taken', job=JOB),
        line(3.0, 'job_ended', job=JOB, outcome='completed'),
    )
    assert ctl.app(['why', JOB, str(path)], exit_on_error=False) == 0
    out = capsys.readouterr().out.splitlines()
    assert out[1].startswith('*') and 'outcome=completed' in out[1]
    assert ctl.app(['why', JOB, str(path), '--json'], exit_on_error=False) == 0
    told = json.loads(capsys.readouterr().out)
    assert (told['deciding'], told['bad_lines']) == (1, 0)


def test_unknown_job_and_missing_file_are_told(tmp_path, capsys):
    path = write(tmp_path, 'h1', line(1.0, 'job_taken', job='other'))
    assert ctl.app(['why', JOB, str(path)], exit_on_error=False) == 4
    assert 'no line tells' in capsys.readouterr().out
