"""Replay a load against a scheduler in virtual time."""

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
MEASURE_EVERY_S = 0.5
STOP_S = 0.2
QUICK_FAILURE_S = 0.05
RETRY_S = 0.5
MAX_ATTEMPTS = 8


@dataclasses.dataclass(slots=True)
class Task:
    """Hold one task's arrival and the work that is left of it."""

    arrival: loads.Arrival
    left: float
    waits_since: float
    endpoint: str = ''
    began: float = 0.0
    run: int = -1
    attempts: int = 0


@dataclasses.dataclass(slots=True)
class Tally:
    """Hold what a replay has measured.

    `waits` are seconds by kind and urgency, `held` sums `span` samples of
    what each kind held, `full` those of the bound resource's fraction by
    pool, `lost` is core seconds of work done in vain.
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
    span: float = 0.0
    full: dict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )

    def of_kind(self, kind: str) -> list[float]:
        """Return the waits of a kind, sorted."""
        rows = [w for (name, _), w in self.waits.items() if name == kind]
        return sorted(itertools.chain.from_iterable(rows))


class Replay:
    """Feed arrivals and ends to a scheduler and follow its decisions."""

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
        self._ends: list[tuple[float, int, str, base.RunOutcome]] = []
        self._runs = itertools.count()
        self._measuring = False
        self._measure_at = 0.0
        for info in endpoints:
            sched.set_endpoint(info, 0.0)

    def run(
        self,
        arrivals: collections.abc.Iterable[loads.Arrival],
        until: float,
        measure_from: float,
    ) -> Tally:
        """Replay until a time and return what was measured."""
        queue = collections.deque(arrivals)
        while self.now < until:
            self.now += TICK_S
            self._measuring = self.now >= measure_from
            self._end_runs()
            while queue and queue[0].at <= self.now:
                self.submit(queue.popleft())
            self._decide()
            self._measure()
        return self.tally

    def submit(self, arrival: loads.Arrival) -> None:
        """Hand a job in at its own time."""
        spec = arrival.spec
        answer = self.sched.submit(spec, self.now)
        if isinstance(answer, base.Refused):
            self.tally.refused[f'{spec.kind}:{answer.reason}'] += 1
            return
        for index in range(spec.tasks):
            task = Task(arrival, arrival.run_time, arrival.at)
            self.tasks[work.task_id(spec.job_id, index)] = task

    def _end_runs(self) -> None:
        while self._ends and self._ends[0][0] <= self.now:
            _, run, name, how = heapq.heappop(self._ends)
            task = self.tasks.get(name)
            if task is None or task.run != run:
                continue
            self.sched.ended(name, how, self.now)
            if how is base.RunOutcome.SUCCEEDED:
                del self.tasks[name]
            else:
                self._again(name, task, how)

    def _again(self, name: str, task: Task, how: base.RunOutcome) -> None:
        task.run = -1
        task.waits_since = self.now
        task.attempts += how is base.RunOutcome.FAILED
        if task.attempts >= MAX_ATTEMPTS:
            self.tally.failed += 1
            del self.tasks[name]
            return
        delay = RETRY_S if how is base.RunOutcome.FAILED else 0.0
        self.sched.requeue(name, self.now, delay)

    def _decide(self) -> None:
        while decisions := self.sched.decide(self.now):
            for decision in decisions:
                self._follow(decision)

    def _follow(self, decision: base.Decision) -> None:
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
        task.began = self.now
        task.endpoint = start.endpoint
        self.tally.started += 1
        if task.attempts == 0 and self._measuring:
            spec = task.arrival.spec
            wait = self.now - task.waits_since
            gang = spec.form is work.Form.GANG
            name = 'gang' if gang else spec.kind
            self.tally.waits[name, spec.urgency].append(wait)
        if start.endpoint in self._broken:
            self._end_at(start.task, QUICK_FAILURE_S, base.RunOutcome.FAILED)
        else:
            self._end_at(start.task, task.left, base.RunOutcome.SUCCEEDED)

    def _end_at(self, name: str, after: float, how: base.RunOutcome) -> None:
        run = self.tasks[name].run
        heapq.heappush(self._ends, (self.now + after, run, name, how))

    def _preempt(self, decision: base.Preempt) -> None:
        task = self.tasks[decision.task]
        ran = self.now - task.began
        if decision.method is base.ReclaimMethod.THROTTLE or ran >= task.left:
            return
        self.tally.preempted += 1
        cores = task.arrival.spec.demand.cpu_milli / 1000
        if decision.method is base.ReclaimMethod.CHECKPOINT:
            task.left -= ran
        else:
            self.tally.lost += ran * cores
        task.run = next(self._runs)
        self._end_at(decision.task, STOP_S, base.RunOutcome.STOPPED)

    def _measure(self) -> None:
        if not self._measuring or self.now < self._measure_at:
            return
        self._measure_at = self.now + MEASURE_EVERY_S
        self.tally.span += 1
        for row in self.sched.summary(self.now).kinds:
            held = self.tally.held
            held[row.kind, 'cores'] += row.held.cpu_milli / 1000
            held[row.kind, 'acc'] += row.held.accelerators
            held[row.kind, 'slots'] += row.held.slots
        for pool, fraction in self._bound_fractions().items():
            self.tally.full[pool] += fraction

    def _bound_fractions(self) -> dict[str, float]:
        """Return how full the bound resource of each pool is."""
        used: dict[str, list[int]] = {}
        whole: dict[str, list[int]] = {}
        for info in self._endpoints:
            _add(whole, info.name, info.capacity)
        for task in self.tasks.values():
            if task.run >= 0:
                _add(used, task.endpoint, task.arrival.spec.demand)
        return {
            pool: max(u / w for u, w in zip(used[pool], total, strict=True))
            for pool, total in whole.items()
            if pool in used
        }


def _add(
    sums: dict[str, list[int]], name: str, amount: resources.Resources
) -> None:
    row = sums.setdefault(name.partition('-')[0], [0, 0, 0])
    row[0] += amount.cpu_milli
    row[1] += amount.memory_mb
    row[2] += amount.slots
