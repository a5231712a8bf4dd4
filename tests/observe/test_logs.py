"""Check that logs are single lines without secrets."""

import io
import json
import logging

import loguru
import pytest

from hibiscusslip.observe import logs


def _logged(json_lines, *messages):
    out = io.StringIO()
    logs.configure('INFO', json_lines, 'h1', secrets=['hush-hush'], stream=out)
    for message in messages:
        loguru.logger.info('{}', message)
    return out


def test_plain_line_holds_host_and_message():
    text = _logged(False, 'started').getvalue()
    assert text.endswith('INFO    h1 started\n')


def test_json_line_holds_the_same():
    line = json.loads(_logged(True, 'started').getvalue())
    assert (line['host'], line['message']) == ('h1', 'started')
    assert line['level'] == 'INFO'


@pytest.mark.parametrize('json_lines', [False, True])
def test_no_secret_and_no_forged_line_gets_out(json_lines):
    out = _logged(json_lines, 'key hush-hush\nERROR forged')
    assert 'hush-hush' not in out.getvalue()
    assert out.getvalue().count('\n') == 1


@pytest.mark.parametrize('json_lines', [False, True])
def test_exception_is_told_by_type_only(json_lines):
    out = _logged(json_lines)
    try:
        raise ValueError('hush-hush')
    except ValueError:
        loguru.logger.exception('failed')
    assert 'ValueError' in out.getvalue()
    assert 'hush-hush' not in out.getvalue()


def test_records_of_libraries_are_passed_on():
    out = _logged(False)
    logging.getLogger('library').warning('odd hush-hush')
    assert 'library: odd [hidden]' in out.getvalue()


def test_unknown_level_is_refused():
    with pytest.raises(ValueError, match='use one of'):
        logs.configure('LOUD')
