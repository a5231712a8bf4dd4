"""Check what operators are told of expected run times."""

import types

from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import policy
from hibiscusslip.host import estimate_reports
from hibiscusslip.observe import prometheus

LEARNED = policy.Policy(learned_run_times=True)


def render(model):
    ctx = types.SimpleNamespace(metrics=prometheus.Metrics())
    estimate_reports.publish(ctx, model)
    return ctx.metrics.render().decode()


def test_errors_are_published_by_queue_and_estimate():
    model = estimates.Estimates(LEARNED)
    for _ in range(50):
        model.errors.add('q', actual=4.0, learned=4.0, declared=1.0)
    text = render(model)
    rows = [line for line in text.splitlines() if 'run_time_ratio{' in line]
    assert len(rows) == 4
    ratios = {
        (estimate, quantile): float(row.rsplit(' ', 1)[1])
        for row in rows
        for estimate in ('learned', 'declared')
        for quantile in ('0.5', '0.9')
        if f'"{estimate}"' in row and f'"{quantile}"' in row
    }
    assert abs(ratios['learned', '0.5'] - 1.0) < 0.1
    assert abs(ratios['declared', '0.9'] - 4.0) < 0.4


def test_nothing_is_published_unless_run_times_are_learned():
    model = estimates.Estimates()
    model.errors.add('q', actual=4.0, learned=4.0, declared=1.0)
    assert 'run_time_ratio' not in render(model)


def test_start_tells_the_expected_time_on_its_endpoint():
    expected = estimates.Expectation(2.0, 5.0, 40, 'image')
    start = types.SimpleNamespace(expected=expected, speed=0.5)
    assert estimate_reports.expectation_fields(start) == {
        'expected_ms': 4000,
        'high_ms': 10000,
        'source': 'image',
        'source_runs': 40,
        'speed': 0.5,
    }


def test_start_without_an_expectation_is_logged_as_before():
    start = types.SimpleNamespace(expected=None, speed=1.0)
    assert estimate_reports.expectation_fields(start) == {}
