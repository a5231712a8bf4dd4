"""Aggregate metrics and render them in Prometheus' text format."""

import bisect
import typing

BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
MAX_SERIES = 500
MAX_SERIES_OF_METRIC = 300  # so that one by queue leaves room for others
PREFIX = 'hibiscusslip_'


class Metrics:
    """Aggregate counters, gauges and latency histograms.

    Counters and gauges are bounded to MAX_SERIES label combinations each, of
    which one metric has at most MAX_SERIES_OF_METRIC, and histograms to
    MAX_SERIES; further ones are dropped.
    """

    def __init__(self) -> None:
        self._counters: dict[str, float] = {}
        self._gauges: dict[str, float] = {}
        self._series_counts: dict[str, int] = {}
        self._histograms: dict[str, list[float]] = {}
        self._sums: dict[str, float] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = _series_key(name, labels)
        if self._may_set(self._counters, name, key):
            self._counters[key] = self._counters.get(key, 0) + amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        key = _series_key(name, labels)
        if self._may_set(self._gauges, name, key):
            self._gauges[key] = value

    def _may_set(self, series: dict[str, float], name: str, key: str) -> bool:
        """Return True for known series, and for new ones if there is room."""
        if key in series:
            return True
        count = self._series_counts.get(name, 0)
        if len(series) >= MAX_SERIES or count >= MAX_SERIES_OF_METRIC:
            return False
        self._series_counts[name] = count + 1
        return True

    def time(self, name: str, seconds: float) -> None:
        """Add one duration, in seconds, to a histogram."""
        buckets = self._histograms.get(name)
        if buckets is None and len(self._histograms) >= MAX_SERIES:
            return
        if buckets is None:
            buckets = self._histograms[name] = [0] * (len(BUCKETS_S) + 1)
        buckets[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self._sums[name] = self._sums.get(name, 0.0) + seconds

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        lines: list[str] = []
        _render_series(lines, 'counter', self._counters)
        _render_series(lines, 'gauge', self._gauges)
        for name, buckets in sorted(self._histograms.items()):
            self._render_histogram(lines, name, buckets)
        return '\n'.join([*lines, '']).encode()

    def _render_histogram(
        self, lines: list[str], name: str, buckets: list[float]
    ) -> None:
        metric = f'{PREFIX}{name}_seconds'
        lines.append(f'# TYPE {metric} histogram')
        cumulative = 0.0
        for bound, amount in zip((*BUCKETS_S, '+Inf'), buckets, strict=True):
            cumulative += amount
            lines.append(f'{metric}_bucket{{le="{bound}"}} {cumulative:g}')
        lines.append(f'{metric}_sum {self._sums[name]:g}')
        lines.append(f'{metric}_count {cumulative:g}')


def _series_key(name: str, labels: dict[str, str]) -> str:
    if not labels:
        return name
    pairs = ','.join(f'{k}="{_escape(v)}"' for k, v in labels.items())
    return f'{name}{{{pairs}}}'


def _escape(value: typing.Any) -> str:
    text = str(value).replace('\\', '\\\\').replace('"', '\\"')
    return text.replace('\n', '\\n')


def _render_series(
    lines: list[str], kind: str, series: dict[str, float]
) -> None:
    previous = ''
    for key, value in sorted(series.items()):
        name = key.partition('{')[0]
        if name != previous:
            previous = name
            lines.append(f'# TYPE {PREFIX}{name} {kind}')
        lines.append(f'{PREFIX}{key} {value:g}')
