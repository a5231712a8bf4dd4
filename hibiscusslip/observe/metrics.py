"""Aggregate metrics in memory and send them to statsd on flush.

A change of a value sends nothing: the node calls `flush` periodically, so
the cost of sending doesn't grow with the load.
"""

import abc
import dataclasses
import typing

MAX_SAMPLES = 512
MAX_NAMES = 1000


class Metrics(abc.ABC):
    """Record counters, gauges and timings by name."""

    @abc.abstractmethod
    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    @abc.abstractmethod
    def time(self, name: str, seconds: float) -> None:
        """Add one duration, in seconds, to a timer."""

    @abc.abstractmethod
    def flush(self) -> None:
        """Send what was recorded since the last flush."""


class NoMetrics(Metrics):
    """Discard all metrics."""

    def count(self, name: str, amount: int = 1) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""

    def time(self, name: str, seconds: float) -> None:
        """Do nothing."""

    def flush(self) -> None:
        """Do nothing."""


class Timer:
    """Aggregate durations in seconds, with a bounded sample for quantiles.

    When the sample is full, every second value is dropped and the sampling
    stride doubles, so that the sample stays evenly spread.
    """

    __slots__ = ('count', 'maximum', '_samples', '_stride')

    def __init__(self) -> None:
        self.count = 0
        self.maximum = 0.0
        self._samples: list[float] = []
        self._stride = 1

    def add(self, seconds: float) -> None:
        """Add one duration."""
        if self.count % self._stride == 0:
            self._samples.append(seconds)
        self.count += 1
        self.maximum = max(self.maximum, seconds)
        if len(self._samples) >= MAX_SAMPLES:
            del self._samples[1::2]
            self._stride *= 2

    def quantile(self, fraction: float) -> float:
        """Return the duration that a `fraction` of the values don't exceed."""
        ascending = sorted(self._samples)
        index = min(int(fraction * len(ascending)), len(ascending) - 1)
        return ascending[index] if ascending else 0.0


class StatsdMetrics(Metrics):
    """Aggregate metrics and send them to a statsd server over UDP.

    A flush resets all of them. Names beyond MAX_NAMES of a type are dropped.
    """

    def __init__(self, address: str, port: int, prefix: str):
        # Imported here, as most hosts run without a statsd server.
        import statsd

        self._client = statsd.StatsClient(
            address, port, prefix=prefix, ipv6=':' in address
        )
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._timers: dict[str, Timer] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        if name in self._counters or len(self._counters) < MAX_NAMES:
            self._counters[name] = self._counters.get(name, 0) + amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if name in self._gauges or len(self._gauges) < MAX_NAMES:
            self._gauges[name] = value

    def time(self, name: str, seconds: float) -> None:
        """Add one duration, in seconds, to a timer."""
        timer = self._timers.get(name)
        if timer is None:
            if len(self._timers) >= MAX_NAMES:
                return
            timer = self._timers[name] = Timer()
        timer.add(seconds)

    def flush(self) -> None:
        """Send counters, gauges and quantiles in as few packets as fit."""
        with self._client.pipeline() as pipe:
            for name, amount in self._counters.items():
                pipe.incr(name, amount)
            for name, value in self._gauges.items():
                pipe.gauge(name, value)
            for name, timer in self._timers.items():
                _send_timer(pipe, name, timer)
        self._counters.clear()
        self._gauges.clear()
        self._timers.clear()

    def close(self) -> None:
        """Close the socket."""
        self._client.close()


def _send_timer(pipe: typing.Any, name: str, timer: Timer) -> None:
    pipe.incr(f'{name}.count', timer.count)
    pipe.gauge(f'{name}.p50_ms', round(timer.quantile(0.5) * 1000, 3))
    pipe.gauge(f'{name}.p99_ms', round(timer.quantile(0.99) * 1000, 3))
    pipe.gauge(f'{name}.max_ms', round(timer.maximum * 1000, 3))


class CounterDeltas:
    """Send the increments of the cumulative counters of one component.

    The counters are the fields of `source`, an instance of a data class.
    """

    def __init__(self, sender: Metrics, prefix: str, source: typing.Any):
        self._sender = sender
        self._prefix = prefix
        self._source = source
        self._names = [field.name for field in dataclasses.fields(source)]
        self._reported = dict.fromkeys(self._names, 0)

    def report(self) -> None:
        """Count what was added since the last report."""
        for name in self._names:
            value = getattr(self._source, name)
            increase = value - self._reported[name]
            if increase:
                self._sender.count(f'{self._prefix}.{name}', increase)
                self._reported[name] = value


class CounterReporter:
    """Report counters of a changing set of components, such as shards."""

    def __init__(self, sender: Metrics):
        self._sender = sender
        self._deltas: dict[str, dict[int, CounterDeltas]] = {}

    def report(
        self, prefix: str, sources: typing.Iterable[typing.Any]
    ) -> None:
        """Count what the given components added, summed under `prefix`."""
        known = self._deltas.get(prefix, {})
        present: dict[int, CounterDeltas] = {}
        for source in sources:
            deltas = known.get(id(source))
            present[id(source)] = deltas or CounterDeltas(
                self._sender, prefix, source
            )
        self._deltas[prefix] = present
        for deltas in present.values():
            deltas.report()


def create_metrics(address: str, port: int, prefix: str) -> Metrics:
    """Return a statsd sender, or NoMetrics if `address` is empty."""
    if not address:
        return NoMetrics()
    return StatsdMetrics(address, port, prefix)
