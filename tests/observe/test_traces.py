"""Test that the spans of one request form one trace."""

import json
import subprocess
import sys

import pytest

from hibiscusslip.observe import traces

PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


def test_span_without_tracing_propagates_the_context():
    tracer = traces.create_tracer('', 'h1')
    with tracer.start_span('submit', PARENT) as span:
        assert span.headers == {'traceparent': PARENT}
    with tracer.start_span('submit') as span:
        assert span.headers == {}


def test_spans_belong_to_the_trace_of_the_caller(tmp_path):
    path = tmp_path / 'spans'
    tracer = traces.create_tracer(str(path), 'h1')
    parent = traces.extract_traceparent({'traceparent': PARENT})
    with tracer.start_span('submit', parent) as first:
        first.set_attribute('job', 'j1')
        with tracer.start_span('start', first.traceparent):
            pass
    tracer.close()
    start, submit = map(json.loads, path.read_text().splitlines())
    assert submit['context']['trace_id'] == f'0x{PARENT[3:35]}'
    assert submit['parent_id'] == f'0x{PARENT[36:52]}'
    assert start['parent_id'] == submit['context']['span_id']
    assert submit['attributes'] == {'job': 'j1'}


def test_span_that_exits_with_an_exception_has_error_status(tmp_path):
    path = tmp_path / 'spans'
    tracer = traces.create_tracer(str(path), 'h1')
    with pytest.raises(KeyError):
        with tracer.start_span('submit'):
            raise KeyError('x')
    tracer.close()
    span = json.loads(path.read_text())
    assert span['status']['status_code'] == 'ERROR'


def test_oversized_traceparent_is_ignored():
    assert traces.extract_traceparent({'traceparent': 'x' * 56}) == ''


def test_disabled_tracing_does_not_import_opentelemetry():
    code = (
        'import sys\n'
        'from hibiscusslip.observe import traces\n'
        "traces.create_tracer('', 'h1').start_span('x')\n"
        "sys.exit(any('opentelemetry' in name for name in sys.modules))\n"
    )
    assert subprocess.run([sys.executable, '-c', code]).returncode == 0
