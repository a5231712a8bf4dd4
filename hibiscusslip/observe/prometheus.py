"""Count and time, and tell it as text in the usual exposition format."""

import bisect
import typing

BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
MAX_SERIES = 500
PREFIX = 'hibiscusslip_'


class Metrics:
    """Hold counters, gauges and latency histograms with bounded labels."""

    def __init__(self) -> None:
        self._counters: dict[str, float] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, list[float]] = {}
        self._sums: dict[str, float] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = _series(name, labels)
        if key in self._counters or len(self._counters) < MAX_SERIES:
            self._counters[key] = self._counters.get(key, 0) + amount

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        key = _series(name, labels)
        if key in self._gauges or len(self._gauges) < MAX_SERIES:
            self._gauges[key] = value

    def time(self, name: str, seconds: float) -> None:
        """Add one duration to a histogram."""
        buckets = self._histograms.get(name)
        if buckets is None:
            buckets = self._histograms[name] = [0] * (len(BOUNDS_S) + 1)
        buckets[bisect.bisect_left(BOUNDS_S, seconds)] += 1
        self._sums[name] = self._sums.get(name, 0.0) + seconds

    def render(self) -> bytes:
        """Return everything as text."""
        lines: list[str] = []
        _render_simple(lines, 'counter', self._counters)
        _render_simple(lines, 'gauge', self._gauges)
        for name, buckets in sorted(self._histograms.items()):
            self._render_histogram(lines, name, buckets)
        return '\n'.join([*lines, '']).encode()

    def _render_histogram(
        self, lines: list[str], name: str, buckets: list[float]
    ) -> None:
        full = f'{PREFIX}{name}_seconds'
        lines.append(f'# TYPE {full} histogram')
        total = 0.0
        for bound, amount in zip((*BOUNDS_S, '+Inf'), buckets, strict=True):
            total += amount
            lines.append(f'{full}_bucket{{le="{bound}"}} {total:g}')
        lines.append(f'{full}_sum {self._sums[name]:g}')
        lines.append(f'{full}_count {total:g}')


def _series(name: str, labels: dict[str, str]) -> str:
    if not labels:
        return name
    pairs = ','.join(f'{k}="{_escape(v)}"' for k, v in labels.items())
    return f'{name}{{{pairs}}}'


def _escape(value: typing.Any) -> str:
    text = str(value).replace('\\', '\\\\').replace('"', '\\"')
    return text.replace('\n', '\\n')


def _render_simple(
    lines: list[str], kind: str, series: dict[str, float]
) -> None:
    told = ''
    for key, value in sorted(series.items()):
        name = key.partition('{')[0]
        if name != told:
            told = name
            lines.append(f'# TYPE {PREFIX}{name} {kind}')
        lines.append(f'{PREFIX}{key} {value:g}')
