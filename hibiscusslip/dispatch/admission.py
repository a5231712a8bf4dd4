"""Predict how long new jobs would wait, and decide which to reject; no I/O.

A new job waits for the work that is ordered ahead of it: core-seconds and
accelerator-seconds of waiting steps, divided by the capacity that this work
gets. Work that arrives later but goes first takes part of that capacity, and
with learned run times so do running tasks until they should end. A job that
would be of no use by the time it completes is rejected at once, so that its
caller can react and no other job waits behind it.
"""

import collections.abc
import dataclasses
import math
import zlib

from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import occupancy
from hibiscusslip.dispatch import ordering
from hibiscusslip.dispatch import state

MIN_CAPACITY_SHARE = 0.05  # of a pool, for work that others go ahead of
MAX_WAIT_S = 600.0
MAX_RETRY_SPREAD_S = 30
PERCENT = 100
NO_LIMIT = model.Demand()

Work = tuple[float, float]  # core-seconds, accelerator-seconds
# Work per second with whether it is beyond an entitlement and its priority.
_Arriving = tuple[tuple[bool, int], Work]
FindReleases = collections.abc.Callable[[str], list[occupancy.Release]]


@dataclasses.dataclass(frozen=True, slots=True)
class Prediction:
    """Tell how long a new job of a queue would wait to start, in seconds."""

    within: float = 0.0
    beyond: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Why a job is rejected, and when its caller may send it again.

    `wait` is how long it would wait, `useful_wait` how long it could and
    still be of use, both in seconds. `retry_after` is in whole seconds.
    `ratio` is the expected one of actual to declared run time.
    """

    within: bool
    wait: float
    useful_wait: float
    retry_after: int
    ratio: float = 1.0


@dataclasses.dataclass(slots=True)
class _Backlog:
    """Waiting work of a service by whether it is beyond, then priority."""

    work: dict[tuple[bool, int], Work] = dataclasses.field(
        default_factory=dict
    )

    def add(self, key: tuple[bool, int], work: Work) -> None:
        """Add work."""
        known = self.work.get(key, (0.0, 0.0))
        self.work[key] = (known[0] + work[0], known[1] + work[1])

    def ahead_of(self, key: tuple[bool, int]) -> Work:
        """Return the work that goes before a new job, or beside it."""
        return _sum(work for other, work in self.work.items() if other <= key)


class Predictions(collections.abc.Mapping[str, Prediction]):
    """The predictions for all queues by name, computed when they are read.

    Queues of the same service and priority have the same prediction, unless
    jobs that use accelerators arrived in them: those are `exceptional`.
    """

    def __init__(
        self,
        config: model.Configuration | None = None,
        backlogs: dict[str, _Backlog] | None = None,
        capacities: dict[str, Work] | None = None,
        arrivals: dict[tuple[str, bool], Work] | None = None,
        releases: dict[str, list[occupancy.Release]] | None = None,
    ) -> None:
        self._config = config
        self._queues = config.queues if config is not None else {}
        self._backlogs = backlogs or {}
        self._capacities = capacities or {}
        self._releases = releases or {}
        self._overtaking: dict[str, list[_Arriving]] = {}
        self._known: dict[tuple[str, int, bool], Prediction] = {}
        self.exceptional: set[str] = set()
        if config is not None:
            self._add_arrivals(config, arrivals or {})

    def __getitem__(self, name: str) -> Prediction:
        queue = self._queues[name]
        return self._find(
            queue.service, queue.priority, name in self.exceptional
        )

    def __iter__(self) -> collections.abc.Iterator[str]:
        return iter(self._queues)

    def __len__(self) -> int:
        return len(self._queues)

    def usual_of(self, name: str) -> Prediction:
        """Return the prediction for a queue as if it weren't exceptional."""
        queue = self._queues[name]
        return self._find(queue.service, queue.priority, False)

    def usual(self) -> collections.abc.Iterator[tuple[str, int, Prediction]]:
        """Yield services, priorities and the predictions for their queues.

        Exceptional queues aren't considered. Services for which no work waits
        are left out: a new job doesn't wait there.
        """
        if self._config is None:
            return
        priorities = self._config.index.priorities
        for service in self._backlogs:
            for priority in priorities.get(service, ()):
                yield service, priority, self._find(service, priority, False)

    def _add_arrivals(
        self,
        config: model.Configuration,
        arrivals: dict[tuple[str, bool], Work],
    ) -> None:
        """Sort what arrives by service, in the order of the queues.

        The order matters, as sums of floating-point numbers depend on it.
        """
        positions = config.index.positions
        keys = [key for key in arrivals if key[0] in positions]
        keys.sort(key=lambda key: (positions[key[0]], key[1]))
        for name, beyond in keys:
            queue = self._queues[name]
            work = arrivals[name, beyond]
            self._overtaking.setdefault(queue.service, []).append(
                ((beyond, queue.priority), work)
            )
            if work[1]:
                self.exceptional.add(name)

    def _find(
        self, service: str, priority: int, accelerators: bool
    ) -> Prediction:
        """Return the prediction for queues of a service and priority."""
        key = service, priority, accelerators
        known = self._known.get(key)
        if known is None:
            known = Prediction(
                self._predict(False, *key), self._predict(True, *key)
            )
            self._known[key] = known
        return known

    def _predict(
        self, beyond: bool, service: str, priority: int, accelerators: bool
    ) -> float:
        backlog = self._backlogs.get(service)
        if backlog is None:
            return 0.0
        key = (beyond, priority)
        overtaking = _sum(
            work
            for other, work in self._overtaking.get(service, ())
            if other < key
        )
        releases = self._releases.get(service, [])
        return _wait(
            backlog.ahead_of(key),
            self._capacities.get(service, (0.0, 0.0)),
            overtaking,
            accelerators,
            [r for r in releases if r.blocks(beyond, priority)],
        )


NO_PREDICTIONS = Predictions()


def predict(
    ranked: collections.abc.Iterable[tuple[ordering.Rank, state.StepState]],
    config: model.Configuration,
    capacities: dict[str, Work],
    arrivals: dict[tuple[str, bool], Work],
    estimator: estimates.Estimates,
    find_releases: FindReleases = lambda service: [],
) -> Predictions:
    """Return the predictions for all queues of a configuration.

    `ranked` are the waiting steps, `capacities` the cores and accelerators of
    each service. `arrivals` is the work that arrives per second, by queue and
    whether it is beyond an entitlement. `find_releases` returns what running
    tasks of a service hold and when they release it, the soonest first; they
    count only beside waiting ones. A wait is 0 unless work is ahead.
    """
    backlogs: dict[str, _Backlog] = {}
    for rank, step in ranked:
        if rank.expired or step.spec.long_running:
            continue
        backlog = backlogs.setdefault(step.job.service, _Backlog())
        backlog.add(
            (rank.beyond, rank.priority), _work_of_waiting(step, estimator)
        )
    releases = {service: find_releases(service) for service in backlogs}
    return Predictions(config, backlogs, capacities, arrivals, releases)


def _wait(
    ahead: Work,
    capacity: Work,
    overtaking: Work,
    accelerators: bool,
    held: list[occupancy.Release],
) -> float:
    """Return for how long work ahead takes up the capacity, in seconds.

    It is 0 unless work is ahead: `held` counts only beside waiting tasks.
    `overtaking` is the work per second that arrives later and goes first.
    The `accelerators` count only for queues whose own jobs use them.
    """
    longest = 0.0
    for resource, amount in enumerate(ahead):
        if not amount or (resource and not accelerators):
            continue
        if capacity[resource]:  # none while no endpoint is listed
            amounts = [
                (release.after, release.amounts[resource]) for release in held
            ]
            wait = _time_to_do(
                amount, capacity[resource], overtaking[resource], amounts
            )
            longest = max(longest, wait)
    return min(longest, MAX_WAIT_S)


def _time_to_do(
    amount: float,
    capacity: float,
    overtaking: float,
    held: list[tuple[float, float]],
) -> float:
    """Return how long an amount of work takes with what is released.

    `held` has the times of releases, in ascending order, and how much of the
    `capacity` each releases.
    """
    left = max(capacity - sum(part for _, part in held), 0.0)
    now = 0.0
    for after, part in [*held, (math.inf, 0.0)]:
        rate = max(left - overtaking, left * MIN_CAPACITY_SHARE)
        if rate and now + amount / rate <= after:
            return now + amount / rate
        amount -= rate * (after - now)
        left = min(left + part, capacity)
        now = after
        if now >= MAX_WAIT_S:
            break
    return MAX_WAIT_S


def work_of(step: model.Step, count: int, run_time: float) -> Work:
    """Return the work of `count` tasks that run for `run_time` seconds."""
    demand = step.allocated_demand
    seconds = count * run_time
    return demand.cpu / 1000 * seconds, demand.accelerators * seconds


def _work_of_waiting(
    step: state.StepState, estimator: estimates.Estimates
) -> Work:
    run_time = estimator.expect(step).median
    return work_of(step.spec, len(step.waiting()), run_time)


def _sum(works: collections.abc.Iterable[Work]) -> Work:
    cores = accelerators = 0.0
    for work in works:
        cores += work[0]
        accelerators += work[1]
    return cores, accelerators


def useful_wait(
    spec: model.JobSpec,
    queue: model.Queue,
    ratio: float = 1.0,
    limit: model.Demand = NO_LIMIT,
) -> float:
    """Return for how long a new job can wait and still be of use, in s.

    Its tasks are expected to take `ratio` times their declared run time, in as
    many waves as the `limit` of its organisation needs. Infinite for jobs
    without a deadline: those with a long-running task, and periodic ones,
    whose occurrences are due later.
    """
    if spec.long_running or spec.times:
        return math.inf
    job = state.Job('', queue.name, queue.service, spec, 0.0)
    estimator = estimates.Estimates()
    estimator.expect_ratio(queue.name, ratio)
    estimator.parallelism.set_limit(job.organisation, limit)
    useful_until = estimator.objective(job, queue).useful_until
    return useful_until - estimator.critical_path(job)


def limit_of(config: model.Configuration, organisation: str) -> model.Demand:
    """Return an organisation's limit, NO_LIMIT if it isn't configured."""
    item = (config.organisations or {}).get(organisation)
    return item.limit if item is not None else NO_LIMIT


def decide(
    job_id: str,
    spec: model.JobSpec,
    queue: model.Queue,
    prediction: Prediction,
    beyond_percent: int,
    ratio: float = 1.0,
    limit: model.Demand = NO_LIMIT,
) -> Rejection | None:
    """Return why a new job is rejected, or None if it is accepted.

    `beyond_percent` of the jobs of its organisation are beyond the
    entitlement; which of them is derived from the ID, so that a job gets the
    same answer from all hosts while the load is the same. `ratio` is that of
    actual to declared run time, 1 if the owner reported none; `limit` is that
    of the organisation, NO_LIMIT if waves of wide steps aren't counted.
    """
    number = zlib.crc32(job_id.encode())
    within = number % PERCENT >= beyond_percent
    wait = prediction.within if within else prediction.beyond
    useful = useful_wait(spec, queue, ratio, limit)
    if wait <= useful:
        return None
    spread = min(math.ceil(wait), MAX_RETRY_SPREAD_S)
    retry_after = 1 + number // PERCENT % spread
    return Rejection(within, wait, useful, retry_after, ratio)
