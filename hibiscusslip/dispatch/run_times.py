"""Learn the distribution of run times from finished runs.

What is learned is the ratio of actual to declared run times, by groups of
work that get narrower: the queue, in it the image, of that the declared run
time, and of that the organisation. A group with few runs relies on the next
broader one, and the broadest on the declared run time.
"""

import collections
import dataclasses
import math

from hibiscusslip.dispatch import log_histogram

MIN_DECLARED_S = 0.05
MAX_DECLARED_S = 86_400.0
MAX_GROUPS = 1500
MAX_GROUP_AGE_S = 3600.0  # without a run
WINDOW_RUNS = 64.0
PRIOR_RUNS = 2.0  # that the broader group counts as
PRIOR_HIGH_RUNS = 10.0  # for the high quantile, which few runs tell
PRIOR_HIGH_OCTAVES = 1.0  # from the declared time to its high quantile
QUANTILES = (0.05, 0.5, 0.95)  # low, median and high
DECLARED_BINS_PER_OCTAVE = 3
SAME_JOB_WEIGHT = 0.2  # of a job's further runs, which are like the first
JOBS_TO_CHANGE = 4  # in a row outside the known range
MIN_RUNS_TO_CHANGE = 16.0
WEIGHT_AFTER_CHANGE = 2.0
SHIFT_OCTAVES = 0.5
MIN_SHIFT_RUNS = 16.0
QUARTILES = (0.25, 0.75)
# The quartiles of declarations that are off by up to a factor of two by chance
# are one octave apart. If all are off by the same factor, only the spread of
# the actual run times is left.
MAX_QUARTILE_DISTANCE_OCTAVES = 0.6
REFRESH_SHARE = 1 / 8  # of a group's weight in new runs
REFRESH_RUNS = 32
FREQUENT_REFRESH_RUNS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Identify the work of a run; `declared` is in seconds."""

    queue: str
    image: str
    organisation: str
    declared: float

    @property
    def base(self) -> float:
        """Return the declared run time, within what is plausible."""
        return min(max(self.declared, MIN_DECLARED_S), MAX_DECLARED_S)

    def groups(self) -> list[tuple[str, ...]]:
        """Return the keys of its groups, the broadest first."""
        keys: list[tuple[str, ...]] = [('queue', self.queue)]
        if self.image:
            keys.append(('image', self.queue, self.image))
        octaves = math.log2(self.base)
        length = str(round(octaves * DECLARED_BINS_PER_OCTAVE))
        keys.append(('declared time', self.queue, self.image, length))
        if self.organisation:
            keys.append(('organisation', *keys[-1][1:], self.organisation))
        return keys


@dataclasses.dataclass(frozen=True, slots=True)
class Ratios:
    """The expected ratio of actual to declared run time.

    `runs` is the weight, in runs, of the narrowest group that has as many as
    its broader group counts; `source` says what the group has in common,
    'declared' for none, 'former owner' for none but a ratio that it reported.
    """

    median: float
    high: float
    runs: int
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shift:
    """A change of the median ratio of a group."""

    group: str
    before: float
    after: float
    runs: int


class _Group:
    """The runs of one group; quantiles are in octaves."""

    __slots__ = (
        'announced',
        'high',
        'histogram',
        'job_outside',
        'jobs_outside',
        'last_job',
        'learned_at',
        'low',
        'median',
        'stale_runs',
    )

    def __init__(self) -> None:
        self.histogram = log_histogram.LogHistogram(WINDOW_RUNS)
        self.low = 0.0
        self.median = 0.0
        self.high = 0.0
        self.announced = 0.0
        self.learned_at = 0.0
        self.stale_runs = 0.0
        self.last_job = ''
        self.job_outside = ''
        self.jobs_outside = 0

    @property
    def is_consistent(self) -> bool:
        """Return True if declarations are off by about the same factor."""
        lower, upper = self.histogram.quantiles(QUARTILES)
        return upper - lower <= MAX_QUARTILE_DISTANCE_OCTAVES

    def learn(
        self, octaves: float, job: str, weight: float, at_least: bool
    ) -> None:
        if job == self.last_job:
            weight *= SAME_JOB_WEIGHT
        self.last_job = job
        is_bound_only = at_least and octaves <= self.high
        if not is_bound_only and self._is_change(octaves, job):
            self.histogram.discount(WEIGHT_AFTER_CHANGE)
            self.stale_runs = math.inf
        if at_least:
            self.histogram.add_at_least(octaves, weight)
        else:
            self.histogram.add(octaves, weight)
        self.stale_runs += weight
        if self.stale_runs >= REFRESH_SHARE * self.histogram.weight:
            self._refresh()

    def _is_change(self, octaves: float, job: str) -> bool:
        """Return True if several jobs in a row are outside the known range.

        Runs of one job are alike, so they count once.
        """
        side = (octaves > self.high) - (octaves < self.low)
        if not side or self.histogram.weight < MIN_RUNS_TO_CHANGE:
            self.jobs_outside = 0
            return False
        if side * self.jobs_outside < 0:
            self.jobs_outside = 0
        if job != self.job_outside or not self.jobs_outside:
            self.job_outside = job
            self.jobs_outside += side
        if abs(self.jobs_outside) < JOBS_TO_CHANGE:
            return False
        self.jobs_outside = 0
        return True

    def _refresh(self) -> None:
        self.stale_runs = 0.0
        self.low, self.median, self.high = self.histogram.quantiles(QUANTILES)


class RunTimes:
    """Learn run times; `version` changes when expectations do."""

    def __init__(self) -> None:
        self.version = 0
        self._groups: collections.OrderedDict[tuple[str, ...], _Group] = (
            collections.OrderedDict()
        )
        self._shifts: list[Shift] = []
        self._run_count = 0
        self._initial: dict[str, float] = {}  # octaves, by queue

    def __len__(self) -> int:
        return len(self._groups)

    def learn(
        self,
        work: Work,
        actual: float,
        job: str,
        now: float,
        weight: float = 1.0,
        at_least: bool = False,
    ) -> None:
        """Learn that a run of a job took `actual` seconds.

        The time is that on an endpoint of ordinary speed. With `at_least` it
        is a lower bound. The weights of a run that is learned from twice, by
        a lower bound and by its end, add up to 1. Further runs of the same
        `job` have less weight, as they are alike.
        """
        if not 0.0 < actual < math.inf:
            return
        octaves = math.log2(actual / work.base)
        for key in work.groups():
            group = self._find_or_add(key, now)
            group.learn(octaves, job, weight, at_least)
            self._note_shift(key, group)
        self._run_count += 1
        frequent = self._run_count < FREQUENT_REFRESH_RUNS
        if frequent or self._run_count % REFRESH_RUNS == 0:
            self.version += 1

    def expect_initially(self, ratios: dict[str, float]) -> None:
        """Set the ratios of queues that are expected before any run.

        They take the place of the declared time, on which a queue relies like
        on `PRIOR_RUNS` runs.
        """
        self._initial = {q: math.log2(ratio) for q, ratio in ratios.items()}
        self.version += 1

    def queue_ratios(self, min_runs: float) -> dict[str, float]:
        """Return the expected ratios of queues, the latest used first.

        A queue with fewer than `min_runs` runs has one only if a ratio was
        expected initially. A queue whose declarations are off by chance has
        none, as no single ratio corrects them.
        """
        octaves = dict(self._initial)
        for key, group in self._groups.items():
            kind, queue = key[:2]
            if kind != 'queue':
                continue
            octaves.pop(queue, None)  # added again in the order of use
            has_enough_runs = group.histogram.weight >= min_runs
            if has_enough_runs and not group.is_consistent:
                continue
            if has_enough_runs or queue in self._initial:
                octaves[queue] = self._queue_median(queue, group)
        return {q: 2.0**value for q, value in reversed(octaves.items())}

    def _queue_median(self, queue: str, group: _Group) -> float:
        initial = self._initial.get(queue, 0.0)
        confidence = _confidence(group.histogram.weight, PRIOR_RUNS)
        return initial + confidence * (group.median - initial)

    def expect(self, work: Work) -> Ratios:
        """Return the expected ratio, 1 if nothing is known."""
        median = broader_median = self._initial.get(work.queue, 0.0)
        high = broader_high = median + PRIOR_HIGH_OCTAVES
        runs = 0.0
        known = work.queue in self._initial
        source = 'former owner' if known else 'declared'
        for key in work.groups():
            group = self._groups.get(key)
            if group is None:
                continue
            self._groups.move_to_end(key)
            weight = group.histogram.weight
            # By the differences between groups a run of several of them
            # counts once.
            confidence = _confidence(weight, PRIOR_RUNS)
            median += confidence * (group.median - broader_median)
            confidence = _confidence(weight, PRIOR_HIGH_RUNS)
            high += confidence * (group.high - broader_high)
            broader_median, broader_high = group.median, group.high
            if weight >= PRIOR_RUNS:
                runs, source = weight, key[0]
        return Ratios(2.0**median, 2.0 ** max(high, median), int(runs), source)

    def take_shifts(self) -> list[Shift]:
        """Return the shifts since the last call."""
        shifts, self._shifts = self._shifts, []
        return shifts

    def _find_or_add(self, key: tuple[str, ...], now: float) -> _Group:
        group = self._groups.get(key)
        if group is None:
            self._evict(now)
            group = self._groups[key] = _Group()
        else:
            self._groups.move_to_end(key)
        group.learned_at = now
        return group

    def _evict(self, now: float) -> None:
        """Remove the groups that were used least recently or are old."""
        while self._groups:
            oldest = next(iter(self._groups.values()))
            is_old = oldest.learned_at < now - MAX_GROUP_AGE_S
            if not is_old and len(self._groups) < MAX_GROUPS:
                return
            self._groups.popitem(last=False)

    def _note_shift(self, key: tuple[str, ...], group: _Group) -> None:
        runs = group.histogram.weight
        if runs < MIN_SHIFT_RUNS:
            return
        if abs(group.median - group.announced) < SHIFT_OCTAVES:
            return
        self._shifts.append(
            Shift(
                '/'.join(key),
                2.0**group.announced,
                2.0**group.median,
                int(runs),
            )
        )
        group.announced = group.median


def _confidence(weight: float, prior: float) -> float:
    """Return how far to rely on a group rather than on the broader one."""
    return weight / (weight + prior)
