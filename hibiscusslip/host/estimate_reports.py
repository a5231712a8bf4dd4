"""Tell operators how well run times are expected, and what of each run."""

import typing

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import estimates as run_estimates
from hibiscusslip.host import context

MS_PER_S = 1000


def publish(ctx: context.Context, estimates: run_estimates.Estimates) -> None:
    """Set the metrics of the errors of each queue's expected run times."""
    if not estimates.learns:
        return
    for error in estimates.errors.summarise():
        for quantile, ratio in (('0.5', error.median), ('0.9', error.p90)):
            ctx.metrics.gauge(
                'run_time_ratio',
                round(ratio, 3),
                queue=error.queue,
                estimate=error.estimate,
                quantile=quantile,
            )


def expectation_fields(start: commands.Start) -> dict[str, typing.Any]:
    """Return what is logged of a start's expected run time, if it's learned.

    The times are those on the chosen endpoint.
    """
    expected = start.expected
    if expected is None:
        return {}
    return {
        'expected_ms': int(expected.median / start.speed * MS_PER_S),
        'high_ms': int(expected.high / start.speed * MS_PER_S),
        'source': expected.source,
        'source_runs': expected.runs,
        'speed': round(start.speed, 2),
    }
