"""Test the event log and the metrics in Prometheus' format."""

import json
import os

from hibiscusslip.observe import events
from hibiscusslip.observe import prometheus


def test_each_event_is_one_json_line():
    read, write = os.pipe()
    log = events.open_log('h1', write)
    log.note('job_accepted', job='a\nb', bytes=3)
    log.flush()
    (line,) = os.read(read, 10000).decode().splitlines()
    event = json.loads(line)
    assert (event['event'], event['host'], event['job']) == (
        'job_accepted',
        'h1',
        'a\nb',
    )


def test_stalled_reader_neither_blocks_nor_grows_the_buffer():
    read, write = os.pipe()
    log = events.open_log('h1', write)
    for number in range(20000):
        log._counts.clear()
        log.note('run_lost', task=f'{number:0200d}')
        log.flush()
    assert len(log._buffer) <= events.MAX_BUFFER_BYTES + 1000
    assert log._dropped['run_lost'] > 0


def test_number_of_dropped_lines_is_logged():
    read, write = os.pipe()
    log = events.open_log('h1', write)
    for _ in range(events.MAX_LINES_PER_WINDOW + 7):
        log.note('run_lost')
    log._start_window(log._window_start + 2)
    log.flush()
    lines = os.read(read, 1 << 20).decode().splitlines()
    assert json.loads(lines[-1])['counts'] == {'run_lost': 7}


def test_closed_reader_raises_no_error():
    read, write = os.pipe()
    os.close(read)
    log = events.open_log('h1', write)
    log.note('host_started')
    log.flush()
    assert not log._buffer


def test_metrics_are_rendered_in_the_text_format():
    metrics = prometheus.Metrics()
    metrics.count('answers', method='GET', status='200')
    metrics.gauge('config_version', 7)
    metrics.time('plan', 0.03)
    text = metrics.render().decode()
    assert 'hibiscusslip_answers{method="GET",status="200"} 1' in text
    assert 'hibiscusslip_config_version 7' in text
    assert 'hibiscusslip_plan_seconds_bucket{le="0.05"} 1' in text
    assert 'hibiscusslip_plan_seconds_bucket{le="0.025"} 0' in text
    assert 'hibiscusslip_plan_seconds_count 1' in text


def test_number_of_series_is_bounded():
    metrics = prometheus.Metrics()
    for number in range(prometheus.MAX_SERIES + 100):
        metrics.count('x', label=str(number))
    assert metrics.render().count(b'\n') <= prometheus.MAX_SERIES + 2


def test_metric_by_queue_leaves_room_for_others():
    """Else a configuration of many queues would hide the host's state."""
    metrics = prometheus.Metrics()
    for number in range(prometheus.MAX_SERIES):
        metrics.gauge('ratio', 1.0, queue=str(number))
        metrics.count('rejected', queue=str(number))
    metrics.gauge('config_version', 7)
    metrics.count('answers')
    lines = metrics.render().decode().splitlines()
    assert {'hibiscusslip_config_version 7', 'hibiscusslip_answers 1'} <= {
        *lines
    }


def test_only_whole_lines_are_written_when_the_reader_lags():
    """A slow reader must get no partial lines.

    A collector that merges the output of several processes would put lines
    of other processes between the parts.
    """
    reading, writing = os.pipe()
    log = events.open_log('h', writing)
    for number in range(2000):
        log.note('run_lost', task=f'{number:0100}')
    log.flush()
    first = os.read(reading, 1_000_000)
    assert 0 < len(first) < 2000 * 100
    assert first.endswith(b'\n')
    log.flush()
    assert os.read(reading, 1_000_000).startswith(b'{"at"')
    os.close(reading)
    os.close(writing)
