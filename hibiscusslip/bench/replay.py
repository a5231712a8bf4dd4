"""Replay arrivals against a scheduler in virtual time."""

import collections
import collections.abc
import dataclasses
import heapq
import itertools

from hibiscusslip.bench import loads
from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.model import work
from hibiscusslip.scheduler import base

TICK_S = 0.02
SAMPLE_INTERVAL_S = 0.5
STOP_S = 0.2
QUICK_FAILURE_S = 0.05
RETRY_DELAY_S = 0.5
MAX_ATTEMPTS = 8


@dataclasses.dataclass(slots=True)
class Task:
    """Represent a task of an arrived job.

    `remaining` is its remaining run time in seconds; `run` is -1 while it is
    queued.
    """

    arrival: loads.Arrival
    remaining: float
    queued_since: float
    endpoint: str = ''
    started_at: float = 0.0
    run: int = -1
    attempts: int = 0


@dataclasses.dataclass(slots=True)
class Tally:
    """Accumulate the measurements of a replay.

    `waits` are seconds by kind and urgency. `held` and `bottleneck_use` are
    sums over `samples` samples: of the resources that each kind held, and
    of the used fraction of each pool's bottleneck resource. `lost` is the
    work in core seconds that preempted tasks have to repeat.
    """

    waits: dict[tuple[str, work.Urgency], list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    held: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    started: int = 0
    failed: int = 0
    preempted: int = 0
    lost: float = 0.0
    samples: float = 0.0
    bottleneck_use: dict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )

    def waits_of_kind(self, kind: str) -> list[float]:
        """Return the waits of a kind, sorted."""
        rows = [w for (name, _), w in self.waits.items() if name == kind]
        return sorted(itertools.chain.from_iterable(rows))


class Replay:
    """Feed arrivals and ended runs to a scheduler; apply its decisions.

    Every run on a `broken` endpoint fails after QUICK_FAILURE_S.
    """

    def __init__(
        self,
        sched: base.Scheduler,
        endpoints: list[places.EndpointInfo],
        broken: frozenset[str] = frozenset(),
    ) -> None:
        self.sched = sched
        self.now = 0.0
        self.tally = Tally()
        self.tasks: dict[str, Task] = {}
        self._endpoints = endpoints
        self._broken = broken
        self._run_ends: list[tuple[float, int, str, base.RunOutcome]] = []
        self._runs = itertools.count()
        self._measuring = False
        self._next_sample_at = 0.0
        for info in endpoints:
            sched.set_endpoint(info, 0.0)

    def run(
        self,
        arrivals: collections.abc.Iterable[loads.Arrival],
        until: float,
        measure_from: float,
    ) -> Tally:
        """Replay until a time and return the measurements.

        `arrivals` are in the order of time; measurements start at
        `measure_from`.
        """
        queue = collections.deque(arrivals)
        while self.now < until:
            self.now += TICK_S
            self._measuring = self.now >= measure_from
            self._end_due_runs()
            while queue and queue[0].at <= self.now:
                self.submit(queue.popleft())
            self._decide()
            self._sample()
        return self.tally

    def submit(self, arrival: loads.Arrival) -> None:
        """Submit a job; its tasks wait from the time of its arrival."""
        spec = arrival.spec
        admission = self.sched.submit(spec, self.now)
        if isinstance(admission, base.Refused):
            self.tally.refused[f'{spec.kind}:{admission.reason}'] += 1
            return
        for index in range(spec.tasks):
            task = Task(arrival, arrival.run_time, arrival.at)
            self.tasks[work.task_id(spec.job_id, index)] = task

    def _end_due_runs(self) -> None:
        while self._run_ends and self._run_ends[0][0] <= self.now:
            _, run, name, outcome = heapq.heappop(self._run_ends)
            task = self.tasks.get(name)
            if task is None or task.run != run:
                continue
            self.sched.ended(name, outcome, self.now)
            if outcome is base.RunOutcome.SUCCEEDED:
                del self.tasks[name]
            else:
                self._requeue(name, task, outcome)

    def _requeue(
        self, name: str, task: Task, outcome: base.RunOutcome
    ) -> None:
        task.run = -1
        task.queued_since = self.now
        task.attempts += outcome is base.RunOutcome.FAILED
        if task.attempts >= MAX_ATTEMPTS:
            self.tally.failed += 1
            del self.tasks[name]
            return
        delay = RETRY_DELAY_S if outcome is base.RunOutcome.FAILED else 0.0
        self.sched.requeue(name, self.now, delay)

    def _decide(self) -> None:
        while decisions := self.sched.decide(self.now):
            for decision in decisions:
                self._apply(decision)

    def _apply(self, decision: base.Decision) -> None:
        if isinstance(decision, base.Start):
            self._start(decision)
        elif isinstance(decision, base.GangStart):
            for start in decision.placements:
                self._start(start)
        elif isinstance(decision, base.RemoteHoldRequest):
            self.sched.release_hold(decision.job_id, self.now)
        elif isinstance(decision, base.Preempt):
            self._preempt(decision)
        else:
            reason = decision.refusal.reason
            self.tally.refused[str(reason)] += 1

    def _start(self, start: base.Start) -> None:
        task = self.tasks[start.task]
        task.run = next(self._runs)
        task.started_at = self.now
        task.endpoint = start.endpoint
        self.tally.started += 1
        if task.attempts == 0 and self._measuring:
            spec = task.arrival.spec
            wait = self.now - task.queued_since
            gang = spec.form is work.Form.GANG
            name = 'gang' if gang else spec.kind
            self.tally.waits[name, spec.urgency].append(wait)
        if start.endpoint in self._broken:
            self._schedule_end(
                start.task, QUICK_FAILURE_S, base.RunOutcome.FAILED
            )
        else:
            self._schedule_end(
                start.task, task.remaining, base.RunOutcome.SUCCEEDED
            )

    def _schedule_end(
        self, name: str, delay: float, outcome: base.RunOutcome
    ) -> None:
        run = self.tasks[name].run
        heapq.heappush(self._run_ends, (self.now + delay, run, name, outcome))

    def _preempt(self, decision: base.Preempt) -> None:
        task = self.tasks[decision.task]
        elapsed = self.now - task.started_at
        if (
            decision.method is base.ReclaimMethod.THROTTLE
            or elapsed >= task.remaining
        ):
            return
        self.tally.preempted += 1
        cores = task.arrival.spec.demand.cpu_milli / 1000
        if decision.method is base.ReclaimMethod.CHECKPOINT:
            task.remaining -= elapsed
        else:
            self.tally.lost += elapsed * cores
        task.run = next(self._runs)
        self._schedule_end(decision.task, STOP_S, base.RunOutcome.STOPPED)

    def _sample(self) -> None:
        if not self._measuring or self.now < self._next_sample_at:
            return
        self._next_sample_at = self.now + SAMPLE_INTERVAL_S
        self.tally.samples += 1
        for row in self.sched.summary(self.now).kinds:
            held = self.tally.held
            held[row.kind, 'cores'] += row.held.cpu_milli / 1000
            held[row.kind, 'acc'] += row.held.accelerators
            held[row.kind, 'slots'] += row.held.slots
        for pool, fraction in self._bottleneck_use().items():
            self.tally.bottleneck_use[pool] += fraction

    def _bottleneck_use(self) -> dict[str, float]:
        """Return the used fraction of the bottleneck resource of each pool."""
        used: dict[str, list[int]] = {}
        capacity: dict[str, list[int]] = {}
        for info in self._endpoints:
            _add_demand(capacity, info.name, info.capacity)
        for task in self.tasks.values():
            if task.run >= 0:
                _add_demand(used, task.endpoint, task.arrival.spec.demand)
        return {
            pool: max(u / t for u, t in zip(used[pool], total, strict=True))
            for pool, total in capacity.items()
            if pool in used
        }


def _add_demand(
    sums: dict[str, list[int]], name: str, amount: resources.Resources
) -> None:
    row = sums.setdefault(name.partition('-')[0], [0, 0, 0])
    row[0] += amount.cpu_milli
    row[1] += amount.memory_mb
    row[2] += amount.slots
