"""Check that metrics are aggregated and sent on flush."""

import dataclasses
import pathlib
import socket

import pytest

from hibiscusslip.jobs import engine as jobs_engine
from hibiscusslip.observe import metrics
from hibiscusslip.peer import counts

DOCS = pathlib.Path(__file__).parents[2] / 'docs'


def _received(fill):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        sock.settimeout(5)
        sender = metrics.create_metrics(
            '127.0.0.1', sock.getsockname()[1], 'h1'
        )
        fill(sender)
        sender.flush()
        sender.close()
        return sock.recv(65536).decode().split('\n')


def test_counters_are_summed_between_flushes():
    def fill(sender):
        for _ in range(3):
            sender.count('calls', 2)

    assert _received(fill) == ['h1.calls:6|c']


def test_timer_sends_quantiles():
    def fill(sender):
        for number in range(1, 101):
            sender.time('wait', number / 1000)

    lines = _received(fill)
    assert 'h1.wait.count:100|c' in lines
    assert 'h1.wait.p50_ms:51.0|g' in lines
    assert 'h1.wait.max_ms:100.0|g' in lines


def test_timer_sample_is_bounded_and_evenly_spread():
    timer = metrics.Timer()
    for number in range(100_000):
        timer.add(number)
    assert timer.count == 100_000
    assert abs(timer.quantile(0.5) - 50_000) < 1_000
    assert timer.maximum == 99_999


def test_metrics_without_address_are_discarded():
    sender = metrics.create_metrics('', 0, 'h1')
    sender.count('calls')
    sender.flush()
    assert isinstance(sender, metrics.NoMetrics)


def test_cumulative_counters_are_sent_as_increments():
    totals = counts.Counts()

    def fill(sender):
        report = metrics.CounterDeltas(sender, 'peer.out', totals)
        totals.calls = 5
        report.report()
        totals.calls = 7
        report.report()

    assert _received(fill) == ['h1.peer.out.calls:7|c']


def test_reporter_sums_components_that_are_added_and_removed():
    first, second = counts.Counts(calls=2), counts.Counts(calls=5)

    def fill(sender):
        reporter = metrics.CounterReporter(sender)
        reporter.report('jobs', [first])
        reporter.report('jobs', [first, second])
        first.calls += 1
        reporter.report('jobs', [first])

    assert _received(fill) == ['h1.jobs.calls:8|c']


@pytest.mark.parametrize('source', [counts.Counts, jobs_engine.Counters])
def test_page_lists_all_cumulative_counters(source):
    page = (DOCS / 'METRICS.md').read_text()
    missing = [
        field.name
        for field in dataclasses.fields(source)
        if f'`{field.name}`' not in page
    ]
    assert missing == []
