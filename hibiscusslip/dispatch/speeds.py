"""Learn how fast endpoints are, apart from the length of the work.

An endpoint's speed is relative to the typical one of its pool, which is 1.
It comes from the ratios of actual to expected run times of its latest runs.
An endpoint of which little is known has the speed of its machine kind, which
is its first label.
"""

import array
import collections
import dataclasses
import math
import statistics

MAX_ENDPOINTS = 8192
MAX_RUNS = 24  # that are kept of an endpoint
MAX_RUNS_PER_STEP = 3  # in a row, as the runs of one step are alike
PRIOR_RUNS = 5.0  # that the machine kind counts as
KIND_PRIOR_RUNS = 20.0  # that the pool counts as
HALF_LIFE_S = 60.0  # of the confidence in an endpoint without new runs
REFRESH_PERIOD_S = 2.0
MAX_OCTAVES = 1.5  # within which a speed is plausible
CLAMP_OCTAVES = 3.0
SHORT_QUANTILE = 0.25
MIN_RUNS_TO_DOUBT = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """An endpoint's speed relative to the typical one of its pool.

    `confidence` is between 0 and 1. An endpoint is not `plausible` if its
    runs end too soon or too late for any machine; in the first case it
    probably reports false ends, and its speed is 1.
    """

    factor: float = 1.0
    confidence: float = 0.0
    plausible: bool = True


UNKNOWN = Speed()


class _Record:
    """The latest runs of an endpoint.

    `ratios` are in octaves, above 0 for runs longer than expected; `typical`
    and `short` are their median and a low quantile.
    """

    __slots__ = (
        'kind',
        'learned_at',
        'place',
        'ratios',
        'service',
        'short',
        'speed',
        'step',
        'step_runs',
        'typical',
    )

    def __init__(self, service: str, kind: str) -> None:
        self.service = service
        self.kind = kind
        self.ratios = array.array('f')
        self.place = 0
        self.learned_at = 0.0
        self.step = ''
        self.step_runs = 0
        self.typical = 0.0
        self.short = 0.0
        self.speed = UNKNOWN

    def add(self, ratio: float, step: str, now: float) -> None:
        self.step_runs = self.step_runs + 1 if step == self.step else 1
        self.step = step
        if self.step_runs > MAX_RUNS_PER_STEP:
            return
        if len(self.ratios) < MAX_RUNS:
            self.ratios.append(ratio)
        else:
            self.ratios[self.place] = ratio
            self.place = (self.place + 1) % MAX_RUNS
        self.learned_at = now
        ordered = sorted(self.ratios)
        self.typical = statistics.median(ordered)
        self.short = ordered[int(len(ordered) * SHORT_QUANTILE)]

    def weight(self, now: float) -> float:
        """Return how many runs the record counts as."""
        age = max(now - self.learned_at, 0.0)
        return len(self.ratios) * 0.5 ** (age / HALF_LIFE_S)


class Speeds:
    """Learn the speed of each endpoint."""

    def __init__(self) -> None:
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )
        self._kinds: dict[tuple[str, str], Speed] = {}
        self._refreshed_at = -math.inf

    def __len__(self) -> int:
        return len(self._records)

    def learn(
        self,
        endpoint: str,
        service: str,
        kind: str,
        ratio: float,
        step: str,
        now: float,
    ) -> None:
        """Learn the ratio of a run's actual to its expected duration.

        The expected one is that on an endpoint of ordinary speed.
        """
        record = self._records.get(endpoint)
        if record is None or (record.service, record.kind) != (service, kind):
            record = self._records[endpoint] = _Record(service, kind)
            if len(self._records) > MAX_ENDPOINTS:
                self._records.popitem(last=False)
        self._records.move_to_end(endpoint)
        octaves = math.log2(max(ratio, 2.0**-CLAMP_OCTAVES))
        record.add(min(octaves, CLAMP_OCTAVES), step, now)

    def refresh(self, now: float) -> None:
        """Compare the endpoints of each pool again, if that is due."""
        if now < self._refreshed_at + REFRESH_PERIOD_S:
            return
        self._refreshed_at = now
        pools: dict[str, list[tuple[_Record, float]]] = {}
        for record in self._records.values():
            row = (record, record.weight(now))
            pools.setdefault(record.service, []).append(row)
        self._kinds = {}
        for service, rows in pools.items():
            self._compare(service, rows)

    def speed(self, endpoint: str, service: str, kind: str) -> Speed:
        """Return the speed of an endpoint as of the last refresh."""
        record = self._records.get(endpoint)
        if record is not None and record.speed is not UNKNOWN:
            return record.speed
        return self._kinds.get((service, kind), UNKNOWN)

    def _compare(
        self, service: str, rows: list[tuple[_Record, float]]
    ) -> None:
        """Compute the speeds of a pool.

        Each endpoint has one vote, however many runs it has: one that
        reports false ends would otherwise have the most.
        """
        pool = statistics.median(record.typical for record, _ in rows)
        short = statistics.median(record.short for record, _ in rows)
        kinds: dict[str, list[tuple[_Record, float]]] = {}
        for row in rows:
            kinds.setdefault(row[0].kind, []).append(row)
        for kind, members in kinds.items():
            typical = statistics.median(r.typical for r, _ in members) - pool
            runs = sum(weight for _, weight in members)
            confidence = runs / (runs + KIND_PRIOR_RUNS)
            octaves = confidence * typical
            self._kinds[service, kind] = _make_speed(octaves, confidence)
            for record, weight in members:
                record.speed = _compare_record(
                    record, weight, octaves, pool, short
                )


def _compare_record(
    record: _Record, weight: float, kind: float, pool: float, short: float
) -> Speed:
    """Return an endpoint's speed; `kind` are the octaves of its kind."""
    if len(record.ratios) >= MIN_RUNS_TO_DOUBT and weight >= 1.0:
        if record.short < short - MAX_OCTAVES:
            return Speed(1.0, 0.0, False)
    confidence = weight / (weight + PRIOR_RUNS)
    own = record.typical - pool
    octaves = kind + confidence * (own - kind)
    return _make_speed(octaves, confidence, octaves <= MAX_OCTAVES)


def _make_speed(
    octaves: float, confidence: float, plausible: bool = True
) -> Speed:
    """Return the speed of an endpoint whose runs take longer by `octaves`."""
    clamped = min(max(octaves, -MAX_OCTAVES), MAX_OCTAVES)
    return Speed(2.0**-clamped, confidence, plausible)
