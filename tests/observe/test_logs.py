"""Check that each record is a single line without secrets."""

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


def test_plain_line_contains_host_and_message():
    text = _logged(False, 'started').getvalue()
    assert text.endswith('INFO    h1 started\n')


def test_json_line_contains_host_level_and_message():
    line = json.loads(_logged(True, 'started').getvalue())
    assert (line['host'], line['message']) == ('h1', 'started')
    assert line['level'] == 'INFO'


@pytest.mark.parametrize('json_lines', [False, True])
def test_secrets_are_masked_and_line_breaks_escaped(json_lines):
    out = _logged(json_lines, 'key hush-hush\nERROR forged')
    assert 'hush-hush' not in out.getvalue()
    assert out.getvalue().count('\n') == 1


@pytest.mark.parametrize('json_lines', [False, True])
def test_exception_is_logged_by_type_only(json_lines):
    out = _logged(json_lines)
    try:
        raise ValueError('hush-hush')
    except ValueError:
        loguru.logger.exception('failed')
    assert 'ValueError' in out.getvalue()
    assert 'hush-hush' not in out.getvalue()


def test_records_of_standard_library_loggers_are_forwarded():
    out = _logged(False)
    logging.getLogger('library').warning('odd hush-hush')
    assert 'library: odd [hidden]' in out.getvalue()


def test_unknown_level_raises_value_error():
    with pytest.raises(ValueError, match='use one of'):
        logs.configure('LOUD')
