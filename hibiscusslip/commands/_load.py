"""Generate open-loop load on entry hosts and measure the latency.

Requests are sent at times planned beforehand, whether or not earlier ones
have completed, and latency counts from the planned time. This avoids
coordinated omission: a slow system can't reduce the measured latency by
delaying the requests that follow.
"""

import collections
import dataclasses
import random
import time
import typing

import curio
from hdrh import histogram
import msgspec

from hibiscusslip.commands import _client
from hibiscusslip.commands import _output
from hibiscusslip.http import client
from hibiscusslip.http import exceptions

MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
JSON_HEADERS = {'content-type': 'application/json'}


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Describe the load; `rate` is per second, `duration` in seconds.

    Requests are evenly spaced, or random (a Poisson process) if `seed` is
    set. While `max_outstanding` requests are open, further ones are not sent
    but counted as `skipped`.
    """

    hosts: list[_client.EntryHost]
    job: bytes
    rate: float
    duration: float
    wait: float
    connections: int
    max_outstanding: int
    seed: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Percentile:
    """Represent a percentile of the latency, in milliseconds."""

    percent: float
    latency_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Report the number of requests by outcome, and their latency.

    The percentiles cover requests with a final outcome other than `not_run`.
    """

    planned: int
    elapsed_s: float
    outcomes: dict[str, int]
    percentiles: list[Percentile]


def plan_arrivals(plan: Plan) -> list[float]:
    """Return the times of all requests, in seconds since the start."""
    count = int(plan.rate * plan.duration)
    if plan.seed is None:
        return [number / plan.rate for number in range(count)]
    rng = random.Random(plan.seed)
    times = []
    at = 0.0
    for _ in range(count):
        at += rng.expovariate(plan.rate)
        times.append(at)
    return times


class LoadGenerator:
    """Send the requests of a plan and record their outcomes."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._pools = [
            client.Pool(
                host.address, host.port, max_connections=plan.connections
            )
            for host in plan.hosts
        ]
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._latencies = histogram.HdrHistogram(
            1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
        self._outstanding = 0

    async def run(self) -> LoadReport:
        """Send all requests; return the report once all have completed."""
        times = plan_arrivals(self._plan)
        start = time.monotonic()
        async with curio.TaskGroup() as group:
            for number, at in enumerate(times):
                await self._sleep_until(start + at)
                if self._outstanding >= self._plan.max_outstanding:
                    self._outcomes['skipped'] += 1
                    continue
                self._outstanding += 1
                await group.spawn(self._send, number, start + at)
        for pool in self._pools:
            await pool.close()
        return self._report(len(times), time.monotonic() - start)

    async def _sleep_until(self, at: float) -> None:
        delay = at - time.monotonic()
        if delay > 0:
            await curio.sleep(delay)

    async def _send(self, number: int, planned_at: float) -> None:
        pool = self._pools[number % len(self._pools)]
        outcome = await self._submit_job(pool)
        self._outstanding -= 1
        self._outcomes[outcome] += 1
        if outcome in ('succeeded', 'failed', 'unknown'):
            latency_us = int((time.monotonic() - planned_at) * US_PER_S)
            self._latencies.record_value(
                min(max(1, latency_us), MAX_LATENCY_US)
            )

    async def _submit_job(self, pool: client.Pool) -> str:
        wait = self._plan.wait
        try:
            response = await pool.call(
                'POST',
                f'/v1/jobs?wait={wait:g}',
                body=self._plan.job,
                headers=JSON_HEADERS,
                timeout=wait + _client.WAIT_SLACK_S,
            )
        except exceptions.NotSent:
            return 'not_sent'
        except exceptions.HttpError:
            return 'no_answer'
        try:
            body = typing.cast(bytes, response.body)
            problem = msgspec.json.decode(body, type=_client.Problem)
        except msgspec.DecodeError:
            return 'no_answer'
        return problem.outcome or f'status_{response.status}'

    def _report(self, planned: int, elapsed: float) -> LoadReport:
        points = []
        if self._latencies.get_total_count():
            points = [
                Percentile(
                    percent,
                    self._latencies.get_value_at_percentile(percent) / 1000,
                )
                for percent in PERCENTILES
            ]
        return LoadReport(planned, elapsed, dict(self._outcomes), points)


def format_report(report: LoadReport) -> str:
    """Return a report as text with tables."""
    ended = sum(report.outcomes.values())
    rows = [
        [name, str(count), f'{100 * count / max(1, ended):.2f}']
        for name, count in sorted(report.outcomes.items())
    ]
    parts = [
        f'{report.planned} requests planned, {ended} ended in'
        f' {report.elapsed_s:.1f} s',
        _output.format_table(['OUTCOME', '>COUNT', '>%'], rows),
    ]
    if report.percentiles:
        parts.append(
            _output.format_table(
                ['>PERCENTILE', '>LATENCY ms'],
                [
                    [f'{point.percent:g}', f'{point.latency_ms:.2f}']
                    for point in report.percentiles
                ],
            )
        )
    return '\n\n'.join(parts)
