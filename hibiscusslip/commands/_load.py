"""Put open-loop load on entry hosts and measure what callers see.

Requests start at times fixed beforehand, whether or not earlier ones are
answered, and latency counts from the intended start: a slow system can't
hide by slowing the load down.
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
DIGITS = 3
US_PER_S = 1_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
JSON_HEADERS = {'content-type': 'application/json'}


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Hold what to send; `rate` is per second, `duration` in seconds.

    Arrivals are evenly spaced, or at random by `seed` when it is set. A
    request that would be one more than `max_outstanding` is not sent and
    counted as `skipped`.
    """

    places: list[_client.Place]
    job: bytes
    rate: float
    duration: float
    wait: float
    connections: int
    max_outstanding: int
    seed: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Percentile:
    """Hold one point of the distribution, in milliseconds."""

    percent: float
    latency_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold what became of all requests, by outcome.

    Percentiles are of requests with a final outcome other than `not_run`.
    """

    planned: int
    elapsed_s: float
    outcomes: dict[str, int]
    percentiles: list[Percentile]


def arrivals(plan: Plan) -> list[float]:
    """Return the intended starts in seconds after the beginning."""
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


class Load:
    """Send the requests of a plan and count what comes back."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._pools = [
            client.Pool(
                place.address, place.port, max_connections=plan.connections
            )
            for place in plan.places
        ]
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, DIGITS)
        self._outstanding = 0

    async def run(self) -> LoadReport:
        """Return the report once every request has ended."""
        times = arrivals(self._plan)
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
        left = at - time.monotonic()
        if left > 0:
            await curio.sleep(left)

    async def _send(self, number: int, intended: float) -> None:
        pool = self._pools[number % len(self._pools)]
        outcome = await self._outcome(pool)
        self._outstanding -= 1
        self._outcomes[outcome] += 1
        if outcome in ('succeeded', 'failed', 'unknown'):
            passed = int((time.monotonic() - intended) * US_PER_S)
            self._latencies.record_value(min(max(1, passed), MAX_LATENCY_US))

    async def _outcome(self, pool: client.Pool) -> str:
        wait = self._plan.wait
        try:
            found = await pool.call(
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
            body = typing.cast(bytes, found.body)
            told = msgspec.json.decode(body, type=_client.Problem)
        except msgspec.DecodeError:
            return 'no_answer'
        return told.outcome or f'status_{found.status}'

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


def lay_out(report: LoadReport) -> str:
    """Return a report as tables."""
    ended = sum(report.outcomes.values())
    rows = [
        [name, str(count), f'{100 * count / max(1, ended):.2f}']
        for name, count in sorted(report.outcomes.items())
    ]
    parts = [
        f'{report.planned} requests planned, {ended} ended in'
        f' {report.elapsed_s:.1f} s',
        _output.table(['OUTCOME', '>COUNT', '>%'], rows),
    ]
    if report.percentiles:
        parts.append(
            _output.table(
                ['>PERCENTILE', '>LATENCY ms'],
                [
                    [f'{point.percent:g}', f'{point.latency_ms:.2f}']
                    for point in report.percentiles
                ],
            )
        )
    return '\n\n'.join(parts)
