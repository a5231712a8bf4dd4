"""Check that the spans of hops form one trace."""

import json
import subprocess
import sys

import pytest

from hibiscusslip.observe import traces

PARENT = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


def test_hop_without_tracing_propagates_the_context():
    tracer = traces.make('', 'h1')
    with tracer.hop('submit', PARENT) as hop:
        assert hop.headers == {'traceparent': PARENT}
    with tracer.hop('submit') as hop:
        assert hop.headers == {}


def test_spans_of_hops_belong_to_the_trace_of_the_caller(tmp_path):
    path = tmp_path / 'spans'
    tracer = traces.make(str(path), 'h1')
    parent = traces.extract_traceparent({'traceparent': PARENT})
    with tracer.hop('submit', parent) as first:
        first.note('job', 'j1')
        with tracer.hop('start', first.traceparent):
            pass
    tracer.close()
    start, submit = map(json.loads, path.read_text().splitlines())
    assert submit['context']['trace_id'] == f'0x{PARENT[3:35]}'
    assert submit['parent_id'] == f'0x{PARENT[36:52]}'
    assert start['parent_id'] == submit['context']['span_id']
    assert submit['attributes'] == {'job': 'j1'}


def test_span_of_a_failed_hop_has_error_status(tmp_path):
    path = tmp_path / 'spans'
    tracer = traces.make(str(path), 'h1')
    with pytest.raises(KeyError):
        with tracer.hop('submit'):
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
        "traces.make('', 'h1').hop('x')\n"
        "sys.exit(any('opentelemetry' in name for name in sys.modules))\n"
    )
    assert subprocess.run([sys.executable, '-c', code]).returncode == 0
